#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead {

/// @brief Decides how long a run may wait in the queue of a full target before another target is
///        tried.
///
/// Under a high load, entries that order at the same time find the same targets full. A refused
/// order costs a round trip, after which the next target may be full, too. So a wait pays for as
/// long as finding free capacity elsewhere takes: the measured round trip, times the expected
/// number of tries.
class queue_patience
{
public:
    /// @brief Records an order that was refused for lack of free capacity.
    /// @param roundTrip Time from the order to its refusal.
    void recordRefusal(duration roundTrip);
    /// @brief Records an order whose run the agent has accepted.
    void recordAcceptance();

    /// @brief Longest wait that pays, at most 100 ms.
    [[nodiscard]] duration limit() const;
    /// @brief Part of the recent orders that were refused for lack of free capacity, 0 to 1.
    [[nodiscard]] double refusalRate() const noexcept { return m_refusalRate; }

private:
    double m_refusalRate = 0;
    duration m_roundTrip = std::chrono::milliseconds{5}; ///< mean; assumed until one was measured
};

/// @brief What is known of a task that runs faster near its data or group.
struct distance_costs
{
    duration runTime{}; ///< expected, near
    /// Factor by which the run time is longer elsewhere; 1 or less: the distance does not matter.
    double factor = 1.0;
    /// Mean deviation of run times from the expected one, as a part of it. It applies to the wait,
    /// which consists of the run times of others.
    double deviation = 0;
    duration waitElsewhere{}; ///< expected time until the task can start elsewhere
};

/// @brief Longest expected wait for a place near the data or group that ends the task earlier than
///        a start elsewhere.
///
/// The task ends after wait + runTime near, and after waitElsewhere + runTime x factor elsewhere. A
/// wait is uncertain, and a start is not, so the wait may only be so long that it also pays when it
/// takes longer by the mean deviation.
/// @return 0 or more; 0 when the distance does not matter.
[[nodiscard]] duration longestWaitNear(const distance_costs &costs);

} // namespace bamboohead
