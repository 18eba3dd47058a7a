// A fleet of best-effort dispatch in virtual time: real decision objects of entries and agents with
// simulated workers, connections and callers around them. While it runs it checks the guarantees
// that violations() names.

#pragma once

#include "jobdispatcher.h"
#include "taskrunner.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cactuscove {

// One kind of job and how much load it makes. Random values are drawn for each job.
struct JobKind
{
    std::string queue;        // name of the queue; one for each kind
    int priority = 0;         // of the queue; 0 is the most urgent
    double jobsPerSecond = 0; // mean rate of new jobs, over all entries
    double meanRunMs = 0;     // mean run time of a task at speed 1
    // Standard deviation of the run times of jobs, as a part of the mean.
    double runTimeSpread = 0.4;
    double taskSpread = 0.15;      // the same for the run times of the tasks in a job
    double meanTasks = 1;          // mean number of tasks in a job
    std::int64_t cpuMillis = 1000; // mean need of a task, in thousandths of a core
    double value = 1;              // value of a job with the mean amount of work
    // Share of jobs whose first task crashes each worker that starts it. They count as worth
    // nothing.
    double crashingShare = 0;
};

// Size, load and faults of a fleet. Shares and rates are from 0 to 1.
struct DispatchFleetOptions
{
    int entries = 3;
    int workers = 11;
    std::size_t linksPerAgent = 8; // entries that each agent keeps connections to
    double usedEntryShare = 1;     // share of the entries that callers connect to
    // Callers of entry i in proportion to element i modulo the size; empty: all the same.
    std::vector<double> entryDemand;
    bool hasScarcityControl = false;      // of entries and agents, see FeatureFlags
    int dataCentres = 1;                  // worker i is in the data centre "dc" + (i modulo this)
    std::int64_t workerCpuMillis = 32000; // capacity of a worker, in thousandths of a core
    double largeShare = 0;                // above 0, every third worker has 1.5 times the capacity
    double fastWorkerSpeed = 1;           // speed of every third worker; the others have 1
    std::vector<double> workerSpeeds;     // of worker i modulo the size; empty: as above
    // Share of the restarted agents that know their worker from the store; 0: no records.
    double workerRecordShare = 0;
    bool hasSpreadHeartbeats = false; // workers send their heartbeats at different times
    // Connections open 20 ms to this long after they were dialled; 0: at once.
    Duration maxConnectTime{};
    std::vector<JobKind> kinds;                 // all kinds of jobs
    Duration length = std::chrono::seconds(20); // jobs are submitted during this time
    // Factor on the rate of a kind, by the time since the start of the load; empty: always 1.
    std::function<double(const JobKind &kind, Duration at)> rateFactor;
    // Share of the calls to workers that are executed 2 to 12 s late and never answered. If the
    // worker is down then, its next process gets them in its first instant.
    double lostReplyRate = 0;
    double slowCallRate = 0; // share of the calls to workers that are executed up to 240 ms late
    bool checksDeadlines = true; // workers refuse a start after its deadline
    // A worker that is down refuses connections; otherwise its calls are not answered.
    bool refusesWhenDown = false;
    bool keepsWorkerIds = false; // a worker keeps its id when it starts again
    // A worker that runs an attempt of a task refuses to start another one, as platformstandin.py
    // does. Of two starts without an answer, both late, its next process then carries out one.
    bool refusesSecondAttempts = false;
    // From the start of a worker's process, which takes calls at once, to its first heartbeat.
    Duration registrationTime{};
    double failureRate = 0.002; // share of runs that fail
    // From the start of a crashing task to the crash, and from there to the worker's next process.
    Duration crashDelay = std::chrono::milliseconds(10);
    Duration crashDowntime = std::chrono::milliseconds(3200);
    // How long callers wait for an answer; none: as long as callers of the job's size do.
    std::optional<Duration> callerTimeout;
    TaskRunnerSettings runner;
    std::optional<Duration> lostAgentTimeout; // lostAgentTimeout of the entries; none: the default
    std::uint64_t seed = 1;
};

// What became of the jobs of one kind and size.
struct SizeResult
{
    int submitted = 0;
    int onTime = 0;  // completed within the objective
    int started = 0; // all tasks were started by workers
    // Mean time from the first submission to the last start of a task, over the started jobs.
    double meanWaitMs = 0;

    double onTimeShare() const { return submitted > 0 ? 1.0 * onTime / submitted : 1; }
};

// What became of the jobs of one kind, as numbers of jobs.
struct KindResult
{
    // By the cores that all tasks of a job need together: the largest tenth, the fifth below it,
    // the rest.
    std::array<SizeResult, 3> sizes;
    int submitted = 0;
    int onTime = 0; // completed within the objective
    int late = 0;   // completed after the objective
    int refused = 0;
    int other = 0;             // failed, or without a final answer
    double valueShare = 0;     // value of the answers / value if every job were on time
    Duration slowestRefusal{}; // longest time from the first submission to a refusal
};

// What became of jobs, by numbers of jobs.
struct JobCounts
{
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0; // or without a final answer
    int all() const { return onTime + late + refused + failed; }
};

// State of the fleet at one time, and the jobs that were sent in the interval that begins then.
struct FleetMoment
{
    double knownWorkerShare = 0; // share of the agents that know their worker
    double usableCoreShare = 0;  // share of all cores at workers that take tasks
    double connectedShare = 0;   // share of the connections that agents keep
    JobCounts fresh;             // jobs that were sent for the first time
    JobCounts returned;          // jobs that were sent again, as an earlier process was lost
};

// One job of the load and its result.
struct PlayedJob
{
    std::string queue;
    Duration at{};          // of its first submission, since the start of the load
    double coreSeconds = 0; // of all its tasks, at speed 1
    double value = 0;
    bool isOnTime = false;
    bool isLate = false; // completed after its objective
    bool isRefused = false;
    bool isCrashing = false; // its first task crashes workers
    int crashes = 0;         // of workers under its first task, if it is crashing
    bool isGivenUp = false;  // answered as failed because of crashes
    Duration answerTime{};   // from its first submission; NeverAnswered without a final answer
    static constexpr Duration NeverAnswered = Duration::max();
};

// How a worker leaves. The times count from the heartbeat in which it says that it drains.
struct WorkerLeave
{
    Duration leavesAfter{}; // it says that it leaves
    Duration endsAfter{};   // its process ends, with all that runs on it
    // It closes its listener and its connections; none: they close as the process ends. Between the
    // two, calls on open connections are answered and new connections are refused.
    std::optional<Duration> listenerClosesAfter;
    std::optional<Duration> connectionsCloseAfter;
    Duration down{};          // from the end of the process to the start of the next one
    bool isLeaveLost = false; // what it says when it leaves does not arrive
};

// Runs once: plan the faults, call run(), then read the results.
class DispatchFleet
{
public:
    explicit DispatchFleet(DispatchFleetOptions options);
    ~DispatchFleet();

    // Faults. schedule() plans a fault at a time after the start of the load and is called before
    // run(). The others take effect at once and are called from planned faults.
    void schedule(Duration time, std::function<void()> fault);
    // Ends the process; a new one starts after `down`.
    void killAgent(int agent, Duration down);
    void killEntry(int entry, Duration down);
    // Kills all entries and agents. Each starts again after `down` and a random time up to
    // `spread`.
    void killAll(Duration down, Duration spread);
    // Suspends the process: inputs are handled when it resumes.
    void freezeAgent(int agent, Duration length);
    void freezeEntry(int entry, Duration length);
    // While a connection is cut, all messages on it are lost, in both directions.
    void setCut(int entry, int agent, bool isCut);
    // The worker and its runs are gone at once; a new process of it starts after `down`.
    void crashWorker(int worker, Duration down);
    // The same, but at its next start of a task: right after it has begun the task, before it
    // answers.
    void crashWorkerAtStart(int worker, Duration down);
    // The worker leaves as planned, and a new process of it starts later.
    void leaveWorker(int worker, const WorkerLeave &leave);
    void setSpeed(int worker, double speed); // 0: tasks make no progress
    // The worker has this capacity from now on; its next heartbeat reports it.
    void setCapacity(int worker, std::int64_t cpuMillis);
    // While this is set, every run on the worker fails after a fifth of its work.
    void setFailing(int worker, bool isFailing);
    // Requests the evacuation of the data centre in the operators' topic, or withdraws it.
    void evacuate(int dataCentre, bool isEvacuated);
    // While this is set, no entry can read the operators' topic.
    void setStoreAway(bool isAway);

    // To be called before run(): makes timeline() cover the time from `from` to `to`.
    void watch(Duration from, Duration to, Duration interval);

    void run();

    std::vector<FleetMoment> timeline() const; // one for each interval
    // By queue.
    std::map<std::string, KindResult> results() const;
    std::vector<PlayedJob> jobs() const;
    double valueShare() const; // the same as KindResult::valueShare, over all kinds
    // One text for each violated guarantee: two runs of a task at the same time, a start over the
    // worker's capacity (one that has shrunk counts after CapacityGrace), a job that was refused
    // although a task of it ran, a start of a task under which three workers have crashed, or a
    // sound job that was given up for crashes.
    const std::vector<std::string> &violations() const;
    std::size_t startCount() const; // runs that workers have started
    std::size_t crashCount() const; // crashes of workers by tasks
    // The same in a data centre, between two times after the start of the load.
    std::size_t startsIn(int dataCentre, Duration from, Duration to) const;
    Duration slowestAnswer() const; // longest time from the objective of a job to its answer

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace cactuscove
