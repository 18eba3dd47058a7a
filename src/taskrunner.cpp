// Inputs of the task runner from workers and entries, and timeouts.

#include "taskrunner.h"

#include "durations.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration StartMargin = 20ms; // for a start that is on its way to the worker
// A worker that leaves polls without a reply for this long is unresponsive: the lease of its runs
// is not renewed.
constexpr Duration PollTimeout = 200ms;
// Ends are listed in inventories for this long, for entries that connect again.
constexpr Duration EndedTaskRetention = 4s;
constexpr Duration WorkerTimeout = 6s; // the time of several heartbeats
// Entries are sent the load of a worker with poor performance at this interval, as its figures
// recover with time.
constexpr Duration PoorPerformanceInterval = 200ms;
// After this many starts without an answer the run is stopped: after a stop the worker refuses
// every start of the attempt, also one that arrives late.
constexpr int MaxStartCalls = 4;
// Before an unanswered start is looked at again while the worker refuses calls.
constexpr Duration RefusedStartDelay = 20ms;

} // namespace

TaskRunner::TaskRunner(TaskRunnerSettings settings, TimePoint startedAt)
    : m_settings(std::move(settings))
    , m_startsAllowedAt(startedAt + m_settings.startWindow + StartMargin)
{}

TaskRunner::Worker *TaskRunner::findWorker(std::string_view id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

bool TaskRunner::isEntrySilent(Incarnation entry, TimePoint now) const
{
    const auto it = m_entries.find(entry);
    return it == m_entries.end() || now - it->second.heardAt > m_settings.entryTimeout;
}

const std::string &TaskRunner::dataCentreOf(const Worker &worker) const
{
    return worker.info.dataCentre.empty() ? m_settings.dataCentre : worker.info.dataCentre;
}

bool TaskRunner::isDraining(const Worker &worker) const
{
    return worker.info.isDraining || worker.isLeaving
           || m_evacuated.count(dataCentreOf(worker)) > 0;
}

Resources TaskRunner::usedResources(const Worker &worker) const
{
    Resources sum;
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            sum += task.assignment.needs;
    return sum;
}

// Workers

void TaskRunner::beginWorkerProcess(Worker &worker, std::optional<std::int64_t> startedAtUnixMs,
                                    TimePoint now, RunnerOutbox &out)
{
    reportCrash(worker, CrashState::Confirmed, runsEndedBy(worker, EndProof::NextProcess, now), now,
                out);
    endProvenRuns(worker, EndProof::NextProcess, now, out);
    Worker fresh;
    fresh.process = ++m_lastProcess;
    fresh.info = worker.info;
    fresh.info.sequence = 0;
    fresh.info.startedAtUnixMs = startedAtUnixMs.value_or(worker.info.startedAtUnixMs);
    fresh.isStartTimeUnknown = !startedAtUnixMs;
    fresh.heardAt = now;
    fresh.lastPollReplyAt = now;
    // Calls that were under way may have reached it.
    fresh.leaseEnd = now + longestLease();
    for (auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            carryOver(worker, task, now);
    fresh.tasks = std::move(worker.tasks);
    for (const LateStart &it : m_lateStarts)
        if (it.workerId == fresh.info.id)
            fresh.orphans.push_back({it.task, it.attempt});
    worker = std::move(fresh);
    if (startedAtUnixMs)
        settleCrashes(worker.info, now, out);
    ++m_loadVersion;
}

// A start is not repeated at another process: it may have ended the one before.
void TaskRunner::carryOver(const Worker &worker, Task &task, TimePoint now) const
{
    if (!worker.info.isDraining && !task.isCarriedOver && !mayNotHaveStarted(worker, task))
        task.earlierRunTime = survivedTime(worker, task);
    task.isCarriedOver = true;
    task.starts.isInKnownProcess = false;
    task.starts.lastSentAt = now;
    if (task.state != State::Stopping)
        return;
    task.stopAcknowledged = false;
    task.retryAt = now;
}

void TaskRunner::onWorkerInfo(const WorkerInfo &info, TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    const auto [it, isNew] = m_workers.try_emplace(info.id);
    Worker &worker = it->second;
    const bool isNewProcess = !isNew && info.startedAtUnixMs != worker.info.startedAtUnixMs;
    const bool isFirst = isNew || worker.isUnconfirmed;
    // A heartbeat that was overtaken by a newer one is out of date.
    if (!isFirst
        && (info.startedAtUnixMs < worker.info.startedAtUnixMs
            || (!isNewProcess
                && (worker.isStartTimeUnknown || info.sequence < worker.info.sequence))))
        return;
    const bool isFirstOfProcess = isFirst || isNewProcess || !worker.isDescribed;
    if (isNew)
        worker.info = info;
    if (isNew || (isNewProcess && !worker.isStartTimeUnknown))
        beginWorkerProcess(worker, info.startedAtUnixMs, now, out);
    worker.isStartTimeUnknown = false;
    if (isFirstOfProcess) {
        dropUnconfirmed(info.id, out);
        settleCrashes(info, now, out);
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_joined",
                                  {{"worker", info.id},
                                   {"upstream", info.upstream},
                                   {"address", info.address},
                                   {"cpu", std::to_string(info.capacity.cpuMillis)},
                                   {"born_ms", std::to_string(info.startedAtUnixMs)}}});
    }
    WorkerInfo previous = std::exchange(worker.info, info);
    worker.heardAt = worker.describedAt = now;
    worker.isUnconfirmed = false;
    worker.isDescribed = true;
    // It goes on after a DELETE: that came late, from the process before.
    const bool hasReturned = std::exchange(worker.isLeaving, false);
    previous.sequence = info.sequence;
    if (isFirstOfProcess || hasReturned || previous != info) {
        if (info.isDraining && !previous.isDraining)
            out.emplace_back(
                LogEvent{Severity::Info,
                         "worker_draining",
                         {{"worker", info.id}, {"sequence", std::to_string(info.sequence)}}});
        announce(worker, out);
    }
}

void TaskRunner::announce(const Worker &worker, RunnerOutbox &out)
{
    for (const auto &[entry, state] : m_entries)
        out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, false}});
    ++m_loadVersion;
}

bool TaskRunner::isDescriptionOld(const Worker &worker, TimePoint now) const
{
    return !worker.isDescribed || now - worker.describedAt > m_settings.maxDescriptionAge;
}

void TaskRunner::onWorkerRecord(const WorkerInfo &info, std::optional<Duration> age, TimePoint now,
                                RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    if (!m_workers.empty() || m_shuttingDown)
        return;
    Worker &worker = m_workers[info.id];
    worker.info = info;
    beginWorkerProcess(worker, info.startedAtUnixMs, now, out);
    worker.isUnconfirmed = true;
    worker.isDescribed = true;
    worker.describedAt = age ? now - *age : TimePoint{};
}

void TaskRunner::dropUnconfirmed(std::string_view keptId, RunnerOutbox &out)
{
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const Worker &worker = it->second;
        if (!worker.isUnconfirmed || it->first == keptId) {
            ++it;
            continue;
        }
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_record_dropped",
                                  {{"worker", worker.info.id},
                                   {"born_ms", std::to_string(worker.info.startedAtUnixMs)},
                                   {"unanswered", std::to_string(worker.unansweredPolls)}}});
        it = m_workers.erase(it);
    }
}

void TaskRunner::onWorkerCold(std::string_view workerId, Duration remaining, TimePoint now)
{
    Worker *worker = findWorker(workerId);
    if (!worker || m_settings.coldSlowness <= 1)
        return;
    const bool wasCold = worker->coldUntil != TimePoint{};
    worker->coldUntil = remaining > Duration{} ? now + remaining : TimePoint{};
    if (wasCold != (worker->coldUntil != TimePoint{}))
        ++m_loadVersion;
}

void TaskRunner::onWorkerLeft(std::string_view workerId, TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    Worker *worker = findWorker(workerId);
    if (!worker)
        return;
    if (worker->isUnconfirmed)
        return dropUnconfirmed({}, out);
    withdrawCrash(*worker, now, out);
    beginLeave(*worker, "worker_left", out);
}

// The poll that waits at the worker breaks off when its process ends.
void TaskRunner::beginLeave(Worker &worker, std::string_view reason, RunnerOutbox &out)
{
    if (std::exchange(worker.isLeaving, true))
        return;
    refuseQueued(worker, out);
    for (const auto &[entry, state] : m_entries)
        out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    out.emplace_back(LogEvent{Severity::Info,
                              "worker_gone",
                              {{"worker", worker.info.id},
                               {"reason", std::string(reason)},
                               {"runs", std::to_string(worker.tasks.size())}}});
    ++m_loadVersion;
}

// Ends and refusals of tasks

void TaskRunner::endTask(Worker &worker, std::map<TaskId, Task>::iterator it, TaskEnd end,
                         TimePoint now, RunnerOutbox &out)
{
    const auto node = worker.tasks.extract(it);
    const Task &task = node.mapped();
    rememberLateStart(worker, task);
    const Duration runTime = now - task.firstSentAt;
    const TaskEnded message{task.assignment.task, task.assignment.attempt, end, runTime};
    m_endedTasks.push_back({task.entry, message, now});
    out.emplace_back(SendToEntry{task.entry, message});
    out.emplace_back(LogEvent{Severity::Info,
                              "task_ended",
                              {{"job", task.assignment.task.jobId},
                               {"task", std::to_string(task.assignment.task.index)},
                               {"attempt", std::to_string(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"end", std::string(nameOf(end))},
                               {"ran_ms", toMsString(runTime)},
                               {"expected_ms", toMsString(task.assignment.expectedRun)},
                               {"survived_ms", toMsString(survivedTime(worker, task))},
                               {"start_calls", std::to_string(task.startCalls)}}});
    worker.performance.recordEnd(task.assignment.task, end, runTime, task.assignment.expectedRun,
                                 now);
    ++m_loadVersion;
}

void TaskRunner::refuse(Incarnation entry, const AssignTask &assignment, StartRefusal reason,
                        std::string_view workerId, RunnerOutbox &out)
{
    out.emplace_back(SendToEntry{entry, StartRefused{assignment.task, assignment.attempt, reason}});
    out.emplace_back(LogEvent{Severity::Info,
                              "task_refused",
                              {{"job", assignment.task.jobId},
                               {"task", std::to_string(assignment.task.index)},
                               {"attempt", std::to_string(assignment.attempt)},
                               {"worker", std::string(workerId)},
                               {"reason", std::string(nameOf(reason))}}});
}

void TaskRunner::refuseQueued(Worker &worker, RunnerOutbox &out)
{
    std::vector<TaskId> queued;
    for (const auto &[id, task] : worker.tasks)
        if (task.state == State::Queued)
            queued.push_back(id);
    for (const TaskId &id : queued)
        refuseTask(worker, worker.tasks.find(id), StartRefusal::NoWorker, out);
}

void TaskRunner::refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it,
                            StartRefusal reason, RunnerOutbox &out)
{
    const auto node = worker.tasks.extract(it);
    rememberLateStart(worker, node.mapped());
    refuse(node.mapped().entry, node.mapped().assignment, reason, worker.info.id, out);
    ++m_loadVersion;
}

TimePoint TaskRunner::leaseEndOf(const Worker &worker, const Task &task) const
{
    return cactuscove::leaseEndOf(task.starts, worker.leaseEnd, longestLease());
}

void TaskRunner::rememberLateStart(const Worker &worker, const Task &task)
{
    if (task.starts.unanswered > 0)
        m_lateStarts.push_back({worker.info.id, task.assignment.task, task.assignment.attempt,
                                m_lastInputAt + LateStartTime});
}

std::vector<TaskId> TaskRunner::runsOf(const Worker &worker)
{
    std::vector<TaskId> runs;
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            runs.push_back(id);
    return runs;
}

std::vector<TaskId> TaskRunner::runsEndedBy(const Worker &worker, EndProof proof,
                                            TimePoint now) const
{
    std::vector<TaskId> ended = runsOf(worker);
    std::erase_if(ended, [&](const TaskId &id) {
        const Task &task = worker.tasks.at(id);
        return !provesEnd(proof, task.starts, leaseEndOf(worker, task), now);
    });
    return ended;
}

void TaskRunner::endProvenRuns(Worker &worker, EndProof proof, TimePoint now, RunnerOutbox &out)
{
    const std::vector<TaskId> ended = runsEndedBy(worker, proof, now);
    const std::size_t open = runsOf(worker).size();
    if (!ended.empty() || (open > 0 && proof != EndProof::LeaseExpired))
        out.emplace_back(LogEvent{Severity::Warning,
                                  "runs_lost",
                                  {{"worker", worker.info.id},
                                   {"reason", std::string(nameOf(proof))},
                                   {"count", std::to_string(ended.size())},
                                   {"unproven", std::to_string(open - ended.size())},
                                   {"heard_ms", toMsString(now - worker.heardAt)}}});
    for (const TaskId &id : ended)
        endTask(worker, worker.tasks.find(id), TaskEnd::Lost, now, out);
    worker.orphans.clear();
}

// Entries

void TaskRunner::onEntryHello(Incarnation entry, std::string_view name, TimePoint now,
                              RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    // The entry runs as a new process, so its previous process and the callers of that process are
    // gone. The previous process counts as silent at once, which stops its tasks.
    for (auto &[id, other] : m_entries)
        if (other.name == name && id != entry)
            other.heardAt = std::min(other.heardAt, now - m_settings.entryTimeout - Duration(1));
    Entry &it = m_entries[entry];
    it.name = name;
    it.heardAt = now;
    it.lastAssignment = 0;
}

void TaskRunner::onEntryActivity(Incarnation entry, TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    const auto it = m_entries.find(entry);
    if (it != m_entries.end())
        it->second.heardAt = now;
}

void TaskRunner::onAssign(Incarnation entry, AssignTask assignment, TimePoint now,
                          RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    const auto from = m_entries.find(entry);
    if (from == m_entries.end())
        return;
    from->second.lastAssignment
        = std::max(from->second.lastAssignment, assignment.assignmentNumber);
    ++m_loadVersion;
    Worker *worker = findWorker(assignment.workerId);
    if (now > assignment.startDeadline)
        return refuse(entry, assignment, StartRefusal::Expired, assignment.workerId, out);
    if (!worker || worker->isLeaving || m_shuttingDown)
        return refuse(entry, assignment, StartRefusal::NoWorker, assignment.workerId, out);
    if (isDraining(*worker))
        return refuse(entry, assignment, StartRefusal::Draining, assignment.workerId, out);
    for (auto &[workerId, other] : m_workers) {
        const auto same = other.tasks.find(assignment.task);
        if (same == other.tasks.end())
            continue;
        Task &task = same->second;
        if (task.entry == entry && task.assignment.attempt == assignment.attempt)
            return;
        if (task.state == State::Queued)
            refuseTask(other, same, StartRefusal::Withdrawn, out);
        else
            stopTask(other, task, "superseded", now, out);
        return refuse(entry, assignment, StartRefusal::Duplicate, assignment.workerId, out);
    }
    Task task;
    task.entry = entry;
    task.arrivalNumber = ++m_lastArrival;
    const TaskId id = assignment.task;
    task.assignment = std::move(assignment);
    worker->tasks.emplace(id, std::move(task));
}

void TaskRunner::onWithdraw(Incarnation entry, const WithdrawTask &request, TimePoint now,
                            RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    for (auto &[workerId, worker] : m_workers) {
        const auto it = worker.tasks.find(request.task);
        if (it == worker.tasks.end() || it->second.entry != entry
            || it->second.assignment.attempt != request.attempt)
            continue;
        if (it->second.state == State::Queued)
            refuseTask(worker, it, StartRefusal::Withdrawn, out);
        else
            stopTask(worker, it->second, "withdrawn", now, out);
        return;
    }
}

void TaskRunner::setEvacuated(std::set<std::string> dataCentres)
{
    if (std::exchange(m_evacuated, std::move(dataCentres)) != m_evacuated)
        ++m_loadVersion;
}

// Timeouts

void TaskRunner::processPending(TimePoint now, RunnerOutbox &out)
{
    m_lastInputAt = now;
    while (!m_endedTasks.empty() && now - m_endedTasks.front().endedAt > EndedTaskRetention)
        m_endedTasks.pop_front();
    while (!m_lateStarts.empty() && now > m_lateStarts.front().forgetAt)
        m_lateStarts.pop_front();
    if (!m_startsAllowed && now >= m_startsAllowedAt) {
        m_startsAllowed = true;
        ++m_loadVersion;
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const auto current = it++;
        Worker &worker = current->second;
        expireTasks(worker, now, out);
        if (now - worker.heardAt > WorkerTimeout) {
            if (worker.isUnconfirmed)
                return dropUnconfirmed({}, out);
            beginLeave(worker, "worker_silent", out);
        }
        if (worker.isLeaving && worker.tasks.empty() && worker.orphans.empty()) {
            m_workers.erase(current);
            ++m_loadVersion;
            continue;
        }
        stopOrphans(worker, now, out);
        startQueued(worker, now, out);
        if (worker.isDescriptionOld != isDescriptionOld(worker, now)) {
            worker.isDescriptionOld = !worker.isDescriptionOld;
            ++m_loadVersion;
        }
        if (worker.coldUntil != TimePoint{} && now >= worker.coldUntil) {
            worker.coldUntil = {};
            ++m_loadVersion;
        }
        if (worker.performance.isPoor() && now - worker.poorReportedAt > PoorPerformanceInterval) {
            worker.performance.decay(now);
            worker.poorReportedAt = now;
            ++m_loadVersion;
        }
        if (now < worker.nextPollAt)
            continue;
        if (worker.newestPoll.value != 0)
            recordUnansweredPoll(worker, now, out);
        sendPoll(worker, now, out);
    }
    std::erase_if(m_entries, [&](const auto &entry) {
        return now - entry.second.heardAt > EndedTaskRetention;
    });
}

void TaskRunner::recordUnansweredPoll(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.unansweredPolls++ == 0)
        worker.unansweredSince = now;
    if (worker.isUnresponsive || now - worker.unansweredSince <= PollTimeout)
        return;
    worker.isUnresponsive = true;
    ++m_loadVersion;
    out.emplace_back(LogEvent{Severity::Warning,
                              "worker_unresponsive",
                              {{"worker", worker.info.id},
                               {"listed_ms", toMsString(now - worker.lastPollReplyAt)},
                               {"unanswered", std::to_string(worker.unansweredPolls)}}});
}

void TaskRunner::expireTasks(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.unansweredPolls > 0 && now > worker.leaseEnd) {
        reportCrash(worker, CrashState::Suspected, runsEndedBy(worker, EndProof::LeaseExpired, now),
                    now, out);
        endProvenRuns(worker, EndProof::LeaseExpired, now, out);
    }
    std::vector<std::pair<TaskId, StartRefusal>> refused;
    for (auto &[id, task] : worker.tasks) {
        const bool isEntryLost = isEntrySilent(task.entry, now);
        if (task.state == State::Queued) {
            if (isEntryLost)
                refused.emplace_back(id, StartRefusal::Withdrawn);
            else if (now > task.assignment.startDeadline)
                refused.emplace_back(id, StartRefusal::Expired);
            else if (isDraining(worker))
                refused.emplace_back(id, StartRefusal::Draining);
            else if (worker.isUnresponsive)
                refused.emplace_back(id, StartRefusal::Unhealthy);
        } else if (task.state != State::Stopping) {
            if (isEntryLost)
                stopTask(worker, task, "entry_silent", now, out);
            else if (now > task.assignment.endDeadline)
                stopTask(worker, task, "out_of_time", now, out);
            else if (now >= task.retryAt)
                repeatStart(worker, task, now, out);
        } else if (now >= task.retryAt) {
            sendStop(worker, task, now, out);
        }
    }
    for (const auto &[id, reason] : refused)
        refuseTask(worker, worker.tasks.find(id), reason, out);
}

// Until it is known whether the worker has ended, a start would only reach its next process.
void TaskRunner::repeatStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.startCalls >= MaxStartCalls || task.isCarriedOver)
        stopTask(worker, task, "start_unanswered", now, out);
    else if (worker.refusingSince != NeverTime)
        task.retryAt = now + RefusedStartDelay;
    else
        sendStart(worker, task, now, out);
}

// After a suspension of the process, what has expired meanwhile must be handled before an input: a
// message that waited in the socket does not show that its sender is alive.
void TaskRunner::expireAfterSuspension(TimePoint now, RunnerOutbox &out)
{
    if (now - m_lastInputAt > SuspensionGap)
        for (auto &[id, worker] : m_workers)
            expireTasks(worker, now, out);
    m_lastInputAt = now;
}

TimePoint TaskRunner::nextTimer() const
{
    TimePoint next = m_startsAllowed ? NeverTime : m_startsAllowedAt;
    for (const auto &[workerId, worker] : m_workers) {
        next = std::min(next, worker.nextPollAt);
        if (worker.coldUntil != TimePoint{})
            next = std::min(next, worker.coldUntil);
        for (const Orphan &it : worker.orphans)
            if (!it.stopAcknowledged)
                next = std::min(next, it.retryAt);
        if (!worker.isLeaving)
            next = std::min(next, worker.heardAt + WorkerTimeout + Duration(1));
        if (!worker.isDescriptionOld)
            next = std::min(next, worker.describedAt + m_settings.maxDescriptionAge + Duration(1));
        if (worker.tasks.empty())
            continue;
        for (const auto &[id, task] : worker.tasks) {
            next = std::min(next, task.retryAt);
            if (worker.unansweredPolls > 0 && task.state != State::Queued)
                next = std::min(next, leaseEndOf(worker, task) + Duration(1));
            if (task.state == State::Stopping)
                continue;
            const auto entry = m_entries.find(task.entry);
            if (entry != m_entries.end())
                next
                    = std::min(next, entry->second.heardAt + m_settings.entryTimeout + Duration(1));
            next = std::min(next, (task.state == State::Queued ? task.assignment.startDeadline
                                                               : task.assignment.endDeadline)
                                      + Duration(1));
            if (task.state == State::Queued && worker.unhealthyUntil > worker.clockAt)
                next = std::min(next, worker.unhealthyUntil);
        }
    }
    return next;
}

void TaskRunner::beginShutdown(RunnerOutbox &out)
{
    m_shuttingDown = true;
    for (auto &[workerId, worker] : m_workers) {
        refuseQueued(worker, out);
        for (const auto &[entry, state] : m_entries)
            out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    }
}

} // namespace cactuscove
