// Feeds, failure detection, retirement, snapshots and shutdown of a group of entries, in virtual
// time.

#include "entryfleet.h"

namespace cactuscove {
namespace {

using namespace entrytest;

constexpr Incarnation Agent{100};

// The entry that sends to the agent in the next 5 s.
Incarnation feederOf(EntryFleet &fleet, Incarnation agent)
{
    fleet.m_sent.clear();
    fleet.run(5s);
    Incarnation feeder;
    for (const auto &[link, count] : fleet.m_sent)
        if (link.second == agent) {
            EXPECT_EQ(feeder, Incarnation{}) << "one entry feeds an agent";
            EXPECT_EQ(count, 5) << "one message per agent and second";
            feeder = link.first;
        }
    return feeder;
}

// Guards against agents that no entry feeds, and against changes that wait for the next heartbeat.
TEST(MembershipFeeds, EachAgentIsFedByOneEntryEachSecondAndAtOnceOnChange)
{
    EntryFleet fleet(3, 4);
    for (std::uint64_t i = 0; i < 4; ++i)
        EXPECT_NE(feederOf(fleet, {100 + i}), Incarnation{});
    fleet.m_feeds.clear();
    fleet.m_log.append(ClaimRecord{Agent, {{{5}, {1}}}, false});
    fleet.run(1ms);
    for (std::uint64_t i = 0; i < 4; ++i)
        EXPECT_EQ(fleet.agentLedger({100 + i}).shard({5}).home, Agent);
}

// Guards against a gap after a lost feed: the next one must start at the offset that the agent has
// acknowledged.
TEST(MembershipFeeds, LostFeedsAreMadeUpFor)
{
    EntryFleet fleet(1);
    fleet.m_cut.insert({{1}, Agent});
    for (std::uint64_t epoch = 1; epoch <= 5; ++epoch) {
        fleet.m_log.append(ClaimRecord{Agent, {{{5}, {epoch}}}, false});
        fleet.run(100ms);
    }
    fleet.m_cut.clear();
    fleet.run(2s);
    EXPECT_EQ(fleet.agentLedger(Agent).shard({5}).epoch, Epoch{5});
}

// Guards against an agent that never catches up because it is further behind than the records that
// the entry keeps.
TEST(MembershipFeeds, AgentFarBehindGetsASnapshot)
{
    EntryFleet fleet(1);
    fleet.m_cut.insert({{1}, Agent});
    for (std::uint64_t epoch = 1; epoch <= 1500; ++epoch)
        fleet.m_log.append(ClaimRecord{Agent, {{{5}, {epoch}}}, false});
    fleet.run(10ms);
    fleet.m_cut.clear();
    fleet.m_feeds.clear();
    fleet.run(2s);
    ASSERT_FALSE(fleet.m_feeds.empty());
    EXPECT_TRUE(fleet.m_feeds[0].second.snapshot.has_value());
    EXPECT_EQ(fleet.agentLedger(Agent).next(), fleet.entry({1}).ledger().next());
    EXPECT_EQ(fleet.agentLedger(Agent).shard({5}).epoch, Epoch{1500});
}

// Guards against a dead agent that stays up, and against a vote before a message has had the time
// to be repeated on a new connection.
TEST(MembershipVotes, SilentAgentIsDownWithinSeconds)
{
    EntryFleet fleet(3);
    fleet.m_stopped.insert(Agent);
    fleet.run(2900ms);
    EXPECT_TRUE(fleet.recordsOf<SuspectRecord>().empty())
        << "a call may time out on a silent connection first";
    fleet.run(4500ms);
    EXPECT_FALSE(fleet.ledger().isUp(Agent));
}

// Guards against an agent that loses its shards because of a broken path to a single entry.
TEST(MembershipVotes, AgentThatAnswersOthersStaysUpAndIsCleared)
{
    EntryFleet fleet(3);
    const Incarnation feeder = feederOf(fleet, Agent);
    fleet.m_cut.insert({Agent, feeder});
    fleet.run(20s);
    EXPECT_EQ(fleet.recordsOf<SuspectRecord>().size(), 1u);
    EXPECT_TRUE(fleet.ledger().isUp(Agent));
    fleet.m_cut.clear();
    fleet.run(2s);
    EXPECT_EQ(fleet.recordsOf<ClearRecord>().size(), 1u);
    EXPECT_TRUE(fleet.ledger().member(Agent)->suspectedBy.empty());
}

// Guards against agents that get no feed any more after their entry has died.
TEST(MembershipVotes, DeadEntryIsDownAndItsAgentsAreFedByOthers)
{
    EntryFleet fleet(3);
    const Incarnation feeder = feederOf(fleet, Agent);
    fleet.m_stopped.insert(feeder);
    fleet.run(8s);
    EXPECT_FALSE(fleet.ledger().isUp(feeder));
    EXPECT_TRUE(fleet.ledger().isUp(Agent));
    EXPECT_NE(feederOf(fleet, Agent), feeder);
}

// Guards against votes because of silence during a log outage, when nobody could register again.
// The silence must not count after the outage either.
TEST(MembershipVotes, NobodyIsSuspectedDuringALogOutage)
{
    EntryFleet fleet(3);
    fleet.m_isLogUp = false;
    fleet.m_stopped.insert(Agent);
    fleet.run(30s);
    fleet.m_stopped.clear();
    fleet.m_isLogUp = true;
    fleet.run(10s);
    EXPECT_TRUE(fleet.recordsOf<SuspectRecord>().empty());
    EXPECT_TRUE(fleet.ledger().isUp(Agent));
}

// Guards against an entry that was paused and then takes everybody else for silent.
TEST(MembershipVotes, PausedEntrySuspectsNobody)
{
    EntryFleet fleet(2, 3);
    fleet.m_stopped.insert({1});
    fleet.run(2s);
    const auto before = fleet.m_now;
    fleet.m_stopped.insert({2});
    for (std::uint64_t i = 0; i < 3; ++i)
        fleet.m_stopped.insert({100 + i});
    fleet.m_now = before + 20s;
    fleet.m_stopped.clear();
    fleet.run(5s);
    EXPECT_TRUE(fleet.recordsOf<SuspectRecord>().empty());
}

// Guards against a process that was declared down by mistake and stays out for good.
TEST(MembershipVotes, EntryThatFindsItselfDownRegistersAgain)
{
    EntryFleet fleet(3);
    fleet.m_stopped.insert({2});
    fleet.run(10s);
    ASSERT_FALSE(fleet.ledger().isUp({2}));
    fleet.m_stopped.clear();
    fleet.run(1s);
    EXPECT_TRUE(fleet.ledger().isUp({2}));
    fleet.run(20s);
    EXPECT_TRUE(fleet.ledger().isUp({2}));
}

// Guards against retiring a member too early or never (rule R8). A member that is cut off from the
// log accepts jobs for one id_memory, and each of them must be known for another one, so until then
// it is needed as a witness. A dead member that is never retired makes every witness round
// incomplete.
TEST(MembershipDuties, DownMemberIsRetiredAfterTwiceIdMemory)
{
    EntryFleet fleet(3);
    fleet.m_stopped.insert(Agent);
    fleet.run(10s);
    ASSERT_FALSE(fleet.ledger().isUp(Agent));
    fleet.run(1240s);
    EXPECT_TRUE(fleet.recordsOf<RetireRecord>().empty());
    fleet.run(20s);
    EXPECT_EQ(fleet.recordsOf<RetireRecord>().size(), 1u);
    EXPECT_EQ(fleet.ledger().member(Agent), nullptr);
}

// Guards against counting the time that a member was down before it registered again.
TEST(MembershipDuties, RevivedMemberStartsItsTimeAnew)
{
    EntryFleet fleet(3);
    fleet.m_stopped.insert(Agent);
    fleet.run(400s);
    fleet.m_log.append(RegisterRecord{member(Agent.value, Role::Agent)}, "again");
    fleet.run(400s); // down again after some seconds
    EXPECT_FALSE(fleet.ledger().isUp(Agent));
    EXPECT_TRUE(fleet.recordsOf<RetireRecord>().empty());
}

// Guards against snapshots that are missing after many records or a long time, or that every entry
// writes.
TEST(MembershipDuties, LowestEntryWritesSnapshotsByRecordsAndByTime)
{
    EntryFleet fleet(3, 1, 400s);
    for (std::uint64_t epoch = 1; epoch <= 2000; ++epoch)
        fleet.m_log.append(ClaimRecord{Agent, {{{5}, {epoch}}}, false});
    fleet.run(1s);
    const auto first = fleet.recordsOf<SnapshotRecord>();
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(valueOf(Ledger::fromSnapshot(first[0])).shard({5}).epoch, Epoch{2000});
    fleet.run(95s);
    EXPECT_EQ(fleet.recordsOf<SnapshotRecord>().size(), 1u);
    fleet.run(10s);
    EXPECT_EQ(fleet.recordsOf<SnapshotRecord>().size(), 2u);
}

// Guards against a trimmed log without a snapshot, which a new process could not read at all.
TEST(MembershipDuties, OthersWriteTheSnapshotIfTheLowestEntryDoesNot)
{
    EntryFleet fleet(2, 1, 400s);
    fleet.m_log.append(RegisterRecord{member(50, Role::Entry)}); // registered, but does not exist
    EntryFleet second(1, 1, 400s);
    second.m_log.append(LeaveRecord{{1}, {}});
    second.run(1s);
    fleet.m_stopped.insert({1});
    fleet.m_cut.insert({{1}, {2}});
    fleet.run(250s);
    EXPECT_GE(fleet.recordsOf<SnapshotRecord>().size(), 1u);
    EXPECT_TRUE(second.recordsOf<SnapshotRecord>().empty()) << "a process that left has no duty";
}

// Three entries and one agent that is the home of every shard.
class ShutdownTest : public testing::Test
{
protected:
    ShutdownTest()
    {
        ClaimRecord claim{Agent, {}, false};
        for (std::uint16_t n = 0; n < ShardCount; ++n)
            claim.claims.push_back({{n}, {1}});
        m_fleet.m_log.append(claim);
        m_fleet.run(1s);
    }
    void submit(Incarnation entry, const std::string &id)
    {
        Outbox out;
        m_fleet.entry(entry).submit({++m_lastCaller}, job(id), {}, m_fleet.m_now + 30s,
                                    m_fleet.m_now, out);
        for (const AnswerCaller &it : allOf<AnswerCaller>(out.take()))
            m_fleet.m_answers.push_back(it);
    }
    void answer(Incarnation entry, const std::string &id)
    {
        m_fleet.deliver(Agent, entry, JobAnswer{{"team/" + id}, {1}, completed()});
        m_fleet.run(1ms);
    }
    void beginShutdown(Incarnation entry)
    {
        Outbox out;
        m_fleet.entry(entry).beginShutdown(m_fleet.m_now, out);
        EXPECT_TRUE(out.isEmpty() || m_fleet.entry(entry).rememberedKeyCount() == 0);
    }
    // Number of keys that the entry reports for the shard of `key` in the name of `subject`.
    std::size_t witnessedBy(Incarnation entry, Incarnation subject, const JobKey &key)
    {
        Outbox out;
        m_fleet.entry(entry).onEnvelope({{101}, entry, {}, {StartEpoch{{{shardOf(key), {2}}}}}},
                                        m_fleet.m_now, out);
        for (const auto &[to, witness] : sentOf<Witness>(out.take()))
            if (witness.subject == subject)
                return witness.jobs.size();
        ADD_FAILURE() << "no Witness for the subject";
        return 0;
    }

    EntryFleet m_fleet{3};
    std::uint64_t m_lastCaller = 0;
};

// Guards against a shutdown that leaves a caller without its answer, or that loses the keys of
// forwarded jobs.
TEST_F(ShutdownTest, CallersAreAnsweredThenMemoryIsHandedOverThenItLeaves)
{
    const JobKey key{"team/j"};
    submit({1}, "j");
    beginShutdown({1});
    submit({1}, "late");
    ASSERT_EQ(m_fleet.m_answers.size(), 1u);
    EXPECT_EQ(std::get<Answer>(m_fleet.m_answers[0].reply).reason, "entry_shutting_down");
    m_fleet.deliver(Agent, {1}, JobAccepted{key, {1}});
    m_fleet.run(4s);
    EXPECT_TRUE(m_fleet.m_adopted.empty()) << "a caller still waits";
    answer({1}, "j");
    ASSERT_EQ(m_fleet.m_answers.size(), 2u);
    m_fleet.run(2s);
    EXPECT_TRUE(m_fleet.entry({1}).isShutdownComplete());
    const auto left = m_fleet.recordsOf<LeaveRecord>();
    ASSERT_EQ(left.size(), 1u);
    EXPECT_EQ(witnessedBy(left[0].successor, {1}, key), 1u);
}

// Guards against a leave record before the last acknowledgement: the successor would then report
// only a part of the keys.
TEST_F(ShutdownTest, LeavesOnlyAfterEveryPartIsAcknowledged)
{
    for (const char *id : {"a", "b"}) {
        submit({1}, id);
        answer({1}, id);
    }
    m_fleet.m_cut.insert({{3}, {1}});
    Outbox out;
    m_fleet.entry({1}).beginShutdown(m_fleet.m_now, out);
    const auto parts = sentOf<AdoptWitness>(out.take());
    ASSERT_EQ(parts.size(), 2u);
    for (int i = 0; i < 5; ++i) { // repeated acknowledgements of one part count once
        m_fleet.entry({1}).onEnvelope({{3}, {1}, {}, {AdoptAck{{1}, parts[0].second.part}}},
                                      m_fleet.m_now, out);
        EXPECT_TRUE(appendsOf<LeaveRecord>(out.take()).empty());
    }
    m_fleet.entry({1}).onEnvelope({{3}, {1}, {}, {AdoptAck{{1}, parts[1].second.part}}},
                                  m_fleet.m_now, out);
    EXPECT_EQ(appendsOf<LeaveRecord>(out.take()).size(), 1u);
}

// Guards against a leave record that names a successor that does not have the keys.
TEST_F(ShutdownTest, SilentSuccessorIsReplacedBeforeTheLeaveRecord)
{
    for (int i = 0; i < 20; ++i) { // more parts than are sent at a time
        submit({1}, "j" + std::to_string(i));
        answer({1}, "j" + std::to_string(i));
    }
    m_fleet.m_cut.insert({{3}, {1}}); // its acknowledgements are lost
    Outbox out;
    m_fleet.entry({1}).beginShutdown(m_fleet.m_now, out);
    m_fleet.run(4s);
    EXPECT_TRUE(m_fleet.recordsOf<LeaveRecord>().empty());
    m_fleet.run(10s);
    const auto left = m_fleet.recordsOf<LeaveRecord>();
    ASSERT_EQ(left.size(), 1u);
    EXPECT_EQ(left[0].successor, Incarnation{2});
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(witnessedBy({2}, {1}, {"team/j" + std::to_string(i)}), 1u);
}

// Guards against a last entry that waits for a successor for ever.
TEST_F(ShutdownTest, LastEntryLeavesWithoutASuccessor)
{
    EntryFleet fleet(1);
    Outbox out;
    fleet.entry({1}).beginShutdown(fleet.m_now, out);
    const auto left = appendsOf<LeaveRecord>(out.take());
    ASSERT_EQ(left.size(), 1u);
    EXPECT_EQ(left[0].successor, Incarnation{});
}

} // namespace
} // namespace cactuscove
