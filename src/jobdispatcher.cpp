// Inputs of the dispatcher: callers, agents and time.

#include "jobdispatcher.h"

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
constexpr Duration RefusedPause = 20ms;    // of a worker that refused a start
constexpr Duration UnhealthyPause = 250ms; // of a worker that refuses all starts
// Agents prove within this time that withdrawn tasks do not run; else the outcome is unknown.
constexpr Duration CloseTime = 200ms;
// The answer must be on its way before the caller's own timer ends.
constexpr Duration AnswerMargin = 8ms;
// Workers up to this slow are used even if the objective is then missed: the others may be busy.
constexpr double AcceptableSlowness = 1.6;
// Time to stop a run and start it elsewhere.
constexpr Duration MoveTime = 12ms;
// Inputs come at least with each beat; a longer gap means that the process was suspended.
constexpr Duration SuspensionGap = 300ms;
// Agents list ends for a little longer than this.
constexpr Duration InventoryMemory = 3s;
constexpr Duration StartupTime = 1500ms;
// How much later a job counts for each step of its priority.
constexpr Duration UrgencyStep = 100ms;
constexpr std::uint32_t AttemptStep = 16; // to get above attempts that others made
constexpr Duration PastJobMemory = 10s;
constexpr Duration MinRetryAfter = 200ms;
constexpr Duration NoWorkerRetryAfter = 1s;
// The longest of several tasks takes longer than the mean one.
constexpr double SpreadPerDoubling = 0.06;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string ms(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

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
    : m_settings(std::move(settings))
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
                               {"retry_ms", ms(answer.retryAfter)}}});
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
    const Resources capacity = m_directory.totalCapacity(queue->upstream, now);
    // Agents of a fleet that starts as a whole report within moments; jobs may wait for them.
    const bool isStarting = now - m_startedAt < StartupTime;
    if (!spec.needs.fitsIn(capacity) && !isStarting)
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

    std::uint32_t entries = 1;
    for (const auto &[agent, heard] : m_entriesHeard)
        entries = std::max(entries, heard);
    const double cores = static_cast<double>(capacity.cpuMillis) / 1000 / entries;
    const Duration allowed = std::min(job.objectiveAt, job.deadline) - now - span;
    const FleetRoom room{m_directory.freeCores(job.upstream, now), cores};
    const Duration wait
        = m_load.expectedWait(job.priority, workOf(job, job.spec.taskCount), room, now);
    if (wait * WaitMargin > allowed && !(isStarting && cores == 0)) {
        const DispatchAnswer answer{JobOutcome::Refused, "overloaded",
                                    std::max(wait - allowed, MinRetryAfter)};
        out.emplace_back(LogEvent{
            Severity::Info,
            "job_refused",
            {{"job", job.spec.id},
             {"queue", job.spec.queue},
             {"reason", answer.reason},
             {"wait_ms", ms(wait)},
             {"allowed_ms", ms(allowed)},
             {"waiting_core_ms",
              std::to_string(static_cast<std::int64_t>(m_load.waitingWork(job.priority).coreMs))},
             {"free_cores", std::to_string(static_cast<std::int64_t>(room.freeCores))},
             {"cores", std::to_string(static_cast<std::int64_t>(cores))},
             {"config", std::to_string(m_config.version)}}});
        out.emplace_back(AnswerJob{caller, answer});
        return;
    }

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

void JobDispatcher::callerGone(CallerId caller, TimePoint now, DispatcherOutbox &out)
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
        = [&](TimePoint at) { return at == TimePoint{} ? "-1" : ms(at - job.arrivedAt); };
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
                               {"took_ms", ms(now - job.arrivedAt)},
                               {"expected_ms", ms(job.expectedRun)},
                               {"objective_ms", ms(job.objectiveAt - job.arrivedAt)},
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
    const auto startBy = m_directory.agentTime(worker->agent, now + StartPatience);
    const auto endBy = m_directory.agentTime(worker->agent, job.deadline);
    if (!startBy || !endBy)
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
    message.startBy = *startBy;
    message.endBy = *endBy;
    message.finishBy = *m_directory.agentTime(worker->agent, job.objectiveAt);
    message.orderBy = *m_directory.agentTime(worker->agent, job.latestStart);
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

void JobDispatcher::settle(TimePoint now, DispatcherOutbox &out)
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

// Agents

void JobDispatcher::onConnected(const PeerHello &agent, TimePoint now, DispatcherOutbox &out)
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

void JobDispatcher::onDisconnected(Incarnation agent, TimePoint now, DispatcherOutbox &out)
{
    enter(now, out);
    m_directory.agentDisconnected(agent);
    m_entriesHeard.erase(agent);
    for (auto &[number, job] : m_jobs) {
        for (Task &task : job.tasks) {
            const bool mayRun = task.state == State::Assigned || task.state == State::Running
                                || task.state == State::Withdrawn || task.state == State::Unproven;
            if (!mayRun || task.worker.agent != agent)
                continue;
            if (task.state != State::Unproven) {
                task.unprovenAt = now;
                out.emplace_back(LogEvent{Severity::Warning,
                                          "task_unproven",
                                          {{"job", job.spec.id},
                                           {"task", std::to_string(&task - job.tasks.data())},
                                           {"attempt", std::to_string(task.attempt)},
                                           {"worker", task.worker.worker},
                                           {"agent", task.agentName},
                                           {"proven_in_ms", ms(m_settings.proofTime)}}});
            }
            task.provenAt = now + m_settings.proofTime;
            setState(number, job, task, State::Unproven);
        }
    }
}

void JobDispatcher::onMessage(Incarnation agent, const PeerMessage &message, TimePoint now,
                              DispatcherOutbox &out)
{
    enter(now, out);
    m_directory.agentHeard(agent, now);
    if (const auto *beat = std::get_if<PeerBeat>(&message)) {
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
    if (task.state != State::Running)
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
    withdraw(*job, message.task.index, out);
    setState(number, *job, task, State::Withdrawn);
    out.emplace_back(LogEvent{Severity::Info,
                              "task_moved",
                              {{"job", job->spec.id},
                               {"task", std::to_string(message.task.index)},
                               {"attempt", std::to_string(message.attempt)},
                               {"worker", task.worker.worker},
                               {"remaining_ms", ms(message.remaining)},
                               {"expected_ms", ms(job->expectedRun)},
                               {"objective_ms", ms(job->objectiveAt - now)}}});
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
    const std::vector<std::string> &clear = inventory.clearWorkers;
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
