// I/O of the dispatch-agent process. Receives the worker's heartbeats over HTTP, keeps connections
// to the selected entries, passes their messages to TaskRunner and performs the effects it asks
// for: HTTP calls to the worker and messages to entries.

#include "dispatchagent.h"

#include "agentsettings.h"
#include "decisionloop.h"
#include "demandtable.h"
#include "dispatchprocess.h"
#include "entryconnection.h"
#include "evacuationchanges.h"
#include "taskrunner.h"
#include "workerrecordclient.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Shortest time between two reports of the workers' loads to the entries. Loads change with each
// start and end of a task. While all workers have much capacity left, entries can place tasks by
// older figures.
constexpr Duration NearlyFullLoadInterval = 5ms;
constexpr Duration SpareCapacityLoadInterval = 25ms;
// When the start of an entry's process is announced, a connection attempt that is older than this
// is replaced: it may be from before the start and is then never answered.
constexpr Duration MaxDialAgeAtEntryStart = 50ms;
// A connection attempt is abandoned if the entry's hello has not arrived after this long: its
// packets were lost or the network path is cut.
constexpr Duration DialTimeout = 300ms;
// After an entry was told that the worker is gone, tasks from it may still arrive for this long.
constexpr Duration ReleaseDelay = 500ms;
// Fraction of the shutdown time in which running tasks may end by themselves.
constexpr double DrainTimeFraction = 0.8;

class DispatchAgent : public DispatchProcess
{
public:
    explicit DispatchAgent(LoadedSettings loaded)
        : DispatchProcess(Role::Agent, std::move(loaded.settings), std::move(loaded.path))
        , m_features(loaded.features)
        , m_runner(taskRunnerSettings(m_settings, m_features, m_incarnation), bootNow())
        , m_decisions(m_loop, m_runner, *this)
        , m_heartbeatTimer(m_loop, [this] { onHeartbeatTick(); })
        , m_loadTimer(m_loop, [this] { sendLoads(); })
        , m_shutdownTimer(m_loop, [this] { m_loop.stop(); })
    {}

    std::optional<StartupError> start()
    {
        auto server = HttpServer::listen(
            m_loop, m_settings.workerAddress, {},
            [this](RequestId id, const HttpRequest &request) { onWorkerRequest(id, request); });
        if (!isOk(server))
            return StartupError{errorOf(server).reason};
        m_server = std::move(valueOf(server));
        if (auto error = serveMetrics())
            return error;
        followEntryAddresses();
        if (m_features.hasWorkerRecords)
            m_workerRecord = std::make_unique<WorkerRecordClient>(
                m_loop, m_http, m_metrics, m_settings, m_incarnation.value,
                WorkerRecordClient::Handlers{
                    [this](const WorkerInfo &it, std::optional<Duration> age) {
                        onWorkerRecord(it, age);
                    },
                    [this](const LogEvent &event) { log(event); }});
        m_heartbeatTimer.startIn(LinkHeartbeatInterval);
        return std::nullopt;
    }

private:
    friend class DecisionLoop<TaskRunner, RunnerEffect, DispatchAgent>;

    void onPendingProcessed(TimePoint now)
    {
        if (m_runner.loadVersion() != m_loadVersion
            && !std::exchange(m_isLoadReportScheduled, true))
            m_loadTimer.startIn(std::max(Duration{}, m_loadsSentAt + loadInterval() - now));
        if (m_isShuttingDown && m_runner.openTasks() == 0
            && !std::exchange(m_isStopScheduled, true))
            // The last messages about ended tasks must still reach the entries.
            m_shutdownTimer.startIn(LinkHeartbeatInterval);
    }

    Duration loadInterval() const
    {
        return m_runner.isNearlyFull() ? NearlyFullLoadInterval : SpareCapacityLoadInterval;
    }

    // Sends a call to the worker and passes its parsed reply to TaskRunner::*onReply. `kind` is the
    // value of the label "call" in the metrics.
    template <typename Command, typename Reply>
    void callWorker(const char *kind, const Command &command,
                    Reply (*parse)(const platform::CallResult &),
                    void (TaskRunner::*onReply)(WorkerCallId, const Reply &, TimePoint,
                                                RunnerOutbox &))
    {
        m_metrics.add("cactuscove_worker_calls_total", {{"call", kind}});
        m_http.start(platform::makeCall(command), [this, call = command.call, parse,
                                                   onReply](const platform::CallResult &result) {
            m_decisions.handleInput([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
                (runner.*onReply)(call, parse(result), now, out);
            });
        });
    }

    void perform(const StartRun &effect)
    {
        callWorker("start", effect, platform::parseStartReply, &TaskRunner::onStartReply);
    }

    void perform(const StopRun &effect)
    {
        callWorker("stop", effect, platform::parseStopReply, &TaskRunner::onStopReply);
    }

    void perform(const PollRuns &effect)
    {
        callWorker("hold", effect, platform::parsePollReply, &TaskRunner::onPollReply);
    }

    void perform(SendToEntry &effect)
    {
        for (auto &[address, connection] : m_connections) {
            if (!connection.entry || connection.entry->instance != effect.entry)
                continue;
            if (!connection.isReleasing() || !std::holds_alternative<WorkerUpdate>(effect.message))
                sendIfKnown(*connection.link, *connection.entry, std::move(effect.message));
            return;
        }
    }

    void perform(LogEvent &effect) { log(effect); }

    void onWorkerRequest(RequestId id, const HttpRequest &request)
    {
        const auto report = platform::parseWorkerReport(request);
        if (!isOk(report)) {
            const auto &error = errorOf(report);
            log({Severity::Warning,
                 "heartbeat_refused",
                 {{"path", request.path}, {"reason", error.reason}}});
            return m_server->respond(id, {error.status, "{}"});
        }
        const platform::WorkerReport &it = valueOf(report);
        m_decisions.handleInput([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
            if (!it.info)
                return runner.onWorkerLeft(it.workerId, now, out);
            runner.onWorkerInfo(*it.info, it.clock, now, out);
            runner.onWorkerCold(it.workerId, it.coldLeft, now);
        });
        if (it.info && m_workerRecord)
            m_workerRecord->onWorkerInfo(*it.info);
        m_server->respond(id, {200, "{}"});
    }

    void onWorkerRecord(const WorkerInfo &worker, std::optional<Duration> age)
    {
        m_decisions.handleInput([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
            runner.onWorkerRecord(worker, age, now, out);
        });
    }

    // Entries

    // Dials the entries that m_selection asks for. Must be called after each change of m_selection.
    void connectEntries()
    {
        for (const std::string &address : m_selection.plan(bootNow()).dial)
            dial(address, m_connections[address]);
    }

    void onEntryAddressAdded(const std::string &) override
    {
        if (!std::exchange(m_isConnectScheduled, true)) // once for several addresses
            m_loop.post([this] {
                m_isConnectScheduled = false;
                connectEntries();
            });
    }

    void onEntryStarted(const std::string &address)
    {
        addEntryAddress(address, "entry");
        m_selection.reportedAlive(address, bootNow());
        const auto it = m_connections.find(address);
        if (it != m_connections.end() && it->second.link && !it->second.entry
            && bootNow() - it->second.dialledAt > MaxDialAgeAtEntryStart)
            dial(address, it->second);
        connectEntries();
    }

    void dial(const std::string &address, EntryConnection &it)
    {
        forgetEntry(it);
        it.dialledAt = it.lastMessageAt = bootNow();
        m_selection.onDialled(address, it.dialledAt);
        auto link = FramedLink::dial(
            m_loop, address,
            {[this, &it] {
                 it.link->send(PeerHello{m_settings.instance,
                                         m_incarnation,
                                         Role::Agent,
                                         m_settings.dataCentre,
                                         {},
                                         ProtocolVersion});
             },
             [this, address, &it](const std::vector<PeerMessage> &messages) {
                 onMessages(address, it, messages);
             },
             [this, address, &it](std::string_view reason) { onClosed(address, it, reason); }});
        if (isOk(link))
            it.link = std::move(valueOf(link));
        else
            m_loop.post([this, address, &it, reason = errorOf(link).reason] {
                onClosed(address, it, reason);
            });
    }

    void onClosed(const std::string &address, EntryConnection &it, std::string_view reason)
    {
        if (it.entry)
            log({it.isReleasing() ? Severity::Info : Severity::Warning,
                 it.isReleasing() ? "entry_released" : "entry_lost",
                 {{"entry", it.entry->name},
                  {"address", address},
                  {"reason", std::string(reason)},
                  {"heard_ms", std::to_string((bootNow() - it.lastMessageAt) / 1ms)}}});
        forgetEntry(it);
        m_selection.onClosed(address, bootNow());
        connectEntries();
    }

    void forgetEntry(EntryConnection &it)
    {
        if (it.entry)
            m_demand.disconnected(it.entry->instance);
        it.entry.reset();
        it.link.reset();
        it.releasingSince = NeverTime;
    }

    // Closes surplus connections. First reports to the entry that the workers are gone, so that it
    // assigns no more tasks, and closes the connection once the entry's tasks have ended. Reports
    // the workers as present to an entry that is no longer surplus.
    void releaseEntries(const std::vector<std::string> &surplus)
    {
        const TimePoint now = bootNow();
        for (auto &[address, it] : m_connections) {
            if (!it.entry)
                continue;
            const bool isSurplus
                = std::find(surplus.begin(), surplus.end(), address) != surplus.end();
            if (isSurplus != it.isReleasing()) {
                it.releasingSince = isSurplus ? now : NeverTime;
                it.sendWorkers(m_runner, now);
            } else if (isSurplus && now - it.releasingSince > ReleaseDelay
                       && m_runner.openTasksOf(it.entry->instance) == 0) {
                onClosed(address, it, "not needed");
            }
        }
    }

    void onMessages(const std::string &address, EntryConnection &it,
                    const std::vector<PeerMessage> &messages)
    {
        it.lastMessageAt = bootNow();
        m_decisions.handleInput([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
            if (it.entry)
                runner.onEntryActivity(it.entry->instance, now, out);
            for (const PeerMessage &message : messages)
                onMessage(address, it, message, now, out);
        });
    }

    void onMessage(const std::string &address, EntryConnection &it, const PeerMessage &message,
                   TimePoint now, RunnerOutbox &out)
    {
        if (const auto *hello = std::get_if<PeerHello>(&message))
            return onHello(address, it, *hello, now, out);
        if (!it.entry)
            return;
        if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&message))
            onHeartbeat(it.entry->instance, *heartbeat, now);
        else if (const auto *assign = std::get_if<AssignTask>(&message))
            m_runner.onAssign(it.entry->instance, *assign, now, out);
        else if (const auto *withdraw = std::get_if<WithdrawTask>(&message))
            m_runner.onWithdraw(it.entry->instance, *withdraw, now, out);
        else if (const auto *starts = std::get_if<OpenStartReport>(&message))
            m_runner.onOpenStarts(*starts, now, out);
        else if (const auto *update = std::get_if<EvacuationUpdate>(&message))
            onEvacuationUpdate(it.entry->name, *update);
        else if (const auto *known = std::get_if<KnownEntries>(&message))
            m_loop.post([this, all = *known] {
                addEntryAddresses(all);
                connectEntries();
            });
        else if (const auto *started = std::get_if<EntriesStarted>(&message))
            for (const EntryStart &start : started->starts)
                m_loop.post([this, other = start.address] { onEntryStarted(other); });
    }

    void onHello(const std::string &address, EntryConnection &it, const PeerHello &hello,
                 TimePoint now, RunnerOutbox &out)
    {
        if (hello.role != Role::Entry)
            return;
        it.entry = hello;
        m_selection.onOpened(address);
        log({Severity::Info,
             "entry_connected",
             {{"entry", hello.name}, {"incarnation", std::to_string(hello.instance.value)}}});
        m_runner.onEntryHello(hello.instance, hello.name, now, out);
        m_demand.connected(hello.instance);
        sendHeartbeat(it, demandSums(now));
        // Before the workers, so that a new entry places nothing on them.
        it.sendEvacuations(m_records);
        it.sendReports(m_runner, now);
        it.sendInventory(m_runner);
        it.sendWorkers(m_runner, now);
    }

    // Evacuations: the entry that was connected last may know less than others, so each change is
    // passed on to all entries.

    void onEvacuationUpdate(std::string_view sender, const EvacuationUpdate &update)
    {
        m_records.mergeEvacuations(update.evacuations, update.readUpTo);
        const EvacuationChanges::Change change
            = m_evacuationChanges.update(m_records, sender, [this](std::string_view dataCentre) {
                  return m_runner.workersIn(dataCentre);
              });
        for (const LogEvent &it : change.events)
            log(it);
        if (!change.mustBeSent)
            return;
        const std::set<std::string> dataCentres = m_records.evacuatedDataCentres();
        m_metrics.set("cactuscove_evacuated_data_centres", {},
                      static_cast<double>(dataCentres.size()));
        m_runner.setEvacuated(dataCentres);
        for (auto &[address, it] : m_connections)
            if (it.entry)
                it.sendEvacuations(m_records);
    }

    // An entry reports all upstreams of its configuration. Those without a worker here are left out
    // first, as they are no fault to log.
    void onHeartbeat(Incarnation entry, PeerHeartbeat heartbeat, TimePoint now)
    {
        DemandTable::Upstreams upstreams;
        for (const WorkerUpdate &it : m_runner.workers())
            upstreams.insert(it.worker.upstream);
        std::erase_if(heartbeat.demand,
                      [&](const DemandReport &it) { return upstreams.count(it.upstream) == 0; });
        if (const auto event = m_demand.update(entry, heartbeat, upstreams, now))
            log(*event);
    }

    void sendLoads()
    {
        m_isLoadReportScheduled = false;
        m_loadVersion = m_runner.loadVersion();
        m_loadsSentAt = bootNow();
        const std::vector<std::string> orphanFreeWorkers = m_runner.orphanFreeWorkers();
        const std::vector<WorkerLoad> loads = m_runner.loads(m_loadsSentAt);
        for (auto &[address, it] : m_connections) {
            if (!it.entry || it.isReleasing() || it.loadVersion == m_loadVersion)
                continue;
            if (it.orphanFreeWorkers != orphanFreeWorkers)
                it.sendInventory(m_runner);
            it.sendLoads(m_runner, loads);
        }
    }

    // What the entries ask of the workers together.
    std::vector<DemandReport> demandSums(TimePoint now) const
    {
        return m_features.hasScarcityControl ? m_demand.sum(now) : std::vector<DemandReport>();
    }

    void sendHeartbeat(EntryConnection &it, const std::vector<DemandReport> &demand)
    {
        const auto connectedEntries
            = std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) {
                  return connection.second.entry && !connection.second.isReleasing();
              });
        it.sendHeartbeat(bootNow(), static_cast<std::uint32_t>(connectedEntries), demand);
    }

    void onHeartbeatTick()
    {
        m_heartbeatTimer.startIn(LinkHeartbeatInterval);
        ++m_heartbeatTicks;
        const TimePoint now = bootNow();
        const std::vector<DemandReport> demand = demandSums(now);
        for (auto &[address, it] : m_connections) {
            if (!it.link)
                continue;
            if (it.entry && now - it.lastMessageAt > LinkSilenceTimeout)
                onClosed(address, it, "silent");
            else if (!it.entry && now - it.dialledAt > DialTimeout)
                onClosed(address, it, "not open in time");
            else if (it.entry
                     && (isHeartbeatDue(*it.link) || differsNoticeably(it.sentDemand, demand)))
                sendHeartbeat(it, demand);
        }
        const EntrySelection::Plan plan = m_selection.plan(now);
        for (const std::string &address : plan.dial)
            dial(address, m_connections[address]);
        releaseEntries(plan.release);
    }

    void beginShutdown() override
    {
        m_decisions.handleInput(
            [](TaskRunner &runner, TimePoint, RunnerOutbox &out) { runner.beginShutdown(out); });
        if (m_runner.openTasks() > 0)
            m_shutdownTimer.startIn(std::chrono::duration_cast<Duration>(
                m_settings.shutdownGracePeriod * DrainTimeFraction));
    }

    std::string metricsText() override
    {
        m_metrics.set("cactuscove_open_tasks", {}, static_cast<double>(m_runner.openTasks()));
        m_metrics.set("cactuscove_known_workers", {},
                      static_cast<double>(m_runner.workers().size()));
        return m_metrics.text();
    }

    FeatureFlags m_features;
    OperatorRecords m_records; // only the evacuations, as the entries report them
    EvacuationChanges m_evacuationChanges;
    TaskRunner m_runner;
    DemandTable m_demand; // of the connected entries; used only with scarcity control
    DecisionLoop<TaskRunner, RunnerEffect, DispatchAgent> m_decisions;
    Timer m_heartbeatTimer;
    Timer m_loadTimer;
    Timer m_shutdownTimer;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<WorkerRecordClient>
        m_workerRecord; // none without FeatureFlags::hasWorkerRecords
    std::map<std::string, EntryConnection> m_connections; // by address
    std::uint64_t m_loadVersion = 0;                      // sent to all entries that were connected
    TimePoint m_loadsSentAt{};
    bool m_isLoadReportScheduled = false; // m_loadTimer is running
    bool m_isConnectScheduled = false;    // connectEntries() is posted
    bool m_isStopScheduled = false;       // the last task has ended during a shutdown
};

} // namespace

int runDispatchAgent(std::span<const std::string> arguments)
{
    blockSignals();
    auto loaded = loadPlatformSettings(Role::Agent, arguments);
    if (!isOk(loaded))
        return errorOf(loaded).value;
    DispatchAgent process(std::move(valueOf(loaded)));
    if (const auto error = process.start()) {
        std::fprintf(stderr, "cactuscove dispatch-agent: %s\n", error->reason.c_str());
        return 1;
    }
    return process.run();
}

} // namespace cactuscove
