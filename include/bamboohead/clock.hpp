#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead {

/// @brief Source of the current time. Decisions read time only through this interface.
class clock
{
public:
    virtual ~clock() = default;

    /// @brief Current time of a clock that never goes back.
    [[nodiscard]] virtual time_point now() const = 0;
};

/// @brief Reads the operating system's steady clock, which also advances while the process is
///        stopped.
class steady_clock_source final : public clock
{
public:
    [[nodiscard]] time_point now() const override
    {
        return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
    }
};

/// @brief Reads the clock that also advances while the whole machine is suspended, which the steady
///        clock of Linux does not. A lease that was held before a suspension is then seen to be
///        over.
class suspend_aware_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override;
};

/// @brief Clock that moves only when told to; for tests and benches.
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
