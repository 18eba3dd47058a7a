// Played loads and faults against the real decisions of entries and agents, in virtual time.

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
    options.fastSpeed = 1.3;
    options.seed = seed;
    return options;
}

std::string describe(const DispatchFleet &fleet)
{
    std::string text;
    for (const auto &[queue, it] : fleet.results())
        text += queue + ": asked " + std::to_string(it.asked) + ", in aim "
                + std::to_string(it.inAim) + ", late " + std::to_string(it.late) + ", refused "
                + std::to_string(it.refused) + ", other " + std::to_string(it.other) + ", worth "
                + std::to_string(it.worth) + ", slowest refusal "
                + std::to_string(it.slowestRefusal / 1ms) + " ms\n";
    return text + "worth " + std::to_string(fleet.worth());
}

DispatchFleetOptions smallFleet(std::uint64_t seed)
{
    DispatchFleetOptions options = bookingFleet(seed);
    options.length = 6s;
    options.workers = 5;
    options.kinds[0].perSecond = 20;
    options.kinds[1].perSecond = 4;
    options.kinds[2].perSecond = 40;
    options.lostAnswers = seed % 3 == 0 ? 0.08 : 0;
    return options;
}

// 14 faults in 6 s, by the seed of the options.
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
            fleet.at(at, [&fleet, agent, length] { fleet.killAgent(agent, length); });
            break;
        case 1:
            fleet.at(at, [&fleet, entry, length] { fleet.killEntry(entry, length); });
            break;
        case 2:
            fleet.at(at, [&fleet, agent, length] { fleet.freezeAgent(agent, length); });
            break;
        case 3:
            fleet.at(at, [&fleet, entry, length] { fleet.freezeEntry(entry, length); });
            break;
        case 4:
            fleet.at(at, [&fleet, entry, agent] { fleet.cut(entry, agent, true); });
            fleet.at(at + length, [&fleet, entry, agent] { fleet.cut(entry, agent, false); });
            break;
        case 5:
            fleet.at(at, [&fleet, agent, length] { fleet.crashWorker(agent, length); });
            break;
        case 6:
            fleet.at(at, [&fleet, agent] { fleet.setSpeed(agent, 0.1); });
            fleet.at(at + length, [&fleet, agent] { fleet.setSpeed(agent, 1); });
            break;
        }
    }
}

std::uint64_t numberOf(const char *variable, std::uint64_t missing)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : missing;
}

} // namespace

TEST(DispatchFleet, ServesACalmLoadWithinItsObjectives)
{
    DispatchFleet fleet(bookingFleet(1));
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.99) << describe(fleet);
}

// The load of a tide-check burst while two of eleven workers are gone: more than the fleet can
// carry. Guards against serving nobody in time when not all can be served.
TEST(DispatchFleet, ServesMostOfALoadThatExceedsTheFleet)
{
    DispatchFleetOptions options = bookingFleet(1);
    options.length = 10s;
    options.burst
        = [](const JobKind &kind, Duration) { return kind.queue == "tide-check" ? 2.4 : 1.0; };
    DispatchFleet fleet(options);
    fleet.at(1s, [&] { fleet.crashWorker(7, 60s); });
    fleet.at(1s, [&] { fleet.crashWorker(8, 60s); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.8) << describe(fleet);
}

// A worker that fails at once all that it starts looks idle. Guards against it drawing the work.
TEST(DispatchFleet, AvoidsAWorkerThatFailsAllItStarts)
{
    DispatchFleetOptions options = bookingFleet(2);
    options.length = 10s;
    DispatchFleet fleet(options);
    fleet.at(2s, [&] { fleet.setFailing(1, true); });
    fleet.run();
    int failed = 0;
    for (const auto &[queue, it] : fleet.results())
        failed += it.other;
    EXPECT_LE(failed, 2) << describe(fleet);
    EXPECT_GT(fleet.worth(), 0.97) << describe(fleet);
}

// Guards against jobs that wait for tasks that stand still on one worker.
TEST(DispatchFleet, MovesTasksOffAWorkerAtWhichTheyStandStill)
{
    DispatchFleetOptions options = bookingFleet(3);
    options.length = 10s;
    DispatchFleet fleet(options);
    fleet.at(2s, [&] { fleet.setSpeed(1, 0); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.95) << describe(fleet);
}

// A worker that is gone refuses connections at once. Guards against an agent that goes on waiting
// for the runs there: their jobs must end elsewhere soon after the lease.
TEST(DispatchFleet, PlacesTheRunsOfAGoneWorkerElsewhere)
{
    DispatchFleetOptions options = bookingFleet(5);
    options.length = 8s;
    options.refusesWhenDown = true;
    DispatchFleet fleet(options);
    fleet.at(3s, [&] { fleet.crashWorker(2, 60s); });
    fleet.run();
    int unanswered = 0;
    for (const auto &[queue, it] : fleet.results())
        unanswered += it.other;
    EXPECT_EQ(unanswered, 0) << describe(fleet);
    EXPECT_LT(fleet.slowestAnswer(), 3s) << describe(fleet);
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.97) << describe(fleet);
}

// One answer in sixteen is lost and its order carried out seconds later. Guards against waiting for
// lost answers, and against starts that are carried out late.
TEST(DispatchFleet, KeepsItsObjectivesWhenAnswersOfWorkersAreLost)
{
    DispatchFleetOptions options = bookingFleet(4);
    options.length = 10s;
    options.lostAnswers = 0.06;
    DispatchFleet fleet(options);
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.97) << describe(fleet);
}

// Everything at once: guards against two runs of a task at the same time, a worker over its
// capacity and a refused job that ran. DISPATCH_SEED and DISPATCH_RUNS choose other schedules.
void expectPromisesUnderRandomFaults(int entries, std::size_t linksPerAgent)
{
    const std::uint64_t first = numberOf("DISPATCH_SEED", 1);
    const std::uint64_t runs = numberOf("DISPATCH_RUNS", 25);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        DispatchFleetOptions options = smallFleet(seed);
        options.entries = entries;
        options.linksPerAgent = linksPerAgent;
        DispatchFleet fleet(options);
        planFaults(fleet, options);
        fleet.run();
        ASSERT_TRUE(fleet.violations().empty())
            << "DISPATCH_SEED=" << seed << " DISPATCH_RUNS=1: " << fleet.violations().front();
        ASSERT_GT(fleet.starts(), 100u) << "DISPATCH_SEED=" << seed;
    }
}

TEST(DispatchFleet, KeepsItsPromisesUnderRandomFaults)
{
    expectPromisesUnderRandomFaults(3, 8);
}

// Each fault makes agents choose other entries and return: connections are dialled and released
// while tasks run.
TEST(DispatchFleet, KeepsItsPromisesWhileConnectionsMove)
{
    expectPromisesUnderRandomFaults(6, 2);
}

// One bound that the promise rests on, and a load that needs it.
struct Bound
{
    const char *name;
    double lostAnswers;
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

// Guards against checks that would pass without the bound, and against a bound that nothing needs.
TEST_P(BoundOfThePromise, IsNeeded)
{
    constexpr std::uint64_t MaxSchedules = 400;
    for (std::uint64_t seed = 1; seed <= MaxSchedules; ++seed) {
        DispatchFleetOptions options = smallFleet(seed);
        options.lostAnswers = GetParam().lostAnswers;
        DispatchFleetOptions without = options;
        GetParam().remove(without);
        if (violationsOf(without).empty())
            continue;
        const auto violations = violationsOf(options);
        EXPECT_TRUE(violations.empty()) << "seed " << seed << ": " << violations.front();
        return;
    }
    FAIL() << "no violation in " << MaxSchedules << " schedules";
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

// The load of the large fleet. Each entry is connected to a part of the agents, each agent to some
// entries.
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

// Guards against entries that refuse or queue although workers that others know are free.
TEST(DispatchFleet, ALargeFleetIsServedAlthoughEachEntryKnowsAPartOfIt)
{
    DispatchFleet fleet(largeFleet(1));
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.99) << describe(fleet);
}

// All callers come to the entries of one data centre out of five: these know four fifths of the
// workers.
TEST(DispatchFleet, ALargeFleetServesCallersThatAllComeToOneDataCentre)
{
    DispatchFleetOptions options = largeFleet(2);
    options.busyEntries = 0.2;
    DispatchFleet fleet(options);
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.95) << describe(fleet);
}

// Half of the entries and a third of the agents are killed at one moment; the connections move to
// the entries that are left and back.
TEST(DispatchFleet, ALargeFleetKeepsItsPromisesWhileHalfOfItIsReplaced)
{
    DispatchFleetOptions options = largeFleet(3);
    DispatchFleet fleet(options);
    for (int i = 0; i < options.entries; i += 2)
        fleet.at(1s, [&fleet, i] { fleet.killEntry(i, 1500ms); });
    for (int i = 0; i < options.workers; i += 3)
        fleet.at(1s, [&fleet, i] { fleet.killAgent(i, 1s); });
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.5) << describe(fleet);
}

} // namespace cactuscove
