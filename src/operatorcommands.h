// The operator commands of the program: apply, plan, validate, get, history and status. Each is
// one blocking run that, except for validate, calls the HTTP API of an entry (see OperatorApi).

#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace cactuscove {

// Exit codes of the commands. Scripts of operators depend on the values.
enum class ExitCode {
    Success = 0,
    UnexpectedResponse = 1, // the entry's response is not one that this version understands
    UsageError = 2,         // wrong arguments, or the file cannot be read
    InvalidFile = 3,        // the file was refused for its content; nothing has changed
    Conflict = 4,           // another revision was accepted first; nothing has changed
    Unreachable = 5,        // the entry or the log service cannot be reached; nothing has changed
    Unclear = 6,            // the file may or may not take effect; the command `history` shows it
};

bool isOperatorCommand(std::string_view name);

// Runs one command. `arguments` begin with the name of the command, for which isOperatorCommand()
// must be true. Results are written to `out`, errors to `err`.
ExitCode runOperatorCommand(std::span<const std::string> arguments, std::ostream &out,
                            std::ostream &err);

} // namespace cactuscove
