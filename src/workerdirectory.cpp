// Room by the newest report less what was sent since; random choice weighted by room and speed.

#include "workerdirectory.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Agents send at least a beat each 100 ms. A task sent to a silent agent may be stuck there.
constexpr Duration AgentSilence = 350ms;
// A worker whose failures exceed the fleet's mean by this much gets no tasks.
constexpr double FailureExcess = 0.2;
// Weight of a worker falls with this power of its slowness.
constexpr double SpeedPower = 2;
constexpr double SmallestSlowness = 0.1;
constexpr double SoundSlowness = 2.5;
// A task is bound to a busy worker only if it is expected to start there within this time; the
// worker's agent then starts the most urgent first. It hides the way of the news that room is free.
constexpr double LongestQueueMs = 8;
constexpr double PreferredWeight = 4; // of a worker with the preferred label

bool hasLabel(const WorkerInfo &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace

WorkerDirectory::WorkerDirectory(std::uint64_t seed)
    : m_random(seed)
{}

void WorkerDirectory::agentConnected(Incarnation agent, std::string_view name,
                                     std::string_view dataCentre, TimePoint now)
{
    agentDisconnected(agent);
    Agent &it = m_agents[agent];
    it.name = name;
    it.dataCentre = dataCentre;
    it.heardAt = now;
}

// An agent tells of its workers anew on each connection. One that never comes back must not count
// in the fleet's means.
void WorkerDirectory::agentDisconnected(Incarnation agent)
{
    m_agents.erase(agent);
    std::erase_if(m_workers, [&](const auto &it) { return it.first.agent == agent; });
}

void WorkerDirectory::agentHeard(Incarnation agent, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it != m_agents.end())
        it->second.heardAt = now;
}

void WorkerDirectory::agentClock(Incarnation agent, TimePoint sentAt, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || sentAt < it->second.clock)
        return;
    it->second.clock = sentAt;
    it->second.clockAt = now;
}

void WorkerDirectory::update(Incarnation agent, const WorkerUpdate &update)
{
    const WorkerKey key{agent, update.worker.id};
    if (update.isGone)
        m_workers.erase(key);
    else
        m_workers[key].info = update.worker;
}

void WorkerDirectory::load(Incarnation agent, const WorkerLoad &load)
{
    const auto it = m_workers.find({agent, load.workerId});
    if (it == m_workers.end())
        return;
    Worker &worker = it->second;
    worker.load = load;
    worker.hasLoad = true;
    worker.sent.erase(worker.sent.begin(), worker.sent.upper_bound(load.assignments));
}

std::uint64_t WorkerDirectory::book(const WorkerKey &key, int priority, const Resources &needs)
{
    const std::uint64_t number = ++m_agents[key.agent].assignments;
    m_workers[key].sent[number] = {priority, needs};
    return number;
}

void WorkerDirectory::pause(const WorkerKey &key, TimePoint until)
{
    const auto it = m_workers.find(key);
    if (it != m_workers.end())
        it->second.pausedUntil = std::max(it->second.pausedUntil, until);
}

bool WorkerDirectory::isUsable(const WorkerKey &key, const Worker &worker, TimePoint now) const
{
    const auto agent = m_agents.find(key.agent);
    return agent != m_agents.end() && now - agent->second.heardAt < AgentSilence
           && agent->second.clock != TimePoint{} && worker.hasLoad && worker.load.isUsable
           && !worker.info.isDraining && now >= worker.pausedUntil;
}

Resources WorkerDirectory::freeOf(const Worker &worker, int priority)
{
    Resources free = worker.load.free;
    for (const QueuedDemand &it : worker.load.queued)
        if (it.priority <= priority)
            free -= it.needs;
    for (const auto &[number, it] : worker.sent)
        if (it.priority <= priority)
            free -= it.needs;
    return free;
}

double WorkerDirectory::expectedWaitMs(const Worker &worker, const Request &request)
{
    const Resources free = freeOf(worker, request.priority);
    if (request.needs.fitsIn(free))
        return 0;
    // Only the processor is given back at a rate that is known.
    const bool fitsOtherwise = request.needs.memoryMb <= free.memoryMb
                               && request.needs.accelerators <= free.accelerators;
    if (!fitsOtherwise || worker.load.coreReleaseRate <= 0)
        return std::numeric_limits<double>::infinity();
    const auto missing = static_cast<double>(request.needs.cpuMillis - free.cpuMillis);
    return missing / 1000 / worker.load.coreReleaseRate;
}

WorkerDirectory::Limits WorkerDirectory::limitsOf(std::string_view upstream, double slowness) const
{
    double failures = 0;
    std::size_t known = 0; // of the upstream
    std::size_t slow = 0;
    for (const auto &[key, worker] : m_workers) {
        failures += worker.load.failureRate;
        if (worker.info.upstream != upstream || !worker.hasLoad)
            continue;
        ++known;
        slow += worker.load.slowness > slowness;
    }
    const double mean = m_workers.empty() ? 0 : failures / static_cast<double>(m_workers.size());
    return {mean + FailureExcess,
            slow * 2 >= known ? std::numeric_limits<double>::infinity() : slowness};
}

std::optional<WorkerKey> WorkerDirectory::choose(const Request &request, TimePoint now)
{
    struct Candidate
    {
        const WorkerKey *key;
        double weight; // 0 without room
        double waitMs;
    };
    std::vector<Candidate> good;
    std::vector<Candidate> avoided;
    bool hasAlternative = false; // to the avoided workers, be it busy now
    const double unlimited = std::numeric_limits<double>::infinity();
    const Limits limits
        = limitsOf(request.upstream, request.maxSlowness > 0 ? request.maxSlowness : unlimited);
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream || !isUsable(key, worker, now))
            continue;
        if (!request.requiredLabel.empty() && !hasLabel(worker.info, request.requiredLabel))
            continue;
        if (worker.load.failureRate > limits.failureRate)
            continue;
        const double slowness = std::max(worker.load.slowness, SmallestSlowness);
        if (slowness > limits.slowness)
            continue;
        const bool isAvoided
            = std::find(request.avoid.begin(), request.avoid.end(), key) != request.avoid.end();
        hasAlternative |= !isAvoided;
        const double waitMs = expectedWaitMs(worker, request);
        if (waitMs > LongestQueueMs)
            continue;
        const auto room
            = static_cast<double>(freeOf(worker, request.priority).countOf(request.needs));
        double weight = room / std::pow(slowness, SpeedPower);
        if (!request.preferredLabel.empty() && hasLabel(worker.info, request.preferredLabel))
            weight *= PreferredWeight;
        (isAvoided ? avoided : good).push_back({&key, weight, waitMs});
    }
    const std::vector<Candidate> &candidates = hasAlternative ? good : avoided;
    if (candidates.empty())
        return std::nullopt;
    double total = 0;
    for (const Candidate &it : candidates)
        total += it.weight;
    if (total <= 0)
        return *std::min_element(
                    candidates.begin(), candidates.end(),
                    [](const Candidate &a, const Candidate &b) { return a.waitMs < b.waitMs; })
                    ->key;
    double pick = std::uniform_real_distribution<double>(0, total)(m_random);
    const Candidate *last = nullptr;
    for (const Candidate &it : candidates) {
        if (it.weight <= 0)
            continue;
        last = &it;
        pick -= it.weight;
        if (pick < 0)
            break;
    }
    return *last->key;
}

bool WorkerDirectory::couldEverFit(const Request &request) const
{
    bool isKnown = false;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream)
            continue;
        if (request.needs.fitsIn(worker.info.capacity)
            && (request.requiredLabel.empty() || hasLabel(worker.info, request.requiredLabel)))
            return true;
        isKnown = true;
    }
    return !isKnown;
}

// The room of a worker that fails its tasks or is slow is no room to count on.
WorkerDirectory::Room WorkerDirectory::roomOf(std::string_view upstream, TimePoint now) const
{
    const Limits limits = limitsOf(upstream, SoundSlowness);
    Room room;
    std::int64_t freeMillis = 0;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != upstream || !isUsable(key, worker, now)
            || worker.load.failureRate > limits.failureRate
            || worker.load.slowness > limits.slowness)
            continue;
        room.capacity += worker.info.capacity;
        const Resources free = freeOf(worker, std::numeric_limits<int>::max());
        freeMillis += std::max<std::int64_t>(free.cpuMillis, 0);
    }
    room.freeCores = static_cast<double>(freeMillis) / 1000;
    return room;
}

std::optional<TimePoint> WorkerDirectory::agentTime(Incarnation agent, TimePoint at) const
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || it->second.clock == TimePoint{})
        return std::nullopt;
    return it->second.clock + (at - it->second.clockAt);
}

} // namespace cactuscove
