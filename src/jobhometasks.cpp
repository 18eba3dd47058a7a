// Tasks at their home: messages of the executors, results, retries, and the end of a job.

#include "jobhome.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A task whose attempts keep ending without a start is queued again at once for the first
// NoStartsWithoutPause times, then after a pause that doubles from 2 * FirstRequeuePause up to
// LongestRequeuePause.
constexpr Duration FirstRequeuePause = 25ms;
constexpr Duration LongestRequeuePause = 1s;
constexpr std::uint16_t NoStartsWithoutPause = 2;

constexpr std::uint16_t MaxRetries = 3; // of one task of an idempotent job

// How long a job that is given up waits for the proof that no task of it has started.
constexpr Duration NoStartProofTimeout = 2s;

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
    const TaskHandle handle = locate(message.ref);
    if (handle.job == nullptr)
        return;
    Task &task = handle.job->tasks[handle.index];
    Attempt *attempt = findAttempt(task, from, message.attempt);
    if (attempt == nullptr || attempt->state == AttemptState::Running)
        return;
    task.mayHaveStarted = true;
    attempt->state = AttemptState::Running;
    attempt->since = now;
    attempt->nextSend = NeverTime;
    const std::vector<Attempt> attempts = task.liveAttempts;
    for (const Attempt &it : attempts) {
        if (it.state != AttemptState::Reserved)
            continue;
        out.send(it.agent, OfferDeclined{message.ref, it.number});
        removeAttempt(handle, it.agent, it.number);
    }
    const UpstreamStats &stats = statsOf(handle.job->spec.upstream);
    if (handle.job->spec.idempotent && stats.p95 > Duration::zero())
        armTimer(*handle.job, now + std::max(stats.p95, MinHedgeDelay));
    checkGivingUp(*handle.job, now, out);
}

void JobHome::onBusy(Incarnation from, const TaskBusy &message, TimePoint now, Outbox &out)
{
    const TaskHandle handle = locate(message.ref);
    if (handle.job == nullptr)
        return;
    Task &task = handle.job->tasks[handle.index];
    Attempt *attempt = findAttempt(task, from, message.attempt);
    if (attempt == nullptr || attempt->state != AttemptState::Sent)
        return;
    attempt->state = AttemptState::Reserved;
    attempt->since = now;
    attempt->nextSend = now + ReservationConfirmInterval;
    armTimer(*handle.job, attempt->nextSend);
    ++statsOf(handle.job->spec.upstream).reserved;
    m_deps.placement.reservationMade(from, flowOf(handle.job->spec));
    if (handle.job->state == JobState::GivingUp) {
        // The CancelTask that was sent for this attempt removes the reservation at the executor.
        removeAttempt(handle, from, message.attempt);
        return checkGivingUp(*handle.job, now, out);
    }
    placeTask(handle, now, out); // on an agent with a free slot, or for a second reservation
}

void JobHome::onRefused(Incarnation from, const TaskRefused &message, TimePoint now, Outbox &out)
{
    const TaskHandle handle = locate(message.ref);
    if (handle.job == nullptr)
        return;
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    const Attempt *attempt = findAttempt(task, from, message.attempt);
    if (attempt == nullptr || attempt->state == AttemptState::Running)
        return;
    removeAttempt(handle, from, message.attempt);
    if (message.reason == TaskRefusal::StaleEpoch) {
        // Another home has claimed the shard. The ledger will show the claim; until then every
        // executor that knows of it refuses this home's epoch.
        Epoch &fence = m_fenceEpochs[shardOf(job.spec.key).value];
        fence = std::max(fence, message.fence);
        return onAttemptNotStarted(handle, LongestRequeuePause, now, out);
    }
    if (message.reason == TaskRefusal::DeadlinePassed)
        return giveUp(job, "deadline", withJitter(job.spec.key, MinRetryAfter), now, out);
    const bool isLocal
        = message.reason != TaskRefusal::Tombstone; // a tombstone refuses only old attempt numbers
    if (isLocal)
        task.excluded.push_back(from);
    if (message.reason == TaskRefusal::CannotRun
        && !m_deps.placement.hasCapableAgent(job.spec.upstream, job.spec.tasks[handle.index].needs))
        return giveUp(job, "cannot_run", std::nullopt, now, out);
    onAttemptNotStarted(handle, Duration::zero(), now, out);
}

void JobHome::onDone(Incarnation from, const TaskDone &message, TimePoint now, Outbox &out)
{
    out.send(from, TaskDoneAck{message.ref, message.attempt});
    const TaskHandle handle = locate(message.ref);
    if (handle.job == nullptr) {
        // The first failure of a job that is not idempotent ends the job. The failures of its other
        // tasks still count, because otherwise only one task of each job would show a failing
        // worker.
        if (message.result.status == TaskStatus::Failed) {
            m_deps.health.recordFailure(from, now);
            updateWeight(from, now);
        }
        return;
    }
    Task &task = handle.job->tasks[handle.index];
    const Attempt *attempt = findAttempt(task, from, message.attempt);
    if (message.result.status == TaskStatus::Completed) {
        // A result is taken also from an attempt that counts as lost.
        if (task.state != TaskState::Completed && message.attempt <= task.lastAttempt
            && (attempt != nullptr || task.mayHaveStarted))
            taskCompleted(handle, from, message.attempt, message.result, now, out);
        return;
    }
    if (attempt == nullptr)
        return;
    if (message.result.status == TaskStatus::NotStarted) {
        removeAttempt(handle, from, message.attempt);
        task.excluded.push_back(from);
        if (task.liveAttempts.empty() && !task.hasUnprovenEnd)
            task.mayHaveStarted = false;
        return onAttemptNotStarted(handle, Duration::zero(), now, out);
    }
    removeAttempt(handle, from, message.attempt);
    m_deps.health.recordFailure(from, now);
    updateWeight(from, now);
    taskFailed(handle, from,
               message.result.status == TaskStatus::Failed ? "task_failed" : "task_lost", now, out);
}

void JobHome::onNotStarted(Incarnation from, const TaskNotStarted &message, TimePoint now,
                           Outbox &out)
{
    const TaskHandle handle = locate(message.ref);
    if (handle.job == nullptr)
        return;
    const Attempt *attempt = findAttempt(handle.job->tasks[handle.index], from, message.attempt);
    if (attempt == nullptr || attempt->state == AttemptState::Running)
        return;
    removeAttempt(handle, from, message.attempt);
    onAttemptNotStarted(handle, Duration::zero(), now, out);
}

// Late binding: of the agents that hold a reservation for the task, the first that offers a slot
// gets the task. The start has a new attempt number, so that no copy of an earlier request can
// start the task anywhere.
void JobHome::onOffer(Incarnation from, const SlotOffer &message, TimePoint now, Outbox &out)
{
    const TaskHandle handle = locate(message.ref);
    const auto decline = [&] { out.send(from, OfferDeclined{message.ref, message.attempt}); };
    if (handle.job == nullptr || handle.job->state != JobState::Running
        || handle.job->deadline <= now)
        return decline();
    Task &task = handle.job->tasks[handle.index];
    Attempt *unreserved = unreservedAttempt(task);
    if (unreserved != nullptr && unreserved->agent == from && unreserved->isOfferReply) {
        if (unreserved->state == AttemptState::Sent && unreserved->number > message.attempt)
            sendCopy(handle, *unreserved, now, out); // the agent repeated its offer
        return;
    }
    Attempt *held = findAttempt(task, from, message.attempt);
    // An offer for an attempt in state Sent shows that its TaskBusy was lost; the offer is
    // accepted.
    if (held == nullptr || held->state == AttemptState::Running
        || (unreserved != nullptr && unreserved != held))
        return decline();
    if (held->state == AttemptState::Reserved)
        reservationEnded(handle, from);
    held->state = AttemptState::Sent;
    held->since = now;
    held->number = ++task.lastAttempt;
    held->isOfferReply = true;
    held->copies = 0;
    held->undelivered = 0;
    m_deps.placement.taskSent(from);
    sendCopy(handle, *held, now, out);
}

void JobHome::onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *cancel = std::get_if<CancelTask>(&message)) {
        const TaskHandle handle = locate(cancel->ref);
        if (handle.job == nullptr || handle.job->state != JobState::GivingUp)
            return;
        // The executor is gone, and with it the only proof that the attempt did not start.
        Task &task = handle.job->tasks[handle.index];
        task.mayHaveStarted
            = findAttempt(task, to, cancel->attempt) != nullptr || task.mayHaveStarted;
        task.hasUnprovenEnd |= task.mayHaveStarted;
        return checkGivingUp(*handle.job, now, out);
    }
    const auto *start = std::get_if<StartTask>(&message);
    const TaskHandle handle = start == nullptr ? TaskHandle{} : locate(start->ref);
    if (handle.job == nullptr)
        return;
    Attempt *attempt = findAttempt(handle.job->tasks[handle.index], to, start->attempt);
    if (attempt == nullptr)
        return;
    ++attempt->undelivered;
    if (attempt->undelivered < attempt->copies && attempt->state == AttemptState::Sent) {
        // An attempt counts as not started only if no copy of its StartTask can have started it
        // (rule R6). Here an earlier copy may have arrived, and the executor that could tell is
        // gone.
        removeAttempt(handle, to, start->attempt);
        return taskFailed(handle, to, "executor_lost", now, out);
    }
    if (attempt->state == AttemptState::Running)
        return;
    removeAttempt(handle, to, start->attempt);
    handle.job->tasks[handle.index].excluded.push_back(to);
    onAttemptNotStarted(handle, Duration::zero(), now, out);
}

JobHome::TaskHandle JobHome::locate(const TaskRef &ref)
{
    Job *job = find(ref.key);
    if (job == nullptr || job->state == JobState::Answered || ref.index >= job->tasks.size())
        return {};
    return {job, ref.index};
}

JobHome::Attempt *JobHome::findAttempt(Task &task, Incarnation agent, std::uint32_t number)
{
    const auto isSame = [&](const Attempt &it) { return it.agent == agent && it.number == number; };
    const auto it = std::ranges::find_if(task.liveAttempts, isSame);
    return it == task.liveAttempts.end() ? nullptr : &*it;
}

JobHome::Attempt *JobHome::unreservedAttempt(Task &task)
{
    const auto isUnreserved = [](const Attempt &it) { return it.state != AttemptState::Reserved; };
    const auto it = std::ranges::find_if(task.liveAttempts, isUnreserved);
    return it == task.liveAttempts.end() ? nullptr : &*it;
}

// Called after an attempt was removed that is proved not to have started and never to start.
// Requeues the task if that was its last attempt.
void JobHome::onAttemptNotStarted(TaskHandle handle, Duration pause, TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    if (job.state == JobState::GivingUp)
        return checkGivingUp(job, now, out);
    if (!task.liveAttempts.empty() || task.state != TaskState::Active)
        return;
    if (++task.noStartCount > NoStartsWithoutPause) {
        const int doublings = std::min<int>(task.noStartCount - NoStartsWithoutPause, 6);
        pause
            = std::max(pause, std::min(FirstRequeuePause * (1 << doublings), LongestRequeuePause));
    }
    requeue(handle, pause, now);
    placeQueuedTasks(now, out);
}

void JobHome::taskCompleted(TaskHandle handle, Incarnation agent, std::uint32_t attempt,
                            const TaskResult &result, TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    UpstreamStats &stats = statsOf(job.spec.upstream);
    m_deps.health.recordSuccess(agent, result.runTime, now);
    updateWeight(agent, now);
    stats.budget.recordSuccess();
    addRunTime(stats, result.runTime);
    countAsEnded(handle, result.runTime);
    if (findAttempt(task, agent, attempt) != nullptr)
        removeAttempt(handle, agent, attempt);
    endAttempts(handle, true, out);
    if (task.token != 0) { // the result of a lost attempt, while the task was queued again
        m_deps.admission.remove(task.token);
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

// The task has started on this agent, or may have, and no result is expected from there. A task of
// an idempotent job is retried up to MaxRetries times while the retry budget allows it; otherwise
// the job is given up.
void JobHome::taskFailed(TaskHandle handle, Incarnation agent, const std::string &reason,
                         TimePoint now, Outbox &out)
{
    Job &job = *handle.job;
    Task &task = job.tasks[handle.index];
    task.mayHaveStarted = task.hasUnprovenEnd = true;
    if (task.state != TaskState::Active)
        return;
    if (job.state == JobState::GivingUp)
        return checkGivingUp(job, now, out);
    if (job.spec.idempotent) {
        if (unreservedAttempt(task) != nullptr)
            return; // another copy of the task is still running
        if (task.retries < MaxRetries && statsOf(job.spec.upstream).budget.trySpend()) {
            ++task.retries;
            task.excluded.push_back(agent);
            endAttempts(handle, false, out);
            requeue(handle, FirstRequeuePause, now);
            return;
        }
    }
    task.state = TaskState::Failed;
    giveUp(job, reason, std::nullopt, now, out);
}

// Ends every live attempt of the task, so that none starts later. An attempt in state Running is
// stopped only with `stopRunning`.
void JobHome::endAttempts(TaskHandle handle, bool stopRunning, Outbox &out)
{
    const Job &job = *handle.job;
    const TaskRef ref{job.spec.key, handle.index};
    const std::vector<Attempt> attempts = job.tasks[handle.index].liveAttempts;
    for (const Attempt &it : attempts) {
        if (it.state == AttemptState::Reserved)
            out.send(it.agent, OfferDeclined{ref, it.number});
        else if (it.state == AttemptState::Sent || stopRunning)
            out.send(it.agent, CancelTask{ref, it.number, job.epoch});
        removeAttempt(handle, it.agent, it.number);
    }
}

// Removes the tasks of the job from Admission and ends their attempts.
void JobHome::releaseTasks(Job &job, Outbox &out)
{
    // Nobody waits for the results of a cancelled job, and an idempotent task can be run again.
    // Other running tasks go on, because stopping them half-way helps nobody.
    const bool stopRunning = job.giveUpReason == "cancelled" || job.spec.idempotent;
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
        Task &task = job.tasks[n];
        if (task.token != 0) {
            m_deps.admission.remove(task.token);
            m_queued.erase(task.token);
            task.token = 0;
        }
        endAttempts({&job, n}, stopRunning, out);
        countAsEnded({&job, n}, std::nullopt);
    }
}

// Gives the job up. Its answer is not_run only with the proof that no task has started; the job
// waits for that proof for up to NoStartProofTimeout, and without it the answer is unknown. A
// result that arrives during the wait still completes a job of one task.
void JobHome::giveUp(Job &job, const std::string &reason, std::optional<Duration> retryAfter,
                     TimePoint now, Outbox &out)
{
    if (job.state != JobState::Running)
        return;
    job.state = JobState::GivingUp;
    job.giveUpReason = reason;
    job.giveUpRetry = retryAfter;
    job.giveUpAt = now + NoStartProofTimeout;
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
        Task &task = job.tasks[n];
        const std::vector<Attempt> attempts = task.liveAttempts;
        for (const Attempt &it : attempts) {
            if (it.state == AttemptState::Reserved) {
                out.send(it.agent, OfferDeclined{{job.spec.key, n}, it.number});
                removeAttempt({&job, n}, it.agent, it.number);
            }
        }
        for (Attempt &it : task.liveAttempts) {
            if (it.state == AttemptState::Sent)
                it.nextSend = now;
        }
    }
    armTimer(job, job.giveUpAt);
    checkGivingUp(job, now, out);
    if (job.state != JobState::Answered) {
        for (std::uint16_t n = 0; n < job.taskCount; ++n)
            onTaskTimer({&job, n}, now, out);
    }
}

// Answers a job that is given up once a task may have started, or once it is proved that none has
// and none will.
void JobHome::checkGivingUp(Job &job, TimePoint now, Outbox &out)
{
    if (job.state != JobState::GivingUp)
        return;
    if (std::ranges::any_of(job.tasks, &Task::mayHaveStarted))
        return finish(job, unknown(job.giveUpReason), now, out);
    const auto isProved = [](const Task &task) { return task.liveAttempts.empty(); };
    if (std::ranges::all_of(job.tasks, isProved))
        finish(job, notRun(job.giveUpReason, job.giveUpRetry), now, out);
}

} // namespace cactuscove
