// The home side of an agent: for the shards that the agent owns it accepts and deduplicates jobs,
// drives their tasks to the executors, and answers every entry that asked for a job. An answer is
// complete or has no results at all, never partial.

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

// Other parts of the agent node that a JobHome uses. The agent node owns them; they outlive it.
struct JobHomeDependencies
{
    const Ledger &ledger;
    const ShardOwnership &shards;
    Admission &admission;
    Placement &placement;
    WorkerHealth &health;
};

// The agent node owns this object, passes it every event in turn and carries out the effects that
// it adds to `out`. A job ends with one Answer and is remembered for id_memory after that. Only
// after the answer witness_missing it is forgotten at once, because its key may still prove to be
// new.
class JobHome : public ShardJobs
{
public:
    // `seed` determines the ids of trace spans.
    JobHome(Incarnation self, JobHomeDependencies dependencies, std::uint64_t seed);
    ~JobHome() override;

    // Commands
    // Handles SubmitJob, CancelJob, QueryJob, StartEpoch and the messages of executors; ignores
    // others.
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // A message of this home was provably not delivered to `to`.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    // To be called after ShardOwnership::onLedgerChange for the same change.
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    // Decides on the jobs that wait for the witnesses of their shard. To be called after every
    // event that may have changed ShardOwnership::knowledge().
    void decideWaitingJobs(TimePoint now, Outbox &out);
    // Ignored for an agent that is not up in the ledger.
    void onLoad(const LoadReport &report, TimePoint now);
    void onTimer(TimePoint now, Outbox &out);
    // Stores the answered jobs of a shard that its previous home has transferred.
    void importShard(const ReceivedShard &received, TimePoint now);
    // Sends queued tasks to agents. To be called after events that may have freed slots.
    void placeQueuedTasks(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;                      // when onTimer() is due
    bool isIdle() const { return m_inProgress == 0; } // every job is answered
    bool hasJobsInProgress(ShardId shard) const override;
    std::vector<TransferredJob> answeredJobs(ShardId shard, TimePoint now) const override;
    // The jobs of a shard that this home accepted at epochs below `below`, for a Witness message.
    std::vector<WitnessedJob> witnessedJobs(ShardId shard, Epoch below, TimePoint now) const;
    // Every job that this home knows, for the successor of a process that leaves.
    std::vector<AdoptedJob> rememberedJobs(TimePoint now) const;

private:
    // Shortest retry time of an answer that may be different later. Not below the time that a copy
    // of the request can spend in the network (a sender closes a connection after 2 s), because a
    // copy that arrives after the retry time is a new submission: it would start the job although
    // the caller was told not_run.
    static constexpr Duration MinRetryAfter = std::chrono::seconds(2);
    // A reservation is confirmed at this interval, because an executor that has lost it never
    // offers a slot for it.
    static constexpr Duration ReservationConfirmInterval = std::chrono::seconds(2);
    // A task that ends within this time is not hedged: its second copy would cost more than it
    // saves.
    static constexpr Duration MinHedgeDelay = std::chrono::milliseconds(50);

    enum class AttemptState {
        Sent,     // a StartTask may have been delivered
        Reserved, // the agent is busy and will offer a slot; it has not started the task
        Running,
    };

    // A request to one agent to run a task.
    struct Attempt
    {
        Incarnation agent;
        std::uint32_t number = 0;
        AttemptState state = AttemptState::Sent;
        bool isOfferReply = false;     // it accepts a slot that the agent has offered
        std::uint32_t copies = 0;      // StartTask messages sent under this number
        std::uint32_t undelivered = 0; // of the copies
        TimePoint since;               // start of the state
        TimePoint nextSend = NeverTime;
    };

    enum class TaskState {
        Queued,    // in Admission, or pausing until notBefore
        Active,    // has live attempts
        Completed, // has a result
        Failed
    };

    struct Task
    {
        TaskState state = TaskState::Queued;
        std::uint64_t token = 0;         // its id in Admission; 0 if it is not queued there
        std::int64_t queueSequence = 0;  // its position by age, kept from its last removal there
        bool isCountedAsStarted = false; // Admission counts it as started and not ended
        bool isHedged = false;           // a second copy has been sent
        // An attempt has started, or has ended without proof that it had not.
        bool mayHaveStarted = false;
        bool hasUnprovenEnd = false;       // the second of these; mayHaveStarted then stays true
        std::uint16_t retries = 0;         // after failed attempts that started or may have
        std::uint16_t noStartCount = 0;    // times that it lost all attempts without a start
        std::uint32_t lastAttempt = 0;     // number of the newest attempt
        TimePoint notBefore{};             // end of a pause before it is queued again
        std::vector<Attempt> liveAttempts; // empty unless Active
        std::vector<Incarnation> excluded; // agents that are not to be tried next
        TaskResult result;                 // if Completed
    };

    enum class JobState {
        Waiting,  // for the witnesses of its shard
        Running,  // admitted
        GivingUp, // given up; waits for the proof that no task has started
        Answered
    };

    struct Job
    {
        JobSpec spec;             // without tasks once it is answered
        std::uint64_t serial = 0; // orders jobs in the same way in every run
        Epoch epoch;              // of the shard when the job was accepted
        JobState state = JobState::Waiting;
        // A later submission under the same key numbers its attempts above this.
        std::uint32_t highestAttempt = 0;
        std::vector<Incarnation> entries; // get the answer; empty once it is sent
        TimePoint acceptedAt;
        TimePoint deadline;
        TraceContext trace; // of the span of this home
        std::string callerSpanId;
        std::vector<Task> tasks; // as in JobSpec::tasks; empty once it is answered
        std::size_t completedTasks = 0;
        std::uint16_t taskCount = 0;
        // While giving up: the reason and retry time of the answer once it is proved that no task
        // has started, and when the wait for that proof ends.
        std::string giveUpReason;
        std::optional<Duration> giveUpRetry;
        TimePoint giveUpAt = NeverTime;
        Answer answer;
        TimePoint answeredAt;
        TimePoint timerAt = NeverTime; // its place in m_timers
    };

    // Refers to one task of one job; `job` is null if there is no such unanswered job.
    struct TaskHandle
    {
        Job *job = nullptr;
        std::uint16_t index = 0;
    };

    // What this home has measured of one upstream, for hedges and retries.
    struct UpstreamStats
    {
        std::vector<Duration> runTimes;  // ring buffer of the newest
        std::size_t nextRunTime = 0;     // index that the next run time is written to
        Duration p95 = Duration::zero(); // of runTimes; zero while there are too few
        std::uint64_t starts = 0;        // attempts sent, hedges included
        std::uint64_t hedges = 0;
        std::size_t reserved = 0; // attempts in state Reserved
        RetryBudget budget = RetryBudget::create(0, 0);
    };

    enum class QueueEnd { Front, Back };

    // A job of an earlier epoch of its shard. Later homes ask for it in their witness rounds.
    struct FormerJob
    {
        WitnessedJob job;
        Epoch epoch;
        TimePoint since; // when this home saw the end of the epoch
    };

    // The part of a LoadReport that Admission depends on.
    struct AdmissionLoad
    {
        std::string upstream;
        std::uint32_t slots = 0; // 0 while the agent is draining
        bool operator==(const AdmissionLoad &) const = default;
    };

    // jobhome.cpp and jobhomememory.cpp: jobs
    void detectPause(TimePoint now);
    Duration maxAgeOf(const SubmitJob &message, TimePoint now) const;
    void onSubmit(Incarnation from, const SubmitJob &message, TimePoint now, Outbox &out);
    void onCancel(Incarnation from, const CancelJob &message, TimePoint now, Outbox &out);
    void onQuery(Incarnation from, const QueryJob &message, TimePoint now, Outbox &out);
    void answerUnknownKey(Incarnation from, const JobKey &key, Duration askedAt, Outbox &out) const;
    bool isHome(ShardId shard, Epoch epoch) const;
    Job *find(const JobKey &key);
    static bool isNotRunExpired(const Job &job, TimePoint now);
    void refuse(Incarnation to, const JobKey &key, SubmitRefusal reason, Outbox &out) const;
    Job &create(const SubmitJob &message, TimePoint now);
    void decide(Job &job, TimePoint now, Outbox &out);
    void admit(Job &job, TimePoint now, Outbox &out);
    static std::optional<Answer> provenAnswer(const WitnessedJob &seen, const JobSpec *spec);
    static WitnessedJob witnessedJobOf(const Job &job);
    std::optional<Answer> refusalOf(const Job &job, TimePoint now);
    static void reply(Incarnation to, Job &job, Duration askedAt, TimePoint now, Outbox &out);
    static void addEntry(Job &job, Incarnation entry);
    void finish(Job &job, Answer answer, TimePoint now, Outbox &out);
    void forget(Job &job);
    void dropJobsOfOldEpochs(std::span<const ShardId> shards, TimePoint now);
    void onJobTimer(Job &job, TimePoint now, Outbox &out);
    bool giveUpIfStalled(Job &job, TimePoint now, Outbox &out);
    TimePoint forgetAt(const Job &job) const;
    void armTimer(Job &job, TimePoint at);
    static Duration withJitter(const JobKey &key, Duration base);
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
    void onAgentLost(Incarnation agent, TimePoint now, Outbox &out);
    TaskHandle locate(const TaskRef &ref);
    static Attempt *findAttempt(Task &task, Incarnation agent, std::uint32_t number);
    // The live attempt that has started or may yet start, not a Reserved one; null if none.
    static Attempt *unreservedAttempt(Task &task);
    void enqueue(TaskHandle handle, TimePoint now, QueueEnd end);
    bool placeTask(TaskHandle handle, TimePoint now, Outbox &out);
    std::size_t reservationLimit(const std::string &upstream) const;
    void sendStart(TaskHandle handle, Incarnation agent, TimePoint now, Outbox &out);
    void sendCopy(TaskHandle handle, Attempt &attempt, TimePoint now, Outbox &out);
    static std::string flowOf(const JobSpec &spec);
    void reservationEnded(TaskHandle handle, Incarnation agent);
    Attempt removeAttempt(TaskHandle handle, Incarnation agent, std::uint32_t number);
    void requeue(TaskHandle handle, Duration pause, TimePoint now);
    void onAttemptNotStarted(TaskHandle handle, Duration pause, TimePoint now, Outbox &out);
    void countAsEnded(TaskHandle handle, std::optional<Duration> runTime);
    void taskCompleted(TaskHandle handle, Incarnation agent, std::uint32_t attempt,
                       const TaskResult &result, TimePoint now, Outbox &out);
    void taskFailed(TaskHandle handle, Incarnation agent, const std::string &reason, TimePoint now,
                    Outbox &out);
    void endAttempts(TaskHandle handle, bool stopRunning, Outbox &out);
    void releaseTasks(Job &job, Outbox &out);
    void onTaskTimer(TaskHandle handle, TimePoint now, Outbox &out);
    void hedge(TaskHandle handle, TimePoint now, Outbox &out);
    void giveUp(Job &job, const std::string &reason, std::optional<Duration> retryAfter,
                TimePoint now, Outbox &out);
    void checkGivingUp(Job &job, TimePoint now, Outbox &out);
    UpstreamStats &statsOf(const std::string &upstream);
    static void addRunTime(UpstreamStats &stats, Duration runTime);
    void updateWeight(Incarnation agent, TimePoint now);

    Incarnation m_self;
    JobHomeDependencies m_deps;
    Random m_spanIds;
    std::uint64_t m_lastSerial = 0;
    std::unordered_map<JobKey, std::unique_ptr<Job>> m_jobs;
    std::unordered_map<std::uint64_t, Job *> m_jobsBySerial; // every job in m_jobs
    std::map<std::uint64_t, Job *> m_waiting;                // jobs in state Waiting by serial
    std::size_t m_inProgress = 0;                            // jobs that are not answered
    std::array<std::uint32_t, ShardCount> m_inProgressOfShard{};
    std::set<std::pair<TimePoint, std::uint64_t>> m_timers; // timerAt, if set, and serial
    std::unordered_map<std::uint64_t, TaskHandle> m_queued; // tasks in Admission by token
    std::uint64_t m_lastToken = 0;
    // Every task with a live attempt at the agent, by serial of the job and index.
    std::map<Incarnation, std::set<std::pair<std::uint64_t, std::uint16_t>>> m_tasksOfAgent;
    std::map<std::string, UpstreamStats> m_stats; // by name of the upstream
    std::vector<FormerJob> m_formerJobs;
    std::set<Incarnation> m_agents;                        // up in the ledger
    std::map<Incarnation, AdmissionLoad> m_admissionLoads; // of agents in m_agents
    double m_homeShare = 0;                                // shards owned / ShardCount
    TimePoint m_lastSeen{};                                // of the newest event
    // A message read after a pause of this process may have waited for the whole pause. Until
    // m_pauseEffectEnd the length of the last pause is added to the age of submissions.
    Duration m_lastPause{};
    TimePoint m_pauseEffectEnd{};
    TimePoint m_nextHousekeeping{};
    TimePoint m_nextPlacement = NeverTime; // when a quota lets the next queued task start
    // Highest epoch of each shard named in a StartEpoch of another home or in the refusal of an
    // executor. This home must not accept a job at a lower epoch, because the new home takes its
    // answer to the StartEpoch for everything that this home knows.
    std::array<Epoch, ShardCount> m_fenceEpochs{};
};

} // namespace cactuscove
