// One line of key=value pairs per event, written through easylogging++.

#pragma once

#include "outbox.h"

#include <string>
#include <string_view>

namespace cactuscove {

enum class LogLevel { Debug, Info, Warning, Error };

// `role` and `instance` appear in every line. Events below `level` are dropped.
void initLogging(std::string_view role, std::string_view instance, LogLevel level);

void writeLog(const LogEvent &event);

// "name=value", quoted if the value has spaces, quotes, '=' or control characters.
std::string formatField(std::string_view name, std::string_view value);

} // namespace cactuscove
