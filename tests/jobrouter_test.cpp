// The keys that an entry remembers and reports, the epochs at which it forwards, and what callers
// are told while homes change.

#include "entryfixture.h"

#include <rapidcheck/gtest.h>

namespace cactuscove {
namespace {

using namespace entrytest;

constexpr Incarnation Self{7};
constexpr Incarnation First{100};
constexpr Incarnation Second{101};
const JobKey Key{"team/j"};
const ShardId Shard = shardOf(Key);

// One router, and a ledger in which the agent First is the home of Shard at epoch 1.
class JobRouterTest : public testing::Test
{
protected:
    JobRouterTest()
    {
        append(RegisterRecord{member(Self.value, Role::Entry)});
        append(RegisterRecord{member(First.value, Role::Agent)});
        append(RegisterRecord{member(Second.value, Role::Agent)});
        claim(First, 1);
    }
    void append(RecordBody body)
    {
        m_router.onLedgerChange(m_ledger.apply(m_log.append(std::move(body))), m_now, m_out);
    }
    void claim(Incarnation home, std::uint64_t epoch)
    {
        append(ClaimRecord{home, {{Shard, {epoch}}}, false});
    }
    std::vector<Effect> submit(std::uint64_t caller, JobSpec spec = job("j"), Duration wait = 30s)
    {
        m_router.submit({caller}, std::move(spec), {}, m_now + wait, m_now, m_out);
        return m_out.take();
    }
    std::vector<Effect> receive(Incarnation from, const Message &message)
    {
        m_router.onMessage(from, message, m_now, m_out);
        return m_out.take();
    }
    void undelivered(const std::pair<Incarnation, SubmitJob> &sent)
    {
        m_router.onUndelivered(sent.first, sent.second, m_now, m_out);
    }
    std::vector<Effect> advance(Duration duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now = std::clamp(m_router.nextTimer(), m_now + 1ms, end);
            m_router.onTimer(m_now, m_out);
        }
        return m_out.take();
    }
    // Number of keys that the entry reports to the home of `epoch`.
    std::size_t witnessed(std::uint64_t epoch, ShardId shard = Shard)
    {
        const auto sent = sentOf<Witness>(receive(Second, StartEpoch{{{shard, {epoch}}}}));
        EXPECT_EQ(sent.at(0).second.claims.at(0).epoch, Epoch{epoch});
        return sent[0].second.jobs.size();
    }
    static std::vector<Outcome> outcomesOf(const std::vector<Effect> &effects)
    {
        std::vector<Outcome> result;
        for (const AnswerCaller &it : allOf<AnswerCaller>(effects))
            if (const auto *answer = std::get_if<Answer>(&it.reply))
                result.push_back(answer->outcome);
        return result;
    }

    TimePoint m_now = Start;
    TestLog m_log;
    Ledger m_ledger;
    Outbox m_out;
    JobRouter m_router{Self, m_ledger};
};

// Guards against passing on a not_run answer that was under way for longer than its retry time. The
// key is new after that time, so a later forward of this entry may have started the job.
TEST_F(JobRouterTest, ANotRunAnswerThatIsOlderThanItsRetryTimeIsAskedForAgain)
{
    submit(1);
    const Duration askedAt = m_now.time_since_epoch();
    Answer refused;
    refused.outcome = Outcome::NotRun;
    refused.reason = "no_upstream";
    refused.retryAfter = 200ms;
    advance(250ms);
    EXPECT_TRUE(allOf<AnswerCaller>(receive(First, JobAnswer{Key, {1}, refused, askedAt})).empty());
    const auto again = allOf<Send>(advance(1ms));
    ASSERT_EQ(again.size(), 1u);
    const auto *repeat = std::get_if<SubmitJob>(&again.front().message);
    ASSERT_NE(repeat, nullptr);
    EXPECT_EQ(
        allOf<AnswerCaller>(receive(First, JobAnswer{Key, {1}, refused, repeat->sentAt})).size(),
        1u);
}

// Guards against a key that is missing from the witness reply: the next home could start its job
// again (rule R3).
TEST_F(JobRouterTest, WitnessListsKeysOfLowerEpochsOnly)
{
    submit(1);
    EXPECT_EQ(witnessed(1), 0u);
    EXPECT_EQ(witnessed(2), 1u);
    EXPECT_EQ(witnessed(2), 1u) << "a repeated question gets the same answer";
}

// Guards against remembering the highest epoch instead of the lowest: the home of epoch 2 would
// then not be told of a key that was forwarded at epoch 1 as well (rule R3).
TEST_F(JobRouterTest, ResubmissionAtAHigherEpochKeepsTheLowestOne)
{
    submit(1);
    claim(Second, 2);
    ASSERT_EQ(sentOf<SubmitJob>(m_out.take()).size(), 1u);
    EXPECT_EQ(witnessed(2), 1u);
}

// Guards against keys that expire too early or stay for ever.
TEST_F(JobRouterTest, KeyExpiresAfterIdMemoryAndMargin)
{
    submit(1);
    receive(First, JobAnswer{Key, {1}, completed()});
    advance(30s + 600s + 59s);
    EXPECT_EQ(witnessed(2), 1u);
    advance(70s);
    EXPECT_EQ(witnessed(3), 0u);
    EXPECT_EQ(m_router.rememberedKeyCount(), 0u);
}

// Guards against answering a job as unknown for no reason. A refused connection proves that the
// home never saw the key. If the entry kept it, the takeover that usually follows would make the
// job unknown.
TEST_F(JobRouterTest, UndeliveredFirstForwardIsForgotten)
{
    const auto sent = sentOf<SubmitJob>(submit(1));
    undelivered(sent.at(0));
    EXPECT_EQ(witnessed(2), 0u);
}

// Guards against forgetting a key because one of its forwards was undelivered, although another may
// have arrived.
TEST_F(JobRouterTest, ForwardThatMayHaveArrivedKeepsTheKey)
{
    submit(1);
    const auto repeat = sentOf<SubmitJob>(advance(1s));
    ASSERT_EQ(repeat.size(), 1u);
    undelivered(repeat[0]);
    EXPECT_EQ(witnessed(2), 1u);
}

// Guards against an undelivered forward that removes a key which an adopted memory has stored
// before or after it.
TEST_F(JobRouterTest, UndeliveredForwardDoesNotRemoveAKeyFromElsewhere)
{
    receive(Incarnation{8}, AdoptWitness{{8}, {{{hashOf(Key), 0, 0, {}}, {1}, 0s}}, 0});
    undelivered(sentOf<SubmitJob>(submit(1)).at(0));
    EXPECT_EQ(witnessed(2), 1u);

    const JobKey other{"team/k"};
    append(ClaimRecord{First, {{shardOf(other), {1}}}, false});
    const auto sent = sentOf<SubmitJob>(submit(2, job("k")));
    receive(Incarnation{8}, AdoptWitness{{8}, {{{hashOf(other), 0, 0, {}}, {1}, 0s}}, 1});
    undelivered(sent.at(0));
    EXPECT_EQ(witnessed(2, shardOf(other)), 1u);
}

// Guards against a key that stays at the epoch of a dead home when the forward to that home is
// proved undelivered only after the takeover. No home before the new one has seen the key.
TEST_F(JobRouterTest, TakeoverInTheMiddleOfAForward)
{
    const auto first = sentOf<SubmitJob>(submit(1));
    claim(Second, 2);
    const auto second = sentOf<SubmitJob>(m_out.take());
    ASSERT_EQ(second.size(), 1u) << "redirected at once";
    EXPECT_EQ(second[0].first, Second);
    EXPECT_EQ(second[0].second.epoch, Epoch{2});
    undelivered(first.at(0));
    EXPECT_EQ(witnessed(2), 0u);
    EXPECT_EQ(witnessed(3), 1u);
}

// Guards against a forward at an epoch below one that a new home has announced: its job would be
// missing from the witness round of that home (rule R2).
TEST_F(JobRouterTest, StartEpochFencesTheOldHome)
{
    receive(Second, StartEpoch{{{Shard, {2}}}});
    EXPECT_EQ(m_router.fence(Shard), Epoch{2});
    const auto sent = sentOf<SubmitJob>(submit(1));
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].first, Second) << "the sender of StartEpoch is the home of its epoch";
    EXPECT_EQ(sent[0].second.epoch, Epoch{2});
}

// Guards against a not_run answer of an earlier home for a job that its successor runs.
TEST_F(JobRouterTest, LateAnswersOfAnotherEpochCountOnlyIfCompleted)
{
    submit(1);
    claim(Second, 2);
    m_out.take();
    const Answer refused{Outcome::NotRun, "queue_full", 1s, {}};
    EXPECT_TRUE(outcomesOf(receive(First, JobAnswer{Key, {1}, refused})).empty());
    EXPECT_TRUE(outcomesOf(receive(First, JobAnswer{Key, {2}, refused})).empty());
    EXPECT_TRUE(outcomesOf(receive(Second, JobAnswer{Key, {1}, refused})).empty());
    EXPECT_EQ(outcomesOf(receive(First, JobAnswer{Key, {1}, completed()})),
              std::vector{Outcome::Completed});
}

// Guards against callers of the same key that get no answer, or that cause forwards of their own.
TEST_F(JobRouterTest, EveryWaitingCallerGetsTheWholeAnswer)
{
    submit(1);
    EXPECT_TRUE(sentOf<SubmitJob>(submit(2)).empty()) << "one forward serves all callers";
    m_router.query({3}, Key, m_now + 30s, m_now, m_out);
    submit(4);
    m_router.callerDisconnected({2});
    const auto answers = allOf<AnswerCaller>(receive(First, JobAnswer{Key, {1}, completed()}));
    ASSERT_EQ(answers.size(), 3u);
    for (const AnswerCaller &it : answers) {
        EXPECT_NE(it.caller, CallerId{2});
        EXPECT_EQ(std::get<Answer>(it.reply), completed());
    }
    EXPECT_TRUE(m_router.isIdle());
}

// Guards against dropping a job whose caller has hung up before its home has accepted it.
TEST_F(JobRouterTest, JobOfACallerThatHangsUpGoesOn)
{
    submit(1);
    m_router.callerDisconnected({1});
    EXPECT_EQ(sentOf<SubmitJob>(advance(1s)).size(), 1u);
    receive(First, JobAccepted{Key, {1}});
    EXPECT_TRUE(m_router.isIdle());
    EXPECT_EQ(m_router.rememberedKeyCount(), 1u);
}

// Guards against answering a job with the result of another one under the same id.
TEST_F(JobRouterTest, OtherContentUnderTheSameIdIsRefused)
{
    submit(1);
    const auto local = allOf<AnswerCaller>(submit(2, job("j", "other")));
    ASSERT_EQ(local.size(), 1u);
    EXPECT_EQ(std::get<SubmitRefusal>(local[0].reply), SubmitRefusal::ContentMismatch);
    const auto byHome = allOf<AnswerCaller>(
        receive(First, SubmitRefused{Key, SubmitRefusal::ContentMismatch, {1}}));
    ASSERT_EQ(byHome.size(), 1u);
    EXPECT_EQ(byHome[0].caller, CallerId{1});
}

// Guards against a long wait after a refusal, and against answering home_unreachable during a
// transfer.
TEST_F(JobRouterTest, RefusalsAreRepeatedSoonAndThenEachSecond)
{
    submit(1);
    receive(First, SubmitRefused{Key, SubmitRefusal::NotHome, {1}});
    EXPECT_EQ(sentOf<SubmitJob>(advance(60ms)).size(), 1u);
    // A transfer may last longer than the 5 s after which a silent home is given up.
    for (int i = 0; i < 20; ++i) {
        receive(First, SubmitRefused{Key, SubmitRefusal::Transferring, {1}});
        EXPECT_EQ(sentOf<SubmitJob>(advance(1s)).size(), 1u);
    }
}

// Guards against a caller that waits until its deadline for a silent home.
TEST_F(JobRouterTest, SilentHomeIsReportedAfterTheTimeout)
{
    submit(1);
    EXPECT_EQ(sentOf<SubmitJob>(advance(4999ms)).size(), 4u) << "repeated each second";
    const auto answers = allOf<AnswerCaller>(advance(1ms));
    ASSERT_EQ(answers.size(), 1u);
    const Answer &answer = std::get<Answer>(answers[0].reply);
    EXPECT_EQ(answer.outcome, Outcome::Unknown) << "only the home may say not_run";
    EXPECT_EQ(answer.reason, "home_unreachable");
    EXPECT_GE(*answer.retryAfter, 1s);
    EXPECT_LE(*answer.retryAfter, 5s);
}

// Guards against a caller that is answered only after its deadline.
TEST_F(JobRouterTest, ShortDeadlineEndsBeforeTheTimeout)
{
    JobSpec spec = job("j");
    spec.deadline = 1500ms;
    submit(1, spec);
    EXPECT_TRUE(outcomesOf(advance(1499ms)).empty());
    EXPECT_EQ(outcomesOf(advance(1ms)), std::vector{Outcome::Unknown});
}

// Guards against giving up a new home because of the silence of the old one.
TEST_F(JobRouterTest, TakeoverRestartsTheTimeout)
{
    submit(1);
    advance(4s);
    claim(Second, 2);
    EXPECT_TRUE(outcomesOf(advance(4900ms)).empty());
    EXPECT_EQ(outcomesOf(advance(100ms)), std::vector{Outcome::Unknown});
}

// Guards against a 202 before the home has accepted the job, which is what the 202 states.
TEST_F(JobRouterTest, AcceptedIsToldOnlyOnTheWordOfTheHome)
{
    submit(1, job("j"), 0s);
    EXPECT_TRUE(allOf<AnswerCaller>(advance(500ms)).empty());
    const auto replies = allOf<AnswerCaller>(receive(First, JobAccepted{Key, {1}}));
    ASSERT_EQ(replies.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<JobAccepted>(replies[0].reply));
}

// Guards against sending a whole job again and again after it was accepted, and against waiting for
// ever when its home falls silent.
TEST_F(JobRouterTest, AcceptedJobIsWatchedByQueries)
{
    submit(1);
    receive(First, JobAccepted{Key, {1}});
    const auto effects = advance(4s);
    EXPECT_TRUE(sentOf<SubmitJob>(effects).empty());
    EXPECT_EQ(sentOf<QueryJob>(effects).size(), 4u);
    EXPECT_EQ(outcomesOf(advance(1s)), std::vector{Outcome::Unknown});
}

// Guards against queries and cancellations that change the home's reply, or that make the entry
// remember a key although neither can start a job.
TEST_F(JobRouterTest, QueryAndCancelPassTheHomesWordOn)
{
    m_router.query({1}, Key, m_now, m_now, m_out);
    EXPECT_EQ(sentOf<QueryJob>(m_out.take()).size(), 1u);
    const auto missing = allOf<AnswerCaller>(receive(First, JobNotFound{Key, {1}}));
    ASSERT_EQ(missing.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<JobNotFound>(missing[0].reply));
    m_router.cancel({2}, Key, m_now + 5s, m_now, m_out);
    EXPECT_EQ(sentOf<CancelJob>(m_out.take()).size(), 1u);
    EXPECT_EQ(outcomesOf(receive(First, JobAnswer{Key, {1}, completed()})).size(), 1u);
    EXPECT_EQ(m_router.rememberedKeyCount(), 0u) << "neither can start a job";
}

// Guards against keys that look new because the entry that knew them has left: its successor must
// report them in its name.
TEST_F(JobRouterTest, SuccessorAnswersForTheProcessThatLeft)
{
    append(RegisterRecord{member(8, Role::Entry)});
    const auto acks = sentOf<AdoptAck>(
        receive(Incarnation{8}, AdoptWitness{{8}, {{{hashOf(Key), 0, 0, {}}, {1}, 100s}}, 3}));
    ASSERT_EQ(acks.size(), 1u);
    EXPECT_EQ(acks[0].second.part, 3u);
    const auto before = sentOf<Witness>(receive(Second, StartEpoch{{{Shard, {2}}}}));
    EXPECT_EQ(before.size(), 1u) << "the other process still answers for itself";
    append(LeaveRecord{{8}, Self});
    const auto after = sentOf<Witness>(receive(Second, StartEpoch{{{Shard, {2}}}}));
    ASSERT_EQ(after.size(), 2u);
    EXPECT_EQ(after[1].second.subject, Incarnation{8});
    for (const auto &[to, witness] : after)
        EXPECT_EQ(witness.jobs.size(), 1u);
    advance(600s + 60s - 100s + 1s);
    EXPECT_EQ(witnessed(3), 0u) << "adopted keys keep their age";
}

// Two entries, homes that take over from each other at any time, and messages that are lost,
// duplicated and delayed. A home starts every job whose key no entry has reported to it, even after
// it was replaced, because its executors may be cut off from the new home.
class TwoEntries
{
public:
    TwoEntries()
    {
        for (auto &entry : m_entries)
            append(RegisterRecord{member(entry.self.value, Role::Entry)});
        takeOver();
    }

    void step()
    {
        switch (*rc::gen::inRange(0, 9)) {
        case 0: { // the same job at any entry, also after a caller of it has hung up at the other
            Entry &entry = anyEntry();
            entry.router.submit({++m_lastCaller}, job(anyId()), {}, m_now + 30s, m_now, m_out);
            collect(entry);
            break;
        }
        case 1:
            if (m_lastCaller > 0)
                anyEntry().router.callerDisconnected(
                    {*rc::gen::inRange<std::uint64_t>(1, m_lastCaller + 1)});
            break;
        case 2:
            takeOver();
            break;
        case 3:
            m_now += 1s;
            for (auto &entry : m_entries) {
                entry.router.onTimer(m_now, m_out);
                collect(entry);
            }
            break;
        case 4:
            if (!m_wire.empty())
                m_wire.erase(m_wire.begin() + anyIndex(m_wire.size())); // lost
            break;
        case 5:
            if (!m_wire.empty())
                m_wire.push_back(m_wire[anyIndex(m_wire.size())]); // duplicated
            break;
        default:
            if (!m_wire.empty())
                deliver(anyIndex(m_wire.size()));
        }
    }

private:
    struct Entry
    {
        Incarnation self;
        Ledger ledger;
        LogOffset seen;
        JobRouter router{self, ledger};
    };
    // A SubmitJob on its way.
    struct Wire
    {
        Entry *from = nullptr;
        Incarnation home;
        SubmitJob submit;
    };
    struct Home
    {
        Epoch epoch;
        std::set<KeyHash> witnessed;
        std::map<JobKey, Answer> answers;
    };

    static std::ptrdiff_t anyIndex(std::size_t n)
    {
        return static_cast<std::ptrdiff_t>(*rc::gen::inRange<std::size_t>(0, n));
    }
    static std::string anyId() { return std::string(1, *rc::gen::inRange('a', 'd')); }
    Entry &anyEntry() { return m_entries[*rc::gen::inRange(0, 2)]; }

    void append(RecordBody body)
    {
        m_log.append(std::move(body));
        for (auto &entry : m_entries)
            if (*rc::gen::inRange(0, 3) > 0) // otherwise it stays behind
                catchUp(entry);
    }
    void catchUp(Entry &entry)
    {
        for (const LogRecord &record : m_log.from(entry.ledger.next()))
            entry.router.onLedgerChange(entry.ledger.apply(record), m_now, m_out);
        collect(entry);
    }
    void collect(Entry &entry)
    {
        for (const auto &[to, message] : sentOf<SubmitJob>(m_out.take())) {
            const bool isRefused = !m_homes.contains(to) || *rc::gen::inRange(0, 5) == 0;
            if (isRefused) // the connection could not be opened
                entry.router.onUndelivered(to, message, m_now, m_out);
            else
                m_wire.push_back({&entry, to, message});
        }
    }
    void takeOver()
    {
        const Incarnation self{100 + ++m_lastEpoch};
        Home home{{m_lastEpoch}, {}, {}};
        StartEpoch message;
        ClaimRecord record{self, {}, false};
        for (std::uint16_t n = 0; n < ShardCount; ++n)
            record.claims.push_back({{n}, home.epoch});
        message.claims = record.claims;
        append(RegisterRecord{member(self.value, Role::Agent)});
        append(record);
        for (auto &entry : m_entries) {
            entry.router.onMessage(self, message, m_now, m_out);
            for (const Effect &effect : m_out.take()) {
                if (const auto *send = std::get_if<Send>(&effect)) {
                    if (const auto *witness = std::get_if<Witness>(&send->message))
                        for (const WitnessedJob &it : witness->jobs)
                            home.witnessed.insert(it.key);
                    else if (const auto *submit = std::get_if<SubmitJob>(&send->message))
                        m_wire.push_back({&entry, send->to, *submit});
                }
            }
        }
        m_homes[self] = home;
    }
    void deliver(std::ptrdiff_t index)
    {
        const Wire wire = m_wire[static_cast<std::size_t>(index)];
        m_wire.erase(m_wire.begin() + index);
        Home &home = m_homes.at(wire.home);
        if (wire.submit.epoch != home.epoch)
            return;
        const JobKey &key = wire.submit.spec.key;
        if (!home.answers.contains(key)) {
            Answer answer{Outcome::Unknown, "home_lost", std::nullopt, {}};
            if (!home.witnessed.contains(hashOf(key))) {
                RC_ASSERT(++m_starts[key] == 1); // rule: every task starts at most once
                answer = completed(key.value);
            }
            home.answers[key] = answer;
        }
        wire.from->router.onMessage(wire.home, JobAnswer{key, home.epoch, home.answers[key]}, m_now,
                                    m_out);
        for (const AnswerCaller &it : allOf<AnswerCaller>(m_out.take()))
            if (const auto *answer = std::get_if<Answer>(&it.reply);
                answer && answer->outcome == Outcome::Completed)
                RC_ASSERT(answer->tasks.at(0).body == it.key.value);
    }

    std::array<Entry, 2> m_entries{Entry{{7}, {}, {}}, Entry{{8}, {}, {}}};
    TestLog m_log;
    TimePoint m_now = Start;
    Outbox m_out;
    std::vector<Wire> m_wire;
    std::map<Incarnation, Home> m_homes;
    std::map<JobKey, int> m_starts;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_lastEpoch = 0;
};

// Guards against any order of takeovers and messages in which a job is started twice.
RC_GTEST_PROP(JobRouterModel, NoScheduleStartsAJobTwice, ())
{
    TwoEntries world;
    const int steps = *rc::gen::inRange(0, 150);
    for (int i = 0; i < steps; ++i)
        world.step();
}

} // namespace
} // namespace cactuscove
