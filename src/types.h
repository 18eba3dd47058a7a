// Identifiers and plain value types that the whole program shares: identities, time, the parts of a
// job and of its answer, members and their load.

#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// Time in the decision code. That code gets the current time as an argument and never reads a
// clock, so that tests can run it in virtual time.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr TimePoint NeverTime = TimePoint::max(); // of a timer that is not set

// An integer of a type of its own, so that identifiers of different kinds cannot be mixed up.
template <typename Tag, typename Rep = std::uint64_t>
struct StrongId
{
    Rep value{};
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)
};

using Incarnation = StrongId<struct IncarnationTag>; // one run of one process; 0 means no process
using Epoch = StrongId<struct EpochTag>; // of a shard: each claim adds 1; 0 before the first claim
using LogOffset = StrongId<struct LogOffsetTag>; // position of a record in the log, from 0
using Revision = StrongId<struct RevisionTag>;   // of the configuration; 0 if none is accepted
using ShardId = StrongId<struct ShardIdTag, std::uint16_t>; // 0 to ShardCount - 1

// Job keys are hashed to this many shards. Each shard has one home, the agent that accepts its jobs
// and drives their tasks, so this also bounds the number of homes.
inline constexpr std::uint16_t ShardCount = 512;

inline constexpr std::size_t MaxTasksPerJob = 370;

// 128-bit hash of a job key. Entries remember hashes instead of keys to stay within their memory
// limit.
struct KeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const KeyHash &) const = default;
};

// "team/id": the id that the caller chose, scoped by its team.
struct JobKey
{
    std::string value;
    auto operator<=>(const JobKey &) const = default;
};

// The hash is the 128-bit XXH3 and the shard its low half modulo ShardCount. Processes exchange
// both in messages, so all of them, of any version, must compute the same values.
KeyHash hashOf(const JobKey &key);
ShardId shardOf(const JobKey &key);
ShardId shardOf(const KeyHash &hash);

// W3C trace context of the span that caused a message; both empty without a trace.
struct TraceContext
{
    std::string traceId; // 32 hex digits
    std::string spanId;  // 16 hex digits
    bool operator==(const TraceContext &) const = default;
};

// What one task requires of an upstream, or the most that one task may require there. Best-effort
// dispatch uses Resources (resources.h), which also has processor cores.
struct TaskResources
{
    std::uint32_t accelerators = 0; // whole devices
    std::uint32_t memoryMb = 0;     // only compared, so callers and upstreams choose MB or MiB
    bool operator==(const TaskResources &) const = default;
};

// One task of a job, as the caller submitted it.
struct TaskSpec
{
    std::string id;             // unique within the job
    std::string payload;        // passed to the upstream unchanged
    Duration declaredRunTime{}; // the caller's estimate, a hint only; 0 if it gave none
    TaskResources needs;
    bool operator==(const TaskSpec &) const = default;
};

// A job as the caller submitted it. All of its tasks run on the same upstream.
struct JobSpec
{
    JobKey key;
    std::string team;
    std::string jobClass;          // name in the configuration; slots are shared among classes
    std::string upstream;          // name in the configuration
    Duration deadline{};           // time allowed, counted from the submission by the caller
    bool idempotent = false;       // tasks may be retried, and a slow one started a second time
    std::uint64_t contentHash = 0; // of the whole job; tells apart two jobs under the same key
    std::vector<TaskSpec> tasks;   // at most MaxTasksPerJob
    bool operator==(const JobSpec &) const = default;
};

// How one attempt of a task ended.
enum class TaskStatus {
    Completed, // the upstream answered with 2xx or 4xx
    Failed,    // it started, then the upstream answered with 3xx or 5xx or the connection broke
    // It provably did not start, also if the upstream says so in a 409 or 503. A tombstone at
    // the agent (startmemory.h) keeps the attempt from starting later.
    NotStarted,
    Unknown, // it may have started
};

std::string_view nameOf(TaskStatus status); // for logs and metrics, for example "not_started"

struct TaskResult
{
    TaskStatus status = TaskStatus::Unknown;
    int httpStatus = 0; // from the upstream; 0 if it gave no answer
    std::string body;   // of the upstream's answer
    Duration runTime{}; // measured by the agent, from the request to the upstream to its answer
    bool operator==(const TaskResult &) const = default;
};

// What a caller learns of its job.
enum class Outcome {
    Completed, // every task has a result
    NotRun,    // provably no task has started, and none will unless the job is submitted again
    Unknown    // neither can be proved
};

std::string_view nameOf(Outcome outcome); // as in answers to callers, for example "not_run"

// The result of one task in the answer to a job.
struct TaskAnswer
{
    std::string id;     // TaskSpec::id
    int httpStatus = 0; // from the upstream
    std::string body;
    bool operator==(const TaskAnswer &) const = default;
};

// The answer to a job. An answer is never partial: `tasks` has every task of the job for Completed
// and is empty otherwise.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    std::string reason; // empty for Completed, else for example "deadline"
    // How long to wait, after this answer, before submitting again; empty if that cannot help.
    std::optional<Duration> retryAfter;
    std::vector<TaskAnswer> tasks; // in the order of JobSpec::tasks
    bool operator==(const Answer &) const = default;
};

enum class Role {
    Entry, // takes the requests of callers and forwards each job to its home
    Agent  // the home of some shards; runs tasks on the upstream instance announced to it
};

// What a process states about itself in its `register` record.
struct Member
{
    Incarnation incarnation;
    Role role = Role::Agent;
    std::string address; // "ip:port" of its HTTP listener
    std::string dataCentre;
    std::string rack;   // may be empty
    std::string office; // where the process runs; may be empty
    bool operator==(const Member &) const = default;
};

// The load of one agent as the agent itself measured it. Every envelope carries the newest report
// that its sender knows of each agent, or of some agents in turn if there are too many. A slot is
// room for one running task.
struct LoadReport
{
    Incarnation agent;
    std::string upstream;        // name of the agent's upstream; empty without one
    std::uint32_t freeSlots = 0; // of `slots`
    std::uint32_t slots = 0;     // tasks that its upstream runs at a time
    std::uint32_t queued = 0;    // tasks waiting for a slot, or offered one and not started
    TaskResources capacity;      // the most that a single task may require here
    bool draining = false;       // the agent refuses new tasks
    Duration age{};              // time since the measurement when the report is sent
    // Of the results of its upstream, exponentially weighted: the newest one weighs 20%.
    std::uint32_t failurePercent = 0;
    bool operator==(const LoadReport &) const = default;
};

} // namespace cactuscove

template <typename Tag, typename Rep>
struct std::hash<cactuscove::StrongId<Tag, Rep>>
{
    std::size_t operator()(const cactuscove::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};

template <>
struct std::hash<cactuscove::KeyHash>
{
    std::size_t operator()(const cactuscove::KeyHash &keyHash) const noexcept
    {
        return keyHash.low;
    }
};

template <>
struct std::hash<cactuscove::JobKey>
{
    std::size_t operator()(const cactuscove::JobKey &key) const noexcept
    {
        return std::hash<std::string>{}(key.value);
    }
};
