// Random schedules of faults against the whole set of decisions.

#include "virtualfleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <random>

namespace cactuscove {
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

} // namespace
} // namespace cactuscove
