// Inputs of the task runner: workers, entries, replies and time.

#include "taskrunner.h"

#include <algorithm>
#include <cmath>
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
constexpr Duration RetryPause = 20ms;      // after a call that could not be sent
constexpr int MaxStartCalls = 4;           // then the run is stopped, which leaves a tombstone
constexpr Duration WorkerPatience = 200ms; // without an answer; then the lease is not renewed
constexpr Duration UnhealthyPause = 200ms;
// The worker's clock may be 2% slow; the rest is for calls under way.
constexpr Duration LeaseSlack = 60ms;
// Inputs come at least with each beat; a longer gap means that the process was suspended.
constexpr Duration SuspensionGap = 300ms;
constexpr Duration EndedMemory = 4s;   // an entry that reconnects learns ends up to this old
constexpr Duration WorkerSilence = 6s; // several heartbeats
// What runs is judged by its progress once it ran this long in sum; one run, once it ran this long.
constexpr double MinElapsedMs = 40;
constexpr Duration MinElapsed = 15ms;
constexpr double SlowWorker = 2.5; // times the expected run time
constexpr double StuckWorker = 6;
constexpr int EnoughRuns = 4;
constexpr double MaxSlowness = 20; // a worker at which tasks stand still
// Weights of the newest end in the running means of a worker's speed and failures.
constexpr double NewestSpeed = 0.1;
constexpr double NewestEnd = 0.15;
constexpr double SlownessMemoryMs = 2500;
constexpr double FailureMemoryMs = 800;
// Entries are told of worse workers at this pace, as their marks fade.
constexpr double BadSlowness = 1.4;
constexpr double BadFailureShare = 0.1;
constexpr Duration BadTellPause = 200ms;
constexpr double MaxRatio = 10;            // one stuck task must not condemn a worker
constexpr double NearlyFull = 0.7;         // of the processor
constexpr std::size_t MaxListedEnds = 500; // of one reply; a longer list continues in the next

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Duration retryPause(int callsBefore)
{
    return std::min(FirstRetry * (1 << std::min(callsBefore, 2)), LongestRetry);
}

// In a steady state a running task ends within a time t with probability t / run time.
double freeingRate(const AssignTask &task)
{
    const double cores = static_cast<double>(task.needs.cpuMillis) / 1000;
    return cores / std::max<double>(static_cast<double>(toMs(task.expectedRun)), 1);
}

std::string text(std::int64_t n)
{
    return std::to_string(n);
}

} // namespace

TaskRunner::TaskRunner(TaskRunnerSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_mayStartAt(startedAt + settings.startWindow + RetryPause)
{}

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

TaskRunner::Task *TaskRunner::findTask(Worker &worker, const OpenCall &call)
{
    const auto it = worker.tasks.find(call.task);
    const bool isSame = it != worker.tasks.end() && it->second.state != State::Queued
                        && it->second.assignment.attempt == call.attempt;
    return isSame ? &it->second : nullptr;
}

TaskRunner::Worker *TaskRunner::findWorker(std::string_view id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
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
    return WorkerClock{worker.clock.value + toMs(at - worker.clockAt)};
}

bool TaskRunner::isSilent(Incarnation entry, TimePoint now) const
{
    const auto it = m_entries.find(entry);
    return it == m_entries.end() || now - it->second.heardAt > m_settings.entrySilence;
}

Resources TaskRunner::used(const Worker &worker) const
{
    Resources sum;
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            sum += task.assignment.needs;
    return sum;
}

// Workers

void TaskRunner::beginLife(Worker &worker, const WorkerInfo &info, TimePoint now, RunnerOutbox &out)
{
    loseAllRuns(worker, "worker_restarted", now, out);
    Worker fresh;
    for (auto &[id, task] : worker.tasks)
        if (task.state == State::Queued)
            fresh.tasks.emplace(id, std::move(task));
    fresh.info = info;
    fresh.heardAt = now;
    fresh.listedAt = now;
    fresh.leaseEnd = now;
    worker = std::move(fresh);
}

void TaskRunner::onWorker(const WorkerInfo &info, TimePoint now, RunnerOutbox &out)
{
    enter(now, out);
    const auto [it, isNew] = m_workers.try_emplace(info.id);
    Worker &worker = it->second;
    const bool isNewLife = !isNew && info.bornAtMs != worker.info.bornAtMs;
    // A heartbeat that was delayed on the way says nothing about now.
    if (!isNew
        && (info.bornAtMs < worker.info.bornAtMs
            || (!isNewLife && info.sequence < worker.info.sequence)))
        return;
    if (isNew || isNewLife) {
        beginLife(worker, info, now, out);
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_joined",
                                  {{"worker", info.id},
                                   {"upstream", info.upstream},
                                   {"address", info.address},
                                   {"cpu", text(info.capacity.cpuMillis)},
                                   {"born_ms", text(info.bornAtMs)}}});
    }
    WorkerInfo previous = std::exchange(worker.info, info);
    worker.heardAt = now;
    previous.sequence = info.sequence;
    if (isNew || isNewLife || previous != info) {
        if (info.isDraining && !previous.isDraining)
            out.emplace_back(
                LogEvent{Severity::Info,
                         "worker_draining",
                         {{"worker", info.id},
                          {"sequence", text(static_cast<std::int64_t>(info.sequence))}}});
        for (const auto &[entry, state] : m_entries)
            out.emplace_back(SendToEntry{entry, WorkerUpdate{info, false}});
        ++m_loadVersion;
    }
}

void TaskRunner::onWorkerLeft(std::string_view workerId, TimePoint now, RunnerOutbox &out)
{
    const auto it = m_workers.find(workerId);
    if (it == m_workers.end())
        return;
    Worker &worker = it->second;
    loseAllRuns(worker, "worker_left", now, out);
    while (!worker.tasks.empty())
        refuseTask(worker, worker.tasks.begin(), StartRefusal::NoWorker, now, out);
    for (const auto &[entry, state] : m_entries)
        out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    out.emplace_back(LogEvent{Severity::Info, "worker_gone", {{"worker", worker.info.id}}});
    m_workers.erase(it);
    ++m_loadVersion;
}

// Starts and stops

void TaskRunner::sendStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.state = State::Starting;
    task.retryAt = now + retryPause(task.startCalls++);
    worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.startWindow + LeaseSlack);
    out.emplace_back(StartRun{
        newCall({worker.info.id, it.task, it.attempt, now}), worker.info.id, worker.info.address,
        it.task, it.attempt, it.payload,
        WorkerClock{workerTime(worker, now).value + toMs(m_settings.startWindow)}, AnswerPatience});
}

void TaskRunner::sendStop(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    const AssignTask &it = task.assignment;
    task.retryAt = now + retryPause(task.stopCalls++);
    out.emplace_back(StopRun{newCall({worker.info.id, it.task, it.attempt, now}), worker.info.id,
                             worker.info.address, it.task, it.attempt, AnswerPatience});
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
                               {"task", text(task.assignment.task.index)},
                               {"attempt", text(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"reason", std::string(reason)},
                               {"ran_ms", text(toMs(now - task.sentAt))},
                               {"entry_heard_ms", text(toMs(heardAgo))}}});
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
                                       {"task", text(it.task.index)},
                                       {"attempt", text(it.attempt)},
                                       {"worker", worker.info.id}}});
        it.retryAt = now + LongestRetry;
        out.emplace_back(StopRun{newCall({worker.info.id, it.task, it.attempt, now}),
                                 worker.info.id, worker.info.address, it.task, it.attempt,
                                 AnswerPatience});
    }
}

// Ties go to the one that arrived first.
std::pair<TimePoint, std::uint64_t> TaskRunner::orderOf(const Task &task)
{
    return {task.assignment.orderBy, task.arrival};
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
    enter(now, out);
    OpenCall about;
    Worker *worker = endCall(call, reply.answer == StartAnswer::OtherLife, about, now, out);
    if (!worker)
        return;
    if (reply.clock)
        hear(*worker, *reply.clock, now);
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
    refuseTask(worker, worker.tasks.find(task.assignment.task), reason, now, out);
}

void TaskRunner::onStopReply(WorkerCallId call, const StopReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    enter(now, out);
    OpenCall about;
    Worker *worker = endCall(call, reply.answer == CallAnswer::OtherLife, about, now, out);
    if (!worker)
        return;
    if (reply.clock)
        hear(*worker, *reply.clock, now);
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
    HoldRuns hold;
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
        hold.leaseUntil = WorkerClock{workerTime(worker, now).value + toMs(m_settings.leaseTime)};
        worker.leaseEnd = std::max(worker.leaseEnd, now + m_settings.leaseTime
                                                        + m_settings.leaseTime / 50 + LeaseSlack);
    }
    out.emplace_back(std::move(hold));
}

void TaskRunner::onHoldReply(WorkerCallId call, const HoldReply &reply, TimePoint now,
                             RunnerOutbox &out)
{
    enter(now, out);
    OpenCall about;
    Worker *worker = endCall(call, reply.answer == CallAnswer::OtherLife, about, now, out);
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
    if (reply.bornAtMs != 0 && reply.bornAtMs != worker->info.bornAtMs)
        return onWorkerLeft(std::string(worker->info.id), now, out);
    if (std::exchange(worker->isUnresponsive, false)) {
        out.emplace_back(LogEvent{
            Severity::Info,
            "worker_responsive",
            {{"worker", worker->info.id}, {"listed_ms", text(toMs(now - worker->listedAt))}}});
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

void TaskRunner::applyLists(Worker &worker, const HoldReply &reply, TimePoint askedAt,
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
                refuseTask(worker, it, StartRefusal::Withdrawn, now, out);
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
    double elapsedMs = 0;
    double workMs = 0; // done of what was expected
    int runs = 0;
    for (const auto &[id, task] : worker.tasks) {
        if (task.state != State::Running || task.percentAt != now)
            continue;
        const auto elapsed = static_cast<double>(toMs(now - task.startedAt));
        elapsedMs += elapsed;
        ++runs;
        workMs += task.percent / 100.0 * static_cast<double>(toMs(task.assignment.expectedRun));
    }
    const double slowness = std::min(elapsedMs / std::max(workMs, 1.0), MaxSlowness);
    // Few runs tell a slow worker only if they hardly move: one may just be a long task.
    const bool isSlow
        = elapsedMs >= MinElapsedMs && slowness >= (runs >= EnoughRuns ? SlowWorker : StuckWorker);
    const bool wasSlow = worker.runningSlowness > 0;
    worker.runningSlowness = isSlow ? slowness : 0;
    if (isSlow) {
        fade(worker, now);
        worker.slowness = std::max(worker.slowness, slowness);
    }
    if (isSlow != wasSlow)
        ++m_loadVersion;
    if (!isSlow)
        return;
    for (auto &[id, task] : worker.tasks) {
        if (task.state != State::Running || task.percentAt != now || task.isLateTold)
            continue;
        const Duration elapsed = now - task.startedAt;
        const Duration remaining = elapsed * (100 - task.percent) / std::max(task.percent, 1);
        if (elapsed < MinElapsed || now + remaining <= task.assignment.finishBy)
            continue;
        task.isLateTold = true;
        out.emplace_back(SendToEntry{task.entry, TaskLate{id, task.assignment.attempt, remaining}});
        out.emplace_back(LogEvent{
            Severity::Info,
            "task_late",
            {{"job", id.jobId},
             {"task", text(id.index)},
             {"attempt", text(task.assignment.attempt)},
             {"worker", worker.info.id},
             {"ran_ms", text(toMs(elapsed))},
             {"percent", text(task.percent)},
             {"slowness_percent", text(static_cast<std::int64_t>(worker.runningSlowness * 100))}}});
    }
}

// Ends

void TaskRunner::endTask(Worker &worker, std::map<TaskId, Task>::iterator it, TaskEnd end,
                         TimePoint now, RunnerOutbox &out)
{
    const auto node = worker.tasks.extract(it);
    const Task &task = node.mapped();
    const Duration runTime = now - task.sentAt;
    const TaskEnded message{task.assignment.task, task.assignment.attempt, end, runTime};
    m_ended.push_back({task.entry, message, now});
    out.emplace_back(SendToEntry{task.entry, message});
    out.emplace_back(LogEvent{Severity::Info,
                              "task_ended",
                              {{"job", task.assignment.task.jobId},
                               {"task", text(task.assignment.task.index)},
                               {"attempt", text(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"end", std::string(nameOf(end))},
                               {"ran_ms", text(toMs(runTime))},
                               {"expected_ms", text(toMs(task.assignment.expectedRun))},
                               {"start_calls", text(task.startCalls)}}});
    learn(worker, task, end, runTime, now);
    ++m_loadVersion;
}

void TaskRunner::refuse(Incarnation entry, const AssignTask &assignment, StartRefusal reason,
                        std::string_view worker, RunnerOutbox &out)
{
    out.emplace_back(SendToEntry{entry, StartRefused{assignment.task, assignment.attempt, reason}});
    out.emplace_back(LogEvent{Severity::Info,
                              "task_refused",
                              {{"job", assignment.task.jobId},
                               {"task", text(assignment.task.index)},
                               {"attempt", text(assignment.attempt)},
                               {"worker", std::string(worker)},
                               {"reason", std::string(nameOf(reason))}}});
}

void TaskRunner::refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it,
                            StartRefusal reason, TimePoint, RunnerOutbox &out)
{
    const auto node = worker.tasks.extract(it);
    refuse(node.mapped().entry, node.mapped().assignment, reason, worker.info.id, out);
    ++m_loadVersion;
}

void TaskRunner::loseAllRuns(Worker &worker, std::string_view reason, TimePoint now,
                             RunnerOutbox &out)
{
    std::vector<TaskId> lost;
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            lost.push_back(id);
    if (!lost.empty())
        out.emplace_back(LogEvent{Severity::Warning,
                                  "runs_lost",
                                  {{"worker", worker.info.id},
                                   {"reason", std::string(reason)},
                                   {"count", text(static_cast<std::int64_t>(lost.size()))},
                                   {"heard_ms", text(toMs(now - worker.heardAt))}}});
    for (const TaskId &id : lost)
        endTask(worker, worker.tasks.find(id), TaskEnd::Lost, now, out);
    worker.orphans.clear();
}

void TaskRunner::fade(Worker &worker, TimePoint now)
{
    const auto decay = [&](double memoryMs) {
        return std::exp(-static_cast<double>(toMs(now - worker.judgedAt)) / memoryMs);
    };
    if (worker.slowness > 1)
        worker.slowness = 1 + (worker.slowness - 1) * decay(SlownessMemoryMs);
    worker.failureShare *= decay(FailureMemoryMs);
    worker.judgedAt = now;
}

void TaskRunner::learn(Worker &worker, const Task &task, TaskEnd end, Duration runTime,
                       TimePoint now)
{
    fade(worker, now);
    if (end == TaskEnd::Done && task.assignment.expectedRun > Duration{}) {
        const double ratio = static_cast<double>(runTime.count())
                             / static_cast<double>(task.assignment.expectedRun.count());
        worker.slowness += NewestSpeed * (std::min(ratio, MaxRatio) - worker.slowness);
    }
    // A job that fails everywhere must not cost one worker its standing by many tasks.
    const std::string &job = task.assignment.task.jobId;
    if (end == TaskEnd::Failed && job == worker.failedJob)
        return;
    if (end == TaskEnd::Failed)
        worker.failedJob = job;
    if (end == TaskEnd::Done || end == TaskEnd::Failed)
        worker.failureShare += NewestEnd * ((end == TaskEnd::Failed) - worker.failureShare);
}

// Entries

void TaskRunner::onEntryHello(Incarnation entry, std::string_view name, TimePoint now,
                              RunnerOutbox &out)
{
    enter(now, out);
    // A new process at the entry's instance: the one before it is gone, and so are its callers.
    for (auto &[id, other] : m_entries)
        if (other.name == name && id != entry)
            other.heardAt = std::min(other.heardAt, now - m_settings.entrySilence - Duration(1));
    Entry &it = m_entries[entry];
    it.name = name;
    it.heardAt = now;
    it.assignments = 0;
}

void TaskRunner::onEntryHeard(Incarnation entry, TimePoint now, RunnerOutbox &out)
{
    enter(now, out);
    const auto it = m_entries.find(entry);
    if (it != m_entries.end())
        it->second.heardAt = now;
}

void TaskRunner::onAssign(Incarnation entry, AssignTask assignment, TimePoint now,
                          RunnerOutbox &out)
{
    enter(now, out);
    const auto from = m_entries.find(entry);
    if (from == m_entries.end())
        return;
    from->second.assignments = std::max(from->second.assignments, assignment.number);
    ++m_loadVersion;
    Worker *worker = findWorker(assignment.workerId);
    if (now > assignment.startBy)
        return refuse(entry, assignment, StartRefusal::Expired, assignment.workerId, out);
    if (!worker || m_shuttingDown)
        return refuse(entry, assignment, StartRefusal::NoWorker, assignment.workerId, out);
    if (worker->info.isDraining)
        return refuse(entry, assignment, StartRefusal::Draining, assignment.workerId, out);
    for (auto &[workerId, other] : m_workers) {
        const auto same = other.tasks.find(assignment.task);
        if (same == other.tasks.end())
            continue;
        Task &task = same->second;
        if (task.entry == entry && task.assignment.attempt == assignment.attempt)
            return;
        if (task.state == State::Queued)
            refuseTask(other, same, StartRefusal::Withdrawn, now, out);
        else
            stopTask(other, task, "superseded", now, out);
        return refuse(entry, assignment, StartRefusal::Duplicate, assignment.workerId, out);
    }
    Task task;
    task.entry = entry;
    task.arrival = ++m_arrivals;
    const TaskId id = assignment.task;
    task.assignment = std::move(assignment);
    worker->tasks.emplace(id, std::move(task));
}

void TaskRunner::onWithdraw(Incarnation entry, const WithdrawTask &request, TimePoint now,
                            RunnerOutbox &out)
{
    enter(now, out);
    for (auto &[workerId, worker] : m_workers) {
        const auto it = worker.tasks.find(request.task);
        if (it == worker.tasks.end() || it->second.entry != entry
            || it->second.assignment.attempt != request.attempt)
            continue;
        if (it->second.state == State::Queued)
            refuseTask(worker, it, StartRefusal::Withdrawn, now, out);
        else
            stopTask(worker, it->second, "withdrawn", now, out);
        return;
    }
}

// Time

void TaskRunner::settle(TimePoint now, RunnerOutbox &out)
{
    m_enteredAt = now;
    while (!m_ended.empty() && now - m_ended.front().at > EndedMemory)
        m_ended.pop_front();
    if (!m_mayStart && now >= m_mayStartAt) {
        m_mayStart = true;
        ++m_loadVersion;
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        Worker &worker = (it++)->second;
        expire(worker, now, out);
        if (now - worker.heardAt > WorkerSilence)
            return onWorkerLeft(std::string(worker.info.id), now, out);
        stopOrphans(worker, now, out);
        startQueued(worker, now, out);
        const bool isBad = worker.slowness > BadSlowness || worker.failureShare > BadFailureShare;
        if (isBad && now - worker.badToldAt > BadTellPause) {
            fade(worker, now);
            worker.badToldAt = now;
            ++m_loadVersion;
        }
        if (now < worker.nextHoldAt)
            continue;
        if (worker.hold.value != 0)
            noteUnanswered(worker, now, out);
        sendHold(worker, now, out);
    }
    std::erase_if(m_entries,
                  [&](const auto &entry) { return now - entry.second.heardAt > EndedMemory; });
}

void TaskRunner::noteUnanswered(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.holdsUnanswered++ == 0)
        worker.unansweredSince = now;
    if (worker.isUnresponsive || now - worker.unansweredSince <= WorkerPatience)
        return;
    worker.isUnresponsive = true;
    ++m_loadVersion;
    out.emplace_back(LogEvent{Severity::Warning,
                              "worker_unresponsive",
                              {{"worker", worker.info.id},
                               {"listed_ms", text(toMs(now - worker.listedAt))},
                               {"unanswered", text(worker.holdsUnanswered)}}});
}

void TaskRunner::expire(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.holdsUnanswered > 0 && now > worker.leaseEnd)
        loseAllRuns(worker, "lease_expired", now, out);
    std::vector<std::pair<TaskId, StartRefusal>> refused;
    for (auto &[id, task] : worker.tasks) {
        const bool isOrphaned = isSilent(task.entry, now);
        if (task.state == State::Queued) {
            if (isOrphaned)
                refused.emplace_back(id, StartRefusal::Withdrawn);
            else if (now > task.assignment.startBy)
                refused.emplace_back(id, StartRefusal::Expired);
            else if (worker.info.isDraining)
                refused.emplace_back(id, StartRefusal::Draining);
            else if (worker.isUnresponsive)
                refused.emplace_back(id, StartRefusal::Unhealthy);
        } else if (task.state != State::Stopping) {
            if (isOrphaned)
                stopTask(worker, task, "entry_silent", now, out);
            else if (now > task.assignment.endBy)
                stopTask(worker, task, "out_of_time", now, out);
            else if (now >= task.retryAt && task.startCalls >= MaxStartCalls)
                stopTask(worker, task, "start_unanswered", now, out);
            else if (now >= task.retryAt)
                sendStart(worker, task, now, out);
        } else if (now >= task.retryAt) {
            sendStop(worker, task, now, out);
        }
    }
    for (const auto &[id, reason] : refused)
        refuseTask(worker, worker.tasks.find(id), reason, now, out);
}

// After a suspension, what has expired meanwhile must go before an input is handled: a message that
// waited in the socket does not say that its sender lives.
void TaskRunner::enter(TimePoint now, RunnerOutbox &out)
{
    if (now - m_enteredAt > SuspensionGap)
        for (auto &[id, worker] : m_workers)
            expire(worker, now, out);
    m_enteredAt = now;
}

void TaskRunner::beginShutdown(TimePoint now, RunnerOutbox &out)
{
    m_shuttingDown = true;
    for (auto &[workerId, worker] : m_workers) {
        std::vector<TaskId> waiting;
        for (const auto &[id, task] : worker.tasks)
            if (task.state == State::Queued)
                waiting.push_back(id);
        for (const TaskId &id : waiting)
            refuseTask(worker, worker.tasks.find(id), StartRefusal::NoWorker, now, out);
        for (const auto &[entry, state] : m_entries)
            out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    }
}

// Queries

TimePoint TaskRunner::nextTimer() const
{
    TimePoint next = m_mayStart ? NeverTime : m_mayStartAt;
    for (const auto &[workerId, worker] : m_workers) {
        next = std::min(next, worker.nextHoldAt);
        for (const Orphan &it : worker.orphans)
            if (!it.stopAcknowledged)
                next = std::min(next, it.retryAt);
        next = std::min(next, worker.heardAt + WorkerSilence + Duration(1));
        if (worker.tasks.empty())
            continue;
        if (worker.holdsUnanswered > 0)
            next = std::min(next, worker.leaseEnd + Duration(1));
        for (const auto &[id, task] : worker.tasks) {
            next = std::min(next, task.retryAt);
            if (task.state == State::Stopping)
                continue;
            const auto entry = m_entries.find(task.entry);
            if (entry != m_entries.end())
                next
                    = std::min(next, entry->second.heardAt + m_settings.entrySilence + Duration(1));
            next = std::min(next, (task.state == State::Queued ? task.assignment.startBy
                                                               : task.assignment.endBy)
                                      + Duration(1));
            if (task.state == State::Queued && worker.unhealthyUntil > worker.clockAt)
                next = std::min(next, worker.unhealthyUntil);
        }
    }
    return next;
}

TaskInventory TaskRunner::inventoryOf(Incarnation entry) const
{
    TaskInventory inventory;
    for (const auto &[workerId, worker] : m_workers) {
        if (worker.isSynced && worker.orphans.empty())
            inventory.clearWorkers.push_back(workerId);
        for (const auto &[id, task] : worker.tasks) {
            if (task.entry != entry)
                continue;
            auto &list = task.ranForSure ? inventory.started : inventory.waiting;
            list.push_back({id, task.assignment.attempt});
        }
    }
    for (const EndedTask &it : m_ended)
        if (it.entry == entry)
            inventory.ended.push_back(it.end);
    return inventory;
}

std::vector<WorkerUpdate> TaskRunner::workers() const
{
    std::vector<WorkerUpdate> updates;
    for (const auto &[id, worker] : m_workers)
        updates.push_back({worker.info, m_shuttingDown});
    return updates;
}

std::vector<WorkerLoad> TaskRunner::loadsFor(Incarnation entry, TimePoint now) const
{
    const auto from = m_entries.find(entry);
    std::vector<WorkerLoad> loads;
    for (const auto &[id, worker] : m_workers) {
        WorkerLoad load;
        load.workerId = id;
        load.free = worker.info.capacity - used(worker);
        load.isUsable = m_mayStart && worker.isSynced && worker.orphans.empty()
                        && !worker.info.isDraining && !worker.isUnresponsive && !m_shuttingDown;
        std::map<int, Resources> queued;
        for (const auto &[taskId, task] : worker.tasks) {
            if (task.state == State::Queued)
                queued[task.assignment.priority] += task.assignment.needs;
            else
                load.freeingRate += freeingRate(task.assignment);
        }
        for (const auto &[priority, needs] : queued)
            load.queued.push_back({priority, needs});
        load.freeingRate /= std::max(1.0, worker.slowness);
        Worker judged;
        judged.slowness = worker.slowness;
        judged.failureShare = worker.failureShare;
        judged.judgedAt = worker.judgedAt;
        fade(judged, now);
        load.slowness = std::max(judged.slowness, worker.runningSlowness);
        load.failureShare = judged.failureShare;
        load.assignments = from == m_entries.end() ? 0 : from->second.assignments;
        loads.push_back(std::move(load));
    }
    return loads;
}

bool TaskRunner::isNearlyFull() const
{
    return std::any_of(m_workers.begin(), m_workers.end(), [this](const auto &it) {
        const Worker &worker = it.second;
        return static_cast<double>(used(worker).cpuMillis)
               > NearlyFull * static_cast<double>(worker.info.capacity.cpuMillis);
    });
}

std::size_t TaskRunner::openTasks() const
{
    std::size_t n = 0;
    for (const auto &[id, worker] : m_workers)
        n += worker.tasks.size();
    return n;
}

} // namespace cactuscove
