// The operators' records as a process knows them: the configuration in force and the data centres
// that are evacuated, which get no new tasks until the operators take the evacuation back. Merges
// what comes from the store, from other processes and from copies, in any order and any number of
// times: newer knowledge is never replaced by older.
//
// Does no I/O and reads no clock.

#pragma once

#include "types.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// The newest known request for one data centre.
struct EvacuationRecord
{
    std::string dataCentre;
    bool isEvacuated = false; // false: it was taken back
    LogOffset offset;         // of the record in the operators' topic

    bool operator==(const EvacuationRecord &) const = default;
};

// The operators' records up to one offset of their topic.
struct OperatorSnapshot
{
    std::uint64_t configVersion = 0; // 0: no configuration is known
    std::string configText;          // as the operators wrote it
    std::vector<EvacuationRecord> evacuations;
    // All evacuations before this offset are listed; one that is not has been taken back.
    LogOffset readUpTo;

    bool operator==(const OperatorSnapshot &) const = default;
};

// One object per process.
class OperatorRecords
{
public:
    // Commands. Each returns whether what it concerns has changed.

    // Versions only rise: an older or equal one changes nothing.
    bool updateConfig(std::uint64_t version, std::string text);
    // A record of the operators' topic that imposes an evacuation or takes it back.
    bool updateEvacuation(const EvacuationRecord &record);
    // All records of the topic before `readUpTo` were read; only `evacuated` are evacuated there.
    bool completeRead(const std::set<std::string> &evacuated, LogOffset readUpTo);
    // Evacuations that another process knows.
    bool mergeEvacuations(const std::vector<EvacuationRecord> &evacuations, LogOffset readUpTo);

    // Queries

    std::uint64_t configVersion() const { return m_configVersion; }
    const std::string &configText() const { return m_configText; }
    LogOffset readUpTo() const { return m_readUpTo; }
    bool isEvacuated(std::string_view dataCentre) const;
    std::set<std::string> evacuatedDataCentres() const;
    std::vector<EvacuationRecord> evacuations() const; // with those that were taken back
    OperatorSnapshot snapshot() const;

private:
    struct Evacuation
    {
        bool isEvacuated = false;
        LogOffset offset;
    };

    std::uint64_t m_configVersion = 0;
    std::string m_configText;
    std::map<std::string, Evacuation, std::less<>> m_evacuations; // by data centre
    LogOffset m_readUpTo;                                         // only rises
};

} // namespace cactuscove
