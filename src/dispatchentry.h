// The dispatch-entry process: accepts best-effort jobs from callers over HTTP, distributes their
// tasks to the agents and returns the results.

#pragma once

#include <span>
#include <string>

namespace cactuscove {

// Runs the process until a shutdown; called once by main() for the command dispatch-entry.
// `arguments` are the command line flags after the command. Returns the exit status of the process:
// 0 after a shutdown or --help, 1 if it cannot listen on an address, 2 for wrong flags or settings.
// The errors behind 1 and 2 are printed to standard error.
//
// SIGTERM or SIGINT begins the shutdown; further ones are ignored. Jobs are still accepted for up
// to 2.5 s (AcceptAfterShutdownSignal in dispatchentry.cpp) and refused after that. The process
// ends when every open job is answered. It has no timeout for that, but each job ends at its
// caller's timeout, and the platform kills the process after the grace period. SIGHUP reads the
// seeds in the settings file again.
//
// runEntry() (entryprocess.h) runs the other kind of entry, which uses the log service.
int runDispatchEntry(std::span<const std::string> arguments);

} // namespace cactuscove
