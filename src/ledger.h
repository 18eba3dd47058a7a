// The replicated state of the fleet: members, homes of shards and the accepted configuration. It is
// a function of the log up to an offset, so all processes agree on it at equal offsets.
//
// A witness of a shard is a member that may know of jobs of the shard. In a witness round a new
// home asks the witnesses which jobs they know, so that it does not take one of these jobs as new.
// A member that leaves hands its knowledge of jobs to another process of its role, its successor,
// which answers in its place.

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

// A process that has registered and is not retired. It counts as a witness of the jobs that it has
// seen until it is retired, also while it is down or has left.
struct MemberState
{
    Member member;
    LogOffset registeredAt; // of the first registration of this incarnation
    // Entries that are up and vote for declaring it down. It is down when at least half of the
    // other entries that are up vote so.
    std::set<Incarnation> suspectedBy;
    bool isDown = false;   // declared down by votes; a new registration ends this
    bool hasLeft = false;  // shut down in good order
    Incarnation successor; // answers witness rounds for it once it has left; 0 if none

    bool isUp() const { return !isDown && !hasLeft; }
};

// The last valid claim of a shard. The home may meanwhile be down or have left.
struct ShardState
{
    Epoch epoch;         // 0 if the shard has never been claimed
    Incarnation home;    // 0 if the shard has never been claimed
    LogOffset claimedAt; // of the claim; 0 if the shard has never been claimed
    // According to the claim, the new home received the jobs of the previous one and needs no
    // witness round.
    bool transferred = false;
};

// One revision of the configuration.
struct AcceptedConfig
{
    Revision revision;
    std::string text;   // the whole file
    std::string office; // of the operator, as the request to apply the file states it
    std::string author; // the operator, likewise
    LogOffset offset;   // of its record
    std::shared_ptr<const FleetConfig> parsed;
};

// Whether a `config` record was accepted, and why not.
struct ConfigOutcome
{
    bool accepted = false;
    Revision revision;        // accepted: the new one; refused: the one in force
    std::string winnerOffice; // refused for an old base: who made the revision in force
    std::string winnerAuthor;
    ConfigErrors errors; // refused for its content: what is wrong with it
};

// A witness of a shard, and the process that a new home has to ask for what the witness knows.
struct WitnessAssignment
{
    Incarnation subject;
    Role role = Role::Agent; // of the subject
    Incarnation answeredBy;  // the subject or its successor; 0 if nobody can answer for it
};

// What a record changed, for the owner of the ledger to react to. Owners also merge the changes of
// several records.
struct LedgerChanges
{
    bool members = false;
    bool config = false;                        // another configuration is in force
    std::vector<ShardId> shards;                // with a new home or epoch
    std::optional<ConfigOutcome> configOutcome; // if the record was a `config` record
};

struct LedgerError
{
    std::string reason;
};

// Every process keeps one and applies the log to it. A record that is not valid in the state before
// it has no effect, for any process: for example a claim whose epoch is not the next one, or a vote
// of an entry that is down.
//
// References and pointers that it returns must not be used after the next apply() or assignment.
class Ledger
{
public:
    Ledger();

    // Restores the state after the record at snapshot.asOf; next() is then asOf + 1. Fails if any
    // part of the snapshot cannot be read.
    static Result<Ledger, LedgerError> fromSnapshot(const SnapshotRecord &snapshot);

    // To be called in offset order without gaps. A record below next() is ignored. A record above
    // it is applied all the same: the caller must check for gaps.
    LedgerChanges apply(const LogRecord &record);

    LogOffset next() const { return m_next; } // first offset not yet applied
    SnapshotRecord snapshot() const;          // the current state; its asOf is next() - 1

    const std::map<Incarnation, MemberState> &members() const { return m_members; }
    const MemberState *member(Incarnation incarnation) const; // null if not registered, or retired
    bool isUp(Incarnation incarnation) const;                 // false for an unknown one
    std::vector<Incarnation> upMembers(Role role) const;      // in incarnation order

    const ShardState &shard(ShardId shard) const { return m_shards[shard.value]; }
    std::vector<ShardId> shardsOf(Incarnation home) const;
    // Every member that was registered before the shard's last claim and is not retired, the new
    // home included. Only these may know a job of an earlier home, because a process handles
    // no job before it is registered (rule R5). Empty if the shard was never claimed.
    std::vector<WitnessAssignment> witnessesOf(ShardId shard) const;

    // The configuration in force; null until a file is accepted.
    const AcceptedConfig *config() const { return m_history.empty() ? nullptr : &m_history.back(); }
    const std::deque<AcceptedConfig> &configHistory() const { return m_history; } // newest last
    const FleetConfig &fleetConfig() const; // in force; the defaults until a file is accepted

    // Whether the append was applied. Only the newest 4096 append ids are remembered, so false may
    // also mean that the id is forgotten.
    bool hasAppend(const std::string &appendId) const;

private:
    bool rememberAppend(const std::string &appendId); // false if the id is known already
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
    Incarnation answererFor(Incarnation subject) const; // 0 if nobody can answer

    LogOffset m_next;
    std::map<Incarnation, MemberState> m_members;
    std::array<ShardState, ShardCount> m_shards{};
    std::deque<AcceptedConfig> m_history;        // at most ConfigHistoryLimit; revisions only rise
    std::deque<std::string> m_appendOrder;       // m_appendIds, oldest first
    std::unordered_set<std::string> m_appendIds; // the newest AppendIdLimit
};

} // namespace cactuscove
