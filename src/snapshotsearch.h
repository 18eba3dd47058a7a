// Where a reader starts when the log no longer has the records that it needs.

#pragma once

#include "records.h"
#include "types.h"

#include <deque>
#include <optional>
#include <vector>

namespace cactuscove {

struct SnapshotStart
{
    SnapshotRecord snapshot;
    std::vector<LogRecord> records; // all that were read after snapshot.asOf, in order
};

// Is given every record from the first retained offset to the tip, and picks the newest snapshot
// that all later records are known for. The order of the snapshots in the log does not matter: a
// late copy names an older offset.
class SnapshotSearch
{
public:
    void begin(LogOffset firstRetained);
    void add(LogRecord record);
    std::optional<SnapshotStart> take();

    bool hasSnapshot() const { return m_best.has_value(); }
    LogOffset firstOffset() const { return m_first; } // all records from here on are known

private:
    bool isUsable(const SnapshotRecord &snapshot, LogOffset at) const;

    LogOffset m_first;               // every record from here on has been added
    std::deque<LogRecord> m_records; // of offsets above m_best->asOf
    std::optional<SnapshotRecord> m_best;
};

} // namespace cactuscove
