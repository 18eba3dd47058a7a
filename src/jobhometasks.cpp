// Tasks at their home: placement, starts, reservations, results, retries and hedges.

#include "jobhome.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration StartRepeat = 1s;
// A reservation is confirmed at this interval, because an executor that lost it offers nothing.
constexpr Duration ReservationRepeat = 2s;
constexpr std::size_t MaxReservations = 2;

// Reservations beyond the home's share of slots would only move its queue to the executors, where
// the order of its classes and teams is no longer its own.
constexpr double ReservationsPerSlot = 2;
constexpr std::size_t MinReservationLimit = 8;

// Tasks with unusual needs must not block the others of their upstream.
constexpr std::size_t MaxPassedOver = 8;

constexpr Duration FirstBouncePause = 25ms;
constexpr Duration LongestBouncePause = 1s;
constexpr std::uint16_t BouncesWithoutPause = 2;

constexpr std::uint16_t MaxRetries = 3;
constexpr double RetryBurst = 10;

constexpr std::size_t RunTimeSamples = 256;
constexpr std::size_t MinSamplesForHedge = 32;
constexpr Duration MinHedgeDelay = 50ms;

// How long a job that is given up waits for the proof that a sent task has not started.
constexpr Duration ProofTime = 2s;
constexpr Duration CancelRepeat = 300ms;

// Lets the placement choose an ejected agent that is due for a probe.
constexpr double ProbeWeight = 0.05;

} // namespace

void JobHome::onTaskMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *accepted = std::get_if<TaskAccepted>(&message))
        onAccepted(from, *accepted, now, out);
    else if (const auto *busy = std::get_if<TaskBusy>(&message))
        onBusy(from, *busy, now, out);
    else if (const auto *refused = std::get_if<TaskRefused>(&message))
        onRefused(from, *refused, now, out);
    else if (const auto *done = std::get_if<TaskDone>(&message))
        onDone(from, *done, now, out);
    else if (const auto *notStarted = std::get_if<TaskNotStarted>(&message))
        onNotStarted(from, *notStarted, now, out);
    else if (const auto *offer = std::get_if<SlotOffer>(&message))
        onOffer(from, *offer, now, out);
}

void JobHome::onAccepted(Incarnation from, const TaskAccepted &message, TimePoint now, Outbox &out)
{
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr)
        return;
    Task &task = place.job->tasks[place.index];
    Try *attempt = findTry(task, from, message.attempt);
    if (attempt == nullptr || attempt->state == TryState::Running)
        return;
    task.mayHaveStarted = true;
    attempt->state = TryState::Running;
    attempt->since = now;
    attempt->nextSend = NeverTime;
    const std::vector<Try> tries = task.tries;
    for (const Try &it : tries) {
        if (it.state != TryState::Reserved)
            continue;
        out.send(it.agent, OfferDeclined{message.ref, it.attempt});
        removeTry(place, it.agent, it.attempt);
    }
    const UpstreamStats &stats = statsOf(place.job->spec.upstream);
    if (place.job->spec.idempotent && stats.p95 > Duration::zero())
        wakeAt(*place.job, now + std::max(stats.p95, MinHedgeDelay));
    checkGivingUp(*place.job, now, out);
}

void JobHome::onBusy(Incarnation from, const TaskBusy &message, TimePoint now, Outbox &out)
{
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr)
        return;
    Task &task = place.job->tasks[place.index];
    Try *attempt = findTry(task, from, message.attempt);
    if (attempt == nullptr || attempt->state != TryState::Sent)
        return;
    attempt->state = TryState::Reserved;
    attempt->since = now;
    attempt->nextSend = now + ReservationRepeat;
    wakeAt(*place.job, attempt->nextSend);
    ++statsOf(place.job->spec.upstream).reserved;
    m_parts.placement.reserved(from);
    if (place.job->state == JobState::GivingUp) {
        // The cancellation that is on its way removes the reservation.
        removeTry(place, from, message.attempt);
        return checkGivingUp(*place.job, now, out);
    }
    placeTask(place, now, out); // a second reservation, or a free slot elsewhere
}

void JobHome::onRefused(Incarnation from, const TaskRefused &message, TimePoint now, Outbox &out)
{
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr)
        return;
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    const Try *attempt = findTry(task, from, message.attempt);
    if (attempt == nullptr || attempt->state == TryState::Running)
        return;
    removeTry(place, from, message.attempt);
    if (message.reason == TaskRefusal::StaleEpoch) {
        // Another home has raised the fence. The ledger will say so; nothing can start until then.
        Epoch &raised = m_raised[shardOf(job.spec.key).value];
        raised = std::max(raised, message.fence);
        return afterNoStart(place, LongestBouncePause, now, out);
    }
    if (message.reason == TaskRefusal::DeadlinePassed)
        return giveUp(job, "deadline", spread(job.spec.key, 1s), now, out);
    const bool isLocal
        = message.reason != TaskRefusal::Tombstone; // which only refuses an old attempt number
    if (isLocal)
        task.excluded.push_back(from);
    if (message.reason == TaskRefusal::CannotRun
        && !m_parts.placement.canRunSomewhere(job.spec.upstream, job.spec.tasks[place.index].needs))
        return giveUp(job, "cannot_run", std::nullopt, now, out);
    afterNoStart(place, Duration::zero(), now, out);
}

void JobHome::onDone(Incarnation from, const TaskDone &message, TimePoint now, Outbox &out)
{
    out.send(from, TaskDoneAck{message.ref, message.attempt});
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr)
        return;
    Task &task = place.job->tasks[place.index];
    const Try *attempt = findTry(task, from, message.attempt);
    if (message.result.status == TaskStatus::Completed) {
        // Also from an attempt that was given up as lost: it is a result of this very task.
        if (task.state != TaskState::Completed && message.attempt <= task.attempts
            && (attempt != nullptr || task.mayHaveStarted))
            taskCompleted(place, from, message.attempt, message.result, now, out);
        return;
    }
    if (attempt == nullptr)
        return;
    if (message.result.status == TaskStatus::NotStarted) {
        removeTry(place, from, message.attempt);
        task.excluded.push_back(from);
        // Every attempt before this one is known to have ended without a start, or it is another
        // try of an idempotent task, which is remembered in mayHaveStarted of its own.
        if (task.tries.empty() && task.retries == 0)
            task.mayHaveStarted = false;
        return afterNoStart(place, Duration::zero(), now, out);
    }
    removeTry(place, from, message.attempt);
    m_parts.health.failed(from, now);
    updateWeight(from, now);
    taskFailed(place, from,
               message.result.status == TaskStatus::Failed ? "task_failed" : "task_lost", now, out);
}

void JobHome::onNotStarted(Incarnation from, const TaskNotStarted &message, TimePoint now,
                           Outbox &out)
{
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr)
        return;
    const Try *attempt = findTry(place.job->tasks[place.index], from, message.attempt);
    if (attempt == nullptr || attempt->state == TryState::Running)
        return;
    removeTry(place, from, message.attempt);
    afterNoStart(place, Duration::zero(), now, out);
}

// Late binding: the first agent that offers a slot gets the task, under a new attempt number, so
// that no copy of an earlier request can start it anywhere.
void JobHome::onOffer(Incarnation from, const SlotOffer &message, TimePoint now, Outbox &out)
{
    const TaskPlace place = locate(message.ref);
    const auto decline = [&] { out.send(from, OfferDeclined{message.ref, message.attempt}); };
    if (place.job == nullptr || place.job->state != JobState::Running || place.job->deadline <= now)
        return decline();
    Task &task = place.job->tasks[place.index];
    Try *bound = boundTry(task);
    if (bound != nullptr && bound->agent == from && bound->isOfferReply) {
        if (bound->state == TryState::Sent && bound->attempt > message.attempt)
            sendCopy(place, *bound, now, out); // the offer was repeated
        return;
    }
    Try *held = findTry(task, from, message.attempt);
    // An offer for a request that is still unanswered stands for the lost TaskBusy.
    if (held == nullptr || held->state == TryState::Running || (bound != nullptr && bound != held))
        return decline();
    if (held->state == TryState::Reserved)
        --statsOf(place.job->spec.upstream).reserved;
    held->state = TryState::Sent;
    held->since = now;
    held->attempt = ++task.attempts;
    held->isOfferReply = true;
    held->copies = 0;
    held->undelivered = 0;
    m_parts.placement.taskSent(from);
    sendCopy(place, *held, now, out);
}

void JobHome::onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *cancel = std::get_if<CancelTask>(&message)) {
        const TaskPlace place = locate(cancel->ref);
        if (place.job == nullptr || place.job->state != JobState::GivingUp)
            return;
        // The executor that could prove that nothing started is gone.
        Task &task = place.job->tasks[place.index];
        task.mayHaveStarted = findTry(task, to, cancel->attempt) != nullptr || task.mayHaveStarted;
        return checkGivingUp(*place.job, now, out);
    }
    const auto *start = std::get_if<StartTask>(&message);
    const TaskPlace place = start == nullptr ? TaskPlace{} : locate(start->ref);
    if (place.job == nullptr)
        return;
    Try *attempt = findTry(place.job->tasks[place.index], to, start->attempt);
    if (attempt == nullptr)
        return;
    ++attempt->undelivered;
    if (attempt->undelivered < attempt->copies && attempt->state == TryState::Sent) {
        // Rule R6: an earlier copy may have arrived, and the executor that could tell is gone.
        removeTry(place, to, start->attempt);
        return taskFailed(place, to, "executor_lost", now, out);
    }
    if (attempt->state == TryState::Running)
        return;
    removeTry(place, to, start->attempt);
    place.job->tasks[place.index].excluded.push_back(to);
    afterNoStart(place, Duration::zero(), now, out);
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
        const MemberState *member = m_parts.ledger.member(agent);
        // One that has left in good order has first ended what it was running.
        if (member == nullptr || !member->hasLeft || member->isDown)
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

JobHome::TaskPlace JobHome::locate(const TaskRef &ref)
{
    Job *job = find(ref.key);
    if (job == nullptr || job->state == JobState::Answered || ref.index >= job->tasks.size())
        return {};
    return {job, ref.index};
}

JobHome::Try *JobHome::findTry(Task &task, Incarnation agent, std::uint32_t attempt)
{
    const auto isSame = [&](const Try &it) { return it.agent == agent && it.attempt == attempt; };
    const auto it = std::ranges::find_if(task.tries, isSame);
    return it == task.tries.end() ? nullptr : &*it;
}

JobHome::Try *JobHome::boundTry(Task &task)
{
    const auto isBound = [](const Try &it) { return it.state != TryState::Reserved; };
    const auto it = std::ranges::find_if(task.tries, isBound);
    return it == task.tries.end() ? nullptr : &*it;
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
    if (end == QueueEnd::Front)
        m_parts.admission.pushFront(std::move(queued));
    else
        m_parts.admission.push(std::move(queued), now);
}

void JobHome::placeQueued(TimePoint now, Outbox &out)
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
    const TaskNeeds &needs = job.spec.tasks[place.index].needs;
    std::vector<Incarnation> excluded = task.excluded;
    for (const Try &it : task.tries)
        excluded.push_back(it.agent);
    auto agent = m_parts.placement.chooseFree(upstream, needs, now, excluded);
    if (!agent && task.tries.size() < MaxReservations
        && statsOf(upstream).reserved < reservationLimit(upstream))
        agent = m_parts.placement.chooseForReservation(upstream, needs, now, excluded);
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

JobHome::Try JobHome::removeTry(TaskPlace place, Incarnation agent, std::uint32_t number)
{
    Task &task = place.job->tasks[place.index];
    Try *found = findTry(task, agent, number);
    Try removed = *found;
    task.tries.erase(task.tries.begin() + (found - task.tries.data()));
    if (removed.state == TryState::Reserved)
        --statsOf(place.job->spec.upstream).reserved;
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

// After one try is proved not to have started, nor to start later.
void JobHome::afterNoStart(TaskPlace place, Duration pause, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    if (job.state == JobState::GivingUp)
        return checkGivingUp(job, now, out);
    if (!task.tries.empty() || task.state != TaskState::Active)
        return;
    if (++task.bounces > BouncesWithoutPause) {
        const int doublings = std::min<int>(task.bounces - BouncesWithoutPause, 6);
        pause = std::max(pause, std::min(FirstBouncePause * (1 << doublings), LongestBouncePause));
    }
    requeue(place, pause, now);
    placeQueued(now, out);
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

void JobHome::taskCompleted(TaskPlace place, Incarnation agent, std::uint32_t attempt,
                            const TaskResult &result, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    UpstreamStats &stats = statsOf(job.spec.upstream);
    m_parts.health.succeeded(agent, result.runTime, now);
    updateWeight(agent, now);
    stats.budget.success();
    noteRunTime(stats, result.runTime);
    uncount(place, result.runTime);
    const auto isHere
        = [&](const Try &it) { return it.agent == agent && it.state == TryState::Running; };
    if (const auto it = std::ranges::find_if(task.tries, isHere); it != task.tries.end())
        removeTry(place, agent, it->attempt);
    releaseTries(place, true, out);
    if (task.token != 0) { // a lost attempt ended well while the task waited for another one
        m_parts.admission.remove(task.token);
        m_queued.erase(task.token);
        task.token = 0;
    }
    task.mayHaveStarted = true;
    task.state = TaskState::Completed;
    task.result = result;
    if (++job.completedTasks < job.tasks.size())
        return checkGivingUp(job, now, out);
    Answer answer{Outcome::Completed, {}, std::nullopt, {}};
    for (std::size_t n = 0; n < job.tasks.size(); ++n) {
        TaskResult &done = job.tasks[n].result;
        answer.tasks.push_back({job.spec.tasks[n].id, done.httpStatus, std::move(done.body)});
    }
    finish(job, std::move(answer), now, out);
}

// The task has started, or may have, and will bring no result from this agent.
void JobHome::taskFailed(TaskPlace place, Incarnation agent, const std::string &reason,
                         TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    task.mayHaveStarted = true;
    if (task.state != TaskState::Active)
        return;
    if (job.state == JobState::GivingUp)
        return checkGivingUp(job, now, out);
    if (job.spec.idempotent) {
        if (boundTry(task) != nullptr)
            return; // a hedge is still running
        if (task.retries < MaxRetries && statsOf(job.spec.upstream).budget.tryRetry()) {
            ++task.retries;
            task.excluded.push_back(agent);
            releaseTries(place, false, out);
            requeue(place, FirstBouncePause, now);
            return;
        }
    }
    task.state = TaskState::Failed;
    giveUp(job, reason, std::nullopt, now, out);
}

// Ends every try of the task, so that nothing of it starts later.
void JobHome::releaseTries(TaskPlace place, bool stopRunning, Outbox &out)
{
    const Job &job = *place.job;
    const TaskRef ref{job.spec.key, place.index};
    const std::vector<Try> tries = job.tasks[place.index].tries;
    for (const Try &it : tries) {
        if (it.state == TryState::Reserved)
            out.send(it.agent, OfferDeclined{ref, it.attempt});
        else if (it.state == TryState::Sent || stopRunning)
            out.send(it.agent, CancelTask{ref, it.attempt, job.epoch});
        removeTry(place, it.agent, it.attempt);
    }
}

void JobHome::releaseTasks(Job &job, Outbox &out)
{
    // Nobody waits for the results of a cancelled job. Otherwise running tasks of jobs that must
    // not be repeated go on, because stopping them half-way helps nobody.
    const bool stopRunning = job.giveUpReason == "cancelled" || job.spec.idempotent;
    for (std::uint16_t n = 0; n < job.tasks.size(); ++n) {
        Task &task = job.tasks[n];
        if (task.token != 0) {
            m_parts.admission.remove(task.token);
            m_queued.erase(task.token);
            task.token = 0;
        }
        releaseTries({&job, n}, stopRunning, out);
        uncount({&job, n}, std::nullopt);
    }
}

void JobHome::onTaskTimer(TaskPlace place, TimePoint now, Outbox &out)
{
    Job &job = *place.job;
    Task &task = job.tasks[place.index];
    if (task.state == TaskState::Queued && task.token == 0 && job.state == JobState::Running) {
        if (task.notBefore > now)
            return wakeAt(job, task.notBefore);
        queue(place, now, QueueEnd::Front);
        return placeQueued(now, out);
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

// Ends the job without a complete result. The answer is not_run only with the proof that no task
// started; it waits for that proof a bounded time.
void JobHome::giveUp(Job &job, const std::string &reason, std::optional<Duration> retryAfter,
                     TimePoint now, Outbox &out)
{
    if (job.state != JobState::Running)
        return;
    job.state = JobState::GivingUp;
    job.giveUpReason = reason;
    job.giveUpRetry = retryAfter;
    job.giveUpAt = now + ProofTime;
    for (std::uint16_t n = 0; n < job.tasks.size(); ++n) {
        Task &task = job.tasks[n];
        const std::vector<Try> tries = task.tries;
        for (const Try &it : tries) {
            if (it.state == TryState::Reserved) {
                out.send(it.agent, OfferDeclined{{job.spec.key, n}, it.attempt});
                removeTry({&job, n}, it.agent, it.attempt);
            }
        }
        for (Try &it : task.tries) {
            if (it.state == TryState::Sent)
                it.nextSend = now;
        }
    }
    wakeAt(job, job.giveUpAt);
    checkGivingUp(job, now, out);
    if (job.state != JobState::Answered) {
        for (std::uint16_t n = 0; n < job.tasks.size(); ++n)
            onTaskTimer({&job, n}, now, out);
    }
}

void JobHome::checkGivingUp(Job &job, TimePoint now, Outbox &out)
{
    if (job.state != JobState::GivingUp)
        return;
    if (std::ranges::any_of(job.tasks, &Task::mayHaveStarted))
        return finish(job, Answer{Outcome::Unknown, job.giveUpReason, std::nullopt, {}}, now, out);
    const auto isProved = [](const Task &task) { return task.tries.empty(); };
    if (std::ranges::all_of(job.tasks, isProved))
        finish(job, Answer{Outcome::NotRun, job.giveUpReason, job.giveUpRetry, {}}, now, out);
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
