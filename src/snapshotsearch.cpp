// Picks the newest usable snapshot out of a whole read of the log.

#include "snapshotsearch.h"

#include "ledger.h"

#include <iterator>

namespace cactuscove {

namespace {

// Bounds the memory of a search. Entries write a snapshot every 2,000 records, so this many records
// after one mean that nobody writes snapshots. The oldest records are then dropped, and with them a
// snapshot that needs them.
constexpr std::size_t MaxRecords = 50'000;

} // namespace

void SnapshotSearch::begin(LogOffset firstRetained)
{
    m_first = firstRetained;
    m_records.clear();
    m_best.reset();
}

bool SnapshotSearch::isUsable(const SnapshotRecord &snapshot, LogOffset at) const
{
    return snapshot.asOf < at && snapshot.asOf.value + 1 >= m_first.value
           && (!m_best || snapshot.asOf > m_best->asOf) && isOk(Ledger::fromSnapshot(snapshot));
}

void SnapshotSearch::add(LogRecord record)
{
    const auto *snapshot = std::get_if<SnapshotRecord>(&record.record.body);
    if (snapshot && isUsable(*snapshot, record.offset)) {
        m_best = *snapshot;
        while (!m_records.empty() && m_records.front().offset <= m_best->asOf)
            m_records.pop_front();
    }
    m_records.push_back(std::move(record));
    if (m_records.size() > MaxRecords) {
        m_first = LogOffset{m_records.front().offset.value + 1};
        m_records.pop_front();
        if (m_best && m_best->asOf.value + 1 < m_first.value)
            m_best.reset();
    }
}

std::optional<SnapshotStart> SnapshotSearch::take()
{
    if (!m_best)
        return std::nullopt;
    SnapshotStart start{
        std::move(*m_best),
        {std::make_move_iterator(m_records.begin()), std::make_move_iterator(m_records.end())}};
    begin(LogOffset{});
    return start;
}

} // namespace cactuscove
