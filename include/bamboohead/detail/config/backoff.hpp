#pragma once

#include "bamboohead/types.hpp"

#include <algorithm>
#include <random>

namespace bamboohead::detail {

/// @brief Exponential backoff with jitter. Each delay is drawn between half the bound and the
///        bound, which doubles per attempt, so that clients that failed together don't retry
///        together.
class backoff
{
public:
    /// @param first Bound of the first delay.
    /// @param limit Largest bound.
    /// @param seed Seed of the jitter.
    backoff(duration first, duration limit, std::uint64_t seed)
        : m_firstBound{first}
        , m_maxBound{limit}
        , m_bound{first}
        , m_random{seed}
    {}

    /// @brief Delay before the next attempt; doubles the bound.
    [[nodiscard]] duration next()
    {
        std::uniform_int_distribution<duration::rep> draw{m_bound.count() / 2, m_bound.count()};
        m_bound = std::min(m_bound * 2, m_maxBound);
        return duration{draw(m_random)};
    }

    /// @brief Restarts from the first delay, after a successful attempt.
    void reset() { m_bound = m_firstBound; }

private:
    duration m_firstBound;
    duration m_maxBound;
    duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace bamboohead::detail
