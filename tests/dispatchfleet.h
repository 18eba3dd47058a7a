// Entries, agents and workers of best-effort dispatch in virtual time: the real decision objects,
// with workers, links and callers played around them. Checks the promises while it runs.

#pragma once

#include "jobdispatcher.h"
#include "taskrunner.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cactuscove {

// One kind of job, with the figures of its load.
struct JobKind
{
    std::string queue;
    int priority = 0;
    double perSecond = 0;
    double meanMs = 0;    // run time of a task
    double spread = 0.4;  // standard deviation of the job's run times, as a part of the mean
    double uneven = 0.15; // of the tasks in a job
    double meanTasks = 1;
    std::int64_t cpuMillis = 1000;
    double worth = 1; // of a job of mean work
};

struct DispatchFleetOptions
{
    int entries = 3;
    int workers = 11;
    std::size_t linksPerAgent = 8; // entries that an agent is connected to
    double busyEntries = 1;        // share of the entries that callers come to
    std::int64_t workerCpuMillis = 32000;
    double largeShare = 0; // of workers with half as much again
    double fastSpeed = 1;  // of every third worker
    std::vector<JobKind> kinds;
    Duration length = std::chrono::seconds(20);
    // Multiplies a kind's rate at a time; empty: always 1.
    std::function<double(const JobKind &kind, Duration at)> burst;
    double lostAnswers = 0; // share of worker calls that are carried out late and never answered
    bool checksDeadlines = true;  // a worker refuses a start after its deadline
    bool refusesWhenDown = false; // a worker that is down refuses connections, else it is silent
    double failures = 0.002;
    TaskRunnerSettings runner;
    std::optional<Duration> lostAgentTimeout; // of the entries; none: their own
    std::uint64_t seed = 1;
};

struct KindResult
{
    int asked = 0;
    int inAim = 0;
    int late = 0;
    int refused = 0;
    int other = 0;    // failed or unknown
    double worth = 0; // earned / owed
    Duration slowestRefusal{};
};

class DispatchFleet
{
public:
    explicit DispatchFleet(DispatchFleetOptions options);
    ~DispatchFleet();

    // Faults, to be planned before run().
    void at(Duration time, std::function<void()> fault);
    void killAgent(int agent, Duration down);
    void killEntry(int entry, Duration down);
    void freezeAgent(int agent, Duration length);
    void freezeEntry(int entry, Duration length);
    void cut(int entry, int agent, bool isCut); // both ways, silently
    void crashWorker(int worker, Duration down);
    void setSpeed(int worker, double speed); // 0: tasks stand still
    void setFailing(int worker, bool isFailing);

    void run();

    std::map<std::string, KindResult> results() const;
    double worth() const; // earned / owed, all kinds
    // Broken promises: two runs of a task at once, a worker over its capacity, a refused job that
    // ran.
    const std::vector<std::string> &violations() const;
    std::size_t starts() const;
    Duration slowestAnswer() const; // beyond the objective

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
