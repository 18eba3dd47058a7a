// Counters only rise, so the difference to the last call is added.

#include "scarcitymetrics.h"

#include <set>
#include <string>
#include <utility>

namespace cactuscove {

void ScarcityMetrics::addPlacement(const PlacementCounts &counts, Metrics &metrics)
{
    const auto add = [&](const char *kind, std::uint64_t count, std::uint64_t &added) {
        if (count > added)
            metrics.add("cactuscove_placement_total", {{"kind", kind}},
                        static_cast<double>(count - std::exchange(added, count)));
    };
    add("reserved", counts.reservations, m_added.reservations);
    add("moved", counts.movedReservations, m_added.movedReservations);
    add("whole", counts.wholeStarts, m_added.wholeStarts);
    add("backfilled", counts.backfills, m_added.backfills);
}

void ScarcityMetrics::setDemand(const JobDispatcher &dispatcher, TimePoint now, Metrics &metrics)
{
    std::set<std::string> upstreams;
    for (const QueueSettings &it : dispatcher.config().queues)
        upstreams.insert(it.upstream);
    for (const std::string &upstream : upstreams)
        if (const auto fleet = dispatcher.fleetUtilisation(upstream, now))
            for (const auto &[priority, utilisation] : fleet->byPriority)
                metrics.set("cactuscove_demand_utilisation",
                            {{"upstream", upstream}, {"priority", std::to_string(priority)}},
                            utilisation);
    for (const auto &[queue, part] : dispatcher.acceptedParts())
        metrics.set("cactuscove_accepted_part", {{"queue", queue}}, part);
}

} // namespace cactuscove
