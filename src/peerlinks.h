// Exchange of messages with the other processes. The messages that one iteration of the event loop
// queues for a destination are sent as one envelope, in a JSON-RPC call over HTTP. The HTTP
// response carries the messages that the receiver has for the sender. Messages may be lost; their
// senders repeat them. Each process has one PeerLinks, owned by NodeProcess.

#pragma once

#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "jsonrpc.h"
#include "messages.h"
#include "metrics.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuscove {

// Functions that the owner of a PeerLinks supplies. All must be set.
struct PeerLinkHooks
{
    // "ip:port" of a process; nothing if it is not known.
    std::function<std::optional<std::string>(Incarnation)> addressOf;
    std::function<std::vector<LoadReport>()> loads;   // to be attached to envelopes
    std::function<void(const Envelope &)> onReceived; // an envelope for this process has arrived
    // A message was provably not delivered: the address is not known, no byte was sent, or another
    // process answered at the address. A message that may have arrived is not reported.
    std::function<void(Incarnation to, const Message &)> onUndelivered;
};

class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, HttpClient &client, Metrics &metrics, Incarnation self,
              PeerLinkHooks hooks);

    // Queues a message. It is dropped without a report if 8192 messages wait for the destination.
    void send(Incarnation to, Message message);
    // Handles POST /rpc. The response has status 400 for a malformed envelope, and 410 for one that
    // is addressed to another incarnation.
    HttpResponse onRequest(const HttpRequest &request);

    std::size_t openCalls() const { return m_openCalls; } // HTTP calls without a response yet
    bool hasPending() const;                              // whether any message is queued

private:
    struct Peer
    {
        std::vector<Message> pending; // not sent yet, oldest first
        unsigned openCalls = 0;
        // Set after a failed call, because pooled connections to the peer may be dead as well.
        bool needsFreshConnection = false;
    };

    void flush(); // at the end of each iteration of the event loop
    void sendEnvelope(Incarnation to, Peer &peer);
    void onReply(Incarnation to, const Envelope &sent, TimePoint startedAt,
                 Result<HttpReply, HttpCallError> result);
    void receive(const Envelope &envelope);
    void reportUndelivered(const Envelope &sent);
    Envelope makeEnvelope(Incarnation to, std::vector<Message> messages);
    std::vector<LoadReport> nextLoadReports();

    EventLoop &m_loop;
    HttpClient &m_client;
    Metrics &m_metrics;
    Incarnation m_self;
    PeerLinkHooks m_hooks;
    std::unordered_map<Incarnation, Peer> m_peers;
    std::size_t m_openCalls = 0;  // to all peers
    std::size_t m_loadCursor = 0; // index of the next load report to send
    RpcDispatcher m_dispatcher;
    int m_responseStatus = 200; // HTTP status of the response that the dispatcher is building
};

} // namespace cactuscove
