// Rates decay exponentially, so that a burst that has ended does not count.

#include "loadcontrol.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

constexpr double RateMemoryMs = 500;
// Part of the cores that a less urgent priority may count on whatever the more urgent ones use.
constexpr double FloorShare = 0.1;

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace

void LoadControl::queued(int priority, CoreMs work)
{
    m_levels[priority].waiting += work;
}

void LoadControl::unqueued(int priority, CoreMs work)
{
    CoreMs &waiting = m_levels[priority].waiting;
    waiting = std::max(0.0, waiting - work);
}

double LoadControl::rateOf(const Level &level, TimePoint now) const
{
    return level.rate * std::exp(-std::max(0.0, toMs(now - level.ratedAt)) / RateMemoryMs);
}

void LoadControl::started(int priority, CoreMs work, TimePoint now)
{
    Level &level = m_levels[priority];
    level.rate = rateOf(level, now) + work / RateMemoryMs;
    level.ratedAt = now;
}

CoreMs LoadControl::waitingWork(int priority) const
{
    CoreMs work = 0;
    for (const auto &[level, it] : m_levels)
        if (level <= priority)
            work += it.waiting;
    return work;
}

Duration LoadControl::expectedWait(int priority, double cores, TimePoint now) const
{
    const CoreMs ahead = waitingWork(priority);
    if (ahead <= 0)
        return {};
    double urgent = 0;
    double own = 0;
    double all = 0;
    for (const auto &[level, it] : m_levels) {
        const double rate = rateOf(it, now);
        all += rate;
        if (level < priority)
            urgent += rate;
        if (level <= priority)
            own += rate;
    }
    // What was started lately shows what this entry gets, and is a lower bound while nothing waits.
    const double total = std::max(cores, all);
    const double rate = std::max({total - urgent, own - urgent, total * FloorShare, 0.001});
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(ahead / rate));
}

} // namespace cactuscove
