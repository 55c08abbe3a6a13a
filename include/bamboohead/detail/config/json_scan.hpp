#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead::detail {

/// @brief Byte range of a JSON value in its text; `end` is exclusive.
struct json_span
{
    std::size_t begin = 0;
    std::size_t end = 0;
};

/// @brief Positions of the values in a JSON text.
struct json_layout
{
    std::map<std::string, json_span, std::less<>> values; ///< by JSON pointer
    std::vector<std::string> duplicates;                  ///< pointers of repeated keys
};

/// @brief Finds the position of each value and the repeated keys in a JSON text.
///
/// Needed because Boost.JSON reports neither positions nor repeated keys: a repeated key silently
/// replaces the earlier value, and serializing a parsed value loses the comments.
/// @param text JSON with comments that Boost.JSON has parsed without an error.
[[nodiscard]] json_layout scanJson(std::string_view text);

/// @brief Appends a reference token to a JSON pointer and escapes it as specified in RFC 6901.
[[nodiscard]] std::string appendPointer(std::string_view pointer, std::string_view token);

} // namespace bamboohead::detail
