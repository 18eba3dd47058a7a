// The demand decays exponentially, so that it follows a burst and its end within about a second.

#include "demandmeter.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace cactuscove {

namespace {

// Time constant; half of a sum's weight is on the last 350 ms. With a longer one, more jobs than
// fit are accepted while a load sets in; with a shorter one, the accepted part follows single jobs.
constexpr double DecayMs = 500;
// A process that has just started divides by at least this time, so that its first job does not
// look like a large demand.
constexpr double MinMeasuredMs = 200;

double decayed(double work, TimePoint since, TimePoint now)
{
    return work * std::exp(-std::max(0.0, toMs(now - since)) / DecayMs);
}

} // namespace

DemandMeter::DemandMeter(TimePoint startedAt)
    : m_startedAt(startedAt)
{}

void DemandMeter::record(std::string_view upstream, int priority, CoreMs work, TimePoint now)
{
    auto it = m_sums.find(upstream);
    if (it == m_sums.end())
        it = m_sums.emplace(std::string(upstream), std::map<int, Sum>()).first;
    Sum &sum = it->second[priority];
    sum.work = decayed(sum.work, sum.updatedAt, now) + work;
    sum.updatedAt = now;
}

// The weights of a process that has run for a short time add up to less than DecayMs.
double DemandMeter::coresOf(const Sum &sum, TimePoint now) const
{
    const double measuredMs = std::max(toMs(now - m_startedAt), MinMeasuredMs);
    return decayed(sum.work, sum.updatedAt, now)
           / (DecayMs * (1 - std::exp(-measuredMs / DecayMs)));
}

double DemandMeter::cores(std::string_view upstream, int priority, TimePoint now) const
{
    const auto it = m_sums.find(upstream);
    if (it == m_sums.end())
        return 0;
    const auto sum = it->second.find(priority);
    return sum == it->second.end() ? 0 : coresOf(sum->second, now);
}

double DemandMeter::cores(std::string_view upstream, TimePoint now) const
{
    const auto it = m_sums.find(upstream);
    if (it == m_sums.end())
        return 0;
    double cores = 0;
    for (const auto &[priority, sum] : it->second)
        cores += coresOf(sum, now);
    return cores;
}

} // namespace cactuscove
