// The process's own log: one line of key=value pairs per event on standard output, written through
// easylogging++. Not related to the log service, which LogClient accesses.

#pragma once

#include "outbox.h"

#include <string>
#include <string_view>

namespace cactuscove {

enum class LogLevel { Debug, Info, Warning, Error };

// Called once at startup, before the first writeLog(). `role` and `instance` appear in every line;
// events below `level` are dropped.
void initLogging(std::string_view role, std::string_view instance, LogLevel level);

// Writes one line: time, level, event name, role, instance, then the fields of the event.
void writeLog(const LogEvent &event);

// Returns name=value. The value is put in double quotes if it is empty or contains a space, '"',
// '=', '\\', a control character or a byte outside of ASCII. In quotes, '"' and '\\' are escaped,
// a newline becomes \n and other control characters are omitted.
std::string formatField(std::string_view name, std::string_view value);

} // namespace cactuscove
