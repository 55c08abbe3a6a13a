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

/// @brief A job with tasks that wait for their start.
struct ready_job
{
    job_id id;
    std::string team;
    std::string service;
    std::uint32_t waitingTasks = 0;
    time_point submitted;
    time_point deadline;
};

/// @brief Waiting tasks of one service.
struct service_backlog
{
    std::string service;
    std::uint32_t waitingTasks = 0;
    duration oldestAge{};
    /// How far the job that is served next precedes a job of no work submitted 4 s from now: its
    /// age, less for more remaining work. Compares the backlogs of several queues.
    duration precedence{};
};

/// @brief Order in which jobs start their waiting tasks.
///
/// Fair over services and teams by the manifest's weights; in a team the job with the smallest
/// estimated remaining work first, with ageing: a job is overtaken only by jobs of its team that
/// were submitted less than 4 s after it.
/// Estimates come from observed run times; declared ones are often far off.
class ready_queue
{
public:
    ready_queue();
    ~ready_queue();
    ready_queue(ready_queue &&) noexcept;

    /// @brief Takes the weights of a new manifest.
    void configure(const manifest &manifest);
    void add(const ready_job &job);
    void remove(const job_id &id);

    /// @brief One task of the job was refused before its start and waits again; adds the job, with
    ///        this task only, when it is not held.
    void taskReturned(const ready_job &job);

    /// @brief Feeds the run time of a finished task into the estimate of its service.
    void observe(std::string_view service, duration runTime);

    /// @brief Chooses the job of `service` whose next task starts, and counts one task of it as
    ///        started.
    /// @return The job, or nothing when none waits.
    [[nodiscard]] std::optional<job_id> pop(std::string_view service, time_point now);

    /// @brief Estimated mean run time of a task of the service.
    [[nodiscard]] duration estimate(std::string_view service) const;
    [[nodiscard]] std::vector<service_backlog> backlog(time_point now) const;
    [[nodiscard]] std::uint32_t waiting(std::string_view service) const;
    [[nodiscard]] bool empty() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
