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
    return request;
}

bool JobDispatcher::placeTask(JobNumber number, Job &job, std::uint32_t index, TimePoint now,
                              DispatcherOutbox &out)
{
    const auto worker = m_directory.chooseWorker(requestOf(job, job.tasks[index], now), now);
    return worker && sendTask(number, job, index, *worker, now, out);
}

Duration JobDispatcher::maxWaitAtAgent(const Job &job, TimePoint now) const
{
    if (!m_settings.hasScarcityControl)
        return MaxWaitAtAgent;
    const Duration slack = job.objectiveAt - now - job.expectedRun;
    return std::clamp(fromMs(toMs(slack) * WaitShareOfSlack), MinWaitAtAgent, MaxWaitAtAgent);
}

bool JobDispatcher::sendTask(JobNumber number, Job &job, std::uint32_t index,
                             const WorkerKey &worker, TimePoint now, DispatcherOutbox &out)
{
    const auto startDeadline
        = m_directory.agentClockAt(worker.agent, now + maxWaitAtAgent(job, now));
    const auto endDeadline = m_directory.agentClockAt(worker.agent, job.deadline);
    if (!startDeadline || !endDeadline)
        return false;
    Task &task = job.tasks[index];
    ++task.attempt;
    task.worker = worker;
    task.agentName = m_agents[worker.agent].name;
    setState(number, job, task, State::Assigned);
    m_loadControl.recordStart(job.priority, workOf(job, 1), now);
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
    message.assignmentNumber = m_directory.reserve(worker, job.priority, job.spec.needs);
    out.emplace_back(SendToAgent{worker.agent, std::move(message)});
    return true;
}

// A job that finds no capacity keeps later jobs of its upstream from taking the capacity that
// becomes free for it.
void JobDispatcher::placeWaitingTasks(TimePoint now, DispatcherOutbox &out)
{
    if (m_settings.hasScarcityControl)
        return planWaitingJobs(now, out);
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
    std::map<std::string, PlacementPlan> plans; // by upstream
    for (const JobNumber number : planOrder()) {
        Job &job = m_jobs.at(number);
        auto plan = plans.find(job.upstream);
        if (plan == plans.end())
            plan = plans
                       .try_emplace(job.upstream, m_directory.planWorkers(job.upstream, now),
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
    PlanJob request;
    request.needs = job.spec.needs;
    request.taskCount = job.waitingCount;
    request.expectedRun = job.expectedRun;
    request.objectiveAt = job.objectiveAt;
    request.hasStarted = isBegun(job);
    request.requiredLabel = job.spec.requiredLabel;
    request.preferredLabel = job.spec.preferredLabel;
    request.maxSlowness = maxSlownessOf(job, now);
    request.maxWaitAtAgent = maxWaitAtAgent(job, now);
    std::vector<WorkerKey> avoided;
    for (const Task &it : job.tasks)
        if (it.state == State::Waiting)
            avoided.insert(avoided.end(), it.avoidedWorkers.begin(), it.avoidedWorkers.end());
    request.avoidedWorkers = avoided;
    const PlanDecision decision = plan.place(request);
    std::uint32_t index = 0;
    for (const WorkerKey &worker : decision.starts) {
        while (job.tasks[index].state != State::Waiting)
            ++index;
        if (!sendTask(number, job, index++, worker, now, out))
            break;
    }
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
