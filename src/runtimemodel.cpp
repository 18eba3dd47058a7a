// Exponentially weighted means for each queue.

#include "runtimemodel.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

constexpr double NewestWeight = 0.02;
constexpr double MaxOverMean = 3;
constexpr double DefaultMs = 200; // the middle of what sub-second tasks take

// The first ends weigh more, so that a mean is there soon.
void blend(double &mean, double value, int samples)
{
    mean += std::max(NewestWeight, 1.0 / samples) * (value - mean);
}

} // namespace

void RunTimeModel::learn(std::string_view queue, Duration runTime, Duration declared)
{
    auto it = m_queues.find(queue);
    if (it == m_queues.end())
        it = m_queues.emplace(std::string(queue), Queue()).first;
    // A stuck or slow worker must not make all tasks look long.
    const double limit = it->second.meanMs == 0 ? toMs(runTime) : MaxOverMean * it->second.meanMs;
    blend(it->second.meanMs, std::min(toMs(runTime), limit), ++it->second.samples);
    if (declared > Duration{})
        blend(it->second.declaredMeanMs, toMs(declared), ++it->second.declaredSamples);
}

// The queue's mean, scaled by the square root of how the declaration differs from the usual one: a
// declaration that is off by as much as the run times vary explains half of the variation.
Duration RunTimeModel::expect(std::string_view queue, Duration declared) const
{
    const auto it = m_queues.find(queue);
    if (it == m_queues.end() || it->second.meanMs == 0)
        return declared > Duration{} ? declared : fromMs(DefaultMs);
    const Queue &known = it->second;
    if (declared <= Duration{} || known.declaredMeanMs == 0)
        return fromMs(known.meanMs);
    return fromMs(known.meanMs * std::sqrt(toMs(declared) / known.declaredMeanMs));
}

} // namespace cactuscove
