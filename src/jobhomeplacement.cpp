// Placement of tasks on agents: queueing, starts, reservations, repeated messages and hedges.

#include "jobhome.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration StartRepeatInterval = 1s;
constexpr std::size_t MaxReservationsPerTask = 2;

// Reservations for one upstream are limited to this many for each slot of the home's share. More of
// them would only move its queue to the executors, where this home no longer decides on the order
// of the classes and teams.
constexpr double ReservationsPerSlot = 2;
constexpr std::size_t MinReservationLimit = 8;

// Tasks that cannot be placed now are passed over up to this number, so that a task with unusual
// requirements does not block the others of its upstream.
constexpr std::size_t MaxPassedOver = 8;

// Retries that a home may save up. In a storm of failures all homes spend theirs at once: with 10
// each, 11 homes would start 110.
constexpr double RetryBurst = 1;

// The p95 of the run times of an upstream is computed anew after each MinSamplesForHedge results,
// from the newest RunTimeSamples.
constexpr std::size_t RunTimeSamples = 256;
constexpr std::size_t MinSamplesForHedge = 32;

constexpr Duration CancelRepeatInterval = 300ms;

// Placement weight of an ejected agent that is due for a probe, so that it can be chosen at all.
constexpr double ProbeWeight = 0.05;

} // namespace

void JobHome::onLoad(const LoadReport &report, TimePoint now)
{
    if (!m_agents.contains(report.agent))
        return;
    m_deps.placement.updateLoad(report, now);
    if (report.failurePercent > 0) {
        m_deps.health.recordReportedRate(report.agent, report.failurePercent / 100.0, now);
        updateWeight(report.agent, now);
    }
    const AdmissionLoad load{report.upstream, report.draining ? 0 : report.slots};
    const auto [it, isNew] = m_admissionLoads.try_emplace(report.agent);
    if (!isNew && it->second == load)
        return;
    const AdmissionLoad before = std::exchange(it->second, load);
    for (const std::string &upstream : {before.upstream, load.upstream}) {
        if (!upstream.empty())
            m_deps.admission.setUpstreamSlots(upstream, m_deps.placement.totalSlots(upstream));
    }
    if (!load.upstream.empty())
        m_deps.health.setAgent(report.agent, load.upstream);
}

// Applies the configuration in force to Admission, WorkerHealth and the retry budgets.
void JobHome::configure()
{
    const FleetConfig &config = m_deps.ledger.fleetConfig();
    m_deps.admission.configure(config);
    for (const auto &[name, upstream] : config.upstreams) {
        m_deps.health.configure(name, upstream.ejectionThreshold, upstream.maxEjectedFraction);
        if (const auto it = m_stats.find(name); it != m_stats.end())
            it->second.budget = RetryBudget::create(upstream.retryBudget, RetryBurst);
    }
}

// Adds the agents that have come up in the ledger and removes those that are no longer up.
void JobHome::syncAgents(TimePoint now, Outbox &out)
{
    const std::vector<Incarnation> up = m_deps.ledger.upMembers(Role::Agent);
    const std::set<Incarnation> current(up.begin(), up.end());
    std::vector<Incarnation> gone;
    std::ranges::set_difference(m_agents, current, std::back_inserter(gone));
    for (const Incarnation agent : current) {
        if (m_agents.insert(agent).second)
            m_deps.placement.setAgent(agent, m_deps.ledger.member(agent)->member.dataCentre);
    }
    for (const Incarnation agent : gone) {
        m_agents.erase(agent);
        m_admissionLoads.erase(agent);
        m_deps.placement.removeAgent(agent);
        m_deps.health.removeAgent(agent);
        onAgentLost(agent, now, out);
    }
}

void JobHome::onAgentLost(Incarnation agent, TimePoint now, Outbox &out)
{
    const auto it = m_tasksOfAgent.find(agent);
    if (it == m_tasksOfAgent.end())
        return;
    const auto tasks = it->second; // a copy, because removeAttempt() changes the original
    for (const auto &[serial, index] : tasks) {
        const auto job = m_jobsBySerial.find(serial);
        if (job == m_jobsBySerial.end() || job->second->state == JobState::Answered)
            continue;
        const TaskHandle handle{job->second, index};
        const auto isHere = [&](const Attempt &it) { return it.agent == agent; };
        const auto found = std::ranges::find_if(handle.job->tasks[index].liveAttempts, isHere);
        if (found == handle.job->tasks[index].liveAttempts.end())
            continue;
        const Attempt lost = removeAttempt(handle, agent, found->number);
        const bool mayHaveStarted
            = lost.state == AttemptState::Running
              || (lost.state == AttemptState::Sent && lost.undelivered < lost.copies);
        if (mayHaveStarted)
            taskFailed(handle, agent, "executor_lost", now, out);
        else
            onAttemptNotStarted(handle, Duration::zero(), now, out);
    }
}

void JobHome::enqueue(TaskHandle handle, TimePoint now, QueueEnd end)
{
    const JobSpec &spec = handle.job->spec;
    Task &task = handle.job->tasks[handle.index];
    task.state = TaskState::Queued;
    task.token = ++m_lastToken;
    m_queued[task.token] = handle;
    QueuedTask queued{task.token,
                      spec.team,
                      spec.jobClass,
                      spec.upstream,
                      spec.tasks[handle.index].declaredRunTime,
                      handle.job->deadline};
    if (end == QueueEnd::Back)
        return m_deps.admission.push(std::move(queued), now);
    queued.queueSequence = task.queueSequence;
    m_deps.admission.pushFront(std::move(queued));
}

void JobHome::placeQueuedTasks(TimePoint now, Outbox &out)
{
    for (auto &[upstream, stats] : m_stats) {
        std::vector<QueuedTask> passedOver;
        while (passedOver.size() < MaxPassedOver) {
            auto queued = m_deps.admission.pop(upstream, now);
            if (!queued)
                break;
            const auto it = m_queued.find(queued->token);
            if (it == m_queued.end())
                continue;
            const TaskHandle handle = it->second;
            if (!placeTask(handle, now, out)) {
                handle.job->tasks[handle.index].excluded.clear();
                passedOver.push_back(std::move(*queued));
                continue;
            }
            m_queued.erase(it);
            handle.job->tasks[handle.index].token = 0;
            handle.job->tasks[handle.index].queueSequence = queued->queueSequence;
        }
        for (auto it = passedOver.rbegin(); it != passedOver.rend(); ++it)
            m_deps.admission.pushFront(std::move(*it));
    }
    m_nextPlacement = m_deps.admission.nextTimer();
    if (m_nextPlacement <= now) // the next task waits for a free slot, not for time to pass
        m_nextPlacement = NeverTime;
}

// Sends the task to an agent that is believed to have a free slot, else to one that may keep a
// reservation for it. Returns false if there is no such agent or the task must not be sent now.
bool JobHome::placeTask(TaskHandle handle, TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    if (job.state != JobState::Running || unreservedAttempt(task) != nullptr
        || m_fenceEpochs[shardOf(job.spec.key).value] > job.epoch)
        return false;
    const std::string &upstream = job.spec.upstream;
    const TaskResources &needs = job.spec.tasks[handle.index].needs;
    std::vector<Incarnation> excluded = task.excluded;
    for (const Attempt &it : task.liveAttempts)
        excluded.push_back(it.agent);
    auto agent = m_deps.placement.chooseFree(upstream, needs, now, excluded);
    if (!agent && task.liveAttempts.size() < MaxReservationsPerTask
        && statsOf(upstream).reserved < reservationLimit(upstream))
        agent = m_deps.placement.chooseForReservation(upstream, needs, now, excluded,
                                                      flowOf(job.spec));
    if (!agent)
        return false;
    sendStart(handle, *agent, now, out);
    return true;
}

std::size_t JobHome::reservationLimit(const std::string &upstream) const
{
    const double slots = m_deps.placement.totalSlots(upstream) * m_homeShare;
    return std::max(MinReservationLimit,
                    static_cast<std::size_t>(std::ceil(slots * ReservationsPerSlot)));
}

void JobHome::sendStart(TaskHandle handle, Incarnation agent, TimePoint now, Outbox &out)
{
    const JobSpec &spec = handle.job->spec;
    Task &task = handle.job->tasks[handle.index];
    if (!task.isCountedAsStarted) {
        m_deps.admission.taskStarted(spec.team, spec.jobClass, spec.upstream);
        task.isCountedAsStarted = true;
    }
    task.state = TaskState::Active;
    Attempt attempt;
    attempt.agent = agent;
    attempt.number = ++task.lastAttempt;
    attempt.since = now;
    task.liveAttempts.push_back(attempt);
    m_tasksOfAgent[agent].insert({handle.job->serial, handle.index});
    m_deps.placement.taskSent(agent);
    if (m_deps.health.isEjected(agent, now)) {
        m_deps.health.probeSent(agent, now);
        updateWeight(agent, now);
    }
    ++statsOf(spec.upstream).starts;
    sendCopy(handle, task.liveAttempts.back(), now, out);
}

// Sends StartTask for the attempt, or repeats it under the same number. A copy sent for a
// reservation confirms it; the executor does not start the task from such a copy.
void JobHome::sendCopy(TaskHandle handle, Attempt &attempt, TimePoint now, Outbox &out)
{
    const Job &job = *handle.job;
    const JobSpec &spec = job.spec;
    StartTask start;
    start.ref = {spec.key, handle.index};
    start.attempt = attempt.number;
    start.epoch = job.epoch;
    start.contentHash = spec.contentHash;
    start.taskCount = job.taskCount;
    start.task = spec.tasks[handle.index];
    start.team = spec.team;
    start.jobClass = spec.jobClass;
    start.upstream = spec.upstream;
    start.idempotent = spec.idempotent;
    start.isOfferReply = attempt.isOfferReply;
    start.remaining = job.deadline - now;
    start.trace = job.trace;
    out.send(attempt.agent, std::move(start));
    ++attempt.copies;
    attempt.nextSend = now
                       + (attempt.state == AttemptState::Reserved ? ReservationConfirmInterval
                                                                  : StartRepeatInterval);
    armTimer(*handle.job, attempt.nextSend);
}

// Executors share their slots out by class and team, so Placement limits the reservations for each
// of them.
std::string JobHome::flowOf(const JobSpec &spec)
{
    return spec.jobClass + '/' + spec.team;
}

void JobHome::reservationEnded(TaskHandle handle, Incarnation agent)
{
    --statsOf(handle.job->spec.upstream).reserved;
    m_deps.placement.reservationEnded(agent, flowOf(handle.job->spec));
}

JobHome::Attempt JobHome::removeAttempt(TaskHandle handle, Incarnation agent, std::uint32_t number)
{
    Task &task = handle.job->tasks[handle.index];
    Attempt *found = findAttempt(task, agent, number);
    Attempt removed = *found;
    task.liveAttempts.erase(task.liveAttempts.begin() + (found - task.liveAttempts.data()));
    if (removed.state == AttemptState::Reserved)
        reservationEnded(handle, agent);
    m_deps.placement.taskEnded(agent);
    const auto isHere = [&](const Attempt &it) { return it.agent == agent; };
    if (std::ranges::none_of(task.liveAttempts, isHere)) {
        const auto tasks = m_tasksOfAgent.find(agent);
        tasks->second.erase({handle.job->serial, handle.index});
        if (tasks->second.empty())
            m_tasksOfAgent.erase(tasks);
    }
    return removed;
}

// Puts a task without live attempts back at the front of the queue, after `pause` if there is one.
void JobHome::requeue(TaskHandle handle, Duration pause, TimePoint now)
{
    Task &task = handle.job->tasks[handle.index];
    countAsEnded(handle, std::nullopt);
    if (pause <= Duration::zero())
        return enqueue(handle, now, QueueEnd::Front);
    task.state = TaskState::Queued;
    task.token = 0;
    task.notBefore = now + pause;
    armTimer(*handle.job, task.notBefore);
}

// Tells Admission that the task has ended, if it counts as started there.
void JobHome::countAsEnded(TaskHandle handle, std::optional<Duration> runTime)
{
    const JobSpec &spec = handle.job->spec;
    Task &task = handle.job->tasks[handle.index];
    if (!task.isCountedAsStarted)
        return;
    task.isCountedAsStarted = false;
    m_deps.admission.taskEnded(spec.team, spec.jobClass, spec.upstream, runTime);
}

void JobHome::onTaskTimer(TaskHandle handle, TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    if (task.state == TaskState::Queued && task.token == 0 && job.state == JobState::Running) {
        if (task.notBefore > now)
            return armTimer(job, task.notBefore);
        enqueue(handle, now, QueueEnd::Front);
        return placeQueuedTasks(now, out);
    }
    const TaskRef ref{job.spec.key, handle.index};
    for (Attempt &it : task.liveAttempts) {
        if (it.nextSend > now) {
            armTimer(job, it.nextSend);
        } else if (job.state == JobState::GivingUp) {
            out.send(it.agent, CancelTask{ref, it.number, job.epoch});
            it.nextSend = now + CancelRepeatInterval;
            armTimer(job, it.nextSend);
        } else {
            sendCopy(handle, it, now, out);
        }
    }
    if (job.state == JobState::Running && job.spec.idempotent)
        hedge(handle, now, out);
}

// Starts a second copy of a task of an idempotent job on another agent if the first has run for
// longer than both the p95 of its upstream and MinHedgeDelay, and the hedge limit of the upstream
// allows it.
void JobHome::hedge(TaskHandle handle, TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    UpstreamStats &stats = statsOf(job.spec.upstream);
    if (task.isHedged || stats.p95 == Duration::zero() || task.liveAttempts.size() != 1
        || task.liveAttempts.front().state != AttemptState::Running)
        return;
    const TimePoint due = task.liveAttempts.front().since + std::max(stats.p95, MinHedgeDelay);
    if (due > now)
        return armTimer(job, due);
    const auto &upstreams = m_deps.ledger.fleetConfig().upstreams;
    const auto config = upstreams.find(job.spec.upstream);
    const double limit
        = config == upstreams.end() ? UpstreamConfig{}.hedgeLimit : config->second.hedgeLimit;
    if (static_cast<double>(stats.hedges + 1) > limit * static_cast<double>(stats.starts))
        return;
    std::vector<Incarnation> excluded = task.excluded;
    excluded.push_back(task.liveAttempts.front().agent);
    const auto agent = m_deps.placement.chooseFree(
        job.spec.upstream, job.spec.tasks[handle.index].needs, now, excluded);
    if (!agent)
        return;
    task.isHedged = true;
    ++stats.hedges;
    sendStart(handle, *agent, now, out);
}

JobHome::UpstreamStats &JobHome::statsOf(const std::string &upstream)
{
    const auto [it, isNew] = m_stats.try_emplace(upstream);
    if (isNew) {
        const auto &upstreams = m_deps.ledger.fleetConfig().upstreams;
        const auto config = upstreams.find(upstream);
        const double perSuccess
            = config == upstreams.end() ? UpstreamConfig{}.retryBudget : config->second.retryBudget;
        it->second.budget = RetryBudget::create(perSuccess, RetryBurst);
    }
    return it->second;
}

void JobHome::addRunTime(UpstreamStats &stats, Duration runTime)
{
    if (stats.runTimes.size() < RunTimeSamples)
        stats.runTimes.push_back(runTime);
    else
        stats.runTimes[stats.nextRunTime] = runTime;
    stats.nextRunTime = (stats.nextRunTime + 1) % RunTimeSamples;
    if (stats.runTimes.size() < MinSamplesForHedge || stats.nextRunTime % MinSamplesForHedge != 0)
        return;
    std::vector<Duration> sorted = stats.runTimes;
    const auto p95 = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() * 95 / 100);
    std::ranges::nth_element(sorted, p95);
    stats.p95 = *p95;
}

void JobHome::updateWeight(Incarnation agent, TimePoint now)
{
    const bool isProbeDue = m_deps.health.mayProbe(agent, now);
    m_deps.placement.setWeight(agent, isProbeDue ? ProbeWeight : m_deps.health.weight(agent, now));
}

} // namespace cactuscove
