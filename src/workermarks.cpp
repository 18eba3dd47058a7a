// Exponentially weighted means that return to good marks with time.

#include "workermarks.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

// What runs is judged by its progress once it ran this long in sum.
constexpr double MinElapsedMs = 40;
constexpr double SlowWorker = 2.5; // times the expected run time
constexpr double StuckWorker = 6;
constexpr int EnoughRuns = 4;
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

void WorkerMarks::fade(TimePoint now)
{
    m_slowness = fadedSlowness(m_slowness, now - m_judgedAt);
    m_failureShare *= decay(now - m_judgedAt, FailureMemoryMs);
    m_judgedAt = now;
}

void WorkerMarks::ended(const TaskId &task, TaskEnd end, Duration runTime, Duration expectedRun,
                        TimePoint now)
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

// Tells a slow worker from a long task: all that runs there is slow.
void WorkerMarks::progressed(const RunProgress &progress, TimePoint now)
{
    const double slowness
        = std::min(progress.elapsedMs / std::max(progress.workMs, 1.0), MaxSlowness);
    // Few runs tell a slow worker only if they hardly move: one may just be a long task.
    const double limit = progress.runs >= EnoughRuns ? SlowWorker : StuckWorker;
    const bool isSlow = progress.elapsedMs >= MinElapsedMs && slowness >= limit;
    m_runningSlowness = isSlow ? slowness : 0;
    if (!isSlow)
        return;
    fade(now);
    m_slowness = std::max(m_slowness, slowness);
}

bool WorkerMarks::isBad() const
{
    return m_slowness > BadSlowness || m_failureShare > BadFailureShare;
}

double WorkerMarks::slowness(TimePoint now) const
{
    return std::max(fadedSlowness(m_slowness, now - m_judgedAt), m_runningSlowness);
}

double WorkerMarks::failureShare(TimePoint now) const
{
    return m_failureShare * decay(now - m_judgedAt, FailureMemoryMs);
}

} // namespace cactuscove
