// Expected waiting time of a new job at one entry, from the work that waits before it and the rate
// at which such work has been started lately. Answers a load that exceeds the fleet for some
// seconds: a job that would wait longer than its objective allows is refused when it arrives.

#pragma once

#include "types.h"

#include <map>

namespace cactuscove {

// Processor time of tasks, in core-milliseconds.
using CoreMs = double;

class LoadControl
{
public:
    // Commands
    void queued(int priority, CoreMs work);   // a task began to wait
    void unqueued(int priority, CoreMs work); // it was sent to a worker, or given up
    void started(int priority, CoreMs work, TimePoint now);

    // Queries
    // Of work of this priority that arrives now. `cores` is the part of the fleet that this entry
    // may count on; it bounds the rate from below while little has been started.
    Duration expectedWait(int priority, double cores, TimePoint now) const;
    CoreMs waitingWork(int priority) const; // of this and more urgent priorities

private:
    struct Level
    {
        CoreMs waiting = 0;
        double rate = 0; // cores, exponentially weighted
        TimePoint ratedAt{};
    };

    double rateOf(const Level &level, TimePoint now) const;

    std::map<int, Level> m_levels; // by priority, the most urgent first
};

} // namespace cactuscove
