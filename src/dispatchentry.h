// The process that takes best-effort jobs from callers and coordinates them.

#pragma once

#include <span>
#include <string>

namespace cactuscove {

// Returns the exit status of the process.
int runDispatchEntry(std::span<const std::string> arguments);

} // namespace cactuscove
