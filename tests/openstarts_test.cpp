// The table of open starts: in which order its reports may come, and what it permits. What agents
// and entries do with it: openstartagent_test.cpp, openstartentry_test.cpp.

#include "openstarts.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

OpenStart openStart(OpenStartState state, Duration remaining = OpenStartTime)
{
    return {{"job", 0}, 3, "i-1", Incarnation{50}, state, remaining};
}

} // namespace

// Guards against processes that pass on an open start and its answer to each other for ever: in
// whatever order the reports come, each is news at most once.
TEST(OpenStartTable, ComesToTheSameStateInAnyOrder)
{
    std::vector<OpenStartState> order{OpenStartState::Suspected, OpenStartState::Open,
                                      OpenStartState::Answered};
    do {
        OpenStarts starts;
        for (const OpenStartState it : order)
            starts.merge(openStart(it), Start);
        for (const OpenStartState it : order)
            EXPECT_FALSE(starts.merge(openStart(it), Start));
        EXPECT_FALSE(starts.onlyWorkerOf({"job", 0}, Start));
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a permit for another worker, and for an attempt that the open start is taken for.
TEST(OpenStartTable, PermitsLaterAttemptsAtTheWorkerOfTheStart)
{
    OpenStarts starts;
    EXPECT_TRUE(starts.permitStart({"job", 0}, "i-2", Start)->allows(0));
    starts.merge(openStart(OpenStartState::Open), Start);
    EXPECT_FALSE(starts.permitStart({"job", 0}, "i-2", Start));
    const auto permit = starts.permitStart({"job", 0}, "i-1", Start);
    ASSERT_TRUE(permit);
    EXPECT_FALSE(permit->allows(3));
    EXPECT_TRUE(permit->allows(4));
    EXPECT_EQ(permit->attemptAfter(1), 4u);
    EXPECT_EQ(permit->attemptAfter(7), 8u);
    EXPECT_TRUE(starts.permitStart({"job", 1}, "i-2", Start)) << "another task";
}

// Guards against a task that may start nowhere any more.
TEST(OpenStartTable, ForgetsAStartThatIsNotCarriedOutAnyMore)
{
    OpenStarts starts;
    starts.merge(openStart(OpenStartState::Open, 10s), Start);
    EXPECT_TRUE(starts.hasJob("job", Start + 10s));
    EXPECT_FALSE(starts.hasJob("job", Start + 10s + 1ms));
    EXPECT_TRUE(starts.permitStart({"job", 0}, "i-2", Start + 10s + 1ms));
    starts.removeExpired(Start + 10s + 1ms);
    EXPECT_TRUE(starts.isEmpty());
}

// Guards against two workers that both hold an open start, of which one is taken for the only one.
TEST(OpenStartTable, PermitsNoWorkerBesideTwoOpenStarts)
{
    OpenStarts starts;
    starts.merge(openStart(OpenStartState::Open), Start);
    OpenStart second = openStart(OpenStartState::Open);
    second.workerId = "i-2";
    starts.merge(second, Start);
    for (const char *worker : {"i-1", "i-2", "i-3"})
        EXPECT_FALSE(starts.permitStart({"job", 0}, worker, Start)) << worker;
}

} // namespace cactuscove
