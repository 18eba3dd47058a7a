// Rates decay exponentially, so that a burst that has ended does not count.

#include "loadcontrol.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

constexpr double RateMemoryMs = 500;
// Part of the cores that a less urgent priority may count on whatever the more urgent ones use.
constexpr double FloorShare = 0.1;
constexpr double NewestAnswer = 0.05;   // weight in the share of late answers
constexpr double UsualLateShare = 0.08; // by the expected run time, while there is room for all
constexpr double LateWeight = 12;
constexpr double SmallestRate = 0.001; // cores; keeps the wait finite without a fleet

} // namespace

void LoadControl::queued(int priority, const Work &work)
{
    Work &waiting = m_levels[priority].waiting;
    waiting.cores += work.cores;
    waiting.coreMs += work.coreMs;
}

void LoadControl::unqueued(int priority, const Work &work)
{
    Work &waiting = m_levels[priority].waiting;
    waiting.cores = std::max(0.0, waiting.cores - work.cores);
    waiting.coreMs = std::max(0.0, waiting.coreMs - work.coreMs);
}

double LoadControl::rateOf(const Level &level, TimePoint now) const
{
    return level.rate * std::exp(-std::max(0.0, toMs(now - level.ratedAt)) / RateMemoryMs);
}

void LoadControl::started(int priority, const Work &work, TimePoint now)
{
    Level &level = m_levels[priority];
    level.rate = rateOf(level, now) + work.coreMs / RateMemoryMs;
    level.ratedAt = now;
}

void LoadControl::answered(bool isLate)
{
    m_lateShare += NewestAnswer * (isLate - m_lateShare);
}

Work LoadControl::waitingWork(int priority) const
{
    Work sum;
    for (const auto &[level, it] : m_levels) {
        if (level > priority)
            continue;
        sum.cores += it.waiting.cores;
        sum.coreMs += it.waiting.coreMs;
    }
    return sum;
}

Duration LoadControl::expectedWait(int priority, const Work &job, const FleetRoom &room,
                                   TimePoint now) const
{
    const Work waiting = waitingWork(priority);
    const double cores = waiting.cores + job.cores;
    if (cores <= room.freeCores)
        return {};
    // The part that finds no room now starts at the rate at which running tasks end.
    const double blocked = 1 - std::max(0.0, room.freeCores) / cores;
    double urgent = 0;
    double all = 0;
    for (const auto &[level, it] : m_levels) {
        const double rate = rateOf(it, now);
        all += rate;
        if (level < priority)
            urgent += rate;
    }
    // What was started lately shows what this entry gets, and is a lower bound while nothing waits.
    const double total = std::max(room.shareCores, all);
    const double rate = std::max({total - urgent, total * FloorShare, SmallestRate});
    const double correction = 1 + LateWeight * std::max(0.0, m_lateShare - UsualLateShare);
    return fromMs((waiting.coreMs + job.coreMs) * blocked / rate * correction);
}

} // namespace cactuscove
