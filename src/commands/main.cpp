#include "bamboohead/commands.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

namespace {

/// Name, help text and function of a subcommand.
struct subcommand
{
    std::string_view name;
    std::string_view help;
    int (*run)(int, char **);
};

constexpr std::array subcommands{
        subcommand{"entry", "run an entry", bamboohead::entryCommand},
        subcommand{"agent", "run an agent", bamboohead::agentCommand},
        subcommand{"dispatch-entry",
                   "run an entry for the users' platform: with its HTTP interface for callers and "
                   "its store",
                   bamboohead::dispatchEntryCommand},
        subcommand{"dispatch-agent",
                   "run an agent for the users' platform: with its HTTP interface for targets and "
                   "its store",
                   bamboohead::dispatchAgentCommand},
        subcommand{"submit", "submit a job and print its answer", bamboohead::submitCommand},
        subcommand{"manifest", "check, print or apply the manifest", bamboohead::manifestCommand},
        subcommand{"zone", "take a zone out of service or back in", bamboohead::zoneCommand},
        subcommand{"state", "print the state of a process", bamboohead::stateCommand},
        subcommand{"load", "measure the response to a mix of jobs", bamboohead::loadCommand},
        subcommand{"settings", "print the reference of all settings (with --reference)",
                   bamboohead::settingsCommand},
        subcommand{"errors", "print the reference of all error kinds (with --reference)",
                   bamboohead::errorsCommand},
};

void printUsage(std::ostream &out)
{
    out << "usage: bamboohead COMMAND [ARGUMENTS]\n\ncommands:\n";
    for (const auto &command : subcommands) {
        out << "  " << command.name << "\t" << command.help << "\n";
    }
    out << "\nbamboohead COMMAND --help describes the arguments.\n";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        printUsage(std::cerr);
        return bamboohead::exit_usage;
    }
    const std::string_view name{argv[1]};
    if (name == "--help" || name == "help") {
        printUsage(std::cout);
        return bamboohead::exit_ok;
    }
    const auto *const command = std::ranges::find(subcommands, name, &subcommand::name);
    if (command == subcommands.end()) {
        std::cerr << "bamboohead: unknown command " << name << "\n";
        printUsage(std::cerr);
        return bamboohead::exit_usage;
    }
    return command->run(argc - 1, argv + 1);
}
