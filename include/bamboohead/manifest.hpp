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

/// @brief Size limit of a manifest; the store takes values of at most 1 MB.
inline constexpr std::size_t maxManifestBytes = 1'000'000;

/// @brief Longest name of a zone, service or team, in characters.
inline constexpr std::size_t maxManifestNameLength = 63;

/// @brief Whether a text can name a zone, service or team: 1 to 63 of a-z, 0-9 and -.
[[nodiscard]] bool isManifestName(std::string_view text) noexcept;

/// @brief Whether operators have an availability zone in service.
enum class zone_state : std::uint8_t { in, out };

/// @brief Settings of one service.
struct service_settings
{
    std::uint32_t weight = 1;              ///< share under load, 1 to 1,000
    std::uint32_t maxRunningPerTarget = 0; ///< concurrent tasks on a target; 0 means its slots
    duration defaultDeadline = std::chrono::seconds{10}; ///< for jobs that state none
};

/// @brief Settings of one team.
struct team_settings
{
    std::uint32_t weight = 1;     ///< share under load, 1 to 1,000
    std::uint32_t maxRunning = 0; ///< tasks in flight over all entries; 0 means no limit
};

/// @brief The operators' configuration, checked.
struct manifest
{
    std::map<std::string, zone_state, std::less<>> zones;
    std::map<std::string, service_settings, std::less<>> services;
    std::map<std::string, team_settings, std::less<>> teams;
};

/// @brief One fault in a manifest or a settings file.
struct config_fault
{
    std::string path;    ///< JSON pointer of the value, for example /zones/graz/state
    std::string message; ///< value found, allowed range and unit
};

/// @brief Parses and checks a manifest (JSON with comments). Unknown keys are faults.
/// @return The manifest, or all faults found.
[[nodiscard]] std::variant<manifest, std::vector<config_fault>>
parseManifest(std::string_view text);

/// @brief Renders a manifest with one zone's state changed; all else, comments included, stays.
/// @return The new text, or the faults of the old one; an unknown zone is a fault.
[[nodiscard]] std::variant<std::string, std::vector<config_fault>>
changeZoneState(std::string_view text, std::string_view zone, zone_state state);

/// @brief Name of a zone's state in the manifest.
[[nodiscard]] std::string_view toText(zone_state state) noexcept;

} // namespace bamboohead
