// Value types of best-effort dispatch: queues, jobs, tasks, workers. Shared by the decisions of the
// entry and the agent and by the adapter that decodes them.

#pragma once

#include "resources.h"
#include "types.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// Inputs come at least with each beat of another instance; a longer gap means that the process was
// suspended.
inline constexpr Duration SuspensionGap = std::chrono::milliseconds(300);

// One route of the operators' configuration: which requests it takes and how their jobs are run.
struct QueueSettings
{
    std::string name;
    std::string host;       // of the request, in lower case
    std::string pathPrefix; // ends before the job's id
    std::string upstream;
    int priority = 0; // 0 comes first
    int maxAttempts = 1;
    double slackFactor = 1;   // of the objective, times the job's own run time
    Duration targetLatency{}; // added to it
    Duration timeout{};       // 0: none

    bool operator==(const QueueSettings &) const = default;
};

// The operators' configuration as far as dispatching needs it.
struct DispatchConfig
{
    std::uint64_t version = 0; // 0: none yet
    std::vector<QueueSettings> queues;
    std::size_t maxBodyBytes = 0; // of a caller's request; 0: no limit
};

// A job whose answer is its only record: nothing of it is stored.
struct BestEffortJob
{
    std::string id;
    std::string queue;
    std::string payload; // passed to the upstream unchanged
    Resources needs;     // of each task
    std::uint32_t taskCount = 0;
    Duration declared{};        // the caller's estimate of one task's run time; 0: none
    std::string requiredLabel;  // that the worker must have; empty: any worker
    std::string preferredLabel; // of the workers that run the tasks fastest; empty: none
};

// The queue that takes a request, and the rest of the path after its prefix. The longest prefix of
// the request's host wins.
struct QueueMatch
{
    const QueueSettings *queue = nullptr; // none: no queue takes the request
    std::string_view rest;
};

QueueMatch matchQueue(const DispatchConfig &config, std::string_view host, std::string_view path);

struct TaskId
{
    std::string jobId;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

// How a started task ended.
enum class TaskEnd {
    Done,
    Failed,  // by the task's own fault or its worker's
    Stopped, // on request, or because the entry that asked for it was silent
    Lost,    // its lease expired, or its worker left or restarted
};

// Why a task was not started; each is a proof that it never will be under this attempt.
enum class StartRefusal {
    Expired,    // its start came too late
    Draining,   // its worker is leaving
    NoWorker,   // its worker is gone
    OldAttempt, // the worker has seen this or a later attempt
    Unhealthy,  // the worker refuses starts
    Withdrawn,  // the entry took it back, or was silent, before the start
    Duplicate,  // another attempt of the same task may still run here
};

std::string_view nameOf(TaskEnd end);
std::string_view nameOf(StartRefusal refusal);

// A worker as it describes itself.
struct WorkerInfo
{
    std::string id; // of one life of the worker
    std::string upstream;
    std::string address; // "ip:port"
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    std::int64_t startedAtUnixMs = 0; // Unix time of its start; tells lives under one id apart
    std::uint64_t sequence = 0;

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace cactuscove
