// Expected waiting time of a new job at one entry, from the work that waits before it and the rate
// at which such work has been started lately. Answers a load that exceeds the fleet for some
// seconds: a job that would wait longer than its objective allows is refused when it arrives.

#pragma once

#include "types.h"

#include <map>

namespace cactuscove {

// Processor time of tasks, in core-milliseconds.
using CoreMs = double;

// What one or several tasks take.
struct Work
{
    double cores = 0;
    CoreMs coreMs = 0;
};

// What an entry knows of the fleet when a job arrives.
struct FleetRoom
{
    double freeCores = 0;  // by the newest reports
    double shareCores = 0; // of the whole capacity, the part that this entry may count on
};

class LoadControl
{
public:
    // Commands
    void queued(int priority, const Work &work);   // a task began to wait
    void unqueued(int priority, const Work &work); // it was sent to a worker, or given up
    void started(int priority, const Work &work, TimePoint now);
    // A job was answered. Late answers show that waits are underestimated: the fleet may have less
    // room than its workers say, for example while some of them fail what they start.
    void answered(bool isLate);

    // Queries
    // Until the last task of a job with this priority and work would start if it arrived now.
    Duration expectedWait(int priority, const Work &job, const FleetRoom &room,
                          TimePoint now) const;
    Work waitingWork(int priority) const; // of this and more urgent priorities

private:
    struct Level
    {
        Work waiting;
        double rate = 0; // cores, exponentially weighted
        TimePoint ratedAt{};
    };

    double rateOf(const Level &level, TimePoint now) const;

    double m_lateShare = 0;        // of the newest answers
    std::map<int, Level> m_levels; // by priority, the most urgent first
};

} // namespace cactuscove
