// The process of the role `agent`. One agent runs beside each upstream instance, and starts tasks
// on it.

#pragma once

#include "settings.h"

namespace cactuscove {

// Runs the process until a graceful shutdown after SIGTERM or SIGINT. Returns the exit status: 0,
// or 1 if the process cannot start or the shutdown timed out.
int runAgent(const ProcessSettings &settings);

} // namespace cactuscove
