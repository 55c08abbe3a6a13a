#pragma once

#include <cstdint>
#include <span>
#include <stdexcept>
#include <string_view>

namespace bamboohead::fuzz {

using input_bytes = std::span<const std::uint8_t>;

/// @brief Entry points that take any bytes. Each throws std::logic_error when the code under test
///        accepted a value out of range; libFuzzer and doctest both report the exception.
/// @{
void fuzzJobBody(input_bytes bytes);
void fuzzManifest(input_bytes bytes);
void fuzzSettings(input_bytes bytes);
void fuzzPlatformBody(input_bytes bytes); ///< bodies of callers, targets and the platform's store
void fuzzStoreAnswer(input_bytes bytes);
void fuzzEntryMessages(input_bytes bytes);
void fuzzAgentMessages(input_bytes bytes);
/// @}

/// @brief Reports a value that should have been rejected.
inline void require(bool condition, const char *what)
{
    if (!condition) {
        throw std::logic_error{what};
    }
}

/// @brief Bytes as text.
inline std::string_view textOf(input_bytes bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()}; // NOLINT: same bytes
}

} // namespace bamboohead::fuzz
