// The parts of priorities that fit, and counters that make the accepted work follow them.

#include "admissionquota.h"

#include "durations.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Part of an equal share of the capacity that each priority keeps, as far as it asks for it. The
// rest goes to the most urgent priorities first.
constexpr double FloorShare = 0.8;
constexpr std::size_t RememberedJobs = 100; // of each queue, to find the sizes of the classes
constexpr double LargestShare = 0.1;        // of the jobs, the largest size class
constexpr double LargeShare = 0.3;          // of the jobs, the two largest size classes
// A second's demand that is cut to a part needs 1 / part seconds.
constexpr double DemandPeriodMs = 1000;
constexpr Duration MaxRetryAfter = 10s;

} // namespace

std::map<int, double> acceptedParts(const std::map<int, double> &utilisation)
{
    double total = 0;
    for (const auto &[priority, asked] : utilisation)
        total += asked;
    std::map<int, double> parts;
    if (total <= TargetUtilisation) {
        for (const auto &[priority, asked] : utilisation)
            parts[priority] = 1;
        return parts;
    }
    const double equalShare = TargetUtilisation / static_cast<double>(utilisation.size());
    const auto floorOf = [&](double asked) { return std::min(asked, FloorShare * equalShare); };
    double left = TargetUtilisation;
    for (const auto &[priority, asked] : utilisation)
        left -= floorOf(asked);
    for (const auto &[priority, asked] : utilisation) {
        const double extra = std::min(asked - floorOf(asked), left);
        left -= extra;
        parts[priority] = asked > 0 ? (floorOf(asked) + extra) / asked : 1;
    }
    return parts;
}

Duration retryAfterOf(double acceptedPart)
{
    const double periods = 1 / std::max(acceptedPart, 0.01) - 1;
    return std::min<Duration>(fromMs(DemandPeriodMs * periods), MaxRetryAfter);
}

std::size_t AdmissionQuota::sizeClassOf(const Queue &queue, CoreMs work)
{
    const auto larger = static_cast<double>(std::count_if(queue.works.begin(), queue.works.end(),
                                                          [&](CoreMs it) { return it > work; }));
    const auto known = static_cast<double>(queue.works.size());
    if (larger < LargestShare * known)
        return 0;
    return larger < LargeShare * known ? 1 : 2;
}

void AdmissionQuota::remember(Queue &queue, CoreMs work)
{
    if (queue.works.size() < RememberedJobs) {
        queue.works.push_back(work);
        return;
    }
    queue.works[queue.next] = work;
    queue.next = (queue.next + 1) % RememberedJobs;
}

bool AdmissionQuota::accept(std::string_view queue, CoreMs work, double part)
{
    auto found = m_queues.find(queue);
    if (found == m_queues.end())
        found = m_queues.emplace(std::string(queue), Queue()).first;
    Queue &it = found->second;
    CoreMs &credit = it.credit[sizeClassOf(it, work)];
    remember(it, work);
    if (part >= 1) {
        credit = 0;
        return true;
    }
    credit += part * work;
    // Half of the job: otherwise the first job of each size class at each entry would always be
    // accepted, which is much work if there are many entries with few large jobs each.
    if (credit < work / 2)
        return false;
    credit -= work;
    return true;
}

} // namespace cactuscove
