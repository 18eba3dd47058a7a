// Exponentially weighted means for each queue.

#include "runtimemodel.h"

#include <cmath>

namespace cactuscove {

namespace {

constexpr double NewestWeight = 0.02;
constexpr double DefaultMs = 200; // the middle of what sub-second tasks take

double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

void blend(double &mean, double value)
{
    mean = mean == 0 ? value : mean + NewestWeight * (value - mean);
}

} // namespace

void RunTimeModel::learn(std::string_view queue, Duration runTime, Duration declared)
{
    auto it = m_queues.find(queue);
    if (it == m_queues.end())
        it = m_queues.emplace(std::string(queue), Queue()).first;
    blend(it->second.meanMs, toMs(runTime));
    if (declared > Duration{})
        blend(it->second.declaredMeanMs, toMs(declared));
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
