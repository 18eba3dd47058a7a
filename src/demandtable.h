// The newest demand reports of the connected peers. At an agent the peers are the entries: the sum
// of their reports is the utilisation to expect of its workers. At an entry the peers are its
// agents: the mean of their reports, weighted by cores, is the utilisation of the fleet.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "dispatchmessages.h"
#include "outbox.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// Utilisation of the fleet for one upstream, by priority. Above 1, jobs ask for more cores than
// there are.
struct FleetUtilisation
{
    std::map<int, double> byPriority; // the most urgent first
    Duration age{};                   // of the oldest report that it is computed from
    std::size_t reports = 0;          // number of agents that it is computed from

    double total() const;
};

// True if the demand differs by more than a tenth, so that a peer should be told before the next
// regular heartbeat.
bool differsNoticeably(std::span<const DemandReport> sent, std::span<const DemandReport> current);

// One object per process.
class DemandTable
{
public:
    using Upstreams = std::set<std::string, std::less<>>;

    // Commands

    // A new connection; reports of an older one are dropped.
    void connected(Incarnation peer);
    void disconnected(Incarnation peer);
    // Takes the reports of a heartbeat. They are ignored if one of them cannot be right; a report
    // of an upstream that is not in `upstreams` is left out. Returns a log line for the first such
    // report of a connection.
    std::optional<LogEvent> update(Incarnation peer, const PeerHeartbeat &heartbeat,
                                   const Upstreams &upstreams, TimePoint now);

    // Queries

    // Sum over the connected peers. A peer without a fresh report counts as the mean of the others;
    // empty if there is no fresh report.
    std::vector<DemandReport> sum(TimePoint now) const;
    // Mean over the peers with a fresh report, weighted by `cores`; none if these have less than
    // half of all cores.
    std::optional<FleetUtilisation> mean(std::string_view upstream,
                                         const std::map<Incarnation, double> &cores,
                                         TimePoint now) const;

private:
    struct Peer
    {
        std::vector<DemandReport> reports; // empty: none yet
        TimePoint reportedAt{};            // own clock
        TimePoint sentAt{};                // peer's clock in the newest heartbeat
        TimePoint heardAt{};               // own clock; TimePoint{} before the first heartbeat
        bool isFaultLogged = false;        // a report of this connection was logged as ignored
    };

    static bool isFresh(const Peer &peer, TimePoint now);

    std::map<Incarnation, Peer> m_peers; // connected peers
};

} // namespace cactuscove
