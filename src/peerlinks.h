// Messages to and from the other processes: one envelope per destination and loop turn, as a
// JSON-RPC call over HTTP. Replies ride back in the HTTP response.

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

// What the links need from the process that owns them.
struct PeerLinkHooks
{
    std::function<std::optional<std::string>(Incarnation)> addressOf;
    std::function<std::vector<LoadReport>()> loads;
    std::function<void(const Envelope &)> received;
    std::function<void(Incarnation to, const Message &)> undelivered;
};

class PeerLinks
{
public:
    PeerLinks(EventLoop &loop, HttpClient &client, Metrics &metrics, Incarnation self,
              PeerLinkHooks hooks);

    void send(Incarnation to, Message message);
    // Handles POST /rpc.
    HttpResponse onRequest(const HttpRequest &request);

    std::size_t openCalls() const { return m_openCalls; }
    bool hasPending() const;

private:
    struct Peer
    {
        std::vector<Message> pending;
        unsigned openCalls = 0;
        // Set after a failure: other cached connections to the peer may be silent as well.
        bool needsFreshConnection = false;
    };

    void flush();
    void post(Incarnation to, Peer &peer);
    void onReply(Incarnation to, const Envelope &sent, TimePoint startedAt,
                 Result<HttpReply, HttpCallError> result);
    void receive(const Envelope &envelope);
    void reportUndelivered(const Envelope &sent);
    Envelope envelopeFor(Incarnation to, std::vector<Message> messages);
    std::vector<LoadReport> nextLoads();

    EventLoop &m_loop;
    HttpClient &m_client;
    Metrics &m_metrics;
    Incarnation m_self;
    PeerLinkHooks m_hooks;
    std::unordered_map<Incarnation, Peer> m_peers;
    std::size_t m_openCalls = 0;
    std::size_t m_loadCursor = 0; // of the next digest to send
    RpcDispatcher m_dispatcher;
    int m_status = 200; // of the request that the dispatcher is handling
};

} // namespace cactuscove
