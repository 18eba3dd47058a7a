// Boost.Program_options behind readSettings().

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

po::options_description describe(Role role)
{
    const std::string name = role == Role::Entry ? "entry" : "agent";
    po::options_description options("cactuscove " + name + " [flags]\n\nFlags");
    auto add = options.add_options();
    add("listen", po::value<std::string>()->required(), "ip:port to listen on");
    add("advertise", po::value<std::string>()->default_value(""),
        "ip:port that other processes use; default: the listener's own");
    add("data-centre", po::value<std::string>()->required(), "name of the data centre");
    add("rack", po::value<std::string>()->default_value(""), "name of the rack");
    add("office", po::value<std::string>()->default_value(""), "name of the office");
    add("log-url", po::value<std::string>()->required(), "URL of the platform's log service");
    add("log-stream", po::value<std::string>()->default_value("cactuscove"), "stream in the log");
    add("log-retention-s", po::value<int>()->default_value(3600),
        "how long the log keeps a record, in seconds (60 to 2592000)");
    add("shutdown-timeout-s", po::value<int>()->default_value(60),
        "longest graceful shutdown, in seconds (1 to 3600)");
    add("log-level", po::value<std::string>()->default_value("info"),
        "debug, info, warning or error");
    add("trace-file", po::value<std::string>()->default_value(""),
        "file for spans as OTLP/JSON lines; empty: none");
    add("help", "print this text");
    return options;
}

std::string flagOfVariable(const std::string &variable)
{
    if (!variable.starts_with(EnvironmentPrefix))
        return {};
    std::string flag = variable.substr(EnvironmentPrefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(), [](unsigned char c) {
        return c == '_' ? '-' : static_cast<char>(std::tolower(c));
    });
    return flag;
}

class Checker
{
public:
    explicit Checker(const po::variables_map &values)
        : m_values(values)
    {}

    std::string text(const std::string &name)
    {
        if (!m_values.count(name)) {
            errors.push_back("--" + name + ": missing");
            return {};
        }
        return m_values[name].as<std::string>();
    }

    std::string required(const std::string &name)
    {
        std::string value = text(name);
        if (m_values.count(name) && value.empty())
            errors.push_back("--" + name + ": must not be empty");
        return value;
    }

    std::string address(const std::string &name, bool mayBeEmpty)
    {
        std::string value = text(name);
        if ((!value.empty() || !mayBeEmpty) && m_values.count(name) && !isAddress(value))
            errors.push_back("--" + name + "=" + value + ": not ip:port");
        return value;
    }

    std::chrono::seconds seconds(const std::string &name, int low, int high)
    {
        const int value = m_values[name].as<int>();
        if (value < low || value > high)
            errors.push_back("--" + name + "=" + std::to_string(value) + ": not between "
                             + std::to_string(low) + " and " + std::to_string(high));
        return std::chrono::seconds(value);
    }

    LogLevel level(const std::string &name)
    {
        const std::string value = text(name);
        if (value == "debug")
            return LogLevel::Debug;
        if (value == "warning")
            return LogLevel::Warning;
        if (value == "error")
            return LogLevel::Error;
        if (value != "info")
            errors.push_back("--" + name + "=" + value
                             + ": not one of debug, info, warning, error");
        return LogLevel::Info;
    }

    std::vector<std::string> errors;

private:
    const po::variables_map &m_values;
};

ProcessSettings check(Role role, Checker &checker)
{
    ProcessSettings settings;
    settings.role = role;
    settings.listen = checker.address("listen", false);
    settings.advertise = checker.address("advertise", true);
    settings.dataCentre = checker.required("data-centre");
    settings.rack = checker.text("rack");
    settings.office = checker.text("office");
    settings.logUrl = checker.required("log-url");
    if (!settings.logUrl.empty() && !settings.logUrl.starts_with("http://"))
        checker.errors.push_back("--log-url=" + settings.logUrl + ": must start with http://");
    settings.logStream = checker.required("log-stream");
    settings.logRetention = checker.seconds("log-retention-s", 60, 2592000);
    settings.shutdownTimeout = checker.seconds("shutdown-timeout-s", 1, 3600);
    settings.logLevel = checker.level("log-level");
    settings.traceFile = checker.text("trace-file");
    return settings;
}

} // namespace

std::variant<ProcessSettings, SettingsErrors, HelpText>
readSettings(Role role, std::span<const std::string> arguments)
{
    const po::options_description options = describe(role);
    po::variables_map values;
    std::vector<std::string> errors;
    try {
        const std::vector<std::string> list(arguments.begin(), arguments.end());
        po::store(po::command_line_parser(list)
                      .options(options)
                      .positional(po::positional_options_description())
                      .run(),
                  values);
    } catch (const po::error &ex) {
        errors.emplace_back(ex.what());
    }
    try {
        const auto nameOf = [&](const std::string &variable) {
            const std::string flag = flagOfVariable(variable);
            const bool isKnown
                = !flag.empty() && flag != "help" && options.find_nothrow(flag, false) != nullptr;
            return isKnown ? flag : std::string();
        };
        po::store(po::parse_environment(options, nameOf), values);
    } catch (const po::error &ex) {
        errors.emplace_back(std::string("environment: ") + ex.what());
    }
    if (values.count("help")) {
        std::ostringstream text;
        text << options << "\nEach flag has an environment variable: --log-url is "
             << EnvironmentPrefix << "LOG_URL.\n";
        return HelpText{text.str()};
    }
    // Defaults are filled in even after a parse error, so that every mistake is named at once.
    po::store(po::command_line_parser(std::vector<std::string>()).options(options).run(), values);
    Checker checker(values);
    ProcessSettings settings = check(role, checker);
    errors.insert(errors.end(), checker.errors.begin(), checker.errors.end());
    if (!errors.empty())
        return SettingsErrors{errors};
    return settings;
}

std::string_view version()
{
    return CACTUSCOVE_VERSION;
}

} // namespace cactuscove
