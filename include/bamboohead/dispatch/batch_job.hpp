#pragma once

#include "bamboohead/dispatch/desired_state.hpp"
#include "bamboohead/dispatch/resources.hpp"
#include "bamboohead/dispatch/run_ref.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Maximum number of tasks of one job.
inline constexpr std::uint32_t maxBatchTasks = 1'200;

/// @brief A set of identical tasks of a job, with the steps on which it depends.
struct batch_step
{
    std::uint32_t count = 1;
    resources demand;                     ///< of each task
    duration estimate{};                  ///< declared run time of each task
    std::vector<std::uint32_t> dependsOn; ///< indices of earlier steps that have to be complete
    std::string requiredLabel;            ///< label that a target must have; empty: any target
    /// Label of the rack that holds the data; tasks are slower elsewhere. Empty: no preference.
    std::string preferredLabel;
    std::uint32_t maxTasksPerTarget = 0; ///< tasks of the step on one target at a time; 0: no limit
};

/// @brief A job as submitted by its caller.
struct batch_submission
{
    batch_job_id id{};
    std::string spec; ///< passed to the targets unchanged
    std::vector<batch_step> steps;
    /// Whether the job may be lost when its entry fails. Other jobs are refused, because entries do
    /// not store jobs.
    bool bestEffort = false;
    /// Whether the job requests a feature that entries do not support; it is then refused. Entries
    /// support only steps, with or without dependencies between them, whose tasks do not depend on
    /// each other and end by themselves. platform::decodeSubmission() has the list of the other
    /// features.
    bool usesUnsupportedFeature = false;
    duration callerTimeout{}; ///< how long the caller waits for the answer; 0: not given
};

/// @brief Progress of a task.
enum class batch_task_state : std::uint8_t { waiting, ordered, done };

/// @brief State that an entry keeps of a task.
struct batch_task_record
{
    batch_task_state state = batch_task_state::waiting;
    std::uint32_t run = 0;            ///< number of the newest run; 0: none yet
    std::uint32_t failures = 0;       ///< runs that ended as failed
    std::uint32_t noRoomRefusals = 0; ///< runs that an agent refused for lack of free capacity
    bool deferred = false;            ///< waits until a crash is known or excluded
    /// Agent of the newest run that did not complete the task; `none`: no such run.
    incarnation_id avoidedAgent = incarnation_id::none;
};

/// @brief State that an entry keeps of a step.
struct batch_step_record
{
    std::vector<batch_task_record> tasks;
    std::vector<std::uint32_t> waiting; ///< indices of tasks to start; the last one is started next
    std::uint32_t done = 0;             ///< number of done tasks
    /// Sum of the run times of the done tasks. A task on a slow target counts with the mean of the
    /// tasks done before it, or with its expected run time if it is the first.
    duration totalRunTime{};

    /// @brief Mean run time of the done tasks, or `defaultTime` while no task is done.
    [[nodiscard]] duration meanRunTime(duration defaultTime) const
    {
        return done > 0 ? totalRunTime / done : defaultTime;
    }
};

/// @brief Length of the job's critical path: the longest sum of declared run times over a chain of
///        dependent steps. Zero for a job without steps.
/// @throws std::out_of_range When a step depends on itself, a later step or an unknown step.
[[nodiscard]] duration criticalPathLength(const batch_submission &job);

/// @brief Response-time objective of a job: `criticalPath * route.stretch + route.objectiveOffset`.
/// @param criticalPath Length of the job's critical path.
[[nodiscard]] duration responseObjective(duration criticalPath, const dispatch_route &route);

} // namespace bamboohead
