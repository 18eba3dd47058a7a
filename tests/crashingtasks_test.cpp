// Tasks that crash each worker that starts them, and capacities that change while tasks run,
// against the real decisions of entries and agents in virtual time.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr int MaxCrashesPerTask = 3; // the task is not started again after so many
// Share of the value without crashing tasks that sound jobs keep beside them.
constexpr double KeptValueShare = 0.93;

DispatchFleetOptions crashingFleet(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.kinds = {{"seat-hold", 0, 34.4, 60, 0.4, 0.15, 8, 3100, 0.0291},
                     {"tide-check", 2, 6.25, 900, 0.4, 0.15, 4, 3100, 0.16},
                     {"guide-ping", 1, 100, 200, 0.4, 0.15, 2, 3100, 0.01}};
    options.largeShare = 1;
    options.failureRate = 0;
    options.refusesWhenDown = true;
    options.length = 15s;
    options.seed = seed;
    return options;
}

struct CrashingJobs
{
    int all = 0;
    int givenUp = 0;
    int refused = 0;     // without a crash
    int mostCrashes = 0; // under one task
    Duration slowestAnswer{};
};

CrashingJobs crashingJobsOf(const DispatchFleet &fleet)
{
    CrashingJobs sum;
    for (const PlayedJob &it : fleet.jobs()) {
        if (!it.isCrashing)
            continue;
        ++sum.all;
        sum.givenUp += it.isGivenUp;
        sum.refused += it.isRefused && it.crashes == 0;
        sum.mostCrashes = std::max(sum.mostCrashes, it.crashes);
        if (it.isGivenUp)
            sum.slowestAnswer = std::max(sum.slowestAnswer, it.answerTime);
    }
    return sum;
}

std::string firstViolation(const DispatchFleet &fleet)
{
    return fleet.violations().empty() ? "" : fleet.violations().front();
}

} // namespace

// Guards against a task that ends one worker after the other for as long as its caller waits, with
// workers that are back at once.
TEST(CrashingTasks, AreGivenUpHoweverLongTheirCallersWait)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        DispatchFleetOptions options = crashingFleet(seed);
        options.kinds[0].crashingShare = 0.01;
        options.callerTimeout = 15s;
        options.crashDowntime = 100ms;
        DispatchFleet fleet(options);
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "") << "seed " << seed;
        const CrashingJobs jobs = crashingJobsOf(fleet);
        ASSERT_GT(jobs.all, 0) << "seed " << seed;
        EXPECT_LE(jobs.mostCrashes, MaxCrashesPerTask) << "seed " << seed;
        EXPECT_EQ(jobs.givenUp + jobs.refused, jobs.all) << "seed " << seed;
    }
}

// Expects no violation while `planFaults` plans faults of the fleet.
void expectCounted(Duration callerTimeout, Duration crashDowntime,
                   const std::function<void(DispatchFleet &)> &planFaults)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        DispatchFleetOptions options = crashingFleet(seed);
        options.kinds[0].crashingShare = 0.01;
        options.callerTimeout = callerTimeout;
        options.crashDowntime = crashDowntime;
        DispatchFleet fleet(options);
        planFaults(fleet);
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "") << "seed " << seed;
        const CrashingJobs jobs = crashingJobsOf(fleet);
        ASSERT_GT(jobs.all, 0) << "seed " << seed;
        EXPECT_LE(jobs.mostCrashes, MaxCrashesPerTask) << "seed " << seed;
    }
}

// Guards against a count that begins anew with each submission through another entry, and with each
// new process of an entry.
TEST(CrashingTasks, AreCountedAcrossEntriesAndSubmissions)
{
    expectCounted(1s, 100ms, [](DispatchFleet &fleet) {
        for (int i = 0; i < 24; ++i)
            fleet.schedule(i * 600ms, [&fleet, i] { fleet.killEntry(i % 3, 300ms); });
    });
}

// Guards against crashes that are forgotten with the agent that saw them.
TEST(CrashingTasks, AreCountedAcrossAgents)
{
    expectCounted(5s, 500ms, [](DispatchFleet &fleet) {
        for (int i = 0; i < 22; ++i)
            fleet.schedule(i * 650ms, [&fleet, i] { fleet.killAgent(i % 11, 300ms); });
    });
}

// Guards against a kind of task that takes the whole fleet with it: in the played days one job in
// thirty of the smallest kind crashes its workers, which are back after 3 s.
TEST(CrashingTasks, LeaveTheOtherKindsTheirCapacity)
{
    for (const bool hasScarcityControl : {false, true}) {
        DispatchFleetOptions options = crashingFleet(1);
        options.hasScarcityControl = hasScarcityControl;
        DispatchFleet without(options);
        without.run();
        options.kinds[0].crashingShare = 0.03;
        DispatchFleet with(options);
        with.run();
        EXPECT_EQ(firstViolation(with), "");
        auto kept = with.results();
        auto possible = without.results();
        for (const char *queue : {"tide-check", "guide-ping"})
            EXPECT_GT(kept[queue].valueShare, KeptValueShare * possible[queue].valueShare)
                << queue << (hasScarcityControl ? " with" : " without")
                << " plan: " << with.crashCount() << " crashes, kept " << kept[queue].valueShare
                << " of " << possible[queue].valueShare;
    }
}

// Guards against sound jobs that are given up because their workers crash for other reasons,
// several at a time and again and again.
TEST(CrashingTasks, AreNotBlamedOnSoundJobs)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        DispatchFleetOptions options = crashingFleet(seed);
        options.refusesWhenDown = seed != 3;
        options.callerTimeout = 8s;
        DispatchFleet fleet(options);
        for (int i = 0; i < 24; ++i)
            for (int n = 0; n < 3; ++n)
                fleet.schedule(i * 600ms,
                               [&fleet, i, n] { fleet.crashWorker((i * 3 + n) % 11, 400ms); });
        fleet.run();
        EXPECT_EQ(firstViolation(fleet), "") << "seed " << seed;
    }
}

} // namespace cactuscove
