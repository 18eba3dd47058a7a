// Assignment of waiting tasks to workers.

#include "jobdispatcher.h"

#include "durations.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A task that has not started this long after it was assigned is refused by its agent and assigned
// again, maybe to another worker.
constexpr Duration MaxWaitAtAgent = 150ms;
// In multiples of the expected run time. Workers up to this slow are used even if the objective is
// then missed, as faster ones may be busy.
constexpr double AcceptableSlowness = 1.6;

} // namespace

WorkerDirectory::Request JobDispatcher::requestOf(const Job &job, const Task &task,
                                                  TimePoint now) const
{
    WorkerDirectory::Request request;
    request.upstream = job.upstream;
    request.needs = job.spec.needs;
    request.priority = job.priority;
    request.avoidedWorkers = task.avoidedWorkers;
    request.requiredLabel = job.spec.requiredLabel;
    request.preferredLabel = job.spec.preferredLabel;
    // The task should meet the objective, or if it cannot, the caller's deadline.
    const TimePoint endTarget
        = now + job.expectedRun < job.objectiveAt ? job.objectiveAt : job.deadline;
    request.maxSlowness = std::max(toMs(endTarget - now) / std::max(toMs(job.expectedRun), 1.0),
                                   AcceptableSlowness);
    return request;
}

bool JobDispatcher::placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                              DispatcherOutbox &out)
{
    Task &task = job.tasks[index];
    const auto worker = m_directory.chooseWorker(requestOf(job, task, now), now);
    if (!worker)
        return false;
    const auto startDeadline = m_directory.agentClockAt(worker->agent, now + MaxWaitAtAgent);
    const auto endDeadline = m_directory.agentClockAt(worker->agent, job.deadline);
    if (!startDeadline || !endDeadline)
        return false;
    ++task.attempt;
    task.worker = *worker;
    task.agentName = m_agents[worker->agent].name;
    setState(number, job, task, State::Assigned);
    m_loadControl.recordStart(job.priority, workOf(job, 1), now);
    AssignTask message;
    message.task = {job.spec.id, index};
    message.attempt = task.attempt;
    message.workerId = worker->workerId;
    message.queue = job.spec.queue;
    message.payload = job.spec.payload;
    message.needs = job.spec.needs;
    message.priority = job.priority;
    message.expectedRun = job.expectedRun;
    message.startDeadline = *startDeadline;
    message.endDeadline = *endDeadline;
    message.objectiveTime = *m_directory.agentClockAt(worker->agent, job.objectiveAt);
    message.schedulingKey = *m_directory.agentClockAt(worker->agent, job.latestStart);
    message.assignmentNumber = m_directory.reserve(*worker, job.priority, job.spec.needs);
    out.emplace_back(SendToAgent{worker->agent, std::move(message)});
    return true;
}

// A job that finds no capacity keeps later jobs of its upstream from taking the capacity that
// becomes free for it.
void JobDispatcher::placeWaitingTasks(TimePoint now, DispatcherOutbox &out)
{
    std::set<std::string> fullUpstreams; // upstreams without capacity for their next job
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    for (const Rank &rank : ranks) {
        Job &job = m_jobs.at(rank.number);
        if (fullUpstreams.count(job.upstream))
            continue;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].state != State::Waiting)
                continue;
            if (!placeTask(rank.number, job, i, now, out)) {
                fullUpstreams.insert(job.upstream);
                break;
            }
        }
    }
}

} // namespace cactuscove
