// What a home tells the callers of jobs whose tasks were sent to more than one executor.

#include "jobhome.h"

#include <gtest/gtest.h>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A home and two executors of an upstream with 8 slots each. Tests answer for the executors.
struct JobHomeTest : testing::Test
{
    JobHomeTest()
        : shards(Home, ledger)
        , admission(1)
        , placement("d1", 2)
        , home(Home, {ledger, shards, admission, placement, health}, 3)
    {
        shards.setJobs(&home);
        apply(RegisterRecord{{Entry, Role::Entry, "127.0.0.1:1", "d1", "r1", "o1"}});
        for (const Incarnation it : {Home, First, Second})
            apply(RegisterRecord{{it, Role::Agent, "127.0.0.1:2", "d1", "r1", "o1"}});
        ClaimRecord claim{Home, {}, false};
        for (std::uint16_t n = 0; n < ShardCount; ++n)
            claim.claims.push_back({ShardId{n}, Epoch{1}});
        apply(claim);
        shards.setLogContact(now, now);
        LoadReport none;
        none.agent = Home;
        home.onLoad(none, now);
        report();
    }

    void apply(RecordBody body)
    {
        const LogOffset offset = ledger.next();
        const LedgerChanges changes
            = ledger.apply({offset, {std::to_string(offset.value), std::move(body)}});
        Outbox out;
        shards.onLedgerChange(changes, now, out);
        home.onLedgerChange(changes, now, out);
    }

    void report()
    {
        for (const Incarnation it : {First, Second}) {
            LoadReport load;
            load.agent = it;
            load.upstream = "render";
            load.slots = load.freeSlots = 8;
            load.draining = isDraining;
            home.onLoad(load, now);
        }
    }

    void receive(Incarnation from, const Message &message)
    {
        Outbox out;
        home.onMessage(from, message, now, out);
        home.decideWaitingJobs(now, out);
        home.placeQueuedTasks(now, out);
        collect(out);
    }

    void step(Duration length)
    {
        for (const TimePoint end = now + length; now < end;) {
            now += 5ms;
            shards.setLogContact(now, now);
            Outbox out;
            home.onTimer(now, out);
            home.placeQueuedTasks(now, out);
            collect(out);
        }
    }

    void collect(Outbox &out)
    {
        for (const Effect &effect : out.take())
            if (const auto *it = std::get_if<Send>(&effect)) {
                if (const auto *start = std::get_if<StartTask>(&it->message))
                    starts.push_back({it->to, *start});
                else if (const auto *answer = std::get_if<JobAnswer>(&it->message))
                    answers.push_back(answer->answer);
            }
    }

    void submit(const std::string &key, Duration deadline)
    {
        JobSpec spec;
        spec.key = {key};
        spec.team = "team";
        spec.jobClass = "urgent";
        spec.upstream = "render";
        spec.deadline = deadline;
        spec.idempotent = true;
        spec.contentHash = 1;
        spec.tasks.resize(1);
        spec.tasks[0].id = "t0";
        receive(Entry, SubmitJob{spec, Epoch{1}, deadline, {}, {}});
    }

    void done(Incarnation from, const StartTask &start, TaskStatus status)
    {
        TaskResult result;
        result.status = status;
        result.runTime = 10ms;
        receive(from, TaskDone{start.ref, start.attempt, result});
        report();
    }

    // Completes jobs until the home has enough run times to hedge.
    void warmUp()
    {
        for (int i = 0; i < 128; ++i) {
            submit("warm" + std::to_string(i), 10s);
            ASSERT_FALSE(starts.empty()) << i << (answers.empty() ? "" : answers.back().reason);
            const auto [to, start] = starts.back();
            starts.clear();
            receive(to, TaskAccepted{start.ref, start.attempt});
            step(10ms);
            done(to, start, TaskStatus::Completed);
        }
        starts.clear();
        answers.clear();
    }

    static constexpr Incarnation Entry{1}, Home{11}, First{12}, Second{13};
    TimePoint now{1h};
    Ledger ledger;
    ShardOwnership shards;
    Admission admission;
    Placement placement;
    WorkerHealth health;
    JobHome home;
    std::vector<std::pair<Incarnation, StartTask>> starts;
    std::vector<Answer> answers;
    bool isDraining = false; // of the executors
};

} // namespace

// Guards against not_run for a job whose first copy has run and failed: that the second copy was
// not started proves nothing of the first.
TEST_F(JobHomeTest, AFailedCopyOfATaskHasRun)
{
    warmUp();
    submit("job", 1s);
    ASSERT_EQ(starts.size(), 1u);
    const auto [first, start] = starts[0];
    receive(first, TaskAccepted{start.ref, start.attempt});
    step(200ms);
    ASSERT_EQ(starts.size(), 2u) << "a second copy is sent";
    const auto [second, copy] = starts[1];
    done(first, start, TaskStatus::Failed);
    isDraining = true; // nothing is left to run it on
    report();
    done(second, copy, TaskStatus::NotStarted);
    EXPECT_EQ(starts.size(), 2u);
    step(4s);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].outcome, Outcome::Unknown) << answers[0].reason;
}

// Guards against unknown for a job of which an executor has proved that nothing was started.
TEST_F(JobHomeTest, ATaskThatWasNotStartedIsNotRun)
{
    submit("job", 1s);
    ASSERT_EQ(starts.size(), 1u);
    const auto [to, start] = starts[0];
    receive(to, TaskAccepted{start.ref, start.attempt});
    isDraining = true;
    report();
    done(to, start, TaskStatus::NotStarted);
    step(4s);
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].outcome, Outcome::NotRun) << answers[0].reason;
}

} // namespace cactuscove
