// Speed and failure rate of one worker, measured by its newest tasks. Detects workers that are
// slow, make no progress or fail every task at once while they report that they are well: such a
// worker looks idle and would attract the tasks. Poor figures decay with time, so that the worker
// is tried again.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "dispatchtypes.h"

#include <span>
#include <string>
#include <string_view>

namespace cactuscove {

// A task that runs on the worker.
struct RunProgress
{
    std::string_view jobId;
    Duration elapsed{};  // since its start
    Duration expected{}; // expected run time
    int percentDone = 0; // of its work, 0 to 100, rounded down
};

// Used by TaskRunner, one object per process of a worker. Slowness is the run time as a multiple of
// the expected one. The failure rate is the share of failed tasks, 0 to 1.
class WorkerPerformance
{
public:
    // Commands

    // A task of the worker has ended. Stopped and lost tasks do not count, nor do further failures
    // of the job that failed last.
    void recordEnd(const TaskId &task, TaskEnd end, Duration runTime, Duration expectedRun,
                   TimePoint now);
    // `runs` are all tasks that run now. Raises the slowness at once if their progress shows a slow
    // worker.
    void recordProgress(std::span<const RunProgress> runs, TimePoint now);
    // Applies the decay since the last command, so that isPoor() is up to date.
    void decay(TimePoint now);

    // Queries

    // Slow or failing, as of the newest command.
    bool isPoor() const;
    // The newest recordProgress() showed a slow worker.
    bool isRunningSlow() const { return m_runningSlowness > 0; }
    // Slowness by the newest recordProgress(); 0 if that showed no slow worker.
    double runningSlowness() const { return m_runningSlowness; }
    // Mean slowness of the newest ends, as of the newest command.
    double meanSlowness() const { return m_slowness; }
    // The larger one of the mean slowness, decayed until `now`, and the running slowness.
    double slowness(TimePoint now) const;
    double failureRate(TimePoint now) const;

private:
    // Exponentially weighted mean over ends, raised by the progress of slow runs.
    double m_slowness = 1;
    // Slowness by the progress of the running tasks; 0 if they have not run for long enough to tell
    // or do not show a slow worker.
    double m_runningSlowness = 0;
    double m_failureRate = 0;    // exponentially weighted mean over ends
    TimePoint m_decayedAt{};     // time up to which the means are decayed
    std::string m_lastFailedJob; // id of the job that failed last
};

} // namespace cactuscove
