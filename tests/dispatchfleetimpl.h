// The state of a DispatchFleet: virtual processes, workers, links and callers, and the events that
// are due. Definitions are grouped by what they play: processes and links (dispatchfleet.cpp),
// workers (dispatchfleetworkers.cpp) and jobs (dispatchfleetjobs.cpp).

#pragma once

#include "demandtable.h"
#include "dispatchfleet.h"
#include "durations.h"
#include "entryselection.h"
#include "operatorrecords.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <optional>

namespace cactuscove {

using namespace std::chrono_literals;

class DispatchFleet::Impl
{
public:
    static constexpr Duration LinkDelay = 900us;
    static constexpr Duration WorkerDelay = 300us; // one way; the worker is on the agent's machine
    static constexpr Duration HeartbeatInterval = 100ms;
    static constexpr Duration WorkerHeartbeatInterval = 1500ms;
    static constexpr Duration StopDelay = 20ms;
    static constexpr Duration StoreDelay = 40ms; // until an entry has read a new record
    // Incarnations of entries and agents: the index is multiplied by IdsPerProcess.
    static constexpr std::uint64_t IdsPerProcess = 1000; // successive processes of one of them
    static constexpr std::uint64_t FirstAgentId = 1000000;
    // As in dispatchagent.cpp.
    static constexpr Duration LeaveTime = 500ms;
    // Time after which a caller without an answer submits its job again.
    static constexpr Duration ResubmitPause = 1300ms;
    static constexpr double LateValueShare = 0.2; // of a job's value, for a late answer
    static constexpr TimePoint Start{std::chrono::hours(1)};
    static constexpr double MaxCallDelayMs = 240;   // in which a start is still accepted
    static constexpr Duration MaxLateCallAge = 12s; // of a call that is never answered
    static constexpr Duration MinConnectTime = 20ms;
    static constexpr Duration MaxRecordReadTime = 30ms; // of a worker record in the store
    // A capacity that has shrunk counts this much later: stable_window_ms and one heartbeat.
    static constexpr Duration CapacityGrace = 3s + WorkerHeartbeatInterval;
    // After so many crashes under a task, it must not start again.
    static constexpr int MaxCrashes = 3;

    struct Run
    {
        std::uint32_t attempt = 0;
        Resources needs;
        double workMs = 0; // run time on a worker of speed 1
        double doneMs = 0; // the part of workMs that is done
        bool isStopping = false;
        std::uint64_t number = 0; // a scheduled end with another number no longer applies
    };

    struct Worker
    {
        int index = 0;
        std::uint64_t incarnation = 1;
        bool isUp = true;
        double speed = 1;
        bool isFailing = false;
        Resources capacity;
        Resources countedCapacity; // what a start may fill
        TimePoint startedAt = Start;
        TimePoint leaseEnd = Start;
        TimePoint progressAt = Start; // up to this time doneMs of the runs is computed
        std::uint64_t sequence = 0;
        std::uint64_t endNumber = 0; // of the newest end
        std::map<TaskId, Run> runs;
        // Highest attempt of each task that was stopped or has ended.
        std::map<TaskId, std::uint32_t> lastAttempts;
        std::vector<EndedRun> ended;
        std::vector<std::function<void()>> waitingPolls; // replies that wait for an end
        // Calls without an answer that have found nothing there: the next process gets them as it
        // begins to listen.
        std::vector<std::function<void()>> lateCalls;
        bool isDraining = false;
        bool isListening = true;              // takes new connections
        bool isConnected = true;              // has not closed the open ones
        std::uint64_t closings = 0;           // how often it has closed all of them
        std::string id;                       // see setId()
        std::optional<Duration> crashAtStart; // the downtime after a crash at the next start
    };

    // An entry or agent. Its incarnation changes with each new process.
    struct Process
    {
        std::uint64_t incarnation = 1;
        bool isUp = true;
        TimePoint frozenUntil = Start;
        std::vector<std::function<void()>> held; // inputs during a freeze
        TimePoint timerAt = NeverTime;
    };

    struct Agent : Process
    {
        OperatorRecords records; // of evacuations
        std::unique_ptr<TaskRunner> runner;
        std::uint64_t sentLoadVersion = 0;
        TimePoint startedAt = Start;
        std::unique_ptr<EntrySelection> selection;
        std::optional<WorkerInfo> record; // of its worker, in the store
        TimePoint recordAt;               // when it was written
        DemandTable demand;               // of the connected entries
    };

    struct Entry : Process
    {
        OperatorRecords records; // of evacuations
        std::unique_ptr<JobDispatcher> dispatcher;
    };

    // The connection between one entry and one agent.
    struct Link
    {
        bool isUp = false;
        bool isCut = false;
        std::uint64_t generation = 0;       // increases with each new or ended connection
        TimePoint leavingSince = NeverTime; // since when the agent does not need the entry
        TimePoint agentHeardAt = Start;     // newest message from the entry
        TimePoint entryHeardAt = Start;     // newest message from the agent
    };

    struct Job
    {
        const JobKind *kind = nullptr;
        BestEffortJob spec;
        std::vector<double> workMs; // of each task, on a worker of speed 1
        TimePoint firstSentAt;
        TimePoint objectiveAt;
        Duration callerTimeout{};
        double value = 0;
        bool isAnswered = false;
        bool wasOnlyRefused = true; // no submission was given up, lost or answered as Unknown
        bool hasRun = false;        // a worker started one of its tasks
        bool isCrashing = false;    // its first task crashes workers
        int crashes = 0;            // of workers under that task
        std::string reason;         // of the final answer
        std::set<std::uint32_t> startedTasks; // that a worker started
        TimePoint lastStartAt;                // of a task, at a worker
        JobOutcome outcome = JobOutcome::Unknown;
        TimePoint answeredAt;
        TimePoint sentAt;         // newest submission to an entry that was up
        std::uint64_t caller = 0; // number of the newest submission; 0: none is open
        std::size_t entry = 0;
    };

    explicit Impl(DispatchFleetOptions opts);

    // Events

    void post(TimePoint time, std::function<void()> action);
    void runAll();
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(random); }
    double positiveNormal(double mean, double deviation);

    // Runs an input of a process now, or when it resumes after a freeze; never if the process ends
    // before that.
    template <typename P>
    void deliver(P &process, std::function<void()> action)
    {
        if (!process.isUp)
            return;
        if (process.frozenUntil <= now)
            return action();
        const std::uint64_t incarnation = process.incarnation;
        post(process.frozenUntil, [this, &process, incarnation, action = std::move(action)] {
            if (process.incarnation == incarnation)
                deliver(process, action);
        });
    }

    // Entries

    Incarnation entryId(std::size_t i) const;
    Incarnation agentId(std::size_t i) const;
    void startEntry(std::size_t i);

    // Evacuations: as in dispatchentry.cpp and dispatchagent.cpp, each process sends its state to
    // all that are connected after each change, and on each new connection.

    void readStore(std::size_t entry);
    void mergeAtEntry(std::size_t e, const EvacuationUpdate &update);
    void mergeAtAgent(std::size_t a, const EvacuationUpdate &update);
    static EvacuationUpdate stateOf(const OperatorRecords &it);
    void stepEntry(std::size_t i,
                   const std::function<void(JobDispatcher &, DispatcherOutbox &)> &f);
    void perform(std::size_t i, DispatcherOutbox &out);

    // Agents

    void startAgent(std::size_t i);
    static std::string addressOf(std::size_t entry) { return "entry" + std::to_string(entry); }
    static std::size_t entryAt(const std::string &address) { return std::stoul(address.substr(5)); }

    void stepAgent(std::size_t i, const std::function<void(TaskRunner &, RunnerOutbox &)> &f);
    void perform(std::size_t i, RunnerOutbox &out);
    void sendLoads(std::size_t agent, std::size_t entry);

    // Prints the events of one job, and those of workers: DISPATCH_TRACE=job17.
    void trace(const std::string &who, const LogEvent &event) const;

    // Connections: messages arrive in order, are lost while a connection is cut, and after a new
    // connection none of the older one arrives

    void sendToAgent(std::size_t entry, Incarnation to, PeerMessage message);
    void sendToEntry(std::size_t agent, Incarnation to, PeerMessage message);

    // Entries are connected to each other, and a new process receives the crash reports of all.
    void sendToEntries(std::size_t from, const PeerMessage &message);
    void sendBetweenEntries(std::size_t to, const PeerMessage &message);
    void connect(std::size_t e, std::size_t a);
    void disconnect(std::size_t e, std::size_t a);
    std::uint32_t connectedEntriesOf(std::size_t agent) const;

    // Opens the dialled connection after its connect time.
    void open(std::size_t e, std::size_t a);
    PeerHeartbeat heartbeatOf(std::size_t agent) const;

    // Carries out the agent's choice of entries, as dispatchagent.cpp does.
    void selectEntries(std::size_t a);
    void sendHeartbeats();

    // Workers

    void setId(Worker &it) const;

    // Sends a heartbeat and goes on sending them for as long as the process lives.
    void sendWorkerHeartbeat(std::size_t i, std::uint64_t incarnation);
    void reportWorker(std::size_t i);
    static std::int64_t startTimeOf(const Worker &it);
    WorkerClock clockOf(const Worker &it) const;

    // Executes `order` at the worker and sends its reply to the agent, or loses the reply.
    template <typename Order>
    void callWorker(std::size_t i, const Order &order)
    {
        const std::uint64_t agentIncarnation = agents[i].incarnation;
        const bool isLost = uniform() < options.lostReplyRate;
        const bool isSlow = options.slowCallRate > 0 && uniform() < options.slowCallRate;
        const Duration delay = isLost
                                   ? fromMs(2000 + 10000 * uniform())
                                   : WorkerDelay + fromMs(isSlow ? MaxCallDelayMs * uniform() : 0);
        if (isLost)
            post(now + order.timeout, [this, i, agentIncarnation, order] {
                deliverNoReply(i, agentIncarnation, order);
            });
        post(now + delay, [this, i, agentIncarnation, order, isLost, sentAt = now] {
            arrive(i, agentIncarnation, order, isLost, sentAt);
        });
    }

    // The call has reached the worker's address.
    template <typename Order>
    void arrive(std::size_t i, std::uint64_t agentIncarnation, const Order &order, bool isLost,
                TimePoint sentAt)
    {
        Worker &it = workers[i];
        if (!it.isUp || !isReached(it)) {
            if (isLost)
                it.lateCalls.push_back([this, i, agentIncarnation, order, sentAt] {
                    if (now - sentAt <= MaxLateCallAge)
                        arrive(i, agentIncarnation, order, true, sentAt);
                });
            else if (options.refusesWhenDown)
                deliverRefused(i, agentIncarnation, order);
            else
                post(now + order.timeout, [this, i, agentIncarnation, order] {
                    deliverNoReply(i, agentIncarnation, order);
                });
            return;
        }
        if (it.id != order.workerId)
            return deliverReply(i, agentIncarnation, order, isLost, true);
        const std::uint64_t incarnation = it.incarnation;
        const std::uint64_t closings = it.closings;
        execute(it, order, [this, i, agentIncarnation, order, isLost, incarnation, closings] {
            // The connection ends with the process, or before.
            if (workers[i].incarnation != incarnation || workers[i].closings != closings)
                return deliverNoReply(i, agentIncarnation, order);
            deliverReply(i, agentIncarnation, order, isLost, false);
        });
    }

    // A call to a worker that has closed its listener needs an open connection.
    bool isReached(const Worker &it);

    template <typename Order>
    void deliverRefused(std::size_t i, std::uint64_t agentIncarnation, const Order &order)
    {
        if (agents[i].incarnation != agentIncarnation)
            return;
        stepAgent(i, [this, order](TaskRunner &runner, RunnerOutbox &out) {
            PollReply poll;
            poll.answer = CallAnswer::Refused;
            if constexpr (std::is_same_v<Order, StartRun>)
                runner.onStartReply(order.call, {StartAnswer::Refused, std::nullopt}, now, out);
            else if constexpr (std::is_same_v<Order, StopRun>)
                runner.onStopReply(order.call, {CallAnswer::Refused, std::nullopt}, now, out);
            else
                runner.onPollReply(order.call, poll, now, out);
        });
    }

    template <typename Order>
    void deliverNoReply(std::size_t i, std::uint64_t agentIncarnation, const Order &order)
    {
        if (agents[i].incarnation != agentIncarnation)
            return;
        stepAgent(i, [this, order](TaskRunner &runner, RunnerOutbox &out) {
            if constexpr (std::is_same_v<Order, StartRun>)
                runner.onStartReply(order.call, {}, now, out);
            else if constexpr (std::is_same_v<Order, StopRun>)
                runner.onStopReply(order.call, {}, now, out);
            else
                runner.onPollReply(order.call, {}, now, out);
        });
    }

    template <typename Order>
    void deliverReply(std::size_t i, std::uint64_t agentIncarnation, const Order &order,
                      bool isLost, bool isOtherProcess)
    {
        if (isLost)
            return;
        const auto answer = replyOf(workers[i], order, isOtherProcess);
        post(now + WorkerDelay, [this, i, agentIncarnation, order, answer] {
            if (agents[i].incarnation != agentIncarnation)
                return;
            stepAgent(i, [this, order, answer](TaskRunner &runner, RunnerOutbox &out) {
                if constexpr (std::is_same_v<Order, StartRun>)
                    runner.onStartReply(order.call, answer, now, out);
                else if constexpr (std::is_same_v<Order, StopRun>)
                    runner.onStopReply(order.call, answer, now, out);
                else
                    runner.onPollReply(order.call, answer, now, out);
            });
        });
    }

    StartReply replyOf(Worker &it, const StartRun &order, bool isOtherProcess);
    StopReply replyOf(Worker &it, const StopRun &, bool isOtherProcess) const;
    PollReply replyOf(Worker &it, const PollRuns &, bool isOtherProcess);
    void execute(Worker &it, const StartRun &order, const std::function<void()> &done);
    StartAnswer start(Worker &it, const StartRun &order);
    void scheduleCrash(Worker &it, Job &job, const TaskId &task);

    // The worker and its runs are gone at once; a new process of it starts after `down`.
    void crash(std::size_t i, Duration down);
    void leave(std::size_t i, const WorkerLeave &leave);
    static void closeConnections(Worker &it);
    void setCapacity(std::size_t i, std::int64_t cpuMillis);
    void scheduleEnd(Worker &it, const TaskId &task, bool fails);
    void updateProgress(Worker &it);
    void endRun(Worker &it, const TaskId &task, TaskEnd end);
    void execute(Worker &it, const StopRun &order, const std::function<void()> &done);
    void execute(Worker &it, const PollRuns &order, const std::function<void()> &done);
    void extendLease(Worker &it, WorkerClock until);

    // Guarantees

    void checkSingleRun(const TaskId &task, const Worker &starting);
    void checkCapacity(const Worker &it);

    // Callers

    void scheduleJobs();
    void scheduleJob(const JobKind &kind, TimePoint at);
    std::size_t pickEntry(const std::vector<std::size_t> &up);
    void sendJob(std::size_t number);
    void onAnswer(std::uint64_t caller, const DispatchAnswer &answer);
    void disconnectCallersOf(std::size_t e);
    std::map<std::string, KindResult> results() const;

    // Measurements of the fleet over time

    FleetMoment momentNow() const;
    void watch(Duration from, Duration to, Duration interval);
    std::vector<FleetMoment> timeline() const;
    PlayedJob playedJobOf(const Job &job) const;
    std::array<SizeResult, 3> sizeResults(const std::string &queue) const;
    static bool isGivenUp(const Job &job);
    void checkAnswers();

    struct Event
    {
        TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::pair(time, number) > std::pair(other.time, other.number);
        }
    };

    DispatchFleetOptions options;
    DispatchConfig config;
    std::mt19937_64 random;
    TimePoint now = Start;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::uint64_t eventNumber = 0;
    std::uint64_t callerNumber = 0;
    std::uint64_t runNumber = 0;
    std::vector<std::pair<TimePoint, int>> starts; // time and worker of each run
    std::size_t crashCount = 0;                    // crashes of workers by tasks
    OperatorRecords store;                         // evacuations in the operators' topic
    std::uint64_t storeEnd = 1; // offset of its next record, after a configuration
    bool isStoreAway = false;
    std::vector<Worker> workers;
    std::vector<Agent> agents;
    std::vector<Entry> entries;
    std::vector<std::vector<Link>> links; // by entry and agent
    std::vector<Job> jobs;
    std::map<std::string, std::size_t> jobsById;
    std::map<std::uint64_t, std::size_t> callers;
    std::map<std::uint64_t, StartAnswer> startAnswers;
    std::vector<std::string> violations;
    std::vector<FleetMoment> moments; // without the jobs
    TimePoint watchedFrom;
    Duration watchInterval{};
};

} // namespace cactuscove
