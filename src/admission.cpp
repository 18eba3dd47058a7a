// Start-time fair queueing over classes and, within a class, over teams. Each class and team has a
// start tag, which grows by the cost of its tasks divided by its share or weight; the lowest tag is
// served next. The cost of a task is slot time: pop() charges the expected run time, and
// taskEnded() charges the difference to the measured one, so that long tasks cannot take more than
// the share of their class.

#include "admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuscove {

namespace {

using Seconds = std::chrono::duration<double>;

// Assumed until a run time has been measured: the middle of the usual 50 ms to 1 s.
constexpr double DefaultRunTimeSeconds = 0.5;

// Weight of the newest run time in the mean after the first 50 samples.
constexpr double NewestSampleWeight = 0.02;

// Decay time constant of the refused work, which is expected to be submitted again.
constexpr double RefusedWorkDecaySeconds = 10;

// Decay time constant of the measured service rate of a queue: a few run times.
constexpr double ServiceRateDecaySeconds = 3;

constexpr double MinRetryAfterSeconds = 1;
constexpr double MaxRetryAfterSeconds = 120; // most callers give up if they must wait longer

// Retry times are spread over at least this time, so that even a few refused callers do not return
// at the same moment.
constexpr double MinRetrySpreadSeconds = 1;

double toSeconds(Duration duration)
{
    return Seconds(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

// Hash of `key` and `seed`, uniform in [0, 1).
double fractionOf(const KeyHash &key, std::uint64_t seed)
{
    std::uint64_t z = key.high ^ (key.low * 0x9e3779b97f4a7c15ULL) ^ seed;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

} // namespace

Admission::Admission(std::uint64_t seed)
    : m_seed(seed)
{}

void Admission::configure(const FleetConfig &config)
{
    m_config = config;
}

void Admission::setHomeShare(double share)
{
    m_homeShare = std::clamp(share, 0.0, 1.0);
}

void Admission::setUpstreamSlots(std::string_view upstream, std::uint32_t slots)
{
    m_upstreams[std::string(upstream)].slots = slots;
}

std::optional<AdmissionRefusal> Admission::admit(std::string_view team, std::string_view jobClass,
                                                 std::string_view upstream, std::size_t taskCount,
                                                 Duration deadline, const KeyHash &key,
                                                 TimePoint now)
{
    m_now = std::max(m_now, now);
    UpstreamQueue &target = m_upstreams[std::string(upstream)];
    TeamQueue &queue = target.classes[std::string(jobClass)].teams[std::string(team)];
    const double cost = taskCost(target, queue);
    const double work = cost * static_cast<double>(taskCount);
    const double ownSlots = serviceSlots(target, jobClass, team, m_now);
    const double quota = quotaSlots(team);
    const double slots = std::min(ownSlots, quota);

    double wait = queue.backlog / slots;
    // The tasks of the job run in parallel on the slots that the team gets.
    double finish = wait + cost * std::max(1.0, std::ceil(static_cast<double>(taskCount) / slots));
    const auto teamIt = m_config.teams.find(std::string(team));
    const double rate
        = teamIt == m_config.teams.end() ? 0 : teamIt->second.maxStartsPerSecond * m_homeShare;
    if (rate > 0) {
        wait = std::max(wait, static_cast<double>(queue.tasks.size()) / rate);
        finish = std::max(finish, wait + static_cast<double>(taskCount) / rate);
    }

    const auto classIt = m_config.classes.find(std::string(jobClass));
    const double queueTarget
        = classIt == m_config.classes.end() ? 0 : toSeconds(classIt->second.queueTarget);
    const bool isLate = wait >= toSeconds(deadline) || finish > toSeconds(deadline);
    const bool isFull = queueTarget > 0 && wait > queueTarget;
    if (!isLate && !isFull)
        return std::nullopt;
    const bool isLimitedByQuota = queue.backlog / ownSlots <= queueTarget && quota < ownSlots;
    const double excess = isFull ? wait - queueTarget : std::max(0.0, finish - toSeconds(deadline));
    return AdmissionRefusal{!isFull            ? "deadline"
                            : isLimitedByQuota ? "quota"
                                               : "queue_full",
                            retryAfter(queue, excess, work, slots, key, now)};
}

void Admission::push(QueuedTask task, TimePoint now)
{
    m_now = std::max(m_now, now);
    task.queueSequence = m_nextOrder++;
    insert(std::move(task));
}

std::optional<QueuedTask> Admission::pop(std::string_view upstream, TimePoint now)
{
    m_now = std::max(m_now, now);
    const auto upstreamIt = m_upstreams.find(upstream);
    if (upstreamIt == m_upstreams.end() || upstreamIt->second.queued == 0)
        return std::nullopt;
    UpstreamQueue &target = upstreamIt->second;

    std::set<std::string, std::less<>> blocked; // teams at their quota
    auto bestClass = target.classes.end();
    auto bestTeam = decltype(bestClass->second.teams.begin()){};
    for (auto it = target.classes.begin(); it != target.classes.end(); ++it) {
        if (it->second.queued == 0
            || (bestClass != target.classes.end()
                && it->second.startTag >= bestClass->second.startTag))
            continue;
        const auto team = nextTeam(it->second, blocked, now);
        if (team == it->second.teams.end()) {
            it->second.startTag = std::max(it->second.startTag, target.virtualTime);
            continue;
        }
        bestClass = it;
        bestTeam = team;
    }
    if (bestClass == target.classes.end())
        return std::nullopt;

    TeamQueue &queue = bestTeam->second;
    QueuedTask task = queue.tasks.begin()->second;
    const double cost = taskCost(target, queue);
    target.virtualTime = std::max(target.virtualTime, bestClass->second.startTag);
    bestClass->second.virtualTime = std::max(bestClass->second.virtualTime, queue.startTag);
    bestClass->second.startTag += cost / classShare(bestClass->first);
    queue.startTag += cost / teamWeight(bestTeam->first);
    removeAt(m_locations.at(task.token));
    return task;
}

void Admission::pushFront(QueuedTask task)
{
    const std::string upstream = task.upstream;
    const std::string jobClass = task.jobClass;
    const std::string team = task.team;
    insert(std::move(task));
    UpstreamQueue &target = m_upstreams[upstream];
    ClassQueue &classQueue = target.classes[jobClass];
    TeamQueue &queue = classQueue.teams[team];
    const double cost = taskCost(target, queue);
    classQueue.startTag -= cost / classShare(jobClass);
    queue.startTag -= cost / teamWeight(team);
}

void Admission::remove(std::uint64_t token)
{
    const auto it = m_locations.find(token);
    if (it != m_locations.end())
        removeAt(it->second);
}

void Admission::taskStarted(std::string_view team, std::string_view jobClass,
                            std::string_view upstream)
{
    UpstreamQueue &target = m_upstreams[std::string(upstream)];
    TeamQueue &queue = target.classes[std::string(jobClass)].teams[std::string(team)];
    queue.running += 1;
    queue.chargedInAdvance += taskCost(target, queue);
    Quota &quota = m_quotas[std::string(team)];
    quota.running += 1;
    quota.startTokens -= 1;
}

void Admission::taskEnded(std::string_view team, std::string_view jobClass,
                          std::string_view upstream, std::optional<Duration> runTime)
{
    UpstreamQueue &target = m_upstreams[std::string(upstream)];
    ClassQueue &classQueue = target.classes[std::string(jobClass)];
    TeamQueue &queue = classQueue.teams[std::string(team)];
    Quota &quota = m_quotas[std::string(team)];
    if (queue.running < 1)
        return;
    const double seconds = runTime ? toSeconds(*runTime) : 0;
    const double charge = queue.chargedInAdvance / queue.running;
    queue.chargedInAdvance -= charge;
    queue.running -= 1;
    quota.running = std::max(0.0, quota.running - 1);
    classQueue.startTag += (seconds - charge) / classShare(jobClass);
    queue.startTag += (seconds - charge) / teamWeight(team);
    if (!runTime)
        return;
    queue.serviceRate = measuredRate(queue, m_now) + seconds / ServiceRateDecaySeconds;
    queue.serviceRateAt = m_now;
    queue.runTime.addSample(seconds);
    target.runTime.addSample(seconds);
    // The home's part of a running-task quota may be a fraction, for example 0.2 tasks. The home
    // then runs up to the rounded-up number of tasks, and each ended task counts as running for
    // some more time, chosen so that the average number of running tasks is the exact part.
    const double limit = quotaSlots(team);
    if (std::isfinite(limit) && std::ceil(limit) > limit)
        quota.heldUntil.insert(m_now + fromSeconds(seconds * (std::ceil(limit) / limit - 1)));
}

std::size_t Admission::queuedTasks() const
{
    return m_locations.size();
}

std::size_t Admission::queuedTasks(std::string_view upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? 0 : it->second.queued;
}

Duration Admission::expectedRunTime(std::string_view upstream) const
{
    const auto it = m_upstreams.find(upstream);
    const bool known = it != m_upstreams.end() && it->second.runTime.samples > 0;
    return fromSeconds(known ? it->second.runTime.mean : DefaultRunTimeSeconds);
}

TimePoint Admission::nextTimer() const
{
    TimePoint next = NeverTime;
    for (const auto &[name, upstream] : m_upstreams) {
        for (const auto &[className, classQueue] : upstream.classes) {
            for (const auto &[team, queue] : classQueue.teams) {
                const auto quota = m_quotas.find(team);
                const auto config = m_config.teams.find(team);
                if (queue.tasks.empty() || quota == m_quotas.end()
                    || config == m_config.teams.end())
                    continue;
                if (!quota->second.heldUntil.empty())
                    next = std::min(next, *quota->second.heldUntil.begin());
                const double rate = config->second.maxStartsPerSecond * m_homeShare;
                if (rate > 0 && quota->second.startTokens < 1)
                    next = std::min(next, quota->second.refilledAt
                                              + fromSeconds((1 - quota->second.startTokens) / rate)
                                              + Duration(1));
            }
        }
    }
    return next;
}

void Admission::RunTimeMean::addSample(double seconds)
{
    samples += 1;
    mean += (seconds - mean) * std::max(NewestSampleWeight, 1 / samples);
}

double Admission::classShare(std::string_view jobClass) const
{
    const auto it = m_config.classes.find(std::string(jobClass));
    return it == m_config.classes.end() || it->second.share <= 0 ? 1 : it->second.share;
}

double Admission::teamWeight(std::string_view team) const
{
    const auto it = m_config.teams.find(std::string(team));
    return it == m_config.teams.end() || it->second.weight <= 0 ? 1 : it->second.weight;
}

// Expected slot-seconds of one task: the mean of the team, else of the upstream, else the default.
// Declared run times are not used, because they may be wrong by a factor of ten.
double Admission::taskCost(const UpstreamQueue &upstream, const TeamQueue &queue) const
{
    if (queue.runTime.samples > 0)
        return queue.runTime.mean;
    return upstream.runTime.samples > 0 ? upstream.runTime.mean : DefaultRunTimeSeconds;
}

// The team's fair share of all slots of the fleet, at least 1. The slots are shared with the
// classes and teams that have queued or running tasks at this home; this home does not know those
// that are active only at other homes.
double Admission::fairSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                            std::string_view team) const
{
    double classes = 0;
    double teams = 0;
    for (const auto &[name, classQueue] : upstream.classes) {
        bool busy = name == jobClass;
        for (const auto &[teamName, queue] : classQueue.teams) {
            const bool active = (name == jobClass && teamName == team) || queue.running > 0
                                || !queue.tasks.empty();
            busy = busy || active;
            teams += name == jobClass && active ? teamWeight(teamName) : 0;
        }
        classes += busy ? classShare(name) : 0;
    }
    return std::max(1.0,
                    upstream.slots * classShare(jobClass) / classes * teamWeight(team) / teams);
}

// Slots that the tasks of a team queued at this home can expect. Agents divide their slots by class
// and team regardless of the home, so a team that queues at only a few homes gets more than the
// share of these homes. An empty queue expects its fair share of the fleet. A queue with tasks
// expects the measured service rate, but at least the fair share scaled by the share of this home.
double Admission::serviceSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                               std::string_view team, TimePoint now) const
{
    const double fair = fairSlots(upstream, jobClass, team);
    const TeamQueue &queue = upstream.classes.find(jobClass)->second.teams.find(team)->second;
    if (queue.tasks.empty())
        return fair;
    return std::max(fair * m_homeShare, measuredRate(queue, now));
}

// Slot-seconds per second that the team has received: `queue.serviceRate`, decayed to `now`.
double Admission::measuredRate(const TeamQueue &queue, TimePoint now)
{
    const double age = std::max(0.0, toSeconds(now - queue.serviceRateAt));
    return queue.serviceRate * std::exp(-age / ServiceRateDecaySeconds);
}

// This home's part of the running-task quota of the team; infinite without a quota.
double Admission::quotaSlots(std::string_view team) const
{
    const auto it = m_config.teams.find(std::string(team));
    if (it == m_config.teams.end() || it->second.maxRunningTasks == 0)
        return std::numeric_limits<double>::infinity();
    return std::max(1e-3, it->second.maxRunningTasks * m_homeShare);
}

// Whether the running-task quota and the start rate quota of the team allow another start now.
bool Admission::isWithinQuota(std::string_view team, TimePoint now)
{
    const auto it = m_config.teams.find(std::string(team));
    if (it == m_config.teams.end())
        return true;
    Quota &quota = m_quotas[std::string(team)];
    const double rate = it->second.maxStartsPerSecond * m_homeShare;
    if (rate > 0) {
        refillStartTokens(quota, rate, now);
        if (quota.startTokens < 1)
            return false;
    }
    quota.heldUntil.erase(quota.heldUntil.begin(), quota.heldUntil.upper_bound(now));
    const double limit = quotaSlots(team);
    return !std::isfinite(limit)
           || quota.running + static_cast<double>(quota.heldUntil.size()) < std::ceil(limit);
}

// The bucket holds the starts of one second, but at least one.
void Admission::refillStartTokens(Quota &quota, double startsPerSecond, TimePoint now) const
{
    const double bucketSize = std::max(1.0, startsPerSecond);
    if (!quota.isRefilled) {
        quota.startTokens = bucketSize;
    } else {
        quota.startTokens = std::min(
            bucketSize, quota.startTokens + toSeconds(now - quota.refilledAt) * startsPerSecond);
    }
    quota.isRefilled = true;
    quota.refilledAt = now;
}

// The team of the class to serve next, or teams.end(). `blocked` collects the teams at their quota.
std::map<std::string, Admission::TeamQueue, std::less<>>::iterator
Admission::nextTeam(ClassQueue &queue, std::set<std::string, std::less<>> &blocked, TimePoint now)
{
    auto best = queue.teams.end();
    for (auto it = queue.teams.begin(); it != queue.teams.end(); ++it) {
        if (it->second.tasks.empty() || blocked.contains(it->first)
            || (best != queue.teams.end() && it->second.startTag >= best->second.startTag))
            continue;
        if (isWithinQuota(it->first, now)) {
            best = it;
        } else {
            // A share that is unused because of a quota is not saved up.
            it->second.startTag = std::max(it->second.startTag, queue.virtualTime);
            blocked.insert(it->first);
        }
    }
    return best;
}

void Admission::insert(QueuedTask task)
{
    UpstreamQueue &target = m_upstreams[task.upstream];
    ClassQueue &classQueue = target.classes[task.jobClass];
    TeamQueue &queue = classQueue.teams[task.team];
    // A class or team that was idle starts at the current virtual time, because unused shares are
    // not saved up.
    if (classQueue.queued == 0)
        classQueue.startTag = std::max(classQueue.startTag, target.virtualTime);
    if (queue.tasks.empty()) {
        queue.startTag = std::max(queue.startTag, classQueue.virtualTime);
        // The measured rate stays if the queue was empty only for a moment, for example when a
        // popped task is returned.
        if (toSeconds(m_now - queue.lastRemovedAt) > ServiceRateDecaySeconds
            || queue.serviceRate <= 0) {
            queue.serviceRate = fairSlots(target, task.jobClass, task.team);
            queue.serviceRateAt = m_now;
        }
    }
    queue.backlog += taskCost(target, queue);
    ++classQueue.queued;
    ++target.queued;
    m_locations[task.token] = {task.upstream, task.jobClass, task.team, task.queueSequence};
    queue.tasks.emplace(task.queueSequence, std::move(task));
}

// Removes a task from its queue. `location` may refer to an element of m_locations.
void Admission::removeAt(const Location &location)
{
    UpstreamQueue &target = m_upstreams.find(location.upstream)->second;
    ClassQueue &classQueue = target.classes.find(location.jobClass)->second;
    TeamQueue &queue = classQueue.teams.find(location.team)->second;
    const auto task = queue.tasks.find(location.queueSequence);
    const std::uint64_t token = task->second.token;
    // The expected cost of a task may have changed since it was added, so the backlog shrinks by
    // its mean per task.
    queue.backlog -= queue.backlog / static_cast<double>(queue.tasks.size());
    queue.tasks.erase(task);
    queue.lastRemovedAt = m_now;
    --classQueue.queued;
    --target.queued;
    m_locations.erase(token);
}

// Retry time of a refused job. `wait` is the time in seconds until the queue is back at its target,
// or by which the job misses its deadline; `work` is the slot-seconds of the job, `slots` what the
// team can expect. A part of the time needed for all recently refused work is added, a different
// one for each key, so that refused callers do not return together.
Duration Admission::retryAfter(TeamQueue &queue, double wait, double work, double slots,
                               const KeyHash &key, TimePoint now) const
{
    const double age = toSeconds(now - queue.refusedWorkAt);
    queue.refusedWork = queue.refusedWork * std::exp(-age / RefusedWorkDecaySeconds) + work;
    queue.refusedWorkAt = now;
    const double spread = std::max(MinRetrySpreadSeconds, queue.refusedWork / slots);
    const double delay = std::max(MinRetryAfterSeconds, wait) + spread * fractionOf(key, m_seed);
    return fromSeconds(
        std::min(delay, MaxRetryAfterSeconds * (0.5 + 0.5 * fractionOf(key, m_seed))));
}

} // namespace cactuscove
