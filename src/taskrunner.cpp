// Inputs of the task runner from entries, and timeouts.

#include "taskrunner.h"

#include "durations.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration StartMargin = 20ms; // for a start that is on its way to the worker
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

bool TaskRunner::isDescriptionOld(const Worker &worker, TimePoint now) const
{
    return !worker.isDescribed || now - worker.describedAt > m_settings.maxDescriptionAge;
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

void TaskRunner::sendToEntries(const PeerMessage &message, RunnerOutbox &out) const
{
    for (const auto &[entry, state] : m_entries)
        out.emplace_back(SendToEntry{entry, message});
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
    const auto refuseNew = [&](StartRefusal reason) {
        refuse(entry, assignment, NeverStarted::notSent(), reason, assignment.workerId, out);
    };
    if (now > assignment.startDeadline)
        return refuseNew(StartRefusal::Expired);
    if (!worker || worker->isLeaving || m_shuttingDown)
        return refuseNew(StartRefusal::NoWorker);
    if (isDraining(*worker))
        return refuseNew(StartRefusal::Draining);
    for (auto &[workerId, other] : m_workers) {
        const auto same = other.tasks.find(assignment.task);
        if (same == other.tasks.end())
            continue;
        Task &task = same->second;
        if (task.entry == entry && task.assignment.attempt == assignment.attempt)
            return;
        if (task.state == State::Queued)
            refuseQueued(other, same, StartRefusal::Withdrawn, out);
        else
            stopTask(other, task, "superseded", now, out);
        return refuseNew(StartRefusal::Duplicate);
    }
    // The entry does not know of these starts yet, and finds another attempt or worker.
    const auto permit = m_openStarts.permitStart(assignment.task, assignment.workerId, now);
    if (!permit)
        return refuseNew(StartRefusal::Duplicate);
    if (!permit->allows(assignment.attempt))
        return refuseNew(StartRefusal::OldAttempt);
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
            refuseQueued(worker, it, StartRefusal::Withdrawn, out);
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
    noteTime(now);
    while (!m_endedTasks.empty() && now - m_endedTasks.front().endedAt > EndedTaskRetention)
        m_endedTasks.pop_front();
    m_openStarts.removeExpired(now);
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
        if (worker.earlierRunsEndBy != TimePoint{} && now > worker.earlierRunsEndBy) {
            worker.earlierRunsEndBy = {};
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

void TaskRunner::expireTasks(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.unansweredPolls > 0 && now > worker.leaseEnd) {
        reportCrash(worker, CrashState::Suspected, runsOf(worker), now, out);
        endProvenRuns(worker, EndProof::LeaseExpired, now, out);
    }
    std::vector<std::pair<TaskId, StartRefusal>> refused;
    for (auto &[id, task] : worker.tasks) {
        const bool isEntryLost = isEntrySilent(task.entry, now);
        if (now >= openStartReportTime(task))
            reportOpenStart(worker, task, now, out);
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
        refuseQueued(worker, worker.tasks.find(id), reason, out);
}

// Until it is known whether the worker has ended, a start would only reach its next process.
void TaskRunner::repeatStart(Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.starts.sent >= MaxStartCalls || task.isCarriedOver)
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
    if (noteTime(now))
        for (auto &[id, worker] : m_workers)
            expireTasks(worker, now, out);
}

// What a worker has announced during a suspension may still wait in the socket.
bool TaskRunner::noteTime(TimePoint now)
{
    const bool wasSuspended = now - m_lastInputAt > SuspensionGap;
    m_lastInputAt = now;
    if (wasSuspended)
        for (auto &[id, worker] : m_workers)
            worker.notice.forgetReady();
    return wasSuspended;
}

TimePoint TaskRunner::nextTimer() const
{
    TimePoint next = m_startsAllowed ? NeverTime : m_startsAllowedAt;
    for (const auto &[workerId, worker] : m_workers) {
        next = std::min(next, worker.nextPollAt);
        if (worker.earlierRunsEndBy != TimePoint{})
            next = std::min(next, worker.earlierRunsEndBy + Duration(1));
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
            next = std::min({next, task.retryAt, openStartReportTime(task)});
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
        refuseAllQueued(worker, out);
        sendToEntries(WorkerUpdate{worker.info, true}, out);
    }
}

} // namespace cactuscove
