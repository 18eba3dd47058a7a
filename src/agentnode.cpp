// Wires the decisions of an agent together and follows its life: registration, revival, shutdown.

#include "agentnode.h"

#include "jobhome.h"
#include "placement.h"
#include "shardownership.h"
#include "taskexecutor.h"
#include "workerhealth.h"

#include <algorithm>
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

constexpr Duration AdoptPatience = 2s;
// Of result bodies handed to an heir in one message. Beyond it only the fact of the start counts.
constexpr std::size_t MaxAdoptedBytes = 4U << 20U;

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

    struct Adopted
    {
        std::vector<AdoptedJob> jobs;
        TimePoint receivedAt;
    };

    void dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onFeed(Incarnation from, const Feed &feed, TimePoint now, Outbox &out);
    void applyRecords(std::span<const LogRecord> records, LedgerChanges &changes);
    bool applySnapshot(const SnapshotRecord &snapshot, LedgerChanges &changes);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void adoptArrivedTables(TimePoint now);
    void answerRaise(Incarnation from, const Raise &raise, TimePoint now, Outbox &out) const;
    void onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out);
    void appendRegistration(Outbox &out);
    void checkRegistration(Outbox &out);
    void stepShutdown(TimePoint now, Outbox &out);
    void handOver(TimePoint now, Outbox &out);
    std::vector<AdoptedJob> ownMemory(TimePoint now) const;
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
    std::string m_registrationId; // of the newest registration asked for
    std::uint32_t m_registrations = 0;

    Stage m_stage = Stage::Serving;
    Incarnation m_heir;
    std::set<Incarnation> m_refusedHeirs; // did not answer in time
    std::set<Incarnation> m_unadopted;    // subjects that the heir has not acknowledged yet
    TimePoint m_heirDue = NeverTime;
};

void AgentNode::Impl::start(TimePoint now, Outbox &out)
{
    m_startedAt = now;
    appendRegistration(out);
}

void AgentNode::Impl::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    for (const LoadDigest &load : envelope.loads)
        m_jobs.onLoad(load, now);
    for (const Message &message : envelope.messages)
        dispatch(envelope.from, message, now, out);
}

void AgentNode::Impl::onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out)
{
    LedgerChanges changes;
    // The start of the stream may be trimmed; the newest snapshot that joins the records bridges
    // it.
    if (!records.empty() && records.front().offset > m_ledger.next()) {
        for (auto it = records.rbegin(); it != records.rend(); ++it) {
            const auto *snapshot = std::get_if<SnapshotRecord>(&it->record.body);
            if (snapshot != nullptr && snapshot->asOf.value + 1 >= records.front().offset.value
                && applySnapshot(*snapshot, changes))
                break;
        }
    }
    applyRecords(records, changes);
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
    return std::min({m_executor.nextTimer(), m_upstreams.nextTimer(), m_shards.nextTimer(),
                     m_jobs.nextTimer(), m_heirDue});
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
        if (from == m_heir)
            m_unadopted.erase(ack->subject);
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
    onLedgerChange(changes, now, out);
    out.send(from, FeedAck{m_ledger.next()});
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
        Witness witness{subject, raise.claims, {}};
        for (const AdoptedJob &it : adopted.jobs) {
            const ShardId shard = shardOf(it.job.key);
            const auto isAsked = [&](const ShardClaim &claim) {
                return claim.shard == shard && it.epoch < claim.epoch;
            };
            if (std::ranges::any_of(raise.claims, isAsked))
                witness.jobs.push_back(it.job);
        }
        out.send(from, std::move(witness));
    }
}

void AgentNode::Impl::onAdoptWitness(Incarnation from, const AdoptWitness &message, TimePoint now,
                                     Outbox &out)
{
    if (m_stage != Stage::Serving || !isActive())
        return; // the sender chooses another heir
    m_adopted[message.subject] = {message.jobs, now};
    out.send(from, AdoptAck{message.subject});
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
    if (m_stage == Stage::Draining && m_executor.isIdle() && m_jobs.isIdle()
        && m_shards.ownsNothing()) {
        m_stage = Stage::HandingOver;
        handOver(now, out);
    } else if (m_stage == Stage::HandingOver && m_unadopted.empty()) {
        m_stage = Stage::Leaving;
        m_heirDue = NeverTime;
        out.add(
            Append{Record{"leave-" + std::to_string(m_self.value), LeaveRecord{m_self, m_heir}}});
    } else if (m_stage == Stage::HandingOver && m_heirDue <= now) {
        m_refusedHeirs.insert(m_heir);
        handOver(now, out);
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
    m_unadopted.insert(m_self);
    out.send(m_heir, AdoptWitness{m_self, ownMemory(now)});
    for (const auto &[subject, adopted] : m_adopted) {
        AdoptWitness message{subject, adopted.jobs};
        for (AdoptedJob &it : message.jobs)
            it.age += now - adopted.receivedAt;
        m_unadopted.insert(subject);
        out.send(m_heir, std::move(message));
    }
}

std::vector<AdoptedJob> AgentNode::Impl::ownMemory(TimePoint now) const
{
    std::vector<AdoptedJob> jobs = m_executor.memory(now);
    for (AdoptedJob &it : m_jobs.memory(now))
        jobs.push_back(std::move(it));
    std::size_t bytes = 0;
    for (AdoptedJob &job : jobs) {
        for (WitnessedTask &task : job.job.tasks) {
            bytes += task.result.body.size();
            if (bytes > MaxAdoptedBytes)
                task.result = TaskResult{};
        }
    }
    return jobs;
}

void AgentNode::Impl::forgetAdopted(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    for (auto &[subject, adopted] : m_adopted) {
        const TimePoint receivedAt = adopted.receivedAt;
        std::erase_if(adopted.jobs,
                      [&](const AdoptedJob &it) { return receivedAt - it.age + memory <= now; });
    }
    std::erase_if(m_adopted, [&](const auto &it) {
        return it.second.jobs.empty() && it.second.receivedAt + memory <= now
               && m_ledger.member(it.first) == nullptr;
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

void AgentNode::onUpstreamAnnounced(const UpstreamAnnouncement &announcement, TimePoint now,
                                    Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().announce(announcement, now), now, inner);
    m_impl->settle(inner, now, out);
}

void AgentNode::onUpstreamLeft(TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().leave(), now, inner);
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
