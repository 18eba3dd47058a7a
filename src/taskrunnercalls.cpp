// Calls of the task runner to its workers: starts, stops and polls, and their replies.

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
// A call without a reply for this long counts as unanswered.
constexpr Duration CallTimeout = 300ms;
// The next poll is sent this long after the longest time that the worker may hold back its reply.
constexpr Duration PollMargin = 16ms;
// After unanswered polls PollMargin is multiplied by 1 plus their number, at most by 1 plus this.
constexpr int MaxPollBackOff = 5;
// How long a worker may hold back its reply to a poll while it has tasks, and while it has none. If
// the reply with an end is lost, the end is seen later by the first of these.
constexpr Duration BusyPollWait = 30ms;
constexpr Duration IdlePollWait = 400ms;
constexpr Duration NotSentRetryDelay = 20ms; // after a call that could not be delivered
constexpr Duration UnhealthyPause = 200ms;   // without starts after a worker refused one
// Added to the end of a lease or a start window, for calls that are under way. For a start window
// it also covers the worker's clock, which may be 2% slow; for a lease sendPoll() adds the 2%.
constexpr Duration LeaseMargin = 60ms;
constexpr Duration MinProgressTime = 15ms; // the progress of a shorter run is too inexact
// No run of an earlier process is added while this many ended tasks are listed. More than run at
// once on a worker.
constexpr std::size_t MaxEarlierRuns = 100;
// Largest number of ends in one reply; a longer list continues in the next reply.
constexpr std::size_t MaxListedEnds = 500;

// Doubles with each call, up to MaxRetryDelay.
Duration retryDelay(int callsBefore)
{
    return std::min(MinRetryDelay * (1 << std::min(callsBefore, 2)), MaxRetryDelay);
}

} // namespace

bool PollReply::isActive(const TaskId &task, std::uint32_t attempt) const
{
    return std::any_of(active.begin(), active.end(), [&](const ActiveRun &it) {
        return it.task == task && it.attempt == attempt;
    });
}

Duration TaskRunner::longestLease() const
{
    return m_settings.maxLeaseTime + m_settings.maxLeaseTime / 50 + LeaseMargin;
}

WorkerCallId TaskRunner::registerCall(const Worker &worker, const TaskId &task,
                                      std::uint32_t attempt, TimePoint now)
{
    const WorkerCallId id{++m_lastCall};
    m_calls.emplace(
        id, PendingCall{worker.info.id, task, attempt, {now, worker.process, worker.clock}});
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
                        && it->second.assignment.attempt == call.attempt;
    return isSame ? &it->second : nullptr;
}

bool TaskRunner::identifyByClock(Worker &worker, const PendingCall &call, WorkerClock clock,
                                 TimePoint now, RunnerOutbox &out)
{
    if (call.context.process != worker.process)
        return false;
    if (call.context.sentAt >= worker.refusingSince)
        worker.refusingSince = NeverTime;
    const ReplySource source = sourceOf(clock, call.context, worker.aliveAt, now);
    if (source == ReplySource::NextProcess) {
        beginWorkerProcess(worker, std::nullopt, now, out);
        out.emplace_back(
            LogEvent{Severity::Warning,
                     "worker_restarted",
                     {{"worker", worker.info.id},
                      {"clock_ms", std::to_string(clock.value)},
                      {"previous_clock_ms", std::to_string(call.context.clock.value)}}});
    }
    updateClock(worker, clock, now);
    if (source != ReplySource::KnownProcess)
        return false;
    worker.aliveAt = std::max(*worker.aliveAt, call.context.sentAt);
    return true;
}

void TaskRunner::updateClock(Worker &worker, WorkerClock clock, TimePoint now)
{
    worker.heardAt = now;
    if (clock < worker.clock)
        return; // replies on different connections may overtake each other
    worker.clock = clock;
    worker.clockAt = now;
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
    task.retryAt = now + retryDelay(task.startCalls++);
    worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.startWindow + LeaseMargin);
    task.starts.lastSentAt = now;
    ++task.starts.unanswered;
    out.emplace_back(
        StartRun{registerCall(worker, it.task, it.attempt, now), worker.info.id,
                 worker.info.address, it.task, it.attempt, it.payload,
                 WorkerClock{workerClockAt(worker, now).value + toWholeMs(m_settings.startWindow)},
                 CallTimeout});
}

void TaskRunner::sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.retryAt = now + retryDelay(task.stopCalls++);
    out.emplace_back(makeStop(worker, it.task, it.attempt, now));
}

StopRun TaskRunner::makeStop(const Worker &worker, const TaskId &task, std::uint32_t attempt,
                             TimePoint now)
{
    return {registerCall(worker, task, attempt, now),
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
    out.emplace_back(LogEvent{Severity::Info,
                              "task_stopping",
                              {{"job", task.assignment.task.jobId},
                               {"task", std::to_string(task.assignment.task.index)},
                               {"attempt", std::to_string(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"reason", std::string(reason)},
                               {"ran_ms", toMsString(now - task.firstSentAt)},
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
        it.retryAt = now + MaxRetryDelay;
        out.emplace_back(makeStop(worker, it.task, it.attempt, now));
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

// A poll of an idle worker is answered late, so until then a crash would not be noticed.
void TaskRunner::pollSoon(Worker &worker, TimePoint now)
{
    const TimePoint soon = now + BusyPollWait + PollMargin;
    if (worker.nextPollAt <= soon)
        return;
    worker.nextPollAt = soon;
    worker.newestPoll = {};
}

void TaskRunner::markRunning(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.isStartConfirmed)
        return;
    task.isStartConfirmed = true;
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
    PendingCall endedCall;
    bool isFromKnownProcess = false;
    Worker *worker = endStartOrStop(call, reply, endedCall, isFromKnownProcess, now, out);
    if (!worker)
        return;
    if (Task *task = findTask(*worker, endedCall); task && reply.answer != StartAnswer::NoAnswer)
        --task->starts.unanswered;
    if (reply.answer == StartAnswer::Refused)
        onRefused(*worker, endedCall, now, out);
    Task *task = findTask(*worker, endedCall); // onRefused() may have ended it
    if (task && reply.answer == StartAnswer::Accepted) {
        task->starts.isInKnownProcess |= isFromKnownProcess;
        markRunning(*worker, *task, now, out);
    } else if (task && task->state == State::Starting) {
        onStartFailed(*worker, *task, reply.answer, now, out);
    }
}

// If another start of the attempt may still be carried out, only a stop makes sure that it does not
// run.
void TaskRunner::onStartFailed(Worker &worker, Task &task, StartAnswer answer, TimePoint now,
                               RunnerOutbox &out)
{
    if (answer == StartAnswer::NoAnswer) {
        if (task.isCarriedOver)
            task.retryAt = now; // to be stopped
        return;                 // sent again at retryAt
    }
    const bool isProof = task.startCalls == 1;
    if (answer == StartAnswer::OldAttempt && !isProof) {
        // An unanswered start was carried out and its run has ended; the next list of ends will
        // show how.
        task.state = State::Stopping;
        task.stopAcknowledged = true;
        task.stopAcknowledgedAt = now;
        task.retryAt = NeverTime;
        return;
    }
    const bool isLate = answer == StartAnswer::Late;
    const bool isOld = answer == StartAnswer::OldAttempt;
    if (!isLate && !isOld)
        worker.unhealthyUntil = now + (isUndelivered(answer) ? NotSentRetryDelay : UnhealthyPause);
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

// Polls: lists of what runs and what has ended

void TaskRunner::sendPoll(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    const bool isBusy = !worker.tasks.empty() || !worker.orphans.empty();
    PollRuns poll;
    poll.call = worker.newestPoll = registerCall(worker, {}, 0, now);
    poll.workerId = worker.info.id;
    poll.address = worker.info.address;
    poll.acknowledged = worker.acknowledged;
    poll.maxWait = !worker.isSynced || worker.unansweredPolls > 0 ? Duration{}
                   : isBusy                                       ? BusyPollWait
                                                                  : IdlePollWait;
    if (!worker.hasFinalList)
        poll.maxWait = std::clamp<Duration>(m_startsAllowedAt - now, Duration{}, poll.maxWait);
    worker.nextPollAt
        = now + poll.maxWait + PollMargin * (1 + std::min(worker.unansweredPolls, MaxPollBackOff));
    poll.timeout = poll.maxWait + CallTimeout;
    // Orphans are to be stopped, so their lease is not renewed. A worker that does not answer is
    // sent no renewal, since it could be carried out late.
    if (worker.isSynced && worker.orphans.empty() && !worker.isUnresponsive) {
        poll.leaseUntil
            = WorkerClock{workerClockAt(worker, now).value + toWholeMs(m_settings.leaseTime)};
        worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.leaseTime
                                                        + m_settings.leaseTime / 50 + LeaseMargin);
    }
    out.emplace_back(std::move(poll));
}

void TaskRunner::onPollReply(WorkerCallId call, const PollReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    PendingCall endedCall;
    Worker *worker = endCall(call, reply.answer == CallAnswer::OtherProcess, endedCall, now, out);
    if (!worker)
        return;
    const bool isNewestPoll = worker->newestPoll == call;
    if (isNewestPoll)
        worker->newestPoll = {};
    if (reply.answer != CallAnswer::Ok) {
        if (isNewestPoll)
            recordUnansweredPoll(*worker, now, out);
        if (worker->newestPoll.value == 0)
            repeatPoll(*worker, reply.answer, now);
        if (reply.answer == CallAnswer::Refused)
            onRefused(*worker, endedCall, now, out);
        return;
    }
    if (!identifyProcess(*worker, endedCall, reply, now, out))
        return;
    withdrawCrash(*worker, now, out);
    if (std::exchange(worker->isUnconfirmed, false)) {
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_record_confirmed",
                                  {{"worker", worker->info.id},
                                   {"waited_ms", toMsString(now - worker->lastPollReplyAt)}}});
        announce(*worker, out);
    }
    if (std::exchange(worker->isUnresponsive, false)) {
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_responsive",
                                  {{"worker", worker->info.id},
                                   {"listed_ms", toMsString(now - worker->lastPollReplyAt)}}});
        ++m_loadVersion;
    }
    worker->refusingSince = NeverTime;
    worker->unansweredPolls = 0;
    worker->lastPollReplyAt = now;
    if (isNewestPoll)
        worker->nextPollAt = now;
    const bool isOutdated = reply.clock < worker->clock && worker->isSynced;
    updateClock(*worker, reply.clock, now);
    const TimePoint askedAt = endedCall.context.sentAt;
    worker->aliveAt = std::max(worker->aliveAt.value_or(askedAt), askedAt);
    if (!isOutdated)
        applyPollReply(*worker, reply, askedAt, now, out);
}

// A poll that breaks off may show the end of the process, so it is repeated at once, and then with
// growing delays.
void TaskRunner::repeatPoll(Worker &worker, CallAnswer answer, TimePoint now)
{
    const Duration delay
        = isUndelivered(answer)
              ? NotSentRetryDelay
              : PollMargin * (std::clamp(worker.unansweredPolls, 1, MaxPollBackOff) - 1);
    worker.nextPollAt = std::min(worker.nextPollAt, now + delay);
}

bool TaskRunner::identifyProcess(Worker &worker, const PendingCall &call, const PollReply &reply,
                                 TimePoint now, RunnerOutbox &out)
{
    const std::int64_t known = worker.info.startedAtUnixMs;
    const std::int64_t startedAt = reply.startedAtUnixMs;
    const bool isCallToKnown = call.context.process == worker.process;
    if (worker.isUnconfirmed) {
        // A record is confirmed only by a reply that contains the start time.
        if (startedAt != known)
            dropUnconfirmed({}, out);
        return startedAt == known;
    }
    if (startedAt == 0) {
        if (isCallToKnown)
            identifyByClock(worker, call, reply.clock, now, out);
        worker.isStartTimeUnknown &= !isCallToKnown;
        return isCallToKnown;
    }
    if (startedAt == known) {
        worker.isStartTimeUnknown &= !isCallToKnown;
        return !worker.isStartTimeUnknown;
    }
    // A call that was sent when an earlier process was known may have been answered by that one.
    if (!isCallToKnown && startedAt < known)
        return false;
    if (std::exchange(worker.isStartTimeUnknown, false)) {
        worker.info.startedAtUnixMs = startedAt;
        settleCrashes(worker.info, now, out);
    } else {
        beginWorkerProcess(worker, startedAt, now, out);
        out.emplace_back(
            LogEvent{Severity::Warning,
                     "worker_restarted",
                     {{"worker", worker.info.id}, {"born_ms", std::to_string(startedAt)}}});
    }
    return true;
}

void TaskRunner::applyPollReply(Worker &worker, const PollReply &reply, TimePoint askedAt,
                                TimePoint now, RunnerOutbox &out)
{
    const bool wasOrphanFree = worker.orphans.empty();
    for (const EndedRun &end : reply.ended) {
        if (end.number <= worker.acknowledged)
            continue;
        worker.acknowledged = end.number;
        const auto orphans = std::erase_if(worker.orphans, [&](const Orphan &it) {
            return it.task == end.task && it.attempt <= end.attempt;
        });
        const auto it = worker.tasks.find(end.task);
        if (it != worker.tasks.end() && it->second.assignment.attempt == end.attempt
            && it->second.state != State::Queued)
            endTask(worker, it, end.end, now, out);
        else
            recordEarlierRun(worker, end, orphans > 0, now);
    }
    for (const ActiveRun &run : reply.active) {
        const auto it = worker.tasks.find(run.task);
        if (it != worker.tasks.end() && it->second.assignment.attempt == run.attempt) {
            markRunning(worker, it->second, now, out);
            it->second.starts.isInKnownProcess = true;
            it->second.earlierRunTime.reset();
            it->second.percentDone = run.percentDone;
            it->second.percentDoneAt = now;
            continue;
        }
        const auto orphan
            = std::find_if(worker.orphans.begin(), worker.orphans.end(), [&](const Orphan &known) {
                  return known.task == run.task && known.attempt == run.attempt;
              });
        if (orphan == worker.orphans.end())
            worker.orphans.push_back({run.task, run.attempt, true});
        else
            orphan->isListed = true;
    }
    std::erase_if(worker.orphans, [&](const Orphan &it) {
        const bool isBarred = it.stopAcknowledged && it.stopAcknowledgedAt < askedAt;
        return (it.isListed || isBarred) && !reply.isActive(it.task, it.attempt);
    });
    if (reply.ended.size() < MaxListedEnds)
        endMissingRuns(worker, reply, askedAt, now, out);
    const bool isOrphanFree = worker.orphans.empty();
    const bool hasFinalList = worker.hasFinalList || askedAt >= m_startsAllowedAt;
    if (!worker.isSynced || wasOrphanFree != isOrphanFree || worker.hasFinalList != hasFinalList)
        ++m_loadVersion;
    worker.isSynced = true;
    worker.hasFinalList = hasFinalList;
    measureProgress(worker, now, out);
}

void TaskRunner::endMissingRuns(Worker &worker, const PollReply &reply, TimePoint askedAt,
                                TimePoint now, RunnerOutbox &out)
{
    std::vector<TaskId> missing;
    for (auto &[id, task] : worker.tasks) {
        const bool wasThere = task.state == State::Running && task.startedAt < askedAt;
        const bool wasStopped = task.state == State::Stopping && task.stopAcknowledged
                                && task.stopAcknowledgedAt < askedAt;
        if ((!wasThere && !wasStopped) || reply.isActive(id, task.assignment.attempt))
            continue;
        // Another start of the attempt may still reach this process.
        if (wasThere && task.starts.unanswered > 0 && !task.starts.isInKnownProcess)
            stopTask(worker, task, "start_unclear", now, out);
        else
            missing.push_back(id);
    }
    std::vector<TaskId> interrupted; // with an earlier process
    for (const TaskId &id : missing)
        if (worker.tasks.at(id).earlierRunTime)
            interrupted.push_back(id);
    reportCrash(worker, CrashState::Confirmed, interrupted, now, out);
    worker.crashNumbers.clear(); // these reports are not about this process
    for (const TaskId &id : missing) {
        const auto it = worker.tasks.find(id);
        if (it->second.isStartConfirmed)
            endTask(worker, it, TaskEnd::Lost, now, out);
        else
            refuseTask(worker, it, StartRefusal::Withdrawn, out);
    }
}

void TaskRunner::recordEarlierRun(const Worker &worker, const EndedRun &end, bool wasOrphan,
                                  TimePoint now)
{
    if (!m_settings.listsEarlierRuns || (worker.hasFinalList && !wasOrphan)
        || m_endedTasks.size() >= MaxEarlierRuns)
        return;
    const bool isListed
        = std::any_of(m_endedTasks.begin(), m_endedTasks.end(), [&](const EndedTask &it) {
              return it.entry == Incarnation{} && it.end.task.jobId == end.task.jobId;
          });
    if (!isListed)
        m_endedTasks.push_back({Incarnation{}, {end.task, EarlierProcess, end.end, {}}, now});
}

void TaskRunner::measureProgress(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    std::vector<RunProgress> progress;
    for (const auto &[id, task] : worker.tasks)
        if (task.state == State::Running && task.percentDoneAt == now)
            progress.push_back(
                {id.jobId, now - task.startedAt, task.assignment.expectedRun, task.percentDone});
    const bool wasSlow = worker.performance.isRunningSlow();
    worker.performance.recordProgress(progress, now);
    const bool isSlow = worker.performance.isRunningSlow();
    if (isSlow != wasSlow)
        ++m_loadVersion;
    if (!isSlow)
        return;
    for (auto &[id, task] : worker.tasks) {
        if (task.state != State::Running || task.percentDoneAt != now || task.isLateReported)
            continue;
        const Duration elapsed = now - task.startedAt;
        const Duration remaining
            = elapsed * (100 - task.percentDone) / std::max(task.percentDone, 1);
        if (elapsed < MinProgressTime || now + remaining <= task.assignment.objectiveTime)
            continue;
        task.isLateReported = true;
        out.emplace_back(SendToEntry{task.entry, TaskLate{id, task.assignment.attempt, remaining}});
        out.emplace_back(
            LogEvent{Severity::Info,
                     "task_late",
                     {{"job", id.jobId},
                      {"task", std::to_string(id.index)},
                      {"attempt", std::to_string(task.assignment.attempt)},
                      {"worker", worker.info.id},
                      {"ran_ms", toMsString(elapsed)},
                      {"percent", std::to_string(task.percentDone)},
                      {"slowness_percent", std::to_string(static_cast<std::int64_t>(
                                               worker.performance.runningSlowness() * 100))}}});
    }
}

} // namespace cactuscove
