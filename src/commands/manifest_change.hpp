#pragma once

#include "bamboohead/manifest.hpp"
#include "bamboohead/store_client.hpp"
#include "command_line.hpp"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Addresses and time limit of the commands that read or change the manifest.
struct change_options
{
    std::vector<std::string> store;            ///< host:port of the store's HTTP gateway
    std::vector<std::string> entries;          ///< host:port; when empty, the manifest isn't pushed
    std::chrono::milliseconds timeout{10'000}; ///< limit of the write, and another of the roll-out
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

/// @brief Creates the store client of the operators' commands. Unlike the client of an entry, it
///        tries each endpoint several times in a call.
[[nodiscard]] std::unique_ptr<store_client> makeOperatorClient(const change_options &options);

/// @brief Reads the manifest from the store and prints an error on standard error.
/// @return The manifest, or an exit_code when the store cannot be read or holds no manifest.
[[nodiscard]] std::variant<store_value, int> readStoredManifest(store_client &store);

/// @brief Writes a manifest, pushes it to the entries and waits, as pushManifest() does. Prints the
///        result.
/// @param expected Revision on which the manifest is based; `none`: the store must not hold one
/// yet.
/// @return An exit_code.
int changeManifest(store_client &store, const change_options &options, const std::string &text,
                   store_revision expected);

/// @brief Pushes an accepted version to the entries and waits until it is in force everywhere, for
///        about `options.timeout` at most. Prints the processes without it. Without entries, it
///        does nothing.
/// @return exit_ok, also without entries; exit_failed when the time limit has passed.
int pushManifest(const change_options &options, const std::string &text, config_version version);

/// @brief Takes a zone out of service or back in, and waits as pushManifest() does, also when the
///        zone is in this state already.
/// @return An exit_code.
int changeZone(const change_options &options, const std::string &zone, zone_state state);

/// @brief Prints the faults of a manifest on standard error, one in each line.
void printFaults(const std::string &source, const std::vector<config_error> &faults);

/// @brief Prints a store error on standard error.
/// @return The exit_code for the error.
int reportStoreError(error_kind kind, const std::string &detail);

} // namespace bamboohead
