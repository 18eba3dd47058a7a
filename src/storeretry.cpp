// The shortest delay plus a random part.

#include "storeretry.h"

#include <algorithm>

namespace cactuscove {

namespace {

using namespace std::chrono_literals;

constexpr Duration MinRetryDelay = 60ms;
constexpr Duration RetryJitter = 120ms;
// The jitter doubles with each failure in a row, at most this many times.
constexpr int MaxJitterDoublings = 2;

} // namespace

Duration storeRetryDelay(int failuresBefore, std::minstd_rand &random)
{
    const Duration spread = RetryJitter * (1 << std::min(failuresBefore, MaxJitterDoublings));
    std::uniform_int_distribution<Duration::rep> pick(0, spread.count());
    return MinRetryDelay + Duration(pick(random));
}

} // namespace cactuscove
