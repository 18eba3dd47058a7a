// Performance of workers: which ones count as slow or failing, and for how long.

#include "workerperformance.h"

#include <gtest/gtest.h>

#include <initializer_list>
#include <vector>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};

TaskId taskOf(const std::string &job)
{
    return {job, 0};
}

// Progress of one run for each of these jobs; each run is expected to take 100 ms.
std::vector<RunProgress> runs(std::initializer_list<std::string_view> jobs, Duration elapsed,
                              int percent)
{
    std::vector<RunProgress> all;
    for (const std::string_view job : jobs)
        all.push_back({job, elapsed, 100ms, percent});
    return all;
}

void endTasks(WorkerPerformance &performance, int count, TaskEnd end, Duration runTime)
{
    for (int i = 0; i < count; ++i)
        performance.recordEnd(taskOf("job" + std::to_string(i)), end, runTime, 100ms, Start);
}

} // namespace

// Guards against avoiding a worker whose run times are only a little longer than expected.
TEST(WorkerPerformance, AWorkerThatKeepsToTheExpectedTimesIsGood)
{
    WorkerPerformance performance;
    endTasks(performance, 50, TaskEnd::Done, 110ms);
    EXPECT_FALSE(performance.isPoor());
    EXPECT_LT(performance.slowness(Start), 1.2);
    EXPECT_EQ(performance.failureRate(Start), 0);
}

// Guards against a failing worker that attracts the tasks because it looks idle.
TEST(WorkerPerformance, AFailingWorkerIsBadAfterFewFailures)
{
    WorkerPerformance performance;
    endTasks(performance, 3, TaskEnd::Failed, 1ms);
    EXPECT_TRUE(performance.isPoor());
    EXPECT_GT(performance.failureRate(Start), 0.3);
}

// Guards against workers that are avoided because of one job that fails on every worker.
TEST(WorkerPerformance, ManyFailedTasksOfOneJobCountOnce)
{
    WorkerPerformance performance;
    performance.recordEnd(taskOf("job"), TaskEnd::Failed, 1ms, 100ms, Start);
    const double once = performance.failureRate(Start);
    for (int i = 0; i < 20; ++i)
        performance.recordEnd(taskOf("job"), TaskEnd::Failed, 1ms, 100ms, Start);
    EXPECT_EQ(performance.failureRate(Start), once);
}

// Guards against a worker that is avoided for ever after it has recovered.
TEST(WorkerPerformance, BadMarksFade)
{
    WorkerPerformance performance;
    endTasks(performance, 30, TaskEnd::Done, 500ms);
    endTasks(performance, 10, TaskEnd::Failed, 1ms);
    EXPECT_GT(performance.slowness(Start), 3);
    EXPECT_LT(performance.slowness(Start + 10s), 1.1);
    EXPECT_LT(performance.failureRate(Start + 5s), 0.01);
}

// Guards against waiting for the end of tasks that make no progress.
TEST(WorkerPerformance, TasksThatStandStillShowASlowWorker)
{
    WorkerPerformance performance;
    performance.recordProgress(runs({"a", "b"}, 30ms, 0), Start);
    EXPECT_TRUE(performance.isRunningSlow());
    EXPECT_GE(performance.slowness(Start), 20);
}

// Guards against a good worker that is avoided because of two long tasks. Four jobs that are all
// slow do show a slow worker.
TEST(WorkerPerformance, FewLongTasksDoNotShowASlowWorker)
{
    WorkerPerformance performance;
    performance.recordProgress(runs({"a", "b"}, 30ms, 7), Start);
    EXPECT_FALSE(performance.isRunningSlow());
    performance.recordProgress(runs({"a", "b", "c", "d"}, 30ms, 7), Start);
    EXPECT_TRUE(performance.isRunningSlow());
}

// Guards against a good worker that is avoided because of one job with too short declared run
// times: all its tasks are long.
TEST(WorkerPerformance, TheTasksOfOneLongJobDoNotShowASlowWorker)
{
    WorkerPerformance performance;
    performance.recordProgress(runs({"a", "a", "a", "a", "a"}, 30ms, 7), Start);
    EXPECT_FALSE(performance.isRunningSlow());
}

// Guards against a good worker that is avoided because long tasks are those that still run.
TEST(WorkerPerformance, SomeLongJobsAmongOthersDoNotShowASlowWorker)
{
    WorkerPerformance performance;
    std::vector<RunProgress> all = runs({"a", "b"}, 300ms, 30);
    for (const RunProgress &it : runs({"c", "d"}, 30ms, 28))
        all.push_back(it);
    performance.recordProgress(all, Start);
    EXPECT_FALSE(performance.isRunningSlow());
}

// Guards against runs that look slow when they have just begun, because their percentage is rounded
// down.
TEST(WorkerPerformance, RunsThatHaveJustBegunDoNotShowASlowWorker)
{
    WorkerPerformance performance;
    std::vector<RunProgress> newRuns = runs({"a", "b", "c", "d"}, 15ms, 1);
    for (RunProgress &it : newRuns)
        it.expected = 800ms;
    performance.recordProgress(newRuns, Start);
    EXPECT_FALSE(performance.isRunningSlow());
}

// Guards against judging a worker by runs of less than 40 ms in sum.
TEST(WorkerPerformance, ShortRunsSayNothing)
{
    WorkerPerformance performance;
    performance.recordProgress(runs({"a", "b", "c", "d"}, 9ms, 0), Start);
    EXPECT_FALSE(performance.isRunningSlow());
}

} // namespace cactuscove
