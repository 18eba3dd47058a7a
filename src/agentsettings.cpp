// The bounds on the run time of lost tasks.

#include "agentsettings.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Safety margin between the latest end of a lost job's tasks and the earliest time at which its
// caller submits the job again. Covers calls that are under way and a worker's slow clock.
constexpr Duration ResubmitSafetyMargin = std::chrono::milliseconds(150);

} // namespace

TaskRunnerSettings taskRunnerSettings(const platform::PlatformSettings &settings,
                                      const FeatureFlags &features, Incarnation instance)
{
    TaskRunnerSettings it;
    it.instance = instance;
    it.ip = settings.ip;
    it.hasScarcityControl = features.hasScarcityControl;
    it.listsEarlierRuns = features.hasWorkerRecords;
    it.dataCentre = settings.dataCentre;
    it.coldSlowness = settings.coldSlowness;
    it.minEndNotice = std::min<Duration>(it.minEndNotice, settings.drainTime);
    // A start may be under way for the start window.
    it.maxDescriptionAge = std::max<Duration>(settings.capacityGrace - it.startWindow, Duration{});
    const Duration spare = settings.resubmitDelay - settings.maxStopTime - ResubmitSafetyMargin;
    it.entryTimeout = std::min<Duration>(it.entryTimeout, spare / 2);
    it.maxLeaseTime = settings.maxLeaseTime;
    it.leaseTime
        = std::min({it.leaseTime, settings.maxLeaseTime, Duration(spare - it.entryTimeout)});
    return it;
}

} // namespace cactuscove
