// Calls of the task runner to its workers: starts, stops and lists of runs.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Calls go to the same machine. Without an answer by then they are sent again on another
// connection, which is harmless at the worker; the first call may still be answered.
constexpr Duration FirstRetry = 12ms;
constexpr Duration LongestRetry = 48ms;
constexpr Duration AnswerPatience = 300ms; // then a call has no answer
constexpr Duration HoldSlack = 16ms;       // on top of the wait of a hold
constexpr int MaxHoldBackOff = 5;          // times as long after unanswered holds
constexpr Duration BusyHoldWait = 30ms;    // an end whose answer is lost is seen this much later
constexpr Duration IdleHoldWait = 400ms;
constexpr Duration RetryPause = 20ms; // after a call that could not be sent
constexpr Duration UnhealthyPause = 200ms;
// The worker's clock may be 2% slow; the rest is for calls under way.
constexpr Duration LeaseSlack = 60ms;
constexpr Duration MinElapsed = 15ms;      // until the progress of a run tells anything
constexpr std::size_t MaxListedEnds = 500; // of one reply; a longer list continues in the next

Duration retryPause(int callsBefore)
{
    return std::min(FirstRetry * (1 << std::min(callsBefore, 2)), LongestRetry);
}

} // namespace

WorkerCallId TaskRunner::newCall(OpenCall call)
{
    const WorkerCallId id{++m_lastCall};
    m_calls.emplace(id, std::move(call));
    return id;
}

TaskRunner::Worker *TaskRunner::endCall(WorkerCallId call, bool isOtherLife, OpenCall &about,
                                        TimePoint now, RunnerOutbox &out)
{
    auto node = m_calls.extract(call);
    Worker *worker = node.empty() ? nullptr : findWorker(node.mapped().worker);
    if (!worker)
        return nullptr;
    about = std::move(node.mapped());
    if (!isOtherLife)
        return worker;
    onWorkerLeft(about.worker, now, out);
    return nullptr;
}

template <typename Reply>
TaskRunner::Worker *TaskRunner::endOrder(WorkerCallId call, const Reply &reply, OpenCall &about,
                                         TimePoint now, RunnerOutbox &out)
{
    enter(now, out);
    const bool isOtherLife = reply.answer == decltype(reply.answer)::OtherProcess;
    Worker *worker = endCall(call, isOtherLife, about, now, out);
    if (worker && reply.clock)
        hear(*worker, *reply.clock, now);
    return worker;
}

TaskRunner::Task *TaskRunner::findTask(Worker &worker, const OpenCall &call)
{
    const auto it = worker.tasks.find(call.task);
    const bool isSame = it != worker.tasks.end() && it->second.state != State::Queued
                        && it->second.assignment.attempt == call.attempt;
    return isSame ? &it->second : nullptr;
}

void TaskRunner::hear(Worker &worker, WorkerClock clock, TimePoint now)
{
    worker.heardAt = now;
    if (clock < worker.clock)
        return; // answers on different connections may overtake each other
    worker.clock = clock;
    worker.clockAt = now;
}

WorkerClock TaskRunner::workerTime(const Worker &worker, TimePoint at) const
{
    return WorkerClock{worker.clock.value + toWholeMs(at - worker.clockAt)};
}

// Starts and stops

void TaskRunner::sendStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.state = State::Starting;
    task.retryAt = now + retryPause(task.startCalls++);
    worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.startWindow + LeaseSlack);
    out.emplace_back(
        StartRun{newCall({worker.info.id, it.task, it.attempt, now}), worker.info.id,
                 worker.info.address, it.task, it.attempt, it.payload,
                 WorkerClock{workerTime(worker, now).value + toWholeMs(m_settings.startWindow)},
                 AnswerPatience});
}

void TaskRunner::sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.retryAt = now + retryPause(task.stopCalls++);
    out.emplace_back(stopOrder(worker, it.task, it.attempt, now));
}

StopRun TaskRunner::stopOrder(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                              TimePoint now)
{
    return {newCall({worker.info.id, task, attempt, now}),
            worker.info.id,
            worker.info.address,
            task,
            attempt,
            AnswerPatience};
}

void TaskRunner::stopTask(Worker &worker, Task &task, std::string_view reason, TimePoint now,
                          RunnerOutbox &out)
{
    if (task.state == State::Stopping)
        return;
    const auto entry = m_entries.find(task.entry);
    const Duration heardAgo
        = entry == m_entries.end() ? Duration::max() : now - entry->second.heardAt;
    out.emplace_back(LogEvent{Severity::Info,
                              "task_stopping",
                              {{"job", task.assignment.task.jobId},
                               {"task", std::to_string(task.assignment.task.index)},
                               {"attempt", std::to_string(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"reason", std::string(reason)},
                               {"ran_ms", toMsString(now - task.sentAt)},
                               {"entry_heard_ms", toMsString(heardAgo)}}});
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
            out.emplace_back(LogEvent{Severity::Info,
                                      "orphan_stopping",
                                      {{"job", it.task.jobId},
                                       {"task", std::to_string(it.task.index)},
                                       {"attempt", std::to_string(it.attempt)},
                                       {"worker", worker.info.id}}});
        it.retryAt = now + LongestRetry;
        out.emplace_back(stopOrder(worker, it.task, it.attempt, now));
    }
}

// Ties go to the one that arrived first.
std::pair<TimePoint, std::uint64_t> TaskRunner::orderOf(const Task &task)
{
    return {task.assignment.schedulingKey, task.arrival};
}

void TaskRunner::startQueued(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (!worker.isSynced || worker.info.isDraining || !worker.orphans.empty() || !m_mayStart
        || now < worker.unhealthyUntil || worker.isUnresponsive)
        return;
    Resources room = worker.info.capacity - used(worker);
    while (true) {
        Task *best = nullptr;
        for (auto &[id, task] : worker.tasks) {
            if (task.state != State::Queued)
                continue;
            if (!best || orderOf(task) < orderOf(*best))
                best = &task;
        }
        // Only the first in order may start: smaller tasks behind it must not starve it.
        if (!best || !best->assignment.needs.fitsIn(room))
            return;
        room -= best->assignment.needs;
        best->sentAt = now;
        sendStart(worker, *best, now, out);
    }
}

void TaskRunner::markRunning(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.ranForSure)
        return;
    task.ranForSure = true;
    task.startedAt = now;
    if (task.state != State::Starting)
        return;
    task.state = State::Running;
    task.retryAt = NeverTime;
    worker.unhealthyUntil = TimePoint{};
    out.emplace_back(
        SendToEntry{task.entry, TaskStarted{task.assignment.task, task.assignment.attempt}});
}

void TaskRunner::onStartReply(WorkerCallId call, const StartReply &reply, TimePoint now,
                              RunnerOutbox &out)
{
    OpenCall about;
    Worker *worker = endOrder(call, reply, about, now, out);
    if (!worker)
        return;
    Task *task = findTask(*worker, about);
    if (task && reply.answer == StartAnswer::Accepted)
        markRunning(*worker, *task, now, out);
    else if (task && task->state == State::Starting)
        onStartFailed(*worker, *task, reply.answer, now, out);
}

// While another start of the attempt may still be carried out, only a stop proves that it does not
// run.
void TaskRunner::onStartFailed(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                               RunnerOutbox &out)
{
    if (answer == StartAnswer::NoAnswer)
        return; // sent again in its time
    const bool isProof = task.startCalls == 1;
    if (answer == StartAnswer::OldAttempt && !isProof) {
        // An unanswered start was carried out and has ended: the next list of ends tells how.
        task.state = State::Stopping;
        task.stopAcknowledged = true;
        task.stopAcknowledgedAt = now;
        task.retryAt = NeverTime;
        return;
    }
    const bool isLate = answer == StartAnswer::Late;
    const bool isOld = answer == StartAnswer::OldAttempt;
    if (!isLate && !isOld)
        worker.unhealthyUntil
            = now + (answer == StartAnswer::NotSent ? RetryPause : UnhealthyPause);
    if (!isProof)
        return stopTask(worker, task, "start_unclear", now, out);
    const StartRefusal reason = isLate  ? StartRefusal::Expired
                                : isOld ? StartRefusal::OldAttempt
                                        : StartRefusal::Unhealthy;
    refuseTask(worker, worker.tasks.find(task.assignment.task), reason, out);
}

void TaskRunner::onStopReply(WorkerCallId call, const StopReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    OpenCall about;
    Worker *worker = endOrder(call, reply, about, now, out);
    if (!worker)
        return;
    if (reply.answer != CallAnswer::Ok)
        return; // sent again in its time
    Task *task = findTask(*worker, about);
    if (task && task->state == State::Stopping && !task->stopAcknowledged) {
        task->stopAcknowledged = true;
        task->stopAcknowledgedAt = now;
        task->retryAt = NeverTime;
    }
    for (Orphan &it : worker->orphans)
        it.stopAcknowledged |= it.task == about.task && it.attempt == about.attempt;
}

// Lists of what runs and what has ended

void TaskRunner::sendHold(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    const bool isBusy = !worker.tasks.empty() || !worker.orphans.empty();
    PollRuns hold;
    hold.call = worker.hold = newCall({worker.info.id, {}, 0, now});
    hold.worker = worker.info.id;
    hold.address = worker.info.address;
    hold.acknowledged = worker.acknowledged;
    hold.wait = !worker.isSynced || worker.holdsUnanswered > 0 ? Duration{}
                : isBusy                                       ? BusyHoldWait
                                                               : IdleHoldWait;
    worker.nextHoldAt
        = now + hold.wait + HoldSlack * (1 + std::min(worker.holdsUnanswered, MaxHoldBackOff));
    hold.timeout = hold.wait + AnswerPatience;
    // Orphans are stopped, so their lease is not renewed. A worker that does not answer gets no
    // renewal that could be carried out late.
    if (worker.isSynced && worker.orphans.empty() && !worker.isUnresponsive) {
        hold.leaseUntil
            = WorkerClock{workerTime(worker, now).value + toWholeMs(m_settings.leaseTime)};
        worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.leaseTime
                                                        + m_settings.leaseTime / 50 + LeaseSlack);
    }
    out.emplace_back(std::move(hold));
}

void TaskRunner::onPollReply(WorkerCallId call, const PollReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    enter(now, out);
    OpenCall about;
    Worker *worker = endCall(call, reply.answer == CallAnswer::OtherProcess, about, now, out);
    if (!worker)
        return;
    const bool isNewest = worker->hold == call;
    if (isNewest)
        worker->hold = {};
    if (reply.answer != CallAnswer::Ok) {
        if (isNewest)
            noteUnanswered(*worker, now, out);
        if (isNewest && reply.answer == CallAnswer::NotSent)
            worker->nextHoldAt = now + RetryPause;
        return;
    }
    // The worker restarted under its id; its heartbeat with the new birth follows.
    if (reply.startedAtUnixMs != 0 && reply.startedAtUnixMs != worker->info.startedAtUnixMs)
        return onWorkerLeft(std::string(worker->info.id), now, out);
    if (std::exchange(worker->isUnresponsive, false)) {
        out.emplace_back(LogEvent{
            Severity::Info,
            "worker_responsive",
            {{"worker", worker->info.id}, {"listed_ms", toMsString(now - worker->listedAt)}}});
        ++m_loadVersion;
    }
    worker->holdsUnanswered = 0;
    worker->listedAt = now;
    if (isNewest)
        worker->nextHoldAt = now;
    const bool isOvertaken = reply.clock < worker->clock && worker->isSynced;
    hear(*worker, reply.clock, now);
    if (!isOvertaken)
        applyLists(*worker, reply, about.sentAt, now, out);
}

void TaskRunner::applyLists(Worker &worker, const PollReply &reply, TimePoint askedAt,
                            TimePoint now, RunnerOutbox &out)
{
    const bool wasClean = worker.orphans.empty();
    for (const EndedRun &end : reply.ended) {
        if (end.number <= worker.acknowledged)
            continue;
        worker.acknowledged = end.number;
        std::erase_if(worker.orphans, [&](const Orphan &it) {
            return it.task == end.task && it.attempt <= end.attempt;
        });
        const auto it = worker.tasks.find(end.task);
        if (it != worker.tasks.end() && it->second.assignment.attempt == end.attempt
            && it->second.state != State::Queued)
            endTask(worker, it, end.end, now, out);
    }
    for (const ActiveRun &run : reply.active) {
        const auto it = worker.tasks.find(run.task);
        if (it != worker.tasks.end() && it->second.assignment.attempt == run.attempt) {
            markRunning(worker, it->second, now, out);
            it->second.percent = run.percent;
            it->second.percentAt = now;
            continue;
        }
        const bool isKnown
            = std::any_of(worker.orphans.begin(), worker.orphans.end(), [&](const Orphan &orphan) {
                  return orphan.task == run.task && orphan.attempt == run.attempt;
              });
        if (!isKnown)
            worker.orphans.push_back({run.task, run.attempt, false, {}});
    }
    const auto isListed = [&](const TaskId &task, std::uint32_t attempt) {
        return std::any_of(reply.active.begin(), reply.active.end(), [&](const ActiveRun &it) {
            return it.task == task && it.attempt == attempt;
        });
    };
    std::erase_if(worker.orphans, [&](const Orphan &it) { return !isListed(it.task, it.attempt); });
    if (reply.ended.size() < MaxListedEnds) {
        std::vector<TaskId> missing;
        for (const auto &[id, task] : worker.tasks) {
            const bool wasThere = task.state == State::Running && task.startedAt < askedAt;
            const bool wasStopped = task.state == State::Stopping && task.stopAcknowledged
                                    && task.stopAcknowledgedAt < askedAt;
            if ((wasThere || wasStopped) && !isListed(id, task.assignment.attempt))
                missing.push_back(id);
        }
        for (const TaskId &id : missing) {
            const auto it = worker.tasks.find(id);
            if (it->second.ranForSure)
                endTask(worker, it, TaskEnd::Lost, now, out);
            else
                refuseTask(worker, it, StartRefusal::Withdrawn, out);
        }
    }
    const bool isClean = worker.orphans.empty();
    if (!worker.isSynced || wasClean != isClean)
        ++m_loadVersion;
    worker.isSynced = true;
    measureProgress(worker, now, out);
}

void TaskRunner::measureProgress(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    std::vector<RunProgress> progress;
    for (const auto &[id, task] : worker.tasks)
        if (task.state == State::Running && task.percentAt == now)
            progress.push_back(
                {id.jobId, now - task.startedAt, task.assignment.expectedRun, task.percent});
    const bool wasSlow = worker.marks.isRunningSlow();
    worker.marks.progressed(progress, now);
    const bool isSlow = worker.marks.isRunningSlow();
    if (isSlow != wasSlow)
        ++m_loadVersion;
    if (!isSlow)
        return;
    for (auto &[id, task] : worker.tasks) {
        if (task.state != State::Running || task.percentAt != now || task.isLateTold)
            continue;
        const Duration elapsed = now - task.startedAt;
        const Duration remaining = elapsed * (100 - task.percent) / std::max(task.percent, 1);
        if (elapsed < MinElapsed || now + remaining <= task.assignment.objectiveTime)
            continue;
        task.isLateTold = true;
        out.emplace_back(SendToEntry{task.entry, TaskLate{id, task.assignment.attempt, remaining}});
        out.emplace_back(LogEvent{
            Severity::Info,
            "task_late",
            {{"job", id.jobId},
             {"task", std::to_string(id.index)},
             {"attempt", std::to_string(task.assignment.attempt)},
             {"worker", worker.info.id},
             {"ran_ms", toMsString(elapsed)},
             {"percent", std::to_string(task.percent)},
             {"slowness_percent",
              std::to_string(static_cast<std::int64_t>(worker.marks.runningSlowness() * 100))}}});
    }
}

} // namespace cactuscove
