// Models of a fleet in virtual time, for the measuring program measure.cpp.
//
// Fleet runs simplified homes and executors around the real decision classes (Admission, placement,
// ReservationQueue, WorkerHealth, RetryBudget). It models message delays, slots and run times, but
// neither the ledger nor witnesses nor network faults. CentralQueue and runOnEmptyFleet() are
// ideals to compare with. All times of type double are seconds of virtual time.

#pragma once

#include "admission.h"
#include "placement.h"
#include "reservationqueue.h"
#include "retrybudget.h"
#include "workerhealth.h"
#include "workload.h"

#include <deque>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>

namespace cactuscove::measure {

inline constexpr char Upstream[] = "walk-desk";

// Conversions of seconds of virtual time to the types of the decision classes.
inline TimePoint toTimePoint(double seconds)
{
    return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

inline Duration toDuration(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

enum class End { None, Completed, Refused, Failed };

// How a job ended; None while it has not.
struct JobEnd
{
    End end = End::None;
    double response = 0; // seconds from the job's arrival to its end
};

// One submission that was refused.
struct Refusal
{
    double time = 0;
    double retryAfter = 0; // time after which the caller may submit again, seconds
    bool isFlood = false;  // the job belongs to the flood
};

// One start of a task.
struct Start
{
    double time = 0;
    std::size_t worker = 0; // index
    bool isRetry = false;   // the task was started before
};

// What a model run gives; measure.cpp prints it.
struct RunResult
{
    std::vector<JobEnd> jobs; // in the order of Workload::jobs
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
    std::uint64_t messages = 0;       // sent between agents
    std::uint64_t wastedMessages = 0; // messages of exchanges that led to no successful start
};

// A virtual clock: runs scheduled actions in order of time, and jumps from one to the next. Actions
// of the same time run in the order in which they were scheduled.
class Clock
{
public:
    double now() const { return m_now; }
    // Schedules an action `seconds` from now.
    void after(double seconds, std::function<void()> action)
    {
        m_events.push({m_now + seconds, m_sequence++, std::move(action)});
    }
    // Runs actions until isFinished() is true or none is left.
    void run(const std::function<bool()> &isFinished)
    {
        while (!m_events.empty() && !isFinished()) {
            // top() is const. Moving the action out is safe because the event is popped next.
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.time;
            event.action();
        }
    }

private:
    struct Event
    {
        double time = 0;
        std::uint64_t sequence = 0; // order of scheduling
        std::function<void()> action;
        // The reverse order, because std::priority_queue gives the greatest element first.
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    double m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

// The configuration of the modelled fleet. Each class has a share greater than the work that it
// offers at 80% load, so a flood of one class must not slow down the others.
inline FleetConfig fleetConfig(const Options &options)
{
    FleetConfig config;
    const auto target
        = [&options](double seconds) { return toDuration(options.queueTargetScale * seconds); };
    config.classes["urgent"] = {3, target(2)};
    config.classes["normal"] = {5, target(5)};
    config.classes["bulk"] = {2, target(10)};
    for (const char *team : {"bookings", "billing", "flooder"})
        config.teams[team].upstreams = {Upstream};
    config.teams["flooder"].weight = 0.25;
    config.upstreams[Upstream] = {};
    return config;
}

// The task with this index as Admission queues it; its token is the index.
inline QueuedTask queuedTask(const Workload &workload, std::size_t task)
{
    const Task &it = workload.tasks[task];
    const Job &job = workload.jobs[it.job];
    return {task,
            job.team,
            job.jobClass,
            Upstream,
            toDuration(it.declared),
            toTimePoint(job.arrival + job.deadline)};
}

// The indexes of a job's tasks in the order in which they are queued: as submitted or, if `sorted`,
// by falling key(index).
template <typename Key>
std::vector<std::size_t> taskOrder(const Job &job, bool sorted, Key key)
{
    std::vector<std::size_t> order(job.tasks);
    std::iota(order.begin(), order.end(), job.firstTask);
    if (sorted) {
        std::stable_sort(order.begin(), order.end(),
                         [&key](std::size_t a, std::size_t b) { return key(a) > key(b); });
    }
    return order;
}

// Baseline policies bind a task at once to the agent that they choose, and it waits there. With
// LoadReportPolicy, a task that finds no free slot leaves a reservation and is bound by a slot
// offer.
template <typename Policy>
inline constexpr bool IsEarlyBinding = !std::is_same_v<Policy, LoadReportPolicy>;

// Agents with one worker each. Each agent is the home of some jobs and executes tasks of all homes.
template <PlacementPolicy Policy>
class Fleet
{
public:
    Fleet(const Options &options, Workload workload)
        : m_options(options)
        , m_workload(std::move(workload))
        , m_result{std::vector<JobEnd>(m_workload.jobs.size()), {}, {}, 0, 0}
        , m_openTasks(m_workload.jobs.size())
        , m_hasFailedTask(m_workload.jobs.size())
        , m_executors(options.workers)
    {
        for (std::size_t i = 0; i < options.workers; ++i)
            m_homes.push_back(makeHome(i));
        for (std::size_t i = 0; i < options.workers; ++i)
            m_executors[i].freeSlots = options.slots;
    }

    // Runs the workload until every job has ended; called once.
    RunResult run()
    {
        m_openJobs = m_workload.jobs.size();
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i)
            m_clock.after(m_workload.jobs[i].arrival, [this, i] { submit(i); });
        sendFeed();
        m_clock.run([this] { return m_openJobs == 0; });
        return std::move(m_result);
    }

private:
    // The part of an agent that admits jobs and places their tasks.
    struct Home
    {
        Admission admission;
        BasicPlacement<Policy> placement;
        WorkerHealth health;
        RetryBudget budget;
        std::vector<LoadReport> latestReports; // newest load report of each agent
        std::vector<double> latestReportTimes; // time of that report; negative: there is none
        // Tasks that wait for a slot offer, with the index of the worker, by token.
        std::map<std::size_t, std::pair<QueuedTask, std::size_t>> reservedTasks;
    };

    // The part of an agent that runs tasks on its worker.
    struct Executor
    {
        std::uint32_t freeSlots = 0;
        ReservationQueue reservations;
        std::deque<std::size_t> queue; // tokens of tasks that wait; only with early binding
    };

    static Incarnation agentOf(std::size_t i) { return Incarnation{i + 1}; }

    std::unique_ptr<Home> makeHome(std::size_t i)
    {
        auto home = std::make_unique<Home>(Home{
            Admission(m_options.seed + i), BasicPlacement<Policy>(centreOf(i), m_options.seed + i),
            WorkerHealth(), RetryBudget::create(0.1, m_options.retryBurst),
            std::vector<LoadReport>(m_options.workers),
            std::vector<double>(m_options.workers, -1)});
        home->admission.configure(fleetConfig(m_options));
        home->admission.setHomeShare(1 / static_cast<double>(m_options.workers));
        home->admission.setUpstreamSlots(Upstream, static_cast<std::uint32_t>(m_options.workers)
                                                       * m_options.slots);
        for (std::size_t k = 0; k < m_options.workers; ++k) {
            home->placement.setAgent(agentOf(k), centreOf(k));
            home->health.setAgent(agentOf(k), Upstream);
        }
        return home;
    }

    std::string centreOf(std::size_t i) const
    {
        return "dc" + std::to_string(i % m_options.dataCentres);
    }

    // One-way delay of a message, seconds.
    double delay(std::size_t from, std::size_t to) const
    {
        return (centreOf(from) == centreOf(to) ? m_options.nearDelayMs : m_options.delayMs) / 1000;
    }

    // The load of an agent as it reports it now.
    LoadReport loadReportOf(std::size_t i) const
    {
        const Executor &it = m_executors[i];
        LoadReport report;
        report.agent = agentOf(i);
        report.upstream = Upstream;
        report.freeSlots = it.freeSlots;
        report.slots = m_options.slots;
        report.queued = static_cast<std::uint32_t>(it.reservations.size() + it.queue.size());
        return report;
    }

    // A home takes in a load report that the agent made at `observedAt`, unless it has a newer one.
    void observeReport(std::size_t home, const LoadReport &report, double observedAt)
    {
        Home &it = *m_homes[home];
        const std::size_t k = report.agent.value - 1;
        if (observedAt < it.latestReportTimes[k])
            return;
        it.latestReportTimes[k] = observedAt;
        it.latestReports[k] = report;
        LoadReport aged = report;
        aged.age = toDuration(m_clock.now() - observedAt);
        it.placement.updateLoad(aged, toTimePoint(m_clock.now()));
    }

    // Sends one message; on arrival the receiver takes in the load reports of the envelope, then
    // `action` runs, and the receiver tries to start queued tasks.
    void send(std::size_t from, std::size_t to, std::function<void()> action)
    {
        ++m_result.messages;
        const double sentAt = m_clock.now();
        std::vector<std::pair<LoadReport, double>> reports{{loadReportOf(from), sentAt}};
        if (m_options.gossip) {
            const Home &sender = *m_homes[from];
            for (std::size_t k = 0; k < m_options.workers; ++k) {
                if (k != from && sender.latestReportTimes[k] >= 0)
                    reports.emplace_back(sender.latestReports[k], sender.latestReportTimes[k]);
            }
        }
        m_clock.after(delay(from, to),
                      [this, to, reports = std::move(reports), action = std::move(action)] {
                          for (const auto &[report, observedAt] : reports)
                              observeReport(to, report, observedAt);
                          action();
                          dispatch(to);
                      });
    }

    // Stands for the entries: every second, sends each agent the load reports of all agents as they
    // were a second before.
    void sendFeed()
    {
        std::vector<LoadReport> reports;
        for (std::size_t i = 0; i < m_options.workers; ++i)
            reports.push_back(loadReportOf(i));
        const double observedAt = m_clock.now();
        m_clock.after(observedAt == 0 ? 0 : 1, [this, reports, observedAt] {
            for (std::size_t home = 0; home < m_options.workers; ++home) {
                for (const LoadReport &report : reports)
                    observeReport(home, report, observedAt);
                dispatch(home);
            }
        });
        m_clock.after(1, [this] { sendFeed(); });
    }

    // The job with this index arrives at its home, or is submitted again after a refusal.
    void submit(std::size_t index)
    {
        Job &job = m_workload.jobs[index];
        Home &home = *m_homes[job.home];
        const JobKey key{job.team + "/" + std::to_string(index)};
        if (m_options.queueTargetScale > 0) {
            const auto refusal = home.admission.admit(job.team, job.jobClass, Upstream, job.tasks,
                                                      toTimePoint(job.arrival + job.deadline)
                                                          - toTimePoint(m_clock.now()),
                                                      hashOf(key), toTimePoint(m_clock.now()));
            if (refusal) {
                onRefused(index, std::chrono::duration<double>(refusal->retryAfter).count());
                return;
            }
        }
        m_openTasks[index] = job.tasks;
        for (const std::size_t task : taskOrder(job, m_options.longestFirst, [this](std::size_t i) {
                 return m_workload.tasks[i].declared;
             }))
            home.admission.push(queuedTask(m_workload, task), toTimePoint(m_clock.now()));
        dispatch(job.home);
    }

    // The caller submits the job again after `retryAfter` seconds. The job ends as refused if its
    // deadline passes before, or if it was submitted often enough.
    void onRefused(std::size_t index, double retryAfter)
    {
        Job &job = m_workload.jobs[index];
        m_result.refusals.push_back({m_clock.now(), retryAfter, job.isFlood});
        if (job.refusals++ < m_options.resubmits
            && m_clock.now() + retryAfter < job.arrival + job.deadline)
            m_clock.after(retryAfter, [this, index] { submit(index); });
        else
            finish(index, End::Refused);
    }

    // Records the end of a job; called once for each job.
    void finish(std::size_t job, End end)
    {
        m_result.jobs[job].end = end;
        m_result.jobs[job].response = m_clock.now() - m_workload.jobs[job].arrival;
        --m_openJobs;
    }

    // Starts queued tasks of a home as long as agents have free slots. The remaining ones are sent
    // to agents without a free slot, which makes them reservations. Called after each change.
    void dispatch(std::size_t index)
    {
        Home &home = *m_homes[index];
        const TimePoint now = toTimePoint(m_clock.now());
        const TaskResources needs;
        while (home.admission.queuedTasks(Upstream) > 0) {
            std::optional<Incarnation> agent = probeTarget(home, now);
            if (!agent)
                agent = home.placement.chooseFree(Upstream, needs, now, {});
            if (!agent)
                break;
            auto task = home.admission.pop(Upstream, now);
            if (!task)
                return;
            start(index, agent->value - 1, std::move(*task));
        }
        if (IsEarlyBinding<Policy>)
            return;
        rebind(index);
        std::vector<QueuedTask> passedOver; // their flows have as many reservations as allowed
        while (passedOver.size() < MaxPassedOver) {
            auto task = home.admission.pop(Upstream, now);
            if (!task)
                break;
            const auto agent
                = home.placement.chooseForReservation(Upstream, needs, now, {}, flowOf(*task));
            if (agent)
                start(index, agent->value - 1, std::move(*task));
            else
                passedOver.push_back(std::move(*task));
        }
        for (auto it = passedOver.rbegin(); it != passedOver.rend(); ++it)
            home.admission.pushFront(std::move(*it));
    }

    // If the queue is empty and a slot is free, starts a task there that waits for a slot offer,
    // and withdraws its reservation.
    void rebind(std::size_t index)
    {
        Home &home = *m_homes[index];
        while (home.admission.queuedTasks(Upstream) == 0 && !home.reservedTasks.empty()) {
            const auto agent
                = home.placement.chooseFree(Upstream, {}, toTimePoint(m_clock.now()), {});
            if (!agent)
                return;
            const TaskRef ref{JobKey{std::to_string(home.reservedTasks.begin()->first)}, 0};
            const auto [task, worker] = home.reservedTasks.begin()->second;
            home.reservedTasks.erase(home.reservedTasks.begin());
            home.placement.reservationEnded(agentOf(worker), flowOf(task));
            m_result.wastedMessages += 3; // start request, busy answer and withdrawal
            send(index, worker,
                 [this, worker = worker, ref] { m_executors[worker].reservations.remove(ref); });
            start(index, agent->value - 1, task);
        }
    }

    // The tasks of one class and team are a flow.
    static std::string flowOf(const QueuedTask &task) { return task.jobClass + "/" + task.team; }

    static TaskRef refOf(const QueuedTask &task) { return {JobKey{std::to_string(task.token)}, 0}; }

    // An ejected agent that may get one task now, to find out whether it works again.
    std::optional<Incarnation> probeTarget(Home &home, TimePoint now)
    {
        for (std::size_t k = 0; m_options.health && k < m_options.workers; ++k) {
            if (home.health.mayProbe(agentOf(k), now)) {
                home.health.probeSent(agentOf(k), now);
                return agentOf(k);
            }
        }
        return std::nullopt;
    }

    // Sends a task from its home to an agent.
    void start(std::size_t index, std::size_t worker, QueuedTask task)
    {
        Home &home = *m_homes[index];
        home.admission.taskStarted(task.team, task.jobClass, Upstream);
        home.placement.taskSent(agentOf(worker));
        send(index, worker,
             [this, index, worker, task = std::move(task)] { onStartTask(index, worker, task); });
    }

    // The agent runs the task if a slot is free, else queues it or makes a reservation for its
    // home.
    void onStartTask(std::size_t home, std::size_t worker, const QueuedTask &task)
    {
        Executor &it = m_executors[worker];
        if (it.freeSlots > 0) {
            --it.freeSlots;
            it.reservations.charge(task.jobClass, task.team, StartCharge, m_config);
            execute(worker, home, task.token);
        } else if (IsEarlyBinding<Policy>) {
            it.queue.push_back(task.token);
        } else {
            it.reservations.add(
                {refOf(task), {}, agentOf(home), task.team, task.jobClass, NeverTime});
            send(worker, home, [this, home, worker, task] { onBusy(home, worker, task); });
        }
    }

    // The home learns that the task has a reservation at the worker's agent.
    void onBusy(std::size_t index, std::size_t worker, const QueuedTask &task)
    {
        Home &home = *m_homes[index];
        home.placement.reservationMade(agentOf(worker), flowOf(task));
        home.reservedTasks.emplace(task.token, std::pair(task, worker));
    }

    // Gives a free slot to the next queued task or offers it to the home of the best reservation.
    void onSlotFreed(std::size_t worker)
    {
        Executor &it = m_executors[worker];
        if (!it.queue.empty()) {
            const std::size_t task = it.queue.front();
            it.queue.pop_front();
            execute(worker, homeOf(task), task);
        } else if (auto best = it.reservations.takeBest([](Incarnation) { return true; })) {
            it.reservations.charge(best->jobClass, best->team, StartCharge, m_config);
            const std::size_t home = best->home.value - 1;
            const std::size_t token = std::stoul(best->ref.key.value);
            send(worker, home, [this, home, worker, token] { onOffer(home, worker, token); });
        } else {
            ++it.freeSlots;
        }
    }

    // The home uses an offered slot for the task of the reservation, or declines the offer.
    void onOffer(std::size_t index, std::size_t worker, std::size_t token)
    {
        Home &home = *m_homes[index];
        const auto held = home.reservedTasks.find(token);
        if (held == home.reservedTasks.end() || held->second.second != worker) {
            // rebind() has started the task elsewhere. It has counted the withdrawal, so only the
            // offer and its decline count here.
            m_result.wastedMessages += 2;
            send(index, worker, [this, worker] { onSlotFreed(worker); });
            return;
        }
        const std::string flow = flowOf(held->second.first);
        if (m_options.bindOldest) {
            // The oldest task of the flow takes the slot; the two tasks exchange reservations.
            auto oldest = held;
            for (auto it = home.reservedTasks.begin(); it != home.reservedTasks.end(); ++it) {
                if (flowOf(it->second.first) == flow
                    && it->second.first.queueSequence < oldest->second.first.queueSequence)
                    oldest = it;
            }
            std::swap(oldest->second.first, held->second.first);
        }
        const std::size_t bound = held->second.first.token;
        home.placement.reservationEnded(agentOf(worker), flow);
        home.reservedTasks.erase(held);
        send(index, worker, [this, index, worker, bound] { execute(worker, index, bound); });
    }

    // Index of the agent that is the home of the task's job.
    std::size_t homeOf(std::size_t task) const
    {
        return m_workload.jobs[m_workload.tasks[task].job].home;
    }

    // Whether the worker fails all tasks now.
    bool isFailing(std::size_t worker) const
    {
        return worker < m_options.badWorkers && m_clock.now() >= m_options.faultFrom
               && m_clock.now() < m_options.faultUntil;
    }

    // Runs a task in a slot that is already taken.
    void execute(std::size_t worker, std::size_t home, std::size_t token)
    {
        Task &task = m_workload.tasks[token];
        const bool fails = isFailing(worker);
        m_result.starts.push_back({m_clock.now(), worker, task.attempts++ > 0});
        const double seconds
            = fails ? m_options.badRunMs / 1000 : task.work / m_workload.speeds[worker];
        m_clock.after(seconds, [this, worker, home, token, fails, seconds] {
            const Job &job = m_workload.jobs[m_workload.tasks[token].job];
            m_executors[worker].reservations.charge(job.jobClass, job.team,
                                                    toDuration(seconds) - StartCharge, m_config);
            onSlotFreed(worker);
            send(worker, home, [this, worker, home, token, fails, seconds] {
                onDone(home, worker, token, !fails, seconds);
            });
            ++m_result.messages; // TaskDoneAck
        });
    }

    // The home gets the result of a task that ran for `seconds`; retries or counts it.
    void onDone(std::size_t index, std::size_t worker, std::size_t token, bool succeeded,
                double seconds)
    {
        Home &home = *m_homes[index];
        const std::size_t jobIndex = m_workload.tasks[token].job;
        const Job &job = m_workload.jobs[jobIndex];
        const TimePoint now = toTimePoint(m_clock.now());
        home.placement.taskEnded(agentOf(worker));
        home.admission.taskEnded(job.team, job.jobClass, Upstream, toDuration(seconds));
        if (succeeded) {
            home.health.recordSuccess(agentOf(worker), toDuration(seconds), now);
            home.budget.recordSuccess();
        } else {
            home.health.recordFailure(agentOf(worker), now);
        }
        if (m_options.health)
            home.placement.setWeight(agentOf(worker), home.health.weight(agentOf(worker), now));
        if (!succeeded && m_options.idempotent && home.budget.trySpend()) {
            m_result.wastedMessages += 2; // the failed start and its result
            home.admission.push(queuedTask(m_workload, token), now);
            return;
        }
        m_hasFailedTask[jobIndex] = m_hasFailedTask[jobIndex] || !succeeded;
        if (--m_openTasks[jobIndex] == 0)
            finish(jobIndex, m_hasFailedTask[jobIndex] ? End::Failed : End::Completed);
    }

    // Slot time that a task is charged with at its start, as in TaskExecutor: the shortest usual
    // run time. The rest of its run time is charged at its end.
    static constexpr Duration StartCharge = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxPassedOver = 8; // tasks that one dispatch() skips

    Options m_options;
    FleetConfig m_config = fleetConfig(m_options);
    Workload m_workload;
    RunResult m_result;
    Clock m_clock;
    std::vector<std::size_t> m_openTasks;       // tasks of each job without a result
    std::vector<bool> m_hasFailedTask;          // for each job: a task of it has failed
    std::vector<Executor> m_executors;          // of each agent
    std::vector<std::unique_ptr<Home>> m_homes; // of each agent
    std::size_t m_openJobs = 0;                 // jobs that have not ended
};

// The ideal at the same load: one queue with the same order of classes, teams and age. It knows
// every run time, starts the longest task of a job first on the fastest free worker, and its
// messages take no time.
class CentralQueue
{
public:
    CentralQueue(const Options &options, Workload workload)
        : m_options(options)
        , m_workload(std::move(workload))
        , m_admission(options.seed)
        , m_freeSlots(options.workers, options.slots)
        , m_result{std::vector<JobEnd>(m_workload.jobs.size()), {}, {}, 0, 0}
        , m_openTasks(m_workload.jobs.size())
    {
        m_admission.configure(fleetConfig(options));
    }

    // Runs the workload until every job has ended; called once.
    RunResult run()
    {
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i) {
            m_clock.after(m_workload.jobs[i].arrival, [this, i] {
                const Job &job = m_workload.jobs[i];
                m_openTasks[i] = job.tasks;
                for (const std::size_t task : taskOrder(
                         job, true, [this](std::size_t k) { return m_workload.tasks[k].work; }))
                    m_admission.push(queuedTask(m_workload, task), toTimePoint(m_clock.now()));
                dispatch();
            });
        }
        m_clock.run([] { return false; });
        return std::move(m_result);
    }

private:
    // Starts queued tasks as long as slots are free.
    void dispatch()
    {
        for (std::size_t i = m_freeSlots.size(); i-- > 0;) { // fastest first
            while (m_freeSlots[i] > 0) {
                const auto task = m_admission.pop(Upstream, toTimePoint(m_clock.now()));
                if (!task)
                    return;
                --m_freeSlots[i];
                m_admission.taskStarted(task->team, task->jobClass, Upstream);
                const double seconds = m_workload.tasks[task->token].work / m_workload.speeds[i];
                m_clock.after(seconds,
                              [this, i, seconds, it = *task] { onTaskEnded(i, seconds, it); });
            }
        }
    }

    // A task has ended after `seconds`; frees its slot.
    void onTaskEnded(std::size_t worker, double seconds, const QueuedTask &task)
    {
        ++m_freeSlots[worker];
        m_admission.taskEnded(task.team, task.jobClass, Upstream, toDuration(seconds));
        const std::size_t job = m_workload.tasks[task.token].job;
        if (--m_openTasks[job] == 0)
            m_result.jobs[job] = {End::Completed, m_clock.now() - m_workload.jobs[job].arrival};
        dispatch();
    }

    Options m_options;
    Workload m_workload;
    Clock m_clock;
    Admission m_admission;
    std::vector<std::uint32_t> m_freeSlots; // of each worker
    RunResult m_result;
    std::vector<std::size_t> m_openTasks; // tasks of each job that have not ended
};

// The ideal without load: each job has the fleet to itself. Its tasks start in the order of falling
// run time, each in the slot where it ends first.
inline RunResult runOnEmptyFleet(const Options &options, const Workload &workload)
{
    RunResult result;
    for (const Job &job : workload.jobs) {
        std::vector<std::vector<double>> busyUntil(options.workers,
                                                   std::vector<double>(options.slots, 0));
        double last = 0;
        for (const std::size_t task :
             taskOrder(job, true, [&workload](std::size_t i) { return workload.tasks[i].work; })) {
            double bestEnd = HUGE_VAL;
            double *bestSlot = nullptr;
            for (std::size_t i = 0; i < options.workers; ++i) {
                const auto slot = std::min_element(busyUntil[i].begin(), busyUntil[i].end());
                const double end = *slot + workload.tasks[task].work / workload.speeds[i];
                if (end < bestEnd) {
                    bestEnd = end;
                    bestSlot = &*slot;
                }
            }
            *bestSlot = bestEnd;
            last = std::max(last, bestEnd);
        }
        result.jobs.push_back({End::Completed, last});
    }
    return result;
}

} // namespace cactuscove::measure
