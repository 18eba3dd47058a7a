// Measures the policies in virtual time against baselines and ideals and prints one table. Every
// parameter and the seed come from the command line, so that a figure can be reproduced.

#include "fleetmodel.h"

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
    std::printf("  %5.2f %5.2f  %5.2f %6.3f\n", percentile(own, 0.5) / percentile(ideal, 0.5),
                percentile(own, 0.99) / percentile(ideal, 0.99),
                static_cast<double>(result.messages) / static_cast<double>(workload.tasks.size()),
                static_cast<double>(result.wasted) / static_cast<double>(workload.tasks.size()));
}

// Seconds from arrival to answer; the last columns are ratios to the central queue and messages and
// wasted messages per task.
int measureResponses(const Options &options, const std::string &only)
{
    const Workload workload = makeWorkload(options);
    std::printf("%-12s  %14s  %14s  %14s  %14s  %11s  %12s\n", "policy", "all p50/p99", "urgent",
                "normal", "bulk", "p50x  p99x", "msgs  wasted");
    const RunResult central = CentralQueue(options, workload).run();
    printResponses("empty", workload, emptyFleet(options, workload), central);
    printResponses("central", workload, central, central);
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

po::options_description describe(Options &o, std::string &scenario, std::string &only)
{
    po::options_description all("Options");
    const auto add = [&all](const char *name, auto &value, const char *text) {
        using T = std::remove_reference_t<decltype(value)>;
        all.add_options()(name, po::value<T>(&value)->default_value(value), text);
    };
    all.add_options()("help", "print this list");
    add("scenario", scenario, "responses");
    add("only", only, "'digest' leaves the baselines out");
    add("seed", o.seed, "of every random choice");
    add("jobs", o.jobs, "regular jobs");
    add("workers", o.workers, "workers, one agent each");
    add("data-centres", o.dataCentres, "data centres");
    add("slots", o.slots, "slots per worker");
    add("load", o.load, "offered work / capacity");
    add("delay-ms", o.delayMs, "one way between data centres");
    add("near-delay-ms", o.nearDelayMs, "one way within a data centre");
    add("long-tasks", o.longTasks, "part of the tasks that take 1 s to 6 s");
    add("stragglers", o.stragglers, "part of the tasks that take five times as long");
    add("speed-spread", o.speedSpread, "worker speeds lie within 1 -+ this");
    add("declared-error", o.declaredError, "largest factor of declared / real time");
    add("reservations", o.reservationsPerTask, "per queued task, 0 to 2");
    add("gossip", o.gossip, "envelopes carry digests of other agents");
    add("longest-first", o.longestFirst, "tasks of a job by falling declared time");
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
    std::cerr << "no scenario of the name " << scenario << '\n';
    return 2;
}

} // namespace
} // namespace cactuscove::measure

int main(int argc, char **argv)
{
    return cactuscove::measure::run(argc, argv);
}
