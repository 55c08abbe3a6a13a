#pragma once

#include "bamboohead/types.hpp"

#include <algorithm>
#include <random>

namespace bamboohead::detail {

/// @brief Exponential delays with jitter: each delay is drawn from the upper half of a bound that
///        doubles, so that clients that failed together do not return together.
class backoff
{
public:
    backoff(duration first, duration limit, std::uint64_t seed)
        : m_first{first}
        , m_limit{limit}
        , m_bound{first}
        , m_random{seed}
    {}

    /// @brief Delay before the next try.
    [[nodiscard]] duration next()
    {
        std::uniform_int_distribution<duration::rep> draw{m_bound.count() / 2, m_bound.count()};
        m_bound = std::min(m_bound * 2, m_limit);
        return duration{draw(m_random)};
    }

    /// @brief A try succeeded; delays start over.
    void reset() { m_bound = m_first; }

private:
    duration m_first;
    duration m_limit;
    duration m_bound;
    std::mt19937_64 m_random;
};

} // namespace bamboohead::detail
