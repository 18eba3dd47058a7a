// Runs best-effort tasks on the workers beside an agent: admits them by room, orders them by
// urgency, starts and stops them, and learns their ends.
//
// Safety rests on three bounds. A task runs only while the entry that assigned it is heard: silence
// for `entryTimeout` stops it. A start carries a deadline on the worker's clock, so one that is
// carried out late is refused by the worker. The lease of all runs at a worker is renewed by this
// process only, so they end by themselves if it dies.
//
// No socket and no clock: inputs carry the time, which must count suspension of the machine.

#pragma once

#include "dispatchmessages.h"
#include "outbox.h"
#include "workerperformance.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cactuscove {

using WorkerCallId = StrongId<struct WorkerCallIdTag>;

// The worker's own clock, in ms since its start.
using WorkerClock = StrongId<struct WorkerClockTag, std::int64_t>;

// Calls to a worker. `worker` names one life; any other life at the address refuses the call.
struct StartRun
{
    WorkerCallId call;
    std::string worker;
    std::string address;
    TaskId task;
    std::uint32_t attempt = 0;
    std::string payload;
    WorkerClock deadline; // the worker refuses the start later than this
    Duration timeout{};
};

struct StopRun
{
    WorkerCallId call;
    std::string worker;
    std::string address;
    TaskId task;
    std::uint32_t attempt = 0;
    Duration timeout{};
};

// Renews the lease of all runs and asks what runs and what has ended.
struct PollRuns
{
    WorkerCallId call;
    std::string worker;
    std::string address;
    std::uint64_t acknowledged = 0;        // ends up to this number may be forgotten
    std::optional<WorkerClock> leaseUntil; // none: the lease is not renewed
    Duration wait{};                       // for an end
    Duration timeout{};
};

enum class StartAnswer {
    Accepted,     // runs, or already ran under this attempt
    NoCapacity,   // refused for want of room
    Late,         // refused for its deadline
    OldAttempt,   // refused: this or a later attempt was stopped or has ended there
    Unhealthy,    // refused by an unhealthy worker, nothing was done
    Invalid,      // refused as malformed
    OtherProcess, // refused: another life of the worker answers at the address
    NotSent,      // provably not delivered
    NoAnswer,     // may have been carried out, or may be later
};

struct StartReply
{
    StartAnswer answer = StartAnswer::NoAnswer;
    std::optional<WorkerClock> clock;
};

enum class CallAnswer { Ok, OtherProcess, NotSent, NoAnswer };

struct StopReply
{
    CallAnswer answer = CallAnswer::NoAnswer;
    std::optional<WorkerClock> clock;
};

struct ActiveRun
{
    TaskId task;
    std::uint32_t attempt = 0;
    int percent = 0; // of its work
};

struct EndedRun
{
    std::uint64_t number = 0; // from 1 in each life of the worker
    TaskId task;
    std::uint32_t attempt = 0;
    TaskEnd end = TaskEnd::Lost;
};

struct PollReply
{
    CallAnswer answer = CallAnswer::NoAnswer;
    WorkerClock clock;
    std::int64_t startedAtUnixMs = 0; // 0 if the worker does not say
    std::vector<ActiveRun> active;
    std::vector<EndedRun> ended; // may be a part of the list
};

struct SendToEntry
{
    Incarnation entry;
    PeerMessage message;
};

using RunnerEffect = std::variant<StartRun, StopRun, PollRuns, SendToEntry, LogEvent>;
using RunnerOutbox = std::vector<RunnerEffect>;

// An agent may be suspended just before it notices that an entry is silent; its runs then last for
// the lease. So the silence, the lease and a stop together must be shorter than the pause after
// which a caller repeats a job that it believes lost.
struct TaskRunnerSettings
{
    Duration leaseTime = std::chrono::milliseconds(600);    // of all runs at a worker
    Duration entryTimeout = std::chrono::milliseconds(500); // then its tasks are stopped
    // A worker carries a start out by then or refuses it. Longer than the repeats of an unanswered
    // start take, shorter than the pause after which a caller repeats a lost job.
    Duration startWindow = std::chrono::milliseconds(250);
};

class TaskRunner
{
public:
    TaskRunner(TaskRunnerSettings settings, TimePoint startedAt);

    // Workers
    void onWorkerInfo(const WorkerInfo &info, TimePoint now, RunnerOutbox &out);
    void onWorkerLeft(std::string_view workerId, TimePoint now, RunnerOutbox &out);
    void onStartReply(WorkerCallId call, const StartReply &reply, TimePoint now, RunnerOutbox &out);
    void onStopReply(WorkerCallId call, const StopReply &reply, TimePoint now, RunnerOutbox &out);
    void onPollReply(WorkerCallId call, const PollReply &reply, TimePoint now, RunnerOutbox &out);

    // Entries
    void onEntryHello(Incarnation entry, std::string_view name, TimePoint now, RunnerOutbox &out);
    void onEntryHeard(Incarnation entry, TimePoint now, RunnerOutbox &out);
    void onAssign(Incarnation entry, AssignTask assignment, TimePoint now, RunnerOutbox &out);
    void onWithdraw(Incarnation entry, const WithdrawTask &request, TimePoint now,
                    RunnerOutbox &out);

    // Stops what has expired, starts what has room, looks after the workers. To be called after
    // inputs, once for several, and at nextTimer().
    void processPending(TimePoint now, RunnerOutbox &out);
    // No new tasks from now on; what runs goes on.
    void beginShutdown(RunnerOutbox &out);

    // Queries
    TimePoint nextTimer() const;
    TaskInventory inventoryOf(Incarnation entry) const;
    // Workers at which nothing runs that an earlier process of this agent started.
    std::vector<std::string> orphanFreeWorkers() const;
    std::vector<WorkerUpdate> workers() const;
    std::vector<WorkerLoad> loads(TimePoint now) const; // without the number of assignments
    std::uint64_t lastAssignmentNumberOf(Incarnation entry) const; // the newest number
    std::uint64_t loadVersion() const { return m_loadVersion; }    // changes with loads()
    bool isNearlyFull() const;     // some worker has little room left
    std::size_t openTasks() const; // queued, running or being stopped
    std::size_t openTasksOf(Incarnation entry) const;

private:
    enum class State { Queued, Starting, Running, Stopping };

    struct Task
    {
        AssignTask assignment;
        Incarnation entry;
        State state = State::Queued;
        std::uint64_t arrival = 0;
        TimePoint sentAt{};    // of the first start
        TimePoint startedAt{}; // when the start was known to be carried out
        int startCalls = 0;    // sent so far
        int stopCalls = 0;
        TimePoint retryAt = NeverTime; // of the start or stop, without an answer
        bool ranForSure = false;       // a start was accepted, or the run was listed
        bool stopAcknowledged = false;
        TimePoint stopAcknowledgedAt{};
        int percent = 0; // of its work, by the newest list
        TimePoint percentAt{};
        bool isLateTold = false;
    };

    // A run that another process of this agent started; its needs are not known.
    struct Orphan
    {
        TaskId task;
        std::uint32_t attempt = 0;
        bool stopAcknowledged = false;
        TimePoint retryAt{}; // of its stop
    };

    // A call that has not ended. The next one does not wait for it, and its answer still counts.
    struct OpenCall
    {
        std::string worker;
        TaskId task; // of a start or stop
        std::uint32_t attempt = 0;
        TimePoint sentAt{};
    };

    struct Worker
    {
        WorkerInfo info;
        bool isSynced = false; // a list of its runs has been received in this life
        WorkerClock clock;     // of the newest answer
        TimePoint clockAt{};   // when that was received
        TimePoint heardAt{};   // heartbeat or answer
        TimePoint leaseEnd{};  // latest end of any lease that was asked for
        std::uint64_t acknowledged = 0;
        WorkerCallId hold;      // newest; 0 once it has ended
        TimePoint nextHoldAt{}; // also if the newest has not ended
        int holdsUnanswered = 0;
        TimePoint unansweredSince{}; // the first of them
        TimePoint listedAt{};        // newest answer to a hold
        bool isUnresponsive = false; // no such answer for too long
        TimePoint unhealthyUntil{};
        std::map<TaskId, Task> tasks;
        std::vector<Orphan> orphans;
        WorkerPerformance marks;
        TimePoint badToldAt{}; // when a load was sent for the sake of bad marks
    };

    struct Entry
    {
        std::string name;
        TimePoint heardAt{};
        std::uint64_t assignments = 0; // newest number
    };

    struct EndedTask
    {
        Incarnation entry;
        TaskEnded end;
        TimePoint at;
    };

    void enter(TimePoint now, RunnerOutbox &out);
    void expire(Worker &worker, TimePoint now, RunnerOutbox &out);
    static std::pair<TimePoint, std::uint64_t> orderOf(const Task &task);
    void startQueued(Worker &worker, TimePoint now, RunnerOutbox &out);
    void sendStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    void sendHold(Worker &worker, TimePoint now, RunnerOutbox &out);
    void stopTask(Worker &worker, Task &task, std::string_view reason, TimePoint now,
                  RunnerOutbox &out);
    void sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    StopRun stopOrder(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                      TimePoint now);
    void onStartFailed(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                       RunnerOutbox &out);
    void noteUnanswered(Worker &worker, TimePoint now, RunnerOutbox &out);
    void stopOrphans(Worker &worker, TimePoint now, RunnerOutbox &out);
    void endTask(Worker &worker, std::map<TaskId, Task>::iterator it, TaskEnd end, TimePoint now,
                 RunnerOutbox &out);
    void refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it, StartRefusal reason,
                    RunnerOutbox &out);
    void refuse(Incarnation entry, const AssignTask &assignment, StartRefusal reason,
                std::string_view worker, RunnerOutbox &out);
    void loseAllRuns(Worker &worker, std::string_view reason, TimePoint now, RunnerOutbox &out);
    void beginLife(Worker &worker, const WorkerInfo &info, TimePoint now, RunnerOutbox &out);
    void markRunning(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out);
    // `askedAt` is when the call was sent: the lists may be older than anything that happened
    // since.
    void applyLists(Worker &worker, const PollReply &reply, TimePoint askedAt, TimePoint now,
                    RunnerOutbox &out);
    void measureProgress(Worker &worker, TimePoint now, RunnerOutbox &out);
    void hear(Worker &worker, WorkerClock clock, TimePoint now);
    bool isSilent(Incarnation entry, TimePoint now) const;
    Resources used(const Worker &worker) const;
    WorkerClock workerTime(const Worker &worker, TimePoint at) const;
    Worker *findWorker(std::string_view id);
    WorkerCallId newCall(OpenCall call);
    // Takes the ended call into `about` and returns its worker; none if that is gone, or if another
    // life answered, by which it is known to be gone.
    Worker *endCall(WorkerCallId call, bool isOtherLife, OpenCall &about, TimePoint now,
                    RunnerOutbox &out);
    // The same for the reply to a start or stop, which may tell the worker's clock.
    template <typename Reply>
    Worker *endOrder(WorkerCallId call, const Reply &reply, OpenCall &about, TimePoint now,
                     RunnerOutbox &out);
    // The started, not ended task that the call is about; none if it has ended or another attempt
    // runs.
    Task *findTask(Worker &worker, const OpenCall &call);

    TaskRunnerSettings m_settings;
    TimePoint m_mayStartAt; // starts of an earlier process are refused by the workers from then on
    std::map<std::string, Worker, std::less<>> m_workers;
    std::map<Incarnation, Entry> m_entries;
    std::map<WorkerCallId, OpenCall> m_calls;
    std::deque<EndedTask> m_ended; // oldest first
    std::uint64_t m_lastCall = 0;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_loadVersion = 0;
    TimePoint m_enteredAt{};
    bool m_mayStart = false; // m_mayStartAt has passed
    bool m_shuttingDown = false;
};

} // namespace cactuscove
