#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead {

/// @brief Source of the current time, the only one that the scheduling logic reads.
class clock
{
public:
    virtual ~clock() = default;

    /// @brief Current time of a monotonic clock.
    [[nodiscard]] virtual time_point now() const = 0;
};

/// @brief Reads the operating system's steady clock, which also advances while the process is
///        suspended.
class steady_clock_source final : public clock
{
public:
    [[nodiscard]] time_point now() const override
    {
        return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    }
};

/// @brief Reads a clock that also advances while the machine is suspended, unlike the steady clock
///        of Linux. A lease that has expired during a suspension is therefore detected.
class suspend_aware_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override;
};

/// @brief Clock that advances only by calls to advance(); for tests and benchmarks.
class manual_clock final : public clock
{
public:
    explicit manual_clock(time_point start = time_point{std::chrono::hours{1}})
        : m_now{start}
    {}

    [[nodiscard]] time_point now() const override { return m_now; }

    void advance(duration step) { m_now += step; }

private:
    time_point m_now;
};

} // namespace bamboohead
