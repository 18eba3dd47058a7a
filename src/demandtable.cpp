// Checks reports, adds them up, and replaces those that are too old by the mean of the others.

#include "demandtable.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Heartbeats come every second on busy connections; one may be lost with a connection.
constexpr Duration MaxReportAge = 2500ms;
// A peer's clock that is further ahead than this, compared with the heartbeat before, is wrong.
// Longer than a message can be under way on a connection that is not closed as silent.
constexpr Duration MaxClockStep = 2s;
// A single entry cannot see more demand than this for each core; also keeps sums finite.
constexpr double MaxUtilisation = 1000;
// Change of the demand that is worth a message, as a part of the demand.
constexpr double NoticeableChange = 0.1;
// Changes below this part of the cores do not matter, however small the demand is.
constexpr double MinNoticeableChange = 0.005;
// Part of the cores that must have a fresh report.
constexpr double MinReportedShare = 0.5;

double totalOf(std::span<const DemandReport> reports)
{
    return std::accumulate(reports.begin(), reports.end(), 0.0,
                           [](double sum, const DemandReport &it) { return sum + it.utilisation; });
}

// Utilisation in a list of reports; 0 if it has none for this upstream and priority.
double utilisationIn(std::span<const DemandReport> reports, std::string_view upstream, int priority)
{
    for (const DemandReport &it : reports)
        if (it.upstream == upstream && it.priority == priority)
            return it.utilisation;
    return 0;
}

bool isPossible(const DemandReport &report)
{
    return std::isfinite(report.utilisation) && report.utilisation >= 0
           && report.utilisation <= MaxUtilisation;
}

LogEvent ignoredEvent(Incarnation peer, std::string_view reason, const DemandReport &report)
{
    return {Severity::Warning,
            "demand_report_ignored",
            {{"peer", std::to_string(peer.value)},
             {"reason", std::string(reason)},
             {"upstream", report.upstream},
             {"priority", std::to_string(report.priority)},
             {"utilisation", std::to_string(report.utilisation)}}};
}

} // namespace

double FleetUtilisation::total() const
{
    return std::accumulate(byPriority.begin(), byPriority.end(), 0.0,
                           [](double sum, const auto &it) { return sum + it.second; });
}

bool differsNoticeably(std::span<const DemandReport> sent, std::span<const DemandReport> current)
{
    double change = 0;
    for (const DemandReport &it : current)
        change += std::abs(it.utilisation - utilisationIn(sent, it.upstream, it.priority));
    const double total = std::max(totalOf(sent), totalOf(current));
    return change > std::max(NoticeableChange * total, MinNoticeableChange);
}

void DemandTable::connected(Incarnation peer)
{
    m_peers[peer] = {};
}

void DemandTable::disconnected(Incarnation peer)
{
    m_peers.erase(peer);
}

std::optional<LogEvent> DemandTable::update(Incarnation peer, const PeerHeartbeat &heartbeat,
                                            const Upstreams &upstreams, TimePoint now)
{
    const auto found = m_peers.find(peer);
    if (found == m_peers.end() || heartbeat.demand.empty())
        return std::nullopt;
    Peer &it = found->second;
    std::optional<LogEvent> fault;
    const bool isFuture = it.heardAt != TimePoint{}
                          && heartbeat.sentAt - it.sentAt > now - it.heardAt + MaxClockStep;
    const auto impossible = std::find_if(heartbeat.demand.begin(), heartbeat.demand.end(),
                                         [](const DemandReport &r) { return !isPossible(r); });
    if (isFuture) {
        fault = ignoredEvent(peer, "sent in the future", heartbeat.demand.front());
    } else if (impossible != heartbeat.demand.end()) {
        fault = ignoredEvent(peer, "impossible utilisation", *impossible);
    } else if (heartbeat.sentAt >= it.sentAt) {
        it.sentAt = heartbeat.sentAt;
        it.heardAt = it.reportedAt = now;
        it.reports.clear();
        for (const DemandReport &report : heartbeat.demand)
            if (upstreams.count(report.upstream))
                it.reports.push_back(report);
            else
                fault = ignoredEvent(peer, "unknown upstream", report);
    }
    return fault && !std::exchange(it.isFaultLogged, true) ? fault : std::nullopt;
}

bool DemandTable::isFresh(const Peer &peer, TimePoint now)
{
    return !peer.reports.empty() && now - peer.reportedAt <= MaxReportAge;
}

std::vector<DemandReport> DemandTable::sum(TimePoint now) const
{
    std::map<std::pair<std::string, int>, double> sums;
    std::size_t fresh = 0;
    for (const auto &[id, peer] : m_peers) {
        if (!isFresh(peer, now))
            continue;
        ++fresh;
        for (const DemandReport &it : peer.reports)
            sums[{it.upstream, it.priority}] += it.utilisation;
    }
    std::vector<DemandReport> reports;
    reports.reserve(sums.size());
    const double factor
        = fresh == 0 ? 0 : static_cast<double>(m_peers.size()) / static_cast<double>(fresh);
    for (const auto &[key, sum] : sums)
        reports.push_back({key.first, key.second, sum * factor});
    return reports;
}

std::optional<FleetUtilisation> DemandTable::mean(std::string_view upstream,
                                                  const std::map<Incarnation, double> &cores,
                                                  TimePoint now) const
{
    FleetUtilisation mean;
    double allCores = 0;
    double reportedCores = 0;
    for (const auto &[id, weight] : cores) {
        allCores += weight;
        const auto peer = m_peers.find(id);
        if (peer == m_peers.end() || !isFresh(peer->second, now))
            continue;
        reportedCores += weight;
        ++mean.reports;
        mean.age = std::max<Duration>(mean.age, now - peer->second.reportedAt);
        for (const DemandReport &it : peer->second.reports)
            if (it.upstream == upstream)
                mean.byPriority[it.priority] += it.utilisation * weight;
    }
    if (reportedCores <= 0 || reportedCores < MinReportedShare * allCores)
        return std::nullopt;
    for (auto &[priority, utilisation] : mean.byPriority)
        utilisation /= reportedCores;
    return mean;
}

} // namespace cactuscove
