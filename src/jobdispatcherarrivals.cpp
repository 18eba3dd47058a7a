// Arrival of jobs at the dispatcher: whether a new job is accepted, and the answer if it is not.

#include "durations.h"
#include "jobdispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// The expected wait of a new job is multiplied by this before it is compared with the time that the
// job may wait: half of the waits are longer than expected, and a job that ends too late has used
// capacity for nothing.
constexpr double WaitSafetyFactor = 1.4;
// The answer must be sent this long before the caller's timeout or the objective, to arrive in
// time.
constexpr Duration AnswerMargin = 8ms;
// In this time after its start the entry lets jobs wait for agents to connect.
constexpr Duration StartupPeriod = 1500ms;
// Added to the latest start of a job for each step of its queue's priority.
constexpr Duration PriorityDelay = 100ms;
constexpr Duration NoWorkerRetryAfter = 1s;

} // namespace

void JobDispatcher::refuse(CallerId caller, const BestEffortJob &job, std::string reason,
                           Duration retryAfter, DispatcherOutbox &out)
{
    const DispatchAnswer answer{outcomeOfRefusal(job), std::move(reason),
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
    if (failIfGivenUp(caller, spec, now, out))
        return;
    if (spec.taskCount == 0) {
        out.emplace_back(AnswerJob{caller, {JobOutcome::Completed, {}, {}}});
        return;
    }
    if (!m_directory.fitsSomeWorker(
            {queue->upstream, spec.needs, 0, {}, spec.requiredLabel, spec.preferredLabel}))
        return refuse(caller, spec, "cannot_run", {}, out);
    if (isEvacuated(queue->upstream, spec, now))
        return refuse(caller, spec, "evacuated", EvacuatedRetryAfter, out);
    const WorkerPool pool = poolOf(queue->name, queue->upstream, now);
    const WorkerDirectory::UsableCapacity usable
        = m_directory.usableCapacity(queue->upstream, now, pool);
    if (!spec.needs.fitsIn(usable.total) && !isStarting(now))
        return refuse(caller, spec, pool == WorkerPool::Quarantine ? "quarantined" : "no_upstream",
                      NoWorkerRetryAfter, out);

    Job job = makeJob(caller, std::move(spec), *queue, callerTimeout, now);
    job.isQuarantined = pool == WorkerPool::Quarantine;
    if (admit(caller, job, *queue, usable, now, out))
        accept(caller, std::move(job));
}

bool JobDispatcher::failIfGivenUp(CallerId caller, const BestEffortJob &job, TimePoint now,
                                  DispatcherOutbox &out) const
{
    if (!m_crashes.hasGivenUp(job.id, now))
        return false;
    out.emplace_back(LogEvent{Severity::Info,
                              "job_given_up",
                              {{"job", job.id}, {"queue", job.queue}, {"reason", CrashedWorkers}}});
    out.emplace_back(AnswerJob{caller, {JobOutcome::Failed, CrashedWorkers, {}}});
    return true;
}

JobDispatcher::Job JobDispatcher::makeJob(CallerId caller, BestEffortJob spec,
                                          const QueueSettings &queue, Duration callerTimeout,
                                          TimePoint now)
{
    Job job;
    job.callers.push_back(caller);
    job.priority = queue.priority;
    job.maxAttempts = std::max(queue.maxAttempts, 1);
    job.upstream = queue.upstream;
    job.arrivedAt = now;
    job.deadline = std::min(now + callerTimeout - AnswerMargin, m_lastDeadline);
    job.expectedRun = m_runTimes.expect(spec.queue, spec.declaredRunTime);
    job.spec = std::move(spec);
    const Duration makespan = expectedMakespan(job);
    job.objectiveAt = now + queue.targetLatency - AnswerMargin
                      + std::chrono::duration_cast<Duration>(makespan * queue.slackFactor);
    job.latestStart = job.objectiveAt - makespan + PriorityDelay * job.priority;
    if (m_settings.hasScarcityControl)
        job.latestStart -= sizeLead(job, job.objectiveAt - now - makespan);
    return job;
}

bool JobDispatcher::admit(CallerId caller, Job &job, const QueueSettings &queue,
                          const WorkerDirectory::UsableCapacity &usable, TimePoint now,
                          DispatcherOutbox &out)
{
    std::optional<FleetUtilisation> utilisation;
    if (m_settings.hasScarcityControl && !job.isQuarantined)
        utilisation = m_demand.utilisation(queue.upstream, usable, now);
    const AvailableCores available = availableCores(queue, usable, utilisation, now);
    if (m_returningJobs.isReturning(job.spec.id, now))
        return !refuseReturning(caller, job, available, out);
    if (m_settings.hasScarcityControl && !job.isQuarantined
        && refuseOverQuota(caller, job, queue, utilisation, now, out))
        return false;
    const bool hasSpareCores = utilisation && utilisation->total() < TargetUtilisation;
    const bool mayWait = isStarting(now) && available.shareCores == 0;
    return mayWait || !refuseIfOverloaded(caller, job, available, hasSpareCores, now, out);
}

// When a whole fleet starts, agents connect within moments; jobs may wait for them.
bool JobDispatcher::isStarting(TimePoint now) const
{
    return now - m_startedAt < StartupPeriod;
}

AvailableCores JobDispatcher::availableCores(const QueueSettings &queue,
                                             const WorkerDirectory::UsableCapacity &usable,
                                             const std::optional<FleetUtilisation> &utilisation,
                                             TimePoint now) const
{
    double shareCores = shareOfCores(usable.total);
    if (utilisation)
        shareCores = m_demand.shareOfCores(queue.upstream, *utilisation, shareCores, now);
    const double cores = static_cast<double>(usable.total.cpuMillis) / 1000;
    return {usable.freeCores, shareCores, cores > 0 ? shareCores / cores : 1};
}

double JobDispatcher::shareOfCores(const Resources &capacity) const
{
    std::uint32_t entries = 1;
    for (const auto &[agent, entryCount] : m_entryCounts)
        entries = std::max(entries, entryCount);
    return static_cast<double>(capacity.cpuMillis) / 1000 / entries;
}

bool JobDispatcher::refuseOverQuota(CallerId caller, const Job &job, const QueueSettings &queue,
                                    const std::optional<FleetUtilisation> &utilisation,
                                    TimePoint now, DispatcherOutbox &out)
{
    const Work work = workOf(job, job.spec.taskCount);
    DemandControl::Decision decision = m_demand.onJob(queue, work.coreMs, utilisation, now);
    if (decision.partChange)
        out.emplace_back(std::move(*decision.partChange));
    if (!decision.isAccepted)
        refuse(caller, job.spec, "over_quota", decision.retryAfter, out);
    return !decision.isAccepted;
}

bool JobDispatcher::refuseIfOverloaded(CallerId caller, Job &job, const AvailableCores &available,
                                       bool hasSpareCores, TimePoint now,
                                       DispatcherOutbox &out) const
{
    const Duration makespan = expectedMakespan(job);
    const Duration allowed = usefulEnd(job) - now - makespan;
    const Duration wait = loadControlOf(job).expectedWait(
        job.priority, workOf(job, job.spec.taskCount), available, now);
    if (wait * WaitSafetyFactor <= allowed)
        return false;
    if (hasSpareCores && wait * WaitSafetyFactor <= job.deadline - now - makespan) {
        // It starts after the jobs that can meet their objectives.
        job.mayBeLate = true;
        job.latestStart = job.deadline - makespan + PriorityDelay * job.priority;
        return false;
    }
    const DispatchAnswer answer{outcomeOfRefusal(job.spec), "overloaded",
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
                                          loadControlOf(job).waitingWork(job.priority).coreMs))},
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
        workOf(job, job.spec.taskCount),
        loadControlOf(job).waitingWork(std::numeric_limits<int>::max()), available);
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
    it.mayHaveOpenStarts = m_openStarts.hasJob(it.spec.id, it.arrivedAt);
    it.mayHaveStarted = it.mayHaveOpenStarts;
    it.waitingCount = it.tasks.size();
    loadControlOf(it).addWaiting(it.priority, workOf(it, it.waitingCount));
    m_ready.insert(rankOf(number, it));
    ++m_readyVersion;
}

} // namespace cactuscove
