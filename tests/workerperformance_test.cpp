// Marks of workers: who is taken for slow or failing, and for how long.

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

// Runs of these jobs, each expected to take 100 ms.
std::vector<RunProgress> runs(std::initializer_list<std::string_view> jobs, Duration elapsed,
                              int percent)
{
    std::vector<RunProgress> all;
    for (const std::string_view job : jobs)
        all.push_back({job, elapsed, 100ms, percent});
    return all;
}

void endTasks(WorkerPerformance &marks, int count, TaskEnd end, Duration runTime)
{
    for (int i = 0; i < count; ++i)
        marks.ended(taskOf("job" + std::to_string(i)), end, runTime, 100ms, Start);
}

} // namespace

TEST(WorkerPerformance, AWorkerThatKeepsToTheExpectedTimesIsGood)
{
    WorkerPerformance marks;
    endTasks(marks, 50, TaskEnd::Done, 110ms);
    EXPECT_FALSE(marks.isBad());
    EXPECT_LT(marks.slowness(Start), 1.2);
    EXPECT_EQ(marks.failureRate(Start), 0);
}

// Guards against a failing worker that draws the work because it looks idle.
TEST(WorkerPerformance, AFailingWorkerIsBadAfterFewFailures)
{
    WorkerPerformance marks;
    endTasks(marks, 3, TaskEnd::Failed, 1ms);
    EXPECT_TRUE(marks.isBad());
    EXPECT_GT(marks.failureRate(Start), 0.3);
}

// Guards against workers that lose their standing by one job that fails everywhere.
TEST(WorkerPerformance, ManyFailedTasksOfOneJobCountOnce)
{
    WorkerPerformance marks;
    marks.ended(taskOf("job"), TaskEnd::Failed, 1ms, 100ms, Start);
    const double once = marks.failureRate(Start);
    for (int i = 0; i < 20; ++i)
        marks.ended(taskOf("job"), TaskEnd::Failed, 1ms, 100ms, Start);
    EXPECT_EQ(marks.failureRate(Start), once);
}

// Guards against a worker that is avoided for good after it has recovered.
TEST(WorkerPerformance, BadMarksFade)
{
    WorkerPerformance marks;
    endTasks(marks, 30, TaskEnd::Done, 500ms);
    endTasks(marks, 10, TaskEnd::Failed, 1ms);
    EXPECT_GT(marks.slowness(Start), 3);
    EXPECT_LT(marks.slowness(Start + 10s), 1.1);
    EXPECT_LT(marks.failureRate(Start + 5s), 0.01);
}

// Guards against waiting for the end of tasks that stand still.
TEST(WorkerPerformance, TasksThatStandStillShowASlowWorker)
{
    WorkerPerformance marks;
    marks.progressed(runs({"a", "b"}, 30ms, 0), Start);
    EXPECT_TRUE(marks.isRunningSlow());
    EXPECT_GE(marks.slowness(Start), 20);
}

// Two long tasks are no slow worker; of four, all that are slow are.
TEST(WorkerPerformance, FewLongTasksDoNotShowASlowWorker)
{
    WorkerPerformance marks;
    marks.progressed(runs({"a", "b"}, 30ms, 7), Start);
    EXPECT_FALSE(marks.isRunningSlow());
    marks.progressed(runs({"a", "b", "c", "d"}, 30ms, 7), Start);
    EXPECT_TRUE(marks.isRunningSlow());
}

// Guards against a sound worker that is avoided for one job whose run times were declared too
// short: its tasks are long together.
TEST(WorkerPerformance, TheTasksOfOneLongJobDoNotShowASlowWorker)
{
    WorkerPerformance marks;
    marks.progressed(runs({"a", "a", "a", "a", "a"}, 30ms, 7), Start);
    EXPECT_FALSE(marks.isRunningSlow());
}

// Guards against a sound worker that is avoided because the long tasks are those that still run.
TEST(WorkerPerformance, SomeLongJobsAmongOthersDoNotShowASlowWorker)
{
    WorkerPerformance marks;
    std::vector<RunProgress> all = runs({"a", "b"}, 300ms, 30);
    for (const RunProgress &it : runs({"c", "d"}, 30ms, 28))
        all.push_back(it);
    marks.progressed(all, Start);
    EXPECT_FALSE(marks.isRunningSlow());
}

// A percentage that is rounded down must not make a run that has just begun look slow.
TEST(WorkerPerformance, RunsThatHaveJustBegunDoNotShowASlowWorker)
{
    WorkerPerformance marks;
    std::vector<RunProgress> young = runs({"a", "b", "c", "d"}, 15ms, 1);
    for (RunProgress &it : young)
        it.expected = 800ms;
    marks.progressed(young, Start);
    EXPECT_FALSE(marks.isRunningSlow());
}

// The first 40 ms of runs say nothing.
TEST(WorkerPerformance, ShortRunsSayNothing)
{
    WorkerPerformance marks;
    marks.progressed(runs({"a", "b", "c", "d"}, 9ms, 0), Start);
    EXPECT_FALSE(marks.isRunningSlow());
}

} // namespace cactuscove
