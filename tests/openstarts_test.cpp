// Where a task may start while a start of it has had no answer: the table of open starts, the agent
// that reports them, and the entry that binds the task to its worker.

#include "openstarts.h"

#include "dispatcherfixture.h"
#include "jobdispatcher.h"
#include "runnerfixture.h"

#include <algorithm>

namespace cactuscove {

using namespace runnertest;

namespace {

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

// An agent whose worker accepts the second start of task 0; the first has no answer.
struct OpenStartAgent : RunnerFixture
{
    void openAndRun()
    {
        assign(0);
        advance(12ms);
        ASSERT_EQ(starts(), 2u);
        answerStart(newestStart(), StartAnswer::Accepted, firstClock());
        answerPoll({0});
    }

    std::vector<OpenStart> reported() const
    {
        std::vector<OpenStart> found;
        for (const OpenStartReport &it : sent<OpenStartReport>())
            found.insert(found.end(), it.starts.begin(), it.starts.end());
        return found;
    }

    // Fails unless the newest end comes after an open start of the same task.
    void expectReportBeforeEnd() const
    {
        bool isReported = false;
        for (const SendToEntry &it : effectsOf<SendToEntry>(out)) {
            if (const auto *report = std::get_if<OpenStartReport>(&it.message))
                isReported |= report->starts.at(0).state == OpenStartState::Open;
            if (std::holds_alternative<TaskEnded>(it.message)) {
                EXPECT_TRUE(isReported) << "the task may start elsewhere";
            }
        }
        EXPECT_EQ(ends().size(), 1u);
    }
};

// Guards against a task that starts elsewhere after a crash while its worker's next process may
// carry out the first start; and against an entry that learns only after the lease that it waits.
TEST_F(OpenStartAgent, ACrashReportsTheOpenStartBeforeTheEnd)
{
    openAndRun();
    const TimePoint crashedAt = now;
    advanceUntilEnd(100ms, [&] { failPoll(CallAnswer::Refused); });
    expectReportBeforeEnd();
    EXPECT_LE(now - crashedAt, 45ms);
}

// The same, if the next process is known at once.
TEST_F(OpenStartAgent, ANextProcessReportsTheOpenStartBeforeTheEnd)
{
    openAndRun();
    heartbeat(NextProcess, 1);
    expectReportBeforeEnd();
}

// The same after a stop that the living worker has acknowledged: its next process knows of none.
TEST_F(OpenStartAgent, AnAcknowledgedStopReportsTheOpenStartBeforeTheEnd)
{
    openAndRun();
    runner.onWithdraw(entry, {{"job", 0}, 1}, now, out);
    answerStop(firstClock());
    advance(60ms);
    answerPoll(newestPoll(), FirstProcess, firstClock(), {},
               {{1, {"job", 0}, 1, TaskEnd::Stopped}});
    expectReportBeforeEnd();
}

// The same for a worker that leaves as planned, and for a run that has failed there.
TEST_F(OpenStartAgent, ALeaveReportsTheOpenStartBeforeTheEnd)
{
    openAndRun();
    heartbeat(FirstProcess, 2, true);
    leave();
    advanceUntilEnd(2s, [this] { failPoll(CallAnswer::Refused); });
    expectReportBeforeEnd();
}

TEST_F(OpenStartAgent, AFailureReportsTheOpenStartBeforeTheEnd)
{
    openAndRun();
    advance(60ms);
    answerPoll(newestPoll(), FirstProcess, firstClock(), {}, {{1, {"job", 0}, 1, TaskEnd::Failed}});
    expectReportBeforeEnd();
}

// Guards against tasks without an open start that wait for one, and against messages for each
// start.
TEST_F(OpenStartAgent, AnsweredStartsAreNotReported)
{
    assign(0);
    answerStart(newestStart(), StartAnswer::Accepted, firstClock());
    answerPoll({0});
    const auto started = sent<TaskStarted>();
    ASSERT_EQ(started.size(), 1u);
    EXPECT_FALSE(started[0].hasOpenStart);
    advance(120ms);
    heartbeat(NextProcess, 1);
    EXPECT_EQ(ends().size(), 1u);
    EXPECT_TRUE(reported().empty());
}

// The same for starts that were never under way.
TEST_F(OpenStartAgent, StartsThatWereNotSentAreNotReported)
{
    std::uint32_t index = 0;
    for (const StartAnswer answer : {StartAnswer::NotSent, StartAnswer::Refused}) {
        assign(index++);
        ASSERT_EQ(starts(), index);
        answerStart(newestStart(), answer, std::nullopt);
        EXPECT_EQ(refusals(), index);
        advance(450ms);
        answerPoll({});
        answerPoll({});
    }
    EXPECT_TRUE(reported().empty());
}

// Guards against an entry that takes a task for free of open starts because it runs.
TEST_F(OpenStartAgent, AStartedTaskSaysThatAnotherStartIsOpen)
{
    openAndRun();
    ASSERT_EQ(sent<TaskStarted>().size(), 1u);
    EXPECT_TRUE(sent<TaskStarted>()[0].hasOpenStart);
    EXPECT_TRUE(runner.inventoryOf(entry).started.at(0).hasOpenStart);
    EXPECT_TRUE(runner.openStarts(now).starts.empty()) << "may be answered at any moment";
    advance(100ms);
    EXPECT_EQ(runner.openStarts(now).starts.size(), 1u) << "for an entry that connects";
}

// Guards against an entry that hears of an open start only with its end, which may come after the
// loss of the agent; and against a task that stays bound although the answer has come.
TEST_F(OpenStartAgent, AStartIsReportedWhileItIsOpen)
{
    assign(0);
    const StartRun first = newestStart();
    advance(12ms);
    answerStart(newestStart(), StartAnswer::Accepted, firstClock());
    answerPoll({0});
    advance(80ms);
    answerPoll({0});
    EXPECT_TRUE(reported().empty());
    advance(10ms);
    ASSERT_EQ(reported().size(), 1u);
    EXPECT_EQ(reported()[0].state, OpenStartState::Open);
    EXPECT_EQ(reported()[0].workerId, "i-1");
    answerStart(first, StartAnswer::Accepted, firstClock());
    ASSERT_EQ(reported().size(), 2u);
    EXPECT_EQ(reported()[1].state, OpenStartState::Answered);
}

// Guards against a start of an earlier process of the agent, which runs beside new tasks at the
// worker's next process: the agent stops it there before it starts anything.
TEST_F(OpenStartAgent, StopsTheOpenStartsOfAnEarlierAgentBeforeItStartsTasks)
{
    OpenStart late{{"job", 5}, 2, "i-1", Incarnation{99}, OpenStartState::Suspected, 10s};
    runner.onOpenStarts({{late}}, now, out);
    runner.processPending(now, out);
    assign(0);
    EXPECT_EQ(starts(), 0u);
    ASSERT_EQ(effectsOf<StopRun>(out).size(), 1u);
    EXPECT_EQ(effectsOf<StopRun>(out)[0].attempt, 2u);
    answerStop(firstClock());
    advance(50ms);
    answerPoll({});
    EXPECT_EQ(starts(), 1u);
    heartbeat(NextProcess, 1); // this one has not seen the stop
    EXPECT_EQ(effectsOf<StopRun>(out).size(), 2u);
}

// Guards against an entry that does not know of the open start and begins the attempts anew.
TEST_F(OpenStartAgent, RefusesAnAttemptThatTheOpenStartCouldBeTakenFor)
{
    openAndRun();
    advance(60ms);
    answerPoll(newestPoll(), FirstProcess, firstClock(), {}, {{1, {"job", 0}, 1, TaskEnd::Done}});
    out.clear();
    assign(0);
    EXPECT_EQ(starts(), 0u);
    ASSERT_EQ(sent<StartRefused>().size(), 1u);
    EXPECT_EQ(sent<StartRefused>()[0].reason, StartRefusal::OldAttempt);
    assign(0, 1000, 2);
    EXPECT_EQ(starts(), 1u);
}

// An entry with two agents, each with one worker of 4 cores: "i-1" of agent 100 and "i-2" of 200.
struct OpenStartEntry : testing::Test
{
    OpenStartEntry()
        : dispatcher({}, Start)
    {
        dispatcher.configure(oneQueue(), out);
        connect(Agent1);
        connect(Agent2);
        step(2s); // beyond the start of the process
    }

    static std::string workerOf(Incarnation agent)
    {
        return "i-" + std::to_string(agent.value / 100);
    }

    void connect(Incarnation agent)
    {
        PeerHello hello;
        hello.name = "agent" + std::to_string(agent.value / 100);
        hello.instance = agent;
        hello.protocol = ProtocolVersion;
        dispatcher.onAgentConnected(hello, now, out);
        connected.push_back(agent);
        send(agent, PeerHeartbeat{now, 1, {}});
        WorkerInfo worker;
        worker.id = workerOf(agent);
        worker.upstream = "render";
        worker.capacity = {4000, 64000, 0};
        send(agent, WorkerUpdate{worker, false});
        report(agent, true);
    }

    void disconnect(Incarnation agent)
    {
        std::erase(connected, agent);
        dispatcher.onAgentDisconnected(agent, now, out);
        dispatcher.processPending(now, out);
    }

    void report(Incarnation agent, bool isUsable)
    {
        WorkerLoad load;
        load.workerId = workerOf(agent);
        load.free = {4000, 64000, 0};
        load.isUsable = isUsable;
        load.lastAssignmentNumber = 1000;
        send(agent, load);
    }

    void send(Incarnation agent, const PeerMessage &message)
    {
        dispatcher.onAgentMessage(agent, message, now, out);
        dispatcher.processPending(now, out);
    }

    void step(Duration length)
    {
        for (const TimePoint end = now + length; now < end;) {
            now += 10ms;
            for (const Incarnation agent : connected)
                dispatcher.onAgentMessage(agent, PeerHeartbeat{now, 1, {}}, now, out);
            dispatcher.processPending(now, out);
        }
    }

    void submit(Duration timeout = 3s, std::uint64_t caller = 1)
    {
        BestEffortJob job;
        job.id = "job";
        job.queue = "queue";
        job.needs = {1000, 0, 0};
        job.taskCount = 1;
        job.declaredRunTime = 200ms;
        dispatcher.submit(CallerId{caller}, job, timeout, now, out);
        dispatcher.processPending(now, out);
    }

    std::vector<std::pair<Incarnation, AssignTask>> assignments() const
    {
        std::vector<std::pair<Incarnation, AssignTask>> found;
        for (const SendToAgent &it : effectsOf<SendToAgent>(out))
            if (const auto *assign = std::get_if<AssignTask>(&it.message))
                found.emplace_back(it.agent, *assign);
        return found;
    }

    std::vector<AnswerJob> answers() const { return effectsOf<AnswerJob>(out); }

    // Submits a job; its task goes to some agent and is known to run there.
    Incarnation startJob(bool hasOpenStart, Duration timeout = 3s)
    {
        submit(timeout);
        const auto [agent, assign] = assignments().at(0);
        send(agent, TaskStarted{assign.task, assign.attempt, hasOpenStart});
        return agent;
    }

    OpenStart openAt(Incarnation agent, OpenStartState state = OpenStartState::Open) const
    {
        return {{"job", 0}, 1, workerOf(agent), agent, state, OpenStartTime};
    }

    void crash(Incarnation agent, bool hasOpenStart)
    {
        report(agent, false);
        if (hasOpenStart)
            send(agent, OpenStartReport{{openAt(agent)}});
        send(agent, TaskEnded{{"job", 0}, 1, TaskEnd::Lost, 100ms});
    }

    static constexpr Incarnation otherThan(Incarnation agent)
    {
        return agent == Agent1 ? Agent2 : Agent1;
    }

    static constexpr Incarnation Agent1{100};
    static constexpr Incarnation Agent2{200};
    std::vector<Incarnation> connected;
    TimePoint now = Start;
    JobDispatcher dispatcher;
    DispatcherOutbox out;
};

// Guards against a wait of tasks without an open start.
TEST_F(OpenStartEntry, ATaskWithoutAnOpenStartIsPlacedElsewhereAtOnce)
{
    const Incarnation agent = startJob(false);
    crash(agent, false);
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, otherThan(agent));
}

// Guards against a task that starts elsewhere while its first worker may carry out an open start.
TEST_F(OpenStartEntry, ATaskWithAnOpenStartWaitsForItsWorker)
{
    const Incarnation agent = startJob(true);
    crash(agent, true);
    step(2s);
    EXPECT_EQ(assignments().size(), 1u) << "the other worker has room";
    report(agent, true);
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, agent);
    EXPECT_EQ(assignments()[1].second.attempt, 2u);
    EXPECT_TRUE(answers().empty());
}

// Guards against a caller that waits until its deadline for a task that cannot end by then, and
// against an answer that says that nothing has run.
TEST_F(OpenStartEntry, AJobIsGivenUpOnceItsWorkerWouldBeTooLate)
{
    const TimePoint submitted = now;
    const Incarnation agent = startJob(true);
    crash(agent, true);
    step(2700ms);
    EXPECT_TRUE(answers().empty());
    step(100ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
    EXPECT_EQ(answers()[0].answer.reason, "start_unanswered");
    EXPECT_LE(now - submitted, 3s - 200ms + 10ms);
    EXPECT_EQ(assignments().size(), 1u);
}

// Guards against a task that stays bound when the start cannot be carried out any more.
TEST_F(OpenStartEntry, ATaskStartsAnywhereOnceTheStartIsTooOld)
{
    const Incarnation agent = startJob(true, 30s);
    crash(agent, true);
    step(OpenStartTime - 20ms);
    EXPECT_EQ(assignments().size(), 1u);
    step(100ms);
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, otherThan(agent));
}

// Guards against a task that starts elsewhere after the loss of an agent that may have sent a
// start.
TEST_F(OpenStartEntry, ATaskOfALostAgentMayHaveAnOpenStart)
{
    submit(10s);
    const Incarnation agent = assignments().at(0).first;
    disconnect(agent);
    step(5s);
    EXPECT_EQ(assignments().size(), 1u);
    const Incarnation next{agent.value + 1};
    connect(next);
    send(next, TaskInventory{{}, {}, {}, {workerOf(agent)}});
    bool isTold = false;
    for (const SendToAgent &it : effectsOf<SendToAgent>(out)) {
        isTold |= it.agent == next && std::holds_alternative<OpenStartReport>(it.message);
        if (it.agent == next && std::holds_alternative<AssignTask>(it.message)) {
            EXPECT_TRUE(isTold) << "the agent must bar the open start first";
        }
    }
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, next);
}

// The same, if the task runs and another start of it is open.
TEST_F(OpenStartEntry, ARunningTaskOfALostAgentMayHaveAnOpenStart)
{
    const Incarnation agent = startJob(true, 10s);
    disconnect(agent);
    step(5s);
    EXPECT_EQ(assignments().size(), 1u);
}

// Guards against an open start that is forgotten with a job that is given up while its agent is
// suspended: the caller sends the job again.
TEST_F(OpenStartEntry, AJobThatIsGivenUpBesideASilentAgentLeavesASuspicion)
{
    submit(500ms);
    const Incarnation agent = assignments().at(0).first;
    step(800ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
    EXPECT_EQ(effectsOf<SendToEntries>(out).size(), 1u) << "the job may return to another entry";
    report(agent, false);
    submit(3s, 2);
    step(1s);
    EXPECT_EQ(assignments().size(), 1u);
}

// Guards against a wait of a task all of whose starts are known to be answered.
TEST_F(OpenStartEntry, ATaskOfALostAgentWithoutAnOpenStartIsPlacedElsewhere)
{
    const Incarnation agent = startJob(false, 10s);
    disconnect(agent);
    step(1790ms);
    EXPECT_EQ(assignments().size(), 1u);
    step(30ms);
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, otherThan(agent));
}

// Guards against a task that stays bound although its agent says that it never got it.
TEST_F(OpenStartEntry, AnAgentThatReturnsSettlesTheSuspicion)
{
    submit(10s);
    const Incarnation agent = assignments().at(0).first;
    disconnect(agent);
    step(100ms);
    connect(agent);
    report(agent, false);
    send(agent, TaskInventory{});
    ASSERT_EQ(assignments().size(), 2u);
    EXPECT_EQ(assignments()[1].first, otherThan(agent));
}

// Guards against a job that its caller sends again, through another entry, while a start of the
// lost entry is open; and against an answer that says that the job never ran.
TEST_F(OpenStartEntry, AJobThatReturnsIsBoundByTheStartsOfALostEntry)
{
    dispatcher.onOpenStarts({{openAt(Agent2)}}, now, out);
    report(Agent2, false);
    submit(1500ms);
    step(1s);
    EXPECT_TRUE(assignments().empty());
    step(400ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
    report(Agent2, true);
    submit(1500ms, 2);
    ASSERT_EQ(assignments().size(), 1u);
    EXPECT_EQ(assignments()[0].first, Agent2);
    EXPECT_GT(assignments()[0].second.attempt, 1u);
}

// Guards against reports that entries pass on for ever, and against one that is not passed on.
TEST_F(OpenStartEntry, PassesOnWhatIsNew)
{
    const auto spread = [&] { return effectsOf<SendToEntries>(out).size(); };
    send(Agent1, OpenStartReport{{openAt(Agent1)}});
    EXPECT_EQ(spread(), 1u);
    dispatcher.onOpenStarts({{openAt(Agent1)}}, now, out);
    dispatcher.onOpenStarts({{openAt(Agent1, OpenStartState::Suspected)}}, now, out);
    EXPECT_EQ(spread(), 1u);
    dispatcher.onOpenStarts({{openAt(Agent1, OpenStartState::Answered)}}, now, out);
    EXPECT_EQ(spread(), 2u);
    dispatcher.onOpenStarts({{openAt(Agent1)}}, now, out);
    EXPECT_EQ(spread(), 2u);
    EXPECT_EQ(dispatcher.openStarts(now).starts.size(), 1u) << "for an entry that connects";
}

// Guards against a move of a slow task whose first worker may carry out an open start.
TEST_F(OpenStartEntry, ASlowTaskWithAnOpenStartIsNotMoved)
{
    const Incarnation agent = startJob(true);
    send(agent, OpenStartReport{{openAt(agent)}});
    send(agent, TaskLate{{"job", 0}, 1, 2s});
    for (const SendToAgent &it : effectsOf<SendToAgent>(out))
        EXPECT_FALSE(std::holds_alternative<WithdrawTask>(it.message));
}

} // namespace cactuscove
