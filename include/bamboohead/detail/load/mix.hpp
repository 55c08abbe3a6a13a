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

/// @brief Random number generator for all random choices of a load run.
using load_random = std::mt19937_64;

/// @brief Mixture of uniform distributions over integers.
class distribution
{
public:
    /// @brief Component of the mixture: integers from `min` to `max`, drawn with a probability
    ///        proportional to `share`.
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

/// @brief Jobs of one service and team whose sizes are drawn from the same distributions.
struct job_class
{
    std::string name;
    std::string service;
    std::string team;
    double share = 1;   ///< relative share among the jobs of its service
    distribution tasks; ///< tasks per job
    distribution runMs; ///< run time of a task in ms
    duration deadline{};
    bool idempotent = true;
};

/// @brief Periodic bursts with a higher arrival rate. The mean arrival rate is the same as without
///        bursts.
struct burst_pattern
{
    double factor = 1; ///< arrival rate in a burst divided by that outside; 1 means no bursts
    duration period = std::chrono::seconds{10}; ///< from the start of a burst to that of the next
    duration length = std::chrono::seconds{1};  ///< of a burst, at most `period`
};

/// @brief Job classes and burst pattern of a load run.
struct job_mix
{
    std::vector<job_class> classes;
    burst_pattern bursts;
};

/// @brief Parses a mix file (JSON with comments).
/// @throw std::exception when the text is not a valid mix. A value out of range is a
///        std::runtime_error that describes it; errors found by Boost.JSON (syntax, missing key,
///        wrong type) have other types and do not name the key.
[[nodiscard]] job_mix parseMix(std::string_view text);

/// @brief One job of the arrival schedule.
struct planned_job
{
    duration at{};                  ///< arrival after the start of the run
    std::size_t classIndex = 0;     ///< index in job_mix::classes
    std::vector<duration> runTimes; ///< one per task
};

/// @brief Number of slots by service.
using service_slots = std::map<std::string, std::uint32_t, std::less<>>;

/// @brief Parameters of the arrivals of a run.
struct load_plan
{
    double load = 0.8; ///< offered work divided by what the slots can do, for each service
    duration length = std::chrono::seconds{20};
    std::uint64_t seed = 1;
};

/// @brief Mean work of a job of the service: the sum of its run times in seconds.
[[nodiscard]] double meanWork(const job_mix &mix, std::string_view service);

/// @brief Draws the arrivals of a run. Each service has a Poisson process, at the rate that offers
///        `plan.load` times the work that the slots of the service can do. Equal arguments give
///        equal jobs.
/// @return Jobs in order of arrival.
/// @throw std::runtime_error when a service of the mix has no slots.
[[nodiscard]] std::vector<planned_job> planArrivals(const job_mix &mix, const service_slots &slots,
                                                    const load_plan &plan);

} // namespace bamboohead::detail
