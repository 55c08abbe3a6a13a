#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <random>

namespace bamboohead::schedule {

/// @brief Random choices of one run. Equal seeds give equal choices on all platforms.
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : m_engine{seed}
    {}

    /// @return A number below `limit`; 0 when the limit is 0.
    std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : m_engine() % limit; }

    /// @brief True with a probability of `percent` / 100.
    bool percent(std::uint64_t percent) { return below(100) < percent; }

    /// @return A duration from `low` to `high`, both included; `high` must not be less than `low`.
    duration between(duration low, duration high)
    {
        const auto width = static_cast<std::uint64_t>((high - low).count());
        return low + duration{static_cast<duration::rep>(below(width + 1))};
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace bamboohead::schedule
