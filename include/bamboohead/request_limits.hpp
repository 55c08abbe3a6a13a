#pragma once

#include "bamboohead/types.hpp"

#include <cstddef>

namespace bamboohead {

/// @brief Default of /requests/memory_kb. It holds 96 request bodies of the largest size (256 KiB)
///        on the platform's interfaces, or more than 5,000 jobs with the longest spec (4,000
///        bytes), and leaves most of the smallest machine (128 MB) to the process.
inline constexpr std::size_t defaultUnfinishedBytes = std::size_t{24} << 20U;

/// @brief Default of /requests/timeout_ms. It allows a body of the largest size at 13 KB/s.
inline constexpr duration defaultReceiveTimeout = std::chrono::seconds{20};

} // namespace bamboohead
