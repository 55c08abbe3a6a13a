#pragma once

#include <boost/json/value.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

namespace bamboohead::detail {

/// @brief Position in a text; both numbers count from 1.
struct text_position
{
    std::size_t line = 1;
    std::size_t column = 1; ///< in bytes
};

/// @brief Position of a byte in a text.
[[nodiscard]] text_position positionAt(std::string_view text, std::size_t offset);

/// @brief Why a text is not valid JSON.
struct syntax_error
{
    std::size_t offset = 0; ///< of the byte at which the parser has stopped
    std::string message;
};

/// @brief Which extension of JSON is allowed.
enum class json_comments : std::uint8_t { rejected, allowed };

/// @brief Parses JSON of at most 16 nested objects and arrays.
[[nodiscard]] std::variant<boost::json::value, syntax_error> parseJsonText(std::string_view text,
                                                                           json_comments comments);

} // namespace bamboohead::detail
