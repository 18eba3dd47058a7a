// Parses the settings with Boost.Program_options.

#include "settings.h"

#include "address.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>

namespace cactuscove {

namespace po = boost::program_options;

namespace {

constexpr std::string_view EnvironmentPrefix = "CACTUSCOVE_";

po::options_description flagDescriptions(Role role)
{
    const std::string name = role == Role::Entry ? "entry" : "agent";
    po::options_description options("cactuscove " + name + " [flags]\n\nFlags");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "ip:port to listen on");
    add("advertise", po::value<std::string>()->default_value(""),
        "ip:port that other processes connect to; default: the listener's address");
    add("data-centre", po::value<std::string>()->required(), "name of the data centre");
    add("rack", po::value<std::string>()->default_value(""), "name of the rack");
    add("office", po::value<std::string>()->default_value(""), "name of the office");
    add("log-url", po::value<std::string>()->required(), "URL of the platform's log service");
    add("log-stream", po::value<std::string>()->default_value("cactuscove"),
        "name of the stream in the log service");
    add("log-retention-s", po::value<int>()->default_value(3600),
        "time for which the log service keeps a record, in seconds (60 to 2592000)");
    add("shutdown-timeout-s", po::value<int>()->default_value(60),
        "a graceful shutdown is aborted after this many seconds (1 to 3600)");
    add("log-level", po::value<std::string>()->default_value("info"),
        "debug, info, warning or error");
    add("trace-file", po::value<std::string>()->default_value(""),
        "file that spans are appended to as OTLP/JSON lines; empty: no spans are written");
    add("help", "print this text");
    return options;
}

// "log-url" for "CACTUSCOVE_LOG_URL"; empty for variables without the prefix.
std::string flagForVariable(const std::string &variable)
{
    if (!variable.starts_with(EnvironmentPrefix))
        return {};
    std::string flag = variable.substr(EnvironmentPrefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) {
        return c == '_' ? '-' : static_cast<char>(std::tolower(c));
    });
    return flag;
}

// Reads typed values and collects an error for each invalid one.
class SettingsReader
{
public:
    explicit SettingsReader(const po::variables_map &values)
        : m_values(values)
    {}

    // Any text. A flag without a default value that is not set is an error.
    std::string textValue(const std::string &name)
    {
        if (!m_values.count(name)) {
            errors.push_back("--" + name + ": missing");
            return {};
        }
        return m_values[name].as<std::string>();
    }

    // Text that must not be empty.
    std::string requiredText(const std::string &name)
    {
        std::string value = textValue(name);
        if (m_values.count(name) && value.empty())
            errors.push_back("--" + name + ": must not be empty");
        return value;
    }

    std::string addressText(const std::string &name, bool mayBeEmpty)
    {
        std::string value = textValue(name);
        if ((!value.empty() || !mayBeEmpty) && m_values.count(name) && !isAddress(value))
            errors.push_back("--" + name + "=" + value + ": must be ip:port");
        return value;
    }

    std::chrono::seconds secondsInRange(const std::string &name, int min, int max)
    {
        const int value = m_values[name].as<int>();
        if (value < min || value > max)
            errors.push_back("--" + name + "=" + std::to_string(value) + ": must be from "
                             + std::to_string(min) + " to " + std::to_string(max));
        return std::chrono::seconds(value);
    }

    LogLevel logLevel(const std::string &name)
    {
        const std::string value = textValue(name);
        if (value == "debug")
            return LogLevel::Debug;
        if (value == "warning")
            return LogLevel::Warning;
        if (value == "error")
            return LogLevel::Error;
        if (value != "info")
            errors.push_back("--" + name + "=" + value
                             + ": must be one of debug, info, warning, error");
        return LogLevel::Info;
    }

    std::vector<std::string> errors;

private:
    const po::variables_map &m_values;
};

ProcessSettings readValues(Role role, SettingsReader &reader)
{
    ProcessSettings settings;
    settings.role = role;
    settings.listen = reader.addressText("listen", false);
    settings.advertise = reader.addressText("advertise", true);
    settings.dataCentre = reader.requiredText("data-centre");
    settings.rack = reader.textValue("rack");
    settings.office = reader.textValue("office");
    settings.logUrl = reader.requiredText("log-url");
    if (!settings.logUrl.empty() && !settings.logUrl.starts_with("http://"))
        reader.errors.push_back("--log-url=" + settings.logUrl + ": must start with http://");
    settings.logStream = reader.requiredText("log-stream");
    settings.logRetention = reader.secondsInRange("log-retention-s", 60, 2592000);
    settings.shutdownTimeout = reader.secondsInRange("shutdown-timeout-s", 1, 3600);
    settings.logLevel = reader.logLevel("log-level");
    settings.traceFile = reader.textValue("trace-file");
    return settings;
}

} // namespace

std::variant<ProcessSettings, SettingsErrors, HelpText>
readSettings(Role role, std::span<const std::string> arguments)
{
    const po::options_description options = flagDescriptions(role);
    po::variables_map values;
    std::vector<std::string> errors;
    try {
        const std::vector<std::string> words(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(words)
                      .options(options)
                      .positional(po::positional_options_description())
                      .run(),
                  values);
    } catch (const po::error &ex) {
        errors.emplace_back(ex.what());
    }
    try {
        const auto flagName = [&](const std::string &variable) {
            const std::string flag = flagForVariable(variable);
            const bool isKnown
                = !flag.empty() && flag != "help" && options.find_nothrow(flag, false) != nullptr;
            return isKnown ? flag : std::string();
        };
        po::store(po::parse_environment(options, flagName), values);
    } catch (const po::error &ex) {
        errors.emplace_back(std::string("environment: ") + ex.what());
    }
    if (values.count("help")) {
        std::ostringstream text;
        text << options << "\nEach flag has an environment variable: --log-url is "
             << EnvironmentPrefix << "LOG_URL.\n";
        return HelpText{text.str()};
    }
    // A failed parse may have stored no defaults. They are stored here, so that the checks below
    // can report the remaining mistakes as well.
    po::store(po::command_line_parser(std::vector<std::string>()).options(options).run(), values);
    SettingsReader reader(values);
    ProcessSettings settings = readValues(role, reader);
    errors.insert(errors.end(), reader.errors.begin(), reader.errors.end());
    if (!errors.empty())
        return SettingsErrors{errors};
    return settings;
}

std::string_view version()
{
    return CACTUSCOVE_VERSION;
}

} // namespace cactuscove
