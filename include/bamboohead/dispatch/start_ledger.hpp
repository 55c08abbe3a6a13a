#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/run_ref.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace bamboohead {

/// @brief Limits of a start_ledger.
struct start_ledger_limits
{
    /// Time from the first report of another target on the same VM until the runs of the earlier
    /// one have certainly ended: a target's longest lease of 1 s on a clock that is 2% slow, and 30
    /// ms.
    duration replacedTargetLease = std::chrono::milliseconds{1'050};
    std::size_t maxTasks = 16'384; ///< the tasks whose doubt ends first are forgotten
};

/// @brief Record of the tasks with a start in doubt: a start call that a target, or a later
/// lifetime
///        of it under the same id, may still execute.
///
/// Until the doubt has ended the task may start on that target only. The agent of the target calls
/// each lifetime, and stops the runs that it does not know, before it starts anything there, so the
/// late start and a new one do not execute at the same time.
class start_ledger
{
public:
    explicit start_ledger(start_ledger_limits limits = {})
        : m_limits{limits}
    {}

    /// @brief Records a start in doubt. One of a task that is known already, on the same target,
    ///        extends the doubt if it ends later. One on another target replaces it if it ends
    ///        later.
    /// @param until When the start can no longer be executed.
    /// @return Whether the task was not bound to the target before.
    bool record(const batch_task &task, std::string_view target, time_point until);
    /// @brief Ends the doubts about a target that was replaced by one with another id, after the
    ///        lease of its runs. Calls for the earlier id are refused from now on.
    void endDoubts(std::string_view replacedTarget, time_point now);
    /// @brief Removes the tasks whose doubt has ended.
    void removeExpired(time_point now);

    /// @brief Id of the only target on which the task may start; empty: any target.
    [[nodiscard]] std::string_view targetOf(const batch_task &task, time_point now) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_tasks.size(); }

private:
    struct start_in_doubt
    {
        std::string target;
        time_point until;
    };

    void setEnd(const batch_task &task, start_in_doubt &start, time_point until);

    start_ledger_limits m_limits;
    std::map<batch_task, start_in_doubt> m_tasks;
    std::set<std::pair<time_point, batch_task>> m_byEnd; ///< by start_in_doubt::until
};

} // namespace bamboohead
