#pragma once

#include <cstdint>
#include <cstdlib>

namespace bamboohead::dispatch_test {

/// @brief First seed of a random schedule: the variable DISPATCH_SEED, or 1.
inline std::uint64_t firstSeed()
{
    const auto *const text = std::getenv("DISPATCH_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/// @brief Number of seeds of a random schedule: the variable DISPATCH_SEEDS, or `byDefault`.
inline std::uint64_t seedCount(std::uint64_t byDefault)
{
    const auto *const text = std::getenv("DISPATCH_SEEDS");
    return text == nullptr ? byDefault : std::strtoull(text, nullptr, 10);
}

} // namespace bamboohead::dispatch_test
