// Inputs of the dispatcher from agents: connections, loads, starts and ends of tasks, inventories.
// Evacuations of data centres.

#include "durations.h"
#include "jobdispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A worker that refused a task gets no new tasks for this long.
constexpr Duration RefusalPause = 20ms;
// The same for a worker that refuses all starts: it is unhealthy, gone or draining.
constexpr Duration UnhealthyPause = 250ms;
// A task that was slow on this many workers is a long task, so moving it again does not help.
constexpr int MaxMoves = 2;
// Time to stop a run and to start the task on another worker.
constexpr Duration MoveTime = 12ms;
// Agents list an end in their inventories for at least this long (EndedTaskRetention in
// taskrunner.cpp is 4 s).
constexpr Duration InventoryRetention = 3s;
// Raises the attempt number of a task above those that other entries have used.
constexpr std::uint32_t AttemptStep = 16;

} // namespace

void JobDispatcher::onAgentConnected(const PeerHello &agent, TimePoint now, DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    m_agents[agent.instance] = agent;
    m_directory.agentConnected(agent.instance, agent.name, agent.dataCentre, now);
    m_demand.agentConnected(agent.instance);
    // While messages from this entry reach the agent, the agent does not stop the tasks, so they
    // may run beyond attemptEndsBy. The agent's inventory will show which of them it knows.
    for (auto &[number, job] : m_jobs)
        for (Task &task : job.tasks)
            if (task.state == State::AgentLost && task.worker.agent == agent.instance)
                task.attemptEndsBy = NeverTime;
}

void JobDispatcher::onAgentDisconnected(Incarnation agent, TimePoint now, DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    m_directory.agentDisconnected(agent);
    m_demand.agentDisconnected(agent);
    m_agents.erase(agent);
    m_entryCounts.erase(agent);
    for (auto &[number, job] : m_jobs) {
        for (Task &task : job.tasks) {
            const bool mayRun = task.state == State::Assigned || task.state == State::Running
                                || task.state == State::Withdrawn || task.state == State::AgentLost;
            if (!mayRun || task.worker.agent != agent)
                continue;
            if (task.state != State::AgentLost) {
                suspectOpenStart(job, static_cast<std::uint32_t>(&task - job.tasks.data()), now,
                                 out);
                m_directory.recordFault(task.worker, true, now);
                out.emplace_back(
                    LogEvent{Severity::Warning,
                             "task_unproven",
                             {{"job", job.spec.id},
                              {"task", std::to_string(&task - job.tasks.data())},
                              {"attempt", std::to_string(task.attempt)},
                              {"worker", task.worker.workerId},
                              {"agent", task.agentName},
                              {"proven_in_ms", toMsString(m_settings.lostAgentTimeout)}}});
            }
            task.attemptEndsBy = now + m_settings.lostAgentTimeout;
            setState(number, job, task, State::AgentLost);
        }
    }
}

void JobDispatcher::onAgentMessage(Incarnation agent, const PeerMessage &message, TimePoint now,
                                   DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    m_directory.agentHeard(agent, now);
    if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&message)) {
        m_directory.updateAgentClock(agent, heartbeat->sentAt, now);
        m_entryCounts[agent] = heartbeat->connectedEntries;
        if (!m_settings.hasScarcityControl)
            return;
        if (auto event = m_demand.onHeartbeat(agent, *heartbeat, m_config, now))
            out.emplace_back(std::move(*event));
    } else if (const auto *update = std::get_if<WorkerUpdate>(&message)) {
        m_directory.updateWorker(agent, *update);
        sendOpenStarts(agent, {m_openStarts.atWorker(update->worker.id, now)}, out);
    } else if (const auto *load = std::get_if<WorkerLoad>(&message)) {
        m_directory.updateLoad(agent, *load);
    } else if (const auto *started = std::get_if<TaskStarted>(&message)) {
        onTaskStarted(agent, *started, now, out);
    } else if (const auto *late = std::get_if<TaskLate>(&message)) {
        onTaskLate(agent, *late, now, out);
    } else if (const auto *ended = std::get_if<TaskEnded>(&message)) {
        onTaskEnded(agent, *ended, now, out);
    } else if (const auto *refused = std::get_if<StartRefused>(&message)) {
        onStartRefused(agent, *refused, now, out);
    } else if (const auto *inventory = std::get_if<TaskInventory>(&message)) {
        onInventory(agent, *inventory, now, out);
    } else if (const auto *crash = std::get_if<CrashReport>(&message)) {
        onCrashReport(*crash, now, out);
    } else if (const auto *openStarts = std::get_if<OpenStartReport>(&message)) {
        onOpenStarts(*openStarts, now, out);
    }
}

void JobDispatcher::onCrashReport(const CrashReport &report, TimePoint now, DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    const bool wasDistrusting = m_crashes.hasDistrusted(now);
    if (!m_crashes.merge(report, now))
        return;
    out.emplace_back(SendToEntries{report});
    failGivenUpJobs(now, out);
    if (wasDistrusting || !m_crashes.hasDistrusted(now))
        return;
    for (const QueueSettings &it : m_config.queues)
        if (m_crashes.isDistrusted(it.name, now))
            out.emplace_back(LogEvent{Severity::Warning, "queue_distrusted", {{"queue", it.name}}});
}

std::pair<JobDispatcher::JobNumber, JobDispatcher::Job *>
JobDispatcher::findJob(const TaskId &task, Incarnation agent, std::uint32_t attempt)
{
    const auto it = m_jobsById.find(task.jobId);
    if (it == m_jobsById.end())
        return {};
    Job &job = m_jobs.at(it->second);
    if (task.index >= job.tasks.size())
        return {};
    const Task &known = job.tasks[task.index];
    const bool mayRun = known.state != State::Waiting && known.state != State::Done;
    if (!mayRun || known.attempt != attempt || known.worker.agent != agent)
        return {};
    return {it->second, &job};
}

void JobDispatcher::onTaskStarted(Incarnation agent, const TaskStarted &message, TimePoint now,
                                  DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return withdrawUnknownTask(agent, message, out);
    Task &task = job->tasks[message.task.index];
    forgetSuspicion(*job, message.task.index);
    task.isStartAnswered = !message.hasOpenStart;
    if (!job->mayHaveStarted) {
        job->mayHaveStarted = true;
        job->firstStartAt = now;
    }
    if (task.state == State::Assigned)
        setState(number, *job, task, State::Running);
}

void JobDispatcher::avoidCurrentWorker(Task &task)
{
    if (std::find(task.avoidedWorkers.begin(), task.avoidedWorkers.end(), task.worker)
        == task.avoidedWorkers.end())
        task.avoidedWorkers.push_back(task.worker);
}

void JobDispatcher::withdrawUnknownTask(Incarnation agent, const TaskStarted &task,
                                        DispatcherOutbox &out) const
{
    out.emplace_back(SendToAgent{agent, WithdrawTask{task.task, task.attempt}});
}

// Stops a run on a slow worker if the task would meet its objective on another one, or end much
// sooner there.
void JobDispatcher::onTaskLate(Incarnation agent, const TaskLate &message, TimePoint now,
                               DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job || job->closingAnswer)
        return;
    Task &task = job->tasks[message.task.index];
    if (task.state != State::Running || task.moveCount >= MaxMoves || task.runsAlone)
        return;
    if (!task.isStartAnswered || m_openStarts.onlyWorkerOf(message.task, now))
        return; // it may start nowhere else
    const Duration moveRunTime = MoveTime + job->expectedRun;
    const bool meetsObjective = now + moveRunTime <= job->objectiveAt;
    const bool isMuchSooner
        = moveRunTime * 2 < message.remaining && now + moveRunTime < job->deadline;
    if (!meetsObjective && !isMuchSooner)
        return;
    Task movedTask = task;
    avoidCurrentWorker(movedTask);
    if (!m_directory.chooseWorker(requestOf(*job, movedTask, now), now))
        return; // no other worker has capacity
    avoidCurrentWorker(task);
    ++task.moveCount;
    withdraw(*job, message.task.index, out);
    setState(number, *job, task, State::Withdrawn);
    out.emplace_back(LogEvent{Severity::Info,
                              "task_moved",
                              {{"job", job->spec.id},
                               {"task", std::to_string(message.task.index)},
                               {"attempt", std::to_string(message.attempt)},
                               {"worker", task.worker.workerId},
                               {"remaining_ms", toMsString(message.remaining)},
                               {"expected_ms", toMsString(job->expectedRun)},
                               {"objective_ms", toMsString(job->objectiveAt - now)}}});
}

void JobDispatcher::onTaskEnded(Incarnation agent, const TaskEnded &message, TimePoint now,
                                DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return;
    // An end implies a start, also if the message about the start was lost with a connection.
    onTaskStarted(agent, {message.task, message.attempt}, now, out);
    Task &task = job->tasks[message.task.index];
    if (message.end == TaskEnd::Done) {
        m_runTimes.learn(job->spec.queue, message.runTime, job->spec.declaredRunTime);
        m_directory.recordSuccess(task.worker);
        setState(number, *job, task, State::Done);
        if (job->doneCount == job->tasks.size())
            finish(number, {JobOutcome::Completed, {}, {}}, now, out);
        else if (job->closingAnswer)
            finishIfClosed(number, now, out);
        return;
    }
    if (message.end == TaskEnd::Stopped)
        m_directory.recordRefusal(task.worker);
    else
        m_directory.recordFault(task.worker, message.end == TaskEnd::Lost, now);
    avoidCurrentWorker(task);
    if (message.end == TaskEnd::Failed && ++task.failureCount >= job->maxAttempts) {
        setState(number, *job, task, State::Waiting);
        finish(number, {JobOutcome::Failed, "task_failed", {}}, now, out);
        return;
    }
    requeueTask(number, *job, message.task.index, AttemptStart::Possible, now, out);
}

void JobDispatcher::requeueTask(JobNumber number, Job &job, std::uint32_t index, AttemptStart start,
                                TimePoint now, DispatcherOutbox &out)
{
    job.mayHaveStarted |= start == AttemptStart::Possible;
    setState(number, job, job.tasks[index], State::Waiting);
    if (const auto only = boundWorkerOf(job, index, now); only && !job.closingAnswer)
        out.emplace_back(LogEvent{Severity::Info,
                                  "task_bound",
                                  {{"job", job.spec.id},
                                   {"task", std::to_string(index)},
                                   {"attempt", std::to_string(job.tasks[index].attempt)},
                                   {"worker", std::string(*only)},
                                   {"until_ms", toMsString(lastUsefulStart(job) - now)}}});
    if (job.closingAnswer)
        finishIfClosed(number, now, out);
}

void JobDispatcher::onStartRefused(Incarnation agent, const StartRefused &message, TimePoint now,
                                   DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return;
    Task &task = job->tasks[message.task.index];
    forgetSuspicion(*job, message.task.index);
    if (message.reason == StartRefusal::OldAttempt)
        task.attempt += AttemptStep;
    // The refusal says nothing about the worker, which takes tasks again as soon as the evacuation
    // is withdrawn.
    const bool isEvacuated
        = message.reason == StartRefusal::Draining && m_directory.isEvacuated(task.worker);
    if (isEvacuated)
        return requeueTask(number, *job, message.task.index, AttemptStart::Never, now, out);
    const bool isWorkerUnavailable = message.reason == StartRefusal::Unhealthy
                                     || message.reason == StartRefusal::NoWorker
                                     || message.reason == StartRefusal::Draining;
    // With the plan, tasks are sent to full workers on purpose.
    const bool isOverdue = m_settings.hasScarcityControl && message.reason == StartRefusal::Expired;
    if (message.reason != StartRefusal::OldAttempt && message.reason != StartRefusal::Withdrawn
        && !isOverdue)
        m_directory.pauseWorker(task.worker,
                                now + (isWorkerUnavailable ? UnhealthyPause : RefusalPause));
    if (message.reason == StartRefusal::Unhealthy || message.reason == StartRefusal::NoWorker)
        m_directory.recordFault(task.worker, true, now);
    else
        m_directory.recordRefusal(task.worker);
    avoidCurrentWorker(task);
    requeueTask(number, *job, message.task.index, AttemptStart::Never, now, out);
}

// An assignment that the agent does not list after a new connection was not received and never will
// be, since the agent no longer reads the older connection. Runs that an earlier process of the
// agent started have ended at the workers that the inventory names as free of them.
void JobDispatcher::onInventory(Incarnation agent, const TaskInventory &inventory, TimePoint now,
                                DispatcherOutbox &out)
{
    const auto connected = m_agents.find(agent);
    if (connected == m_agents.end())
        return;
    for (const TaskEnded &it : inventory.ended) {
        if (it.attempt == EarlierProcess)
            m_returningJobs.noteEarlierRun(it.task.jobId, now);
        else
            onTaskEnded(agent, it, now, out);
    }
    std::set<std::pair<TaskId, std::uint32_t>> listed;
    for (const auto *list : {&inventory.started, &inventory.waiting})
        for (const TaskStarted &it : *list) {
            listed.insert({it.task, it.attempt});
            const auto [number, job] = findJob(it.task, agent, it.attempt);
            if (!job) {
                withdrawUnknownTask(agent, it, out);
                continue;
            }
            Task &task = job->tasks[it.task.index];
            if (task.state != State::AgentLost)
                continue;
            forgetSuspicion(*job, it.task.index);
            if (job->closingAnswer) {
                withdraw(*job, it.task.index, out);
                setState(number, *job, task, State::Withdrawn);
            } else {
                setState(number, *job, task, State::Assigned);
                if (list == &inventory.started)
                    onTaskStarted(agent, it, now, out);
            }
        }
    const std::vector<std::string> &orphanFree = inventory.orphanFreeWorkers;
    struct Requeue
    {
        JobNumber number = 0;
        std::uint32_t index = 0;
        AttemptStart start = AttemptStart::Possible;
    };
    std::vector<Requeue> requeued;
    for (const auto &[number, job] : m_jobs)
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            const Task &task = job.tasks[i];
            if (task.state != State::AgentLost || task.agentName != connected->second.name)
                continue;
            const bool isSameProcess = task.worker.agent == agent;
            const bool isListed = listed.count({{job.spec.id, i}, task.attempt}) > 0;
            const bool isOrphanFree
                = std::find(orphanFree.begin(), orphanFree.end(), task.worker.workerId)
                  != orphanFree.end();
            if (isSameProcess ? isListed : !isOrphanFree)
                continue;
            // Another process does not know whether the task was started, and the same process
            // forgets an end after a while: only an attempt that is younger would be listed.
            const bool wouldBeListed = isSameProcess && now - task.assignedAt <= InventoryRetention;
            requeued.push_back(
                {number, i, wouldBeListed ? AttemptStart::Never : AttemptStart::Possible});
        }
    for (const Requeue &it : requeued) {
        const auto job = m_jobs.find(it.number);
        if (job == m_jobs.end())
            continue;
        if (it.start == AttemptStart::Never)
            forgetSuspicion(job->second, it.index);
        requeueTask(it.number, job->second, it.index, it.start, now, out);
    }
}

void JobDispatcher::failGivenUpJobs(TimePoint now, DispatcherOutbox &out)
{
    std::vector<JobNumber> givenUp;
    for (const auto &[id, number] : m_jobsById)
        if (m_crashes.hasGivenUp(id, now))
            givenUp.push_back(number);
    for (const JobNumber number : givenUp)
        finish(number, {JobOutcome::Failed, CrashedWorkers, {}}, now, out);
    m_crashesSettleAt = m_crashes.nextSettled(now);
}

// Evacuations

void JobDispatcher::setEvacuated(std::set<std::string> dataCentres, bool isComplete, TimePoint now)
{
    m_knowsEvacuations |= isComplete;
    const double coresBefore = m_directory.usableCores(now);
    m_directory.setEvacuated(std::move(dataCentres));
    const double cores = m_directory.usableCores(now);
    if (cores < coresBefore)
        m_loadControl.scaleStartRates(cores / coresBefore);
}

bool JobDispatcher::isEvacuated(std::string_view upstream, const BestEffortJob &job,
                                TimePoint now) const
{
    return !isStarting(now)
           && m_directory.fitsOnlyEvacuated(
               {upstream, job.needs, 0, {}, job.requiredLabel, job.preferredLabel});
}

void JobDispatcher::refuseEvacuatedJobs(TimePoint now, DispatcherOutbox &out)
{
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    for (const Rank &rank : ranks) {
        const Job &job = m_jobs.at(rank.number);
        const bool isUnassigned = job.waitingCount == job.tasks.size() && !job.mayHaveStarted;
        if (isUnassigned && isEvacuated(job.upstream, job.spec, now))
            finish(rank.number, {JobOutcome::Refused, "evacuated", EvacuatedRetryAfter}, now, out);
    }
}

} // namespace cactuscove
