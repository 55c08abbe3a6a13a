#pragma once

#include "bamboohead/dispatch/desired_state.hpp"
#include "bamboohead/dispatch/resources.hpp"
#include "bamboohead/dispatch/run_ref.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Most tasks of one job.
inline constexpr std::uint32_t maxBatchTasks = 1'200;

/// @brief Tasks that are alike, and what has to end before them.
struct batch_step
{
    std::uint32_t count = 1;
    resources demand; ///< of each task
    duration estimate{};
    std::vector<std::uint32_t> after; ///< earlier steps whose tasks all have to be done
    std::string requiredLabel;        ///< a target needs it; empty: any target
    std::string preferredLabel;       ///< the rack that holds the data; elsewhere a task is slower
    std::uint32_t mostPerTarget = 0;  ///< tasks of the step on one target; 0: no limit
};

/// @brief A job as its caller describes it.
struct batch_submission
{
    batch_job_id id{};
    std::string spec;
    std::vector<batch_step> steps;
    /// Whether the job may be forgotten with its entry; others have to be stored first.
    bool bestEffort = false;
    /// Whether the job asks for more than steps of independent tasks that end by themselves.
    bool unsupported = false;
    duration patience{}; ///< how long the caller waits; 0: not told
};

/// @brief Where a task of a job stands.
enum class batch_task_state : std::uint8_t { waiting, ordered, done };

/// @brief A task of a job at its entry.
struct batch_task_record
{
    batch_task_state state = batch_task_state::waiting;
    std::uint32_t run = 0;                       ///< number of the newest run; 0: none yet
    std::uint32_t failures = 0;                  ///< runs that ended as failed
    incarnation_id avoid = incarnation_id::none; ///< agent of the newest run that went wrong
};

/// @brief A step of a job at its entry.
struct batch_step_record
{
    std::vector<batch_task_record> tasks;
    std::vector<std::uint32_t> waiting; ///< indices of tasks to start, the next one last
    std::uint32_t done = 0;
    duration doneTime{}; ///< sum of the run times of the tasks that are done

    /// @brief Mean run time of the tasks that are done, or `none` while there is none.
    [[nodiscard]] duration meanRunTime(duration none) const
    {
        return done > 0 ? doneTime / done : none;
    }
};

/// @brief Declared run time of the longest chain of steps.
[[nodiscard]] duration longestChain(const batch_submission &job);

/// @brief Response-time objective of a job whose longest chain runs for `chain`.
[[nodiscard]] duration responseObjective(duration chain, const dispatch_route &route);

} // namespace bamboohead
