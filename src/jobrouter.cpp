// Forwarding of jobs, and the callers that wait for them. The remembered keys and the replies to
// witness rounds are in jobrouterwitness.cpp.

#include "jobrouter.h"

#include <xxhash.h>

#include <algorithm>
#include <bitset>
#include <cstdio>

namespace cactuscove {

namespace {

// A pending job costs one message in each interval, a small one once its home has accepted it.
constexpr Duration RepeatInterval = std::chrono::seconds(1);

// Pause from a refusal to the next forward; it doubles with each refusal in a row. The claim or
// transfer behind a refusal shows in the ledger within milliseconds.
constexpr Duration FirstRefusalPause = std::chrono::milliseconds(50);
constexpr std::uint32_t MaxRefusalShift = 5; // 50 ms << 5 is beyond RepeatInterval

// Callers are answered home_unreachable if the home sends nothing about their job for this long.
constexpr Duration HomeTimeout = std::chrono::seconds(5);

// Retry times are spread over about the time of a takeover, so that callers do not come back
// together.
constexpr Duration MinRetryTime = std::chrono::seconds(1);
constexpr std::uint64_t RetrySpreadUs = 4'000'000;

// Keeps the remembered keys near 120 MB when jobs arrive at far more than the expected rate.
constexpr std::size_t MaxRememberedKeys = 4'000'000;

constexpr Duration SweepInterval = std::chrono::seconds(1);

Answer unknownAnswer(std::string reason, const KeyHash &hash, std::uint64_t serial)
{
    Answer answer;
    answer.outcome = Outcome::Unknown;
    answer.reason = std::move(reason);
    const std::uint64_t spread = XXH3_64bits_withSeed(&hash, sizeof(hash), serial) % RetrySpreadUs;
    answer.retryAfter = MinRetryTime + Duration(spread);
    return answer;
}

} // namespace

JobRouter::JobRouter(Incarnation self, const Ledger &ledger)
    : m_self(self)
    , m_ledger(ledger)
{}

JobRouter::PendingJob &JobRouter::pendingFor(const JobKey &key, TimePoint now)
{
    const auto [it, isNew] = m_jobs.try_emplace(key);
    PendingJob &job = it->second;
    if (isNew) {
        job.serial = ++m_lastSerial;
        job.hash = hashOf(key);
        job.startedAt = now;
        job.deadline = NeverTime;
        job.homeTimeoutAt = now + HomeTimeout;
        job.nextSend = now;
    }
    return job;
}

void JobRouter::submit(CallerId caller, JobSpec spec, TraceContext trace, TimePoint waitUntil,
                       TimePoint now, Outbox &out)
{
    const JobKey key = spec.key;
    if (m_memory.size() >= MaxRememberedKeys) {
        // The outcome is Unknown and not NotRun, because another entry may have forwarded the same
        // key.
        out.add(AnswerCaller{caller, key, unknownAnswer("entry_overloaded", hashOf(key), 0)});
        return;
    }
    PendingJob &job = pendingFor(key, now);
    if (job.spec && job.spec->contentHash != spec.contentHash) {
        out.add(AnswerCaller{caller, key, SubmitRefusal::ContentMismatch});
        return;
    }
    job.waiters.push_back({caller, Request::Submit, waitUntil});
    m_callers[caller] = key;
    if (!job.spec) {
        addSpec(job, std::move(spec), std::move(trace), now);
        forward(key, job, now, out);
    } else if (waitUntil <= now) {
        acceptDueWaiters(key, job, now, out);
    }
    dropOrArmTimer(key);
}

void JobRouter::addSpec(PendingJob &job, JobSpec spec, TraceContext trace, TimePoint now)
{
    job.deadline = now + spec.deadline;
    job.homeTimeoutAt = now + HomeTimeout;
    job.isAccepted = false;
    job.spec = std::move(spec);
    job.parent = std::move(trace);
    if (job.parent.traceId.empty())
        return;
    char id[17];
    std::snprintf(id, sizeof(id), "%016llx",
                  static_cast<unsigned long long>(
                      XXH3_64bits_withSeed(&job.serial, sizeof(job.serial), m_self.value)));
    job.trace = {job.parent.traceId, id};
}

void JobRouter::query(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                      Outbox &out)
{
    PendingJob &job = pendingFor(key, now);
    job.waiters.push_back({caller, Request::Query, waitUntil});
    m_callers[caller] = key;
    if (job.home.value == 0)
        forward(key, job, now, out);
    else
        acceptDueWaiters(key, job, now, out);
    dropOrArmTimer(key);
}

void JobRouter::cancel(CallerId caller, const JobKey &key, TimePoint waitUntil, TimePoint now,
                       Outbox &out)
{
    PendingJob &job = pendingFor(key, now);
    job.waiters.push_back({caller, Request::Cancel, waitUntil});
    m_callers[caller] = key;
    job.wantsCancel = true;
    forward(key, job, now, out);
    dropOrArmTimer(key);
}

void JobRouter::callerDisconnected(CallerId caller)
{
    const auto it = m_callers.find(caller);
    if (it == m_callers.end())
        return;
    const JobKey key = it->second;
    m_callers.erase(it);
    PendingJob &job = m_jobs.at(key);
    std::erase_if(job.waiters, [&](const Waiter &waiter) { return waiter.caller == caller; });
    dropOrArmTimer(key);
}

void JobRouter::forward(const JobKey &key, PendingJob &job, TimePoint now, Outbox &out)
{
    const ShardId shard = shardOf(job.hash);
    job.nextSend = now + RepeatInterval;
    const Incarnation home = homeOf(shard);
    if (home.value == 0)
        return;
    if (job.home != home || job.epoch != fence(shard)) {
        job.home = home;
        job.epoch = fence(shard);
        job.isAccepted = false;
        job.refusals = 0;
    }
    if (job.spec && !job.isAccepted && now < job.deadline) {
        remember(job, now);
        out.send(home, SubmitJob{*job.spec, job.epoch, job.deadline - now, job.trace,
                                 now.time_since_epoch()});
    } else if (!job.wantsCancel) {
        out.send(home,
                 QueryJob{key, job.epoch, now.time_since_epoch()}); // smaller than the job itself
    }
    if (job.wantsCancel)
        out.send(home, CancelJob{key, job.epoch, now.time_since_epoch()});
}

// The process to forward to; 0 if it is down or has left, or while this process is not registered.
Incarnation JobRouter::homeOf(ShardId shard) const
{
    if (!m_ledger.member(m_self))
        return {};
    const EpochFence &fence = m_fences[shard.value];
    const ShardState &state = m_ledger.shard(shard);
    const Incarnation home = fence.epoch > state.epoch ? fence.home : state.home;
    const MemberState *member = m_ledger.member(home);
    return !member || member->isUp() ? home : Incarnation{};
}

void JobRouter::onMessage(Incarnation from, const Message &message, TimePoint now, Outbox &out)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&message))
        onAccepted(from, *accepted, now, out);
    else if (const auto *answer = std::get_if<JobAnswer>(&message))
        onAnswer(from, *answer, now, out);
    else if (const auto *refused = std::get_if<SubmitRefused>(&message))
        onRefused(from, *refused, now, out);
    else if (const auto *missing = std::get_if<JobNotFound>(&message))
        onNotFound(from, *missing, now, out);
    else if (const auto *start = std::get_if<StartEpoch>(&message))
        onStartEpoch(from, *start, now, out);
    else if (const auto *adopt = std::get_if<AdoptWitness>(&message))
        onAdopt(from, *adopt, now, out);
}

// The job, if the sender is the home that it was last forwarded to, at the same epoch.
JobRouter::PendingJob *JobRouter::pendingJobAt(const JobKey &key, Incarnation home, Epoch epoch)
{
    const auto it = m_jobs.find(key);
    if (it == m_jobs.end() || it->second.home != home || it->second.epoch != epoch)
        return nullptr;
    return &it->second;
}

void JobRouter::onAccepted(Incarnation from, const JobAccepted &message, TimePoint now, Outbox &out)
{
    PendingJob *job = pendingJobAt(message.key, from, message.epoch);
    if (!job)
        return;
    job->isAccepted = true;
    job->wasAccepted = true;
    job->refusals = 0;
    job->homeTimeoutAt = now + HomeTimeout;
    acceptDueWaiters(message.key, *job, now, out);
    dropOrArmTimer(message.key);
}

// A completed answer is true whichever home gives it. Any other answer is taken only from the home
// that has the job now, because an earlier home may answer not_run for a job that a later home
// runs.
void JobRouter::onAnswer(Incarnation from, const JobAnswer &message, TimePoint now, Outbox &out)
{
    const auto it = m_jobs.find(message.key);
    if (it == m_jobs.end())
        return;
    if (message.answer.outcome != Outcome::Completed
        && !pendingJobAt(message.key, from, message.epoch))
        return;
    // After the retry time of a not_run answer the key is new, so a later forward of this entry may
    // have started the job. An answer that may have been under way for longer than its retry time
    // is therefore asked for once more.
    const std::optional<Duration> &retryAfter = message.answer.retryAfter;
    const bool isStale = message.answer.outcome == Outcome::NotRun && retryAfter
                         && now.time_since_epoch() - message.askedAt >= *retryAfter;
    if (isStale) {
        it->second.nextSend = now;
        dropOrArmTimer(message.key);
        return;
    }
    answerAll(message.key, it->second, message.answer, now, out);
}

void JobRouter::onRefused(Incarnation from, const SubmitRefused &message, TimePoint now,
                          Outbox &out)
{
    const auto it = m_jobs.find(message.key);
    if (it == m_jobs.end() || it->second.home != from)
        return;
    PendingJob &job = it->second;
    if (message.reason == SubmitRefusal::ContentMismatch) {
        // Callers that only query or cancel do not depend on the content.
        std::erase_if(job.waiters, [&](const Waiter &waiter) {
            if (waiter.request != Request::Submit)
                return false;
            out.add(AnswerCaller{waiter.caller, message.key, message.reason});
            m_callers.erase(waiter.caller);
            return true;
        });
        job.spec.reset();
        dropOrArmTimer(message.key);
        return;
    }
    // A reply to an earlier forward says nothing about the last one.
    if (message.homeEpoch < job.epoch && message.reason == SubmitRefusal::Transferring)
        return;
    if (message.reason == SubmitRefusal::Transferring)
        job.homeTimeoutAt = now + HomeTimeout; // the home is alive and transfers the shard
    job.isAccepted = false;
    job.nextSend = std::min(
        job.nextSend, now + std::min(RepeatInterval, FirstRefusalPause * (1 << job.refusals)));
    job.refusals = std::min(job.refusals + 1, MaxRefusalShift);
    dropOrArmTimer(message.key);
}

void JobRouter::onNotFound(Incarnation from, const JobNotFound &message, TimePoint now, Outbox &out)
{
    PendingJob *job = pendingJobAt(message.key, from, message.epoch);
    if (!job)
        return;
    if (job->spec) {
        // A query overtook the job, or the home has forgotten the job after the retry time of an
        // answer that was lost on the way here. The job is forwarded again at nextSend.
        job->isAccepted = false;
        return;
    }
    for (const Waiter &waiter : job->waiters) {
        out.add(AnswerCaller{waiter.caller, message.key, message});
        m_callers.erase(waiter.caller);
    }
    emitSpan(message.key, *job, "not_found", now, out);
    drop(message.key);
}

// Replies JobAccepted to the callers whose waitUntil has come, if the home has accepted the job.
void JobRouter::acceptDueWaiters(const JobKey &key, PendingJob &job, TimePoint now, Outbox &out)
{
    if (!job.isAccepted)
        return;
    std::erase_if(job.waiters, [&](const Waiter &waiter) {
        if (waiter.waitUntil > now)
            return false;
        out.add(AnswerCaller{waiter.caller, key, JobAccepted{key, job.epoch}});
        m_callers.erase(waiter.caller);
        return true;
    });
}

void JobRouter::answerAll(const JobKey &key, PendingJob &job, const Answer &answer, TimePoint now,
                          Outbox &out)
{
    for (const Waiter &waiter : job.waiters) {
        out.add(AnswerCaller{waiter.caller, key, answer});
        m_callers.erase(waiter.caller);
    }
    emitSpan(key, job, nameOf(answer.outcome), now, out);
    drop(JobKey(key)); // a copy, because `key` may be the one in m_jobs
}

void JobRouter::emitSpan(const JobKey &key, const PendingJob &job, std::string_view outcome,
                         TimePoint now, Outbox &out) const
{
    if (job.trace.spanId.empty())
        return;
    out.add(EmitSpan{"entry.job",
                     job.trace,
                     job.parent.spanId,
                     job.startedAt,
                     now,
                     {{"key", key.value},
                      {"outcome", std::string(outcome)},
                      {"epoch", std::to_string(job.epoch.value)}}});
}

void JobRouter::onLedgerChange(const LedgerChanges &changes, TimePoint now, Outbox &out)
{
    forwardToNewHomes(changes.shards, changes.members, now, out);
}

// Immediately forwards the jobs of `shards` whose home or epoch has changed, and the jobs that were
// not forwarded yet and have a home now. Restarts the HomeTimeout of these jobs.
void JobRouter::forwardToNewHomes(std::span<const ShardId> shards, bool membersChanged,
                                  TimePoint now, Outbox &out)
{
    std::bitset<ShardCount> isMoved;
    for (const ShardId shard : shards)
        isMoved.set(shard.value);
    if ((isMoved.none() && !membersChanged) || m_jobs.empty())
        return;
    // Sorted by serial below, so that every run has the same order.
    std::vector<std::pair<std::uint64_t, const JobKey *>> moved;
    for (const auto &[key, job] : m_jobs) {
        const ShardId shard = shardOf(job.hash);
        const Incarnation home = homeOf(shard);
        // Jobs that were not forwarded yet have been waiting for their home to come up again, or
        // for this process to be registered.
        const bool hasNewHome = job.home != home || job.epoch != fence(shard);
        if (home.value != 0 && hasNewHome && (isMoved[shard.value] || job.home.value == 0))
            moved.emplace_back(job.serial, &key);
    }
    std::sort(moved.begin(), moved.end());
    for (const auto &[serial, key] : moved) {
        PendingJob &job = m_jobs.at(*key);
        job.homeTimeoutAt = now + HomeTimeout;
        forward(*key, job, now, out);
        dropOrArmTimer(*key);
    }
}

// The time at which the callers of a job are answered without a reply of its home. A job that a
// home has accepted is kept as long as the home replies, also beyond the deadline, because tasks
// that started in time may still run.
TimePoint JobRouter::giveUpAt(const PendingJob &job)
{
    return job.wasAccepted ? job.homeTimeoutAt : std::min(job.homeTimeoutAt, job.deadline);
}

void JobRouter::onTimer(TimePoint now, Outbox &out)
{
    while (!m_timers.empty() && std::get<0>(*m_timers.begin()) <= now) {
        const JobKey key = *std::get<2>(*m_timers.begin());
        PendingJob &job = m_jobs.at(key);
        if (now >= giveUpAt(job)) {
            answerAll(key, job, unknownAnswer("home_unreachable", job.hash, job.serial), now, out);
            continue;
        }
        acceptDueWaiters(key, job, now, out);
        if (now >= job.nextSend)
            forward(key, job, now, out);
        dropOrArmTimer(key);
    }
    if (now >= m_nextSweep) {
        m_memory.sweep(now);
        m_nextSweep = now + SweepInterval;
    }
}

// To be called after any change of a pending job. Removes the job if no caller waits for it and its
// home has accepted it, else sets its timer.
void JobRouter::dropOrArmTimer(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    PendingJob &job = it->second;
    if (job.waiters.empty() && (job.isAccepted || !job.spec)) {
        drop(JobKey(key));
        return;
    }
    TimePoint timerAt = std::min(giveUpAt(job), job.nextSend);
    if (job.isAccepted)
        for (const Waiter &waiter : job.waiters)
            timerAt = std::min(timerAt, waiter.waitUntil);
    if (timerAt == job.timerAt)
        return;
    m_timers.erase({job.timerAt, job.serial, &it->first});
    job.timerAt = timerAt;
    m_timers.insert({job.timerAt, job.serial, &it->first});
}

void JobRouter::drop(const JobKey &key)
{
    const auto it = m_jobs.find(key);
    m_timers.erase({it->second.timerAt, it->second.serial, &it->first});
    m_jobs.erase(it);
}

TimePoint JobRouter::nextTimer() const
{
    const TimePoint job = m_timers.empty() ? NeverTime : std::get<0>(*m_timers.begin());
    return m_memory.size() == 0 ? job : std::min(job, m_nextSweep);
}

} // namespace cactuscove
