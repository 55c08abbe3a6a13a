#pragma once

#include "bamboohead/detail/load/ideal.hpp"
#include "bamboohead/detail/load/mix.hpp"

#include <boost/json/object.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead::detail {

/// @brief How a job ended, as its caller saw it.
enum class job_result : std::uint8_t { complete, failed, refused };

/// @brief What a caller saw of a job.
struct job_outcome
{
    job_result result = job_result::failed;
    std::string kind;    ///< error kind; empty when complete
    duration sent{};     ///< when the request was sent, after the start of the run
    duration answered{}; ///< when the answer arrived, after the start of the run
};

/// @brief Sums of the processes' counters by name at one moment.
struct counter_sample
{
    duration at{};
    std::map<std::string, double, std::less<>> values;
};

/// @brief An operator's change of a zone during the run.
struct zone_event
{
    duration at{};       ///< when the change was asked for
    duration accepted{}; ///< when the command returned
    std::string zone;
    bool out = false;
};

/// @brief Slots of one service in one zone.
struct zone_slots
{
    std::string service;
    std::string zone;
    std::uint32_t slots = 0;
};

/// @brief All that a run has measured.
struct load_run
{
    job_mix mix;
    load_plan plan;
    std::vector<zone_slots> slots;
    std::vector<planned_job> jobs;
    std::vector<job_outcome> outcomes;   ///< by job
    std::vector<counter_sample> samples; ///< about one a second; the first before the first arrival
    std::vector<zone_event> events;
};

/// @brief Slots of each service, over all zones.
[[nodiscard]] service_slots totalSlots(const std::vector<zone_slots> &slots);

/// @brief Usable slots of a service over time.
[[nodiscard]] std::vector<capacity_step> capacityOf(const load_run &run, std::string_view service);

/// @brief Value that a fraction of the values does not exceed (nearest rank).
/// @return 0 for no values.
[[nodiscard]] duration percentile(std::vector<duration> values, double fraction);

/// @brief The ideal of each job of a run.
struct run_ideal
{
    ideal_order order = ideal_order::first_come; ///< the one with the lower mean response
    std::vector<duration> queueEnds;             ///< by job, after the start of the run
    std::vector<duration> otherEnds;             ///< by job, of the order that is not used
    std::vector<duration> idleTimes;             ///< by job
    std::vector<duration> taskEnds;              ///< of all services
    std::vector<duration> taskWork;              ///< run time of each task of `taskEnds`
};

/// @brief Replays the run, one queue over all slots of each service.
[[nodiscard]] run_ideal idealOf(const load_run &run);

/// @brief Report of a run as JSON.
[[nodiscard]] boost::json::object makeReport(const load_run &run);

/// @brief The main figures of a report as text for people.
[[nodiscard]] std::string reportTable(const boost::json::object &report);

} // namespace bamboohead::detail
