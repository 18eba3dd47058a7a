// Tracks the failure rate of every worker and ejects workers whose tasks fail too often. A worker
// is the upstream beside one agent and is identified by that agent.

#pragma once

#include "types.h"

#include <map>
#include <string>
#include <string_view>

namespace cactuscove {

// An ejected worker gets no tasks except single probes. Successful probes lower its failure rate
// until it returns; after a failed probe the interval to the next one doubles. JobHome calls this
// class from the event loop, and passes the weights to the placement. Calls about an unknown agent
// are ignored.
class WorkerHealth
{
public:
    // Commands
    // A worker is ejected when its failure rate exceeds `ejectionThreshold`, unless more than the
    // fraction `maxEjectedFraction` of the workers of its upstream would be ejected then. Both are
    // 0.5 for an upstream that is not configured.
    void configure(std::string_view upstream, double ejectionThreshold, double maxEjectedFraction);
    // Adds an agent, or resets its state if its upstream has changed.
    void setAgent(Incarnation agent, std::string_view upstream);
    void removeAgent(Incarnation agent);
    // A task of this home has completed on the worker. `runTime` is not used.
    void recordSuccess(Incarnation agent, Duration runTime, TimePoint now);
    // A task of this home has failed on the worker. Not to be called for a task that no worker can
    // run.
    void recordFailure(Incarnation agent, TimePoint now);
    // The failure rate in the load report of the agent, in [0, 1]. It counts the tasks of all
    // homes, so this home can eject the worker before tasks of its own have failed there.
    void recordReportedRate(Incarnation agent, double failureRate, TimePoint now);
    // A task was sent to an ejected agent as a probe. The next probe is due after its success or
    // after the probe interval.
    void probeSent(Incarnation agent, TimePoint now);

    // Queries
    // Weight for the placement in [0, 1]: 0 for an ejected agent, 1 for an unknown one, otherwise
    // the lower the higher the failure rate is, but at least 0.05.
    double weight(Incarnation agent, TimePoint now) const;
    bool isEjected(Incarnation agent, TimePoint now) const;
    // The agent is ejected and its next probe is due.
    bool mayProbe(Incarnation agent, TimePoint now) const;

private:
    struct Limits
    {
        double ejectionThreshold = 0.5;
        double maxEjectedFraction = 0.5;
    };
    struct State
    {
        std::string upstream;
        double failureRate = 0; // exponentially weighted, in [0, 1]
        bool ejected = false;
        bool isProbeInFlight = false; // a probe was sent and has no result yet
        Duration probeInterval{};     // doubles after each failed probe, up to 60 s
        TimePoint nextProbe{};
    };

    void ejectIfUnhealthy(State &state, TimePoint now) const;
    const Limits &limitsOf(const std::string &upstream) const;
    bool canEjectAnother(const std::string &upstream) const;

    std::map<std::string, Limits, std::less<>> m_limits; // by upstream
    std::map<Incarnation, State> m_agents;
};

} // namespace cactuscove
