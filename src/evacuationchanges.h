// What has changed in the evacuations that a process knows, since it was last told: whether the
// other processes must be told, and the lines for the log. Used by entries and agents, whose
// OperatorRecords are changed by the store, by other processes and by copies alike.
//
// Does no I/O and reads no clock.

#pragma once

#include "operatorrecords.h"
#include "outbox.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

class EvacuationChanges
{
public:
    struct Change
    {
        bool mustBeSent = false; // other processes may not know this state
        // One line for each data centre whose tasks were started before and are not any more, or
        // the other way round.
        std::vector<LogEvent> events;
    };

    // Compares `records` with their state at the previous call. `source` says for the log where the
    // change comes from. `workersIn` returns the number of known workers in a data centre.
    Change update(const OperatorRecords &records, std::string_view source,
                  const std::function<std::size_t(std::string_view)> &workersIn);

    // Lines about a record of the operators' topic that changes nothing: it cannot be decoded, or
    // it repeats or is older than what is in force. The store may deliver the same record again;
    // none then.
    std::optional<LogEvent> unreadable(std::string_view key, LogOffset offset,
                                       std::string_view reason);
    std::optional<LogEvent> withoutEffect(const EvacuationRecord &record,
                                          const OperatorRecords &records);

private:
    // Remembers that the record at this offset was logged. Returns false if it was before.
    bool addLogged(std::string_view key, LogOffset offset);

    std::vector<EvacuationRecord> m_evacuations;            // at the last update()
    LogOffset m_readUpTo;                                   // the same
    std::map<std::string, LogOffset, std::less<>> m_logged; // newest logged record of each key
};

} // namespace cactuscove
