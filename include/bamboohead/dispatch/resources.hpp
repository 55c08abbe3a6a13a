#pragma once

#include "bamboohead/wire.hpp"

#include <cstdint>

namespace bamboohead {

/// @brief Resource amounts: the demand of a task, or the amount in use or the capacity of a target.
struct resources
{
    std::uint64_t cpuMillis = 0; ///< thousandths of a processor core
    /// Megabytes as stated by callers and targets, without conversion.
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0; ///< number of devices

    bool operator==(const resources &) const = default;

    resources &operator+=(const resources &other) noexcept
    {
        cpuMillis += other.cpuMillis;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    /// @brief Subtracts each amount; results below zero become zero.
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

    /// @brief Whether no amount exceeds that of `available`.
    [[nodiscard]] bool fitsIn(const resources &available) const noexcept
    {
        return cpuMillis <= available.cpuMillis && memoryMb <= available.memoryMb &&
               accelerators <= available.accelerators;
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
