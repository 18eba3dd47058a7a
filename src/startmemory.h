// The tasks that an executor has started, and those that it must not start any more. Rule R4: a
// started task is not started again, and every new home that asks is told of it.

#pragma once

#include "messages.h"
#include "types.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuscove {

// Orders the attempts at one task, first by epoch: each home numbers its attempts itself.
struct AttemptId
{
    Epoch epoch;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptId &) const = default;
};

// One attempt that was handed to the upstream.
struct TaskRun
{
    AttemptId id;
    Incarnation home; // that the result is sent to
    std::string team;
    std::string jobClass;
    std::string upstreamAddress;
    std::string upstreamIncarnation;
    TraceContext span; // trace id and id of the span of this run
    std::string parentSpanId;
    TimePoint startedAt;
    TimePoint chargedUntil; // the run time up to here is charged to the class and team
    bool isRunning = true;
    bool isAcknowledged = false; // the home has received the result
    TaskResult result;           // Unknown while running
    // When the result is sent to the home again, and the interval after that.
    TimePoint resendAt = NeverTime;
    Duration resendInterval{};

    // False only if the upstream has proved that the task did not start.
    bool hasStarted() const { return isRunning || result.status != TaskStatus::NotStarted; }
};

// What is known of one task.
struct TaskRecord
{
    // The tombstone: an attempt up to this one that is not in `runs` never starts.
    AttemptId highestDecided;
    std::string id;            // of the task in its job; set by the first start
    std::vector<TaskRun> runs; // in ascending order of attempt numbers, which are unique

    TaskRun *run(std::uint32_t attempt);
    const TaskRun *run(std::uint32_t attempt) const;
    TaskRun *lastStarted(); // the newest run that has started, or nullptr
};

// The records of all tasks, grouped by job. A job is kept until `idMemory` after its last change.
// Used by the executor, which checks every request against these records.
class StartMemory
{
public:
    // `maxResultBytes` limits the total size of the stored result bodies. Beyond it the oldest
    // results become Unknown, but the tasks still count as started.
    explicit StartMemory(std::size_t maxResultBytes);

    // Commands
    // Leaves a tombstone: this attempt and all earlier ones never start, unless they have started
    // already.
    TaskRecord &addTombstone(const TaskRef &ref, const AttemptId &id, TimePoint now);
    // Adds a run that was handed to the upstream because of the message `start`.
    TaskRun &addRun(const StartTask &start, TaskRun run, TimePoint now);
    // Stores the result of `run`, which is a run of the task `ref`.
    void storeResult(const TaskRef &ref, TaskRun &run, TaskResult result, TimePoint now);
    // Removes jobs without a running task that have not changed for `idMemory`.
    void expire(TimePoint now, Duration idMemory);

    // Queries
    TaskRecord *find(const TaskRef &ref);
    const TaskRecord *find(const TaskRef &ref) const;
    // The jobs of a shard of which a task has started at an epoch lower than `below`.
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below) const;
    // All jobs of which a task has started, for the handover to another process.
    std::vector<AdoptedJob> adoptableJobs(TimePoint now) const;
    TimePoint nextExpiry() const; // when expire() has work to do; NeverTime if never
    std::size_t jobCount() const { return m_expiry.size(); }
    std::size_t resultBytes() const { return m_resultBytes; } // total size of the stored bodies

private:
    struct Job
    {
        TimePoint changedAt{}; // time of the last change
        std::uint64_t contentHash = 0;
        std::uint16_t taskCount = 0;
        std::map<std::uint16_t, TaskRecord> tasks; // by index in the job
    };
    struct StoredResult
    {
        TaskRef ref;
        std::uint32_t attempt = 0;
    };

    Job &touch(const JobKey &key, TimePoint now);
    static std::optional<WitnessedJob> witnessedJob(const JobKey &key, const Job &job, Epoch below);
    TaskRun *findRun(const StoredResult &stored);
    void dropOldResults();

    std::size_t m_maxResultBytes;
    std::size_t m_resultBytes = 0;
    std::array<std::unordered_map<JobKey, Job>, ShardCount> m_jobs;
    std::multimap<TimePoint, JobKey> m_expiry; // one entry per job: when to check its age next
    std::deque<StoredResult> m_stored;         // oldest result first
};

} // namespace cactuscove
