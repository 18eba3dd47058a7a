// Failure rates, ejection and probing.

#include "workerhealth.h"

#include <algorithm>

namespace cactuscove {

namespace {

using std::chrono::seconds;

// Weight of the newest result. Four failures in a row pass the default threshold of 0.5; a worker
// with 5% independent failures has such a row once in 160,000 tasks.
constexpr double NewestShare = 0.2;

// A worker returns when its rate falls below this part of the threshold, which takes four probes
// in a row from a rate of 0.59; the gap keeps it from being ejected again by one failure.
constexpr double ReturnPart = 0.5;

// 11 homes probe independently. With 15 s between the probes of one home, they start 0.7 tasks/s on
// the worker, below 1% of the starts of a fleet of 88 slots at 50% load (about 90/s).
constexpr Duration FirstProbeInterval = seconds(15);
constexpr Duration MaxProbeInterval = seconds(60);

// Agents that fail often but may not be ejected keep this weight.
constexpr double MinWeight = 0.05;

} // namespace

void WorkerHealth::configure(std::string_view upstream, double ejectionThreshold,
                             double maxEjectedFraction)
{
    m_limits[std::string(upstream)] = {ejectionThreshold, maxEjectedFraction};
}

void WorkerHealth::setAgent(Incarnation agent, std::string_view upstream)
{
    State &state = m_agents[agent];
    if (state.upstream != upstream)
        state = State{std::string(upstream)};
}

void WorkerHealth::removeAgent(Incarnation agent)
{
    m_agents.erase(agent);
}

void WorkerHealth::succeeded(Incarnation agent, Duration, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    State &state = it->second;
    state.failureRate *= 1 - NewestShare;
    if (!state.ejected)
        return;
    state.probing = false;
    state.probeInterval = FirstProbeInterval;
    state.nextProbe = now; // go on probing at once
    if (state.failureRate < limitsOf(state.upstream).ejectionThreshold * ReturnPart)
        state.ejected = false;
}

void WorkerHealth::failed(Incarnation agent, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    State &state = it->second;
    if (state.ejected) {
        // Late failures of tasks started before the ejection do not count as probes, and the rate
        // stays where it was so that a recovered worker returns after a few probes.
        if (state.probing || now >= state.nextProbe) {
            state.probing = false;
            state.probeInterval = std::min(state.probeInterval * 2, MaxProbeInterval);
            state.nextProbe = now + state.probeInterval;
        }
        return;
    }
    state.failureRate += NewestShare * (1 - state.failureRate);
    eject(state, now);
}

void WorkerHealth::reported(Incarnation agent, double failureRate, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || it->second.ejected)
        return;
    const double own = it->second.failureRate;
    it->second.failureRate = std::max(own, failureRate);
    eject(it->second, now);
    if (!it->second.ejected)
        it->second.failureRate = own;
}

void WorkerHealth::eject(State &state, TimePoint now) const
{
    if (state.failureRate <= limitsOf(state.upstream).ejectionThreshold
        || !mayEjectOneMore(state.upstream))
        return;
    state.ejected = true;
    state.probeInterval = FirstProbeInterval;
    state.nextProbe = now + state.probeInterval;
}

void WorkerHealth::probeSent(Incarnation agent, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || !it->second.ejected)
        return;
    it->second.probing = true;
    it->second.nextProbe = now + it->second.probeInterval; // in case its result never comes
}

double WorkerHealth::weight(Incarnation agent, TimePoint) const
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return 1;
    if (it->second.ejected)
        return 0;
    const double healthy = 1 - it->second.failureRate;
    return std::max(MinWeight, healthy * healthy);
}

bool WorkerHealth::isEjected(Incarnation agent, TimePoint) const
{
    const auto it = m_agents.find(agent);
    return it != m_agents.end() && it->second.ejected;
}

bool WorkerHealth::mayProbe(Incarnation agent, TimePoint now) const
{
    const auto it = m_agents.find(agent);
    return it != m_agents.end() && it->second.ejected && now >= it->second.nextProbe;
}

const WorkerHealth::Limits &WorkerHealth::limitsOf(const std::string &upstream) const
{
    static const Limits defaults;
    const auto it = m_limits.find(upstream);
    return it == m_limits.end() ? defaults : it->second;
}

bool WorkerHealth::mayEjectOneMore(const std::string &upstream) const
{
    std::size_t total = 0;
    std::size_t ejected = 0;
    for (const auto &[agent, state] : m_agents) {
        total += state.upstream == upstream ? 1 : 0;
        ejected += state.upstream == upstream && state.ejected ? 1 : 0;
    }
    return static_cast<double>(ejected + 1)
           <= limitsOf(upstream).maxEjectedFraction * static_cast<double>(total);
}

} // namespace cactuscove
