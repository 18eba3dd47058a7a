// Calls of the task runner to its workers: starts and stops, and their replies.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// The workers are on the same machine, so replies are fast. A call without a reply after this time
// is sent again on another connection; the worker handles repeats safely, and the first call may
// still be answered.
constexpr Duration MinRetryDelay = 12ms;
constexpr Duration MaxRetryDelay = 48ms;
constexpr Duration UnhealthyPause = 200ms; // without starts after a worker refused one

// Doubles with each call, up to MaxRetryDelay.
Duration retryDelay(int callsBefore)
{
    return std::min(MinRetryDelay * (1 << std::min(callsBefore, 2)), MaxRetryDelay);
}

} // namespace

WorkerCallId TaskRunner::registerCall(const Worker &worker, const TaskId &task,
                                      std::uint32_t attempt, std::uint64_t arrivalNumber,
                                      TimePoint now)
{
    const WorkerCallId id{++m_lastCall};
    m_calls.emplace(
        id, PendingCall{
                worker.info.id, task, attempt, arrivalNumber, {now, worker.process, worker.clock}});
    return id;
}

TaskRunner::Worker *TaskRunner::endCall(WorkerCallId call, bool isOtherProcess,
                                        PendingCall &endedCall, TimePoint now, RunnerOutbox &out)
{
    auto node = m_calls.extract(call);
    Worker *worker = node.empty() ? nullptr : findWorker(node.mapped().workerId);
    if (!worker)
        return nullptr;
    endedCall = std::move(node.mapped());
    if (!isOtherProcess)
        return worker;
    replaceWorker(*worker, now, out);
    return nullptr;
}

template <typename Reply>
TaskRunner::Worker *TaskRunner::endStartOrStop(WorkerCallId call, const Reply &reply,
                                               PendingCall &endedCall, bool &isFromKnownProcess,
                                               TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    const bool isOtherProcess = reply.answer == decltype(reply.answer)::OtherProcess;
    Worker *worker = endCall(call, isOtherProcess, endedCall, now, out);
    isFromKnownProcess
        = worker && reply.clock && identifyByClock(*worker, endedCall, *reply.clock, now, out);
    return worker;
}

TaskRunner::Task *TaskRunner::findTask(Worker &worker, const PendingCall &call)
{
    const auto it = worker.tasks.find(call.task);
    const bool isSame = it != worker.tasks.end() && it->second.state != State::Queued
                        && it->second.arrivalNumber == call.arrivalNumber;
    return isSame ? &it->second : nullptr;
}

WorkerClock TaskRunner::workerClockAt(const Worker &worker, TimePoint at) const
{
    return WorkerClock{worker.clock.value + toWholeMs(at - worker.clockAt)};
}

// Starts and stops

void TaskRunner::sendStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.state = State::Starting;
    task.retryAt = now + retryDelay(task.starts.sent);
    worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.startWindow + LeaseMargin);
    task.starts.addSent(now);
    out.emplace_back(
        StartRun{registerCall(worker, it.task, it.attempt, task.arrivalNumber, now), worker.info.id,
                 worker.info.address, it.task, it.attempt, it.payload,
                 WorkerClock{workerClockAt(worker, now).value + toWholeMs(m_settings.startWindow)},
                 CallTimeout});
}

void TaskRunner::sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.retryAt = now + retryDelay(task.stopCalls++);
    out.emplace_back(makeStop(worker, it.task, it.attempt, task.arrivalNumber, now));
}

StopRun TaskRunner::makeStop(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                             std::uint64_t arrivalNumber, TimePoint now)
{
    return {registerCall(worker, task, attempt, arrivalNumber, now),
            worker.info.id,
            worker.info.address,
            task,
            attempt,
            CallTimeout};
}

void TaskRunner::stopTask(Worker &worker, Task &task, std::string_view reason, TimePoint now,
                          RunnerOutbox &out)
{
    if (task.state == State::Stopping)
        return;
    const auto entry = m_entries.find(task.entry);
    const Duration heardAgo
        = entry == m_entries.end() ? Duration::max() : now - entry->second.heardAt;
    out.emplace_back(taskEvent("task_stopping", task.assignment.task, task.assignment.attempt,
                               worker.info.id,
                               {{"reason", std::string(reason)},
                                {"ran_ms", toMsString(now - task.firstSentAt)},
                                {"entry_heard_ms", toMsString(heardAgo)}}));
    task.state = State::Stopping;
    task.stopAcknowledged = false;
    sendStop(worker, task, now, out);
}

void TaskRunner::stopOrphans(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    for (Orphan &it : worker.orphans) {
        if (it.stopAcknowledged || now < it.retryAt)
            continue;
        if (it.retryAt == TimePoint{})
            out.emplace_back(taskEvent("orphan_stopping", it.task, it.attempt, worker.info.id));
        it.retryAt = now + MaxRetryDelay;
        out.emplace_back(makeStop(worker, it.task, it.attempt, 0, now));
    }
}

// A task that runs alone comes first, as nothing starts before it has ended. Ties go to the task
// that was assigned first.
TaskRunner::SchedulingOrder TaskRunner::schedulingOrderOf(const Task &task)
{
    return {!task.assignment.runsAlone, task.assignment.schedulingKey, task.arrivalNumber};
}

void TaskRunner::startQueued(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (!worker.hasFinalList || isDraining(worker) || !worker.orphans.empty() || !m_startsAllowed
        || now < worker.unhealthyUntil || worker.isUnresponsive || isDescriptionOld(worker, now))
        return;
    Resources freeResources = worker.info.capacity - usedResources(worker);
    while (true) {
        Task *best = nullptr;
        for (auto &[id, task] : worker.tasks)
            if (task.state == State::Queued
                && (!best || schedulingOrderOf(task) < schedulingOrderOf(*best)))
                best = &task;
        // Only the first in order may start: smaller tasks behind it must not keep it waiting for
        // ever.
        if (!best || !best->assignment.needs.fitsIn(freeResources) || isKeptApart(worker, *best))
            return;
        freeResources -= best->assignment.needs;
        best->firstSentAt = now;
        sendStart(worker, *best, now, out);
        if (best->assignment.runsAlone || best->assignment.isDistrusted)
            pollSoon(worker, now);
    }
}

bool TaskRunner::isKeptApart(const Worker &worker, const Task &task)
{
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto &it) {
        return it.second.state != State::Queued && it.first.jobId != task.assignment.task.jobId
               && (it.second.assignment.runsAlone || task.assignment.runsAlone);
    });
}

void TaskRunner::markRunning(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.starts.isConfirmed)
        return;
    task.starts.isConfirmed = true;
    task.startedAt = now;
    if (task.state != State::Starting)
        return;
    task.state = State::Running;
    task.retryAt = NeverTime;
    worker.unhealthyUntil = TimePoint{};
    out.emplace_back(
        SendToEntry{task.entry, TaskStarted{task.assignment.task, task.assignment.attempt,
                                            task.starts.unanswered > 0}});
}

void TaskRunner::addDeclinedStart(WorkerCallId call, TimePoint now, RunnerOutbox &out)
{
    const auto it = m_calls.find(call);
    Worker *worker = it == m_calls.end() ? nullptr : findWorker(it->second.workerId);
    Task *task = worker ? findTask(*worker, it->second) : nullptr;
    if (!task)
        return;
    task->starts.addAnswer();
    withdrawOpenStart(*worker, *task, now, out);
}

void TaskRunner::onStartReply(WorkerCallId call, const StartReply &reply, TimePoint now,
                              RunnerOutbox &out)
{
    PendingCall endedCall;
    bool isFromKnownProcess = false;
    if (reply.answer != StartAnswer::NoAnswer && reply.answer != StartAnswer::Accepted)
        addDeclinedStart(call, now, out);
    Worker *worker = endStartOrStop(call, reply, endedCall, isFromKnownProcess, now, out);
    if (!worker)
        return;
    if (reply.answer == StartAnswer::Refused)
        onRefused(*worker, endedCall, now, out);
    Task *task = findTask(*worker, endedCall); // onRefused() may have ended it
    if (task && reply.answer == StartAnswer::Accepted) {
        task->starts.addAnswer();
        withdrawOpenStart(*worker, *task, now, out);
        task->starts.isInKnownProcess |= isFromKnownProcess;
        markRunning(*worker, *task, now, out);
    } else if (task) {
        onStartDeclined(*worker, *task, reply.answer, now, out);
    }
}

void TaskRunner::onStartDeclined(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                                 RunnerOutbox &out)
{
    const bool isLate = answer == StartAnswer::Late;
    const bool isOld = answer == StartAnswer::OldAttempt;
    const bool isStarting = task.state == State::Starting;
    if (answer != StartAnswer::NoAnswer && isStarting && !isLate && !isOld)
        worker.unhealthyUntil = now + (isUndelivered(answer) ? NotSentRetryDelay : UnhealthyPause);
    if (const auto proof = NeverStarted::prove(task.starts)) {
        const StartRefusal reason = !isStarting ? StartRefusal::Withdrawn
                                    : isLate    ? StartRefusal::Expired
                                    : isOld     ? StartRefusal::OldAttempt
                                                : StartRefusal::Unhealthy;
        refuseTask(worker, worker.tasks.find(task.assignment.task), *proof, reason, out);
    } else if (isStarting) {
        onStartUnclear(worker, task, answer, now, out);
    }
}

// If another start of the attempt may still be carried out, only a stop makes sure that it does not
// run.
void TaskRunner::onStartUnclear(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                                RunnerOutbox &out)
{
    if (answer == StartAnswer::NoAnswer) {
        if (task.isCarriedOver)
            task.retryAt = now; // to be stopped
        return;                 // sent again at retryAt
    }
    if (answer != StartAnswer::OldAttempt)
        return stopTask(worker, task, "start_unclear", now, out);
    // An unanswered start was carried out and its run has ended; the next list of ends will show
    // how.
    task.state = State::Stopping;
    task.stopAcknowledged = true;
    task.stopAcknowledgedAt = now;
    task.retryAt = NeverTime;
}

void TaskRunner::onStopReply(WorkerCallId call, const StopReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    PendingCall endedCall;
    bool isFromKnownProcess = false;
    Worker *worker = endStartOrStop(call, reply, endedCall, isFromKnownProcess, now, out);
    if (!worker)
        return;
    if (reply.answer != CallAnswer::Ok || endedCall.context.process != worker->process)
        return; // sent again at retryAt
    Task *task = findTask(*worker, endedCall);
    if (task && task->state == State::Stopping && !task->stopAcknowledged) {
        task->stopAcknowledged = true;
        task->stopAcknowledgedAt = now;
        task->retryAt = NeverTime;
    }
    for (Orphan &it : worker->orphans) {
        if (it.stopAcknowledged || it.task != endedCall.task || it.attempt != endedCall.attempt)
            continue;
        it.stopAcknowledged = true;
        it.stopAcknowledgedAt = now;
    }
}

} // namespace cactuscove
