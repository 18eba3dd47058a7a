// Records of the log stream. Together, in log order, they are the only durable state of the system.

#pragma once

#include "types.h"

#include <span>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// Also revives a member that was declared down.
struct RegisterRecord
{
    Member member;
};

struct SuspectRecord
{
    Incarnation by;
    Incarnation incarnation;
};

struct ClearRecord
{
    Incarnation by;
    Incarnation incarnation;
};

// The heir answers for the memory of a process that left in good order; 0 if it had no memory.
struct LeaveRecord
{
    Incarnation incarnation;
    Incarnation heir;
};

struct RetireRecord
{
    Incarnation incarnation;
};

struct ShardClaim
{
    ShardId shard;
    Epoch epoch; // the new epoch; valid only if the current one is epoch - 1
    bool operator==(const ShardClaim &) const = default;
};

struct ClaimRecord
{
    Incarnation home;
    std::vector<ShardClaim> claims;
    // The previous home has handed its table over, so no witness round is needed.
    bool transferred = false;
};

struct ConfigRecord
{
    Revision base; // the revision that the file was made from
    std::string text;
    std::string office;
    std::string author;
};

// The whole ledger state after the record at `asOf`, in the ledger's own encoding.
struct SnapshotRecord
{
    LogOffset asOf;
    std::string state;
};

// Text in the log that is no record. It has no effect, and readers pass it on so that a gap in the
// offsets always means that a record is missing.
struct MalformedRecord
{};

using RecordBody
    = std::variant<RegisterRecord, SuspectRecord, ClearRecord, LeaveRecord, RetireRecord,
                   ClaimRecord, ConfigRecord, SnapshotRecord, MalformedRecord>;

struct Record
{
    std::string appendId; // unique; a repeated append is recognised by it
    RecordBody body;
};

struct LogRecord
{
    LogOffset offset;
    Record record;
};

} // namespace cactuscove
