// What one entry does for the membership of the fleet: it feeds log records to agents, votes for
// failed processes to be declared down, retires members that are no longer needed as witnesses, and
// appends snapshots of the ledger to the log.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace cactuscove {

// The entry node owns this object. Each agent is fed by exactly one of the entries that are up.
class Membership
{
public:
    // `ledger` must outlive this object. `logRetention`: how long the log keeps a record.
    Membership(Incarnation self, const Ledger &ledger, Duration logRetention);

    // Commands
    // The ledger has just applied these records, in order.
    void onRecords(std::span<const LogRecord> records, const LedgerChanges &changes, TimePoint now,
                   Outbox &out);
    // The ledger has been restored from a snapshot.
    void onRestored(TimePoint now);
    // An envelope has arrived. Every envelope shows that its sender is alive.
    void onPeerActivity(Incarnation from, TimePoint now);
    // Handles Probe and FeedAck; ignores other messages.
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // A read of the log begins.
    void onLogReadStarted();
    // A read has returned all records up to the end of the log.
    void onLogEndRead();
    // While the log is unreachable nobody is suspected and nothing is appended.
    void setLogReachable(bool isReachable, TimePoint now);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const { return m_nextTick; } // when onTimer() is due
    // The entry that feeds the agent; 0 if no entry is up.
    Incarnation feederOf(Incarnation agent) const;

private:
    // What this entry itself has observed of another member that is up.
    struct Watch
    {
        bool isFed = false;     // by this entry
        bool isWatched = false; // gets heartbeats: fed, an entry, or suspected by anyone
        TimePoint lastHeard;
        TimePoint unansweredSince = NeverTime; // first message sent to it after lastHeard
        TimePoint nextSend;                    // of a heartbeat
        TimePoint votedAt = NeverTime;         // this entry's last vote against it
        std::string pendingVote; // append id of a vote or its withdrawal, until the ledger has it
        std::optional<LogOffset> acked; // the agent has applied every offset below; empty: unknown
        bool isFeedInFlight = false;    // not acknowledged yet
        // FeedAck::stamp of the agent, in microseconds of its clock: the newest one, the one held
        // when the current read of the log began, and the one held when the newest completed read
        // began. At the agent's time confirmedStamp the log held nothing that this entry has not
        // read.
        std::uint64_t stamp = 0;
        std::uint64_t readingStamp = 0;
        std::uint64_t confirmedStamp = 0;

        void onSent(TimePoint now);
    };

    void refreshWatches(TimePoint now);
    void restartSilenceTimers(TimePoint now);
    bool isDutyDue(TimePoint due, TimePoint now, Duration takeoverDelay) const;
    void sendHeartbeat(Incarnation to, Watch &watch, TimePoint now, Outbox &out);
    void sendFeed(Incarnation to, Watch &watch, TimePoint now, Outbox &out);
    void updateVote(Incarnation subject, Watch &watch, TimePoint now, Outbox &out);
    void retireMembers(TimePoint now, Outbox &out);
    void appendSnapshotIfDue(TimePoint now, Outbox &out);
    const SnapshotRecord &currentSnapshot();
    std::string nextAppendId(const char *kind);

    Incarnation m_self;
    const Ledger &m_ledger;
    Duration m_logRetention;
    std::map<Incarnation, Watch> m_watches;       // every other member that is up
    std::map<Incarnation, TimePoint> m_goneSince; // when this entry saw a member down or leave
    std::deque<LogRecord> m_recent;               // the newest records, for feeds
    std::size_t m_recentBytes = 0;                // of m_recent, estimated
    std::optional<SnapshotRecord> m_snapshot;     // cached for agents that are far behind
    std::uint64_t m_recordsSinceSnapshot = 0;
    TimePoint m_lastSnapshotAt{};  // when the last snapshot record was read; 0 if unknown
    std::string m_pendingSnapshot; // append id of a snapshot, until the ledger has it
    bool m_isLogReachable = true;
    TimePoint m_lastTick{};
    TimePoint m_nextTick{};
    std::uint64_t m_appends = 0; // makes append ids unique
};

} // namespace cactuscove
