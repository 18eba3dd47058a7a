// The process of the role `entry`, which serves callers and operators, reads the records of the
// replicated log from the log service and sends them to the agents.

#pragma once

#include "settings.h"

namespace cactuscove {

// Runs the process until a graceful shutdown after SIGTERM or SIGINT. Returns the exit status: 0,
// or 1 if the process cannot start or the shutdown timed out. An error at the start is printed to
// standard error.
//
// During the shutdown the process takes no new jobs, answers the callers of open jobs and hands the
// job keys that it remembers to another entry. After settings.shutdownTimeout it ends without
// answering the remaining callers; jobs that were forwarded to an agent go on there.
int runEntry(const ProcessSettings &settings);

} // namespace cactuscove
