#pragma once

#include "bamboohead/types.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bamboohead {

/// @brief Bounds the memory that the unfinished requests of a server hold together, and chooses the
///        requests that have to end when it is exhausted.
///
/// Each request may be within the limits of a single one while all of them together exceed the
/// memory of the machine. The requests that end first are those with the highest product of held
/// memory and time since their first byte. A client that sends its request as a whole holds little
/// memory for a short time, and one that goes on sending slowly gains nothing from it.
class request_budget
{
public:
    /// @param maxBytes Memory that all unfinished requests may hold together.
    explicit request_budget(std::size_t maxBytes)
        : m_maxBytes{maxBytes}
    {}

    /// @brief Records the memory that a request holds now.
    /// @param request Number that identifies the request in this budget.
    /// @param removable Whether the request may be chosen by chooseExcess().
    void hold(std::uint64_t request, std::size_t bytes, bool removable, time_point now);

    /// @brief Removes a request; does nothing for an unknown one.
    void release(std::uint64_t request);

    /// @brief Memory that all requests hold, in bytes.
    [[nodiscard]] std::size_t held() const noexcept { return m_held; }

    /// @brief Whether more than half of the memory is held. Data that need not be read yet should
    ///        then stay with the operating system.
    [[nodiscard]] bool halfUsed() const noexcept { return m_held > m_maxBytes / 2; }

    /// @brief Chooses the requests that have to end so that `bytes` more can be held. When there
    ///        are any, so many are chosen that an eighth of the budget is free afterwards, since
    ///        all requests are examined for it.
    [[nodiscard]] std::vector<std::uint64_t> chooseExcess(std::size_t bytes, time_point now) const;

private:
    struct holding
    {
        std::size_t bytes = 0;
        bool removable = false;
        time_point begin; ///< when the request was first recorded
    };

    std::size_t m_maxBytes;
    std::size_t m_held = 0;
    std::unordered_map<std::uint64_t, holding> m_holdings;
};

} // namespace bamboohead
