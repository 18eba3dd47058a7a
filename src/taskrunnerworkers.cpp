// Processes of the workers: heartbeats, restarts and leaves, and which process has sent a reply.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

void TaskRunner::beginWorkerProcess(Worker &worker, std::optional<std::int64_t> startedAtUnixMs,
                                    TimePoint now, RunnerOutbox &out)
{
    reportCrash(worker, CrashState::Confirmed, runsEndedBy(worker, EndProof::NextProcess, now), now,
                out);
    endProvenRuns(worker, EndProof::NextProcess, now, out);
    Worker fresh;
    if (worker.process != 0 && causeOfEnd(worker, now) != EndCause::Crash)
        fresh.earlierRunsEndBy = allRunsEndBy(worker);
    fresh.process = ++m_lastProcess;
    fresh.info = worker.info;
    fresh.info.sequence = 0;
    fresh.info.startedAtUnixMs = startedAtUnixMs.value_or(worker.info.startedAtUnixMs);
    fresh.isStartTimeUnknown = !startedAtUnixMs;
    fresh.heardAt = now;
    fresh.lastPollReplyAt = now;
    // Calls that were under way may have reached it.
    fresh.leaseEnd = now + longestRunTime(m_settings.maxLeaseTime);
    for (auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            carryOver(worker, task, now);
    fresh.tasks = std::move(worker.tasks);
    for (const OpenStart &it : m_openStarts.atWorker(fresh.info.id, now))
        stopLateStart(fresh, it);
    worker = std::move(fresh);
    ++m_loadVersion;
}

// A start is not repeated at another process: it may have ended the one before.
void TaskRunner::carryOver(const Worker &worker, Task &task, TimePoint now) const
{
    if (!worker.notice.isAnnounced() && !task.isCarriedOver && !mayNotHaveStarted(worker, task))
        task.earlierRunTime = survivedTime(worker, task);
    task.isCarriedOver = true;
    task.starts.isInKnownProcess = false;
    task.starts.leaseFrom = now;
    if (task.state != State::Stopping)
        return;
    task.stopAcknowledged = false;
    task.retryAt = now;
}

void TaskRunner::onWorkerInfo(const WorkerInfo &info, std::optional<WorkerClock> clock,
                              TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    const auto [it, isNew] = m_workers.try_emplace(info.id);
    Worker &worker = it->second;
    const bool isNewProcess = !isNew && info.startedAtUnixMs != worker.info.startedAtUnixMs;
    const bool isFirst = isNew || worker.isUnconfirmed;
    // A heartbeat that was overtaken by a newer one is out of date, but for what stays true.
    if (!isFirst
        && (info.startedAtUnixMs < worker.info.startedAtUnixMs
            || (!isNewProcess
                && (worker.isStartTimeUnknown || info.sequence < worker.info.sequence)))) {
        if (!isNewProcess && !worker.isStartTimeUnknown && info.isDraining)
            worker.notice.recordDraining();
        return;
    }
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
    if (info.isDraining)
        worker.notice.recordDraining();
    else
        worker.notice.recordReady(clock, now);
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
    sendToEntries(WorkerUpdate{worker.info, false}, out);
    ++m_loadVersion;
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
    if (info.isDraining)
        worker.notice.recordDraining();
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
    worker->notice.recordLeave();
    withdrawCrash(*worker, now, out);
    beginLeave(*worker, "worker_left", out);
}

// The poll that waits at the worker breaks off when its process ends.
void TaskRunner::beginLeave(Worker &worker, std::string_view reason, RunnerOutbox &out)
{
    if (std::exchange(worker.isLeaving, true))
        return;
    refuseAllQueued(worker, out);
    sendToEntries(WorkerUpdate{worker.info, true}, out);
    out.emplace_back(LogEvent{Severity::Info,
                              "worker_gone",
                              {{"worker", worker.info.id},
                               {"reason", std::string(reason)},
                               {"runs", std::to_string(worker.tasks.size())}}});
    ++m_loadVersion;
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
    } else {
        beginWorkerProcess(worker, startedAt, now, out);
        out.emplace_back(
            LogEvent{Severity::Warning,
                     "worker_restarted",
                     {{"worker", worker.info.id}, {"born_ms", std::to_string(startedAt)}}});
    }
    settleCrashes(worker.info, now, out);
    return true;
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
    updateClock(worker, clock, call.context.sentAt, now);
    if (source != ReplySource::KnownProcess)
        return false;
    worker.aliveAt = std::max(*worker.aliveAt, call.context.sentAt);
    return true;
}

void TaskRunner::updateClock(Worker &worker, WorkerClock clock, TimePoint sentAt, TimePoint now)
{
    worker.heardAt = now;
    if (clock < worker.clock)
        return; // replies on different connections may overtake each other
    worker.clock = clock;
    worker.clockAt = now;
    worker.clockReadAfter = sentAt;
}

void TaskRunner::replaceWorker(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    if (worker.isUnconfirmed)
        return dropUnconfirmed({}, out);
    reportCrash(worker, crashStateOf(worker, now), runsOf(worker), now, out);
    endProvenRuns(worker, EndProof::OtherWorker, now, out);
    worker.isUnresponsive = true; // the lease of the runs that are left is not renewed
    beginLeave(worker, "worker_replaced", out);
}

} // namespace cactuscove
