// Start of a whole fleet: all entries and agents are lost at one moment and start again while the
// workers run on. Answers the load of 13 entries and 70 agents at 0.6 of the cores (deployment A in
// docs/hard-load.md). With FLEET_TIMELINE in the environment, prints what became of the jobs of
// each 100 ms.

#include "dispatchfleet.h"
#include "effects.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <random>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration LossAt = 2s;
constexpr Duration StartSpread = 100ms; // between the first and the last process
constexpr Duration Interval = 100ms;    // of the timeline
constexpr std::uint64_t Seeds = 3;      // their results are added up
// Share of the new jobs that the tests require to be in time, of those that capacity allows.
constexpr double RequiredShare = 0.9;

DispatchFleetOptions fleetOptions(std::uint64_t seed, double workerRecordShare)
{
    DispatchFleetOptions options;
    options.entries = 13;
    options.workers = 70;
    options.largeShare = 1;
    options.workerSpeeds = {0.8, 1.0, 1.25};
    options.dataCentres = 3;
    options.kinds = {{"small", 0, 206, 60, 0.4, 0.15, 8, 3300, 0.00323},
                     {"long", 2, 37.5, 900, 0.4, 0.15, 4, 3300, 0.0178},
                     {"middle", 1, 600, 200, 0.4, 0.15, 2, 3300, 0.00111}};
    options.length = 6s;
    options.workerRecordShare = workerRecordShare;
    options.hasSpreadHeartbeats = true;
    options.maxConnectTime = 200ms;
    options.seed = seed;
    return options;
}

JobCounts &operator+=(JobCounts &sum, const JobCounts &it)
{
    sum.onTime += it.onTime;
    sum.late += it.late;
    sum.refused += it.refused;
    sum.failed += it.failed;
    return sum;
}

std::string row(int ms, const FleetMoment &it)
{
    char buf[200];
    std::snprintf(buf, sizeof(buf), "%5d  %.2f  %.2f  %.2f  %5d %5d %5d %5d  %5d %5d %5d %5d\n", ms,
                  it.knownWorkerShare, it.usableCoreShare, it.connectedShare, it.fresh.onTime,
                  it.fresh.late, it.fresh.refused, it.fresh.failed, it.returned.onTime,
                  it.returned.late, it.returned.refused, it.returned.failed);
    return buf;
}

// The time after the first process has started again.
class FleetStart : public testing::Test
{
protected:
    // Loses all processes for `down`. `fault` is planned for the middle of that time.
    void lose(Duration down, double workerRecordShare,
              const std::function<void(DispatchFleet &)> &fault = {})
    {
        timeline.resize(2s / Interval);
        for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
            DispatchFleet fleet(fleetOptions(seed, workerRecordShare));
            fleet.schedule(LossAt, [&] { fleet.killAll(down, StartSpread); });
            if (fault)
                fleet.schedule(LossAt + down / 2, [&] { fault(fleet); });
            fleet.watch(LossAt + down, LossAt + down + 2s, Interval);
            fleet.run();
            EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
            add(fleet.timeline());
        }
        if (std::getenv("FLEET_TIMELINE"))
            std::printf("%s", describe().c_str());
    }

    // Adds up the jobs, and the means of the shares.
    void add(const std::vector<FleetMoment> &moments)
    {
        for (std::size_t i = 0; i < timeline.size(); ++i) {
            timeline[i].knownWorkerShare += moments[i].knownWorkerShare / Seeds;
            timeline[i].usableCoreShare += moments[i].usableCoreShare / Seeds;
            timeline[i].connectedShare += moments[i].connectedShare / Seeds;
            timeline[i].fresh += moments[i].fresh;
            timeline[i].returned += moments[i].returned;
        }
    }

    std::string describe() const
    {
        std::string text
            = "   ms known usable conn | new: in time, late, refused, failed | returned\n";
        for (std::size_t i = 0; i < timeline.size(); ++i)
            text += row(static_cast<int>(i * (Interval / 1ms)), timeline[i]);
        return text;
    }

    // What became of the jobs that were sent from `from` to `to`.
    JobCounts sum(JobCounts FleetMoment::*counts, Duration from, Duration to) const
    {
        JobCounts out;
        for (auto i = from / Interval; i < to / Interval; ++i)
            out += timeline[static_cast<std::size_t>(i)].*counts;
        return out;
    }

    double onTimeShare(Duration from, Duration to) const
    {
        const JobCounts it = sum(&FleetMoment::fresh, from, to);
        return static_cast<double>(it.onTime) / it.all();
    }

    std::vector<FleetMoment> timeline;
};

std::uint64_t environmentNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : defaultValue;
}

} // namespace

// Guards against returning jobs that take more than a small part of the free cores, against callers
// that are all told the same time, and against a rule that outlasts the start of the process.
TEST(ReturningJobs, GetSpareCapacityOnly)
{
    const TimePoint start{1h};
    ReturningJobs jobs(start);
    jobs.noteEarlierRun("a", start + 1s);
    EXPECT_TRUE(jobs.isReturning("a", start + 1s));
    EXPECT_FALSE(jobs.isReturning("b", start + 1s));
    EXPECT_FALSE(jobs.isReturning("a", start + 2s));
    const AvailableCores available{800, 200, 0.25}; // 200 free cores for this entry
    EXPECT_FALSE(jobs.retryTime({20, 1000}, {}, available));
    EXPECT_TRUE(jobs.retryTime({21, 4000}, {}, available));
    EXPECT_EQ(jobs.retryTime({20, 4000}, {1, 0}, available), Duration(40ms));
    EXPECT_EQ(jobs.retryTime({20, 4000}, {1, 0}, available), Duration(60ms));
    jobs.noteEarlierRun("c", start + 2s);
    EXPECT_FALSE(jobs.isReturning("c", start + 1s));
}

// Guards against runs of an earlier process that are missing in inventories, and against their
// attempt numbers being taken for those of new attempts: the entry would count the new run as ended
// and start another one.
TEST(ReturningJobs, AreListedByTheRestartedAgent)
{
    TaskRunnerSettings settings;
    settings.listsEarlierRuns = true;
    TaskRunner runner(settings, TimePoint{1h});
    RunnerOutbox out;
    WorkerInfo worker;
    worker.id = "i-1";
    const TimePoint now{1h + 1s};
    runner.onWorkerInfo(worker, std::nullopt, now, out);
    runner.processPending(now, out);
    PollReply reply;
    reply.answer = CallAnswer::Ok;
    reply.active = {{{"running", 0}, 3, 0}};
    reply.ended = {{1, {"ended", 0}, 1, TaskEnd::Lost}, {2, {"ended", 1}, 1, TaskEnd::Done}};
    runner.onPollReply(effectsOf<PollRuns>(out).back().call, reply, now, out);
    runner.processPending(now, out);
    reply.active.clear();
    reply.ended = {{3, {"running", 0}, 3, TaskEnd::Stopped}};
    runner.onPollReply(effectsOf<PollRuns>(out).back().call, reply, now + 20ms, out);
    const TaskInventory inventory = runner.inventoryOf(Incarnation{7});
    ASSERT_EQ(inventory.ended.size(), 2u);
    EXPECT_EQ(inventory.ended[0].task.jobId, "ended");
    EXPECT_EQ(inventory.ended[1].task.jobId, "running");
    EXPECT_EQ(inventory.ended[0].attempt, EarlierProcess);
    EXPECT_EQ(inventory.ended[1].attempt, EarlierProcess);
}

// Guards against agents that wait for their workers' heartbeats. Callers that found no entry come
// back until 1.3 s after the start, which makes the demand 1.2 times the capacity.
TEST_F(FleetStart, WorkersAreKnownBeforeTheirHeartbeats)
{
    lose(1500ms, 1);
    EXPECT_GT(timeline[3].knownWorkerShare, 0.99) << describe();
    EXPECT_GT(timeline[4].usableCoreShare, 0.99) << describe();
    EXPECT_GT(onTimeShare(300ms, 500ms), RequiredShare) << describe();
    EXPECT_GT(onTimeShare(500ms, 1100ms), RequiredShare / 1.2) << describe();
    EXPECT_GT(onTimeShare(1400ms, 2s), 0.99) << describe();
}

// Guards against new jobs that end late or are refused because of the jobs that ran at the loss,
// whose callers all come back at one moment, here 800 ms after the start.
TEST_F(FleetStart, NewJobsAreServedBeforeReturningOnes)
{
    lose(500ms, 1);
    EXPECT_GT(onTimeShare(300ms, 800ms), 0.99) << describe();
    EXPECT_GT(onTimeShare(800ms, 1400ms), RequiredShare) << describe();
    const JobCounts returned = sum(&FleetMoment::returned, 0ms, 2s);
    EXPECT_GT(returned.late, returned.all() / 2) << describe();
    EXPECT_EQ(returned.failed, 0) << describe();
}

// Guards against the use of a record of a worker that was replaced while its agent was away, when a
// third of the agents cannot read their records.
TEST_F(FleetStart, ReplacedWorkersAreNotTakenFromTheirRecords)
{
    lose(1500ms, 0.65, [](DispatchFleet &fleet) {
        for (int i = 0; i < 70; i += 5)
            fleet.crashWorker(i, 300ms);
    });
    EXPECT_GT(timeline[3].knownWorkerShare, 0.5) << describe();
    // Usable cores for half of the demand, which is 1.2 times the capacity of the fleet.
    EXPECT_GT(onTimeShare(300ms, 500ms), RequiredShare * 0.6 / 1.2) << describe();
    EXPECT_GT(onTimeShare(1600ms, 2s), 0.99) << describe();
}

// Guards against two runs of a task at the same time, a worker over its capacity and a refused job
// that ran, when the fleet is lost twice and starts again while runs and starts of the lost
// processes are still under way, and workers are replaced meanwhile. The environment variables
// DISPATCH_SEED and DISPATCH_RUNS choose other schedules.
TEST(FleetStartPromises, HoldWhateverTheTimeWithoutProcesses)
{
    const std::uint64_t first = environmentNumber("DISPATCH_SEED", 1);
    const std::uint64_t runs = environmentNumber("DISPATCH_RUNS", 20);
    for (std::uint64_t seed = first; seed < first + runs; ++seed) {
        DispatchFleetOptions options = fleetOptions(seed, 0.7);
        options.entries = 3;
        options.workers = 5;
        for (JobKind &it : options.kinds)
            it.jobsPerSecond /= 10;
        options.length = 4s;
        options.lostReplyRate = seed % 3 == 0 ? 0.08 : 0;
        options.slowCallRate = 0.2;
        DispatchFleet fleet(options);
        std::mt19937_64 random(seed);
        const auto pick = [&](int n) { return std::chrono::milliseconds(random() % n); };
        for (const Duration at : {1000ms, 2500ms}) {
            const Duration down = 1ms + pick(random() % 2 ? 300 : 1500);
            fleet.schedule(at, [&fleet, down] { fleet.killAll(down, StartSpread); });
            fleet.schedule(at + pick(400),
                           [&fleet, seed] { fleet.crashWorker(static_cast<int>(seed % 5), 50ms); });
        }
        fleet.run();
        ASSERT_TRUE(fleet.violations().empty())
            << "DISPATCH_SEED=" << seed << " DISPATCH_RUNS=1: " << fleet.violations().front();
        ASSERT_GT(fleet.startCount(), 100u) << "DISPATCH_SEED=" << seed;
    }
}

} // namespace cactuscove
