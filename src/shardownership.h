// The shards that an agent is the home of: claims of shards without a home, the witness round after
// a takeover, and planned transfers to other agents.
//
// The ledger has at most one home for each epoch of a shard (rule R1). A home may take a job as new
// only if it knows every job that earlier homes of the shard may have accepted. It learns of them
// in a witness round, in which it asks the members that were registered before its claim (rule R5),
// or from the previous home in a transfer.

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

// What this agent knows of the jobs of a shard.
enum class ShardKnowledge {
    NotHome,      // another process, or none, is the home
    Asking,       // the witness round is still running
    Complete,     // a job that is not known here is new
    Incomplete,   // the round ended without all answers, so an unknown job may be old
    Transferring, // being transferred to another agent; takes no new jobs
};

// What a transfer needs to know of the jobs of a shard. Implemented by JobHome.
class ShardJobs
{
public:
    virtual ~ShardJobs() = default;
    virtual bool hasJobsInProgress(ShardId shard) const = 0; // jobs that are not answered
    // The answered jobs of the shard that are not forgotten.
    virtual std::vector<TransferredJob> answeredJobs(ShardId shard, TimePoint now) const = 0;
};

// The answered jobs of a shard that this agent has become the home of by a transfer.
struct ReceivedShard
{
    ShardClaim claim;
    std::vector<TransferredJob> jobs; // their ages are as of arrivedAt
    TimePoint arrivedAt;
};

// The agent node owns this object and passes it every event before JobHome sees it.
class ShardOwnership
{
public:
    // `ledger` must outlive this object.
    ShardOwnership(Incarnation self, const Ledger &ledger);

    // Commands
    void setJobs(const ShardJobs *jobs) { m_jobs = jobs; } // once, before any event
    // Handles Witness and the messages of transfers; ignores other messages.
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);
    // Starts to transfer every shard and claims no more; for the shutdown of the agent.
    void beginLeaving(TimePoint now, Outbox &out);
    // The ledger is known to contain everything that the log held at `contact`. If that is longer
    // than id_memory ago, this home takes no new jobs: by then the other members may have retired
    // it as a witness, so that a later home would not ask for the jobs accepted here (rule R8).
    void setLogContact(TimePoint contact, TimePoint now);
    // The jobs of shards that were transferred to this agent since the last call.
    std::vector<ReceivedShard> takeReceivedShards();

    // Queries
    TimePoint nextTimer() const; // when onTimer() is due
    ShardKnowledge knowledge(ShardId shard) const;
    Epoch epoch(ShardId shard) const; // of a shard that this agent is the home of, else 0
    // Every witness that is up has answered, or the time limit of the witness round has passed.
    bool isRoundOver(ShardId shard) const;
    // What witnesses have reported of a job of an earlier home; null if none has reported the key.
    const WitnessedJob *reportedJob(const KeyHash &key) const;
    // No shard can be transferred any more: those that are left are not known completely, or no
    // other agent is up.
    bool hasNothingToTransfer() const;

private:
    // Transfers that are acknowledged within this time of each other are claimed with one append.
    static constexpr Duration ClaimBatchDelay = std::chrono::milliseconds(20);

    enum class TransferStage {
        Draining,     // the shard takes no new jobs and waits for the end of those in progress
        Sending,      // the jobs are sent, repeatedly, until the receiver acknowledges them
        Acknowledged, // waits, so that one append can claim several shards
        // The claim for the receiver is appended. If that takes too long, the receiver is asked to
        // forget the transfer: a claim that takes effect later then does no harm.
        Claiming
    };

    struct Transfer
    {
        Incarnation to;
        TransferStage stage = TransferStage::Draining;
        TimePoint since; // start of the stage
        // Next check of the jobs in progress, TransferShard or TransferCancel.
        TimePoint nextStep;
        std::string claimAppendId{}; // Claiming
    };

    struct OwnedShard
    {
        Epoch epoch;
        ShardKnowledge knowledge = ShardKnowledge::Asking; // never NotHome or Transferring
        TimePoint roundEnd = NeverTime;                    // time limit of the witness round
        TimePoint nextStartEpoch = NeverTime; // NeverTime if no answer is needed any more
        bool isRoundOver = false;
        std::set<Incarnation> answered; // subjects whose Witness has arrived
        std::optional<Transfer> transfer;
        // Have forgotten a transfer at this epoch and ignore others at it.
        std::set<Incarnation> cancelledReceivers;
    };

    struct ReportedJob
    {
        WitnessedJob job; // the reports of all witnesses, merged
        TimePoint at;     // of the newest report
    };

    // What a previous home has sent for a shard, until the claim for this agent is in the ledger.
    struct IncomingTransfer
    {
        Incarnation from;
        ShardClaim claim;
        std::map<JobKey, TransferredJob> jobs;
        std::vector<WitnessedJob> witnessed;
        TimePoint arrivedAt; // of the first message for this claim
    };

    void onWitness(const Witness &witness, TimePoint now);
    void onTransferShard(Incarnation from, const TransferShard &message, TimePoint now,
                         Outbox &out);
    void onTransferAck(Incarnation from, const TransferAck &ack, TimePoint now);
    void onTransferCancel(Incarnation from, const TransferCancel &message, Outbox &out);
    void onTransferCancelled(Incarnation from, const TransferCancelled &message, TimePoint now,
                             Outbox &out);
    void syncShard(ShardId shard, TimePoint now);
    void acquire(ShardId shard, TimePoint now);
    void importTransfer(ShardId shard, IncomingTransfer incoming, TimePoint now);
    void updateKnowledge(ShardId shard, OwnedShard &owned, TimePoint now);
    void claimShards(TimePoint now, Outbox &out);
    void sendStartEpochs(TimePoint now, Outbox &out);
    void planTransfers(TimePoint now);
    void advanceTransfers(TimePoint now, Outbox &out);
    void sendTransfer(ShardId shard, OwnedShard &owned, TimePoint now, Outbox &out) const;
    void claimForReceivers(TimePoint now, Outbox &out);
    void addReport(const WitnessedJob &job, TimePoint now);
    void forgetExpired(TimePoint now);
    std::optional<Incarnation> receiverFor(ShardId shard,
                                           const std::map<Incarnation, std::size_t> &load,
                                           std::size_t limit) const;
    std::string nextAppendId();

    Incarnation m_self;
    const Ledger &m_ledger;
    const ShardJobs *m_jobs = nullptr;
    std::map<ShardId, OwnedShard> m_owned; // exactly the shards whose home is self in the ledger
    std::unordered_map<KeyHash, ReportedJob> m_reported; // by witnesses, for shards in m_owned
    std::map<ShardId, IncomingTransfer> m_incoming;      // not yet claimed for self in the ledger
    // The newest epoch of each shard for which a transfer to self was cancelled.
    std::map<ShardId, Epoch> m_cancelled;
    std::vector<ReceivedShard> m_received; // for takeReceivedShards()
    struct PendingClaim
    {
        Epoch epoch;
        std::string appendId;
    };
    std::map<ShardId, PendingClaim> m_pendingClaims; // appended, not yet in the ledger
    TimePoint m_registeredAt = NeverTime;            // when the ledger first had self
    TimePoint m_nextPlan = NeverTime;
    TimePoint m_nextForget{};
    TimePoint m_logContact{};        // see setLogContact()
    TimePoint m_cancelledAt{};       // of the newest transfer of self that was cancelled
    std::uint64_t m_appendCount = 0; // makes append ids unique
    bool m_isLeaving = false;
    bool m_isOutOfContact = false; // with the log, see setLogContact()
};

} // namespace cactuscove
