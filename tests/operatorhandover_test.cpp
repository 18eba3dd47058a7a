// Handover of the operators' records between entries, in virtual time.

#include "operatorhandover.h"

#include <gtest/gtest.h>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr OperatorPeer First{1};
constexpr OperatorPeer Second{2};

class OperatorHandoverTest : public testing::Test
{
protected:
    void SetUp() override
    {
        handover.peerConnected(First);
        handover.peerConnected(Second);
    }

    // Advances the time and returns the messages sent, by peer.
    std::multimap<OperatorPeer, PeerMessage> run(Duration time)
    {
        HandoverOutbox out;
        for (const TimePoint end = now + time; now < end; now += 1ms)
            handover.processPending(now, out);
        std::multimap<OperatorPeer, PeerMessage> sent;
        for (HandoverEffect &effect : out)
            if (auto *it = std::get_if<SendToPeer>(&effect))
                sent.emplace(it->peer, std::move(it->message));
        return sent;
    }

    // Peers that were asked for the state within `time`.
    std::vector<OperatorPeer> requestsIn(Duration time)
    {
        std::vector<OperatorPeer> peers;
        for (const auto &[peer, message] : run(time))
            if (std::holds_alternative<OperatorRequest>(message))
                peers.push_back(peer);
        return peers;
    }

    std::vector<PeerMessage> answersTo(OperatorPeer peer, const OperatorRequest &request)
    {
        HandoverOutbox out;
        handover.onRequest(peer, request, now, out);
        std::vector<PeerMessage> messages;
        for (HandoverEffect &effect : out)
            messages.push_back(std::move(std::get<SendToPeer>(effect).message));
        return messages;
    }

    using Peers = std::vector<OperatorPeer>;

    TimePoint now{1h};
    OperatorRecords records;
    OperatorHandover handover{records, now};
};

} // namespace

// Guards against a large configuration that comes from several peers, or from a peer and the store,
// at the same time.
TEST_F(OperatorHandoverTest, AnEntryWithoutAConfigurationAsksOnePeer)
{
    handover.onOffer(First, {6, LogOffset{3}}, now);
    handover.onOffer(Second, {7, LogOffset{4}}, now);
    EXPECT_EQ(requestsIn(190ms), Peers{}) << "its own first read is under way";
    EXPECT_EQ(requestsIn(500ms), Peers{Second});
    records.updateConfig(7, "seven");
    records.completeRead({}, LogOffset{4});
    handover.onState(Second);
    EXPECT_EQ(requestsIn(2s), Peers{}) << "the other offer is older";
}

// Guards against an entry that has no configuration because the peer that it asked does not answer,
// or whose answer it cannot use, and against asking that peer without end.
TEST_F(OperatorHandoverTest, APeerThatDoesNotHelpIsReplacedByAnother)
{
    handover.readerChanged(false);
    handover.onOffer(First, {6, LogOffset{3}}, now);
    handover.onOffer(Second, {7, LogOffset{4}}, now);
    EXPECT_EQ(requestsIn(5ms), Peers{Second});
    handover.onState(Second); // with a configuration that cannot be read
    EXPECT_EQ(requestsIn(5ms), Peers{First});
    EXPECT_EQ(requestsIn(3s), Peers{});
    handover.onOffer(First, {8, LogOffset{5}}, now);
    EXPECT_EQ(requestsIn(5ms), Peers{First});
    handover.peerDisconnected(First);
    handover.onOffer(Second, {8, LogOffset{5}}, now);
    EXPECT_EQ(requestsIn(5ms), Peers{Second});
}

// Guards against a transfer of each new configuration between entries that read it from the store
// a little later, and against one that is never noticed by an entry whose reader has stopped
// without an error.
TEST_F(OperatorHandoverTest, AnEntryThatReadsTheTopicItselfWaits)
{
    records.updateConfig(6, "six");
    handover.readerChanged(true);
    handover.onOffer(First, {7, LogOffset{9}}, now);
    EXPECT_EQ(requestsIn(200ms), Peers{});
    records.updateConfig(7, "seven");
    EXPECT_EQ(requestsIn(1s), Peers{}) << "later evacuations come through the reader";
    handover.onOffer(First, {8, LogOffset{9}}, now);
    EXPECT_EQ(requestsIn(1s), Peers{First});
}

// Guards against evacuations that an entry cut off from the store does not learn, and against the
// configuration being sent along when it is known already.
TEST_F(OperatorHandoverTest, EvacuationsAreHandedOverWithoutTheConfiguration)
{
    records.updateConfig(7, "seven");
    handover.readerChanged(false);
    handover.onOffer(First, {7, LogOffset{9}}, now);
    EXPECT_EQ(requestsIn(5ms), Peers{First});

    records.updateEvacuation({"north", true, LogOffset{8}});
    const auto state = answersTo(Second, {7});
    ASSERT_EQ(state.size(), 1u);
    EXPECT_EQ(std::get<OperatorState>(state[0]).snapshot.configText, "");
    EXPECT_EQ(std::get<OperatorState>(state[0]).snapshot.evacuations.size(), 1u);
    EXPECT_EQ(answersTo(Second, {7}).size(), 0u) << "the same state again";
    records.updateConfig(8, "eight");
    const auto newer = answersTo(Second, {7});
    ASSERT_EQ(newer.size(), 1u);
    EXPECT_EQ(std::get<OperatorState>(newer[0]).snapshot.configText, "eight");
}

// Guards against offers that are missing after a change or repeated without one, and against copies
// that every entry writes because it does not hear that they are written.
TEST_F(OperatorHandoverTest, EachChangeIsOfferedOnceToPeersThatLackIt)
{
    EXPECT_EQ(run(1s).size(), 0u) << "nothing to offer";
    handover.onOffer(Second, {7, LogOffset{0}}, now);
    handover.readerChanged(true);
    records.updateConfig(7, "seven");
    const auto sent = run(1s);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent.begin()->first, First);
    records.updateEvacuation({"north", true, LogOffset{8}});
    EXPECT_EQ(run(1s).size(), 2u);
    handover.setCopied(99);
    EXPECT_EQ(run(1s).size(), 2u);
    handover.onOffer(First, {7, LogOffset{9}, 99}, now);
    EXPECT_EQ(handover.copiedHashes(), (std::set<std::uint64_t>{0, 99}));
}

} // namespace cactuscove
