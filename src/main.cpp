// Entry point of the program. Runs the role or the operator command that the first argument names.

#include "agentprocess.h"
#include "dispatchagent.h"
#include "dispatchentry.h"
#include "entryprocess.h"
#include "operatorcommands.h"
#include "settings.h"

#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr char Usage[]
    = "usage: cactuscove <command> [flags]\n"
      "\n"
      "roles\n"
      "  entry     serves callers and operators, and feeds log records to the agents\n"
      "  agent     runs beside one upstream instance and starts tasks on it\n"
      "\n"
      "roles on the users' platform, for best-effort jobs; see docs/platform.md\n"
      "  dispatch-entry  takes jobs and coordinates them\n"
      "  dispatch-agent  runs tasks on the workers beside it\n"
      "\n"
      "operator commands\n"
      "  apply     put a configuration file in force\n"
      "  plan      show what a configuration file would change\n"
      "  validate  check a configuration file without an entry\n"
      "  get       print the configuration file in force\n"
      "  history   list the accepted revisions and their changes\n"
      "  status    show the members of the fleet and their load\n"
      "\n"
      "  --help, --version; each command has its own --help\n";

constexpr int UsageExitStatus = 2;

int runRole(cactuscove::Role role, const std::vector<std::string> &arguments)
{
    const auto read = cactuscove::readSettings(role, arguments);
    if (const auto *help = std::get_if<cactuscove::HelpText>(&read)) {
        std::fputs(help->text.c_str(), stdout);
        return 0;
    }
    if (const auto *errors = std::get_if<cactuscove::SettingsErrors>(&read)) {
        for (const std::string &it : errors->lines)
            std::fprintf(stderr, "cactuscove: %s\n", it.c_str());
        return UsageExitStatus;
    }
    const auto &settings = std::get<cactuscove::ProcessSettings>(read);
    return role == cactuscove::Role::Entry ? cactuscove::runEntry(settings)
                                           : cactuscove::runAgent(settings);
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::string command = arguments.empty() ? "" : arguments.front();
    const std::vector<std::string> roleArguments(
        arguments.empty() ? arguments.end() : arguments.begin() + 1, arguments.end());
    if (command == "entry" || command == "agent")
        return runRole(command == "entry" ? cactuscove::Role::Entry : cactuscove::Role::Agent,
                       roleArguments);
    if (command == "dispatch-entry")
        return cactuscove::runDispatchEntry(roleArguments);
    if (command == "dispatch-agent")
        return cactuscove::runDispatchAgent(roleArguments);
    if (cactuscove::isOperatorCommand(command))
        return static_cast<int>(cactuscove::runOperatorCommand(arguments, std::cout, std::cerr));
    if (command == "--version") {
        std::printf("cactuscove %s\n", std::string(cactuscove::version()).c_str());
        return 0;
    }
    const bool isHelp = command == "--help";
    std::fputs(Usage, isHelp ? stdout : stderr);
    return isHelp ? 0 : UsageExitStatus;
}
