// Ends and refusals of tasks, and the runs whose end is proved by what became of their worker.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cactuscove {

LogEvent TaskRunner::taskEvent(std::string name, const TaskId &task, std::uint32_t attempt,
                               std::string_view workerId, LogFields more)
{
    LogEvent event{Severity::Info,
                   std::move(name),
                   {{"job", task.jobId},
                    {"task", std::to_string(task.index)},
                    {"attempt", std::to_string(attempt)},
                    {"worker", std::string(workerId)}}};
    std::move(more.begin(), more.end(), std::back_inserter(event.fields));
    return event;
}

void TaskRunner::endTask(Worker &worker, std::map<TaskId, Task>::iterator it, TaskEnd end,
                         TimePoint now, RunnerOutbox &out)
{
    auto node = worker.tasks.extract(it);
    Task &task = node.mapped();
    reportOpenStart(worker, task, now, out); // before the end, which lets the task start again
    const Duration runTime = now - task.firstSentAt;
    const TaskEnded message{task.assignment.task, task.assignment.attempt, end, runTime};
    m_endedTasks.push_back({task.entry, message, now});
    out.emplace_back(SendToEntry{task.entry, message});
    out.emplace_back(taskEvent("task_ended", task.assignment.task, task.assignment.attempt,
                               worker.info.id,
                               {{"end", std::string(nameOf(end))},
                                {"ran_ms", toMsString(runTime)},
                                {"expected_ms", toMsString(task.assignment.expectedRun)},
                                {"survived_ms", toMsString(survivedTime(worker, task))},
                                {"start_calls", std::to_string(task.starts.sent)},
                                {"unanswered", std::to_string(task.starts.unanswered)},
                                {"confirmed", std::to_string(task.starts.isConfirmed)}}));
    worker.performance.recordEnd(task.assignment.task, end, runTime, task.assignment.expectedRun,
                                 now);
    ++m_loadVersion;
}

void TaskRunner::settleTask(Worker &worker, std::map<TaskId, Task>::iterator it,
                            StartRefusal reason, TaskEnd end, TimePoint now, RunnerOutbox &out)
{
    if (const auto proof = NeverStarted::prove(it->second.starts))
        refuseTask(worker, it, *proof, reason, out);
    else
        endTask(worker, it, end, now, out);
}

void TaskRunner::refuse(Incarnation entry, const AssignTask &assignment, const NeverStarted &proof,
                        StartRefusal reason, std::string_view workerId, RunnerOutbox &out)
{
    out.emplace_back(SendToEntry{entry, StartRefused{assignment.task, assignment.attempt, reason}});
    out.emplace_back(
        taskEvent("task_refused", assignment.task, assignment.attempt, workerId,
                  {{"reason", std::string(nameOf(reason))}, {"proof", std::string(proof.name())}}));
}

void TaskRunner::refuseTask(Worker &worker, std::map<TaskId, Task>::iterator it,
                            const NeverStarted &proof, StartRefusal reason, RunnerOutbox &out)
{
    const auto node = worker.tasks.extract(it);
    refuse(node.mapped().entry, node.mapped().assignment, proof, reason, worker.info.id, out);
    ++m_loadVersion;
}

void TaskRunner::refuseQueued(Worker &worker, std::map<TaskId, Task>::iterator it,
                              StartRefusal reason, RunnerOutbox &out)
{
    refuseTask(worker, it, NeverStarted::notSent(), reason, out);
}

void TaskRunner::refuseAllQueued(Worker &worker, RunnerOutbox &out)
{
    std::vector<TaskId> queued;
    for (const auto &[id, task] : worker.tasks)
        if (task.state == State::Queued)
            queued.push_back(id);
    for (const TaskId &id : queued)
        refuseQueued(worker, worker.tasks.find(id), StartRefusal::NoWorker, out);
}

EndCause TaskRunner::causeOfEnd(const Worker &worker, TimePoint now) const
{
    return worker.notice.causeOfEnd({worker.clock, worker.clockReadAfter}, m_settings.minEndNotice,
                                    now);
}

TimePoint TaskRunner::allRunsEndBy(const Worker &worker) const
{
    TimePoint end = std::max(worker.leaseEnd, worker.earlierRunsEndBy);
    for (const auto &[id, task] : worker.tasks)
        if (task.state != State::Queued)
            end = std::max(end, leaseEndOf(worker, task));
    return end;
}

TimePoint TaskRunner::leaseEndOf(const Worker &worker, const Task &task) const
{
    return cactuscove::leaseEndOf(task.starts, worker.leaseEnd,
                                  CallTimeout + longestRunTime(m_settings.maxLeaseTime));
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
    const EndCause cause = causeOfEnd(worker, now);
    std::erase_if(ended, [&](const TaskId &id) {
        const Task &task = worker.tasks.at(id);
        return !provesEnd(proof, cause, task.starts, leaseEndOf(worker, task), now);
    });
    return ended;
}

void TaskRunner::endProvenRuns(Worker &worker, EndProof proof, TimePoint now, RunnerOutbox &out)
{
    const std::vector<TaskId> ended = runsEndedBy(worker, proof, now);
    const EndCause cause = causeOfEnd(worker, now);
    const std::size_t open = runsOf(worker).size();
    const bool isNews = open > 0 && open != worker.loggedUnproven;
    worker.loggedUnproven = open - ended.size();
    if (!ended.empty() || (isNews && proof != EndProof::LeaseExpired))
        out.emplace_back(LogEvent{Severity::Warning,
                                  "runs_lost",
                                  {{"worker", worker.info.id},
                                   {"reason", std::string(nameOf(proof))},
                                   {"cause", std::string(nameOf(cause))},
                                   {"count", std::to_string(ended.size())},
                                   {"unproven", std::to_string(open - ended.size())},
                                   {"heard_ms", toMsString(now - worker.heardAt)}}});
    for (const TaskId &id : ended)
        settleTask(worker, worker.tasks.find(id), StartRefusal::NoWorker, TaskEnd::Lost, now, out);
    if (!isOver(cause, worker.leaseEnd, now))
        return;
    // A late start may still reach a process that is up.
    std::erase_if(worker.orphans,
                  [&](const Orphan &it) { return it.isListed || worker.isLeaving; });
}

} // namespace cactuscove
