// Sends and receives envelopes by JSON-RPC over HTTP.

#include "peerlinks.h"

#include "messagecodec.h"

#include <json/json.h>

#include <algorithm>
#include <iterator>

namespace cactuscove {

namespace {

constexpr char DeliverMethod[] = "deliver";
constexpr unsigned MaxOpenCallsPerPeer = 4;
constexpr std::size_t MaxMessagesPerEnvelope = 512;
// The queue for a peer that does not respond must be bounded. Dropped messages are repeated by
// their senders.
constexpr std::size_t MaxQueuedMessagesPerPeer = 8192;
constexpr std::chrono::seconds CallTimeout{2};
// Without this limit the bytes that an entry sends to its agents grow with the square of their
// number. The load reports of both present fleets (22 agents) fit into one envelope.
constexpr std::size_t MaxLoadsPerEnvelope = 24;
constexpr int GoneStatus = 410; // the envelope is addressed to another incarnation

// Values of the label `type` of the metrics, in the order of the alternatives of Message.
constexpr const char *MessageNames[]
    = {"Feed",          "FeedAck",     "Probe",          "ProbeAck",         "SubmitJob",
       "JobAccepted",   "JobAnswer",   "SubmitRefused",  "CancelJob",        "QueryJob",
       "JobNotFound",   "StartTask",   "TaskAccepted",   "TaskBusy",         "TaskRefused",
       "TaskDone",      "TaskDoneAck", "CancelTask",     "TaskNotStarted",   "SlotOffer",
       "OfferDeclined", "Raise",       "Witness",        "TransferShard",    "TransferAck",
       "AdoptWitness",  "AdoptAck",    "TransferCancel", "TransferCancelled"};
static_assert(std::size(MessageNames) == std::variant_size_v<Message>);

// Value of the label `result` of cactuscove_peer_calls_total.
const char *resultName(HttpFailure kind)
{
    switch (kind) {
    case HttpFailure::NotSent:
        return "not_sent";
    case HttpFailure::TimedOut:
        return "timed_out";
    case HttpFailure::Broken:
        return "broken";
    }
    return "broken";
}

} // namespace

PeerLinks::PeerLinks(EventLoop &loop, HttpClient &client, Metrics &metrics, Incarnation self,
                     PeerLinkHooks hooks)
    : m_loop(loop)
    , m_client(client)
    , m_metrics(metrics)
    , m_self(self)
    , m_hooks(std::move(hooks))
    , m_dispatcher(DeliverMethod, [this](const Json::Value &params, Json::Value &result) {
        result = Json::Value(Json::objectValue);
        const auto decoded = decodeEnvelope(params);
        if (!isOk(decoded)) {
            m_responseStatus = 400;
            result["error"] = errorOf(decoded).reason;
            return;
        }
        const Envelope &envelope = valueOf(decoded);
        if (envelope.to != m_self) {
            m_responseStatus = GoneStatus;
            return;
        }
        receive(envelope);
        result = encodeEnvelope(
            makeEnvelope(envelope.from, std::exchange(m_peers[envelope.from].pending, {})));
    })
{
    m_loop.atIterationEnd([this] { flush(); });
}

void PeerLinks::send(Incarnation to, Message message)
{
    auto &pending = m_peers[to].pending;
    if (pending.size() < MaxQueuedMessagesPerPeer)
        pending.push_back(std::move(message));
}

bool PeerLinks::hasPending() const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [](const auto &it) { return !it.second.pending.empty(); });
}

HttpResponse PeerLinks::onRequest(const HttpRequest &request)
{
    m_responseStatus = 200;
    m_metrics.add("cactuscove_peer_bytes_total", {{"direction", "received"}},
                  static_cast<double>(request.body.size()));
    std::string body = m_dispatcher.handle(request.body);
    m_metrics.add("cactuscove_peer_bytes_total", {{"direction", "sent"}},
                  static_cast<double>(body.size()));
    return {m_responseStatus, std::move(body)};
}

void PeerLinks::flush()
{
    std::vector<Incarnation> ready;
    for (const auto &[to, peer] : m_peers)
        if (!peer.pending.empty() && peer.openCalls < MaxOpenCallsPerPeer)
            ready.push_back(to);
    for (const Incarnation to : ready)
        sendEnvelope(to, m_peers[to]);
}

// Returns all load reports, or the next ones in turn if there are too many, so that a peer receives
// the load of every agent within several envelopes.
std::vector<LoadReport> PeerLinks::nextLoadReports()
{
    std::vector<LoadReport> all = m_hooks.loads();
    if (all.size() <= MaxLoadsPerEnvelope)
        return all;
    std::vector<LoadReport> selected;
    for (std::size_t n = 0; n < MaxLoadsPerEnvelope; ++n)
        selected.push_back(std::move(all[(m_loadCursor + n) % all.size()]));
    m_loadCursor = (m_loadCursor + MaxLoadsPerEnvelope) % all.size();
    return selected;
}

Envelope PeerLinks::makeEnvelope(Incarnation to, std::vector<Message> messages)
{
    for (const Message &it : messages)
        m_metrics.add("cactuscove_messages_sent_total", {{"type", MessageNames[it.index()]}});
    return {m_self, to, nextLoadReports(), std::move(messages)};
}

void PeerLinks::sendEnvelope(Incarnation to, Peer &peer)
{
    std::vector<Message> batch;
    if (peer.pending.size() <= MaxMessagesPerEnvelope) {
        batch = std::exchange(peer.pending, {});
    } else {
        const auto end = peer.pending.begin() + MaxMessagesPerEnvelope;
        batch.assign(std::move_iterator(peer.pending.begin()), std::move_iterator(end));
        peer.pending.erase(peer.pending.begin(), end);
    }
    Envelope envelope = makeEnvelope(to, std::move(batch));
    const std::optional<std::string> address = m_hooks.addressOf(to);
    if (!address) {
        m_loop.post([this, sent = std::move(envelope)] { reportUndelivered(sent); });
        return;
    }
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + *address + "/rpc";
    call.body = buildRpcRequest(DeliverMethod, encodeEnvelope(envelope));
    call.timeout = CallTimeout;
    call.freshConnection = peer.needsFreshConnection;
    m_metrics.add("cactuscove_peer_bytes_total", {{"direction", "sent"}},
                  static_cast<double>(call.body.size()));
    ++peer.openCalls;
    ++m_openCalls;
    const TimePoint startedAt = m_loop.now();
    m_client.start(std::move(call), [this, to, sent = std::move(envelope),
                                     startedAt](Result<HttpReply, HttpCallError> result) {
        onReply(to, sent, startedAt, std::move(result));
    });
}

void PeerLinks::onReply(Incarnation to, const Envelope &sent, TimePoint startedAt,
                        Result<HttpReply, HttpCallError> result)
{
    Peer &peer = m_peers[to];
    --peer.openCalls;
    --m_openCalls;
    peer.needsFreshConnection = !isOk(result);
    m_metrics.observeSeconds("cactuscove_peer_call_seconds", {},
                             std::chrono::duration<double>(m_loop.now() - startedAt).count());
    if (!isOk(result)) {
        m_metrics.add("cactuscove_peer_calls_total",
                      {{"result", resultName(errorOf(result).kind)}});
        if (errorOf(result).kind == HttpFailure::NotSent)
            reportUndelivered(sent);
        return;
    }
    const HttpReply &reply = valueOf(result);
    m_metrics.add("cactuscove_peer_calls_total", {{"result", std::to_string(reply.status)}});
    m_metrics.add("cactuscove_peer_bytes_total", {{"direction", "received"}},
                  static_cast<double>(reply.body.size()));
    if (reply.status == GoneStatus) {
        reportUndelivered(sent);
        return;
    }
    Json::Value json;
    std::string error;
    if (reply.status != 200 || !parseRpcResponse(reply.body, json, error))
        return;
    const auto decoded = decodeEnvelope(json);
    if (isOk(decoded) && valueOf(decoded).to == m_self)
        receive(valueOf(decoded));
}

void PeerLinks::receive(const Envelope &envelope)
{
    for (const Message &it : envelope.messages)
        m_metrics.add("cactuscove_messages_received_total", {{"type", MessageNames[it.index()]}});
    m_hooks.onReceived(envelope);
}

void PeerLinks::reportUndelivered(const Envelope &sent)
{
    m_metrics.add("cactuscove_messages_undelivered_total", {},
                  static_cast<double>(sent.messages.size()));
    for (const Message &it : sent.messages)
        m_hooks.onUndelivered(sent.to, it);
}

} // namespace cactuscove
