#pragma once

#include "schedule/fake_network.hpp"

namespace bamboohead::schedule {

/// @brief Interval of a run in which faults begin; all of them are healed at its end.
struct fault_window
{
    time_point begin;
    time_point end;
};

/// @brief Draws the faults of a run with many kinds of them, and schedules them.
void planMixedFaults(fake_network &network, const fault_window &window);

/// @brief Takes one zone out while it is cut off, or while processes in it are frozen.
void planZoneOut(fake_network &network, const fault_window &window);

/// @brief Ends all faults: processes live and are connected, the store answers, targets are ready.
void healAll(fake_network &network);

} // namespace bamboohead::schedule
