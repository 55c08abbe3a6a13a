#pragma once

#include "bamboohead/detail/load/report.hpp"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Reads the counters of all processes; remembers the last values of those that have gone.
class load_monitor
{
public:
    load_monitor(const std::vector<std::string> &entries, const std::vector<std::string> &agents);

    /// @brief Reads all processes once and appends the sums to samples().
    void sample(std::chrono::steady_clock::time_point start);

    [[nodiscard]] std::vector<detail::counter_sample> takeSamples() { return std::move(m_samples); }

private:
    struct process
    {
        std::string role;
        std::string address;
        std::map<std::string, double> values; ///< newest
    };

    static void read(process &from);

    std::vector<process> m_processes;
    std::vector<detail::counter_sample> m_samples;
};

/// @brief Slots by service and zone that an entry knows.
/// @throw std::runtime_error when no entry answers.
[[nodiscard]] std::vector<detail::zone_slots> readSlots(const std::vector<std::string> &entries);

} // namespace bamboohead
