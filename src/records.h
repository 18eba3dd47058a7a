// Records of the log. Replayed in log order they are the only durable state of the system; Ledger
// does the replay and decides which records take effect.

#pragma once

#include "types.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// A process announces itself. The same record brings a member back that was declared down.
struct RegisterRecord
{
    Member member;
};

// The entry `by` votes for the member to be declared down.
struct SuspectRecord
{
    Incarnation by;
    Incarnation incarnation; // the suspected member
};

// The entry `by` withdraws its vote.
struct ClearRecord
{
    Incarnation by;
    Incarnation incarnation; // the member that it suspected
};

// A process has shut down in good order. Before that it handed its knowledge of jobs to its
// successor, a process of the same role, which answers witness rounds in its place.
struct LeaveRecord
{
    Incarnation incarnation;
    Incarnation successor; // 0 if no process took the knowledge over
};

// Removes a member that is down or has left, once no job that it knew of can still matter.
struct RetireRecord
{
    Incarnation incarnation;
};

// Makes a process the home of a shard from `epoch` on.
struct ShardClaim
{
    ShardId shard;
    Epoch epoch; // valid only if the current epoch of the shard is epoch - 1
    bool operator==(const ShardClaim &) const = default;
};

// Makes an agent the home of several shards. Each claim is valid or not by itself.
struct ClaimRecord
{
    Incarnation home;
    std::vector<ShardClaim> claims;
    // The previous home has sent its jobs to the new one, which then needs no witness round.
    bool transferred = false;
};

// An operator applies a configuration file.
struct ConfigRecord
{
    Revision base;    // the revision that the file was edited from; refused if it is not in force
    std::string text; // the whole file
    std::string office;
    std::string author;
};

// The whole ledger state after the record at `asOf`, in the encoding of Ledger::snapshot(). Lets a
// reader start without the records up to `asOf`, which the log may have trimmed.
struct SnapshotRecord
{
    LogOffset asOf;
    std::string state;
};

// Text in the log that is not a valid record. It has no effect. Readers pass it on all the same, so
// that a gap in the offsets always means that a record is missing.
struct MalformedRecord
{};

using RecordBody
    = std::variant<RegisterRecord, SuspectRecord, ClearRecord, LeaveRecord, RetireRecord,
                   ClaimRecord, ConfigRecord, SnapshotRecord, MalformedRecord>;

struct Record
{
    std::string appendId; // unique for each append; marks the copies of a repeated append
    RecordBody body;
};

// A record at its place in the log.
struct LogRecord
{
    LogOffset offset;
    Record record;
};

} // namespace cactuscove
