// Worker records: encoding, when they are read, written and used, and the start of a task runner
// from one.

#include "effects.h"
#include "platform.h"
#include "taskrunner.h"
#include "workerrecord.h"
#include "workerrecordsync.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr std::int64_t UnixMs = 1'700'000'000'000;

WorkerInfo worker(std::int64_t startedAtUnixMs = UnixMs)
{
    WorkerInfo it;
    it.id = "i-1";
    it.upstream = "render";
    it.address = "10.0.0.1:80";
    it.dataCentre = "a";
    it.capacity = {32000, 64000, 2};
    it.labels = {"gpu", "rack-3"};
    it.startedAtUnixMs = startedAtUnixMs;
    it.sequence = 9;
    return it;
}

std::string encoded(const WorkerInfo &info)
{
    return valueOf(encodeWorkerRecord({info, UnixMs}));
}

template <typename Effects>
int countEvents(const std::vector<Effects> &out, std::string_view name)
{
    const auto events = effectsOf<LogEvent>(out);
    return static_cast<int>(std::count_if(events.begin(), events.end(),
                                          [&](const LogEvent &it) { return it.name == name; }));
}

// A sync at its start, with the time and the effects so far.
struct SyncFixture : testing::Test
{
    void heartbeat(const WorkerInfo &info) { sync.onWorkerInfo(info, UnixMs, now, out); }
    void read(std::string_view value) { sync.onRead(value, UnixMs + 500, now, out); }
    std::size_t writes() const { return effectsOf<WriteWorkerRecord>(out).size(); }
    std::size_t uses() const { return effectsOf<UseWorkerRecord>(out).size(); }
    // Advances the time to the next timer, at most by `length`, and acts on it.
    void advance(Duration length)
    {
        now = std::min(std::max(now, sync.nextTimer()), now + length);
        sync.processPending(now, out);
    }

    WorkerRecordSync sync{{"10.0.0.1:80", 1}, Start};
    TimePoint now = Start;
    WorkerRecordOutbox out;
};

using WorkerRecordSyncTest = SyncFixture;

} // namespace

TEST(WorkerRecord, IsTheSameAfterEncoding)
{
    WorkerRecord record{worker(), UnixMs};
    record.worker.sequence = 0;
    const auto decoded = decodeWorkerRecord(encoded(worker()));
    ASSERT_TRUE(isOk(decoded));
    EXPECT_EQ(valueOf(decoded), record);
}

// Guards against a record that is used although it was truncated, changed or written by another
// version, and against crashes of the decoder.
TEST(WorkerRecord, BadBytesAreRejectedWithTheField)
{
    const std::string good = encoded(worker());
    for (std::size_t n = 0; n < good.size(); ++n)
        EXPECT_FALSE(isOk(decodeWorkerRecord(good.substr(0, n)))) << n;
    for (std::size_t i = 0; i < good.size(); ++i) {
        std::string changed = good;
        changed[i] = static_cast<char>(changed[i] ^ 0x10);
        EXPECT_FALSE(isOk(decodeWorkerRecord(changed))) << i;
    }
    std::string old = good;
    old[0] = 0;
    EXPECT_EQ(errorOf(decodeWorkerRecord(old)).field, "format");
    EXPECT_EQ(errorOf(decodeWorkerRecord(good + "x")).field, "checksum");
    EXPECT_EQ(errorOf(decodeWorkerRecord(encoded(worker(0)))).field, "worker");
    WorkerInfo large = worker();
    large.labels = {std::string(MaxWorkerRecordBytes, 'x')};
    EXPECT_EQ(errorOf(encodeWorkerRecord({large, 0})).field, "size");
}

// Guards against a page that begins after the record of this instance or far before it.
TEST(WorkerRecord, ThePageBeginsJustBeforeTheKey)
{
    for (const std::string key : {"side-1", "side-10", "a"}) {
        EXPECT_LT(keyBefore(key), key);
        EXPECT_GT(keyBefore(key), key.substr(0, key.size() - 1));
    }
    EXPECT_GT(keyBefore("side-10"), "side-1");
    EXPECT_EQ(platform::makeNewestCall("h:1", "t", keyBefore("side-10"), 1s, 7).url,
              "http://h:1/-/log-newest?topic=t&part=7&depends_on=side-1%2f~");
}

// Guards against a write for each heartbeat, parallel writes, and a changed description that is not
// written because an older write was under way.
TEST_F(WorkerRecordSyncTest, WritesEachChangeOnce)
{
    advance(0s);
    EXPECT_EQ(effectsOf<ReadWorkerRecord>(out).size(), 1u);
    heartbeat(worker());
    advance(0s);
    EXPECT_EQ(writes(), 0u) << "the store may hold this description";
    read({});
    advance(0s);
    EXPECT_EQ(writes(), 1u);
    WorkerInfo changed = worker();
    changed.capacity.cpuMillis /= 2;
    changed.sequence = 10;
    heartbeat(changed);
    advance(0s);
    EXPECT_EQ(writes(), 1u);
    sync.onWritten(now, out);
    for (int i = 0; i < 20; ++i) {
        ++changed.sequence;
        heartbeat(changed);
        heartbeat(worker(UnixMs - 1)); // of an earlier process
        advance(0s);
    }
    ASSERT_EQ(writes(), 2u);
    sync.onWritten(now, out);
    EXPECT_EQ(sync.nextTimer(), NeverTime);
    EXPECT_EQ(valueOf(decodeWorkerRecord(effectsOf<WriteWorkerRecord>(out)[1].value))
                  .worker.capacity.cpuMillis,
              changed.capacity.cpuMillis);
}

// Guards against a record from which a restarted agent cannot tell how old the description is.
TEST_F(WorkerRecordSyncTest, RefreshesTheTimeOfTheDescriptionSilently)
{
    advance(0s);
    read({});
    for (int i = 0; i < 4; ++i) {
        heartbeat(worker());
        advance(0s);
        if (i < 4 && writes() > static_cast<std::size_t>(i))
            sync.onWritten(now, out);
        advance(1500ms);
    }
    EXPECT_EQ(writes(), 4u);
    EXPECT_EQ(countEvents(out, "worker_record_written"), 1);
}

// Guards against writes and log lines without limit while the store is down.
TEST_F(WorkerRecordSyncTest, RepeatsFailedWritesWithDelays)
{
    read({});
    heartbeat(worker());
    for (const TimePoint end = now + 10s; now < end; advance(10s))
        if (writes() > 0)
            sync.onWriteFailed("down", now, out);
    EXPECT_GT(writes(), 20u);
    EXPECT_LT(writes(), 10s / 60ms);
    EXPECT_EQ(countEvents(out, "worker_record_unwritten"), 1);
}

TEST_F(WorkerRecordSyncTest, UsesTheRecordAndDoesNotWriteItAgain)
{
    advance(0s);
    read(encoded(worker()));
    ASSERT_EQ(uses(), 1u);
    heartbeat(worker());
    advance(0s);
    EXPECT_EQ(writes(), 0u);
}

// Guards against a record that replaces what a heartbeat has said.
TEST_F(WorkerRecordSyncTest, AHeartbeatMakesTheRecordUseless)
{
    advance(0s);
    heartbeat(worker(UnixMs + 1));
    read(encoded(worker()));
    EXPECT_EQ(uses(), 0u);
    advance(0s);
    EXPECT_EQ(writes(), 1u);
}

// Guards against the use of a record of another machine's worker, and against silence or repeated
// lines about a bad record.
TEST_F(WorkerRecordSyncTest, BadRecordsAreIgnoredWithOneLine)
{
    WorkerInfo foreign = worker();
    foreign.address = "10.0.0.2:80";
    const std::string good = encoded(worker());
    std::string old = good;
    old[0] = 0;
    std::string changed = good;
    changed.back() = static_cast<char>(changed.back() + 1);
    for (const std::string &bad :
         {good.substr(0, good.size() - 1), old, changed, encoded(foreign)}) {
        WorkerRecordOutbox events;
        WorkerRecordSync fresh({"10.0.0.1:80", 1}, Start);
        fresh.processPending(Start, events);
        fresh.onRead(bad, UnixMs, Start, events);
        fresh.processPending(Start, events);
        EXPECT_EQ(events.size(), 2u); // the read and the line
        EXPECT_EQ(countEvents(events, "worker_record_ignored"), 1);
        EXPECT_EQ(fresh.nextTimer(), NeverTime);
    }
}

// Guards against reads without end, and against a change that is never written because the record
// could not be read.
TEST_F(WorkerRecordSyncTest, GivesUpReadingAndThenWrites)
{
    advance(0s);
    for (sync.onReadFailed("down", now, out); sync.nextTimer() < NeverTime;
         sync.onReadFailed("down", now, out))
        advance(1s);
    EXPECT_LE(now, Start + 3s);
    EXPECT_EQ(sync.nextTimer(), NeverTime);
    EXPECT_EQ(countEvents(out, "worker_record_unread"), 1);
    heartbeat(worker());
    advance(0s);
    EXPECT_EQ(writes(), 1u);
}

// A runner that begins with the record of its worker and is connected to one entry.
struct RunnerFixture : testing::Test
{
    RunnerFixture()
    {
        runner.onEntryHello(entry, "entry", Start, out);
        runner.onWorkerRecord(worker(), 0s, Start, out);
        runner.processPending(Start, out);
    }

    PollRuns newestPoll() const { return effectsOf<PollRuns>(out).back(); }

    void answerPoll(PollReply reply, TimePoint at)
    {
        const PollRuns poll = newestPoll();
        reply.clock = WorkerClock{1000 + (at - Start) / 1ms};
        runner.onPollReply(poll.call, reply, at, out);
        runner.processPending(at, out);
    }

    void assign(std::uint32_t index, TimePoint at)
    {
        AssignTask task;
        task.task = {"job", index};
        task.attempt = 1;
        task.workerId = worker().id;
        task.needs = {1000, 0, 0};
        task.startDeadline = task.endDeadline = at + 2s;
        runner.onEntryActivity(entry, at, out);
        runner.onAssign(entry, task, at, out);
        runner.processPending(at, out);
    }

    std::size_t starts() const { return effectsOf<StartRun>(out).size(); }
    int updates() const
    {
        const auto sent = effectsOf<SendToEntry>(out);
        return static_cast<int>(std::count_if(sent.begin(), sent.end(), [](const SendToEntry &it) {
            return std::holds_alternative<WorkerUpdate>(it.message);
        }));
    }

    PollReply ok(std::int64_t startedAtUnixMs) const
    {
        PollReply reply;
        reply.answer = CallAnswer::Ok;
        reply.startedAtUnixMs = startedAtUnixMs;
        return reply;
    }

    const Incarnation entry{7};
    TaskRunner runner{{}, Start};
    RunnerOutbox out;
};

using WorkerFromRecord = RunnerFixture;

// Guards against entries that hear of a worker from a record alone, and against starts before the
// worker has listed what runs there after the window of the earlier process's starts.
TEST_F(WorkerFromRecord, IsKnownOnceItsReplyShowsTheSameProcess)
{
    EXPECT_EQ(newestPoll().workerId, worker().id);
    EXPECT_FALSE(newestPoll().leaseUntil);
    EXPECT_EQ(updates(), 0);
    EXPECT_TRUE(runner.workers().empty());
    EXPECT_TRUE(runner.loads(Start).empty());
    answerPoll(ok(UnixMs), Start + 1ms);
    EXPECT_EQ(updates(), 1);
    EXPECT_TRUE(runner.orphanFreeWorkers().empty()) << "a start may still arrive";
    EXPECT_FALSE(runner.loads(Start)[0].isUsable);
    EXPECT_LE(newestPoll().maxWait, 269ms);
    assign(0, Start + 1ms);
    const TimePoint windowEnd = Start + 270ms;
    runner.onEntryActivity(entry, windowEnd, out);
    answerPoll(ok(UnixMs), windowEnd);
    EXPECT_EQ(starts(), 0u) << "the list was asked for before the end of the window";
    answerPoll(ok(UnixMs), windowEnd + 1ms);
    EXPECT_EQ(starts(), 1u);
    EXPECT_TRUE(runner.loads(Start)[0].isUsable);
    EXPECT_EQ(runner.orphanFreeWorkers().size(), 1u);
}

// Guards against the use of a record after the worker was replaced while the agent was away.
TEST_F(WorkerFromRecord, IsDroppedIfTheWorkerWasReplaced)
{
    PollReply other;
    other.answer = CallAnswer::OtherProcess;
    for (const PollReply &reply : {other, ok(UnixMs + 1), ok(0)}) {
        TaskRunner fresh({}, Start);
        RunnerOutbox events;
        fresh.onEntryHello(entry, "entry", Start, events);
        fresh.onWorkerRecord(worker(), 0s, Start, events);
        fresh.processPending(Start, events);
        fresh.onPollReply(effectsOf<PollRuns>(events).back().call, reply, Start + 1ms, events);
        fresh.processPending(Start + 1s, events);
        EXPECT_EQ(countEvents(events, "worker_record_dropped"), 1);
        EXPECT_EQ(effectsOf<SendToEntry>(events).size(), 0u);
        EXPECT_EQ(effectsOf<PollRuns>(events).size(), 1u);
    }
}

// Guards against a record that keeps the heartbeat of another process from being used.
TEST_F(WorkerFromRecord, GivesWayToAnyHeartbeat)
{
    WorkerInfo earlier = worker(UnixMs - 1);
    runner.onWorkerInfo(earlier, std::nullopt, Start + 1ms, out);
    ASSERT_EQ(runner.workers().size(), 1u);
    EXPECT_EQ(runner.workers()[0].worker.startedAtUnixMs, UnixMs - 1);
    EXPECT_EQ(countEvents(out, "worker_joined"), 1);
    TaskRunner fresh({}, Start);
    RunnerOutbox events;
    fresh.onWorkerRecord(worker(), 0s, Start, events);
    earlier.id = "i-2";
    fresh.onWorkerInfo(earlier, std::nullopt, Start, events);
    EXPECT_EQ(fresh.workers().size(), 1u);
    EXPECT_EQ(countEvents(events, "worker_record_dropped"), 1);
    fresh.onWorkerRecord(worker(), 0s, Start, events);
    EXPECT_EQ(countEvents(events, "worker_record_dropped"), 1);
    EXPECT_EQ(fresh.loads(Start).size(), 1u);
}

// Guards against a record, whole and with a right checksum, of a worker that no heartbeat can
// describe.
TEST(WorkerRecord, WhatNoHeartbeatCanDescribeIsAnError)
{
    const auto isRefused = [](const WorkerInfo &it) {
        const auto record = decodeWorkerRecord(encoded(it));
        return !isOk(record) && errorOf(record).field == "worker";
    };
    EXPECT_FALSE(isRefused(worker()));
    for (const char *address : {"", "10.0.0.1:0", "10.0.0.1:70000", "10.0.0:80", "render:80"}) {
        WorkerInfo it = worker();
        it.address = address;
        EXPECT_TRUE(isRefused(it)) << address;
    }
    for (const std::int64_t amount : {std::int64_t(-1), MaxResourceAmount + 1}) {
        WorkerInfo it = worker();
        it.capacity.cpuMillis = amount;
        EXPECT_TRUE(isRefused(it)) << amount;
    }
    EXPECT_TRUE(isRefused(worker(0)));
    EXPECT_TRUE(isRefused(worker(MaxUnixMs + 1)));
}

} // namespace cactuscove
