// What the newest tasks of a worker tell about it: its speed and how often it fails. Answers
// workers that are slow, stand still or fail at once what they start while they say that they are
// well: such a worker looks idle and would draw the work. Bad marks fade, so that it is tried
// again.

#pragma once

#include "dispatchtypes.h"

#include <span>
#include <string>
#include <string_view>

namespace cactuscove {

// One task that runs at a worker.
struct RunProgress
{
    std::string_view jobId;
    Duration elapsed{};
    Duration expected{}; // run time
    int percent = 0;     // of its work, rounded down
};

class WorkerPerformance
{
public:
    // Commands
    void ended(const TaskId &task, TaskEnd end, Duration runTime, Duration expectedRun,
               TimePoint now);
    void progressed(std::span<const RunProgress> runs, TimePoint now); // all that run
    void fade(TimePoint now);

    // Queries
    bool isBad() const; // as of the newest command
    bool isRunningSlow() const { return m_runningSlowness > 0; }
    double runningSlowness() const { return m_runningSlowness; }
    double meanSlowness() const { return m_slowness; }
    double slowness(TimePoint now) const; // times the expected run time
    double failureRate(TimePoint now) const;

private:
    double m_slowness = 1; // mean of the newest ends
    double m_runningSlowness
        = 0;                   // by the progress of what runs; 0: too little to tell, or not slow
    double m_failureShare = 0; // of the newest ends
    TimePoint m_judgedAt{};    // when the means were faded last
    std::string m_failedJob;   // of the newest failure
};

} // namespace cactuscove
