// Tests of WorkerHealth (ejection of failing workers and probes) and of RetryBudget.

#include "retrybudget.h"
#include "workerhealth.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkerHealthTest : public ::testing::Test
{
protected:
    WorkerHealthTest()
    {
        health.configure("walk-desk", 0.5, 0.5);
        for (std::uint64_t i = 1; i <= 11; ++i)
            health.setAgent(Incarnation{i}, "walk-desk");
    }

    void fail(std::uint64_t agent, int times)
    {
        for (int i = 0; i < times; ++i)
            health.recordFailure(Incarnation{agent}, now);
    }
    int ejected() const
    {
        int count = 0;
        for (std::uint64_t i = 1; i <= 11; ++i)
            count += health.isEjected(Incarnation{i}, now) ? 1 : 0;
        return count;
    }

    TimePoint now{seconds(100)};
    WorkerHealth health;
};

// Guards against sending most tasks to a worker whose tasks all fail at once, so that it always has
// free slots. Each of the 11 homes loses four tasks before it ejects the worker; the probes of all
// homes after that must stay below 1% of all starts.
TEST_F(WorkerHealthTest, WorkerThatFailsEverythingGetsOnlyProbes)
{
    fail(1, 4);
    EXPECT_TRUE(health.isEjected(Incarnation{1}, now));
    EXPECT_EQ(health.weight(Incarnation{1}, now), 0);
    int probes = 0;
    for (int ms = 0; ms < 60000; ms += 10) {
        now += milliseconds(10);
        if (health.mayProbe(Incarnation{1}, now)) {
            health.probeSent(Incarnation{1}, now);
            EXPECT_FALSE(health.mayProbe(Incarnation{1}, now));
            health.recordFailure(Incarnation{1}, now);
            ++probes;
        }
    }
    // 1% of 90 starts/s at 50% load, split over 11 homes, for 60 s is 4.9 starts.
    EXPECT_GE(probes, 1);
    EXPECT_LE(probes, 4);
}

// Guards against every home losing its own tasks to a failing worker before it ejects it, and
// against reported failure rates that eject more workers than the limit.
TEST_F(WorkerHealthTest, ReportedFailureRateEjectsWithoutOwnFailures)
{
    health.recordReportedRate(Incarnation{1}, 0.4, now);
    EXPECT_FALSE(health.isEjected(Incarnation{1}, now));
    EXPECT_EQ(health.weight(Incarnation{1}, now), 1);
    for (std::uint64_t i = 1; i <= 11; ++i)
        health.recordReportedRate(Incarnation{i}, 0.9, now);
    EXPECT_EQ(ejected(), 5);
}

// Guards against a worker that has recovered but stays ejected.
TEST_F(WorkerHealthTest, SuccessfulProbesBringAWorkerBack)
{
    fail(1, 4);
    now += seconds(15);
    for (int i = 0; i < 10 && health.isEjected(Incarnation{1}, now); ++i) {
        ASSERT_TRUE(health.mayProbe(Incarnation{1}, now));
        health.probeSent(Incarnation{1}, now);
        health.recordSuccess(Incarnation{1}, milliseconds(100), now);
    }
    EXPECT_FALSE(health.isEjected(Incarnation{1}, now));
    EXPECT_GT(health.weight(Incarnation{1}, now), 0.5);
}

// Guards against ejecting all workers when the cause of the failures is elsewhere.
TEST_F(WorkerHealthTest, AtMostHalfOfTheWorkersAreEjected)
{
    for (std::uint64_t i = 1; i <= 11; ++i)
        fail(i, 20);
    EXPECT_EQ(ejected(), 5);
    for (std::uint64_t i = 1; i <= 11; ++i)
        EXPECT_EQ(health.weight(Incarnation{i}, now) == 0, health.isEjected(Incarnation{i}, now));
}

// Guards against ejecting workers by chance: a failure rate of 5% must not eject a worker. Four
// independent failures in a row occur once in 160,000 results.
TEST_F(WorkerHealthTest, FewFailuresOnlyLowerTheWeight)
{
    for (int i = 0; i < 2000; ++i) {
        if (i % 20 == 0)
            fail(1, 1);
        else
            health.recordSuccess(Incarnation{1}, milliseconds(100), now);
        ASSERT_FALSE(health.isEjected(Incarnation{1}, now));
    }
    fail(1, 2);
    EXPECT_LT(health.weight(Incarnation{1}, now), 1);
    EXPECT_GT(health.weight(Incarnation{1}, now), 0);
}

// Guards against retry storms: retries never exceed a tenth of the successes, in any order of
// successes and retry attempts, also right after the start of the process.
RC_GTEST_PROP(RetryBudgetProperty, RetriesStayWithinATenthOfSuccesses, ())
{
    RetryBudget budget = RetryBudget::create(0.1, 10);
    int successes = 0;
    int retries = 0;
    for (const bool isSuccess : *rc::gen::arbitrary<std::vector<bool>>()) {
        if (isSuccess) {
            budget.recordSuccess();
            ++successes;
        } else {
            retries += budget.trySpend() ? 1 : 0;
        }
        RC_ASSERT(retries * 10 <= successes);
    }
}

// Guards against a rounding error that makes a retry cost eleven successes, and against a budget
// that grows beyond the burst.
TEST(RetryBudget, TenSuccessesEarnOneRetryUpToTheBurst)
{
    RetryBudget budget = RetryBudget::create(0.1, 2);
    for (int i = 0; i < 10; ++i)
        budget.recordSuccess();
    EXPECT_TRUE(budget.trySpend());
    EXPECT_FALSE(budget.trySpend());
    for (int i = 0; i < 1000; ++i)
        budget.recordSuccess();
    EXPECT_TRUE(budget.trySpend());
    EXPECT_TRUE(budget.trySpend());
    EXPECT_FALSE(budget.trySpend());
}

} // namespace
} // namespace cactuscove
