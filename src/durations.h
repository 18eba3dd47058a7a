// Conversions between durations and milliseconds, for formulas and log fields.

#pragma once

#include "types.h"

#include <string>

namespace cactuscove {

inline double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Rounds towards zero.
inline std::int64_t toWholeMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Whole milliseconds in decimal digits, without a unit.
inline std::string toMsString(Duration duration)
{
    return std::to_string(toWholeMs(duration));
}

inline Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace cactuscove
