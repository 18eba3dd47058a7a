// Played loads and faults against the real decisions of entries and agents, in virtual time.

#include "dispatchfleet.h"

#include <gtest/gtest.h>

#include <cstdlib>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

std::vector<JobKind> bookingKinds(std::int64_t cpuMillis)
{
    return {{"seat-hold", 0, 37, 60, 0.4, 0.15, 8, cpuMillis, 0.0291},
            {"tide-check", 2, 6.7, 900, 0.4, 0.15, 4, cpuMillis, 0.16},
            {"guide-ping", 1, 107, 200, 0.4, 0.15, 2, cpuMillis, 0.01}};
}

DispatchFleetOptions bookingFleet(std::uint64_t seed)
{
    DispatchFleetOptions options;
    options.kinds = bookingKinds(3100);
    options.largeShare = 1;
    options.fastSpeed = 1.3;
    options.seed = seed;
    return options;
}

std::string describe(const DispatchFleet &fleet)
{
    std::string text;
    for (const auto &[queue, it] : fleet.results())
        text += queue + ": asked " + std::to_string(it.asked) + ", in aim "
                + std::to_string(it.inAim) + ", late " + std::to_string(it.late) + ", refused "
                + std::to_string(it.refused) + ", other " + std::to_string(it.other) + ", worth "
                + std::to_string(it.worth) + ", slowest refusal "
                + std::to_string(it.slowestRefusal / 1ms) + " ms\n";
    return text + "worth " + std::to_string(fleet.worth());
}

} // namespace

TEST(DispatchFleet, ServesACalmLoadWithinItsObjectives)
{
    DispatchFleet fleet(bookingFleet(1));
    fleet.run();
    EXPECT_TRUE(fleet.violations().empty()) << fleet.violations().front();
    EXPECT_GT(fleet.worth(), 0.99) << describe(fleet);
}

TEST(DispatchFleet, Tuning)
{
    const char *scenario = std::getenv("FLEET_SCENARIO");
    if (!scenario)
        GTEST_SKIP();
    double sum = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        DispatchFleetOptions options = bookingFleet(seed);
        const std::string name = scenario;
        options.length = 12s;
        if (name.find("tide") != std::string::npos)
            options.burst = [](const JobKind &kind, Duration) {
                return kind.queue == "tide-check" ? 2.4 : 1;
            };
        if (name.find("all") != std::string::npos)
            options.burst = [](const JobKind &, Duration) { return 1.7; };
        if (name.find("seat") != std::string::npos)
            options.burst
                = [](const JobKind &kind, Duration) { return kind.queue == "seat-hold" ? 3.0 : 1; };
        if (name.find("lost") != std::string::npos)
            options.lostAnswers = 0.06;
        DispatchFleet fleet(options);
        if (name.find("grey") != std::string::npos)
            fleet.at(2s, [&] { fleet.setFailing(1, true); });
        if (name.find("hang") != std::string::npos)
            fleet.at(2s, [&] { fleet.setSpeed(1, 0); });
        if (name.find("slow") != std::string::npos)
            fleet.at(2s, [&] {
                fleet.setSpeed(1, 0.15);
                fleet.setSpeed(4, 0.15);
            });
        if (name.find("gone") != std::string::npos)
            fleet.at(2s, [&] {
                fleet.crashWorker(7, 60s);
                fleet.crashWorker(8, 60s);
            });
        fleet.run();
        sum += fleet.worth();
        if (seed == 1)
            std::printf("%s\n", describe(fleet).c_str());
        for (const auto &it : fleet.violations())
            std::printf("VIOLATION %s\n", it.c_str());
    }
    std::printf("MEAN %s %.4f\n", scenario, sum / 4);
}

} // namespace cactuscove
