// The `entry` role: the process that callers and operators talk to.

#pragma once

#include "settings.h"

namespace cactuscove {

// Runs until SIGTERM and a graceful shutdown; returns the exit status.
int runEntry(const ProcessSettings &settings);

} // namespace cactuscove
