#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/manifest.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief A new job and the present state of its service, as input of the admission check.
struct admission_request
{
    std::string_view team;
    std::string_view service;
    std::uint32_t tasks = 0;
    duration deadline{};            ///< time left until the job's deadline
    std::uint32_t slots = 0;        ///< usable slots of the service, shared by all entries
    std::uint32_t waitingTasks = 0; ///< tasks of the service that wait at this entry
    std::uint32_t entries = 1;      ///< number of entries that share the slots; 0 counts as 1
    duration meanRunTime{};         ///< observed mean run time of the service's tasks; 0: not known
};

/// @brief Decides which jobs an entry accepts. Enforces the quotas of the teams over all entries
///        and refuses jobs at submission that are not expected to meet their deadline.
///
/// The usage of a team is its number of tasks in flight: tasks of accepted jobs that wait or run.
/// It is counted for this entry and, from their reports, for the other entries.
class admission
{
public:
    admission();
    ~admission();
    admission(admission &&) noexcept;

    /// @brief Applies the services, team weights and quotas of a new manifest. Before the first
    ///        call all jobs are refused with `unknown_service`.
    void configure(const manifest &manifest);

    /// @brief Checks a new job. Does not count it: an accepted job is counted by a call of
    ///        addUsage().
    /// @return Nothing when the job is accepted, else the reason of the refusal: `unknown_service`,
    ///         `unknown_team`, `no_target`, `quota_exceeded` or `overloaded`.
    [[nodiscard]] std::optional<error_kind> check(const admission_request &request, time_point now);

    /// @brief Adds `delta` tasks to the team's usage at this entry, which never falls below 0.
    void addUsage(std::string_view team, std::int64_t delta);

    /// @brief Records that a task of the service ended; the completion rate is measured from this.
    void taskEnded(std::string_view service, time_point now);

    /// @brief Sets the usage by team that another entry reported; replaces its earlier report.
    void setPeerUsage(incarnation_id peer, std::map<std::string, std::uint32_t, std::less<>> usage);
    /// @brief Drops the usage reported by an entry that has left or failed.
    void removePeer(incarnation_id peer);

    /// @brief Tasks in flight at this entry by team, for heartbeats; teams without any are omitted.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> usage() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
