// Random schedules of faults against the whole set of decisions.

#include "virtualfleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <rapidcheck/detail/Results.h>

#include <cstdlib>
#include <random>

namespace cactuscove {

static const char *nameOf(StepKind kind)
{
    static constexpr const char *names[]
        = {"Submit",       "Copy",       "Cancel",      "KillAgent",  "KillEntry",  "LoseHost",
           "PauseAgent",   "PauseEntry", "SilenceLink", "DisturbNet", "LogOutage",  "LoseReplies",
           "KillUpstream", "LeaveAgent", "LeaveEntry",  "Configure",  "SilenceLog", "StaleClaim"};
    return names[static_cast<int>(kind)];
}

// RapidCheck finds it by the namespace of Step.
void showValue(const Step &step, std::ostream &os)
{
    os << "{" << nameOf(step.kind) << ", " << step.at.count() << "us, " << step.target << ", "
       << step.length.count() << "us}";
}

namespace {

using namespace std::chrono_literals;
using testing::Each;
using testing::Field;
using testing::IsEmpty;
using testing::SizeIs;

const auto IsCompleted = Field(&Answer::outcome, Outcome::Completed);

// A fleet without faults must answer every job with its whole result, and quickly.
TEST(VirtualFleet, CompletesEveryJobWithoutFaults)
{
    VirtualFleet fleet({});
    fleet.run({}, 5s);
    for (std::uint32_t job = 0; job < 40; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 40; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// A replaced agent must cost no job: its tasks end, its shards and its memory move.
TEST(VirtualFleet, AGracefulShutdownOfAnAgentLosesNoJob)
{
    VirtualFleet fleet({.seed = 2});
    fleet.run({}, 6s);
    std::vector<Step> steps{{StepKind::LeaveAgent, 1s, 0, 1s}};
    for (std::uint32_t job = 0; job < 60; ++job)
        steps.push_back({StepKind::Submit, job * 50ms, job, Duration(job)});
    fleet.run(steps, 30s);
    EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// The shards of a dead home must be taken over: new jobs complete within seconds.
TEST(VirtualFleet, JobsCompleteAfterAHomeWasKilled)
{
    VirtualFleet fleet({.seed = 3});
    fleet.run({}, 6s);
    fleet.run({{StepKind::LoseHost, 0s, 0, 60s}}, 10s);
    for (std::uint32_t job = 0; job < 60; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), Each(IsCompleted)) << job;
}

// A log outage must stop no home that is up.
TEST(VirtualFleet, JobsCompleteDuringALogOutage)
{
    VirtualFleet fleet({.seed = 4});
    fleet.run({}, 10s);
    fleet.run({{StepKind::LogOutage, 0s, 0, 60s}}, 5s);
    for (std::uint32_t job = 0; job < 60; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// Rule R8: a home without news of the log for id_memory must take no new job, because the others
// may retire it and forget what it accepts. It must not claim that the job was not run, either.
TEST(VirtualFleet, AHomeCutOffFromTheLogTakesNewJobsForIdMemoryOnly)
{
    VirtualFleet fleet({.seed = 5});
    fleet.run({}, 10s);
    fleet.run({{StepKind::LogOutage, 0s, 0, 700s}}, 580s);
    for (std::uint32_t job = 0; job < 30; ++job)
        fleet.submit(job, job);
    fleet.run({}, 40s);
    for (std::uint32_t job = 30; job < 60; ++job)
        fleet.submit(job, job);
    fleet.run({}, 10s);
    for (std::uint32_t job = 0; job < 60; ++job) {
        ASSERT_THAT(fleet.answersOf(job), SizeIs(testing::Ge(1U))) << job;
        const Answer answer = fleet.answersOf(job).front();
        EXPECT_EQ(answer.outcome, job < 30 ? Outcome::Completed : Outcome::Unknown) << job;
    }
    fleet.run({}, 100s); // the log is back
    for (std::uint32_t job = 60; job < 90; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty());
    for (std::uint32_t job = 60; job < 90; ++job)
        EXPECT_THAT(fleet.answersOf(job), Each(IsCompleted)) << job;
}

rc::Gen<Step> anyFault()
{
    return rc::gen::build<Step>(
        rc::gen::set(&Step::kind, rc::gen::map(rc::gen::inRange(2, 18),
                                               [](int n) { return static_cast<StepKind>(n); })),
        rc::gen::set(&Step::at, rc::gen::map(rc::gen::inRange(0, 20'000),
                                             [](int ms) { return Duration(ms * 1ms); })),
        rc::gen::set(&Step::target, rc::gen::inRange<std::uint32_t>(0, 64)),
        rc::gen::set(&Step::length, rc::gen::map(rc::gen::inRange(50, 12'000),
                                                 [](int ms) { return Duration(ms * 1ms); })));
}

// Jobs keep coming from two callers, each sent twice at about the same time.
std::vector<Step> steadyJobs()
{
    std::vector<Step> steps;
    for (std::uint32_t job = 0; job < 80; ++job) {
        const Duration at = job * 250ms + 7ms * (job % 11);
        steps.push_back({StepKind::Submit, at, job, Duration(job)});
        steps.push_back({StepKind::Copy, at + 130ms * (job % 7), job, Duration(job + 1)});
    }
    return steps;
}

// Target of SilenceLink for the agent and the entry at these positions.
std::uint32_t linkTarget(std::uint32_t agent, std::uint32_t entry)
{
    for (std::uint32_t target = 0;; ++target) {
        if (target % 3 == agent && target / 4 % 2 == 0 && target / 8 % 2 == entry)
            return target;
    }
}

// Rule R2: a home that one entry takes for dead goes on with an old ledger, and another entry that
// does not read the log still sends it jobs. The fence must keep it from starting what the new home
// starts as well.
TEST(VirtualFleet, AnOldHomeAndAnEntryWithoutTheLogStartNothingTwice)
{
    for (std::uint32_t agent = 0; agent < 3; ++agent) {
        for (std::uint32_t entry = 0; entry < 2; ++entry) {
            VirtualFleet fleet({.seed = 7, .slots = 8});
            fleet.run({}, 8s);
            std::vector<Step> steps{{StepKind::SilenceLink, 0s, linkTarget(agent, entry), 8s},
                                    {StepKind::SilenceLog, 1s, 1 - entry, 6s}};
            for (std::uint32_t job = 0; job < 80; ++job) {
                steps.push_back({StepKind::Submit, 2s + job * 40ms, job, Duration(0)});
                steps.push_back({StepKind::Copy, 2s + job * 40ms, job, Duration(1)});
            }
            fleet.run(steps, 40s);
            EXPECT_THAT(brokenPromises(fleet.history()), IsEmpty()) << agent << ' ' << entry;
        }
    }
}

std::uint64_t seedFromEnvironment()
{
    const char *value = std::getenv("FLEET_SEED"); // "random" for a fresh one
    if (value == nullptr)
        return 20261204;
    return std::string(value) == "random" ? std::random_device()()
                                          : std::strtoull(value, nullptr, 10);
}

// No schedule of faults may break a promise: at most one start, whole answers to their own callers,
// true not_run answers, configuration revisions that never go back.
TEST(VirtualFleet, KeepsItsPromisesUnderRandomFaults)
{
    rc::detail::TestParams params;
    params.seed = seedFromEnvironment();
    const char *runs = std::getenv("FLEET_RUNS");
    params.maxSuccess = runs == nullptr ? 300 : std::atoi(runs);
    params.disableShrinking = std::getenv("FLEET_NO_SHRINK") != nullptr;
    rc::detail::TestMetadata metadata;
    metadata.description = "random faults, FLEET_SEED=" + std::to_string(params.seed);
    const auto result = rc::detail::checkTestable(
        [] {
            FleetOptions options;
            options.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            options.entries = *rc::gen::inRange<std::size_t>(1, 4);
            options.agents = *rc::gen::inRange<std::size_t>(2, 5);
            options.slots = *rc::gen::inRange<std::uint32_t>(1, 4);
            options.upstreamFailures = *rc::gen::element(0.0, 0.02);
            options.upstreamRefusals = *rc::gen::element(0.0, 0.1);
            const auto count = *rc::gen::inRange<std::size_t>(1, 16);
            std::vector<Step> steps = *rc::gen::container<std::vector<Step>>(count, anyFault());
            const std::vector<Step> jobs = steadyJobs();
            VirtualFleet fleet(options);
            fleet.run({}, 4s);
            steps.insert(steps.end(), jobs.begin(), jobs.end());
            fleet.run(steps, 60s);
            const std::vector<std::string> broken = brokenPromises(fleet.history());
            RC_LOG() << testing::PrintToString(broken) << "\n";
            RC_ASSERT(broken.empty());
        },
        metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace
} // namespace cactuscove
