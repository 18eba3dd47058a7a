// Transfers of shards to other homes: planning, sending, and the claims for their receivers.

#include "shardownership.h"

#include <algorithm>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t TransfersPerInterval = 64;
// A shard takes no new jobs while it drains, so a transfer for rebalancing is given up if the jobs
// in progress take longer than this. A home that leaves the fleet waits for these jobs without a
// limit.
constexpr Duration DrainLimit = 3s;
constexpr Duration DrainPollInterval = 50ms;
constexpr Duration TransferRepeatInterval = 500ms;
constexpr Duration TransferLimit = 5s;
// A claim that is not in the log after this time is not waited for.
constexpr Duration ClaimLimit = 2s;

} // namespace

void ShardOwnership::onTransferShard(Incarnation from, const TransferShard &message, TimePoint now,
                                     Outbox &out)
{
    const ShardClaim &claim = message.claim;
    const Epoch current = m_ledger.shard(claim.shard).epoch;
    if (current >= claim.epoch) {
        if (epoch(claim.shard) == claim.epoch)
            out.send(from, TransferAck{claim}); // a copy that arrives after the claim
        return;
    }
    const auto cancelled = m_cancelled.find(claim.shard);
    // Without an acknowledgement the sender chooses another receiver.
    if (m_isLeaving || (cancelled != m_cancelled.end() && cancelled->second >= claim.epoch))
        return;
    IncomingTransfer &incoming = m_incoming[claim.shard];
    if (incoming.claim.epoch < claim.epoch)
        incoming = {from, claim, {}, {}, now};
    else if (incoming.claim.epoch > claim.epoch)
        return;
    // The sender may have undone an earlier transfer, accepted jobs and started another one, and
    // the messages may arrive in any order. So their jobs are merged; an answer of not_run is
    // replaced by any answer to the same job that arrives later.
    for (const TransferredJob &job : message.jobs) {
        TransferredJob aged = job;
        aged.age -= std::chrono::duration_cast<Duration>(now - incoming.arrivedAt);
        const auto [it, isNew] = incoming.jobs.try_emplace(job.key, aged);
        if (!isNew && it->second.answer.outcome == Outcome::NotRun)
            it->second = std::move(aged);
    }
    incoming.witnessed.insert(incoming.witnessed.end(), message.witnessed.begin(),
                              message.witnessed.end());
    out.send(from, TransferAck{claim});
}

void ShardOwnership::onTransferAck(Incarnation from, const TransferAck &ack, TimePoint now)
{
    const auto it = m_owned.find(ack.claim.shard);
    if (it == m_owned.end() || it->second.epoch.value + 1 != ack.claim.epoch.value)
        return;
    std::optional<Transfer> &transfer = it->second.transfer;
    if (!transfer || transfer->to != from || transfer->stage != TransferStage::Sending)
        return;
    transfer->stage = TransferStage::Acknowledged;
    transfer->since = now;
}

// From then on the sender may accept jobs that were not transferred.
void ShardOwnership::onTransferCancel(Incarnation from, const TransferCancel &message, Outbox &out)
{
    const ShardClaim &claim = message.claim;
    if (m_ledger.shard(claim.shard).epoch >= claim.epoch)
        return; // the claim has taken effect, as the sender will learn
    Epoch &cancelled = m_cancelled[claim.shard];
    cancelled = std::max(cancelled, claim.epoch);
    const auto it = m_incoming.find(claim.shard);
    if (it != m_incoming.end() && it->second.claim.epoch <= claim.epoch)
        m_incoming.erase(it);
    out.send(from, TransferCancelled{claim});
}

void ShardOwnership::onTransferCancelled(Incarnation from, const TransferCancelled &message,
                                         TimePoint now, Outbox &out)
{
    const auto it = m_owned.find(message.claim.shard);
    if (it == m_owned.end() || it->second.epoch.value + 1 != message.claim.epoch.value)
        return;
    std::optional<Transfer> &transfer = it->second.transfer;
    if (!transfer || transfer->to != from || transfer->stage != TransferStage::Claiming)
        return;
    const std::string appendId = transfer->claimAppendId;
    transfer.reset();
    it->second.cancelledReceivers.insert(from);
    m_cancelledAt = now;
    const bool isNeeded = std::ranges::any_of(m_owned, [&](const auto &other) {
        return other.second.transfer && other.second.transfer->claimAppendId == appendId;
    });
    if (!isNeeded)
        out.add(WithdrawAppend{appendId});
}

void ShardOwnership::importTransfer(ShardId shard, IncomingTransfer incoming, TimePoint now)
{
    ReceivedShard received{{shard, incoming.claim.epoch}, {}, incoming.arrivedAt};
    for (auto &[key, job] : incoming.jobs)
        received.jobs.push_back(std::move(job));
    for (const WitnessedJob &job : incoming.witnessed)
        addReport(job, now);
    m_received.push_back(std::move(received));
}

// Chooses the shards to transfer and their receivers: all shards if this agent is leaving, else
// those beyond a fair share.
void ShardOwnership::planTransfers(TimePoint now)
{
    std::map<Incarnation, std::size_t> load;
    for (const Incarnation agent : m_ledger.upMembers(Role::Agent)) {
        if (agent != m_self)
            load[agent] = m_ledger.shardsOf(agent).size();
    }
    if (load.empty() || !m_ledger.isUp(m_self))
        return;
    // The log was away, and has not been heard of since.
    if (!m_isLeaving && m_cancelledAt != TimePoint{} && m_logContact <= m_cancelledAt)
        return;
    const std::size_t fairShare = (ShardCount + load.size()) / (load.size() + 1);
    std::size_t kept = 0;
    for (const auto &[shard, owned] : m_owned) {
        if (owned.transfer)
            ++load[owned.transfer->to];
        else
            ++kept;
    }
    const std::size_t excess = m_isLeaving ? kept : kept - std::min(kept, fairShare);
    const std::size_t limit = m_isLeaving ? ShardCount : fairShare;
    std::size_t planned = 0;
    // Shards without jobs in progress come first, because they need not drain and so refuse new
    // jobs only for the short time of the transfer.
    for (const bool wantIdle : {true, false}) {
        for (auto &[shard, owned] : m_owned) {
            if (planned >= excess || (!m_isLeaving && planned >= TransfersPerInterval))
                return;
            if (owned.transfer || owned.knowledge != ShardKnowledge::Complete
                || (wantIdle && m_jobs != nullptr && m_jobs->hasJobsInProgress(shard)))
                continue;
            const auto to = receiverFor(shard, load, limit);
            if (!to)
                return;
            if (owned.cancelledReceivers.contains(*to))
                continue;
            ++load[*to];
            ++planned;
            owned.transfer = Transfer{*to, TransferStage::Draining, now, now, {}};
        }
    }
}

// Moves each transfer to its next stage, repeats its messages, or gives it up.
void ShardOwnership::advanceTransfers(TimePoint now, Outbox &out)
{
    for (auto &[shard, owned] : m_owned) {
        if (!owned.transfer)
            continue;
        Transfer &transfer = *owned.transfer;
        if (transfer.stage == TransferStage::Draining) {
            if (m_jobs == nullptr || !m_jobs->hasJobsInProgress(shard)) {
                transfer.stage = TransferStage::Sending;
                transfer.since = now;
                transfer.nextStep = now;
            } else if (!m_isLeaving && now >= transfer.since + DrainLimit) {
                owned.transfer.reset();
                continue;
            } else {
                transfer.nextStep = now + DrainPollInterval;
            }
        }
        if (transfer.stage == TransferStage::Sending && transfer.nextStep <= now) {
            if (now >= transfer.since + TransferLimit) {
                owned.transfer.reset();
                continue;
            }
            transfer.nextStep = now + TransferRepeatInterval;
            sendTransfer(shard, owned, now, out);
        }
        if (transfer.stage == TransferStage::Claiming && transfer.nextStep <= now) {
            transfer.nextStep = now + TransferRepeatInterval;
            if (!m_isLeaving) // a home that leaves has no use for the shard
                out.send(transfer.to, TransferCancel{{shard, Epoch{owned.epoch.value + 1}}});
        }
    }
    claimForReceivers(now, out);
}

void ShardOwnership::sendTransfer(ShardId shard, OwnedShard &owned, TimePoint now,
                                  Outbox &out) const
{
    TransferShard message{{shard, Epoch{owned.epoch.value + 1}}, {}, {}};
    if (m_jobs != nullptr)
        message.jobs = m_jobs->answeredJobs(shard, now);
    for (const auto &[key, reported] : m_reported) {
        if (shardOf(key) == shard)
            message.witnessed.push_back(reported.job);
    }
    out.send(owned.transfer->to, std::move(message));
}

// Appends the claims of acknowledged transfers in the name of their receivers. From then on such a
// transfer can be undone only with the consent of the receiver, because the append may take effect
// late.
void ShardOwnership::claimForReceivers(TimePoint now, Outbox &out)
{
    std::map<Incarnation, std::vector<ShardClaim>> claims;
    for (auto &[shard, owned] : m_owned) {
        if (!owned.transfer || owned.transfer->stage != TransferStage::Acknowledged
            || now < owned.transfer->since + ClaimBatchDelay)
            continue;
        owned.transfer->stage = TransferStage::Claiming;
        owned.transfer->since = now;
        owned.transfer->nextStep = now + ClaimLimit;
        claims[owned.transfer->to].push_back({shard, Epoch{owned.epoch.value + 1}});
    }
    for (auto &[to, list] : claims) {
        const std::string appendId = nextAppendId();
        for (const ShardClaim &claim : list)
            m_owned.at(claim.shard).transfer->claimAppendId = appendId;
        out.add(Append{Record{appendId, ClaimRecord{to, std::move(list), true}}});
    }
}

} // namespace cactuscove
