// Simulated loads and faults against the real decisions of entries and agents, in virtual time.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <ostream>
#include <random>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

std::vector<JobKind> bookingKinds(std::int64_t cpuMillis)
{
    return {{"seat-hold", 0, 37, 60, 0.4, 0.15, 8, cpuMillis, 0.0291},
            {"tide-check", 2, 6.7, 900, 0.4, 0.15, 4, cpuMillis, 0.16},
            {"guide-ping", 1, 107, 200, 0.4, 0.15, 2, cpuMillis, 0.01}};
}

DispatchFleetOptions bookingFleet(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.kinds = bookingKinds(3100);
    options.largeShare = 1;
    options.fastWorkerSpeed = 1.3;
    options.seed = seed;
    return options;
}

std::string describe(const DispatchFleet &fleet)
{
    std::string text;
    for (const auto &[queue, it] : fleet.results())
        text += queue + ": submitted " + std::to_string(it.submitted) + ", on time "
                + std::to_string(it.onTime) + ", late " + std::to_string(it.late) + ", refused "
                + std::to_string(it.refused) + ", other " + std::to_string(it.other)
                + ", value share " + std::to_string(it.valueShare) + ", slowest refusal "
                + std::to_string(it.slowestRefusal / 1ms) + " ms\n";
    return text + "value share " + std::to_string(fleet.valueShare());
}

DispatchFleetOptions smallFleet(std::uint64_t seed)
{
    DispatchFleetOptions options = bookingFleet(seed);
    options.length = 6s;
    options.workers = 5;
    options.kinds[0].jobsPerSecond = 20;
    options.kinds[1].jobsPerSecond = 4;
    options.kinds[2].jobsPerSecond = 40;
    options.lostReplyRate = seed % 3 == 0 ? 0.08 : 0;
    return options;
}

// Plans 14 faults in 6 s, drawn from the seed of the options.
void planFaults(DispatchFleet &fleet, const DispatchFleetOptions &options)
{
    std::mt19937_64 random(options.seed);
    const auto pick = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
    for (int i = 0; i < 14; ++i) {
        const Duration at = std::chrono::milliseconds(pick(6000));
        const Duration length = std::chrono::milliseconds(30 + pick(2500));
        const int entry = pick(options.entries);
        const int agent = pick(options.workers);
        switch (pick(7)) {
        case 0:
            fleet.schedule(at, [&fleet, agent, length] { fleet.killAgent(agent, length); });
            break;
        case 1:
            fleet.schedule(at, [&fleet, entry, length] { fleet.killEntry(entry, length); });
            break;
        case 2:
            fleet.schedule(at, [&fleet, agent, length] { fleet.freezeAgent(agent, length); });
            break;
        case 3:
            fleet.schedule(at, [&fleet, entry, length] { fleet.freezeEntry(entry, length); });
            break;
        case 4:
            fleet.schedule(at, [&fleet, entry, agent] { fleet.setCut(entry, agent, true); });
            fleet.schedule(at + length,
                           [&fleet, entry, agent] { fleet.setCut(entry, agent, false); });
            break;
        case 5:
            fleet.schedule(at, [&fleet, agent, length] { fleet.crashWorker(agent, length); });
            break;
        case 6:
            fleet.schedule(at, [&fleet, agent] { fleet.setSpeed(agent, 0.1); });
            fleet.schedule(at + length, [&fleet, agent] { fleet.setSpeed(agent, 1); });
            break;
        }
    }
}

std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

} // namespace

// Guards against refused and late jobs while the fleet has capacity for all of them.
TEST(DispatchFleet, ServesACalmLoadWithinItsObjectives)
{
    DispatchFleet fleet(bookingFleet(1));
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.99) << describe(fleet);
}

// Guards against serving no job in time when there are too many: a burst of tide-check jobs while
// two of eleven workers are gone, which is more than the fleet can carry.
TEST(DispatchFleet, ServesMostOfALoadThatExceedsTheFleet)
{
    DispatchFleetOptions options = bookingFleet(1);
    options.length = 10s;
    options.rateFactor
        = [](const JobKind &kind, Duration) { return kind.queue == "tide-check" ? 2.4 : 1.0; };
    DispatchFleet fleet(options);
    fleet.schedule(1s, [&] { fleet.crashWorker(7, 60s); });
    fleet.schedule(1s, [&] { fleet.crashWorker(8, 60s); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.8) << describe(fleet);
}

// Guards against a worker that fails all it starts and attracts the tasks, because it ends them
// early and so looks idle.
TEST(DispatchFleet, AvoidsAWorkerThatFailsAllItStarts)
{
    DispatchFleetOptions options = bookingFleet(2);
    options.length = 10s;
    DispatchFleet fleet(options);
    fleet.schedule(2s, [&] { fleet.setFailing(1, true); });
    fleet.run();
    int failed = 0;
    for (const auto &[queue, it] : fleet.results())
        failed += it.other;
    EXPECT_LE(failed, 2) << describe(fleet);
    EXPECT_GT(fleet.valueShare(), 0.97) << describe(fleet);
}

// Guards against jobs that wait for tasks that make no progress on one worker.
TEST(DispatchFleet, MovesTasksOffAWorkerAtWhichTheyStandStill)
{
    DispatchFleetOptions options = bookingFleet(3);
    options.length = 10s;
    DispatchFleet fleet(options);
    fleet.schedule(2s, [&] { fleet.setSpeed(1, 0); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.95) << describe(fleet);
}

// Guards against an agent that goes on waiting for the runs of a worker that is gone and refuses
// connections: their jobs must end on other workers soon after the lease.
TEST(DispatchFleet, PlacesTheRunsOfAGoneWorkerElsewhere)
{
    DispatchFleetOptions options = bookingFleet(5);
    options.length = 8s;
    options.refusesWhenDown = true;
    DispatchFleet fleet(options);
    fleet.schedule(3s, [&] { fleet.crashWorker(2, 60s); });
    fleet.run();
    int unanswered = 0;
    for (const auto &[queue, it] : fleet.results())
        unanswered += it.other;
    EXPECT_EQ(unanswered, 0) << describe(fleet);
    EXPECT_LT(fleet.slowestAnswer(), 3s) << describe(fleet);
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.97) << describe(fleet);
}

// Guards against waiting for lost replies of workers, and against starts that are executed late: 6%
// of the replies are lost, and their calls are executed seconds later.
TEST(DispatchFleet, KeepsItsObjectivesWhenAnswersOfWorkersAreLost)
{
    DispatchFleetOptions options = bookingFleet(4);
    options.length = 10s;
    options.lostReplyRate = 0.06;
    DispatchFleet fleet(options);
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.97) << describe(fleet);
}

// Guards against two runs of a task at the same time, a worker over its capacity and a refused job
// that ran, under all faults together. The environment variables DISPATCH_SEED and DISPATCH_RUNS
// choose other schedules.
void expectGuaranteesUnderRandomFaults(int entries, std::size_t linksPerAgent,
                                       bool hasScarcityControl = false)
{
    const std::uint64_t first = environmentNumber("DISPATCH_SEED", 1);
    const std::uint64_t runs = environmentNumber("DISPATCH_RUNS", 25);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        DispatchFleetOptions options = smallFleet(seed);
        options.entries = entries;
        options.linksPerAgent = linksPerAgent;
        options.hasScarcityControl = hasScarcityControl;
        DispatchFleet fleet(options);
        planFaults(fleet, options);
        fleet.run();
        ASSERT_TRUE(fleet.violations().empty())
            << "DISPATCH_SEED=" << seed << " DISPATCH_RUNS=1: " << fleet.violations().front();
        ASSERT_GT(fleet.startCount(), 100u) << "DISPATCH_SEED=" << seed;
    }
}

TEST(DispatchFleet, KeepsItsPromisesUnderRandomFaults)
{
    expectGuaranteesUnderRandomFaults(3, 8);
}

// The same while each fault makes agents choose other entries and return, so that connections are
// dialled and released while tasks run.
TEST(DispatchFleet, KeepsItsPromisesWhileConnectionsMove)
{
    expectGuaranteesUnderRandomFaults(6, 2);
}

// The same with the plan of --scarcity, which sends tasks to full workers and takes them back.
TEST(DispatchFleet, KeepsItsPromisesWhilePlacementLooksAhead)
{
    expectGuaranteesUnderRandomFaults(4, 3, true);
}

// One of the bounds that the guarantees depend on, and a load that needs it.
struct Bound
{
    const char *name;
    double lostReplyRate;
    std::function<void(DispatchFleetOptions &)> remove;
};

void PrintTo(const Bound &bound, std::ostream *out)
{
    *out << bound.name;
}

class BoundOfThePromise : public testing::TestWithParam<Bound>
{
protected:
    static std::vector<std::string> violationsOf(const DispatchFleetOptions &options)
    {
        DispatchFleet fleet(options);
        planFaults(fleet, options);
        fleet.run();
        return fleet.violations();
    }
};

// Guards against checks that would also pass without the bound, and against a bound that nothing
// needs: some schedule must violate a guarantee without the bound and keep all of them with it.
TEST_P(BoundOfThePromise, IsNeeded)
{
    constexpr std::uint64_t maxSchedules = 400;
    for (std::uint64_t seed = 1; seed <= maxSchedules; ++seed) {
        DispatchFleetOptions options = smallFleet(seed);
        options.lostReplyRate = GetParam().lostReplyRate;
        DispatchFleetOptions without = options;
        GetParam().remove(without);
        if (violationsOf(without).empty())
            continue;
        const auto violations = violationsOf(options);
        EXPECT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
        return;
    }
    FAIL() << "no violation in " << maxSchedules << " schedules";
}

INSTANTIATE_TEST_SUITE_P(
    All, BoundOfThePromise,
    testing::Values(
        Bound{"SilenceOfAnEntry", 0, [](DispatchFleetOptions &it) { it.runner.entryTimeout = 1h; }},
        Bound{"LeaseOfARun", 0.08, [](DispatchFleetOptions &it) { it.runner.leaseTime = 1h; }},
        Bound{"DeadlineOfAStart", 0.4,
              [](DispatchFleetOptions &it) { it.checksDeadlines = false; }},
        Bound{"TimeOfProof", 0, [](DispatchFleetOptions &it) { it.lostAgentTimeout = 0s; }}),
    [](const auto &it) { return it.param.name; });

// The load of a large fleet. Each entry is connected to a part of the agents, and each agent to
// some entries.
DispatchFleetOptions largeFleet(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.entries = 55;
    options.workers = 240;
    options.kinds = {{"seat-hold", 0, 309, 60, 0.4, 0.15, 8, 7600, 0.00323},
                     {"tide-check", 2, 56.2, 900, 0.4, 0.15, 4, 7600, 0.0178},
                     {"guide-ping", 1, 900, 200, 0.4, 0.15, 2, 7600, 0.00111}};
    options.length = 3s;
    options.seed = seed;
    return options;
}

// Guards against entries that refuse or queue jobs although workers that other entries know are
// free.
TEST(DispatchFleet, ALargeFleetIsServedAlthoughEachEntryKnowsAPartOfIt)
{
    DispatchFleet fleet(largeFleet(1));
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.99) << describe(fleet);
}

// The same when all callers come to the entries of one data centre out of five: these entries know
// four fifths of the workers.
TEST(DispatchFleet, ALargeFleetServesCallersThatAllComeToOneDataCentre)
{
    DispatchFleetOptions options = largeFleet(2);
    options.usedEntryShare = 0.2;
    DispatchFleet fleet(options);
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.95) << describe(fleet);
}

// Guards against violated guarantees when half of the entries and a third of the agents are killed
// at one moment and connections move to the remaining entries and back.
TEST(DispatchFleet, ALargeFleetKeepsItsPromisesWhileHalfOfItIsReplaced)
{
    DispatchFleetOptions options = largeFleet(3);
    DispatchFleet fleet(options);
    for (int i = 0; i < options.entries; i += 2)
        fleet.schedule(1s, [&fleet, i] { fleet.killEntry(i, 1500ms); });
    for (int i = 0; i < options.workers; i += 3)
        fleet.schedule(1s, [&fleet, i] { fleet.killAgent(i, 1s); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.valueShare(), 0.5) << describe(fleet);
}

} // namespace cactuscove
