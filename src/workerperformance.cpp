// Exponentially weighted means that return to good marks with time.

#include "workerperformance.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace cactuscove {

namespace {

// What runs is judged by its progress once it ran this long in sum.
constexpr double MinElapsedMs = 40;
constexpr double RoundedOff = 0.5; // of a percentage, in the mean
constexpr double SlowWorker = 3;   // times the expected run time
constexpr double StuckWorker = 6;
constexpr std::size_t EnoughJobs = 4;
constexpr double MaxSlowness = 20; // a worker at which tasks stand still
constexpr double MaxRatio = 10;    // one stuck task must not condemn a worker
// Weights of the newest end in the running means of a worker's speed and failures.
constexpr double NewestSpeed = 0.1;
constexpr double NewestEnd = 0.15;
constexpr double SlownessMemoryMs = 2500;
constexpr double FailureMemoryMs = 800;
constexpr double BadSlowness = 1.4;
constexpr double BadFailureShare = 0.1;

double decay(Duration age, double memoryMs)
{
    return std::exp(-toMs(age) / memoryMs);
}

double fadedSlowness(double slowness, Duration age)
{
    return slowness > 1 ? 1 + (slowness - 1) * decay(age, SlownessMemoryMs) : slowness;
}

} // namespace

void WorkerPerformance::fade(TimePoint now)
{
    m_slowness = fadedSlowness(m_slowness, now - m_judgedAt);
    m_failureShare *= decay(now - m_judgedAt, FailureMemoryMs);
    m_judgedAt = now;
}

void WorkerPerformance::ended(const TaskId &task, TaskEnd end, Duration runTime,
                              Duration expectedRun, TimePoint now)
{
    fade(now);
    if (end == TaskEnd::Done && expectedRun > Duration{}) {
        const double ratio = toMs(runTime) / toMs(expectedRun);
        m_slowness += NewestSpeed * (std::min(ratio, MaxRatio) - m_slowness);
    }
    // A job that fails everywhere must not cost one worker its standing by many tasks.
    if (end == TaskEnd::Failed && task.jobId == m_failedJob)
        return;
    if (end == TaskEnd::Failed)
        m_failedJob = task.jobId;
    if (end == TaskEnd::Done || end == TaskEnd::Failed)
        m_failureShare += NewestEnd * ((end == TaskEnd::Failed) - m_failureShare);
}

// Tells a slow worker from long tasks. Long ones make up more of what runs at a moment than of what
// is started, and the tasks of a job are long together. So each job counts once, and half of the
// jobs must be slow.
void WorkerPerformance::progressed(std::span<const RunProgress> runs, TimePoint now)
{
    struct Sum
    {
        double elapsedMs = 0;
        double workMs = 0; // done, by the expected run times
    };
    std::map<std::string_view, Sum> jobs;
    double elapsedMs = 0;
    for (const RunProgress &it : runs) {
        Sum &job = jobs[it.jobId];
        job.elapsedMs += toMs(it.elapsed);
        job.workMs += (it.percent + RoundedOff) / 100 * toMs(it.expected);
        elapsedMs += toMs(it.elapsed);
    }
    m_runningSlowness = 0;
    if (elapsedMs < MinElapsedMs)
        return;
    std::vector<double> slowness;
    slowness.reserve(jobs.size());
    for (const auto &[id, it] : jobs)
        slowness.push_back(std::min(it.elapsedMs / std::max(it.workMs, 1.0), MaxSlowness));
    // Few jobs tell a slow worker only if each of them hardly moves.
    const bool areEnough = slowness.size() >= EnoughJobs;
    const auto typical = slowness.begin() + (areEnough ? (slowness.size() - 1) / 2 : 0);
    std::nth_element(slowness.begin(), typical, slowness.end());
    if (*typical < (areEnough ? SlowWorker : StuckWorker))
        return;
    m_runningSlowness = *typical;
    fade(now);
    m_slowness = std::max(m_slowness, *typical);
}

bool WorkerPerformance::isBad() const
{
    return m_slowness > BadSlowness || m_failureShare > BadFailureShare;
}

double WorkerPerformance::slowness(TimePoint now) const
{
    return std::max(fadedSlowness(m_slowness, now - m_judgedAt), m_runningSlowness);
}

double WorkerPerformance::failureRate(TimePoint now) const
{
    return m_failureShare * decay(now - m_judgedAt, FailureMemoryMs);
}

} // namespace cactuscove
