// Start of a whole fleet: all entries and agents are lost at one moment and start again while the
// workers run on. Answers the load of 13 entries and 70 agents at 0.6 of the cores (deployment A in
// docs/hard-load.md). With FLEET_TIMELINE in the environment, prints what became of the jobs of
// each 100 ms.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration LossAt = 2s;
constexpr Duration StartSpread = 100ms; // between the first and the last process
constexpr Duration Interval = 100ms;    // of the timeline
constexpr std::uint64_t Seeds = 3;      // their results are added up
// Share of the new jobs that the tests require to be in time, of those that capacity allows.
constexpr double RequiredShare = 0.9;

DispatchFleetOptions fleetOptions(std::uint64_t seed, double workerRecordShare)
{
    DispatchFleetOptions options;
    options.entries = 13;
    options.workers = 70;
    options.largeShare = 1;
    options.workerSpeeds = {0.8, 1.0, 1.25};
    options.dataCentres = 3;
    options.kinds = {{"small", 0, 206, 60, 0.4, 0.15, 8, 3300, 0.00323},
                     {"long", 2, 37.5, 900, 0.4, 0.15, 4, 3300, 0.0178},
                     {"middle", 1, 600, 200, 0.4, 0.15, 2, 3300, 0.00111}};
    options.length = 6s;
    options.workerRecordShare = workerRecordShare;
    options.hasSpreadHeartbeats = true;
    options.maxConnectTime = 200ms;
    options.seed = seed;
    return options;
}

JobCounts &operator+=(JobCounts &sum, const JobCounts &it)
{
    sum.onTime += it.onTime;
    sum.late += it.late;
    sum.refused += it.refused;
    sum.failed += it.failed;
    return sum;
}

std::string row(int ms, const FleetMoment &it)
{
    char buf[200];
    std::snprintf(buf, sizeof(buf), "%5d  %.2f  %.2f  %.2f  %5d %5d %5d %5d  %5d %5d %5d %5d\n", ms,
                  it.knownWorkerShare, it.usableCoreShare, it.connectedShare, it.fresh.onTime,
                  it.fresh.late, it.fresh.refused, it.fresh.failed, it.returned.onTime,
                  it.returned.late, it.returned.refused, it.returned.failed);
    return buf;
}

// The time after the first process has started again.
class FleetStart : public testing::Test
{
protected:
    // Loses all processes for `down`. `fault` is planned for the middle of that time.
    void lose(Duration down, double workerRecordShare,
              const std::function<void(DispatchFleet &)> &fault = {})
    {
        timeline.resize(2s / Interval);
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            DispatchFleet fleet(fleetOptions(seed, workerRecordShare));
            fleet.schedule(LossAt, [&] { fleet.killAll(down, StartSpread); });
            if (fault)
                fleet.schedule(LossAt + down / 2, [&] { fault(fleet); });
            fleet.watch(LossAt + down, LossAt + down + 2s, Interval);
            fleet.run();
            EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
            add(fleet.timeline());
        }
        if (std::getenv("FLEET_TIMELINE"))
            std::printf("%s", describe().c_str());
    }

    // Adds up the jobs, and the means of the shares.
    void add(const std::vector<FleetMoment> &moments)
    {
        for (std::size_t i = 0; i < timeline.size(); ++i) {
            timeline[i].knownWorkerShare += moments[i].knownWorkerShare / Seeds;
            timeline[i].usableCoreShare += moments[i].usableCoreShare / Seeds;
            timeline[i].connectedShare += moments[i].connectedShare / Seeds;
            timeline[i].fresh += moments[i].fresh;
            timeline[i].returned += moments[i].returned;
        }
    }

    std::string describe() const
    {
        std::string text
            = "   ms known usable conn | new: in time, late, refused, failed | returned\n";
        for (std::size_t i = 0; i < timeline.size(); ++i)
            text += row(static_cast<int>(i * (Interval / 1ms)), timeline[i]);
        return text;
    }

    // What became of the jobs that were sent from `from` to `to`.
    JobCounts sum(JobCounts FleetMoment::*counts, Duration from, Duration to) const
    {
        JobCounts out;
        for (auto i = from / Interval; i < to / Interval; ++i)
            out += timeline[static_cast<std::size_t>(i)].*counts;
        return out;
    }

    double onTimeShare(Duration from, Duration to) const
    {
        const JobCounts it = sum(&FleetMoment::fresh, from, to);
        return static_cast<double>(it.onTime) / it.all();
    }

    std::vector<FleetMoment> timeline;
};

} // namespace

// Guards against agents that wait for their workers' heartbeats. Callers that found no entry come
// back until 1.3 s after the start, which makes the demand 1.2 times the capacity.
TEST_F(FleetStart, WorkersAreKnownBeforeTheirHeartbeats)
{
    lose(1500ms, 1);
    EXPECT_GT(timeline[3].knownWorkerShare, 0.99) << describe();
    EXPECT_GT(timeline[4].usableCoreShare, 0.99) << describe();
    EXPECT_GT(onTimeShare(300ms, 500ms), RequiredShare) << describe();
    EXPECT_GT(onTimeShare(500ms, 1100ms), RequiredShare / 1.2) << describe();
    EXPECT_GT(onTimeShare(1400ms, 2s), 0.99) << describe();
}

// Guards against the use of a record of a worker that was replaced while its agent was away, when
// a third of the agents cannot read their records.
TEST_F(FleetStart, ReplacedWorkersAreNotTakenFromTheirRecords)
{
    lose(1500ms, 0.65, [](DispatchFleet &fleet) {
        for (int i = 0; i < 70; i += 5)
            fleet.crashWorker(i, 300ms);
    });
    EXPECT_GT(timeline[3].knownWorkerShare, 0.5) << describe();
    // Usable cores for half of the demand, which is 1.2 times the capacity of the fleet.
    EXPECT_GT(onTimeShare(300ms, 500ms), RequiredShare * 0.6 / 1.2) << describe();
    EXPECT_GT(onTimeShare(1600ms, 2s), 0.99) << describe();
}

} // namespace cactuscove
