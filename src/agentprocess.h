// The `agent` role: one process beside each upstream.

#pragma once

#include "settings.h"

namespace cactuscove {

// Runs until SIGTERM and a graceful shutdown; returns the exit status.
int runAgent(const ProcessSettings &settings);

} // namespace cactuscove
