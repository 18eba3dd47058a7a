// Feeds, probes, votes, retirement and snapshot duty of one entry.

#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 100ms;
constexpr Duration HeartbeatInterval = 1s;

// From the first message without an answer. A call on a silent connection times out after 2 s, and
// the next one uses a new connection, so a process that is up has answered there by then.
constexpr Duration SuspicionTime = 3s;

// A tick that is this late means that this process was paused, and that the silence is its own.
constexpr Duration PauseThreshold = 1s;

constexpr Duration RetireMargin = 60s; // rule R8
// Another entry takes over a retirement that the lowest entry has not done.
constexpr Duration RetireTakeover = 60s;

constexpr std::uint64_t RecordsPerSnapshot = 2000;
constexpr int SnapshotsPerRetention = 4;

// An agent that is further behind gets a snapshot, which is about as large as this many records.
constexpr std::size_t MaxRecentRecords = 1000;
constexpr std::size_t MaxRecentBytes = 4 << 20;
constexpr std::size_t MaxRecordsPerFeed = 200;

std::uint64_t weightOf(Incarnation entry, Incarnation agent)
{
    const std::array<std::uint64_t, 2> pair{entry.value, agent.value};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

std::size_t sizeOf(const LogRecord &record)
{
    const auto *config = std::get_if<ConfigRecord>(&record.record.body);
    const auto *claim = std::get_if<ClaimRecord>(&record.record.body);
    return sizeof(LogRecord) + (config ? config->text.size() : 0)
           + (claim ? claim->claims.size() * sizeof(ShardClaim) : 0);
}

} // namespace

Membership::Membership(Incarnation self, const Ledger &ledger, Duration logRetention)
    : m_self(self)
    , m_ledger(ledger)
    , m_logRetention(logRetention)
{}

void Membership::Watch::noteSent(TimePoint now)
{
    nextSend = now + HeartbeatInterval;
    if (unansweredSince == NeverTime)
        unansweredSince = now;
}

Incarnation Membership::feederOf(Incarnation agent) const
{
    Incarnation best;
    std::uint64_t bestWeight = 0;
    for (const Incarnation entry : m_ledger.upMembers(Role::Entry)) {
        const std::uint64_t weight = weightOf(entry, agent);
        if (best.value == 0 || weight > bestWeight) {
            best = entry;
            bestWeight = weight;
        }
    }
    return best;
}

void Membership::onRecords(std::span<const LogRecord> records, const LedgerChanges &changes,
                           TimePoint now, Outbox &out)
{
    for (const LogRecord &it : records) {
        LogRecord record = it;
        ++m_recordsSinceSnapshot;
        if (auto *snapshot = std::get_if<SnapshotRecord>(&record.record.body)) {
            // A reader that is past the snapshot needs only its append id.
            snapshot->state.clear();
            m_recordsSinceSnapshot = 0;
            m_lastSnapshotAt = now;
        } else if (const auto *body = std::get_if<RegisterRecord>(&record.record.body)) {
            // Its time as a down member starts anew, even if it is down again by the last record.
            m_goneSince.erase(body->member.incarnation);
        }
        m_recentBytes += sizeOf(record);
        m_recent.push_back(std::move(record));
    }
    while (m_recent.size() > MaxRecentRecords || m_recentBytes > MaxRecentBytes) {
        m_recentBytes -= sizeOf(m_recent.front());
        m_recent.pop_front();
    }
    if (changes.members)
        refreshWatches(now);
    for (auto &[incarnation, watch] : m_watches)
        if (watch.isFed && !watch.isFeedInFlight)
            feed(incarnation, watch, now, out);
}

void Membership::onRestored(TimePoint now)
{
    m_recent.clear();
    m_recentBytes = 0;
    m_recordsSinceSnapshot = 0;
    m_lastSnapshotAt = now;
    // The appends may be among the records that were skipped.
    m_pendingSnapshot.clear();
    for (auto &[incarnation, watch] : m_watches)
        watch.pendingVote.clear();
    refreshWatches(now);
}

// Follows the ledger's members: who is fed from here, who must be watched, and who is gone.
void Membership::refreshWatches(TimePoint now)
{
    for (const auto &[incarnation, state] : m_ledger.members()) {
        if (incarnation == m_self)
            continue;
        if (!state.isUp()) {
            m_watches.erase(incarnation);
            m_goneSince.try_emplace(incarnation, now);
            continue;
        }
        m_goneSince.erase(incarnation);
        const auto [it, isNew] = m_watches.try_emplace(incarnation);
        Watch &watch = it->second;
        if (isNew) {
            watch.lastHeard = now;
            watch.nextSend = now;
        }
        const bool isAgent = state.member.role == Role::Agent;
        watch.isFed = isAgent && feederOf(incarnation) == m_self;
        const bool isWatched = watch.isFed || !isAgent || !state.suspectedBy.empty();
        if (isWatched && !watch.isWatched) {
            watch.unansweredSince = NeverTime;
            watch.nextSend = now;
            watch.isFeedInFlight = false;
        }
        watch.isWatched = isWatched;
    }
    const auto isUnknown = [&](const auto &it) { return !m_ledger.member(it.first); };
    std::erase_if(m_watches, isUnknown);
    std::erase_if(m_goneSince, isUnknown);
}

void Membership::onPeerActivity(Incarnation from, TimePoint now)
{
    if (const auto it = m_watches.find(from); it != m_watches.end()) {
        it->second.lastHeard = now;
        it->second.unansweredSince = NeverTime;
    }
}

void Membership::onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (std::holds_alternative<Probe>(message)) {
        out.send(from, ProbeAck{});
        return;
    }
    const auto *ack = std::get_if<FeedAck>(&message);
    const auto it = ack ? m_watches.find(from) : m_watches.end();
    if (it == m_watches.end())
        return;
    Watch &watch = it->second;
    watch.isFeedInFlight = false;
    watch.stamp = std::max(watch.stamp, ack->stamp);
    // An agent that cannot apply what it gets is asked again by the heartbeat only.
    const bool isProgress = !watch.acked || ack->next > *watch.acked;
    watch.acked = std::max(watch.acked.value_or(LogOffset{}), ack->next);
    if (watch.isFed && isProgress && *watch.acked < m_ledger.next())
        feed(from, watch, now, out);
}

void Membership::onLogReadStarted()
{
    for (auto &[incarnation, watch] : m_watches)
        watch.readingStamp = watch.stamp;
}

void Membership::onLogEndRead()
{
    for (auto &[incarnation, watch] : m_watches)
        watch.confirmedStamp = watch.readingStamp;
}

void Membership::setLogReachable(bool isReachable, TimePoint now)
{
    // After an outage the ledger may be behind the fleet, so every silence starts anew.
    if (isReachable && !m_isLogReachable)
        restartSilence(now);
    m_isLogReachable = isReachable;
}

void Membership::restartSilence(TimePoint now)
{
    for (auto &[incarnation, watch] : m_watches)
        if (watch.unansweredSince != NeverTime)
            watch.unansweredSince = now;
}

void Membership::onTimer(TimePoint now, Outbox &out)
{
    if (now < m_nextTick)
        return;
    if (now > m_lastTick + TickInterval + PauseThreshold)
        restartSilence(now);
    m_lastTick = now;
    m_nextTick = now + TickInterval;
    for (auto &[incarnation, watch] : m_watches) {
        if (watch.isWatched && now >= watch.nextSend)
            contact(incarnation, watch, now, out);
        if (!watch.pendingVote.empty() && m_ledger.hasAppend(watch.pendingVote))
            watch.pendingVote.clear();
        if (watch.isWatched && watch.pendingVote.empty())
            vote(incarnation, watch, now, out);
    }
    retire(now, out);
    writeSnapshot(now, out);
}

void Membership::contact(Incarnation to, Watch &watch, TimePoint now, Outbox &out)
{
    if (watch.isFed) {
        feed(to, watch, now, out);
        return;
    }
    watch.noteSent(now);
    out.send(to, Probe{});
}

// Starts at the last acknowledged offset, so that what the agent has applied and what it gets never
// leave a gap. Until the first acknowledgement nothing is known of the agent, and the feed is
// empty.
void Membership::feed(Incarnation to, Watch &watch, TimePoint now, Outbox &out)
{
    watch.noteSent(now);
    watch.isFeedInFlight = true;
    Feed message;
    if (!watch.acked || *watch.acked >= m_ledger.next()) {
        message.next = watch.acked.value_or(LogOffset{});
        message.logContact = watch.acked ? watch.confirmedStamp : 0;
        out.send(to, std::move(message));
        return;
    }
    const auto first = std::lower_bound(
        m_recent.begin(), m_recent.end(), *watch.acked,
        [](const LogRecord &record, LogOffset offset) { return record.offset < offset; });
    // A gap is either a trimmed buffer or a malformed record, which no reader applies.
    if (first == m_recent.end() || first->offset != *watch.acked) {
        message.snapshot = currentSnapshot();
        message.next = m_ledger.next();
    } else {
        const auto n = std::min<std::ptrdiff_t>(m_recent.end() - first, MaxRecordsPerFeed);
        message.records.assign(first, first + n);
        message.next = LogOffset{message.records.back().offset.value + 1};
    }
    out.send(to, std::move(message));
}

const SnapshotRecord &Membership::currentSnapshot()
{
    if (!m_snapshot || m_snapshot->asOf.value + 1 != m_ledger.next().value)
        m_snapshot = m_ledger.snapshot();
    return *m_snapshot;
}

// Suspects after a silence, also to answer another entry's suspicion, and takes the vote back at
// the first sign of life.
void Membership::vote(Incarnation subject, Watch &watch, TimePoint now, Outbox &out)
{
    if (!m_isLogReachable || !m_ledger.isUp(m_self))
        return;
    const MemberState *state = m_ledger.member(subject);
    const bool isSuspected = state && state->suspectedBy.contains(m_self);
    if (isSuspected && watch.lastHeard > watch.votedAt) {
        watch.pendingVote = nextAppendId("clear");
        out.add(Append{Record{watch.pendingVote, ClearRecord{m_self, subject}}});
        return;
    }
    if (isSuspected || watch.unansweredSince == NeverTime
        || now - watch.unansweredSince < SuspicionTime)
        return;
    watch.votedAt = now;
    watch.pendingVote = nextAppendId("suspect");
    out.add(
        LogEvent{Severity::Warning, "suspect", {{"incarnation", std::to_string(subject.value)}}});
    out.add(Append{Record{watch.pendingVote, SuspectRecord{m_self, subject}}});
}

// The lowest up entry does a duty when it is due; the others do it if it is not done in time.
bool Membership::isDutyDue(TimePoint due, TimePoint now, Duration patience) const
{
    const std::vector<Incarnation> entries = m_ledger.upMembers(Role::Entry);
    if (std::find(entries.begin(), entries.end(), m_self) == entries.end())
        return false;
    return now >= due + (entries.front() == m_self ? Duration::zero() : patience);
}

void Membership::retire(TimePoint now, Outbox &out)
{
    if (!m_isLogReachable)
        return;
    // A process that is cut off from the log may accept jobs for one id_memory (ShardOwnership::
    // setLogContact), and each of them must be remembered for another one.
    const Duration memory = 2 * m_ledger.fleetConfig().idMemory + RetireMargin;
    for (auto &[incarnation, since] : m_goneSince) {
        if (!isDutyDue(since + memory, now, RetireTakeover))
            continue;
        since = now; // asks again after the same time, if the record has had no effect
        out.add(Append{Record{nextAppendId("retire"), RetireRecord{incarnation}}});
    }
}

void Membership::writeSnapshot(TimePoint now, Outbox &out)
{
    if (!m_pendingSnapshot.empty()) {
        if (!m_ledger.hasAppend(m_pendingSnapshot))
            return;
        m_pendingSnapshot.clear();
    }
    if (m_lastSnapshotAt == TimePoint{})
        m_lastSnapshotAt = now; // the age of the last one is unknown to a new process
    const std::vector<Incarnation> entries = m_ledger.upMembers(Role::Entry);
    if (!m_isLogReachable || std::find(entries.begin(), entries.end(), m_self) == entries.end())
        return;
    const int factor = entries.front() == m_self ? 1 : 2;
    if (m_recordsSinceSnapshot < RecordsPerSnapshot * factor
        && now < m_lastSnapshotAt + m_logRetention / SnapshotsPerRetention * factor)
        return;
    m_pendingSnapshot = nextAppendId("snapshot");
    out.add(Append{Record{m_pendingSnapshot, currentSnapshot()}});
}

std::string Membership::nextAppendId(const char *kind)
{
    return std::string(kind) + '-' + std::to_string(m_self.value) + '-'
           + std::to_string(++m_appends);
}

} // namespace cactuscove
