#pragma once

#include "bamboohead/detail/load/report.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Submits planned jobs at their times over the HTTP interface for callers, without waiting
///        for earlier answers. As a caller would do, it resubmits a job with the same id to the
///        next entry after a lost connection.
class load_client
{
public:
    /// @brief Opens a session, in which job ids are numbered, at each entry.
    /// @throw std::runtime_error when no entry opens a session.
    explicit load_client(std::vector<std::string> entries);
    ~load_client();
    load_client(const load_client &) = delete;
    load_client &operator=(const load_client &) = delete;

    /// @brief Submits all jobs and waits for all answers.
    /// @param start Time from which arrival times are counted.
    /// @return One measurement for each job, in the same order.
    [[nodiscard]] std::vector<detail::job_measurement>
    run(const detail::job_mix &mix, const std::vector<detail::planned_job> &jobs,
        std::chrono::steady_clock::time_point start);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
