#pragma once

#include "bamboohead/detail/load/report.hpp"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Submits planned jobs at their times through the callers' interface, without waiting for
///        earlier answers. Lost connections lead to a resubmission under the same id to the next
///        entry, as a caller would do.
class load_client
{
public:
    /// @brief Opens a session at each entry.
    /// @throw std::runtime_error when no entry grants a session.
    explicit load_client(std::vector<std::string> entries);
    ~load_client();
    load_client(const load_client &) = delete;
    load_client &operator=(const load_client &) = delete;

    /// @brief Submits all jobs and waits for all answers.
    [[nodiscard]] std::vector<detail::job_measurement>
    run(const detail::job_mix &mix, const std::vector<detail::planned_job> &jobs,
        std::chrono::steady_clock::time_point start);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
