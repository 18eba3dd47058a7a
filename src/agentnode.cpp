// Wires the decisions of an agent together and follows its life: registration, revival, shutdown.

#include "agentnode.h"

#include "jobhome.h"
#include "placement.h"
#include "shardownership.h"
#include "taskexecutor.h"
#include "workerhealth.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <set>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// An agent without a feed for this long reads the log itself. The jitter keeps the agents of an
// entry that has failed from reading all at once.
constexpr Duration FeedPatience = 5s;
constexpr Duration FeedPatienceJitter = 2s;
// A process that has never been fed is new and usually not yet known to the entries.
constexpr Duration FirstFeedPatience = 500ms;

// An heir that acknowledges nothing for this long is replaced by another one.
constexpr Duration AdoptPatience = 2s;
constexpr Duration AdoptRepeat = 500ms;
// Limits of one part of the memory, so that no envelope holds up the others for long.
constexpr std::size_t MaxPartJobs = 500;
constexpr std::size_t MaxPartBytes = 256U << 10U; // of result bodies
constexpr std::size_t PartsInFlight = 8;
// Time to hand shards and memory over once nothing runs here any more. When the whole fleet leaves
// at once, nobody takes them; the process then leaves without an heir.
constexpr Duration HandOverLimit = 10s;

} // namespace

class AgentNode::Impl
{
public:
    explicit Impl(NodeSettings settings)
        : m_settings(std::move(settings))
        , m_self(m_settings.self.incarnation)
        , m_executor(m_self, m_ledger, m_upstreams)
        , m_shards(m_self, m_ledger)
        , m_admission(m_settings.seed + 1)
        , m_placement(m_settings.self.dataCentre, m_settings.seed + 2)
        , m_jobs(m_self, {m_ledger, m_shards, m_admission, m_placement, m_health},
                 m_settings.seed + 3)
    {
        m_shards.setJobs(&m_jobs);
    }

    void start(TimePoint now, Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    void onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out);
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    void onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginShutdown(TimePoint now, Outbox &out);
    // Follow-ups of any event: messages to itself, new knowledge, freed slots, shutdown steps.
    void settle(Outbox &inner, TimePoint now, Outbox &out);

    TimePoint nextTimer() const;
    bool isActive() const { return m_ledger.member(m_self) != nullptr; }
    bool needsLog(TimePoint now) const;
    std::vector<LoadDigest> loads() const;

    TaskExecutor &executor() { return m_executor; }
    JobHome &jobs() { return m_jobs; }
    UpstreamRegistry &upstreams() { return m_upstreams; }
    const Ledger &ledger() const { return m_ledger; }
    bool isShutdownComplete() const { return m_stage == Stage::Left; }

private:
    enum class Stage { Serving, Draining, HandingOver, Leaving, Left };

    // The memory of a process that left, or is about to.
    struct Adopted
    {
        std::map<std::uint32_t, std::vector<AdoptedJob>> parts;
        TimePoint receivedAt; // of the newest part
    };

    void dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onFeed(Incarnation from, const Feed &feed, TimePoint now, Outbox &out);
    void applyRecords(std::span<const LogRecord> records, LedgerChanges &changes);
    bool applySnapshot(const SnapshotRecord &snapshot, LedgerChanges &changes);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void adoptArrivedTables(TimePoint now);
    void answerRaise(Incarnation from, const Raise &raise, TimePoint now, Outbox &out) const;
    void onAdoptAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out);
    void onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out);
    void appendRegistration(Outbox &out);
    void checkRegistration(Outbox &out);
    void stepShutdown(TimePoint now, Outbox &out);
    void handOver(TimePoint now, Outbox &out);
    void packMemory(Incarnation subject, std::vector<AdoptedJob> jobs);
    void sendParts(TimePoint now, Outbox &out);
    bool isAnswererFor(Incarnation subject) const;
    void forgetAdopted(TimePoint now);

    NodeSettings m_settings;
    Incarnation m_self;
    Ledger m_ledger;
    UpstreamRegistry m_upstreams;
    TaskExecutor m_executor;
    ShardOwnership m_shards;
    Admission m_admission;
    Placement m_placement;
    WorkerHealth m_health;
    JobHome m_jobs;
    std::map<Incarnation, Adopted> m_adopted; // memories of processes that left, by subject

    TimePoint m_startedAt = NeverTime;
    std::optional<TimePoint> m_lastFeed;
    TimePoint m_logContact{};     // the ledger holds all that the log held then
    std::string m_registrationId; // of the newest registration asked for
    std::uint32_t m_registrations = 0;

    Stage m_stage = Stage::Serving;
    Incarnation m_heir;
    std::set<Incarnation> m_refusedHeirs; // did not answer in time
    std::deque<AdoptWitness> m_unadopted; // parts that the heir has not acknowledged yet
    std::uint32_t m_lastPart = 0;         // part numbers are never reused, also for another heir
    TimePoint m_heirDue = NeverTime;
    TimePoint m_nextParts = NeverTime;
    TimePoint m_handOverEnd = NeverTime; // set once nothing runs here any more
};

void AgentNode::Impl::start(TimePoint now, Outbox &out)
{
    m_startedAt = now;
    m_logContact = now; // an active node's ledger holds its registration, appended from now on
    appendRegistration(out);
}

void AgentNode::Impl::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    m_shards.setLogContact(m_logContact, now);
    for (const LoadDigest &load : envelope.loads)
        m_jobs.onLoad(load, now);
    for (const Message &message : envelope.messages)
        dispatch(envelope.from, message, now, out);
}

void AgentNode::Impl::onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out)
{
    LedgerChanges changes;
    applyRecords(records, changes);
    onLedgerChange(changes, now, out);
}

void AgentNode::Impl::onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out)
{
    LedgerChanges changes;
    if (snapshot.asOf >= m_ledger.next() && applySnapshot(snapshot, changes))
        onLedgerChange(changes, now, out);
}

void AgentNode::Impl::onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out)
{
    m_executor.onUpstreamChange(change, now, out);
}

void AgentNode::Impl::onTimer(TimePoint now, Outbox &out)
{
    const auto change = m_upstreams.onTimer(now);
    if (change != UpstreamRegistry::Change::None)
        m_executor.onUpstreamChange(change, now, out);
    m_executor.onTimer(now, out);
    m_shards.onTimer(now, out);
    m_jobs.onTimer(now, out);
    forgetAdopted(now);
}

void AgentNode::Impl::beginShutdown(TimePoint now, Outbox &out)
{
    if (m_stage != Stage::Serving)
        return;
    m_stage = isActive() ? Stage::Draining : Stage::Left;
    m_executor.beginDraining(now, out);
    m_shards.beginLeaving(now, out);
}

void AgentNode::Impl::settle(Outbox &inner, TimePoint now, Outbox &out)
{
    while (true) {
        adoptArrivedTables(now);
        m_jobs.onKnowledgeChange(now, inner);
        m_jobs.onLoad(loads().front(), now);
        m_jobs.placeQueued(now, inner);
        stepShutdown(now, inner);
        if (inner.isEmpty())
            return;
        for (Effect &effect : inner.take()) {
            const auto *send = std::get_if<Send>(&effect);
            if (send != nullptr && send->to == m_self)
                dispatch(m_self, send->message, now, inner);
            else
                out.add(std::move(effect));
        }
    }
}

TimePoint AgentNode::Impl::nextTimer() const
{
    return std::min(
        {m_executor.nextTimer(), m_upstreams.nextTimer(), m_shards.nextTimer(), m_jobs.nextTimer(),
         m_heirDue, m_nextParts,
         m_stage == Stage::Draining || m_stage == Stage::HandingOver ? m_handOverEnd : NeverTime});
}

bool AgentNode::Impl::needsLog(TimePoint now) const
{
    if (m_startedAt == NeverTime)
        return false;
    if (!m_lastFeed)
        return now >= m_startedAt + FirstFeedPatience;
    const auto jitter = FeedPatienceJitter * static_cast<std::int64_t>(m_settings.seed % 100) / 100;
    return now >= *m_lastFeed + FeedPatience + jitter;
}

std::vector<LoadDigest> AgentNode::Impl::loads() const
{
    return {m_executor.load()};
}

void AgentNode::Impl::dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *feed = std::get_if<Feed>(&message)) {
        onFeed(from, *feed, now, out);
    } else if (std::holds_alternative<Probe>(message)) {
        out.send(from, ProbeAck{});
    } else if (const auto *raise = std::get_if<Raise>(&message)) {
        m_executor.onMessage(from, message, now, out);
        m_jobs.onMessage(from, message, now, out);
        answerRaise(from, *raise, now, out);
    } else if (const auto *adopt = std::get_if<AdoptWitness>(&message)) {
        onAdoptWitness(from, *adopt, now, out);
    } else if (const auto *ack = std::get_if<AdoptAck>(&message)) {
        onAdoptAck(from, *ack, now, out);
    } else {
        // Each of them ignores the messages that are meant for the others.
        m_executor.onMessage(from, message, now, out);
        m_shards.onMessage(from, message, now, out);
        m_jobs.onMessage(from, message, now, out);
    }
}

void AgentNode::Impl::onFeed(Incarnation from, const Feed &feed, TimePoint now, Outbox &out)
{
    m_lastFeed = now;
    LedgerChanges changes;
    if (feed.snapshot && feed.snapshot->asOf >= m_ledger.next())
        applySnapshot(*feed.snapshot, changes);
    applyRecords(feed.records, changes);
    if (feed.logContact != 0 && m_ledger.next() >= feed.next) {
        const TimePoint contact{Duration(static_cast<std::int64_t>(feed.logContact))};
        m_logContact = std::max(m_logContact, contact);
        m_shards.setLogContact(m_logContact, now);
    }
    onLedgerChange(changes, now, out);
    out.send(from,
             FeedAck{m_ledger.next(), static_cast<std::uint64_t>(now.time_since_epoch().count())});
}

// Stops at a gap: the sender learns from the acknowledgement where to go on.
void AgentNode::Impl::applyRecords(std::span<const LogRecord> records, LedgerChanges &changes)
{
    for (const LogRecord &record : records) {
        if (record.offset > m_ledger.next())
            return;
        const LedgerChanges change = m_ledger.apply(record);
        changes.members = changes.members || change.members;
        changes.config = changes.config || change.config;
        changes.shards.insert(changes.shards.end(), change.shards.begin(), change.shards.end());
    }
}

bool AgentNode::Impl::applySnapshot(const SnapshotRecord &snapshot, LedgerChanges &changes)
{
    auto restored = Ledger::fromSnapshot(snapshot);
    if (!isOk(restored))
        return false;
    m_ledger = std::move(valueOf(restored));
    changes.members = true;
    changes.config = true;
    for (std::uint16_t n = 0; n < ShardCount; ++n)
        changes.shards.push_back(ShardId{n});
    return true;
}

void AgentNode::Impl::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    if (!changes.members && !changes.config && changes.shards.empty())
        return;
    checkRegistration(out);
    m_executor.onLedgerChange(changes, now, out);
    m_shards.onLedgerChange(changes, now, out);
    m_jobs.onLedgerChange(changes, now, out);
    adoptArrivedTables(now);
    const MemberState *self = m_ledger.member(m_self);
    if (m_stage == Stage::Leaving && (self == nullptr || self->hasLeft))
        m_stage = Stage::Left;
}

void AgentNode::Impl::adoptArrivedTables(TimePoint now)
{
    for (const ArrivedTable &table : m_shards.takeArrivedTables())
        m_jobs.adopt(table, now);
}

// For itself and for every process that it is the heir of (rule R4).
void AgentNode::Impl::answerRaise(Incarnation from, const Raise &raise, TimePoint now,
                                  Outbox &out) const
{
    Witness own{m_self, raise.claims, {}};
    for (const ShardClaim &claim : raise.claims) {
        for (auto &&jobs : {m_executor.witnessed(claim.shard, claim.epoch),
                            m_jobs.witnessed(claim.shard, claim.epoch, now)})
            own.jobs.insert(own.jobs.end(), jobs.begin(), jobs.end());
    }
    out.send(from, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        if (!isAnswererFor(subject))
            continue;
        Witness witness{subject, raise.claims, {}};
        for (const auto &[part, jobs] : adopted.parts) {
            for (const AdoptedJob &it : jobs) {
                const ShardId shard = shardOf(it.job.key);
                const auto isAsked = [&](const ShardClaim &claim) {
                    return claim.shard == shard && it.epoch < claim.epoch;
                };
                if (std::ranges::any_of(raise.claims, isAsked))
                    witness.jobs.push_back(it.job);
            }
        }
        out.send(from, std::move(witness));
    }
}

// Only once the log says so is the memory here whole: a process leaves after its heir has
// acknowledged every part.
bool AgentNode::Impl::isAnswererFor(Incarnation subject) const
{
    for (std::size_t steps = 0; steps <= m_ledger.members().size(); ++steps) {
        const MemberState *state = m_ledger.member(subject);
        if (state == nullptr || !state->hasLeft)
            return subject == m_self;
        subject = state->heir;
    }
    return false;
}

void AgentNode::Impl::onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now,
                                     Outbox &out)
{
    if (m_stage != Stage::Serving || !isActive())
        return; // the sender chooses another heir
    Adopted &adopted = m_adopted[message.subject];
    adopted.parts[message.part] = message.jobs;
    adopted.receivedAt = now;
    out.send(from, AdoptAck{message.subject, message.part});
}

void AgentNode::Impl::onAdoptAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out)
{
    const auto isSame
        = [&](const AdoptWitness &it) { return it.subject == ack.subject && it.part == ack.part; };
    if (from != m_heir || std::erase_if(m_unadopted, isSame) == 0)
        return;
    m_heirDue = now + AdoptPatience;
    if (m_unadopted.size() % PartsInFlight == 0)
        sendParts(now, out);
}

void AgentNode::Impl::appendRegistration(Outbox &out)
{
    m_registrationId
        = "register-" + std::to_string(m_self.value) + "-" + std::to_string(++m_registrations);
    out.add(Append{Record{m_registrationId, RegisterRecord{m_settings.self}}});
}

// A process that finds itself down, or retired, takes part again with the same memory.
void AgentNode::Impl::checkRegistration(Outbox &out)
{
    const MemberState *self = m_ledger.member(m_self);
    const bool isGone = self == nullptr || (self->isDown && !self->hasLeft);
    if (isGone && m_startedAt != NeverTime && m_ledger.hasAppend(m_registrationId)) {
        out.add(LogEvent{Severity::Warning, "register_again", {}});
        appendRegistration(out);
    }
}

// Running tasks end first, then the shards move, then the memory: what is handed over is final.
void AgentNode::Impl::stepShutdown(TimePoint now, Outbox &out)
{
    const bool isQuiet = m_executor.isIdle() && m_jobs.isIdle();
    if (m_stage == Stage::Draining && isQuiet && m_handOverEnd == NeverTime)
        m_handOverEnd = now + HandOverLimit;
    const bool isTooLate = m_handOverEnd <= now;
    if (m_stage == Stage::Draining && isQuiet && (m_shards.ownsNothing() || isTooLate)) {
        m_stage = Stage::HandingOver;
        handOver(now, out);
    } else if (m_stage == Stage::HandingOver && (m_unadopted.empty() || isTooLate)) {
        if (!m_unadopted.empty())
            m_heir = {};
        m_stage = Stage::Leaving;
        m_heirDue = NeverTime;
        m_nextParts = NeverTime;
        out.add(
            Append{Record{"leave-" + std::to_string(m_self.value), LeaveRecord{m_self, m_heir}}});
    } else if (m_stage == Stage::HandingOver && m_heirDue <= now) {
        m_refusedHeirs.insert(m_heir);
        handOver(now, out);
    } else if (m_stage == Stage::HandingOver && m_nextParts <= now) {
        sendParts(now, out);
    }
}

void AgentNode::Impl::handOver(TimePoint now, Outbox &out)
{
    m_heir = {};
    m_unadopted.clear();
    m_heirDue = now + AdoptPatience;
    std::vector<Incarnation> candidates = m_ledger.upMembers(Role::Agent);
    std::erase(candidates, m_self);
    if (candidates.empty())
        return; // the last one: nobody is left to ask it
    const auto isRefused = [&](Incarnation it) { return m_refusedHeirs.contains(it); };
    if (std::ranges::all_of(candidates, isRefused))
        m_refusedHeirs.clear();
    std::erase_if(candidates, isRefused);
    m_heir = candidates[(m_settings.seed + m_self.value) % candidates.size()];
    std::vector<AdoptedJob> own = m_executor.memory(now);
    std::ranges::move(m_jobs.memory(now), std::back_inserter(own));
    packMemory(m_self, std::move(own));
    for (const auto &[subject, adopted] : m_adopted) {
        std::vector<AdoptedJob> jobs;
        for (const auto &[part, list] : adopted.parts)
            jobs.insert(jobs.end(), list.begin(), list.end());
        for (AdoptedJob &it : jobs)
            it.age += now - adopted.receivedAt;
        packMemory(subject, std::move(jobs));
    }
    sendParts(now, out);
}

// Divides the memory into parts; an empty memory is one empty part.
void AgentNode::Impl::packMemory(Incarnation subject, std::vector<AdoptedJob> jobs)
{
    m_unadopted.push_back({subject, {}, ++m_lastPart});
    std::size_t bytes = 0;
    for (AdoptedJob &job : jobs) {
        std::size_t size = 0;
        for (const WitnessedTask &task : job.job.tasks)
            size += task.result.body.size();
        if (m_unadopted.back().jobs.size() >= MaxPartJobs
            || (bytes > 0 && bytes + size > MaxPartBytes)) {
            m_unadopted.push_back({subject, {}, ++m_lastPart});
            bytes = 0;
        }
        bytes += size;
        m_unadopted.back().jobs.push_back(std::move(job));
    }
}

void AgentNode::Impl::sendParts(TimePoint now, Outbox &out)
{
    const std::size_t n = std::min(PartsInFlight, m_unadopted.size());
    for (std::size_t i = 0; i < n; ++i)
        out.send(m_heir, m_unadopted[i]);
    m_nextParts = now + AdoptRepeat;
}

void AgentNode::Impl::forgetAdopted(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    for (auto &[subject, adopted] : m_adopted) {
        const TimePoint receivedAt = adopted.receivedAt;
        const auto isOld
            = [&](const AdoptedJob &it) { return receivedAt - it.age + memory <= now; };
        for (auto &[part, jobs] : adopted.parts)
            std::erase_if(jobs, isOld);
    }
    // Also the parts of a process that chose another heir in the end.
    std::erase_if(m_adopted, [&](const auto &it) {
        return it.second.receivedAt + memory <= now && !isAnswererFor(it.first);
    });
}

AgentNode::AgentNode(NodeSettings settings)
    : m_impl(std::make_unique<Impl>(std::move(settings)))
{}

AgentNode::~AgentNode() = default;

void AgentNode::start(TimePoint now, Outbox &out)
{
    m_impl->start(now, out);
}

void AgentNode::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onEnvelope(envelope, now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->jobs().onUndelivered(to, message, now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onLogRecords(std::span<const LogRecord> records, LogOffset, TimePoint now,
                             Outbox &out)
{
    Outbox inner;
    m_impl->onLogRecords(records, now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onLogSnapshot(snapshot, now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onUpstreamAnnounced(const UpstreamAnnouncement &announcement, TimePoint now,
                                    Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().announce(announcement, now), now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onUpstreamLeft(std::string_view incarnation, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().leave(incarnation), now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                                 TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->executor().onUpstreamResult(ref, attempt, std::move(result), now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onTimer(TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onTimer(now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::beginShutdown(TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->beginShutdown(now, inner);
    m_impl->settle(inner, now, out);
}

TimePoint AgentNode::nextTimer() const
{
    return m_impl->nextTimer();
}

bool AgentNode::isActive() const
{
    return m_impl->isActive();
}

bool AgentNode::isShutdownComplete() const
{
    return m_impl->isShutdownComplete();
}

bool AgentNode::needsLog(TimePoint now) const
{
    return m_impl->needsLog(now);
}

const Ledger &AgentNode::ledger() const
{
    return m_impl->ledger();
}

std::vector<LoadDigest> AgentNode::loads(TimePoint) const
{
    return m_impl->loads();
}

} // namespace cactuscove
