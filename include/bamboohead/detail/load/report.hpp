#pragma once

#include "bamboohead/detail/load/ideal.hpp"
#include "bamboohead/detail/load/mix.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead::detail {

/// @brief Result of a job as received by its caller.
enum class job_result : std::uint8_t { complete, failed, refused };

/// @brief Result and times of a job as measured by its caller.
struct job_measurement
{
    job_result result = job_result::failed;
    std::string kind;    ///< error kind; empty when complete
    duration sent{};     ///< when the request was sent, after the start of the run
    duration answered{}; ///< when the answer arrived, after the start of the run
};

/// @brief Counters at one time, summed over the processes.
struct counter_sample
{
    duration at{};                                     ///< after the start of the run
    std::map<std::string, double, std::less<>> values; ///< by name of the counter
};

/// @brief Change of the state of a zone by an operator during the run.
struct zone_event
{
    duration at{}; ///< when the change was requested, after the start of the run
    /// When the zone command ended, after the start of the run: all live processes have the
    /// change in force, or the command has failed or reached its time limit.
    duration changeEnded{};
    std::string zone;
    bool out = false; ///< the zone was taken out of service; else it was returned to service
};

/// @brief Number of slots of one service in one zone.
struct zone_slots
{
    std::string service;
    std::string zone;
    std::uint32_t slots = 0;
};

/// @brief Parameters and measurements of a load run.
struct load_run
{
    job_mix mix;
    load_plan plan;
    std::vector<zone_slots> slots;
    std::vector<planned_job> jobs;
    std::vector<job_measurement> outcomes; ///< by job
    std::vector<counter_sample> samples;   ///< about one per second, from before the first arrival
    std::vector<zone_event> events;
};

/// @brief Number of slots of each service over all zones.
[[nodiscard]] service_slots totalSlots(const std::vector<zone_slots> &slots);

/// @brief Usable slots of a service over time: the slots in zones that are in service. At the start
///        of the run all zones are in service.
[[nodiscard]] std::vector<capacity_step> capacityOf(const load_run &run, std::string_view service);

/// @brief Percentile by the nearest-rank method.
/// @param fraction Part of the values that are at most the result, 0 to 1.
/// @return The percentile, or 0 if there are no values.
[[nodiscard]] duration percentile(std::vector<duration> values, double fraction);

/// @brief Reference times of the jobs of a run, which the measured times are compared with.
struct run_ideal
{
    ideal_order order = ideal_order::first_come; ///< the order with the lower mean response time
    std::vector<duration> queueEnds; ///< end of each job in `order`, after the start of the run
    std::vector<duration> otherEnds; ///< the same in the other order
    /// Response time of each job if the system were otherwise idle, see idleResponseTime().
    std::vector<duration> idleResponseTimes;
    /// Ends of the tasks in `order`, ascending within a service, one service after the other.
    std::vector<duration> taskEnds;
    std::vector<duration> taskWork; ///< run time of each task of `taskEnds`
};

/// @brief Replays the jobs of the run in both orders, one queue over all slots of a service.
[[nodiscard]] run_ideal idealOf(const load_run &run);

/// @brief Report of a run as JSON.
[[nodiscard]] boost::json::object makeReport(const load_run &run);

/// @brief Renders the main figures of a report as a plain text table.
[[nodiscard]] std::string reportTable(const boost::json::object &report);

} // namespace bamboohead::detail
