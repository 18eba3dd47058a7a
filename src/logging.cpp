// Formats log events and passes them to easylogging++.

#include "logging.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace cactuscove {

namespace {

std::string commonFields; // "role=... instance=..." of every line

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (const unsigned char c : value)
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c >= 0x7f)
            return true;
    return false;
}

} // namespace

void initLogging(std::string_view role, std::string_view instance, LogLevel level)
{
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    conf.setGlobally(el::ConfigurationType::Format,
                     "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    const auto disableIfBelow = [&](el::Level libraryLevel, LogLevel eventLevel) {
        if (level > eventLevel)
            conf.set(libraryLevel, el::ConfigurationType::Enabled, "false");
    };
    disableIfBelow(el::Level::Debug, LogLevel::Debug);
    disableIfBelow(el::Level::Info, LogLevel::Info);
    disableIfBelow(el::Level::Warning, LogLevel::Warning);
    el::Loggers::reconfigureLogger("default", conf);
    // No log event may end the process. Format specifiers of the library that a value contains are
    // written as they are.
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    commonFields = formatField("role", role) + ' ' + formatField("instance", instance);
}

std::string formatField(std::string_view name, std::string_view value)
{
    std::string text(name);
    text += '=';
    if (!needsQuotes(value))
        return text.append(value);
    text += '"';
    for (const unsigned char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        if (c == '\n')
            text += "\\n";
        else if (c >= ' ')
            text += static_cast<char>(c);
    }
    return text += '"';
}

void writeLog(const LogEvent &event)
{
    std::string line = formatField("event", event.name) + ' ' + commonFields;
    for (const auto &[name, value] : event.fields)
        line += ' ' + formatField(name, value);
    switch (event.severity) {
    case Severity::Info:
        LOG(INFO) << line;
        break;
    case Severity::Warning:
        LOG(WARNING) << line;
        break;
    case Severity::Error:
        LOG(ERROR) << line;
        break;
    }
}

} // namespace cactuscove
