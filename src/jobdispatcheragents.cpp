// Inputs of the dispatcher from agents: connections, loads, starts, ends and inventories.

#include "durations.h"
#include "jobdispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration RefusedPause = 20ms;    // of a worker that refused a start
constexpr Duration UnhealthyPause = 250ms; // of a worker that refuses all starts
// A task that is late at that many workers is long itself.
constexpr int MaxMoves = 2;
// Time to stop a run and start it elsewhere.
constexpr Duration MoveTime = 12ms;
// Agents list ends for a little longer than this.
constexpr Duration InventoryMemory = 3s;
constexpr std::uint32_t AttemptStep = 16; // to get above attempts that others made

} // namespace

void JobDispatcher::onAgentConnected(const PeerHello &agent, TimePoint now, DispatcherOutbox &out)
{
    enter(now, out);
    m_agents[agent.instance] = agent;
    m_directory.agentConnected(agent.instance, agent.name, agent.dataCentre, now);
    // While the agent hears this entry, it goes on with its tasks: no time proves anything.
    for (auto &[number, job] : m_jobs)
        for (Task &task : job.tasks)
            if (task.state == State::Unproven && task.worker.agent == agent.instance)
                task.provenAt = NeverTime;
}

void JobDispatcher::onAgentDisconnected(Incarnation agent, TimePoint now, DispatcherOutbox &out)
{
    enter(now, out);
    m_directory.agentDisconnected(agent);
    m_agents.erase(agent);
    m_entriesHeard.erase(agent);
    for (auto &[number, job] : m_jobs) {
        for (Task &task : job.tasks) {
            const bool mayRun = task.state == State::Assigned || task.state == State::Running
                                || task.state == State::Withdrawn || task.state == State::Unproven;
            if (!mayRun || task.worker.agent != agent)
                continue;
            if (task.state != State::Unproven) {
                task.unprovenAt = now;
                out.emplace_back(
                    LogEvent{Severity::Warning,
                             "task_unproven",
                             {{"job", job.spec.id},
                              {"task", std::to_string(&task - job.tasks.data())},
                              {"attempt", std::to_string(task.attempt)},
                              {"worker", task.worker.worker},
                              {"agent", task.agentName},
                              {"proven_in_ms", toMsString(m_settings.lostAgentTimeout)}}});
            }
            task.provenAt = now + m_settings.lostAgentTimeout;
            setState(number, job, task, State::Unproven);
        }
    }
}

void JobDispatcher::onMessage(Incarnation agent, const PeerMessage &message, TimePoint now,
                              DispatcherOutbox &out)
{
    enter(now, out);
    m_directory.agentHeard(agent, now);
    if (const auto *beat = std::get_if<PeerHeartbeat>(&message)) {
        m_directory.agentClock(agent, beat->sentAt, now);
        m_entriesHeard[agent] = beat->entries;
    } else if (const auto *update = std::get_if<WorkerUpdate>(&message)) {
        m_directory.update(agent, *update);
    } else if (const auto *load = std::get_if<WorkerLoad>(&message)) {
        m_directory.load(agent, *load);
    } else if (const auto *started = std::get_if<TaskStarted>(&message)) {
        onStarted(agent, *started, now, out);
    } else if (const auto *late = std::get_if<TaskLate>(&message)) {
        onLate(agent, *late, now, out);
    } else if (const auto *ended = std::get_if<TaskEnded>(&message)) {
        onEnded(agent, *ended, now, out);
    } else if (const auto *refused = std::get_if<StartRefused>(&message)) {
        onStartRefused(agent, *refused, now, out);
    } else if (const auto *inventory = std::get_if<TaskInventory>(&message)) {
        onInventory(agent, *inventory, now, out);
    }
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
    const bool isOut = known.state != State::Waiting && known.state != State::Done;
    if (!isOut || known.attempt != attempt || known.worker.agent != agent)
        return {};
    return {it->second, &job};
}

void JobDispatcher::onStarted(Incarnation agent, const TaskStarted &message, TimePoint now,
                              DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return onUnknownTask(agent, message, out);
    Task &task = job->tasks[message.task.index];
    if (!job->mayHaveStarted) {
        job->mayHaveStarted = true;
        job->firstStartAt = now;
    }
    if (task.state == State::Assigned)
        setState(number, *job, task, State::Running);
}

void JobDispatcher::avoid(Task &task)
{
    if (std::find(task.avoid.begin(), task.avoid.end(), task.worker) == task.avoid.end())
        task.avoid.push_back(task.worker);
}

void JobDispatcher::onUnknownTask(Incarnation agent, const TaskStarted &task,
                                  DispatcherOutbox &out) const
{
    out.emplace_back(SendToAgent{agent, WithdrawTask{task.task, task.attempt}});
}

// A run that would end in time elsewhere, or much sooner, is stopped and placed again.
void JobDispatcher::onLate(Incarnation agent, const TaskLate &message, TimePoint now,
                           DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job || job->closing)
        return;
    Task &task = job->tasks[message.task.index];
    if (task.state != State::Running || task.moves >= MaxMoves)
        return;
    const Duration elsewhere = MoveTime + job->expectedRun;
    const bool meetsObjective = now + elsewhere <= job->objectiveAt;
    const bool isMuchSooner = elsewhere * 2 < message.remaining && now + elsewhere < job->deadline;
    if (!meetsObjective && !isMuchSooner)
        return;
    Task elsewhereTask = task;
    avoid(elsewhereTask);
    if (!m_directory.choose(requestOf(*job, elsewhereTask, now), now))
        return; // no room elsewhere
    avoid(task);
    ++task.moves;
    withdraw(*job, message.task.index, out);
    setState(number, *job, task, State::Withdrawn);
    out.emplace_back(LogEvent{Severity::Info,
                              "task_moved",
                              {{"job", job->spec.id},
                               {"task", std::to_string(message.task.index)},
                               {"attempt", std::to_string(message.attempt)},
                               {"worker", task.worker.worker},
                               {"remaining_ms", toMsString(message.remaining)},
                               {"expected_ms", toMsString(job->expectedRun)},
                               {"objective_ms", toMsString(job->objectiveAt - now)}}});
}

void JobDispatcher::onEnded(Incarnation agent, const TaskEnded &message, TimePoint now,
                            DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return;
    // An end proves a start, also if the message about it was lost with a connection.
    onStarted(agent, {message.task, message.attempt}, now, out);
    Task &task = job->tasks[message.task.index];
    if (message.end == TaskEnd::Done) {
        m_runTimes.learn(job->spec.queue, message.runTime, job->spec.declared);
        setState(number, *job, task, State::Done);
        if (job->done == job->tasks.size())
            finish(number, {JobOutcome::Completed, {}, {}}, now, out);
        else if (job->closing)
            checkClosed(number, now, out);
        return;
    }
    avoid(task);
    if (message.end == TaskEnd::Failed && ++task.failures >= job->maxAttempts) {
        setState(number, *job, task, State::Waiting);
        finish(number, {JobOutcome::Failed, "task_failed", {}}, now, out);
        return;
    }
    onProof(number, *job, message.task.index, now, out);
}

void JobDispatcher::onProof(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                            DispatcherOutbox &out)
{
    setState(number, job, job.tasks[index], State::Waiting);
    if (job.closing)
        checkClosed(number, now, out);
}

void JobDispatcher::onStartRefused(Incarnation agent, const StartRefused &message, TimePoint now,
                                   DispatcherOutbox &out)
{
    const auto [number, job] = findJob(message.task, agent, message.attempt);
    if (!job)
        return;
    Task &task = job->tasks[message.task.index];
    if (message.reason == StartRefusal::OldAttempt)
        task.attempt += AttemptStep;
    const bool isSick = message.reason == StartRefusal::Unhealthy
                        || message.reason == StartRefusal::NoWorker
                        || message.reason == StartRefusal::Draining;
    if (message.reason != StartRefusal::OldAttempt && message.reason != StartRefusal::Withdrawn)
        m_directory.pause(task.worker, now + (isSick ? UnhealthyPause : RefusedPause));
    avoid(task);
    onProof(number, *job, message.task.index, now, out);
}

// What the agent does not list after a new connection it never received, since it reads no older
// connection any more. What an earlier process of the agent ran has ended at workers that are
// clear.
void JobDispatcher::onInventory(Incarnation agent, const TaskInventory &inventory, TimePoint now,
                                DispatcherOutbox &out)
{
    const auto named = m_agents.find(agent);
    if (named == m_agents.end())
        return;
    for (const TaskEnded &it : inventory.ended)
        onEnded(agent, it, now, out);
    std::set<std::pair<TaskId, std::uint32_t>> listed;
    for (const auto *list : {&inventory.started, &inventory.waiting})
        for (const TaskStarted &it : *list) {
            listed.insert({it.task, it.attempt});
            const auto [number, job] = findJob(it.task, agent, it.attempt);
            if (!job) {
                onUnknownTask(agent, it, out);
                continue;
            }
            Task &task = job->tasks[it.task.index];
            if (task.state != State::Unproven)
                continue;
            if (job->closing) {
                withdraw(*job, it.task.index, out);
                setState(number, *job, task, State::Withdrawn);
            } else {
                setState(number, *job, task, State::Assigned);
                if (list == &inventory.started)
                    onStarted(agent, it, now, out);
            }
        }
    const std::vector<std::string> &clear = inventory.orphanFreeWorkers;
    std::vector<std::pair<JobNumber, std::uint32_t>> proven;
    for (auto &[number, job] : m_jobs)
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            const Task &task = job.tasks[i];
            if (task.state != State::Unproven || task.agentName != named->second.name)
                continue;
            const bool isSameProcess = task.worker.agent == agent;
            const bool isListed = listed.count({{job.spec.id, i}, task.attempt}) > 0;
            const bool isClear
                = std::find(clear.begin(), clear.end(), task.worker.worker) != clear.end();
            if (isSameProcess ? !isListed : isClear)
                proven.emplace_back(number, i);
            // Only the same process remembers whether it started the task, and for a while.
            job.mayHaveStarted |= !isSameProcess && isClear;
            job.mayHaveStarted
                |= isSameProcess && !isListed && now - task.unprovenAt > InventoryMemory;
        }
    for (const auto &[number, index] : proven) {
        const auto it = m_jobs.find(number);
        if (it != m_jobs.end())
            onProof(number, it->second, index, now, out);
    }
}

} // namespace cactuscove
