// Capacities of workers that shrink and grow while tasks run, against the real decisions of entries
// and agents in virtual time.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <string>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr std::int64_t FullCapacity = 32000;

DispatchFleetOptions busyFleet(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.kinds = {{"seat-hold", 0, 34.4, 60, 0.4, 0.15, 8, 3100, 0.0291},
                     {"tide-check", 2, 6.25, 900, 0.4, 0.15, 4, 3100, 0.16},
                     {"guide-ping", 1, 100, 200, 0.4, 0.15, 2, 3100, 0.01}};
    options.length = 16s;
    options.seed = seed;
    return options;
}

std::string firstViolation(const DispatchFleet &fleet)
{
    return fleet.violations().empty() ? "" : fleet.violations().front();
}

} // namespace

// Guards against starts by the capacity that a worker had before it shrank, while it is full.
TEST(CapacityChange, NothingStartsOverACapacityThatHasShrunk)
{
    for (const bool hasScarcityControl : {false, true}) {
        DispatchFleetOptions options = busyFleet(1);
        options.hasScarcityControl = hasScarcityControl;
        DispatchFleet fleet(options);
        for (int i = 0; i < options.workers; i += 2) {
            fleet.schedule(3s, [&fleet, i] { fleet.setCapacity(i, FullCapacity / 4); });
            fleet.schedule(9s, [&fleet, i] { fleet.setCapacity(i, FullCapacity); });
        }
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "");
    }
}

// Guards against a restarted agent that starts tasks by the record of its worker from before the
// worker's capacity shrank.
TEST(CapacityChange, ARestartedAgentDoesNotTrustACapacityFromBefore)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DispatchFleetOptions options = busyFleet(seed);
        options.workerRecordShare = 1;
        DispatchFleet fleet(options);
        for (int i = 0; i < options.workers; ++i) {
            fleet.schedule(2s, [&fleet, i] { fleet.killAgent(i, 6s + i * 100ms); });
            fleet.schedule(2100ms, [&fleet, i] { fleet.setCapacity(i, FullCapacity / 8); });
        }
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "") << "seed " << seed;
    }
}

// Guards against an agent that has just resumed from a suspension and starts tasks by the capacity
// that it knew before.
TEST(CapacityChange, AnAgentThatWasSuspendedDoesNotTrustACapacityFromBefore)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        DispatchFleetOptions options = busyFleet(seed);
        DispatchFleet fleet(options);
        for (int i = 0; i < options.workers; ++i) {
            fleet.schedule(2s, [&fleet, i] { fleet.freezeAgent(i, 6s + i * 100ms); });
            fleet.schedule(2100ms, [&fleet, i] { fleet.setCapacity(i, FullCapacity / 8); });
        }
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "") << "seed " << seed;
    }
}

// Guards against entries that do not use a capacity that has grown again.
TEST(CapacityChange, ACapacityThatGrowsAgainIsUsed)
{
    DispatchFleetOptions options = busyFleet(1);
    DispatchFleet unchanged(options);
    unchanged.run();
    DispatchFleet fleet(options);
    for (int i = 0; i < options.workers; ++i) {
        fleet.schedule(1s, [&fleet, i] { fleet.setCapacity(i, FullCapacity / 4); });
        fleet.schedule(2s, [&fleet, i] { fleet.setCapacity(i, FullCapacity); });
    }
    fleet.run();
    EXPECT_EQ(firstViolation(fleet), "");
    int onTime = 0;
    int all = 0;
    for (const PlayedJob &it : fleet.jobs())
        if (it.at > 5s) {
            ++all;
            onTime += it.isOnTime;
        }
    int usuallyOnTime = 0;
    for (const PlayedJob &it : unchanged.jobs())
        usuallyOnTime += it.at > 5s && it.isOnTime;
    EXPECT_GT(onTime, 0.95 * usuallyOnTime) << "of " << all;
}

} // namespace cactuscove
