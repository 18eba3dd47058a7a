// Operator commands: apply, plan, validate, get, history and status.

#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace cactuscove {

// Exit codes of the commands.
enum class CommandExit {
    Done = 0,
    Failed = 1,      // an answer that this version does not understand
    Usage = 2,       // wrong flags, or the file cannot be read
    InvalidFile = 3, // refused for its content; nothing has changed
    Conflict = 4,    // another revision was accepted first; nothing has changed
    Unreachable = 5, // the entry or the log is out of reach; nothing has changed
    Unclear = 6,     // the file may or may not get in force; see `history`
};

bool isOperatorCommand(std::string_view name);

// `arguments` begin with the command's name. Results go to `out`, errors to `err`.
CommandExit runOperatorCommand(std::span<const std::string> arguments, std::ostream &out,
                               std::ostream &err);

} // namespace cactuscove
