#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>

namespace bamboohead {

/// @brief Whole milliseconds of a time, for messages and log lines; 0 for a negative one.
[[nodiscard]] inline std::uint32_t toMilliseconds(duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return count < 0 ? 0 : static_cast<std::uint32_t>(count);
}

} // namespace bamboohead
