// An entry's view of demand and capacity: measures the demand of its callers, reports it to the
// agents, and from what the agents report back decides which part of each queue's jobs is accepted.
// Used only with FeatureFlags::hasScarcityControl.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "admissionquota.h"
#include "demandmeter.h"
#include "demandtable.h"
#include "dispatchtypes.h"
#include "workerdirectory.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuscove {

// Used by JobDispatcher, one object per entry process.
class DemandControl
{
public:
    // `startedAt` is the start of the process.
    explicit DemandControl(TimePoint startedAt);

    // Commands

    void agentConnected(Incarnation agent) { m_agents.connected(agent); }
    void agentDisconnected(Incarnation agent) { m_agents.disconnected(agent); }
    // Returns a log line if a report is ignored.
    std::optional<LogEvent> onHeartbeat(Incarnation agent, const PeerHeartbeat &heartbeat,
                                        const DispatchConfig &config, TimePoint now);

    // What becomes of a new job.
    struct Decision
    {
        bool isAccepted = true;
        double part = 1;                    // of the queue's work that is accepted at present
        Duration retryAfter{};              // if it is not accepted
        std::optional<LogEvent> partChange; // line to log if the part has changed noticeably
    };
    // Counts the job's work as demand and decides whether it is accepted. Without `utilisation`
    // every job is.
    Decision onJob(const QueueSettings &queue, CoreMs work,
                   const std::optional<FleetUtilisation> &utilisation, TimePoint now);

    // Queries

    // Accepted work that waits for a worker, by upstream and priority.
    using WaitingWork = std::map<std::pair<std::string_view, int>, CoreMs>;
    // Demand for this entry's heartbeats: one report for each upstream and priority of the
    // configuration, also if it is 0, but none for an upstream without usable workers. `poolOf`
    // returns the workers that the demand at an upstream is for.
    std::vector<DemandReport> reports(
        const DispatchConfig &config, const WorkerDirectory &directory, const WaitingWork &waiting,
        const std::function<WorkerPool(std::string_view upstream)> &poolOf, TimePoint now) const;
    // None if too few agents report.
    std::optional<FleetUtilisation> utilisation(std::string_view upstream,
                                                const WorkerDirectory::UsableCapacity &capacity,
                                                TimePoint now) const;
    // Cores that this entry may count on if the fleet is shared in proportion to the demand at the
    // entries. `equalShare` are the cores for each entry if they share equally.
    double shareOfCores(std::string_view upstream, const FleetUtilisation &utilisation,
                        double equalShare, TimePoint now) const;
    // Part of each queue's work that was accepted last; without queues that had no job.
    std::map<std::string, double> parts() const;

private:
    struct QueuePart
    {
        double part = 1;
        double loggedPart = 1;
        TimePoint loggedAt{};
    };

    std::optional<LogEvent> partChange(const QueueSettings &queue, QueuePart &it,
                                       const FleetUtilisation &utilisation, TimePoint now) const;

    DemandMeter m_meter;
    DemandTable m_agents;
    AdmissionQuota m_quota;
    std::map<std::string, QueuePart, std::less<>> m_parts; // by queue
};

} // namespace cactuscove
