// Free capacity is that of the newest report less what was assigned since. The choice among workers
// is random, weighted by free capacity and speed.

#include "workerdirectory.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// An agent sends a heartbeat every 100 ms, unless it sent another message in the 40 ms before. A
// task that is sent to an agent which has been silent for longer than this may get no further.
constexpr Duration AgentTimeout = 350ms;
// A worker whose failure rate exceeds the fleet's mean by more than this gets no tasks.
constexpr double MaxFailureRateExcess = 0.2;
// The weight of a worker in the random choice falls with this power of its slowness.
constexpr double SlownessExponent = 2;
constexpr double MinSlowness = 0.1;
// The capacity of slower workers is not counted as usable.
constexpr double MaxUsableSlowness = 2.5;
// A task is sent to a busy worker only if it is expected to start there within this time; the
// worker's agent then starts the most urgent task first. This hides the delay of the report that
// capacity has become free.
constexpr double MaxQueueWaitMs = 8;
constexpr int LeastUrgent = std::numeric_limits<int>::max(); // counts tasks of all priorities
constexpr double PreferredLabelWeight = 4; // factor for a worker with the preferred label
// A worker gets single tasks for at most this long after a fault.
constexpr Duration FaultLimitTime = 2s;
// One failed task may be the task's fault; with so many in a row the worker is on record.
constexpr int MaxFaultsInARow = 2;

// Usually all workers may be chosen, and there are no agents of a pool to look up.
bool isLimited(WorkerPool pool)
{
    return pool != WorkerPool::All;
}

} // namespace

bool WorkerDirectory::hasLabel(const WorkerInfo &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

bool WorkerDirectory::isFit(const WorkerInfo &worker, const Request &request)
{
    return request.needs.fitsIn(worker.capacity)
           && (request.requiredLabel.empty() || hasLabel(worker, request.requiredLabel));
}

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

// An agent reports its workers again on each connection. The workers of an agent that never comes
// back must not count in the fleet's means.
void WorkerDirectory::agentDisconnected(Incarnation agent)
{
    const auto node = m_agents.extract(agent);
    std::erase_if(m_workers, [&](const auto &it) { return it.first.agent == agent; });
    if (node.empty())
        return;
    for (const std::string &it : node.mapped().upstreams)
        rankAgents(it);
}

void WorkerDirectory::agentHeard(Incarnation agent, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it != m_agents.end())
        it->second.heardAt = now;
}

void WorkerDirectory::updateAgentClock(Incarnation agent, TimePoint sentAt, TimePoint now)
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || sentAt < it->second.clock)
        return;
    it->second.clock = sentAt;
    it->second.clockAt = now;
}

void WorkerDirectory::updateWorker(Incarnation agent, const WorkerUpdate &update)
{
    const WorkerKey key{agent, update.worker.id};
    if (update.isGone) {
        m_workers.erase(key);
    } else {
        Worker &worker = m_workers[key];
        worker.info = update.worker;
        const auto reporter = m_agents.find(agent);
        if (reporter != m_agents.end()
            && reporter->second.upstreams.insert(update.worker.upstream).second)
            rankAgents(update.worker.upstream);
        worker.isEvacuated = m_evacuated.count(dataCentreOf(key, worker)) > 0;
    }
    ++m_capacityVersion;
}

void WorkerDirectory::updateLoad(Incarnation agent, const WorkerLoad &load)
{
    const auto it = m_workers.find({agent, load.workerId});
    if (it == m_workers.end())
        return;
    Worker &worker = it->second;
    const Resources freeBefore = freeResources(worker, LeastUrgent);
    const bool wasUsable = worker.hasLoad && worker.load.isUsable;
    const auto reporter = m_agents.find(agent);
    if (reporter != m_agents.end())
        worker.loadAt = reporter->second.heardAt;
    worker.load = load;
    worker.hasLoad = true;
    worker.unreported.erase(worker.unreported.begin(),
                            worker.unreported.upper_bound(load.lastAssignmentNumber));
    if ((load.isUsable && !wasUsable) || !freeResources(worker, LeastUrgent).fitsIn(freeBefore))
        ++m_capacityVersion;
}

std::uint64_t WorkerDirectory::reserve(const WorkerKey &key, int priority, const Resources &needs)
{
    const std::uint64_t number = ++m_agents[key.agent].lastAssignment;
    m_workers[key].unreported[number] = {priority, needs};
    if (const auto record = m_faults.find(key.workerId); record != m_faults.end())
        record->second.hasTask = true;
    return number;
}

void WorkerDirectory::recordFault(const WorkerKey &key, bool isCertain, TimePoint now)
{
    std::erase_if(m_faults,
                  [&](const auto &it) { return now > it.second.limitedUntil + FaultLimitTime; });
    FaultRecord &record = m_faults[key.workerId];
    record.hasTask = false;
    record.limitedUntil = std::max(record.limitedUntil, now);
    if (++record.faults >= MaxFaultsInARow || isCertain)
        record.limitedUntil = now + FaultLimitTime;
}

void WorkerDirectory::recordSuccess(const WorkerKey &key)
{
    m_faults.erase(key.workerId);
}

void WorkerDirectory::recordRefusal(const WorkerKey &key)
{
    const auto record = m_faults.find(key.workerId);
    if (record != m_faults.end())
        record->second.hasTask = false;
}

void WorkerDirectory::pauseWorker(const WorkerKey &key, TimePoint until)
{
    const auto it = m_workers.find(key);
    if (it != m_workers.end())
        it->second.pausedUntil = std::max(it->second.pausedUntil, until);
}

void WorkerDirectory::setEvacuated(std::set<std::string> dataCentres)
{
    m_evacuated = std::move(dataCentres);
    for (auto &[key, worker] : m_workers)
        worker.isEvacuated = m_evacuated.count(dataCentreOf(key, worker)) > 0;
    ++m_capacityVersion;
}

const std::string &WorkerDirectory::dataCentreOf(const WorkerKey &key, const Worker &worker) const
{
    const auto agent = m_agents.find(key.agent);
    const bool isNamed = !worker.info.dataCentre.empty() || agent == m_agents.end();
    return isNamed ? worker.info.dataCentre : agent->second.dataCentre;
}

bool WorkerDirectory::isUp(const WorkerKey &key, const Worker &worker, TimePoint now) const
{
    const auto agent = m_agents.find(key.agent);
    return agent != m_agents.end() && now - agent->second.heardAt < AgentTimeout
           && agent->second.clock != TimePoint{} && worker.hasLoad && worker.load.isUsable
           && !worker.info.isDraining && !worker.isEvacuated;
}

bool WorkerDirectory::isUsable(const WorkerKey &key, const Worker &worker, TimePoint now) const
{
    return isUp(key, worker, now) && now >= worker.pausedUntil;
}

Resources WorkerDirectory::freeResources(const Worker &worker, int priority)
{
    Resources free = worker.load.free;
    for (const QueuedDemand &it : worker.load.queued)
        if (it.priority <= priority)
            free -= it.needs;
    for (const auto &[number, it] : worker.unreported)
        if (it.priority <= priority)
            free -= it.needs;
    return free;
}

double WorkerDirectory::expectedWaitMs(const Worker &worker, const Request &request)
{
    const Resources free = freeResources(worker, request.priority);
    if (request.needs.fitsIn(free))
        return 0;
    // Only cores have a known release rate.
    const bool fitsOtherwise = request.needs.memoryMb <= free.memoryMb
                               && request.needs.accelerators <= free.accelerators;
    if (!fitsOtherwise || worker.load.coreReleaseRate <= 0)
        return std::numeric_limits<double>::infinity();
    const auto missing = static_cast<double>(request.needs.cpuMillis - free.cpuMillis);
    return missing / 1000 / worker.load.coreReleaseRate;
}

WorkerDirectory::Limits WorkerDirectory::limitsOf(std::string_view upstream,
                                                  double maxSlowness) const
{
    double failureRateSum = 0;
    std::size_t known = 0; // workers of the upstream
    std::size_t slow = 0;
    for (const auto &[key, worker] : m_workers) {
        failureRateSum += worker.load.failureRate;
        if (worker.info.upstream != upstream || !worker.hasLoad)
            continue;
        ++known;
        slow += worker.load.slowness > maxSlowness;
    }
    const double mean
        = m_workers.empty() ? 0 : failureRateSum / static_cast<double>(m_workers.size());
    return {mean + MaxFailureRateExcess,
            slow * 2 >= known ? std::numeric_limits<double>::infinity() : maxSlowness};
}

std::optional<WorkerKey> WorkerDirectory::chooseWorker(const Request &request, TimePoint now)
{
    struct Candidate
    {
        const WorkerKey *key;
        double weight; // 0 without free capacity
        double waitMs;
    };
    std::vector<Candidate> notAvoided;
    std::vector<Candidate> avoided;
    bool hasAlternative = false; // some worker is not avoided, even if it is busy now
    const std::set<Incarnation> agents = isLimited(request.pool)
                                             ? agentsOf(request.pool, request.upstream, now)
                                             : std::set<Incarnation>();
    const double unlimited = std::numeric_limits<double>::infinity();
    const Limits limits
        = limitsOf(request.upstream, request.maxSlowness > 0 ? request.maxSlowness : unlimited);
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream || !isUsable(key, worker, now)
            || (isLimited(request.pool) && agents.count(key.agent) == 0)
            || mustEmptyFirst(worker, request.pool))
            continue;
        if (!request.requiredLabel.empty() && !hasLabel(worker.info, request.requiredLabel))
            continue;
        if (worker.load.failureRate > limits.maxFailureRate)
            continue;
        const double slowness = std::max(worker.load.slowness, MinSlowness);
        if (slowness > limits.maxSlowness)
            continue;
        const bool isAvoided
            = std::find(request.avoidedWorkers.begin(), request.avoidedWorkers.end(), key)
              != request.avoidedWorkers.end();
        hasAlternative |= !isAvoided;
        const double waitMs = expectedWaitMs(worker, request);
        if (waitMs > MaxQueueWaitMs)
            continue;
        const auto taskCount = static_cast<double>(
            freeResources(worker, request.priority).countThatFits(request.needs));
        double weight = taskCount / std::pow(slowness, SlownessExponent);
        if (!request.preferredLabel.empty() && hasLabel(worker.info, request.preferredLabel))
            weight *= PreferredLabelWeight;
        (isAvoided ? avoided : notAvoided).push_back({&key, weight, waitMs});
    }
    const std::vector<Candidate> &candidates = hasAlternative ? notAvoided : avoided;
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

std::optional<WorkerKey> WorkerDirectory::findOnlyWorker(std::string_view workerId,
                                                         const Request &request,
                                                         TimePoint now) const
{
    for (const auto &[key, worker] : m_workers)
        if (key.workerId == workerId && isUsable(key, worker, now)
            && worker.info.upstream == request.upstream && isFit(worker.info, request))
            return key;
    return std::nullopt;
}

std::vector<Incarnation> WorkerDirectory::agentsOfWorker(std::string_view workerId) const
{
    std::vector<Incarnation> agents;
    for (const auto &[key, worker] : m_workers)
        if (key.workerId == workerId)
            agents.push_back(key.agent);
    return agents;
}

bool WorkerDirectory::fitsSomeWorker(const Request &request) const
{
    bool isAnyKnown = false;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream)
            continue;
        if (isFit(worker.info, request))
            return true;
        isAnyKnown = true;
    }
    return !isAnyKnown;
}

bool WorkerDirectory::fitsOnlyEvacuated(const Request &request) const
{
    bool isAnyEvacuated = false;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream || !isFit(worker.info, request))
            continue;
        if (!worker.isEvacuated)
            return false;
        isAnyEvacuated = true;
    }
    return isAnyEvacuated;
}

bool WorkerDirectory::isEvacuated(const WorkerKey &key) const
{
    const auto it = m_workers.find(key);
    return it != m_workers.end() && it->second.isEvacuated;
}

std::size_t WorkerDirectory::workersIn(std::string_view dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &it) {
            return dataCentreOf(it.first, it.second) == dataCentre;
        }));
}

double WorkerDirectory::usableCores(TimePoint now) const
{
    std::int64_t millis = 0;
    for (const auto &[key, worker] : m_workers)
        if (isUsable(key, worker, now))
            millis += worker.info.capacity.cpuMillis;
    return static_cast<double>(millis) / 1000;
}

// Capacity of a worker that fails its tasks or is slow cannot be relied on.
WorkerDirectory::UsableCapacity
WorkerDirectory::usableCapacity(std::string_view upstream, TimePoint now, WorkerPool pool) const
{
    const Limits limits = limitsOf(upstream, MaxUsableSlowness);
    const std::set<Incarnation> agents
        = isLimited(pool) ? agentsOf(pool, upstream, now) : std::set<Incarnation>();
    UsableCapacity usable;
    std::int64_t freeMillis = 0;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != upstream || !isUsable(key, worker, now)
            || (isLimited(pool) && agents.count(key.agent) == 0) || mustEmptyFirst(worker, pool)
            || worker.load.failureRate > limits.maxFailureRate
            || worker.load.slowness > limits.maxSlowness)
            continue;
        usable.total += worker.info.capacity;
        usable.coresByAgent[key.agent]
            += static_cast<double>(worker.info.capacity.cpuMillis) / 1000;
        const Resources free = freeResources(worker, std::numeric_limits<int>::max());
        freeMillis += std::max<std::int64_t>(free.cpuMillis, 0);
    }
    usable.freeCores = static_cast<double>(freeMillis) / 1000;
    return usable;
}

std::vector<PlanWorker> WorkerDirectory::planWorkers(std::string_view upstream, TimePoint now,
                                                     WorkerPool pool) const
{
    const Limits limits = limitsOf(upstream, std::numeric_limits<double>::infinity());
    const std::set<Incarnation> agents
        = isLimited(pool) ? agentsOf(pool, upstream, now) : std::set<Incarnation>();
    std::vector<PlanWorker> out;
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != upstream || !isUsable(key, worker, now)
            || (isLimited(pool) && agents.count(key.agent) == 0) || mustEmptyFirst(worker, pool)
            || worker.load.failureRate > limits.maxFailureRate)
            continue;
        PlanWorker &it = out.emplace_back();
        it.key = key;
        it.free = freeResources(worker, LeastUrgent);
        for (const ExpectedRelease &release : worker.load.releases)
            it.releases.push_back({worker.loadAt + release.after, release.resources});
        it.coreReleaseRate = worker.load.coreReleaseRate;
        it.slowness = std::max(worker.load.slowness, MinSlowness);
        it.labels = worker.info.labels;
        it.loadAt = worker.loadAt;
        it.maxTasks = std::numeric_limits<std::size_t>::max();
        const auto record = m_faults.find(key.workerId);
        if (record != m_faults.end() && now < record->second.limitedUntil)
            it.maxTasks = record->second.hasTask ? 0 : 1;
    }
    return out;
}

std::optional<TimePoint> WorkerDirectory::agentClockAt(Incarnation agent, TimePoint at) const
{
    const auto it = m_agents.find(agent);
    if (it == m_agents.end() || it->second.clock == TimePoint{})
        return std::nullopt;
    return it->second.clock + (at - it->second.clockAt);
}

} // namespace cactuscove
