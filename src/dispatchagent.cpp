// Shell of the best-effort agent: the worker's reports come in, calls to it go out, one connection
// to each entry.

#include "dispatchagent.h"

#include "decisionloop.h"
#include "dispatchprocess.h"
#include "taskrunner.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Loads change with each start and end; entries get the newest at most this often. While there is
// much room, older figures do as well.
constexpr Duration BusyLoadInterval = 5ms;
constexpr Duration CalmLoadInterval = 25ms;
// A dial that is older may be from before the start of its entry, and is then never answered.
constexpr Duration FreshDial = 50ms;
// A dialled connection that is not open by then is given up: its packets are lost or the path is
// cut.
constexpr Duration DialTimeout = 300ms;
// An entry that was told that the worker is gone sends nothing more after this.
constexpr Duration LeaveTime = 500ms;
// For calls under way and a worker's slow clock, between the last end of a lost job's run and the
// earliest repeat by its caller.
constexpr Duration ResubmitMargin = 150ms;
// Part of the shutdown time in which runs may end by themselves.
constexpr double DrainShare = 0.8;

class DispatchAgent : public DispatchProcess
{
public:
    explicit DispatchAgent(LoadedSettings loaded)
        : DispatchProcess(Role::Agent, std::move(loaded.settings), std::move(loaded.path))
        , m_runner(runnerSettings(), bootNow())
        , m_decisions(m_loop, m_runner, *this)
        , m_beatTimer(m_loop, [this] { beat(); })
        , m_loadTimer(m_loop, [this] { sendLoads(); })
        , m_shutdownTimer(m_loop, [this] { m_loop.stop(); })
    {}

    std::optional<DispatchError> start()
    {
        auto server = HttpServer::listen(
            m_loop, m_settings.workerAddress, {},
            [this](RequestId id, const HttpRequest &request) { onRequest(id, request); });
        if (!isOk(server))
            return DispatchError{errorOf(server).reason};
        m_server = std::move(valueOf(server));
        if (auto error = serveMetrics())
            return error;
        followEntries();
        m_beatTimer.startIn(BeatInterval);
        return std::nullopt;
    }

private:
    friend class DecisionLoop<TaskRunner, RunnerEffect, DispatchAgent>;

    // A connection that this agent dials, to an entry that may not be there.
    struct Dial
    {
        std::unique_ptr<FramedLink> link; // none while it is not dialled
        TimePoint dialledAt{};
        TimePoint heardAt{};
        TimePoint leavingSince = NeverTime;         // the entry was told that the worker is gone
        std::optional<PeerHello> entry;             // once it has introduced itself
        std::vector<std::string> orphanFreeWorkers; // as sent
        std::uint64_t loadVersion = 0;              // sent
    };

    TaskRunnerSettings runnerSettings() const
    {
        TaskRunnerSettings settings;
        const Duration spare = m_settings.resubmitPause - m_settings.stopTime - ResubmitMargin;
        settings.entryTimeout = std::min<Duration>(settings.entryTimeout, spare / 2);
        settings.leaseTime = std::min(
            {settings.leaseTime, m_settings.leaseTime, Duration(spare - settings.entryTimeout)});
        return settings;
    }

    void onSettled(TimePoint now)
    {
        if (m_runner.loadVersion() != m_loadVersion && !std::exchange(m_isLoadDue, true))
            m_loadTimer.startIn(std::max(Duration{}, m_loadsSentAt + loadInterval() - now));
        if (m_shuttingDown && m_runner.openTasks() == 0 && !std::exchange(m_isStopDue, true))
            m_shutdownTimer.startIn(BeatInterval); // the last ends are on their way to the entries
    }

    Duration loadInterval() const
    {
        return m_runner.isNearlyFull() ? BusyLoadInterval : CalmLoadInterval;
    }

    // `kind` is the label in the metrics.
    template <typename Order, typename Reply>
    void
    callWorker(const char *kind, const Order &order, Reply (*parse)(const platform::CallResult &),
               void (TaskRunner::*onReply)(WorkerCallId, const Reply &, TimePoint, RunnerOutbox &))
    {
        m_metrics.add("cactuscove_worker_calls_total", {{"call", kind}});
        m_http.start(platform::callOf(order), [this, call = order.call, parse,
                                               onReply](const platform::CallResult &result) {
            m_decisions.step([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
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
        for (auto &[address, dial] : m_dials) {
            if (!dial.entry || dial.entry->instance != effect.entry)
                continue;
            if (isLeaving(dial) && std::holds_alternative<WorkerUpdate>(effect.message))
                return;
            dial.link->send(std::move(effect.message));
            return;
        }
    }

    void perform(LogEvent &effect) { log(effect); }

    void onRequest(RequestId id, const HttpRequest &request)
    {
        const auto news = platform::parseWorkerNews(request);
        if (!isOk(news)) {
            const auto &error = errorOf(news);
            log({Severity::Warning,
                 "heartbeat_refused",
                 {{"path", request.path}, {"reason", error.reason}}});
            return m_server->respond(id, {error.status, "{}"});
        }
        const platform::WorkerNews &it = valueOf(news);
        m_decisions.step([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
            if (it.info)
                runner.onWorkerInfo(*it.info, now, out);
            else
                runner.onWorkerLeft(it.workerId, now, out);
        });
        m_server->respond(id, {200, "{}"});
    }

    // Entries

    static bool isLeaving(const Dial &it) { return it.leavingSince != NeverTime; }

    // Dials what the selection asks for; to be called after each change of it.
    void connectEntries()
    {
        for (const std::string &address : m_selection.plan(bootNow()).dial)
            dial(address, m_dials[address]);
    }

    void onEntryAddress(const std::string &) override
    {
        if (!std::exchange(m_isConnectDue, true)) // several come at once
            m_loop.post([this] {
                m_isConnectDue = false;
                connectEntries();
            });
    }

    void onEntryStarted(const std::string &address)
    {
        addEntryAddress(address, "entry");
        m_selection.reportedAlive(address, bootNow());
        const auto it = m_dials.find(address);
        if (it != m_dials.end() && it->second.link && !it->second.entry
            && bootNow() - it->second.dialledAt > FreshDial)
            dial(address, it->second);
        connectEntries();
    }

    void dial(const std::string &address, Dial &it)
    {
        it.entry.reset();
        it.link.reset();
        it.leavingSince = NeverTime;
        it.dialledAt = it.heardAt = bootNow();
        m_selection.dialled(address, it.dialledAt);
        auto link = FramedLink::dial(
            m_loop, address,
            {[this, &it] {
                 it.link->send(PeerHello{
                     m_settings.instance, m_self, Role::Agent, m_settings.dataCentre, {}});
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

    void onClosed(const std::string &address, Dial &it, std::string_view reason)
    {
        if (it.entry)
            log({isLeaving(it) ? Severity::Info : Severity::Warning,
                 isLeaving(it) ? "entry_released" : "entry_lost",
                 {{"entry", it.entry->name},
                  {"address", address},
                  {"reason", std::string(reason)},
                  {"heard_ms", std::to_string((bootNow() - it.heardAt) / 1ms)}}});
        it.entry.reset();
        it.link.reset();
        it.leavingSince = NeverTime;
        m_selection.closed(address, bootNow());
        connectEntries();
    }

    // An entry that is not needed gets no more room, and is left once its tasks have ended.
    void releaseEntries(const std::vector<std::string> &surplus)
    {
        const TimePoint now = bootNow();
        for (auto &[address, it] : m_dials) {
            if (!it.entry)
                continue;
            const bool isSurplus
                = std::find(surplus.begin(), surplus.end(), address) != surplus.end();
            if (isSurplus != isLeaving(it)) {
                it.leavingSince = isSurplus ? now : NeverTime;
                sendWorkers(it);
            } else if (isSurplus && now - it.leavingSince > LeaveTime
                       && m_runner.openTasksOf(it.entry->instance) == 0) {
                onClosed(address, it, "not needed");
            }
        }
    }

    void sendWorkers(Dial &it)
    {
        for (WorkerUpdate update : m_runner.workers()) {
            update.isGone |= isLeaving(it);
            it.link->send(std::move(update));
        }
        if (!isLeaving(it))
            sendLoadsTo(it, m_runner.loads(bootNow()));
    }

    void onMessages(const std::string &address, Dial &it, const std::vector<PeerMessage> &messages)
    {
        it.heardAt = bootNow();
        m_decisions.step([&](TaskRunner &runner, TimePoint now, RunnerOutbox &out) {
            if (it.entry)
                runner.onEntryHeard(it.entry->instance, now, out);
            for (const PeerMessage &message : messages)
                onMessage(address, it, message, now, out);
        });
    }

    void onMessage(const std::string &address, Dial &it, const PeerMessage &message, TimePoint now,
                   RunnerOutbox &out)
    {
        if (const auto *hello = std::get_if<PeerHello>(&message))
            return onHello(address, it, *hello, now, out);
        if (!it.entry)
            return;
        if (const auto *assign = std::get_if<AssignTask>(&message))
            m_runner.onAssign(it.entry->instance, *assign, now, out);
        else if (const auto *withdraw = std::get_if<WithdrawTask>(&message))
            m_runner.onWithdraw(it.entry->instance, *withdraw, now, out);
        else if (const auto *known = std::get_if<KnownEntries>(&message))
            m_loop.post([this, all = *known] {
                addEntryAddresses(all);
                connectEntries();
            });
        else if (const auto *started = std::get_if<EntriesStarted>(&message))
            for (const EntryStart &start : started->starts)
                m_loop.post([this, other = start.address] { onEntryStarted(other); });
    }

    void onHello(const std::string &address, Dial &it, const PeerHello &hello, TimePoint now,
                 RunnerOutbox &out)
    {
        if (hello.role != Role::Entry)
            return;
        it.entry = hello;
        m_selection.opened(address);
        log({Severity::Info,
             "entry_connected",
             {{"entry", hello.name}, {"incarnation", std::to_string(hello.instance.value)}}});
        m_runner.onEntryHello(hello.instance, hello.name, now, out);
        it.link->send(nextBeat());
        sendInventory(it);
        sendWorkers(it);
    }

    void sendInventory(Dial &it)
    {
        TaskInventory inventory = m_runner.inventoryOf(it.entry->instance);
        it.orphanFreeWorkers = inventory.orphanFreeWorkers;
        it.link->send(std::move(inventory));
    }

    void sendLoadsTo(Dial &it, const std::vector<WorkerLoad> &loads)
    {
        for (WorkerLoad load : loads) {
            load.assignments = m_runner.lastAssignmentNumberOf(it.entry->instance);
            it.link->send(std::move(load));
        }
        it.loadVersion = m_runner.loadVersion();
    }

    void sendLoads()
    {
        m_isLoadDue = false;
        m_loadVersion = m_runner.loadVersion();
        m_loadsSentAt = bootNow();
        const std::vector<std::string> orphanFreeWorkers = m_runner.orphanFreeWorkers();
        const std::vector<WorkerLoad> loads = m_runner.loads(m_loadsSentAt);
        for (auto &[address, it] : m_dials) {
            if (!it.entry || isLeaving(it) || it.loadVersion == m_loadVersion)
                continue;
            if (it.orphanFreeWorkers != orphanFreeWorkers)
                sendInventory(it);
            sendLoadsTo(it, loads);
        }
    }

    PeerHeartbeat nextBeat() const
    {
        const auto heard = std::count_if(m_dials.begin(), m_dials.end(), [](const auto &dial) {
            return dial.second.entry && !isLeaving(dial.second);
        });
        return {bootNow(), static_cast<std::uint32_t>(heard)};
    }

    void beat()
    {
        m_beatTimer.startIn(BeatInterval);
        ++m_beats;
        const TimePoint now = bootNow();
        for (auto &[address, it] : m_dials) {
            if (!it.link)
                continue;
            if (it.entry && now - it.heardAt > LinkSilence)
                onClosed(address, it, "silent");
            else if (!it.entry && now - it.dialledAt > DialTimeout)
                onClosed(address, it, "not open in time");
            else if (it.entry && isBeatDue(*it.link))
                it.link->send(nextBeat());
        }
        const EntrySelection::Plan plan = m_selection.plan(now);
        for (const std::string &address : plan.dial)
            dial(address, m_dials[address]);
        releaseEntries(plan.release);
    }

    void beginShutdown() override
    {
        m_decisions.step(
            [](TaskRunner &runner, TimePoint, RunnerOutbox &out) { runner.beginShutdown(out); });
        if (m_runner.openTasks() > 0)
            m_shutdownTimer.startIn(
                std::chrono::duration_cast<Duration>(m_settings.shutdownTime * DrainShare));
    }

    std::string metricsText() override
    {
        m_metrics.set("cactuscove_open_tasks", {}, static_cast<double>(m_runner.openTasks()));
        return m_metrics.text();
    }

    TaskRunner m_runner;
    DecisionLoop<TaskRunner, RunnerEffect, DispatchAgent> m_decisions;
    Timer m_beatTimer;
    Timer m_loadTimer;
    Timer m_shutdownTimer;
    std::unique_ptr<HttpServer> m_server;
    std::map<std::string, Dial> m_dials; // by address
    std::uint64_t m_loadVersion = 0;     // sent to all that were connected
    TimePoint m_loadsSentAt{};
    bool m_isLoadDue = false;
    bool m_isConnectDue = false;
    bool m_isStopDue = false;
};

} // namespace

int runDispatchAgent(std::span<const std::string> arguments)
{
    holdSignals();
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
