// Tasks of which a start has had no answer: what the dispatcher knows of these starts, and where
// and until when such a task waits.

#include "durations.h"
#include "jobdispatcher.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

void JobDispatcher::onOpenStarts(const OpenStartReport &report, TimePoint now,
                                 DispatcherOutbox &out)
{
    expireAfterSuspension(now, out);
    OpenStartReport news;
    for (const OpenStart &it : report.starts) {
        if (isOwnSuspicion(it) || !m_openStarts.merge(it, now))
            continue;
        news.starts.push_back(it);
        const auto job = m_jobsById.find(it.task.jobId);
        if (job != m_jobsById.end() && it.state != OpenStartState::Answered)
            m_jobs.at(job->second).mayHaveStarted = true;
    }
    spreadOpenStarts(std::move(news), out);
}

// It comes back from another entry, and this one may have heard from the agent since.
bool JobDispatcher::isOwnSuspicion(const OpenStart &report)
{
    return report.state == OpenStartState::Suspected
           && findJob(report.task, report.agent, report.attempt).second;
}

void JobDispatcher::spreadOpenStarts(OpenStartReport news, DispatcherOutbox &out)
{
    for (const OpenStart &it : news.starts) {
        const auto job = m_jobsById.find(it.task.jobId);
        if (job != m_jobsById.end())
            m_jobs.at(job->second).mayHaveOpenStarts = true;
        for (const Incarnation agent : m_directory.agentsOfWorker(it.workerId))
            sendOpenStarts(agent, {{it}}, out);
    }
    if (!news.starts.empty())
        out.emplace_back(SendToEntries{std::move(news)});
}

void JobDispatcher::sendOpenStarts(Incarnation agent, const OpenStartReport &report,
                                   DispatcherOutbox &out)
{
    OpenStartReport ofOthers;
    std::copy_if(report.starts.begin(), report.starts.end(), std::back_inserter(ofOthers.starts),
                 [&](const OpenStart &it) { return it.agent != agent; });
    if (!ofOthers.starts.empty())
        out.emplace_back(SendToAgent{agent, std::move(ofOthers)});
}

OpenStart JobDispatcher::suspicionOf(const Job &job, std::uint32_t index)
{
    const Task &task = job.tasks[index];
    return {{job.spec.id, index},      task.attempt, task.worker.workerId, task.worker.agent,
            OpenStartState::Suspected, OpenStartTime};
}

void JobDispatcher::suspectOpenStart(const Job &job, std::uint32_t index, TimePoint now,
                                     DispatcherOutbox &out)
{
    if (job.tasks[index].isStartAnswered)
        return;
    const OpenStart start = suspicionOf(job, index);
    if (m_openStarts.merge(start, now))
        spreadOpenStarts({{start}}, out);
}

// Other entries are not told: their suspicion may only cost the task a choice of workers.
void JobDispatcher::forgetSuspicion(const Job &job, std::uint32_t index)
{
    if (!m_openStarts.isEmpty())
        m_openStarts.forgetSuspicion(suspicionOf(job, index));
}

std::optional<std::string_view> JobDispatcher::boundWorkerOf(const Job &job, std::uint32_t index,
                                                             TimePoint now) const
{
    if (!job.mayHaveOpenStarts || job.tasks[index].state != State::Waiting)
        return std::nullopt;
    return m_openStarts.onlyWorkerOf({job.spec.id, index}, now);
}

bool JobDispatcher::hasBoundTask(const Job &job, TimePoint now) const
{
    for (std::uint32_t i = 0; job.mayHaveOpenStarts && i < job.tasks.size(); ++i)
        if (boundWorkerOf(job, i, now))
            return true;
    return false;
}

std::vector<JobDispatcher::Rank> JobDispatcher::ranksOfBoundJobs(TimePoint now) const
{
    std::vector<Rank> ranks;
    if (m_openStarts.isEmpty())
        return ranks;
    std::copy_if(m_ready.begin(), m_ready.end(), std::back_inserter(ranks),
                 [&](const Rank &it) { return hasBoundTask(m_jobs.at(it.number), now); });
    return ranks;
}

// Such a task is sent to its worker also while that has no room, and waits in its agent's queue. If
// it may crash the worker, no task of another job runs beside it.
void JobDispatcher::placeBoundTasks(TimePoint now, DispatcherOutbox &out)
{
    for (const Rank &rank : ranksOfBoundJobs(now)) {
        Job &job = m_jobs.at(rank.number);
        for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
            const auto only = boundWorkerOf(job, i, now);
            const StartRule rule = only ? startRuleOf(job, i, now) : StartRule::Never;
            if (rule == StartRule::Never)
                continue;
            const bool runsAlone
                = rule == StartRule::Alone || m_crashes.isDistrusted(job.spec.queue, now);
            const auto worker
                = m_directory.findOnlyWorker(*only, requestOf(job, job.tasks[i], now), now);
            if (worker)
                sendTask(rank.number, job, i, *worker, runsAlone, now, out);
        }
    }
}

TimePoint JobDispatcher::lastUsefulStart(const Job &job)
{
    return job.deadline - job.expectedRun;
}

void JobDispatcher::giveUpBoundJobs(TimePoint now, DispatcherOutbox &out)
{
    for (const Rank &rank : ranksOfBoundJobs(now)) {
        Job &job = m_jobs.at(rank.number);
        if (now >= lastUsefulStart(job))
            beginClosing(rank.number, job, {JobOutcome::Unknown, "start_unanswered", {}}, now, out);
    }
}

JobOutcome JobDispatcher::outcomeOfRefusal(const BestEffortJob &job) const
{
    return m_openStarts.hasJob(job.id, m_lastInputAt) ? JobOutcome::Unknown : JobOutcome::Refused;
}

} // namespace cactuscove
