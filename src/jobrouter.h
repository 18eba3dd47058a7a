// Entry side of a job: remembers forwarded keys (rule R3), forwards to the home of the shard,
// repeats until answered, and hands the answer to every caller that waits for the key.

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

class JobRouter
{
public:
    JobRouter(Incarnation self, const Ledger &ledger);

    // Commands
    // `waitUntil`: the caller gets JobAccepted if the home has the job and there is no answer by
    // then. `trace`: the span that the entry's own span becomes a child of.
    void submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                TimePoint now, Outbox &out);
    void query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now, Outbox &out);
    void cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                Outbox &out);
    void callerDisconnected(CallerId caller); // the job itself goes on
    void onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out);
    // At most once for each message that was sent.
    void onUndelivered(Incarnation to, const Message &message, TimePoint now, Outbox &out);
    void onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out);
    void onTimer(TimePoint now, Outbox &out);

    // Queries
    TimePoint nextTimer() const;
    bool isIdle() const { return m_jobs.empty(); } // no caller waits, every job has a home
    std::size_t rememberedKeyCount() const { return m_memory.size(); }
    std::size_t memoryBytes() const { return m_memory.bytes(); }
    std::vector<AdoptedJob> memory(ShardId shard, TimePoint now) const;
    Epoch fence(ShardId shard) const; // rule R2

private:
    enum class Request { Submit, Query, Cancel };

    struct Waiter
    {
        CallerId caller;
        Request request = Request::Submit;
        TimePoint waitUntil;
    };

    // Forwards of one epoch that are not known to be undelivered.
    struct Forwards
    {
        Epoch epoch;
        std::uint32_t unsettled = 0;
    };

    // A key that a caller waits for, or whose job the home has not accepted yet.
    struct Pending
    {
        std::uint64_t serial = 0; // orders jobs in the same way in every run
        KeyHash hash;
        std::optional<JobSpec> spec; // absent if callers only query or cancel
        bool wantsCancel = false;
        bool isAccepted = false;  // by the home of `epoch`
        bool wasAccepted = false; // by any home
        Incarnation home;         // of the last forward; 0 before the first one
        Epoch epoch;
        std::uint32_t refusals = 0; // of NotHome and Moving in a row
        // The key was not remembered before the first of these forwards.
        bool ownsMemory = false;
        std::vector<Forwards> forwards;
        TimePoint startedAt;
        TimePoint deadline;
        TimePoint patienceEnd;
        TimePoint nextSend;
        TimePoint wakeAt = NeverTime;
        TraceContext parent; // of the caller
        TraceContext trace;  // of the entry's span
        std::vector<Waiter> waiters;
    };

    // The highest epoch heard of from a Raise, and its sender, which is the home of that epoch.
    struct RaisedFence
    {
        Epoch epoch;
        Incarnation home;
    };

    using Jobs = std::unordered_map<JobKey, Pending>;

    Pending &pendingFor(const JobKey &key, TimePoint now);
    void addSpec(Pending &job, JobSpec spec, TraceContext trace, TimePoint now);
    void forward(const JobKey &key, Pending &job, TimePoint now, Outbox &out);
    void remember(Pending &job, TimePoint now);
    Incarnation homeOf(ShardId shard) const;
    bool isHeirOf(Incarnation subject) const;
    static TimePoint giveUpAt(const Pending &job);
    Pending *pendingAt(const JobKey &key, Incarnation home, Epoch epoch);
    void onAccepted(Incarnation from, const JobAccepted &message, TimePoint now, Outbox &out);
    void onAnswer(Incarnation from, const JobAnswer &message, TimePoint now, Outbox &out);
    void onRefused(Incarnation from, const SubmitRefused &message, TimePoint now, Outbox &out);
    void onNotFound(Incarnation from, const JobNotFound &message, TimePoint now, Outbox &out);
    void onRaise(Incarnation from, const Raise &message, TimePoint now, Outbox &out);
    void onAdopt(Incarnation from, const AdoptWitness &message, TimePoint now, Outbox &out);
    void answerSubject(Incarnation to, Incarnation subject, const Raise &message, TimePoint now,
                       Outbox &out) const;
    void acceptDueWaiters(const JobKey &key, Pending &job, TimePoint now, Outbox &out);
    void answerAll(const JobKey &key, Pending &job, const Answer &answer, TimePoint now,
                   Outbox &out);
    void emitSpan(const JobKey &key, const Pending &job, std::string_view outcome, TimePoint now,
                  Outbox &out) const;
    void redirect(std::span<const ShardId> shards, bool membersChanged, TimePoint now, Outbox &out);
    void update(const JobKey &key);
    void drop(const JobKey &key);
    Duration lifetime() const;

    Incarnation m_self;
    const Ledger &m_ledger;
    EntryMemory m_memory;
    std::array<RaisedFence, ShardCount> m_raised{};
    Jobs m_jobs;
    std::unordered_map<CallerId, JobKey> m_callers; // every waiter of every pending job
    std::set<std::tuple<TimePoint, std::uint64_t, const JobKey *>> m_timers; // keys in m_jobs
    std::uint64_t m_lastSerial = 0;
    TimePoint m_nextSweep{};
};

} // namespace cactuscove
