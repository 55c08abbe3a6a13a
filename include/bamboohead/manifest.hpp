#pragma once

#include "bamboohead/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Size limit of a manifest; the store accepts values of at most 1 MB.
inline constexpr std::size_t maxManifestBytes = 1'000'000;

/// @brief Largest length of the name of a zone, service or team, in characters.
inline constexpr std::size_t maxManifestNameLength = 63;

/// @brief Whether a text is a valid name of a zone, service or team: 1 to 63 characters of a-z, 0-9
///        and -.
[[nodiscard]] bool isManifestName(std::string_view text) noexcept;

/// @brief Whether an availability zone is in service (`in`) or out of service (`out`), as set by
///        the operators.
enum class zone_state : std::uint8_t { in, out };

/// @brief Settings of one service.
struct service_settings
{
    std::uint32_t weight = 1; ///< 1 to 1,000; validated, but the scheduling does not use it
    std::uint32_t maxRunningPerTarget = 0; ///< concurrent tasks on a target; 0 means all its slots
    /// Deadline of jobs without one; 1 ms to 600 s.
    duration defaultDeadline = std::chrono::seconds{10};
};

/// @brief Settings of one team.
struct team_settings
{
    /// Share of a service under load, relative to the weights of the other teams; 1 to 1,000.
    std::uint32_t weight = 1;
    /// Limit of the tasks in flight (waiting or running) over all entries; 0 means no limit.
    std::uint32_t maxRunning = 0;
};

/// @brief The configuration set by the operators, validated. All maps are by name.
struct manifest
{
    std::map<std::string, zone_state, std::less<>> zones;
    std::map<std::string, service_settings, std::less<>> services;
    std::map<std::string, team_settings, std::less<>> teams;
};

/// @brief One error found in a manifest or a settings file.
struct config_error
{
    /// JSON pointer of the value, for example /zones/graz/state; empty for the whole text.
    std::string path;
    std::string message; ///< value found, allowed values and unit
};

/// @brief Parses and validates a manifest (JSON with comments). Unknown and repeated keys are
///        errors.
/// @return The manifest, or all errors found.
[[nodiscard]] std::variant<manifest, std::vector<config_error>>
parseManifest(std::string_view text);

/// @brief Changes the state of one zone in the text of a manifest. The rest of the text, including
///        comments, is preserved.
/// @return The new text, or the errors of the old text; an unknown zone is an error.
[[nodiscard]] std::variant<std::string, std::vector<config_error>>
changeZoneState(std::string_view text, std::string_view zone, zone_state state);

/// @brief Name of a zone state as written in the manifest.
[[nodiscard]] std::string_view toText(zone_state state) noexcept;

} // namespace bamboohead
