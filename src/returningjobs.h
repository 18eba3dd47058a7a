// Jobs that callers submit again because the processes that had them were lost. After the loss of a
// whole fleet the callers of all jobs that ran come back together, after their resubmit delay,
// while new jobs arrive as always. The objective of such a job has passed at its caller, so it may
// only use cores that nobody else needs. A restarted entry recognises it by the runs that workers
// list from before their agents' restart.
//
// Addresses the load after the loss of all processes. Reads no clock: inputs carry the time.

#pragma once

#include "loadcontrol.h"
#include "types.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cactuscove {

// Used by JobDispatcher, one object per entry process. Has an effect only in the startup period of
// the process.
class ReturningJobs
{
public:
    explicit ReturningJobs(TimePoint startedAt);

    // Commands

    // A worker lists a run of this job that was started before the restart of the worker's agent.
    void noteEarlierRun(std::string_view jobId, TimePoint now);
    // Decides on a job for which isReturning() is true; `waiting` is all work that waits at this
    // entry. None: it may be placed after all other jobs. Otherwise when its caller should come
    // back: the times are spread over the time that the entry's share of the cores takes for the
    // work that was refused.
    std::optional<Duration> retryTime(const Work &job, const Work &waiting,
                                      const AvailableCores &available);

    // Queries

    bool isReturning(std::string_view jobId, TimePoint now) const;

private:
    TimePoint m_startedAt;
    std::set<std::string, std::less<>> m_jobIds; // of jobs with an earlier run
    CoreMs m_refusedWork = 0;                    // of all jobs that were told to come back
};

} // namespace cactuscove
