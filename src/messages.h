// The messages between the processes of the fleet. A message is one-way and may be lost,
// duplicated, delayed or reordered. So every handler is idempotent, and a sender that needs an
// answer repeats its message at intervals.
//
// A job key belongs to a shard, and each shard has one home: the agent that accepts its jobs and
// places their tasks. A new home claims a shard under a higher epoch. Entries forward the requests
// of callers to the homes. An agent is also the executor of the tasks that run on the upstream
// beside it.

#pragma once

#include "records.h"
#include "types.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cactuscove {

// Identifies one task of one job.
struct TaskRef
{
    JobKey key;
    std::uint16_t index = 0; // in JobSpec::tasks
    auto operator<=>(const TaskRef &) const = default;
};

// Entry -> agent: passes on new records of the log, in order, or a snapshot if the agent is too far
// behind.
struct Feed
{
    std::vector<LogRecord> records;
    std::optional<SnapshotRecord> snapshot;
    LogOffset next; // first offset after the records
    // A time on the agent's clock, in microseconds: an agent that has applied every offset below
    // `next` holds all records that the log held at that time. It is the newest FeedAck::stamp
    // that the entry had when it began a read of the log that ended at or before `next`. 0 if there
    // is none.
    std::uint64_t logContact = 0;
};

// Agent -> entry: answers a Feed.
struct FeedAck
{
    LogOffset next;          // the agent's ledger has applied every offset below this one
    std::uint64_t stamp = 0; // time of sending on the agent's clock, in microseconds
};

// Entry -> member that it does not feed: asks whether the member is alive. Every message from it
// counts as an answer.
struct Probe
{};

struct ProbeAck
{};

// Entry -> home: submits a job. The entry repeats it until it is answered with JobAccepted,
// JobAnswer or SubmitRefused; the home recognises a repeat by the job key.
struct SubmitJob
{
    JobSpec spec;
    Epoch epoch;          // of the shard, as the entry knows it
    Duration remaining{}; // until the deadline, at the time of sending
    TraceContext trace;
    Duration sentAt{}; // time of sending on the entry's clock; copied to JobAnswer::askedAt
};

// Home -> entry: the home has the job and will answer it later.
struct JobAccepted
{
    JobKey key;
    Epoch epoch;
};

// Home -> entry: the answer to a job. Sent when the job ends, and again for each later request.
struct JobAnswer
{
    JobKey key;
    Epoch epoch;
    Answer answer;
    Duration askedAt{}; // `sentAt` of the request that this answers; 0 if it answers none
};

enum class SubmitRefusal {
    NotHome,         // another process is the home, or the epoch differs
    Transferring,    // the shard is being transferred; the entry tries again shortly
    ContentMismatch, // the key belongs to a job with different content
};

// Agent -> entry: the request was refused and has had no effect.
struct SubmitRefused
{
    JobKey key;
    SubmitRefusal reason = SubmitRefusal::NotHome;
    Epoch homeEpoch; // highest epoch of the shard that the sender knows
};

// Entry -> home: cancels a job on behalf of a caller. Answered like SubmitJob, or with JobNotFound.
struct CancelJob
{
    JobKey key;
    Epoch epoch;
    Duration sentAt{}; // as in SubmitJob
};

// Entry -> home: asks for the answer to a job that the entry does not have the specification of.
// Answered like CancelJob.
struct QueryJob
{
    JobKey key;
    Epoch epoch;
    Duration sentAt{}; // as in SubmitJob
};

// Home -> entry: answers QueryJob and CancelJob. The home knows its shard completely and has never
// seen the key, or has forgotten it.
struct JobNotFound
{
    JobKey key;
    Epoch epoch;
};

// Home -> executor: asks to start a task. It may be repeated, because the executor starts each
// attempt at most once. Answered with TaskAccepted, TaskBusy, TaskRefused or, if the task has
// already ended, TaskDone.
struct StartTask
{
    TaskRef ref;
    std::uint32_t attempt = 0;     // rises each time the home places the task again
    Epoch epoch;                   // of the shard of the job key
    std::uint64_t contentHash = 0; // of the job; kept by the executor for WitnessedJob
    std::uint16_t taskCount = 0;   // of the job; likewise
    TaskSpec task;
    std::string team;
    std::string jobClass;
    std::string upstream;
    bool idempotent = false;
    bool isOfferReply = false; // answers a SlotOffer: the task takes the offered slot
    Duration remaining{};      // the task must not start later than this after sending
    TraceContext trace;
};

// Executor -> home: the task has started and is running.
struct TaskAccepted
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Executor -> home: no slot is free. The executor keeps a reservation and sends SlotOffer when a
// slot becomes free.
struct TaskBusy
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

enum class TaskRefusal {
    StaleEpoch,     // the executor knows a higher epoch of the shard
    NoUpstream,     // no upstream of the requested name is beside the executor
    Draining,       // the executor is shutting down
    CannotRun,      // the task needs more than the upstream has
    DeadlinePassed, // `remaining` was not positive
    // This attempt has already ended without a start, a later attempt has arrived before it, or the
    // slot that was offered to it is taken.
    Tombstone
};

// Executor -> home: this attempt has not started here and never will.
struct TaskRefused
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    TaskRefusal reason = TaskRefusal::NoUpstream;
    Epoch fence; // highest epoch of the shard that the executor knows
};

// Executor -> home: the task has ended. The executor repeats it until it is acknowledged.
struct TaskDone
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    TaskResult result;
};

// Home -> executor: the result has arrived and need not be repeated.
struct TaskDoneAck
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Home -> executor: stops the task if it is running. If the task has not started, the executor
// leaves a tombstone, so that a late StartTask of this or an earlier attempt is refused.
struct CancelTask
{
    TaskRef ref;
    std::uint32_t attempt = 0;
    Epoch epoch;
};

// Executor -> home: answers CancelTask if the task has not started. If it has, the answer is
// TaskAccepted or TaskDone.
struct TaskNotStarted
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Executor -> home: a slot is free for the reservation of this task. Answered with StartTask or
// OfferDeclined.
struct SlotOffer
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// Home -> executor: the reservation is no longer needed.
struct OfferDeclined
{
    TaskRef ref;
    std::uint32_t attempt = 0;
};

// New home -> every registered incarnation: from now on the receiver must refuse requests of lower
// epochs for these shards. Answered with Witness.
struct StartEpoch
{
    std::vector<ShardClaim> claims; // the shards with the epochs of the new home
};

// A task that has started at an executor.
struct WitnessedTask
{
    std::uint16_t index = 0;
    std::string id;    // of the task in its job, for an answer without the specification
    TaskResult result; // Unknown while the task is running
};

// A job that a process has seen at an epoch lower than the claimed one.
struct WitnessedJob
{
    KeyHash key;
    std::uint64_t contentHash = 0;    // 0 if the witness does not know it
    std::uint16_t taskCount = 0;      // 0 if the witness does not know it
    std::vector<WitnessedTask> tasks; // empty if the witness is an entry
};

// Answers StartEpoch: all jobs of the claimed shards that `subject` has seen at lower epochs.
// `subject` is the sender itself, or a process that has left and made the sender its successor by
// handing over its records.
struct Witness
{
    Incarnation subject;
    std::vector<ShardClaim> claims; // those of the StartEpoch that this message answers
    std::vector<WitnessedJob> jobs;
};

// An answered job that is handed to the next home of its shard.
struct TransferredJob
{
    JobKey key;
    std::uint64_t contentHash = 0;
    Answer answer;
    Duration age{}; // since the answer
};

// Home -> the agent that becomes the next home of the shard by a planned transfer.
struct TransferShard
{
    ShardClaim claim; // the epoch that the receiver will have
    std::vector<TransferredJob> jobs;
    std::vector<WitnessedJob> witnessed; // reported by witnesses of earlier epochs
};

// Next home -> home: the jobs of the shard have arrived.
struct TransferAck
{
    ShardClaim claim;
};

// Home -> next home: the claim could not be recorded. The receiver forgets what was transferred for
// it, for good. If the claim takes effect all the same, it asks the witnesses.
struct TransferCancel
{
    ShardClaim claim;
};

// Next home -> home: nothing of the transfer is kept, and the claim has not taken effect so far.
struct TransferCancelled
{
    ShardClaim claim;
};

// A job that a leaving process has seen. Its successor answers later StartEpoch messages with it.
struct AdoptedJob
{
    WitnessedJob job;
    Epoch epoch; // lowest epoch at which the subject saw the job
    // Since the last change of the job; from an entry since its deadline, so negative before that.
    Duration age{};
};

// Leaving process -> successor: one part of the jobs that `subject` has seen. `subject` is the
// sender, or a process whose successor the sender is. The sender leaves only after every part is
// acknowledged.
struct AdoptWitness
{
    Incarnation subject;
    std::vector<AdoptedJob> jobs;
    std::uint32_t part = 0; // never reused, so that a late AdoptAck cannot match another part
};

// Successor -> leaving process: the part is stored.
struct AdoptAck
{
    Incarnation subject;
    std::uint32_t part = 0;
};

using Message
    = std::variant<Feed, FeedAck, Probe, ProbeAck, SubmitJob, JobAccepted, JobAnswer, SubmitRefused,
                   CancelJob, QueryJob, JobNotFound, StartTask, TaskAccepted, TaskBusy, TaskRefused,
                   TaskDone, TaskDoneAck, CancelTask, TaskNotStarted, SlotOffer, OfferDeclined,
                   StartEpoch, Witness, TransferShard, TransferAck, AdoptWitness, AdoptAck,
                   TransferCancel, TransferCancelled>;

// The unit of transmission: all messages that one process sends to another in one turn of its event
// loop, with the load reports that the sender knows, or, if there are more than MaxLoadsPerEnvelope
// (peerlinks.cpp), that many of them in turn.
struct Envelope
{
    Incarnation from;
    Incarnation to;
    std::vector<LoadReport> loads;
    std::vector<Message> messages;
};

} // namespace cactuscove
