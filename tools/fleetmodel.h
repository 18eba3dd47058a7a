// Small fakes of homes and executors around the decision objects, in virtual time. Message delays,
// slots and run times are modelled; ledger, witnesses and faults of the network are not.

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

inline TimePoint at(double seconds)
{
    return TimePoint(Duration(static_cast<std::int64_t>(seconds * 1e6)));
}

inline Duration span(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * 1e6));
}

enum class End { None, Completed, Refused, Failed };

struct JobEnd
{
    End end = End::None;
    double response = 0; // seconds from arrival at the home to the answer
};

struct Refusal
{
    double time = 0;
    double retryAfter = 0; // seconds
    bool isFlood = false;
};

struct Start
{
    double time = 0;
    std::size_t worker = 0;
    bool isRetry = false;
};

struct RunResult
{
    std::vector<JobEnd> jobs; // as in the workload
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
    std::uint64_t messages = 0;
    std::uint64_t wasted = 0;
};

class Clock
{
public:
    double now() const { return m_now; }
    void after(double seconds, std::function<void()> action)
    {
        m_events.push({m_now + seconds, m_sequence++, std::move(action)});
    }
    // Returns when `isFinished` or nothing is left to do.
    void run(const std::function<bool()> &isFinished)
    {
        while (!m_events.empty() && !isFinished()) {
            // The heap's top is const; the action is moved out just before the pop.
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
        std::uint64_t sequence = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };
    double m_now = 0;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

// Shares exceed what each class offers at 80% load, so that a flood takes nothing that is owed.
inline FleetConfig fleetConfig(const Options &options)
{
    FleetConfig config;
    const auto target
        = [&options](double seconds) { return span(options.queueTargetScale * seconds); };
    config.classes["urgent"] = {3, target(2)};
    config.classes["normal"] = {5, target(5)};
    config.classes["bulk"] = {2, target(10)};
    for (const char *team : {"bookings", "billing", "flooder"})
        config.teams[team].upstreams = {Upstream};
    config.teams["flooder"].weight = 0.25;
    config.upstreams[Upstream] = {};
    return config;
}

inline QueuedTask queuedTask(const Workload &workload, std::size_t task)
{
    const Task &it = workload.tasks[task];
    const Job &job = workload.jobs[it.job];
    return {task,     job.team,          job.jobClass,
            Upstream, span(it.declared), at(job.arrival + job.deadline)};
}

// The order in which a job's tasks are queued: as submitted, or by falling `key`.
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

// How a baseline binds a task: at once to the agent that the policy names.
template <typename Policy>
inline constexpr bool IsEarlyBinding = !std::is_same_v<Policy, DigestPolicy>;

template <PlacementPolicy Policy>
class Fleet
{
public:
    Fleet(const Options &options, Workload workload)
        : m_options(options)
        , m_workload(std::move(workload))
        , m_result{std::vector<JobEnd>(m_workload.jobs.size()), {}, {}, 0, 0}
        , m_open(m_workload.jobs.size())
        , m_failed(m_workload.jobs.size())
        , m_executors(options.workers)
    {
        for (std::size_t i = 0; i < options.workers; ++i)
            m_homes.push_back(makeHome(i));
        for (std::size_t i = 0; i < options.workers; ++i)
            m_executors[i].free = options.slots;
    }

    RunResult run()
    {
        m_left = m_workload.jobs.size();
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i)
            m_clock.after(m_workload.jobs[i].arrival, [this, i] { submit(i); });
        feed();
        m_clock.run([this] { return m_left == 0; });
        return std::move(m_result);
    }

private:
    struct Home
    {
        Admission admission;
        BasicPlacement<Policy> placement;
        WorkerHealth health;
        RetryBudget budget;
        std::vector<LoadReport> known; // newest digest of each agent and when it was observed
        std::vector<double> knownAt;
        std::map<std::size_t, std::pair<QueuedTask, std::size_t>> reserved; // by token: at worker
    };

    struct Executor
    {
        std::uint32_t free = 0;
        ReservationQueue reservations;
        std::deque<std::size_t> queue; // tasks bound early
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

    double delay(std::size_t from, std::size_t to) const
    {
        return (centreOf(from) == centreOf(to) ? m_options.nearDelayMs : m_options.delayMs) / 1000;
    }

    LoadReport digestOf(std::size_t i) const
    {
        const Executor &it = m_executors[i];
        LoadReport digest;
        digest.agent = agentOf(i);
        digest.upstream = Upstream;
        digest.freeSlots = it.free;
        digest.slots = m_options.slots;
        digest.queued = static_cast<std::uint32_t>(it.reservations.size() + it.queue.size());
        return digest;
    }

    void learn(std::size_t home, const LoadReport &digest, double observedAt)
    {
        Home &it = *m_homes[home];
        const std::size_t k = digest.agent.value - 1;
        if (observedAt < it.knownAt[k])
            return;
        it.knownAt[k] = observedAt;
        it.known[k] = digest;
        LoadReport aged = digest;
        aged.age = span(m_clock.now() - observedAt);
        it.placement.observe(aged, at(m_clock.now()));
    }

    // One message; `action` runs at the receiver after the digests on the envelope are observed.
    void send(std::size_t from, std::size_t to, std::function<void()> action)
    {
        ++m_result.messages;
        const double sentAt = m_clock.now();
        std::vector<std::pair<LoadReport, double>> digests{{digestOf(from), sentAt}};
        if (m_options.gossip) {
            const Home &sender = *m_homes[from];
            for (std::size_t k = 0; k < m_options.workers; ++k) {
                if (k != from && sender.knownAt[k] >= 0)
                    digests.emplace_back(sender.known[k], sender.knownAt[k]);
            }
        }
        m_clock.after(delay(from, to),
                      [this, to, digests = std::move(digests), action = std::move(action)] {
                          for (const auto &[digest, observedAt] : digests)
                              learn(to, digest, observedAt);
                          action();
                          dispatch(to);
                      });
    }

    // Entries feed each agent every second with what the agents told them a second before.
    void feed()
    {
        std::vector<LoadReport> digests;
        for (std::size_t i = 0; i < m_options.workers; ++i)
            digests.push_back(digestOf(i));
        const double observedAt = m_clock.now();
        m_clock.after(observedAt == 0 ? 0 : 1, [this, digests, observedAt] {
            for (std::size_t home = 0; home < m_options.workers; ++home) {
                for (const LoadReport &digest : digests)
                    learn(home, digest, observedAt);
                dispatch(home);
            }
        });
        m_clock.after(1, [this] { feed(); });
    }

    void submit(std::size_t index)
    {
        Job &job = m_workload.jobs[index];
        Home &home = *m_homes[job.home];
        const JobKey key{job.team + "/" + std::to_string(index)};
        if (m_options.queueTargetScale > 0) {
            const auto refusal = home.admission.admit(
                job.team, job.jobClass, Upstream, job.tasks,
                at(job.arrival + job.deadline) - at(m_clock.now()), hashOf(key), at(m_clock.now()));
            if (refusal) {
                refused(index, std::chrono::duration<double>(refusal->retryAfter).count());
                return;
            }
        }
        m_open[index] = job.tasks;
        for (const std::size_t task : taskOrder(job, m_options.longestFirst, [this](std::size_t i) {
                 return m_workload.tasks[i].declared;
             }))
            home.admission.push(queuedTask(m_workload, task), at(m_clock.now()));
        dispatch(job.home);
    }

    // The caller comes back when it was told to, unless its deadline has passed by then.
    void refused(std::size_t index, double retryAfter)
    {
        Job &job = m_workload.jobs[index];
        m_result.refusals.push_back({m_clock.now(), retryAfter, job.isFlood});
        if (job.submissions++ < m_options.resubmits
            && m_clock.now() + retryAfter < job.arrival + job.deadline)
            m_clock.after(retryAfter, [this, index] { submit(index); });
        else
            finish(index, End::Refused);
    }

    void finish(std::size_t job, End end)
    {
        m_result.jobs[job].end = end;
        m_result.jobs[job].response = m_clock.now() - m_workload.jobs[job].arrival;
        --m_left;
    }

    void dispatch(std::size_t index)
    {
        Home &home = *m_homes[index];
        const TimePoint now = at(m_clock.now());
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
        std::vector<QueuedTask> passedOver; // their flows hold their limit of reservations
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

    // With nothing left in the queue, a task that waits for an offer goes to a slot that is free.
    void rebind(std::size_t index)
    {
        Home &home = *m_homes[index];
        while (home.admission.queuedTasks(Upstream) == 0 && !home.reserved.empty()) {
            const auto agent = home.placement.chooseFree(Upstream, {}, at(m_clock.now()), {});
            if (!agent)
                return;
            const TaskRef ref{JobKey{std::to_string(home.reserved.begin()->first)}, 0};
            const auto [task, worker] = home.reserved.begin()->second;
            home.reserved.erase(home.reserved.begin());
            home.placement.reservationEnded(agentOf(worker), flowOf(task));
            m_result.wasted += 3; // request, answer and decline
            send(index, worker,
                 [this, worker = worker, ref] { m_executors[worker].reservations.remove(ref); });
            start(index, agent->value - 1, task);
        }
    }

    static std::string flowOf(const QueuedTask &task) { return task.jobClass + "/" + task.team; }

    static TaskRef refOf(const QueuedTask &task) { return {JobKey{std::to_string(task.token)}, 0}; }

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

    void start(std::size_t index, std::size_t worker, QueuedTask task)
    {
        Home &home = *m_homes[index];
        home.admission.taskStarted(task.team, task.jobClass, Upstream);
        home.placement.taskSent(agentOf(worker));
        send(index, worker,
             [this, index, worker, task = std::move(task)] { onStartTask(index, worker, task); });
    }

    void onStartTask(std::size_t home, std::size_t worker, const QueuedTask &task)
    {
        Executor &it = m_executors[worker];
        if (it.free > 0) {
            --it.free;
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

    void onBusy(std::size_t index, std::size_t worker, const QueuedTask &task)
    {
        Home &home = *m_homes[index];
        home.placement.reserved(agentOf(worker), flowOf(task));
        home.reserved.emplace(task.token, std::pair(task, worker));
    }

    void slotFreed(std::size_t worker)
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
            ++it.free;
        }
    }

    void onOffer(std::size_t index, std::size_t worker, std::size_t token)
    {
        Home &home = *m_homes[index];
        const auto held = home.reserved.find(token);
        if (held == home.reserved.end() || held->second.second != worker) {
            // It was bound elsewhere; the decline that crossed this offer was counted there.
            m_result.wasted += 2;
            send(index, worker, [this, worker] { slotFreed(worker); });
            return;
        }
        const std::string flow = flowOf(held->second.first);
        if (m_options.bindOldest) {
            // The oldest task of the flow takes the slot, and this one takes its reservation.
            auto oldest = held;
            for (auto it = home.reserved.begin(); it != home.reserved.end(); ++it) {
                if (flowOf(it->second.first) == flow
                    && it->second.first.order < oldest->second.first.order)
                    oldest = it;
            }
            std::swap(oldest->second.first, held->second.first);
        }
        const std::size_t bound = held->second.first.token;
        home.placement.reservationEnded(agentOf(worker), flow);
        home.reserved.erase(held);
        send(index, worker, [this, index, worker, bound] { execute(worker, index, bound); });
    }

    std::size_t homeOf(std::size_t task) const
    {
        return m_workload.jobs[m_workload.tasks[task].job].home;
    }

    bool isBad(std::size_t worker) const
    {
        return worker < m_options.badWorkers && m_clock.now() >= m_options.faultFrom
               && m_clock.now() < m_options.faultUntil;
    }

    // Runs a task in a slot that is already taken.
    void execute(std::size_t worker, std::size_t home, std::size_t token)
    {
        Task &task = m_workload.tasks[token];
        const bool fails = isBad(worker);
        m_result.starts.push_back({m_clock.now(), worker, task.attempts++ > 0});
        const double seconds
            = fails ? m_options.badRunMs / 1000 : task.work / m_workload.speeds[worker];
        m_clock.after(seconds, [this, worker, home, token, fails, seconds] {
            const Job &job = m_workload.jobs[m_workload.tasks[token].job];
            m_executors[worker].reservations.charge(job.jobClass, job.team,
                                                    span(seconds) - StartCharge, m_config);
            slotFreed(worker);
            send(worker, home, [this, worker, home, token, fails, seconds] {
                onDone(home, worker, token, !fails, seconds);
            });
            ++m_result.messages; // TaskDoneAck
        });
    }

    void onDone(std::size_t index, std::size_t worker, std::size_t token, bool succeeded,
                double seconds)
    {
        Home &home = *m_homes[index];
        const std::size_t jobIndex = m_workload.tasks[token].job;
        const Job &job = m_workload.jobs[jobIndex];
        const TimePoint now = at(m_clock.now());
        home.placement.taskEnded(agentOf(worker));
        home.admission.taskEnded(job.team, job.jobClass, Upstream, span(seconds));
        if (succeeded) {
            home.health.succeeded(agentOf(worker), span(seconds), now);
            home.budget.success();
        } else {
            home.health.failed(agentOf(worker), now);
        }
        if (m_options.health)
            home.placement.setWeight(agentOf(worker), home.health.weight(agentOf(worker), now));
        if (!succeeded && m_options.idempotent && home.budget.trySpend()) {
            m_result.wasted += 2; // the failed start and its result
            home.admission.push(queuedTask(m_workload, token), now);
            return;
        }
        m_failed[jobIndex] = m_failed[jobIndex] || !succeeded;
        if (--m_open[jobIndex] == 0)
            finish(jobIndex, m_failed[jobIndex] ? End::Failed : End::Completed);
    }

    // As in the executor: a slot is charged with the least usual run time when it is given away.
    static constexpr Duration StartCharge = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxPassedOver = 8;

    Options m_options;
    FleetConfig m_config = fleetConfig(m_options);
    Workload m_workload;
    RunResult m_result;
    Clock m_clock;
    std::vector<std::size_t> m_open; // tasks of each job without a result
    std::vector<bool> m_failed;
    std::vector<Executor> m_executors;
    std::vector<std::unique_ptr<Home>> m_homes;
    std::size_t m_left = 0; // jobs without an end
};

// The ideal at the same load: one queue with the same order of classes, teams and age that knows
// every run time, starts the longest task of a job first on the fastest free worker, and pays
// nothing for messages.
class CentralQueue
{
public:
    CentralQueue(const Options &options, Workload workload)
        : m_options(options)
        , m_workload(std::move(workload))
        , m_admission(options.seed)
        , m_free(options.workers, options.slots)
        , m_result{std::vector<JobEnd>(m_workload.jobs.size()), {}, {}, 0, 0}
        , m_open(m_workload.jobs.size())
    {
        m_admission.configure(fleetConfig(options));
    }

    RunResult run()
    {
        for (std::size_t i = 0; i < m_workload.jobs.size(); ++i) {
            m_clock.after(m_workload.jobs[i].arrival, [this, i] {
                const Job &job = m_workload.jobs[i];
                m_open[i] = job.tasks;
                for (const std::size_t task : taskOrder(
                         job, true, [this](std::size_t k) { return m_workload.tasks[k].work; }))
                    m_admission.push(queuedTask(m_workload, task), at(m_clock.now()));
                dispatch();
            });
        }
        m_clock.run([] { return false; });
        return std::move(m_result);
    }

private:
    void dispatch()
    {
        for (std::size_t i = m_free.size(); i-- > 0;) { // speeds rise with the index
            while (m_free[i] > 0) {
                const auto task = m_admission.pop(Upstream, at(m_clock.now()));
                if (!task)
                    return;
                --m_free[i];
                m_admission.taskStarted(task->team, task->jobClass, Upstream);
                const double seconds = m_workload.tasks[task->token].work / m_workload.speeds[i];
                m_clock.after(seconds, [this, i, seconds, it = *task] { end(i, seconds, it); });
            }
        }
    }

    void end(std::size_t worker, double seconds, const QueuedTask &task)
    {
        ++m_free[worker];
        m_admission.taskEnded(task.team, task.jobClass, Upstream, span(seconds));
        const std::size_t job = m_workload.tasks[task.token].job;
        if (--m_open[job] == 0)
            m_result.jobs[job] = {End::Completed, m_clock.now() - m_workload.jobs[job].arrival};
        dispatch();
    }

    Options m_options;
    Workload m_workload;
    Clock m_clock;
    Admission m_admission;
    std::vector<std::uint32_t> m_free;
    RunResult m_result;
    std::vector<std::size_t> m_open;
};

// The ideal without load: each job alone on the fleet, the longest task first, each task on the
// slot where it ends first.
inline RunResult emptyFleet(const Options &options, const Workload &workload)
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
