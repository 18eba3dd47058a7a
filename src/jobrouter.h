// The entry side of a job: forwards the job to the home of its shard, repeats the request until the
// job is answered, and gives the answer to every caller that waits for the key.
//
// An entry remembers the key of every job before it forwards it, and reports it to later homes of
// the shard, so that none of them takes the job as new (rule R3). It forwards nothing at an epoch
// below the highest that it has heard of (rule R2).

#pragma once

#include "entrymemory.h"
#include "ledger.h"
#include "messages.h"
#include "outbox.h"
#include "types.h"

#include <array>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace cactuscove {

// The entry node owns this object and passes it every event. Each call of submit(), query() or
// cancel() leads to one AnswerCaller effect, unless callerDisconnected() comes first.
class JobRouter
{
public:
    // `ledger` must outlive this object.
    JobRouter(Incarnation self, const Ledger &ledger);

    // Commands
    // At `waitUntil` the caller gets JobAccepted if the home has accepted the job and there is no
    // answer yet. `trace` is the parent of the entry's own span; empty without a trace.
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now, Outbox &out);
    void cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                Outbox &out);
    void callerDisconnected(CallerId caller); // the caller's connection is closed; its job goes on
    // Handles the replies of homes, StartEpoch and AdoptWitness; ignores other messages.
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // A message of this router was provably not delivered. At most one call for each message sent.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;                   // when onTimer() is due
    bool isIdle() const { return m_jobs.empty(); } // no caller waits, nor a job to be accepted
    std::size_t rememberedKeyCount() const { return m_memory.size(); }
    std::size_t memoryBytes() const { return m_memory.bytes(); } // of the remembered keys
    // The remembered keys of a shard, for the successor of an entry that leaves.
    std::vector<AdoptedJob> rememberedJobs(ShardId shard, TimePoint now) const;
    // The highest epoch known from the ledger or from a StartEpoch. Every forward carries it.
    Epoch fence(ShardId shard) const;

private:
    enum class Request { Submit, Query, Cancel };

    struct Waiter
    {
        CallerId caller;
        Request request = Request::Submit;
        TimePoint waitUntil;
    };

    // SubmitJob messages of one epoch.
    struct Forwards
    {
        Epoch epoch;
        std::uint32_t maybeDelivered = 0; // sent, and not proved to be undelivered
    };

    // A key that a caller waits for, or whose job the home has not accepted yet.
    struct PendingJob
    {
        std::uint64_t serial = 0;    // orders jobs in the same way in every run
        KeyHash hash;                // of the key
        std::optional<JobSpec> spec; // empty if callers only query or cancel
        bool wantsCancel = false;
        bool isAccepted = false;    // by the home of `epoch`
        bool wasAccepted = false;   // by any home
        Incarnation home;           // of the last forward; 0 before the first one
        Epoch epoch;                // of the last forward
        std::uint32_t refusals = 0; // NotHome and Transferring in a row, at most MaxRefusalShift
        // The key was not remembered before the first message counted in `forwards`, so that it can
        // be forgotten if all of those prove to be undelivered.
        bool ownsRememberedKey = false;
        std::vector<Forwards> forwards; // in ascending order of epochs
        TimePoint startedAt;
        TimePoint deadline;      // of the job; NeverTime until there is a spec
        TimePoint homeTimeoutAt; // callers are answered then unless the home replies
        TimePoint nextSend;
        TimePoint timerAt = NeverTime; // its place in m_timers
        TraceContext parent;           // of the caller
        TraceContext trace;            // of the entry's span
        std::vector<Waiter> waiters;
    };

    // The highest epoch of a shard named in a StartEpoch, and the sender, which is the home of that
    // epoch.
    struct EpochFence
    {
        Epoch epoch;
        Incarnation home;
    };

    using Jobs = std::unordered_map<JobKey, PendingJob>;

    PendingJob &pendingFor(const JobKey &key, TimePoint now);
    void addSpec(PendingJob &job, JobSpec spec, TraceContext trace, TimePoint now);
    void forward(const JobKey &key, PendingJob &job, TimePoint now, Outbox &out);
    void remember(PendingJob &job, TimePoint now);
    Incarnation homeOf(ShardId shard) const;
    bool isSuccessorOf(Incarnation subject) const;
    static TimePoint giveUpAt(const PendingJob &job);
    PendingJob *pendingJobAt(const JobKey &key, Incarnation home, Epoch epoch);
    void onAccepted(Incarnation from, const JobAccepted &message, TimePoint now, Outbox &out);
    void onAnswer(Incarnation from, const JobAnswer &message, TimePoint now, Outbox &out);
    void onRefused(Incarnation from, const SubmitRefused &message, TimePoint now, Outbox &out);
    void onNotFound(Incarnation from, const JobNotFound &message, TimePoint now, Outbox &out);
    void onStartEpoch(Incarnation from, const StartEpoch &message, TimePoint now, Outbox &out);
    void onAdopt(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out);
    void sendWitness(Incarnation to, Incarnation subject, const StartEpoch &message, TimePoint now,
                     Outbox &out) const;
    void acceptDueWaiters(const JobKey &key, PendingJob &job, TimePoint now, Outbox &out);
    void answerAll(const JobKey &key, PendingJob &job, const Answer &answer, TimePoint now,
                   Outbox &out);
    void emitSpan(const JobKey &key, const PendingJob &job, std::string_view outcome, TimePoint now,
                  Outbox &out) const;
    void forwardToNewHomes(std::span<const ShardId> shards, bool membersChanged, TimePoint now,
                           Outbox &out);
    void dropOrArmTimer(const JobKey &key);
    void drop(const JobKey &key);
    Duration keyRetention() const;

    Incarnation m_self;
    const Ledger &m_ledger;
    EntryMemory m_memory; // the keys that were forwarded or adopted
    std::array<EpochFence, ShardCount> m_fences{};
    Jobs m_jobs;
    std::unordered_map<CallerId, JobKey> m_callers; // every waiter of every pending job
    // timerAt, serial and key of every pending job.
    std::set<std::tuple<TimePoint, std::uint64_t, const JobKey *>> m_timers;
    std::uint64_t m_lastSerial = 0;
    TimePoint m_nextSweep{};
};

} // namespace cactuscove
