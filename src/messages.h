// One-way messages between processes. Each may be lost, doubled, delayed or reordered, so every
// handler is idempotent and every sender that needs an answer repeats from a timer.

#pragma once

#include "records.h"
#include "types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// Names one task of one job.
struct TaskRef
{
    JobKey key;
    std::uint16_t index = 0;
    auto operator<=>(const TaskRef &) const = default;
};

// Entry -> agent: log records in order, or a snapshot if the agent is too far behind.
struct Feed
{
    std::vector<LogRecord> records;
    std::optional<SnapshotRecord> snapshot;
    LogOffset next; // first offset after the records
    // The newest FeedAck::stamp that the entry held when it began a read of the log whose end is
    // included here; 0 if there is none.
    std::uint64_t logContact = 0;
};

struct FeedAck
{
    LogOffset next;          // the agent's ledger has applied every offset below
    std::uint64_t stamp = 0; // the agent's clock; comes back as Feed::logContact
};

struct Probe
{};

struct ProbeAck
{};

// Entry -> home. Repeated by the entry until answered; the home deduplicates by key.
struct SubmitJob
{
    JobSpec spec;
    Epoch epoch;
    Duration remaining{}; // until the deadline, at the time of sending
    TraceContext trace;
    Duration sentAt{}; // on the entry's clock; the answer to this message repeats it
};

struct JobAccepted
{
    JobKey key;
    Epoch epoch;
};

struct JobAnswer
{
    JobKey key;
    Epoch epoch;
    Answer answer;
    Duration askedAt{}; // `sentAt` of the message that it answers; 0 if it answers none
};

enum class SubmitRefusal {
    NotHome,         // another process is the home, or the epoch differs
    Moving,          // the shard is being transferred; come back shortly
    ContentMismatch, // another job under the same id
};

struct SubmitRefused
{
    JobKey key;
    SubmitRefusal reason = SubmitRefusal::NotHome;
    Epoch homeEpoch;
};

struct CancelJob
{
    JobKey key;
    Epoch epoch;
    Duration sentAt{}; // as in SubmitJob
};

// Entry -> home: asks for the answer of a job whose specification the entry does not have.
struct QueryJob
{
    JobKey key;
    Epoch epoch;
    Duration sentAt{}; // as in SubmitJob
};

// The home knows its shard completely and has never seen the key, or has forgotten it.
struct JobNotFound
{
    JobKey key;
    Epoch epoch;
};

// Home -> executor. Safe to repeat: the executor starts a task reference once.
struct StartTask
{
    TaskRef ref;
    std::uint32_t attempt = 0;     // rises each time the home places the task again
    Epoch epoch;                   // of the shard of the job key
    std::uint64_t contentHash = 0; // of the job; witnesses report both of these
    std::uint16_t taskCount = 0;
    TaskSpec task;
    std::string team;
    std::string jobClass;
    std::string upstream;
    bool idempotent = false;
    bool isOfferReply = false; // binds the task to a slot that the executor offered
    Duration remaining{};      // the task must not start later than this
    TraceContext trace;
};

struct TaskAccepted
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// No free slot. The executor keeps a reservation and offers the slot when one frees.
struct TaskBusy
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

enum class TaskRefusal { StaleEpoch, NoUpstream, Draining, CannotRun, DeadlinePassed, Tombstone };

// Proof that this attempt did not and will not start here.
struct TaskRefused
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    TaskRefusal reason = TaskRefusal::NoUpstream;
    Epoch fence;
};

// Repeated by the executor until acknowledged.
struct TaskDone
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    TaskResult result;
};

struct TaskDoneAck
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Stops a running task, or leaves a tombstone so that a late start is refused.
struct CancelTask
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    Epoch epoch;
};

// The answer to CancelTask if the task had not started; a started one answers TaskDone or
// TaskAccepted.
struct TaskNotStarted
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Executor -> home: a slot is free for the reservation of this task.
struct SlotOffer
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

struct OfferDeclined
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// New home -> every registered incarnation.
struct Raise
{
    std::vector<ShardClaim> claims;
};

struct WitnessedTask
{
    std::uint16_t index = 0;
    std::string id;    // of the task in its job, for an answer without the specification
    TaskResult result; // Unknown while the task is running
};

struct WitnessedJob
{
    KeyHash key;
    std::uint64_t contentHash = 0;    // 0 if the witness does not know it
    std::uint16_t taskCount = 0;      // 0 if the witness does not know it
    std::vector<WitnessedTask> tasks; // empty from entries
};

// What one incarnation knows of the shards with an epoch lower than the claimed one. `subject` is
// the incarnation whose memory this is: the sender, or a process that it is the heir of.
struct Witness
{
    Incarnation subject;
    std::vector<ShardClaim> claims;
    std::vector<WitnessedJob> jobs;
};

// A finished or not yet forgotten job, as handed to the next home of its shard.
struct TransferredJob
{
    JobKey key;
    std::uint64_t contentHash = 0;
    Answer answer;
    Duration age{}; // since the answer
};

struct TransferShard
{
    ShardClaim claim; // the epoch that the receiver will have
    std::vector<TransferredJob> jobs;
    std::vector<WitnessedJob> witnessed; // seen at earlier epochs and never answered by this home
};

struct TransferAck
{
    ShardClaim claim;
};

// The memory of a process that leaves, for its heir to answer with.
struct AdoptedJob
{
    WitnessedJob job;
    Epoch epoch; // lowest epoch at which the subject saw the job
    Duration age{};
};

// One bounded part. The subject leaves only after every part is acknowledged; the part number keeps
// a late acknowledgement of one part from standing for another.
struct AdoptWitness
{
    Incarnation subject;
    std::vector<AdoptedJob> jobs;
    std::uint32_t part = 0;
};

struct AdoptAck
{
    Incarnation subject;
    std::uint32_t part = 0;
};

using Message
    = std::variant<Feed, FeedAck, Probe, ProbeAck, SubmitJob, JobAccepted, JobAnswer, SubmitRefused,
                   CancelJob, QueryJob, JobNotFound, StartTask, TaskAccepted, TaskBusy, TaskRefused,
                   TaskDone, TaskDoneAck, CancelTask, TaskNotStarted, SlotOffer, OfferDeclined,
                   Raise, Witness, TransferShard, TransferAck, AdoptWitness, AdoptAck>;

// All messages that one process sends to another in one turn of its loop.
struct Envelope
{
    Incarnation from;
    Incarnation to;
    std::vector<LoadReport> loads;
    std::vector<Message> messages;
};

} // namespace cactuscove
