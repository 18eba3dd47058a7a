// The job keys that an entry remembers because it has forwarded their jobs (rule R3): hash of the
// key, lowest epoch and expiry. Millions of keys must fit beside the rest of the process, so there
// is no node and no pointer for each key.

#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cactuscove {

// Used by JobRouter. Expiry times are rounded up to whole seconds.
class EntryMemory
{
public:
    // Commands
    // Stores the key. If it is stored already, its epoch can only fall and its expiry only move
    // later. Returns true if it was not stored, or had expired.
    bool remember(const KeyHash &key, Epoch epoch, TimePoint expiresAt, TimePoint now);
    // To be called when every forward of the key below `epoch` is proved to be undelivered. Does
    // nothing if the key is not stored.
    void setLowestEpoch(const KeyHash &key, Epoch epoch);
    void forget(const KeyHash &key);
    // Drops the expired keys of some shards; a full cycle takes ShardCount / ShardsPerSweep calls.
    void sweep(TimePoint now);

    // Queries
    // The lowest epoch at which the key was forwarded; none if it is not stored or has expired.
    std::optional<Epoch> lowestEpoch(const KeyHash &key, TimePoint now) const;
    using Visitor = std::function<void(const KeyHash &, Epoch, TimePoint expiresAt)>;
    // Calls `visitor` for every key of the shard that has not expired.
    void visit(ShardId shard, TimePoint now, const Visitor &visitor) const;
    std::size_t size() const { return m_size; } // with expired keys that are not yet swept
    std::size_t bytes() const;                  // allocated

private:
    struct Slot
    {
        std::uint64_t high = 0; // of the hash
        std::uint64_t low = 0;
        // An epoch beyond 32 bits is stored too low. The key is then only reported to homes that
        // need not know it.
        std::uint32_t epoch = 0;
        std::uint32_t expires = 0; // 0: a free slot, else secondsOf() its expiry
    };

    // Open addressing with linear probing. One table for each shard, so that a witness reply does
    // not read the keys of all shards and growth does not copy them.
    using Table = std::vector<Slot>;

    static std::uint32_t secondsOf(TimePoint time);
    static std::size_t firstSlot(const KeyHash &key, std::size_t slots);
    static const Slot *find(const Table &table, const KeyHash &key);
    static Slot *find(Table &table, const KeyHash &key);
    static void insert(Table &table, const Slot &slot);
    void resize(ShardId shard, std::size_t slots, std::uint32_t now);

    std::array<Table, ShardCount> m_tables;
    std::array<std::uint32_t, ShardCount> m_used{}; // occupied slots, expired ones included
    std::size_t m_size = 0;                         // sum of m_used
    std::uint16_t m_nextSweep = 0;                  // shard that the next sweep() begins with
};

} // namespace cactuscove
