#pragma once

#include "bamboohead/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead::detail {

/// @brief Source of all random choices of a load run.
using load_random = std::mt19937_64;

/// @brief Mixture of uniform distributions over whole numbers.
class distribution
{
public:
    /// @brief One part, chosen with a probability in proportion to its share.
    struct part
    {
        double share = 1;
        std::uint32_t min = 0;
        std::uint32_t max = 0;
    };

    distribution() = default;
    explicit distribution(std::vector<part> parts)
        : m_parts{std::move(parts)}
    {}

    [[nodiscard]] std::uint32_t draw(load_random &random) const;
    [[nodiscard]] double mean() const;

private:
    std::vector<part> m_parts;
};

/// @brief A class of jobs.
struct job_class
{
    std::string name;
    std::string service;
    std::string team;
    double share = 1; ///< of the jobs of its service
    distribution tasks;
    distribution runMs;
    duration deadline{};
    bool idempotent = true;
};

/// @brief Periods with a higher rate of arrivals; the mean rate is not changed by them.
struct burst_pattern
{
    double factor = 1; ///< rate in a burst over the rate outside of it
    duration period = std::chrono::seconds{10};
    duration length = std::chrono::seconds{1};
};

/// @brief Classes of jobs that a load run draws from.
struct job_mix
{
    std::vector<job_class> classes;
    burst_pattern bursts;
};

/// @brief Reads a mix file (JSON with comments).
/// @throw std::runtime_error naming the fault.
[[nodiscard]] job_mix parseMix(std::string_view text);

/// @brief One job of the schedule.
struct planned_job
{
    duration at{};                  ///< arrival after the start of the run
    std::size_t kind = 0;           ///< index among the mix's classes
    std::vector<duration> runTimes; ///< one a task
};

/// @brief Slots by service.
using service_slots = std::map<std::string, std::uint32_t, std::less<>>;

/// @brief What arrives during a run.
struct load_plan
{
    double load = 0.8; ///< work arriving over the work that the slots can do, for each service
    duration length = std::chrono::seconds{20};
    std::uint64_t seed = 1;
};

/// @brief Mean work of a job of the service, in seconds of one slot.
[[nodiscard]] double meanWork(const job_mix &mix, std::string_view service);

/// @brief Draws the arrivals: a Poisson process for each service, at the rate that makes its work
///        `plan.load` of what its slots can do. The same plan gives the same jobs.
/// @return Jobs by time of arrival.
/// @throw std::runtime_error when a service of the mix has no slots.
[[nodiscard]] std::vector<planned_job> planArrivals(const job_mix &mix, const service_slots &slots,
                                                    const load_plan &plan);

} // namespace bamboohead::detail
