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

// Heartbeats between entries and agents arrive more often than this. After a longer time without an
// input a process assumes that it was suspended, and ends what has expired before it handles the
// next input.
inline constexpr Duration SuspensionGap = std::chrono::milliseconds(300);

// One route of the operators' configuration: which requests belong to it and how their jobs are
// run.
struct QueueSettings
{
    std::string name;
    std::string host; // of the requests, without a port; upper and lower case are the same
    // Path of the requests up to the job's id. Compared as text: it need not end at a "/".
    std::string pathPrefix;
    std::string upstream;
    int priority = 0; // 0 is the most urgent
    // The job fails when one of its tasks has ended this often as TaskEnd::Failed. Other ends and
    // refusals do not count. Less than 1 counts as 1.
    int maxAttempts = 1;
    // A job should be answered within slackFactor * expected run time + targetLatency of its
    // arrival. The expected run time is that of the whole job if all of its tasks run at once,
    // estimated from measured and declared run times (runtimemodel.h).
    double slackFactor = 1;
    Duration targetLatency{};
    // How long a caller waits for the answer, from the arrival of its job, if its request does not
    // say so. 0: 30 s (DefaultCallerTimeout in dispatchcallers.cpp).
    Duration timeout{};

    bool operator==(const QueueSettings &) const = default;
};

// The part of the operators' configuration that dispatching needs.
struct DispatchConfig
{
    std::uint64_t version = 0; // 0: none yet
    std::vector<QueueSettings> queues;
    std::size_t maxBodyBytes = 0; // limit for a caller's request; 0: no limit
};

// A job as its caller submits it. Nothing of it is stored: if the caller does not receive the
// answer, no other record shows how the job ended.
struct BestEffortJob
{
    std::string id;
    std::string queue;   // name of its queue
    std::string payload; // passed to the upstream unchanged
    Resources needs;     // of each task, in the units of Resources
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
// `path`, so it must not be used after either has changed.
QueueMatch matchQueue(const DispatchConfig &config, std::string_view host, std::string_view path);

// A task of a job, by its index from 0.
struct TaskId
{
    std::string jobId;
    std::uint32_t index = 0;
    auto operator<=>(const TaskId &) const = default; // NOLINT(modernize-use-nullptr)
};

// How an attempt ended that was started, or may have been.
enum class TaskEnd {
    Done,
    Failed, // by a fault of the task or of its worker
    // Stopped by its agent: on request, at its deadline, because no message from its entry arrived
    // for too long, or because it was unclear whether it had started.
    Stopped,
    // The lease that the agent renews at the worker expired, or the worker left, restarted or no
    // longer lists the task.
    Lost,
};

// Why an attempt of a task was not started. After any of these refusals it will not be started
// later either; startproof.h says what proves that.
enum class StartRefusal {
    Expired,    // its deadline for starting has passed
    Draining,   // its worker is leaving
    NoWorker,   // its worker is gone, or its agent shuts down
    OldAttempt, // the worker has ended or stopped this or a later attempt
    Unhealthy,  // the worker refuses starts
    // Before the start its entry withdrew or replaced it, or sent nothing for too long; or it was
    // being stopped when the worker declined its last start.
    Withdrawn,
    Duplicate, // another attempt of the same task may still run at this agent
};

// For logs and metrics, for example "old_attempt".
std::string_view nameOf(TaskEnd end);
std::string_view nameOf(StartRefusal refusal);

// Latest Unix time in milliseconds that a message may name; about the year 2286.
inline constexpr std::int64_t MaxUnixMs = 9'999'999'999'999;

// A worker, as it describes itself in its heartbeats.
struct WorkerInfo
{
    std::string id; // of the instance; may stay the same when its process restarts
    std::string upstream;
    std::string address; // "ip:port"
    std::string dataCentre;
    Resources capacity; // in total, whatever is in use
    std::vector<std::string> labels;
    bool isDraining = false;
    // Unix time of the start of the worker process; shows a restart under the same id. 0: not
    // reported.
    std::int64_t startedAtUnixMs = 0;
    std::uint64_t sequence = 0; // increases with each heartbeat of a process

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace cactuscove
