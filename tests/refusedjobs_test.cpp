// What an entry tells the callers of jobs whose attempts it got back: refused only if no attempt of
// any task was started, and at once; unknown if one may have been.

#include "dispatcherfixture.h"
#include "effects.h"
#include "jobdispatcher.h"

#include <gtest/gtest.h>

namespace cactuscove {

using namespace std::chrono_literals;

// An entry with one agent and one worker of 4 cores. Tests send it the messages of the agent.
struct RefusedJobs : testing::Test
{
    RefusedJobs()
        : dispatcher({}, Start)
    {
        dispatcher.configure(oneQueue(), out);
        connect();
        step(2s); // beyond the start of the process
        report();
    }

    void connect()
    {
        dispatcher.onAgentConnected(agentHello(), now, out);
        report();
    }

    PeerHello agentHello() const
    {
        PeerHello it;
        it.name = "agent";
        it.instance = agent;
        return it;
    }

    // The agent's clock, its worker and the worker's load.
    void report()
    {
        WorkerInfo worker;
        worker.id = "i-1";
        worker.upstream = "render";
        worker.capacity = {4000, 64000, 0};
        WorkerLoad load;
        load.workerId = worker.id;
        load.free = worker.capacity;
        load.isUsable = true;
        load.lastAssignmentNumber = assignments().size();
        send(PeerHeartbeat{now, 1, {}});
        send(WorkerUpdate{worker, false});
        send(load);
    }

    void send(const PeerMessage &message)
    {
        dispatcher.onAgentMessage(agent, message, now, out);
        dispatcher.processPending(now, out);
    }

    void step(Duration length)
    {
        for (const TimePoint end = now + length; now < end;) {
            now += 10ms;
            dispatcher.onAgentMessage(agent, PeerHeartbeat{now, 1, {}}, now, out);
            dispatcher.processPending(now, out);
        }
    }

    void loseWorker()
    {
        WorkerInfo worker;
        worker.id = "i-1";
        send(WorkerUpdate{worker, true});
    }

    void submit(CallerId caller, std::uint32_t tasks, Duration timeout = 1500ms)
    {
        BestEffortJob job;
        job.id = "job";
        job.queue = "queue";
        job.needs = {1000, 0, 0};
        job.taskCount = tasks;
        job.declaredRunTime = 200ms;
        dispatcher.submit(caller, job, timeout, now, out);
        dispatcher.processPending(now, out);
    }

    std::vector<AssignTask> assignments() const
    {
        std::vector<AssignTask> found;
        for (const SendToAgent &it : effectsOf<SendToAgent>(out))
            if (const auto *assign = std::get_if<AssignTask>(&it.message))
                found.push_back(*assign);
        return found;
    }

    std::vector<AnswerJob> answers() const { return effectsOf<AnswerJob>(out); }

    static constexpr TimePoint Start{std::chrono::hours(1)};
    const Incarnation agent{100};
    TimePoint now = Start;
    JobDispatcher dispatcher;
    DispatcherOutbox out;
};

// Guards against 503 for a job whose only attempt may have run, when nothing is left to run it on.
TEST_F(RefusedJobs, AnAttemptThatMayHaveRunMakesTheAnswerUnknown)
{
    for (const TaskEnd end : {TaskEnd::Lost, TaskEnd::Stopped}) {
        out.clear();
        connect();
        submit(CallerId{1}, 1);
        ASSERT_EQ(assignments().size(), 1u);
        loseWorker();
        send(TaskEnded{{"job", 0}, assignments()[0].attempt, end, 10ms});
        step(1400ms);
        EXPECT_TRUE(answers().empty()) << "the worker may come back in time";
        step(200ms);
        ASSERT_EQ(answers().size(), 1u);
        EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
        step(20s); // the entry has forgotten the job
    }
}

// Guards against callers that wait for their deadline although nothing of their job has started.
TEST_F(RefusedJobs, ARefusedAttemptIsRefusedOnceItCannotBeInTime)
{
    submit(CallerId{1}, 1);
    const TimePoint begin = now;
    loseWorker();
    send(StartRefused{{"job", 0}, assignments()[0].attempt, StartRefusal::NoWorker});
    while (answers().empty() && now < begin + 2s)
        step(10ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Refused);
    EXPECT_GE(answers()[0].answer.retryAfter, 200ms);
    EXPECT_LE(now - begin, 400ms);
}

// Guards against a task that waits although its last attempt has provably ended.
TEST_F(RefusedJobs, AnAttemptThatMayHaveRunIsPlacedAgainAtOnce)
{
    submit(CallerId{1}, 1);
    send(TaskEnded{{"job", 0}, assignments()[0].attempt, TaskEnd::Stopped, 10ms});
    ASSERT_EQ(assignments().size(), 2u);
    const std::uint32_t attempt = assignments()[1].attempt;
    send(TaskStarted{{"job", 0}, attempt});
    send(TaskEnded{{"job", 0}, attempt, TaskEnd::Done, 200ms});
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Completed);
}

// Guards against 503 for a job of which one task may have run, because no other one has.
TEST_F(RefusedJobs, OneTaskThatMayHaveRunIsEnough)
{
    submit(CallerId{1}, 4);
    const auto sent = assignments();
    ASSERT_EQ(sent.size(), 4u);
    loseWorker();
    send(TaskEnded{{"job", 1}, sent[1].attempt, TaskEnd::Lost, 10ms});
    for (const std::uint32_t i : {0u, 2u, 3u})
        send(StartRefused{{"job", i}, sent[i].attempt, StartRefusal::NoWorker});
    step(1600ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
}

// Guards against another answer for a second caller of the job, who came after the attempt.
TEST_F(RefusedJobs, ASecondCallerGetsTheSameAnswer)
{
    submit(CallerId{1}, 1);
    loseWorker();
    send(TaskEnded{{"job", 0}, assignments()[0].attempt, TaskEnd::Lost, 10ms});
    dispatcher.callerDisconnected(CallerId{7}, now, out); // unknown
    submit(CallerId{2}, 1);
    dispatcher.callerDisconnected(CallerId{1}, now, out);
    step(1600ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].caller, CallerId{2});
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
}

// Guards against 503 if the message about an attempt that may have run is lost with the connection:
// the agent lists its end on the next one.
TEST_F(RefusedJobs, AnEndThatIsOnlyListedCounts)
{
    submit(CallerId{1}, 1);
    dispatcher.onAgentDisconnected(agent, now, out);
    now += 100ms;
    connect();
    loseWorker();
    TaskInventory inventory;
    inventory.ended.push_back({{"job", 0}, assignments()[0].attempt, TaskEnd::Stopped, 10ms});
    send(inventory);
    step(1600ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
}

// Guards against a job that waits for its deadline although its assignment was lost on the way.
TEST_F(RefusedJobs, AnAssignmentThatNeverArrivedIsRefused)
{
    submit(CallerId{1}, 1);
    const TimePoint begin = now;
    dispatcher.onAgentDisconnected(agent, now, out);
    now += 50ms;
    connect();
    loseWorker();
    send(TaskInventory{});
    while (answers().empty() && now < begin + 2s)
        step(10ms);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Refused);
    EXPECT_LE(now - begin, 400ms);
}

// Guards against 503 for a task that has run while the entry was suspended: its agent has stopped
// the run meanwhile, and lists its end no more.
TEST_F(RefusedJobs, AnEndThatTheAgentHasForgottenIsNoRefusal)
{
    submit(CallerId{1}, 1, 15s);
    now += 5s;
    dispatcher.onAgentDisconnected(agent, now, out);
    connect();
    loseWorker();
    send(TaskInventory{});
    step(15s);
    ASSERT_EQ(answers().size(), 1u);
    EXPECT_EQ(answers()[0].answer.outcome, JobOutcome::Unknown);
}

} // namespace cactuscove
