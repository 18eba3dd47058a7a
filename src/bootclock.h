// The time since boot, which goes on while the machine is suspended. A steady clock would hide that
// a process was frozen, and with it that leases have run out.

#pragma once

#include "types.h"

#include <ctime>

namespace cactuscove {

inline TimePoint bootNow()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    const auto sinceBoot = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace cactuscove
