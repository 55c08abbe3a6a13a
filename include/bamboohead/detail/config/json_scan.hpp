#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead::detail {

/// @brief Position of a JSON value in its text, in bytes.
struct json_span
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// @brief Where each value of a JSON text stands.
struct json_layout
{
    std::map<std::string, json_span, std::less<>> values; ///< by JSON pointer
    std::vector<std::string> duplicates;                  ///< pointers of repeated keys
};

/// @brief Finds the position of each value in a text that Boost.JSON has accepted.
///
/// Boost.JSON keeps neither positions nor repeated keys: a repeated key silently replaces the
/// earlier value, and writing a parsed value back loses its comments.
/// @param text JSON with comments, accepted by Boost.JSON.
[[nodiscard]] json_layout scanJson(std::string_view text);

/// @brief Appends one reference token to a JSON pointer, escaped as in RFC 6901.
[[nodiscard]] std::string appendPointer(std::string_view pointer, std::string_view token);

} // namespace bamboohead::detail
