// Joins the demand of the callers, the reports of agents and the quota of each queue.

#include "demandcontrol.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// An entry whose callers asked for little lately may count on this part of an equal share: its
// demand is then known from a few jobs only.
constexpr double MinPartOfEqualShare = 0.25;
// A change of the accepted part that is logged, and the shortest time between two lines of a queue.
constexpr double LoggedChange = 0.1;
constexpr Duration LogInterval = 1s;
// Accepted work that still waits counts as demand that has to start within this time. So fewer new
// jobs are accepted while too many wait, for example because run times were underestimated.
constexpr double WaitingWorkPeriodMs = 200;

// With two decimals.
std::string toText(double value)
{
    const auto hundredths = std::llround(value * 100);
    const std::string digits = std::to_string(hundredths % 100);
    return std::to_string(hundredths / 100) + (digits.size() == 1 ? ".0" : ".") + digits;
}

} // namespace

DemandControl::DemandControl(TimePoint startedAt)
    : m_meter(startedAt)
{}

std::optional<LogEvent> DemandControl::onHeartbeat(Incarnation agent,
                                                   const PeerHeartbeat &heartbeat,
                                                   const DispatchConfig &config, TimePoint now)
{
    DemandTable::Upstreams upstreams;
    for (const QueueSettings &it : config.queues)
        upstreams.insert(it.upstream);
    return m_agents.update(agent, heartbeat, upstreams, now);
}

DemandControl::Decision DemandControl::onJob(const QueueSettings &queue, CoreMs work,
                                             const std::optional<FleetUtilisation> &utilisation,
                                             TimePoint now)
{
    m_meter.record(queue.upstream, queue.priority, work, now);
    Decision decision;
    QueuePart &it = m_parts[queue.name];
    it.part = 1;
    if (utilisation) {
        const std::map<int, double> parts = acceptedParts(utilisation->byPriority);
        const auto part = parts.find(queue.priority);
        it.part = part == parts.end() ? 1 : part->second;
        decision.partChange = partChange(queue, it, *utilisation, now);
    }
    decision.part = it.part;
    decision.isAccepted = m_quota.accept(queue.name, work, it.part);
    decision.retryAfter = retryAfterOf(it.part);
    return decision;
}

std::optional<LogEvent> DemandControl::partChange(const QueueSettings &queue, QueuePart &it,
                                                  const FleetUtilisation &utilisation,
                                                  TimePoint now) const
{
    const bool isNoticeable
        = std::abs(it.part - it.loggedPart) >= LoggedChange || (it.part < 1) != (it.loggedPart < 1);
    if (!isNoticeable || (it.loggedAt != TimePoint{} && now - it.loggedAt < LogInterval))
        return std::nullopt;
    const double previous = std::exchange(it.loggedPart, it.part);
    it.loggedAt = now;
    const auto own = utilisation.byPriority.find(queue.priority);
    return LogEvent{
        Severity::Info,
        "quota_changed",
        {{"queue", queue.name},
         {"priority", std::to_string(queue.priority)},
         {"part", toText(it.part)},
         {"previous", toText(previous)},
         {"utilisation", toText(utilisation.total())},
         {"priority_utilisation", toText(own == utilisation.byPriority.end() ? 0 : own->second)},
         {"target", toText(TargetUtilisation)},
         {"own_cores", toText(m_meter.cores(queue.upstream, queue.priority, now))},
         {"agents", std::to_string(utilisation.reports)},
         {"age_ms", toMsString(utilisation.age)}}};
}

std::vector<DemandReport> DemandControl::reports(
    const DispatchConfig &config, const WorkerDirectory &directory, const WaitingWork &waiting,
    const std::function<WorkerPool(std::string_view upstream)> &poolOf, TimePoint now) const
{
    std::map<std::string_view, std::set<int>> priorities; // by upstream
    for (const QueueSettings &it : config.queues)
        priorities[it.upstream].insert(it.priority);
    std::vector<DemandReport> reports;
    for (const auto &[upstream, levels] : priorities) {
        const double cores
            = static_cast<double>(
                  directory.usableCapacity(upstream, now, poolOf(upstream)).total.cpuMillis)
              / 1000;
        if (cores <= 0)
            continue;
        for (const int priority : levels) {
            const auto it = waiting.find({upstream, priority});
            const double waitingCores = it == waiting.end() ? 0 : it->second / WaitingWorkPeriodMs;
            reports.push_back({std::string(upstream), priority,
                               (m_meter.cores(upstream, priority, now) + waitingCores) / cores});
        }
    }
    return reports;
}

std::optional<FleetUtilisation>
DemandControl::utilisation(std::string_view upstream,
                           const WorkerDirectory::UsableCapacity &capacity, TimePoint now) const
{
    return m_agents.mean(upstream, capacity.coresByAgent, now);
}

double DemandControl::shareOfCores(std::string_view upstream, const FleetUtilisation &utilisation,
                                   double equalShare, TimePoint now) const
{
    const double share = m_meter.cores(upstream, now) / std::max(utilisation.total(), 1e-3);
    return std::max(share, equalShare * MinPartOfEqualShare);
}

std::map<std::string, double> DemandControl::parts() const
{
    std::map<std::string, double> parts;
    for (const auto &[queue, it] : m_parts)
        parts[queue] = it.part;
    return parts;
}

} // namespace cactuscove
