// The connection that an agent opens to one entry: what it knows of the entry, and what it has sent
// to it last.

#pragma once

#include "demandtable.h"
#include "framedlink.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cactuscove {

class OperatorRecords;
class TaskRunner;

// It may be closed. The functions that send must be called only while `entry` is set.
struct EntryConnection
{
    // Whether the entry was told that the workers are gone, so that the connection can be closed.
    bool isReleasing() const { return releasingSince != NeverTime; }

    void sendReports(const TaskRunner &runner, TimePoint now); // of crashes and of open starts
    void sendEvacuations(const OperatorRecords &records);
    void sendInventory(const TaskRunner &runner);
    // Sends all workers, as gone while isReleasing(), and their loads.
    void sendWorkers(const TaskRunner &runner, TimePoint now);
    // `loads` are those of `runner`.
    void sendLoads(const TaskRunner &runner, const std::vector<WorkerLoad> &loads);
    // `connectedEntries` is the number of entries that this agent has a connection to.
    void sendHeartbeat(TimePoint now, std::uint32_t connectedEntries,
                       const std::vector<DemandReport> &demand);

    std::unique_ptr<FramedLink> link; // none while closed
    TimePoint dialledAt{};
    TimePoint lastMessageAt{};                  // or dialledAt before the first message
    TimePoint releasingSince = NeverTime;       // when the entry was told that the workers are gone
    std::optional<PeerHello> entry;             // its hello; none until that arrives
    std::vector<std::string> orphanFreeWorkers; // as sent last
    std::uint64_t loadVersion = 0;              // TaskRunner::loadVersion() as sent last
    std::vector<DemandReport> sentDemand;       // in the newest heartbeat
};

} // namespace cactuscove
