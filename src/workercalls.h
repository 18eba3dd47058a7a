// Calls of an agent to a worker: starts, stops and polls, and the replies to them.

#pragma once

#include "dispatchtypes.h"
#include "endproof.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cactuscove {

// A call without a reply for this long counts as unanswered.
inline constexpr Duration CallTimeout = std::chrono::milliseconds(300);
// After a call that could not be delivered.
inline constexpr Duration NotSentRetryDelay = std::chrono::milliseconds(20);
// Added to the end of a lease or a start window, for calls that are under way. For a start window
// it also covers the worker's clock, which may be 2% slow.
inline constexpr Duration LeaseMargin = std::chrono::milliseconds(60);

// How long a run may keep a lease of this length, from the call that asks for it.
constexpr Duration longestRunTime(Duration lease)
{
    return lease + lease / 50 + LeaseMargin;
}

// Identifies a call to a worker; from 1 in each process of the agent.
using WorkerCallId = StrongId<struct WorkerCallIdTag>;

// Effects: calls to a worker. `workerId` is WorkerInfo::id, which a worker may keep when it
// restarts. A process with another id at the address refuses the call (OtherProcess). A kept
// id does not tell a restarted worker from the earlier process; PollReply::startedAtUnixMs and
// heartbeats do. A call without a reply after `timeout` counts as unanswered.
struct StartRun
{
    WorkerCallId call;
    std::string workerId;
    std::string address;
    TaskId task;
    std::uint32_t attempt = 0;
    std::string payload;
    WorkerClock deadline; // the worker refuses a start that reaches it later than this
    Duration timeout{};
};

// Stops the run; the worker then also refuses starts of this and earlier attempts.
struct StopRun
{
    WorkerCallId call;
    std::string workerId;
    std::string address;
    TaskId task;
    std::uint32_t attempt = 0;
    Duration timeout{};
};

// Long poll: asks what runs and what has ended, and renews the lease of all runs.
struct PollRuns
{
    WorkerCallId call;
    std::string workerId;
    std::string address;
    // Number of the last end received; the worker may forget the ends up to it.
    std::uint64_t acknowledged = 0;
    std::optional<WorkerClock> leaseUntil; // none: it is not renewed
    // Without a new end, the worker may hold back its reply for this long.
    Duration maxWait{};
    Duration timeout{};
};

// What became of a start.
enum class StartAnswer {
    Accepted,     // the attempt runs, or ran already
    NoCapacity,   // refused: not enough free capacity
    Late,         // refused: its deadline has passed
    OldAttempt,   // refused: this or a later attempt was stopped or has ended there
    Unhealthy,    // refused: the worker is unhealthy; nothing was done
    Invalid,      // refused: malformed
    OtherProcess, // refused: the process at the address has another worker id
    NotSent,      // certainly not delivered
    Refused,      // the same: nothing listens at the address
    NoAnswer,     // the start may have been carried out, or may be carried out later
};

// The reply to StartRun.
struct StartReply
{
    StartAnswer answer = StartAnswer::NoAnswer;
    std::optional<WorkerClock> clock; // when the worker replied, if the reply contains it
};

// What became of a stop or a poll; the values mean the same as in StartAnswer.
enum class CallAnswer { Ok, OtherProcess, NotSent, Refused, NoAnswer };

// True for both kinds of answer if the call was certainly not delivered.
template <typename Answer>
constexpr bool isUndelivered(Answer answer)
{
    return answer == Answer::NotSent || answer == Answer::Refused;
}

// The reply to StopRun.
struct StopReply
{
    CallAnswer answer = CallAnswer::NoAnswer;
    std::optional<WorkerClock> clock; // when the worker replied, if the reply contains it
};

// A run that has not ended, in a list of the worker.
struct ActiveRun
{
    TaskId task;
    std::uint32_t attempt = 0;
    int percentDone = 0; // of its work, 0 to 100
};

// A run that has ended, in a list of the worker.
struct EndedRun
{
    std::uint64_t number = 0; // from 1 in each process of the worker
    TaskId task;
    std::uint32_t attempt = 0;
    TaskEnd end = TaskEnd::Lost;
};

// The reply to PollRuns.
struct PollReply
{
    CallAnswer answer = CallAnswer::NoAnswer;
    WorkerClock clock; // when the worker replied
    // Unix time of the start of the worker process; 0 if the reply does not contain it.
    std::int64_t startedAtUnixMs = 0;
    std::vector<ActiveRun> active;
    // Ends after PollRuns::acknowledged, in order; the oldest ones if one reply cannot hold them
    // all.
    std::vector<EndedRun> ended;

    bool isActive(const TaskId &task, std::uint32_t attempt) const
    {
        return std::any_of(active.begin(), active.end(), [&](const ActiveRun &it) {
            return it.task == task && it.attempt == attempt;
        });
    }
};

} // namespace cactuscove
