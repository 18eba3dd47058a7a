// Only one request is open at a time, whatever the number of peers.

#include "operatorhandover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// An entry that has just started gives its own first read this long before it asks a peer, so that
// the configuration is not under way on its link twice.
constexpr Duration FirstReadTime = 200ms;
// A peer may have read a new version a little earlier.
constexpr Duration OwnReadTime = 300ms;
// After this time without an answer another peer is asked. The largest state, which is one record
// of the store, takes as long on a link of 2 Mbit/s.
constexpr Duration RequestTimeout = 1s;

// Versions in the order in which offers are preferred.
auto versionsOf(const OperatorOffer &it)
{
    return std::tuple(it.configVersion, it.readUpTo);
}

bool haveSameVersions(const OperatorOffer &a, const OperatorOffer &b)
{
    return versionsOf(a) == versionsOf(b);
}

} // namespace

OperatorHandover::OperatorHandover(const OperatorRecords &records, TimePoint startedAt)
    : m_records(records)
    , m_startedAt(startedAt)
{}

void OperatorHandover::peerConnected(OperatorPeer peer)
{
    m_peers[peer] = {};
}

void OperatorHandover::peerDisconnected(OperatorPeer peer)
{
    m_peers.erase(peer);
    if (m_request && m_request->peer == peer)
        m_request.reset();
}

OperatorOffer OperatorHandover::ownOffer() const
{
    OperatorOffer offer{m_records.configVersion(), m_records.readUpTo(), m_copiedHash};
    for (const EvacuationRecord &it : m_records.evacuations())
        offer.readUpTo = std::max(offer.readUpTo, LogOffset{it.offset.value + 1});
    return offer;
}

void OperatorHandover::onOffer(OperatorPeer peer, const OperatorOffer &offer, TimePoint now)
{
    const auto it = m_peers.find(peer);
    if (it == m_peers.end())
        return;
    const bool isNew = !haveSameVersions(it->second.known, offer);
    it->second.known = offer;
    if (!isNew)
        return;
    it->second.offer = offer;
    it->second.offeredAt = now;
}

void OperatorHandover::onRequest(OperatorPeer peer, const OperatorRequest &request, TimePoint now,
                                 HandoverOutbox &out)
{
    const auto it = m_peers.find(peer);
    const OperatorOffer own = ownOffer();
    if (it == m_peers.end() || own.configVersion == 0)
        return;
    // A repeated request would send the same configuration twice over the link.
    if (haveSameVersions(it->second.handedOver, own)
        && now - it->second.handedOverAt < RequestTimeout)
        return;
    it->second.handedOver = own;
    it->second.handedOverAt = now;
    OperatorSnapshot state = m_records.snapshot();
    if (request.configVersion >= state.configVersion) {
        state.configVersion = 0;
        state.configText.clear();
    }
    out.emplace_back(SendToPeer{peer, OperatorState{std::move(state)}});
}

void OperatorHandover::onState(OperatorPeer peer)
{
    if (m_request && m_request->peer == peer)
        m_request.reset();
}

void OperatorHandover::processPending(TimePoint now, HandoverOutbox &out)
{
    sendOffers(out);
    if (m_request && now >= m_request->givenUpAt)
        m_request.reset();
    if (m_request) {
        m_nextTimer = m_request->givenUpAt;
        return;
    }
    m_nextTimer = NeverTime;
    std::optional<OperatorPeer> best;
    for (const auto &[peer, it] : m_peers) {
        const TimePoint at = requestTime(it);
        if (at > now)
            m_nextTimer = std::min(m_nextTimer, at);
        else if (!best || versionsOf(*it.offer) > versionsOf(*m_peers.at(*best).offer))
            best = peer;
    }
    if (best)
        sendRequest(*best, now, out);
}

// A peer that has offered the same or more needs no offer, except to learn of the copies.
void OperatorHandover::sendOffers(HandoverOutbox &out)
{
    const OperatorOffer own = ownOffer();
    if (own.configVersion == 0)
        return;
    for (auto &[peer, it] : m_peers) {
        const bool isNewer
            = (own.configVersion > it.known.configVersion || own.readUpTo > it.known.readUpTo)
              && !haveSameVersions(own, it.sent);
        const bool tellsOfCopies = own.copiedHash != 0 && own.copiedHash != it.known.copiedHash
                                   && own.copiedHash != it.sent.copiedHash;
        if (!isNewer && !tellsOfCopies)
            continue;
        it.sent = own;
        out.emplace_back(SendToPeer{peer, own});
    }
}

TimePoint OperatorHandover::requestTime(const Peer &peer) const
{
    if (!peer.offer)
        return NeverTime;
    const OperatorOffer own = ownOffer();
    const bool hasNewerConfig = peer.offer->configVersion > own.configVersion;
    if (m_isReaderReachable == true) {
        // A reader that is up to date knows of all evacuations.
        if (!hasNewerConfig)
            return NeverTime;
        return peer.offeredAt + (own.configVersion == 0 ? Duration{} : OwnReadTime);
    }
    if (!hasNewerConfig && peer.offer->readUpTo <= own.readUpTo)
        return NeverTime;
    if (!m_isReaderReachable)
        return std::max(peer.offeredAt, m_startedAt + FirstReadTime);
    return peer.offeredAt;
}

std::set<std::uint64_t> OperatorHandover::copiedHashes() const
{
    std::set<std::uint64_t> hashes;
    for (const auto &[peer, it] : m_peers)
        hashes.insert(it.known.copiedHash);
    return hashes;
}

void OperatorHandover::sendRequest(OperatorPeer peer, TimePoint now, HandoverOutbox &out)
{
    Peer &it = m_peers.at(peer);
    out.emplace_back(LogEvent{Severity::Info,
                              "operators_requested",
                              {{"config", std::to_string(m_records.configVersion())},
                               {"offered", std::to_string(it.offer->configVersion)},
                               {"read_up_to", std::to_string(it.offer->readUpTo.value)},
                               {"offer_age_ms", std::to_string((now - it.offeredAt) / 1ms)}}});
    // If the state cannot be used, the peer is not asked for it again.
    it.offer.reset();
    m_request = {peer, now + RequestTimeout};
    m_nextTimer = m_request->givenUpAt;
    out.emplace_back(SendToPeer{peer, OperatorRequest{m_records.configVersion()}});
}

} // namespace cactuscove
