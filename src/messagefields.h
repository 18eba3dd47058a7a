// Names and members of every structure that is sent between processes. The message codec uses these
// lists for encoding and decoding.

#pragma once

#include "messages.h"

#include <array>
#include <tuple>
#include <variant>

namespace cactuscove {

// Selects an overload of fieldsOf() or lastEnumerator() by type.
template <typename T>
struct Tag
{};

enum class Presence {
    Required,
    Optional, // omitted if it has its default value, and left at the default if it is missing
};

// One member of a structure.
template <typename Owner, typename Value>
struct Field
{
    const char *name; // in the JSON object
    Value Owner::*member;
    Presence presence;
};

template <typename Owner, typename Value>
constexpr Field<Owner, Value> required(const char *name, Value Owner::*member)
{
    return {name, member, Presence::Required};
}

template <typename Owner, typename Value>
constexpr Field<Owner, Value> optional(const char *name, Value Owner::*member)
{
    return {name, member, Presence::Optional};
}

// Names of the message types in JSON, in the order of the alternatives of Message. StartEpoch keeps
// the name that processes of earlier versions know.
inline constexpr std::array MessageNames{
    "Feed",          "FeedAck",     "Probe",          "ProbeAck",         "SubmitJob",
    "JobAccepted",   "JobAnswer",   "SubmitRefused",  "CancelJob",        "QueryJob",
    "JobNotFound",   "StartTask",   "TaskAccepted",   "TaskBusy",         "TaskRefused",
    "TaskDone",      "TaskDoneAck", "CancelTask",     "TaskNotStarted",   "SlotOffer",
    "OfferDeclined", "Raise",       "Witness",        "TransferShard",    "TransferAck",
    "AdoptWitness",  "AdoptAck",    "TransferCancel", "TransferCancelled"};
static_assert(MessageNames.size() == std::variant_size_v<Message>);

// One overload for each structure: a tuple of Field with every member.
constexpr auto fieldsOf(Tag<TraceContext>)
{
    return std::tuple{required("trace", &TraceContext::traceId),
                      required("span", &TraceContext::spanId)};
}

constexpr auto fieldsOf(Tag<TaskResources>)
{
    return std::tuple{optional("accelerators", &TaskResources::accelerators),
                      optional("memory_mb", &TaskResources::memoryMb)};
}

constexpr auto fieldsOf(Tag<TaskSpec>)
{
    return std::tuple{required("id", &TaskSpec::id), required("payload", &TaskSpec::payload),
                      optional("declared", &TaskSpec::declaredRunTime),
                      optional("needs", &TaskSpec::needs)};
}

constexpr auto fieldsOf(Tag<JobSpec>)
{
    return std::tuple{required("key", &JobSpec::key),
                      required("team", &JobSpec::team),
                      required("class", &JobSpec::jobClass),
                      required("upstream", &JobSpec::upstream),
                      required("deadline", &JobSpec::deadline),
                      optional("idempotent", &JobSpec::idempotent),
                      required("content", &JobSpec::contentHash),
                      required("tasks", &JobSpec::tasks)};
}

constexpr auto fieldsOf(Tag<TaskResult>)
{
    return std::tuple{
        required("status", &TaskResult::status), optional("http", &TaskResult::httpStatus),
        optional("body", &TaskResult::body), optional("run_time", &TaskResult::runTime)};
}

constexpr auto fieldsOf(Tag<TaskAnswer>)
{
    return std::tuple{required("id", &TaskAnswer::id), required("http", &TaskAnswer::httpStatus),
                      required("body", &TaskAnswer::body)};
}

constexpr auto fieldsOf(Tag<Answer>)
{
    return std::tuple{required("outcome", &Answer::outcome), optional("reason", &Answer::reason),
                      optional("retry_after", &Answer::retryAfter),
                      optional("tasks", &Answer::tasks)};
}

constexpr auto fieldsOf(Tag<LoadReport>)
{
    return std::tuple{required("agent", &LoadReport::agent),
                      optional("upstream", &LoadReport::upstream),
                      optional("free", &LoadReport::freeSlots),
                      optional("slots", &LoadReport::slots),
                      optional("queued", &LoadReport::queued),
                      optional("capacity", &LoadReport::capacity),
                      optional("draining", &LoadReport::draining),
                      optional("age", &LoadReport::age),
                      optional("failures", &LoadReport::failurePercent)};
}

constexpr auto fieldsOf(Tag<TaskRef>)
{
    return std::tuple{required("key", &TaskRef::key), required("index", &TaskRef::index)};
}

constexpr auto fieldsOf(Tag<ShardClaim>)
{
    return std::tuple{required("shard", &ShardClaim::shard), required("epoch", &ShardClaim::epoch)};
}

constexpr auto fieldsOf(Tag<Feed>)
{
    return std::tuple{optional("records", &Feed::records), optional("snapshot", &Feed::snapshot),
                      required("next", &Feed::next), optional("log_contact", &Feed::logContact)};
}

constexpr auto fieldsOf(Tag<FeedAck>)
{
    return std::tuple{required("next", &FeedAck::next), optional("stamp", &FeedAck::stamp)};
}

constexpr auto fieldsOf(Tag<Probe>)
{
    return std::tuple{};
}

constexpr auto fieldsOf(Tag<ProbeAck>)
{
    return std::tuple{};
}

constexpr auto fieldsOf(Tag<SubmitJob>)
{
    return std::tuple{required("spec", &SubmitJob::spec), required("epoch", &SubmitJob::epoch),
                      required("remaining", &SubmitJob::remaining),
                      optional("trace", &SubmitJob::trace),
                      optional("sent_at", &SubmitJob::sentAt)};
}

constexpr auto fieldsOf(Tag<JobAccepted>)
{
    return std::tuple{required("key", &JobAccepted::key), required("epoch", &JobAccepted::epoch)};
}

constexpr auto fieldsOf(Tag<JobAnswer>)
{
    return std::tuple{required("key", &JobAnswer::key), required("epoch", &JobAnswer::epoch),
                      required("answer", &JobAnswer::answer),
                      optional("asked_at", &JobAnswer::askedAt)};
}

constexpr auto fieldsOf(Tag<SubmitRefused>)
{
    return std::tuple{required("key", &SubmitRefused::key),
                      required("reason", &SubmitRefused::reason),
                      required("home_epoch", &SubmitRefused::homeEpoch)};
}

constexpr auto fieldsOf(Tag<CancelJob>)
{
    return std::tuple{required("key", &CancelJob::key), required("epoch", &CancelJob::epoch),
                      optional("sent_at", &CancelJob::sentAt)};
}

constexpr auto fieldsOf(Tag<QueryJob>)
{
    return std::tuple{required("key", &QueryJob::key), required("epoch", &QueryJob::epoch),
                      optional("sent_at", &QueryJob::sentAt)};
}

constexpr auto fieldsOf(Tag<JobNotFound>)
{
    return std::tuple{required("key", &JobNotFound::key), required("epoch", &JobNotFound::epoch)};
}

constexpr auto fieldsOf(Tag<StartTask>)
{
    return std::tuple{required("ref", &StartTask::ref),
                      required("attempt", &StartTask::attempt),
                      required("epoch", &StartTask::epoch),
                      optional("content", &StartTask::contentHash),
                      optional("task_count", &StartTask::taskCount),
                      required("task", &StartTask::task),
                      required("team", &StartTask::team),
                      required("class", &StartTask::jobClass),
                      required("upstream", &StartTask::upstream),
                      optional("idempotent", &StartTask::idempotent),
                      optional("offer_reply", &StartTask::isOfferReply),
                      required("remaining", &StartTask::remaining),
                      optional("trace", &StartTask::trace)};
}

constexpr auto fieldsOf(Tag<TaskAccepted>)
{
    return std::tuple{required("ref", &TaskAccepted::ref),
                      required("attempt", &TaskAccepted::attempt)};
}

constexpr auto fieldsOf(Tag<TaskBusy>)
{
    return std::tuple{required("ref", &TaskBusy::ref), required("attempt", &TaskBusy::attempt)};
}

constexpr auto fieldsOf(Tag<TaskDoneAck>)
{
    return std::tuple{required("ref", &TaskDoneAck::ref),
                      required("attempt", &TaskDoneAck::attempt)};
}

constexpr auto fieldsOf(Tag<TaskNotStarted>)
{
    return std::tuple{required("ref", &TaskNotStarted::ref),
                      required("attempt", &TaskNotStarted::attempt)};
}

constexpr auto fieldsOf(Tag<SlotOffer>)
{
    return std::tuple{required("ref", &SlotOffer::ref), required("attempt", &SlotOffer::attempt)};
}

constexpr auto fieldsOf(Tag<OfferDeclined>)
{
    return std::tuple{required("ref", &OfferDeclined::ref),
                      required("attempt", &OfferDeclined::attempt)};
}

constexpr auto fieldsOf(Tag<TaskRefused>)
{
    return std::tuple{
        required("ref", &TaskRefused::ref), required("attempt", &TaskRefused::attempt),
        required("reason", &TaskRefused::reason), required("fence", &TaskRefused::fence)};
}

constexpr auto fieldsOf(Tag<TaskDone>)
{
    return std::tuple{required("ref", &TaskDone::ref), required("attempt", &TaskDone::attempt),
                      required("result", &TaskDone::result)};
}

constexpr auto fieldsOf(Tag<CancelTask>)
{
    return std::tuple{required("ref", &CancelTask::ref), required("attempt", &CancelTask::attempt),
                      required("epoch", &CancelTask::epoch)};
}

constexpr auto fieldsOf(Tag<StartEpoch>)
{
    return std::tuple{required("claims", &StartEpoch::claims)};
}

constexpr auto fieldsOf(Tag<WitnessedTask>)
{
    return std::tuple{required("index", &WitnessedTask::index), optional("id", &WitnessedTask::id),
                      required("result", &WitnessedTask::result)};
}

constexpr auto fieldsOf(Tag<WitnessedJob>)
{
    return std::tuple{
        required("key", &WitnessedJob::key), optional("content", &WitnessedJob::contentHash),
        optional("task_count", &WitnessedJob::taskCount), optional("tasks", &WitnessedJob::tasks)};
}

constexpr auto fieldsOf(Tag<Witness>)
{
    return std::tuple{required("subject", &Witness::subject), required("claims", &Witness::claims),
                      optional("jobs", &Witness::jobs)};
}

constexpr auto fieldsOf(Tag<TransferredJob>)
{
    return std::tuple{
        required("key", &TransferredJob::key), required("content", &TransferredJob::contentHash),
        required("answer", &TransferredJob::answer), required("age", &TransferredJob::age)};
}

constexpr auto fieldsOf(Tag<TransferShard>)
{
    return std::tuple{required("claim", &TransferShard::claim),
                      optional("jobs", &TransferShard::jobs),
                      optional("witnessed", &TransferShard::witnessed)};
}

constexpr auto fieldsOf(Tag<TransferAck>)
{
    return std::tuple{required("claim", &TransferAck::claim)};
}

constexpr auto fieldsOf(Tag<TransferCancel>)
{
    return std::tuple{required("claim", &TransferCancel::claim)};
}

constexpr auto fieldsOf(Tag<TransferCancelled>)
{
    return std::tuple{required("claim", &TransferCancelled::claim)};
}

constexpr auto fieldsOf(Tag<AdoptedJob>)
{
    return std::tuple{required("job", &AdoptedJob::job), required("epoch", &AdoptedJob::epoch),
                      required("age", &AdoptedJob::age)};
}

constexpr auto fieldsOf(Tag<AdoptWitness>)
{
    return std::tuple{required("subject", &AdoptWitness::subject),
                      optional("jobs", &AdoptWitness::jobs), optional("part", &AdoptWitness::part)};
}

constexpr auto fieldsOf(Tag<AdoptAck>)
{
    return std::tuple{required("subject", &AdoptAck::subject), optional("part", &AdoptAck::part)};
}

constexpr auto fieldsOf(Tag<Envelope>)
{
    return std::tuple{required("from", &Envelope::from), required("to", &Envelope::to),
                      optional("loads", &Envelope::loads),
                      required("messages", &Envelope::messages)};
}

constexpr auto fieldsOf(Tag<SnapshotRecord>)
{
    return std::tuple{required("as_of", &SnapshotRecord::asOf),
                      required("state", &SnapshotRecord::state)};
}

// The last enumerator, for the range check of the decoder. Enumerators are sent as numbers.
constexpr TaskStatus lastEnumerator(Tag<TaskStatus>)
{
    return TaskStatus::Unknown;
}
constexpr Outcome lastEnumerator(Tag<Outcome>)
{
    return Outcome::Unknown;
}
constexpr SubmitRefusal lastEnumerator(Tag<SubmitRefusal>)
{
    return SubmitRefusal::ContentMismatch;
}
constexpr TaskRefusal lastEnumerator(Tag<TaskRefusal>)
{
    return TaskRefusal::Tombstone;
}

} // namespace cactuscove
