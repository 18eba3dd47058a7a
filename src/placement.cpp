// Candidate lists from digests, and the policies that choose among them.

#include "placement.h"

#include <algorithm>

namespace cactuscove {

namespace {

using std::chrono::milliseconds;

// Time from a send until a digest that counts it arrives: one round trip (under 2 ms between data
// centres) and the batching of a loop turn. A send younger than this is not yet in the digest.
constexpr Duration DigestLag = milliseconds(3);

// Reservations of one flow of one home at one agent. Agents offer slots to the reservations of a
// flow in their order, so with one each they serve the homes in turn; with one per queued task, a
// home with a job of 370 tasks is served before all later jobs of the others.
constexpr double MaxReservationsPerAgent = 1;

bool fits(const TaskResources &needs, const TaskResources &capacity)
{
    return needs.accelerators <= capacity.accelerators && needs.memoryMb <= capacity.memoryMb;
}

bool serves(const LoadReport &load, std::string_view upstream)
{
    return load.upstream == upstream && !load.draining && load.slots > 0;
}

void dropUntil(std::deque<TimePoint> &times, TimePoint end)
{
    while (!times.empty() && times.front() <= end)
        times.pop_front();
}

// Two distinct random candidates (or the same one twice if there is only one).
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

double expectedWait(const Candidate &it)
{
    return (it.queued - it.free + 1) / (it.slots * it.weight);
}

} // namespace

// Random in proportion to weight and free slots: homes that see the same digests do not all choose
// the same agent.
std::optional<std::size_t> DigestPolicy::pickFree(std::span<const Candidate> candidates,
                                                  Random &random)
{
    for (const bool near : {true, false}) {
        double total = 0;
        for (const Candidate &it : candidates)
            total += it.near == near && it.free >= 1 ? it.weight * it.free : 0;
        if (total <= 0)
            continue;
        double mark = random.fraction() * total;
        std::optional<std::size_t> chosen;
        for (std::size_t i = 0; i < candidates.size() && mark >= 0; ++i) {
            const Candidate &it = candidates[i];
            if (it.near != near || it.free < 1)
                continue;
            mark -= it.weight * it.free;
            chosen = i;
        }
        return chosen;
    }
    return std::nullopt;
}

std::optional<std::size_t> DigestPolicy::pickForReservation(std::span<const Candidate> candidates,
                                                            Random &random)
{
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (candidates[i].reserved < MaxReservationsPerAgent)
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
    return candidates[first].staleFree >= candidates[second].staleFree ? first : second;
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
void BasicPlacement<Policy>::observe(const LoadReport &digest, TimePoint now)
{
    m_now = std::max(m_now, now);
    const auto it = m_agents.find(digest.agent);
    const TimePoint observedAt = now - digest.age;
    if (it == m_agents.end() || observedAt < it->second.observedAt)
        return;
    Agent &agent = it->second;
    agent.load = digest;
    agent.observedAt = observedAt;
    dropUntil(agent.sends, observedAt - DigestLag);
    dropUntil(agent.reservations, observedAt - DigestLag);
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
        it->second.sends.push_back(m_now);
}

// The digest on the envelope that carried the end already counts the freed slot.
template <PlacementPolicy Policy>
void BasicPlacement<Policy>::taskEnded(Incarnation)
{}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::reserved(Incarnation agent, std::string_view flow)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    // The send took no slot after all.
    if (!it->second.sends.empty())
        it->second.sends.pop_front();
    it->second.reservations.push_back(m_now);
    ++it->second.held[std::string(flow)];
}

template <PlacementPolicy Policy>
void BasicPlacement<Policy>::reservationEnded(Incarnation agent, std::string_view flow)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end())
        return;
    const auto held = it->second.held.find(flow);
    if (held != it->second.held.end() && --held->second == 0)
        it->second.held.erase(held);
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
        it.staleFree = agent.load.freeSlots;
        it.free = it.staleFree - static_cast<double>(agent.sends.size());
        it.queued = agent.load.queued + static_cast<double>(agent.reservations.size());
        const auto held = agent.held.find(flow);
        it.reserved = (held == agent.held.end() ? 0 : held->second) + std::max(0.0, -it.free);
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

template class BasicPlacement<DigestPolicy>;
template class BasicPlacement<RandomPolicy>;
template class BasicPlacement<RoundRobinPolicy>;
template class BasicPlacement<StaleTwoChoicesPolicy>;

} // namespace cactuscove
