// Settings of the long-running roles, from flags and environment variables.

#pragma once

#include "logging.h"
#include "result.h"
#include "types.h"

#include <span>
#include <string>
#include <vector>

namespace cactuscove {

struct ProcessSettings
{
    Role role = Role::Entry;
    std::string listen;    // "ip:port" of the one listener; port 0 picks a free one
    std::string advertise; // the address that others use; empty: the listener's own
    std::string dataCentre;
    std::string rack;
    std::string office;
    std::string logUrl; // of the platform's log service
    std::string logStream;
    Duration logRetention{};    // how long the log keeps a record
    Duration shutdownTimeout{}; // a graceful shutdown is cut short after this
    LogLevel logLevel = LogLevel::Info;
    std::string traceFile; // spans as OTLP/JSON lines; empty: no spans are written
};

// Every mistake at once, one line each.
struct SettingsErrors
{
    std::vector<std::string> lines;
};

struct HelpText
{
    std::string text;
};

// `arguments` are those after the role's name. The flag --log-url has the environment variable
// CACTUSCOVE_LOG_URL, and so on; a flag goes before the variable.
std::variant<ProcessSettings, SettingsErrors, HelpText>
readSettings(Role role, std::span<const std::string> arguments);

std::string_view version();

} // namespace cactuscove
