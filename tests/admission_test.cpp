// Tests of Admission: shares of classes and teams, quotas, refusals and the spread of retry times.

#include "admission.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace cactuscove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Upstream[] = "tarakimu";

class AdmissionTest : public ::testing::Test
{
protected:
    AdmissionTest()
    {
        config.classes["urgent"] = {3, seconds(2)};
        config.classes["bulk"] = {1, seconds(10)};
        config.teams["bookings"].weight = 3;
        config.teams["billing"].weight = 1;
        admission.configure(config);
        admission.setUpstreamSlots(Upstream, 8);
    }

    void push(std::string_view jobClass, std::string_view team, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            admission.push({++token, std::string(team), std::string(jobClass), Upstream,
                            milliseconds(100), now + seconds(30)},
                           now);
    }

    // Starts and ends `count` tasks one after the other; returns how many belonged to this class
    // and team.
    std::size_t served(std::size_t count, std::string_view jobClass, std::string_view team,
                       Duration runTime = milliseconds(100))
    {
        std::size_t matching = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto task = admission.pop(Upstream, now);
            if (!task)
                break;
            admission.taskStarted(task->team, task->jobClass, Upstream);
            admission.taskEnded(task->team, task->jobClass, Upstream, runTime);
            matching += task->jobClass == jobClass && task->team == team ? 1 : 0;
        }
        return matching;
    }

    std::optional<AdmissionRefusal> admit(std::string_view jobClass, std::string_view team,
                                          std::size_t tasks, Duration deadline, std::uint64_t key)
    {
        return admission.admit(team, jobClass, Upstream, tasks, deadline, {key, ~key}, now);
    }

    FleetConfig config;
    TimePoint now{seconds(100)};
    std::uint64_t token = 0;
    Admission admission{1};
};

// Guards against starvation: while the class with share 3 is overloaded, the class with share 1
// still gets a quarter of the starts.
TEST_F(AdmissionTest, FloodedClassLeavesTheOthersTheirShare)
{
    push("urgent", "bookings", 1000);
    push("bulk", "bookings", 200);
    const std::size_t bulk = served(400, "bulk", "bookings");
    EXPECT_GE(bulk, 95U);
    EXPECT_LE(bulk, 105U);
}

// Guards against a team that takes more than its weight by queueing many tasks in its class.
TEST_F(AdmissionTest, TeamsOfAClassAreServedByWeight)
{
    push("bulk", "bookings", 500);
    push("bulk", "billing", 500);
    const std::size_t billing = served(400, "bulk", "billing");
    EXPECT_GE(billing, 95U);
    EXPECT_LE(billing, 105U);
}

// Guards against shares that hold back tasks although no other class waits, and against unused
// shares that are saved up.
TEST_F(AdmissionTest, IdleSharesAreUsedAndNotSaved)
{
    push("bulk", "billing", 300);
    EXPECT_EQ(served(200, "bulk", "billing"), 200U);
    // The class that was idle gets its share from now on and nothing for the time before.
    push("urgent", "bookings", 300);
    const std::size_t urgent = served(100, "urgent", "bookings");
    EXPECT_GE(urgent, 70U);
    EXPECT_LE(urgent, 80U);
}

// Guards against a class that gets more than its share of slot time because its tasks run longer
// than the others; the declared run times are all equal.
TEST_F(AdmissionTest, SharesAreOfSlotTimeAndNotOfTasks)
{
    push("urgent", "bookings", 2000);
    push("bulk", "bookings", 2000);
    double slotTime[2] = {0, 0}; // urgent, bulk
    for (int i = 0; i < 2000; ++i) {
        const auto task = admission.pop(Upstream, now);
        const bool isBulk = task->jobClass == "bulk";
        admission.taskStarted(task->team, task->jobClass, Upstream);
        admission.taskEnded(task->team, task->jobClass, Upstream,
                            isBulk ? seconds(1) : milliseconds(100));
        slotTime[isBulk ? 1 : 0] += isBulk ? 1 : 0.1;
    }
    EXPECT_NEAR(slotTime[1] / (slotTime[0] + slotTime[1]), 0.25, 0.0125);
}

// Guards against queues that grow without limit, and against refused callers that all retry at the
// same time.
TEST_F(AdmissionTest, FloodIsRefusedAtOnceWithSpreadRetryTimes)
{
    push("bulk", "billing", 2000);
    std::vector<Duration> times;
    for (std::uint64_t key = 0; key < 200; ++key) {
        const auto refusal = admit("bulk", "billing", 10, seconds(30), key);
        ASSERT_TRUE(refusal);
        EXPECT_EQ(refusal->reason, "queue_full");
        times.push_back(refusal->retryAfter);
    }
    std::sort(times.begin(), times.end());
    EXPECT_GE(times[190] - times[10], seconds(1));
    // The full queue of one class does not affect the others.
    EXPECT_FALSE(admit("urgent", "bookings", 1, seconds(30), 1));
}

// Guards against accepting a job that cannot finish before its deadline.
TEST_F(AdmissionTest, DeadlineThatCannotBeMetIsRefused)
{
    const auto refusal = admit("urgent", "bookings", 370, seconds(1), 1);
    ASSERT_TRUE(refusal);
    EXPECT_EQ(refusal->reason, "deadline");
    EXPECT_FALSE(admit("urgent", "bookings", 370, seconds(60), 2));
}

// Guards against refusals based on declared run times, which may be wrong by a factor of ten.
TEST_F(AdmissionTest, LearnedRunTimesReplaceDeclaredOnes)
{
    push("urgent", "bookings", 100);
    served(100, "urgent", "bookings", milliseconds(10));
    EXPECT_LE(admission.expectedRunTime(Upstream), milliseconds(11));
    push("urgent", "bookings", 100);
    now += milliseconds(1);
    EXPECT_FALSE(admit("urgent", "bookings", 100, seconds(30), 1));
}

// Guards against every home granting the full fleet-wide quota.
TEST_F(AdmissionTest, RunningQuotaIsSplitByTheHomeShare)
{
    config.teams["billing"].maxRunningTasks = 40;
    admission.configure(config);
    admission.setHomeShare(0.1);
    push("urgent", "billing", 10);
    push("urgent", "bookings", 1);
    std::size_t billing = 0;
    while (const auto task = admission.pop(Upstream, now)) {
        admission.taskStarted(task->team, task->jobClass, Upstream);
        billing += task->team == "billing" ? 1 : 0;
    }
    EXPECT_EQ(billing, 4U);
    EXPECT_EQ(admission.queuedTasks(), 6U); // 6 of billing; the task of bookings has started
}

// Guards against rounding up a home's part of a small quota: a part of 0.2 tasks means that one
// task runs a fifth of the time.
TEST_F(AdmissionTest, FractionOfARunningQuotaHoldsOnAverage)
{
    config.teams["billing"].maxRunningTasks = 2;
    admission.configure(config);
    admission.setHomeShare(0.1);
    push("urgent", "billing", 1000);
    const TimePoint begin = now;
    double slotTime = 0;
    while (now < begin + seconds(100)) {
        if (admission.pop(Upstream, now)) {
            admission.taskStarted("billing", "urgent", Upstream);
            now += milliseconds(100);
            admission.remove(0); // an unknown token, which must change nothing
            admission.push({++token, "billing", "bulk", Upstream, {}, NeverTime}, now);
            admission.taskEnded("billing", "urgent", Upstream, milliseconds(100));
            slotTime += 0.1;
        } else {
            ASSERT_GT(admission.nextTimer(), now);
            now = std::min(admission.nextTimer(), begin + seconds(100));
        }
    }
    EXPECT_GE(slotTime, 19);
    EXPECT_LE(slotTime, 21);
}

// Guards against bursts that exceed the start rate quota of a team.
TEST_F(AdmissionTest, RateQuotaIsSplitByTheHomeShare)
{
    config.teams["billing"].maxStartsPerSecond = 100;
    admission.configure(config);
    admission.setHomeShare(0.1);
    push("urgent", "billing", 1000);
    std::size_t started = 0;
    for (int ms = 0; ms < 10000; ms += 10) {
        now += milliseconds(10);
        while (admission.pop(Upstream, now)) {
            admission.taskStarted("billing", "urgent", Upstream);
            admission.taskEnded("billing", "urgent", Upstream, milliseconds(50));
            ++started;
        }
    }
    EXPECT_GE(started, 98U);
    EXPECT_LE(started, 111U); // 10/s for 10 s, and the bucket holds the starts of one second
}

// Guards against lost, duplicated or reordered tasks when tasks are pushed, popped, returned and
// removed in any order.
RC_GTEST_PROP(AdmissionProperty, EveryTaskIsTakenOnceInItsOrder, ())
{
    Admission admission(1);
    const TimePoint now{seconds(1)};
    std::set<std::uint64_t> queued;
    std::uint64_t token = 0;
    std::uint64_t last = 0; // token of the last task popped for good
    for (const int action : *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 5))) {
        if (action < 2) {
            admission.push({++token, "a", "c", Upstream, {}, NeverTime}, now);
            queued.insert(token);
        } else if (action == 2 && token > 0) {
            admission.remove(token);
            queued.erase(token);
        } else if (const auto task = admission.pop(Upstream, now)) {
            RC_ASSERT(task->token == *queued.begin());
            if (action == 3) {
                admission.pushFront(*task);
            } else {
                RC_ASSERT(task->token > last);
                last = task->token;
                queued.erase(task->token);
            }
        }
        RC_ASSERT(admission.queuedTasks() == queued.size());
    }
}

} // namespace
} // namespace cactuscove
