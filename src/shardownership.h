// Which shards this agent is the home of, and whether it knows them completely (rules R1, R5):
// claims, the witness round after a takeover, and planned transfers.

#pragma once

#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <map>
#include <optional>
#include <set>
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

// What a transfer needs to know of the jobs of a shard.
class ShardJobs
{
public:
    virtual ~ShardJobs() = default;
    virtual bool hasJobsInProgress(ShardId shard) const = 0;
    virtual std::vector<TransferredJob> table(ShardId shard, TimePoint now) const = 0;
};

// A table that came with a shard, for the new home's job state.
struct ReceivedShard
{
    ShardClaim claim;
    std::vector<TransferredJob> jobs;
    TimePoint arrivedAt;
};

class ShardOwnership
{
public:
    // `ledger` outlives this object.
    ShardOwnership(Incarnation self, const Ledger &ledger);

    // Commands
    void setJobs(const ShardJobs *jobs) { m_jobs = jobs; }
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    void beginLeaving(TimePoint now, Outbox &out); // transfers every shard
    // The ledger is known to hold all that the log held at `contact`. After id_memory without
    // contact this home takes no new job: by then others may have forgotten it (rule R8).
    void setLogContact(TimePoint contact, TimePoint now);
    std::vector<ReceivedShard> takeReceivedShards();

    // Queries
    TimePoint nextTimer() const;
    ShardKnowledge knowledge(ShardId shard) const;
    Epoch epoch(ShardId shard) const; // of a shard that this agent is the home of, else 0
    // Every witness that can answer has answered, or the time of the round is over.
    bool isRoundOver(ShardId shard) const;
    // What witnesses said of a key that this home has not accepted itself.
    const WitnessedJob *witnessed(const KeyHash &key) const;
    // No shard is left that could be transferred.
    bool hasNothingToTransfer() const;

private:
    enum class MoveStage { Draining, Sending, Acknowledged, Claiming };

    struct Move
    {
        Incarnation to;
        MoveStage stage = MoveStage::Draining;
        TimePoint since;    // of the stage
        TimePoint nextStep; // next look at the jobs in progress, or next TransferShard
    };

    struct Owned
    {
        Epoch epoch;
        ShardKnowledge knowledge = ShardKnowledge::Asking; // never NotHome or Moving
        TimePoint roundEnd = NeverTime;                    // of the witness round
        TimePoint nextRaise = NeverTime;
        bool isRoundOver = false;
        std::set<Incarnation> answered; // subjects whose memory is known
        std::optional<Move> move;
    };

    struct Remembered
    {
        WitnessedJob job;
        TimePoint at;
    };

    struct IncomingTable
    {
        Incarnation from;
        ShardClaim claim;
        std::map<JobKey, TransferredJob> jobs;
        std::vector<WitnessedJob> witnessed;
        TimePoint arrivedAt;
    };

    void onWitness(const Witness &witness, TimePoint now);
    void onTransferShard(Incarnation from, const TransferShard &message, TimePoint now,
                         Outbox &out);
    void onTransferAck(Incarnation from, const TransferAck &ack, TimePoint now);
    void syncShard(ShardId shard, TimePoint now);
    void acquire(ShardId shard, TimePoint now);
    void adoptTable(ShardId shard, IncomingTable table, TimePoint now);
    void assess(ShardId shard, Owned &owned, TimePoint now);
    void claimShards(TimePoint now, Outbox &out);
    void sendRaises(TimePoint now, Outbox &out);
    void planMoves(TimePoint now);
    void driveMoves(TimePoint now, Outbox &out);
    void sendTransfer(ShardId shard, Owned &owned, TimePoint now, Outbox &out) const;
    void claimForReceivers(TimePoint now, Outbox &out);
    void remember(const WitnessedJob &job, TimePoint now);
    void forgetExpired(TimePoint now);
    std::optional<Incarnation> receiverFor(ShardId shard,
                                           const std::map<Incarnation, std::size_t> &load,
                                           std::size_t limit) const;
    std::string nextAppendId();

    Incarnation m_self;
    const Ledger &m_ledger;
    const ShardJobs *m_jobs = nullptr;
    std::map<ShardId, Owned> m_owned; // exactly the shards whose home is self in the ledger
    std::unordered_map<KeyHash, Remembered> m_witnessed;
    std::map<ShardId, IncomingTable> m_incoming; // announced, not yet claimed for self
    std::vector<ReceivedShard> m_arrived;
    struct PendingClaim
    {
        Epoch epoch;
        std::string appendId;
    };
    std::map<ShardId, PendingClaim> m_pendingClaims;
    TimePoint m_registeredAt = NeverTime;
    TimePoint m_nextPlan = NeverTime;
    TimePoint m_nextForget{};
    std::uint64_t m_appendCount = 0;
    bool m_leaving = false;
    bool m_isOutOfContact = false; // with the log
};

} // namespace cactuscove
