// The workload of the measuring program measure.cpp: jobs with their arrival times, tasks with
// their run times, and the speeds of the workers. The same options and seed always give the same
// workload.

#pragma once

#include "placement.h"
#include "types.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace cactuscove::measure {

// The parameters of a run, set by the flags of measure.cpp.
struct Options
{
    std::uint64_t seed = 1;   // of all random choices
    std::size_t jobs = 4000;  // without the jobs of the flood
    std::size_t workers = 11; // each has an agent of its own
    std::size_t dataCentres = 4;
    std::uint32_t slots = 8;     // of each worker
    double deadline = 30;        // of every job, seconds from its arrival
    double load = 0.8;           // offered work / capacity, without the flood
    double delayMs = 1;          // one way between data centres
    double nearDelayMs = 0.2;    // one way within a data centre
    double longTasks = 0.03;     // fraction of the tasks that take 1 s to 6 s; others 0.05 s to 1 s
    double stragglers = 0.01;    // fraction of the tasks whose run time is multiplied by five
    double speedSpread = 0.3;    // worker speeds are within 1 -+ this
    double declaredError = 10;   // declared time / run time is within this factor
    bool fakes = false;          // floods and failures run on Fleet instead of NodeFleet
    bool gossip = true;          // envelopes carry load reports of other agents too
    bool bindOldest = true;      // an offered slot goes to the oldest task of its flow
    bool longestFirst = true;    // a job's tasks are queued by falling declared time
    bool health = true;          // agents get weights and are ejected by WorkerHealth
    double queueTargetScale = 0; // factor of the queue targets 2 s, 5 s, 10 s; 0: no refusals
    int resubmits = 2;           // times that a refused job is submitted again, when it was told to
    double retryBurst = 1;       // largest number of retries that a RetryBudget saves up
    std::string flood;           // class of the flood; empty: no flood
    double floodFactor = 10;     // offered work of the flood / capacity
    double faultFrom = 60;       // begin of the flood or of failures, seconds of virtual time
    double faultUntil = 120;     // end of the flood or of failures, seconds of virtual time
    std::size_t badWorkers = 0;  // the first this many workers fail every task in the fault time
    double badRunMs = 5;         // run time of a failing task
    bool idempotent = false;     // failed tasks are retried as far as the RetryBudget allows
};

// One task, and how often it was started during the run.
struct Task
{
    std::size_t job = 0; // index in Workload::jobs
    double work = 0;     // run time on a worker of speed 1, seconds
    double declared = 0; // run time that its job declares, seconds
    int attempts = 0;    // starts so far
};

// One job, and how often it was refused during the run.
struct Job
{
    double arrival = 0; // first submission, seconds of virtual time
    std::string jobClass;
    std::string team;
    std::size_t home = 0;      // index of the agent that is its home; NodeFleet uses the ledger's
    std::size_t firstTask = 0; // index in Workload::tasks
    std::size_t tasks = 0;     // number of tasks, from firstTask on
    double deadline = 30;      // seconds after its arrival
    bool isFlood = false;      // belongs to the flood
    int refusals = 0;          // submissions that were refused so far
};

struct Workload
{
    std::vector<Job> jobs;      // in order of arrival
    std::vector<Task> tasks;    // those of a job are adjacent
    std::vector<double> speeds; // of each worker; a task takes Task::work / speed seconds
};

// A random number whose logarithm is uniform; from `low` to below `high`.
inline double logUniform(Random &random, double low, double high)
{
    return low * std::pow(high / low, random.fraction());
}

// A random number of an exponential distribution.
inline double exponential(Random &random, double mean)
{
    return -mean * std::log(1 - random.fraction());
}

// The run time of a random task on a worker of speed 1, in seconds.
inline double runTime(const Options &options, Random &random)
{
    double seconds = random.fraction() < options.longTasks ? logUniform(random, 1, 6)
                                                           : logUniform(random, 0.05, 1);
    if (random.fraction() < options.stragglers)
        seconds *= 5;
    return seconds;
}

// Adds a job with random size, home and tasks.
inline void addJob(Workload &workload, const Options &options, Random &random, double arrival,
                   std::string jobClass, std::string team, bool isFlood)
{
    Job job;
    job.arrival = arrival;
    job.jobClass = std::move(jobClass);
    job.team = std::move(team);
    job.isFlood = isFlood;
    job.deadline = options.deadline;
    job.home = random.below(options.workers);
    job.firstTask = workload.tasks.size();
    job.tasks = static_cast<std::size_t>(logUniform(random, 1, MaxTasksPerJob + 1));
    for (std::size_t i = 0; i < job.tasks; ++i) {
        Task task;
        task.job = workload.jobs.size();
        task.work = runTime(options, random);
        task.declared
            = task.work * logUniform(random, 1 / options.declaredError, options.declaredError);
        workload.tasks.push_back(task);
    }
    workload.jobs.push_back(std::move(job));
}

// Draws a workload: worker speeds evenly spread around 1, and jobs with Poisson arrivals at the
// rate that gives the wanted load. Job sizes are log-uniform in 1 to 370 tasks, so half of the jobs
// have fewer than 20. The flood has random generators of its own, so the other jobs don't depend on
// it.
inline Workload makeWorkload(const Options &options)
{
    Workload workload;
    Random random(options.seed);
    double capacity = 0; // slot-seconds of work per second
    for (std::size_t i = 0; i < options.workers; ++i) {
        // From -1 for the first worker to 1 for the last.
        const double position
            = options.workers > 1
                  ? 2.0 * static_cast<double>(i) / static_cast<double>(options.workers - 1) - 1
                  : 0;
        workload.speeds.push_back(1 + options.speedSpread * position);
        capacity += options.slots * workload.speeds.back();
    }
    // The mean run time of a sample gives the arrival rate for the wanted load.
    Random sampleRandom(options.seed + 1);
    double meanWork = 0;
    constexpr int sampleCount = 200000;
    for (int i = 0; i < sampleCount; ++i)
        meanWork += runTime(options, sampleRandom) / sampleCount;
    const double meanTasks = MaxTasksPerJob / std::log(MaxTasksPerJob + 1.0) - 0.5;
    const double meanGap = meanWork * meanTasks / (capacity * options.load);

    Random floodRandom(options.seed + 2);
    const double meanFloodGap = meanWork * meanTasks / (capacity * options.floodFactor);
    double nextFlood = options.flood.empty() ? HUGE_VAL : options.faultFrom;
    double now = 0;
    for (std::size_t regular = 0; regular < options.jobs; ++regular) {
        now += exponential(random, meanGap);
        for (; nextFlood < std::min(now, options.faultUntil);
             nextFlood += exponential(floodRandom, meanFloodGap))
            addJob(workload, options, floodRandom, nextFlood, options.flood, "flooder", true);
        const double classDraw = random.fraction();
        const char *jobClass = classDraw < 0.3 ? "urgent" : classDraw < 0.8 ? "normal" : "bulk";
        const char *team = random.fraction() < 0.5 ? "bookings" : "billing";
        addJob(workload, options, random, now, jobClass, team, false);
    }
    return workload;
}

} // namespace cactuscove::measure
