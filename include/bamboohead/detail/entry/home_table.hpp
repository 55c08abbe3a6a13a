#pragma once

#include "bamboohead/detail/entry/job_record.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>
#include <unordered_set>

namespace bamboohead::detail {

/// @brief A home whose primary is this entry.
struct primary_home
{
    struct member
    {
        std::string endpoint;
        std::uint64_t since = 0;                  ///< scope version that added the agent
        std::optional<std::uint64_t> lastJob;     ///< held dead; the last job it may have run for
        std::optional<std::uint64_t> removeAfter; ///< the last close of these jobs
    };

    job_home home;
    std::uint64_t sessions = 0;
    std::uint64_t scopeVersion = 0;
    std::uint64_t ackedVersion = 0;
    time_point scopeSent;
    time_point lastUsed;                       ///< when a session was opened
    std::optional<time_point> unansweredSince; ///< the backup left a record unanswered
    std::optional<time_point> strandedSince;   ///< no task can start in this home
    std::uint64_t lastJob = 0;
    std::uint64_t lastClose = 0;
    bool closeLost = false; ///< a close was given up; the backup may hold the job's record for long
    bool jobUnrecorded = false; ///< a job ran of which the backup was told nothing
    std::size_t removals = 0;   ///< members that are held dead
    boost::unordered_flat_map<incarnation_id, member> scope;
    home_jobs jobs;
    home_closes closes; ///< unacknowledged closes by closeOrder

    [[nodiscard]] bool hasBackup() const noexcept { return home.backup != incarnation_id::none; }

    /// @brief Whether the backup knows how every job of the home ended.
    [[nodiscard]] bool allEndsKnown() const
    {
        return jobs.empty() && closes.empty() && !closeLost && !jobUnrecorded;
    }

    /// @brief Whether the backup would fence this agent (design 2.1, rule 3).
    [[nodiscard]] bool usable(incarnation_id agent) const
    {
        if (!hasBackup()) {
            return true;
        }
        const auto found = scope.find(agent);
        return found != scope.end() && usable(found->second);
    }

    [[nodiscard]] bool usable(const member &agent) const
    {
        return !agent.lastJob && agent.since <= ackedVersion;
    }

    [[nodiscard]] bool anyUsable() const
    {
        return std::ranges::any_of(scope, [this](const auto &held) { return usable(held.second); });
    }
};

enum class takeover_phase : std::uint8_t { standby, fencing, taken };

/// @brief A home whose backup is this entry.
struct backup_home
{
    job_home home;
    takeover_phase phase = takeover_phase::standby;
    std::uint64_t scopeVersion = 0;
    std::map<incarnation_id, std::string> scope; ///< endpoint by agent
    std::unordered_set<incarnation_id> reported;
    time_point fenceStarted;
    time_point fenceSent;
    time_point primaryTold;
    time_point lastUsed; ///< when a session of the home was last recorded
    home_jobs jobs;

    /// @brief An agent takes the backup's orders only once it is fenced.
    [[nodiscard]] bool usable(incarnation_id agent) const
    {
        return phase == takeover_phase::taken && reported.contains(agent);
    }
};

/// @brief Homes of this entry by its part in them. Entries are never moved.
struct home_table
{
    std::unordered_map<job_home, primary_home> primary;
    std::unordered_set<job_home> fenced; ///< own homes that their backup took over
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

    /// @brief Whether this entry, the backup, has taken the home over or does so now.
    [[nodiscard]] bool takenOver(const job_home &home)
    {
        const auto *found = findBackup(home);
        return found != nullptr && found->phase != takeover_phase::standby;
    }
};

} // namespace bamboohead::detail
