// Conversions of durations for formulas, formats and log lines.

#pragma once

#include "types.h"

#include <string>

namespace cactuscove {

inline double toMs(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

inline std::int64_t wholeMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

inline std::string msText(Duration duration)
{
    return std::to_string(wholeMs(duration));
}

inline Duration fromMs(double ms)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(ms));
}

} // namespace cactuscove
