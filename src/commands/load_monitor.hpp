#pragma once

#include "bamboohead/detail/load/report.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Samples the metrics of all processes. For a process that doesn't respond, the last values
///        are used again.
class load_monitor
{
public:
    load_monitor(const std::vector<std::string> &entries, const std::vector<std::string> &agents);

    /// @brief Reads all processes once and appends a sample with the sums over each role.
    /// @param start Time from which the time of the sample is counted.
    void sample(std::chrono::steady_clock::time_point start);

    /// @brief Returns all samples and removes them.
    [[nodiscard]] std::vector<detail::counter_sample> takeSamples() { return std::move(m_samples); }

private:
    struct process
    {
        std::string role;
        std::string address;
        std::map<std::string, double> values; ///< last values read, by metric
    };

    static void read(process &from);

    std::vector<process> m_processes;
    std::vector<detail::counter_sample> m_samples;
};

/// @brief Reads the slots of all agents, with service and zone, from the first entry that responds.
/// @throw std::runtime_error when no entry responds.
[[nodiscard]] std::vector<detail::zone_slots> readSlots(const std::vector<std::string> &entries);

} // namespace bamboohead
