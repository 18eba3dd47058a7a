// Assignment of waiting tasks to workers.

#include "jobdispatcher.h"

#include "durations.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A task that has not started this long after it was assigned is refused by its agent and assigned
// again, maybe to another worker.
constexpr Duration MaxWaitAtAgent = 150ms;
// A task that runs alone waits until the other runs on its worker have ended.
constexpr Duration MaxWaitToRunAlone = 1s;
// With hasScarcityControl, a task waits at an agent for this share of its job's slack, so that it
// can still meet its objective elsewhere; but not for less than the time.
constexpr double WaitShareOfSlack = 0.75;
constexpr Duration MinWaitAtAgent = 20ms;
// In multiples of the expected run time. Workers up to this slow are used even if the objective is
// then missed, as faster ones may be busy.
constexpr double AcceptableSlowness = 1.6;
// A plan takes a pass over the workers, and on a busy fleet loads arrive every fraction of a
// millisecond. Short against the run times of tasks.
constexpr Duration MinPlanInterval = 2ms;
// Waiting jobs are planned again after this time without a new load: pauses end and expected
// releases come near.
constexpr Duration ReplanInterval = 10ms;
// A reservation that moves by less than this is not logged again.
constexpr Duration NoticeableMove = 25ms;
// Share of its slack by which a job that is twice as large as the mean of its queue, or larger, is
// planned earlier. It needs more tasks to end before it can start, and entries whose reservations
// overlap take the same capacity.
constexpr double SizeLead = 0.6;
constexpr double MinJobCores = 0.001;   // of a job that asks for none
constexpr double JobCoresWeight = 0.02; // of the newest job in the mean of its queue

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
    request.maxSlowness = maxSlownessOf(job, now);
    request.pool = poolOf(job, now);
    return request;
}

// While a queue is distrusted, its tasks and those of the other queues run on different workers.
WorkerPool JobDispatcher::poolOf(std::string_view queue, std::string_view upstream,
                                 TimePoint now) const
{
    return m_crashes.isDistrusted(queue, now) ? WorkerPool::Quarantine
                                              : trustedPoolOf(upstream, now);
}

WorkerPool JobDispatcher::trustedPoolOf(std::string_view upstream, TimePoint now) const
{
    if (!m_crashes.hasDistrusted(now))
        return WorkerPool::All;
    const bool isShared
        = std::any_of(m_config.queues.begin(), m_config.queues.end(), [&](const QueueSettings &it) {
              return it.upstream == upstream && m_crashes.isDistrusted(it.name, now);
          });
    return isShared ? WorkerPool::General : WorkerPool::All;
}

WorkerPool JobDispatcher::poolOf(const Job &job, TimePoint now) const
{
    return poolOf(job.spec.queue, job.upstream, now);
}

StartRule JobDispatcher::startRuleOf(const Job &job, std::uint32_t index, TimePoint now) const
{
    if (job.tasks[index].state != State::Waiting)
        return StartRule::Never;
    return m_crashes.isEmpty() ? StartRule::Anywhere
                               : m_crashes.startRuleOf({job.spec.id, index}, job.spec.queue, now);
}

std::vector<std::uint32_t> JobDispatcher::placeableTasks(const Job &job, TimePoint now) const
{
    std::vector<std::uint32_t> tasks;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i)
        if (startRuleOf(job, i, now) == StartRule::Anywhere && !boundWorkerOf(job, i, now))
            tasks.push_back(i);
    return tasks;
}

// Nothing tells how many tasks of such a job end their worker, so all of them run on one.
void JobDispatcher::placeTasksAlone(TimePoint now, DispatcherOutbox &out)
{
    if (m_crashes.isEmpty())
        return;
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    for (const Rank &rank : ranks) {
        Job &job = m_jobs.at(rank.number);
        std::optional<WorkerKey> worker;
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            if (startRuleOf(job, i, now) != StartRule::Alone || boundWorkerOf(job, i, now))
                continue;
            if (!worker && m_directory.canSpareWorker(job.upstream, poolOf(job, now), now))
                worker = m_directory.chooseEmptiestWorker(requestOf(job, job.tasks[i], now), now);
            if (!worker || !sendTask(rank.number, job, i, *worker, true, now, out))
                break;
        }
    }
}

bool JobDispatcher::placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                              DispatcherOutbox &out)
{
    const auto worker = m_directory.chooseWorker(requestOf(job, job.tasks[index], now), now);
    return worker && sendTask(number, job, index, *worker, false, now, out);
}

Duration JobDispatcher::maxWaitAtAgent(const Job &job, TimePoint now) const
{
    if (!m_settings.hasScarcityControl)
        return MaxWaitAtAgent;
    const Duration slack = job.objectiveAt - now - job.expectedRun;
    return std::clamp(fromMs(toMs(slack) * WaitShareOfSlack), MinWaitAtAgent, MaxWaitAtAgent);
}

bool JobDispatcher::sendTask(JobNumber number, Job &job, std::uint32_t index,
                             const WorkerKey &worker, bool runsAlone, TimePoint now,
                             DispatcherOutbox &out)
{
    const auto permit = m_openStarts.permitStart({job.spec.id, index}, worker.workerId, now);
    if (!permit)
        return false;
    const Duration maxWait = runsAlone ? MaxWaitToRunAlone : maxWaitAtAgent(job, now);
    const auto startDeadline = m_directory.agentClockAt(worker.agent, now + maxWait);
    const auto endDeadline = m_directory.agentClockAt(worker.agent, job.deadline);
    if (!startDeadline || !endDeadline)
        return false;
    Task &task = job.tasks[index];
    task.attempt = permit->attemptAfter(task.attempt);
    task.isStartAnswered = false;
    task.runsAlone = runsAlone;
    task.worker = worker;
    task.assignedAt = now;
    task.agentName = m_agents[worker.agent].name;
    setState(number, job, task, State::Assigned);
    loadControlOf(job).recordStart(job.priority, workOf(job, 1), now);
    AssignTask message;
    message.task = {job.spec.id, index};
    message.attempt = task.attempt;
    message.workerId = worker.workerId;
    message.queue = job.spec.queue;
    message.payload = job.spec.payload;
    message.needs = job.spec.needs;
    message.priority = job.priority;
    message.expectedRun = job.expectedRun;
    message.startDeadline = *startDeadline;
    message.endDeadline = *endDeadline;
    message.objectiveTime = *m_directory.agentClockAt(worker.agent, job.objectiveAt);
    message.schedulingKey = *m_directory.agentClockAt(worker.agent, job.latestStart);
    message.runsAlone = runsAlone;
    message.isDistrusted = m_crashes.isDistrusted(job.spec.queue, now);
    message.assignmentNumber = runsAlone
                                   ? m_directory.reserveWhole(worker, job.priority)
                                   : m_directory.reserve(worker, job.priority, job.spec.needs);
    out.emplace_back(SendToAgent{worker.agent, std::move(message)});
    return true;
}

// A job that finds no capacity keeps later jobs of its upstream from taking the capacity that
// becomes free for it.
void JobDispatcher::placeWaitingTasks(TimePoint now, DispatcherOutbox &out)
{
    placeBoundTasks(now, out);
    placeTasksAlone(now, out);
    if (m_settings.hasScarcityControl)
        return planWaitingJobs(now, out);
    // Without capacity for their next job.
    std::set<std::pair<std::string, WorkerPool>> fullPools;
    const std::vector<Rank> ranks(m_ready.begin(), m_ready.end());
    for (const Rank &rank : ranks) {
        Job &job = m_jobs.at(rank.number);
        const std::pair pool{job.upstream, poolOf(job, now)};
        if (fullPools.count(pool))
            continue;
        for (const std::uint32_t i : placeableTasks(job, now))
            if (!placeTask(rank.number, job, i, now, out)) {
                fullPools.insert(pool);
                break;
            }
    }
}

double JobDispatcher::maxSlownessOf(const Job &job, TimePoint now) const
{
    // The task should meet the objective, or if it cannot, the caller's deadline.
    const TimePoint endTarget
        = now + job.expectedRun < job.objectiveAt ? job.objectiveAt : job.deadline;
    return std::max(toMs(endTarget - now) / std::max(toMs(job.expectedRun), 1.0),
                    AcceptableSlowness);
}

Duration JobDispatcher::sizeLead(const Job &job, Duration slack)
{
    const double cores = std::max(workOf(job, job.spec.taskCount).cores, MinJobCores);
    double &mean = m_meanJobCores.try_emplace(job.spec.queue, cores).first->second;
    mean += JobCoresWeight * (cores - mean);
    const double excess = std::clamp(cores / mean - 1, 0.0, 1.0);
    return std::chrono::duration_cast<Duration>(slack * (SizeLead * excess));
}

// Jobs with started tasks come first, so that what has begun is finished.
std::vector<JobDispatcher::JobNumber> JobDispatcher::planOrder() const
{
    std::vector<JobNumber> order;
    order.reserve(m_ready.size());
    for (const bool hasStarted : {true, false})
        for (const Rank &rank : m_ready)
            if (isBegun(m_jobs.at(rank.number)) == hasStarted)
                order.push_back(rank.number);
    return order;
}

bool JobDispatcher::isBegun(const Job &job)
{
    return job.mayHaveStarted || job.waitingCount < job.tasks.size();
}

// Plans at most once in MinPlanInterval, and only if something has changed or ReplanInterval has
// passed.
void JobDispatcher::planWaitingJobs(TimePoint now, DispatcherOutbox &out)
{
    m_nextPlanAt = NeverTime;
    if (m_ready.empty())
        return;
    const bool isChanged = m_readyVersion != m_plannedReadyVersion
                           || m_directory.capacityVersion() != m_plannedCapacityVersion;
    const TimePoint dueAt = m_plannedAt + (isChanged ? MinPlanInterval : ReplanInterval);
    if (now < dueAt) {
        m_nextPlanAt = dueAt;
        return;
    }
    m_plannedAt = now;
    m_plannedCapacityVersion = m_directory.capacityVersion();
    std::map<std::pair<std::string, WorkerPool>, PlacementPlan> plans;
    for (const JobNumber number : planOrder()) {
        Job &job = m_jobs.at(number);
        const std::pair pool{job.upstream, poolOf(job, now)};
        auto plan = plans.find(pool);
        if (plan == plans.end())
            plan = plans
                       .try_emplace(pool, m_directory.planWorkers(job.upstream, now, pool.second),
                                    m_settings.remoteSlowness, now, m_random)
                       .first;
        carryOut(plan->second, number, job, now, out);
    }
    m_plannedReadyVersion = m_readyVersion;
    if (!m_ready.empty())
        m_nextPlanAt = now + ReplanInterval;
}

void JobDispatcher::carryOut(PlacementPlan &plan, JobNumber number, Job &job, TimePoint now,
                             DispatcherOutbox &out)
{
    const std::vector<std::uint32_t> tasks = placeableTasks(job, now);
    if (tasks.empty())
        return;
    PlanJob request;
    request.needs = job.spec.needs;
    request.taskCount = tasks.size();
    request.expectedRun = job.expectedRun;
    request.objectiveAt = job.objectiveAt;
    request.hasStarted = isBegun(job);
    request.requiredLabel = job.spec.requiredLabel;
    request.preferredLabel = job.spec.preferredLabel;
    request.maxSlowness = maxSlownessOf(job, now);
    request.maxWaitAtAgent = maxWaitAtAgent(job, now);
    std::vector<WorkerKey> avoided;
    for (const std::uint32_t i : tasks) {
        const std::vector<WorkerKey> &workers = job.tasks[i].avoidedWorkers;
        avoided.insert(avoided.end(), workers.begin(), workers.end());
    }
    request.avoidedWorkers = avoided;
    const PlanDecision decision = plan.place(request);
    for (std::size_t i = 0; i < decision.starts.size(); ++i)
        if (!sendTask(number, job, tasks[i], decision.starts[i], false, now, out))
            break;
    if (!request.hasStarted && request.taskCount > 1)
        m_placementCounts.wholeStarts += decision.starts.size() == request.taskCount;
    m_placementCounts.backfills += decision.isBackfill;
    if (decision.reservation)
        recordReservation(number, job, *decision.reservation, now, out);
}

void JobDispatcher::recordReservation(JobNumber number, Job &job,
                                      const PlanReservation &reservation, TimePoint now,
                                      DispatcherOutbox &out)
{
    const bool isNew = job.reservedAt == NeverTime;
    const Duration move = isNew ? Duration{} : reservation.startAt - job.reservedAt;
    if (!isNew && std::max(move, -move) < NoticeableMove)
        return;
    job.reservedAt = reservation.startAt;
    ++(isNew ? m_placementCounts.reservations : m_placementCounts.movedReservations);
    out.emplace_back(LogEvent{Severity::Info,
                              isNew ? "job_reserved" : "reservation_moved",
                              {{"job", job.spec.id},
                               {"number", std::to_string(number)},
                               {"worker", reservation.lastWorker.workerId},
                               {"tasks", std::to_string(reservation.taskCount)},
                               {"starts_in_ms", toMsString(reservation.startAt - now)},
                               {"load_age_ms", toMsString(reservation.loadAge)},
                               {"latest_start_in_ms", toMsString(job.latestStart - now)}}});
}

} // namespace cactuscove
