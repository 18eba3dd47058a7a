// Checks a history against the invariants: starts at most once unless idempotent, whole answers,
// true not_run answers, and revisions that never go back.

#include "fleethistory.h"

#include <algorithm>
#include <set>

namespace cactuscove {

namespace {

struct JobHistory
{
    std::vector<SubmittedEvent> submitted;
    std::map<std::uint16_t, std::vector<TimePoint>> starts; // by task
    std::vector<AnsweredEvent> answered;
};

std::string timeOf(TimePoint time)
{
    return std::to_string(time.time_since_epoch().count()) + " us";
}

void checkStarts(const JobKey &key, const JobHistory &job, std::vector<std::string> &violations)
{
    for (const auto &[index, times] : job.starts) {
        if (times.size() > 1 && !job.submitted.empty() && !job.submitted.front().idempotent)
            violations.push_back(key.value + ": task " + std::to_string(index) + " started "
                                 + std::to_string(times.size()) + " times");
    }
}

void checkCompleted(const JobHistory &job, const AnsweredEvent &event,
                    std::vector<std::string> &violations)
{
    const std::string &key = event.key.value;
    const std::vector<TaskAnswer> &tasks = event.answer.tasks;
    if (job.submitted.empty() || tasks.size() != job.submitted.front().taskCount) {
        violations.push_back(key + ": completed with " + std::to_string(tasks.size()) + " results");
        return;
    }
    for (std::size_t n = 0; n < tasks.size(); ++n) {
        if (tasks[n].body != bodyOf(event.key, n))
            violations.push_back(key + ": another task's result: " + tasks[n].body);
        const auto starts = job.starts.find(static_cast<std::uint16_t>(n));
        if (starts == job.starts.end() || starts->second.front() > event.at)
            violations.push_back(key + ": completed without a start of task " + std::to_string(n));
    }
}

// After an answer of not_run a task may start only for a later request: one that was submitted
// after the retry time of the answer and was not itself answered not_run.
void checkNotRun(const JobKey &key, const JobHistory &job, std::vector<std::string> &violations)
{
    std::set<std::uint64_t> refused; // callers that were told not_run
    TimePoint retryTime = TimePoint::max();
    std::string reasons;
    for (const AnsweredEvent &it : job.answered) {
        if (it.answer.outcome != Outcome::NotRun)
            continue;
        refused.insert(it.caller);
        reasons += " " + it.answer.reason + " at " + timeOf(it.at);
        if (it.answer.retryAfter)
            retryTime = std::min(retryTime, it.at + *it.answer.retryAfter);
    }
    if (refused.empty())
        return;
    for (const auto &[index, times] : job.starts) {
        for (const TimePoint start : times) {
            const auto allows = [&](const SubmittedEvent &it) {
                return it.at >= retryTime && it.at <= start && !refused.contains(it.caller);
            };
            if (std::ranges::none_of(job.submitted, allows))
                violations.push_back(key.value + ": not_run (" + reasons + " ), but task "
                                     + std::to_string(index) + " started at " + timeOf(start));
        }
    }
}

void checkAnswers(const JobHistory &job, std::vector<std::string> &violations)
{
    std::map<std::uint64_t, std::size_t> answersOf;
    for (const AnsweredEvent &event : job.answered) {
        const auto isAsked = [&](const SubmittedEvent &it) { return it.caller == event.caller; };
        if (std::ranges::none_of(job.submitted, isAsked))
            violations.push_back(event.key.value
                                 + ": answered to a caller that did not ask for it");
        if (++answersOf[event.caller] > 1)
            violations.push_back(event.key.value + ": two answers to one request");
        if (event.answer.outcome == Outcome::Completed)
            checkCompleted(job, event, violations);
        else if (!event.answer.tasks.empty())
            violations.push_back(event.key.value + ": partial answer");
    }
}

} // namespace

std::string bodyOf(const JobKey &key, std::size_t index)
{
    return key.value + "#" + std::to_string(index);
}

std::vector<std::string> findViolations(const FleetHistory &history)
{
    std::map<JobKey, JobHistory> jobs;
    for (const SubmittedEvent &it : history.submitted)
        jobs[it.key].submitted.push_back(it);
    for (const StartedEvent &it : history.started)
        jobs[it.key].starts[it.index].push_back(it.at);
    for (const AnsweredEvent &it : history.answered)
        jobs[it.key].answered.push_back(it);
    std::vector<std::string> violations;
    for (const auto &[key, job] : jobs) {
        checkStarts(key, job, violations);
        checkAnswers(job, violations);
        checkNotRun(key, job, violations);
    }
    std::map<Incarnation, Revision> newest;
    for (const RevisionEvent &it : history.revisions) {
        if (it.revision < newest[it.process])
            violations.push_back("process " + std::to_string(it.process.value)
                                 + " went back to revision " + std::to_string(it.revision.value));
        newest[it.process] = it.revision;
    }
    return violations;
}

} // namespace cactuscove
