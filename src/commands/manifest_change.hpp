#pragma once

#include "bamboohead/manifest.hpp"
#include "bamboohead/store_client.hpp"
#include "command_line.hpp"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Addresses and time limit that the commands on the manifest share.
struct change_options
{
    std::vector<std::string> store;
    std::vector<std::string> entries; ///< may be empty: then nothing is pushed
    std::chrono::milliseconds timeout{10'000};
};

/// @brief Arguments --store, --entries and --timeout-ms.
class change_arguments
{
public:
    explicit change_arguments(TCLAP::CmdLine &line);

    /// @throw TCLAP::CmdLineParseException when a value is malformed.
    [[nodiscard]] change_options options() const;

private:
    TCLAP::ValueArg<std::string> m_store;
    TCLAP::ValueArg<std::string> m_entries;
    TCLAP::ValueArg<int> m_timeout;
};

/// @brief Client for the operators' commands, which retry where entries would wait.
[[nodiscard]] std::unique_ptr<store_client> makeToolClient(const change_options &options);

/// @brief Reads the manifest that the store holds; prints what went wrong.
/// @return The manifest, or the exit_code when the store cannot be read or holds none.
[[nodiscard]] std::variant<store_value, int> readHeldManifest(store_client &store);

/// @brief Writes a manifest made from revision `expected`, pushes it to the entries and waits until
///        it is in force; prints what happened.
/// @return An exit_code.
int changeManifest(store_client &store, const change_options &options, const std::string &text,
                   store_revision expected);

/// @brief Pushes an accepted version to the entries and waits until it is in force everywhere;
///        prints which processes lag.
/// @return An exit_code.
int pushManifest(const change_options &options, const std::string &text, config_version version);

/// @brief Takes a zone out of service or back in, and waits until the change is in force.
/// @return An exit_code.
int changeZone(const change_options &options, const std::string &zone, zone_state state);

/// @brief Prints the faults of a manifest, one a line.
void printFaults(const std::string &source, const std::vector<config_error> &faults);

/// @brief Prints a store error. @return Its exit_code.
int reportStoreError(error_kind kind, const std::string &detail);

} // namespace bamboohead
