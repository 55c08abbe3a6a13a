#pragma once

#include "bamboohead/manifest.hpp"
#include "bamboohead/placement.hpp"
#include "bamboohead/request_limits.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Severity of a log line.
enum class log_level : std::uint8_t { debug, info, warning, error };

/// @brief Minimum severity and destination of log lines.
struct log_settings
{
    log_level level = log_level::info; ///< minimum severity that is logged
    std::string file;                  ///< path, - for standard output, or empty for standard error
};

/// @brief Settings of a process's HTTP server.
struct http_settings
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; ///< 0: any free port; a settings file must give 1 to 65,535
    /// Number of connections that the command entry serves at the same time, each with one server
    /// thread; 16 to 4,096 in a settings file. The other commands do not use it.
    std::uint32_t maxConnections = 0;
};

/// @brief Limits of the requests that a server has not received as a whole. They apply to each HTTP
///        server of a process by itself.
struct request_settings
{
    /// Memory that they hold together; see request_budget for those that end when it is exhausted.
    std::size_t memoryBytes = defaultUnfinishedBytes;
    duration timeout = defaultReceiveTimeout; ///< from the first byte of a request to its last one
};

/// @brief Settings of the command entry; dispatch-entry uses only `seed`.
struct entry_settings
{
    /// host:port of the store's HTTP gateway. When empty, the entry receives the manifest only from
    /// other entries and from the operators' commands.
    std::vector<std::string> store;
    placement_policy policy = placement_policy::credits;
    std::uint64_t seed = 0; ///< 0 means a random seed
};

/// @brief Settings of the command agent; dispatch-agent does not use them.
struct agent_settings
{
    std::string target;     ///< host:port; when empty, the address that the target announces
    std::uint64_t seed = 0; ///< 0 means a random seed; agents make no random choices that use it
};

/// @brief Settings of the commands dispatch-entry and dispatch-agent. An unused address is empty.
///
/// These commands use the interfaces of the users' platform (the system in which the users' callers
/// and targets run) for callers, targets and its store. The commands entry and agent use this
/// project's own HTTP interface for callers and targets, and etcd as store.
struct dispatch_settings
{
    std::string callers;   ///< host:port that an entry binds for callers
    std::string readiness; ///< host:port that an entry binds for the load balancer's checks
    std::string targets;   ///< host:port that an agent binds for the reports of its target
    std::string store;     ///< host:port of the platform's store
    /// host:port of agents to contact for finding entries; only the hosts are used, with the port
    /// of this process's own endpoint.
    std::vector<std::string> contacts;
    /// Whether an entry decides on new jobs from the demand of all entries.
    bool fleetAdmission = false;
    /// Whether an entry places tasks by forecasts: of the wait at full targets, and of run times
    /// from the lasting speeds of targets.
    bool forecastPlacement = false;
    /// Factor by which run times are longer away from a task's data or group; 0: unknown.
    double distanceFactor = 0;
};

/// @brief All settings of a process.
struct process_settings
{
    std::string zone;
    /// ZeroMQ endpoint at which peers connect to the process, for example tcp://127.0.0.1:7001
    std::string endpoint;
    std::string bind; ///< endpoint to bind, when it differs from `endpoint`; else empty
    std::vector<std::string> seeds; ///< ZeroMQ endpoints of entries to contact at start
    log_settings log;
    http_settings http;
    request_settings requests;
    entry_settings entry;
    agent_settings agent;
    dispatch_settings dispatch;
};

/// @brief ZeroMQ endpoint that a process binds.
[[nodiscard]] inline const std::string &boundEndpoint(const process_settings &settings)
{
    return settings.bind.empty() ? settings.endpoint : settings.bind;
}

/// @brief Type of the value of a setting.
enum class setting_type : std::uint8_t { text, text_list, integer, choice, number };

/// @brief Description of one setting, from which parsing, validation and reference are derived.
struct setting_description
{
    std::string_view path; ///< JSON pointer
    setting_type type = setting_type::text;
    std::string_view defaultText; ///< JSON text of the default; empty means required
    std::string_view range;       ///< allowed values, for error messages and the reference
    std::string_view unit;        ///< may be empty
    std::string_view help;        ///< meaning of the setting
    std::int64_t minimum = 0;     ///< smallest allowed integer or number
    std::int64_t maximum = 0;     ///< largest allowed integer or number, or number of list items
    /// Validates a text or a choice, or each item of a list; null for an integer or a number.
    bool (*valid)(std::string_view) = nullptr;
    /// Store a valid value. Only the function for `type` is set: assignText for text and choice,
    /// assignList for text_list, assignInteger for integer, assignNumber for number.
    /// @{
    void (*assignText)(process_settings &, std::string) = nullptr;
    void (*assignList)(process_settings &, std::vector<std::string>) = nullptr;
    void (*assignInteger)(process_settings &, std::int64_t) = nullptr;
    void (*assignNumber)(process_settings &, double) = nullptr;
    /// @}
};

/// @brief Descriptions of all settings, in the order of the reference.
[[nodiscard]] std::span<const setting_description> settingDescriptions();

/// @brief Result of reading settings: the settings, or all faults found. A fault is an invalid part
///        of the text, described by a config_error.
using settings_result = std::variant<process_settings, std::vector<config_error>>;

/// @brief Parses and validates settings: JSON in which comments and trailing commas are allowed.
///        Unknown keys are faults.
[[nodiscard]] settings_result parseSettings(std::string_view text);

/// @brief Reads and validates a settings file. A file that cannot be read is a fault.
[[nodiscard]] settings_result loadSettings(const std::string &file);

/// @brief Formats a fault as one line for operators: file, path and message.
[[nodiscard]] std::string describeFault(const std::string &file, const config_error &fault);

/// @brief Formats the reference of all settings as a Markdown table.
[[nodiscard]] std::string settingsReference();

/// @brief Whether a text is `host:port` with a port from 1 to 65,535.
[[nodiscard]] bool isAddress(std::string_view text);

/// @brief Whether a text is a ZeroMQ endpoint of the form `tcp://host:port`, see isAddress().
[[nodiscard]] bool isEndpoint(std::string_view text);

} // namespace bamboohead
