// Applies log records to the state that every process agrees on. What a record does depends only on
// the records before it, so a record that breaks a rule has no effect for any reader.

#include "ledger.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Revisions kept, which bounds the size of a snapshot. An operator whose change was refused reads
// here who made the revision in force. At 820 changes a day, 20 revisions cover about half an hour;
// older ones are in the log until it is trimmed.
constexpr std::size_t ConfigHistoryLimit = 20;

// Append ids kept. A late copy of an append arrives within seconds. At several hundred appends a
// second, the log's limit, this many ids cover about ten seconds. A copy of a claim, configuration,
// leave or retirement that arrives later still does no harm, because the rules of these records
// refuse it.
constexpr std::size_t AppendIdLimit = 4096;

const FleetConfig DefaultFleetConfig;

} // namespace

Ledger::Ledger() = default;

LedgerChanges Ledger::apply(const LogRecord &record)
{
    if (record.offset < m_next)
        return {};
    m_next = LogOffset{record.offset.value + 1};
    if (std::holds_alternative<MalformedRecord>(record.record.body)
        || !rememberAppend(record.record.appendId))
        return {};
    LedgerChanges changes;
    std::visit([&](const auto &body) { applyBody(body, record.offset, changes); },
               record.record.body);
    return changes;
}

bool Ledger::rememberAppend(const std::string &appendId)
{
    if (!m_appendIds.insert(appendId).second)
        return false;
    m_appendOrder.push_back(appendId);
    if (m_appendOrder.size() > AppendIdLimit) {
        m_appendIds.erase(m_appendOrder.front());
        m_appendOrder.pop_front();
    }
    return true;
}

void Ledger::applyBody(const RegisterRecord &body, LogOffset offset, LedgerChanges &changes)
{
    const auto [it, isNew] = m_members.try_emplace(body.member.incarnation);
    MemberState &state = it->second;
    if (isNew) {
        state.registeredAt = offset;
    } else if (state.hasLeft || state.member.role != body.member.role) {
        // The successor of a member that has left answers for it, so a late copy of its
        // registration must not bring it back.
        return;
    }
    state.member = body.member;
    state.isDown = false;
    state.suspectedBy.clear();
    changes.members = true;
}

void Ledger::applyBody(const SuspectRecord &body, LogOffset, LedgerChanges &changes)
{
    const MemberState *voter = member(body.by);
    const auto it = m_members.find(body.incarnation);
    if (body.by == body.incarnation || !voter || !voter->isUp() || voter->member.role != Role::Entry
        || it == m_members.end() || !it->second.isUp())
        return;
    if (!it->second.suspectedBy.insert(body.by).second)
        return;
    changes.members = true;
    declareDown();
}

void Ledger::applyBody(const ClearRecord &body, LogOffset, LedgerChanges &changes)
{
    const auto it = m_members.find(body.incarnation);
    // A member that is already down comes back only by its own registration, because it must first
    // learn that its shards may have been claimed.
    if (it != m_members.end() && it->second.isUp() && it->second.suspectedBy.erase(body.by) > 0)
        changes.members = true;
}

void Ledger::applyBody(const LeaveRecord &body, LogOffset, LedgerChanges &changes)
{
    const auto it = m_members.find(body.incarnation);
    if (it == m_members.end() || it->second.hasLeft)
        return;
    it->second.hasLeft = true;
    it->second.successor = body.successor;
    it->second.suspectedBy.clear();
    changes.members = true;
    dropVotesOf(body.incarnation);
    declareDown();
}

void Ledger::applyBody(const RetireRecord &body, LogOffset, LedgerChanges &changes)
{
    const auto it = m_members.find(body.incarnation);
    // A member that has registered again just before the retirement is still needed as a witness.
    if (it == m_members.end() || it->second.isUp())
        return;
    m_members.erase(it);
    changes.members = true;
}

void Ledger::applyBody(const ClaimRecord &body, LogOffset offset, LedgerChanges &changes)
{
    const MemberState *home = member(body.home);
    if (!home || !home->isUp() || home->member.role != Role::Agent)
        return;
    for (const ShardClaim &claim : body.claims) {
        if (claim.shard.value >= ShardCount)
            continue;
        ShardState &state = m_shards[claim.shard.value];
        if (claim.epoch.value != state.epoch.value + 1)
            continue;
        state = {claim.epoch, body.home, offset, body.transferred};
        changes.shards.push_back(claim.shard);
    }
}

void Ledger::applyBody(const ConfigRecord &body, LogOffset offset, LedgerChanges &changes)
{
    ConfigOutcome &outcome = changes.configOutcome.emplace();
    const AcceptedConfig *current = config();
    if (current)
        outcome.revision = current->revision;
    if (body.base != outcome.revision) {
        if (current) {
            outcome.winnerOffice = current->office;
            outcome.winnerAuthor = current->author;
        }
        return;
    }
    auto parsed = parseFleetConfig(body.text);
    if (!isOk(parsed)) {
        outcome.errors = errorOf(parsed);
        return;
    }
    outcome.accepted = true;
    outcome.revision = Revision{body.base.value + 1};
    m_history.push_back({outcome.revision, body.text, body.office, body.author, offset,
                         std::make_shared<const FleetConfig>(std::move(valueOf(parsed)))});
    if (m_history.size() > ConfigHistoryLimit)
        m_history.pop_front();
    changes.config = true;
}

// A snapshot describes the log up to an offset that this reader has passed, so it has nothing new,
// and a late copy must not replace a newer state.
void Ledger::applyBody(const SnapshotRecord &, LogOffset, LedgerChanges &) {}

void Ledger::applyBody(const MalformedRecord &, LogOffset, LedgerChanges &) {}

void Ledger::dropVotesOf(Incarnation voter)
{
    for (auto &[incarnation, state] : m_members)
        state.suspectedBy.erase(voter);
}

// Marks a member as down if at least half of the other entries that are up suspect it. Repeats
// until nothing changes, because an entry that goes down loses its votes and makes the number of
// voters smaller.
void Ledger::declareDown()
{
    const auto isVotedDown = [this](const MemberState &state, std::size_t upEntries) {
        const std::size_t voters = upEntries - (state.member.role == Role::Entry ? 1 : 0);
        return state.isUp() && !state.suspectedBy.empty() && 2 * state.suspectedBy.size() >= voters;
    };
    for (bool changed = true; changed;) {
        changed = false;
        const std::size_t upEntries = upMembers(Role::Entry).size();
        for (auto &[incarnation, state] : m_members) {
            if (!isVotedDown(state, upEntries))
                continue;
            state.isDown = true;
            if (state.member.role == Role::Entry) {
                dropVotesOf(incarnation);
                changed = true;
                break;
            }
        }
    }
}

const MemberState *Ledger::member(Incarnation incarnation) const
{
    const auto it = m_members.find(incarnation);
    return it == m_members.end() ? nullptr : &it->second;
}

bool Ledger::isUp(Incarnation incarnation) const
{
    const MemberState *state = member(incarnation);
    return state && state->isUp();
}

std::vector<Incarnation> Ledger::upMembers(Role role) const
{
    std::vector<Incarnation> result;
    for (const auto &[incarnation, state] : m_members) {
        if (state.isUp() && state.member.role == role)
            result.push_back(incarnation);
    }
    return result;
}

std::vector<ShardId> Ledger::shardsOf(Incarnation home) const
{
    std::vector<ShardId> result;
    for (std::uint16_t i = 0; i < ShardCount; ++i) {
        if (m_shards[i].epoch.value > 0 && m_shards[i].home == home)
            result.push_back(ShardId{i});
    }
    return result;
}

std::vector<WitnessAssignment> Ledger::witnessesOf(ShardId shard) const
{
    std::vector<WitnessAssignment> result;
    const ShardState &state = m_shards[shard.value];
    if (state.epoch.value == 0)
        return result;
    for (const auto &[incarnation, it] : m_members) {
        if (it.registeredAt < state.claimedAt)
            result.push_back({incarnation, it.member.role, answererFor(incarnation)});
    }
    return result;
}

// Follows the successors of members that have left. A member that is down answers again only after
// a new registration; until then nobody can answer for it.
Incarnation Ledger::answererFor(Incarnation subject) const
{
    // Each step moves to another member, so more steps than members mean a cycle of successors.
    for (std::size_t steps = 0; steps <= m_members.size(); ++steps) {
        const MemberState *state = member(subject);
        if (!state || (!state->hasLeft && state->isDown))
            return {};
        if (!state->hasLeft)
            return subject;
        subject = state->successor;
    }
    return {};
}

const FleetConfig &Ledger::fleetConfig() const
{
    return m_history.empty() ? DefaultFleetConfig : *m_history.back().parsed;
}

bool Ledger::hasAppend(const std::string &appendId) const
{
    return m_appendIds.contains(appendId);
}

} // namespace cactuscove
