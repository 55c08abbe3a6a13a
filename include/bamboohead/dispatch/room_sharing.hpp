#pragma once

#include "bamboohead/dispatch/fleet_demand.hpp"

#include <cstdint>
#include <map>

namespace bamboohead {

/// @brief Load of the targets of one service, as all entries see it.
struct service_load
{
    std::uint64_t capacity = 0; ///< processors of the available targets, in millicores
    std::uint64_t queued = 0;   ///< work in the queues of agents, in millicore-seconds
    service_work demand;        ///< of all entries
};

/// @brief Time that the targets of a service need for all waiting work; zero without targets.
[[nodiscard]] duration backlogOf(const service_load &load);

/// @brief Time until waiting work has started.
/// @param work In millicore-seconds; work in the queues of agents precedes it.
[[nodiscard]] duration timeToStart(const service_load &load, std::uint64_t work);

/// @brief Share of the jobs of each route that can be served, from 0 to 1, when the demand for a
///        service exceeds its room. Routes that are not listed can be served in full.
///
/// The room is the rate at which the targets can start work, plus or minus what brings the backlog
/// to its goal. Each route gets at least half of its proportional part of the room. The rest is
/// shared by max-min fairness over work: no route gets more while another one that gets less has
/// unserved demand. So a burst on one route, or a flood of small jobs, does not displace the jobs
/// of other routes, and no route is refused as a whole.
/// @param backlog Lowest backlog of the last moments, see standing_backlog.
[[nodiscard]] std::map<name_hash, double> shareRoom(const service_load &load, duration backlog);

} // namespace bamboohead
