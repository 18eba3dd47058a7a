// Starts of the task runner that have had no answer: what the entries are told of them, and what
// a worker's next process is told.

#include "taskrunner.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Starts are answered within some milliseconds, at a busy machine within this time. The entry that
// assigned the task needs no report to know that a start may be open; the others need it before the
// caller of a lost entry comes back.
constexpr Duration OpenStartReportDelay = 100ms;

} // namespace

OpenStart TaskRunner::openStartOf(const Worker &worker, const Task &task, TimePoint now) const
{
    OpenStart start;
    start.task = task.assignment.task;
    start.attempt = task.assignment.attempt;
    start.workerId = worker.info.id;
    start.agent = m_settings.instance;
    start.remaining = task.starts.lastSentAt + OpenStartTime - now;
    return start;
}

TimePoint TaskRunner::openStartReportTime(const Task &task)
{
    const bool isDue = task.starts.unanswered > 0 && !task.isOpenReported;
    return isDue ? task.firstSentAt + OpenStartReportDelay : NeverTime;
}

void TaskRunner::reportOpenStart(const Worker &worker, Task &task, TimePoint now, RunnerOutbox &out)
{
    if (task.starts.unanswered == 0)
        return;
    task.isOpenReported = true;
    const OpenStart start = openStartOf(worker, task, now);
    if (!m_openStarts.merge(start, now))
        return;
    sendToEntries(OpenStartReport{{start}}, out);
    out.emplace_back(taskEvent("start_open", start.task, start.attempt, start.workerId,
                               {{"start_calls", std::to_string(task.starts.sent)},
                                {"unanswered", std::to_string(task.starts.unanswered)}}));
}

void TaskRunner::withdrawOpenStart(const Worker &worker, Task &task, TimePoint now,
                                   RunnerOutbox &out)
{
    if (task.starts.unanswered > 0 || !task.isOpenReported)
        return;
    task.isOpenReported = false;
    OpenStart start = openStartOf(worker, task, now);
    start.state = OpenStartState::Answered;
    m_openStarts.merge(start, now);
    sendToEntries(OpenStartReport{{start}}, out);
}

void TaskRunner::onOpenStarts(const OpenStartReport &report, TimePoint now, RunnerOutbox &out)
{
    expireAfterSuspension(now, out);
    for (const OpenStart &it : report.starts) {
        if (it.agent == m_settings.instance || !m_openStarts.merge(it, now))
            continue;
        Worker *worker = findWorker(it.workerId);
        if (!worker || it.state == OpenStartState::Answered)
            continue;
        stopLateStart(*worker, it);
        pollSoon(*worker, now); // the worker takes no task before it has listed its runs
    }
}

// A run that is listed, or a task whose own start is open, is stopped or ends by itself.
void TaskRunner::stopLateStart(Worker &worker, const OpenStart &start)
{
    const auto task = worker.tasks.find(start.task);
    const bool isKnown
        = (task != worker.tasks.end() && task->second.assignment.attempt == start.attempt)
          || std::any_of(worker.orphans.begin(), worker.orphans.end(), [&](const Orphan &it) {
                 return it.task == start.task && it.attempt == start.attempt;
             });
    if (!isKnown)
        worker.orphans.push_back({start.task, start.attempt});
}

} // namespace cactuscove
