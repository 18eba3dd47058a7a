// What a home remembers of its jobs: tables of shards, reports for witness rounds, forgetting.

#include "jobhome.h"

#include <algorithm>
#include <bitset>

namespace cactuscove {

namespace {

// A copy of a request that was answered not_run may still wait at an entry after the retry time.
// The next home, which does not know the answer, must not take its key as new.
constexpr Duration CopyTime = std::chrono::seconds(5);

} // namespace

void JobHome::importShard(const ReceivedShard &table, TimePoint now)
{
    for (const TransferredJob &it : table.jobs) {
        auto [place, isNew] = m_jobs.try_emplace(it.key);
        if (!isNew)
            continue;
        place->second = std::make_unique<Job>();
        Job &job = *place->second;
        job.serial = ++m_lastSerial;
        m_bySerial[job.serial] = &job;
        job.spec.key = it.key;
        job.spec.contentHash = it.contentHash;
        job.epoch = table.claim.epoch;
        job.taskCount = static_cast<std::uint16_t>(it.answer.tasks.size());
        job.state = JobState::Answered;
        job.answer = it.answer;
        job.answeredAt = table.arrivedAt - it.age;
        wakeAt(job, std::max(now, forgetAt(job)));
    }
}

std::vector<TransferredJob> JobHome::table(ShardId shard, TimePoint now) const
{
    std::vector<TransferredJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (job->state == JobState::Answered && shardOf(key) == shard)
            result.push_back({key, job->spec.contentHash, job->answer, now - job->answeredAt});
    }
    return result;
}

// A job that was answered or accepted here is known to this home even if no task of it started.
// Without it an executor-side report could be taken as proof that the key is new, although this
// home's answer may still be on its way to a caller.
WitnessedJob JobHome::witnessOf(const Job &job)
{
    WitnessedJob seen{hashOf(job.spec.key), job.spec.contentHash, job.taskCount, {}};
    if (job.state != JobState::Answered || job.answer.outcome != Outcome::Completed)
        return seen;
    for (std::uint16_t n = 0; n < job.taskCount; ++n) {
        const TaskAnswer &task = job.answer.tasks[n];
        seen.tasks.push_back(
            {n, task.id, TaskResult{TaskStatus::Completed, task.httpStatus, task.body, {}}});
    }
    return seen;
}

std::vector<WitnessedJob> JobHome::witnessed(ShardId shard, Epoch below, TimePoint now) const
{
    std::vector<WitnessedJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (shardOf(key) == shard && job->epoch < below && !isForgotten(*job, now - CopyTime))
            result.push_back(witnessOf(*job));
    }
    for (const Former &it : m_former) {
        if (shardOf(it.job.key) == shard && it.epoch < below)
            result.push_back(it.job);
    }
    return result;
}

std::vector<AdoptedJob> JobHome::memory(TimePoint now) const
{
    std::vector<AdoptedJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (!isForgotten(*job, now - CopyTime))
            result.push_back({witnessOf(*job), job->epoch, Duration::zero()});
    }
    for (const Former &it : m_former)
        result.push_back({it.job, it.epoch, now - it.since});
    return result;
}

// Answers for a key without a specification that this home has not accepted.
void JobHome::answerUnseen(Incarnation from, const JobKey &key, Duration askedAt, Outbox &out) const
{
    const ShardId shard = shardOf(key);
    const Epoch epoch = m_parts.shards.epoch(shard);
    const ShardKnowledge knowledge = m_parts.shards.knowledge(shard);
    if (knowledge == ShardKnowledge::Moving)
        return refuse(from, key, SubmitRefusal::Moving, out);
    if (const WitnessedJob *seen = m_parts.shards.witnessed(hashOf(key))) {
        if (const auto answer = provedAnswer(*seen, nullptr))
            out.send(from, JobAnswer{key, epoch, *answer, askedAt});
        else if (m_parts.shards.isRoundOver(shard))
            out.send(from, JobAnswer{key, epoch, unknown("home_lost"), askedAt});
        return; // else the entry asks again
    }
    if (knowledge == ShardKnowledge::Complete)
        out.send(from, JobNotFound{key, epoch});
    else if (knowledge == ShardKnowledge::Incomplete)
        out.send(from, JobAnswer{key, epoch, unknown("witness_missing", spread(key, ShortRetry)),
                                 askedAt});
}

// Rule R7: after the retry time of a not_run answer the key is new again.
bool JobHome::isForgotten(const Job &job, TimePoint now)
{
    return job.state == JobState::Answered && job.answer.outcome == Outcome::NotRun
           && job.answer.retryAfter && now >= job.answeredAt + *job.answer.retryAfter;
}

// Completed if every task is reported done for this very content.
std::optional<Answer> JobHome::provedAnswer(const WitnessedJob &seen, const JobSpec *spec)
{
    if (seen.taskCount == 0 || seen.tasks.size() != seen.taskCount || seen.contentHash == 0
        || (spec != nullptr && spec->contentHash != seen.contentHash))
        return std::nullopt;
    Answer answer{Outcome::Completed, {}, std::nullopt, {}};
    answer.tasks.resize(seen.taskCount);
    for (const WitnessedTask &task : seen.tasks) {
        if (task.result.status != TaskStatus::Completed || task.index >= seen.taskCount)
            return std::nullopt;
        answer.tasks[task.index] = {task.id, task.result.httpStatus, task.result.body};
    }
    return answer;
}

// Leaves no trace of the job; only for answered ones.
void JobHome::forget(Job &job)
{
    if (job.wake != NeverTime)
        m_timers.erase({job.wake, job.serial});
    m_bySerial.erase(job.serial);
    m_jobs.erase(JobKey{job.spec.key});
}

// After a change of the shard's owner or epoch: unanswered jobs belong to the next home, which
// learns of them from the witnesses. What is known here stays available to them.
void JobHome::loseOldEpochs(std::span<const ShardId> shards, TimePoint now)
{
    std::bitset<ShardCount> changed;
    for (const ShardId shard : shards)
        changed.set(shard.value);
    std::vector<Job *> lost;
    for (const auto &[key, job] : m_jobs) {
        const ShardId shard = shardOf(key);
        if (changed.test(shard.value) && job->epoch != m_parts.shards.epoch(shard))
            lost.push_back(job.get());
    }
    Outbox unsent; // entries ask the next home, and executors follow its fence
    for (Job *job : lost) {
        if (!isForgotten(*job, now - CopyTime))
            m_former.push_back({witnessOf(*job), job->epoch, now});
        if (job->state != JobState::Answered)
            finish(*job, unknown("home_replaced"), now, unsent);
        forget(*job);
    }
}

TimePoint JobHome::forgetAt(const Job &job) const
{
    const Duration retry = job.answer.retryAfter.value_or(Duration::zero());
    return job.answeredAt + std::max(m_parts.ledger.fleetConfig().idMemory, retry);
}

} // namespace cactuscove
