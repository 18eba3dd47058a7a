// Clock of the time since the machine booted, which also runs while the machine is suspended. A
// clock that stops meanwhile would hide that the process was suspended and that leases have
// expired.

#pragma once

#include "types.h"

#include <ctime>

namespace cactuscove {

// Returns the current time in microseconds since boot (CLOCK_BOOTTIME). Not comparable with
// EventLoop::now(), which does not count suspension.
inline TimePoint bootNow()
{
    timespec ts{};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    const auto sinceBoot = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace cactuscove
