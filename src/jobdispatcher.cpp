// Inputs of the dispatcher: callers and time.

#include "jobdispatcher.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// An assignment that waits longer at an agent goes back to be placed elsewhere.
constexpr Duration StartPatience = 150ms;
// The wait is underestimated as often as not, and a job that is late has used room in vain.
constexpr double WaitMargin = 1.4;
// Agents prove within this time that withdrawn tasks do not run; else the outcome is unknown.
constexpr Duration CloseTime = 200ms;
// The answer must be on its way before the caller's own timer ends.
constexpr Duration AnswerMargin = 8ms;
// Workers up to this slow are used even if the objective is then missed: the others may be busy.
constexpr double AcceptableSlowness = 1.6;
constexpr Duration StartupTime = 1500ms;
// How much later a job counts for each step of its priority.
constexpr Duration UrgencyStep = 100ms;
constexpr Duration PastJobMemory = 10s;
constexpr Duration MinRetryAfter = 200ms;
constexpr Duration NoWorkerRetryAfter = 1s;
// The longest of several tasks takes longer than the mean one.
constexpr double SpreadPerDoubling = 0.06;

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

// The run time of the whole job when all its tasks run at once.
Duration JobDispatcher::expectedSpan(const Job &job) const
{
    const double doublings = std::log2(std::max<double>(job.spec.taskCount, 1));
    return std::chrono::duration_cast<Duration>(job.expectedRun
                                                * (1 + SpreadPerDoubling * doublings));
}

void JobDispatcher::setState(JobNumber number, Job &job, Task &task, State state)
{
    if (task.state == state)
        return;
    const bool wasReady = job.waiting > 0 && !job.closing;
    if (task.state == State::Waiting) {
        --job.waiting;
        m_load.unqueued(job.priority, workOf(job, 1));
    }
    if (state == State::Waiting) {
        ++job.waiting;
        m_load.queued(job.priority, workOf(job, 1));
    }
    m_unproven += (state == State::Unproven) - (task.state == State::Unproven);
    job.done += (state == State::Done) - (task.state == State::Done);
    task.state = state;
    const bool isReady = job.waiting > 0 && !job.closing;
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

void JobDispatcher::submit(CallerId caller, BestEffortJob spec, Duration patience, TimePoint now,
                           DispatcherOutbox &out)
{
    enter(now, out);
    const QueueSettings *queue = findQueue(spec.queue);
    if (m_shuttingDown || !queue)
        return refuse(caller, spec, m_shuttingDown ? "shutting_down" : "no_queue", {}, out);
    if (const auto open = m_jobsById.find(spec.id); open != m_jobsById.end()) {
        Job &job = m_jobs.at(open->second);
        if (!job.closing) {
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
    if (!m_directory.couldEverFit(
            {queue->upstream, spec.needs, 0, {}, spec.requiredLabel, spec.preferredLabel}))
        return refuse(caller, spec, "cannot_run", {}, out);
    const WorkerDirectory::Room known = m_directory.roomOf(queue->upstream, now);
    // Agents of a fleet that starts as a whole report within moments; jobs may wait for them.
    const bool isStarting = now - m_startedAt < StartupTime;
    if (!spec.needs.fitsIn(known.capacity) && !isStarting)
        return refuse(caller, spec, "no_upstream", NoWorkerRetryAfter, out);

    Job job;
    job.callers.push_back(caller);
    job.priority = queue->priority;
    job.maxAttempts = std::max(queue->maxAttempts, 1);
    job.upstream = queue->upstream;
    job.arrivedAt = now;
    job.deadline = now + patience - AnswerMargin;
    job.expectedRun = m_runTimes.expect(spec.queue, spec.declared);
    job.spec = std::move(spec);
    const Duration span = expectedSpan(job);
    job.objectiveAt = now + queue->targetLatency - AnswerMargin
                      + std::chrono::duration_cast<Duration>(span * queue->slackFactor);
    job.latestStart = job.objectiveAt - span + UrgencyStep * job.priority;

    const FleetRoom room{known.freeCores, shareOf(known.capacity)};
    const bool mayWait = isStarting && room.shareCores == 0;
    if (!mayWait && refuseIfOverloaded(caller, job, room, now, out))
        return;
    accept(caller, std::move(job));
}

double JobDispatcher::shareOf(const Resources &capacity) const
{
    std::uint32_t entries = 1;
    for (const auto &[agent, heard] : m_entriesHeard)
        entries = std::max(entries, heard);
    return static_cast<double>(capacity.cpuMillis) / 1000 / entries;
}

bool JobDispatcher::refuseIfOverloaded(CallerId caller, const Job &job, const FleetRoom &room,
                                       TimePoint now, DispatcherOutbox &out) const
{
    const Duration allowed = std::min(job.objectiveAt, job.deadline) - now - expectedSpan(job);
    const Duration wait
        = m_load.expectedWait(job.priority, workOf(job, job.spec.taskCount), room, now);
    if (wait * WaitMargin <= allowed)
        return false;
    const DispatchAnswer answer{JobOutcome::Refused, "overloaded",
                                std::max(wait - allowed, MinRetryAfter)};
    out.emplace_back(LogEvent{
        Severity::Info,
        "job_refused",
        {{"job", job.spec.id},
         {"queue", job.spec.queue},
         {"reason", answer.reason},
         {"wait_ms", toMsString(wait)},
         {"allowed_ms", toMsString(allowed)},
         {"waiting_core_ms",
          std::to_string(static_cast<std::int64_t>(m_load.waitingWork(job.priority).coreMs))},
         {"free_cores", std::to_string(static_cast<std::int64_t>(room.freeCores))},
         {"cores", std::to_string(static_cast<std::int64_t>(room.shareCores))},
         {"config", std::to_string(m_config.version)}}});
    out.emplace_back(AnswerJob{caller, answer});
    return true;
}

void JobDispatcher::accept(CallerId caller, Job job)
{
    std::uint32_t attempt = 0;
    if (const auto past = m_pastJobs.find(job.spec.id); past != m_pastJobs.end())
        attempt = past->second.attempt;
    const JobNumber number = ++m_lastJob;
    m_jobsById[job.spec.id] = number;
    m_jobsByCaller[caller] = number;
    Job &it = m_jobs.emplace(number, std::move(job)).first->second;
    it.tasks.resize(it.spec.taskCount);
    for (Task &task : it.tasks)
        task.attempt = attempt;
    it.waiting = it.tasks.size();
    m_load.queued(it.priority, workOf(it, it.waiting));
    m_ready.insert(rankOf(number, it));
}

void JobDispatcher::callerDisconnected(CallerId caller, TimePoint now, DispatcherOutbox &out)
{
    enter(now, out);
    const auto found = m_jobsByCaller.find(caller);
    if (found == m_jobsByCaller.end())
        return;
    const JobNumber number = found->second;
    m_jobsByCaller.erase(found);
    Job &job = m_jobs.at(number);
    std::erase(job.callers, caller);
    if (job.callers.empty() && !job.closing)
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
    if (job.waiting > 0)
        m_ready.erase(rankOf(number, job));
    job.closing = std::move(answer);
    job.closeBy = now + CloseTime;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        Task &task = job.tasks[i];
        if (task.state != State::Assigned && task.state != State::Running)
            continue;
        withdraw(job, i, out);
        setState(number, job, task, State::Withdrawn);
    }
    checkClosed(number, now, out);
}

// A closing job ends once no task of it may run. Refused stands only if none was ever started.
void JobDispatcher::checkClosed(JobNumber number, TimePoint now, DispatcherOutbox &out)
{
    Job &job = m_jobs.at(number);
    const bool mayRun = std::any_of(job.tasks.begin(), job.tasks.end(), [](const Task &it) {
        return it.state == State::Withdrawn || it.state == State::Unproven;
    });
    if (mayRun)
        return;
    DispatchAnswer answer = *job.closing;
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
        if (task.state == State::Waiting || task.state == State::Unproven)
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
                               {"done", std::to_string(job.done)},
                               {"callers", std::to_string(job.callers.size())},
                               {"first_start_ms", since(job.firstStartAt)},
                               {"took_ms", toMsString(now - job.arrivedAt)},
                               {"expected_ms", toMsString(job.expectedRun)},
                               {"objective_ms", toMsString(job.objectiveAt - job.arrivedAt)},
                               {"attempt", std::to_string(attempt)},
                               {"config", std::to_string(m_config.version)}}});
    if (answer.outcome == JobOutcome::Completed)
        m_load.answered(now > job.objectiveAt);
    for (const CallerId caller : job.callers) {
        out.emplace_back(AnswerJob{caller, answer});
        m_jobsByCaller.erase(caller);
    }
    if (attempt > 0)
        m_pastJobs[job.spec.id] = {attempt, now};
    m_jobsById.erase(job.spec.id);
    m_jobs.erase(it);
}

// Placing

WorkerDirectory::Request JobDispatcher::requestOf(const Job &job, const Task &task,
                                                  TimePoint now) const
{
    WorkerDirectory::Request request;
    request.upstream = job.upstream;
    request.needs = job.spec.needs;
    request.priority = job.priority;
    request.avoid = task.avoid;
    request.requiredLabel = job.spec.requiredLabel;
    request.preferredLabel = job.spec.preferredLabel;
    const TimePoint by = now + job.expectedRun < job.objectiveAt ? job.objectiveAt : job.deadline;
    request.maxSlowness
        = std::max(toMs(by - now) / std::max(toMs(job.expectedRun), 1.0), AcceptableSlowness);
    return request;
}

bool JobDispatcher::placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                              DispatcherOutbox &out)
{
    Task &task = job.tasks[index];
    const auto worker = m_directory.choose(requestOf(job, task, now), now);
    if (!worker)
        return false;
    const auto startDeadline = m_directory.agentTime(worker->agent, now + StartPatience);
    const auto endDeadline = m_directory.agentTime(worker->agent, job.deadline);
    if (!startDeadline || !endDeadline)
        return false;
    ++task.attempt;
    task.worker = *worker;
    task.agentName = m_agents[worker->agent].name;
    setState(number, job, task, State::Assigned);
    m_load.started(job.priority, workOf(job, 1), now);
    AssignTask message;
    message.task = {job.spec.id, index};
    message.attempt = task.attempt;
    message.workerId = worker->worker;
    message.queue = job.spec.queue;
    message.payload = job.spec.payload;
    message.needs = job.spec.needs;
    message.priority = job.priority;
    message.expectedRun = job.expectedRun;
    message.startDeadline = *startDeadline;
    message.endDeadline = *endDeadline;
    message.objectiveTime = *m_directory.agentTime(worker->agent, job.objectiveAt);
    message.schedulingKey = *m_directory.agentTime(worker->agent, job.latestStart);
    message.number = m_directory.book(*worker, job.priority, job.spec.needs);
    out.emplace_back(SendToAgent{worker->agent, std::move(message)});
    return true;
}

// A job that finds no room keeps the ones after it from taking what becomes free for it.
void JobDispatcher::place(TimePoint now, DispatcherOutbox &out)
{
    std::set<std::string> full; // upstreams
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    for (const Rank &rank : ranks) {
        Job &job = m_jobs.at(rank.number);
        if (full.count(job.upstream))
            continue;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (job.tasks[i].state != State::Waiting)
                continue;
            if (!placeTask(rank.number, job, i, now, out)) {
                full.insert(job.upstream);
                break;
            }
        }
    }
}

// Time

void JobDispatcher::expire(TimePoint now, DispatcherOutbox &out)
{
    std::erase_if(m_pastJobs,
                  [&](const auto &it) { return now - it.second.endedAt > PastJobMemory; });
    std::vector<JobNumber> numbers;
    numbers.reserve(m_jobs.size());
    for (const auto &[number, job] : m_jobs)
        numbers.push_back(number);
    for (const JobNumber number : numbers) {
        Job &job = m_jobs.at(number);
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
            if (job.tasks[i].state == State::Unproven && now >= job.tasks[i].provenAt) {
                job.mayHaveStarted = true; // it has ended by now, if it ran
                onProof(number, job, i, now, out);
                if (!m_jobs.count(number))
                    break;
            }
        if (!m_jobs.count(number))
            continue;
        if (job.closing) {
            if (now >= job.closeBy)
                finish(number, *job.closing, now, out);
            continue;
        }
        const bool isUntouched = job.waiting == job.tasks.size() && !job.mayHaveStarted;
        if (now >= job.deadline)
            beginClosing(number, job, {JobOutcome::Unknown, "deadline", {}}, now, out);
        else if (isUntouched && now + expectedSpan(job) > std::min(job.objectiveAt, job.deadline))
            finish(number, {JobOutcome::Refused, "overloaded", MinRetryAfter}, now, out);
    }
}

void JobDispatcher::processPending(TimePoint now, DispatcherOutbox &out)
{
    m_enteredAt = now;
    if (now >= m_nextExpiry)
        expire(now, out);
    place(now, out);
    m_nextExpiry = earliestExpiry();
}

// After a suspension, what has expired meanwhile must go before an input is handled.
void JobDispatcher::enter(TimePoint now, DispatcherOutbox &out)
{
    if (now - m_enteredAt > SuspensionGap)
        expire(now, out);
    m_enteredAt = now;
}

void JobDispatcher::beginShutdown()
{
    m_shuttingDown = true;
}

TimePoint JobDispatcher::earliestExpiry() const
{
    TimePoint next = NeverTime;
    for (const auto &[number, job] : m_jobs) {
        if (job.closing) {
            next = std::min(next, job.closeBy);
            continue;
        }
        next = std::min(next, job.deadline);
        if (job.waiting == job.tasks.size() && !job.mayHaveStarted)
            next = std::min(next, std::min(job.objectiveAt, job.deadline) - expectedSpan(job)
                                      + Duration(1));
    }
    if (m_unproven > 0)
        for (const auto &[number, job] : m_jobs)
            for (const Task &task : job.tasks)
                if (task.state == State::Unproven)
                    next = std::min(next, task.provenAt);
    return next;
}

} // namespace cactuscove
