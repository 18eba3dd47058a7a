// What an executor started and what it was told not to start (rule R4), for id_memory.

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

// Orders the placements of one task. Attempts are counted by one home, so a higher epoch counts
// anew.
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
    Incarnation home; // gets the result
    std::string team;
    std::string jobClass;
    std::string upstreamAddress;
    std::string upstreamIncarnation;
    TraceContext span;
    std::string parentSpanId;
    TimePoint startedAt;
    TimePoint chargedUntil; // run time already counted for the class and team shares
    bool isRunning = true;
    bool isAcknowledged = false;
    TaskResult result; // Unknown while running
    TimePoint repeatAt = NeverTime;
    Duration repeatAfter{};

    // False only with the upstream's proof that it did not start.
    bool hasStarted() const { return isRunning || result.status != TaskStatus::NotStarted; }
};

struct TaskRecord
{
    // An attempt up to this one that is not in `runs` never starts: it is a tombstone for all of
    // them.
    AttemptId highest;
    std::string id;            // of the task in its job; set by the first start
    std::vector<TaskRun> runs; // by rising attempt; attempt numbers are unique

    TaskRun *run(std::uint32_t attempt);
    const TaskRun *run(std::uint32_t attempt) const;
    TaskRun *lastStarted(); // the newest run that has started, if any
};

class StartMemory
{
public:
    // `maxResultBytes` bounds the bodies kept; the oldest results beyond it become Unknown.
    explicit StartMemory(std::size_t maxResultBytes);

    // Commands
    // Refuses this attempt and all before it from now on, unless already started.
    TaskRecord &bury(const TaskRef &ref, const AttemptId &id, TimePoint now);
    // `start` is the message that `run` was made from.
    TaskRun &addRun(const StartTask &start, TaskRun run, TimePoint now);
    void storeResult(const TaskRef &ref, TaskRun &run, TaskResult result, TimePoint now);
    // Forgets jobs without activity for `idMemory`, except running ones.
    void expire(TimePoint now, Duration idMemory);

    // Queries
    TaskRecord *find(const TaskRef &ref);
    const TaskRecord *find(const TaskRef &ref) const;
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below) const;
    std::vector<AdoptedJob> adopted(TimePoint now) const;
    TimePoint nextExpiry() const;
    std::size_t jobCount() const { return m_expiry.size(); }
    std::size_t resultBytes() const { return m_resultBytes; }

private:
    struct Job
    {
        TimePoint touched{};
        std::uint64_t contentHash = 0;
        std::uint16_t taskCount = 0;
        std::map<std::uint16_t, TaskRecord> tasks;
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
    std::multimap<TimePoint, JobKey> m_expiry; // one entry per job; checked again when due
    std::deque<StoredResult> m_stored;         // in order of completion
};

} // namespace cactuscove
