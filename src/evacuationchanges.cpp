// The state at the last call is kept, and compared with the new one.

#include "evacuationchanges.h"

#include <algorithm>

namespace cactuscove {

namespace {

// More keys than there are data centres; only bounds the memory that unreadable keys can take.
constexpr std::size_t MaxLoggedKeys = 256;

const EvacuationRecord *find(const std::vector<EvacuationRecord> &records,
                             std::string_view dataCentre)
{
    const auto it
        = std::find_if(records.begin(), records.end(), [&](const EvacuationRecord &record) {
              return record.dataCentre == dataCentre;
          });
    return it == records.end() ? nullptr : &*it;
}

} // namespace

EvacuationChanges::Change
EvacuationChanges::update(const OperatorRecords &records, std::string_view source,
                          const std::function<std::size_t(std::string_view)> &workersIn)
{
    Change change;
    const std::vector<EvacuationRecord> evacuations = records.evacuations();
    for (const EvacuationRecord &it : evacuations) {
        const EvacuationRecord *previous = find(m_evacuations, it.dataCentre);
        if ((previous && previous->isEvacuated) == it.isEvacuated)
            continue;
        addLogged(it.dataCentre, it.offset);
        change.events.push_back({it.isEvacuated ? Severity::Warning : Severity::Info,
                                 it.isEvacuated ? "evacuation_in_force" : "evacuation_withdrawn",
                                 {{"data_centre", it.dataCentre},
                                  {"offset", std::to_string(it.offset.value)},
                                  {"source", std::string(source)},
                                  {"workers", std::to_string(workersIn(it.dataCentre))}}});
    }
    change.mustBeSent = evacuations != m_evacuations || records.readUpTo() != m_readUpTo;
    m_evacuations = evacuations;
    m_readUpTo = records.readUpTo();
    return change;
}

bool EvacuationChanges::addLogged(std::string_view key, LogOffset offset)
{
    const auto it = m_logged.find(key);
    if (it != m_logged.end())
        return std::exchange(it->second, offset) != offset;
    if (m_logged.size() >= MaxLoggedKeys)
        m_logged.erase(m_logged.begin());
    m_logged.emplace(key, offset);
    return true;
}

std::optional<LogEvent> EvacuationChanges::unreadable(std::string_view key, LogOffset offset,
                                                      std::string_view reason)
{
    if (!addLogged(key, offset))
        return std::nullopt;
    return LogEvent{Severity::Error,
                    "evacuation_unreadable",
                    {{"key", std::string(key)},
                     {"offset", std::to_string(offset.value)},
                     {"reason", std::string(reason)}}};
}

std::optional<LogEvent> EvacuationChanges::withoutEffect(const EvacuationRecord &record,
                                                         const OperatorRecords &records)
{
    if (!addLogged(record.dataCentre, record.offset))
        return std::nullopt;
    return LogEvent{Severity::Info,
                    "evacuation_unchanged",
                    {{"data_centre", record.dataCentre},
                     {"offset", std::to_string(record.offset.value)},
                     {"requested", record.isEvacuated ? "true" : "false"},
                     {"in_force", records.isEvacuated(record.dataCentre) ? "true" : "false"}}};
}

} // namespace cactuscove
