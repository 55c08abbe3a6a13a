#pragma once

namespace standins {

/// @brief Serves the store until SIGTERM or SIGINT.
/// @return Exit code.
int storeCommand(int argc, char **argv);

/// @brief Serves targets until SIGTERM or SIGINT.
/// @return Exit code.
int targetCommand(int argc, char **argv);

} // namespace standins
