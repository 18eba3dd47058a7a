// Executor side of an agent: the last check before a task starts on the upstream (rules R2, R4, R6,
// R10). Remembers what it started, refuses stale epochs, keeps reservations and offers free slots.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"
#include "upstreamregistry.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cactuscove {

class TaskExecutor
{
public:
    // `ledger` and `upstreams` belong to the agent node and outlive the executor.
    TaskExecutor(Incarnation self, const Ledger &ledger, UpstreamRegistry &upstreams);

    // Commands
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // Result of a StartOnUpstream effect.
    void onUpstreamResult(const TaskRef &ref, std::uint32_t attempt, TaskResult result,
                          TimePoint now, Outbox &out);
    void onUpstreamChange(UpstreamRegistry::Change change, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    // Refuses new starts; running ones go on.
    void beginDraining(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isIdle() const; // nothing runs and every result is acknowledged
    LoadDigest load() const;
    // What it knows of a shard at epochs lower than the claimed one, and the fence it now keeps.
    std::vector<WitnessedJob> witnessed(ShardId shard, Epoch below) const;
    std::vector<AdoptedJob> memory(TimePoint now) const;
    Epoch fence(ShardId shard) const;
};

} // namespace cactuscove
