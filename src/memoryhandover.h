// Hands the remembered job keys of an entry that shuts down to another entry, its successor, which
// then reports them to later homes in its place.

#pragma once

#include "jobrouter.h"
#include "ledger.h"
#include "outbox.h"
#include "types.h"

#include <map>
#include <set>

namespace cactuscove {

// Owned by the entry node, which starts it during a shutdown and appends the leave record once it
// is complete. The keys are sent in parts of bounded size, a few at a time, and each part is
// repeated until the successor acknowledges it.
class MemoryHandover
{
public:
    // `ledger` and `router` must outlive this object.
    MemoryHandover(Incarnation self, const Ledger &ledger, const JobRouter &router);

    // Commands
    void start(TimePoint now, Outbox &out); // once, when the entry takes no more jobs
    void onAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const { return m_nextSend; } // when onTimer() is due
    // The successor has acknowledged every part, or no successor could be found in time.
    bool isComplete() const { return m_isStarted && m_nextShard == ShardCount && m_parts.empty(); }
    Incarnation successor() const { return m_successor; } // 0 if there is none

private:
    void chooseSuccessor(TimePoint now, Outbox &out);
    void sendNextParts(TimePoint now, Outbox &out);
    void giveUp();

    Incarnation m_self;
    const Ledger &m_ledger;
    const JobRouter &m_router;
    bool m_isStarted = false;
    Incarnation m_successor;
    std::set<Incarnation> m_silentSuccessors; // earlier successors that did not acknowledge in time
    std::uint16_t m_nextShard = 0; // first shard whose keys were not sent; ShardCount if none
    std::uint32_t m_nextPart = 0;  // part numbers are never reused, not even for another successor
    std::map<std::uint32_t, AdoptWitness> m_parts; // sent and not acknowledged, by number
    TimePoint m_nextSend = NeverTime;              // of the parts that are not acknowledged
    TimePoint m_lastAck{};                         // or when the successor was chosen
    TimePoint m_giveUpAt = NeverTime;
};

} // namespace cactuscove
