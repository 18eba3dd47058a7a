// Hands the memory of a leaving entry to another entry, its heir, in bounded parts. It is complete
// once the heir has acknowledged every part.

#pragma once

#include "jobrouter.h"
#include "ledger.h"
#include "outbox.h"
#include "types.h"

#include <map>
#include <set>

namespace cactuscove {

class MemoryHandover
{
public:
    MemoryHandover(Incarnation self, const Ledger &ledger, const JobRouter &router);

    // Commands
    void start(TimePoint now, Outbox &out);
    void onAck(Incarnation from, const AdoptAck &ack, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const { return m_nextSend; }
    bool isComplete() const { return m_isStarted && m_nextShard == ShardCount && m_parts.empty(); }
    Incarnation heir() const { return m_heir; } // 0 if no other entry is up

private:
    void chooseHeir(TimePoint now, Outbox &out);
    void fillWindow(TimePoint now, Outbox &out);
    void giveUp();

    Incarnation m_self;
    const Ledger &m_ledger;
    const JobRouter &m_router;
    bool m_isStarted = false;
    Incarnation m_heir;
    std::set<Incarnation> m_silent; // former heirs that did not answer
    std::uint16_t m_nextShard = 0;
    std::uint32_t m_nextPart = 0;                  // never reused, also for another heir
    std::map<std::uint32_t, AdoptWitness> m_parts; // sent and not acknowledged
    TimePoint m_nextSend = NeverTime;
    TimePoint m_lastAck{};
    TimePoint m_end = NeverTime;
};

} // namespace cactuscove
