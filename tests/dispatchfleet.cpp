// Event queue, entries, agents and connections of the fleet; scheduling of its faults.

#include "dispatchfleet.h"

#include "dispatchfleetimpl.h"

namespace cactuscove {

DispatchFleet::Impl::Impl(DispatchFleetOptions opts)
    : options(std::move(opts))
    , random(options.seed)
{
    config.version = 1;
    for (const JobKind &it : options.kinds) {
        QueueSettings queue;
        queue.name = it.queue;
        queue.upstream = "upstream";
        queue.priority = it.priority;
        queue.maxAttempts = 3;
        queue.slackFactor = 1.6;
        queue.targetLatency = 60ms;
        config.queues.push_back(queue);
    }
    workers.resize(static_cast<std::size_t>(options.workers));
    agents.resize(workers.size());
    entries.resize(static_cast<std::size_t>(options.entries));
    links.assign(entries.size(), std::vector<Link>(agents.size()));
    for (std::size_t i = 0; i < workers.size(); ++i) {
        Worker &it = workers[i];
        it.index = static_cast<int>(i);
        setId(it);
        const bool isThird = i % 3 == 2;
        it.speed = isThird ? options.fastWorkerSpeed : 1;
        if (!options.workerSpeeds.empty())
            it.speed = options.workerSpeeds[i % options.workerSpeeds.size()];
        const double size = isThird && options.largeShare > 0 ? 1.5 : 1;
        it.capacity
            = {static_cast<std::int64_t>(static_cast<double>(options.workerCpuMillis) * size),
               1 << 20, 0};
        it.countedCapacity = it.capacity;
    }
    for (std::size_t i = 0; i < entries.size(); ++i)
        startEntry(i);
    for (std::size_t i = 0; i < agents.size(); ++i)
        startAgent(i);
    sendHeartbeats();
    for (std::size_t i = 0; i < workers.size(); ++i)
        sendWorkerHeartbeat(i, workers[i].incarnation);
    scheduleJobs();
}

void DispatchFleet::Impl::post(TimePoint time, std::function<void()> action)
{
    events.push({time, ++eventNumber, std::move(action)});
}

void DispatchFleet::Impl::runAll()
{
    const TimePoint end = Start + options.length + 12s;
    while (!events.empty() && events.top().time <= end) {
        Event event = events.top();
        events.pop();
        now = std::max(now, event.time);
        event.action();
    }
}

double DispatchFleet::Impl::positiveNormal(double mean, double deviation)
{
    return std::max(mean * 0.1, std::normal_distribution<double>(mean, deviation)(random));
}

Incarnation DispatchFleet::Impl::entryId(std::size_t i) const
{
    return Incarnation{IdsPerProcess * (i + 1) + entries[i].incarnation};
}

Incarnation DispatchFleet::Impl::agentId(std::size_t i) const
{
    return Incarnation{FirstAgentId + IdsPerProcess * i + agents[i].incarnation};
}

void DispatchFleet::Impl::startEntry(std::size_t i)
{
    Entry &it = entries[i];
    it.isUp = true;
    it.frozenUntil = now;
    DispatcherSettings settings;
    settings.seed = options.seed * 100 + i;
    settings.hasScarcityControl = options.hasScarcityControl;
    settings.waitsForEvacuations = options.dataCentres > 1;
    settings.lostAgentTimeout = options.lostAgentTimeout.value_or(settings.lostAgentTimeout);
    it.dispatcher = std::make_unique<JobDispatcher>(settings, now);
    DispatcherOutbox out;
    it.dispatcher->configure(config, out);
    perform(i, out);
    it.records = {};
    readStore(i);
    for (std::size_t e = 0; e < entries.size(); ++e)
        if (e != i && entries[e].isUp && entries[e].dispatcher) {
            for (CrashReport &report : entries[e].dispatcher->crashReports(now))
                sendBetweenEntries(i, std::move(report));
            sendBetweenEntries(i, entries[e].dispatcher->openStarts(now));
        }
}

void DispatchFleet::Impl::readStore(std::size_t entry)
{
    if (isStoreAway)
        return;
    const EvacuationUpdate state{store.evacuations(), LogOffset{storeEnd}};
    post(now + StoreDelay, [this, entry, state] {
        stepEntry(entry, [this, entry, state](JobDispatcher &, DispatcherOutbox &) {
            mergeAtEntry(entry, state);
        });
    });
}

void DispatchFleet::Impl::mergeAtEntry(std::size_t e, const EvacuationUpdate &update)
{
    Entry &it = entries[e];
    const OperatorSnapshot before = it.records.snapshot();
    it.records.mergeEvacuations(update.evacuations, update.readUpTo);
    if (before == it.records.snapshot())
        return;
    it.dispatcher->setEvacuated(it.records.evacuatedDataCentres(),
                                it.records.readUpTo() > LogOffset{}, now);
    for (std::size_t a = 0; a < agents.size(); ++a)
        sendToAgent(e, agentId(a), stateOf(it.records));
}

void DispatchFleet::Impl::mergeAtAgent(std::size_t a, const EvacuationUpdate &update)
{
    Agent &it = agents[a];
    const OperatorSnapshot before = it.records.snapshot();
    it.records.mergeEvacuations(update.evacuations, update.readUpTo);
    if (before == it.records.snapshot())
        return;
    it.runner->setEvacuated(it.records.evacuatedDataCentres());
    for (std::size_t e = 0; e < entries.size(); ++e)
        sendToEntry(a, entryId(e), stateOf(it.records));
}

EvacuationUpdate DispatchFleet::Impl::stateOf(const OperatorRecords &it)
{
    return {it.evacuations(), it.readUpTo()};
}

void DispatchFleet::Impl::stepEntry(
    std::size_t i, const std::function<void(JobDispatcher &, DispatcherOutbox &)> &f)
{
    deliver(entries[i], [this, i, f] {
        DispatcherOutbox out;
        f(*entries[i].dispatcher, out);
        entries[i].dispatcher->processPending(now, out);
        perform(i, out);
    });
}

void DispatchFleet::Impl::perform(std::size_t i, DispatcherOutbox &out)
{
    for (DispatcherEffect &effect : out) {
        if (auto *send = std::get_if<SendToAgent>(&effect))
            sendToAgent(i, send->agent, std::move(send->message));
        else if (auto *toEntries = std::get_if<SendToEntries>(&effect))
            sendToEntries(i, toEntries->message);
        else if (auto *answer = std::get_if<AnswerJob>(&effect))
            onAnswer(answer->caller.value, answer->answer);
        else if (auto *event = std::get_if<LogEvent>(&effect))
            trace("entry" + std::to_string(i), *event);
    }
    Entry &it = entries[i];
    const TimePoint next = it.dispatcher->nextTimer();
    if (next == NeverTime || next == it.timerAt)
        return;
    it.timerAt = next;
    const std::uint64_t incarnation = it.incarnation;
    post(std::max(next, now + 1us), [this, i, incarnation, next] {
        if (entries[i].incarnation != incarnation || entries[i].timerAt != next)
            return;
        entries[i].timerAt = NeverTime;
        stepEntry(i, [](JobDispatcher &, DispatcherOutbox &) {});
    });
}

void DispatchFleet::Impl::startAgent(std::size_t i)
{
    Agent &it = agents[i];
    it.isUp = true;
    it.frozenUntil = now;
    TaskRunnerSettings settings = options.runner;
    settings.instance = agentId(i);
    settings.ip = "worker"; // the address of all workers
    settings.hasScarcityControl = options.hasScarcityControl;
    settings.listsEarlierRuns = options.workerRecordShare > 0;
    it.runner = std::make_unique<TaskRunner>(settings, now);
    it.selection
        = std::make_unique<EntrySelection>("agent" + std::to_string(i), options.linksPerAgent);
    for (std::size_t e = 0; e < entries.size(); ++e)
        it.selection->add(addressOf(e));
    it.sentLoadVersion = 0;
    it.startedAt = now;
    it.records = {};
    if (options.maxConnectTime > Duration{})
        selectEntries(i);
    if (it.record && options.workerRecordShare > 0 && uniform() < options.workerRecordShare)
        post(now + fromMs(uniform() * toMs(MaxRecordReadTime)),
             [this, i, incarnation = it.incarnation, record = *it.record] {
                 if (agents[i].incarnation == incarnation)
                     stepAgent(i, [this, i, record](TaskRunner &runner, RunnerOutbox &out) {
                         runner.onWorkerRecord(record, now - agents[i].recordAt, now, out);
                     });
             });
    it.demand = {};
}

void DispatchFleet::Impl::stepAgent(std::size_t i,
                                    const std::function<void(TaskRunner &, RunnerOutbox &)> &f)
{
    deliver(agents[i], [this, i, f] {
        RunnerOutbox out;
        f(*agents[i].runner, out);
        agents[i].runner->processPending(now, out);
        perform(i, out);
    });
}

void DispatchFleet::Impl::perform(std::size_t i, RunnerOutbox &out)
{
    for (RunnerEffect &effect : out) {
        if (auto *send = std::get_if<SendToEntry>(&effect))
            sendToEntry(i, send->entry, std::move(send->message));
        else if (auto *start = std::get_if<StartRun>(&effect))
            callWorker(i, *start);
        else if (auto *stop = std::get_if<StopRun>(&effect))
            callWorker(i, *stop);
        else if (auto *poll = std::get_if<PollRuns>(&effect))
            callWorker(i, *poll);
        else if (auto *event = std::get_if<LogEvent>(&effect))
            trace("agent" + std::to_string(i), *event);
    }
    Agent &it = agents[i];
    if (it.runner->loadVersion() != it.sentLoadVersion) {
        it.sentLoadVersion = it.runner->loadVersion();
        for (std::size_t e = 0; e < entries.size(); ++e)
            sendLoads(i, e);
    }
    const TimePoint next = it.runner->nextTimer();
    if (next == NeverTime || next == it.timerAt)
        return;
    it.timerAt = next;
    const std::uint64_t incarnation = it.incarnation;
    post(std::max(next, now + 1us), [this, i, incarnation, next] {
        if (agents[i].incarnation != incarnation || agents[i].timerAt != next)
            return;
        agents[i].timerAt = NeverTime;
        stepAgent(i, [](TaskRunner &, RunnerOutbox &) {});
    });
}

void DispatchFleet::Impl::sendLoads(std::size_t agent, std::size_t entry)
{
    if (!links[entry][agent].isUp || links[entry][agent].leavingSince != NeverTime)
        return;
    const TaskRunner &runner = *agents[agent].runner;
    for (WorkerLoad &load : runner.loads(now)) {
        load.lastAssignmentNumber = runner.lastAssignmentNumberOf(entryId(entry));
        sendToEntry(agent, entryId(entry), std::move(load));
    }
}

void DispatchFleet::Impl::trace(const std::string &who, const LogEvent &event) const
{
    static const char *const job = std::getenv("DISPATCH_TRACE");
    if (!job)
        return;
    std::string line = std::to_string(toMs(now - Start)) + ' ' + who + ' ' + event.name;
    bool isAbout = event.name.starts_with("worker") || event.name == "runs_lost";
    for (const auto &[name, value] : event.fields) {
        isAbout |= value == job;
        line += ' ' + name + '=' + value;
    }
    if (isAbout)
        std::printf("%s\n", line.c_str());
}

void DispatchFleet::Impl::sendToAgent(std::size_t entry, Incarnation to, PeerMessage message)
{
    const std::size_t a = (to.value - FirstAgentId) / IdsPerProcess;
    Link &link = links[entry][a];
    if (agentId(a) == to && link.isUp && !link.isCut) {
        const std::uint64_t generation = link.generation;
        post(now + LinkDelay, [this, entry, a, generation, message = std::move(message)] {
            Link &it = links[entry][a];
            if (it.generation != generation || it.isCut)
                return;
            const Incarnation from = entryId(entry);
            stepAgent(a, [this, entry, a, generation, from, message](TaskRunner &runner,
                                                                     RunnerOutbox &out) {
                if (links[entry][a].generation != generation)
                    return;
                links[entry][a].agentHeardAt = now;
                runner.onEntryActivity(from, now, out);
                if (const auto *heartbeat = std::get_if<PeerHeartbeat>(&message))
                    agents[a].demand.update(from, *heartbeat, {"upstream"}, now);
                else if (const auto *assign = std::get_if<AssignTask>(&message))
                    runner.onAssign(from, *assign, now, out);
                else if (const auto *withdraw = std::get_if<WithdrawTask>(&message))
                    runner.onWithdraw(from, *withdraw, now, out);
                else if (const auto *starts = std::get_if<OpenStartReport>(&message))
                    runner.onOpenStarts(*starts, now, out);
                else if (const auto *update = std::get_if<EvacuationUpdate>(&message))
                    mergeAtAgent(a, *update);
            });
        });
    }
}

void DispatchFleet::Impl::sendToEntry(std::size_t agent, Incarnation to, PeerMessage message)
{
    const std::size_t e = to.value / IdsPerProcess - 1;
    Link &link = links[e][agent];
    if (entryId(e) == to && link.isUp && !link.isCut) {
        const std::uint64_t generation = link.generation;
        const Incarnation from = agentId(agent);
        post(now + LinkDelay, [this, e, agent, generation, from, message = std::move(message)] {
            Link &it = links[e][agent];
            if (it.generation != generation || it.isCut)
                return;
            stepEntry(e, [this, e, agent, generation, from, message](JobDispatcher &dispatcher,
                                                                     DispatcherOutbox &out) {
                if (links[e][agent].generation != generation)
                    return;
                links[e][agent].entryHeardAt = now;
                if (const auto *update = std::get_if<EvacuationUpdate>(&message))
                    mergeAtEntry(e, *update);
                else
                    dispatcher.onAgentMessage(from, message, now, out);
            });
        });
    }
}

void DispatchFleet::Impl::sendToEntries(std::size_t from, const PeerMessage &message)
{
    for (std::size_t e = 0; e < entries.size(); ++e)
        if (e != from && entries[e].isUp)
            sendBetweenEntries(e, message);
}

void DispatchFleet::Impl::sendBetweenEntries(std::size_t to, const PeerMessage &message)
{
    post(now + LinkDelay, [this, to, incarnation = entries[to].incarnation, message] {
        if (entries[to].incarnation == incarnation)
            stepEntry(to, [this, message](JobDispatcher &dispatcher, DispatcherOutbox &out) {
                if (const auto *crash = std::get_if<CrashReport>(&message))
                    dispatcher.onCrashReport(*crash, now, out);
                else
                    dispatcher.onOpenStarts(std::get<OpenStartReport>(message), now, out);
            });
    });
}

void DispatchFleet::Impl::connect(std::size_t e, std::size_t a)
{
    Link &link = links[e][a];
    link.isUp = true;
    link.leavingSince = NeverTime;
    agents[a].selection->onOpened(addressOf(e));
    ++link.generation;
    link.agentHeardAt = link.entryHeardAt = now;
    const PeerHello hello{
        "agent" + std::to_string(a), agentId(a), Role::Agent, "", "", ProtocolVersion};
    stepEntry(e, [this, e, hello](JobDispatcher &dispatcher, DispatcherOutbox &out) {
        dispatcher.onAgentConnected(hello, now, out);
        sendToAgent(e, hello.instance, stateOf(entries[e].records));
    });
    const Incarnation entry = entryId(e);
    stepAgent(a, [this, e, a, entry](TaskRunner &runner, RunnerOutbox &out) {
        runner.onEntryHello(entry, "entry" + std::to_string(e), now, out);
        agents[a].demand.connected(entry);
        sendToEntry(a, entry, heartbeatOf(a));
        sendToEntry(a, entry, stateOf(agents[a].records));
        for (CrashReport &report : runner.crashReports(now))
            sendToEntry(a, entry, std::move(report));
        sendToEntry(a, entry, runner.openStarts(now));
        sendToEntry(a, entry, runner.inventoryOf(entry));
        for (const WorkerUpdate &update : runner.workers())
            sendToEntry(a, entry, update);
        sendLoads(a, e);
    });
}

void DispatchFleet::Impl::disconnect(std::size_t e, std::size_t a)
{
    Link &link = links[e][a];
    if (!link.isUp)
        return;
    link.isUp = false;
    agents[a].selection->onClosed(addressOf(e), now);
    agents[a].demand.disconnected(entryId(e));
    ++link.generation;
    const Incarnation agent = agentId(a);
    stepEntry(e, [this, agent](JobDispatcher &dispatcher, DispatcherOutbox &out) {
        dispatcher.onAgentDisconnected(agent, now, out);
    });
}

std::uint32_t DispatchFleet::Impl::connectedEntriesOf(std::size_t agent) const
{
    std::uint32_t n = 0;
    for (const std::vector<Link> &it : links)
        n += it[agent].isUp && it[agent].leavingSince == NeverTime;
    return n;
}

void DispatchFleet::Impl::open(std::size_t e, std::size_t a)
{
    if (options.maxConnectTime <= Duration{})
        return connect(e, a);
    const double range = toMs(options.maxConnectTime - MinConnectTime);
    post(now + MinConnectTime + fromMs(uniform() * range),
         [this, e, a, from = agents[a].incarnation, to = entries[e].incarnation] {
             if (agents[a].incarnation != from)
                 return;
             if (entries[e].isUp && entries[e].incarnation == to && !links[e][a].isCut)
                 connect(e, a);
             else
                 agents[a].selection->onClosed(addressOf(e), now);
         });
}

PeerHeartbeat DispatchFleet::Impl::heartbeatOf(std::size_t agent) const
{
    return {now, connectedEntriesOf(agent),
            options.hasScarcityControl ? agents[agent].demand.sum(now)
                                       : std::vector<DemandReport>()};
}

void DispatchFleet::Impl::selectEntries(std::size_t a)
{
    Agent &agent = agents[a];
    if (!agent.isUp || agent.frozenUntil > now)
        return;
    const EntrySelection::Plan plan = agent.selection->plan(now);
    for (const std::string &address : plan.dial) {
        const std::size_t e = entryAt(address);
        agent.selection->onDialled(address, now);
        if (entries[e].isUp && entries[e].frozenUntil <= now && !links[e][a].isCut)
            open(e, a);
        else
            agent.selection->onClosed(address, now);
    }
    for (std::size_t e = 0; e < entries.size(); ++e) {
        Link &link = links[e][a];
        const bool isSurplus = std::find(plan.release.begin(), plan.release.end(), addressOf(e))
                               != plan.release.end();
        if (!link.isUp)
            continue;
        if (isSurplus != (link.leavingSince != NeverTime)) {
            link.leavingSince = isSurplus ? now : NeverTime;
            for (WorkerUpdate update : agent.runner->workers()) {
                update.isGone |= isSurplus;
                sendToEntry(a, entryId(e), std::move(update));
            }
            sendLoads(a, e);
        } else if (isSurplus && now - link.leavingSince > LeaveTime
                   && agent.runner->openTasksOf(entryId(e)) == 0) {
            disconnect(e, a);
        }
    }
}

void DispatchFleet::Impl::sendHeartbeats()
{
    for (std::size_t a = 0; a < agents.size(); ++a)
        selectEntries(a);
    for (std::size_t e = 0; e < entries.size(); ++e) {
        const PeerHeartbeat heartbeat{now, 0, entries[e].dispatcher->demandReports(now)};
        for (std::size_t a = 0; a < agents.size(); ++a) {
            Link &link = links[e][a];
            const bool isSilent
                = now - link.agentHeardAt > 350ms || now - link.entryHeardAt > 350ms;
            if (link.isUp && isSilent)
                disconnect(e, a);
            if (!link.isUp)
                continue;
            if (entries[e].isUp && entries[e].frozenUntil <= now)
                sendToAgent(e, agentId(a), heartbeat);
            if (agents[a].isUp && agents[a].frozenUntil <= now) {
                if (now - agents[a].startedAt < 5s)
                    sendToEntry(a, entryId(e), agents[a].runner->inventoryOf(entryId(e)));
                sendToEntry(a, entryId(e), heartbeatOf(a));
            }
        }
    }
    post(now + HeartbeatInterval, [this] { sendHeartbeats(); });
}

DispatchFleet::DispatchFleet(DispatchFleetOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options)))
{}

DispatchFleet::~DispatchFleet() = default;

void DispatchFleet::schedule(Duration time, std::function<void()> fault)
{
    m_impl->post(Impl::Start + 3s + time, std::move(fault));
}

void DispatchFleet::killAgent(int agent, Duration down)
{
    const auto i = static_cast<std::size_t>(agent);
    Impl &it = *m_impl;
    for (std::size_t e = 0; e < it.entries.size(); ++e)
        it.disconnect(e, i);
    it.agents[i].isUp = false;
    ++it.agents[i].incarnation;
    it.agents[i].timerAt = NeverTime;
    it.post(it.now + down, [this, i, incarnation = it.agents[i].incarnation] {
        if (m_impl->agents[i].incarnation == incarnation)
            m_impl->startAgent(i);
    });
}

void DispatchFleet::killEntry(int entry, Duration down)
{
    const auto i = static_cast<std::size_t>(entry);
    Impl &it = *m_impl;
    for (std::size_t a = 0; a < it.agents.size(); ++a) {
        if (it.links[i][a].isUp) {
            it.agents[a].selection->onClosed(Impl::addressOf(i), it.now);
            it.agents[a].demand.disconnected(it.entryId(i));
        }
        it.links[i][a].isUp = false;
        ++it.links[i][a].generation;
    }
    it.entries[i].isUp = false;
    ++it.entries[i].incarnation;
    it.entries[i].timerAt = NeverTime;
    it.disconnectCallersOf(i);
    it.post(it.now + down, [this, i, incarnation = it.entries[i].incarnation] {
        if (m_impl->entries[i].incarnation == incarnation)
            m_impl->startEntry(i);
    });
}

void DispatchFleet::killAll(Duration down, Duration spread)
{
    const auto restart = [&] { return down + fromMs(m_impl->uniform() * toMs(spread)); };
    for (std::size_t i = 0; i < m_impl->agents.size(); ++i)
        killAgent(static_cast<int>(i), restart());
    for (std::size_t i = 0; i < m_impl->entries.size(); ++i)
        killEntry(static_cast<int>(i), restart());
}

void DispatchFleet::freezeAgent(int agent, Duration length)
{
    TimePoint &until = m_impl->agents[static_cast<std::size_t>(agent)].frozenUntil;
    until = std::max(until, m_impl->now + length);
}

void DispatchFleet::freezeEntry(int entry, Duration length)
{
    TimePoint &until = m_impl->entries[static_cast<std::size_t>(entry)].frozenUntil;
    until = std::max(until, m_impl->now + length);
}

void DispatchFleet::setCut(int entry, int agent, bool isCut)
{
    m_impl->links[static_cast<std::size_t>(entry)][static_cast<std::size_t>(agent)].isCut = isCut;
}

void DispatchFleet::crashWorkerAtStart(int worker, Duration down)
{
    m_impl->workers[static_cast<std::size_t>(worker)].crashAtStart = down;
}

void DispatchFleet::crashWorker(int worker, Duration down)
{
    m_impl->crash(static_cast<std::size_t>(worker), down);
}

void DispatchFleet::leaveWorker(int worker, const WorkerLeave &leave)
{
    m_impl->leave(static_cast<std::size_t>(worker), leave);
}

void DispatchFleet::setCapacity(int worker, std::int64_t cpuMillis)
{
    m_impl->setCapacity(static_cast<std::size_t>(worker), cpuMillis);
}

void DispatchFleet::setSpeed(int worker, double speed)
{
    Impl::Worker &it = m_impl->workers[static_cast<std::size_t>(worker)];
    m_impl->updateProgress(it);
    it.speed = speed;
    for (auto &[task, run] : it.runs)
        if (!run.isStopping)
            m_impl->scheduleEnd(it, task, false);
}

void DispatchFleet::setFailing(int worker, bool isFailing)
{
    m_impl->workers[static_cast<std::size_t>(worker)].isFailing = isFailing;
}

void DispatchFleet::evacuate(int dataCentre, bool isEvacuated)
{
    const LogOffset offset{m_impl->storeEnd++};
    m_impl->store.updateEvacuation({"dc" + std::to_string(dataCentre), isEvacuated, offset});
    for (std::size_t e = 0; e < m_impl->entries.size(); ++e)
        m_impl->readStore(e);
}

void DispatchFleet::setStoreAway(bool isAway)
{
    m_impl->isStoreAway = isAway;
    for (std::size_t e = 0; e < m_impl->entries.size(); ++e)
        m_impl->readStore(e);
}

void DispatchFleet::watch(Duration from, Duration to, Duration interval)
{
    m_impl->watch(from, to, interval);
}

std::vector<FleetMoment> DispatchFleet::timeline() const
{
    return m_impl->timeline();
}

void DispatchFleet::run()
{
    m_impl->runAll();
    m_impl->checkAnswers();
}

std::map<std::string, KindResult> DispatchFleet::results() const
{
    return m_impl->results();
}

std::vector<PlayedJob> DispatchFleet::jobs() const
{
    std::vector<PlayedJob> jobs;
    for (const Impl::Job &it : m_impl->jobs)
        jobs.push_back(m_impl->playedJobOf(it));
    return jobs;
}

double DispatchFleet::valueShare() const
{
    double earned = 0;
    double possible = 0;
    for (const auto &[queue, it] : m_impl->results()) {
        double sum = 0;
        for (const Impl::Job &job : m_impl->jobs)
            if (job.kind->queue == queue)
                sum += job.value;
        earned += it.valueShare * sum;
        possible += sum;
    }
    return possible > 0 ? earned / possible : 1;
}

const std::vector<std::string> &DispatchFleet::violations() const
{
    return m_impl->violations;
}

Duration DispatchFleet::slowestAnswer() const
{
    Duration slowest{};
    for (const Impl::Job &job : m_impl->jobs)
        if (job.isAnswered)
            slowest = std::max<Duration>(slowest, job.answeredAt - job.objectiveAt);
    return slowest;
}

std::size_t DispatchFleet::startCount() const
{
    return m_impl->starts.size();
}

std::size_t DispatchFleet::crashCount() const
{
    return m_impl->crashCount;
}

std::size_t DispatchFleet::startsIn(int dataCentre, Duration from, Duration to) const
{
    return static_cast<std::size_t>(
        std::count_if(m_impl->starts.begin(), m_impl->starts.end(), [&](const auto &it) {
            const Duration at = it.first - Impl::Start - 3s;
            return it.second % m_impl->options.dataCentres == dataCentre && at >= from && at < to;
        }));
}

} // namespace cactuscove
