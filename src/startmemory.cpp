// Records of started and refused tasks, bounded in age and in result size.

#include "startmemory.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Checks are rounded up to full seconds, so that jobs that expire within the same second share one
// timer.
constexpr Duration ExpiryGranularity = std::chrono::seconds(1);
// Time from the first record of a job to the first check of its age. A job that is not old enough
// then is checked again when it is.
constexpr Duration FirstExpiryCheck = std::chrono::seconds(60);

TimePoint roundUp(TimePoint time)
{
    return std::chrono::ceil<std::chrono::seconds>(time);
}

// The run to report of those that started at an epoch lower than `below`: a completed one if there
// is any, else the newest. nullptr if none started.
const TaskRun *bestRun(const TaskRecord &record, Epoch below)
{
    const TaskRun *best = nullptr;
    for (const TaskRun &it : record.runs) {
        if (it.id.epoch >= below || !it.hasStarted())
            continue;
        if (!best || best->result.status != TaskStatus::Completed)
            best = &it;
    }
    return best;
}

// Higher than every epoch in use, so that all runs are lower.
constexpr Epoch AnyEpoch{UINT64_MAX};

} // namespace

TaskRun *TaskRecord::run(std::uint32_t attempt)
{
    const auto it = std::find_if(runs.begin(), runs.end(),
                                 [&](const TaskRun &run) { return run.id.attempt == attempt; });
    return it == runs.end() ? nullptr : &*it;
}

const TaskRun *TaskRecord::run(std::uint32_t attempt) const
{
    return const_cast<TaskRecord *>(this)->run(attempt);
}

TaskRun *TaskRecord::lastStarted()
{
    const auto it = std::find_if(runs.rbegin(), runs.rend(),
                                 [](const TaskRun &run) { return run.hasStarted(); });
    return it == runs.rend() ? nullptr : &*it;
}

StartMemory::StartMemory(std::size_t maxResultBytes)
    : m_maxResultBytes(maxResultBytes)
{}

TaskRecord &StartMemory::addTombstone(const TaskRef &ref, const AttemptId &id, TimePoint now)
{
    TaskRecord &record = touch(ref.key, now).tasks[ref.index];
    record.highestDecided = std::max(record.highestDecided, id);
    return record;
}

TaskRun &StartMemory::addRun(const StartTask &start, TaskRun run, TimePoint now)
{
    Job &job = touch(start.ref.key, now);
    job.contentHash = start.contentHash;
    job.taskCount = start.taskCount;
    TaskRecord &record = job.tasks[start.ref.index];
    record.id = start.task.id;
    record.highestDecided = std::max(record.highestDecided, run.id);
    const auto position = std::find_if(record.runs.begin(), record.runs.end(), [&](const auto &it) {
        return it.id.attempt > run.id.attempt;
    });
    return *record.runs.insert(position, std::move(run));
}

void StartMemory::storeResult(const TaskRef &ref, TaskRun &run, TaskResult result, TimePoint now)
{
    touch(ref.key, now);
    run.isRunning = false;
    run.result = std::move(result);
    m_resultBytes += run.result.body.size();
    m_stored.push_back({ref, run.id.attempt});
    dropOldResults();
}

void StartMemory::expire(TimePoint now, Duration idMemory)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= now) {
        auto node = m_expiry.extract(m_expiry.begin());
        auto &jobs = m_jobs[shardOf(node.mapped()).value];
        const auto job = jobs.find(node.mapped());
        bool isRunning = false;
        std::size_t bytes = 0;
        for (const auto &[index, record] : job->second.tasks) {
            for (const TaskRun &it : record.runs) {
                isRunning = isRunning || it.isRunning;
                bytes += it.result.body.size();
            }
        }
        const TimePoint due = job->second.changedAt + idMemory;
        if (!isRunning && due <= now) {
            m_resultBytes -= bytes;
            jobs.erase(job);
            continue;
        }
        node.key() = roundUp(std::max(due, now + ExpiryGranularity));
        m_expiry.insert(std::move(node));
    }
    while (!m_stored.empty() && !findRun(m_stored.front()))
        m_stored.pop_front();
}

TaskRecord *StartMemory::find(const TaskRef &ref)
{
    auto &jobs = m_jobs[shardOf(ref.key).value];
    const auto job = jobs.find(ref.key);
    if (job == jobs.end())
        return nullptr;
    const auto task = job->second.tasks.find(ref.index);
    return task == job->second.tasks.end() ? nullptr : &task->second;
}

const TaskRecord *StartMemory::find(const TaskRef &ref) const
{
    return const_cast<StartMemory *>(this)->find(ref);
}

std::optional<WitnessedJob> StartMemory::witnessedJob(const JobKey &key, const Job &job,
                                                      Epoch below)
{
    WitnessedJob seen{hashOf(key), job.contentHash, job.taskCount, {}};
    for (const auto &[index, record] : job.tasks) {
        if (const TaskRun *run = bestRun(record, below))
            seen.tasks.push_back({index, record.id, run->result});
    }
    // A job of which no task has started here is not reported, because its key is new to this
    // executor.
    if (seen.tasks.empty())
        return {};
    return seen;
}

std::vector<WitnessedJob> StartMemory::witnessed(ShardId shard, Epoch below) const
{
    std::vector<WitnessedJob> result;
    for (const auto &[key, job] : m_jobs[shard.value]) {
        if (auto seen = witnessedJob(key, job, below))
            result.push_back(std::move(*seen));
    }
    return result;
}

std::vector<AdoptedJob> StartMemory::adoptableJobs(TimePoint now) const
{
    std::vector<AdoptedJob> result;
    for (const auto &jobs : m_jobs) {
        for (const auto &[key, job] : jobs) {
            auto seen = witnessedJob(key, job, AnyEpoch);
            if (!seen)
                continue;
            Epoch lowest = AnyEpoch;
            for (const auto &[index, record] : job.tasks) {
                for (const TaskRun &it : record.runs)
                    lowest = std::min(lowest, it.id.epoch);
            }
            result.push_back({std::move(*seen), lowest, now - job.changedAt});
        }
    }
    return result;
}

TimePoint StartMemory::nextExpiry() const
{
    return m_expiry.empty() ? NeverTime : m_expiry.begin()->first;
}

StartMemory::Job &StartMemory::touch(const JobKey &key, TimePoint now)
{
    const auto [job, isNew] = m_jobs[shardOf(key).value].try_emplace(key);
    if (isNew)
        m_expiry.emplace(roundUp(now + FirstExpiryCheck), key);
    job->second.changedAt = now;
    return job->second;
}

TaskRun *StartMemory::findRun(const StoredResult &stored)
{
    TaskRecord *record = find(stored.ref);
    return record ? record->run(stored.attempt) : nullptr;
}

void StartMemory::dropOldResults()
{
    while (m_resultBytes > m_maxResultBytes && !m_stored.empty()) {
        TaskRun *run = findRun(m_stored.front());
        m_stored.pop_front();
        if (!run || run->result.body.empty())
            continue;
        m_resultBytes -= run->result.body.size();
        run->result = TaskResult{}; // Unknown; the run still counts as started
    }
}

} // namespace cactuscove
