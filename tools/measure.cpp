// Measures the policies in virtual time against baselines and ideals and prints one table. Every
// parameter and the seed come from the command line, so that a figure can be reproduced.

#include "nodemodel.h"

#include <boost/program_options.hpp>

#include <cstdio>
#include <iostream>
#include <map>

namespace po = boost::program_options;

namespace cactuscove::measure {
namespace {

double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto k = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(k), values.end());
    return values[k];
}

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
    std::printf("  %5.2f %5.2f  %5.2f %6.3f %6.1f%%\n",
                percentile(own, 0.5) / percentile(ideal, 0.5),
                percentile(own, 0.99) / percentile(ideal, 0.99),
                static_cast<double>(result.messages) / static_cast<double>(workload.tasks.size()),
                static_cast<double>(result.wasted) / static_cast<double>(workload.tasks.size()),
                100 * static_cast<double>(own.size()) / static_cast<double>(workload.jobs.size()));
}

// Seconds from arrival to answer; the last columns are ratios to the central queue and messages and
// wasted messages per task.
int measureResponses(const Options &options, const std::string &only)
{
    const Workload workload = makeWorkload(options);
    std::printf("%-12s  %14s  %14s  %14s  %14s  %11s  %12s\n", "policy", "all p50/p99", "urgent",
                "normal", "bulk", "p50x  p99x", "msgs  wasted   done");
    const RunResult central = CentralQueue(options, workload).run();
    printResponses("empty", workload, emptyFleet(options, workload), central);
    printResponses("central", workload, central, central);
    printResponses("nodes", workload, NodeFleet(options, workload).run(), central);
    if (only == "nodes")
        return 0;
    printResponses("digest", workload, Fleet<DigestPolicy>(options, workload).run(), central);
    if (only == "digest")
        return 0;
    printResponses("random", workload, Fleet<RandomPolicy>(options, workload).run(), central);
    printResponses("roundrobin", workload, Fleet<RoundRobinPolicy>(options, workload).run(),
                   central);
    printResponses("twochoices", workload, Fleet<StaleTwoChoicesPolicy>(options, workload).run(),
                   central);
    return 0;
}

// Jobs of one class and team that arrived in the fault time and completed before their deadline.
double inTime(const Workload &workload, const RunResult &result, const Options &options,
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

RunResult runFleet(const Options &options, const Workload &workload)
{
    return options.fakes ? Fleet<DigestPolicy>(options, workload).run()
                         : NodeFleet(options, workload).run();
}

// One class floods: what the other classes and teams complete in time, with and without the flood.
int measureFlood(const Options &options)
{
    Options quiet = options;
    quiet.flood.clear();
    const Workload calm = makeWorkload(quiet);
    const Workload flooded = makeWorkload(options);
    const RunResult before = runFleet(quiet, calm);
    const RunResult after = runFleet(options, flooded);
    std::printf("flood of %s from %.0f s to %.0f s\n%-8s %-10s %8s %8s %8s\n",
                options.flood.c_str(), options.faultFrom, options.faultUntil, "class", "team",
                "without", "with", "kept");
    for (const char *jobClass : {"urgent", "normal", "bulk"}) {
        for (const char *team : {"bookings", "billing"}) {
            const double without = inTime(calm, before, options, jobClass, team);
            const double with = inTime(flooded, after, options, jobClass, team);
            std::printf("%-8s %-10s %8.0f %8.0f %7.1f%%\n", jobClass, team, without, with,
                        100 * with / without);
        }
    }
    std::vector<double> delays;
    std::map<long, std::size_t> returns; // per second
    std::size_t others = 0;
    for (const Refusal &it : after.refusals) {
        others += it.isFlood ? 0 : 1;
        if (!it.isFlood)
            continue;
        delays.push_back(it.retryAfter);
        ++returns[std::lround(it.time + it.retryAfter)];
    }
    std::size_t most = 0;
    for (const auto &[second, count] : returns)
        most = std::max(most, count);
    const auto floods = static_cast<double>(std::count_if(
        flooded.jobs.begin(), flooded.jobs.end(), [](const Job &it) { return it.isFlood; }));
    std::printf("flood: %.0f jobs, %zu refusals, %.0f completed in time; other refusals %zu "
                "(without the flood %zu)\n",
                floods, delays.size(), inTime(flooded, after, options, options.flood, "flooder"),
                others, before.refusals.size());
    std::printf("retry time p5 %.1f s, p50 %.1f s, p95 %.1f s; most returns in one second %zu\n",
                percentile(delays, 0.05), percentile(delays, 0.5), percentile(delays, 0.95), most);
    return 0;
}

// Part of the workers fails every task for a while: starts on them, and starts per task of callers.
int measureFailures(const Options &options)
{
    const Workload workload = makeWorkload(options);
    const RunResult result = runFleet(options, workload);
    std::size_t failed = 0;
    for (const JobEnd &it : result.jobs)
        failed += it.end == End::Failed ? 1 : 0;
    std::printf("%zu of %zu workers fail from %.0f s to %.0f s; %zu of %zu jobs failed\n",
                options.badWorkers, options.workers, options.faultFrom, options.faultUntil, failed,
                workload.jobs.size());
    std::printf("%-12s %8s %8s %9s %8s\n", "since", "starts", "retries", "offered", "on bad");
    const std::vector<double> marks{-10, 0, 0.5, 1, 2, 5, 10, 20, 40, 60, 62, 65, 70, 80, 100};
    for (std::size_t k = 0; k + 1 < marks.size(); ++k) {
        double starts = 0;
        double retries = 0;
        double bad = 0;
        for (const Start &it : result.starts) {
            const double since = it.time - options.faultFrom;
            if (since < marks[k] || since >= marks[k + 1])
                continue;
            starts += 1;
            retries += it.isRetry ? 1 : 0;
            bad += it.worker < options.badWorkers ? 1 : 0;
        }
        std::printf("%5.1f-%5.1f s %8.0f %8.0f %8.3fx %7.2f%%\n", marks[k], marks[k + 1], starts,
                    retries, starts / std::max(1.0, starts - retries),
                    100 * bad / std::max(1.0, starts));
    }
    return 0;
}

po::options_description describe(Options &o, std::string &scenario, std::string &only)
{
    po::options_description all("Options");
    const auto add = [&all](const char *name, auto &value, const char *text) {
        using T = std::remove_reference_t<decltype(value)>;
        all.add_options()(name, po::value<T>(&value)->default_value(value), text);
    };
    all.add_options()("help", "print this list");
    add("scenario", scenario, "responses, flood or failures");
    add("only", only, "'nodes' or 'digest' leaves out what follows it");
    add("seed", o.seed, "of every random choice");
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
    add("fakes", o.fakes, "floods and failures on fakes instead of the agent nodes");
    add("gossip", o.gossip, "envelopes carry digests of other agents");
    add("bind-oldest", o.bindOldest, "an offered slot goes to the oldest task of its flow");
    add("longest-first", o.longestFirst, "tasks of a job by falling declared time");
    add("queue-target-scale", o.queueTargetScale, "of 2, 5 and 10 s; 0 switches refusals off");
    add("resubmits", o.resubmits, "times that a refused job comes back");
    add("flood", o.flood, "class that floods");
    add("flood-factor", o.floodFactor, "offered work of the flood / capacity");
    add("fault-from", o.faultFrom, "start of the flood or failures, seconds");
    add("fault-until", o.faultUntil, "end of the flood or failures, seconds");
    add("bad-workers", o.badWorkers, "workers that fail every task");
    add("bad-run-ms", o.badRunMs, "run time of a failing task");
    add("idempotent", o.idempotent, "failed tasks may be retried");
    add("retry-burst", o.retryBurst, "largest number of saved retries");
    add("health", o.health, "weights and ejection");
    return all;
}

int run(int argc, char **argv)
{
    Options options;
    std::string scenario = "responses";
    std::string only;
    const auto all = describe(options, scenario, only);
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, all), values);
        po::notify(values);
    } catch (const po::error &ec) {
        std::cerr << ec.what() << '\n' << all;
        return 2;
    }
    if (values.contains("help")) {
        std::cout << all;
        return 0;
    }
    if (scenario == "responses")
        return measureResponses(options, only);
    if (scenario == "flood")
        return measureFlood(options);
    if (scenario == "failures")
        return measureFailures(options);
    std::cerr << "no scenario of the name " << scenario << '\n';
    return 2;
}

} // namespace
} // namespace cactuscove::measure

int main(int argc, char **argv)
{
    return cactuscove::measure::run(argc, argv);
}
