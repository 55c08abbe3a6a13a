#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>

namespace bamboohead {

/// @brief Converts a duration to whole milliseconds, rounded down, for messages and log lines;
///        negative durations become 0. Durations from 2^32 ms (about 49 days) wrap around.
[[nodiscard]] inline std::uint32_t toMilliseconds(duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return count < 0 ? 0 : static_cast<std::uint32_t>(count);
}

} // namespace bamboohead
