// Jobs, run times and workers for the measuring driver, all drawn from one seed.

#pragma once

#include "placement.h"
#include "types.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

namespace cactuscove::measure {

struct Options
{
    std::uint64_t seed = 1;
    std::size_t jobs = 4000;
    std::size_t workers = 11;
    std::size_t dataCentres = 4;
    std::uint32_t slots = 8;
    double deadline = 30;      // of every job, seconds
    double load = 0.8;         // offered work / capacity
    double delayMs = 1;        // one way between data centres
    double nearDelayMs = 0.2;  // one way within a data centre
    double longTasks = 0.03;   // part of the tasks that take 1 s to 6 s
    double stragglers = 0.01;  // part of the tasks that take five times as long
    double speedSpread = 0.3;  // worker speeds are within 1 -+ this
    double declaredError = 10; // declared time / run time is within this factor
    bool fakes = false;        // homes and executors are fakes instead of the agent nodes
    bool gossip = true;        // envelopes carry the digests of other agents too
    bool bindOldest = true;    // an offered slot goes to the oldest task of its flow
    bool longestFirst = true;  // tasks of a job in the order of their declared times
    bool health = true;
    double queueTargetScale = 0; // 0 switches refusals off
    int resubmits = 2;           // times that a refused job comes back when it was told to
    double retryBurst = 1;
    std::string flood;          // class that floods at ten times capacity; empty is none
    double floodFactor = 10;    // offered work of the flood / capacity
    double faultFrom = 60;      // flood, failing workers: seconds of virtual time
    double faultUntil = 120;    // likewise
    std::size_t badWorkers = 0; // workers that fail every task within the fault time
    double badRunMs = 5;        // run time of a failing task
    bool idempotent = false;    // failed tasks may be retried under the budget
};

struct Task
{
    std::size_t job = 0;
    double work = 0;     // seconds on a worker of speed 1
    double declared = 0; // seconds
    int attempts = 0;
};

struct Job
{
    double arrival = 0; // seconds
    std::string jobClass;
    std::string team;
    std::size_t home = 0;
    std::size_t firstTask = 0;
    std::size_t tasks = 0;
    double deadline = 30; // seconds
    bool isFlood = false;
    int submissions = 0;
};

struct Workload
{
    std::vector<Job> jobs;
    std::vector<Task> tasks;
    std::vector<double> speeds; // of the workers
};

inline double logUniform(Random &random, double low, double high)
{
    return low * std::pow(high / low, random.fraction());
}

inline double exponential(Random &random, double mean)
{
    return -mean * std::log(1 - random.fraction());
}

inline double runTime(const Options &options, Random &random)
{
    double seconds = random.fraction() < options.longTasks ? logUniform(random, 1, 6)
                                                           : logUniform(random, 0.05, 1);
    if (random.fraction() < options.stragglers)
        seconds *= 5;
    return seconds;
}

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

// Poisson arrivals. Sizes are log-uniform in 1 to 370: half of the jobs have fewer than 20 tasks.
inline Workload makeWorkload(const Options &options)
{
    Workload workload;
    Random random(options.seed);
    double capacity = 0; // slot-seconds of work per second
    for (std::size_t i = 0; i < options.workers; ++i) {
        const double place
            = options.workers > 1
                  ? 2.0 * static_cast<double>(i) / static_cast<double>(options.workers - 1) - 1
                  : 0;
        workload.speeds.push_back(1 + options.speedSpread * place);
        capacity += options.slots * workload.speeds.back();
    }
    Random sample(options.seed + 1);
    double meanWork = 0;
    constexpr int samples = 200000;
    for (int i = 0; i < samples; ++i)
        meanWork += runTime(options, sample) / samples;
    const double meanTasks = MaxTasksPerJob / std::log(MaxTasksPerJob + 1.0) - 0.5;
    const double gap = meanWork * meanTasks / (capacity * options.load);

    Random floods(options.seed + 2);
    const double floodGap = meanWork * meanTasks / (capacity * options.floodFactor);
    double nextFlood = options.flood.empty() ? HUGE_VAL : options.faultFrom;
    double now = 0;
    for (std::size_t regular = 0; regular < options.jobs; ++regular) {
        now += exponential(random, gap);
        for (; nextFlood < std::min(now, options.faultUntil);
             nextFlood += exponential(floods, floodGap))
            addJob(workload, options, floods, nextFlood, options.flood, "flooder", true);
        const double mark = random.fraction();
        const char *jobClass = mark < 0.3 ? "urgent" : mark < 0.8 ? "normal" : "bulk";
        const char *team = random.fraction() < 0.5 ? "bookings" : "billing";
        addJob(workload, options, random, now, jobClass, team, false);
    }
    return workload;
}

} // namespace cactuscove::measure
