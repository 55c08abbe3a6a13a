#pragma once

namespace bamboohead {

/// @brief Exit codes of all commands.
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,    ///< invalid arguments or settings
    exit_refused = 3,  ///< nothing was executed or changed, and nothing will be
    exit_conflict = 4, ///< manifest changed meanwhile, or job id reused for another job
    exit_unknown = 5,  ///< the request may or may not have taken effect
};

/// @brief Subcommands of the binary. `argv[0]` is the name of the command.
/// @return An exit_code.
/// @{
int entryCommand(int argc, char **argv);
int agentCommand(int argc, char **argv);
int dispatchEntryCommand(int argc, char **argv);
int dispatchAgentCommand(int argc, char **argv);
int submitCommand(int argc, char **argv);
int manifestCommand(int argc, char **argv);
int zoneCommand(int argc, char **argv);
int stateCommand(int argc, char **argv);
int loadCommand(int argc, char **argv);
int settingsCommand(int argc, char **argv);
int errorsCommand(int argc, char **argv);
/// @}

} // namespace bamboohead
