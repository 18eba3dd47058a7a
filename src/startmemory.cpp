// Bounded memory of started and refused tasks.

#include "startmemory.h"

#include <algorithm>

namespace cactuscove {

namespace {

// Jobs that expire within the same second share one timer.
constexpr Duration ExpiryGrain = std::chrono::seconds(1);
// First check of a job. Only the time of the check depends on it: a job that is not yet old enough
// is checked again when it is.
constexpr Duration FirstExpiryCheck = std::chrono::seconds(60);

TimePoint roundUp(TimePoint time)
{
    return std::chrono::ceil<std::chrono::seconds>(time);
}

// What is known of one task from runs below an epoch; none if no such run started.
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

// The epoch after every other one, so that every run counts.
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

TaskRecord &StartMemory::bury(const TaskRef &ref, const AttemptId &id, TimePoint now)
{
    TaskRecord &record = touch(ref, now);
    record.highest = std::max(record.highest, id);
    return record;
}

TaskRun &StartMemory::addRun(const TaskRef &ref, TaskRun run, TimePoint now)
{
    TaskRecord &record = bury(ref, run.id, now);
    const auto position = std::find_if(record.runs.begin(), record.runs.end(), [&](const auto &it) {
        return it.id.attempt > run.id.attempt;
    });
    return *record.runs.insert(position, std::move(run));
}

void StartMemory::storeResult(const TaskRef &ref, TaskRun &run, TaskResult result, TimePoint now)
{
    touch(ref, now);
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
        const TimePoint due = job->second.touched + idMemory;
        if (!isRunning && due <= now) {
            m_resultBytes -= bytes;
            jobs.erase(job);
            continue;
        }
        node.key() = roundUp(std::max(due, now + ExpiryGrain));
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

std::vector<WitnessedJob> StartMemory::witnessed(ShardId shard, Epoch below) const
{
    std::vector<WitnessedJob> result;
    for (const auto &[key, job] : m_jobs[shard.value]) {
        WitnessedJob seen;
        for (const auto &[index, record] : job.tasks) {
            if (const TaskRun *run = bestRun(record, below))
                seen.tasks.push_back({index, run->result});
        }
        // A job of which nothing started here is not listed: its key stays new.
        if (seen.tasks.empty())
            continue;
        seen.key = hashOf(key);
        result.push_back(std::move(seen));
    }
    return result;
}

std::vector<AdoptedJob> StartMemory::adopted(TimePoint now) const
{
    std::vector<AdoptedJob> result;
    for (const auto &jobs : m_jobs) {
        for (const auto &[key, job] : jobs) {
            AdoptedJob adopted;
            adopted.epoch = AnyEpoch;
            for (const auto &[index, record] : job.tasks) {
                const TaskRun *run = bestRun(record, AnyEpoch);
                if (!run)
                    continue;
                adopted.job.tasks.push_back({index, run->result});
                for (const TaskRun &it : record.runs)
                    adopted.epoch = std::min(adopted.epoch, it.id.epoch);
            }
            if (adopted.job.tasks.empty())
                continue;
            adopted.job.key = hashOf(key);
            adopted.age = now - job.touched;
            result.push_back(std::move(adopted));
        }
    }
    return result;
}

TimePoint StartMemory::nextExpiry() const
{
    return m_expiry.empty() ? NeverTime : m_expiry.begin()->first;
}

TaskRecord &StartMemory::touch(const TaskRef &ref, TimePoint now)
{
    const auto [job, isNew] = m_jobs[shardOf(ref.key).value].try_emplace(ref.key);
    if (isNew)
        m_expiry.emplace(roundUp(now + FirstExpiryCheck), ref.key);
    job->second.touched = now;
    return job->second.tasks[ref.index];
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
        run->result = TaskResult{}; // that it started stays known
    }
}

} // namespace cactuscove
