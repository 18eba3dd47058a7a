// The dispatch-agent process: runs on a worker's machine and starts, watches and stops the
// best-effort tasks that entries assign to the worker.

#pragma once

#include <span>
#include <string>

namespace cactuscove {

// Runs the process until a signal has ended it; called once by main() for the command
// dispatch-agent. `arguments` are the command line flags after the command. Returns the exit status
// of the process: 0 after a shutdown or --help, 1 if it cannot listen on an address, 2 for wrong
// flags or settings. Errors before the start are printed to standard error.
int runDispatchAgent(std::span<const std::string> arguments);

} // namespace cactuscove
