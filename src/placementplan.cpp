// Slots are computed from the free capacity and the expected releases of each worker.

#include "placementplan.h"

#include "durations.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Tasks are sent to a busy worker this long before they are expected to start there. Its agent then
// starts the most urgent task first, whichever entry sent it, so the capacity is held against other
// entries too.
constexpr Duration SendAhead = 40ms;
// A busy worker may end a task sooner than a free one. To wait for it is worth it only if some task
// would use more than this share of the time until the objective on the free ones.
constexpr double SafeShare = 0.8;
// Workers whose expected ends differ by less than this share of the run time may be chosen in any
// order, the emptier ones more likely. Entries know loads that are some ms old, and the random
// order keeps them from choosing the same few workers.
constexpr double NearEqualShare = 1;
// So many jobs behind the reservation are compared with the workers in one plan, which bounds its
// cost when hundreds wait.
constexpr int MaxBackfillTrials = 24;

bool hasLabel(const PlanWorker &worker, std::string_view label)
{
    return std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace

PlacementPlan::PlacementPlan(std::vector<PlanWorker> workers, double remoteSlowness, TimePoint now,
                             std::mt19937_64 &random)
    : m_workers(std::move(workers))
    , m_holds(m_workers.size())
    , m_remoteSlowness(remoteSlowness)
    , m_now(now)
    , m_random(random)
{
    std::vector<double> slowness;
    slowness.reserve(m_workers.size());
    for (const PlanWorker &it : m_workers)
        slowness.push_back(it.slowness);
    if (slowness.empty())
        return;
    const auto middle = slowness.begin() + static_cast<std::ptrdiff_t>(slowness.size() / 2);
    std::nth_element(slowness.begin(), middle, slowness.end());
    m_medianSlowness = *middle;
}

Duration PlacementPlan::runTimeOn(const PlanWorker &worker, const PlanJob &job) const
{
    const bool isRemote = !job.preferredLabel.empty() && !hasLabel(worker, job.preferredLabel);
    return fromMs(toMs(job.expectedRun) * worker.slowness * (isRemote ? m_remoteSlowness : 1));
}

bool PlacementPlan::isSuitable(const PlanWorker &worker, const PlanJob &job) const
{
    if (!job.requiredLabel.empty() && !hasLabel(worker, job.requiredLabel))
        return false;
    return worker.slowness <= job.maxSlowness || m_medianSlowness > job.maxSlowness;
}

bool PlacementPlan::leavesReservation(std::size_t index, const PlanJob &job,
                                      std::size_t earlierTasks) const
{
    const PlanWorker &worker = m_workers[index];
    const Hold &hold = m_holds[index];
    if (hold.from == NeverTime || m_now + runTimeOn(worker, job) <= hold.from)
        return true;
    Resources spare = worker.free - hold.resources;
    for (const PlanWorker::Release &it : worker.releases)
        if (it.at <= hold.from)
            spare += it.resources;
    for (std::size_t i = 0; i < earlierTasks; ++i)
        spare -= job.needs;
    return job.needs.fitsIn(spare);
}

void PlacementPlan::addSlots(std::size_t index, const PlanJob &job, bool onlyNow,
                             std::vector<Slot> &slots)
{
    const PlanWorker &worker = m_workers[index];
    const Duration runTime = runTimeOn(worker, job);
    const std::size_t most = std::min(job.taskCount, worker.maxTasks);
    const auto fitting = std::max<std::int64_t>(worker.free.countThatFits(job.needs), 1);
    const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
    std::size_t n = 0;
    Resources free = worker.free;
    // Each task that fits makes the next one on the same worker a little less preferred, so that
    // tasks spread over workers by their free capacity.
    const auto addWhileFree = [&](TimePoint startAt) {
        for (; n < most && job.needs.fitsIn(free); ++n, free -= job.needs) {
            if (startAt == m_now && !leavesReservation(index, job, n))
                return;
            const double spread
                = NearEqualShare * toMs(job.expectedRun)
                  * std::min(1.0, (static_cast<double>(n) + jitter) / static_cast<double>(fitting));
            const TimePoint endAt = startAt + runTime;
            slots.push_back({index, startAt, endAt, toMs(endAt - m_now) + spread});
        }
    };
    addWhileFree(m_now);
    if (onlyNow)
        return;
    for (const PlanWorker::Release &it : worker.releases) {
        if (n == most)
            return;
        free += it.resources;
        addWhileFree(std::max(it.at, m_now + Duration(1)));
    }
    if (n > 0 || most == 0 || !worker.releases.empty() || worker.coreReleaseRate <= 0)
        return;
    // The agent does not report releases: as far ahead as the rate can be trusted.
    const auto missing = static_cast<double>(job.needs.cpuMillis - worker.free.cpuMillis);
    const Duration wait = fromMs(missing / 1000 / worker.coreReleaseRate);
    const Resources released{job.needs.cpuMillis, 0, 0};
    if (wait > Duration{} && wait <= SendAhead && job.needs.fitsIn(worker.free + released)) {
        free.cpuMillis = job.needs.cpuMillis;
        addWhileFree(m_now + wait);
    }
}

std::vector<PlacementPlan::Slot> PlacementPlan::findSlots(const PlanJob &job, bool onlyNow)
{
    std::vector<Slot> slots;
    std::vector<Slot> avoided;
    bool hasAlternative = false;
    m_maxFreeMillis = 0;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const PlanWorker &worker = m_workers[i];
        m_maxFreeMillis = std::max(m_maxFreeMillis, worker.free.cpuMillis);
        if (!isSuitable(worker, job))
            continue;
        const bool isAvoided
            = std::find(job.avoidedWorkers.begin(), job.avoidedWorkers.end(), worker.key)
              != job.avoidedWorkers.end();
        hasAlternative |= !isAvoided;
        addSlots(i, job, onlyNow, isAvoided ? avoided : slots);
    }
    if (!hasAlternative)
        slots = std::move(avoided);
    const std::size_t n = std::min(job.taskCount, slots.size());
    std::partial_sort(slots.begin(), slots.begin() + static_cast<std::ptrdiff_t>(n), slots.end(),
                      [](const Slot &a, const Slot &b) { return a.order < b.order; });
    slots.resize(n);
    return slots;
}

void PlacementPlan::take(const Slot &slot, const Resources &needs)
{
    PlanWorker &worker = m_workers[slot.worker];
    worker.free -= needs;
    --worker.maxTasks;
    const auto position
        = std::find_if(worker.releases.begin(), worker.releases.end(),
                       [&](const PlanWorker::Release &it) { return it.at > slot.endAt; });
    worker.releases.insert(position, {slot.endAt, needs});
}

PlanReservation PlacementPlan::reserve(std::span<const Slot> slots, const PlanJob &job)
{
    PlanReservation reservation;
    reservation.taskCount = slots.size();
    for (const Slot &it : slots) {
        Hold &hold = m_holds[it.worker];
        hold.from = std::min(hold.from, it.startAt);
        hold.resources += job.needs;
        reservation.loadAge = std::max(reservation.loadAge, m_now - m_workers[it.worker].loadAt);
        if (it.startAt >= reservation.startAt) {
            reservation.startAt = it.startAt;
            reservation.lastWorker = m_workers[it.worker].key;
        }
    }
    return reservation;
}

PlanDecision PlacementPlan::place(const PlanJob &job)
{
    PlanDecision decision;
    const bool isBackfill = m_hasReservation;
    if (isBackfill
        && (m_isStrict || job.needs.cpuMillis > m_maxFreeMillis
            || ++m_backfillTrials > MaxBackfillTrials))
        return decision;
    std::vector<Slot> slots = findSlots(job, true);
    const TimePoint safeEnd = m_now + fromMs(toMs(job.objectiveAt - m_now) * SafeShare);
    const bool isSafeNow = slots.size() == job.taskCount
                           && std::all_of(slots.begin(), slots.end(),
                                          [&](const Slot &it) { return it.endAt <= safeEnd; });
    if (!isBackfill && !isSafeNow)
        slots = findSlots(job, false);
    if (isBackfill && slots.empty())
        return decision;
    // A task that is sent too early is refused before it is due.
    const TimePoint sentUntil = m_now + std::min(SendAhead, job.maxWaitAtAgent * 3 / 4);
    const bool isWhole = slots.size() == job.taskCount;
    const bool isAllSoon = isWhole && std::all_of(slots.begin(), slots.end(), [&](const Slot &it) {
                               return it.startAt <= sentUntil;
                           });
    const bool isAllInTime
        = isWhole && std::all_of(slots.begin(), slots.end(), [&](const Slot &it) {
              return it.endAt <= job.objectiveAt;
          });
    const bool mayStart = job.hasStarted || isAllSoon || (isAllInTime && !isBackfill);
    std::vector<Slot> later;
    for (const Slot &it : slots) {
        if (!mayStart || it.startAt > sentUntil) {
            later.push_back(it);
            continue;
        }
        decision.starts.push_back(m_workers[it.worker].key);
        take(it, job.needs);
    }
    decision.isBackfill = isBackfill && !decision.starts.empty();
    if (isBackfill || decision.starts.size() == job.taskCount)
        return decision;
    const bool hasWorker = std::any_of(m_workers.begin(), m_workers.end(), [&](const auto &it) {
        return isSuitable(it, job) && it.maxTasks > 0;
    });
    if (!hasWorker)
        return decision;
    m_hasReservation = true;
    m_isStrict = !isWhole;
    if (!later.empty())
        decision.reservation = reserve(later, job);
    return decision;
}

} // namespace cactuscove
