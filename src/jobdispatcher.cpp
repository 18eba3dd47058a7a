// Inputs of the dispatcher from callers, the assignment of tasks, and timeouts.

#include "jobdispatcher.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A task that has not started this long after it was assigned is refused by its agent and assigned
// again, maybe to another worker.
constexpr Duration MaxWaitAtAgent = 150ms;
// The expected wait of a new job is multiplied by this before it is compared with the time that the
// job may wait: half of the waits are longer than expected, and a job that ends too late has used
// capacity for nothing.
constexpr double WaitSafetyFactor = 1.4;
// Agents confirm within this time that withdrawn tasks do not run; without that the outcome is
// unknown.
constexpr Duration CloseTimeout = 200ms;
// The answer must be sent this long before the caller's timeout or the objective, to arrive in
// time.
constexpr Duration AnswerMargin = 8ms;
// In multiples of the expected run time. Workers up to this slow are used even if the objective is
// then missed, as faster ones may be busy.
constexpr double AcceptableSlowness = 1.6;
// In this time after its start the entry lets jobs wait for agents to connect.
constexpr Duration StartupPeriod = 1500ms;
// Added to the latest start of a job for each step of its queue's priority.
constexpr Duration PriorityDelay = 100ms;
// Messages about a job may still come this long after its answer.
constexpr Duration EndedJobRetention = 10s;
constexpr Duration MinRetryAfter = 200ms;
constexpr Duration NoWorkerRetryAfter = 1s;
// The longest of several tasks takes longer than the mean one. Each time the number of tasks
// doubles, the job's expected run time grows by this fraction of the run time of one task.
constexpr double MakespanPerDoubling = 0.06;

} // namespace

std::string_view nameOf(JobOutcome outcome)
{
    switch (outcome) {
    case JobOutcome::Completed:
        return "completed";
    case JobOutcome::Failed:
        return "failed";
    case JobOutcome::Refused:
        return "refused";
    case JobOutcome::Unknown:
        return "unknown";
    }
    return "?";
}

JobDispatcher::JobDispatcher(DispatcherSettings settings, TimePoint startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
    , m_directory(m_settings.seed)
    , m_returningJobs(startedAt)
{}

const QueueSettings *JobDispatcher::findQueue(std::string_view name) const
{
    const auto it = std::find_if(m_config.queues.begin(), m_config.queues.end(),
                                 [&](const QueueSettings &queue) { return queue.name == name; });
    return it == m_config.queues.end() ? nullptr : &*it;
}

std::size_t JobDispatcher::waitingJobs(std::string_view queue) const
{
    return static_cast<std::size_t>(
        std::count_if(m_jobs.begin(), m_jobs.end(), [&](const auto &it) {
            return it.second.spec.queue == queue && !it.second.mayHaveStarted;
        }));
}

void JobDispatcher::configure(DispatchConfig config, DispatcherOutbox &out)
{
    out.emplace_back(LogEvent{Severity::Info,
                              "config_in_force",
                              {{"version", std::to_string(config.version)},
                               {"previous", std::to_string(m_config.version)},
                               {"queues", std::to_string(config.queues.size())}}});
    m_config = std::move(config);
}

// Jobs

JobDispatcher::Rank JobDispatcher::rankOf(JobNumber number, const Job &job) const
{
    return {job.latestStart, number};
}

Work JobDispatcher::workOf(const Job &job, std::size_t tasks) const
{
    const double cores
        = static_cast<double>(job.spec.needs.cpuMillis) / 1000 * static_cast<double>(tasks);
    return {cores, cores * toMs(job.expectedRun)};
}

Duration JobDispatcher::expectedMakespan(const Job &job) const
{
    const double doublings = std::log2(std::max<double>(job.spec.taskCount, 1));
    return std::chrono::duration_cast<Duration>(job.expectedRun
                                                * (1 + MakespanPerDoubling * doublings));
}

void JobDispatcher::setState(JobNumber number, Job &job, Task &task, State state)
{
    if (task.state == state)
        return;
    const bool wasReady = job.waitingCount > 0 && !job.closingAnswer;
    if (task.state == State::Waiting) {
        --job.waitingCount;
        m_loadControl.removeWaiting(job.priority, workOf(job, 1));
    }
    if (state == State::Waiting) {
        ++job.waitingCount;
        m_loadControl.addWaiting(job.priority, workOf(job, 1));
    }
    m_agentLostTasks += (state == State::AgentLost) - (task.state == State::AgentLost);
    job.doneCount += (state == State::Done) - (task.state == State::Done);
    task.state = state;
    const bool isReady = job.waitingCount > 0 && !job.closingAnswer;
    if (wasReady && !isReady)
        m_ready.erase(rankOf(number, job));
    else if (!wasReady && isReady)
        m_ready.insert(rankOf(number, job));
}

void JobDispatcher::refuse(CallerId caller, const BestEffortJob &job, std::string reason,
                           Duration retryAfter, DispatcherOutbox &out)
{
    const DispatchAnswer answer{JobOutcome::Refused, std::move(reason),
                                std::max(retryAfter, MinRetryAfter)};
    out.emplace_back(LogEvent{Severity::Info,
                              "job_refused",
                              {{"job", job.id},
                               {"queue", job.queue},
                               {"reason", answer.reason},
                               {"config", std::to_string(m_config.version)},
                               {"agents", std::to_string(m_directory.connectedAgents())},
                               {"retry_ms", toMsString(answer.retryAfter)}}});
    out.emplace_back(AnswerJob{caller, answer});
}

void JobDispatcher::submit(CallerId caller, BestEffortJob spec, Duration callerTimeout,
                           TimePoint now, DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    const QueueSettings *queue = findQueue(spec.queue);
    if (m_shuttingDown || !queue)
        return refuse(caller, spec, m_shuttingDown ? "shutting_down" : "no_queue", {}, out);
    if (const auto open = m_jobsById.find(spec.id); open != m_jobsById.end()) {
        Job &job = m_jobs.at(open->second);
        if (!job.closingAnswer) {
            job.callers.push_back(caller);
            m_jobsByCaller[caller] = open->second;
            return;
        }
        out.emplace_back(AnswerJob{caller, {JobOutcome::Unknown, "previous_closing", {}}});
        return;
    }
    if (spec.taskCount == 0) {
        out.emplace_back(AnswerJob{caller, {JobOutcome::Completed, {}, {}}});
        return;
    }
    if (!m_directory.fitsSomeWorker(
            {queue->upstream, spec.needs, 0, {}, spec.requiredLabel, spec.preferredLabel}))
        return refuse(caller, spec, "cannot_run", {}, out);
    if (isEvacuated(queue->upstream, spec, now))
        return refuse(caller, spec, "evacuated", NoWorkerRetryAfter, out);
    const WorkerDirectory::UsableCapacity usable = m_directory.usableCapacity(queue->upstream, now);
    if (!spec.needs.fitsIn(usable.total) && !isStarting(now))
        return refuse(caller, spec, "no_upstream", NoWorkerRetryAfter, out);

    Job job;
    job.callers.push_back(caller);
    job.priority = queue->priority;
    job.maxAttempts = std::max(queue->maxAttempts, 1);
    job.upstream = queue->upstream;
    job.arrivedAt = now;
    job.deadline = now + callerTimeout - AnswerMargin;
    job.expectedRun = m_runTimes.expect(spec.queue, spec.declaredRunTime);
    job.spec = std::move(spec);
    const Duration makespan = expectedMakespan(job);
    job.objectiveAt = now + queue->targetLatency - AnswerMargin
                      + std::chrono::duration_cast<Duration>(makespan * queue->slackFactor);
    job.latestStart = job.objectiveAt - makespan + PriorityDelay * job.priority;

    const double shareCores = shareOfCores(usable.total);
    const double cores = static_cast<double>(usable.total.cpuMillis) / 1000;
    const AvailableCores available{usable.freeCores, shareCores,
                                   cores > 0 ? shareCores / cores : 1};
    const bool mayWait = isStarting(now) && available.shareCores == 0;
    if (m_returningJobs.isReturning(job.spec.id, now)) {
        if (refuseReturning(caller, job, available, out))
            return;
    } else if (!mayWait && refuseIfOverloaded(caller, job, available, now, out))
        return;
    accept(caller, std::move(job));
}

// When a whole fleet starts, agents connect within moments; jobs may wait for them.
bool JobDispatcher::isStarting(TimePoint now) const
{
    return now - m_startedAt < StartupPeriod;
}

double JobDispatcher::shareOfCores(const Resources &capacity) const
{
    std::uint32_t entries = 1;
    for (const auto &[agent, entryCount] : m_entryCounts)
        entries = std::max(entries, entryCount);
    return static_cast<double>(capacity.cpuMillis) / 1000 / entries;
}

bool JobDispatcher::refuseIfOverloaded(CallerId caller, const Job &job,
                                       const AvailableCores &available, TimePoint now,
                                       DispatcherOutbox &out) const
{
    const Duration allowed = std::min(job.objectiveAt, job.deadline) - now - expectedMakespan(job);
    const Duration wait
        = m_loadControl.expectedWait(job.priority, workOf(job, job.spec.taskCount), available, now);
    if (wait * WaitSafetyFactor <= allowed)
        return false;
    const DispatchAnswer answer{JobOutcome::Refused, "overloaded",
                                std::max(wait - allowed, MinRetryAfter)};
    out.emplace_back(
        LogEvent{Severity::Info,
                 "job_refused",
                 {{"job", job.spec.id},
                  {"queue", job.spec.queue},
                  {"reason", answer.reason},
                  {"wait_ms", toMsString(wait)},
                  {"allowed_ms", toMsString(allowed)},
                  {"waiting_core_ms", std::to_string(static_cast<std::int64_t>(
                                          m_loadControl.waitingWork(job.priority).coreMs))},
                  {"free_cores", std::to_string(static_cast<std::int64_t>(available.freeCores))},
                  {"cores", std::to_string(static_cast<std::int64_t>(available.shareCores))},
                  {"config", std::to_string(m_config.version)}}});
    out.emplace_back(AnswerJob{caller, answer});
    return true;
}

bool JobDispatcher::refuseReturning(CallerId caller, Job &job, const AvailableCores &available,
                                    DispatcherOutbox &out)
{
    const auto retryAfter = m_returningJobs.retryTime(
        workOf(job, job.spec.taskCount), m_loadControl.waitingWork(std::numeric_limits<int>::max()),
        available);
    if (retryAfter)
        refuse(caller, job.spec, "no_spare_capacity", *retryAfter, out);
    else
        job.latestStart = job.deadline;
    return retryAfter.has_value();
}

void JobDispatcher::accept(CallerId caller, Job job)
{
    std::uint32_t attempt = 0;
    if (const auto endedJob = m_endedJobs.find(job.spec.id); endedJob != m_endedJobs.end())
        attempt = endedJob->second.lastAttempt;
    const JobNumber number = ++m_lastJob;
    m_jobsById[job.spec.id] = number;
    m_jobsByCaller[caller] = number;
    Job &it = m_jobs.emplace(number, std::move(job)).first->second;
    it.tasks.resize(it.spec.taskCount);
    for (Task &task : it.tasks)
        task.attempt = attempt;
    it.waitingCount = it.tasks.size();
    m_loadControl.addWaiting(it.priority, workOf(it, it.waitingCount));
    m_ready.insert(rankOf(number, it));
}

void JobDispatcher::callerDisconnected(CallerId caller, TimePoint now, DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    const auto found = m_jobsByCaller.find(caller);
    if (found == m_jobsByCaller.end())
        return;
    const JobNumber number = found->second;
    m_jobsByCaller.erase(found);
    Job &job = m_jobs.at(number);
    std::erase(job.callers, caller);
    if (job.callers.empty() && !job.closingAnswer)
        beginClosing(number, job, {JobOutcome::Unknown, "caller_gone", {}}, now, out);
}

void JobDispatcher::withdraw(const Job &job, std::uint32_t index, DispatcherOutbox &out) const
{
    const Task &task = job.tasks[index];
    out.emplace_back(
        SendToAgent{task.worker.agent, WithdrawTask{{job.spec.id, index}, task.attempt}});
}

void JobDispatcher::beginClosing(JobNumber number, Job &job, DispatchAnswer answer, TimePoint now,
                                 DispatcherOutbox &out)
{
    if (job.waitingCount > 0)
        m_ready.erase(rankOf(number, job));
    job.closingAnswer = std::move(answer);
    job.closeDeadline = now + CloseTimeout;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task &task = job.tasks[i];
        if (task.state != State::Assigned && task.state != State::Running)
            continue;
        withdraw(job, i, out);
        setState(number, job, task, State::Withdrawn);
    }
    finishIfClosed(number, now, out);
}

// The outcome Unknown becomes Refused if no task was ever started.
void JobDispatcher::finishIfClosed(JobNumber number, TimePoint now, DispatcherOutbox &out)
{
    Job &job = m_jobs.at(number);
    const bool mayRun = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &it) {
        return it.state == State::Withdrawn || it.state == State::AgentLost;
    });
    if (mayRun)
        return;
    DispatchAnswer answer = *job.closingAnswer;
    if (answer.outcome == JobOutcome::Unknown && !job.mayHaveStarted) {
        answer.outcome = JobOutcome::Refused;
        answer.retryAfter = std::max(answer.retryAfter, MinRetryAfter);
    }
    finish(number, std::move(answer), now, out);
}

void JobDispatcher::finish(JobNumber number, DispatchAnswer answer, TimePoint now,
                           DispatcherOutbox &out)
{
    const auto it = m_jobs.find(number);
    Job &job = it->second;
    std::uint32_t attempt = 0;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task &task = job.tasks[i];
        attempt = std::max(attempt, task.attempt);
        if (task.state == State::Assigned || task.state == State::Running)
            withdraw(job, i, out);
        if (task.state == State::Waiting || task.state == State::AgentLost)
            setState(number, job, task, State::Withdrawn);
    }
    const auto since
        = [&](TimePoint at) { return at == TimePoint{} ? "-1" : toMsString(at - job.arrivedAt); };
    out.emplace_back(LogEvent{Severity::Info,
                              "job_answered",
                              {{"job", job.spec.id},
                               {"queue", job.spec.queue},
                               {"outcome", std::string(nameOf(answer.outcome))},
                               {"reason", answer.reason},
                               {"tasks", std::to_string(job.tasks.size())},
                               {"done", std::to_string(job.doneCount)},
                               {"callers", std::to_string(job.callers.size())},
                               {"first_start_ms", since(job.firstStartAt)},
                               {"took_ms", toMsString(now - job.arrivedAt)},
                               {"expected_ms", toMsString(job.expectedRun)},
                               {"objective_ms", toMsString(job.objectiveAt - job.arrivedAt)},
                               {"attempt", std::to_string(attempt)},
                               {"config", std::to_string(m_config.version)}}});
    if (answer.outcome == JobOutcome::Completed)
        m_loadControl.recordAnswer(now > job.objectiveAt);
    for (const CallerId caller : job.callers) {
        out.emplace_back(AnswerJob{caller, answer});
        m_jobsByCaller.erase(caller);
    }
    if (attempt > 0)
        m_endedJobs[job.spec.id] = {attempt, now};
    m_jobsById.erase(job.spec.id);
    m_jobs.erase(it);
}

// Placement

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

// Timeouts

void JobDispatcher::expireJobs(TimePoint now, DispatcherOutbox &out)
{
    std::erase_if(m_endedJobs,
                  [&](const auto &it) { return now - it.second.endedAt > EndedJobRetention; });
    std::vector<JobNumber> jobNumbers;
    jobNumbers.reserve(m_jobs.size());
    for (const auto &[number, job] : m_jobs)
        jobNumbers.push_back(number);
    for (const JobNumber number : jobNumbers) {
        Job &job = m_jobs.at(number);
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
            if (job.tasks[i].state == State::AgentLost && now >= job.tasks[i].attemptEndsBy) {
                job.mayHaveStarted = true; // the attempt may have run, and has ended by now
                requeueTask(number, job, i, now, out);
                if (!m_jobs.count(number))
                    break;
            }
        if (!m_jobs.count(number))
            continue;
        if (job.closingAnswer) {
            if (now >= job.closeDeadline)
                finish(number, *job.closingAnswer, now, out);
            continue;
        }
        const bool isUnassigned = job.waitingCount == job.tasks.size() && !job.mayHaveStarted;
        if (now >= job.deadline)
            beginClosing(number, job, {JobOutcome::Unknown, "deadline", {}}, now, out);
        else if (isUnassigned
                 && now + expectedMakespan(job) > std::min(job.objectiveAt, job.deadline))
            finish(number, {JobOutcome::Refused, "overloaded", MinRetryAfter}, now, out);
    }
}

void JobDispatcher::processPending(TimePoint now, DispatcherOutbox &out)
{
    m_lastInputAt = now;
    if (now >= m_nextExpiry)
        expireJobs(now, out);
    if (m_directory.hasEvacuations())
        refuseEvacuatedJobs(now, out);
    if (m_knowsEvacuations || !m_settings.hasEvacuations || !isStarting(now))
        placeWaitingTasks(now, out);
    m_nextExpiry = earliestExpiry();
}

// After a suspension of the process, jobs whose time ran out meanwhile must end before an input is
// handled.
void JobDispatcher::expireAfterSuspension(TimePoint now, DispatcherOutbox &out)
{
    if (now - m_lastInputAt > SuspensionGap)
        expireJobs(now, out);
    m_lastInputAt = now;
}

void JobDispatcher::beginShutdown()
{
    m_shuttingDown = true;
}

TimePoint JobDispatcher::earliestExpiry() const
{
    TimePoint next = NeverTime;
    for (const auto &[number, job] : m_jobs) {
        if (job.closingAnswer) {
            next = std::min(next, job.closeDeadline);
            continue;
        }
        next = std::min(next, job.deadline);
        if (job.waitingCount == job.tasks.size() && !job.mayHaveStarted)
            next = std::min(next, std::min(job.objectiveAt, job.deadline) - expectedMakespan(job)
                                      + Duration(1));
    }
    if (m_agentLostTasks > 0)
        for (const auto &[number, job] : m_jobs)
            for (const Task &task : job.tasks)
                if (task.state == State::AgentLost)
                    next = std::min(next, task.attemptEndsBy);
    return next;
}

} // namespace cactuscove
