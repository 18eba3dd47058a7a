// Open starts at the agent: which it reports and when, and what it starts while others are open.

#include "openstarts.h"

#include "runnerfixture.h"

namespace cactuscove {

using namespace runnertest;

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

} // namespace cactuscove
