#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string_view>

namespace bamboohead::fuzz {

using input_bytes = std::span<const std::uint8_t>;

/// @brief Fuzz targets, which accept any bytes. Each throws std::logic_error when a check of the
///        code under test fails, for example when it has accepted a value out of range; libFuzzer
///        and doctest both report the exception.
/// @{
void fuzzJobBody(input_bytes bytes);       ///< bodies of job submissions and target announcements
void fuzzManifest(input_bytes bytes);      ///< text of a manifest
void fuzzSettings(input_bytes bytes);      ///< text of a settings file
void fuzzPlatformBody(input_bytes bytes);  ///< bodies of callers, targets and the platform's store
void fuzzStoreAnswer(input_bytes bytes);   ///< responses of the etcd store
void fuzzEntryMessages(input_bytes bytes); ///< messages to an entry, see message_feed
void fuzzAgentMessages(input_bytes bytes); ///< messages to an agent, see message_feed
/// @}

/// @brief Throws std::logic_error with the text `what` unless the condition holds.
inline void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::logic_error{what};
    }
}

/// @brief A view of the bytes as text.
inline std::string_view textOf(input_bytes bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()}; // NOLINT: same bytes
}

} // namespace bamboohead::fuzz
