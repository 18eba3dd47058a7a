// Queries of the task runner by entries and the agent process: load, inventory, open tasks.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

constexpr double NearlyFullShare = 0.7; // share of a worker's cores

// In cores per ms: in a steady state a running task ends within a time t with probability t / run
// time.
double coreReleaseRate(const AssignTask &task)
{
    const double cores = static_cast<double>(task.needs.cpuMillis) / 1000;
    return cores / std::max(toMs(task.expectedRun), 1.0);
}

constexpr std::size_t MaxReleases = 8; // in one report
// A task that has run for longer than expected is expected to take this share of its run time more.
constexpr double OverdueShare = 0.15;

// Merges neighbours, so that at most MaxReleases remain. Each counts from its last end, as a
// release that is expected too early would start tasks that then wait.
std::vector<ExpectedRelease> mergeReleases(std::vector<ExpectedRelease> ends)
{
    std::sort(ends.begin(), ends.end(),
              [](const auto &a, const auto &b) { return a.after < b.after; });
    const std::size_t each = (ends.size() + MaxReleases - 1) / MaxReleases;
    std::vector<ExpectedRelease> merged;
    for (std::size_t i = 0; i < ends.size(); ++i) {
        if (i % each == 0)
            merged.emplace_back();
        merged.back().after = ends[i].after;
        merged.back().resources += ends[i].resources;
    }
    return merged;
}

} // namespace

Duration TaskRunner::expectedRemaining(const Worker &worker, const Task &task, TimePoint now) const
{
    if (task.state == State::Stopping)
        return {};
    const double slowness = worker.performance.slowness(now);
    const double expectedMs = std::max(toMs(task.assignment.expectedRun) * slowness, 1.0);
    const double elapsedMs = toMs(now - task.firstSentAt);
    // The more of the work is done, the more its progress counts against the expectation.
    const double done = task.percentDone / 100.0;
    double totalMs = expectedMs;
    if (done > 0)
        totalMs = (1 - done) * expectedMs + toMs(task.percentDoneAt - task.firstSentAt);
    return fromMs(std::max(totalMs - elapsedMs, OverdueShare * expectedMs));
}

std::vector<ExpectedRelease> TaskRunner::expectedReleases(const Worker &worker, TimePoint now) const
{
    std::vector<ExpectedRelease> ends;
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            ends.push_back({expectedRemaining(worker, task, now), task.assignment.needs});
    return mergeReleases(std::move(ends));
}

std::vector<std::string> TaskRunner::orphanFreeWorkers() const
{
    std::vector<std::string> orphanFree;
    for (const auto &[id, worker] : m_workers)
        if (worker.hasFinalList && worker.orphans.empty() && worker.earlierRunsEndBy == TimePoint{})
            orphanFree.push_back(id);
    return orphanFree;
}

TaskInventory TaskRunner::inventoryOf(Incarnation entry) const
{
    TaskInventory inventory;
    inventory.orphanFreeWorkers = orphanFreeWorkers();
    for (const auto &[workerId, worker] : m_workers)
        for (const auto &[id, task] : worker.tasks) {
            if (task.entry != entry)
                continue;
            auto &list = task.starts.isConfirmed ? inventory.started : inventory.waiting;
            list.push_back({id, task.assignment.attempt, task.starts.unanswered > 0});
        }
    for (const EndedTask &it : m_endedTasks)
        if (it.entry == entry || it.entry == Incarnation{})
            inventory.ended.push_back(it.end);
    return inventory;
}

std::vector<WorkerUpdate> TaskRunner::workers() const
{
    std::vector<WorkerUpdate> updates;
    for (const auto &[id, worker] : m_workers)
        if (!worker.isUnconfirmed && !worker.isLeaving)
            updates.push_back({worker.info, m_shuttingDown});
    return updates;
}

std::uint64_t TaskRunner::lastAssignmentNumberOf(Incarnation entry) const
{
    const auto from = m_entries.find(entry);
    return from == m_entries.end() ? 0 : from->second.lastAssignment;
}

std::vector<WorkerLoad> TaskRunner::loads(TimePoint now) const
{
    std::vector<WorkerLoad> loads;
    for (const auto &[id, worker] : m_workers) {
        if (worker.isUnconfirmed || worker.isLeaving)
            continue;
        WorkerLoad load;
        load.workerId = id;
        load.free = worker.info.capacity - usedResources(worker);
        load.isUsable = m_startsAllowed && worker.hasFinalList && worker.orphans.empty()
                        && !isDraining(worker) && !worker.isUnresponsive
                        && !isDescriptionOld(worker, now) && !m_shuttingDown;
        std::map<int, Resources> queued;
        for (const auto &[taskId, task] : worker.tasks) {
            if (task.state == State::Queued)
                queued[task.assignment.priority] += task.assignment.needs;
            else
                load.coreReleaseRate += coreReleaseRate(task.assignment);
        }
        for (const auto &[priority, needs] : queued)
            load.queued.push_back({priority, needs});
        load.coreReleaseRate /= std::max(1.0, worker.performance.meanSlowness());
        load.slowness = worker.performance.slowness(now);
        if (now < worker.coldUntil)
            load.slowness = std::max(load.slowness, m_settings.coldSlowness);
        load.failureRate = worker.performance.failureRate(now);
        load.isReserved = isReserved(worker);
        load.hasTrustedTasks
            = std::any_of(worker.tasks.begin(), worker.tasks.end(),
                          [](const auto &it) { return !it.second.assignment.isDistrusted; });
        if (load.isReserved) {
            load.free = {};
            load.coreReleaseRate = 0;
        } else if (m_settings.hasScarcityControl && isNearlyFull(worker)) {
            load.releases = expectedReleases(worker, now);
        }
        loads.push_back(std::move(load));
    }
    return loads;
}

bool TaskRunner::isReserved(const Worker &worker)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(),
                       [](const auto &it) { return it.second.assignment.runsAlone; });
}

bool TaskRunner::isNearlyFull(const Worker &worker) const
{
    return static_cast<double>(usedResources(worker).cpuMillis)
           > NearlyFullShare * static_cast<double>(worker.info.capacity.cpuMillis);
}

bool TaskRunner::isNearlyFull() const
{
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [this](const auto &it) { return isNearlyFull(it.second); });
}

std::size_t TaskRunner::openTasks() const
{
    std::size_t n = 0;
    for (const auto &[id, worker] : m_workers)
        n += worker.tasks.size();
    return n;
}

std::size_t TaskRunner::openTasksOf(Incarnation entry) const
{
    std::size_t n = 0;
    for (const auto &[id, worker] : m_workers)
        n += static_cast<std::size_t>(
            std::count_if(worker.tasks.begin(), worker.tasks.end(),
                          [&](const auto &it) { return it.second.entry == entry; }));
    return n;
}

std::size_t TaskRunner::workersIn(std::string_view dataCentre) const
{
    return static_cast<std::size_t>(
        std::count_if(m_workers.begin(), m_workers.end(),
                      [&](const auto &it) { return dataCentreOf(it.second) == dataCentre; }));
}

} // namespace cactuscove
