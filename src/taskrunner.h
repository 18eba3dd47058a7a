// Runs best-effort tasks on the workers of the agent's machine: queues the tasks that entries
// assign, starts them by urgency as capacity becomes free, stops them, and reports their ends to
// the entries.
//
// Three bounds ensure that a task never runs twice at once. First, a task runs only while messages
// from the entry that assigned it arrive: after `entryTimeout` without one it is stopped. Second, a
// start carries a deadline on the worker's clock, and the worker refuses a start that reaches it
// later. Third, only this process renews the lease of the runs at a worker, so they end by
// themselves if it dies. A run is reported as lost only when endproof.h proves its end.
//
// Does no I/O and reads no clock: inputs carry the current time, which must count suspension of the
// machine.

#pragma once

#include "dispatchmessages.h"
#include "openstarts.h"
#include "outbox.h"
#include "workercalls.h"
#include "workerperformance.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace cactuscove {

// Effect: send a message on the connection to an entry.
struct SendToEntry
{
    Incarnation entry;
    PeerMessage message;
};

// What the runner asks its agent process to do. The effects of an outbox are carried out in order.
using RunnerEffect = std::variant<StartRun, StopRun, PollRuns, SendToEntry, LogEvent>;
using RunnerOutbox = std::vector<RunnerEffect>;

// An agent may be suspended just before it notices that an entry is silent; its runs then last
// until their lease ends. So `entryTimeout`, `leaseTime` and the time of a stop together must be
// shorter than the pause after which a caller repeats a job that it believes lost.
struct TaskRunnerSettings
{
    Incarnation instance; // this process of the agent
    std::string ip;       // of the agent's machine
    // Lease of all runs at a worker, from each renewal.
    Duration leaseTime = std::chrono::milliseconds(600);
    // The same at a worker that has announced its end. Its tasks start elsewhere when this is over,
    // as nothing else shows when they end with it.
    Duration leavingLeaseTime = std::chrono::milliseconds(250);
    // Longest lease that a worker grants, whatever a start or renewal asks for.
    Duration maxLeaseTime = std::chrono::milliseconds(1000);
    // The tasks of an entry are stopped after this time without a message from it.
    Duration entryTimeout = std::chrono::milliseconds(500);
    // A worker carries out a start within this time or refuses it. Longer than the repeats of an
    // unanswered start take, and shorter than the pause after which a caller repeats a lost job.
    Duration startWindow = std::chrono::milliseconds(250);
    // Shortest time from a worker's announcement of its planned end to the moment when it stops
    // answering, also if nothing acknowledges the announcement.
    Duration minEndNotice = std::chrono::milliseconds(1500);
    // A worker's capacity may shrink while it runs. By a description that is older than this
    // nothing is started.
    Duration maxDescriptionAge = std::chrono::milliseconds(4250);
    bool hasScarcityControl = false; // see FeatureFlags
    // Of the machine; counts for workers that name none.
    std::string dataCentre;
    // Run times of a cold worker, as a multiple of its usual ones.
    double coldSlowness = 1;
    // Inventories also list runs of an earlier process of this agent, by which restarted entries
    // recognise the jobs that come back.
    bool listsEarlierRuns = false;
};

// The best-effort tasks of one agent process, which calls it from its event loop.
class TaskRunner
{
public:
    // `startedAt` is the start of the process. Tasks start only once workers refuse the starts that
    // an earlier process may have sent.
    TaskRunner(TaskRunnerSettings settings, TimePoint startedAt);

    // Workers

    // A heartbeat of a worker. The first one makes the worker known. `clock` is the worker's clock
    // when it was sent, if it says so.
    void onWorkerInfo(const WorkerInfo &info, std::optional<WorkerClock> clock, TimePoint now,
                      RunnerOutbox &out);
    // The worker runs tasks more slowly for this long, because it has started recently. Ignored for
    // an unknown worker.
    void onWorkerCold(std::string_view workerId, Duration remaining, TimePoint now);
    // The worker as an earlier process of this agent knew it, with the age of the description if
    // that is known. Ignored if a worker is known. The worker is polled at once. It becomes known,
    // and entries learn of it, when its reply or a heartbeat shows the same process; else it is
    // dropped.
    void onWorkerRecord(const WorkerInfo &info, std::optional<Duration> age, TimePoint now,
                        RunnerOutbox &out);
    // The worker has said that it leaves, and ends soon: its queued tasks are refused, and entries
    // are told that it is gone. Its runs go on until they have ended or their end is proved.
    void onWorkerLeft(std::string_view workerId, TimePoint now, RunnerOutbox &out);
    // Replies to the calls of this runner, each at most once. A call without a reply is reported as
    // NoAnswer. Replies to unknown calls are ignored.
    void onStartReply(WorkerCallId call, const StartReply &reply, TimePoint now, RunnerOutbox &out);
    void onStopReply(WorkerCallId call, const StopReply &reply, TimePoint now, RunnerOutbox &out);
    void onPollReply(WorkerCallId call, const PollReply &reply, TimePoint now, RunnerOutbox &out);

    // Entries

    // To be called on each new connection to an entry. `name` is the same across restarts of the
    // entry.
    void onEntryHello(Incarnation entry, std::string_view name, TimePoint now, RunnerOutbox &out);
    // To be called for each message of the entry, whatever its type.
    void onEntryActivity(Incarnation entry, TimePoint now, RunnerOutbox &out);
    // Queues the task, or refuses it with a reason. Ignored before the hello of the entry.
    void onAssign(Incarnation entry, AssignTask assignment, TimePoint now, RunnerOutbox &out);
    // Refuses the task if it is still queued, else stops its run. Ignored for an unknown attempt.
    void onWithdraw(Incarnation entry, const WithdrawTask &request, TimePoint now,
                    RunnerOutbox &out);

    // Starts that earlier processes of this agent have sent, as an entry knows of them.
    void onOpenStarts(const OpenStartReport &report, TimePoint now, RunnerOutbox &out);

    // The workers in these data centres start no tasks from now on. Their queued and new tasks are
    // refused; tasks whose start was sent continue. Replaces the earlier set.
    void setEvacuated(std::set<std::string> dataCentres);

    // Stops and refuses tasks whose time has run out, starts queued tasks that have capacity, and
    // polls the workers. To be called after inputs, once for several of them, and at nextTimer().
    void processPending(TimePoint now, RunnerOutbox &out);
    // Refuses queued and new tasks from now on; runs continue. Reports the workers to the entries
    // as gone.
    void beginShutdown(RunnerOutbox &out);

    // Queries

    // Time of the next processPending() without an input.
    TimePoint nextTimer() const;
    // All tasks of the entry that this runner knows.
    TaskInventory inventoryOf(Incarnation entry) const;
    // Ids of the workers at which nothing runs that an earlier process of this agent started.
    std::vector<std::string> orphanFreeWorkers() const;
    // What is known of workers that went away, for an entry that has connected.
    std::vector<CrashReport> crashReports(TimePoint now) const;
    // The open starts that were reported, for an entry that has connected. To be sent before the
    // inventory, which names those of the entry's own tasks.
    OpenStartReport openStarts(TimePoint now) const { return {m_openStarts.all(now)}; }
    // All known workers; as gone during a shutdown.
    std::vector<WorkerUpdate> workers() const;
    // Load of each worker; WorkerLoad::lastAssignmentNumber is not filled in, as it differs for
    // each entry.
    std::vector<WorkerLoad> loads(TimePoint now) const;
    std::uint64_t lastAssignmentNumberOf(Incarnation entry) const; // newest on this connection
    std::uint64_t loadVersion() const { return m_loadVersion; }    // increases when loads() changes
    // More than 70% (NearlyFullShare in taskrunnerqueries.cpp) of the cores of some worker are in
    // use.
    bool isNearlyFull() const;
    // Tasks that are queued, being started, running or being stopped.
    std::size_t openTasks() const;
    std::size_t openTasksOf(Incarnation entry) const; // the same, of one entry
    std::size_t workersIn(std::string_view dataCentre) const;

private:
    // State of a task. Starting: a start was sent and not accepted yet. Stopping: a stop was sent,
    // and the end has not been listed yet.
    enum class State { Queued, Starting, Running, Stopping };

    struct Task
    {
        AssignTask assignment;
        Incarnation entry;
        State state = State::Queued;
        std::uint64_t arrivalNumber = 0; // order in which tasks were assigned
        TimePoint firstSentAt{};         // when the first start was sent
        TimePoint startedAt{};           // when it was first known that the run had started
        int stopCalls = 0;               // stops sent so far
        // When to send the start or stop again if it is not answered by then.
        TimePoint retryAt = NeverTime;
        bool stopAcknowledged = false;
        TimePoint stopAcknowledgedAt{};
        int percentDone = 0;         // of its work, 0 to 100, by the newest list
        TimePoint percentDoneAt{};   // when that list was received
        bool isLateReported = false; // its entry was sent TaskLate
        RunStarts starts;
        bool isOpenReported = false; // the entries know that a start of it has no answer
        // A start of it was sent to an earlier process of the worker.
        bool isCarriedOver = false;
        // How long an earlier process that has ended may have run it; none: it did not.
        std::optional<Duration> earlierRunTime;
        bool isCrashReported = false;
    };

    // A run that another process of this agent started, or a late start. It is stopped, as its
    // resource needs are not known.
    struct Orphan
    {
        TaskId task;
        std::uint32_t attempt = 0;
        bool isListed = false; // else a late start that may still be carried out
        bool stopAcknowledged = false;
        TimePoint stopAcknowledgedAt{};
        TimePoint retryAt{}; // when to send its stop again
    };

    // A call that has neither received a reply nor timed out. Later calls do not wait for it, and
    // its reply still counts.
    struct PendingCall
    {
        std::string workerId;
        TaskId task; // of a start or stop; not set for a poll
        std::uint32_t attempt = 0;
        // Task::arrivalNumber: another submission of the job may use the same attempt. 0: of none.
        std::uint64_t arrivalNumber = 0;
        CallContext context;
    };

    struct Worker
    {
        WorkerInfo info;
        // Known from onWorkerRecord() only. Such a worker is not synced and has no tasks.
        bool isUnconfirmed = false;
        // Number of the known process of the worker; its start time is in `info`.
        std::uint64_t process = 0;
        // The clock in a reply has shown that the process is new. `info` is of the one before.
        bool isStartTimeUnknown = false;
        bool isDescribed = false; // `info` is of the known process
        // It is gone for the entries, and is removed once its runs have ended.
        bool isLeaving = false;
        std::optional<TimePoint> aliveAt; // when the newest call was sent that the process answered
        bool isSynced = false;            // a list of its runs was received from this process
        // A list was asked for at m_startsAllowedAt or later, so nothing that an earlier process of
        // this agent sent can start after it. No start is sent before that.
        bool hasFinalList = false;
        WorkerClock clock;             // the worker's clock in its newest reply
        TimePoint clockAt{};           // when that reply was received
        TimePoint clockReadAfter{};    // when the call was sent that it answers
        TimePoint heardAt{};           // newest heartbeat or reply
        TimePoint describedAt{};       // when `info` was reported last
        bool isDescriptionOld = false; // as of the newest processPending()
        EndNotice notice;              // of the known process
        // Latest possible end of any lease or start window that the known process was sent.
        TimePoint leaseEnd{};
        // Latest possible end of the runs of earlier processes whose end is not proved;
        // TimePoint{}: there are none.
        TimePoint earlierRunsEndBy{};
        std::uint64_t acknowledged = 0; // number of the last end received
        WorkerCallId newestPoll;        // newest poll; 0 once it has a reply or has timed out
        TimePoint nextPollAt{};      // the next poll is sent then, also if the newest is still open
        int unansweredPolls = 0;     // in a row
        TimePoint unansweredSince{}; // when the first of them was noticed
        TimePoint lastPollReplyAt{}; // newest reply to a poll
        bool isUnresponsive = false; // no reply to polls for too long
        // Since when nothing listens at its address; NeverTime: it listened when called last.
        TimePoint refusingSince = NeverTime;
        // Numbers of the reports that it went away. While there is one, it has not answered.
        std::vector<std::uint64_t> crashNumbers;
        // No starts are sent before this time, as one was refused or could not be delivered.
        TimePoint unhealthyUntil{};
        TimePoint coldUntil{};          // slower before this time; TimePoint{}: not cold
        std::map<TaskId, Task> tasks;   // not ended
        std::size_t loggedUnproven = 0; // runs that the newest proof of their end left open
        std::vector<Orphan> orphans;
        WorkerPerformance performance;
        TimePoint poorReportedAt{}; // when its poor performance was last reported to the entries
    };

    struct Entry
    {
        std::string name;
        TimePoint heardAt{};
        std::uint64_t lastAssignment = 0; // newest number on its connection
    };

    // A report that is kept for entries that connect.
    struct SentCrashReport
    {
        CrashReport report;
        TimePoint at{};    // when the worker went away
        WorkerInfo worker; // as it was then
    };

    // An end that is still listed in inventories.
    struct EndedTask
    {
        Incarnation entry; // 0: a run of an earlier process, which is listed to all entries
        TaskEnded end;
        TimePoint endedAt;
    };

    // Handles the timeouts that passed while the process was suspended. Each input that carries the
    // time calls it first.
    void expireAfterSuspension(TimePoint now, RunnerOutbox &out);
    // Returns whether the process seems to have been suspended since the input before.
    bool noteTime(TimePoint now);
    // Stops, refuses or repeats the calls of tasks whose time has come.
    void expireTasks(Worker &worker, TimePoint now, RunnerOutbox &out);
    // Sort key of queued tasks; the smallest starts first.
    using SchedulingOrder = std::tuple<bool, TimePoint, std::uint64_t>;
    static SchedulingOrder schedulingOrderOf(const Task &task);
    void startQueued(Worker &worker, TimePoint now, RunnerOutbox &out);
    void sendStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    void sendPoll(Worker &worker, TimePoint now, RunnerOutbox &out);
    // A poll was not answered, and no newer one is open.
    static void repeatPoll(Worker &worker, CallAnswer answer, TimePoint now);
    // To be called when a task was started that may crash the worker, or a call was refused.
    void pollSoon(Worker &worker, TimePoint now);
    void stopTask(Worker &worker, Task &task, std::string_view reason, TimePoint now,
                  RunnerOutbox &out);
    void sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    StopRun makeStop(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                     std::uint64_t arrivalNumber, TimePoint now);
    // A start has had no answer for some time.
    void repeatStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    // To be called for each start that was not carried out, before anything is concluded from the
    // reply: it may be the proof that its task was never started.
    void addDeclinedStart(WorkerCallId call, TimePoint now, RunnerOutbox &out);
    // To be called when a start was not accepted. Refuses the task if none of its starts was.
    void onStartDeclined(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                         RunnerOutbox &out);
    // The same for a task of which another start may have been carried out.
    void onStartUnclear(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                        RunnerOutbox &out);
    // Counts a poll without a reply; too many make the worker unresponsive.
    void recordUnansweredPoll(Worker &worker, TimePoint now, RunnerOutbox &out);
    // It is not certain that the worker, which has gone away, had started the task.
    static bool mayNotHaveStarted(const Worker &worker, const Task &task);
    // How long the task had run, as far as is known, when the process that had it ended; none if it
    // may not have started there.
    static std::optional<Duration> interruptedAfter(const Worker &worker, const Task &task);
    // How long the worker is known to have run the task.
    static Duration survivedTime(const Worker &worker, const Task &task);
    // To be called when nothing listens at the worker's address.
    void onRefused(Worker &worker, const PendingCall &call, TimePoint now, RunnerOutbox &out);
    void stopOrphans(Worker &worker, TimePoint now, RunnerOutbox &out);
    // An event about one attempt of a task at a worker, with `more` fields after those that name
    // it.
    static LogEvent taskEvent(std::string name, const TaskId &task, std::uint32_t attempt,
                              std::string_view workerId, LogFields more = {});
    // Removes a task that neither runs nor will run. Its entry is told that the attempt was never
    // started, with the reason, if that is proved; else that its run has ended.
    void settleTask(Worker &worker, std::map<TaskId, Task>::iterator it, StartRefusal reason,
                    TaskEnd end, TimePoint now, RunnerOutbox &out);
    // Removes a task whose run has ended and reports the end to its entry.
    void endTask(Worker &worker, std::map<TaskId, Task>::iterator it, TaskEnd end, TimePoint now,
                 RunnerOutbox &out);
    // Removes a task that was never started, and sends its entry the reason.
    void refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it, const NeverStarted &proof,
                    StartRefusal reason, RunnerOutbox &out);
    // The same for a queued task.
    void refuseQueued(Worker &worker, std::map<TaskId, Task>::iterator it, StartRefusal reason,
                      RunnerOutbox &out);
    void refuseAllQueued(Worker &worker, RunnerOutbox &out);
    // Reports the refusal of an assignment whose task was not queued or has been removed.
    void refuse(Incarnation entry, const AssignTask &assignment, const NeverStarted &proof,
                StartRefusal reason, std::string_view workerId, RunnerOutbox &out);
    static std::vector<TaskId> runsOf(const Worker &worker); // the tasks that are not queued
    // Those whose end is proved.
    std::vector<TaskId> runsEndedBy(const Worker &worker, EndProof proof, TimePoint now) const;
    OpenStart openStartOf(const Worker &worker, const Task &task, TimePoint now) const;
    // Tells the entries that a start of the task has had no answer, unless they know.
    void reportOpenStart(const Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    // To be called after each answer to a start: with the last one its task may start anywhere.
    void withdrawOpenStart(const Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    // When the open start of the task is to be reported; NeverTime: it is not.
    static TimePoint openStartReportTime(const Task &task);
    void sendToEntries(const PeerMessage &message, RunnerOutbox &out) const;
    // The worker is to refuse the start if it arrives.
    static void stopLateStart(Worker &worker, const OpenStart &start);
    // Ends these tasks as lost. The others wait for another proof, and hold their room until then.
    void endProvenRuns(Worker &worker, EndProof proof, TimePoint now, RunnerOutbox &out);
    TimePoint leaseEndOf(const Worker &worker, const Task &task) const;
    // The worker went away without notice. Reports it to the entries with those of `runs` that it
    // interrupted, and raises the state of earlier reports; does nothing if no run was interrupted
    // or the worker is leaving.
    void reportCrash(Worker &worker, CrashState state, std::span<const TaskId> runs, TimePoint now,
                     RunnerOutbox &out);
    // The same process has answered, or it has left as planned.
    void withdrawCrash(Worker &worker, TimePoint now, RunnerOutbox &out);
    // A process is new, or is known again after a silence: settles the reports about earlier
    // processes at its address, or about itself.
    void settleCrashes(const WorkerInfo &info, TimePoint now, RunnerOutbox &out);
    void setCrashState(std::uint64_t number, CrashState state, TimePoint now, RunnerOutbox &out);
    // The worker takes no tasks any more. It is removed once it has no runs.
    void beginLeave(Worker &worker, std::string_view reason, RunnerOutbox &out);
    // A process with another worker id has answered at the worker's address.
    void replaceWorker(Worker &worker, TimePoint now, RunnerOutbox &out);
    // Why the known process is gone, if something shows that it is.
    EndCause causeOfEnd(const Worker &worker, TimePoint now) const;
    // What to report of a process that seems to be gone.
    CrashState crashStateOf(const Worker &worker, TimePoint now) const;
    // Latest possible end of everything that runs at the known process or at earlier ones.
    TimePoint allRunsEndBy(const Worker &worker) const;
    // A task of another job runs there, and one of the two must run alone.
    static bool isKeptApart(const Worker &worker, const Task &task);
    bool isOnThisMachine(const Worker &worker) const;
    // Some task on the worker, queued or not, must run alone.
    static bool isReserved(const Worker &worker);
    // Makes the worker known, or another process of it: the runs of the process before are lost.
    // Queued tasks stay queued, and runs that may be in the new process are carried over: its first
    // list shows them. `startedAtUnixMs` is none if it is not known yet.
    void beginWorkerProcess(Worker &worker, std::optional<std::int64_t> startedAtUnixMs,
                            TimePoint now, RunnerOutbox &out);
    // Prepares a run for a process that has started after its start was sent.
    void carryOver(const Worker &worker, Task &task, TimePoint now) const;
    // Finds the process that sent the reply to a poll, and begins it if it is new. Returns false if
    // an earlier one did, or if the worker is gone.
    bool identifyProcess(Worker &worker, const PendingCall &call, const PollReply &reply,
                         TimePoint now, RunnerOutbox &out);
    // The same for a reply that carries only a clock. Returns true if the known process sent it.
    bool identifyByClock(Worker &worker, const PendingCall &call, WorkerClock clock, TimePoint now,
                         RunnerOutbox &out);
    // The worker has reported these tasks as running before, and no longer lists them, or it has
    // acknowledged their stop.
    void endMissingRuns(Worker &worker, const PollReply &reply, TimePoint askedAt, TimePoint now,
                        RunnerOutbox &out);
    // The next poll of the worker renews the lease of its runs.
    static bool isLeaseRenewed(const Worker &worker);
    // The run may go on in a process before the known one, so the lists of this one do not end it.
    static bool mayRunInEarlierProcess(const Worker &worker, const Task &task, TimePoint now);
    // Drops the worker that is known from a record only, unless its id is `keptId`; empty: in any
    // case.
    void dropUnconfirmed(std::string_view keptId, RunnerOutbox &out);
    // Tells the entries of a worker that is new to them or has changed.
    void announce(const Worker &worker, RunnerOutbox &out);
    // To be called when it is known that the start was carried out: it was accepted, or the run was
    // listed.
    void markRunning(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    // `askedAt` is when the poll was sent: the lists in the reply may be older than anything that
    // happened since.
    void applyPollReply(Worker &worker, const PollReply &reply, TimePoint askedAt, TimePoint now,
                        RunnerOutbox &out);
    // Adds the end of a run that is not a task of this process to the inventories, once for each
    // job and only if an earlier process has started it.
    void recordEarlierRun(const Worker &worker, const EndedRun &end, bool wasOrphan, TimePoint now);
    // Updates the worker's speed by the progress of its runs. On a slow worker, reports the tasks
    // that will miss their objectives.
    void measureProgress(Worker &worker, TimePoint now, RunnerOutbox &out);
    // To be called with the clock in each reply of the worker; the call was sent at `sentAt`.
    static void updateClock(Worker &worker, WorkerClock clock, TimePoint sentAt, TimePoint now);
    const std::string &dataCentreOf(const Worker &worker) const;
    // The worker starts no tasks: it is leaving, or its data centre is evacuated.
    bool isDraining(const Worker &worker) const;
    bool isDescriptionOld(const Worker &worker, TimePoint now) const;
    bool isEntrySilent(Incarnation entry, TimePoint now) const;
    bool isNearlyFull(const Worker &worker) const; // more than NearlyFullShare of its cores in use
    // Remaining run time of a task that is not queued, by the worker's slowness and its progress.
    Duration expectedRemaining(const Worker &worker, const Task &task, TimePoint now) const;
    std::vector<ExpectedRelease> expectedReleases(const Worker &worker, TimePoint now) const;
    // Needs of all tasks that are not queued.
    Resources usedResources(const Worker &worker) const;
    // The worker's clock at time `at`, or a little less: the reply that contained the clock took
    // some time to arrive.
    WorkerClock workerClockAt(const Worker &worker, TimePoint at) const;
    Worker *findWorker(std::string_view id);
    WorkerCallId registerCall(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                              std::uint64_t arrivalNumber, TimePoint now);
    // Removes the call, moves it to `endedCall` and returns its worker. Returns nullptr if the call
    // is unknown or the worker is gone. If a process with another id answered, the worker is gone:
    // removes it and returns nullptr.
    Worker *endCall(WorkerCallId call, bool isOtherProcess, PendingCall &endedCall, TimePoint now,
                    RunnerOutbox &out);
    // The same for the reply to a start or stop, which may carry the worker's clock. Sets
    // `isFromKnownProcess` if that shows it.
    template <typename Reply>
    Worker *endStartOrStop(WorkerCallId call, const Reply &reply, PendingCall &endedCall,
                           bool &isFromKnownProcess, TimePoint now, RunnerOutbox &out);
    // The task that the call is about; none if it is queued or has ended, or if another attempt
    // runs.
    Task *findTask(Worker &worker, const PendingCall &call);

    TaskRunnerSettings m_settings;
    // From then on the workers refuse all starts of an earlier process of this agent.
    TimePoint m_startsAllowedAt;
    std::map<std::string, Worker, std::less<>> m_workers;
    std::map<Incarnation, Entry> m_entries;
    std::map<WorkerCallId, PendingCall> m_calls;
    std::set<std::string> m_evacuated;  // data centres
    std::deque<EndedTask> m_endedTasks; // oldest first
    OpenStarts m_openStarts;            // of tasks that were removed, and those that were reported
    std::map<std::uint64_t, SentCrashReport> m_crashReports; // by number, so the oldest first
    std::uint64_t m_lastCrash = 0;
    std::uint64_t m_lastProcess = 0; // number of a worker's process
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_lastArrival = 0;
    std::uint64_t m_loadVersion = 0;
    TimePoint m_lastInputAt{};    // time of the newest input
    bool m_startsAllowed = false; // m_startsAllowedAt has passed
    bool m_shuttingDown = false;
};

} // namespace cactuscove
