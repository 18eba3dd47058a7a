// Processor cores, memory and accelerators as a vector: the capacity of a worker, what is free of
// it, or the needs of a task.

#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>

namespace cactuscove {

// Largest amount of one resource that a message may name. Sums over all tasks of a job and all
// workers of a fleet stay far below the range of the numbers.
inline constexpr std::int64_t MaxResourceAmount = 1'000'000'000;

// Differences may be negative: more was assigned than there is.
struct Resources
{
    std::int64_t cpuMillis = 0; // in thousandths of a core
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

    // True if `available` covers these needs in every dimension.
    bool fitsIn(const Resources &available) const
    {
        return cpuMillis <= available.cpuMillis && memoryMb <= available.memoryMb
               && accelerators <= available.accelerators;
    }

    // How many tasks with these needs fit; 0 if a dimension that a task needs is negative here.
    std::int64_t countThatFits(const Resources &need) const
    {
        std::int64_t n = std::numeric_limits<std::int64_t>::max();
        const auto limit = [&n](std::int64_t available, std::int64_t each) {
            if (each > 0)
                n = std::min(n, std::max<std::int64_t>(available, 0) / each);
        };
        limit(cpuMillis, need.cpuMillis);
        limit(memoryMb, need.memoryMb);
        limit(accelerators, need.accelerators);
        return n;
    }
};

} // namespace cactuscove
