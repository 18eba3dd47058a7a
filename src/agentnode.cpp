// Connects the parts of an agent node, and keeps its ledger and registration up to date.

#include "agentnodeimpl.h"

#include <algorithm>
#include <iterator>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// An agent that has received no feed for this time reads the log itself. The jitter keeps the
// agents of a failed entry from starting to read all at once.
constexpr Duration FeedTimeout = 5s;
constexpr Duration FeedTimeoutJitter = 2s;
// Timeout for the first feed. A new process is usually not known to the entries yet.
constexpr Duration FirstFeedTimeout = 500ms;

} // namespace

void AgentNode::Impl::start(TimePoint now, Outbox &out)
{
    m_startedAt = now;
    // Holds once the node is active: the ledger then contains the registration of the node and
    // every record before it, and the registration is appended after `now`.
    m_logContact = now;
    appendRegistration(out);
}

void AgentNode::Impl::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    m_shards.setLogContact(m_logContact, now);
    for (const LoadReport &load : envelope.loads)
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
    expireAdopted(now);
}

void AgentNode::Impl::beginShutdown(TimePoint now, Outbox &out)
{
    if (m_stage != Stage::Serving)
        return;
    m_stage = isActive() ? Stage::Draining : Stage::Left;
    m_executor.beginDraining(now, out);
    m_shards.beginLeaving(now, out);
}

void AgentNode::Impl::processFollowUps(Outbox &inner, TimePoint now, Outbox &out)
{
    while (true) {
        importReceivedShards(now);
        m_jobs.decideWaitingJobs(now, inner);
        m_jobs.onLoad(loads().front(), now);
        m_jobs.placeQueuedTasks(now, inner);
        advanceShutdown(now, inner);
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
                     m_jobs.nextTimer(), m_successorDeadline, m_nextPartsSend,
                     m_stage == Stage::Draining || m_stage == Stage::HandingOver
                         ? m_handoverDeadline
                         : NeverTime});
}

bool AgentNode::Impl::shouldReadLog(TimePoint now) const
{
    if (m_startedAt == NeverTime)
        return false;
    if (!m_lastFeed)
        return now >= m_startedAt + FirstFeedTimeout;
    const auto jitter = FeedTimeoutJitter * static_cast<std::int64_t>(m_settings.seed % 100) / 100;
    return now >= *m_lastFeed + FeedTimeout + jitter;
}

std::vector<LoadReport> AgentNode::Impl::loads() const
{
    return {m_executor.load()};
}

void AgentNode::Impl::dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *feed = std::get_if<Feed>(&message)) {
        onFeed(from, *feed, now, out);
    } else if (std::holds_alternative<Probe>(message)) {
        out.send(from, ProbeAck{});
    } else if (const auto *start = std::get_if<StartEpoch>(&message)) {
        m_executor.onMessage(from, message, now, out);
        m_jobs.onMessage(from, message, now, out);
        answerStartEpoch(from, *start, now, out);
    } else if (const auto *adopt = std::get_if<AdoptWitness>(&message)) {
        onAdoptWitness(from, *adopt, now, out);
    } else if (const auto *ack = std::get_if<AdoptAck>(&message)) {
        onAdoptAck(from, *ack, now, out);
    } else {
        // Each of the three ignores the messages that it does not handle.
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

// Stops at a gap in the offsets. The acknowledgement tells the sender where to continue.
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
    importReceivedShards(now);
    const MemberState *self = m_ledger.member(m_self);
    if (m_stage == Stage::Leaving && (self == nullptr || self->hasLeft))
        m_stage = Stage::Left;
}

void AgentNode::Impl::importReceivedShards(TimePoint now)
{
    for (const ReceivedShard &table : m_shards.takeReceivedShards())
        m_jobs.importShard(table, now);
}

void AgentNode::Impl::appendRegistration(Outbox &out)
{
    m_registrationId
        = "register-" + std::to_string(m_self.value) + "-" + std::to_string(++m_registrationCount);
    out.add(Append{Record{m_registrationId, RegisterRecord{m_settings.self}}});
}

// Registers again if the ledger shows this process as down or no longer shows it. The process then
// rejoins the fleet with its present state.
void AgentNode::Impl::checkRegistration(Outbox &out)
{
    const MemberState *self = m_ledger.member(m_self);
    const bool needsRegistration = self == nullptr || (self->isDown && !self->hasLeft);
    if (needsRegistration && m_startedAt != NeverTime && m_ledger.hasAppend(m_registrationId)) {
        out.add(LogEvent{Severity::Warning, "register_again", {}});
        appendRegistration(out);
    }
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
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->jobs().onUndelivered(to, message, now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onLogRecords(std::span<const LogRecord> records, LogOffset, TimePoint now,
                             Outbox &out)
{
    Outbox inner;
    m_impl->onLogRecords(records, now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onLogSnapshot(snapshot, now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onUpstreamAnnounced(const UpstreamAnnouncement &announcement, TimePoint now,
                                    Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().announce(announcement, now), now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onUpstreamLeft(std::string_view incarnation, TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onUpstreamChange(m_impl->upstreams().leave(incarnation), now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                                 TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->executor().onUpstreamResult(ref, attempt, std::move(result), now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::onTimer(TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->onTimer(now, inner);
    m_impl->processFollowUps(inner, now, out);
}

void AgentNode::beginShutdown(TimePoint now, Outbox &out)
{
    Outbox inner;
    m_impl->beginShutdown(now, inner);
    m_impl->processFollowUps(inner, now, out);
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

bool AgentNode::shouldReadLog(TimePoint now) const
{
    return m_impl->shouldReadLog(now);
}

const Ledger &AgentNode::ledger() const
{
    return m_impl->ledger();
}

std::vector<LoadReport> AgentNode::loads(TimePoint) const
{
    return m_impl->loads();
}

} // namespace cactuscove
