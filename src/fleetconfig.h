// The configuration file that operators apply to the whole fleet: its typed content, parser and
// validation. Operators apply a file through OperatorApi; each process then parses the accepted
// file when its ledger applies the `config` record from the log.

#pragma once

#include "result.h"
#include "types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cactuscove {

// A priority class of jobs.
struct ClassConfig
{
    double share = 1;       // weight against the other classes while they compete for slots
    Duration queueTarget{}; // a job with a longer estimated wait is refused when it arrives
};

// A team of callers. Limits of 0 mean unlimited.
struct TeamConfig
{
    std::string office;
    double weight = 1;                  // against the other teams within one class
    std::uint32_t maxRunningTasks = 0;  // in the whole fleet
    double maxStartsPerSecond = 0;      // tasks started in the whole fleet
    std::vector<std::string> upstreams; // names of the upstreams that the team may use
};

// An upstream. A worker is one instance of it; it announces its own slots and connections, which
// slotsPerWorker and connectionsPerWorker can only lower. There 0 means no limit.
struct UpstreamConfig
{
    std::uint32_t slotsPerWorker = 0;       // tasks that may run on one worker at a time
    std::uint32_t connectionsPerWorker = 0; // open connections to one worker
    double retryBudget = 0.1;               // retries allowed per successful task
    double hedgeLimit = 0.02;               // hedged starts allowed per start
    double ejectionThreshold = 0.5;  // failure rate, 0 to 1, above which a worker gets only probes
    double maxEjectedFraction = 0.5; // of the upstream's workers; more are never ejected at a time
};

// Limits on a job that a caller submits.
struct LimitsConfig
{
    std::uint32_t maxTasksPerJob = MaxTasksPerJob;
    std::uint32_t maxBodyBytes = 1 << 20; // of the HTTP request
    Duration maxDeadline = std::chrono::seconds(600);
};

// The content of a valid file. The maps are keyed by name.
struct FleetConfig
{
    // Time for which the key and the result of a job are kept; `id_memory` in the file.
    Duration idMemory = std::chrono::seconds(600);
    LimitsConfig limits;
    std::map<std::string, ClassConfig> classes;
    std::map<std::string, TeamConfig> teams;
    std::map<std::string, UpstreamConfig> upstreams;
};

// One error in a file.
struct ConfigError
{
    int line = 0;       // from 1
    std::string field;  // dotted path, for example "teams.bookings.weight"; empty: the whole file
    std::string value;  // found in the file, or a placeholder such as "(missing)"
    std::string reason; // for operators
};

using ConfigErrors = std::vector<ConfigError>;

// Parses and validates a file. Returns all errors, sorted by line; a YAML syntax error is reported
// alone.
Result<FleetConfig, ConfigErrors> parseFleetConfig(std::string_view text);

// Returns one line for each field that differs, sorted by field, for example
// "teams.bookings.weight: 1 -> 3". A field that is absent on one side is shown as "(none)" there.
std::vector<std::string> diffFleetConfig(const FleetConfig &before, const FleetConfig &after);

} // namespace cactuscove
