// Counts are taken from the reports each time: a task has a handful of them at most.

#include "crashhistory.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// Crashes under a task after which it is not started again, and those after which it is given up if
// no other job ran on one of the workers.
constexpr int MaxCrashes = 3;
constexpr int MinCrashes = 2;
// The same with mass crashes: the task is not started again.
constexpr int MaxCrashesWithMass = 5;
// So many workers that went away within this time make a mass crash, if on some of them no task had
// just started. The time is that of some polls, by which crashes are noticed.
constexpr std::size_t MinMassCrash = 3;
constexpr Duration MassCrashTime = 60ms;
// After this time the reports of a mass crash have arrived.
constexpr Duration SettleTime = 150ms;
// A task runs alone after so many crashes; in a distrusted queue after the first.
constexpr int CrashesBeforeAlone = 2;
// A queue is distrusted if a task had just started, or ran alone, in so many crashes.
constexpr int CrashesOfCause = 2;
// A queue is trusted again so long after the last crash under a task that had just started. Entries
// see the same crashes, so they trust it again at the same time.
constexpr Duration DistrustTime = 8s;
// Callers that come back with a job come back much sooner than this.
constexpr Duration ReportRetention = 120s;
constexpr std::size_t MaxReports = 400;

// Only tasks of one job ran on the worker.
bool isOneJob(const CrashReport &report)
{
    return std::all_of(report.runs.begin(), report.runs.end(), [&](const InterruptedRun &it) {
        return it.task.jobId == report.runs.front().task.jobId;
    });
}

} // namespace

bool CrashHistory::merge(const CrashReport &report, TimePoint now)
{
    removeOld(now);
    const ReportKey key{report.agent, report.number};
    const Duration age = std::clamp<Duration>(report.age, Duration{}, ReportRetention);
    const auto [it, isNew] = m_reports.try_emplace(key, Report{report, now - age, now});
    if (!isNew && report.state <= it->second.content.state)
        return false;
    it->second.content.state = report.state;
    if (isNew) {
        for (const InterruptedRun &run : report.runs)
            m_reportsByTask[run.task].push_back(key);
        findMassCrash(it->second);
    }
    updateDistrust(it->second);
    return true;
}

void CrashHistory::findMassCrash(const Report &report)
{
    std::set<Incarnation> agents;
    std::map<std::string_view, std::set<Incarnation>> agentsByJob;
    std::vector<Report *> group;
    bool hasUnrelatedCrash = false; // on a worker where no task had just started
    for (auto &[key, it] : m_reports) {
        if (it.at < report.at - MassCrashTime || it.at > report.at + MassCrashTime)
            continue;
        group.push_back(&it);
        agents.insert(key.first);
        bool hasRecentRun = false;
        for (const InterruptedRun &run : it.content.runs) {
            hasRecentRun |= run.isRecent;
            if (run.isRecent)
                agentsByJob[run.task.jobId].insert(key.first);
        }
        hasUnrelatedCrash |= !hasRecentRun;
    }
    const bool hasCommonJob
        = std::any_of(agentsByJob.begin(), agentsByJob.end(),
                      [&](const auto &it) { return it.second.size() == agents.size(); });
    if (agents.size() < MinMassCrash || !hasUnrelatedCrash || hasCommonJob)
        return;
    for (Report *it : group)
        it->isMassCrash = true;
}

void CrashHistory::updateDistrust(const Report &report)
{
    if (report.content.state == CrashState::Withdrawn || report.isMassCrash)
        return;
    // With candidates of several queues, those tasks run alone next, which shows the cause.
    std::set<std::string_view> candidates;
    const bool isAlone = isOneJob(report.content);
    for (const InterruptedRun &run : report.content.runs) {
        if (!run.isRecent && !isAlone)
            continue;
        if (isDistrusted(run.queue, report.at))
            distrust(run.queue, report.at);
        const TaskCrashes crashes = crashesOf(run.task);
        if ((isAlone ? crashes.counted : crashes.recent) >= CrashesOfCause)
            candidates.insert(run.queue);
    }
    if (candidates.size() == 1)
        distrust(*candidates.begin(), report.at);
}

void CrashHistory::distrust(std::string_view queue, TimePoint at)
{
    TimePoint &until = m_distrustedUntil[std::string(queue)];
    until = std::max<TimePoint>(until, at + DistrustTime);
}

CrashHistory::TaskCrashes CrashHistory::crashesOf(const TaskId &task, TimePoint until) const
{
    TaskCrashes sum;
    const auto keys = m_reportsByTask.find(task);
    if (keys == m_reportsByTask.end())
        return sum;
    for (const ReportKey &key : keys->second) {
        const Report &it = m_reports.at(key);
        const CrashReport &report = it.content;
        if (report.state == CrashState::Withdrawn || it.receivedAt > until)
            continue;
        const bool isConfirmed = report.state == CrashState::Confirmed;
        ++sum.all;
        sum.allConfirmed += isConfirmed;
        if (it.isMassCrash)
            continue;
        const auto run
            = std::find_if(report.runs.begin(), report.runs.end(),
                           [&](const InterruptedRun &other) { return other.task == task; });
        ++sum.counted;
        sum.confirmed += isConfirmed;
        sum.recent += run->isRecent;
        sum.hasCrashedAlone |= isConfirmed && run->isRecent && isOneJob(report);
    }
    return sum;
}

bool CrashHistory::isGivenUp(const TaskId &task, TimePoint now) const
{
    return isProof(crashesOf(task, now - SettleTime));
}

bool CrashHistory::isProof(const TaskCrashes &crashes)
{
    return crashes.confirmed >= MaxCrashes
           || (crashes.allConfirmed >= MinCrashes && crashes.hasCrashedAlone);
}

bool CrashHistory::hasGivenUp(std::string_view jobId, TimePoint now) const
{
    for (auto it = m_reportsByTask.lower_bound(TaskId{std::string(jobId), 0});
         it != m_reportsByTask.end() && it->first.jobId == jobId; ++it)
        if (isGivenUp(it->first, now))
            return true;
    return false;
}

TimePoint CrashHistory::nextSettled(TimePoint now) const
{
    TimePoint next = NeverTime;
    for (const auto &[key, it] : m_reports)
        if (it.receivedAt + SettleTime > now)
            next = std::min<TimePoint>(next, it.receivedAt + SettleTime);
    return next;
}

StartRule CrashHistory::startRuleOf(const TaskId &task, std::string_view queue, TimePoint now) const
{
    const TaskCrashes crashes = crashesOf(task);
    if (isProof(crashes) || crashes.counted >= MaxCrashes || crashes.all >= MaxCrashesWithMass)
        return StartRule::Never;
    const bool isSuspect = crashes.recent > 0 && isDistrusted(queue, now);
    return isSuspect || crashes.all >= CrashesBeforeAlone ? StartRule::Alone : StartRule::Anywhere;
}

bool CrashHistory::isDistrusted(std::string_view queue, TimePoint now) const
{
    const auto it = m_distrustedUntil.find(queue);
    return it != m_distrustedUntil.end() && now < it->second;
}

bool CrashHistory::hasDistrusted(TimePoint now) const
{
    return std::any_of(m_distrustedUntil.begin(), m_distrustedUntil.end(),
                       [&](const auto &it) { return now < it.second; });
}

std::vector<CrashReport> CrashHistory::reports(TimePoint now) const
{
    std::vector<CrashReport> all;
    all.reserve(m_reports.size());
    for (const auto &[key, it] : m_reports) {
        all.push_back(it.content);
        all.back().age = now - it.at;
    }
    return all;
}

void CrashHistory::removeOld(TimePoint now)
{
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        const auto next = std::next(it);
        if (now - it->second.at > ReportRetention)
            remove(it);
        it = next;
    }
    while (m_reports.size() >= MaxReports)
        remove(
            std::min_element(m_reports.begin(), m_reports.end(), [](const auto &a, const auto &b) {
                return a.second.at < b.second.at;
            }));
}

void CrashHistory::remove(std::map<ReportKey, Report>::iterator it)
{
    for (const InterruptedRun &run : it->second.content.runs) {
        const auto keys = m_reportsByTask.find(run.task);
        if (keys == m_reportsByTask.end())
            continue;
        std::erase(keys->second, it->first);
        if (keys->second.empty())
            m_reportsByTask.erase(keys);
    }
    m_reports.erase(it);
}

} // namespace cactuscove
