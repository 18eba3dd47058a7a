// The rules by which log records take effect: every reader agrees on the state, and a record that
// breaks a rule changes nothing.

#include "ledger.h"
#include "recordcodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

constexpr Incarnation Entry1{1}, Entry2{2}, Entry3{3}, Agent1{11}, Agent2{12}, Agent3{13};

const char ValidFile[] = "version: 1\n";

// Numbers records in order and applies them to one ledger.
class Log
{
public:
    LedgerChanges append(RecordBody body)
    {
        return append(std::to_string(m_next), std::move(body));
    }

    LedgerChanges append(const std::string &appendId, RecordBody body)
    {
        return ledger.apply({LogOffset{m_next++}, {appendId, std::move(body)}});
    }

    void addEntries() { add(Role::Entry, {Entry1, Entry2, Entry3}); }
    void addAgents() { add(Role::Agent, {Agent1, Agent2, Agent3}); }

    void add(Role role, std::initializer_list<Incarnation> incarnations)
    {
        for (const Incarnation it : incarnations)
            append(RegisterRecord{{it, role, "127.0.0.1:1", "dc1", "rack1", "hollisdale"}});
    }

    LedgerChanges claim(Incarnation home, std::uint16_t shard, std::uint64_t epoch)
    {
        return append(ClaimRecord{home, {{ShardId{shard}, Epoch{epoch}}}, false});
    }

    Incarnation answererOf(ShardId shard, Incarnation subject) const
    {
        for (const WitnessAssignment &it : ledger.witnessesOf(shard)) {
            if (it.subject == subject)
                return it.answeredBy;
        }
        ADD_FAILURE() << "not a witness: " << subject.value;
        return {};
    }

    Ledger ledger;

private:
    std::uint64_t m_next = 0;
};

// Guards against two homes of one epoch (rule R1), when two agents claim the shard of the same dead
// home.
TEST(Ledger, ClaimIsValidOnlyForTheNextEpoch)
{
    Log log;
    log.addAgents();
    EXPECT_EQ(log.claim(Agent1, 7, 1).shards.size(), 1U);
    EXPECT_TRUE(log.claim(Agent2, 7, 1).shards.empty());
    EXPECT_TRUE(log.claim(Agent2, 7, 3).shards.empty());
    EXPECT_EQ(log.ledger.shard(ShardId{7}).home, Agent1);
    EXPECT_EQ(log.claim(Agent2, 7, 2).shards.size(), 1U);
    EXPECT_EQ(log.ledger.shardsOf(Agent2), std::vector{ShardId{7}});
    EXPECT_TRUE(log.ledger.shardsOf(Agent1).empty());
}

// Guards against a home that cannot serve its shard, which would then accept no job until the next
// claim.
TEST(Ledger, ClaimForAMemberThatIsNotAnUpAgentIsIgnored)
{
    Log log;
    log.add(Role::Entry, {Entry1});
    log.addAgents();
    log.append(SuspectRecord{Entry1, Agent1});
    log.append(LeaveRecord{Agent2, Agent3});
    for (const Incarnation home : {Entry1, Agent1, Agent2, Incarnation{99}})
        EXPECT_TRUE(log.claim(home, 7, 1).shards.empty()) << home.value;
}

// Guards against one entry with a bad link that takes a member down although the others reach it.
TEST(Ledger, MemberIsDownWhenHalfOfTheUpEntriesSuspectIt)
{
    Log log;
    log.addEntries();
    log.addAgents();
    log.append(SuspectRecord{Entry1, Agent1});
    log.append(SuspectRecord{Entry1, Agent1}); // the same voter twice
    log.append(SuspectRecord{Agent2, Agent1}); // agents have no vote
    EXPECT_TRUE(log.ledger.isUp(Agent1));
    log.append(SuspectRecord{Entry2, Agent1});
    EXPECT_FALSE(log.ledger.isUp(Agent1));
    log.append(ClearRecord{Entry2, Agent1}); // only its own registration brings it back
    EXPECT_FALSE(log.ledger.isUp(Agent1));
    log.append(SuspectRecord{Entry3, Entry1}); // one of two other entries
    EXPECT_EQ(log.ledger.upMembers(Role::Entry), (std::vector{Entry2, Entry3}));
}

// Guards against counting a vote that was withdrawn before the second vote arrived.
TEST(Ledger, ClearWithdrawsAVote)
{
    Log log;
    log.addEntries();
    log.addAgents();
    log.append(SuspectRecord{Entry1, Agent1});
    log.append(ClearRecord{Entry1, Agent1});
    log.append(SuspectRecord{Entry2, Agent1});
    EXPECT_TRUE(log.ledger.isUp(Agent1));
}

// Guards against counting entries that are gone as voters: a fleet with few entries left could then
// declare nobody down.
TEST(Ledger, VotesAreCountedAgainWhenAnEntryIsLost)
{
    Log log;
    log.addEntries();
    log.addAgents();
    log.append(SuspectRecord{Entry1, Agent1});
    log.append(SuspectRecord{Entry2, Agent2});
    log.append(LeaveRecord{Entry2, Entry3}); // its vote leaves with it, two voters remain
    EXPECT_FALSE(log.ledger.isUp(Agent1));
    EXPECT_TRUE(log.ledger.isUp(Agent2));
}

// Guards against losing both entries when they suspect each other in a partition: the order of the
// log must keep exactly one of them up.
TEST(Ledger, SuspicionByADownEntryHasNoEffect)
{
    Log log;
    log.add(Role::Entry, {Entry1, Entry2});
    log.append(SuspectRecord{Entry1, Entry2});
    log.append(SuspectRecord{Entry2, Entry1});
    EXPECT_TRUE(log.ledger.isUp(Entry1));
    EXPECT_FALSE(log.ledger.isUp(Entry2));
}

// Guards against treating a paused process that registers again as a new one: it still knows its
// jobs, so it must count as a witness from its first registration on, and old votes must not take
// it down again.
TEST(Ledger, SecondRegistrationRevives)
{
    Log log;
    log.add(Role::Entry, {Entry1});
    log.addAgents();
    const LogOffset first = log.ledger.member(Agent1)->registeredAt;
    log.claim(Agent2, 7, 1);
    log.append(SuspectRecord{Entry1, Agent1});
    EXPECT_EQ(log.answererOf(ShardId{7}, Agent1), Incarnation{});
    log.add(Role::Agent, {Agent1});
    EXPECT_TRUE(log.ledger.isUp(Agent1));
    EXPECT_EQ(log.ledger.member(Agent1)->registeredAt, first);
    EXPECT_TRUE(log.ledger.member(Agent1)->suspectedBy.empty());
    EXPECT_EQ(log.answererOf(ShardId{7}, Agent1), Agent1);
}

// Guards against a late copy of the registration of a process that has left. The process would then
// be asked as a witness in place of its successor.
TEST(Ledger, RegistrationAfterLeaveIsIgnored)
{
    Log log;
    log.addAgents();
    log.append(LeaveRecord{Agent1, Agent2});
    log.add(Role::Agent, {Agent1});
    EXPECT_FALSE(log.ledger.isUp(Agent1));
}

// Guards against a missing witness, without which a new home could take a known job as new (rule
// R5).
TEST(Ledger, WitnessesAreAllRegisteredBeforeTheClaimAndNotRetired)
{
    Log log;
    log.add(Role::Entry, {Entry1});
    log.add(Role::Agent, {Agent1, Agent2});
    EXPECT_TRUE(log.ledger.witnessesOf(ShardId{7}).empty());
    log.claim(Agent1, 7, 1);
    log.add(Role::Agent, {Agent3});
    EXPECT_EQ(log.ledger.witnessesOf(ShardId{7}).size(), 3U);
    log.append(RetireRecord{Agent1}); // ignored, because the agent is up
    EXPECT_EQ(log.ledger.witnessesOf(ShardId{7}).size(), 3U);
    log.append(SuspectRecord{Entry1, Agent1});
    log.append(RetireRecord{Agent1});
    EXPECT_EQ(log.ledger.witnessesOf(ShardId{7}).size(), 2U);
    EXPECT_EQ(log.ledger.member(Agent1), nullptr);
}

// Guards against losing what replaced processes know of jobs: it must stay reachable through a
// chain of successors. If no successor can answer, that must show.
TEST(Ledger, SuccessorsAnswerForThoseWhoLeft)
{
    Log log;
    log.add(Role::Entry, {Entry1});
    log.addAgents();
    log.claim(Agent3, 7, 1);
    log.append(LeaveRecord{Agent1, Agent2});
    log.append(LeaveRecord{Agent2, Agent3});
    EXPECT_EQ(log.answererOf(ShardId{7}, Agent1), Agent3);
    log.append(SuspectRecord{Entry1, Agent3});
    EXPECT_EQ(log.answererOf(ShardId{7}, Agent1), Incarnation{});
    log.append(
        LeaveRecord{Agent3, Agent1}); // makes a cycle of successors, none of which can answer
    EXPECT_EQ(log.answererOf(ShardId{7}, Agent1), Incarnation{});
}

// Guards against two offices that overwrite each other's configuration: the first record in the log
// is accepted, and the refusal of the second names who made the first.
TEST(Ledger, SecondOfTwoRacingConfigurationsIsRefused)
{
    Log log;
    const std::string second = std::string(ValidFile) + "id_memory: 1m\n";
    EXPECT_TRUE(
        log.append(ConfigRecord{{}, ValidFile, "hollisdale", "ida"}).configOutcome->accepted);
    const auto outcome
        = *log.append(ConfigRecord{{}, second, "maji-baridi", "otieno"}).configOutcome;
    EXPECT_FALSE(outcome.accepted);
    EXPECT_EQ(outcome.revision, Revision{1});
    EXPECT_EQ(outcome.winnerOffice, "hollisdale");
    EXPECT_EQ(outcome.winnerAuthor, "ida");
    EXPECT_EQ(log.ledger.config()->text, ValidFile);
    EXPECT_TRUE(
        log.append(ConfigRecord{{1}, second, "maji-baridi", "otieno"}).configOutcome->accepted);
    EXPECT_EQ(log.ledger.fleetConfig().idMemory, std::chrono::minutes(1));
}

// Guards against an invalid file that takes effect or uses up a revision.
TEST(Ledger, InvalidConfigurationChangesNothing)
{
    Log log;
    const auto changes = log.append(ConfigRecord{{}, "version: 2\n", "hollisdale", "ida"});
    EXPECT_FALSE(changes.config);
    EXPECT_FALSE(changes.configOutcome->accepted);
    EXPECT_EQ(changes.configOutcome->errors.size(), 1U);
    EXPECT_EQ(log.ledger.config(), nullptr);
    EXPECT_TRUE(log.ledger.fleetConfig().teams.empty());
}

// Guards against applying the second copy of an append that was repeated because its reply was
// lost, and against remembering append ids without bound.
TEST(Ledger, RepeatedAppendIdIsIgnored)
{
    Log log;
    log.add(Role::Entry, {Entry1});
    log.add(Role::Agent, {Agent1});
    log.append("a", SuspectRecord{Entry1, Agent1});
    log.add(Role::Agent, {Agent1});
    EXPECT_FALSE(log.append("a", SuspectRecord{Entry1, Agent1}).members);
    EXPECT_TRUE(log.ledger.isUp(Agent1));
    EXPECT_TRUE(log.ledger.hasAppend("a"));
    for (int i = 0; i < 5000; ++i)
        log.append("x" + std::to_string(i), ClearRecord{Entry1, Agent1});
    EXPECT_FALSE(log.ledger.hasAppend("a"));
}

// Guards against reading a damaged snapshot as an empty or partial state.
TEST(Ledger, MalformedSnapshotsAreRefused)
{
    for (const char *state :
         {"", "{}", "[]", "null", R"({"members":[],"shards":[],"configs":[]})",
          R"({"members":[{}],"shards":[],"configs":[],"appends":[]})",
          R"({"members":[],"shards":[[999,1,1,1,true]],"configs":[],"appends":[]})",
          R"({"members":[],"shards":[["x"]],"configs":[],"appends":[]})",
          R"({"members":[],"shards":[],"configs":[],"appends":[{}]})"})
        EXPECT_FALSE(isOk(Ledger::fromSnapshot({LogOffset{4}, state}))) << state;
}

rc::Gen<RecordBody> anyBody()
{
    return rc::gen::exec([]() -> RecordBody {
        const Incarnation a{*rc::gen::inRange<std::uint64_t>(1, 9)};
        const Incarnation b{*rc::gen::inRange<std::uint64_t>(1, 9)};
        const Role role = a.value < 4 ? Role::Entry : Role::Agent;
        const auto shard = *rc::gen::inRange<std::uint16_t>(0, 3);
        const auto number = *rc::gen::inRange<std::uint64_t>(0, 4);
        switch (*rc::gen::inRange(0, 10)) {
        case 0:
        case 1:
            return RegisterRecord{{a, role, "127.0.0.1:1", "dc", "rack", "office"}};
        case 2:
            return SuspectRecord{a, b};
        case 3:
            return ClearRecord{a, b};
        case 4:
            return LeaveRecord{a, b};
        case 5:
            return RetireRecord{a};
        case 6:
            return ConfigRecord{{number}, number == 3 ? "bad" : ValidFile, "o", "a"};
        case 7:
            return MalformedRecord{};
        default:
            return ClaimRecord{a, {{ShardId{shard}, Epoch{number}}}, b.value < 3};
        }
    });
}

// Guards against state that is missing from snapshots, and against an effect of a late copy of an
// old snapshot: readers that start at different snapshots would then act on different homes and
// configurations.
RC_GTEST_PROP(LedgerProperty, ReadersFromAnySnapshotAgreeAtTheTip, ())
{
    const auto bodies = *rc::gen::container<std::vector<RecordBody>>(anyBody());
    Ledger full;
    std::vector<SnapshotRecord> snapshots{full.snapshot()};
    std::vector<LogRecord> log;
    const auto append = [&](RecordBody body) {
        const auto id = *rc::gen::inRange<std::size_t>(0, 2 * bodies.size() + 1);
        log.push_back({LogOffset{log.size()}, {std::to_string(id), std::move(body)}});
        full.apply(log.back());
        snapshots.push_back(full.snapshot());
    };
    for (const RecordBody &body : bodies) {
        append(body);
        if (*rc::gen::inRange(0, 5) == 0)
            append(*rc::gen::elementOf(snapshots));
    }
    for (const SnapshotRecord &start : snapshots) {
        auto reader = Ledger::fromSnapshot(start);
        RC_ASSERT(isOk(reader));
        for (const LogRecord &record : log)
            valueOf(reader).apply(record);
        RC_ASSERT(valueOf(reader).snapshot().state == full.snapshot().state);
        RC_ASSERT(valueOf(reader).next() == full.next());
    }
}

// Guards against fields that the record encoding loses or changes.
RC_GTEST_PROP(LedgerProperty, RecordsSurviveTheirEncoding, ())
{
    const Record record{"id-1", *anyBody()};
    const auto decoded = decodeRecord(encodeRecord(record));
    RC_ASSERT(isOk(decoded));
    RC_ASSERT(encodeRecord(valueOf(decoded)) == encodeRecord(record));
    RC_ASSERT(valueOf(decoded).body.index() == record.body.index());
}

// Guards against text in the log that makes a reader crash, or that it reads differently from the
// others. Anyone may append to the log stream by mistake.
TEST(RecordCodec, MalformedRecordsAreRefused)
{
    for (
        const std::string text :
        {"", "{", "[]", "7", "null", R"({"id":"a"})", R"({"id":"a","type":"other"})",
         R"({"type":"retire","incarnation":1})", R"({"id":"","type":"retire","incarnation":1})",
         R"({"id":"a","type":"retire","incarnation":0})",
         R"({"id":"a","type":"retire","incarnation":-1})",
         R"({"id":"a","type":"retire","incarnation":1.5})",
         R"({"id":"a","type":"retire","incarnation":"1"})",
         R"({"id":"a","type":"register","member":[]})",
         R"({"id":"a","type":"claim","home":1,"transferred":false,"claims":[5]})",
         R"({"id":"a","type":"claim","home":1,"transferred":false,"claims":[{"shard":512,"epoch":1}]})"})
        EXPECT_FALSE(isOk(decodeRecord(text))) << text;
    EXPECT_FALSE(isOk(decodeRecord(std::string(100'000, '['))));
    EXPECT_TRUE(isOk(decodeRecord(R"({"id":"a","type":"retire","incarnation":1})")));
}

// Guards against text on which the decoder crashes.
RC_GTEST_PROP(RecordCodecProperty, AnyTextIsDecodedOrRefused, (const std::string &text))
{
    decodeRecord(text);
    const std::string valid = encodeRecord({"id", ClaimRecord{Agent1, {{ShardId{1}, Epoch{1}}}}});
    decodeRecord(valid.substr(0, text.size() % valid.size()) + text);
}

} // namespace
} // namespace cactuscove
