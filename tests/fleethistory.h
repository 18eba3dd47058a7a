// What callers, upstreams and processes of a simulated fleet have observed, and the check of the
// invariants that must hold for it.

#pragma once

#include "types.h"

#include <map>
#include <string>
#include <vector>

namespace cactuscove {

// One request of a caller.
struct SubmittedEvent
{
    TimePoint at;
    std::uint64_t caller = 0;
    JobKey key;
    std::size_t taskCount = 0;
    bool idempotent = false;
};

// A task began to run at an upstream.
struct StartedEvent
{
    TimePoint at;
    JobKey key;
    std::uint16_t index = 0;
};

// A caller got its answer.
struct AnsweredEvent
{
    TimePoint at;
    std::uint64_t caller = 0;
    JobKey key;
    Answer answer;
};

// A process began to use another revision of the configuration.
struct RevisionEvent
{
    TimePoint at;
    Incarnation process;
    Revision revision;
};

// The events of one run, each list in the order of time.
struct FleetHistory
{
    std::vector<SubmittedEvent> submitted;
    std::vector<StartedEvent> started;
    std::vector<AnsweredEvent> answered;
    std::vector<RevisionEvent> revisions;
};

// The body that an upstream returns for a task. It names the task, so that mixed-up answers show.
std::string bodyOf(const JobKey &key, std::size_t index);

// One line of text for each violation of an invariant; empty if there is none.
std::vector<std::string> findViolations(const FleetHistory &history);

} // namespace cactuscove
