// What every long-running role shares: the loop, the listener, links to other processes, the log
// client, metrics and spans around one node of decisions. Roles derive from it.

#pragma once

#include "agentnode.h"
#include "eventloop.h"
#include "httpclient.h"
#include "httpserver.h"
#include "logclient.h"
#include "metrics.h"
#include "outbox.h"
#include "peerlinks.h"
#include "settings.h"
#include "tracing.h"

#include <concepts>
#include <csignal>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cactuscove {

struct ProcessError
{
    std::string reason;
};

// A thousand agents that lose their feeds at once must not read the log at once.
constexpr Duration AgentReadJitter = std::chrono::seconds(2);

// The node's side of the shell, without the role's own inputs.
template <typename Node>
concept ProcessNode = requires(Node node, const Node &constNode, const Envelope &envelope,
                               const Message &message, TimePoint now, Outbox &out)
{
    node.start(now, out);
    node.onEnvelope(envelope, now, out);
    node.onUndelivered(Incarnation{}, message, now, out);
    node.onTimer(now, out);
    node.beginShutdown(now, out);
    {
        constNode.nextTimer()
        } -> std::same_as<TimePoint>;
    {
        constNode.isActive()
        } -> std::same_as<bool>;
    {
        constNode.isShutdownComplete()
        } -> std::same_as<bool>;
    {
        constNode.ledger()
        } -> std::same_as<const Ledger &>;
};

// Parts that do not depend on the node's type.
struct ProcessParts
{
    explicit ProcessParts(ProcessSettings values);

    NodeSettings nodeSettings(const std::string &listenAddress) const;

    ProcessSettings settings;
    Incarnation self;     // random and never 0
    std::string instance; // self as text, for logs and spans
    EventLoop loop;
    Metrics metrics;
    Tracer tracer;
    HttpClient http;
    std::unique_ptr<HttpServer> server;
    bool shuttingDown = false;
};

std::string hexOf(Incarnation incarnation);

template <ProcessNode Node>
class NodeProcess
{
public:
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;
    virtual ~NodeProcess() = default;

    // Returns after a graceful shutdown, or when its time is over; the value is the exit status.
    int run()
    {
        step([this](TimePoint now, Outbox &out) { m_node->start(now, out); });
        m_parts.loop.run();
        writeLog({Severity::Info, "process_stopped", {}});
        return m_cutShort ? 1 : 0;
    }

protected:
    explicit NodeProcess(ProcessSettings settings)
        : m_parts(std::move(settings))
        , m_timer(m_parts.loop, [this] { onTimer(); })
        , m_shutdownTimer(m_parts.loop, [this] { cutShort(); })
        , m_links(m_parts.loop, m_parts.http, m_parts.metrics, m_parts.self, linkHooks())
        , m_log(m_parts.loop, m_parts.http, logSettings(), logHandlers())
    {}

    // Binds the listener, then builds the node, which needs the listener's address.
    std::optional<ProcessError> listen()
    {
        auto listened = HttpServer::listen(
            m_parts.loop, m_parts.settings.listen, {},
            [this](RequestId id, HttpRequest request) { onRequest(id, std::move(request)); },
            [this](RequestId id) { onRequestClosed(id); });
        if (!isOk(listened))
            return ProcessError{errorOf(listened).reason};
        m_parts.server = std::move(valueOf(listened));
        const std::string own = m_parts.settings.advertise.empty() ? m_parts.server->address()
                                                                   : m_parts.settings.advertise;
        m_node = makeNode(m_parts.nodeSettings(own));
        for (const int signal : {SIGTERM, SIGINT})
            m_parts.loop.onSignal(signal, [this] { beginShutdown(); });
        writeLog({Severity::Info,
                  "process_started",
                  {{"listen", m_parts.server->address()},
                   {"data_centre", m_parts.settings.dataCentre},
                   {"version", std::string(version())}}});
        return std::nullopt;
    }

    // Runs one input of the node and carries out its effects.
    template <typename Input>
    void step(Input input)
    {
        Outbox out;
        input(m_parts.loop.now(), out);
        for (Effect &it : out.take())
            std::visit([this](auto &effect) { perform(effect); }, it);
        const LogOffset next = m_node->ledger().next();
        m_log.advanceTo(next);
        if (std::exchange(m_ledgerNext, next) != next)
            onLedgerChange();
        m_timer.startAt(m_node->nextTimer());
        checkShutdown();
    }

    virtual std::unique_ptr<Node> makeNode(NodeSettings settings) = 0;
    virtual void handleRequest(RequestId id, HttpRequest request) = 0;
    virtual void onRequestClosed(RequestId) {}
    virtual void onLedgerChange() {}
    virtual void onLogReadStarted() {}
    virtual void onLogEndRead() {}
    virtual void onLogReachable(bool) {}
    virtual void updateRoleMetrics() = 0;
    virtual void perform(AnswerCaller &) {}
    virtual void perform(StartOnUpstream &) {}
    virtual void perform(StopOnUpstream &) {}

    void respond(RequestId id, const std::string &route, HttpResponse response)
    {
        m_parts.metrics.add("cactuscove_http_requests_total",
                            {{"route", route}, {"status", std::to_string(response.status)}});
        m_parts.server->respond(id, std::move(response));
    }

    ProcessParts m_parts;
    std::unique_ptr<Node> m_node;
    Timer m_timer;
    Timer m_shutdownTimer;
    PeerLinks m_links;
    LogClient m_log;

private:
    void perform(Send &effect) { m_links.send(effect.to, std::move(effect.message)); }
    void perform(Append &effect) { m_log.append(std::move(effect.record)); }
    void perform(EmitSpan &effect) { m_parts.tracer.finish(effect); }
    void perform(LogEvent &effect)
    {
        m_parts.metrics.add("cactuscove_events_total", {{"event", effect.name}});
        writeLog(effect);
    }

    PeerLinkHooks linkHooks()
    {
        return {
            [this](Incarnation to) -> std::optional<std::string> {
                const MemberState *member = m_node->ledger().member(to);
                if (!member)
                    return std::nullopt;
                return member->member.address;
            },
            [this] { return m_node->loads(m_parts.loop.now()); },
            [this](const Envelope &envelope) {
                step([&](TimePoint now, Outbox &out) { m_node->onEnvelope(envelope, now, out); });
            },
            [this](Incarnation to, const Message &message) {
                step([&](TimePoint now, Outbox &out) {
                    m_node->onUndelivered(to, message, now, out);
                });
            }};
    }

    LogClientSettings logSettings() const
    {
        LogClientSettings settings;
        settings.url = m_parts.settings.logUrl;
        settings.stream = m_parts.settings.logStream;
        settings.seed = m_parts.self.value;
        settings.readJitter = m_parts.settings.role == Role::Agent ? AgentReadJitter : Duration{};
        return settings;
    }

    LogClientHandlers logHandlers()
    {
        LogClientHandlers handlers;
        handlers.onRecords = [this](const std::vector<LogRecord> &records, LogOffset next) {
            step(
                [&](TimePoint now, Outbox &out) { m_node->onLogRecords(records, next, now, out); });
        };
        handlers.onSnapshot = [this](const SnapshotRecord &snapshot) {
            step([&](TimePoint now, Outbox &out) { m_node->onLogSnapshot(snapshot, now, out); });
        };
        handlers.onReachable = [this](bool isReachable) {
            m_parts.metrics.set("cactuscove_log_reachable", {}, isReachable);
            onLogReachable(isReachable);
        };
        handlers.onReadStarted = [this] { onLogReadStarted(); };
        handlers.onEndRead = [this] { onLogEndRead(); };
        handlers.hasAppend
            = [this](const std::string &appendId) { return m_node->ledger().hasAppend(appendId); };
        return handlers;
    }

    void onTimer()
    {
        step([this](TimePoint now, Outbox &out) { m_node->onTimer(now, out); });
    }

    void onRequest(RequestId id, HttpRequest request)
    {
        if (request.path == "/rpc" && request.method == "POST")
            m_parts.server->respond(id, m_links.onRequest(request));
        else if (request.path == "/healthz")
            respond(id, "/healthz", {200, "{\"status\":\"ok\"}\n"});
        else if (request.path == "/readyz")
            respond(id, "/readyz", readiness());
        else if (request.path == "/metrics")
            respond(id, "/metrics", {200, metricsText(), "text/plain; version=0.0.4"});
        else
            handleRequest(id, std::move(request));
    }

    HttpResponse readiness() const
    {
        if (m_parts.shuttingDown)
            return {503, "{\"status\":\"shutting_down\"}\n"};
        if (!m_node->isActive())
            return {503, "{\"status\":\"not_registered\"}\n"};
        return {200, "{\"status\":\"ready\"}\n"};
    }

    std::string metricsText()
    {
        const Ledger &ledger = m_node->ledger();
        Metrics &metrics = m_parts.metrics;
        std::map<std::string, std::pair<int, int>> upAndDown{{"entry", {}}, {"agent", {}}};
        for (const auto &[incarnation, it] : ledger.members()) {
            auto &[up, down] = upAndDown[it.member.role == Role::Entry ? "entry" : "agent"];
            up += it.isUp();
            down += it.isDown;
        }
        for (const auto &[role, counts] : upAndDown) {
            metrics.set("cactuscove_up_members", {{"role", role}}, counts.first);
            metrics.set("cactuscove_down_members", {{"role", role}}, counts.second);
        }
        metrics.set("cactuscove_ledger_offset", {}, static_cast<double>(ledger.next().value));
        metrics.set("cactuscove_config_revision", {},
                    ledger.config() ? static_cast<double>(ledger.config()->revision.value) : 0);
        metrics.set("cactuscove_open_requests", {},
                    static_cast<double>(m_parts.server->openRequests()));
        updateRoleMetrics();
        return metrics.text();
    }

    void beginShutdown()
    {
        if (m_parts.shuttingDown)
            return;
        m_parts.shuttingDown = true;
        writeLog({Severity::Info, "shutdown_started", {}});
        m_shutdownTimer.startIn(m_parts.settings.shutdownTimeout);
        step([this](TimePoint now, Outbox &out) { m_node->beginShutdown(now, out); });
    }

    // The process ends once the node has nothing left to do and its last messages are out.
    void checkShutdown()
    {
        if (!m_parts.shuttingDown || m_stopped || !m_node->isShutdownComplete()
            || m_log.pendingAppends() > 0)
            return;
        m_stopped = true;
        m_parts.server->stopAccepting();
        awaitQuiet();
    }

    void awaitQuiet()
    {
        if (!m_links.hasPending() && m_links.openCalls() == 0
            && m_parts.server->openRequests() == 0)
            m_parts.loop.stop();
        else
            m_quietTimer.startIn(std::chrono::milliseconds(10));
    }

    void cutShort()
    {
        writeLog({Severity::Error, "shutdown_cut_short", {}});
        m_cutShort = true;
        m_parts.loop.stop();
    }

    Timer m_quietTimer{m_parts.loop, [this] { awaitQuiet(); }};
    LogOffset m_ledgerNext;
    bool m_stopped = false;
    bool m_cutShort = false;
};

} // namespace cactuscove
