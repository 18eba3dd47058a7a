// Event loop, network, log, upstreams and callers of the simulated fleet.

#include "virtualfleet.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration AnnounceInterval = 1s;
constexpr Duration Lease = 3s;
constexpr Duration LogPoll = 100ms;
constexpr Duration CallerDeadline = 20s;
constexpr int MaxResubmissions = 3;

// The job of this number: 1 to 4 tasks; every fifth job is idempotent.
JobSpec jobOf(std::uint32_t number)
{
    JobSpec spec;
    spec.team = "t";
    spec.key = JobKey{"t/" + std::to_string(number)};
    spec.jobClass = "normal";
    spec.upstream = "desk";
    spec.deadline = CallerDeadline;
    spec.idempotent = number % 5 == 4;
    spec.contentHash = number + 1;
    for (std::size_t n = 0; n <= number % 4; ++n)
        spec.tasks.push_back({"task" + std::to_string(n), bodyOf(spec.key, n), 100ms, {}});
    return spec;
}

} // namespace

VirtualFleet::VirtualFleet(FleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    m_upstreams.resize(options.agents);
    for (std::size_t n = 0; n < options.entries; ++n)
        spawn(Role::Entry, n);
    for (std::size_t n = 0; n < options.agents; ++n) {
        m_upstreams[n].incarnation = "u" + std::to_string(++m_lastUpstream);
        spawn(Role::Agent, n);
        after(delay(0, 1'000'000), [this, n] { announce(n); });
    }
}

VirtualFleet::~VirtualFleet() = default;

void VirtualFleet::run(const std::vector<Step> &steps, Duration length)
{
    const TimePoint begin = m_now;
    for (const Step &step : steps)
        at(begin + step.at, [this, step] { perform(step); });
    runUntil(begin + length);
}

void VirtualFleet::runUntil(TimePoint end)
{
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
        auto event = m_events.extract(m_events.begin());
        m_now = std::max(m_now, event.key().first);
        event.mapped()();
    }
    m_now = end;
}

std::uint64_t VirtualFleet::submit(std::uint32_t job, std::size_t entry)
{
    const std::vector<Incarnation> entries = alive(Role::Entry);
    const std::uint64_t caller = m_callers.size() + 1;
    if (entries.empty()) {
        resubmit(job, 1s);
        return 0;
    }
    sendRequest(caller, job, entries[entry % entries.size()]);
    return caller;
}

std::vector<Answer> VirtualFleet::answersOf(std::uint32_t job) const
{
    std::vector<Answer> result;
    for (const AnsweredEvent &it : m_history.answered) {
        if (it.key == jobOf(job).key)
            result.push_back(it.answer);
    }
    return result;
}

void VirtualFleet::at(TimePoint time, Action action)
{
    m_events.emplace(std::pair{std::max(time, m_now), ++m_lastEvent}, std::move(action));
}

VirtualFleet::Process &VirtualFleet::spawn(Role role, std::size_t position)
{
    const Incarnation self{++m_lastIncarnation};
    Process &process = m_processes[self];
    process.position = position;
    process.member = {self, role, "10.0.0." + std::to_string(self.value) + ":1", "dc1", "r1", "o1"};
    const NodeSettings settings{process.member, m_options.seed * 1000 + self.value};
    if (role == Role::Agent)
        process.agent = std::make_unique<AgentNode>(settings);
    else
        process.entry = std::make_unique<EntryNode>(settings, Duration(1h));
    handle(self, [this](Process &it, Outbox &out) {
        it.agent ? it.agent->start(m_now, out) : it.entry->start(m_now, out);
    });
    after(delay(0, 100'000), [this, self] { readLog(self); });
    return process;
}

void VirtualFleet::kill(Process &process, bool refusesConnections, Duration replacedAfter)
{
    process.isAlive = false;
    process.refusesConnections = refusesConnections;
    const Role role = process.member.role;
    const std::size_t position = process.position;
    after(replacedAfter, [this, role, position] { spawn(role, position); });
    for (auto &[id, caller] : m_callers) {
        if (caller.isAnswered || caller.entry != process.member.incarnation)
            continue;
        caller.isAnswered = true; // its connection has broken; it submits again elsewhere
        resubmit(caller.job, delay(100'000, 1'000'000));
    }
}

void VirtualFleet::handle(Incarnation to, const Handler &handler)
{
    Process &process = m_processes.at(to);
    if (!process.isAlive)
        return;
    if (process.pausedUntil > m_now) {
        at(process.pausedUntil, [this, to, handler] { handle(to, handler); });
        return;
    }
    Outbox out;
    handler(process, out);
    perform(process, out);
    armTimer(process);
    const AcceptedConfig *config
        = (process.agent ? process.agent->ledger() : process.entry->ledger()).config();
    if (config != nullptr && config->revision != process.revision) {
        process.revision = config->revision;
        m_history.revisions.push_back({m_now, to, config->revision});
    }
    if (process.agent ? process.agent->isShutdownComplete() : process.entry->isShutdownComplete())
        kill(process, true, delay(100'000, 1'000'000));
}

// Carries out the effects of one event. All messages to the same process share an envelope.
void VirtualFleet::perform(Process &process, Outbox &out)
{
    const Incarnation self = process.member.incarnation;
    std::map<Incarnation, Envelope> envelopes;
    for (Effect &effect : out.take()) {
        if (auto *send = std::get_if<Send>(&effect)) {
            envelopes[send->to].messages.push_back(std::move(send->message));
        } else if (auto *append = std::get_if<Append>(&effect)) {
            const Record record = append->record;
            after(delay(4'000, 9'000), [this, self, record] { this->append(self, record); });
        } else if (auto *answer = std::get_if<AnswerCaller>(&effect)) {
            onAnswer(*answer);
        } else if (auto *start = std::get_if<StartOnUpstream>(&effect)) {
            after(delay(100, 400), [this, self, position = process.position, it = *start] {
                startTask(position, self, it);
            });
        }
    }
    for (auto &[to, envelope] : envelopes) {
        envelope.from = self;
        envelope.to = to;
        envelope.loads = process.agent ? process.agent->loads(m_now) : process.entry->loads(m_now);
        m_messages += envelope.messages.size();
        transmit(self, to, envelope);
    }
}

void VirtualFleet::armTimer(Process &process)
{
    const TimePoint next = process.agent ? process.agent->nextTimer() : process.entry->nextTimer();
    if (next == NeverTime || process.timer <= std::max(next, m_now + 1ms))
        return;
    // With a timer in the past the virtual time would never advance.
    process.timer = std::max(next, m_now + 1ms);
    at(process.timer, [this, self = process.member.incarnation, due = process.timer] {
        if (m_processes.at(self).timer != due)
            return;
        handle(self, [this](Process &it, Outbox &out) {
            it.timer = NeverTime;
            it.agent ? it.agent->onTimer(m_now, out) : it.entry->onTimer(m_now, out);
        });
    });
}

void VirtualFleet::transmit(Incarnation from, Incarnation to, const Envelope &envelope)
{
    const bool isDisturbed = m_disturbedUntil > m_now;
    const int copies = isDisturbed && chance(0.1) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        if (isDisturbed && chance(0.1))
            continue;
        const Duration wait
            = isDisturbed && chance(0.2) ? delay(1'000, 1'500'000) : delay(200, 900);
        // A refused connection proves nothing if the envelope was duplicated: the other copy may
        // arrive.
        const bool isProof = copies == 1;
        after(wait, [this, from, to, envelope, isProof] { deliver(from, to, envelope, isProof); });
    }
}

void VirtualFleet::deliver(Incarnation from, Incarnation to, const Envelope &envelope,
                           bool isRefusalProof)
{
    const auto silent = m_silentUntil.find(std::minmax(from, to));
    if (silent != m_silentUntil.end() && silent->second > m_now)
        return;
    const auto process = m_processes.find(to);
    if (process == m_processes.end())
        return;
    if (process->second.isAlive) {
        handle(to, [this, envelope](Process &it, Outbox &out) {
            it.agent ? it.agent->onEnvelope(envelope, m_now, out)
                     : it.entry->onEnvelope(envelope, m_now, out);
        });
    } else if (process->second.refusesConnections && isRefusalProof) {
        handle(from, [this, to, envelope](Process &it, Outbox &out) {
            for (const Message &message : envelope.messages) {
                it.agent ? it.agent->onUndelivered(to, message, m_now, out)
                         : it.entry->onUndelivered(to, message, m_now, out);
            }
        });
    }
}

// Repeats an append of unclear result under the same id until the log has it, as the processes do.
void VirtualFleet::append(Incarnation by, const Record &record)
{
    if (!m_processes.at(by).isAlive)
        return;
    const bool isDown = m_logDownUntil > m_now;
    const bool isReplyLost = m_repliesLostUntil > m_now && chance(0.5);
    if (!isDown) {
        // A repeated append may leave a second record with the same id in the log.
        if (m_appendIds.insert(record.appendId).second || chance(0.2))
            m_log.push_back({LogOffset{m_log.size()}, record});
        for (const Incarnation entry : alive(Role::Entry))
            after(delay(500, 3'000), [this, entry] { readLog(entry); });
    }
    if (isDown || isReplyLost)
        after(delay(200'000, 600'000), [this, by, record] { append(by, record); });
}

void VirtualFleet::readLog(Incarnation reader)
{
    Process &process = m_processes.at(reader);
    if (!process.isAlive)
        return;
    const bool isDown = std::max(m_logDownUntil, process.logSilentUntil) > m_now;
    handle(reader, [this, isDown](Process &it, Outbox &out) {
        if (it.entry)
            it.entry->onLogReachable(!isDown, m_now);
        if (isDown || (it.agent && !it.agent->shouldReadLog(m_now)))
            return;
        const Ledger &ledger = it.agent ? it.agent->ledger() : it.entry->ledger();
        const auto from = static_cast<std::ptrdiff_t>(ledger.next().value);
        const std::vector<LogRecord> records(m_log.begin() + from, m_log.end());
        const LogOffset next{m_log.size()};
        if (it.agent)
            return it.agent->onLogRecords(records, next, m_now, out);
        it.entry->onLogReadStarted();
        it.entry->onLogRecords(records, next, m_now, out);
        it.entry->onLogEndRead();
    });
    // Besides the reads that follow appends, each process polls the log at an interval.
    if (!process.hasPoll) {
        process.hasPoll = true;
        after(LogPoll, [this, reader] {
            m_processes.at(reader).hasPoll = false;
            readLog(reader);
        });
    }
}

void VirtualFleet::startTask(std::size_t position, Incarnation agent, const StartOnUpstream &start)
{
    Upstream &upstream = m_upstreams[position];
    if (!upstream.isUp || upstream.incarnation != start.upstreamIncarnation
        || chance(m_options.upstreamRefusals)) {
        finishTask(agent, start.ref, start.attempt, {TaskStatus::NotStarted, 503, {}, {}});
        return;
    }
    m_history.started.push_back({m_now, start.ref.key, start.ref.index});
    upstream.running.insert({start.ref, start.attempt});
    const Duration runTime = delay(10'000, static_cast<int>(m_options.maxRunTime.count()));
    TaskResult result{TaskStatus::Completed, 200, start.payload, runTime};
    if (chance(m_options.upstreamFailures))
        result = {TaskStatus::Failed, 500, {}, runTime};
    after(runTime, [this, position, agent, ref = start.ref, attempt = start.attempt, result] {
        if (m_upstreams[position].running.erase({ref, attempt}) > 0)
            finishTask(agent, ref, attempt, result);
    });
}

void VirtualFleet::finishTask(Incarnation agent, const TaskRef &ref, std::uint32_t attempt,
                              const TaskResult &result)
{
    after(delay(100, 400), [this, agent, ref, attempt, result] {
        handle(agent, [this, ref, attempt, result](Process &it, Outbox &out) {
            it.agent->onUpstreamResult(ref, attempt, result, m_now, out);
        });
    });
}

void VirtualFleet::announce(std::size_t position)
{
    const Upstream &upstream = m_upstreams[position];
    if (upstream.isUp) {
        const UpstreamAnnouncement announcement{"desk",
                                                upstream.incarnation,
                                                "10.1.0." + std::to_string(position) + ":1",
                                                m_options.slots,
                                                64,
                                                {0, 4096},
                                                Lease};
        for (const Incarnation agent : alive(Role::Agent)) {
            if (m_processes.at(agent).position != position)
                continue;
            handle(agent, [this, announcement](Process &it, Outbox &out) {
                it.agent->onUpstreamAnnounced(announcement, m_now, out);
            });
        }
    }
    after(AnnounceInterval, [this, position] { announce(position); });
}

void VirtualFleet::sendRequest(std::uint64_t caller, std::uint32_t job, Incarnation entry)
{
    const JobSpec spec = jobOf(job);
    m_callers[caller] = {job, entry, false};
    m_history.submitted.push_back({m_now, caller, spec.key, spec.tasks.size(), spec.idempotent});
    handle(entry, [this, caller, spec](Process &it, Outbox &out) {
        it.entry->submit(CallerId{caller}, spec, {"trace", std::to_string(caller)},
                         m_now + 2 * CallerDeadline, m_now, out);
    });
}

void VirtualFleet::onAnswer(const AnswerCaller &effect)
{
    const auto it = m_callers.find(effect.caller.value);
    if (it == m_callers.end())
        return; // the request was a cancellation
    Caller &caller = it->second;
    const auto *answer = std::get_if<Answer>(&effect.reply);
    if (answer == nullptr) { // a refusal, or the job was accepted without an answer
        caller.isAnswered = true;
        return resubmit(caller.job, 500ms);
    }
    caller.isAnswered = true;
    m_history.answered.push_back({m_now, effect.caller.value, effect.key, *answer});
    if (answer->outcome == Outcome::NotRun && answer->retryAfter)
        resubmit(caller.job, *answer->retryAfter + 1ms);
    else if (answer->outcome == Outcome::Unknown && answer->retryAfter)
        resubmit(caller.job, *answer->retryAfter);
}

// Submits the job again at any entry, as callers do with a job that they believe lost.
void VirtualFleet::resubmit(std::uint32_t job, Duration wait)
{
    if (++m_resubmissions[job] <= MaxResubmissions)
        after(wait, [this, job] { submit(job, random(16)); });
}

void VirtualFleet::perform(const Step &step)
{
    const TimePoint end = m_now + step.length;
    const Incarnation agent = pick(Role::Agent, step.target);
    const Incarnation entry = pick(Role::Entry, step.target);
    const bool isLastEntry = alive(Role::Entry).size() < 2;
    switch (step.kind) {
    case StepKind::Submit:
    case StepKind::Copy:
        submit(step.target, static_cast<std::size_t>(step.length.count()));
        break;
    case StepKind::Cancel:
        if (entry.value != 0)
            handle(entry, [this, key = jobOf(step.target).key](Process &it, Outbox &out) {
                it.entry->cancel(CallerId{1'000'000 + m_lastEvent}, key, m_now + 5s, m_now, out);
            });
        break;
    case StepKind::KillAgent:
    case StepKind::LoseHost:
        if (agent.value != 0)
            kill(m_processes.at(agent), step.kind == StepKind::KillAgent, step.length);
        break;
    case StepKind::KillEntry:
        if (!isLastEntry)
            kill(m_processes.at(entry), true, step.length);
        break;
    case StepKind::PauseAgent:
        if (agent.value != 0)
            m_processes.at(agent).pausedUntil = end;
        break;
    case StepKind::PauseEntry:
        if (!isLastEntry)
            m_processes.at(entry).pausedUntil = end;
        break;
    case StepKind::SilenceLink: {
        const Role role = step.target / 4 % 2 == 0 ? Role::Entry : Role::Agent;
        m_silentUntil[std::minmax(agent, pick(role, step.target / 8))] = end;
        break;
    }
    case StepKind::DisturbNet:
        m_disturbedUntil = end;
        break;
    case StepKind::LogOutage:
        m_logDownUntil = end;
        break;
    case StepKind::LoseReplies:
        m_repliesLostUntil = end;
        break;
    case StepKind::KillUpstream: {
        Upstream &upstream = m_upstreams[step.target % m_upstreams.size()];
        upstream.isUp = false;
        upstream.running.clear();
        after(step.length, [this, n = step.target % m_upstreams.size()] {
            m_upstreams[n].incarnation = "u" + std::to_string(++m_lastUpstream);
            m_upstreams[n].isUp = true;
        });
        break;
    }
    case StepKind::LeaveAgent:
        if (alive(Role::Agent).size() > 1)
            handle(agent,
                   [this](Process &it, Outbox &out) { it.agent->beginShutdown(m_now, out); });
        break;
    case StepKind::LeaveEntry:
        if (!isLastEntry)
            handle(entry,
                   [this](Process &it, Outbox &out) { it.entry->beginShutdown(m_now, out); });
        break;
    case StepKind::Configure:
        configure(step.target);
        break;
    case StepKind::SilenceLog:
        if (entry.value != 0)
            m_processes.at(entry).logSilentUntil = end;
        break;
    case StepKind::StaleClaim:
        if (agent.value != 0)
            appendStaleClaim(agent);
        break;
    }
}

// Two offices apply a file with the same base revision; the ledger must accept only one.
void VirtualFleet::configure(std::uint32_t target)
{
    const Incarnation entry = pick(Role::Entry, target);
    if (entry.value == 0)
        return;
    const AcceptedConfig *config = m_processes.at(entry).entry->ledger().config();
    const Revision base = config == nullptr ? Revision{} : config->revision;
    for (const std::string office : {"hollisdale", "maji"}) {
        const Record record{office + std::to_string(m_lastEvent),
                            ConfigRecord{base, "version: 1\n", office, "operator"}};
        after(delay(4'000, 9'000), [this, entry, record] { append(entry, record); });
    }
}

// Appends the claim of an agent that another one has outrun for the current epoch of every shard.
// It must have no effect, because each epoch has one home (rule R1).
void VirtualFleet::appendStaleClaim(Incarnation agent)
{
    ClaimRecord claim{agent, {}, false};
    const Ledger &ledger = m_processes.at(agent).agent->ledger();
    for (std::uint16_t n = 0; n < ShardCount; ++n) {
        if (ledger.shard(ShardId{n}).epoch.value > 0)
            claim.claims.push_back({ShardId{n}, ledger.shard(ShardId{n}).epoch});
    }
    append(agent, Record{"late-claim-" + std::to_string(m_lastEvent), std::move(claim)});
}

std::vector<Incarnation> VirtualFleet::alive(Role role) const
{
    std::vector<Incarnation> result;
    for (const auto &[self, process] : m_processes) {
        if (process.isAlive && process.member.role == role)
            result.push_back(self);
    }
    return result;
}

Incarnation VirtualFleet::pick(Role role, std::uint32_t target) const
{
    const std::vector<Incarnation> candidates = alive(role);
    return candidates.empty() ? Incarnation{} : candidates[target % candidates.size()];
}

std::uint64_t VirtualFleet::random(std::uint64_t below)
{
    return m_random.next() % below;
}

bool VirtualFleet::chance(double probability)
{
    return static_cast<double>(random(1'000'000)) < probability * 1e6;
}

Duration VirtualFleet::delay(int fromMicros, int toMicros)
{
    return Duration(fromMicros
                    + static_cast<int>(random(static_cast<std::uint64_t>(toMicros - fromMicros))));
}

} // namespace cactuscove
