#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <vector>

namespace bamboohead::detail {

/// @brief Order in which the ideal queue serves jobs.
///
/// The ideal queue is the reference that measured response times are compared with: a simulated
/// central scheduler with one queue over all slots of a service.
enum class ideal_order : std::uint8_t {
    first_come,     ///< by time of arrival
    least_remaining ///< the job with the smallest total run time of unstarted tasks first
};

/// @brief A job as input of the replay.
struct replay_job
{
    duration at{};                  ///< arrival after the start of the run
    std::vector<duration> runTimes; ///< one per task, at least one
};

/// @brief Change of the capacity: from `at` on, `slots` slots are usable. Running tasks are not
///        interrupted when the number of slots decreases.
struct capacity_step
{
    duration at{};
    std::uint32_t slots = 0;
};

/// @brief Result of the replay. Times are relative to the start of the run.
struct replay_result
{
    std::vector<duration> jobEnds;  ///< by job; `duration::max()` for a job that never ends
    std::vector<duration> taskEnds; ///< of the tasks that ended, in ascending order
    std::vector<duration> taskWork; ///< run time of each task of `taskEnds`
};

/// @brief Simulates the execution of the jobs from one queue over all slots, with messages that
///        take no time and with run times known in advance.
/// @param jobs Jobs in order of arrival.
/// @param capacity Capacity changes in order of time, at least one.
[[nodiscard]] replay_result replay(const std::vector<replay_job> &jobs,
                                   const std::vector<capacity_step> &capacity, ideal_order order);

/// @brief Response time of a job that is alone on all slots. The longest task is scheduled first,
///        each task on the slot that becomes free first.
/// @param slots Number of slots, at least 1.
[[nodiscard]] duration idleResponseTime(std::vector<duration> runTimes, std::uint32_t slots);

} // namespace bamboohead::detail
