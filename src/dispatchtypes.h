// Value types of best-effort dispatch: queues, jobs, tasks and workers. Shared by the decisions of
// entries and agents and by the adapter that decodes the messages of the users' platform.

#pragma once

#include "resources.h"
#include "types.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// A process has an input at least with each heartbeat of another instance. A longer time without
// one means that the process was suspended.
inline constexpr Duration SuspensionGap = std::chrono::milliseconds(300);

// One route of the operators' configuration: which requests belong to it and how their jobs are
// run.
struct QueueSettings
{
    std::string name;
    std::string host;       // host of the requests, in lower case
    std::string pathPrefix; // path of the requests up to the job's id
    std::string upstream;
    int priority = 0;    // 0 is the most urgent
    int maxAttempts = 1; // failed attempts of one task after which its job has failed
    // The objective of a job's answer time is slackFactor * expected run time + targetLatency.
    double slackFactor = 1;
    Duration targetLatency{};
    Duration timeout{}; // 0: none

    bool operator==(const QueueSettings &) const = default;
};

// The part of the operators' configuration that dispatching needs.
struct DispatchConfig
{
    std::uint64_t version = 0; // 0: none yet
    std::vector<QueueSettings> queues;
    std::size_t maxBodyBytes = 0; // limit for a caller's request; 0: no limit
};

// A job as its caller submits it. Nothing of it is stored; its answer is its only record.
struct BestEffortJob
{
    std::string id;
    std::string queue;   // name of its queue
    std::string payload; // passed to the upstream unchanged
    Resources needs;     // of each task
    std::uint32_t taskCount = 0;
    // Run time of one task as the caller estimates it; 0: not declared.
    Duration declaredRunTime{};
    // Label that the worker must have; empty: any worker.
    std::string requiredLabel;
    // Label of the workers that run the tasks fastest; empty: none.
    std::string preferredLabel;
};

// The queue of a request. Among the queues of the request's host, the one with the longest matching
// path prefix is taken.
struct QueueMatch
{
    const QueueSettings *queue = nullptr; // nullptr: the request belongs to no queue
    std::string_view pathSuffix;          // the path after the queue's prefix
};

// Finds the queue of a request. `host` may end in a port. The result points into `config` and
// `path`.
QueueMatch matchQueue(const DispatchConfig &config, std::string_view host, std::string_view path);

// A task of a job, by its index from 0.
struct TaskId
{
    std::string jobId;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

// How a started task ended.
enum class TaskEnd {
    Done,
    Failed,  // by a fault of the task or of its worker
    Stopped, // stopped by its agent: on request, at its deadline, or as its entry was silent
    Lost,    // its lease expired, or its worker left or restarted
};

// Why an attempt of a task was not started. Each of these reasons ensures that this attempt never
// will be.
enum class StartRefusal {
    Expired,    // its deadline for starting has passed
    Draining,   // its worker is leaving
    NoWorker,   // its worker is gone
    OldAttempt, // the worker has ended or stopped this or a later attempt
    Unhealthy,  // the worker refuses starts
    Withdrawn,  // its entry withdrew it, or was silent, before the start
    Duplicate,  // another attempt of the same task may still run at this agent
};

std::string_view nameOf(TaskEnd end);
std::string_view nameOf(StartRefusal refusal);

// A worker, as it describes itself in its heartbeats.
struct WorkerInfo
{
    std::string id; // id of one process of the worker
    std::string upstream;
    std::string address; // "ip:port"
    std::string dataCentre;
    Resources capacity;
    std::vector<std::string> labels;
    bool isDraining = false;
    // Unix time of the start of the worker process; distinguishes processes with the same id. 0:
    // not reported.
    std::int64_t startedAtUnixMs = 0;
    std::uint64_t sequence = 0; // increases with each heartbeat of a process

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace cactuscove
