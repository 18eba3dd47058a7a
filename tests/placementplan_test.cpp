// Placement that looks ahead: the plan of one entry, and a simulated load near the capacity of a
// fleet of 13 entries and 70 workers of unequal speed.

#include "dispatchfleet.h"
#include "placementplan.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Deployment A of hard-load.md at `load` times the capacity of its workers.
DispatchFleetOptions scarceFleet(double load, double slowest, double fastest)
{
    DispatchFleetOptions options;
    options.entries = 13;
    options.workers = 70;
    options.largeShare = 1;
    options.workerSpeeds = {slowest, slowest, slowest, 1, 1, 1, fastest, fastest, fastest};
    // The rates of the page are 0.6 of the capacity.
    const double factor = load / 0.6;
    options.kinds = {{"hold", 0, 206 * factor, 60, 0.4, 0.15, 8, 3300, 0.0291},
                     {"check", 2, 37.5 * factor, 900, 0.4, 0.15, 4, 3300, 0.16},
                     {"ping", 1, 600 * factor, 200, 0.4, 0.15, 2, 3300, 0.01}};
    options.length = 3s;
    options.dataCentres = 3;
    return options;
}

// Jobs of one size, over all kinds.
SizeResult sumOf(const DispatchFleet &fleet, std::size_t size)
{
    SizeResult sum;
    for (const auto &[queue, kind] : fleet.results()) {
        const SizeResult &it = kind.sizes[size];
        sum.submitted += it.submitted;
        sum.onTime += it.onTime;
        sum.started += it.started;
        sum.meanWaitMs += it.meanWaitMs * it.started;
    }
    sum.meanWaitMs /= std::max(sum.started, 1);
    return sum;
}

std::string describe(const DispatchFleet &fleet)
{
    std::string text = "value share " + std::to_string(fleet.valueShare());
    for (std::size_t i = 0; i < 3; ++i) {
        const SizeResult it = sumOf(fleet, i);
        text += "; size " + std::to_string(i) + ": on time " + std::to_string(it.onTimeShare())
                + ", wait " + std::to_string(it.meanWaitMs) + " ms";
    }
    return text;
}

// Plays the load without and with the plan. Prints the wait and the share in time by size.
void expectLargeJobsServed(DispatchFleetOptions options)
{
    DispatchFleet before(options);
    before.run();
    options.hasScarcityControl = true;
    DispatchFleet after(options);
    after.run();
    std::cout << "before: " << describe(before) << "\nafter: " << describe(after) << '\n';
    EXPECT_TRUE(after.violations().empty()) << after.violations().front();
    EXPECT_GE(after.valueShare(), before.valueShare());
    const SizeResult large = sumOf(after, 0);
    EXPECT_LT(large.meanWaitMs, 0.95 * sumOf(before, 0).meanWaitMs);
    EXPECT_GT(large.onTimeShare(), sumOf(before, 0).onTimeShare());
    EXPECT_GT(large.onTimeShare(), 0.95 * sumOf(after, 2).onTimeShare());
    for (const auto &[queue, kind] : after.results())
        EXPECT_GT(kind.sizes[0].onTimeShare(), 0.5 * kind.sizes[2].onTimeShare()) << queue;
}

KindResult resultOf(const DispatchFleetOptions &options, const std::string &queue)
{
    DispatchFleet fleet(options);
    fleet.run();
    const KindResult it = fleet.results().at(queue);
    std::cout << describe(fleet) << "; " << queue << ": value share " << it.valueShare
              << ", largest on time " << it.sizes[0].onTimeShare() << ", wait "
              << it.sizes[0].meanWaitMs << " ms, rest on time " << it.sizes[2].onTimeShare()
              << ", wait " << it.sizes[2].meanWaitMs << " ms\n";
    return it;
}

// A plan for workers of 10 cores. Tasks need 4 cores and take 100 ms on a worker of slowness 1.
class PlacementPlanTest : public testing::Test
{
protected:
    static constexpr TimePoint Now{std::chrono::hours(1)};

    void addWorker(const char *id, std::int64_t freeCores, double slowness = 1)
    {
        PlanWorker it;
        it.key = {Incarnation{7}, id};
        it.free = {freeCores * 1000, 1000, 0};
        it.slowness = slowness;
        it.maxTasks = 100;
        it.loadAt = Now - 3ms;
        m_workers.push_back(std::move(it));
    }

    void addRelease(Duration after, std::int64_t cores)
    {
        m_workers.back().releases.push_back({Now + after, {cores * 1000, 0, 0}});
    }

    static PlanJob job(std::size_t tasks, std::int64_t cores = 4, Duration run = 100ms)
    {
        PlanJob it;
        it.needs = {cores * 1000, 10, 0};
        it.taskCount = tasks;
        it.expectedRun = run;
        it.objectiveAt = Now + 200ms;
        it.maxSlowness = 4;
        return it;
    }

    PlacementPlan plan() { return {m_workers, 1.5, Now, m_random}; }

    std::vector<PlanWorker> m_workers;
    std::mt19937_64 m_random{1};
};

} // namespace

// Guards against a large job that never starts because small ones take each core that becomes free,
// and against idle cores while it waits.
TEST_F(PlacementPlanTest, SmallJobsUseWhatTheReservationLeaves)
{
    addWorker("a", 5);
    addRelease(120ms, 4);
    PlacementPlan plan = this->plan();
    const PlanDecision large = plan.place(job(1, 9, 50ms));
    EXPECT_TRUE(large.starts.empty());
    ASSERT_TRUE(large.reservation);
    EXPECT_EQ(large.reservation->startAt, Now + 120ms);
    EXPECT_EQ(large.reservation->loadAge, 3ms);
    const PlanDecision tooLong = plan.place(job(1, 4, 150ms));
    EXPECT_TRUE(tooLong.starts.empty()) << "still runs when the reservation begins";
    const PlanDecision shortOne = plan.place(job(1, 4, 100ms));
    EXPECT_EQ(shortOne.starts.size(), 1u);
    EXPECT_TRUE(shortOne.isBackfill);
}

// The same for capacity that the job with the reservation cannot use.
TEST_F(PlacementPlanTest, LongJobsUseOtherWorkers)
{
    addWorker("a", 5);
    addRelease(120ms, 4);
    addWorker("b", 5);
    PlacementPlan plan = this->plan();
    ASSERT_TRUE(plan.place(job(1, 9, 50ms)).reservation);
    const PlanDecision other = plan.place(job(1, 4, 500ms));
    ASSERT_EQ(other.starts.size(), 1u);
    EXPECT_EQ(other.starts[0].workerId, "b");
}

// Guards against jobs that are started in part and can then neither be refused nor end in time.
TEST_F(PlacementPlanTest, AJobOfSeveralTasksStartsAsAWhole)
{
    addWorker("a", 5);
    addRelease(150ms, 5);
    EXPECT_TRUE(plan().place(job(2)).starts.empty()) << "its last task would end after 250 ms";
    PlanJob begun = job(2);
    begun.hasStarted = true;
    EXPECT_EQ(plan().place(begun).starts.size(), 1u) << "what has begun is finished";
    m_workers.back().releases.front().at = Now + 90ms;
    EXPECT_EQ(plan().place(job(2)).starts.size(), 1u) << "its last task ends after 190 ms";
}

// Guards against waiting for a worker that is lost: the next plan reserves on another one.
TEST_F(PlacementPlanTest, ALostWorkerMovesTheReservation)
{
    addWorker("b", 0);
    addRelease(180ms, 10);
    addWorker("a", 0);
    addRelease(60ms, 10);
    EXPECT_EQ(plan().place(job(1)).reservation->lastWorker.workerId, "a");
    m_workers.pop_back();
    EXPECT_EQ(plan().place(job(1)).reservation->lastWorker.workerId, "b");
}

// Guards against trust in releases that were wrong: capacity that is due and still in use is not
// free, and the job is not held back once it is.
TEST_F(PlacementPlanTest, WrongReleaseTimesMoveTheReservation)
{
    addWorker("a", 0);
    addRelease(-30ms, 10);
    const PlanDecision overdue = plan().place(job(1));
    EXPECT_EQ(overdue.starts.size(), 1u) << "queued at the agent, which checks the capacity";
    m_workers.back().releases.front().at = Now + 400ms;
    EXPECT_EQ(plan().place(job(1)).reservation->startAt, Now + 400ms);
    m_workers.back().free = {10000, 1000, 0};
    EXPECT_EQ(plan().place(job(1)).starts.size(), 1u);
}

// Guards against small jobs that starve a large one where the agents report too little to reserve
// for it.
TEST_F(PlacementPlanTest, WithoutReleasesTheOrderIsStrict)
{
    addWorker("a", 5);
    PlacementPlan plan = this->plan();
    const PlanDecision large = plan.place(job(1, 9));
    EXPECT_FALSE(large.reservation);
    EXPECT_TRUE(plan.place(job(1, 4)).starts.empty());
}

// Guards against tasks on slow or remote workers that miss the objective there, while a worker on
// which they meet it becomes free soon.
TEST_F(PlacementPlanTest, WaitsForAWorkerOnWhichTheTaskEndsInTime)
{
    addWorker("slow", 10, 2.5);
    addWorker("fast", 0, 1);
    addRelease(20ms, 10);
    EXPECT_EQ(plan().place(job(1)).starts.at(0).workerId, "fast");
    const std::vector<std::string> rack{"rack"};
    m_workers[1].labels = rack;
    m_workers[0].slowness = 1.2;
    PlanJob near = job(1);
    EXPECT_EQ(plan().place(near).starts.at(0).workerId, "slow");
    near.preferredLabel = "rack"; // 100 ms x 1.2 x 1.5 on the free worker
    EXPECT_EQ(plan().place(near).starts.at(0).workerId, "fast");
}

// Guards against a fleet that sends a failed worker a whole job before one task has ended there.
TEST(PlacementTrial, AWorkerWithAFaultGetsSingleTasks)
{
    constexpr TimePoint now{std::chrono::hours(1)};
    const WorkerKey key{Incarnation{7}, "a"};
    WorkerDirectory directory{1};
    directory.agentConnected(key.agent, "agent", "dc", now);
    directory.updateAgentClock(key.agent, now, now);
    WorkerInfo info;
    info.id = key.workerId;
    info.upstream = "u";
    directory.updateWorker(key.agent, {info, false});
    WorkerLoad load;
    load.workerId = key.workerId;
    load.isUsable = true;
    directory.updateLoad(key.agent, load);
    const auto maxTasks = [&] { return directory.planWorkers("u", now).at(0).maxTasks; };
    EXPECT_GT(maxTasks(), 100u);
    directory.recordFault(key, true, now);
    EXPECT_EQ(maxTasks(), 1u);
    directory.reserve(key, 0, {});
    EXPECT_EQ(maxTasks(), 0u);
    directory.recordSuccess(key);
    EXPECT_GT(maxTasks(), 100u);
}

// An agent with one worker of 10 cores on which `tasks` tasks of 1 core were started, the first
// with an expected run time of 50 ms and each other one with 10 ms more.
std::vector<ExpectedRelease> releasesOf(std::size_t tasks, bool hasScarcityControl, Duration later)
{
    TimePoint now{std::chrono::hours(1)};
    TaskRunnerSettings settings;
    settings.hasScarcityControl = hasScarcityControl;
    TaskRunner runner(settings, now);
    RunnerOutbox out;
    const auto answer = [&] {
        for (const RunnerEffect &effect : std::exchange(out, {})) {
            PollReply list;
            list.answer = CallAnswer::Ok;
            if (const auto *poll = std::get_if<PollRuns>(&effect))
                runner.onPollReply(poll->call, list, now, out);
            if (const auto *start = std::get_if<StartRun>(&effect))
                runner.onStartReply(start->call, {StartAnswer::Accepted, std::nullopt}, now, out);
        }
    };
    WorkerInfo info;
    info.id = "w";
    info.capacity = {10000, 1000, 0};
    runner.onWorkerInfo(info, std::nullopt, now, out);
    now += 1s;
    runner.onWorkerInfo(info, std::nullopt, now, out);
    runner.processPending(now, out);
    answer();
    runner.onEntryHello(Incarnation{5}, "entry", now, out);
    for (std::size_t i = 0; i < tasks; ++i) {
        AssignTask task;
        task.task = {"job", static_cast<std::uint32_t>(i)};
        task.workerId = "w";
        task.needs = {1000, 10, 0};
        task.expectedRun = 50ms + 10ms * static_cast<int>(i);
        task.startDeadline = task.endDeadline = now + 10s;
        runner.onAssign(Incarnation{5}, task, now, out);
    }
    runner.processPending(now, out);
    answer();
    return runner.loads(now + later).at(0).releases;
}

// Guards against reservations for times that have passed, and against large load messages.
TEST(PlacementReleases, AreReportedByNearlyFullWorkers)
{
    EXPECT_TRUE(releasesOf(7, true, 0ms).empty()) << "there is room";
    EXPECT_TRUE(releasesOf(8, false, 0ms).empty());
    const std::vector<ExpectedRelease> eight = releasesOf(8, true, 20ms);
    ASSERT_EQ(eight.size(), 8u);
    EXPECT_EQ(eight.front().after, 30ms);
    EXPECT_EQ(eight.back().after, 100ms);
    EXPECT_EQ(eight.back().resources.cpuMillis, 1000);
    const std::vector<ExpectedRelease> merged = releasesOf(10, true, 0ms);
    ASSERT_EQ(merged.size(), 5u);
    EXPECT_EQ(merged.front().after, 60ms);
    EXPECT_EQ(merged.front().resources.cpuMillis, 2000);
    EXPECT_GT(releasesOf(8, true, 1s).front().after, 0ms) << "overdue tasks still run";
}

// Guards against large jobs that wait longer and miss their objectives more often than small ones
// when the load is near the capacity.
TEST(PlacementFleet, LargeJobsAreServedNearTheCapacity)
{
    expectLargeJobsServed(scarceFleet(0.95, 0.8, 1.25));
}

TEST(PlacementFleet, LargeJobsAreServedAboveTheCapacity)
{
    expectLargeJobsServed(scarceFleet(1.05, 0.8, 1.25));
}

// The same with workers of very unequal speed, on which the wait alone does not tell the end.
TEST(PlacementFleet, LargeJobsAreServedByWorkersOfUnequalSpeed)
{
    expectLargeJobsServed(scarceFleet(1.05, 0.6, 1.6));
}

// The same for tasks that need half of a small worker: small ones leave gaps that these cannot use.
TEST(PlacementFleet, LargeTasksAreServedAmongSmallOnes)
{
    DispatchFleetOptions options = scarceFleet(0.8, 0.8, 1.25);
    // 0.15 of the capacity, which is 2,613 cores at mean speed 1.
    options.kinds.push_back(
        {"big", 1, 0.15 * 2613 / (2 * 0.2 * 14), 200, 0.4, 0.15, 2, 14000, 0.04});
    const KindResult before = resultOf(options, "big");
    options.hasScarcityControl = true;
    const KindResult after = resultOf(options, "big");
    EXPECT_GT(after.valueShare, before.valueShare + 0.05);
    EXPECT_LT(after.sizes[0].meanWaitMs, 0.7 * before.sizes[0].meanWaitMs);
    EXPECT_GT(after.sizes[0].onTimeShare(), 0.9 * after.sizes[2].onTimeShare());
}

// Guards against a plan that costs something where there is capacity for all.
TEST(PlacementFleet, BelowTheCapacityAllJobsAreServed)
{
    DispatchFleetOptions options = scarceFleet(0.6, 0.8, 1.25);
    DispatchFleet before(options);
    before.run();
    options.hasScarcityControl = true;
    DispatchFleet after(options);
    after.run();
    EXPECT_TRUE(after.violations().empty()) << after.violations().front();
    EXPECT_GE(after.valueShare(), before.valueShare()) << describe(after);
}

} // namespace cactuscove
