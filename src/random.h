// Pseudo-random numbers for decisions, identifiers and played schedules. The algorithm is fixed
// (splitmix64), so that a seed gives the same schedule with every standard library.

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
    std::uint64_t next();
    std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); } // n > 0
    double fraction();                                                                // in [0, 1)

private:
    std::uint64_t m_state;
};

} // namespace cactuscove
