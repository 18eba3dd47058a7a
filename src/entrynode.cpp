// Connects the parts of an entry node, and handles its registration and shutdown.

#include "entrynode.h"

#include "jobrouter.h"
#include "membership.h"
#include "memoryhandover.h"

#include <algorithm>
#include <map>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A caller that tries again after this time reaches another entry, because the load balancer has
// seen the changed reply to /readyz by then.
constexpr Duration ShutdownRetryTime = 1s;

} // namespace

class EntryNode::Impl
{
public:
    Impl(NodeSettings settings, Duration logRetention)
        : m_settings(std::move(settings))
        , m_self(m_settings.self.incarnation)
        , m_router(m_self, m_ledger)
        , m_membership(m_self, m_ledger, logRetention)
        , m_handover(m_self, m_ledger, m_router)
    {}

    void start(Outbox &out);
    void onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out);
    void onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out);
    void onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out);
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginShutdown();
    void advanceShutdown(TimePoint now, Outbox &out); // after envelopes, log reads and timers

    TimePoint nextTimer() const;
    bool isActive() const { return m_ledger.member(m_self) != nullptr; }
    bool isServing() const { return m_stage == Stage::Serving; }
    bool isShutdownComplete() const { return m_stage == Stage::Left; }
    std::vector<LoadReport> loads(TimePoint now) const;

    JobRouter &router() { return m_router; }
    Membership &membership() { return m_membership; }
    const Ledger &ledger() const { return m_ledger; }

private:
    enum class Stage {
        Serving,
        Draining,    // answers the waiting callers
        HandingOver, // hands the remembered job keys to the successor
        Leaving,     // waits until the ledger shows its LeaveRecord
        Left
    };

    struct KnownLoad
    {
        LoadReport report;
        TimePoint observedAt;
    };

    void dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void updateLoad(const LoadReport &load, TimePoint now);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void appendRegistration(Outbox &out);
    void checkRegistration(Outbox &out);

    NodeSettings m_settings;
    Incarnation m_self;
    Ledger m_ledger;
    JobRouter m_router;
    Membership m_membership;
    MemoryHandover m_handover;
    std::map<Incarnation, KnownLoad> m_loads;
    std::string m_registrationId; // append id of the newest registration; empty before the start
    std::uint32_t m_registrationCount = 0;
    Stage m_stage = Stage::Serving;
};

void EntryNode::Impl::start(Outbox &out)
{
    appendRegistration(out);
}

void EntryNode::Impl::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    m_membership.onPeerActivity(envelope.from, now);
    for (const LoadReport &load : envelope.loads)
        updateLoad(load, now);
    for (const Message &message : envelope.messages)
        dispatch(envelope.from, message, now, out);
}

void EntryNode::Impl::dispatch(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *ack = std::get_if<AdoptAck>(&message)) {
        m_handover.onAck(from, *ack, now, out);
        return;
    }
    // Keys that arrive while this entry hands over its own could be left out of that handover.
    // Without an acknowledgement the sender chooses another successor.
    if (std::holds_alternative<AdoptWitness>(message) && (!isServing() || !isActive()))
        return;
    // Each of the two ignores the messages that it does not handle.
    m_membership.onMessage(from, message, now, out);
    m_router.onMessage(from, message, now, out);
}

void EntryNode::Impl::updateLoad(const LoadReport &load, TimePoint now)
{
    KnownLoad &known = m_loads[load.agent];
    if (now - load.age >= known.observedAt)
        known = {load, now - load.age};
}

std::vector<LoadReport> EntryNode::Impl::loads(TimePoint now) const
{
    std::vector<LoadReport> result;
    for (const auto &[agent, known] : m_loads) {
        result.push_back(known.report);
        result.back().age = now - known.observedAt;
    }
    return result;
}

void EntryNode::Impl::onLogRecords(std::span<const LogRecord> records, TimePoint now, Outbox &out)
{
    LedgerChanges changes;
    const auto isNew = [&](const LogRecord &it) { return it.offset >= m_ledger.next(); };
    const auto first = std::find_if(records.begin(), records.end(), isNew);
    const std::span<const LogRecord> newRecords(first, records.end());
    for (const LogRecord &record : newRecords) {
        const LedgerChanges change = m_ledger.apply(record);
        changes.members = changes.members || change.members;
        changes.config = changes.config || change.config;
        changes.shards.insert(changes.shards.end(), change.shards.begin(), change.shards.end());
    }
    if (newRecords.empty())
        return;
    m_membership.onRecords(newRecords, changes, now, out);
    onLedgerChange(changes, now, out);
}

void EntryNode::Impl::onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out)
{
    if (snapshot.asOf < m_ledger.next())
        return;
    auto restored = Ledger::fromSnapshot(snapshot);
    if (!isOk(restored)) {
        out.add(
            LogEvent{Severity::Error, "snapshot_refused", {{"reason", errorOf(restored).reason}}});
        return;
    }
    m_ledger = std::move(valueOf(restored));
    m_membership.onRestored(now);
    LedgerChanges changes;
    changes.members = true;
    changes.config = true;
    for (std::uint16_t n = 0; n < ShardCount; ++n)
        changes.shards.push_back(ShardId{n});
    onLedgerChange(changes, now, out);
}

void EntryNode::Impl::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    if (changes.members) {
        checkRegistration(out);
        std::erase_if(m_loads, [&](const auto &it) { return !m_ledger.isUp(it.first); });
    }
    m_router.onLedgerChange(changes, now, out);
}

void EntryNode::Impl::appendRegistration(Outbox &out)
{
    m_registrationId
        = "register-" + std::to_string(m_self.value) + "-" + std::to_string(++m_registrationCount);
    out.add(Append{Record{m_registrationId, RegisterRecord{m_settings.self}}});
}

// Registers again if the ledger shows this process as down or no longer shows it. The process then
// rejoins the fleet with its present state.
void EntryNode::Impl::checkRegistration(Outbox &out)
{
    const MemberState *self = m_ledger.member(m_self);
    const bool needsRegistration = !self || (self->isDown && !self->hasLeft);
    if (!needsRegistration || m_registrationId.empty() || m_stage == Stage::Leaving
        || m_stage == Stage::Left || !m_ledger.hasAppend(m_registrationId))
        return;
    out.add(LogEvent{Severity::Warning, "register_again", {}});
    appendRegistration(out);
}

void EntryNode::Impl::submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                             TimePoint now, Outbox &out)
{
    if (isServing()) {
        m_router.submit(caller, std::move(spec), std::move(trace), waitUntil, now, out);
        return;
    }
    // The outcome is Unknown and not NotRun, because another entry may have forwarded the same key.
    Answer answer;
    answer.reason = "entry_shutting_down";
    answer.retryAfter = ShutdownRetryTime;
    out.add(AnswerCaller{caller, spec.key, std::move(answer)});
}

void EntryNode::Impl::onTimer(TimePoint now, Outbox &out)
{
    m_router.onTimer(now, out);
    if (m_stage != Stage::Left)
        m_membership.onTimer(now, out);
    if (m_stage == Stage::HandingOver)
        m_handover.onTimer(now, out);
}

void EntryNode::Impl::beginShutdown()
{
    if (isServing())
        m_stage = isActive() ? Stage::Draining : Stage::Left;
}

// The callers are answered first, because every forwarded job adds a key to those that are handed
// over.
void EntryNode::Impl::advanceShutdown(TimePoint now, Outbox &out)
{
    if (m_stage == Stage::Draining && m_router.isIdle()) {
        m_stage = Stage::HandingOver;
        m_handover.start(now, out);
    }
    if (m_stage == Stage::HandingOver && m_handover.isComplete()) {
        m_stage = Stage::Leaving;
        out.add(Append{Record{"leave-" + std::to_string(m_self.value),
                              LeaveRecord{m_self, m_handover.successor()}}});
    }
    const MemberState *self = m_ledger.member(m_self);
    if (m_stage == Stage::Leaving && (!self || self->hasLeft))
        m_stage = Stage::Left;
}

TimePoint EntryNode::Impl::nextTimer() const
{
    if (m_stage == Stage::Left)
        return m_router.nextTimer();
    return std::min({m_router.nextTimer(), m_membership.nextTimer(), m_handover.nextTimer()});
}

EntryNode::EntryNode(NodeSettings settings, Duration logRetention)
    : m_impl(std::make_unique<Impl>(std::move(settings), logRetention))
{}

EntryNode::~EntryNode() = default;

void EntryNode::start(TimePoint, Outbox &out)
{
    m_impl->start(out);
}

void EntryNode::onEnvelope(const Envelope &envelope, TimePoint now, Outbox &out)
{
    m_impl->onEnvelope(envelope, now, out);
    m_impl->advanceShutdown(now, out);
}

void EntryNode::onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out)
{
    m_impl->router().onUndelivered(to, message, now, out);
}

void EntryNode::onLogRecords(std::span<const LogRecord> records, LogOffset, TimePoint now,
                             Outbox &out)
{
    m_impl->onLogRecords(records, now, out);
    m_impl->advanceShutdown(now, out);
}

void EntryNode::onLogSnapshot(const SnapshotRecord &snapshot, TimePoint now, Outbox &out)
{
    m_impl->onLogSnapshot(snapshot, now, out);
    m_impl->advanceShutdown(now, out);
}

void EntryNode::onLogReadStarted()
{
    m_impl->membership().onLogReadStarted();
}

void EntryNode::onLogEndRead()
{
    m_impl->membership().onLogEndRead();
}

void EntryNode::onLogReachable(bool reachable, TimePoint now)
{
    m_impl->membership().setLogReachable(reachable, now);
}

void EntryNode::submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                       TimePoint now, Outbox &out)
{
    m_impl->submit(caller, std::move(spec), std::move(trace), waitUntil, now, out);
}

void EntryNode::query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                      Outbox &out)
{
    m_impl->router().query(caller, key, waitUntil, now, out);
}

void EntryNode::cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                       Outbox &out)
{
    m_impl->router().cancel(caller, key, waitUntil, now, out);
}

void EntryNode::callerDisconnected(CallerId caller)
{
    m_impl->router().callerDisconnected(caller);
}

void EntryNode::onTimer(TimePoint now, Outbox &out)
{
    m_impl->onTimer(now, out);
    m_impl->advanceShutdown(now, out);
}

void EntryNode::beginShutdown(TimePoint now, Outbox &out)
{
    m_impl->beginShutdown();
    m_impl->advanceShutdown(now, out);
}

TimePoint EntryNode::nextTimer() const
{
    return m_impl->nextTimer();
}

bool EntryNode::isActive() const
{
    return m_impl->isActive();
}

bool EntryNode::acceptsJobs() const
{
    return m_impl->isActive() && m_impl->isServing();
}

bool EntryNode::isShutdownComplete() const
{
    return m_impl->isShutdownComplete();
}

const Ledger &EntryNode::ledger() const
{
    return m_impl->ledger();
}

std::size_t EntryNode::rememberedKeyCount() const
{
    return m_impl->router().rememberedKeyCount();
}

std::vector<LoadReport> EntryNode::loads(TimePoint now) const
{
    return m_impl->loads(now);
}

} // namespace cactuscove
