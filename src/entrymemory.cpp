// Hash tables with open addressing and slots of 24 bytes, one table for each shard.

#include "entrymemory.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

// A table that grows stays between 68 % and 85 % full, so that a key costs 28 to 35 bytes. If
// tables doubled, it could cost 57 bytes, because all shards grow at about the same count.
constexpr std::size_t MaxFillPercent = 85;
constexpr std::size_t GrowthPercent = 125;
constexpr std::size_t MinSlots = 8;

// With one call each second, a full cycle of 64 s keeps about a tenth more than the live keys.
constexpr std::uint16_t ShardsPerSweep = 8;

// Slot::expires is seconds of the clock plus FirstSecond; the values below that are special.
constexpr std::uint32_t ForgottenSecond = 1; // of an occupied slot that counts as expired
constexpr std::uint32_t FirstSecond = 2;

} // namespace

// Rounds up, so that a key is never dropped early.
std::uint32_t EntryMemory::secondsOf(TimePoint time)
{
    const auto n = std::chrono::ceil<std::chrono::seconds>(time.time_since_epoch()).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(n, 0, UINT32_MAX - FirstSecond))
           + FirstSecond;
}

// Where the search for a key begins. The low half of the hash has chosen the shard already, so the
// high half chooses the slot.
std::size_t EntryMemory::firstSlot(const KeyHash &key, std::size_t slots)
{
    return static_cast<std::size_t>(((key.high >> 32) * slots) >> 32);
}

const EntryMemory::Slot *EntryMemory::find(const Table &table, const KeyHash &key)
{
    if (table.empty())
        return nullptr;
    for (std::size_t i = firstSlot(key, table.size());; i = i + 1 == table.size() ? 0 : i + 1) {
        const Slot &slot = table[i];
        if (slot.expires == 0)
            return nullptr;
        if (slot.high == key.high && slot.low == key.low)
            return &slot;
    }
}

EntryMemory::Slot *EntryMemory::find(Table &table, const KeyHash &key)
{
    return const_cast<Slot *>(find(std::as_const(table), key));
}

void EntryMemory::insert(Table &table, const Slot &slot)
{
    std::size_t i = firstSlot({slot.high, slot.low}, table.size());
    while (table[i].expires != 0)
        i = i + 1 == table.size() ? 0 : i + 1;
    table[i] = slot;
}

// Copies the keys that have not expired at second `now` into a table of `slots` slots.
void EntryMemory::resize(ShardId shard, std::size_t slots, std::uint32_t now)
{
    Table next(slots);
    std::uint32_t used = 0;
    for (const Slot &slot : m_tables[shard.value]) {
        if (slot.expires <= now)
            continue;
        insert(next, slot);
        ++used;
    }
    m_tables[shard.value].swap(next);
    m_size = m_size - m_used[shard.value] + used;
    m_used[shard.value] = used;
}

bool EntryMemory::remember(const KeyHash &key, Epoch epoch, TimePoint expiresAt, TimePoint now)
{
    const ShardId shard = shardOf(key);
    Table &table = m_tables[shard.value];
    const std::uint32_t second = secondsOf(now);
    const Slot fresh{key.high, key.low,
                     static_cast<std::uint32_t>(std::min<std::uint64_t>(epoch.value, UINT32_MAX)),
                     std::max(secondsOf(expiresAt), second + 1)};
    if (Slot *slot = find(table, key)) {
        const bool isNew = slot->expires <= second;
        slot->epoch = isNew ? fresh.epoch : std::min(slot->epoch, fresh.epoch);
        slot->expires = std::max(slot->expires, fresh.expires);
        return isNew;
    }
    if ((std::size_t{m_used[shard.value]} + 1) * 100 > table.size() * MaxFillPercent)
        resize(shard, std::max(MinSlots, table.size() * GrowthPercent / 100), second);
    insert(table, fresh);
    ++m_used[shard.value];
    ++m_size;
    return true;
}

void EntryMemory::setLowestEpoch(const KeyHash &key, Epoch epoch)
{
    if (Slot *slot = find(m_tables[shardOf(key).value], key))
        slot->epoch = static_cast<std::uint32_t>(std::min<std::uint64_t>(epoch.value, UINT32_MAX));
}

void EntryMemory::forget(const KeyHash &key)
{
    if (Slot *slot = find(m_tables[shardOf(key).value], key))
        slot->expires = ForgottenSecond;
}

void EntryMemory::sweep(TimePoint now)
{
    const std::uint32_t second = secondsOf(now);
    for (std::uint16_t i = 0; i < ShardsPerSweep; ++i) {
        const ShardId shard{m_nextSweep};
        m_nextSweep = (m_nextSweep + 1) % ShardCount;
        const Table &table = m_tables[shard.value];
        const auto live = static_cast<std::size_t>(std::count_if(
            table.begin(), table.end(), [&](const Slot &slot) { return slot.expires > second; }));
        if (live == 0)
            resize(shard, 0, second);
        else if (live < m_used[shard.value])
            resize(shard, std::max(MinSlots, live * 100 / MaxFillPercent * GrowthPercent / 100 + 1),
                   second);
    }
}

std::optional<Epoch> EntryMemory::lowestEpoch(const KeyHash &key, TimePoint now) const
{
    const Slot *slot = find(m_tables[shardOf(key).value], key);
    if (!slot || slot->expires <= secondsOf(now))
        return std::nullopt;
    return Epoch{slot->epoch};
}

void EntryMemory::visit(ShardId shard, TimePoint now, const Visitor &visitor) const
{
    const std::uint32_t second = secondsOf(now);
    for (const Slot &slot : m_tables[shard.value])
        if (slot.expires > second)
            visitor({slot.high, slot.low}, Epoch{slot.epoch},
                    TimePoint(std::chrono::seconds(slot.expires - FirstSecond)));
}

std::size_t EntryMemory::bytes() const
{
    std::size_t slots = 0;
    for (const Table &table : m_tables)
        slots += table.capacity();
    return sizeof(*this) + slots * sizeof(Slot);
}

} // namespace cactuscove
