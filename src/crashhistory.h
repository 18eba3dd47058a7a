// What is known of workers that went away while tasks ran on them, and what follows for these
// tasks. Crash reports come from the agents beside the workers; entries pass them on to each other.
// So every entry has nearly the same history, and it outlives the entry that placed a task, the
// agent that saw the crash, and the submission of the job.
//
// A task under which workers crash again and again is started at most MaxCrashes times, and then
// given up. Mass crashes do not count, up to MaxCrashesWithMass. Before that it runs alone on its
// worker: if the worker then crashes, the task is the cause, and if not, it is done. So a task that
// only happened to run beside the cause is not given up. A queue whose tasks seem to be the cause
// is distrusted for a time; its tasks then run on few workers (WorkerPool), so that the other
// queues lose no more workers to it.
//
// Reads no clock: inputs carry the time.

#pragma once

#include "dispatchmessages.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cactuscove {

// Where a task may start next.
enum class StartRule {
    Anywhere,
    Alone, // on a worker that runs no other job meanwhile
    Never, // unless reports about the task are withdrawn
};

class CrashHistory
{
public:
    // Commands

    // Returns false if the report says nothing new.
    bool merge(const CrashReport &report, TimePoint now);

    // Queries

    // A task of the job has crashed its workers, so the job has failed. A report counts once it is
    // known whether it belongs to a mass crash.
    bool hasGivenUp(std::string_view jobId, TimePoint now) const;
    StartRule startRuleOf(const TaskId &task, std::string_view queue, TimePoint now) const;
    bool isDistrusted(std::string_view queue, TimePoint now) const;
    bool hasDistrusted(TimePoint now) const; // some queue is distrusted
    // All reports that are kept, for a process that has connected.
    std::vector<CrashReport> reports(TimePoint now) const;
    bool isEmpty() const { return m_reports.empty(); }
    // When hasGivenUp() may become true without another report; NeverTime: not before that.
    TimePoint nextSettled(TimePoint now) const;

private:
    // Identifies a report: the process of the agent, and its number there.
    using ReportKey = std::pair<Incarnation, std::uint64_t>;

    struct Report
    {
        CrashReport content;
        TimePoint at{};         // when the worker went away
        TimePoint receivedAt{}; // first time
        // Several workers went away at about the same time, as in a loss of power, and not under
        // the tasks of one job. Says nothing about the tasks.
        bool isMassCrash = false;
    };

    // Reports about one task that are not withdrawn.
    struct TaskCrashes
    {
        int all = 0;
        int allConfirmed = 0;
        // The others do not count mass crashes.
        int counted = 0;
        int confirmed = 0;
        int recent = 0;               // in which the task had just started
        bool hasCrashedAlone = false; // confirmed, just started, and no other job ran there
    };

    // Those of reports that were received by `until`.
    TaskCrashes crashesOf(const TaskId &task, TimePoint until = NeverTime) const;
    bool isGivenUp(const TaskId &task, TimePoint now) const;
    static bool isProof(const TaskCrashes &crashes); // that the task is the cause
    // Marks the reports of a mass crash that `report` belongs to.
    void findMassCrash(const Report &report);
    // Distrusts the queue whose tasks are more likely than others to have caused the crash.
    void updateDistrust(const Report &report);
    void distrust(std::string_view queue, TimePoint at);
    void removeOld(TimePoint now);
    void remove(std::map<ReportKey, Report>::iterator it);

    std::map<ReportKey, Report> m_reports;
    std::map<TaskId, std::vector<ReportKey>> m_reportsByTask; // of the tasks in m_reports
    // Until when each queue is distrusted, by name.
    std::map<std::string, TimePoint, std::less<>> m_distrustedUntil;
};

} // namespace cactuscove
