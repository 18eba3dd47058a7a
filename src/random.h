// Pseudo-random numbers for scheduling decisions, span ids and simulated workloads. The algorithm
// is fixed (splitmix64), so that a seed gives the same numbers, and a simulation the same run, with
// every standard library. Not suitable for secrets.

#pragma once

#include <cstddef>
#include <cstdint>

namespace cactuscove {

class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {}
    // Uniform over all 64-bit values.
    std::uint64_t next();
    // In [0, n); n must not be 0. Uniform except for a relative bias of at most n / 2^64.
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }
    // Uniform in [0, 1).
    double fraction();

private:
    std::uint64_t m_state;
};

} // namespace cactuscove
