// Evacuation of data centres: simulated loads with the real decisions of entries and agents, and
// the decisions one by one. The loads are those of three queues that two of three data centres can
// carry.

#include "dispatchfleet.h"
#include "evacuationchanges.h"

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <random>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Time in which all processes follow a new record of the operators' topic: its way to the entries
// and agents, and the starts that are on their way to a worker.
constexpr Duration FollowTime = 150ms;
constexpr TimePoint Now{std::chrono::hours(1)};
constexpr Incarnation Peer{7};

DispatchFleetOptions threeDataCentres(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.kinds = {{"seat-hold", 0, 37, 60, 0.4, 0.15, 8, 3100, 0.0291},
                     {"tide-check", 2, 6.7, 900, 0.4, 0.15, 4, 3100, 0.16},
                     {"guide-ping", 1, 107, 200, 0.4, 0.15, 2, 3100, 0.01}};
    options.workers = 18;
    options.dataCentres = 3;
    options.length = 6s;
    options.seed = seed;
    return options;
}

// Share of the jobs that were completed within their objective.
double onTimeShare(const DispatchFleet &fleet)
{
    double onTime = 0;
    double all = 0;
    for (const auto &[queue, it] : fleet.results()) {
        onTime += it.onTime;
        all += it.submitted;
    }
    return onTime / all;
}

// The messages of one type in an outbox of the runner or the dispatcher.
template <typename Message, typename Outbox>
std::vector<Message> messagesIn(const Outbox &out)
{
    std::vector<Message> found;
    for (const auto &effect : out)
        std::visit(
            [&](const auto &it) {
                if constexpr (requires { it.message; })
                    if (const auto *message = std::get_if<Message>(&it.message))
                        found.push_back(*message);
            },
            effect);
    return found;
}

template <typename Effect, typename Outbox>
std::vector<Effect> effectsIn(const Outbox &out)
{
    std::vector<Effect> found;
    for (const auto &effect : out)
        if (const auto *it = std::get_if<Effect>(&effect))
            found.push_back(*it);
    return found;
}

WorkerInfo workerIn(const char *dataCentre)
{
    WorkerInfo info;
    info.id = "w";
    info.upstream = "u";
    info.dataCentre = dataCentre;
    info.capacity = {1000, 1000, 0};
    return info;
}

void report(JobDispatcher &dispatcher, const Resources &free, DispatcherOutbox &out)
{
    WorkerLoad load;
    load.workerId = "w";
    load.free = free;
    load.isUsable = true;
    load.lastAssignmentNumber = 10; // the load includes all that were sent
    dispatcher.onAgentMessage(Peer, load, Now, out);
}

// Gives the dispatcher a queue and one worker in data centre "north".
void prepare(JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &out)
{
    DispatchConfig config;
    config.version = 1;
    QueueSettings queue;
    queue.name = "q";
    queue.upstream = "u";
    queue.targetLatency = 2s;
    config.queues.push_back(queue);
    dispatcher.configure(config, out);
    dispatcher.onAgentConnected({"agent", Peer, Role::Agent, "south", ""}, now, out);
    dispatcher.onAgentMessage(Peer, PeerHeartbeat{now, 1}, now, out);
    dispatcher.onAgentMessage(Peer, WorkerUpdate{workerIn("north")}, now, out);
    report(dispatcher, {1000, 1000, 0}, out);
}

void submitTo(JobDispatcher &dispatcher, std::uint64_t caller, TimePoint now, DispatcherOutbox &out)
{
    BestEffortJob job;
    job.id = "job" + std::to_string(caller);
    job.queue = "q";
    job.needs = {1000, 10, 0};
    job.taskCount = 1;
    job.declaredRunTime = 10ms;
    dispatcher.submit(CallerId{caller}, job, 5s, now, out);
    dispatcher.processPending(now, out);
}

} // namespace

// Guards against tasks that start in an evacuated data centre, callers that are not served by the
// rest of the fleet meanwhile, and a data centre that stays unused after the withdrawal.
TEST(EvacuationFleet, NoTaskStartsInAnEvacuatedDataCentre)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        DispatchFleet fleet(threeDataCentres(seed));
        fleet.schedule(2s, [&] { fleet.evacuate(1, true); });
        fleet.schedule(4s, [&] { fleet.evacuate(1, false); });
        fleet.run();
        EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
        EXPECT_GT(fleet.startsIn(1, 1s, 2s), 0u);
        EXPECT_EQ(fleet.startsIn(1, 2s + FollowTime, 4s), 0u);
        EXPECT_GT(fleet.startsIn(1, 4s, 4s + FollowTime), 0u);
        EXPECT_GT(onTimeShare(fleet), 0.95);
    }
}

// Guards against jobs that are held or given up while no worker may start them, and against runs
// that are stopped because of an evacuation.
TEST(EvacuationFleet, JobsAreRefusedAtOnceWhileAllIsEvacuated)
{
    DispatchFleet fleet(threeDataCentres(4));
    for (const int dataCentre : {0, 1, 2}) {
        fleet.schedule(2s, [&fleet, dataCentre] { fleet.evacuate(dataCentre, true); });
        fleet.schedule(3s, [&fleet, dataCentre] { fleet.evacuate(dataCentre, false); });
    }
    fleet.run();
    EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
    for (const int dataCentre : {0, 1, 2}) {
        EXPECT_EQ(fleet.startsIn(dataCentre, 2s + FollowTime, 3s), 0u);
        EXPECT_GT(fleet.startsIn(dataCentre, 3s, 3s + FollowTime), 0u);
    }
    for (const auto &[queue, it] : fleet.results()) {
        EXPECT_GT(it.refused, it.submitted / 8) << queue;
        EXPECT_LT(it.slowestRefusal, FollowTime) << queue;
    }
}

// Guards against processes that forget an evacuation in a restart while the store is not available.
TEST(EvacuationFleet, RestartsWithoutTheStoreKeepTheEvacuation)
{
    DispatchFleetOptions options = threeDataCentres(5);
    DispatchFleet fleet(options);
    fleet.schedule(2s, [&] { fleet.evacuate(1, true); });
    fleet.schedule(2500ms, [&] { fleet.setStoreAway(true); });
    for (int i = 0; i < options.entries; ++i)
        fleet.schedule(2600ms, [&fleet, i] { fleet.killEntry(i, 200ms); });
    for (int i = 1; i < options.workers; i += options.dataCentres)
        fleet.schedule(3500ms, [&fleet, i] { fleet.killAgent(i, 300ms); });
    fleet.schedule(4200ms, [&] { fleet.evacuate(1, false); });
    fleet.schedule(5s, [&] { fleet.setStoreAway(false); });
    fleet.run();
    EXPECT_EQ(fleet.violations(), std::vector<std::string>{});
    EXPECT_EQ(fleet.startsIn(1, 2s + FollowTime, 5s), 0u);
    EXPECT_GT(fleet.startsIn(1, 5s, 5s + FollowTime), 0u);
    EXPECT_GT(fleet.startsIn(0, 3s, 5s), 0u);
}

// Guards against a process that is suspended, restarted or cut off at the wrong moment and starts a
// task with an old state.
TEST(EvacuationFleet, FaultsOfProcessesAndLinksDoNotBreakTheEvacuation)
{
    // Longest time in which a resumed process may act on messages from before its suspension: a
    // task waits at an agent for 150 ms at most, and a start is valid for 250 ms.
    constexpr Duration resumeTime = 400ms;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
        DispatchFleetOptions options = threeDataCentres(seed);
        options.workers = 9;
        DispatchFleet fleet(options);
        std::mt19937_64 random(seed);
        const auto pick
            = [&](int n) { return std::uniform_int_distribution<int>(0, n - 1)(random); };
        for (int i = 0; i < 16; ++i) {
            const Duration at = std::chrono::milliseconds(pick(4500));
            const Duration length = std::chrono::milliseconds(30 + pick(1500));
            const int agent = pick(options.workers);
            // Entry 0 stays up: without any entry nobody reads the request.
            const int entry = 1 + pick(options.entries - 1);
            const std::vector<std::function<void()>> faults
                = {[&fleet, agent, length] { fleet.killAgent(agent, length); },
                   [&fleet, entry, length] { fleet.killEntry(entry, length); },
                   [&fleet, agent, length] { fleet.freezeAgent(agent, length); },
                   [&fleet, entry, length] { fleet.freezeEntry(entry, length); },
                   [&fleet, entry, agent] { fleet.setCut(entry, agent, true); }};
            fleet.schedule(at, faults[static_cast<std::size_t>(pick(5))]);
            fleet.schedule(at + length,
                           [&fleet, entry, agent] { fleet.setCut(entry, agent, false); });
        }
        fleet.schedule(1s, [&] { fleet.evacuate(2, true); });
        fleet.schedule(4s, [&] { fleet.evacuate(2, false); });
        fleet.run();
        EXPECT_EQ(fleet.violations(), std::vector<std::string>{}) << "seed " << seed;
        EXPECT_EQ(fleet.startsIn(2, 1s + FollowTime + resumeTime, 4s), 0u) << "seed " << seed;
        EXPECT_GT(fleet.startsIn(2, 4s, 6s), 0u) << "seed " << seed;
    }
}

// Guards against placing tasks by a configuration that was received before the evacuations, and
// against an entry that never serves because the topic cannot be read completely.
TEST(EvacuationEntry, ANewEntryPlacesNothingBeforeItKnowsTheEvacuations)
{
    for (const bool isTold : {true, false}) {
        DispatcherSettings settings;
        settings.waitsForEvacuations = true;
        JobDispatcher dispatcher(settings, Now);
        DispatcherOutbox out;
        prepare(dispatcher, Now, out);
        submitTo(dispatcher, 1, Now, out);
        dispatcher.setEvacuated({"south"}, false, Now);
        dispatcher.processPending(Now, out);
        EXPECT_EQ(messagesIn<AssignTask>(out).size(), 0u);
        if (isTold)
            dispatcher.setEvacuated({"south"}, true, Now);
        dispatcher.onAgentMessage(Peer, PeerHeartbeat{Now, 1}, Now + 1600ms, out);
        dispatcher.processPending(isTold ? Now : Now + 1600ms, out);
        EXPECT_EQ(messagesIn<AssignTask>(out).size(), 1u);
    }
}

// Guards against admitting jobs by what the fleet could start before the evacuation.
TEST(EvacuationEntry, ExpectedWaitsFollowTheCapacityAtOnce)
{
    LoadControl control;
    const Work job{1, 100};
    for (int i = 0; i < 100; ++i)
        control.recordStart(0, job, Now);
    control.addWaiting(0, {10, 1000});
    const Duration before = control.expectedWait(0, job, {0, 1}, Now);
    control.scaleStartRates(0.5);
    EXPECT_GT(control.expectedWait(0, job, {0, 1}, Now), before * 1.9);
}

// Guards against stopping a run, or a task whose start may have been carried out, because of an
// evacuation, and against starting a queued task after it.
TEST(EvacuationAgent, QueuedTasksAreRefusedAndStartedOnesContinue)
{
    TaskRunner runner({}, Now - 1s);
    RunnerOutbox out;
    runner.onEntryHello(Peer, "entry", Now, out);
    runner.onWorkerInfo(workerIn("north"), std::nullopt, Now, out);
    runner.processPending(Now, out);
    runner.onPollReply(effectsIn<PollRuns>(out).at(0).call, {CallAnswer::Ok}, Now, out);
    AssignTask assignment;
    assignment.workerId = "w";
    assignment.needs = {1000, 10, 0};
    assignment.startDeadline = assignment.endDeadline = Now + 10s;
    for (const char *job : {"first", "second"}) {
        assignment.task.jobId = job;
        runner.onAssign(Peer, assignment, Now, out);
    }
    runner.processPending(Now, out);
    ASSERT_EQ(effectsIn<StartRun>(out).size(), 1u);
    out.clear();
    runner.setEvacuated({"north"});
    runner.processPending(Now + 1ms, out);
    runner.onAssign(Peer, assignment, Now + 1ms, out);
    ASSERT_EQ(messagesIn<StartRefused>(out).size(), 2u);
    for (const StartRefused &it : messagesIn<StartRefused>(out)) {
        EXPECT_EQ(it.task.jobId, "second");
        EXPECT_EQ(it.reason, StartRefusal::Draining);
    }
    EXPECT_EQ(effectsIn<StopRun>(out).size(), 0u);
    EXPECT_EQ(runner.openTasks(), 1u);
    EXPECT_FALSE(runner.loads(Now + 1ms).at(0).isUsable);
    runner.setEvacuated({"south"});
    EXPECT_TRUE(runner.loads(Now + 1ms).at(0).isUsable);
}

// Guards against a worker that is slow after its start and gets as many tasks as the others, and
// against one that counts as slow for longer.
TEST(EvacuationAgent, AColdWorkerCountsAsSlower)
{
    TaskRunnerSettings settings;
    settings.coldSlowness = 1.5;
    TaskRunner runner(settings, Now - 1s);
    RunnerOutbox out;
    runner.onWorkerInfo(workerIn("north"), std::nullopt, Now, out);
    runner.onWorkerCold("w", 900ms, Now);
    runner.processPending(Now, out);
    EXPECT_EQ(runner.loads(Now).at(0).slowness, 1.5);
    const std::uint64_t version = runner.loadVersion();
    EXPECT_LE(runner.nextTimer(), Now + 900ms);
    runner.processPending(Now + 900ms, out);
    EXPECT_EQ(runner.loads(Now + 900ms).at(0).slowness, 1);
    EXPECT_GT(runner.loadVersion(), version) << "the entries are told";
}

// A dispatcher with one worker in data centre "north", past the start of its process.
class EvacuationEntryTest : public testing::Test
{
protected:
    EvacuationEntryTest() { prepare(dispatcher, Now, out); }

    void submit(std::uint64_t caller) { submitTo(dispatcher, caller, Now, out); }

    // The reason of the newest answer; none without an answer.
    std::optional<std::string> lastRefusal() const
    {
        const auto answers = effectsIn<AnswerJob>(out);
        if (answers.empty() || answers.back().answer.outcome != JobOutcome::Refused)
            return std::nullopt;
        return answers.back().answer.reason;
    }

    JobDispatcher dispatcher{{}, Now - 10s};
    DispatcherOutbox out;
};

// Guards against a job that waits for capacity that no evacuated worker will offer. The worker's
// own data centre counts, not that of its agent.
TEST_F(EvacuationEntryTest, WaitingAndNewJobsAreRefusedAtOnce)
{
    report(dispatcher, {0, 1000, 0}, out);
    submit(1);
    ASSERT_EQ(lastRefusal(), std::nullopt);
    dispatcher.setEvacuated({"south"}, true, Now);
    dispatcher.processPending(Now, out);
    ASSERT_EQ(lastRefusal(), std::nullopt);
    dispatcher.setEvacuated({"north"}, true, Now);
    dispatcher.processPending(Now, out);
    EXPECT_EQ(lastRefusal(), "evacuated");
    out.clear();
    submit(2);
    EXPECT_EQ(lastRefusal(), "evacuated");
    EXPECT_EQ(dispatcher.openJobs(), 0u);
}

// Guards against refusing a job whose task may run, and against a worker that stays paused after
// the withdrawal because it refused a task during the evacuation.
TEST_F(EvacuationEntryTest, ATaskThatWasSentMayRunUntilItsAgentRefusesIt)
{
    submit(1);
    const auto assigned = messagesIn<AssignTask>(out);
    ASSERT_EQ(assigned.size(), 1u);
    dispatcher.setEvacuated({"north"}, true, Now);
    dispatcher.processPending(Now, out);
    EXPECT_EQ(lastRefusal(), std::nullopt);
    dispatcher.onAgentMessage(Peer, StartRefused{assigned[0].task, 1, StartRefusal::Draining}, Now,
                              out);
    dispatcher.processPending(Now, out);
    EXPECT_EQ(lastRefusal(), "evacuated");
    out.clear();
    dispatcher.setEvacuated({}, true, Now);
    report(dispatcher, {1000, 1000, 0}, out);
    submit(2);
    EXPECT_EQ(messagesIn<AssignTask>(out).size(), 1u) << "placed at once";
}

// Guards against log lines for each delivery of a record that changes nothing, and against state
// that such a record changes.
TEST(EvacuationRecords, BadRecordsAreLoggedOnceAndChangeNothing)
{
    OperatorRecords records;
    EvacuationChanges changes;
    const auto workersIn = [](std::string_view) { return std::size_t{0}; };
    records.updateEvacuation({"north", true, LogOffset{5}});
    const auto change = changes.update(records, "store", workersIn);
    ASSERT_EQ(change.events.size(), 1u);
    EXPECT_EQ(change.events[0].name, "evacuation_in_force");
    EXPECT_EQ(change.events[0].fields.back(), std::pair(std::string("workers"), std::string("0")))
        << "of an unknown data centre";
    EXPECT_FALSE(changes.update(records, "store", workersIn).mustBeSent);

    EXPECT_FALSE(changes.withoutEffect({"north", true, LogOffset{5}}, records)) << "read again";
    const EvacuationRecord old{"north", false, LogOffset{3}};
    EXPECT_FALSE(records.updateEvacuation(old));
    EXPECT_TRUE(changes.withoutEffect(old, records));
    EXPECT_FALSE(changes.withoutEffect(old, records));
    const EvacuationRecord repeated{"north", true, LogOffset{8}};
    EXPECT_FALSE(records.updateEvacuation(repeated));
    EXPECT_TRUE(changes.withoutEffect(repeated, records));
    EXPECT_TRUE(changes.unreadable("evacuate/", LogOffset{9}, "key"));
    EXPECT_FALSE(changes.unreadable("evacuate/", LogOffset{9}, "key"));
    const auto last = changes.update(records, "store", workersIn);
    EXPECT_EQ(last.events.size(), 0u);
    EXPECT_TRUE(last.mustBeSent) << "others must know the newer record, too";
    EXPECT_TRUE(records.isEvacuated("north"));
}

} // namespace cactuscove
