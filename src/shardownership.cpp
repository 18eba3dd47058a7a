// Claims by rendezvous hash, the witness round, and transfers of shards to other homes.

#include "shardownership.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace cactuscove {

using namespace std::chrono_literals;

namespace {

// A starting fleet shares the unowned shards if its members have registered by then.
constexpr Duration ClaimDelay = 1s;

constexpr Duration RoundTime = 2s;
constexpr Duration RaiseInterval = 400ms;
// After the round a missing witness may come back at any time, so asking goes on at a low rate.
constexpr Duration LateRaiseInterval = 5s;

constexpr Duration PlanInterval = 1s;
constexpr std::size_t MovesPerInterval = 64;
// A rebalancing transfer refuses new jobs of its shard while it drains, so it is given up if the
// jobs in progress take longer. A leaving home waits for them.
constexpr Duration DrainLimit = 3s;
constexpr Duration DrainPoll = 50ms;
constexpr Duration TransferRepeat = 500ms;
constexpr Duration TransferLimit = 5s;
// Acknowledgements that arrive close together are claimed with one append.
constexpr Duration ClaimBatchDelay = 20ms;
constexpr Duration ForgetInterval = 10s;

std::uint64_t rendezvousWeight(Incarnation agent, ShardId shard)
{
    const std::array<std::uint64_t, 2> input{agent.value, shard.value};
    return XXH3_64bits(input.data(), sizeof(input));
}

std::optional<Incarnation> heaviest(std::span<const Incarnation> agents, ShardId shard)
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

// Reports of the same job by several witnesses complement one another.
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
            // A transfer to a process that is gone cannot end; before its claim it can be undone.
            if (owned.move && owned.move->stage != MoveStage::Claiming
                && !m_ledger.isUp(owned.move->to))
                owned.move.reset();
            assess(shard, owned, now);
        }
    }
    if (changes.members || !changes.shards.empty())
        claimShards(now, out);
    sendRaises(now, out);
}

void ShardOwnership::onTimer(TimePoint now, Outbox &out)
{
    for (auto &[shard, owned] : m_owned) {
        if (owned.roundEnd <= now)
            assess(shard, owned, now);
    }
    sendRaises(now, out);
    if (m_nextPlan <= now) {
        m_nextPlan = now + PlanInterval;
        claimShards(now, out);
        planMoves(now);
    }
    driveMoves(now, out);
    if (m_nextForget <= now) {
        m_nextForget = now + ForgetInterval;
        forgetExpired(now);
    }
}

void ShardOwnership::beginLeaving(TimePoint now, Outbox &out)
{
    m_leaving = true;
    planMoves(now);
    driveMoves(now, out);
}

std::vector<ReceivedShard> ShardOwnership::takeReceivedShards()
{
    return std::exchange(m_arrived, {});
}

TimePoint ShardOwnership::nextTimer() const
{
    TimePoint next = m_nextPlan;
    for (const auto &[shard, owned] : m_owned) {
        next = std::min({next, owned.roundEnd, owned.nextRaise});
        if (!owned.move)
            continue;
        switch (owned.move->stage) {
        case MoveStage::Draining:
        case MoveStage::Sending:
            next = std::min(next, owned.move->nextStep);
            break;
        case MoveStage::Acknowledged:
            next = std::min(next, owned.move->since + ClaimBatchDelay);
            break;
        case MoveStage::Claiming:
            break;
        }
    }
    return next;
}

void ShardOwnership::setLogContact(TimePoint contact, TimePoint now)
{
    m_isOutOfContact = now - contact > m_ledger.fleetConfig().idMemory;
}

ShardKnowledge ShardOwnership::knowledge(ShardId shard) const
{
    const auto it = m_owned.find(shard);
    if (it == m_owned.end())
        return ShardKnowledge::NotHome;
    if (it->second.move)
        return ShardKnowledge::Moving;
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

const WitnessedJob *ShardOwnership::witnessed(const KeyHash &key) const
{
    const auto it = m_witnessed.find(key);
    return it == m_witnessed.end() ? nullptr : &it->second.job;
}

bool ShardOwnership::hasNothingToTransfer() const
{
    // A shard that is not known completely cannot be handed over: its next home asks the witnesses.
    const auto canMove = [](const auto &it) {
        return it.second.move || it.second.knowledge == ShardKnowledge::Complete;
    };
    return std::ranges::none_of(m_owned, canMove) || m_ledger.upMembers(Role::Agent).size() <= 1;
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
            remember(job, now);
    }
    for (const ShardClaim &claim : witness.claims) {
        if (!isCurrent(claim))
            continue;
        Owned &owned = m_owned[claim.shard];
        owned.answered.insert(witness.subject);
        assess(claim.shard, owned, now);
    }
}

void ShardOwnership::onTransferShard(Incarnation from, const TransferShard &message, TimePoint now,
                                     Outbox &out)
{
    const ShardClaim &claim = message.claim;
    const Epoch current = m_ledger.shard(claim.shard).epoch;
    if (current >= claim.epoch) {
        if (epoch(claim.shard) == claim.epoch)
            out.send(from, TransferAck{claim}); // a late copy
        return;
    }
    if (m_leaving)
        return; // the sender gives up and chooses another receiver
    IncomingTable &table = m_incoming[claim.shard];
    if (table.claim.epoch < claim.epoch)
        table = {from, claim, {}, {}, now};
    else if (table.claim.epoch > claim.epoch)
        return;
    // The sender may have undone an earlier transfer, accepted jobs and sent again, and the copies
    // may arrive in any order. So tables are united, and not_run yields to every other outcome.
    for (const TransferredJob &job : message.jobs) {
        TransferredJob aged = job;
        aged.age -= std::chrono::duration_cast<Duration>(now - table.arrivedAt);
        const auto [it, isNew] = table.jobs.try_emplace(job.key, aged);
        if (!isNew && it->second.answer.outcome == Outcome::NotRun)
            it->second = std::move(aged);
    }
    table.witnessed.insert(table.witnessed.end(), message.witnessed.begin(),
                           message.witnessed.end());
    out.send(from, TransferAck{claim});
}

void ShardOwnership::onTransferAck(Incarnation from, const TransferAck &ack, TimePoint now)
{
    const auto it = m_owned.find(ack.claim.shard);
    if (it == m_owned.end() || it->second.epoch.value + 1 != ack.claim.epoch.value)
        return;
    std::optional<Move> &move = it->second.move;
    if (!move || move->to != from || move->stage != MoveStage::Sending)
        return;
    move->stage = MoveStage::Acknowledged;
    move->since = now;
}

// Follows the ledger after it changed the shard.
void ShardOwnership::syncShard(ShardId shard, TimePoint now)
{
    const ShardState &state = m_ledger.shard(shard);
    const auto owned = m_owned.find(shard);
    if (owned != m_owned.end() && (state.home != m_self || owned->second.epoch != state.epoch)) {
        m_owned.erase(owned);
        std::erase_if(m_witnessed, [&](const auto &it) { return shardOf(it.first) == shard; });
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

void ShardOwnership::acquire(ShardId shard, TimePoint now)
{
    const ShardState &state = m_ledger.shard(shard);
    Owned &owned = m_owned[shard];
    owned.epoch = state.epoch;
    if (state.epoch.value == 1) {
        owned.knowledge = ShardKnowledge::Complete;
        owned.isRoundOver = true;
        return;
    }
    const auto table = m_incoming.find(shard);
    if (state.transferred && table != m_incoming.end()
        && table->second.claim.epoch == state.epoch) {
        owned.knowledge = ShardKnowledge::Complete;
        owned.isRoundOver = true;
        adoptTable(shard, std::move(table->second), now);
        m_incoming.erase(table);
        return;
    }
    owned.roundEnd = now + RoundTime;
    owned.nextRaise = now;
    assess(shard, owned, now);
}

void ShardOwnership::adoptTable(ShardId shard, IncomingTable table, TimePoint now)
{
    ReceivedShard arrived{{shard, table.claim.epoch}, {}, table.arrivedAt};
    for (auto &[key, job] : table.jobs)
        arrived.jobs.push_back(std::move(job));
    for (const WitnessedJob &job : table.witnessed)
        remember(job, now);
    m_arrived.push_back(std::move(arrived));
}

// Rule R5: one complete set of witnesses is enough, because a job passes an entry and an agent.
void ShardOwnership::assess(ShardId shard, Owned &owned, TimePoint now)
{
    if (owned.nextRaise == NeverTime)
        return; // nothing was ever asked, or everything is answered
    bool entriesAnswered = true;
    bool agentsAnswered = true;
    bool reachableAnswered = true;
    for (const WitnessDuty &duty : m_ledger.witnessesOf(shard)) {
        if (owned.answered.contains(duty.subject))
            continue;
        (duty.role == Role::Entry ? entriesAnswered : agentsAnswered) = false;
        if (m_ledger.isUp(duty.answeredBy))
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
        owned.nextRaise = NeverTime;
        owned.roundEnd = NeverTime;
    }
}

void ShardOwnership::claimShards(TimePoint now, Outbox &out)
{
    if (m_leaving || m_registeredAt == NeverTime || now < m_registeredAt + ClaimDelay
        || !m_ledger.isUp(m_self))
        return;
    // A claim that the log has and the ledger did not follow was invalid.
    std::erase_if(m_pendingClaims,
                  [&](const auto &it) { return m_ledger.hasAppend(it.second.appendId); });
    const std::vector<Incarnation> agents = m_ledger.upMembers(Role::Agent);
    ClaimRecord record{m_self, {}, false};
    for (std::uint16_t n = 0; n < ShardCount; ++n) {
        const ShardId shard{n};
        const ShardState &state = m_ledger.shard(shard);
        if (state.epoch.value != 0 && m_ledger.isUp(state.home))
            continue;
        if (!m_pendingClaims.contains(shard) && heaviest(agents, shard) == m_self)
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

// One message per process names every shard that it has yet to answer for.
void ShardOwnership::sendRaises(TimePoint now, Outbox &out)
{
    std::map<Incarnation, std::vector<ShardClaim>> targets;
    for (auto &[shard, owned] : m_owned) {
        if (now < owned.nextRaise)
            continue;
        const bool isLate = owned.roundEnd == NeverTime;
        owned.nextRaise = now + (isLate ? LateRaiseInterval : RaiseInterval);
        std::set<Incarnation> asked;
        for (const WitnessDuty &duty : m_ledger.witnessesOf(shard)) {
            const Incarnation to = duty.answeredBy;
            if (to.value == 0 || owned.answered.contains(duty.subject)
                || (isLate && !m_ledger.isUp(to)) || !asked.insert(to).second)
                continue;
            targets[to].push_back({shard, owned.epoch});
        }
    }
    for (auto &[to, claims] : targets)
        out.send(to, Raise{std::move(claims)});
}

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
    return heaviest(candidates, shard);
}

// Chooses the shards to move and their receivers: all when leaving, else the excess over a fair
// share.
void ShardOwnership::planMoves(TimePoint now)
{
    std::map<Incarnation, std::size_t> load;
    for (const Incarnation agent : m_ledger.upMembers(Role::Agent)) {
        if (agent != m_self)
            load[agent] = m_ledger.shardsOf(agent).size();
    }
    if (load.empty() || !m_ledger.isUp(m_self))
        return;
    const std::size_t fairShare = (ShardCount + load.size()) / (load.size() + 1);
    std::size_t kept = 0;
    for (const auto &[shard, owned] : m_owned) {
        if (owned.move)
            ++load[owned.move->to];
        else
            ++kept;
    }
    const std::size_t excess = m_leaving ? kept : kept - std::min(kept, fairShare);
    const std::size_t limit = m_leaving ? ShardCount : fairShare;
    std::size_t planned = 0;
    // Idle shards move first, because they refuse no job on the way.
    for (const bool wantIdle : {true, false}) {
        for (auto &[shard, owned] : m_owned) {
            if (planned >= excess || (!m_leaving && planned >= MovesPerInterval))
                return;
            if (owned.move || owned.knowledge != ShardKnowledge::Complete
                || (wantIdle && m_jobs != nullptr && m_jobs->hasJobsInProgress(shard)))
                continue;
            const auto to = receiverFor(shard, load, limit);
            if (!to)
                return;
            ++load[*to];
            ++planned;
            owned.move = Move{*to, MoveStage::Draining, now, now};
        }
    }
}

void ShardOwnership::driveMoves(TimePoint now, Outbox &out)
{
    for (auto &[shard, owned] : m_owned) {
        if (!owned.move)
            continue;
        Move &move = *owned.move;
        if (move.stage == MoveStage::Draining) {
            if (m_jobs == nullptr || !m_jobs->hasJobsInProgress(shard)) {
                move.stage = MoveStage::Sending;
                move.since = now;
                move.nextStep = now;
            } else if (!m_leaving && now >= move.since + DrainLimit) {
                owned.move.reset();
                continue;
            } else {
                move.nextStep = now + DrainPoll;
            }
        }
        if (move.stage == MoveStage::Sending && move.nextStep <= now) {
            if (now >= move.since + TransferLimit) {
                owned.move.reset();
                continue;
            }
            move.nextStep = now + TransferRepeat;
            sendTransfer(shard, owned, now, out);
        }
    }
    claimForReceivers(now, out);
}

void ShardOwnership::sendTransfer(ShardId shard, Owned &owned, TimePoint now, Outbox &out) const
{
    TransferShard message{{shard, Epoch{owned.epoch.value + 1}}, {}, {}};
    if (m_jobs != nullptr)
        message.jobs = m_jobs->table(shard, now);
    for (const auto &[key, remembered] : m_witnessed) {
        if (shardOf(key) == shard)
            message.witnessed.push_back(remembered.job);
    }
    out.send(owned.move->to, std::move(message));
}

// From its append on a transfer can no longer be undone, because the append may take effect late.
void ShardOwnership::claimForReceivers(TimePoint now, Outbox &out)
{
    std::map<Incarnation, std::vector<ShardClaim>> claims;
    for (auto &[shard, owned] : m_owned) {
        if (!owned.move || owned.move->stage != MoveStage::Acknowledged
            || now < owned.move->since + ClaimBatchDelay)
            continue;
        owned.move->stage = MoveStage::Claiming;
        owned.move->since = now;
        claims[owned.move->to].push_back({shard, Epoch{owned.epoch.value + 1}});
    }
    for (auto &[to, list] : claims)
        out.add(Append{Record{nextAppendId(), ClaimRecord{to, std::move(list), true}}});
}

void ShardOwnership::remember(const WitnessedJob &job, TimePoint now)
{
    const auto [it, isNew] = m_witnessed.try_emplace(job.key, Remembered{job, now});
    if (!isNew) {
        merge(it->second.job, job);
        it->second.at = now;
    }
}

void ShardOwnership::forgetExpired(TimePoint now)
{
    const Duration memory = m_ledger.fleetConfig().idMemory;
    std::erase_if(m_witnessed, [&](const auto &it) { return it.second.at + memory <= now; });
}

std::string ShardOwnership::nextAppendId()
{
    return "claim-" + std::to_string(m_self.value) + "-" + std::to_string(++m_appendCount);
}

} // namespace cactuscove
