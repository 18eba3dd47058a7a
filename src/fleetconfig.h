// The accepted configuration file: what operators declare for the whole fleet, and its validation.

#pragma once

#include "result.h"
#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

struct ClassConfig
{
    double share = 1;       // weight against the other classes when all are busy
    Duration queueTarget{}; // a job whose estimated wait is longer is refused at once
};

struct TeamConfig
{
    std::string office;
    double weight = 1;                  // against the other teams within one class
    std::uint32_t maxRunningTasks = 0;  // fleet-wide; 0 is unlimited
    double maxStartsPerSecond = 0;      // fleet-wide; 0 is unlimited
    std::vector<std::string> upstreams; // that the team may use
};

struct UpstreamConfig
{
    std::uint32_t slotsPerWorker = 0; // upper limit on what a worker announces; 0 is no limit
    std::uint32_t connectionsPerWorker = 0;
    double retryBudget = 0.1;        // retries per success
    double hedgeLimit = 0.02;        // hedges per start
    double ejectionThreshold = 0.5;  // failure rate above which a worker gets only probes
    double maxEjectedFraction = 0.5; // of the upstream's workers
};

struct LimitsConfig
{
    std::uint32_t maxTasksPerJob = MaxTasksPerJob;
    std::uint32_t maxBodyBytes = 1 << 20;
    Duration maxDeadline = std::chrono::seconds(600);
};

struct FleetConfig
{
    Duration idMemory = std::chrono::seconds(600); // how long job keys and results are remembered
    LimitsConfig limits;
    std::map<std::string, ClassConfig> classes;
    std::map<std::string, TeamConfig> teams;
    std::map<std::string, UpstreamConfig> upstreams;
};

// One reason why a file is refused.
struct ConfigError
{
    int line = 0;      // 1-based
    std::string field; // dotted path, for example "teams.bookings.weight"
    std::string value;
    std::string reason;
};

using ConfigErrors = std::vector<ConfigError>;

// Parses and validates a whole file; every error is reported, not only the first.
Result<FleetConfig, ConfigErrors> parseFleetConfig(std::string_view text);

// One line per changed field: "teams.bookings.weight: 1 -> 3".
std::vector<std::string> diffFleetConfig(const FleetConfig &before, const FleetConfig &after);

} // namespace cactuscove
