// The home of the jobs of owned shards: accepts and deduplicates jobs, drives their tasks to the
// executors, and answers every entry that asked. An answer is complete or failed, never partial.

#pragma once

#include "admission.h"
#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "placement.h"
#include "random.h"
#include "retrybudget.h"
#include "shardownership.h"
#include "types.h"
#include "workerhealth.h"

#include <array>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuscove {

// What a JobHome works with; everything belongs to the agent node and outlives it.
struct JobHomeParts
{
    const Ledger &ledger;
    const ShardOwnership &shards;
    Admission &admission;
    Placement &placement;
    WorkerHealth &health;
};

class JobHome : public ShardJobs
{
public:
    JobHome(Incarnation self, JobHomeParts parts, std::uint64_t seed);
    ~JobHome() override;

    // Commands
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    // To be called after ShardOwnership has followed the same change.
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    // Decides on the jobs that wait for the witnesses of their shard.
    void decideWaitingJobs(TimePoint now, Outbox &out);
    void onLoad(const LoadReport &digest, TimePoint now);
    void onTimer(TimePoint now, Outbox &out);
    void importShard(const ReceivedShard &table, TimePoint now);
    // Sends queued tasks to agents; called after events that may have freed slots.
    void placeQueuedTasks(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isIdle() const { return m_inProgress == 0; }
    bool hasJobsInProgress(ShardId shard) const override;
    std::vector<TransferredJob> table(ShardId shard, TimePoint now) const override;
    // What it knows of a shard at epochs lower than the claimed one.
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below, TimePoint now) const;
    std::vector<AdoptedJob> memory(TimePoint now) const;

private:
    // When the caller should come back after an answer that more time may change. Not below the
    // time that a copy of the request can spend in the network (a sender gives a connection up
    // after 2 s), because a copy that arrives after the retry time must not start the job behind
    // the back of a caller that was told not_run.
    static constexpr Duration ShortRetry = std::chrono::seconds(2);
    // A reservation is confirmed at this interval, because an executor that lost it offers nothing.
    static constexpr Duration ReservationRepeat = std::chrono::seconds(2);
    // Two copies of a task that ends within this time cost more than they save.
    static constexpr Duration MinHedgeDelay = std::chrono::milliseconds(50);

    // One agent that was asked to run a task.
    enum class TryState {
        Sent,     // a start may have been delivered
        Reserved, // the agent is busy and will offer a slot; it has not started the task
        Running,
    };

    struct Try
    {
        Incarnation agent;
        std::uint32_t attempt = 0;
        TryState state = TryState::Sent;
        bool isOfferReply = false;
        std::uint32_t copies = 0; // of StartTask sent for this attempt
        std::uint32_t undelivered = 0;
        TimePoint since; // of the state
        TimePoint nextSend = NeverTime;
    };

    enum class TaskState { Queued, Active, Completed, Failed };

    struct Task
    {
        TaskState state = TaskState::Queued;
        std::uint64_t token = 0; // its name in Admission
        std::int64_t order = 0;  // its age in Admission, from the last time it was taken out
        bool isCounted = false;  // Admission counts it as started
        bool isHedged = false;
        bool mayHaveStarted = false; // proof to the contrary is missing
        std::uint16_t retries = 0;
        std::uint16_t bounces = 0;
        std::uint32_t attempts = 0; // number of the newest attempt
        TimePoint notBefore{};
        std::vector<Try> tries; // empty unless Active
        std::vector<Incarnation> excluded;
        TaskResult result;
    };

    enum class JobState { Waiting, Running, GivingUp, Answered };

    struct Job
    {
        JobSpec spec;             // without tasks once it is answered
        std::uint64_t serial = 0; // orders jobs in the same way in every run
        Epoch epoch;
        JobState state = JobState::Waiting;
        std::uint32_t attemptBase = 0; // attempts of another submission under this id lie above
        std::vector<Incarnation> entries;
        TimePoint acceptedAt;
        TimePoint deadline;
        TraceContext trace;
        std::string callerSpanId;
        std::vector<Task> tasks;
        std::size_t completedTasks = 0;
        std::uint16_t taskCount = 0;
        // While giving up: what to answer once it is proved that no task started.
        std::string giveUpReason;
        std::optional<Duration> giveUpRetry;
        TimePoint giveUpAt = NeverTime;
        Answer answer;
        TimePoint answeredAt;
        TimePoint wake = NeverTime;
    };

    struct TaskPlace
    {
        Job *job = nullptr;
        std::uint16_t index = 0;
    };

    // Run times and counts of one upstream, for hedges and retries.
    struct UpstreamStats
    {
        std::vector<Duration> runTimes; // a ring of the newest
        std::size_t nextRunTime = 0;
        Duration p95 = Duration::zero(); // zero until enough are known
        std::uint64_t starts = 0;
        std::uint64_t hedges = 0;
        std::size_t reserved = 0; // tries in state Reserved
        RetryBudget budget = RetryBudget::create(0, 0);
    };

    enum class QueueEnd { Front, Back };

    // A job of an earlier epoch, for the witness rounds of later homes.
    struct Former
    {
        WitnessedJob job;
        Epoch epoch;
        TimePoint since;
    };

    // The part of a load digest that admission depends on.
    struct KnownLoad
    {
        std::string upstream;
        std::uint32_t slots = 0; // 0 while it is draining
        bool operator==(const KnownLoad &) const = default;
    };

    // jobhome.cpp and jobhomememory.cpp: jobs
    void noteTime(TimePoint now);
    Duration ageOf(const SubmitJob &message, TimePoint now) const;
    void onSubmit(Incarnation from, const SubmitJob &message, TimePoint now, Outbox &out);
    void onCancel(Incarnation from, const CancelJob &message, TimePoint now, Outbox &out);
    void onQuery(Incarnation from, const QueryJob &message, TimePoint now, Outbox &out);
    void answerUnseen(Incarnation from, const JobKey &key, Duration askedAt, Outbox &out) const;
    bool isHome(ShardId shard, Epoch epoch) const;
    Job *find(const JobKey &key);
    static bool isForgotten(const Job &job, TimePoint now);
    void refuse(Incarnation to, const JobKey &key, SubmitRefusal reason, Outbox &out) const;
    Job &create(const SubmitJob &message, TimePoint now);
    void decide(Job &job, TimePoint now, Outbox &out);
    void admit(Job &job, TimePoint now, Outbox &out);
    static std::optional<Answer> provedAnswer(const WitnessedJob &seen, const JobSpec *spec);
    static WitnessedJob witnessOf(const Job &job);
    std::optional<Answer> refusalOf(const Job &job, TimePoint now);
    static void reply(Incarnation to, Job &job, Duration askedAt, TimePoint now, Outbox &out);
    static void addEntry(Job &job, Incarnation entry);
    void finish(Job &job, Answer answer, TimePoint now, Outbox &out);
    void forget(Job &job);
    void loseOldEpochs(std::span<const ShardId> shards, TimePoint now);
    void onJobTimer(Job &job, TimePoint now, Outbox &out);
    bool giveUpIfStalled(Job &job, TimePoint now, Outbox &out);
    TimePoint forgetAt(const Job &job) const;
    void wakeAt(Job &job, TimePoint at);
    static Duration spread(const JobKey &key, Duration base);
    static Answer unknown(std::string reason, std::optional<Duration> retryAfter = {});
    static Answer notRun(std::string reason, std::optional<Duration> retryAfter);
    std::string nextSpanId();

    // jobhometasks.cpp and jobhomeplacement.cpp: tasks
    void onTaskMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onAccepted(Incarnation from, const TaskAccepted &message, TimePoint now, Outbox &out);
    void onBusy(Incarnation from, const TaskBusy &message, TimePoint now, Outbox &out);
    void onRefused(Incarnation from, const TaskRefused &message, TimePoint now, Outbox &out);
    void onDone(Incarnation from, const TaskDone &message, TimePoint now, Outbox &out);
    void onNotStarted(Incarnation from, const TaskNotStarted &message, TimePoint now, Outbox &out);
    void onOffer(Incarnation from, const SlotOffer &message, TimePoint now, Outbox &out);
    void configure();
    void syncAgents(TimePoint now, Outbox &out);
    void agentLost(Incarnation agent, TimePoint now, Outbox &out);
    TaskPlace locate(const TaskRef &ref);
    static Try *findTry(Task &task, Incarnation agent, std::uint32_t attempt);
    static Try *boundTry(Task &task); // that may have started or may yet start
    void queue(TaskPlace place, TimePoint now, QueueEnd end);
    bool placeTask(TaskPlace place, TimePoint now, Outbox &out);
    std::size_t reservationLimit(const std::string &upstream) const;
    void sendStart(TaskPlace place, Incarnation agent, TimePoint now, Outbox &out);
    void sendCopy(TaskPlace place, Try &attempt, TimePoint now, Outbox &out);
    static std::string flowOf(const JobSpec &spec);
    void reservationEnded(TaskPlace place, Incarnation agent);
    Try removeTry(TaskPlace place, Incarnation agent, std::uint32_t attempt);
    void requeue(TaskPlace place, Duration pause, TimePoint now);
    void afterNoStart(TaskPlace place, Duration pause, TimePoint now, Outbox &out);
    void uncount(TaskPlace place, std::optional<Duration> runTime);
    void taskCompleted(TaskPlace place, Incarnation agent, std::uint32_t attempt,
                       const TaskResult &result, TimePoint now, Outbox &out);
    void taskFailed(TaskPlace place, Incarnation agent, const std::string &reason, TimePoint now,
                    Outbox &out);
    void releaseTries(TaskPlace place, bool stopRunning, Outbox &out);
    void releaseTasks(Job &job, Outbox &out);
    void onTaskTimer(TaskPlace place, TimePoint now, Outbox &out);
    void hedge(TaskPlace place, TimePoint now, Outbox &out);
    void giveUp(Job &job, const std::string &reason, std::optional<Duration> retryAfter,
                TimePoint now, Outbox &out);
    void checkGivingUp(Job &job, TimePoint now, Outbox &out);
    UpstreamStats &statsOf(const std::string &upstream);
    static void noteRunTime(UpstreamStats &stats, Duration runTime);
    void updateWeight(Incarnation agent, TimePoint now);

    Incarnation m_self;
    JobHomeParts m_parts;
    Random m_spanIds;
    std::uint64_t m_lastSerial = 0;
    std::unordered_map<JobKey, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::uint64_t, Job *> m_bySerial; // every job in m_jobs
    std::map<std::uint64_t, Job *> m_waiting;            // jobs in state Waiting by serial
    std::size_t m_inProgress = 0;                        // jobs that are not answered
    std::array<std::uint32_t, ShardCount> m_progressOfShard{};
    std::set<std::pair<TimePoint, std::uint64_t>> m_timers; // one for each job with a finite wake
    std::unordered_map<std::uint64_t, TaskPlace> m_queued;  // tasks in Admission by token
    std::uint64_t m_lastToken = 0;
    // Every task with a try at the agent, by serial of the job and index.
    std::map<Incarnation, std::set<std::pair<std::uint64_t, std::uint16_t>>> m_tasksOfAgent;
    std::map<std::string, UpstreamStats> m_stats;
    std::vector<Former> m_former;
    std::set<Incarnation> m_agents;               // up in the ledger
    std::map<Incarnation, KnownLoad> m_loadKnown; // of agents in m_agents
    double m_homeShare = 0;
    TimePoint m_lastSeen{}; // of the newest event
    // After a pause of this process, messages may have waited that long to be read.
    Duration m_pause{};
    TimePoint m_pauseEffectEnd{};
    TimePoint m_nextHousekeeping{};
    TimePoint m_nextPlacement = NeverTime; // when a quota lets the next queued task start
    // Highest epoch of a shard that another home has asked about. Below it this home must not
    // accept a job, because it has already told the new home everything that it knows.
    std::array<Epoch, ShardCount> m_raised{};
};

} // namespace cactuscove
