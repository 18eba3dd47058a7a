// State of jobs, and timeouts.

#include "jobdispatcher.h"

#include "durations.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Agents confirm within this time that withdrawn tasks do not run; without that the outcome is
// unknown.
constexpr Duration CloseTimeout = 200ms;
// Messages about a job may still come this long after its answer.
constexpr Duration EndedJobRetention = 10s;
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
    , m_demand(startedAt)
    , m_returningJobs(startedAt)
    , m_random(m_settings.seed)
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

LoadControl &JobDispatcher::loadControlOf(const Job &job)
{
    return job.isQuarantined ? m_quarantineLoad : m_loadControl;
}

const LoadControl &JobDispatcher::loadControlOf(const Job &job) const
{
    return job.isQuarantined ? m_quarantineLoad : m_loadControl;
}

Duration JobDispatcher::expectedMakespan(const Job &job) const
{
    const double doublings = std::log2(std::max<double>(job.spec.taskCount, 1));
    return std::chrono::duration_cast<Duration>(job.expectedRun
                                                * (1 + MakespanPerDoubling * doublings));
}

TimePoint JobDispatcher::usefulEnd(const Job &job)
{
    return job.mayBeLate ? job.deadline : std::min(job.objectiveAt, job.deadline);
}

std::vector<DemandReport> JobDispatcher::demandReports(TimePoint now) const
{
    if (!m_settings.hasScarcityControl)
        return {};
    DemandControl::WaitingWork waiting;
    for (const auto &[number, job] : m_jobs)
        if (!job.closingAnswer && !job.isQuarantined)
            waiting[{job.upstream, job.priority}] += workOf(job, job.waitingCount).coreMs;
    return m_demand.reports(
        m_config, m_directory, waiting,
        [&](std::string_view upstream) { return trustedPoolOf(upstream, now); }, now);
}

std::optional<FleetUtilisation> JobDispatcher::fleetUtilisation(std::string_view upstream,
                                                                TimePoint now) const
{
    if (!m_settings.hasScarcityControl)
        return std::nullopt;
    return m_demand.utilisation(upstream, m_directory.usableCapacity(upstream, now), now);
}

void JobDispatcher::setState(JobNumber number, Job &job, Task &task, State state)
{
    if (task.state == state)
        return;
    const bool wasReady = job.waitingCount > 0 && !job.closingAnswer;
    if (task.state == State::Waiting) {
        --job.waitingCount;
        loadControlOf(job).removeWaiting(job.priority, workOf(job, 1));
    }
    if (state == State::Waiting) {
        ++job.waitingCount;
        ++m_readyVersion;
        loadControlOf(job).addWaiting(job.priority, workOf(job, 1));
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
        // Its agent has not confirmed that, and may be suspended.
        if (task.state == State::Assigned || task.state == State::Withdrawn)
            suspectOpenStart(job, i, now, out);
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
        loadControlOf(job).recordAnswer(now > job.objectiveAt);
    for (const CallerId caller : job.callers) {
        out.emplace_back(AnswerJob{caller, answer});
        m_jobsByCaller.erase(caller);
    }
    if (attempt > 0)
        m_endedJobs[job.spec.id] = {attempt, now};
    m_jobsById.erase(job.spec.id);
    m_jobs.erase(it);
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
                requeueTask(number, job, i, AttemptStart::Possible, now, out);
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
        else if (isUnassigned && now + expectedMakespan(job) > usefulEnd(job))
            finish(number, {JobOutcome::Refused, "overloaded", MinRetryAfter}, now, out);
    }
}

void JobDispatcher::processPending(TimePoint now, DispatcherOutbox &out)
{
    m_lastInputAt = now;
    m_openStarts.removeExpired(now);
    if (now >= m_nextExpiry)
        expireJobs(now, out);
    if (now >= m_crashesSettleAt)
        failGivenUpJobs(now, out);
    if (m_directory.hasEvacuations())
        refuseEvacuatedJobs(now, out);
    if (m_knowsEvacuations || !m_settings.waitsForEvacuations || !isStarting(now))
        placeWaitingTasks(now, out);
    giveUpBoundJobs(now, out);
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

void JobDispatcher::answerJobsBy(TimePoint end)
{
    m_lastDeadline = end - CloseTimeout;
    for (auto &[number, job] : m_jobs)
        job.deadline = std::min(job.deadline, m_lastDeadline);
    m_nextExpiry = earliestExpiry();
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
        if (hasBoundTask(job, m_lastInputAt))
            next = std::min(next, lastUsefulStart(job));
        if (job.waitingCount == job.tasks.size() && !job.mayHaveStarted)
            next = std::min(next, usefulEnd(job) - expectedMakespan(job) + Duration(1));
    }
    if (m_agentLostTasks > 0)
        for (const auto &[number, job] : m_jobs)
            for (const Task &task : job.tasks)
                if (task.state == State::AgentLost)
                    next = std::min(next, task.attemptEndsBy);
    return next;
}

} // namespace cactuscove
