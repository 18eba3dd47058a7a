// Tests of the placement by load reports: free slots, sent tasks, data centres, weights and
// reservations.

#include "placement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

using std::chrono::milliseconds;

constexpr char Upstream[] = "walk-desk";

LoadReport report(std::uint64_t agent, std::uint32_t freeSlots, std::uint32_t queued = 0)
{
    LoadReport it;
    it.agent = Incarnation{agent};
    it.upstream = Upstream;
    it.freeSlots = freeSlots;
    it.slots = 8;
    it.queued = queued;
    it.capacity = {1, 1024};
    return it;
}

class PlacementTest : public ::testing::Test
{
protected:
    void add(std::uint64_t agent, std::string_view dataCentre, std::uint32_t freeSlots)
    {
        placement.setAgent(Incarnation{agent}, dataCentre);
        placement.updateLoad(report(agent, freeSlots), now);
    }
    std::optional<Incarnation> free(const TaskResources &needs = {})
    {
        return placement.chooseFree(Upstream, needs, now, {});
    }

    TimePoint now{std::chrono::seconds(10)};
    Placement placement{"near", 1};
};

// Guards against overload of an agent: a home must not send more tasks to it than it has free
// slots, also before the next report arrives.
TEST_F(PlacementTest, OwnSendsCountAgainstFreeSlots)
{
    add(1, "near", 3);
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(free());
        placement.taskSent(Incarnation{1});
    }
    EXPECT_FALSE(free());
    // A report that was made too early to count the sent tasks must not free the slots again.
    now += milliseconds(1);
    placement.updateLoad(report(1, 3), now);
    EXPECT_FALSE(free());
    now += milliseconds(100);
    placement.updateLoad(report(1, 1), now);
    EXPECT_TRUE(free());
}

// Guards against reordered messages: an older report must not replace a newer one.
TEST_F(PlacementTest, OlderDigestIsIgnored)
{
    add(1, "near", 0);
    LoadReport old = report(1, 8);
    old.age = milliseconds(50);
    placement.updateLoad(old, now + milliseconds(10));
    EXPECT_FALSE(free());
}

// Guards against sending tasks to another data centre while the home's own has free slots.
TEST_F(PlacementTest, NearAgentsComeFirst)
{
    add(1, "far", 8);
    add(2, "near", 1);
    EXPECT_EQ(free(), Incarnation{2});
    placement.taskSent(Incarnation{2});
    EXPECT_EQ(free(), Incarnation{1});
}

// Guards against starts on agents that are ejected, draining or too small for the task.
TEST_F(PlacementTest, UnfitAgentsAreLeftOut)
{
    add(1, "near", 8);
    EXPECT_FALSE(free({2, 0}));
    EXPECT_FALSE(placement.hasCapableAgent(Upstream, {2, 0}));
    placement.setWeight(Incarnation{1}, 0);
    EXPECT_FALSE(free());
    placement.setWeight(Incarnation{1}, 1);
    LoadReport draining = report(1, 8);
    draining.draining = true;
    placement.updateLoad(draining, now);
    EXPECT_FALSE(free());
    EXPECT_FALSE(placement.hasUpstream(Upstream));
}

// Guards against one flow that fills the reservation queues of the agents (without a limit, the
// p50 was 1.47 times that of a central queue), and against a limit that stays reached
// after the reservation has ended.
TEST_F(PlacementTest, OneReservationOfAFlowAtEachAgent)
{
    add(1, "near", 0);
    const auto choose = [this](std::string_view flow) {
        return placement.chooseForReservation(Upstream, {}, now, {}, flow);
    };
    ASSERT_TRUE(choose("bulk/billing"));
    placement.taskSent(Incarnation{1});
    EXPECT_FALSE(choose("bulk/billing")); // the sent task can only end up as a reservation
    placement.reservationMade(Incarnation{1}, "bulk/billing");
    EXPECT_FALSE(choose("bulk/billing"));
    EXPECT_TRUE(choose("urgent/bookings"));
    placement.reservationEnded(Incarnation{1}, "bulk/billing");
    EXPECT_TRUE(choose("bulk/billing"));
}

// Guards against free agents that the random choice never picks, and against choosing busy ones.
RC_GTEST_PROP(PlacementProperty, ChosenAgentHasAFreeSlot, ())
{
    Placement placement("near", *rc::gen::arbitrary<std::uint64_t>());
    const auto slots = *rc::gen::container<std::vector<int>>(11, rc::gen::inRange(0, 4));
    const TimePoint now{std::chrono::seconds(1)};
    for (std::size_t i = 0; i < slots.size(); ++i) {
        placement.setAgent(Incarnation{i + 1}, i % 2 == 0 ? "near" : "far");
        placement.updateLoad(report(i + 1, static_cast<std::uint32_t>(slots[i])), now);
    }
    std::vector<int> left = slots;
    while (const auto agent = placement.chooseFree(Upstream, {}, now, {})) {
        RC_ASSERT(left[agent->value - 1]-- > 0);
        placement.taskSent(*agent);
    }
    RC_ASSERT(left == std::vector<int>(11, 0));
}

// Guards against a baseline policy that no longer satisfies the concept, and against skipped
// agents.
TEST(PlacementBaselines, RoundRobinVisitsEveryAgent)
{
    BasicPlacement<RoundRobinPolicy> placement("near", 1);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        placement.setAgent(Incarnation{i}, "near");
        placement.updateLoad(report(i, 0), TimePoint{});
    }
    for (const std::uint64_t expected : {1, 2, 3, 1})
        EXPECT_EQ(placement.chooseFree(Upstream, {}, TimePoint{}, {}), Incarnation{expected});
}

} // namespace
} // namespace cactuscove
