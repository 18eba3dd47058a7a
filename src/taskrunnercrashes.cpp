// Workers that went away without notice: what the task runner reports of them to the entries.

#include "durations.h"
#include "taskrunner.h"

#include <algorithm>
#include <utility>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

// A task that its worker is not known to have run for this long is more likely to have ended it
// than the others there.
constexpr Duration RecentRunTime = 25ms;
// Entries keep reports for longer; these are for entries that have lost theirs.
constexpr Duration ReportRetention = 60s;

std::string_view nameOf(CrashState state)
{
    switch (state) {
    case CrashState::Suspected:
        return "suspected";
    case CrashState::Confirmed:
        return "confirmed";
    case CrashState::Withdrawn:
        return "withdrawn";
    }
    return "?";
}

} // namespace

Duration TaskRunner::survivedTime(const Worker &worker, const Task &task)
{
    return std::max<Duration>(worker.heardAt - task.firstSentAt, Duration{});
}

// A start that was refused is no run by the time that a refusing worker is reported. Without
// refusals, the next process may have got the only call, or the worker was gone before it.
bool TaskRunner::mayNotHaveStarted(const Worker &worker, const Task &task)
{
    return worker.refusingSince == NeverTime && !task.starts.isConfirmed
           && (task.starts.sent == 1 || task.firstSentAt > worker.heardAt + RecentRunTime);
}

bool TaskRunner::isOnThisMachine(const Worker &worker) const
{
    const std::string_view address = worker.info.address;
    return address.substr(0, address.rfind(':')) == m_settings.ip;
}

// On the same machine no network failure refuses a call in place of the worker: its process has
// crashed, or is shutting down. Elsewhere its runs may go on until the end of their lease.
void TaskRunner::onRefused(Worker &worker, const PendingCall &call, TimePoint now,
                           RunnerOutbox &out)
{
    if (call.context.process != worker.process || call.context.sentAt < worker.heardAt)
        return; // something has answered since
    if (worker.refusingSince != NeverTime) {
        if (!isRefusalProof(worker.refusingSince, call.context.sentAt))
            return;
        reportCrash(worker, crashStateOf(worker, now), runsOf(worker), now, out);
        if (isOnThisMachine(worker))
            endProvenRuns(worker, EndProof::Refusal, now, out);
        return;
    }
    worker.refusingSince = now;
    out.emplace_back(LogEvent{Severity::Warning,
                              "worker_refusing",
                              {{"worker", worker.info.id},
                               {"heard_ms", toMsString(now - worker.heardAt)},
                               {"cause", std::string(nameOf(causeOfEnd(worker, now)))},
                               {"announced", std::to_string(worker.notice.isAnnounced())}}});
    worker.isUnresponsive = true;
    ++m_loadVersion;
    pollSoon(worker, now);
}

CrashState TaskRunner::crashStateOf(const Worker &worker, TimePoint now) const
{
    return causeOfEnd(worker, now) == EndCause::Crash ? CrashState::Confirmed
                                                      : CrashState::Suspected;
}

std::optional<Duration> TaskRunner::interruptedAfter(const Worker &worker, const Task &task)
{
    if (task.isCarriedOver && !task.starts.isInKnownProcess)
        return task.earlierRunTime;
    if (mayNotHaveStarted(worker, task))
        return std::nullopt;
    return survivedTime(worker, task);
}

void TaskRunner::reportCrash(Worker &worker, CrashState state, std::span<const TaskId> runs,
                             TimePoint now, RunnerOutbox &out)
{
    for (const std::uint64_t number : worker.crashNumbers)
        setCrashState(number, state, now, out);
    if (worker.notice.isAnnounced())
        return;
    CrashReport report{m_settings.instance, m_lastCrash + 1, state, now - worker.heardAt, {}};
    std::size_t recent = 0;
    for (const TaskId &id : runs) {
        Task &task = worker.tasks.at(id);
        const auto ran = interruptedAfter(worker, task);
        if (!ran || std::exchange(task.isCrashReported, true))
            continue;
        // A run that was carried over is reported without those that ran beside it, so it must not
        // seem to be the cause.
        const bool isLate = task.isCarriedOver && !task.starts.isInKnownProcess;
        const bool isRecent = *ran < RecentRunTime && !isLate;
        recent += isRecent;
        report.runs.push_back({id, task.assignment.queue, isRecent});
    }
    if (report.runs.empty())
        return;
    worker.crashNumbers.push_back(++m_lastCrash);
    out.emplace_back(LogEvent{Severity::Warning,
                              "worker_crashed",
                              {{"worker", worker.info.id},
                               {"number", std::to_string(report.number)},
                               {"state", std::string(nameOf(state))},
                               {"runs", std::to_string(report.runs.size())},
                               {"recent", std::to_string(recent)},
                               {"heard_ms", toMsString(report.age)}}});
    sendToEntries(report, out);
    m_crashReports[m_lastCrash] = {std::move(report), worker.heardAt, worker.info};
    while (now - m_crashReports.begin()->second.at > ReportRetention)
        m_crashReports.erase(m_crashReports.begin());
}

void TaskRunner::setCrashState(std::uint64_t number, CrashState state, TimePoint now,
                               RunnerOutbox &out)
{
    const auto found = m_crashReports.find(number);
    if (found == m_crashReports.end() || state <= found->second.report.state)
        return;
    CrashReport &report = found->second.report;
    report.state = state;
    report.age = now - found->second.at;
    out.emplace_back(
        LogEvent{Severity::Info,
                 "worker_crash_revised",
                 {{"number", std::to_string(number)}, {"state", std::string(nameOf(state))}}});
    sendToEntries(report, out);
}

void TaskRunner::withdrawCrash(Worker &worker, TimePoint now, RunnerOutbox &out)
{
    for (const std::uint64_t number : std::exchange(worker.crashNumbers, {}))
        setCrashState(number, CrashState::Withdrawn, now, out);
}

void TaskRunner::settleCrashes(const WorkerInfo &info, TimePoint now, RunnerOutbox &out)
{
    for (const auto &[number, it] : m_crashReports) {
        if (it.worker.address != info.address)
            continue;
        const bool isSameProcess
            = it.worker.id == info.id && it.worker.startedAtUnixMs == info.startedAtUnixMs;
        setCrashState(number, isSameProcess ? CrashState::Withdrawn : CrashState::Confirmed, now,
                      out);
    }
}

std::vector<CrashReport> TaskRunner::crashReports(TimePoint now) const
{
    std::vector<CrashReport> reports;
    for (const auto &[number, it] : m_crashReports) {
        reports.push_back(it.report);
        reports.back().age = now - it.at;
    }
    return reports;
}

} // namespace cactuscove
