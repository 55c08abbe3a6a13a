#pragma once

#include "bamboohead/detail/entry/job_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace bamboohead::detail {

/// @brief State of a home whose primary is this entry.
///
/// A home is the pair of entries that owns the jobs of a set of sessions. The primary runs the
/// jobs; the backup stores a record of each and resumes them when the primary fails. The scope is
/// the set of agents that the backup would fence in a takeover, so that they reject further orders
/// of the primary. The primary orders tasks only from agents whose addition the backup has
/// acknowledged.
///
/// A close is the message that reports a job's answer to the backup.
struct primary_home
{
    struct scope_agent
    {
        std::string endpoint;
        std::uint64_t addedVersion = 0; ///< scope version that added the agent
        /// @brief Set if and only if the agent is considered failed: `homeSequence` of the last job
        ///        for which it may have run tasks.
        std::optional<std::uint64_t> lastJob;
        /// @brief Sequence number of the last close that the backup has to acknowledge before the
        ///        agent is removed from the scope. Set when the jobs up to `lastJob` have ended.
        std::optional<std::uint64_t> removeAfter;
    };

    job_home home;
    std::uint64_t sessions = 0; ///< number of sessions opened
    std::uint64_t scopeVersion = 0;
    std::uint64_t ackedVersion = 0; ///< newest scope version that the backup has acknowledged
    time_point scopeSent;
    time_point lastUsed;                     ///< when a session was last opened
    std::optional<time_point> ackTimedOutAt; ///< when a record was last not acknowledged in time
    std::optional<time_point> unschedulableSince; ///< set while no task of the home can start
    std::uint64_t lastJob = 0;                    ///< `homeSequence` of the newest job
    std::uint64_t lastClose = 0;                  ///< `closeSequence` of the newest close
    /// @brief A close expired without acknowledgement, so the backup may still hold the record.
    bool closeExpired = false;
    bool jobUnrecorded = false; ///< a job was accepted without sending its record to the backup
    std::size_t pendingRemovals = 0; ///< agents of the scope that are considered failed
    boost::unordered_flat_map<incarnation_id, scope_agent> scope;
    home_jobs jobs;
    home_closes closes; ///< jobs with an unacknowledged close, by closeSequence

    [[nodiscard]] bool hasBackup() const noexcept { return home.backup != incarnation_id::none; }

    /// @brief Whether all jobs have ended and the backup has acknowledged all their outcomes.
    [[nodiscard]] bool allOutcomesReplicated() const
    {
        return jobs.empty() && closes.empty() && !closeExpired && !jobUnrecorded;
    }

    /// @brief Whether tasks may be ordered from this agent, since the backup would fence it in a
    ///        takeover (docs/design.md, 2.1, rule 3). Always true without a backup.
    [[nodiscard]] bool usable(incarnation_id agent) const
    {
        if (!hasBackup()) {
            return true;
        }
        const auto found = scope.find(agent);
        return found != scope.end() && usable(found->second);
    }

    [[nodiscard]] bool usable(const scope_agent &agent) const
    {
        return !agent.lastJob && agent.addedVersion <= ackedVersion;
    }

    [[nodiscard]] bool anyUsable() const
    {
        return std::ranges::any_of(scope, [this](const auto &item) { return usable(item.second); });
    }
};

/// @brief State of a home at its backup.
enum class takeover_phase : std::uint8_t {
    standby, ///< the primary owns the home
    fencing, ///< taking over: the agents of the scope are being fenced
    taken    ///< the backup owns the home
};

/// @brief State of a home whose backup is this entry.
struct backup_home
{
    job_home home;
    takeover_phase phase = takeover_phase::standby;
    std::uint64_t scopeVersion = 0;
    std::map<incarnation_id, std::string> scope; ///< endpoint by agent
    std::unordered_set<incarnation_id> reported; ///< fenced agents, which have sent a fence report
    time_point fenceStarted;
    time_point fenceSent;
    time_point primaryNotified; ///< when the primary was last notified of the takeover
    time_point lastUsed;        ///< when a message of the primary about the home last arrived
    home_jobs jobs;

    /// @brief Whether tasks may be ordered from the agent, which accepts orders of the backup only
    ///        after it was fenced.
    [[nodiscard]] bool usable(incarnation_id agent) const
    {
        return phase == takeover_phase::taken && reported.contains(agent);
    }
};

/// @brief Homes of this entry by its role in them. References to the stored homes stay valid.
struct home_table
{
    std::unordered_map<job_home, primary_home> primary;
    /// @brief Former homes of this entry as primary, which their backup has taken over. Agents that
    ///        are fenced for such a home accept no orders of this entry for it.
    std::unordered_set<job_home> fenced;
    std::unordered_map<job_home, backup_home> backup;

    [[nodiscard]] primary_home *findPrimary(const job_home &home)
    {
        const auto found = primary.find(home);
        return found == primary.end() ? nullptr : &found->second;
    }

    [[nodiscard]] backup_home *findBackup(const job_home &home)
    {
        const auto found = backup.find(home);
        return found == backup.end() ? nullptr : &found->second;
    }

    /// @brief Whether a takeover of the home by this entry, as backup, has begun or is complete.
    [[nodiscard]] bool takenOver(const job_home &home)
    {
        const auto *found = findBackup(home);
        return found != nullptr && found->phase != takeover_phase::standby;
    }
};

} // namespace bamboohead::detail
