// Exponentially weighted means that return to those of a good worker with time.

#include "workerperformance.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

namespace cactuscove {

namespace {

// Progress is evaluated once the runs have taken this long in sum.
constexpr double MinTotalElapsedMs = 40;
constexpr double MeanRoundingError = 0.5; // in percent, as percentages are rounded down
// Slowness of jobs that shows a slow worker: with at least MinJobsForMedian jobs their median must
// reach SlowThreshold, with fewer jobs the smallest value must reach StuckThreshold.
constexpr double SlowThreshold = 3;
constexpr double StuckThreshold = 6;
constexpr std::size_t MinJobsForMedian = 4;
constexpr double MaxSlowness = 20;     // of a worker whose tasks make no progress
constexpr double MaxRunTimeRatio = 10; // limits the effect of one stuck task on the mean
// Weights of the newest end in the means of slowness and failures.
constexpr double SlownessWeight = 0.1;
constexpr double FailureWeight = 0.15;
// Time constants of the decay.
constexpr double SlownessDecayMs = 2500;
constexpr double FailureDecayMs = 800;
// Above one of these limits a worker performs poorly.
constexpr double PoorSlowness = 1.4;
constexpr double PoorFailureRate = 0.1;

double decayFactor(Duration age, double timeConstantMs)
{
    return std::exp(-toMs(age) / timeConstantMs);
}

double decayedSlowness(double slowness, Duration age)
{
    return slowness > 1 ? 1 + (slowness - 1) * decayFactor(age, SlownessDecayMs) : slowness;
}

} // namespace

void WorkerPerformance::decay(TimePoint now)
{
    m_slowness = decayedSlowness(m_slowness, now - m_decayedAt);
    m_failureRate *= decayFactor(now - m_decayedAt, FailureDecayMs);
    m_decayedAt = now;
}

void WorkerPerformance::recordEnd(const TaskId &task, TaskEnd end, Duration runTime,
                                  Duration expectedRun, TimePoint now)
{
    decay(now);
    if (end == TaskEnd::Done && expectedRun > Duration{}) {
        const double ratio = toMs(runTime) / toMs(expectedRun);
        m_slowness += SlownessWeight * (std::min(ratio, MaxRunTimeRatio) - m_slowness);
    }
    // A job that fails on every worker must not ruin the failure rate of one worker by its many
    // tasks.
    if (end == TaskEnd::Failed && task.jobId == m_lastFailedJob)
        return;
    if (end == TaskEnd::Failed)
        m_lastFailedJob = task.jobId;
    if (end == TaskEnd::Done || end == TaskEnd::Failed)
        m_failureRate += FailureWeight * ((end == TaskEnd::Failed) - m_failureRate);
}

// Distinguishes a slow worker from long tasks. Long tasks are more frequent among those that run at
// a moment than among those that are started, and the tasks of a job are long together. So each job
// counts once, and half of the jobs must be slow.
void WorkerPerformance::recordProgress(std::span<const RunProgress> runs, TimePoint now)
{
    struct Sum
    {
        double elapsedMs = 0;
        double workMs = 0; // work done, in ms of expected run time
    };
    std::map<std::string_view, Sum> jobs;
    double elapsedMs = 0;
    for (const RunProgress &it : runs) {
        Sum &job = jobs[it.jobId];
        job.elapsedMs += toMs(it.elapsed);
        job.workMs += (it.percentDone + MeanRoundingError) / 100 * toMs(it.expected);
        elapsedMs += toMs(it.elapsed);
    }
    m_runningSlowness = 0;
    if (elapsedMs < MinTotalElapsedMs)
        return;
    std::vector<double> slowness;
    slowness.reserve(jobs.size());
    for (const auto &[id, it] : jobs)
        slowness.push_back(std::min(it.elapsedMs / std::max(it.workMs, 1.0), MaxSlowness));
    // A few jobs show a slow worker only if each of them hardly makes progress.
    const bool usesMedian = slowness.size() >= MinJobsForMedian;
    const auto typical = slowness.begin() + (usesMedian ? (slowness.size() - 1) / 2 : 0);
    std::nth_element(slowness.begin(), typical, slowness.end());
    if (*typical < (usesMedian ? SlowThreshold : StuckThreshold))
        return;
    m_runningSlowness = *typical;
    decay(now);
    m_slowness = std::max(m_slowness, *typical);
}

bool WorkerPerformance::isPoor() const
{
    return m_slowness > PoorSlowness || m_failureRate > PoorFailureRate;
}

double WorkerPerformance::slowness(TimePoint now) const
{
    return std::max(decayedSlowness(m_slowness, now - m_decayedAt), m_runningSlowness);
}

double WorkerPerformance::failureRate(TimePoint now) const
{
    return m_failureRate * decayFactor(now - m_decayedAt, FailureDecayMs);
}

} // namespace cactuscove
