// All decision code together in a simulated fleet: single faults, and random schedules of faults.

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

// Prints a step in RapidCheck's counterexamples; found by the namespace of Step.
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

// Guards against a fleet that loses or delays jobs although there is no fault.
TEST(VirtualFleet, CompletesEveryJobWithoutFaults)
{
    VirtualFleet fleet({});
    fleet.run({}, 5s);
    for (std::uint32_t job = 0; job < 40; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(findViolations(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 40; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// Guards against jobs lost by the replacement of an agent: its tasks must end first, and its shards
// and its knowledge of jobs must move to other agents.
TEST(VirtualFleet, AGracefulShutdownOfAnAgentLosesNoJob)
{
    VirtualFleet fleet({.seed = 2});
    fleet.run({}, 6s);
    std::vector<Step> steps{{StepKind::LeaveAgent, 1s, 0, 1s}};
    for (std::uint32_t job = 0; job < 60; ++job)
        steps.push_back({StepKind::Submit, job * 50ms, job, Duration(job)});
    fleet.run(steps, 30s);
    EXPECT_THAT(findViolations(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// Guards against shards that stay without a home after theirs has died: new jobs must complete
// within seconds.
TEST(VirtualFleet, JobsCompleteAfterAHomeWasKilled)
{
    VirtualFleet fleet({.seed = 3});
    fleet.run({}, 6s);
    fleet.run({{StepKind::LoseHost, 0s, 0, 60s}}, 10s);
    for (std::uint32_t job = 0; job < 60; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(findViolations(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), Each(IsCompleted)) << job;
}

// Guards against homes that stop working during a log outage.
TEST(VirtualFleet, JobsCompleteDuringALogOutage)
{
    VirtualFleet fleet({.seed = 4});
    fleet.run({}, 10s);
    fleet.run({{StepKind::LogOutage, 0s, 0, 60s}}, 5s);
    for (std::uint32_t job = 0; job < 60; ++job)
        fleet.submit(job, job);
    fleet.run({}, 20s);
    EXPECT_THAT(findViolations(fleet.history()), IsEmpty());
    for (std::uint32_t job = 0; job < 60; ++job)
        EXPECT_THAT(fleet.answersOf(job), testing::AllOf(SizeIs(1), Each(IsCompleted))) << job;
}

// Guards against a home that takes new jobs although it has been cut off from the log for
// id_memory: the others may retire it, and then nobody asks it about the jobs that it accepts (rule
// R8). It must not answer not_run either, because another home may run the job.
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
    EXPECT_THAT(findViolations(fleet.history()), IsEmpty());
    for (std::uint32_t job = 60; job < 90; ++job)
        EXPECT_THAT(fleet.answersOf(job), Each(IsCompleted)) << job;
}

// Any step but Submit and Copy, within 20 s, for 50 ms to 12 s.
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

// 80 jobs in 20 s, each submitted by two callers at about the same time.
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

// The target of a SilenceLink step for the agent and the entry of these indices.
std::uint32_t linkTarget(std::uint32_t agent, std::uint32_t entry)
{
    for (std::uint32_t target = 0;; ++target) {
        if (target % 3 == agent && target / 4 % 2 == 0 && target / 8 % 2 == entry)
            return target;
    }
}

// Guards against a job that an old and a new home both start (rule R2). One entry cannot reach the
// old home, which is declared down but goes on with an old ledger, and another entry that cannot
// read the log still sends it jobs. The higher epoch that executors and entries have learned must
// keep the old home from starting what the new home starts as well.
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
            EXPECT_THAT(findViolations(fleet.history()), IsEmpty()) << agent << ' ' << entry;
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

// Guards against any combination of faults that breaks an invariant: a task of a job that is not
// idempotent starts at most once, callers get whole answers to their own jobs, not_run is true, and
// configuration revisions never go back. FLEET_SEED and FLEET_RUNS choose the schedules.
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
            const std::vector<std::string> violations = findViolations(fleet.history());
            RC_LOG() << testing::PrintToString(violations) << "\n";
            RC_ASSERT(violations.empty());
        },
        metadata, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
}

} // namespace
} // namespace cactuscove
