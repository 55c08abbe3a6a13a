#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief What a finding in a configuration means for its operator.
enum class finding_kind : std::uint8_t {
    error,         ///< the value is rejected or ignored
    never_used,    ///< the entry is valid, but has no effect
    contradiction, ///< valid values that cannot all be kept
    change,        ///< difference from the configuration in force
};

/// @brief Name of a kind in reports.
[[nodiscard]] std::string_view toText(finding_kind kind) noexcept;

/// @brief One finding in a configuration.
struct config_finding
{
    finding_kind kind = finding_kind::error;
    std::string path; ///< JSON pointer of the value; empty for the whole text
    std::string message;
    std::size_t line = 0;   ///< from 1; 0: not located
    std::size_t column = 0; ///< from 1, in bytes; 0: not located
};

/// @brief Sets line and column of the findings that are not located yet.
///
/// A value that is missing is located at its nearest ancestor.
/// @param text Valid JSON.
void locateFindings(std::vector<config_finding> &findings, std::string_view text);

/// @brief Adds what differs between two configurations, if both are valid JSON.
void addChanges(std::vector<config_finding> &findings, std::string_view inForce,
                std::string_view text);

/// @brief Reviews a manifest before it is sent.
/// @param inForce Manifest in force, if the changes are wanted.
/// @return Findings in the order of their kinds, with lines and columns.
[[nodiscard]] std::vector<config_finding> reviewManifest(std::string_view text,
                                                         std::optional<std::string_view> inForce);

/// @brief Whether a configuration without errors was reviewed.
[[nodiscard]] bool isValid(const std::vector<config_finding> &findings);

/// @brief Report of a review: one line for each finding, as `SOURCE:LINE:COLUMN: KIND: PATH:
///        MESSAGE`.
[[nodiscard]] std::string textReport(std::string_view source,
                                     const std::vector<config_finding> &findings);

/// @brief Report of a review as a JSON object with the members `file`, `valid` and `findings`.
[[nodiscard]] std::string jsonReport(std::string_view source,
                                     const std::vector<config_finding> &findings);

} // namespace bamboohead
