// A task runner with one entry and one worker in virtual time. Tests answer its calls to the
// worker.

#pragma once

#include "effects.h"
#include "taskrunner.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

namespace cactuscove::runnertest {

using namespace std::chrono_literals;

inline constexpr TimePoint Start{std::chrono::hours(1)};
inline constexpr std::int64_t FirstProcess = 1'700'000'000'000; // Unix ms of its start
inline constexpr std::int64_t NextProcess = FirstProcess + 60'000;
inline constexpr Duration FirstProcessAge = 50s; // at Start

// An agent with one entry and one worker, whose first process has listed its runs.
struct RunnerFixture : testing::Test
{
    RunnerFixture()
        : runner(settings(), Start - 1s)
    {
        runner.onEntryHello(entry, "entry", now, out);
        heartbeat(FirstProcess, 1);
        answerPoll({});
        answerPoll({});
    }

    static TaskRunnerSettings settings()
    {
        TaskRunnerSettings it;
        it.ip = "10.0.0.1";
        return it;
    }

    void advance(Duration length)
    {
        now += length;
        runner.onEntryActivity(entry, now, out);
        runner.processPending(now, out);
    }

    // Advances the time in steps of 1 ms, as long as no run has been reported as ended.
    void advanceUntilEnd(Duration length, const std::function<void()> &step)
    {
        for (const TimePoint end = now + length; now < end && ends().empty() && refusals() == 0;) {
            advance(1ms);
            step();
        }
    }

    WorkerInfo info(std::int64_t startedAtUnixMs, std::uint64_t sequence) const
    {
        WorkerInfo it;
        it.id = "i-1";
        it.upstream = "render";
        it.address = "10.0.0.1:80";
        it.capacity = {4000, 64000, 0};
        it.startedAtUnixMs = startedAtUnixMs;
        it.sequence = sequence;
        return it;
    }

    void heartbeat(std::int64_t startedAtUnixMs, std::uint64_t sequence, bool isDraining = false)
    {
        WorkerInfo it = info(startedAtUnixMs, sequence);
        it.isDraining = isDraining;
        const bool isFirst = startedAtUnixMs == FirstProcess;
        runner.onWorkerInfo(it, isFirst ? firstClock() : nextClock(2ms), now, out);
        runner.processPending(now, out);
    }

    void leave()
    {
        runner.onWorkerLeft("i-1", now, out);
        runner.processPending(now, out);
    }

    void assign(std::uint32_t index, std::int64_t cpuMillis = 1000, std::uint32_t attempt = 1)
    {
        AssignTask task;
        task.task = {"job", index};
        task.attempt = attempt;
        task.workerId = "i-1";
        task.needs = {cpuMillis, 0, 0};
        task.expectedRun = 100ms;
        task.startDeadline = task.endDeadline = task.objectiveTime = now + 20s;
        runner.onAssign(entry, task, now, out);
        runner.processPending(now, out);
    }

    // Clock of the first process now, and of a next one that has been up for `age`.
    WorkerClock firstClock() const { return WorkerClock{(FirstProcessAge + (now - Start)) / 1ms}; }
    static WorkerClock nextClock(Duration age) { return WorkerClock{age / 1ms}; }

    StartRun newestStart() const { return effectsOf<StartRun>(out).back(); }
    PollRuns newestPoll() const { return effectsOf<PollRuns>(out).back(); }
    std::size_t starts() const { return effectsOf<StartRun>(out).size(); }

    void answerStart(const StartRun &start, StartAnswer answer, std::optional<WorkerClock> clock)
    {
        runner.onStartReply(start.call, {answer, clock}, now, out);
        runner.processPending(now, out);
    }

    void answerStop(WorkerClock clock)
    {
        const auto stops = effectsOf<StopRun>(out);
        ASSERT_FALSE(stops.empty());
        runner.onStopReply(stops.back().call, {CallAnswer::Ok, clock}, now, out);
        runner.processPending(now, out);
    }

    // A reply of the first process, in which these tasks are active.
    void answerPoll(std::vector<std::uint32_t> active)
    {
        answerPoll(newestPoll(), FirstProcess, firstClock(), std::move(active));
    }

    void answerPoll(const PollRuns &poll, std::int64_t startedAtUnixMs, WorkerClock clock,
                    std::vector<std::uint32_t> active, std::vector<EndedRun> ended = {})
    {
        PollReply reply;
        reply.answer = CallAnswer::Ok;
        reply.startedAtUnixMs = startedAtUnixMs;
        reply.clock = clock;
        for (const std::uint32_t index : active)
            reply.active.push_back({{"job", index}, 1, 10});
        reply.ended = std::move(ended);
        runner.onPollReply(poll.call, reply, now, out);
        runner.processPending(now, out);
    }

    void failPoll(CallAnswer answer)
    {
        PollReply reply;
        reply.answer = answer;
        runner.onPollReply(newestPoll().call, reply, now, out);
        runner.processPending(now, out);
    }

    // End of the longest lease that a poll has asked for, on a clock that runs at the usual speed.
    TimePoint leaseEnd() const
    {
        TimePoint end = now;
        for (const PollRuns &it : effectsOf<PollRuns>(out))
            if (it.leaseUntil)
                end = std::max(end,
                               TimePoint(Start + (it.leaseUntil->value * 1ms - FirstProcessAge)));
        return end;
    }

    // The first process runs task 0 and answers polls for `length`.
    void answerPollsFor(Duration length)
    {
        for (const TimePoint end = now + length; now < end;) {
            advance(10ms);
            answerPoll({0});
        }
    }

    // Polls fail until the end of the lease, or until a run has been reported as ended.
    void failPollsUntilLeaseEnd(CallAnswer answer)
    {
        advanceUntilEnd(leaseEnd() - now, [&] { failPoll(answer); });
    }

    // A run of the first process that it has accepted and listed.
    void runOnFirstProcess(std::uint32_t index)
    {
        assign(index);
        answerStart(newestStart(), StartAnswer::Accepted, firstClock());
        advance(2ms);
        answerPoll({index});
        answerPoll({index});
        out.clear();
        advance(31ms + 16ms);
    }

    template <typename T>
    std::vector<T> sent() const
    {
        std::vector<T> found;
        for (const SendToEntry &it : effectsOf<SendToEntry>(out))
            if (const auto *message = std::get_if<T>(&it.message))
                found.push_back(*message);
        return found;
    }

    std::vector<TaskEnded> ends() const { return sent<TaskEnded>(); }
    std::size_t refusals() const { return sent<StartRefused>().size(); }
    std::size_t crashedRuns() const
    {
        std::size_t n = 0;
        for (const CrashReport &it : sent<CrashReport>())
            n += it.runs.size();
        return n;
    }
    std::size_t confirmedCrashes() const
    {
        const auto reports = sent<CrashReport>();
        return std::count_if(reports.begin(), reports.end(), [](const CrashReport &it) {
            return it.state == CrashState::Confirmed;
        });
    }
    Resources freeRoom() const { return runner.loads(now).at(0).free; }

    const Incarnation entry{7};
    TimePoint now = Start;
    TaskRunner runner;
    RunnerOutbox out;
};

} // namespace cactuscove::runnertest
