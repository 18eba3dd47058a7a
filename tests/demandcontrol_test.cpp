// Simulated loads that exceed the capacity of the fleet: 13 entries with unequal numbers of
// callers, 70 workers of unequal size and speed, and three queues of which the least urgent has the
// largest jobs.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <ostream>
#include <vector>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration LoadLength = 6s;
// Jobs that arrive in this period count. Before it the load sets in; at its end the fleet is as
// loaded as at its begin, so the capacity in between is what these jobs can use.
constexpr Duration CountedFrom = 2s;
constexpr Duration CountedUntil = 5500ms;
constexpr double Speeds[] = {0.8, 1, 1.25};
constexpr int Workers = 70;

double coresOf(int worker)
{
    return worker % 3 == 2 ? 48 : 32;
}

double speedOf(int worker)
{
    return Speeds[worker / 3 % 3];
}

// Cores at speed 1 of the first `workers` workers.
double capacityOf(int workers)
{
    double cores = 0;
    for (int i = 0; i < workers; ++i)
        cores += coresOf(i) * speedOf(i);
    return cores;
}

double demandOf(const JobKind &kind)
{
    return kind.jobsPerSecond * kind.meanTasks * kind.meanRunMs / 1000
           * static_cast<double>(kind.cpuMillis) / 1000;
}

// The queues of deployment A. Values are such that all queues are worth the same in total.
DispatchFleetOptions scarceFleet()
{
    DispatchFleetOptions options;
    options.entries = 13;
    options.workers = Workers;
    options.largeShare = 1;
    options.dataCentres = 3;
    options.entryDemand = {3, 1};
    options.kinds = {{"seat-hold", 0, 206, 60, 0.4, 0.15, 8, 3300, 1 / 206.0},
                     {"tide-check", 2, 37.5, 900, 0.4, 0.15, 4, 3300, 1 / 37.5},
                     {"guide-ping", 1, 600, 200, 0.4, 0.15, 2, 3300, 1 / 600.0}};
    options.length = LoadLength;
    options.hasScarcityControl = true;
    return options;
}

// What makes the demand exceed the capacity.
enum class Shortage { AllQueues, BurstOfLargestJobs, LostWorkers };

struct Load
{
    const char *name;
    double factor; // demand / capacity
    Shortage shortage = Shortage::AllQueues;
    int remainingWorkers() const { return shortage == Shortage::LostWorkers ? 46 : Workers; }
};

std::ostream &operator<<(std::ostream &out, const Load &load)
{
    return out << load.name;
}

void setLoad(DispatchFleetOptions &options, const Load &load)
{
    double demand = 0;
    for (const JobKind &it : options.kinds)
        demand += demandOf(it);
    const double target = load.factor * capacityOf(load.remainingWorkers());
    if (load.shortage == Shortage::BurstOfLargestJobs) {
        const double factor = 1 + (target - demand) / demandOf(options.kinds[1]);
        options.rateFactor = [factor](const JobKind &kind, Duration at) {
            return kind.queue == "tide-check" && at >= 1s ? factor : 1;
        };
        return;
    }
    for (JobKind &it : options.kinds)
        it.jobsPerSecond *= target / demand;
}

// Plays the load and returns the jobs that count.
std::vector<PlayedJob> play(const DispatchFleetOptions &options, const Load &load,
                            const std::function<void(DispatchFleet &)> &planFaults = {})
{
    DispatchFleetOptions loaded = options;
    setLoad(loaded, load);
    DispatchFleet fleet(loaded);
    for (int i = 0; i < Workers; ++i)
        fleet.setSpeed(i, speedOf(i));
    for (int i = load.remainingWorkers(); i < Workers; ++i)
        fleet.schedule(1s, [&fleet, i] { fleet.crashWorker(i, 60s); });
    if (planFaults)
        planFaults(fleet);
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    std::vector<PlayedJob> jobs = fleet.jobs();
    std::erase_if(jobs,
                  [](const PlayedJob &it) { return it.at < CountedFrom || it.at >= CountedUntil; });
    return jobs;
}

// The most value that `cores` could carry of these jobs: those with the most value for their work.
double valueThatFits(std::vector<PlayedJob> jobs, double cores)
{
    std::sort(jobs.begin(), jobs.end(), [](const PlayedJob &a, const PlayedJob &b) {
        return a.value * b.coreSeconds > b.value * a.coreSeconds;
    });
    double left = cores * std::chrono::duration<double>(CountedUntil - CountedFrom).count();
    double value = 0;
    for (const PlayedJob &it : jobs) {
        value += it.value * std::min(1.0, left / it.coreSeconds);
        left = std::max(0.0, left - it.coreSeconds);
    }
    return value;
}

// Value of the jobs that were answered in time / value that fits.
double earnedShare(const std::vector<PlayedJob> &jobs, const Load &load)
{
    double earned = 0;
    for (const PlayedJob &it : jobs)
        earned += it.isOnTime ? it.value : 0;
    return earned / valueThatFits(jobs, capacityOf(load.remainingWorkers()));
}

// Work of the jobs answered in time / work of the jobs that `isCounted` selects.
double workInTime(const std::vector<PlayedJob> &jobs,
                  const std::function<bool(const PlayedJob &)> &isCounted)
{
    double inTime = 0;
    double all = 0;
    for (const PlayedJob &it : jobs) {
        if (!isCounted(it))
            continue;
        all += it.coreSeconds;
        inTime += it.isOnTime ? it.coreSeconds : 0;
    }
    return inTime / all;
}

} // namespace

class ScarceFleet : public testing::TestWithParam<Load>
{};

// Guards against refusing the wrong jobs, or starting more than end in time.
TEST_P(ScarceFleet, AnswersMostOfTheValueThatFitsInTime)
{
    const double share = earnedShare(play(scarceFleet(), GetParam()), GetParam());
    EXPECT_GT(share, 0.9);
}

// Guards against a control that makes no difference, and against accepted jobs that end late.
TEST_P(ScarceFleet, EarnsMoreThanWithoutControlAndAnswersInTimeWhatItAccepts)
{
    DispatchFleetOptions without = scarceFleet();
    without.hasScarcityControl = false;
    const std::vector<PlayedJob> jobs = play(scarceFleet(), GetParam());
    EXPECT_GT(earnedShare(jobs, GetParam()),
              1.05 * earnedShare(play(without, GetParam()), GetParam()));
    EXPECT_GT(workInTime(jobs, [](const PlayedJob &it) { return !it.isRefused; }), 0.9);
}

INSTANTIATE_TEST_SUITE_P(Loads, ScarceFleet,
                         testing::Values(Load{"Slight", 1.05}, Load{"Large", 1.3},
                                         Load{"Double", 2},
                                         Load{"Burst", 1.3, Shortage::BurstOfLargestJobs},
                                         Load{"Loss", 1.3, Shortage::LostWorkers}),
                         [](const auto &it) { return it.param.name; });

// Guards against starved queues and starved large jobs: without control, the least urgent queue
// gets nothing at twice the capacity.
TEST(DemandControl, KeepsAFloorForEachQueueAndItsLargeJobs)
{
    const std::vector<PlayedJob> jobs = play(scarceFleet(), {"Double", 2});
    for (const char *queue : {"seat-hold", "tide-check", "guide-ping"}) {
        std::vector<double> works;
        for (const PlayedJob &it : jobs)
            if (it.queue == queue)
                works.push_back(it.coreSeconds);
        std::sort(works.begin(), works.end());
        const double large = works[works.size() * 9 / 10];
        const double all = workInTime(jobs, [&](const PlayedJob &it) { return it.queue == queue; });
        EXPECT_GT(all, 0.15) << queue;
        EXPECT_GT(workInTime(jobs,
                             [&](const PlayedJob &it) {
                                 return it.queue == queue && it.coreSeconds >= large;
                             }),
                  0.5 * all)
            << queue;
    }
}

// Guards against refusals, or any other effect, while the capacity is sufficient.
TEST(DemandControl, ChangesNothingBelowTheCapacity)
{
    DispatchFleetOptions without = scarceFleet();
    without.hasScarcityControl = false;
    const Load load{"Sufficient", 0.7};
    const std::vector<PlayedJob> jobs = play(scarceFleet(), load);
    const std::vector<PlayedJob> expected = play(without, load);
    ASSERT_EQ(jobs.size(), expected.size());
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        EXPECT_FALSE(jobs[i].isRefused);
        EXPECT_EQ(jobs[i].isOnTime, expected[i].isOnTime);
    }
}

// Guards against figures that depend on the number of entries: with 2, each sees all agents; with
// 60, each sees about 9 of 70.
TEST(DemandControl, WorksWithFewAndManyEntries)
{
    const Load load{"Large", 1.3};
    for (const int entries : {2, 60}) {
        DispatchFleetOptions options = scarceFleet();
        options.entries = entries;
        EXPECT_GT(earnedShare(play(options, load), load), 0.83) << entries << " entries";
    }
}

// Guards against counting the demand of a process that is gone, and against forgetting it when its
// callers come to other entries. Entry 0 has many callers.
TEST(DemandControl, WorksWhileAnEntryIsKilled)
{
    const Load load{"Large", 1.3};
    const auto kill = [](DispatchFleet &fleet) {
        fleet.schedule(2500ms, [&fleet] { fleet.killEntry(0, 1s); });
    };
    EXPECT_GT(earnedShare(play(scarceFleet(), load, kill), load), 0.8);
}

} // namespace cactuscove
