// Exponentially weighted means for each queue.

#include "runtimemodel.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

// Smallest weight of the newest task in a mean; the first tasks weigh more.
constexpr double MinSampleWeight = 0.02;
// Longer run times count as this multiple of the mean.
constexpr double MaxRatioToMean = 3;
constexpr double DefaultRunTimeMs = 200; // in the middle of the usual run times of sub-second tasks

// The first values weigh more, so that the mean is soon usable.
void updateMean(double &mean, double value, int samples)
{
    mean += std::max(MinSampleWeight, 1.0 / samples) * (value - mean);
}

} // namespace

void RunTimeModel::learn(std::string_view queue, Duration runTime, Duration declaredRunTime)
{
    auto it = m_queues.find(queue);
    if (it == m_queues.end())
        it = m_queues.emplace(std::string(queue), Queue()).first;
    // A stuck or slow worker must not make all tasks of the queue look long.
    const double limit
        = it->second.meanMs == 0 ? toMs(runTime) : MaxRatioToMean * it->second.meanMs;
    updateMean(it->second.meanMs, std::min(toMs(runTime), limit), ++it->second.samples);
    if (declaredRunTime > Duration{})
        updateMean(it->second.declaredMeanMs, toMs(declaredRunTime), ++it->second.declaredSamples);
}

// The queue's mean, scaled by the square root of the ratio of the declaration to the mean
// declaration. The square root is used because declarations that are off by as much as run times
// vary explain half of the variation.
Duration RunTimeModel::expect(std::string_view queue, Duration declaredRunTime) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || it->second.meanMs == 0)
        return declaredRunTime > Duration{} ? declaredRunTime : fromMs(DefaultRunTimeMs);
    const Queue &known = it->second;
    if (declaredRunTime <= Duration{} || known.declaredMeanMs == 0)
        return fromMs(known.meanMs);
    return fromMs(known.meanMs * std::sqrt(toMs(declaredRunTime) / known.declaredMeanMs));
}

} // namespace cactuscove
