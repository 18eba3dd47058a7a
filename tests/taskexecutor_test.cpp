// Tests of TaskExecutor, and of the StartMemory, ReservationQueue and UpstreamRegistry that it
// uses. Its main rules are: requests with a stale epoch are refused (R2), a started task is never
// started again (R4), and an attempt that was reported as not started never starts (R6).

#include "taskexecutor.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;
using Change = UpstreamRegistry::Change;

constexpr Incarnation Self{5}, Home1{11}, Home2{12};
const TaskRef Task1{{"bookings/j1"}, 0}, Task2{{"bookings/j2"}, 0}, Task3{{"bookings/j3"}, 0};

// An executor that is registered in its ledger together with two homes, beside an upstream with one
// slot.
class Executor
{
public:
    Executor()
    {
        for (const Incarnation it : {Self, Home1, Home2})
            append(RegisterRecord{{it, Role::Agent, "127.0.0.1:1", "dc1", "rack1", "hollisdale"}});
        announce(1);
    }

    void append(RecordBody body)
    {
        const LedgerChanges changes
            = ledger.apply({LogOffset{offset}, {std::to_string(offset), std::move(body)}});
        ++offset;
        executor.onLedgerChange(changes, now, out);
    }

    void announce(std::uint32_t slots, const std::string &incarnation = "u1")
    {
        const auto change = upstreams.announce(
            {"walk-desk", incarnation, "127.0.0.1:9", slots, 64, {1, 1024}, 600s}, now);
        executor.onUpstreamChange(change, now, out);
    }

    static StartTask startOf(const TaskRef &ref, std::uint32_t attempt = 1, std::uint64_t epoch = 1)
    {
        StartTask it;
        it.ref = ref;
        it.attempt = attempt;
        it.epoch = Epoch{epoch};
        it.task.id = "t0";
        it.team = "bookings";
        it.jobClass = "normal";
        it.upstream = "walk-desk";
        it.remaining = 30s;
        return it;
    }

    // Delivers a message to the executor and returns the effects of it.
    std::vector<Effect> send(Message message, Incarnation from = Home1)
    {
        out.take();
        executor.onMessage(from, message, now, out);
        return out.take();
    }

    std::vector<Effect> finish(const TaskRef &ref, std::uint32_t attempt = 1,
                               TaskStatus status = TaskStatus::Completed)
    {
        out.take();
        executor.onUpstreamResult(ref, attempt, {status, 200, "ok", 50ms}, now, out);
        return out.take();
    }

    // Advances the time, with a call at every timer, and returns the effects.
    std::vector<Effect> wait(Duration duration)
    {
        out.take();
        const TimePoint end = now + duration;
        while (executor.nextTimer() <= end) {
            now = std::max(now, executor.nextTimer());
            executor.onTimer(now, out);
        }
        now = end;
        return out.take();
    }

    Ledger ledger;
    UpstreamRegistry upstreams;
    TaskExecutor executor{Self, ledger, upstreams};
    TimePoint now{1h};
    Outbox out;
    std::uint64_t offset = 0;
};

template <typename M>
std::vector<M> sent(const std::vector<Effect> &effects)
{
    std::vector<M> found;
    for (const Effect &it : effects) {
        const auto *send = std::get_if<Send>(&it);
        if (send && std::holds_alternative<M>(send->message))
            found.push_back(std::get<M>(send->message));
    }
    return found;
}

std::size_t starts(const std::vector<Effect> &effects)
{
    return std::count_if(effects.begin(), effects.end(), [](const Effect &it) {
        return std::holds_alternative<StartOnUpstream>(it);
    });
}

TaskRefusal refusal(const std::vector<Effect> &effects)
{
    const auto found = sent<TaskRefused>(effects);
    EXPECT_EQ(found.size(), 1U);
    return found.at(0).reason;
}

// Guards against a second start when a home repeats its request: a started task is not started
// again (R4).
TEST(TaskExecutor, RepeatedStartIsAnsweredWithoutAnotherStart)
{
    Executor it;
    EXPECT_EQ(starts(it.send(it.startOf(Task1))), 1U);
    const auto whileRunning = it.send(it.startOf(Task1));
    EXPECT_EQ(starts(whileRunning), 0U);
    EXPECT_EQ(sent<TaskAccepted>(whileRunning).size(), 1U);
    it.finish(Task1);
    const auto afterwards = it.send(it.startOf(Task1));
    EXPECT_EQ(starts(afterwards), 0U);
    EXPECT_EQ(sent<TaskDone>(afterwards).at(0).result.body, "ok");
}

// Guards against a second run of a task that is not idempotent (R9: only idempotent tasks may run
// again), and against losing a task that the upstream has proved not to have started.
TEST(TaskExecutor, AnotherAttemptStartsOnlyIfIdempotentOrProvedNotStarted)
{
    Executor it;
    it.announce(4);
    it.send(it.startOf(Task1));
    it.finish(Task1, 1, TaskStatus::Failed);
    EXPECT_EQ(starts(it.send(it.startOf(Task1, 2))), 0U);

    StartTask idempotent = it.startOf(Task2);
    idempotent.idempotent = true;
    it.send(idempotent);
    idempotent.attempt = 2;
    EXPECT_EQ(starts(it.send(idempotent)), 1U);
    idempotent.attempt = 1;
    EXPECT_EQ(starts(it.send(idempotent)), 0U);

    it.send(it.startOf(Task3));
    it.finish(Task3, 1, TaskStatus::NotStarted);
    EXPECT_EQ(starts(it.send(it.startOf(Task3))), 0U);
    EXPECT_EQ(starts(it.send(it.startOf(Task3, 2))), 1U);
}

// Guards against two runs of one task: after "not started" the home places the task elsewhere, so a
// late start of the cancelled attempt must be refused (R6).
TEST(TaskExecutor, StartThatWasOvertakenByItsCancelIsRefused)
{
    Executor it;
    EXPECT_EQ(sent<TaskNotStarted>(it.send(CancelTask{Task1, 1, Epoch{1}})).size(), 1U);
    EXPECT_EQ(refusal(it.send(it.startOf(Task1))), TaskRefusal::Tombstone);
    EXPECT_EQ(starts(it.send(it.startOf(Task1, 2))), 1U);
}

// Guards against two runs of one task: the home relies on a refusal and places the task elsewhere,
// so a copy of the request must be refused even when the reason no longer applies.
TEST(TaskExecutor, RefusedAttemptStaysRefused)
{
    Executor it;
    it.executor.onUpstreamChange(it.upstreams.leave(), it.now, it.out);
    EXPECT_EQ(refusal(it.send(it.startOf(Task1))), TaskRefusal::NoUpstream);
    it.announce(1, "u2");
    EXPECT_EQ(refusal(it.send(it.startOf(Task1))), TaskRefusal::Tombstone);
}

// Guards against starts after the deadline, on too small an upstream, and while draining.
TEST(TaskExecutor, RefusesWhatMustNotStartHere)
{
    Executor it;
    StartTask late = it.startOf(Task1);
    late.remaining = 0s;
    EXPECT_EQ(refusal(it.send(late)), TaskRefusal::DeadlinePassed);
    StartTask large = it.startOf(Task2);
    large.task.needs.memoryMb = 2048;
    EXPECT_EQ(refusal(it.send(large)), TaskRefusal::CannotRun);
    it.executor.beginDraining(it.now, it.out);
    EXPECT_EQ(refusal(it.send(it.startOf(Task3))), TaskRefusal::Draining);
}

// Guards against started tasks that no new home learns of: new homes ask only the processes that
// have registered (R5).
TEST(TaskExecutor, StartsNothingBeforeItsOwnRegistration)
{
    Executor it;
    TaskExecutor unregistered(Incarnation{99}, it.ledger, it.upstreams);
    unregistered.onMessage(Home1, it.startOf(Task1), it.now, it.out);
    EXPECT_EQ(starts(it.out.take()), 0U);
}

// Guards against a home that was paused and replaced: with its stale epoch it must neither start
// tasks nor stop running ones (R2).
TEST(TaskExecutor, FenceRefusesLowerEpochs)
{
    Executor it;
    it.announce(4);
    it.send(it.startOf(Task1));
    it.send(StartEpoch{{{shardOf(Task1.key), Epoch{2}}, {shardOf(Task2.key), Epoch{2}}}}, Home2);
    EXPECT_EQ(refusal(it.send(it.startOf(Task2))), TaskRefusal::StaleEpoch);
    EXPECT_EQ(starts(it.send(it.startOf(Task2, 1, 2), Home2)), 1U);
    const auto staleCancel = it.send(CancelTask{Task1, 1, Epoch{1}});
    EXPECT_EQ(sent<TaskAccepted>(staleCancel).size(), 1U);
    EXPECT_EQ(staleCancel.size(), 1U); // no StopOnUpstream
    it.append(ClaimRecord{Home1, {{shardOf(Task3.key), Epoch{1}}}});
    it.append(ClaimRecord{Home2, {{shardOf(Task3.key), Epoch{2}}}});
    EXPECT_EQ(refusal(it.send(it.startOf(Task3))), TaskRefusal::StaleEpoch);
}

// Guards against two runs of one task: the new home counts a waiting task as not started, so the
// reservation must end without a start (R4).
TEST(TaskExecutor, StartEpochRemovesReservationsOfLowerEpochs)
{
    Executor it;
    it.send(it.startOf(Task1));
    EXPECT_EQ(sent<TaskBusy>(it.send(it.startOf(Task2))).size(), 1U);
    it.send(StartEpoch{{{shardOf(Task2.key), Epoch{2}}}}, Home2);
    EXPECT_TRUE(it.executor.witnessed(shardOf(Task2.key), Epoch{2}).empty());
    EXPECT_EQ(sent<SlotOffer>(it.finish(Task1)).size(), 0U);
    StartTask binding = it.startOf(Task2, 2);
    binding.isOfferReply = true;
    EXPECT_EQ(refusal(it.send(binding)), TaskRefusal::StaleEpoch);
}

// Guards against a new home that starts a job again because it was not told of its started tasks.
TEST(TaskExecutor, WitnessTellsRunningAndFinishedTasksOfLowerEpochs)
{
    Executor it;
    StartTask start = it.startOf(Task1);
    start.contentHash = 7;
    start.taskCount = 3;
    it.send(start);
    const ShardId shard = shardOf(Task1.key);
    EXPECT_TRUE(it.executor.witnessed(shard, Epoch{1}).empty());
    EXPECT_EQ(it.executor.witnessed(shard, Epoch{2}).at(0).tasks.at(0).result.status,
              TaskStatus::Unknown);
    it.finish(Task1);
    const WitnessedJob seen = it.executor.witnessed(shard, Epoch{2}).at(0);
    EXPECT_EQ(seen.tasks.at(0).result.body, "ok");
    EXPECT_EQ(seen.tasks.at(0).id, "t0");
    EXPECT_EQ(seen.contentHash, 7U);
    EXPECT_EQ(seen.taskCount, 3U);
    EXPECT_EQ(it.executor.rememberedStarts(it.now).at(0).epoch, Epoch{1});
}

// Guards against two runs of one task: when a late copy of the first request arrives, the home may
// have placed the task through its reservation at another agent.
TEST(TaskExecutor, AfterBusyOnlyTheAnswerToAnOfferStarts)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.send(it.startOf(Task2));
    EXPECT_EQ(sent<SlotOffer>(it.finish(Task1)).at(0).ref, Task2);
    EXPECT_EQ(sent<TaskBusy>(it.send(it.startOf(Task2))).size(), 1U);
    StartTask binding = it.startOf(Task2, 2);
    binding.isOfferReply = true;
    EXPECT_EQ(starts(it.send(binding)), 1U);
    EXPECT_EQ(starts(it.send(binding)), 0U);
}

// Guards against two runs of one task: an answer to an offer that finds no free slot is refused. If
// it left a reservation as well, a copy of the answer could start the task after the refusal.
TEST(TaskExecutor, OfferAnswerWithoutAFreeSlotEndsTheAttempt)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.send(it.startOf(Task2));
    StartTask binding = it.startOf(Task2, 2);
    binding.isOfferReply = true;
    EXPECT_EQ(refusal(it.send(binding)), TaskRefusal::Tombstone);
    EXPECT_EQ(sent<SlotOffer>(it.finish(Task1)).size(), 0U);
    EXPECT_EQ(starts(it.send(binding)), 0U);
}

// Guards against an idle slot while a home with a broken connection does not answer an offer, and
// against the loss of the reservation of that home.
TEST(TaskExecutor, UnansweredOfferIsRepeatedOnceThenTheNextIsOffered)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.send(it.startOf(Task2), Home1);
    it.send(it.startOf(Task3), Home2);
    it.finish(Task1);
    EXPECT_EQ(sent<SlotOffer>(it.wait(60ms)).at(0).ref, Task2);
    const auto next = sent<SlotOffer>(it.wait(60ms));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next.at(0).ref, Task3);
    EXPECT_EQ(sent<SlotOffer>(it.send(OfferDeclined{Task3, 1}, Home2)).size(), 0U);
    EXPECT_EQ(sent<SlotOffer>(it.wait(2s)).at(0).ref, Task2);
}

// Guards against offers and starts after the deadline of a reservation.
TEST(TaskExecutor, ReservationEndsAtItsDeadline)
{
    Executor it;
    it.send(it.startOf(Task1));
    StartTask brief = it.startOf(Task2);
    brief.remaining = 100ms;
    it.send(brief);
    it.wait(200ms);
    EXPECT_EQ(it.executor.load().queued, 0U);
    EXPECT_EQ(sent<SlotOffer>(it.finish(Task1)).size(), 0U);
    EXPECT_EQ(refusal(it.send(brief)), TaskRefusal::Tombstone);
}

// Guards against waiting for tasks of an upstream process that was replaced, and against trusting a
// late result of it.
TEST(TaskExecutor, UpstreamReplacedAtTheSameAddressLosesItsTasks)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.out.take();
    it.announce(1, "u2");
    const auto done = sent<TaskDone>(it.out.take());
    ASSERT_EQ(done.size(), 1U);
    EXPECT_EQ(done.at(0).result.status, TaskStatus::Unknown);
    EXPECT_TRUE(it.finish(Task1).empty());
    EXPECT_EQ(sent<TaskDone>(it.send(it.startOf(Task1))).at(0).result.status, TaskStatus::Unknown);
    const auto next = it.send(it.startOf(Task2));
    EXPECT_EQ(std::get<StartOnUpstream>(next.at(0)).upstreamIncarnation, "u2");
    // A late repeat of the old announcement must not restore the old incarnation.
    it.announce(1, "u1");
    EXPECT_EQ(it.upstreams.current()->incarnation, "u2");
}

// Guards against losing the results of an upstream that leaves, which still finishes its tasks, and
// against waiting for those of an upstream whose lease has expired, which may have crashed.
TEST(TaskExecutor, LeaveKeepsRunningTasksAndLapseLosesThem)
{
    Executor it;
    it.announce(2);
    it.send(it.startOf(Task1));
    it.executor.onUpstreamChange(it.upstreams.leave("u1"), it.now, it.out);
    EXPECT_EQ(sent<TaskDone>(it.finish(Task1)).at(0).result.status, TaskStatus::Completed);
    it.announce(1, "u2");
    it.send(it.startOf(Task2));
    it.now += 600s;
    const Change change = it.upstreams.onTimer(it.now);
    EXPECT_EQ(change, Change::LeaseExpired);
    it.executor.onUpstreamChange(change, it.now, it.out);
    EXPECT_EQ(sent<TaskDone>(it.out.take()).at(0).result.status, TaskStatus::Unknown);
}

// Guards against removing the current upstream: the leave of a replaced one may arrive after the
// announcement of its successor.
TEST(UpstreamRegistry, LateLeaveOfAnotherIncarnationIsIgnored)
{
    Executor it;
    it.announce(1, "u2");
    EXPECT_EQ(it.upstreams.leave("u1"), Change::None);
    EXPECT_EQ(it.upstreams.current()->incarnation, "u2");
    EXPECT_EQ(it.upstreams.leave("u2"), Change::Left);
    it.announce(1, "u2"); // a late repeat
    EXPECT_FALSE(it.upstreams.current());
}

// Guards against a cancelled task that goes on using its slot.
TEST(TaskExecutor, CancelStopsARunningTask)
{
    Executor it;
    it.send(it.startOf(Task1));
    const auto effects = it.send(CancelTask{Task1, 1, Epoch{1}});
    EXPECT_TRUE(std::holds_alternative<StopOnUpstream>(effects.at(0)));
    EXPECT_EQ(sent<TaskAccepted>(effects).size(), 1U);
}

// Guards against a job that waits forever because a TaskDone was lost, and against repeats at a
// constant rate while the home is unreachable.
TEST(TaskExecutor, ResultIsRepeatedWithBackOffUntilAcknowledged)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.finish(Task1);
    EXPECT_EQ(sent<TaskDone>(it.wait(10s)).size(), 4U); // after 0.5, 1.5, 3.5 and 7.5 s
    EXPECT_FALSE(it.executor.isIdle());
    it.send(TaskDoneAck{Task1, 1});
    EXPECT_TRUE(it.executor.isIdle());
    EXPECT_EQ(sent<TaskDone>(it.wait(60s)).size(), 0U);
}

// Guards against a shutdown that waits for the acknowledgement of a home that has left.
TEST(TaskExecutor, ShutdownDoesNotWaitForAHomeThatIsGone)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.finish(Task1);
    it.append(LeaveRecord{Home1, Home2});
    EXPECT_TRUE(it.executor.isIdle());
}

// Guards against results that are dropped before id_memory has passed since the end of the task,
// and against records that are kept much longer, so that memory grows without limit.
TEST(TaskExecutor, ForgetsAfterIdMemory)
{
    Executor it;
    it.send(it.startOf(Task1));
    it.wait(700s); // running tasks are never forgotten
    it.finish(Task1);
    it.send(TaskDoneAck{Task1, 1});
    it.wait(599s);
    EXPECT_EQ(it.executor.rememberedStarts(it.now).size(), 1U);
    it.wait(3s);
    EXPECT_TRUE(it.executor.rememberedStarts(it.now).empty());
}

// Guards against result bodies that use more memory than the limit.
TEST(StartMemory, OldestResultsBecomeUnknownBeyondTheByteLimit)
{
    StartMemory memory(100);
    for (const TaskRef &ref : {Task1, Task2}) {
        TaskRun &run = memory.addRun(Executor::startOf(ref), TaskRun{}, TimePoint{});
        memory.storeResult(ref, run, {TaskStatus::Completed, 200, std::string(60, 'x')},
                           TimePoint{});
    }
    EXPECT_EQ(memory.resultBytes(), 60U);
    EXPECT_EQ(memory.find(Task1)->runs.at(0).result.status, TaskStatus::Unknown);
    EXPECT_EQ(memory.find(Task2)->runs.at(0).result.status, TaskStatus::Completed);
}

// Guards against more tasks at once than the upstream announces or the configuration allows.
TEST(TaskExecutor, SlotsAreLimitedByAnnouncementAndConfiguration)
{
    Executor it;
    it.announce(8);
    EXPECT_EQ(it.executor.load().slots, 8U);
    it.append(ConfigRecord{Revision{0},
                           "version: 1\nteams: {bookings: {office: hollisdale, upstreams: "
                           "[walk-desk]}}\nupstreams: {walk-desk: {slots_per_worker: 4, "
                           "connections_per_worker: 2}}\n",
                           "hollisdale", "ana"});
    ASSERT_NE(it.ledger.config(), nullptr);
    EXPECT_EQ(it.executor.load().slots, 2U);
}

// Guards against a class that takes the slots of the others with many long tasks: slot time must
// follow the shares.
TEST(ReservationQueue, SlotTimeFollowsShares)
{
    FleetConfig config;
    config.classes["urgent"].share = 3;
    config.classes["bulk"].share = 1;
    ReservationQueue queue;
    std::map<std::string, Duration> used;
    std::uint16_t index = 0;
    const auto add = [&](const std::string &jobClass) {
        const TaskRef ref{{jobClass + "/j"}, index++};
        queue.add({ref, {}, Home1, "team", jobClass, TimePoint{1h}});
    };
    for (int n = 0; n < 10; ++n)
        add("bulk");
    add("urgent");
    for (int n = 0; n < 4000; ++n) {
        const Reservation it = *queue.takeBest([](Incarnation) { return true; });
        const Duration runTime = it.jobClass == "bulk" ? 500ms : 50ms;
        queue.charge(it.jobClass, it.team, runTime, config);
        used[it.jobClass] += runTime;
        add(it.jobClass);
    }
    EXPECT_NEAR(static_cast<double>(used["urgent"] / 1ms) / (used["bulk"] / 1ms), 3, 0.1);
}

// What the homes have been told, to check later starts against.
struct Model
{
    using Attempt = std::tuple<TaskRef, std::uint32_t, Epoch>;
    // Attempts that a home was told have not started. Each epoch numbers its attempts itself.
    std::set<Attempt> notStarted;
    std::set<TaskRef> started;

    // `epoch` is the epoch of the message that led to `effects`.
    void check(const std::vector<Effect> &effects, Epoch epoch = {})
    {
        for (const Effect &effect : effects) {
            if (const auto *start = std::get_if<StartOnUpstream>(&effect)) {
                RC_ASSERT(!notStarted.contains({start->ref, start->attempt, epoch}));
                RC_ASSERT(started.insert(start->ref).second);
            }
        }
        for (const auto &it : sent<TaskRefused>(effects))
            notStarted.emplace(it.ref, it.attempt, epoch);
        for (const auto &it : sent<TaskNotStarted>(effects))
            notStarted.emplace(it.ref, it.attempt, epoch);
    }
};

// Guards against a second start of a task, and against a start that a home was told will not
// happen, with any order, loss and repetition of messages and any change of the upstream.
RC_GTEST_PROP(TaskExecutorProperty, KeepsItsWordInAnyOrder, ())
{
    Executor it;
    Model model;
    it.announce(2);
    const std::vector<TaskRef> refs{Task1, Task2, Task3, {{"bookings/j1"}, 1}};
    const int steps = *rc::gen::inRange(1, 120);
    for (int n = 0; n < steps; ++n) {
        const TaskRef ref = *rc::gen::elementOf(refs);
        const auto attempt = *rc::gen::inRange<std::uint32_t>(1, 5);
        const auto epoch = *rc::gen::inRange<std::uint64_t>(1, 3);
        const Epoch fence = it.executor.fence(shardOf(ref.key));
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
        case 2: {
            StartTask start = it.startOf(ref, attempt, epoch);
            start.isOfferReply = *rc::gen::arbitrary<bool>();
            const auto effects = it.send(start);
            RC_ASSERT(epoch >= fence.value || starts(effects) == 0U);
            model.check(effects, Epoch{epoch});
            break;
        }
        case 3:
            model.check(it.send(CancelTask{ref, attempt, Epoch{epoch}}), Epoch{epoch});
            break;
        case 4:
            model.check(it.finish(ref, attempt));
            break;
        case 5:
            model.check(it.send(OfferDeclined{ref, attempt}));
            break;
        case 6:
            model.check(it.send(StartEpoch{{{shardOf(ref.key), Epoch{epoch}}}}));
            break;
        case 7:
            it.announce(2, "u" + std::to_string(*rc::gen::inRange(1, 4)));
            model.check(it.out.take());
            break;
        default:
            model.check(it.wait(std::chrono::milliseconds(*rc::gen::inRange(1, 300))));
        }
        RC_ASSERT(it.executor.load().freeSlots <= 2U);
    }
}

} // namespace
} // namespace cactuscove
