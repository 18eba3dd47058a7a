// The process beside a worker that runs best-effort tasks for all entries.

#pragma once

#include <span>
#include <string>

namespace cactuscove {

// Returns the exit status of the process.
int runDispatchAgent(std::span<const std::string> arguments);

} // namespace cactuscove
