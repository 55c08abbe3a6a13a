#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Encodes bytes as base64 with padding (RFC 4648, section 4).
[[nodiscard]] std::string encodeBase64(std::string_view bytes);

/// @brief Decodes base64 with padding.
/// @return The bytes, or nothing when the text is malformed.
[[nodiscard]] std::optional<std::string> decodeBase64(std::string_view text);

} // namespace bamboohead::detail
