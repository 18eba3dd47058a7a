// Tests of EntryNode in virtual time, with a log in memory.

#include "entryfixture.h"

namespace cactuscove {
namespace {

using namespace entrytest;

constexpr Incarnation Agent{100};

class EntryNodeTest : public testing::Test
{
protected:
    EntryNodeTest() { m_node.start(m_now, m_out); }

    // Carries out appends at once and returns the other effects.
    std::vector<Effect> settle()
    {
        std::vector<Effect> effects;
        while (!m_out.isEmpty())
            for (Effect &effect : m_out.take()) {
                if (const auto *append = std::get_if<Append>(&effect)) {
                    m_log.append(append->record.body, append->record.appendId);
                    deliver();
                }
                effects.push_back(std::move(effect));
            }
        return effects;
    }
    void deliver()
    {
        m_node.onLogRecords(m_log.from(m_node.ledger().next()), {m_log.records().size()}, m_now,
                            m_out);
    }
    void append(RecordBody body)
    {
        m_log.append(std::move(body));
        deliver();
    }
    std::vector<Effect> receive(Incarnation from, Message message)
    {
        m_node.onEnvelope({from, Self, {}, {std::move(message)}}, m_now, m_out);
        return settle();
    }
    std::vector<Effect> advance(Duration duration)
    {
        std::vector<Effect> effects = settle();
        for (const TimePoint end = m_now + duration; m_now < end;) {
            m_now = std::min(end, std::max(m_now + 1ms, m_node.nextTimer()));
            m_node.onTimer(m_now, m_out);
            for (Effect &effect : settle())
                effects.push_back(std::move(effect));
        }
        return effects;
    }
    void registerAgentAsHome()
    {
        append(RegisterRecord{member(Agent.value, Role::Agent)});
        ClaimRecord claim{Agent, {}, false};
        for (std::uint16_t n = 0; n < ShardCount; ++n)
            claim.claims.push_back({{n}, {1}});
        append(claim);
        settle();
    }

    static constexpr Incarnation Self{7};
    TimePoint m_now = Start;
    TestLog m_log;
    Outbox m_out;
    EntryNode m_node{{member(Self.value, Role::Entry), 1}, 1h};
};

// Guards against a break in the path of every job: forwarded to its home, answered to the caller.
TEST_F(EntryNodeTest, ForwardsAJobAndHandsTheAnswerBack)
{
    settle();
    ASSERT_TRUE(m_node.isActive());
    registerAgentAsHome();
    m_node.submit({1}, job("j"), {}, m_now + 30s, m_now, m_out);
    const auto sent = sentOf<SubmitJob>(settle());
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].first, Agent);
    EXPECT_EQ(sent[0].second.epoch, Epoch{1});
    receive(Agent, JobAccepted{{"team/j"}, {1}});
    const auto answers
        = allOf<AnswerCaller>(receive(Agent, JobAnswer{{"team/j"}, {1}, completed()}));
    ASSERT_EQ(answers.size(), 1u);
    EXPECT_EQ(answers[0].caller, CallerId{1});
    EXPECT_EQ(std::get<Answer>(answers[0].reply), completed());
    EXPECT_EQ(m_node.rememberedKeyCount(), 1u);
}

// Guards against a job that runs twice: a new home asks only registered entries which keys they
// have forwarded, so an entry must not forward before its registration is in the ledger.
TEST_F(EntryNodeTest, ForwardsNothingBeforeItIsRegistered)
{
    m_out.take();
    append(RegisterRecord{member(Agent.value, Role::Agent)});
    append(ClaimRecord{Agent, {{shardOf(JobKey{"team/j"}), {1}}}, false});
    m_node.submit({1}, job("j"), {}, m_now + 30s, m_now, m_out);
    EXPECT_TRUE(sentOf<SubmitJob>(advance(1500ms)).empty());
    EXPECT_EQ(m_node.rememberedKeyCount(), 0u);
    append(RegisterRecord{member(Self.value, Role::Entry)});
    EXPECT_EQ(sentOf<SubmitJob>(settle()).size(), 1u);
}

} // namespace
} // namespace cactuscove
