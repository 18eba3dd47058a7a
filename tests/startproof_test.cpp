// When a task runner tells an entry that an attempt was not started and never will be, which lets
// the entry answer the job as refused. An attempt that may have run, or may still run, is reported
// as ended instead.

#include "runnerfixture.h"

namespace cactuscove {

using namespace runnertest;

struct StartProof : RunnerFixture
{
    std::vector<StartRefusal> reasons() const
    {
        std::vector<StartRefusal> found;
        for (const StartRefused &it : sent<StartRefused>())
            found.push_back(it.reason);
        return found;
    }

    // Advances until the next poll is sent. An idle worker is polled every 0.4 s.
    void waitForPoll()
    {
        const std::size_t polls = effectsOf<PollRuns>(out).size();
        for (int i = 0; i < 500 && effectsOf<PollRuns>(out).size() == polls; ++i)
            advance(1ms);
    }

    // The newest stop is acknowledged, and a list that is asked for after it lacks the run.
    void barAt(std::int64_t startedAtUnixMs, WorkerClock clock)
    {
        answerStop(clock);
        waitForPoll();
        answerPoll(newestPoll(), startedAtUnixMs, WorkerClock{clock.value + 100}, {});
    }

    // Advances until the unanswered start has been sent `n` times, or is being stopped.
    void repeatStart(std::size_t n)
    {
        for (int i = 0; i < 200 && starts() < n; ++i)
            advance(1ms);
        ASSERT_EQ(starts(), n);
    }

    void expectMayHaveStarted(TaskEnd end)
    {
        EXPECT_TRUE(reasons().empty());
        ASSERT_EQ(ends().size(), 1u);
        EXPECT_EQ(ends()[0].end, end);
        EXPECT_EQ(freeRoom().cpuMillis, 4000);
    }
};

// Guards against a job that is refused although its task has started: the worker's process began
// the task and ended before it answered, and only the next process says that it does not know it.
TEST_F(StartProof, ANextProcessProvesNothingOfTheOneBefore)
{
    assign(0);
    advance(1ms);
    heartbeat(NextProcess, 1);
    answerPoll(newestPoll(), NextProcess, nextClock(20ms), {});
    advance(60ms);
    barAt(NextProcess, nextClock(81ms));
    expectMayHaveStarted(TaskEnd::Lost);
}

// The same, if a reply to a repeated start shows the next process, which refuses it.
TEST_F(StartProof, ARefusedRepeatProvesNothingOfTheFirstStart)
{
    assign(0);
    const StartRun first = newestStart();
    repeatStart(2);
    answerStart(newestStart(), StartAnswer::Late, nextClock(20ms));
    answerStart(first, StartAnswer::NoAnswer, std::nullopt);
    barAt(NextProcess, nextClock(30ms));
    advance(1ms);
    if (ends().empty())
        barAt(NextProcess, nextClock(200ms));
    expectMayHaveStarted(TaskEnd::Lost);
}

// Guards against a job that is refused and runs afterwards: a start without an answer may be
// carried out seconds later, by a next process of the worker that has not seen the stop.
TEST_F(StartProof, AStopDoesNotUndoAStartWithoutAnAnswer)
{
    assign(0);
    repeatStart(4);
    advance(48ms);
    ASSERT_EQ(effectsOf<StopRun>(out).size(), 1u);
    barAt(FirstProcess, firstClock());
    expectMayHaveStarted(TaskEnd::Stopped);
}

// Guards against a refusal after an answer that an earlier start of the attempt was carried out.
TEST_F(StartProof, AnOldAttemptMayBeAnEarlierStart)
{
    assign(0);
    repeatStart(2);
    answerStart(newestStart(), StartAnswer::OldAttempt, firstClock());
    waitForPoll();
    answerPoll({});
    expectMayHaveStarted(TaskEnd::Stopped);
}

// Guards against a refusal because a lease has passed: the worker was silent, and may have run the
// task all the while.
TEST_F(StartProof, AnExpiredLeaseProvesNoRefusal)
{
    assign(0);
    advanceUntilEnd(3s, [] {});
    expectMayHaveStarted(TaskEnd::Lost);
}

// Guards against a refusal of an attempt whose start is known to have been accepted late.
TEST_F(StartProof, ALateAcceptedStartHasRun)
{
    assign(0);
    const StartRun first = newestStart();
    repeatStart(4);
    advance(48ms);
    answerStart(first, StartAnswer::Accepted, firstClock());
    barAt(FirstProcess, firstClock());
    expectMayHaveStarted(TaskEnd::Lost);
}

// The same, if the answer has waited in the socket while the agent was suspended.
TEST_F(StartProof, AnAcceptedStartIsNotRefusedAfterASuspension)
{
    advance(400ms);
    assign(0);
    const StartRun start = newestStart();
    waitForPoll(); // the poll before has had no answer, so a lease may run out
    now += 3s;
    answerStart(start, StartAnswer::Accepted, firstClock());
    EXPECT_TRUE(reasons().empty());
}

// Guards against jobs that wait for the end of a start that the worker has refused.
TEST_F(StartProof, ARefusedStartIsReportedAtOnce)
{
    const std::pair<StartAnswer, StartRefusal> cases[] = {
        {StartAnswer::NoCapacity, StartRefusal::Unhealthy},
        {StartAnswer::Unhealthy, StartRefusal::Unhealthy},
        {StartAnswer::Invalid, StartRefusal::Unhealthy},
        {StartAnswer::Late, StartRefusal::Expired},
        {StartAnswer::OldAttempt, StartRefusal::OldAttempt},
        {StartAnswer::NotSent, StartRefusal::Unhealthy},
        {StartAnswer::Refused, StartRefusal::Unhealthy},
    };
    std::uint32_t index = 0;
    for (const auto &[answer, reason] : cases) {
        out.clear();
        waitForPoll();
        answerPoll({});
        assign(index++);
        ASSERT_EQ(starts(), 1u);
        answerStart(newestStart(), answer, std::nullopt);
        EXPECT_EQ(reasons(), std::vector{reason}) << static_cast<int>(answer);
        EXPECT_TRUE(ends().empty());
    }
}

// Guards against an added wait where the proof is at hand: every start of the attempt was sent
// twice, and both were refused.
TEST_F(StartProof, StartsThatWereAllRefusedNeedNoStop)
{
    assign(0);
    const StartRun first = newestStart();
    repeatStart(2);
    answerStart(newestStart(), StartAnswer::Late, firstClock());
    EXPECT_TRUE(reasons().empty()) << "the first start may have been carried out";
    answerStart(first, StartAnswer::Late, firstClock());
    EXPECT_EQ(reasons().size(), 1u);
    EXPECT_TRUE(ends().empty());
    EXPECT_EQ(freeRoom().cpuMillis, 4000);
}

// Guards against a job that is answered as unknown although its only start was sent to a worker
// that was gone: another worker has refused it, as the call did not name it.
TEST_F(StartProof, AStartThatNamesAnotherWorkerIsRefused)
{
    assign(0);
    answerStart(newestStart(), StartAnswer::OtherProcess, nextClock(20ms));
    EXPECT_EQ(reasons(), std::vector{StartRefusal::NoWorker});
    EXPECT_TRUE(ends().empty());
}

// Guards against a refusal because another worker has replaced the one that may have run the task.
TEST_F(StartProof, ARunOfAReplacedWorkerIsNotRefused)
{
    assign(0);
    repeatStart(2);
    answerStart(newestStart(), StartAnswer::OtherProcess, nextClock(20ms));
    EXPECT_TRUE(reasons().empty());
    ASSERT_EQ(ends().size(), 1u);
    EXPECT_EQ(ends()[0].end, TaskEnd::Lost);
}

// Guards against a reply about an earlier assignment that is counted for a later one, of another
// submission of the job. Another start with the same number of attempt is not sent: the open one
// could be taken for it.
TEST_F(StartProof, RepliesAboutAnEarlierAssignmentProveNothing)
{
    assign(0);
    const StartRun first = newestStart();
    WithdrawTask request{{"job", 0}, 1};
    runner.onWithdraw(entry, request, now, out);
    barAt(FirstProcess, firstClock());
    ASSERT_EQ(ends().size() + refusals(), 1u);
    out.clear();
    assign(0);
    EXPECT_EQ(starts(), 0u);
    EXPECT_EQ(reasons(), std::vector{StartRefusal::OldAttempt});
    out.clear();
    assign(0, 1000, 2);
    const StartRun second = newestStart();
    answerStart(first, StartAnswer::Late, firstClock());
    EXPECT_EQ(ends().size() + refusals(), 0u);
    answerStart(second, StartAnswer::Late, firstClock());
    EXPECT_EQ(refusals(), 1u);
}

} // namespace cactuscove
