// Command-line settings of the long-running roles `entry` and `agent`. main() reads them once,
// before it starts the process of the role.

#pragma once

#include "logging.h"
#include "result.h"
#include "types.h"

#include <span>
#include <string>
#include <vector>

namespace cactuscove {

// Validated settings of one process.
struct ProcessSettings
{
    Role role = Role::Entry;
    std::string listen;    // "ip:port" of the HTTP listener; port 0 picks a free port
    std::string advertise; // "ip:port" that other processes connect to; empty: same as the listener
    std::string dataCentre;
    std::string rack;           // may be empty
    std::string office;         // may be empty
    std::string logUrl;         // of the platform's log service, "http://..."
    std::string logStream;      // name of the stream in the log service
    Duration logRetention{};    // time for which the log service keeps a record
    Duration shutdownTimeout{}; // a graceful shutdown is aborted after this time
    LogLevel logLevel = LogLevel::Info;
    std::string traceFile; // finished spans are appended to it as OTLP/JSON lines; may be empty
};

// Reports all mistakes of the command line and the environment, not only the first.
struct SettingsErrors
{
    std::vector<std::string> lines; // one message for each mistake, without a line break
};

// The answer to --help.
struct HelpText
{
    std::string text;
};

// Parses and validates the settings of `role`. `arguments` are the command-line arguments after the
// name of the role. Each flag can also be set by an environment variable, for example --log-url by
// CACTUSCOVE_LOG_URL; the flag takes precedence.
std::variant<ProcessSettings, SettingsErrors, HelpText>
readSettings(Role role, std::span<const std::string> arguments);

// Version of this build, for example "0.1.0".
std::string_view version();

} // namespace cactuscove
