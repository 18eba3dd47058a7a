// Failure rate per agent and ejection of workers that fail what they start.

#pragma once

#include "types.h"

#include <map>
#include <string>
#include <string_view>

namespace cactuscove {

class WorkerHealth
{
public:
    // Commands
    void configure(std::string_view upstream, double ejectionThreshold, double maxEjectedFraction);
    void setAgent(Incarnation agent, std::string_view upstream);
    void removeAgent(Incarnation agent);
    void succeeded(Incarnation agent, Duration runTime, TimePoint now);
    void failed(Incarnation agent, TimePoint now); // not for tasks that can run nowhere
    // The failure rate that the agent itself reports. It counts the tasks of every home, so that
    // each home need not lose tasks of its own first.
    void reported(Incarnation agent, double failureRate, TimePoint now);
    // A task was sent to an ejected agent; the next probe waits for its result or the interval.
    void probeSent(Incarnation agent, TimePoint now);

    // Queries
    // Weight for placement in [0, 1]: 0 is ejected; an ejected agent gets single probes.
    double weight(Incarnation agent, TimePoint now) const;
    bool isEjected(Incarnation agent, TimePoint now) const;
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
        bool probing = false;
        Duration probeInterval{}; // doubles with each failed probe
        TimePoint nextProbe{};
    };

    void eject(State &state, TimePoint now) const;
    const Limits &limitsOf(const std::string &upstream) const;
    bool mayEjectOneMore(const std::string &upstream) const;

    std::map<std::string, Limits, std::less<>> m_limits;
    std::map<Incarnation, State> m_agents;
};

} // namespace cactuscove
