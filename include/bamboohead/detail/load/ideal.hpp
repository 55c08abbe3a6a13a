#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <vector>

namespace bamboohead::detail {

/// @brief Order in which the ideal queue serves jobs.
enum class ideal_order : std::uint8_t {
    first_come,     ///< by arrival
    least_remaining ///< by the run time of the tasks that have not started
};

/// @brief A job as the replay sees it.
struct replay_job
{
    duration at{};
    std::vector<duration> runTimes; ///< one a task, at least one
};

/// @brief From `at` on, `slots` are usable; running tasks are never interrupted.
struct capacity_step
{
    duration at{};
    std::uint32_t slots = 0;
};

/// @brief Times of the replay, after the start of the run.
struct replay_result
{
    std::vector<duration> jobEnds;  ///< by job; `duration::max()` when it never ends
    std::vector<duration> taskEnds; ///< of all tasks, in order of time
    std::vector<duration> taskWork; ///< run time of each task of `taskEnds`
};

/// @brief Replays jobs through one queue over all slots, with free messages and known run times.
/// @param jobs By arrival.
/// @param capacity By time, at least one step.
[[nodiscard]] replay_result replay(const std::vector<replay_job> &jobs,
                                   const std::vector<capacity_step> &capacity, ideal_order order);

/// @brief Response time of a job that has all slots for itself: the longest task first, each task
///        on the slot that is free first.
[[nodiscard]] duration idleFleetTime(std::vector<duration> runTimes, std::uint32_t slots);

} // namespace bamboohead::detail
