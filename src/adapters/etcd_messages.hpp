#pragma once

#include "bamboohead/store_client.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @name Request bodies of the etcd v3 JSON gateway
///
/// The gateway represents keys and values in base64 and 64-bit integers as strings, and omits
/// fields with default values from its responses.
/// @{
/// @brief Encodes a request to read one key.
[[nodiscard]] std::string rangeRequest(std::string_view key);
/// @brief Encodes a compare-and-swap of one key.
/// @param expected Revision that the key must have; `none`: the key must not exist and is created.
[[nodiscard]] std::string swapRequest(std::string_view key, store_revision expected,
                                      std::string_view text);
/// @brief Encodes a request to watch one key for changes after the store's current revision.
[[nodiscard]] std::string watchRequest(std::string_view key);
/// @}

/// @brief Parses the response to a range request.
/// @return The value, with revision `none` for an absent key, or nothing when the response is
///         malformed.
[[nodiscard]] std::optional<store_value> parseRangeResponse(std::string_view body);

/// @brief Response to a compare-and-swap.
struct swap_response
{
    bool succeeded = false;
    store_revision revision = store_revision::none; ///< of the new value, when `succeeded`
};

/// @brief Parses the response to a compare-and-swap.
/// @return The outcome, or nothing when the response is malformed.
[[nodiscard]] std::optional<swap_response> parseSwapResponse(std::string_view body);

/// @brief One line of a watch stream.
struct watch_response
{
    bool ended = false;              ///< the store cancelled the watch or reported an error
    std::vector<store_value> values; ///< a deleted key has revision `none`
};

/// @brief Parses one line of a watch stream.
/// @return The content of the line, or nothing when it is malformed.
[[nodiscard]] std::optional<watch_response> parseWatchLine(std::string_view line);

} // namespace bamboohead::detail
