#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace bamboohead {

/// @brief Runs a command that parses its arguments with TCLAP. Prints exceptions on standard error.
/// @param help Description of the command for --help.
/// @param body Declares the arguments, parses them and executes the command.
/// @return The exit code of `body`; exit_usage for invalid arguments, exit_failed for other
///         exceptions.
int runCommand(int argc, char **argv, const std::string &help,
               const std::function<int(TCLAP::CmdLine &, int, char **)> &body);

/// @brief Splits a comma-separated list of addresses.
/// @throw TCLAP::CmdLineParseException when an item is not host:port or the list is empty.
std::vector<std::string> parseAddresses(const std::string &text);

/// @brief Reads a whole file.
/// @throw std::runtime_error when the file cannot be read.
std::string readFile(const std::string &name);

} // namespace bamboohead
