// I/O of the dispatch-entry process. Passes the requests of callers, the messages of agents and the
// operators' configuration to JobDispatcher and performs the effects it asks for.
// Also exchanges addresses with other entries and answers the load balancer's readiness checks.

#include "dispatchentry.h"

#include "decisionloop.h"
#include "dispatchcallers.h"
#include "dispatchoperators.h"
#include "dispatchprocess.h"
#include "jobdispatcher.h"
#include "scarcitymetrics.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Jobs are accepted for this long after the shutdown signal. The load balancer checks readiness
// every second and stops sending new connections only after two failed checks.
constexpr Duration AcceptAfterShutdownSignal = 2500ms;
// From the last answers to jobs until the process is killed: time to send them and to end.
constexpr Duration LastAnswersTime = 500ms;
// How often a process that shuts down checks whether all jobs are answered.
constexpr Duration DrainCheckInterval = 20ms;
// New addresses and starts of entries are collected for this long and sent in one message.
constexpr Duration EntryUpdateDelay = 50ms;
// A connection on which no message arrives for this long is closed, unless its peer is an entry.
constexpr Duration LinkTimeout = 2s;
// Connections between entries carry no tasks, so a broken one may be found later and needs fewer
// heartbeats. Offers of the operators' records that are not acknowledged end it sooner (see
// FramedLink).
constexpr Duration EntryHeartbeatInterval = 1s;
constexpr Duration EntryLinkTimeout = 3500ms;

class DispatchEntry : public DispatchProcess
{
public:
    explicit DispatchEntry(LoadedSettings loaded)
        : DispatchProcess(Role::Entry, std::move(loaded.settings), std::move(loaded.path))
        , m_features(loaded.features)
        , m_linkListen(std::move(loaded.linkListen))
        , m_dispatcher({m_incarnation.value, lostAgentTimeout(m_settings),
                        m_features.hasScarcityControl, m_settings.hasEvacuationBound,
                        m_settings.remoteSlowness},
                       bootNow())
        , m_decisions(m_loop, m_dispatcher, *this)
        , m_heartbeatTimer(m_loop, [this] { onHeartbeatTick(); })
        , m_entryUpdateTimer(m_loop, [this] { sendEntryUpdates(); })
        , m_refuseTimer(m_loop, [this] { refuseNewJobs(); })
        , m_drainTimer(m_loop, [this] { stopWhenDrained(); })
        , m_callers(m_loop, m_metrics, m_dispatcher, callerHandlers())
        , m_operators(m_loop, m_http, m_metrics, operatorHandlers())
    {}

    std::optional<StartupError> start()
    {
        if (const auto error = m_callers.listen(m_settings.callerAddress))
            return StartupError{error->reason};
        auto readiness = HttpServer::listen(
            m_loop, m_settings.readinessAddress, {},
            [this](RequestId id, const HttpRequest &request) { onReadinessRequest(id, request); });
        if (!isOk(readiness))
            return StartupError{errorOf(readiness).reason};
        m_readinessServer = std::move(valueOf(readiness));
        auto listener
            = FramedListener::listen(m_loop, m_linkListen, [this](int fd) { onAccepted(fd); });
        if (!isOk(listener))
            return StartupError{errorOf(listener).reason};
        m_listener = std::move(valueOf(listener));
        if (auto error = serveMetrics())
            return error;
        followEntryAddresses();
        m_entryFollower->publish(m_settings.instance, m_settings.linkAddress);
        m_operators.start(m_settings, m_features, m_incarnation.value);
        m_heartbeatTimer.startIn(LinkHeartbeatInterval);
        return std::nullopt;
    }

private:
    friend class DecisionLoop<JobDispatcher, DispatcherEffect, DispatchEntry>;

    // A connection that an agent or another entry opened, or that this entry dialled to another
    // one.
    struct Link
    {
        std::unique_ptr<FramedLink> link;
        std::string dialled;       // address; empty for an accepted connection
        TimePoint lastMessageAt{}; // newest message; before the first, when the link was created
        std::optional<PeerHello> peer;        // none until the peer's hello arrives
        std::vector<DemandReport> sentDemand; // in the newest heartbeat
    };

    using LinkId = std::uint64_t;

    // Returns the time after an agent's last message by which all tasks that were assigned to it
    // have ended.
    static Duration lostAgentTimeout(const platform::PlatformSettings &settings)
    {
        // The lease runs on the worker's clock, which may be 2% slow. The worker then needs up to
        // the stop time to end the run, and the 700 ms are for calls that are under way.
        return settings.maxLeaseTime + settings.maxLeaseTime / 50 + settings.maxStopTime + 700ms;
    }

    void perform(AnswerJob &effect) { m_callers.answer(effect.caller, effect.answer); }

    void perform(SendToAgent &effect)
    {
        const auto found = m_agentLinks.find(effect.agent);
        if (found == m_agentLinks.end())
            return;
        Link &it = m_links.at(found->second);
        sendIfKnown(*it.link, *it.peer, std::move(effect.message));
    }

    void perform(const SendToEntries &effect)
    {
        for (auto &[id, it] : m_links)
            if (it.peer && it.peer->role == Role::Entry)
                sendIfKnown(*it.link, *it.peer, effect.message);
    }

    void perform(LogEvent &effect) { log(effect); }

    void onPendingProcessed(TimePoint)
    {
        m_scarcityMetrics.addPlacement(m_dispatcher.placementCounts(), m_metrics);
    }

    // Callers

    DispatchCallers::Handlers callerHandlers()
    {
        return {[this](CallerId caller, BestEffortJob job, Duration timeout) {
                    m_decisions.handleInput(
                        [&](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &out) {
                            dispatcher.submit(caller, std::move(job), timeout, now, out);
                        });
                },
                [this](CallerId caller) {
                    m_decisions.handleInput(
                        [&](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &out) {
                            dispatcher.callerDisconnected(caller, now, out);
                        });
                },
                [this](const LogEvent &event) { log(event); }};
    }

    void onReadinessRequest(RequestId id, const HttpRequest &request)
    {
        if (!platform::isReadinessCheck(request))
            return m_readinessServer->respond(id, {404, "{}"});
        const bool isReady = !m_isShuttingDown && m_dispatcher.config().version != 0
                             && m_dispatcher.workers().connectedAgents() > 0;
        if (m_lastReadiness != isReady) {
            m_lastReadiness = isReady;
            log({Severity::Info,
                 isReady ? "ready" : "not_ready",
                 {{"config", std::to_string(m_dispatcher.config().version)},
                  {"agents", std::to_string(m_dispatcher.workers().connectedAgents())}}});
        }
        m_readinessServer->respond(id, {isReady ? 200 : 503, "{}"});
    }

    DispatchOperators::Handlers operatorHandlers()
    {
        return {[this](DispatchConfig config) {
                    m_decisions.handleInput(
                        [&](JobDispatcher &dispatcher, TimePoint, DispatcherOutbox &out) {
                            dispatcher.configure(std::move(config), out);
                        });
                },
                [this](const std::set<std::string> &dataCentres) { applyEvacuations(dataCentres); },
                [this](std::string_view dataCentre) {
                    return m_dispatcher.workers().workersIn(dataCentre);
                },
                [this](OperatorPeer peer, PeerMessage message) {
                    m_links.at(peer.value).link->send(std::move(message));
                },
                [this](const LogEvent &event) { log(event); }};
    }

    // Puts evacuations in force and sends them to all processes that are connected.
    void applyEvacuations(const std::set<std::string> &dataCentres)
    {
        const bool isComplete = m_operators.evacuationUpdate().readUpTo > LogOffset{};
        m_decisions.handleInput([&](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &) {
            dispatcher.setEvacuated(dataCentres, isComplete, now);
        });
        for (auto &[id, it] : m_links)
            sendEvacuations(it);
    }

    void sendEvacuations(Link &it)
    {
        if (m_operators.knowsEvacuations() && it.peer)
            sendIfKnown(*it.link, *it.peer, m_operators.evacuationUpdate());
    }

    // Agents and other entries

    FramedLink::Handlers makeHandlers(LinkId id)
    {
        return {[this, id] { sendHello(m_links.at(id)); },
                [this, id](const std::vector<PeerMessage> &messages) { onMessages(id, messages); },
                [this, id](std::string_view reason) { closeLink(id, reason); }};
    }

    void sendHello(Link &it)
    {
        it.link->send(PeerHello{m_settings.instance, m_incarnation, Role::Entry,
                                m_settings.dataCentre, m_settings.linkAddress, ProtocolVersion});
        it.link->send(knownEntries());
    }

    KnownEntries knownEntries() const { return {m_selection.addresses()}; }

    void onAccepted(int fd)
    {
        const LinkId id = ++m_lastLink;
        Link &it = m_links[id];
        it.lastMessageAt = bootNow();
        it.link = FramedLink::adopt(m_loop, fd, makeHandlers(id));
        sendHello(it);
    }

    void onEntryAddressAdded(const std::string &address) override
    {
        m_operators.entryKnown(address);
        m_newAddresses.addresses.push_back(address);
        scheduleEntryUpdates();
    }

    void scheduleEntryUpdates()
    {
        if (!std::exchange(m_isEntryUpdateScheduled, true))
            m_entryUpdateTimer.startIn(EntryUpdateDelay);
    }

    void sendEntryUpdates()
    {
        m_isEntryUpdateScheduled = false;
        connectEntries();
        for (auto &[id, it] : m_links) {
            if (!it.peer)
                continue;
            if (!m_newAddresses.addresses.empty())
                it.link->send(m_newAddresses);
            if (!m_newStarts.starts.empty())
                it.link->send(m_newStarts);
        }
        m_newAddresses.addresses.clear();
        m_newStarts.starts.clear();
    }

    // Passes on the start of another entry's process the first time that it is reported.
    void onEntryStarted(const EntryStart &start)
    {
        if (start.instance == m_incarnation || !m_seenEntryProcesses.insert(start.instance).second)
            return;
        addEntryAddress(start.address, "entry");
        m_selection.reportedAlive(start.address, bootNow());
        m_newStarts.starts.push_back(start);
        scheduleEntryUpdates();
    }

    void connectEntries()
    {
        const EntrySelection::Plan plan = m_selection.plan(bootNow());
        for (const std::string &address : plan.dial)
            dialEntry(address);
        for (const std::string &address : plan.release)
            releaseEntry(address);
    }

    void dialEntry(const std::string &address)
    {
        const TimePoint now = bootNow();
        m_selection.onDialled(address, now);
        const LinkId id = ++m_lastLink;
        auto link = FramedLink::dial(m_loop, address, makeHandlers(id));
        if (!isOk(link))
            return m_selection.onClosed(address, now);
        Link &it = m_links[id];
        it.lastMessageAt = now;
        it.dialled = address;
        it.link = std::move(valueOf(link));
    }

    void closeLink(LinkId id, std::string_view reason)
    {
        const auto it = m_links.find(id);
        if (it == m_links.end())
            return;
        const std::optional<PeerHello> peer = it->second.peer;
        const TimePoint lastMessageAt = it->second.lastMessageAt;
        if (!it->second.dialled.empty())
            m_selection.onClosed(it->second.dialled, bootNow());
        m_links.erase(it);
        if (!peer)
            return;
        m_operators.peerDisconnected(OperatorPeer{id});
        log({Severity::Warning,
             peer->role == Role::Agent ? "agent_lost" : "entry_lost",
             {{"name", peer->name},
              {"incarnation", std::to_string(peer->instance.value)},
              {"reason", std::string(reason)},
              {"heard_ms", std::to_string((bootNow() - lastMessageAt) / 1ms)}}});
        const auto agent = m_agentLinks.find(peer->instance);
        if (agent == m_agentLinks.end() || agent->second != id)
            return; // the agent has opened a newer connection
        m_agentLinks.erase(agent);
        m_decisions.handleInput(
            [&](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &out) {
                dispatcher.onAgentDisconnected(peer->instance, now, out);
            });
    }

    void onMessages(LinkId id, const std::vector<PeerMessage> &messages)
    {
        Link &it = m_links.at(id);
        it.lastMessageAt = bootNow();
        m_decisions.handleInput(
            [&](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &out) {
                for (const PeerMessage &message : messages) {
                    if (const auto *hello = std::get_if<PeerHello>(&message))
                        onHello(id, it, *hello, now, out);
                    else if (const auto *known = std::get_if<KnownEntries>(&message))
                        addEntryAddresses(*known);
                    else if (const auto *started = std::get_if<EntriesStarted>(&message))
                        for (const EntryStart &start : started->starts)
                            onEntryStarted(start);
                    else if (const auto *update = std::get_if<EvacuationUpdate>(&message))
                        onEvacuationUpdate(it, *update);
                    else if (it.peer && it.peer->role == Role::Agent)
                        dispatcher.onAgentMessage(it.peer->instance, message, now, out);
                    else if (const auto *crash = std::get_if<CrashReport>(&message))
                        dispatcher.onCrashReport(*crash, now, out);
                    else if (const auto *starts = std::get_if<OpenStartReport>(&message))
                        dispatcher.onOpenStarts(*starts, now, out);
                    else if (it.peer)
                        m_operators.onPeerMessage(OperatorPeer{id}, message);
                }
            });
    }

    void onEvacuationUpdate(const Link &it, const EvacuationUpdate &update)
    {
        if (it.peer)
            m_operators.onEvacuationUpdate(it.peer->name, update);
    }

    void onHello(LinkId id, Link &it, const PeerHello &hello, TimePoint now, DispatcherOutbox &out)
    {
        it.peer = hello;
        log({Severity::Info,
             hello.role == Role::Agent ? "agent_connected" : "entry_connected",
             {{"name", hello.name}, {"incarnation", std::to_string(hello.instance.value)}}});
        sendEvacuations(it);
        if (hello.role == Role::Entry) {
            if (!it.dialled.empty())
                m_selection.onOpened(it.dialled);
            m_operators.peerConnected(OperatorPeer{id}, hello);
            for (CrashReport &report : m_dispatcher.crashReports(now))
                sendIfKnown(*it.link, hello, std::move(report));
            sendIfKnown(*it.link, hello, m_dispatcher.openStarts(now));
            return onEntryStarted({hello.address, hello.instance});
        }
        const auto [agent, isNew] = m_agentLinks.try_emplace(hello.instance, id);
        if (!isNew) {
            // The agent reads only its newest connection, so messages that are queued on the older
            // one are lost.
            const LinkId older = std::exchange(agent->second, id);
            m_dispatcher.onAgentDisconnected(hello.instance, now, out);
            m_loop.post([this, older] { closeLink(older, "replaced"); });
        }
        m_dispatcher.onAgentConnected(hello, now, out);
    }

    void onHeartbeatTick()
    {
        m_heartbeatTimer.startIn(LinkHeartbeatInterval);
        ++m_heartbeatTicks;
        const TimePoint now = bootNow();
        const bool isEntryHeartbeatDue
            = m_heartbeatTicks % (EntryHeartbeatInterval / LinkHeartbeatInterval) == 0;
        const std::vector<DemandReport> demand = m_dispatcher.demandReports(now);
        std::vector<LinkId> silent;
        for (auto &[id, it] : m_links) {
            const bool isEntry = it.peer && it.peer->role == Role::Entry;
            if (now - it.lastMessageAt > (isEntry ? EntryLinkTimeout : LinkTimeout))
                silent.push_back(id);
            else if (it.link->isOpen() && isEntry && isEntryHeartbeatDue)
                it.link->send(PeerHeartbeat{now, 0});
            else if (it.link->isOpen() && !isEntry
                     && (isHeartbeatDue(*it.link) || differsNoticeably(it.sentDemand, demand))) {
                it.link->send(PeerHeartbeat{now, 0, demand});
                it.sentDemand = demand;
            }
        }
        for (const LinkId id : silent)
            closeLink(id, "silent");
        connectEntries();
    }

    void releaseEntry(const std::string &address)
    {
        const auto it = std::find_if(m_links.begin(), m_links.end(), [&](const auto &link) {
            return link.second.dialled == address;
        });
        if (it != m_links.end())
            closeLink(it->first, "not needed");
    }

    // Shutdown

    void beginShutdown() override
    {
        m_callers.closeConnections();
        m_decisions.handleInput(
            [this](JobDispatcher &dispatcher, TimePoint now, DispatcherOutbox &) {
                dispatcher.answerJobsBy(now + m_settings.shutdownGracePeriod - LastAnswersTime);
            });
        m_refuseTimer.startIn(
            std::min(AcceptAfterShutdownSignal, m_settings.shutdownGracePeriod / 2));
    }

    void refuseNewJobs()
    {
        m_callers.refuseJobs();
        m_dispatcher.beginShutdown();
        stopWhenDrained();
    }

    // Ends the process once every job is answered and every response is sent.
    void stopWhenDrained()
    {
        if (m_dispatcher.openJobs() == 0 && m_callers.openRequests() == 0)
            m_loop.stop();
        else
            m_drainTimer.startIn(DrainCheckInterval);
    }

    std::string metricsText() override
    {
        m_metrics.set("cactuscove_open_jobs", {}, static_cast<double>(m_dispatcher.openJobs()));
        m_metrics.set("cactuscove_up_members", {{"role", "agent"}},
                      static_cast<double>(m_dispatcher.workers().connectedAgents()));
        m_metrics.set("cactuscove_open_requests", {},
                      static_cast<double>(m_callers.openRequests()));
        if (m_features.hasScarcityControl)
            ScarcityMetrics::setDemand(m_dispatcher, bootNow(), m_metrics);
        return m_metrics.text();
    }

    FeatureFlags m_features;
    ScarcityMetrics m_scarcityMetrics;
    std::string m_linkListen; // "ip:port" on which links of agents and entries are accepted
    JobDispatcher m_dispatcher;
    DecisionLoop<JobDispatcher, DispatcherEffect, DispatchEntry> m_decisions;
    Timer m_heartbeatTimer;
    Timer m_entryUpdateTimer;
    Timer m_refuseTimer;
    Timer m_drainTimer;
    DispatchCallers m_callers;
    std::unique_ptr<HttpServer> m_readinessServer;
    std::unique_ptr<FramedListener> m_listener;
    DispatchOperators m_operators;
    std::map<LinkId, Link> m_links;
    std::map<Incarnation, LinkId> m_agentLinks; // newest connection of each agent
    std::set<Incarnation> m_seenEntryProcesses; // processes of other entries seen so far
    KnownEntries m_newAddresses;                // not yet sent to the connected peers
    EntriesStarted m_newStarts;                 // not yet sent to the connected peers
    LinkId m_lastLink = 0;
    std::optional<bool> m_lastReadiness;   // as answered last; none before the first check
    bool m_isEntryUpdateScheduled = false; // m_entryUpdateTimer is running
};

} // namespace

int runDispatchEntry(std::span<const std::string> arguments)
{
    blockSignals();
    auto loaded = loadPlatformSettings(Role::Entry, arguments);
    if (!isOk(loaded))
        return errorOf(loaded).value;
    DispatchEntry process(std::move(valueOf(loaded)));
    if (const auto error = process.start()) {
        std::fprintf(stderr, "cactuscove dispatch-entry: %s\n", error->reason.c_str());
        return 1;
    }
    return process.run();
}

} // namespace cactuscove
