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
                    if (const auto *transfer = std::get_if<TransferShard>(&send->message))
                        shards.onMessage(Other, TransferAck{transfer->claim}, now, out);
        }
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

} // namespace cactuscove
