#pragma once

#include "bamboohead/manifest.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief A job with tasks that wait to be started.
struct ready_job
{
    job_id id;
    std::string team;
    std::string service;
    std::uint32_t waitingTasks = 0;
    time_point submitted;
    time_point deadline; ///< not used by the queue
};

/// @brief Summary of the waiting tasks of one service.
struct service_backlog
{
    std::string service;
    std::uint32_t waitingTasks = 0;
    duration oldestAge{}; ///< time since the submission of the oldest job with waiting tasks
    /// Urgency of the job that is served next, by which the backlogs of several queues are
    /// compared: 4 s plus the time since the job's submission, minus a delay of less than 4 s that
    /// grows with the remaining work; never negative.
    duration precedence{};
};

/// @brief Determines the order in which the waiting tasks of jobs start.
///
/// Teams share a service by the weights of the manifest. Within a team, the job with the smallest
/// estimated remaining work is first, with ageing against starvation: a job is overtaken only by
/// jobs of its team that were submitted less than 4 s after it. The estimates come from observed
/// run times. Jobs do not declare run times here, since declared ones are often far off.
class ready_queue
{
public:
    ready_queue();
    ~ready_queue();
    ready_queue(ready_queue &&) noexcept;

    /// @brief Applies the team weights of a new manifest.
    void configure(const manifest &manifest);

    /// @brief Adds a job, or replaces the job with the same id. A job without waiting tasks is not
    ///        held.
    void add(const ready_job &job);

    /// @brief Removes a job with its waiting tasks, if it is held.
    void remove(const job_id &id);

    /// @brief Puts back one task that was refused before its start, and takes back the charge of
    ///        one task from the share of the job's team, at the present run time estimate and
    ///        weight. Adds the job, with this task only, if it is not held.
    void taskReturned(const ready_job &job);

    /// @brief Updates the run time estimate of the service with the run time of a finished task.
    void observe(std::string_view service, duration runTime);

    /// @brief Chooses the job of `service` whose task starts next, and removes one of its waiting
    ///        tasks.
    /// @param now Not used.
    /// @return The job, or nothing when no task of the service waits.
    [[nodiscard]] std::optional<job_id> pop(std::string_view service, time_point now);

    /// @brief Estimated mean run time of a task of the service; 200 ms before any observation.
    [[nodiscard]] duration estimate(std::string_view service) const;

    /// @brief Backlog of each service that has waiting tasks.
    [[nodiscard]] std::vector<service_backlog> backlog(time_point now) const;

    /// @brief Number of waiting tasks of the service.
    [[nodiscard]] std::uint32_t waiting(std::string_view service) const;
    [[nodiscard]] bool empty() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
