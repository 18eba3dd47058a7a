// Implements failure rates, ejection and probing.

#include "workerhealth.h"

#include <algorithm>

namespace cactuscove {

namespace {

using std::chrono::seconds;

// Weight of the newest result in the failure rate. Four failures in a row exceed the default
// threshold of 0.5; a worker whose tasks fail independently at 5% has four in a row once in 160,000
// tasks.
constexpr double NewestResultWeight = 0.2;

// A worker returns when its failure rate falls below this part of the threshold. From a rate of
// 0.59 that takes four successful probes in a row. The hysteresis keeps a single failure from
// ejecting it again.
constexpr double ReturnThresholdFactor = 0.5;

// Homes probe independently of each other. With 15 s between the probes of one home, 11 homes start
// 0.7 tasks/s on the worker, which is below 1% of the starts of a fleet of 88 slots at 50% load
// (about 90/s).
constexpr Duration FirstProbeInterval = seconds(15);
constexpr Duration MaxProbeInterval = seconds(60);

// Least weight of an agent whose tasks fail often but that is not ejected.
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

void WorkerHealth::recordSuccess(Incarnation agent, Duration, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    State &state = it->second;
    state.failureRate *= 1 - NewestResultWeight;
    if (!state.ejected)
        return;
    state.isProbeInFlight = false;
    state.probeInterval = FirstProbeInterval;
    state.nextProbe = now; // the next probe follows a successful one at once
    if (state.failureRate < limitsOf(state.upstream).ejectionThreshold * ReturnThresholdFactor)
        state.ejected = false;
}

void WorkerHealth::recordFailure(Incarnation agent, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    State &state = it->second;
    if (state.ejected) {
        // Late failures of tasks that started before the ejection do not count as failed probes.
        // The failure rate does not rise further, so that a recovered worker returns after a few
        // probes.
        if (state.isProbeInFlight || now >= state.nextProbe) {
            state.isProbeInFlight = false;
            state.probeInterval = std::min(state.probeInterval * 2, MaxProbeInterval);
            state.nextProbe = now + state.probeInterval;
        }
        return;
    }
    state.failureRate += NewestResultWeight * (1 - state.failureRate);
    ejectIfUnhealthy(state, now);
}

void WorkerHealth::recordReportedRate(Incarnation agent, double failureRate, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || it->second.ejected)
        return;
    const double own = it->second.failureRate;
    it->second.failureRate = std::max(own, failureRate);
    ejectIfUnhealthy(it->second, now);
    if (!it->second.ejected)
        it->second.failureRate = own;
}

// Ejects the worker if its failure rate exceeds the threshold and the limit allows it.
void WorkerHealth::ejectIfUnhealthy(State &state, TimePoint now) const
{
    if (state.failureRate <= limitsOf(state.upstream).ejectionThreshold
        || !canEjectAnother(state.upstream))
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
    it->second.isProbeInFlight = true;
    it->second.nextProbe = now + it->second.probeInterval; // if no result arrives until then
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

bool WorkerHealth::canEjectAnother(const std::string &upstream) const
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
