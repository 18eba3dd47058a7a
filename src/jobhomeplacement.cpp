// Placement of tasks by their home: queueing, starts, reservations, repeats and hedges.

#include "jobhome.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration StartRepeat = 1s;
constexpr std::size_t MaxReservations = 2;

// Reservations beyond the home's share of slots would only move its queue to the executors, where
// the order of its classes and teams is no longer its own.
constexpr double ReservationsPerSlot = 2;
constexpr std::size_t MinReservationLimit = 8;

// Tasks with unusual needs must not block the others of their upstream.
constexpr std::size_t MaxPassedOver = 8;

// Saved-up retries of all homes come at once in a storm: with 10 each, 11 homes start 110.
constexpr double RetryBurst = 1;

constexpr std::size_t RunTimeSamples = 256;
constexpr std::size_t MinSamplesForHedge = 32;

constexpr Duration CancelRepeat = 300ms;

// Lets the placement choose an ejected agent that is due for a probe.
constexpr double ProbeWeight = 0.05;

} // namespace

void JobHome::onLoad(const LoadReport &digest, TimePoint now)
{
    if (!m_agents.contains(digest.agent))
        return;
    m_parts.placement.observe(digest, now);
    if (digest.failurePercent > 0) {
        m_parts.health.reported(digest.agent, digest.failurePercent / 100.0, now);
        updateWeight(digest.agent, now);
    }
    const KnownLoad load{digest.upstream, digest.draining ? 0 : digest.slots};
    const auto [it, isNew] = m_loadKnown.try_emplace(digest.agent);
    if (!isNew && it->second == load)
        return;
    const KnownLoad before = std::exchange(it->second, load);
    for (const std::string &upstream : {before.upstream, load.upstream}) {
        if (!upstream.empty())
            m_parts.admission.setUpstreamSlots(upstream, m_parts.placement.totalSlots(upstream));
    }
    if (!load.upstream.empty())
        m_parts.health.setAgent(digest.agent, load.upstream);
}

void JobHome::configure()
{
    const FleetConfig &config = m_parts.ledger.fleetConfig();
    m_parts.admission.configure(config);
    for (const auto &[name, upstream] : config.upstreams) {
        m_parts.health.configure(name, upstream.ejectionThreshold, upstream.maxEjectedFraction);
        if (const auto it = m_stats.find(name); it != m_stats.end())
            it->second.budget = RetryBudget::create(upstream.retryBudget, RetryBurst);
    }
}

void JobHome::syncAgents(TimePoint now, Outbox &out)
{
    const std::vector<Incarnation> up = m_parts.ledger.upMembers(Role::Agent);
    const std::set<Incarnation> current(up.begin(), up.end());
    std::vector<Incarnation> gone;
    std::ranges::set_difference(m_agents, current, std::back_inserter(gone));
    for (const Incarnation agent : current) {
        if (m_agents.insert(agent).second)
            m_parts.placement.setAgent(agent, m_parts.ledger.member(agent)->member.dataCentre);
    }
    for (const Incarnation agent : gone) {
        m_agents.erase(agent);
        m_loadKnown.erase(agent);
        m_parts.placement.removeAgent(agent);
        m_parts.health.removeAgent(agent);
        agentLost(agent, now, out);
    }
}

void JobHome::agentLost(Incarnation agent, TimePoint now, Outbox &out)
{
    const auto it = m_tasksOfAgent.find(agent);
    if (it == m_tasksOfAgent.end())
        return;
    const auto tasks = it->second; // changes while they are handled
    for (const auto &[serial, index] : tasks) {
        const auto job = m_bySerial.find(serial);
        if (job == m_bySerial.end() || job->second->state == JobState::Answered)
            continue;
        const TaskPlace place{job->second, index};
        const auto isHere = [&](const Try &it) { return it.agent == agent; };
        const auto found = std::ranges::find_if(place.job->tasks[index].tries, isHere);
        if (found == place.job->tasks[index].tries.end())
            continue;
        const Try lost = removeTry(place, agent, found->attempt);
        const bool mayHaveStarted
            = lost.state == TryState::Running
              || (lost.state == TryState::Sent && lost.undelivered < lost.copies);
        if (mayHaveStarted)
            taskFailed(place, agent, "executor_lost", now, out);
        else
            afterNoStart(place, Duration::zero(), now, out);
    }
}

void JobHome::queue(TaskPlace place, TimePoint now, QueueEnd end)
{
    const JobSpec &spec = place.job->spec;
    Task &task = place.job->tasks[place.index];
    task.state = TaskState::Queued;
    task.token = ++m_lastToken;
    m_queued[task.token] = place;
    QueuedTask queued{task.token,
                      spec.team,
                      spec.jobClass,
                      spec.upstream,
                      spec.tasks[place.index].declared,
                      place.job->deadline};
    if (end == QueueEnd::Back)
        return m_parts.admission.push(std::move(queued), now);
    queued.order = task.order;
    m_parts.admission.pushFront(std::move(queued));
}

void JobHome::placeQueuedTasks(TimePoint now, Outbox &out)
{
    for (auto &[upstream, stats] : m_stats) {
        std::vector<QueuedTask> passedOver;
        while (passedOver.size() < MaxPassedOver) {
            auto queued = m_parts.admission.pop(upstream, now);
            if (!queued)
                break;
            const auto it = m_queued.find(queued->token);
            if (it == m_queued.end())
                continue;
            const TaskPlace place = it->second;
            if (!placeTask(place, now, out)) {
                place.job->tasks[place.index].excluded.clear();
                passedOver.push_back(std::move(*queued));
                continue;
            }
            m_queued.erase(it);
            place.job->tasks[place.index].token = 0;
            place.job->tasks[place.index].order = queued->order;
        }
        for (auto it = passedOver.rbegin(); it != passedOver.rend(); ++it)
            m_parts.admission.pushFront(std::move(*it));
    }
    m_nextPlacement = m_parts.admission.nextTimer();
    if (m_nextPlacement <= now) // waits for a free slot and not for time
        m_nextPlacement = NeverTime;
}

// Sends the task to an agent that looks free, else asks one for a reservation. False if there is
// none to send it to now.
bool JobHome::placeTask(TaskPlace place, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    if (job.state != JobState::Running || boundTry(task) != nullptr
        || m_raised[shardOf(job.spec.key).value] > job.epoch)
        return false;
    const std::string &upstream = job.spec.upstream;
    const TaskResources &needs = job.spec.tasks[place.index].needs;
    std::vector<Incarnation> excluded = task.excluded;
    for (const Try &it : task.tries)
        excluded.push_back(it.agent);
    auto agent = m_parts.placement.chooseFree(upstream, needs, now, excluded);
    if (!agent && task.tries.size() < MaxReservations
        && statsOf(upstream).reserved < reservationLimit(upstream))
        agent = m_parts.placement.chooseForReservation(upstream, needs, now, excluded,
                                                       flowOf(job.spec));
    if (!agent)
        return false;
    sendStart(place, *agent, now, out);
    return true;
}

std::size_t JobHome::reservationLimit(const std::string &upstream) const
{
    const double slots = m_parts.placement.totalSlots(upstream) * m_homeShare;
    return std::max(MinReservationLimit,
                    static_cast<std::size_t>(std::ceil(slots * ReservationsPerSlot)));
}

void JobHome::sendStart(TaskPlace place, Incarnation agent, TimePoint now, Outbox &out)
{
    const JobSpec &spec = place.job->spec;
    Task &task = place.job->tasks[place.index];
    if (!task.isCounted) {
        m_parts.admission.taskStarted(spec.team, spec.jobClass, spec.upstream);
        task.isCounted = true;
    }
    task.state = TaskState::Active;
    Try attempt;
    attempt.agent = agent;
    attempt.attempt = ++task.attempts;
    attempt.since = now;
    task.tries.push_back(attempt);
    m_tasksOfAgent[agent].insert({place.job->serial, place.index});
    m_parts.placement.taskSent(agent);
    if (m_parts.health.isEjected(agent, now)) {
        m_parts.health.probeSent(agent, now);
        updateWeight(agent, now);
    }
    ++statsOf(spec.upstream).starts;
    sendCopy(place, task.tries.back(), now, out);
}

// A reservation is confirmed by another copy of its own request, which cannot start the task.
void JobHome::sendCopy(TaskPlace place, Try &attempt, TimePoint now, Outbox &out)
{
    const Job &job = *place.job;
    const JobSpec &spec = job.spec;
    StartTask start;
    start.ref = {spec.key, place.index};
    start.attempt = attempt.attempt;
    start.epoch = job.epoch;
    start.contentHash = spec.contentHash;
    start.taskCount = job.taskCount;
    start.task = spec.tasks[place.index];
    start.team = spec.team;
    start.jobClass = spec.jobClass;
    start.upstream = spec.upstream;
    start.idempotent = spec.idempotent;
    start.isOfferReply = attempt.isOfferReply;
    start.remaining = job.deadline - now;
    start.trace = job.trace;
    out.send(attempt.agent, std::move(start));
    ++attempt.copies;
    attempt.nextSend
        = now + (attempt.state == TryState::Reserved ? ReservationRepeat : StartRepeat);
    wakeAt(*place.job, attempt.nextSend);
}

// Executors share their slots by class and team, so reservations are limited for each of them.
std::string JobHome::flowOf(const JobSpec &spec)
{
    return spec.jobClass + '/' + spec.team;
}

void JobHome::reservationEnded(TaskPlace place, Incarnation agent)
{
    --statsOf(place.job->spec.upstream).reserved;
    m_parts.placement.reservationEnded(agent, flowOf(place.job->spec));
}

JobHome::Try JobHome::removeTry(TaskPlace place, Incarnation agent, std::uint32_t number)
{
    Task &task = place.job->tasks[place.index];
    Try *found = findTry(task, agent, number);
    Try removed = *found;
    task.tries.erase(task.tries.begin() + (found - task.tries.data()));
    if (removed.state == TryState::Reserved)
        reservationEnded(place, agent);
    m_parts.placement.taskEnded(agent);
    const auto isHere = [&](const Try &it) { return it.agent == agent; };
    if (std::ranges::none_of(task.tries, isHere)) {
        const auto tasks = m_tasksOfAgent.find(agent);
        tasks->second.erase({place.job->serial, place.index});
        if (tasks->second.empty())
            m_tasksOfAgent.erase(tasks);
    }
    return removed;
}

void JobHome::requeue(TaskPlace place, Duration pause, TimePoint now)
{
    Task &task = place.job->tasks[place.index];
    uncount(place, std::nullopt);
    if (pause <= Duration::zero())
        return queue(place, now, QueueEnd::Front);
    task.state = TaskState::Queued;
    task.token = 0;
    task.notBefore = now + pause;
    wakeAt(*place.job, task.notBefore);
}

void JobHome::uncount(TaskPlace place, std::optional<Duration> runTime)
{
    const JobSpec &spec = place.job->spec;
    Task &task = place.job->tasks[place.index];
    if (!task.isCounted)
        return;
    task.isCounted = false;
    m_parts.admission.taskEnded(spec.team, spec.jobClass, spec.upstream, runTime);
}

void JobHome::onTaskTimer(TaskPlace place, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    if (task.state == TaskState::Queued && task.token == 0 && job.state == JobState::Running) {
        if (task.notBefore > now)
            return wakeAt(job, task.notBefore);
        queue(place, now, QueueEnd::Front);
        return placeQueuedTasks(now, out);
    }
    const TaskRef ref{job.spec.key, place.index};
    for (Try &it : task.tries) {
        if (it.nextSend > now) {
            wakeAt(job, it.nextSend);
        } else if (job.state == JobState::GivingUp) {
            out.send(it.agent, CancelTask{ref, it.attempt, job.epoch});
            it.nextSend = now + CancelRepeat;
            wakeAt(job, it.nextSend);
        } else {
            sendCopy(place, it, now, out);
        }
    }
    if (job.state == JobState::Running && job.spec.idempotent)
        hedge(place, now, out);
}

// Starts a second copy of a straggler of an idempotent job on another agent.
void JobHome::hedge(TaskPlace place, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    UpstreamStats &stats = statsOf(job.spec.upstream);
    if (task.isHedged || stats.p95 == Duration::zero() || task.tries.size() != 1
        || task.tries.front().state != TryState::Running)
        return;
    const TimePoint due = task.tries.front().since + std::max(stats.p95, MinHedgeDelay);
    if (due > now)
        return wakeAt(job, due);
    const auto &upstreams = m_parts.ledger.fleetConfig().upstreams;
    const auto config = upstreams.find(job.spec.upstream);
    const double limit
        = config == upstreams.end() ? UpstreamConfig{}.hedgeLimit : config->second.hedgeLimit;
    if (static_cast<double>(stats.hedges + 1) > limit * static_cast<double>(stats.starts))
        return;
    std::vector<Incarnation> excluded = task.excluded;
    excluded.push_back(task.tries.front().agent);
    const auto agent = m_parts.placement.chooseFree(
        job.spec.upstream, job.spec.tasks[place.index].needs, now, excluded);
    if (!agent)
        return;
    task.isHedged = true;
    ++stats.hedges;
    sendStart(place, *agent, now, out);
}

JobHome::UpstreamStats &JobHome::statsOf(const std::string &upstream)
{
    const auto [it, isNew] = m_stats.try_emplace(upstream);
    if (isNew) {
        const auto &upstreams = m_parts.ledger.fleetConfig().upstreams;
        const auto config = upstreams.find(upstream);
        const double perSuccess
            = config == upstreams.end() ? UpstreamConfig{}.retryBudget : config->second.retryBudget;
        it->second.budget = RetryBudget::create(perSuccess, RetryBurst);
    }
    return it->second;
}

void JobHome::noteRunTime(UpstreamStats &stats, Duration runTime)
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
    const bool isProbeDue = m_parts.health.mayProbe(agent, now);
    m_parts.placement.setWeight(agent,
                                isProbeDue ? ProbeWeight : m_parts.health.weight(agent, now));
}

} // namespace cactuscove
