// An entry's part in keeping the fleet's membership: feeds to the agents, detection of failed
// processes by votes in the log, retirement of forgotten ones, and snapshots of the ledger.

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

class Membership
{
public:
    // `logRetention`: how long the log keeps a record.
    Membership(Incarnation self, const Ledger &ledger, Duration logRetention);

    // Commands
    // Records that the ledger has just applied, in order.
    void onRecords(std::span<const LogRecord> records, const LedgerChanges &changes, TimePoint now,
                   Outbox &out);
    // The ledger has been restored from a snapshot.
    void onRestored(TimePoint now);
    void onPeerActivity(Incarnation from, TimePoint now); // any message is a sign of life
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // A read of the log begins, and has later returned the end of the log.
    void onLogReadStarted();
    void onLogEndRead();
    void setLogReachable(bool isReachable, TimePoint now); // nobody is suspected during an outage
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const { return m_nextTick; }
    Incarnation feederOf(Incarnation agent) const; // 0 without an up entry

private:
    // What this entry knows at first hand of one other member that is up.
    struct Watch
    {
        bool isFed = false;     // by this entry
        bool isWatched = false; // fed, an entry, or suspected by anyone
        TimePoint lastHeard;
        TimePoint unansweredSince = NeverTime; // the first message after lastHeard
        TimePoint nextSend;
        TimePoint votedAt = NeverTime;  // of this entry's last suspicion
        std::string pendingVote;        // append id of a vote that the ledger does not show yet
        std::optional<LogOffset> acked; // the agent has applied every offset below
        bool isFeedInFlight = false;
        // The agent's newest stamp, the one held when the current read of the log began, and the
        // one held when the newest completed read began.
        std::uint64_t stamp = 0;
        std::uint64_t readingStamp = 0;
        std::uint64_t confirmedStamp = 0;

        void noteSent(TimePoint now);
    };

    void refreshWatches(TimePoint now);
    void restartSilence(TimePoint now);
    bool isDutyDue(TimePoint due, TimePoint now, Duration patience) const;
    void contact(Incarnation to, Watch &watch, TimePoint now, Outbox &out);
    void feed(Incarnation to, Watch &watch, TimePoint now, Outbox &out);
    void vote(Incarnation subject, Watch &watch, TimePoint now, Outbox &out);
    void retire(TimePoint now, Outbox &out);
    void writeSnapshot(TimePoint now, Outbox &out);
    const SnapshotRecord &currentSnapshot();
    std::string nextAppendId(const char *kind);

    Incarnation m_self;
    const Ledger &m_ledger;
    Duration m_logRetention;
    std::map<Incarnation, Watch> m_watches;       // every other member that is up
    std::map<Incarnation, TimePoint> m_goneSince; // down or left members, as seen here
    std::deque<LogRecord> m_recent;               // the newest records, for feeds
    std::size_t m_recentBytes = 0;
    std::optional<SnapshotRecord> m_snapshot; // cached for agents that are far behind
    std::uint64_t m_recordsSinceSnapshot = 0;
    TimePoint m_lastSnapshotAt{};
    std::string m_pendingSnapshot; // append id of a snapshot that the ledger does not show yet
    bool m_isLogReachable = true;
    TimePoint m_lastTick{};
    TimePoint m_nextTick{};
    std::uint64_t m_appends = 0;
};

} // namespace cactuscove
