// Which shards this agent is the home of, and whether it knows them completely (rules R1, R5):
// claims, the witness round after a takeover, and planned transfers.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace cactuscove {

enum class ShardKnowledge {
    NotHome,    // another process, or nobody, owns the shard
    Asking,     // the witness round is still within its time
    Complete,   // an id that is not known here is new
    Incomplete, // the round has ended without a complete set; unseen ids are unknown
    Moving,     // being transferred away; no new jobs
};

class ShardOwnership
{
public:
    ShardOwnership(Incarnation self, const Ledger &ledger);

    // Commands
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginLeaving(TimePoint now, Outbox &out); // transfers every shard

    // Queries
    TimePoint nextTimer() const;
    ShardKnowledge knowledge(ShardId shard) const;
    // What witnesses said of a key that this home has not accepted itself.
    const WitnessedJob *witnessed(const KeyHash &key) const;
    bool ownsNothing() const;
};

} // namespace cactuscove
