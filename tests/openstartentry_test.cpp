// Open starts at the entry: where it places a task while a start of it is open, and what its caller
// is told.

#include "openstarts.h"

#include "dispatcherfixture.h"
#include "jobdispatcher.h"
#include "runnerfixture.h"

#include <algorithm>

namespace cactuscove {

using namespace runnertest;

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
