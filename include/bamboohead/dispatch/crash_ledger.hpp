#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/run_ref.hpp"
#include "bamboohead/types.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bamboohead {

/// @brief Identifies a crash of a target.
struct target_crash
{
    incarnation_id agent{};   ///< agent of the target
    std::uint64_t number = 0; ///< number that the agent has given the crash

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const target_crash &) const = default;
};

/// @brief Time limits and size of a crash_ledger.
struct crash_ledger_limits
{
    /// Number of crashes under a task after which the task is given up.
    std::size_t maxCrashes = 2;
    /// Time after the newest crash or loss of a task after which the task is forgotten. Longer than
    /// callers repeat a job.
    duration retention = std::chrono::seconds{60};
    /// Time without starts of a task that has lost two runs, from the newest loss on. A target that
    /// crashes reports its next lifetime about 3.3 s later, so by then a crash is known as one.
    duration proofTime = std::chrono::seconds{4};
    std::size_t maxTasks = 4'096; ///< the tasks with the oldest crashes and losses are forgotten
};

/// @brief Record of the tasks under which targets have crashed, or may have crashed.
///
/// A target that does not respond may only be cut off, so a run that is lost with it is no proof of
/// a crash; a new lifetime of the target is. A task under which a target has crashed, or may have,
/// is a suspect. A task under which `maxCrashes` targets have crashed is given up.
class crash_ledger
{
public:
    explicit crash_ledger(crash_ledger_limits limits = {})
        : m_limits{limits}
    {}

    /// @brief Records the loss of a run whose target may have crashed.
    void recordLoss(const batch_task &task, time_point now);
    /// @brief Records that a target has crashed under a run of the task. Repeated records of a
    ///        crash count once.
    /// @return Whether the task is given up because of this crash.
    bool recordCrash(const batch_task &task, const target_crash &crash, time_point now);
    /// @brief Removes a task, since a run of it has succeeded.
    void remove(const batch_task &task);
    /// @brief Removes the tasks whose retention has passed.
    void removeExpired(time_point now);

    /// @brief Number of crashes under the task.
    [[nodiscard]] std::size_t crashes(const batch_task &task) const;
    [[nodiscard]] bool suspect(const batch_task &task) const { return m_tasks.contains(task); }
    /// @brief Whether any task of the job is given up.
    [[nodiscard]] bool givenUp(batch_job_id job) const;
    /// @brief Earliest time of the next start of the task; the default value if it may start at
    ///        once.
    [[nodiscard]] time_point earliestStart(const batch_task &task) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_tasks.size(); }

private:
    struct task_record
    {
        std::set<target_crash> crashes;
        std::size_t losses = 0;
        time_point newestLoss;
        time_point updated; ///< time of the newest crash or loss
    };

    task_record &update(const batch_task &task, time_point now);

    crash_ledger_limits m_limits;
    std::map<batch_task, task_record> m_tasks;
    std::set<std::pair<time_point, batch_task>> m_byTime; ///< by task_record::updated
};

} // namespace bamboohead
