// Builds the list of candidates from the load reports, and implements the policies.

#include "placement.h"

#include <algorithm>

namespace cactuscove {

namespace {

using std::chrono::milliseconds;

// Longest time from sending a task until a report of the agent counts it: one round trip (under
// 2 ms between data centres) and the batching of one turn of the event loop. A report may not count
// a task that was sent less than this time before the report was made.
constexpr Duration ReportDelay = milliseconds(3);

// Limit for the reservations of one flow that one home holds at one agent. An agent offers slots to
// the reservations of a flow in their order of arrival. With one reservation for each home it
// serves the homes in turn; with one for each queued task, a home with a job of 370 tasks would be
// served before all later jobs of the other homes.
constexpr double MaxFlowReservationsPerAgent = 1;

bool fits(const TaskResources &needs, const TaskResources &capacity)
{
    return needs.accelerators <= capacity.accelerators && needs.memoryMb <= capacity.memoryMb;
}

bool serves(const LoadReport &load, std::string_view upstream)
{
    return load.upstream == upstream && !load.draining && load.slots > 0;
}

void removeUntil(std::deque<TimePoint> &times, TimePoint end)
{
    while (!times.empty() && times.front() <= end)
        times.pop_front();
}

// Indexes of two different random candidates of `n`, or the same one twice if there is only one.
std::pair<std::size_t, std::size_t> pickTwo(std::size_t n, Random &random)
{
    const std::size_t first = random.below(n);
    if (n == 1)
        return {first, first};
    const std::size_t second = (first + 1 + random.below(n - 1)) % n;
    return {first, second};
}

std::optional<std::size_t> pickRandom(std::span<const Candidate> candidates, Random &random)
{
    if (candidates.empty())
        return std::nullopt;
    return random.below(candidates.size());
}

// Expected wait of a new reservation, in run times of a task.
double expectedWait(const Candidate &it)
{
    return (it.queued - it.freeSlots + 1) / (it.slots * it.weight);
}

} // namespace

// The choice is random in proportion to weight and free slots, so that homes with the same reports
// do not all choose the same agent.
std::optional<std::size_t> LoadReportPolicy::pickFree(std::span<const Candidate> candidates,
                                                      Random &random)
{
    for (const bool near : {true, false}) {
        double total = 0;
        for (const Candidate &it : candidates)
            total += it.near == near && it.freeSlots >= 1 ? it.weight * it.freeSlots : 0;
        if (total <= 0)
            continue;
        double threshold = random.fraction() * total;
        std::optional<std::size_t> chosen;
        for (std::size_t i = 0; i < candidates.size() && threshold >= 0; ++i) {
            const Candidate &it = candidates[i];
            if (it.near != near || it.freeSlots < 1)
                continue;
            threshold -= it.weight * it.freeSlots;
            chosen = i;
        }
        return chosen;
    }
    return std::nullopt;
}

std::optional<std::size_t>
LoadReportPolicy::pickForReservation(std::span<const Candidate> candidates, Random &random)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].reserved < MaxFlowReservationsPerAgent)
            open.push_back(i);
    }
    if (open.empty())
        return std::nullopt;
    const auto [first, second] = pickTwo(open.size(), random);
    const bool isFirst
        = expectedWait(candidates[open[first]]) <= expectedWait(candidates[open[second]]);
    return open[isFirst ? first : second];
}

std::optional<std::size_t> RandomPolicy::pickFree(std::span<const Candidate> candidates,
                                                  Random &random)
{
    return pickRandom(candidates, random);
}

std::optional<std::size_t> RandomPolicy::pickForReservation(std::span<const Candidate> candidates,
                                                            Random &random)
{
    return pickRandom(candidates, random);
}

std::optional<std::size_t> RoundRobinPolicy::pickFree(std::span<const Candidate> candidates,
                                                      Random &)
{
    if (candidates.empty())
        return std::nullopt;
    const auto next = std::find_if(candidates.begin(), candidates.end(),
                                   [this](const Candidate &it) { return it.agent > last; });
    const auto chosen = next == candidates.end() ? candidates.begin() : next;
    last = chosen->agent;
    return static_cast<std::size_t>(chosen - candidates.begin());
}

std::optional<std::size_t>
RoundRobinPolicy::pickForReservation(std::span<const Candidate> candidates, Random &random)
{
    return pickFree(candidates, random);
}

std::optional<std::size_t> StaleTwoChoicesPolicy::pickFree(std::span<const Candidate> candidates,
                                                           Random &random)
{
    if (candidates.empty())
        return std::nullopt;
    const auto [first, second] = pickTwo(candidates.size(), random);
    return candidates[first].reportedFreeSlots >= candidates[second].reportedFreeSlots ? first
                                                                                       : second;
}

std::optional<std::size_t>
StaleTwoChoicesPolicy::pickForReservation(std::span<const Candidate> candidates, Random &random)
{
    return pickFree(candidates, random);
}

template <PlacementPolicy Policy>
BasicPlacement<Policy>::BasicPlacement(std::string dataCentre, std::uint64_t seed)
    : m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::setAgent(Incarnation agent, std::string_view dataCentre)
{
    m_agents[agent].dataCentre = dataCentre;
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::removeAgent(Incarnation agent)
{
    m_agents.erase(agent);
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::updateLoad(const LoadReport &report, TimePoint now)
{
    m_now = std::max(m_now, now);
    const auto it = m_agents.find(report.agent);
    const TimePoint observedAt = now - report.age;
    if (it == m_agents.end() || observedAt < it->second.observedAt)
        return;
    Agent &agent = it->second;
    agent.load = report;
    agent.observedAt = observedAt;
    removeUntil(agent.recentSends, observedAt - ReportDelay);
    removeUntil(agent.recentReservations, observedAt - ReportDelay);
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::setWeight(Incarnation agent, double weight)
{
    if (const auto it = m_agents.find(agent); it != m_agents.end())
        it->second.weight = std::clamp(weight, 0.0, 1.0);
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::taskSent(Incarnation agent)
{
    if (const auto it = m_agents.find(agent); it != m_agents.end())
        it->second.recentSends.push_back(m_now);
}

// Does nothing: the envelope that reports the end carries a report that already counts the freed
// slot.
template <PlacementPolicy Policy>
void BasicPlacement<Policy>::taskEnded(Incarnation)
{}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::reservationMade(Incarnation agent, std::string_view flow)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    // The sent task occupies no slot.
    if (!it->second.recentSends.empty())
        it->second.recentSends.pop_front();
    it->second.recentReservations.push_back(m_now);
    ++it->second.reservationsByFlow[std::string(flow)];
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::reservationEnded(Incarnation agent, std::string_view flow)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    const auto held = it->second.reservationsByFlow.find(flow);
    if (held != it->second.reservationsByFlow.end() && --held->second == 0)
        it->second.reservationsByFlow.erase(held);
}

template <PlacementPolicy Policy>
std::vector<Candidate> BasicPlacement<Policy>::candidates(std::string_view upstream,
                                                          const TaskResources &needs,
                                                          std::span<const Incarnation> excluded,
                                                          std::string_view flow) const
{
    std::vector<Candidate> result;
    for (const auto &[incarnation, agent] : m_agents) {
        if (!serves(agent.load, upstream) || !fits(needs, agent.load.capacity) || agent.weight <= 0
            || std::find(excluded.begin(), excluded.end(), incarnation) != excluded.end())
            continue;
        Candidate it;
        it.agent = incarnation;
        it.near = agent.dataCentre == m_dataCentre;
        it.weight = agent.weight;
        it.slots = agent.load.slots;
        it.reportedFreeSlots = agent.load.freeSlots;
        it.freeSlots = it.reportedFreeSlots - static_cast<double>(agent.recentSends.size());
        it.queued = agent.load.queued + static_cast<double>(agent.recentReservations.size());
        const auto held = agent.reservationsByFlow.find(flow);
        it.reserved = (held == agent.reservationsByFlow.end() ? 0 : held->second)
                      + std::max(0.0, -it.freeSlots);
        result.push_back(it);
    }
    return result;
}

template <PlacementPolicy Policy>
std::optional<Incarnation>
BasicPlacement<Policy>::chooseFree(std::string_view upstream, const TaskResources &needs,
                                   TimePoint now, std::span<const Incarnation> excluded)
{
    m_now = std::max(m_now, now);
    const std::vector<Candidate> all = candidates(upstream, needs, excluded, {});
    const auto chosen = m_policy.pickFree(all, m_random);
    return chosen ? std::optional(all[*chosen].agent) : std::nullopt;
}

template <PlacementPolicy Policy>
std::optional<Incarnation>
BasicPlacement<Policy>::chooseForReservation(std::string_view upstream, const TaskResources &needs,
                                             TimePoint now, std::span<const Incarnation> excluded,
                                             std::string_view flow)
{
    m_now = std::max(m_now, now);
    const std::vector<Candidate> all = candidates(upstream, needs, excluded, flow);
    const auto chosen = m_policy.pickForReservation(all, m_random);
    return chosen ? std::optional(all[*chosen].agent) : std::nullopt;
}

template <PlacementPolicy Policy>
bool BasicPlacement<Policy>::hasCapableAgent(std::string_view upstream,
                                             const TaskResources &needs) const
{
    return std::any_of(m_agents.begin(), m_agents.end(), [&](const auto &it) {
        return serves(it.second.load, upstream) && fits(needs, it.second.load.capacity);
    });
}

template <PlacementPolicy Policy>
bool BasicPlacement<Policy>::hasUpstream(std::string_view upstream) const
{
    return totalSlots(upstream) > 0;
}

template <PlacementPolicy Policy>
std::uint32_t BasicPlacement<Policy>::totalSlots(std::string_view upstream) const
{
    std::uint32_t slots = 0;
    for (const auto &[incarnation, agent] : m_agents)
        slots += serves(agent.load, upstream) ? agent.load.slots : 0;
    return slots;
}

template class BasicPlacement<LoadReportPolicy>;
template class BasicPlacement<RandomPolicy>;
template class BasicPlacement<RoundRobinPolicy>;
template class BasicPlacement<StaleTwoChoicesPolicy>;

} // namespace cactuscove
