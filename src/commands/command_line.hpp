#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

namespace bamboohead {

/// @brief Runs a command whose arguments TCLAP reads: reports faults of usage with exit code 2 and
///        other exceptions with exit code 1.
/// @param declare Adds the arguments and returns the function to run after they were parsed.
int runCommand(int argc, char **argv, const std::string &help,
               const std::function<int(TCLAP::CmdLine &, int, char **)> &body);

/// @brief Splits a comma-separated list of addresses.
/// @throw TCLAP::CmdLineParseException when an item is not host:port.
std::vector<std::string> parseAddresses(const std::string &text);

/// @brief Reads a whole file.
/// @throw std::runtime_error when the file cannot be read.
std::string readFile(const std::string &name);

} // namespace bamboohead
