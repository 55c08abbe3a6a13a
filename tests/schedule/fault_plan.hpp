#pragma once

#include "schedule/fake_network.hpp"

namespace bamboohead::schedule {

/// @brief Interval of a run in which faults begin. All faults end at `end`.
struct fault_window
{
    time_point begin;
    time_point end;
};

/// @brief Schedules random faults of many kinds, and sets the random rates of message and target
///        faults.
void planMixedFaults(fake_network &network, const fault_window &window);

/// @brief Schedules that one zone is taken out while it is isolated, an agent in it is suspended,
///        or both. In 30 % of the runs, the store is unavailable from then on.
void planZoneOut(fake_network &network, const fault_window &window);

/// @brief Ends all faults: processes run and are connected, the store is available, targets are
///        ready and zones are in. A process that is stopping is left to complete its shutdown.
void endAllFaults(fake_network &network);

} // namespace bamboohead::schedule
