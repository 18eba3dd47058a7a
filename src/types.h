// Strong types and value types shared by every decision module and by the shell.

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

// Decisions receive the time as an argument and never read a clock.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline constexpr TimePoint NeverTime = TimePoint::max();

// A number that cannot be mixed up with a number of another kind.
template <typename Tag, typename Rep = std::uint64_t>
struct StrongId
{
    Rep value{};
    auto operator<=>(const StrongId &) const = default; // NOLINT(modernize-use-nullptr)
};

using Incarnation = StrongId<struct IncarnationTag>; // one run of one process; 0 is no process
using Epoch = StrongId<struct EpochTag>;             // of a shard; 0 means that no home existed yet
using LogOffset = StrongId<struct LogOffsetTag>;
using Revision = StrongId<struct RevisionTag>; // of the configuration; 0 means none accepted
using ShardId = StrongId<struct ShardIdTag, std::uint16_t>;

// Job keys are spread over this many shards; it bounds the number of home agents.
inline constexpr std::uint16_t ShardCount = 512;

inline constexpr std::size_t MaxTasksPerJob = 370;

// 128-bit hash of a job key. Entries remember hashes and not keys to stay within their memory
// limit.
struct KeyHash
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    auto operator<=>(const KeyHash &) const = default;
};

// "team/id": the caller's id, scoped by its team.
struct JobKey
{
    std::string value;
    auto operator<=>(const JobKey &) const = default;
};

KeyHash hashOf(const JobKey &key);
ShardId shardOf(const JobKey &key);
ShardId shardOf(const KeyHash &hash);

// W3C trace context of the span that caused a message.
struct TraceContext
{
    std::string traceId; // 32 hex digits
    std::string spanId;  // 16 hex digits
    bool operator==(const TraceContext &) const = default;
};

struct TaskResources
{
    std::uint32_t accelerators = 0;
    std::uint32_t memoryMb = 0;
    bool operator==(const TaskResources &) const = default;
};

struct TaskSpec
{
    std::string id;
    std::string payload; // passed to the upstream unchanged
    Duration declared{}; // the caller's estimate, a hint only
    TaskResources needs;
    bool operator==(const TaskSpec &) const = default;
};

struct JobSpec
{
    JobKey key;
    std::string team;
    std::string jobClass;
    std::string upstream;
    Duration deadline{}; // relative to the caller's submission
    bool idempotent = false;
    std::uint64_t contentHash = 0; // detects another job under the same id
    std::vector<TaskSpec> tasks;
    bool operator==(const JobSpec &) const = default;
};

enum class TaskStatus {
    Completed,  // the upstream answered with 2xx or 4xx
    Failed,     // started, then 5xx or a broken connection
    NotStarted, // proved not started; a tombstone stands
    Unknown,    // may have started
};

std::string_view nameOf(TaskStatus status); // as in logs and metrics

struct TaskResult
{
    TaskStatus status = TaskStatus::Unknown;
    int httpStatus = 0; // of the upstream, 0 without an answer
    std::string body;
    Duration runTime{};
    bool operator==(const TaskResult &) const = default;
};

enum class Outcome { Completed, NotRun, Unknown };

std::string_view nameOf(Outcome outcome); // as callers see it

struct TaskAnswer
{
    std::string id;
    int httpStatus = 0;
    std::string body;
    bool operator==(const TaskAnswer &) const = default;
};

// The answer to a job. `tasks` is complete for Completed and empty otherwise: never partial.
struct Answer
{
    Outcome outcome = Outcome::Unknown;
    std::string reason;                 // empty for Completed
    std::optional<Duration> retryAfter; // when the caller should come back, if that can help
    std::vector<TaskAnswer> tasks;
    bool operator==(const Answer &) const = default;
};

enum class Role { Entry, Agent };

// What a process says of itself in its `register` record.
struct Member
{
    Incarnation incarnation;
    Role role = Role::Agent;
    std::string address; // "ip:port" of the process's HTTP listener
    std::string dataCentre;
    std::string rack;
    std::string office;
    bool operator==(const Member &) const = default;
};

// Load of one agent as it saw it itself; rides on every envelope.
struct LoadReport
{
    Incarnation agent;
    std::string upstream; // name of the upstream beside it; empty without one
    std::uint32_t freeSlots = 0;
    std::uint32_t slots = 0;
    std::uint32_t queued = 0;
    TaskResources capacity; // what a single task may need here
    bool draining = false;
    Duration age{};                   // since the agent observed it, at the time of sending
    std::uint32_t failurePercent = 0; // of the newest results of its upstream
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
    std::size_t operator()(const cactuscove::KeyHash &it) const noexcept { return it.low; }
};

template <>
struct std::hash<cactuscove::JobKey>
{
    std::size_t operator()(const cactuscove::JobKey &it) const noexcept
    {
        return std::hash<std::string>{}(it.value);
    }
};
