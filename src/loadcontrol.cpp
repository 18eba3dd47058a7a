// Rates decay exponentially, so that a burst stops counting soon after its end.

#include "loadcontrol.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

// Time constant of the rates of starts.
constexpr double RateDecayMs = 500;
// Share of the cores that a less urgent priority may count on, however much the more urgent ones
// use.
constexpr double MinCoreShare = 0.1;
constexpr double AnswerWeight = 0.05; // weight of the newest answer in the share of late ones
// Share of answers that are late while capacity is sufficient, as run times differ from the
// expected ones.
constexpr double NormalLateFraction = 0.08;
// Waits are corrected by this factor times the share of late answers above the normal one.
constexpr double LateCorrection = 12;
constexpr double MinStartRate = 0.001; // cores; keeps the wait finite without a fleet

} // namespace

void LoadControl::addWaiting(int priority, const Work &work)
{
    Work &waiting = m_priorities[priority].waiting;
    waiting.cores += work.cores;
    waiting.coreMs += work.coreMs;
}

void LoadControl::removeWaiting(int priority, const Work &work)
{
    Work &waiting = m_priorities[priority].waiting;
    waiting.cores = std::max(0.0, waiting.cores - work.cores);
    waiting.coreMs = std::max(0.0, waiting.coreMs - work.coreMs);
}

double LoadControl::startRateOf(const PriorityLoad &level, TimePoint now) const
{
    return level.startRate
           * std::exp(-std::max(0.0, toMs(now - level.rateUpdatedAt)) / RateDecayMs);
}

void LoadControl::recordStart(int priority, const Work &work, TimePoint now)
{
    PriorityLoad &level = m_priorities[priority];
    level.startRate = startRateOf(level, now) + work.coreMs / RateDecayMs;
    level.rateUpdatedAt = now;
}

void LoadControl::scaleStartRates(double fraction)
{
    for (auto &[priority, it] : m_priorities)
        it.startRate *= fraction;
}

void LoadControl::recordAnswer(bool isLate)
{
    m_lateFraction += AnswerWeight * (isLate - m_lateFraction);
}

Work LoadControl::waitingWork(int priority) const
{
    Work sum;
    for (const auto &[level, it] : m_priorities) {
        if (level > priority)
            continue;
        sum.cores += it.waiting.cores;
        sum.coreMs += it.waiting.coreMs;
    }
    return sum;
}

Duration LoadControl::expectedWait(int priority, const Work &job, const AvailableCores &available,
                                   TimePoint now) const
{
    const Work waiting = waitingWork(priority);
    const double requiredCores = waiting.cores + job.cores;
    if (requiredCores <= available.freeCores)
        return {};
    // The part that finds no free cores now starts at the rate at which running tasks end.
    const double blockedShare = 1 - std::max(0.0, available.freeCores) / requiredCores;
    double urgentRate = 0;
    double totalStartRate = 0;
    for (const auto &[level, it] : m_priorities) {
        const double rate = startRateOf(it, now);
        totalStartRate += rate;
        if (level < priority)
            urgentRate += rate;
    }
    // Recent starts show what this entry gets of the fleet. While nothing waits they are a lower
    // bound.
    const double totalCores = std::max(available.shareCores, totalStartRate);
    const double rate
        = std::max({totalCores - urgentRate, totalCores * MinCoreShare, MinStartRate});
    const double correction
        = 1 + LateCorrection * std::max(0.0, m_lateFraction - NormalLateFraction);
    return fromMs((waiting.coreMs + job.coreMs) * blockedShare / rate * correction);
}

} // namespace cactuscove
