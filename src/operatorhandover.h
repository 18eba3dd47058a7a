// Handover of the operators' records between entries: entries tell each other which versions they
// have, and an entry that has fallen behind and cannot read the operators' topic itself asks one
// other entry for the records. A configuration may take a noticeable time on the link of an
// entry, so it is sent only on request, and requested from one peer at a time.
//
// Does no I/O and reads no clock: inputs carry the time.

#pragma once

#include "dispatchmessages.h"
#include "operatorrecords.h"
#include "outbox.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace cactuscove {

// A connection to another entry, after its hello.
using OperatorPeer = StrongId<struct OperatorPeerTag>;

// Effect: send a message on the connection to another entry.
struct SendToPeer
{
    OperatorPeer peer;
    PeerMessage message;
};

using HandoverEffect = std::variant<SendToPeer, LogEvent>;
using HandoverOutbox = std::vector<HandoverEffect>;

// One object per entry process. Reports about an unknown peer are ignored.
class OperatorHandover
{
public:
    // `records` are those in force; they must outlive this object. `startedAt` is the start of the
    // read of the operators' topic.
    OperatorHandover(const OperatorRecords &records, TimePoint startedAt);

    // Commands

    void peerConnected(OperatorPeer peer);
    void peerDisconnected(OperatorPeer peer);
    // The operators' topic has become reachable or unreachable from this entry.
    void readerChanged(bool isReachable) { m_isReaderReachable = isReachable; }
    // The state with this hash is known to be in the copies; 0: that is not known.
    void setCopied(std::uint64_t hash) { m_copiedHash = hash; }
    void onOffer(OperatorPeer peer, const OperatorOffer &offer, TimePoint now);
    void onRequest(OperatorPeer peer, const OperatorRequest &request, TimePoint now,
                   HandoverOutbox &out);
    // The peer has answered a request. The caller merges the state into the records.
    void onState(OperatorPeer peer);
    // Sends offers where the records have changed and the request that is due. To be called after
    // inputs, after changes of the records and at nextTimer().
    void processPending(TimePoint now, HandoverOutbox &out);

    // Queries

    // Hashes of the states that peers know to be in the copies.
    std::set<std::uint64_t> copiedHashes() const;
    // Time at which a request becomes due or is given up, as of the newest processPending().
    TimePoint nextTimer() const { return m_nextTimer; }

private:
    struct Peer
    {
        OperatorOffer sent; // newest offer to the peer; version 0: none
        // Newest offer of the peer; none once it was asked for the state.
        std::optional<OperatorOffer> offer;
        TimePoint offeredAt{};
        OperatorOffer known;      // newest offer of the peer, also after a request
        OperatorOffer handedOver; // versions of the newest state that was sent to the peer
        TimePoint handedOverAt{};
    };

    struct Request
    {
        OperatorPeer peer;
        TimePoint givenUpAt{};
    };

    OperatorOffer ownOffer() const;
    void sendOffers(HandoverOutbox &out);
    // When the peer may be asked for what it offers; NeverTime if that is not needed.
    TimePoint requestTime(const Peer &peer) const;
    void sendRequest(OperatorPeer peer, TimePoint now, HandoverOutbox &out);

    const OperatorRecords &m_records;
    TimePoint m_startedAt;
    std::map<OperatorPeer, Peer> m_peers;
    std::optional<bool> m_isReaderReachable; // none before the first read has ended
    std::uint64_t m_copiedHash = 0;
    std::optional<Request> m_request; // that is not answered
    TimePoint m_nextTimer = NeverTime;
};

} // namespace cactuscove
