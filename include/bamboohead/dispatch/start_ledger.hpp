#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/run_ref.hpp"

#include <cstddef>
#include <map>
#include <optional>
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
    /// Time after which a start call without an answer is no longer executed, see
    /// dispatch_entry_limits::maxStartDelay. Longer times in messages are not believed.
    duration maxStartDelay = std::chrono::seconds{60};
    std::size_t maxStarts = 16'384; ///< the starts whose doubt ends first are forgotten
};

/// @brief Record of the starts in doubt: start calls that a target, or a later lifetime of it under
///        the same id, may still execute.
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

    /// @brief Records a start in doubt. A repeated record extends the doubt if it ends later.
    /// @param endpoint Endpoint of the agent of the target.
    /// @param until When the start can no longer be executed.
    /// @return Whether the task was not bound to the target before.
    bool record(const batch_task &task, std::string_view target, std::string_view endpoint,
                time_point until, time_point now);
    /// @brief Ends the doubts about other targets of a VM than the one that its agent has cleared,
    ///        after the lease of their runs. That one refuses calls for another id.
    void endDoubts(std::string_view endpoint, std::string_view clearedTarget, time_point now);
    /// @brief Removes the starts whose doubt has ended.
    void removeExpired(time_point now);

    /// @brief Id of the only target on which the task may start. Nothing: any target. Empty: none,
    ///        since several targets may execute a start.
    [[nodiscard]] std::optional<std::string_view> targetOf(const batch_task &task,
                                                           time_point now) const;
    /// @brief End of the doubt about a start of the task on the target; none is recorded: the
    ///        default value.
    [[nodiscard]] time_point doubtEnd(const batch_task &task, std::string_view target) const;
    [[nodiscard]] std::size_t size() const noexcept { return m_starts.size(); }

private:
    using start_key = std::pair<batch_task, std::string>; ///< task and id of the target

    struct start_record
    {
        std::string endpoint;
        time_point until;
    };

    using start_map = std::map<start_key, start_record>;

    void setEnd(start_map::iterator start, time_point until);
    void remove(start_map::iterator start);

    start_ledger_limits m_limits;
    start_map m_starts;
    std::set<std::pair<time_point, start_key>> m_byEnd; ///< by start_record::until
    std::map<std::string, std::set<start_key>, std::less<>> m_byEndpoint;
};

} // namespace bamboohead
