// Claims of shards by rendezvous hashing, and the witness round.

#include "shardownership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// From an agent's registration to its first claims, so that the agents of a fleet that starts
// together are all registered and share the shards evenly.
constexpr Duration ClaimDelay = 1s;

constexpr Duration WitnessRoundTime = 2s;
constexpr Duration StartEpochInterval = 400ms;
// A witness that is missing at the end of the round may come back at any time, so the home goes on
// asking, at a low rate.
constexpr Duration LateStartEpochInterval = 5s;

constexpr Duration PlanInterval = 1s;
constexpr Duration ForgetInterval = 10s;

std::uint64_t rendezvousWeight(Incarnation agent, ShardId shard)
{
    const std::array<std::uint64_t, 2> input{agent.value, shard.value};
    return XXH3_64bits(input.data(), sizeof(input));
}

std::optional<Incarnation> highestWeighted(std::span<const Incarnation> agents, ShardId shard)
{
    std::optional<Incarnation> best;
    std::pair<std::uint64_t, Incarnation> bestWeight;
    for (const Incarnation it : agents) {
        const std::pair weight{rendezvousWeight(it, shard), it};
        if (!best || weight > bestWeight) {
            best = it;
            bestWeight = weight;
        }
    }
    return best;
}

// Adds what another witness reports of the same job. A later report of a task replaces an earlier
// one, unless the earlier one has a completed result.
void merge(WitnessedJob &into, const WitnessedJob &from)
{
    if (into.contentHash == 0)
        into.contentHash = from.contentHash;
    if (into.taskCount == 0)
        into.taskCount = from.taskCount;
    for (const WitnessedTask &task : from.tasks) {
        const auto same = [&](const WitnessedTask &it) { return it.index == task.index; };
        const auto it = std::ranges::find_if(into.tasks, same);
        if (it == into.tasks.end())
            into.tasks.push_back(task);
        else if (it->result.status != TaskStatus::Completed)
            *it = task;
    }
}

} // namespace

ShardOwnership::ShardOwnership(Incarnation self, const Ledger &ledger)
    : m_self(self)
    , m_ledger(ledger)
{}

void ShardOwnership::onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *witness = std::get_if<Witness>(&message))
        onWitness(*witness, now);
    else if (const auto *transfer = std::get_if<TransferShard>(&message))
        onTransferShard(from, *transfer, now, out);
    else if (const auto *ack = std::get_if<TransferAck>(&message))
        onTransferAck(from, *ack, now);
    else if (const auto *cancel = std::get_if<TransferCancel>(&message))
        onTransferCancel(from, *cancel, out);
    else if (const auto *cancelled = std::get_if<TransferCancelled>(&message))
        onTransferCancelled(from, *cancelled, now, out);
}

void ShardOwnership::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    if (m_registeredAt == NeverTime && m_ledger.member(m_self) != nullptr) {
        m_registeredAt = now;
        m_nextPlan = now + ClaimDelay;
    }
    for (const ShardId shard : changes.shards)
        syncShard(shard, now);
    if (changes.members) {
        for (auto &[shard, owned] : m_owned) {
            // A transfer to a process that is gone cannot end. It can be undone until its claim is
            // appended.
            if (owned.transfer && owned.transfer->stage != TransferStage::Claiming
                && !m_ledger.isUp(owned.transfer->to))
                owned.transfer.reset();
            updateKnowledge(shard, owned, now);
        }
    }
    if (changes.members || !changes.shards.empty())
        claimShards(now, out);
    sendStartEpochs(now, out);
}

void ShardOwnership::onTimer(TimePoint now, Outbox &out)
{
    for (auto &[shard, owned] : m_owned) {
        if (owned.roundEnd <= now)
            updateKnowledge(shard, owned, now);
    }
    sendStartEpochs(now, out);
    if (m_nextPlan <= now) {
        m_nextPlan = now + PlanInterval;
        claimShards(now, out);
        planTransfers(now);
    }
    advanceTransfers(now, out);
    if (m_nextForget <= now) {
        m_nextForget = now + ForgetInterval;
        forgetExpired(now);
    }
}

void ShardOwnership::beginLeaving(TimePoint now, Outbox &out)
{
    m_isLeaving = true;
    planTransfers(now);
    advanceTransfers(now, out);
}

std::vector<ReceivedShard> ShardOwnership::takeReceivedShards()
{
    return std::exchange(m_received, {});
}

TimePoint ShardOwnership::nextTimer() const
{
    TimePoint next = m_nextPlan;
    for (const auto &[shard, owned] : m_owned) {
        next = std::min({next, owned.roundEnd, owned.nextStartEpoch});
        if (!owned.transfer)
            continue;
        switch (owned.transfer->stage) {
        case TransferStage::Draining:
        case TransferStage::Sending:
        case TransferStage::Claiming:
            next = std::min(next, owned.transfer->nextStep);
            break;
        case TransferStage::Acknowledged:
            next = std::min(next, owned.transfer->since + ClaimBatchDelay);
            break;
        }
    }
    return next;
}

void ShardOwnership::setLogContact(TimePoint contact, TimePoint now)
{
    m_logContact = contact;
    m_isOutOfContact = now - contact > m_ledger.fleetConfig().idMemory;
}

ShardKnowledge ShardOwnership::knowledge(ShardId shard) const
{
    const auto it = m_owned.find(shard);
    if (it == m_owned.end())
        return ShardKnowledge::NotHome;
    if (it->second.transfer)
        return ShardKnowledge::Transferring;
    return m_isOutOfContact ? ShardKnowledge::Incomplete : it->second.knowledge;
}

Epoch ShardOwnership::epoch(ShardId shard) const
{
    const auto it = m_owned.find(shard);
    return it == m_owned.end() ? Epoch{} : it->second.epoch;
}

bool ShardOwnership::isRoundOver(ShardId shard) const
{
    const auto it = m_owned.find(shard);
    return it != m_owned.end() && it->second.isRoundOver;
}

const WitnessedJob *ShardOwnership::reportedJob(const KeyHash &key) const
{
    const auto it = m_reported.find(key);
    return it == m_reported.end() ? nullptr : &it->second.job;
}

bool ShardOwnership::hasNothingToTransfer() const
{
    // A shard that is not known completely cannot be transferred: its next home has to ask the
    // witnesses.
    const auto canTransfer = [](const auto &it) {
        return it.second.transfer || it.second.knowledge == ShardKnowledge::Complete;
    };
    return std::ranges::none_of(m_owned, canTransfer)
           || m_ledger.upMembers(Role::Agent).size() <= 1;
}

void ShardOwnership::onWitness(const Witness &witness, TimePoint now)
{
    const auto isCurrent = [&](const ShardClaim &claim) {
        const auto it = m_owned.find(claim.shard);
        return it != m_owned.end() && it->second.epoch == claim.epoch;
    };
    for (const WitnessedJob &job : witness.jobs) {
        const ShardId shard = shardOf(job.key);
        const auto isForShard = [&](const ShardClaim &it) { return it.shard == shard; };
        const auto claim = std::ranges::find_if(witness.claims, isForShard);
        if (claim != witness.claims.end() && isCurrent(*claim))
            addReport(job, now);
    }
    for (const ShardClaim &claim : witness.claims) {
        if (!isCurrent(claim))
            continue;
        OwnedShard &owned = m_owned[claim.shard];
        owned.answered.insert(witness.subject);
        updateKnowledge(claim.shard, owned, now);
    }
}

// Follows a change of the shard's home or epoch in the ledger.
void ShardOwnership::syncShard(ShardId shard, TimePoint now)
{
    const ShardState &state = m_ledger.shard(shard);
    const auto owned = m_owned.find(shard);
    if (owned != m_owned.end() && (state.home != m_self || owned->second.epoch != state.epoch)) {
        m_owned.erase(owned);
        std::erase_if(m_reported, [&](const auto &it) { return shardOf(it.first) == shard; });
    }
    if (state.home == m_self && !m_owned.contains(shard))
        acquire(shard, now);
    if (const auto it = m_incoming.find(shard);
        it != m_incoming.end() && it->second.claim.epoch <= state.epoch)
        m_incoming.erase(it);
    if (const auto it = m_pendingClaims.find(shard);
        it != m_pendingClaims.end() && it->second.epoch <= state.epoch)
        m_pendingClaims.erase(it);
}

// Records that this agent is the new home of the shard. There is nothing to ask about a shard that
// had no home before, nor about one whose jobs the previous home has sent; otherwise the witness
// round begins.
void ShardOwnership::acquire(ShardId shard, TimePoint now)
{
    const ShardState &state = m_ledger.shard(shard);
    OwnedShard &owned = m_owned[shard];
    owned.epoch = state.epoch;
    if (state.epoch.value == 1) {
        owned.knowledge = ShardKnowledge::Complete;
        owned.isRoundOver = true;
        return;
    }
    const auto incoming = m_incoming.find(shard);
    if (state.transferred && incoming != m_incoming.end()
        && incoming->second.claim.epoch == state.epoch) {
        owned.knowledge = ShardKnowledge::Complete;
        owned.isRoundOver = true;
        importTransfer(shard, std::move(incoming->second), now);
        m_incoming.erase(incoming);
        return;
    }
    owned.roundEnd = now + WitnessRoundTime;
    owned.nextStartEpoch = now;
    updateKnowledge(shard, owned, now);
}

// Every job has passed an entry and an agent, so the shard is known completely once all entries or
// all agents among the witnesses have answered (rule R5).
void ShardOwnership::updateKnowledge(ShardId shard, OwnedShard &owned, TimePoint now)
{
    if (owned.nextStartEpoch == NeverTime)
        return; // there was nothing to ask, or no answer is needed any more
    bool entriesAnswered = true;
    bool agentsAnswered = true;
    bool reachableAnswered = true;
    for (const WitnessAssignment &witness : m_ledger.witnessesOf(shard)) {
        if (owned.answered.contains(witness.subject))
            continue;
        (witness.role == Role::Entry ? entriesAnswered : agentsAnswered) = false;
        if (m_ledger.isUp(witness.answeredBy))
            reachableAnswered = false;
    }
    const bool isTimeOver = owned.roundEnd <= now;
    if (isTimeOver)
        owned.roundEnd = NeverTime;
    owned.isRoundOver = owned.isRoundOver || isTimeOver || reachableAnswered;
    if (entriesAnswered || agentsAnswered)
        owned.knowledge = ShardKnowledge::Complete;
    else if (owned.isRoundOver)
        owned.knowledge = ShardKnowledge::Incomplete;
    if (owned.knowledge == ShardKnowledge::Complete && owned.isRoundOver) {
        owned.nextStartEpoch = NeverTime;
        owned.roundEnd = NeverTime;
    }
}

// Claims each shard that has no home, or whose home is not up, if this agent has the highest weight
// for it.
void ShardOwnership::claimShards(TimePoint now, Outbox &out)
{
    if (m_isLeaving || m_registeredAt == NeverTime || now < m_registeredAt + ClaimDelay
        || !m_ledger.isUp(m_self))
        return;
    // The append is in the log, but syncShard() has not removed the claim: the claim was invalid.
    std::erase_if(m_pendingClaims,
                  [&](const auto &it) { return m_ledger.hasAppend(it.second.appendId); });
    const std::vector<Incarnation> agents = m_ledger.upMembers(Role::Agent);
    ClaimRecord record{m_self, {}, false};
    for (std::uint16_t n = 0; n < ShardCount; ++n) {
        const ShardId shard{n};
        const ShardState &state = m_ledger.shard(shard);
        if (state.epoch.value != 0 && m_ledger.isUp(state.home))
            continue;
        if (!m_pendingClaims.contains(shard) && highestWeighted(agents, shard) == m_self)
            record.claims.push_back({shard, Epoch{state.epoch.value + 1}});
    }
    if (record.claims.empty())
        return;
    const std::string appendId = nextAppendId();
    for (const ShardClaim &claim : record.claims)
        m_pendingClaims[claim.shard] = {claim.epoch, appendId};
    out.add(LogEvent{
        Severity::Info, "claim_shards", {{"count", std::to_string(record.claims.size())}}});
    out.add(Append{Record{appendId, std::move(record)}});
}

// Asks the witnesses whose answers are missing. One StartEpoch to each process names all of the
// shards that it has yet to answer for.
void ShardOwnership::sendStartEpochs(TimePoint now, Outbox &out)
{
    std::map<Incarnation, std::vector<ShardClaim>> targets;
    for (auto &[shard, owned] : m_owned) {
        if (now < owned.nextStartEpoch)
            continue;
        const bool isLate = owned.roundEnd == NeverTime;
        owned.nextStartEpoch = now + (isLate ? LateStartEpochInterval : StartEpochInterval);
        std::set<Incarnation> asked;
        for (const WitnessAssignment &witness : m_ledger.witnessesOf(shard)) {
            const Incarnation to = witness.answeredBy;
            if (to.value == 0 || owned.answered.contains(witness.subject)
                || (isLate && !m_ledger.isUp(to)) || !asked.insert(to).second)
                continue;
            targets[to].push_back({shard, owned.epoch});
        }
    }
    for (auto &[to, claims] : targets)
        out.send(to, StartEpoch{std::move(claims)});
}

// Of the agents with the fewest shards by `load`, the one with the highest weight for this shard;
// none if all have `limit` shards or more.
std::optional<Incarnation>
ShardOwnership::receiverFor(ShardId shard, const std::map<Incarnation, std::size_t> &load,
                            std::size_t limit) const
{
    std::size_t fewest = limit;
    for (const auto &[agent, count] : load)
        fewest = std::min(fewest, count);
    std::vector<Incarnation> candidates;
    for (const auto &[agent, count] : load) {
        if (count < limit && count == fewest)
            candidates.push_back(agent);
    }
    return highestWeighted(candidates, shard);
}

void ShardOwnership::addReport(const WitnessedJob &job, TimePoint now)
{
    const auto [it, isNew] = m_reported.try_emplace(job.key, ReportedJob{job, now});
    if (!isNew) {
        merge(it->second.job, job);
        it->second.at = now;
    }
}

void ShardOwnership::forgetExpired(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    std::erase_if(m_reported, [&](const auto &it) { return it.second.at + memory <= now; });
}

std::string ShardOwnership::nextAppendId()
{
    return "claim-" + std::to_string(m_self.value) + "-" + std::to_string(++m_appendCount);
}

} // namespace cactuscove
