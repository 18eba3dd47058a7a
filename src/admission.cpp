// Start-time fair queueing over classes and, within a class, over teams. Cost is slot time: a task
// is charged its learned run time when it is taken and the difference when it ends, so that long
// tasks cannot take more than the share of their class.

#include "admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cactuscove {

namespace {

using Seconds = std::chrono::duration<double>;

// Before any run time is learned: the middle of the usual 50 ms to 1 s.
constexpr double DefaultRunTime = 0.5;

// Weight of the newest run time once enough are known.
constexpr double NewestShare = 0.02;

// Time constant of the memory of refused work, which is expected to come back.
constexpr double RefusedMemory = 10;

// Time constant of the measured rate of a queue; a few run times long.
constexpr double RateMemory = 3;

constexpr double MinRetryAfter = 1;   // seconds
constexpr double MaxRetryAfter = 120; // longer would outlast most callers' own patience

// A flood must not lose its spread: even a small refused crowd comes back over this many seconds.
constexpr double MinRetrySpread = 1;

double toSeconds(Duration duration)
{
    return Seconds(duration).count();
}

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

// Uniform in [0, 1), equal for equal keys.
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
    // The own tasks of the job run side by side on the slots that it can get.
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
    const bool byQuota = queue.backlog / ownSlots <= queueTarget && quota < ownSlots;
    const double excess = isFull ? wait - queueTarget : std::max(0.0, finish - toSeconds(deadline));
    return AdmissionRefusal{!isFull   ? "deadline"
                            : byQuota ? "quota"
                                      : "queue_full",
                            retryAfter(queue, excess, work, slots, key, now)};
}

void Admission::push(QueuedTask task, TimePoint now)
{
    m_now = std::max(m_now, now);
    task.order = m_nextOrder++;
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
            || (bestClass != target.classes.end() && it->second.tag >= bestClass->second.tag))
            continue;
        const auto team = nextTeam(it->second, blocked, now);
        if (team == it->second.teams.end()) {
            it->second.tag = std::max(it->second.tag, target.virtualTime);
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
    target.virtualTime = std::max(target.virtualTime, bestClass->second.tag);
    bestClass->second.virtualTime = std::max(bestClass->second.virtualTime, queue.tag);
    bestClass->second.tag += cost / classShare(bestClass->first);
    queue.tag += cost / teamWeight(bestTeam->first);
    take(m_locations.at(task.token));
    return task;
}

void Admission::pushFront(QueuedTask task)
{
    const std::string upstream = task.upstream;
    const std::string jobClass = task.jobClass;
    const std::string team = task.team;
    insert(std::move(task));
    UpstreamQueue &target = m_upstreams[upstream];
    ClassQueue &inClass = target.classes[jobClass];
    TeamQueue &queue = inClass.teams[team];
    const double cost = taskCost(target, queue);
    inClass.tag -= cost / classShare(jobClass);
    queue.tag -= cost / teamWeight(team);
}

void Admission::remove(std::uint64_t token)
{
    const auto it = m_locations.find(token);
    if (it != m_locations.end())
        take(it->second);
}

void Admission::taskStarted(std::string_view team, std::string_view jobClass,
                            std::string_view upstream)
{
    UpstreamQueue &target = m_upstreams[std::string(upstream)];
    TeamQueue &queue = target.classes[std::string(jobClass)].teams[std::string(team)];
    queue.running += 1;
    queue.charged += taskCost(target, queue);
    Quota &quota = m_quotas[std::string(team)];
    quota.running += 1;
    quota.startTokens -= 1;
}

void Admission::taskEnded(std::string_view team, std::string_view jobClass,
                          std::string_view upstream, std::optional<Duration> runTime)
{
    UpstreamQueue &target = m_upstreams[std::string(upstream)];
    ClassQueue &inClass = target.classes[std::string(jobClass)];
    TeamQueue &queue = inClass.teams[std::string(team)];
    Quota &quota = m_quotas[std::string(team)];
    if (queue.running < 1)
        return;
    const double seconds = runTime ? toSeconds(*runTime) : 0;
    const double charge = queue.charged / queue.running;
    queue.charged -= charge;
    queue.running -= 1;
    quota.running = std::max(0.0, quota.running - 1);
    inClass.tag += (seconds - charge) / classShare(jobClass);
    queue.tag += (seconds - charge) / teamWeight(team);
    if (!runTime)
        return;
    queue.rate = measuredRate(queue, m_now) + seconds / RateMemory;
    queue.ratedAt = m_now;
    queue.runTime.add(seconds);
    target.runTime.add(seconds);
    // A home whose part of the quota is not whole, for example 0.2 of a task, fills the rounded-up
    // number of places and leaves each empty for so long that the average is the exact part.
    const double places = quotaSlots(team);
    if (std::isfinite(places) && std::ceil(places) > places)
        quota.cooling.insert(m_now + fromSeconds(seconds * (std::ceil(places) / places - 1)));
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
    return fromSeconds(known ? it->second.runTime.mean : DefaultRunTime);
}

TimePoint Admission::nextTimer() const
{
    TimePoint next = NeverTime;
    for (const auto &[name, upstream] : m_upstreams) {
        for (const auto &[className, inClass] : upstream.classes) {
            for (const auto &[team, queue] : inClass.teams) {
                const auto quota = m_quotas.find(team);
                const auto config = m_config.teams.find(team);
                if (queue.tasks.empty() || quota == m_quotas.end()
                    || config == m_config.teams.end())
                    continue;
                if (!quota->second.cooling.empty())
                    next = std::min(next, *quota->second.cooling.begin());
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

void Admission::RunTime::add(double seconds)
{
    samples += 1;
    mean += (seconds - mean) * std::max(NewestShare, 1 / samples);
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

// Expected slot-seconds of one task. Declared times are not used: they may be off by ten times.
double Admission::taskCost(const UpstreamQueue &upstream, const TeamQueue &queue) const
{
    if (queue.runTime.samples > 0)
        return queue.runTime.mean;
    return upstream.runTime.samples > 0 ? upstream.runTime.mean : DefaultRunTime;
}

// The team's fair part of all slots of the fleet, as far as this home knows who else is active.
double Admission::fairSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                            std::string_view team) const
{
    double classes = 0;
    double teams = 0;
    for (const auto &[name, inClass] : upstream.classes) {
        bool busy = name == jobClass;
        for (const auto &[teamName, queue] : inClass.teams) {
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

// Slots that a team can count on at this home. Agents share their slots by class and team whatever
// the home, so a team that queues at few homes gets more than these homes' part of the fleet. A
// queue that has just begun counts on its fair part; from then on, what it gets is measured.
double Admission::serviceSlots(const UpstreamQueue &upstream, std::string_view jobClass,
                               std::string_view team, TimePoint now) const
{
    const double fair = fairSlots(upstream, jobClass, team);
    const TeamQueue &queue = upstream.classes.find(jobClass)->second.teams.find(team)->second;
    if (queue.tasks.empty())
        return fair;
    return std::max(fair * m_homeShare, measuredRate(queue, now));
}

double Admission::measuredRate(const TeamQueue &queue, TimePoint now)
{
    const double age = std::max(0.0, toSeconds(now - queue.ratedAt));
    return queue.rate * std::exp(-age / RateMemory);
}

double Admission::quotaSlots(std::string_view team) const
{
    const auto it = m_config.teams.find(std::string(team));
    if (it == m_config.teams.end() || it->second.maxRunningTasks == 0)
        return std::numeric_limits<double>::infinity();
    return std::max(1e-3, it->second.maxRunningTasks * m_homeShare);
}

bool Admission::isWithinQuota(std::string_view team, TimePoint now)
{
    const auto it = m_config.teams.find(std::string(team));
    if (it == m_config.teams.end())
        return true;
    Quota &quota = m_quotas[std::string(team)];
    const double rate = it->second.maxStartsPerSecond * m_homeShare;
    if (rate > 0) {
        refill(quota, rate, now);
        if (quota.startTokens < 1)
            return false;
    }
    quota.cooling.erase(quota.cooling.begin(), quota.cooling.upper_bound(now));
    const double places = quotaSlots(team);
    return !std::isfinite(places)
           || quota.running + static_cast<double>(quota.cooling.size()) < std::ceil(places);
}

// A second's worth may be saved up, or one start where that is more.
void Admission::refill(Quota &quota, double startsPerSecond, TimePoint now) const
{
    const double most = std::max(1.0, startsPerSecond);
    if (!quota.metered) {
        quota.startTokens = most;
    } else {
        quota.startTokens = std::min(
            most, quota.startTokens + toSeconds(now - quota.refilledAt) * startsPerSecond);
    }
    quota.metered = true;
    quota.refilledAt = now;
}

std::map<std::string, Admission::TeamQueue, std::less<>>::iterator
Admission::nextTeam(ClassQueue &queue, std::set<std::string, std::less<>> &blocked, TimePoint now)
{
    auto best = queue.teams.end();
    for (auto it = queue.teams.begin(); it != queue.teams.end(); ++it) {
        if (it->second.tasks.empty() || blocked.contains(it->first)
            || (best != queue.teams.end() && it->second.tag >= best->second.tag))
            continue;
        if (isWithinQuota(it->first, now)) {
            best = it;
        } else {
            // A share that the quota leaves unused is not saved either.
            it->second.tag = std::max(it->second.tag, queue.virtualTime);
            blocked.insert(it->first);
        }
    }
    return best;
}

void Admission::insert(QueuedTask task)
{
    UpstreamQueue &target = m_upstreams[task.upstream];
    ClassQueue &inClass = target.classes[task.jobClass];
    TeamQueue &queue = inClass.teams[task.team];
    // A class or team that was idle starts at the present virtual time: unused shares are not
    // saved.
    if (inClass.queued == 0)
        inClass.tag = std::max(inClass.tag, target.virtualTime);
    if (queue.tasks.empty()) {
        queue.tag = std::max(queue.tag, inClass.virtualTime);
        // A task that comes back at once does not begin a new queue.
        if (toSeconds(m_now - queue.emptiedAt) > RateMemory || queue.rate <= 0) {
            queue.rate = fairSlots(target, task.jobClass, task.team);
            queue.ratedAt = m_now;
        }
    }
    queue.backlog += taskCost(target, queue);
    ++inClass.queued;
    ++target.queued;
    m_locations[task.token] = {task.upstream, task.jobClass, task.team, task.order};
    queue.tasks.emplace(task.order, std::move(task));
}

// Takes a task out of its queue. `location` may lie inside m_locations.
void Admission::take(const Location &location)
{
    UpstreamQueue &target = m_upstreams.find(location.upstream)->second;
    ClassQueue &inClass = target.classes.find(location.jobClass)->second;
    TeamQueue &queue = inClass.teams.find(location.team)->second;
    const auto task = queue.tasks.find(location.order);
    const std::uint64_t token = task->second.token;
    // Costs change while tasks wait, so each task takes its part of the sum.
    queue.backlog -= queue.backlog / static_cast<double>(queue.tasks.size());
    queue.tasks.erase(task);
    queue.emptiedAt = m_now;
    --inClass.queued;
    --target.queued;
    m_locations.erase(token);
}

// Until the queue is back at its target, then spread over the time that the refused crowd will
// need.
Duration Admission::retryAfter(TeamQueue &queue, double wait, double work, double slots,
                               const KeyHash &key, TimePoint now) const
{
    const double age = toSeconds(now - queue.refusedAt);
    queue.refused = queue.refused * std::exp(-age / RefusedMemory) + work;
    queue.refusedAt = now;
    const double spread = std::max(MinRetrySpread, queue.refused / slots);
    const double delay = std::max(MinRetryAfter, wait) + spread * fractionOf(key, m_seed);
    return fromSeconds(std::min(delay, MaxRetryAfter * (0.5 + 0.5 * fractionOf(key, m_seed))));
}

} // namespace cactuscove
