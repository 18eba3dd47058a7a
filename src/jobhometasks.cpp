// Tasks at their home: answers of the executors, results, retries, and the end of a job.

#include "jobhome.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration FirstBouncePause = 25ms;
constexpr Duration LongestBouncePause = 1s;
constexpr std::uint16_t BouncesWithoutPause = 2;

constexpr std::uint16_t MaxRetries = 3;

// How long a job that is given up waits for the proof that a sent task has not started.
constexpr Duration ProofTime = 2s;

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
    m_parts.placement.reserved(from, flowOf(place.job->spec));
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
        return giveUp(job, "deadline", spread(job.spec.key, ShortRetry), now, out);
    const bool isLocal
        = message.reason != TaskRefusal::Tombstone; // which only refuses an old attempt number
    if (isLocal)
        task.excluded.push_back(from);
    if (message.reason == TaskRefusal::CannotRun
        && !m_parts.placement.hasCapableAgent(job.spec.upstream, job.spec.tasks[place.index].needs))
        return giveUp(job, "cannot_run", std::nullopt, now, out);
    afterNoStart(place, Duration::zero(), now, out);
}

void JobHome::onDone(Incarnation from, const TaskDone &message, TimePoint now, Outbox &out)
{
    out.send(from, TaskDoneAck{message.ref, message.attempt});
    const TaskPlace place = locate(message.ref);
    if (place.job == nullptr) {
        // The first failure of a job that must not be repeated ends it. The failures of its other
        // tasks still count, or a failing worker would be noticed by one task of each job only.
        if (message.result.status == TaskStatus::Failed) {
            m_parts.health.failed(from, now);
            updateWeight(from, now);
        }
        return;
    }
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
        reservationEnded(place, from);
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
    placeQueuedTasks(now, out);
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
    if (findTry(task, agent, attempt) != nullptr)
        removeTry(place, agent, attempt);
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
        if (task.retries < MaxRetries && statsOf(job.spec.upstream).budget.trySpend()) {
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
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
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
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
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
        for (std::uint16_t n = 0; n < job.taskCount; ++n)
            onTaskTimer({&job, n}, now, out);
    }
}

void JobHome::checkGivingUp(Job &job, TimePoint now, Outbox &out)
{
    if (job.state != JobState::GivingUp)
        return;
    if (std::ranges::any_of(job.tasks, &Task::mayHaveStarted))
        return finish(job, unknown(job.giveUpReason), now, out);
    const auto isProved = [](const Task &task) { return task.tries.empty(); };
    if (std::ranges::all_of(job.tasks, isProved))
        finish(job, notRun(job.giveUpReason, job.giveUpRetry), now, out);
}

} // namespace cactuscove
