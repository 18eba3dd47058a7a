// Notation of durations in the configuration file: a whole number with a unit, for example "90s" or
// "10m".

#pragma once

#include "types.h"

#include <string>
#include <string_view>

namespace cactuscove {

// Uses the longest unit that divides the value.
std::string formatDuration(Duration value);
// Returns false for malformed text, a negative value or an overflow.
bool parseDuration(std::string_view text, Duration &value);

} // namespace cactuscove
