// One call at a time for each partition. A failed one is repeated after a delay with jitter.

#include "operatorcopies.h"

#include "storeretry.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// An entry without a configuration waits this long for the operators' topic before it reads copies.
constexpr Duration TopicReadTime = 250ms;
// Changes within this time are written together.
constexpr Duration CombineTime = 50ms;
// Shortest time between the writes of two states. Together with CombineTime the bound on the time
// from a change to the first call that writes it.
constexpr Duration WriteInterval = 400ms;
// A process that has just started writes nothing: until then it learns the other entries, without
// which each entry would be the first in rank, and hears that the copies are up to date.
constexpr Duration StartTime = 500ms;
// Longer than a read and an append of a store that is well, so that only the first entry calls it.
constexpr Duration RankInterval = 150ms;
// The first entries in rank follow each other at RankInterval: it is rare that all of them are down
// or cut off, even if a third of the fleet is. Later ones follow slowly, as they matter only where
// most of the known addresses are out of date; so the store, if it is down, is called by few.
constexpr std::ptrdiff_t QuickWriters = 8;
constexpr Duration LateRankInterval = 1s;
// A partition is read again before an append if it was read longer ago.
constexpr Duration ContentFreshTime = 1s;

OperatorSnapshot withoutText(OperatorSnapshot snapshot)
{
    snapshot.configText.clear();
    return snapshot;
}

std::int64_t milliseconds(TimePoint time)
{
    return time.time_since_epoch() / 1ms;
}

} // namespace

OperatorCopies::OperatorCopies(CopySettings settings, const OperatorRecords &records,
                               TimePoint startedAt)
    : m_settings(std::move(settings))
    , m_records(records)
    , m_startedAt(startedAt)
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed))
    , m_entries{m_settings.selfAddress}
    , m_partitions(m_settings.partitions)
{}

void OperatorCopies::recordsChanged(TimePoint now)
{
    if (m_records.configVersion() == 0)
        return;
    if (m_use == Use::Waiting)
        m_use = Use::Over;
    OperatorSnapshot state = m_records.snapshot();
    const std::uint64_t hash = stateHash(state);
    if (hash == m_hash)
        return;
    // A change while another one waits is written with it.
    const bool isWaiting = m_hash != 0 && now < m_dueAt;
    if (!isWaiting)
        m_dueAt = std::max({now + CombineTime, m_dueAt + WriteInterval, m_startedAt + StartTime});
    m_hash = hash;
    m_isCopied = false;
    m_isWriter = false;
    for (Partition &it : m_partitions)
        checkContent(it);
}

void OperatorCopies::topicRead(bool isSuccess)
{
    if (isSuccess)
        m_use = Use::Over;
    else if (m_use == Use::Waiting)
        m_use = Use::Reading;
}

// The entry that found it out by itself goes on with the partitions that are left; one is enough.
void OperatorCopies::reportedCopied(std::uint64_t hash)
{
    if (hash == 0 || hash != m_hash || m_isCopied)
        return;
    m_isCopied = true;
    m_isWriter = false;
}

void OperatorCopies::processPending(TimePoint now, CopiesOutbox &out)
{
    if (m_use == Use::Waiting && now >= m_startedAt + TopicReadTime)
        m_use = Use::Reading;
    const TimePoint writeAt = writeStart();
    if (!m_isWriter && now >= writeAt)
        beginWriting(now, out);
    m_nextTimer = m_use == Use::Waiting ? m_startedAt + TopicReadTime : NeverTime;
    if (!m_isWriter)
        m_nextTimer = std::min(m_nextTimer, writeAt);
    for (std::uint32_t i = 0; i < m_partitions.size(); ++i)
        callPartition(i, now, out);
}

TimePoint OperatorCopies::writeStart() const
{
    if (m_hash == 0 || m_isCopied)
        return NeverTime;
    const auto hashOf = [this](const std::string &address) {
        return XXH3_64bits_withSeed(address.data(), address.size(), m_hash);
    };
    const std::uint64_t own = hashOf(m_settings.selfAddress);
    const auto rank = std::count_if(m_entries.begin(), m_entries.end(),
                                    [&](const std::string &it) { return hashOf(it) < own; });
    return m_dueAt + RankInterval * std::min(rank, QuickWriters)
           + LateRankInterval * std::max<std::ptrdiff_t>(rank - QuickWriters, 0);
}

void OperatorCopies::callPartition(std::uint32_t number, TimePoint now, CopiesOutbox &out)
{
    Partition &it = m_partitions[number];
    if (it.isCalling || (!isReading(it) && !isWriting(it)))
        return;
    if (now < it.nextCallAt) {
        m_nextTimer = std::min(m_nextTimer, it.nextCallAt);
    } else if (isReading(it) || now >= it.contentFreshUntil) {
        it.isCalling = true;
        out.emplace_back(ReadCopy{number});
    } else {
        write(number, now, out);
    }
}

void OperatorCopies::beginWriting(TimePoint now, CopiesOutbox &out)
{
    m_isWriter = true;
    // Known before anything is read: most of the size is the text of the configuration.
    fitsRecord(encodeCopy({m_records.snapshot(), milliseconds(now)}).size(), out);
}

bool OperatorCopies::fitsRecord(std::size_t bytes, CopiesOutbox &out)
{
    if (bytes <= m_settings.maxCopyBytes)
        return true;
    for (Partition &it : m_partitions)
        it.holdsHash = m_hash;
    out.emplace_back(LogEvent{Severity::Warning,
                              "copy_too_large",
                              {{"config", std::to_string(m_records.configVersion())},
                               {"bytes", std::to_string(bytes)},
                               {"max_bytes", std::to_string(m_settings.maxCopyBytes)}}});
    return false;
}

void OperatorCopies::write(std::uint32_t number, TimePoint now, CopiesOutbox &out)
{
    Partition &it = m_partitions[number];
    OperatorCopy copy{mergedWith(it.content), m_settings.bootAtUnixMs + milliseconds(now)};
    std::string bytes = encodeCopy(copy);
    if (!fitsRecord(bytes.size(), out))
        return;
    it.isCalling = true;
    it.writing = withoutText(std::move(copy.snapshot));
    out.emplace_back(WriteCopy{number, it.end, std::move(bytes)});
}

OperatorSnapshot OperatorCopies::mergedWith(const OperatorSnapshot &content) const
{
    OperatorRecords merged = m_records;
    merged.mergeEvacuations(content.evacuations, content.readUpTo);
    return merged.snapshot();
}

// A copy with a newer configuration is left to the entries that have that configuration.
void OperatorCopies::checkContent(Partition &it)
{
    if (it.content.configVersion > m_records.configVersion()
        || (it.content.configVersion == m_records.configVersion()
            && stateHash(mergedWith(it.content)) == stateHash(it.content)))
        it.holdsHash = m_hash;
    const auto count = static_cast<std::size_t>(
        std::count_if(m_partitions.begin(), m_partitions.end(),
                      [this](const Partition &each) { return each.holdsHash == m_hash; }));
    m_isCopied |= 2 * count > m_partitions.size();
}

void OperatorCopies::onRead(std::uint32_t partition, const std::optional<CopyPage> &page,
                            TimePoint now, CopiesOutbox &out)
{
    Partition &it = m_partitions[partition];
    it.isCalling = false;
    if (!page)
        return onFailure(it, now);
    it.failures = 0;
    const bool isUsed = isReading(it);
    it.wasRead = true;
    it.end = page->end;
    it.contentFreshUntil = now + ContentFreshTime;
    std::optional<OperatorCopy> copy = decode(partition, *page, out);
    it.content = copy ? withoutText(copy->snapshot) : OperatorSnapshot{};
    if (m_hash != 0)
        checkContent(it);
    if (!copy || !isUsed)
        return;
    const auto age = std::chrono::milliseconds(m_settings.bootAtUnixMs + milliseconds(now)
                                               - copy->writtenAtMs);
    out.emplace_back(UseCopy{partition, *std::move(copy), age});
}

std::optional<OperatorCopy> OperatorCopies::decode(std::uint32_t number, const CopyPage &page,
                                                   CopiesOutbox &out)
{
    if (!page.bytes)
        return std::nullopt;
    auto copy = decodeCopy(*page.bytes, m_settings.maxCopyBytes);
    if (isOk(copy))
        return std::move(valueOf(copy));
    Partition &it = m_partitions[number];
    if (std::exchange(it.unreadableAt, page.offset) != page.offset)
        out.emplace_back(LogEvent{Severity::Error,
                                  "copy_unreadable",
                                  {{"partition", std::to_string(number)},
                                   {"offset", std::to_string(page.offset.value)},
                                   {"field", errorOf(copy).field},
                                   {"reason", errorOf(copy).reason}}});
    return std::nullopt;
}

void OperatorCopies::onWritten(std::uint32_t partition, CopyWriteResult result, TimePoint now,
                               CopiesOutbox &out)
{
    Partition &it = m_partitions[partition];
    it.isCalling = false;
    if (result != CopyWriteResult::Written) {
        // After an unclear result only a read tells whether the copy was written.
        if (result != CopyWriteResult::Refused)
            it.contentFreshUntil = {};
        return onFailure(it, now);
    }
    it.failures = 0;
    it.content = std::move(it.writing);
    ++it.end.value;
    it.contentFreshUntil = now + ContentFreshTime;
    out.emplace_back(LogEvent{Severity::Info,
                              "copy_written",
                              {{"partition", std::to_string(partition)},
                               {"config", std::to_string(it.content.configVersion)},
                               {"after_ms", std::to_string((now - m_dueAt) / 1ms)}}});
    checkContent(it);
}

void OperatorCopies::onFailure(Partition &it, TimePoint now)
{
    it.nextCallAt = now + storeRetryDelay(it.failures++, m_random);
}

} // namespace cactuscove
