// Finds the snapshot from which a process restores its ledger if the log has already trimmed the
// records that it needs next.

#pragma once

#include "records.h"
#include "types.h"

#include <deque>
#include <optional>
#include <vector>

namespace cactuscove {

// A snapshot and what to apply after it.
struct SnapshotStart
{
    SnapshotRecord snapshot;
    std::vector<LogRecord> records; // all that were read after snapshot.asOf, in order
};

// The log client adds every record from the first one that the log still has to the end of the log.
// The search keeps the snapshot with the highest `asOf` after which no record is missing. Snapshots
// may be in the log in any order, because a late copy of an append describes an older offset.
class SnapshotSearch
{
public:
    void begin(LogOffset firstRetained); // discards everything found so far
    void add(LogRecord record);          // to be called in offset order, without gaps
    std::optional<SnapshotStart> take(); // none if no usable snapshot was added; ends the search

    bool hasSnapshot() const { return m_best.has_value(); }
    LogOffset firstOffset() const { return m_first; } // every record from here on was added

private:
    // `at` is the offset of the snapshot's own record.
    bool isUsable(const SnapshotRecord &snapshot, LogOffset at) const;

    LogOffset m_first;
    std::deque<LogRecord> m_records; // of offsets above m_best->asOf
    std::optional<SnapshotRecord> m_best;
};

} // namespace cactuscove
