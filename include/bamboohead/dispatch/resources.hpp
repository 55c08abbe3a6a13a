#pragma once

#include "bamboohead/wire.hpp"

#include <cstdint>

namespace bamboohead {

/// @brief Amounts of a worker's resources: what a task needs, what is in use, what there is.
struct resources
{
    std::uint64_t cpuMillis = 0; ///< thousandths of a processor core
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    bool operator==(const resources &) const = default;

    resources &operator+=(const resources &other) noexcept
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    /// @brief Subtracts; an amount does not go below zero.
    resources &operator-=(const resources &other) noexcept
    {
        cpuMillis -= cpuMillis < other.cpuMillis ? cpuMillis : other.cpuMillis;
        memoryMb -= memoryMb < other.memoryMb ? memoryMb : other.memoryMb;
        accelerators -= accelerators < other.accelerators ? accelerators : other.accelerators;
        return *this;
    }

    friend resources operator+(resources left, const resources &right) noexcept
    {
        return left += right;
    }

    friend resources operator-(resources left, const resources &right) noexcept
    {
        return left -= right;
    }

    /// @brief Whether every amount is at most that of `room`.
    [[nodiscard]] bool fitsIn(const resources &room) const noexcept
    {
        return cpuMillis <= room.cpuMillis && memoryMb <= room.memoryMb &&
               accelerators <= room.accelerators;
    }
};

/// @brief Conversions to and from the protobuf form.
/// @{
[[nodiscard]] inline resources fromWire(const wire::Resources &amounts)
{
    return {amounts.cpu_millis(), amounts.memory_mb(), amounts.accelerators()};
}

inline void toWire(const resources &amounts, wire::Resources &out)
{
    out.set_cpu_millis(static_cast<std::uint32_t>(amounts.cpuMillis));
    out.set_memory_mb(static_cast<std::uint32_t>(amounts.memoryMb));
    out.set_accelerators(static_cast<std::uint32_t>(amounts.accelerators));
}
/// @}

} // namespace bamboohead
