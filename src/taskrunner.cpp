// Inputs of the task runner: workers, entries and time.

#include "taskrunner.h"

#include "durations.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration StartSlack = 20ms;      // for a start that is on its way
constexpr Duration WorkerPatience = 200ms; // without an answer; then the lease is not renewed
constexpr Duration EndedMemory = 4s;       // an entry that reconnects learns ends up to this old
constexpr Duration WorkerSilence = 6s;     // several heartbeats
// Entries are told of bad workers at this pace, as their marks fade.
constexpr Duration BadTellPause = 200ms;
constexpr int MaxStartCalls = 4; // then the run is stopped, which leaves a tombstone

} // namespace

TaskRunner::TaskRunner(TaskRunnerSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_mayStartAt(startedAt + settings.startWindow + StartSlack)
{}

TaskRunner::Worker *TaskRunner::findWorker(std::string_view id)
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

bool TaskRunner::isSilent(Incarnation entry, TimePoint now) const
{
    const auto it = m_entries.find(entry);
    return it == m_entries.end() || now - it->second.heardAt > m_settings.entryTimeout;
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

void TaskRunner::onWorkerInfo(const WorkerInfo &info, TimePoint now, RunnerOutbox &out)
{
    enter(now, out);
    const auto [it, isNew] = m_workers.try_emplace(info.id);
    Worker &worker = it->second;
    const bool isNewLife = !isNew && info.startedAtUnixMs != worker.info.startedAtUnixMs;
    // A heartbeat that was delayed on the way says nothing about now.
    if (!isNew
        && (info.startedAtUnixMs < worker.info.startedAtUnixMs
            || (!isNewLife && info.sequence < worker.info.sequence)))
        return;
    if (isNew || isNewLife) {
        beginLife(worker, info, now, out);
        out.emplace_back(LogEvent{Severity::Info,
                                  "worker_joined",
                                  {{"worker", info.id},
                                   {"upstream", info.upstream},
                                   {"address", info.address},
                                   {"cpu", std::to_string(info.capacity.cpuMillis)},
                                   {"born_ms", std::to_string(info.startedAtUnixMs)}}});
    }
    WorkerInfo previous = std::exchange(worker.info, info);
    worker.heardAt = now;
    previous.sequence = info.sequence;
    if (isNew || isNewLife || previous != info) {
        if (info.isDraining && !previous.isDraining)
            out.emplace_back(
                LogEvent{Severity::Info,
                         "worker_draining",
                         {{"worker", info.id}, {"sequence", std::to_string(info.sequence)}}});
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
        refuseTask(worker, worker.tasks.begin(), StartRefusal::NoWorker, out);
    for (const auto &[entry, state] : m_entries)
        out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    out.emplace_back(LogEvent{Severity::Info, "worker_gone", {{"worker", worker.info.id}}});
    m_workers.erase(it);
    ++m_loadVersion;
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
                               {"task", std::to_string(task.assignment.task.index)},
                               {"attempt", std::to_string(task.assignment.attempt)},
                               {"worker", worker.info.id},
                               {"end", std::string(nameOf(end))},
                               {"ran_ms", toMsString(runTime)},
                               {"expected_ms", toMsString(task.assignment.expectedRun)},
                               {"start_calls", std::to_string(task.startCalls)}}});
    worker.marks.ended(task.assignment.task, end, runTime, task.assignment.expectedRun, now);
    ++m_loadVersion;
}

void TaskRunner::refuse(Incarnation entry, const AssignTask &assignment, StartRefusal reason,
                        std::string_view worker, RunnerOutbox &out)
{
    out.emplace_back(SendToEntry{entry, StartRefused{assignment.task, assignment.attempt, reason}});
    out.emplace_back(LogEvent{Severity::Info,
                              "task_refused",
                              {{"job", assignment.task.jobId},
                               {"task", std::to_string(assignment.task.index)},
                               {"attempt", std::to_string(assignment.attempt)},
                               {"worker", std::string(worker)},
                               {"reason", std::string(nameOf(reason))}}});
}

void TaskRunner::refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it,
                            StartRefusal reason, RunnerOutbox &out)
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
                                   {"count", std::to_string(lost.size())},
                                   {"heard_ms", toMsString(now - worker.heardAt)}}});
    for (const TaskId &id : lost)
        endTask(worker, worker.tasks.find(id), TaskEnd::Lost, now, out);
    worker.orphans.clear();
}

// Entries

void TaskRunner::onEntryHello(Incarnation entry, std::string_view name, TimePoint now,
                              RunnerOutbox &out)
{
    enter(now, out);
    // A new process at the entry's instance: the one before it is gone, and so are its callers.
    for (auto &[id, other] : m_entries)
        if (other.name == name && id != entry)
            other.heardAt = std::min(other.heardAt, now - m_settings.entryTimeout - Duration(1));
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
    if (now > assignment.startDeadline)
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
            refuseTask(other, same, StartRefusal::Withdrawn, out);
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
            refuseTask(worker, it, StartRefusal::Withdrawn, out);
        else
            stopTask(worker, it->second, "withdrawn", now, out);
        return;
    }
}

// Time

void TaskRunner::processPending(TimePoint now, RunnerOutbox &out)
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
        if (worker.marks.isBad() && now - worker.badToldAt > BadTellPause) {
            worker.marks.fade(now);
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
                               {"listed_ms", toMsString(now - worker.listedAt)},
                               {"unanswered", std::to_string(worker.holdsUnanswered)}}});
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
            else if (now > task.assignment.startDeadline)
                refused.emplace_back(id, StartRefusal::Expired);
            else if (worker.info.isDraining)
                refused.emplace_back(id, StartRefusal::Draining);
            else if (worker.isUnresponsive)
                refused.emplace_back(id, StartRefusal::Unhealthy);
        } else if (task.state != State::Stopping) {
            if (isOrphaned)
                stopTask(worker, task, "entry_silent", now, out);
            else if (now > task.assignment.endDeadline)
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
        refuseTask(worker, worker.tasks.find(id), reason, out);
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
        std::vector<TaskId> waiting;
        for (const auto &[id, task] : worker.tasks)
            if (task.state == State::Queued)
                waiting.push_back(id);
        for (const TaskId &id : waiting)
            refuseTask(worker, worker.tasks.find(id), StartRefusal::NoWorker, out);
        for (const auto &[entry, state] : m_entries)
            out.emplace_back(SendToEntry{entry, WorkerUpdate{worker.info, true}});
    }
}

} // namespace cactuscove
