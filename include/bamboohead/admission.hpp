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

/// @brief What admission needs to know of a new job and of the service at this moment.
struct admission_request
{
    std::string_view team;
    std::string_view service;
    std::uint32_t tasks = 0;
    duration deadline{};            ///< time left
    std::uint32_t slots = 0;        ///< usable slots of the service, over all entries
    std::uint32_t waitingTasks = 0; ///< waiting at this entry for the service
    std::uint32_t entries = 1;      ///< entries that share the slots
    duration meanRunTime{};         ///< observed mean of the service
};

/// @brief Decides which jobs an entry accepts: quotas of teams over all entries, and early
///        refusal of jobs that cannot end in time.
class admission
{
public:
    admission();
    ~admission();
    admission(admission &&) noexcept;

    void configure(const manifest &manifest);

    /// @brief Checks a new job.
    /// @return Nothing when the job is accepted, else the kind of the refusal.
    [[nodiscard]] std::optional<error_kind> check(const admission_request &request, time_point now);

    /// @brief Tasks of accepted, unfinished jobs at this entry change by `delta`.
    void usageChanged(std::string_view team, std::int64_t delta);

    /// @brief Completions of a service, for the observed rate.
    void taskEnded(std::string_view service, time_point now);

    /// @brief Usage that another entry reported; replaces its earlier report.
    void peerUsage(incarnation_id peer, std::map<std::string, std::uint32_t, std::less<>> usage);
    void peerGone(incarnation_id peer);

    /// @brief Usage of this entry by team, for heartbeats; teams without tasks are left out.
    [[nodiscard]] std::vector<std::pair<std::string, std::uint32_t>> usage() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
