// Runs a random workload on models of a fleet in virtual time and prints one table of a scenario:
//
//   responses  response times with the policies in use, with baselines and in ideal fleets
//   flood      jobs that complete in time with and without a flood of one class
//   failures   starts and retries while some workers fail every task
//
// The flags and the seed determine the output, so every figure can be reproduced.

#include "nodemodel.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <map>

namespace po = boost::program_options;

namespace cactuscove::measure {
namespace {

// The value at the position `part` (0 to 1) in ascending order; 0 without values.
double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto k = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(k), values.end());
    return values[k];
}

// Response times in seconds of the completed jobs of a class, or of all classes if it is empty.
// Jobs of a flood don't count.
std::vector<double> responses(const Workload &workload, const RunResult &result,
                              const std::string &jobClass)
{
    std::vector<double> values;
    for (std::size_t i = 0; i < workload.jobs.size(); ++i) {
        const Job &job = workload.jobs[i];
        if (!job.isFlood && result.jobs[i].end == End::Completed
            && (jobClass.empty() || job.jobClass == jobClass))
            values.push_back(result.jobs[i].response);
    }
    return values;
}

// Prints a line of the table of measureResponses(); `central` is the result of the central queue.
void printResponses(const char *name, const Workload &workload, const RunResult &result,
                    const RunResult &central)
{
    std::printf("%-12s", name);
    for (const char *jobClass : {"", "urgent", "normal", "bulk"}) {
        const auto own = responses(workload, result, jobClass);
        std::printf("  %6.3f %7.3f", percentile(own, 0.5), percentile(own, 0.99));
    }
    const auto own = responses(workload, result, "");
    const auto ideal = responses(workload, central, "");
    std::printf(
        "  %5.2f %5.2f  %5.2f %6.3f %6.1f%%\n", percentile(own, 0.5) / percentile(ideal, 0.5),
        percentile(own, 0.99) / percentile(ideal, 0.99),
        static_cast<double>(result.messages) / static_cast<double>(workload.tasks.size()),
        static_cast<double>(result.wastedMessages) / static_cast<double>(workload.tasks.size()),
        100 * static_cast<double>(own.size()) / static_cast<double>(workload.jobs.size()));
}

// Scenario "responses": p50 and p99 of the seconds from arrival to answer for each model, in all
// and by class, their ratios to the central queue, messages and wasted messages per task, completed
// jobs.
int measureResponses(const Options &options, const std::string &only)
{
    const Workload workload = makeWorkload(options);
    std::printf("%-12s  %14s  %14s  %14s  %14s  %11s  %12s\n", "policy", "all p50/p99", "urgent",
                "normal", "bulk", "p50x  p99x", "msgs  wasted   done");
    const RunResult central = CentralQueue(options, workload).run();
    printResponses("empty", workload, runOnEmptyFleet(options, workload), central);
    printResponses("central", workload, central, central);
    printResponses("nodes", workload, NodeFleet(options, workload).run(), central);
    if (only == "nodes")
        return 0;
    printResponses("digest", workload, Fleet<LoadReportPolicy>(options, workload).run(), central);
    if (only == "digest")
        return 0;
    printResponses("random", workload, Fleet<RandomPolicy>(options, workload).run(), central);
    printResponses("roundrobin", workload, Fleet<RoundRobinPolicy>(options, workload).run(),
                   central);
    printResponses("twochoices", workload, Fleet<StaleTwoChoicesPolicy>(options, workload).run(),
                   central);
    return 0;
}

// Number of jobs of a class and team that arrived in the fault time and completed before their
// deadline.
double countInTime(const Workload &workload, const RunResult &result, const Options &options,
                   const std::string &jobClass, const std::string &team)
{
    double count = 0;
    for (std::size_t i = 0; i < workload.jobs.size(); ++i) {
        const Job &job = workload.jobs[i];
        if (job.jobClass == jobClass && job.team == team && job.arrival >= options.faultFrom
            && job.arrival < options.faultUntil && result.jobs[i].end == End::Completed
            && result.jobs[i].response <= job.deadline)
            ++count;
    }
    return count;
}

// Runs the workload on the model that the options choose.
RunResult runFleet(const Options &options, const Workload &workload)
{
    return options.fakes ? Fleet<LoadReportPolicy>(options, workload).run()
                         : NodeFleet(options, workload).run();
}

// Scenario "flood": the jobs that each class and team completes in time with and without a flood of
// one class, and the retry times that the flood's callers get.
int measureFlood(const Options &options)
{
    Options noFloodOptions = options;
    noFloodOptions.flood.clear();
    const Workload noFloodWorkload = makeWorkload(noFloodOptions);
    const Workload floodWorkload = makeWorkload(options);
    const RunResult noFloodResult = runFleet(noFloodOptions, noFloodWorkload);
    const RunResult floodResult = runFleet(options, floodWorkload);
    std::printf("flood of %s from %.0f s to %.0f s\n%-8s %-10s %8s %8s %8s\n",
                options.flood.c_str(), options.faultFrom, options.faultUntil, "class", "team",
                "without", "with", "kept");
    for (const char *jobClass : {"urgent", "normal", "bulk"}) {
        for (const char *team : {"bookings", "billing"}) {
            const double without
                = countInTime(noFloodWorkload, noFloodResult, options, jobClass, team);
            const double with = countInTime(floodWorkload, floodResult, options, jobClass, team);
            std::printf("%-8s %-10s %8.0f %8.0f %7.1f%%\n", jobClass, team, without, with,
                        100 * with / without);
        }
    }
    std::vector<double> retryTimes;      // of the flood's refusals, seconds
    std::map<long, std::size_t> returns; // allowed resubmissions by second of virtual time
    std::size_t others = 0;              // refusals of other jobs
    for (const Refusal &it : floodResult.refusals) {
        others += it.isFlood ? 0 : 1;
        if (!it.isFlood)
            continue;
        retryTimes.push_back(it.retryAfter);
        ++returns[std::lround(it.time + it.retryAfter)];
    }
    std::size_t maxReturns = 0;
    for (const auto &[second, count] : returns)
        maxReturns = std::max(maxReturns, count);
    const auto floodJobs
        = static_cast<double>(std::count_if(floodWorkload.jobs.begin(), floodWorkload.jobs.end(),
                                            [](const Job &it) { return it.isFlood; }));
    std::printf("flood: %.0f jobs, %zu refusals, %.0f completed in time; other refusals %zu "
                "(without the flood %zu)\n",
                floodJobs, retryTimes.size(),
                countInTime(floodWorkload, floodResult, options, options.flood, "flooder"), others,
                noFloodResult.refusals.size());
    std::printf("retry time p5 %.1f s, p50 %.1f s, p95 %.1f s; most returns in one second %zu\n",
                percentile(retryTimes, 0.05), percentile(retryTimes, 0.5),
                percentile(retryTimes, 0.95), maxReturns);
    return 0;
}

// Scenario "failures": some workers fail every task in the fault time. For intervals from its
// begin, prints the starts, the retries among them, starts / first starts, and the part on these
// workers.
int measureFailures(const Options &options)
{
    const Workload workload = makeWorkload(options);
    const RunResult result = runFleet(options, workload);
    std::size_t failedJobs = 0;
    for (const JobEnd &it : result.jobs)
        failedJobs += it.end == End::Failed ? 1 : 0;
    std::printf("%zu of %zu workers fail from %.0f s to %.0f s; %zu of %zu jobs failed\n",
                options.badWorkers, options.workers, options.faultFrom, options.faultUntil,
                failedJobs, workload.jobs.size());
    std::printf("%-12s %8s %8s %9s %8s\n", "since", "starts", "retries", "offered", "on bad");
    // Seconds since the begin of the fault time.
    const std::vector<double> bounds{-10, 0, 0.5, 1, 2, 5, 10, 20, 40, 60, 62, 65, 70, 80, 100};
    for (std::size_t k = 0; k + 1 < bounds.size(); ++k) {
        double starts = 0;
        double retries = 0;
        double bad = 0;
        for (const Start &it : result.starts) {
            const double since = it.time - options.faultFrom;
            if (since < bounds[k] || since >= bounds[k + 1])
                continue;
            starts += 1;
            retries += it.isRetry ? 1 : 0;
            bad += it.worker < options.badWorkers ? 1 : 0;
        }
        std::printf("%5.1f-%5.1f s %8.0f %8.0f %8.3fx %7.2f%%\n", bounds[k], bounds[k + 1], starts,
                    retries, starts / std::max(1.0, starts - retries),
                    100 * bad / std::max(1.0, starts));
    }
    return 0;
}

// The flags; parsing them sets the options. Their present values are the defaults.
po::options_description describeOptions(Options &o, std::string &scenario, std::string &only)
{
    po::options_description flags("Options");
    const auto add = [&flags](const char *name, auto &value, const char *text) {
        using T = std::remove_reference_t<decltype(value)>;
        flags.add_options()(name, po::value<T>(&value)->default_value(value), text);
    };
    flags.add_options()("help", "print this list");
    add("scenario", scenario, "responses, flood or failures");
    add("only", only, "'nodes' or 'digest' leaves out what follows it");
    add("seed", o.seed, "of all random choices");
    add("jobs", o.jobs, "regular jobs");
    add("workers", o.workers, "workers, one agent each");
    add("data-centres", o.dataCentres, "data centres");
    add("slots", o.slots, "slots per worker");
    add("deadline", o.deadline, "of every job, seconds");
    add("load", o.load, "offered work / capacity");
    add("delay-ms", o.delayMs, "one way between data centres");
    add("near-delay-ms", o.nearDelayMs, "one way within a data centre");
    add("long-tasks", o.longTasks, "part of the tasks that take 1 s to 6 s");
    add("stragglers", o.stragglers, "part of the tasks that take five times as long");
    add("speed-spread", o.speedSpread, "worker speeds lie within 1 -+ this");
    add("declared-error", o.declaredError, "largest factor of declared / real time");
    add("fakes", o.fakes, "floods and failures run on fakes instead of real agent nodes");
    add("gossip", o.gossip, "envelopes carry load digests of other agents too");
    add("bind-oldest", o.bindOldest, "an offered slot goes to the oldest task of its flow");
    add("longest-first", o.longestFirst, "a job's tasks are queued by falling declared time");
    add("queue-target-scale", o.queueTargetScale,
        "factor of the queue targets 2, 5 and 10 s; 0: no refusals");
    add("resubmits", o.resubmits, "times that a refused job is submitted again");
    add("flood", o.flood, "class of the flood");
    add("flood-factor", o.floodFactor, "offered work of the flood / capacity");
    add("fault-from", o.faultFrom, "start of the flood or failures, seconds");
    add("fault-until", o.faultUntil, "end of the flood or failures, seconds");
    add("bad-workers", o.badWorkers, "workers that fail every task");
    add("bad-run-ms", o.badRunMs, "run time of a failing task");
    add("idempotent", o.idempotent, "failed tasks may be retried");
    add("retry-burst", o.retryBurst, "largest number of retries that a retry budget saves up");
    add("health", o.health, "weights and ejection of agents by their health");
    return flags;
}

// Returns the exit status: 0, or 2 for wrong flags.
int run(int argc, char **argv)
{
    Options options;
    std::string scenario = "responses";
    std::string only;
    const auto flags = describeOptions(options, scenario, only);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, flags), values);
        po::notify(values);
    } catch (const po::error &ec) {
        std::cerr << ec.what() << '\n' << flags;
        return 2;
    }
    if (values.contains("help")) {
        std::cout << flags;
        return 0;
    }
    if (scenario == "responses")
        return measureResponses(options, only);
    if (scenario == "flood")
        return measureFlood(options);
    if (scenario == "failures")
        return measureFailures(options);
    std::cerr << "there is no scenario of the name " << scenario << '\n';
    return 2;
}

} // namespace
} // namespace cactuscove::measure

int main(int argc, char **argv)
{
    return cactuscove::measure::run(argc, argv);
}
