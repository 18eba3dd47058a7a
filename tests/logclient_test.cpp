// Reads and appends of LogClient against a log stand-in that injects the faults of the platform's
// log service.

#include "ledger.h"
#include "logclient.h"

#include "../tools/logstandinserver.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

using namespace std::chrono_literals;

const std::string Stream = "cactuscove";

Record retire(const std::string &appendId)
{
    return {appendId, RetireRecord{Incarnation{1}}};
}

class LogClientTest : public testing::Test
{
protected:
    // A client with the ledger that its records are applied to, as in one process.
    struct Reader
    {
        Reader(EventLoop &loop, HttpClient &http, const std::string &address)
            : client(loop, http, {"http://" + address, Stream, 7, 0s, 300ms},
                     {[this](const std::vector<LogRecord> &records, LogOffset) { apply(records); },
                      [this](const SnapshotRecord &snapshot) {
                          auto restored = Ledger::fromSnapshot(snapshot);
                          ASSERT_TRUE(isOk(restored));
                          ledger = std::move(valueOf(restored));
                      },
                      [this](bool isReachable) { reachable.push_back(isReachable); }})
        {}

        void apply(const std::vector<LogRecord> &records)
        {
            for (const LogRecord &it : records) {
                EXPECT_GE(ledger.next(), it.offset) << "a record is missing";
                ledger.apply(it);
            }
        }

        Ledger ledger;
        std::vector<bool> reachable;
        LogClient client;
    };

    void SetUp() override
    {
        auto listened = LogStandinServer::listen(loop, "127.0.0.1:0");
        ASSERT_TRUE(isOk(listened));
        log = std::move(valueOf(listened));
    }

    std::unique_ptr<Reader> makeReader(bool isReading = true)
    {
        auto reader = std::make_unique<Reader>(loop, http, log->address());
        reader->client.setReading(isReading);
        return reader;
    }

    // Runs the loop until the condition holds, at most for `limit`. Returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, Duration limit = 10s)
    {
        const TimePoint end = loop.now() + limit;
        Timer tick(loop, [this] { loop.stop(); });
        while (!condition() && loop.now() < end) {
            tick.startIn(5ms);
            loop.run();
        }
        return condition();
    }

    // Number of records in the log with this append id.
    std::size_t countRecords(const std::string &appendId)
    {
        std::size_t count = 0;
        for (const std::string &text : log->records(Stream))
            count += valueOf(decodeRecord(text)).appendId == appendId ? 1 : 0;
        return count;
    }

    EventLoop loop;
    HttpClient http{loop};
    std::unique_ptr<LogStandinServer> log;
};

TEST_F(LogClientTest, DeliversAppendsInOrderToEveryReader)
{
    const auto a = makeReader();
    const auto b = makeReader();
    for (int i = 0; i < 20; ++i)
        a->client.append(retire("a" + std::to_string(i)));
    ASSERT_TRUE(runUntil([&] { return b->ledger.hasAppend("a19"); }));
    ASSERT_TRUE(runUntil([&] { return a->client.pendingAppends() == 0; }));
    EXPECT_EQ(log->records(Stream).size(), 20U);
    EXPECT_EQ(b->ledger.next(), LogOffset{20});
    EXPECT_EQ(b->client.position(), LogOffset{20});
}

// If the reply to an append is lost after the append took effect, the client must find the record
// in the log and must not append it again.
TEST_F(LogClientTest, LostReplyIsReadBack)
{
    for (const bool isReading : {true, false}) { // agents with a feed do not read the log
        const std::string id = isReading ? "reading" : "idle";
        const auto reader = makeReader(isReading);
        log->faults().dropReplies = 1;
        reader->client.append(retire(id));
        reader->client.append(retire(id + "-next"));
        ASSERT_TRUE(runUntil([&] { return reader->client.pendingAppends() == 0; }));
        EXPECT_EQ(countRecords(id), 1U);
        EXPECT_EQ(countRecords(id + "-next"), 1U);
    }
}

// An append that takes effect after it was repeated leaves two records with one append id. The
// second one must have no effect.
TEST_F(LogClientTest, LateCopyOfATimedOutAppendHasNoEffect)
{
    const auto reader = makeReader();
    const Member agent{Incarnation{2}, Role::Agent};
    const Member entry{Incarnation{1}, Role::Entry};
    for (const Member &member : {agent, entry})
        log->append(Stream, encodeRecord({std::to_string(member.incarnation.value),
                                          RegisterRecord{member}}));
    log->faults().appendDelayMs = 500; // longer than the client waits
    reader->client.append({"s", SuspectRecord{Incarnation{1}, Incarnation{2}}});
    ASSERT_TRUE(runUntil([&] { return reader->client.pendingAppends() == 0; }, 20s));
    log->append(Stream, encodeRecord({"again", RegisterRecord{agent}}));
    ASSERT_TRUE(runUntil([&] { return countRecords("s") == 2; }, 20s));
    ASSERT_TRUE(runUntil([&] { return reader->ledger.next() == LogOffset{5}; }));
    EXPECT_TRUE(reader->ledger.isUp(Incarnation{2}));
}

// During an outage appends must be kept, and the client must report its start and its end.
TEST_F(LogClientTest, AppendsAndReadsGoOnAfterAnOutage)
{
    const auto reader = makeReader();
    ASSERT_TRUE(runUntil([&] { return reader->client.isReachable(); }));
    log->faults().down = true;
    reader->client.append(retire("a"));
    ASSERT_TRUE(runUntil([&] { return !reader->client.isReachable(); }));
    EXPECT_EQ(reader->client.pendingAppends(), 1U);
    log->faults().down = false;
    ASSERT_TRUE(runUntil([&] { return reader->ledger.hasAppend("a"); }));
    EXPECT_EQ(countRecords("a"), 1U);
    EXPECT_EQ(reader->reachable, (std::vector{true, false, true}));
}

// withdraw() must only return true if the record was never sent, because an operator is then told
// that nothing has changed.
TEST_F(LogClientTest, WithdrawnAppendIsClearOnlyIfNeverSent)
{
    const auto reader = makeReader(false);
    reader->client.append(retire("sent"));
    reader->client.append(retire("waiting"));
    EXPECT_TRUE(reader->client.withdraw("waiting"));
    EXPECT_FALSE(reader->client.withdraw("sent"));
    EXPECT_FALSE(reader->client.withdraw("unknown"));
    EXPECT_EQ(reader->client.pendingAppends(), 0U);
}

// Readers take a gap in the offsets for a missing record, so malformed text must still advance the
// offset.
TEST_F(LogClientTest, MalformedRecordsAreCountedAndSkipped)
{
    log->append(Stream, "garbage");
    log->append(Stream, encodeRecord(retire("a")));
    log->append(Stream, "{}");
    const auto reader = makeReader();
    ASSERT_TRUE(runUntil([&] { return reader->ledger.next() == LogOffset{3}; }));
    EXPECT_TRUE(reader->ledger.hasAppend("a"));
}

// A reader of a trimmed log must not build a state without a usable snapshot: one that is intact
// and has all later records in the log.
TEST_F(LogClientTest, ReaderOfATrimmedLogWaitsForAUsableSnapshot)
{
    Ledger full;
    const auto append = [&](const Record &record) {
        const std::uint64_t offset = log->append(Stream, encodeRecord(record));
        full.apply({LogOffset{offset}, record});
    };
    append({"1", RegisterRecord{{Incarnation{1}, Role::Entry}}});
    const SnapshotRecord old = full.snapshot();
    append(retire("2"));
    append(retire("3"));
    append({"4", old}); // needs record 1, which is trimmed
    append({"5", SnapshotRecord{LogOffset{3}, "damaged"}});
    append({"6", SnapshotRecord{LogOffset{99}, old.state}}); // of an offset beyond its own
    log->faults().retain = 4;
    append(retire("7"));
    const auto reader = makeReader();
    EXPECT_FALSE(runUntil([&] { return reader->ledger.next() > LogOffset{}; }, 300ms));
    append({"8", full.snapshot()});
    append({"9", old}); // a late copy
    ASSERT_TRUE(runUntil([&] { return reader->ledger.next() == full.next(); }));
    EXPECT_EQ(reader->ledger.snapshot().state, full.snapshot().state);
}

// A reader whose position was trimmed from the log must restart from a snapshot and must not skip
// the records that it missed.
TEST_F(LogClientTest, ReaderThatFellBehindRestartsFromASnapshot)
{
    const auto fresh = makeReader();
    const auto behind = makeReader();
    log->append(Stream, encodeRecord(retire("a")));
    ASSERT_TRUE(runUntil([&] { return behind->ledger.hasAppend("a"); }));
    ASSERT_TRUE(runUntil([&] { return fresh->ledger.hasAppend("a"); }));
    behind->client.setReading(false);
    for (int i = 0; i < 30; ++i)
        log->append(Stream, encodeRecord(retire("b" + std::to_string(i))));
    ASSERT_TRUE(runUntil([&] { return fresh->ledger.hasAppend("b29"); }));
    fresh->client.append({"snapshot", fresh->ledger.snapshot()});
    ASSERT_TRUE(runUntil([&] { return fresh->ledger.hasAppend("snapshot"); }));
    log->faults().retain = 3;
    log->append(Stream, encodeRecord(retire("c")));
    behind->client.setReading(true);
    ASSERT_TRUE(runUntil([&] { return behind->ledger.hasAppend("c"); }));
    ASSERT_TRUE(runUntil([&] { return fresh->ledger.hasAppend("c"); }));
    EXPECT_EQ(behind->ledger.snapshot().state, fresh->ledger.snapshot().state);
}

// The state after a search for a snapshot must equal the state of a reader that read the whole log.
RC_GTEST_PROP(SnapshotSearchProperty, StartsLikeAFullReader, ())
{
    const auto size = *rc::gen::inRange<std::uint64_t>(1, 40);
    Ledger full;
    std::vector<LogRecord> log;
    std::vector<SnapshotRecord> snapshots{full.snapshot()};
    for (std::uint64_t i = 0; i < size; ++i) {
        RecordBody body = RegisterRecord{{Incarnation{i + 1}, Role::Agent}};
        if (*rc::gen::inRange(0, 4) == 0)
            body = *rc::gen::elementOf(snapshots);
        log.push_back({LogOffset{i}, {std::to_string(i), body}});
        full.apply(log.back());
        snapshots.push_back(full.snapshot());
    }
    const auto first = *rc::gen::inRange<std::uint64_t>(0, size);
    SnapshotSearch search;
    search.begin(LogOffset{first});
    for (std::uint64_t i = first; i < size; ++i)
        search.add(log[i]);
    auto start = search.take();
    RC_PRE(start.has_value());
    auto ledger = Ledger::fromSnapshot(start->snapshot);
    for (const LogRecord &record : start->records)
        valueOf(ledger).apply(record);
    RC_ASSERT(valueOf(ledger).snapshot().state == full.snapshot().state);
}

} // namespace
} // namespace cactuscove
