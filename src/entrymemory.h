// The job keys that an entry has forwarded (rule R3): key hash, lowest epoch and expiry. Millions
// of keys must fit beside the rest of the process, so there is no node and no pointer per key.

#pragma once

#include "types.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace cactuscove {

class EntryMemory
{
public:
    // Commands
    // Stores the key, or lowers its epoch and extends its expiry. Returns true if it was new.
    bool remember(const KeyHash &key, Epoch epoch, TimePoint expiresAt, TimePoint now);
    // For a key of which every forward below `epoch` is known to be undelivered.
    void setLowestEpoch(const KeyHash &key, Epoch epoch);
    void forget(const KeyHash &key);
    // Drops the expired keys of some shards; a full cycle takes ShardCount / ShardsPerSweep calls.
    void sweep(TimePoint now);

    // Queries
    std::optional<Epoch> lowestEpoch(const KeyHash &key, TimePoint now) const;
    using Visitor = std::function<void(const KeyHash &, Epoch, TimePoint expiresAt)>;
    void visit(ShardId shard, TimePoint now, const Visitor &visitor) const;
    std::size_t size() const { return m_size; } // with expired keys that are not yet swept
    std::size_t bytes() const;

private:
    struct Slot
    {
        std::uint64_t high = 0;
        std::uint64_t low = 0;
        // An epoch beyond 32 bits is stored too low, which only names the key to more homes.
        std::uint32_t epoch = 0;
        std::uint32_t expires = 0; // 0 is a free slot, else seconds of the clock + FirstSecond
    };

    // Open addressing with linear probing. One table per shard keeps a witness reply from reading
    // the keys of all shards, and a growth step from copying them.
    using Table = std::vector<Slot>;

    static std::uint32_t secondsOf(TimePoint time);
    static std::size_t homeSlot(const KeyHash &key, std::size_t slots);
    static const Slot *find(const Table &table, const KeyHash &key);
    static Slot *find(Table &table, const KeyHash &key);
    static void insert(Table &table, const Slot &slot);
    void resize(ShardId shard, std::size_t slots, std::uint32_t now);

    std::array<Table, ShardCount> m_tables;
    std::array<std::uint32_t, ShardCount> m_used{}; // occupied slots, expired ones included
    std::size_t m_size = 0;                         // sum of m_used
    std::uint16_t m_nextSweep = 0;
};

} // namespace cactuscove
