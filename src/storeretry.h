// Delays between calls to the platform's store after a failed one. Every caller of the store uses
// them, so that a store that is down is not called more often by one caller than by another.
//
// Reads no clock.

#pragma once

#include "types.h"

#include <random>

namespace cactuscove {

// Returns the time from a failed call until the next one. `failuresBefore` is the number of
// failures in a row before it. The jitter keeps the instances, which all lose the store at the same
// time, from retrying at the same time.
Duration storeRetryDelay(int failuresBefore, std::minstd_rand &random);

} // namespace cactuscove
