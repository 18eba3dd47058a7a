// The process of the role `entry`, which serves callers and operators and feeds log records to the
// agents.

#pragma once

#include "settings.h"

namespace cactuscove {

// Runs the process until a graceful shutdown after SIGTERM or SIGINT. Returns the exit status: 0,
// or 1 if the process cannot start or the shutdown timed out.
int runEntry(const ProcessSettings &settings);

} // namespace cactuscove
