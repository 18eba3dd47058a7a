// What happened at the edges of a virtual fleet, and the promises that it must keep.

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

struct AnsweredEvent
{
    TimePoint at;
    std::uint64_t caller = 0;
    JobKey key;
    Answer answer;
};

struct RevisionEvent
{
    TimePoint at;
    Incarnation process;
    Revision revision;
};

struct FleetHistory
{
    std::vector<SubmittedEvent> submitted;
    std::vector<StartedEvent> started;
    std::vector<AnsweredEvent> answered;
    std::vector<RevisionEvent> revisions;
};

// The body that an upstream returns for a task, so that mixed-up answers show.
std::string bodyOf(const JobKey &key, std::size_t index);

// One line for each broken promise; empty if all were kept.
std::vector<std::string> brokenPromises(const FleetHistory &history);

} // namespace cactuscove
