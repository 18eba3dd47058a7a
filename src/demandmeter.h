// Demand at one entry: the cores that its callers' new jobs ask for, by upstream and priority.
// Refused jobs count as well, since the demand decides which part of it can be accepted.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "loadcontrol.h"
#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cactuscove {

// Used by JobDispatcher, one object per entry process. A smaller priority is more urgent.
class DemandMeter
{
public:
    // `startedAt` is the start of the process.
    explicit DemandMeter(TimePoint startedAt);

    // Commands

    // A job arrived that needs `work` for all of its tasks.
    void record(std::string_view upstream, int priority, CoreMs work, TimePoint now);

    // Queries

    // Cores that the jobs of the last second or so ask for.
    double cores(std::string_view upstream, int priority, TimePoint now) const;
    double cores(std::string_view upstream, TimePoint now) const; // of all priorities

private:
    // Exponentially weighted sum of work.
    struct Sum
    {
        CoreMs work = 0;
        TimePoint updatedAt{}; // time up to which the sum is decayed
    };

    double coresOf(const Sum &sum, TimePoint now) const;

    TimePoint m_startedAt;
    std::map<std::string, std::map<int, Sum>, std::less<>> m_sums; // by upstream and priority
};

} // namespace cactuscove
