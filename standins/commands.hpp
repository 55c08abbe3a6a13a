#pragma once

namespace standins {

/// @brief Runs the stand-in of the store until SIGTERM or SIGINT.
/// @return Exit code of the process. The function does not return, but ends the process, when the
///         command line is malformed or asks for help.
int storeCommand(int argc, char **argv);

/// @brief Runs stand-ins of targets until SIGTERM or SIGINT.
/// @return Exit code of the process; 2 when the value of --target or --behaviour is malformed, 1
///         when a port cannot be bound. The function does not return, but ends the process, when
///         the command line is malformed otherwise or asks for help.
int targetCommand(int argc, char **argv);

} // namespace standins
