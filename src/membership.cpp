// Feeds, probes, votes, retirement and snapshots of one entry.

#include "membership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr Duration TickInterval = 100ms;
constexpr Duration HeartbeatInterval = 1s;

// From the first unanswered message to the vote against a member. A call on a silent connection
// times out after 2 s, and the next one uses a new connection, so a process that is up has answered
// on that one by then.
constexpr Duration SuspicionTime = 3s;

// A tick that is this late means that this process itself was paused, so that the silence of the
// others proves nothing.
constexpr Duration PauseThreshold = 1s;

// Rule R8: a member that is gone is kept as a witness for as long as a job that it knows of can
// matter. This margin is added to that time.
constexpr Duration RetireMargin = 60s;
// If the entry with the lowest incarnation has not retired a member this long after it was due, the
// other entries do.
constexpr Duration RetireTakeover = 60s;

// A snapshot is due after RecordsPerSnapshot records, and SnapshotsPerRetention times within the
// time that the log keeps a record.
constexpr std::uint64_t RecordsPerSnapshot = 2000;
constexpr int SnapshotsPerRetention = 4;

// Records kept for feeds. An agent that is further behind gets a snapshot, which is about as large
// as this many records.
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

void Membership::Watch::onSent(TimePoint now)
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
            // An agent that gets this record in a feed has applied everything before it, so it
            // needs only the append id and not the state.
            snapshot->state.clear();
            m_recordsSinceSnapshot = 0;
            m_lastSnapshotAt = now;
        } else if (const auto *body = std::get_if<RegisterRecord>(&record.record.body)) {
            // The member has been up in between, even if it is down again by the last record, so
            // its time to retirement starts anew.
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
            sendFeed(incarnation, watch, now, out);
}

void Membership::onRestored(TimePoint now)
{
    m_recent.clear();
    m_recentBytes = 0;
    m_recordsSinceSnapshot = 0;
    m_lastSnapshotAt = now;
    // The pending appends may be among the records that were skipped.
    m_pendingSnapshot.clear();
    for (auto &[incarnation, watch] : m_watches)
        watch.pendingVote.clear();
    refreshWatches(now);
}

// Updates the watches from the members in the ledger: which agents this entry feeds, which members
// it watches, and which are gone.
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
    // An agent that made no progress cannot apply what it gets; its next feed is sent with the next
    // heartbeat.
    const bool isProgress = !watch.acked || ack->next > *watch.acked;
    watch.acked = std::max(watch.acked.value_or(LogOffset{}), ack->next);
    if (watch.isFed && isProgress && *watch.acked < m_ledger.next())
        sendFeed(from, watch, now, out);
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
    // After an outage the ledger may be out of date, so silence during the outage does not count.
    if (isReachable && !m_isLogReachable)
        restartSilenceTimers(now);
    m_isLogReachable = isReachable;
}

// Restarts the silence time of every member that has not answered, so that it counts from `now`.
void Membership::restartSilenceTimers(TimePoint now)
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
        restartSilenceTimers(now);
    m_lastTick = now;
    m_nextTick = now + TickInterval;
    for (auto &[incarnation, watch] : m_watches) {
        if (watch.isWatched && now >= watch.nextSend)
            sendHeartbeat(incarnation, watch, now, out);
        if (!watch.pendingVote.empty() && m_ledger.hasAppend(watch.pendingVote))
            watch.pendingVote.clear();
        if (watch.isWatched && watch.pendingVote.empty())
            updateVote(incarnation, watch, now, out);
    }
    retireMembers(now, out);
    appendSnapshotIfDue(now, out);
}

void Membership::sendHeartbeat(Incarnation to, Watch &watch, TimePoint now, Outbox &out)
{
    if (watch.isFed) {
        sendFeed(to, watch, now, out);
        return;
    }
    watch.onSent(now);
    out.send(to, Probe{});
}

// Sends the records from the last acknowledged offset on, so that the agent never sees a gap, or a
// snapshot if those records are not kept any more. The feed is empty until the agent's first
// acknowledgement tells its offset, and while there is nothing new.
void Membership::sendFeed(Incarnation to, Watch &watch, TimePoint now, Outbox &out)
{
    watch.onSent(now);
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
    // The record at the acknowledged offset is missing here if m_recent was trimmed, or was cleared
    // when the ledger was restored from a snapshot. A malformed record in the log leaves no gap: it
    // is kept as a MalformedRecord at its offset.
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

// Votes against a member that has been silent for SuspicionTime, and withdraws the vote once a
// message from it arrives. A member that another entry suspects is watched too, so that this entry
// can add its vote.
void Membership::updateVote(Incarnation subject, Watch &watch, TimePoint now, Outbox &out)
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

// Whether this entry has to act now on a duty that is due at `due`. The entry with the lowest
// incarnation acts at once, the other entries `takeoverDelay` later if the duty is still due.
bool Membership::isDutyDue(TimePoint due, TimePoint now, Duration takeoverDelay) const
{
    const std::vector<Incarnation> entries = m_ledger.upMembers(Role::Entry);
    if (std::find(entries.begin(), entries.end(), m_self) == entries.end())
        return false;
    return now >= due + (entries.front() == m_self ? Duration::zero() : takeoverDelay);
}

// Retires the members that have been gone for longer than any job that they know of can matter.
void Membership::retireMembers(TimePoint now, Outbox &out)
{
    if (!m_isLogReachable)
        return;
    // A home that is cut off from the log accepts new jobs for one id_memory more, see
    // ShardOwnership::setLogContact(), and each of them must be remembered for another id_memory.
    const Duration memory = 2 * m_ledger.fleetConfig().idMemory + RetireMargin;
    for (auto &[incarnation, since] : m_goneSince) {
        if (!isDutyDue(since + memory, now, RetireTakeover))
            continue;
        since = now; // appends again after the same time if this record has no effect
        out.add(Append{Record{nextAppendId("retire"), RetireRecord{incarnation}}});
    }
}

void Membership::appendSnapshotIfDue(TimePoint now, Outbox &out)
{
    if (!m_pendingSnapshot.empty()) {
        if (!m_ledger.hasAppend(m_pendingSnapshot))
            return;
        m_pendingSnapshot.clear();
    }
    if (m_lastSnapshotAt == TimePoint{})
        m_lastSnapshotAt = now; // a new process does not know the age of the last snapshot
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
