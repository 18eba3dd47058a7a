// Evacuations are merged by the offset of their records, the configuration by its version.

#include "operatorrecords.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

bool OperatorRecords::updateConfig(std::uint64_t version, std::string text)
{
    if (version <= m_configVersion)
        return false;
    m_configVersion = version;
    m_configText = std::move(text);
    return true;
}

// A record before m_readUpTo that is not known was taken back before that offset.
bool OperatorRecords::updateEvacuation(const EvacuationRecord &record)
{
    const auto it = m_evacuations.find(record.dataCentre);
    const bool isOlder = it == m_evacuations.end() ? record.offset < m_readUpTo
                                                   : record.offset <= it->second.offset;
    if (isOlder)
        return false;
    Evacuation &known = m_evacuations[record.dataCentre];
    known.offset = record.offset;
    return std::exchange(known.isEvacuated, record.isEvacuated) != record.isEvacuated;
}

bool OperatorRecords::completeRead(const std::set<std::string> &evacuated, LogOffset readUpTo)
{
    bool hasChanged = false;
    for (auto &[dataCentre, it] : m_evacuations) {
        if (evacuated.count(dataCentre) > 0 || it.offset >= readUpTo)
            continue;
        it.offset = LogOffset{readUpTo.value - 1};
        hasChanged |= std::exchange(it.isEvacuated, false);
    }
    m_readUpTo = std::max(m_readUpTo, readUpTo);
    return hasChanged;
}

bool OperatorRecords::mergeEvacuations(const std::vector<EvacuationRecord> &evacuations,
                                       LogOffset readUpTo)
{
    const std::set<std::string> before = evacuatedDataCentres();
    std::set<std::string> listed;
    for (const EvacuationRecord &it : evacuations) {
        updateEvacuation(it);
        listed.insert(it.dataCentre);
    }
    completeRead(listed, readUpTo);
    return evacuatedDataCentres() != before;
}

bool OperatorRecords::isEvacuated(std::string_view dataCentre) const
{
    const auto it = m_evacuations.find(dataCentre);
    return it != m_evacuations.end() && it->second.isEvacuated;
}

std::set<std::string> OperatorRecords::evacuatedDataCentres() const
{
    std::set<std::string> names;
    for (const auto &[dataCentre, it] : m_evacuations)
        if (it.isEvacuated)
            names.insert(dataCentre);
    return names;
}

std::vector<EvacuationRecord> OperatorRecords::evacuations() const
{
    std::vector<EvacuationRecord> records;
    for (const auto &[dataCentre, it] : m_evacuations)
        records.push_back({dataCentre, it.isEvacuated, it.offset});
    return records;
}

OperatorSnapshot OperatorRecords::snapshot() const
{
    return {m_configVersion, m_configText, evacuations(), m_readUpTo};
}

} // namespace cactuscove
