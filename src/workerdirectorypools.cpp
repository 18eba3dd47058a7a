// Pools of workers while a queue is distrusted, and the choice of a worker for a task that runs
// alone.

#include "workerdirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuscove {

namespace {

// Share of the agents whose workers are WorkerPool::Quarantine and are up. With those whose workers
// have crashed, the pool has MaxQuarantineShare at most: the others must carry the other queues.
constexpr double QuarantineShare = 0.2;
constexpr double MaxQuarantineShare = 0.25;

} // namespace

void WorkerDirectory::rankAgents(const std::string &upstream)
{
    std::vector<std::pair<std::uint64_t, Incarnation>> ranks;
    for (const auto &[id, agent] : m_agents)
        if (agent.upstreams.count(upstream))
            ranks.emplace_back(XXH3_64bits(agent.name.data(), agent.name.size()), id);
    std::sort(ranks.begin(), ranks.end());
    std::vector<Incarnation> &agents = m_ranks[upstream];
    agents.clear();
    for (const auto &[rank, id] : ranks)
        agents.push_back(id);
}

bool WorkerDirectory::hasWorkerUp(Incarnation agent, std::string_view upstream, TimePoint now) const
{
    for (auto it = m_workers.lower_bound(WorkerKey{agent, {}});
         it != m_workers.end() && it->first.agent == agent; ++it)
        if (it->second.info.upstream == upstream && isUp(it->first, it->second, now))
            return true;
    return false;
}

std::set<Incarnation> WorkerDirectory::agentsOf(WorkerPool pool, std::string_view upstream,
                                                TimePoint now) const
{
    const auto ranks = m_ranks.find(upstream);
    if (ranks == m_ranks.end())
        return {};
    const std::vector<Incarnation> &agents = ranks->second;
    if (pool == WorkerPool::All || agents.size() < 2)
        return {agents.begin(), agents.end()};
    const auto share = [&](double part) {
        return static_cast<std::size_t>(std::ceil(part * static_cast<double>(agents.size())));
    };
    const std::size_t wanted = share(QuarantineShare);
    const std::size_t most = share(MaxQuarantineShare);
    std::size_t n = 0;
    for (std::size_t up = 0; n < most && up < wanted; ++n)
        up += hasWorkerUp(agents[n], upstream, now);
    const auto end = agents.begin() + static_cast<std::ptrdiff_t>(n);
    return pool == WorkerPool::Quarantine ? std::set(agents.begin(), end)
                                          : std::set(end, agents.end());
}

bool WorkerDirectory::canSpareWorker(std::string_view upstream, WorkerPool pool,
                                     TimePoint now) const
{
    const std::set<Incarnation> agents = agentsOf(pool, upstream, now);
    const auto up = std::count_if(agents.begin(), agents.end(), [&](Incarnation agent) {
        return hasWorkerUp(agent, upstream, now);
    });
    return agents.size() < 2 || up >= 2;
}

bool WorkerDirectory::mustEmptyFirst(const Worker &worker, WorkerPool pool)
{
    return pool == WorkerPool::Quarantine && worker.load.hasTrustedTasks;
}

bool WorkerDirectory::isReserved(const Worker &worker)
{
    return worker.load.isReserved || worker.unreported.count(worker.lastWhole) > 0;
}

std::uint64_t WorkerDirectory::reserveWhole(const WorkerKey &key, int priority)
{
    Worker &worker = m_workers[key];
    worker.lastWhole = reserve(key, priority, worker.info.capacity);
    return worker.lastWhole;
}

std::optional<WorkerKey> WorkerDirectory::chooseEmptiestWorker(const Request &request,
                                                               TimePoint now) const
{
    const std::set<Incarnation> agents = agentsOf(request.pool, request.upstream, now);
    const WorkerKey *best = nullptr;
    std::pair<bool, double> bestOrder; // not avoided, share of free cores
    for (const auto &[key, worker] : m_workers) {
        if (worker.info.upstream != request.upstream || !isUsable(key, worker, now)
            || agents.count(key.agent) == 0 || isReserved(worker)
            || !request.needs.fitsIn(worker.info.capacity))
            continue;
        if (!request.requiredLabel.empty() && !hasLabel(worker.info, request.requiredLabel))
            continue;
        const bool isAvoided
            = std::find(request.avoidedWorkers.begin(), request.avoidedWorkers.end(), key)
              != request.avoidedWorkers.end();
        const double freeShare
            = static_cast<double>(freeResources(worker, std::numeric_limits<int>::max()).cpuMillis)
              / static_cast<double>(std::max<std::int64_t>(worker.info.capacity.cpuMillis, 1));
        const std::pair order{!isAvoided, freeShare};
        if (best && order <= bestOrder)
            continue;
        best = &key;
        bestOrder = order;
    }
    return best ? std::optional(*best) : std::nullopt;
}

} // namespace cactuscove
