// When a task runner reports the runs of a worker as ended: restarts under the same id, planned
// leaves, refused calls, expired leases. A run that is reported too early starts elsewhere while it
// still runs.

#include "runnerfixture.h"

namespace cactuscove {

using namespace runnertest;

struct RunEnds : RunnerFixture
{};

// Guards against a task that starts elsewhere while the worker's next process, which accepted its
// start before its first heartbeat, runs it.
TEST_F(RunEnds, ARunOfTheNextProcessOutlivesItsFirstHeartbeat)
{
    assign(0);
    const StartRun start = newestStart();
    advance(2ms);
    answerStart(start, StartAnswer::Accepted, nextClock(18ms));
    advance(2ms);
    heartbeat(NextProcess, 1);
    EXPECT_TRUE(ends().empty());
    answerPoll(newestPoll(), NextProcess, nextClock(21ms), {0});
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(sent<TaskStarted>().size(), 1u);
    EXPECT_TRUE(effectsOf<StopRun>(out).empty());
    advance(20ms);
    answerPoll(newestPoll(), NextProcess, nextClock(41ms), {}, {{1, {"job", 0}, 1, TaskEnd::Done}});
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Done);
    EXPECT_EQ(crashedRuns(), 0u);
}

// The same, if the heartbeat arrives before the reply to the start.
TEST_F(RunEnds, AStartThatWasUnderWayAtARestartRunsOn)
{
    assign(0);
    const StartRun start = newestStart();
    advance(1ms);
    heartbeat(NextProcess, 1);
    EXPECT_TRUE(ends().empty());
    answerStart(start, StartAnswer::Accepted, nextClock(18ms));
    advance(1ms);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {0});
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(refusals(), 0u);
    EXPECT_TRUE(runner.orphanFreeWorkers().size() == 1u);
}

// Guards against a task that starts elsewhere because a list of the next process arrives before its
// heartbeat.
TEST_F(RunEnds, AListOfTheNextProcessEndsNoRunThatItNames)
{
    assign(0);
    answerStart(newestStart(), StartAnswer::Accepted, nextClock(18ms));
    advance(1ms);
    answerPoll(newestPoll(), NextProcess, nextClock(19ms), {0});
    EXPECT_TRUE(ends().empty());
    advance(1ms);
    heartbeat(NextProcess, 1);
    EXPECT_TRUE(ends().empty());
}

// Guards against tasks of a crashed worker that wait although its next process proves their end.
TEST_F(RunEnds, ARestartEndsTheRunsOfTheProcessBeforeAtOnce)
{
    runOnFirstProcess(0);
    heartbeat(NextProcess, 1);
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Lost);
    EXPECT_EQ(crashedRuns(), 1u);
}

// Guards against a late start that the next process carries out while the task runs elsewhere, and
// against a room that counts as free meanwhile.
TEST_F(RunEnds, AnUnansweredStartIsStoppedAtTheNextProcess)
{
    assign(0);
    advance(1ms);
    heartbeat(NextProcess, 1);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    advance(60ms);
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(refusals(), 0u);
    EXPECT_EQ(starts(), 1u) << "a start that may have crashed the worker is not sent again";
    EXPECT_EQ(freeRoom().cpuMillis, 3000);
    answerStop(nextClock(81ms));
    advance(1ms);
    answerPoll(newestPoll(), NextProcess, nextClock(82ms), {});
    EXPECT_EQ(ends().size() + refusals(), 0u) << "the list was asked for before the stop";
    advance(50ms);
    answerPoll(newestPoll(), NextProcess, nextClock(132ms), {});
    EXPECT_EQ(ends().size() + refusals(), 1u);
    EXPECT_EQ(freeRoom().cpuMillis, 4000);
}

// Guards against starts with a deadline by the clock of a process that is gone, which bounds
// nothing at the next one, and against its late replies that set the clock back.
TEST_F(RunEnds, LateRepliesOfAnEarlierProcessDoNotSetTheClock)
{
    assign(0);
    const StartRun start = newestStart();
    advance(1ms);
    heartbeat(NextProcess, 1);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    answerStart(start, StartAnswer::Accepted, firstClock());
    advance(60ms);
    answerPoll(newestPoll(), NextProcess, nextClock(80ms), {});
    answerPoll(newestPoll(), NextProcess, nextClock(80ms), {});
    assign(1);
    EXPECT_LT(newestStart().deadline, nextClock(80ms + 500ms));
}

// Guards against a list of the process before that is taken as one of the present process.
TEST_F(RunEnds, LateListsOfAnEarlierProcessAreIgnored)
{
    const PollRuns early = newestPoll();
    heartbeat(NextProcess, 1);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    assign(0);
    answerStart(newestStart(), StartAnswer::Accepted, nextClock(20ms));
    answerPoll(early, FirstProcess, firstClock(), {});
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(runner.workers().size(), 1u);
}

// Guards against a task that starts elsewhere while a worker that has said that it leaves, and has
// closed its listener and its connections, still runs it; and against a wait that is longer than
// its lease.
TEST_F(RunEnds, TheRunsOfALeavingWorkerThatRefusesCallsKeepTheirLease)
{
    advance(1200ms); // the leases of an earlier process of the agent have ended
    answerPoll({});
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    answerPoll({0});
    const TimePoint latestEnd = leaseEnd();
    leave();
    EXPECT_TRUE(ends().empty());
    EXPECT_TRUE(sent<WorkerUpdate>().back().isGone);
    failPoll(CallAnswer::NoAnswer);
    advanceUntilEnd(2s, [this] { failPoll(CallAnswer::Refused); });
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Lost);
    EXPECT_GT(now, latestEnd);
    EXPECT_LE(now, latestEnd + 100ms);
    EXPECT_TRUE(runner.workers().empty());
    EXPECT_EQ(crashedRuns(), 0u);
}

// The same before it says that it leaves, as its agent knows that it drains.
TEST_F(RunEnds, TheRunsOfADrainingWorkerThatRefusesCallsKeepTheirLease)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    answerPoll({0});
    failPollsUntilLeaseEnd(CallAnswer::Refused);
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(crashedRuns(), 0u);
}

// Guards against tasks of a leaving worker that wait for as long as those of any other worker: from
// its announcement on it holds short leases, and each is renewed only if it answers.
TEST_F(RunEnds, TheTasksOfALeavingWorkerWaitForAShortLease)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    answerPollsFor(1s);
    failPoll(CallAnswer::NoAnswer); // it closes its connections, and later its listener
    const TimePoint closed = now;
    for (int i = 0; i < 10; ++i) {
        advance(3ms);
        failPoll(CallAnswer::NoAnswer);
    }
    advanceUntilEnd(2s, [this] { failPoll(CallAnswer::Refused); });
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_LE(now - closed, 250ms * 1.02 + 60ms + 15ms);
}

// Guards against runs of a draining worker whose lease ends because a single poll was lost.
TEST_F(RunEnds, ADrainingWorkerKeepsItsRunsAfterALostPoll)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    for (int i = 0; i < 100; ++i) {
        advance(10ms);
        if (i % 10 == 0)
            failPoll(CallAnswer::NoAnswer);
        else
            answerPoll({0});
        ASSERT_TRUE(ends().empty());
    }
    answerPoll({0});
    EXPECT_GT(leaseEnd(), now + 200ms);
}

// Guards against tasks of a crashed worker that wait for a lease although refused calls prove its
// end: what ends as planned says so first.
TEST_F(RunEnds, ARefusedCallEndsTheRunsOfAWorkerThatHasCrashed)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2);
    answerPoll({0});
    advance(1500ms); // a heartbeat is due
    heartbeat(FirstProcess, 3);
    answerPoll({0});
    const TimePoint ended = now;
    failPoll(CallAnswer::NoAnswer);
    advanceUntilEnd(1s, [this] { failPoll(CallAnswer::Refused); });
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_LE(now - ended, 50ms);
    EXPECT_EQ(crashedRuns(), 1u);
}

// Guards against a planned end that is taken for a crash because its announcement was missed: the
// newest heartbeat is too old to exclude it.
TEST_F(RunEnds, AnOldHeartbeatDoesNotExcludeAPlannedEnd)
{
    runOnFirstProcess(0);
    answerPollsFor(2200ms); // no heartbeat meanwhile
    failPollsUntilLeaseEnd(CallAnswer::Refused);
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(confirmedCrashes(), 0u);
}

// The same after a suspension of the agent, in which the announcement waits in the socket.
TEST_F(RunEnds, AHeartbeatFromBeforeASuspensionDoesNotExcludeAPlannedEnd)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2);
    answerPoll({0});
    const TimePoint latestEnd = leaseEnd();
    now += 400ms;
    advance(1ms);
    advanceUntilEnd(latestEnd - now, [this] { failPoll(CallAnswer::Refused); });
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(confirmedCrashes(), 0u);
}

// Guards against a late heartbeat, sent before the worker drained, as the proof that it does not.
TEST_F(RunEnds, ALateHeartbeatDoesNotExcludeAPlannedEnd)
{
    runOnFirstProcess(0);
    const WorkerClock sentAt = firstClock();
    answerPollsFor(2200ms);
    runner.onWorkerInfo(info(FirstProcess, 2), sentAt, now, out);
    failPollsUntilLeaseEnd(CallAnswer::Refused);
    EXPECT_TRUE(ends().empty());
}

// Guards against an announcement that is ignored because a newer heartbeat has overtaken it.
TEST_F(RunEnds, AnOvertakenAnnouncementCounts)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 9);
    heartbeat(FirstProcess, 8, true);
    answerPoll({0});
    failPollsUntilLeaseEnd(CallAnswer::Refused);
    EXPECT_TRUE(ends().empty());
}

// Guards against a task that starts elsewhere while a worker that has left still runs it, and
// another worker has its address.
TEST_F(RunEnds, AnotherWorkerAtTheAddressDoesNotEndTheRunsOfOneThatLeaves)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    answerPoll({0});
    const TimePoint latestEnd = leaseEnd();
    leave();
    advanceUntilEnd(latestEnd - now, [this] { failPoll(CallAnswer::OtherProcess); });
    EXPECT_TRUE(ends().empty());
    advanceUntilEnd(700ms, [this] { failPoll(CallAnswer::OtherProcess); });
    EXPECT_EQ(ends().size(), 1u);
    EXPECT_EQ(crashedRuns(), 0u);
}

// Guards against tasks of a crashed worker that wait although another worker has its address.
TEST_F(RunEnds, AnotherWorkerAtTheAddressEndsTheRunsOfOneThatHasCrashed)
{
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2);
    answerPoll({0});
    failPoll(CallAnswer::OtherProcess);
    EXPECT_EQ(ends().size(), 1u);
    EXPECT_EQ(crashedRuns(), 1u);
}

// Guards against a task that starts elsewhere because its worker's next process has begun, or has
// listed its runs, while the process that drains still runs it.
TEST_F(RunEnds, TheNextProcessDoesNotEndTheRunsOfOneThatDrains)
{
    advance(1200ms); // the leases of an earlier process of the agent have ended
    answerPoll({});
    runOnFirstProcess(0);
    heartbeat(FirstProcess, 2, true);
    answerPoll({0});
    const TimePoint latestEnd = leaseEnd();
    heartbeat(NextProcess, 1);
    while (now < latestEnd - 1ms) {
        advance(1ms);
        answerPoll(newestPoll(), NextProcess, nextClock(now - Start), {});
        ASSERT_TRUE(ends().empty()) << (latestEnd - now) / 1ms << " ms before the end of the lease";
        ASSERT_TRUE(runner.orphanFreeWorkers().empty());
    }
    advance(100ms); // a lease may end 2 % later, and a margin counts on top
    answerPoll(newestPoll(), NextProcess, nextClock(now - Start), {});
    EXPECT_EQ(ends().size(), 1u);
    EXPECT_EQ(crashedRuns(), 0u);
    EXPECT_EQ(runner.orphanFreeWorkers().size(), 1u);
}

// Guards against runs of an earlier process of the agent that count as ended while the worker that
// runs them shuts down.
TEST_F(RunEnds, OrphansOfALeavingWorkerThatRefusesCallsKeepTheirLease)
{
    answerPoll(newestPoll(), FirstProcess, firstClock(), {5});
    heartbeat(FirstProcess, 2, true);
    while (now < Start + 900ms) {
        advance(10ms);
        failPoll(CallAnswer::Refused);
        ASSERT_TRUE(runner.orphanFreeWorkers().empty()) << (now - Start) / 1ms;
    }
}

// Guards against a run that is reported as lost although a leaving worker still finishes it.
TEST_F(RunEnds, ARunThatALeavingWorkerFinishesIsDone)
{
    runOnFirstProcess(0);
    leave();
    advance(5ms);
    answerPoll(newestPoll(), FirstProcess, firstClock(), {}, {{1, {"job", 0}, 1, TaskEnd::Done}});
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Done);
    EXPECT_TRUE(runner.workers().empty());
}

// Guards against tasks that are queued at a worker that has said that it leaves.
TEST_F(RunEnds, ALeavingWorkerStartsNothing)
{
    runOnFirstProcess(0);
    assign(1, 4000);
    leave();
    EXPECT_EQ(refusals(), 1u);
    assign(2);
    EXPECT_EQ(refusals(), 2u);
    EXPECT_EQ(starts(), 0u);
}

// Guards against a late DELETE of the process before that ends the runs of the present one.
TEST_F(RunEnds, ALateDeleteDoesNotEndTheRunsOfTheNextProcess)
{
    heartbeat(NextProcess, 1);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    assign(0);
    answerStart(newestStart(), StartAnswer::Accepted, nextClock(20ms));
    leave();
    advance(10ms);
    answerPoll(newestPoll(), NextProcess, nextClock(30ms), {0});
    heartbeat(NextProcess, 2);
    EXPECT_TRUE(ends().empty());
    EXPECT_FALSE(sent<WorkerUpdate>().back().isGone);
    advance(40ms);
    answerPoll(newestPoll(), NextProcess, nextClock(70ms), {}, {{1, {"job", 0}, 1, TaskEnd::Done}});
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Done);
}

// Guards against a worker that never says that it leaves, or never ends after it.
TEST_F(RunEnds, ALeavingWorkerThatGoesSilentEndsWithItsLease)
{
    advance(1200ms); // the leases of an earlier process of the agent have ended
    answerPoll({});
    runOnFirstProcess(0);
    const TimePoint left = now;
    leave();
    advanceUntilEnd(2s, [] {});
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_GE(now - left, 500ms);
    EXPECT_LE(now - left, 900ms);
}

// Guards against a refusal from before the restart that ends the runs of the next process.
TEST_F(RunEnds, ARefusedCallEndsNothingThatAnsweredAfterIt)
{
    assign(0);
    const StartRun start = newestStart();
    const PollRuns early = newestPoll();
    failPoll(CallAnswer::Refused);
    advance(16ms);
    answerStart(start, StartAnswer::Accepted, nextClock(2ms));
    PollReply refused;
    refused.answer = CallAnswer::Refused;
    runner.onPollReply(early.call, refused, now, out);
    advance(1ms);
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(crashedRuns(), 0u);
}

// Guards against the lease of the process before as the bound of a start that a silent next process
// may have accepted: that one grants up to its own longest lease.
TEST_F(RunEnds, AnUnansweredStartMayHoldTheLongestLease)
{
    assign(0);
    advanceUntilEnd(3s, [] {});
    ASSERT_EQ(ends().size() + refusals(), 1u);
    EXPECT_GE(now - Start, 1000ms);
    EXPECT_LE(now - Start, 1600ms);
}

// Guards against several reports of one silence, each with a single run that then seems to be its
// cause.
TEST_F(RunEnds, OneSilenceIsReportedOnce)
{
    advance(1200ms); // the leases of an earlier process of the agent have ended
    answerPoll({});
    runOnFirstProcess(0);
    answerPoll({0});
    assign(1);
    for (const TimePoint end = now + 3s; now < end;)
        advance(1ms);
    EXPECT_EQ(ends().size() + refusals(), 2u);
    EXPECT_EQ(sent<CrashReport>().size(), 1u);
}

// Guards against runs of an earlier process of the agent that count as ended once their silent
// worker has not answered for a moment.
TEST_F(RunEnds, OrphansOfASilentWorkerKeepTheirLease)
{
    answerPoll(newestPoll(), FirstProcess, firstClock(), {5});
    ASSERT_TRUE(runner.orphanFreeWorkers().empty());
    while (now < Start + 900ms) {
        advance(10ms);
        EXPECT_TRUE(runner.orphanFreeWorkers().empty()) << (now - Start) / 1ms;
    }
    advance(400ms);
    EXPECT_FALSE(runner.orphanFreeWorkers().empty());
}

// Guards against ends that are reported by the clock of before a suspension: a DELETE that waited
// in the socket is handled after what has expired meanwhile.
TEST_F(RunEnds, ADeleteAfterASuspensionFindsExpiredLeasesEnded)
{
    runOnFirstProcess(0);
    now += 3s;
    leave();
    advance(1ms);
    EXPECT_EQ(ends().size(), 1u);
}

} // namespace cactuscove
