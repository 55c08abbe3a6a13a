#pragma once

#include "bamboohead/dispatch/resources.hpp"
#include "bamboohead/types.hpp"

#include <vector>

namespace bamboohead {

/// @brief A run that holds capacity of a target, or waits for it.
struct forecast_run
{
    resources demand;
    /// Running: time until its expected end. Waiting: its expected run time.
    duration time{};
};

/// @brief Time that a run is expected to need still, after it has run for `elapsed`. A run that has
///        exceeded its expected time is expected to need a quarter of what it has taken: some tasks
///        take several times their mean, and the longer one has run, the longer it may go on.
[[nodiscard]] duration remainingTime(duration expected, duration elapsed);

/// @brief Expected time until a further run can start on a target, behind those that wait.
/// @param running Runs that hold capacity, in any order.
/// @param waiting Runs that start before the further one, in the order of their starts.
/// @return duration::max() when the demand exceeds the capacity.
[[nodiscard]] duration expectedStart(const resources &capacity, std::vector<forecast_run> running,
                                     const std::vector<forecast_run> &waiting,
                                     const resources &demand);

} // namespace bamboohead
