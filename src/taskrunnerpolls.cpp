// Polls of the task runner: when they are sent, and what the lists in their replies change.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// The next poll is sent this long after the longest time that the worker may hold back its reply.
constexpr Duration PollMargin = 16ms;
// After unanswered polls PollMargin is multiplied by 1 plus their number, at most by 1 plus this.
constexpr int MaxPollBackOff = 5;
// How long a worker may hold back its reply to a poll while it has tasks, and while it has none. If
// the reply with an end is lost, the end is seen later by the first of these.
constexpr Duration BusyPollWait = 30ms;
constexpr Duration IdlePollWait = 400ms;
constexpr Duration MinProgressTime = 15ms; // the progress of a shorter run is too inexact
// No run of an earlier process is added while this many ended tasks are listed. More than run at
// once on a worker.
constexpr std::size_t MaxEarlierRuns = 100;
// Largest number of ends in one reply; a longer list continues in the next reply.
constexpr std::size_t MaxListedEnds = 500;
// A worker that leaves polls without a reply for this long is unresponsive: the lease of its runs
// is not renewed.
constexpr Duration PollTimeout = 200ms;

} // namespace

void TaskRunner::sendPoll(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    const bool isBusy = !worker.tasks.empty() || !worker.orphans.empty();
    PollRuns poll;
    poll.call = worker.newestPoll = registerCall(worker, {}, 0, 0, now);
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
    if (isLeaseRenewed(worker)) {
        const Duration lease = worker.notice.isAnnounced()
                                   ? std::min(m_settings.leaseTime, m_settings.leavingLeaseTime)
                                   : m_settings.leaseTime;
        poll.leaseUntil = WorkerClock{workerClockAt(worker, now).value + toWholeMs(lease)};
        worker.leaseEnd = std::max(worker.leaseEnd, now + longestRunTime(lease));
    }
    out.emplace_back(std::move(poll));
}

// Orphans are to be stopped, so their lease is not renewed. A worker that does not answer is sent
// no renewal, since it could be carried out late; one that has announced its end may already be
// gone when it leaves a single poll without a reply.
bool TaskRunner::isLeaseRenewed(const Worker &worker)
{
    const bool mayBeGone = worker.notice.isAnnounced() && worker.unansweredPolls > 0;
    return worker.isSynced && worker.orphans.empty() && !worker.isUnresponsive && !mayBeGone;
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
    const TimePoint askedAt = endedCall.context.sentAt;
    updateClock(*worker, reply.clock, askedAt, now);
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
        else if (!mayRunInEarlierProcess(worker, task, now))
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
        const Task &task = it->second;
        // This process has not run it if it was neither accepted nor listed nor carried over.
        const bool mayHaveRun = task.starts.isConfirmed || task.isCarriedOver;
        settleTask(worker, it, StartRefusal::Withdrawn,
                   mayHaveRun ? TaskEnd::Lost : TaskEnd::Stopped, now, out);
    }
}

bool TaskRunner::mayRunInEarlierProcess(const Worker &worker, const Task &task, TimePoint now)
{
    return task.isCarriedOver && !task.starts.isInKnownProcess && now <= worker.earlierRunsEndBy;
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
            taskEvent("task_late", id, task.assignment.attempt, worker.info.id,
                      {{"ran_ms", toMsString(elapsed)},
                       {"percent", std::to_string(task.percentDone)},
                       {"slowness_percent", std::to_string(static_cast<std::int64_t>(
                                                worker.performance.runningSlowness() * 100))}}));
    }
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

} // namespace cactuscove
