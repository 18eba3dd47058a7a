// The state that the log prefix determines: members, shard owners and the accepted configuration.
// All processes agree on it at equal offsets.

#pragma once

#include "fleetconfig.h"
#include "records.h"
#include "result.h"
#include "types.h"

#include <json/forwards.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace cactuscove {

struct MemberState
{
    Member member;
    LogOffset registeredAt;            // of the first registration of this incarnation
    std::set<Incarnation> suspectedBy; // up entries only
    bool isDown = false;
    bool hasLeft = false;
    Incarnation heir; // answers for its memory once it has left

    bool isUp() const { return !isDown && !hasLeft; }
};

struct ShardState
{
    Epoch epoch;
    Incarnation home;
    LogOffset claimedAt;
    bool transferred = false;
};

struct AcceptedConfig
{
    Revision revision;
    std::string text;
    std::string office;
    std::string author;
    LogOffset offset;
    std::shared_ptr<const FleetConfig> parsed;
};

// What became of one `config` record.
struct ConfigVerdict
{
    bool accepted = false;
    Revision revision;        // accepted: its own; refused: the one in force
    std::string winnerOffice; // refused for an old base: who made the revision in force
    std::string winnerAuthor;
    ConfigErrors errors; // refused for its content
};

// An incarnation whose memory a new home must ask for, and the process that answers for it.
struct WitnessDuty
{
    Incarnation subject;
    Role role = Role::Agent;
    Incarnation answeredBy; // 0 if the memory is lost
};

// What one record changed, for the owner of the ledger to react to.
struct LedgerChanges
{
    bool members = false;
    bool config = false;
    std::vector<ShardId> shards;
    std::optional<ConfigVerdict> verdict;
};

struct LedgerError
{
    std::string reason;
};

class Ledger
{
public:
    Ledger();

    // Restores the state after snapshot.asOf.
    static Result<Ledger, LedgerError> fromSnapshot(const SnapshotRecord &snapshot);

    // Records arrive in offset order; one below next() is ignored.
    LedgerChanges apply(const LogRecord &record);

    LogOffset next() const { return m_next; } // first offset not yet applied
    SnapshotRecord snapshot() const;

    const std::map<Incarnation, MemberState> &members() const { return m_members; }
    const MemberState *member(Incarnation incarnation) const;
    bool isUp(Incarnation incarnation) const;
    std::vector<Incarnation> upMembers(Role role) const; // in incarnation order

    const ShardState &shard(ShardId shard) const { return m_shards[shard.value]; }
    std::vector<ShardId> shardsOf(Incarnation home) const;
    // Everyone registered before the shard's last claim and not retired (rule R5).
    std::vector<WitnessDuty> witnessesOf(ShardId shard) const;

    const AcceptedConfig *config() const { return m_history.empty() ? nullptr : &m_history.back(); }
    const std::deque<AcceptedConfig> &configHistory() const { return m_history; } // newest last
    // Defaults until a file is accepted.
    const FleetConfig &fleetConfig() const;

    bool hasAppend(const std::string &appendId) const;

private:
    bool rememberAppend(const std::string &appendId); // false if it is a repeated append
    void applyBody(const RegisterRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const SuspectRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const ClearRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const LeaveRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const RetireRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const ClaimRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const ConfigRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const SnapshotRecord &body, LogOffset offset, LedgerChanges &changes);
    void applyBody(const MalformedRecord &body, LogOffset offset, LedgerChanges &changes);
    void restore(const Json::Value &json);
    void dropVotesOf(Incarnation voter);
    void declareDown();
    Incarnation answererFor(Incarnation subject) const; // 0 if its memory is lost

    LogOffset m_next;
    std::map<Incarnation, MemberState> m_members;
    std::array<ShardState, ShardCount> m_shards{};
    std::deque<AcceptedConfig> m_history;  // at most ConfigHistoryLimit; revisions only rise
    std::deque<std::string> m_appendOrder; // bounds m_appendIds
    std::unordered_set<std::string> m_appendIds;
};

} // namespace cactuscove
