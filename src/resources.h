// Room on a worker and the need of a task as a vector of processor, memory and accelerators.

#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cactuscove {

struct Resources
{
    std::int64_t cpuMillis = 0; // thousandths of a core
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        cpuMillis -= other.cpuMillis;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend Resources operator+(Resources a, const Resources &b) { return a += b; }
    friend Resources operator-(Resources a, const Resources &b) { return a -= b; }

    bool fitsIn(const Resources &room) const
    {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb
               && accelerators <= room.accelerators;
    }

    // How many tasks with the need `need` fit; 0 if the room is overdrawn.
    std::int64_t countOf(const Resources &need) const
    {
        std::int64_t n = std::numeric_limits<std::int64_t>::max();
        const auto limit = [&n](std::int64_t room, std::int64_t each) {
            if (each > 0)
                n = std::min(n, std::max<std::int64_t>(room, 0) / each);
        };
        limit(cpuMillis, need.cpuMillis);
        limit(memoryMb, need.memoryMb);
        limit(accelerators, need.accelerators);
        return n;
    }
};

} // namespace cactuscove
