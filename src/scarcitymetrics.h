// Metrics of an entry's decisions under scarce capacity: the demand as the agents report it, the
// accepted part of each queue, and what the placement plan did.

#pragma once

#include "jobdispatcher.h"
#include "metrics.h"

namespace cactuscove {

// Used by an entry process with FeatureFlags::hasScarcityControl.
class ScarcityMetrics
{
public:
    // Adds what the plan did since the last call. To be called after processPending().
    void addPlacement(const PlacementCounts &counts, Metrics &metrics);
    // Sets the gauges. To be called when the metrics are read.
    static void setDemand(const JobDispatcher &dispatcher, TimePoint now, Metrics &metrics);

private:
    PlacementCounts m_added; // counts that are in the metrics already
};

} // namespace cactuscove
