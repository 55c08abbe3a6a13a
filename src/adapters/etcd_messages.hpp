#pragma once

#include "bamboohead/store_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Bodies of the etcd v3 JSON gateway: keys and values in base64, 64-bit integers as
///        strings, fields with default values left out of answers.
/// @{
[[nodiscard]] std::string rangeRequest(std::string_view key);
[[nodiscard]] std::string swapRequest(std::string_view key, store_revision expected,
                                      std::string_view text);
[[nodiscard]] std::string watchRequest(std::string_view key);
/// @}

/// @return The value, or nothing when the answer is malformed.
[[nodiscard]] std::optional<store_value> parseRangeAnswer(std::string_view body);

/// @brief Outcome of a compare-and-swap that the store answered.
struct swap_answer
{
    bool succeeded = false;
    store_revision revision = store_revision::none; ///< of the new value when it succeeded
};

/// @return The outcome, or nothing when the answer is malformed.
[[nodiscard]] std::optional<swap_answer> parseSwapAnswer(std::string_view body);

/// @brief One line of a watch stream.
struct watch_answer
{
    bool ended = false; ///< the store cancelled the watch or reported an error
    std::vector<store_value> values;
};

/// @return The line's content, or nothing when it is malformed.
[[nodiscard]] std::optional<watch_answer> parseWatchLine(std::string_view line);

} // namespace bamboohead::detail
