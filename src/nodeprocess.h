// Base class of the processes of the roles `entry` and `agent`. A node (EntryNode or AgentNode)
// makes the decisions and does no I/O: it receives inputs with the current time and returns effects
// in an Outbox. NodeProcess does the I/O around the node with an event loop, an HTTP listener,
// links to the other processes, a client of the log service, metrics and tracing.

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

// Why a process cannot start.
struct ProcessError
{
    std::string reason;
};

// Random delay before an agent starts to read the log. It spreads the load on the log service when
// a thousand agents lose their feeds at once.
constexpr Duration AgentLogReadJitter = std::chrono::seconds(2);

// The interface of a node that NodeProcess needs for every role.
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

// The members of NodeProcess that do not depend on the type of the node.
struct ProcessContext
{
    // Generates the incarnation of this process and initializes logging.
    explicit ProcessContext(ProcessSettings values);

    // `listenAddress` is the "ip:port" that other processes connect to.
    NodeSettings makeNodeSettings(const std::string &listenAddress) const;

    ProcessSettings settings;
    Incarnation self;     // random and never 0
    std::string instance; // `self` as text, for log lines and spans
    EventLoop loop;
    Metrics metrics;
    Tracer tracer;
    HttpClient http;                    // calls to other processes, the log service and upstreams
    std::unique_ptr<HttpServer> server; // null until NodeProcess::listen()
    bool isShuttingDown = false;        // a signal to terminate was received
};

// 16 lower-case hex digits.
std::string formatIncarnation(Incarnation incarnation);

// A derived class builds its node in makeNode(), calls listen(), and then run() once. All functions
// run on the thread of run().
template <ProcessNode Node>
class NodeProcess
{
public:
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;
    virtual ~NodeProcess() = default;

    // Starts the node and runs the event loop until a graceful shutdown is complete or has timed
    // out. Returns the exit status of the process: 0, or 1 after a timeout.
    int run()
    {
        handleInput([this](TimePoint now, Outbox &out) { m_node->start(now, out); });
        m_context.loop.run();
        writeLog({Severity::Info, "process_stopped", {}});
        return m_shutdownTimedOut ? 1 : 0;
    }

protected:
    explicit NodeProcess(ProcessSettings settings)
        : m_context(std::move(settings))
        , m_timer(m_context.loop, [this] { onTimer(); })
        , m_shutdownTimer(m_context.loop, [this] { abortShutdown(); })
        , m_links(m_context.loop, m_context.http, m_context.metrics, m_context.self,
                  peerLinkHooks())
        , m_log(m_context.loop, m_context.http, logClientSettings(), logClientHandlers())
    {}

    // Binds the HTTP listener and then builds the node, which needs the address of the listener.
    // SIGTERM and SIGINT begin a graceful shutdown from now on.
    std::optional<ProcessError> listen()
    {
        auto listened = HttpServer::listen(
            m_context.loop, m_context.settings.listen, {},
            [this](RequestId id, HttpRequest request) { onRequest(id, std::move(request)); },
            [this](RequestId id) { onRequestClosed(id); });
        if (!isOk(listened))
            return ProcessError{errorOf(listened).reason};
        m_context.server = std::move(valueOf(listened));
        const std::string advertised = m_context.settings.advertise.empty()
                                           ? m_context.server->address()
                                           : m_context.settings.advertise;
        m_node = makeNode(m_context.makeNodeSettings(advertised));
        for (const int signal : {SIGTERM, SIGINT})
            m_context.loop.onSignal(signal, [this] { beginShutdown(); });
        writeLog({Severity::Info,
                  "process_started",
                  {{"listen", m_context.server->address()},
                   {"data_centre", m_context.settings.dataCentre},
                   {"version", std::string(version())}}});
        return std::nullopt;
    }

    // Passes one input to the node and carries out the effects that it returns. `input` is called
    // once as input(now, outbox). Afterwards m_timer is set to m_node->nextTimer().
    template <typename Input>
    void handleInput(Input input)
    {
        Outbox out;
        input(m_context.loop.now(), out);
        for (Effect &it : out.take())
            std::visit([this](auto &effect) { perform(effect); }, it);
        const LogOffset next = m_node->ledger().next();
        m_log.advanceTo(next);
        if (std::exchange(m_ledgerNext, next) != next)
            onLedgerChange();
        m_timer.startAt(m_node->nextTimer());
        finishShutdownIfDone();
    }

    virtual std::unique_ptr<Node> makeNode(NodeSettings settings) = 0;
    // A request whose path is not one of /rpc, /healthz, /readyz and /metrics.
    virtual void handleRequest(RequestId id, HttpRequest request) = 0;
    virtual void onRequestClosed(RequestId) {} // a request has ended, answered or not
    virtual void onLedgerChange() {}           // the ledger of the node has advanced
    virtual void onLogReadStarted() {}         // as in LogClientHandlers
    virtual void onLogEndRead() {}
    virtual void onLogReachable(bool) {}
    virtual void updateRoleMetrics() = 0; // sets the gauges of the role before metrics are served
    // Effects that only one of the roles has.
    virtual void perform(AnswerCaller &) {}
    virtual void perform(StartOnUpstream &) {}
    virtual void perform(StopOnUpstream &) {}

    // Answers a request and counts it. `route` is the label of the metric.
    void respond(RequestId id, const std::string &route, HttpResponse response)
    {
        m_context.metrics.add("cactuscove_http_requests_total",
                              {{"route", route}, {"status", std::to_string(response.status)}});
        m_context.server->respond(id, std::move(response));
    }

    ProcessContext m_context;
    std::unique_ptr<Node> m_node; // null until listen()
    Timer m_timer;                // runs at m_node->nextTimer()
    Timer m_shutdownTimer;        // aborts the graceful shutdown
    PeerLinks m_links;
    LogClient m_log;

private:
    void perform(Send &effect) { m_links.send(effect.to, std::move(effect.message)); }
    void perform(Append &effect) { m_log.append(std::move(effect.record)); }
    void perform(const WithdrawAppend &effect) { m_log.withdraw(effect.appendId); }
    void perform(EmitSpan &effect) { m_context.tracer.finishSpan(effect); }
    void perform(LogEvent &effect)
    {
        m_context.metrics.add("cactuscove_events_total", {{"event", effect.name}});
        writeLog(effect);
    }

    PeerLinkHooks peerLinkHooks()
    {
        return {[this](Incarnation to) -> std::optional<std::string> {
                    const MemberState *member = m_node->ledger().member(to);
                    if (!member)
                        return std::nullopt;
                    return member->member.address;
                },
                [this] { return m_node->loads(m_context.loop.now()); },
                [this](const Envelope &envelope) {
                    handleInput([&](TimePoint now, Outbox &out) {
                        m_node->onEnvelope(envelope, now, out);
                    });
                },
                [this](Incarnation to, const Message &message) {
                    handleInput([&](TimePoint now, Outbox &out) {
                        m_node->onUndelivered(to, message, now, out);
                    });
                }};
    }

    LogClientSettings logClientSettings() const
    {
        LogClientSettings settings;
        settings.url = m_context.settings.logUrl;
        settings.stream = m_context.settings.logStream;
        settings.seed = m_context.self.value;
        settings.readJitter
            = m_context.settings.role == Role::Agent ? AgentLogReadJitter : Duration{};
        return settings;
    }

    LogClientHandlers logClientHandlers()
    {
        LogClientHandlers handlers;
        handlers.onRecords = [this](const std::vector<LogRecord> &records, LogOffset next) {
            handleInput(
                [&](TimePoint now, Outbox &out) { m_node->onLogRecords(records, next, now, out); });
        };
        handlers.onSnapshot = [this](const SnapshotRecord &snapshot) {
            handleInput(
                [&](TimePoint now, Outbox &out) { m_node->onLogSnapshot(snapshot, now, out); });
        };
        handlers.onReachableChanged = [this](bool isReachable) {
            m_context.metrics.set("cactuscove_log_reachable", {}, isReachable);
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
        handleInput([this](TimePoint now, Outbox &out) { m_node->onTimer(now, out); });
    }

    void onRequest(RequestId id, HttpRequest request)
    {
        if (request.path == "/rpc" && request.method == "POST")
            m_context.server->respond(id, m_links.onRequest(request));
        else if (request.path == "/healthz")
            respond(id, "/healthz", {200, "{\"status\":\"ok\"}\n"});
        else if (request.path == "/readyz")
            respond(id, "/readyz", readiness());
        else if (request.path == "/metrics")
            respond(id, "/metrics", {200, metricsText(), "text/plain; version=0.0.4"});
        else
            handleRequest(id, std::move(request));
    }

    // 200 while the process is registered in the log and is not shutting down, else 503.
    HttpResponse readiness() const
    {
        if (m_context.isShuttingDown)
            return {503, "{\"status\":\"shutting_down\"}\n"};
        if (!m_node->isActive())
            return {503, "{\"status\":\"not_registered\"}\n"};
        return {200, "{\"status\":\"ready\"}\n"};
    }

    std::string metricsText()
    {
        const Ledger &ledger = m_node->ledger();
        Metrics &metrics = m_context.metrics;
        std::map<std::string, std::pair<int, int>> memberCounts{{"entry", {}}, {"agent", {}}};
        for (const auto &[incarnation, it] : ledger.members()) {
            auto &[up, down] = memberCounts[it.member.role == Role::Entry ? "entry" : "agent"];
            up += it.isUp();
            down += it.isDown;
        }
        for (const auto &[role, counts] : memberCounts) {
            metrics.set("cactuscove_up_members", {{"role", role}}, counts.first);
            metrics.set("cactuscove_down_members", {{"role", role}}, counts.second);
        }
        metrics.set("cactuscove_ledger_offset", {}, static_cast<double>(ledger.next().value));
        metrics.set("cactuscove_config_revision", {},
                    ledger.config() ? static_cast<double>(ledger.config()->revision.value) : 0);
        metrics.set("cactuscove_open_requests", {},
                    static_cast<double>(m_context.server->openRequests()));
        updateRoleMetrics();
        return metrics.text();
    }

    void beginShutdown()
    {
        if (m_context.isShuttingDown)
            return;
        m_context.isShuttingDown = true;
        writeLog({Severity::Info, "shutdown_started", {}});
        m_shutdownTimer.startIn(m_context.settings.shutdownTimeout);
        handleInput([this](TimePoint now, Outbox &out) { m_node->beginShutdown(now, out); });
    }

    // Ends the shutdown once the node has nothing left to do and the log has its last records.
    void finishShutdownIfDone()
    {
        if (!m_context.isShuttingDown || m_isStopping || !m_node->isShutdownComplete()
            || m_log.pendingAppends() > 0)
            return;
        m_isStopping = true;
        m_context.server->stopAccepting();
        stopWhenIdle();
    }

    // Stops the event loop after the last messages have been sent and all requests answered.
    void stopWhenIdle()
    {
        if (!m_links.hasPending() && m_links.openCalls() == 0
            && m_context.server->openRequests() == 0)
            m_context.loop.stop();
        else
            m_idleTimer.startIn(std::chrono::milliseconds(10));
    }

    void abortShutdown()
    {
        writeLog({Severity::Error, "shutdown_cut_short", {}});
        m_shutdownTimedOut = true;
        m_context.loop.stop();
    }

    Timer m_idleTimer{m_context.loop, [this] { stopWhenIdle(); }};
    LogOffset m_ledgerNext;    // m_node->ledger().next() after the newest input
    bool m_isStopping = false; // accepts no connections any more and waits for the last messages
    bool m_shutdownTimedOut = false;
};

} // namespace cactuscove
