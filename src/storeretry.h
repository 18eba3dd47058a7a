// Delays between repeats of a failed call to the platform's store.

#pragma once

#include "types.h"

#include <random>

namespace cactuscove {

// Returns the time until the next attempt after `failuresBefore` earlier failures in a row: a
// shortest delay plus a random part that grows with the failures.
Duration storeRetryDelay(int failuresBefore, std::minstd_rand &random);

} // namespace cactuscove
