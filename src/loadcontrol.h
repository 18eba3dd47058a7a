// Expected waiting time of a new job at one entry, computed from the work that waits before it and
// the rate at which such work was started lately. Protects against a load that exceeds the fleet
// for some seconds: a job that would wait longer than its objective allows is refused when it
// arrives.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "types.h"

#include <map>

namespace cactuscove {

// CPU time of tasks, in core-milliseconds: cores times run time in ms.
using CoreMs = double;

// Demand of one or several tasks.
struct Work
{
    double cores = 0; // that they use while they run
    CoreMs coreMs = 0;
};

// Cores of the fleet for an upstream, as the entry knows them when a job arrives.
struct AvailableCores
{
    double freeCores = 0;  // free cores by the newest reports
    double shareCores = 0; // the part of all cores that this entry may count on
    double entryShare = 1; // that part / all cores
};

// Used by JobDispatcher, one object per entry process. A smaller priority is more urgent.
class LoadControl
{
public:
    // Commands

    // Tasks began to wait.
    void addWaiting(int priority, const Work &work);
    // A task that waited was sent to a worker or given up.
    void removeWaiting(int priority, const Work &work);
    // A task was sent to a worker.
    void recordStart(int priority, const Work &work, TimePoint now);
    // The usable capacity of the fleet has dropped at once to this fraction. Starts before that do
    // not show what the rest can carry.
    void scaleStartRates(double fraction);
    // A job was completed; `isLate` if that was after its objective. Late answers show that waits
    // are underestimated: the fleet may have less capacity than its workers report, for example
    // while some of them fail the tasks that they start.
    void recordAnswer(bool isLate);

    // Queries

    // Time until the last task of a job with this priority and work would start if the job arrived
    // now.
    Duration expectedWait(int priority, const Work &job, const AvailableCores &available,
                          TimePoint now) const;
    // Waiting work of this and more urgent priorities.
    Work waitingWork(int priority) const;

private:
    // Load of one priority.
    struct PriorityLoad
    {
        Work waiting;
        double startRate = 0;      // work started per time, in cores; exponentially weighted
        TimePoint rateUpdatedAt{}; // time up to which the rate is decayed
    };

    // The rate, decayed until `now`, in cores.
    double startRateOf(const PriorityLoad &level, TimePoint now) const;

    double m_lateFraction = 0;                // share of late answers, exponentially weighted
    std::map<int, PriorityLoad> m_priorities; // by priority, the most urgent first
};

} // namespace cactuscove
