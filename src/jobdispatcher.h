// Coordinates best-effort jobs at the entry that received them: accepts or refuses a job, assigns
// its tasks to workers, repeats failed tasks and answers the caller. No other process knows the
// job, and nothing of it is stored.
//
// A task is assigned again only when it is certain that its last attempt neither runs nor will run.
// That is known from an end or a refusal that the agent reports, from the inventory that the agent
// sends on a new connection, from the inventory of the agent's next process once the worker runs
// nothing that an earlier process started, or when so much time has passed that every bound in
// taskrunner.h has expired (DispatcherSettings::lostAgentTimeout). Even then it is assigned only to
// the worker of its last attempt while a start of that may still be carried out (openstarts.h). A
// job is answered as Refused only if no attempt of any task has started.
//
// Does no I/O and reads no clock: inputs carry the current time, which must count suspension of the
// machine. Inputs only change the state; processPending() acts on it.

#pragma once

#include "crashhistory.h"
#include "demandcontrol.h"
#include "dispatchmessages.h"
#include "loadcontrol.h"
#include "openstarts.h"
#include "outbox.h"
#include "placementplan.h"
#include "returningjobs.h"
#include "runtimemodel.h"
#include "workerdirectory.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactuscove {

// How a best-effort job ended, as reported to its caller.
enum class JobOutcome {
    Completed, // every task has ended as done
    Failed,    // one task failed in as many attempts as its queue allows, or crashed its workers
    Refused,   // no task was started, and none will be
    Unknown,   // given up; some tasks may have run
};

std::string_view nameOf(JobOutcome outcome); // the name used in logs and metrics

// The answer to a caller's job.
struct DispatchAnswer
{
    JobOutcome outcome = JobOutcome::Unknown;
    // One word, such as "overloaded"; empty for Completed.
    std::string reason;
    // Refused: how long the caller should wait before it sends the job again.
    Duration retryAfter{};
};

// Effect: answer the waiting request of this caller.
struct AnswerJob
{
    CallerId caller;
    DispatchAnswer answer;
};

// Effect: send a message on the connection to an agent.
struct SendToAgent
{
    Incarnation agent;
    PeerMessage message;
};

// Effect: send a message to all entries that are connected.
struct SendToEntries
{
    PeerMessage message;
};

// What the dispatcher asks its entry process to do. The effects of an outbox are carried out in
// order.
using DispatcherEffect = std::variant<AnswerJob, SendToAgent, SendToEntries, LogEvent>;
using DispatcherOutbox = std::vector<DispatcherEffect>;

struct DispatcherSettings
{
    std::uint64_t seed = 0; // for the random choice of workers
    // Every run of an agent's tasks has ended this long after the agent's last message. The
    // dispatcher counts from the end of the connection, which is later than that message.
    Duration lostAgentTimeout = std::chrono::milliseconds(1800);
    bool hasScarcityControl = false; // see FeatureFlags
    // At the start of the process no task is placed before setEvacuated() was called.
    bool waitsForEvacuations = false;
    // Run times on workers without a task's preferred label, as a multiple of those with it.
    double remoteSlowness = 1.5;
};

// Decisions of PlacementPlan so far; all 0 without hasScarcityControl.
struct PlacementCounts
{
    std::uint64_t reservations = 0;      // jobs that got a reservation
    std::uint64_t movedReservations = 0; // noticeable moves of a reservation
    std::uint64_t wholeStarts = 0;       // jobs of several tasks that were placed at once
    std::uint64_t backfills = 0;         // jobs that went before a job with a reservation
};

// The best-effort jobs of one entry process, which calls it from its event loop.
class JobDispatcher
{
public:
    // `startedAt` is the start of the process. For a short time after it jobs may wait for agents
    // to connect.
    JobDispatcher(DispatcherSettings settings, TimePoint startedAt);

    // Commands

    // Replaces the configuration for new jobs. Open jobs keep the settings of their arrival.
    void configure(DispatchConfig config, DispatcherOutbox &out);
    // A new job from a caller that waits for `callerTimeout` from `now`. Its answer follows as
    // AnswerJob, at once if the job is refused on arrival or has no tasks. If a job with the same
    // id is open, the caller gets the answer of that job, or Unknown at once if that job is being
    // closed.
    void submit(CallerId caller, BestEffortJob job, Duration callerTimeout, TimePoint now,
                DispatcherOutbox &out);
    // The caller closed its connection before the answer. A job is given up when its last caller
    // has left.
    void callerDisconnected(CallerId caller, TimePoint now, DispatcherOutbox &out);
    // To be called after the hello of an agent, once for each connection.
    void onAgentConnected(const PeerHello &agent, TimePoint now, DispatcherOutbox &out);
    // The agent's runs may continue, so its tasks are assigned again only after a later inventory
    // or the lostAgentTimeout.
    void onAgentDisconnected(Incarnation agent, TimePoint now, DispatcherOutbox &out);
    // Any message of a connected agent but the hello.
    void onAgentMessage(Incarnation agent, const PeerMessage &message, TimePoint now,
                        DispatcherOutbox &out);
    // A report of an agent or of another entry. Jobs of which a task is given up fail.
    void onCrashReport(const CrashReport &report, TimePoint now, DispatcherOutbox &out);
    // A report of an agent or of another entry.
    void onOpenStarts(const OpenStartReport &report, TimePoint now, DispatcherOutbox &out);
    // The workers of these data centres get no tasks from now on; running tasks continue. Replaces
    // the earlier set. Jobs of which nothing has started are refused if all workers that could run
    // them are in these data centres. `isComplete`: no other one may be evacuated as well. Shortly
    // after the start of the process no task is placed before that is known.
    void setEvacuated(std::set<std::string> dataCentres, bool isComplete, TimePoint now);
    // Ends jobs whose time has run out, requeues tasks whose attempt at a lost agent has ended by
    // now, and assigns waiting tasks to workers. To be called after inputs, once for several of
    // them, and at nextTimer().
    void processPending(TimePoint now, DispatcherOutbox &out);
    void beginShutdown(); // refuses new jobs from now on; open jobs continue
    // All jobs, open and new, are answered by `end`, when the process must end, whatever time their
    // callers have.
    void answerJobsBy(TimePoint end);

    // Queries

    const DispatchConfig &config() const { return m_config; } // version 0 before configure()
    // nullptr if the configuration has no queue of this name.
    const QueueSettings *findQueue(std::string_view name) const;
    // Jobs without an answer.
    std::size_t openJobs() const { return m_jobs.size(); }
    // Open jobs of the queue of which no task has started.
    std::size_t waitingJobs(std::string_view queue) const;
    const WorkerDirectory &workers() const { return m_directory; }
    // Demand of this entry's callers, to be sent in heartbeats to agents; empty without scarcity
    // control.
    std::vector<DemandReport> demandReports(TimePoint now) const;
    // As the agents report it; none without scarcity control or if too few agents report.
    std::optional<FleetUtilisation> fleetUtilisation(std::string_view upstream,
                                                     TimePoint now) const;
    // Part of the work of each queue that is accepted; without queues that had no job.
    std::map<std::string, double> acceptedParts() const { return m_demand.parts(); }
    const PlacementCounts &placementCounts() const { return m_placementCounts; }
    // For another entry that has connected.
    std::vector<CrashReport> crashReports(TimePoint now) const { return m_crashes.reports(now); }
    OpenStartReport openStarts(TimePoint now) const { return {m_openStarts.all(now)}; }
    // Time of the next plan, timeout of a job or timeout of an attempt at a lost agent, as of the
    // newest processPending(); NeverTime if there is none.
    TimePoint nextTimer() const
    {
        return std::min({m_nextExpiry, m_nextPlanAt, m_crashesSettleAt});
    }

private:
    // Reason of a job that failed because a task of it has crashed its workers.
    static constexpr char CrashedWorkers[] = "crashed_workers";
    static constexpr Duration MinRetryAfter = std::chrono::milliseconds(200);
    // An evacuation lasts for an unknown time, so callers are told to come back after a moment.
    static constexpr Duration EvacuatedRetryAfter = std::chrono::seconds(1);

    // State of a task.
    enum class State {
        Waiting,  // for a worker with free capacity
        Assigned, // sent to an agent, not known to have started
        Running,
        Withdrawn, // its agent was asked to cancel it and has not confirmed that yet
        AgentLost, // its agent is not connected; it may still run
        Done,
    };

    struct Task
    {
        State state = State::Waiting;
        std::uint32_t attempt = 0; // number of the newest attempt
        int failureCount = 0;      // attempts that ended as failed
        bool runsAlone = false;    // in its newest attempt
        int moveCount = 0;         // times that it was stopped on a slow worker to run elsewhere
        WorkerKey worker;          // of the newest attempt
        std::string agentName;     // of the newest attempt; the same across restarts of the agent
        TimePoint assignedAt{};    // of the newest attempt
        // All starts of the newest attempt are known to have been answered.
        bool isStartAnswered = false;
        // AgentLost: the attempt has ended by then; NeverTime while an agent that is connected
        // again has not listed its tasks.
        TimePoint attemptEndsBy = NeverTime;
        // Workers where an attempt failed, was lost, stopped or refused, or ran too slowly.
        std::vector<WorkerKey> avoidedWorkers;
    };

    // Number of an accepted job, from 1 in each process.
    using JobNumber = std::uint64_t;

    struct Job
    {
        std::vector<CallerId> callers; // all that wait for this id; empty once they have left
        BestEffortJob spec;
        int priority = 0;    // of the queue; 0 comes first
        int maxAttempts = 1; // failed attempts of one task after which the job has failed
        std::string upstream;
        TimePoint arrivedAt{};
        TimePoint objectiveAt{}; // an answer by then meets the queue's objective
        TimePoint deadline{};    // the caller waits no longer than this
        Duration expectedRun{};  // of one task
        // Latest start that meets the objective, with a delay for less urgent queues.
        TimePoint latestStart{};
        // Accepted although it is expected to miss its objective; ordered by its deadline instead.
        bool mayBeLate = false;
        // Some task may have started. As long as this is false, the job may be refused: it is the
        // proof that every attempt so far waits, or was never started.
        bool mayHaveStarted = false;
        // m_openStarts may have starts of it.
        bool mayHaveOpenStarts = false;
        // Set while the tasks are being withdrawn; sent when none of them may run any more.
        std::optional<DispatchAnswer> closingAnswer;
        // Its queue was distrusted when it arrived; decides which of the two load controls counts
        // it.
        bool isQuarantined = false;
        // The closing answer is sent at this time even if tasks may still run.
        TimePoint closeDeadline{};
        std::vector<Task> tasks;
        std::size_t waitingCount = 0; // tasks in state Waiting
        std::size_t doneCount = 0;    // tasks in state Done
        // When the first start was reported; TimePoint{} if none was reported or if mayHaveStarted
        // was set for another reason before.
        TimePoint firstStartAt{};
        // Expected start of its last task in its newest logged reservation; NeverTime: none yet.
        TimePoint reservedAt = NeverTime;
    };

    // An answered job. If its id is submitted again, the new attempts must have higher numbers than
    // those that may still run.
    struct EndedJob
    {
        std::uint32_t lastAttempt = 0; // highest number that was used
        TimePoint endedAt{};
    };

    // Order in which jobs get capacity: by the latest start that meets their objective, a little
    // later for less urgent queues. With a strict order by priority, begun jobs of less urgent
    // queues would not be finished, and the work of their finished tasks would be lost.
    struct Rank
    {
        TimePoint latestStart;
        JobNumber number = 0;
        auto operator<=>(const Rank &) const = default; // NOLINT(modernize-use-nullptr)
    };

    Rank rankOf(JobNumber number, const Job &job) const;
    Work workOf(const Job &job, std::size_t tasks) const; // demand of `tasks` tasks of the job
    // Changes the state and the counters, load figures and ready jobs that depend on it.
    void setState(JobNumber number, Job &job, Task &task, State state);
    LoadControl &loadControlOf(const Job &job);
    const LoadControl &loadControlOf(const Job &job) const;
    WorkerPool poolOf(const Job &job, TimePoint now) const;
    WorkerPool poolOf(std::string_view queue, std::string_view upstream, TimePoint now) const;
    WorkerPool trustedPoolOf(std::string_view upstream, TimePoint now) const; // of other queues
    // Of a waiting task; Never also for a task that does not wait.
    StartRule startRuleOf(const Job &job, std::uint32_t index, TimePoint now) const;
    // Waiting tasks that need not run alone.
    std::vector<std::uint32_t> placeableTasks(const Job &job, TimePoint now) const;
    // Sends the tasks that must run alone to the emptiest workers.
    void placeTasksAlone(TimePoint now, DispatcherOutbox &out);
    // Assigns waiting tasks in the order of rank, as far as there is capacity.
    void placeWaitingTasks(TimePoint now, DispatcherOutbox &out);
    // Sends the tasks that may start at one worker only, as they have an open start there.
    void placeBoundTasks(TimePoint now, DispatcherOutbox &out);
    // The task waits, and may start at one worker only.
    std::optional<std::string_view> boundWorkerOf(const Job &job, std::uint32_t index,
                                                  TimePoint now) const;
    // Ends the jobs with such a task that would not end in time any more.
    void giveUpBoundJobs(TimePoint now, DispatcherOutbox &out);
    bool hasBoundTask(const Job &job, TimePoint now) const;
    // Of the jobs with such a task that are not closing.
    std::vector<Rank> ranksOfBoundJobs(TimePoint now) const;
    static TimePoint lastUsefulStart(const Job &job);
    // The agent, which is lost or does not answer, has not reported what became of the start of the
    // task.
    void suspectOpenStart(const Job &job, std::uint32_t index, TimePoint now,
                          DispatcherOutbox &out);
    // The agent itself has reported on the task since then.
    void forgetSuspicion(const Job &job, std::uint32_t index);
    static OpenStart suspicionOf(const Job &job, std::uint32_t index);
    bool isOwnSuspicion(const OpenStart &report);
    // To be called with open starts that are news: notes them in their jobs and passes them on.
    void spreadOpenStarts(OpenStartReport news, DispatcherOutbox &out);
    // Sends the agent those that other processes have sent.
    static void sendOpenStarts(Incarnation agent, const OpenStartReport &report,
                               DispatcherOutbox &out);
    // A job of which an open start is known is not refused, as it may have run.
    JobOutcome outcomeOfRefusal(const BestEffortJob &job) const;
    // Sends the task to a worker; false if none has capacity for it.
    bool placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                   DispatcherOutbox &out);
    // Sends the task to this worker; false if its agent cannot be sent tasks, or if the task has an
    // open start elsewhere.
    bool sendTask(JobNumber number, Job &job, std::uint32_t index, const WorkerKey &worker,
                  bool runsAlone, TimePoint now, DispatcherOutbox &out);
    // A task that has not started this long after it was sent is refused by its agent.
    Duration maxWaitAtAgent(const Job &job, TimePoint now) const;
    // Places the waiting jobs as PlacementPlan says.
    void planWaitingJobs(TimePoint now, DispatcherOutbox &out);
    std::vector<JobNumber> planOrder() const;
    static bool isBegun(const Job &job); // some task was placed
    void carryOut(PlacementPlan &plan, JobNumber number, Job &job, TimePoint now,
                  DispatcherOutbox &out);
    void recordReservation(JobNumber number, Job &job, const PlanReservation &reservation,
                           TimePoint now, DispatcherOutbox &out);
    double maxSlownessOf(const Job &job, TimePoint now) const;
    WorkerDirectory::Request requestOf(const Job &job, const Task &task, TimePoint now) const;
    // Handles the timeouts that passed while the process was suspended. Each input that carries the
    // time calls it first.
    void expireAfterSuspension(TimePoint now, DispatcherOutbox &out);
    TimePoint earliestExpiry() const;
    void expireJobs(TimePoint now, DispatcherOutbox &out);
    // Withdraws all tasks at connected agents. The job ends when it is certain that none of its
    // tasks runs or will run, or at its closeDeadline.
    void beginClosing(JobNumber number, Job &job, DispatchAnswer answer, TimePoint now,
                      DispatcherOutbox &out);
    // Answers all callers, withdraws the tasks that are still assigned or running, and removes the
    // job.
    void finish(JobNumber number, DispatchAnswer answer, TimePoint now, DispatcherOutbox &out);
    // Asks the agent to cancel the newest attempt of the task.
    void withdraw(const Job &job, std::uint32_t index, DispatcherOutbox &out) const;
    // How much earlier than others a job that is larger than the mean of its queue gets capacity.
    Duration sizeLead(const Job &job, Duration slack);
    // The part of the cores in `capacity` that this entry may count on; the other entries use the
    // rest.
    double shareOfCores(const Resources &capacity) const;
    // The same in proportion to the demand at the entries if `utilisation` is known.
    AvailableCores availableCores(const QueueSettings &queue,
                                  const WorkerDirectory::UsableCapacity &usable,
                                  const std::optional<FleetUtilisation> &utilisation,
                                  TimePoint now) const;
    // Answers the caller and returns true if the job is in the part of its queue's work that does
    // not fit.
    bool refuseOverQuota(CallerId caller, const Job &job, const QueueSettings &queue,
                         const std::optional<FleetUtilisation> &utilisation, TimePoint now,
                         DispatcherOutbox &out);
    // Answers the caller and returns true if the job would wait too long for its objective. With
    // spare cores in the fleet, a job that meets its deadline is accepted to be late.
    bool refuseIfOverloaded(CallerId caller, Job &job, const AvailableCores &available,
                            bool hasSpareCores, TimePoint now, DispatcherOutbox &out) const;
    // The same for a job that returns (returningjobs.h) and finds no spare capacity. Otherwise it
    // is ranked after all jobs that can meet their objectives.
    bool refuseReturning(CallerId caller, Job &job, const AvailableCores &available,
                         DispatcherOutbox &out);
    // A new job with its times, of which nothing is assigned yet.
    Job makeJob(CallerId caller, BestEffortJob spec, const QueueSettings &queue,
                Duration callerTimeout, TimePoint now);
    // Returns whether the job is accepted; answers the caller if not.
    bool admit(CallerId caller, Job &job, const QueueSettings &queue,
               const WorkerDirectory::UsableCapacity &usable, TimePoint now, DispatcherOutbox &out);
    void accept(CallerId caller, Job job);
    bool isStarting(TimePoint now) const; // the process has just started
    // All workers that could run the job are in evacuated data centres. False for a short time
    // after the start of the process, when other agents may still connect.
    bool isEvacuated(std::string_view upstream, const BestEffortJob &job, TimePoint now) const;
    // Refuses the waiting jobs for which isEvacuated() and of which nothing has started.
    void refuseEvacuatedJobs(TimePoint now, DispatcherOutbox &out);
    // Answers the caller of a job that is not accepted.
    void refuse(CallerId caller, const BestEffortJob &job, std::string reason, Duration retryAfter,
                DispatcherOutbox &out);
    void onTaskStarted(Incarnation agent, const TaskStarted &message, TimePoint now,
                       DispatcherOutbox &out);
    void onTaskLate(Incarnation agent, const TaskLate &message, TimePoint now,
                    DispatcherOutbox &out);
    void onTaskEnded(Incarnation agent, const TaskEnded &message, TimePoint now,
                     DispatcherOutbox &out);
    void onStartRefused(Incarnation agent, const StartRefused &message, TimePoint now,
                        DispatcherOutbox &out);
    void onInventory(Incarnation agent, const TaskInventory &inventory, TimePoint now,
                     DispatcherOutbox &out);
    // Whether an attempt that neither runs nor will run was started.
    enum class AttemptStart { Never, Possible };
    // To be called when it is certain that the newest attempt neither runs nor will run. The task
    // waits to be assigned again; a job that is closing may end. `start` decides whether the job
    // may still be refused, so Never needs a proof (docs/design/never-started.md).
    void requeueTask(JobNumber number, Job &job, std::uint32_t index, AttemptStart start,
                     TimePoint now, DispatcherOutbox &out);
    // Ends a closing job none of whose tasks may run any more.
    void finishIfClosed(JobNumber number, TimePoint now, DispatcherOutbox &out);
    // The open job whose task has this attempt at this agent; {0, nullptr} if there is none, for
    // example because the message came too late.
    std::pair<JobNumber, Job *> findJob(const TaskId &task, Incarnation agent,
                                        std::uint32_t attempt);
    // Adds the worker of the newest attempt to those that the task avoids.
    static void avoidCurrentWorker(Task &task);
    // Stops a run that belongs to no open job.
    void withdrawUnknownTask(Incarnation agent, const TaskStarted &task,
                             DispatcherOutbox &out) const;
    // Ends the open jobs with a task that has crashed its workers.
    void failGivenUpJobs(TimePoint now, DispatcherOutbox &out);
    // Answers the caller and returns true if a task of the job has crashed its workers.
    bool failIfGivenUp(CallerId caller, const BestEffortJob &job, TimePoint now,
                       DispatcherOutbox &out) const;
    // An answer after this time is of no use.
    static TimePoint usefulEnd(const Job &job);
    // Run time of the job from its first start if all tasks run at once.
    Duration expectedMakespan(const Job &job) const;

    DispatcherSettings m_settings;
    TimePoint m_startedAt;
    DispatchConfig m_config;
    WorkerDirectory m_directory;
    LoadControl m_loadControl;
    LoadControl m_quarantineLoad; // of the jobs of distrusted queues
    CrashHistory m_crashes;
    OpenStarts m_openStarts;
    TimePoint m_crashesSettleAt = NeverTime; // when to call failGivenUpJobs() again
    DemandControl m_demand;                  // used only with scarcity control
    RunTimeModel m_runTimes;
    ReturningJobs m_returningJobs;
    std::map<JobNumber, Job> m_jobs;
    std::map<std::string, JobNumber, std::less<>> m_jobsById;
    // Answered jobs that had an attempt, by id. Kept for at least 10 s (EndedJobRetention), as
    // agents may still send messages about them.
    std::map<std::string, EndedJob, std::less<>> m_endedJobs;
    std::map<CallerId, JobNumber> m_jobsByCaller;
    // Jobs with waiting tasks, without those that are closing.
    std::set<Rank> m_ready;
    // Mean cores of a job with all its tasks, by queue; exponentially weighted.
    std::map<std::string, double, std::less<>> m_meanJobCores;
    std::uint64_t m_readyVersion = 0; // increases when tasks begin to wait
    // State of the newest plan.
    TimePoint m_plannedAt{};
    std::uint64_t m_plannedReadyVersion = 0;
    std::uint64_t m_plannedCapacityVersion = 0;
    TimePoint m_nextPlanAt = NeverTime; // NeverTime: no job waits
    std::mt19937_64 m_random;           // for PlacementPlan
    PlacementCounts m_placementCounts;
    std::map<Incarnation, PeerHello> m_agents; // connected agents
    JobNumber m_lastJob = 0;
    std::int64_t m_agentLostTasks = 0;  // tasks in state AgentLost
    TimePoint m_nextExpiry = NeverTime; // as of the newest processPending()
    TimePoint m_lastInputAt{};          // time of the newest input
    // Number of entries that each connected agent has a connection to, as it reports.
    std::map<Incarnation, std::uint32_t> m_entryCounts;
    bool m_knowsEvacuations = false; // setEvacuated() was called with a complete set
    bool m_shuttingDown = false;
    TimePoint m_lastDeadline = NeverTime; // of a job; NeverTime before answerJobsBy()
};

} // namespace cactuscove
