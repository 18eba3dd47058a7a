// Planned transfers of shards between agents, as one of the agents decides them.

#include "effects.h"
#include "shardownership.h"

#include <gtest/gtest.h>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// The home of all shards, and an agent that has just registered. Records take effect by apply().
struct ShardTransfers : testing::Test
{
    ShardTransfers()
        : shards(Self, ledger)
    {
        apply(RegisterRecord{{Incarnation{1}, Role::Entry, "127.0.0.1:3", "d1", "r3", "o1"}});
        apply(RegisterRecord{{Self, Role::Agent, "127.0.0.1:1", "d1", "r1", "o1"}});
        ClaimRecord claim{Self, {}, false};
        for (std::uint16_t n = 0; n < ShardCount; ++n)
            claim.claims.push_back({ShardId{n}, Epoch{1}});
        apply(claim);
        apply(RegisterRecord{{Other, Role::Agent, "127.0.0.1:2", "d1", "r2", "o1"}});
    }

    void apply(RecordBody body)
    {
        const LogOffset offset = ledger.next();
        const LedgerChanges changes
            = ledger.apply({offset, {std::to_string(offset.value), std::move(body)}});
        Outbox out;
        shards.onLedgerChange(changes, now, out);
    }

    // Advances the time. The other agent acknowledges each transfer; no append takes effect.
    void step(Duration length)
    {
        for (const TimePoint end = now + length; now < end; now += 10ms) {
            Outbox out;
            shards.onTimer(now, out);
            for (const Effect &it : out.take())
                if (const auto *send = std::get_if<Send>(&it))
                    reply(send->message);
        }
    }

    void reply(const Message &message)
    {
        Outbox out;
        if (const auto *transfer = std::get_if<TransferShard>(&message))
            shards.onMessage(Other, TransferAck{transfer->claim}, now, out);
        else if (const auto *cancel = std::get_if<TransferCancel>(&message))
            shards.onMessage(Other, TransferCancelled{cancel->claim}, now, out);
    }

    std::size_t closedShards() const
    {
        std::size_t n = 0;
        for (std::uint16_t i = 0; i < ShardCount; ++i)
            n += shards.knowledge(ShardId{i}) == ShardKnowledge::Transferring;
        return n;
    }

    static constexpr Incarnation Self{11}, Other{12};
    TimePoint now{1h};
    Ledger ledger;
    ShardOwnership shards;
};

} // namespace

// Guards against jobs that are refused for as long as the log is down: a shard whose transfer to
// another home can't be recorded must take jobs again.
TEST_F(ShardTransfers, AShardServesWhileItsTransferCannotBeRecorded)
{
    step(3s);
    EXPECT_GT(closedShards(), 0u) << "some shards are being transferred";
    step(10s);
    EXPECT_EQ(closedShards(), 0u);
}

// Guards against a shard that is closed again and again while the log is away.
TEST_F(ShardTransfers, NothingIsTransferredAgainBeforeTheLogIsBack)
{
    step(13s);
    ASSERT_EQ(closedShards(), 0u);
    for (int i = 0; i < 200; ++i) {
        step(100ms);
        EXPECT_EQ(closedShards(), 0u);
    }
}

// Guards against a job that starts twice: the home has accepted it after its transfer was
// cancelled, so a receiver whose claim takes effect late must ask the witnesses, also after a late
// copy of the transfer.
TEST_F(ShardTransfers, AReceiverForgetsACancelledTransfer)
{
    ShardOwnership receiver(Other, ledger);
    const ShardClaim claim{ShardId{7}, Epoch{2}};
    const auto answers = [&](const Message &message) {
        Outbox out;
        receiver.onMessage(Self, message, now, out);
        return out.take().size();
    };
    EXPECT_EQ(answers(TransferShard{claim, {}, {}}), 1u);
    EXPECT_EQ(answers(TransferCancel{claim}), 1u);
    EXPECT_EQ(answers(TransferShard{claim, {}, {}}), 0u);
    EXPECT_EQ(answers(TransferCancel{claim}), 1u) << "the first reply may be lost";

    const LogOffset offset = ledger.next();
    const LedgerChanges changes
        = ledger.apply({offset, {"late", ClaimRecord{Other, {claim}, true}}});
    Outbox out;
    receiver.onLedgerChange(changes, now, out);
    EXPECT_EQ(receiver.epoch(ShardId{7}), Epoch{2});
    EXPECT_EQ(receiver.knowledge(ShardId{7}), ShardKnowledge::Asking);
    EXPECT_EQ(answers(TransferCancel{claim}), 0u) << "the claim has taken effect";
}

} // namespace cactuscove
