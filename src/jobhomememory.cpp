// What a home remembers of its jobs: their transfer with a shard, reports to later homes, and
// forgetting.

#include "jobhome.h"

#include <algorithm>
#include <bitset>

namespace cactuscove {

namespace {

// A copy of a request that was answered not_run may still wait at an entry for this long after the
// retry time. The next home does not know the answer and must not treat the key as new, so the key
// is reported to it.
constexpr Duration LateCopyTime = std::chrono::seconds(5);

} // namespace

void JobHome::importShard(const ReceivedShard &received, TimePoint now)
{
    for (const TransferredJob &it : received.jobs) {
        auto [place, isNew] = m_jobs.try_emplace(it.key);
        if (!isNew)
            continue;
        place->second = std::make_unique<Job>();
        Job &job = *place->second;
        job.serial = ++m_lastSerial;
        m_jobsBySerial[job.serial] = &job;
        job.spec.key = it.key;
        job.spec.contentHash = it.contentHash;
        job.epoch = received.claim.epoch;
        job.taskCount = static_cast<std::uint16_t>(it.answer.tasks.size());
        job.state = JobState::Answered;
        job.answer = it.answer;
        job.answeredAt = received.arrivedAt - it.age;
        armTimer(job, std::max(now, forgetAt(job)));
    }
}

std::vector<TransferredJob> JobHome::answeredJobs(ShardId shard, TimePoint now) const
{
    std::vector<TransferredJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (job->state == JobState::Answered && shardOf(key) == shard)
            result.push_back({key, job->spec.contentHash, job->answer, now - job->answeredAt});
    }
    return result;
}

// Lists the results of a completed job. Any other job is reported without results, also if no task
// of it has started: otherwise the next home could conclude from the reports of the executors that
// the key is new, although an answer of this home may still be on its way to a caller.
WitnessedJob JobHome::witnessedJobOf(const Job &job)
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

std::vector<WitnessedJob> JobHome::witnessedJobs(ShardId shard, Epoch below, TimePoint now) const
{
    std::vector<WitnessedJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (shardOf(key) == shard && job->epoch < below
            && !isNotRunExpired(*job, now - LateCopyTime))
            result.push_back(witnessedJobOf(*job));
    }
    for (const FormerJob &it : m_formerJobs) {
        if (shardOf(it.job.key) == shard && it.epoch < below)
            result.push_back(it.job);
    }
    return result;
}

std::vector<AdoptedJob> JobHome::rememberedJobs(TimePoint now) const
{
    std::vector<AdoptedJob> result;
    for (const auto &[key, job] : m_jobs) {
        if (!isNotRunExpired(*job, now - LateCopyTime))
            result.push_back({witnessedJobOf(*job), job->epoch, Duration::zero()});
    }
    for (const FormerJob &it : m_formerJobs)
        result.push_back({it.job, it.epoch, now - it.since});
    return result;
}

// Answers a query or cancellation of a key that this home has not accepted. Such a request carries
// no job that could be run, so the answer comes from the witnesses alone.
void JobHome::answerUnknownKey(Incarnation from, const JobKey &key, Duration askedAt,
                               Outbox &out) const
{
    const ShardId shard = shardOf(key);
    const Epoch epoch = m_deps.shards.epoch(shard);
    const ShardKnowledge knowledge = m_deps.shards.knowledge(shard);
    if (knowledge == ShardKnowledge::Transferring)
        return refuse(from, key, SubmitRefusal::Transferring, out);
    if (const WitnessedJob *seen = m_deps.shards.reportedJob(hashOf(key))) {
        if (const auto answer = provenAnswer(*seen, nullptr))
            out.send(from, JobAnswer{key, epoch, *answer, askedAt});
        else if (m_deps.shards.isRoundOver(shard))
            out.send(from, JobAnswer{key, epoch, unknown("home_lost"), askedAt});
        return; // without a reply the entry asks again
    }
    if (knowledge == ShardKnowledge::Complete)
        out.send(from, JobNotFound{key, epoch});
    else if (knowledge == ShardKnowledge::Incomplete)
        out.send(from,
                 JobAnswer{key, epoch, unknown("witness_missing", withJitter(key, MinRetryAfter)),
                           askedAt});
}

// A caller that was told not_run with a retry time may submit the job again after that time, so the
// key then counts as new (rule R7).
bool JobHome::isNotRunExpired(const Job &job, TimePoint now)
{
    return job.state == JobState::Answered && job.answer.outcome == Outcome::NotRun
           && job.answer.retryAfter && now >= job.answeredAt + *job.answer.retryAfter;
}

// Returns the Completed answer if the witnesses report every task as completed and, unless `spec`
// is null, report the content of `spec`. Returns no value otherwise.
std::optional<Answer> JobHome::provenAnswer(const WitnessedJob &seen, const JobSpec *spec)
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

// Removes an answered job.
void JobHome::forget(Job &job)
{
    if (job.timerAt != NeverTime)
        m_timers.erase({job.timerAt, job.serial});
    m_jobsBySerial.erase(job.serial);
    m_jobs.erase(JobKey{job.spec.key});
}

// Removes the jobs whose shard has another epoch or home now. The next home learns of these jobs
// from the witnesses. This home is one of the witnesses, so it keeps what it knows in m_formerJobs.
void JobHome::dropJobsOfOldEpochs(std::span<const ShardId> shards, TimePoint now)
{
    std::bitset<ShardCount> changed;
    for (const ShardId shard : shards)
        changed.set(shard.value);
    std::vector<Job *> lost;
    for (const auto &[key, job] : m_jobs) {
        const ShardId shard = shardOf(key);
        if (changed.test(shard.value) && job->epoch != m_deps.shards.epoch(shard))
            lost.push_back(job.get());
    }
    // Discarded: the entries ask the next home, and the executors refuse this home's old epoch.
    Outbox unsent;
    for (Job *job : lost) {
        if (!isNotRunExpired(*job, now - LateCopyTime))
            m_formerJobs.push_back({witnessedJobOf(*job), job->epoch, now});
        if (job->state != JobState::Answered)
            finish(*job, unknown("home_replaced"), now, unsent);
        forget(*job);
    }
}

TimePoint JobHome::forgetAt(const Job &job) const
{
    const Duration retry = job.answer.retryAfter.value_or(Duration::zero());
    return job.answeredAt + std::max(m_deps.ledger.fleetConfig().idMemory, retry);
}

} // namespace cactuscove
