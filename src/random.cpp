// The splitmix64 generator.

#include "random.h"

namespace cactuscove {

std::uint64_t Random::next()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = m_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

double Random::fraction()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

} // namespace cactuscove
