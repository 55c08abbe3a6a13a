#pragma once

#include "bamboohead/manifest.hpp"
#include "bamboohead/placement.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Least severity that is logged.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// @brief Destination of log lines.
struct log_settings
{
    log_level level = log_level::info;
    std::string file; ///< empty means standard error
};

/// @brief Settings of a process's HTTP server.
struct http_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::uint32_t maxConnections = 0; ///< server threads of an entry, one a connection
};

/// @brief Settings that only an entry uses.
struct entry_settings
{
    std::vector<std::string> store; ///< addresses of the store, host:port
    placement_policy policy = placement_policy::credits;
    std::uint64_t seed = 0; ///< 0 means a random seed
};

/// @brief Settings that only an agent uses.
struct agent_settings
{
    std::string target;     ///< host:port of the target; empty takes the announced address
    std::uint64_t seed = 0; ///< 0 means a random seed
};

/// @brief Settings of processes that serve jobs on the users' platform.
struct dispatch_settings
{
    std::string callers;   ///< host:port that an entry binds for callers
    std::string readiness; ///< host:port that an entry binds for the balancer's checks
    std::string targets;   ///< host:port that an agent binds for the reports of its target
    std::string store;     ///< host:port of the platform's store
    /// host:port of agents that may know entries; only the hosts are used, with the port of this
    /// process's own endpoint.
    std::vector<std::string> contacts;
};

/// @brief All settings of a process.
struct process_settings
{
    std::string zone;
    std::string endpoint; ///< ZeroMQ endpoint of the inbox, for example tcp://127.0.0.1:7001
    std::string bind;     ///< endpoint that is bound when others reach it by another; may be empty
    std::vector<std::string> seeds;
    log_settings log;
    http_settings http;
    entry_settings entry;
    agent_settings agent;
    dispatch_settings dispatch;
};

/// @brief Endpoint that a process binds for messages.
[[nodiscard]] inline const std::string &boundEndpoint(const process_settings &settings)
{
    return settings.bind.empty() ? settings.endpoint : settings.bind;
}

/// @brief Kind of a setting's value.
enum class setting_type : std::uint8_t { text, text_list, integer, choice };

/// @brief Description of one setting: the only source of parsing, checks and reference.
struct setting_description
{
    std::string_view path; ///< JSON pointer
    setting_type type = setting_type::text;
    std::string_view defaultText; ///< JSON text of the default; empty means required
    std::string_view range;       ///< allowed values, for messages and the reference
    std::string_view unit;
    std::string_view help;
    std::int64_t least = 0; ///< bounds of an integer, or of the length of a list
    std::int64_t most = 0;
    bool (*valid)(std::string_view) = nullptr; ///< check of a text, or of each item of a list
    void (*assignText)(process_settings &, std::string) = nullptr;
    void (*assignList)(process_settings &, std::vector<std::string>) = nullptr;
    void (*assignInteger)(process_settings &, std::int64_t) = nullptr;
};

/// @brief The table of all settings.
[[nodiscard]] std::span<const setting_description> settingDescriptions();

/// @brief Result of reading settings: the settings, or all faults found.
using settings_result = std::variant<process_settings, std::vector<config_error>>;

/// @brief Parses and checks settings (JSON with comments). Unknown keys are faults.
[[nodiscard]] settings_result parseSettings(std::string_view text);

/// @brief Reads and checks a settings file.
[[nodiscard]] settings_result loadSettings(const std::string &file);

/// @brief One line for operators: file, path and message of a fault.
[[nodiscard]] std::string describeFault(const std::string &file, const config_error &fault);

/// @brief Reference of all settings in Markdown.
[[nodiscard]] std::string settingsReference();

/// @brief Whether a text is `host:port` with a port from 1 to 65,535.
[[nodiscard]] bool isAddress(std::string_view text);

} // namespace bamboohead
