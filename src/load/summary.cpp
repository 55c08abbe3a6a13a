#include "bamboohead/detail/load/summary.hpp"

#include <boost/json/array.hpp>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace bamboohead::detail {

namespace json = boost::json;

namespace {

// Performance goals, as stated in docs/design.md.
constexpr double maxResponseOverIdeal = 1.12; ///< p99 response time relative to the ideal queue
constexpr double minOverloadGoodput = 0.95;   ///< goodput at 130% load relative to that at 100%
constexpr double minZoneWork = 0.98; ///< work done during zone changes relative to the ideal queue
constexpr double maxMessagesPerTask = 3;   ///< messages per task
constexpr double maxWastedFraction = 0.01; ///< fraction of the messages that are counted as wasted

constexpr double loadOfResponseGoal = 0.8;
constexpr double loadOfCapacity = 1.0;
constexpr double loadOfOverload = 1.3;

/// Number at a path of nested objects.
double number(const json::value &value, std::initializer_list<std::string_view> path)
{
    const auto *at = &value;
    for (const auto key : path) {
        at = &at->as_object().at(key);
    }
    return at->to_number<double>();
}

/// Text value in the report's notes; empty if missing.
std::string noteText(const json::object &report, std::string_view key)
{
    const auto *const notes = report.if_contains("notes");
    const auto *const value = notes == nullptr ? nullptr : notes->as_object().if_contains(key);
    return value == nullptr ? "" : std::string{value->as_string()};
}

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

/// Lists the non-zero counts, for example "overloaded 2, stopping 1"; "none" for an empty list.
std::string nonZeroCounts(const json::value &value)
{
    std::string result;
    for (const auto &[kind, count] : value.as_object()) {
        const auto number = count.to_number<std::int64_t>();
        if (number != 0) {
            result +=
                    (result.empty() ? "" : ", ") + std::string{kind} + " " + std::to_string(number);
        }
    }
    return result.empty() ? "none" : result;
}

bool hasLoad(const json::object &report, double load)
{
    constexpr double tolerance = 0.001;
    return std::abs(number(report, {"load"}) - load) < tolerance;
}

void addResponses(std::ostream &out, const std::vector<json::object> &reports)
{
    out << "| scenario | policy | load | jobs | p50 ms | p99 ms | p99.9 ms | p50 / queue | "
           "p99 / queue | p99.9 / queue | p50 / idle | p99 / idle | machine |\n"
           "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &report : reports) {
        out << "| " << noteText(report, "scenario") << " | " << noteText(report, "policy") << " | "
            << fixed(number(report, {"load"}), 2) << " | " << fixed(number(report, {"jobs"}), 0);
        for (const auto *const quantile : {"p50", "p99", "p99.9"}) {
            out << " | " << fixed(number(report, {"response", quantile, "ms"}), 0);
        }
        for (const auto *const quantile : {"p50", "p99", "p99.9"}) {
            out << " | " << fixed(number(report, {"response", quantile, "over_queue_ideal"}), 2);
        }
        for (const auto *const quantile : {"p50", "p99"}) {
            out << " | " << fixed(number(report, {"response", quantile, "over_idle_ideal"}), 2);
        }
        const auto &machine = report.at("machine").as_object();
        out << " | " << machine.at("load_average_before").as_string().c_str() << "-"
            << machine.at("load_average_after").as_string().c_str() << " |\n";
    }
}

void addOutcomes(std::ostream &out, const std::vector<json::object> &reports)
{
    out << "| scenario | policy | in time/s | work in time | slots used | failures | refusals | "
           "false refusals | messages/task | wasted % | wasted by kind | run time x | late p99 ms |"
           "\n|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (const auto &report : reports) {
        out << "| " << noteText(report, "scenario") << " | " << noteText(report, "policy") << " | "
            << fixed(number(report, {"goodput", "jobs_per_s"}), 1) << " | "
            << fixed(number(report, {"goodput", "work_part"}), 3) << " | "
            << fixed(number(report, {"goodput", "slot_use"}), 3) << " | "
            << nonZeroCounts(report.at("failures")) << " | " << nonZeroCounts(report.at("refusals"))
            << " | " << fixed(number(report, {"false_refusals"}), 0) << " | "
            << fixed(number(report, {"messages", "per_task"}), 2) << " | "
            << fixed(number(report, {"messages", "wasted_part"}) * 100, 2) << " | "
            << nonZeroCounts(report.at("messages").as_object().at("wasted")) << " | "
            << fixed(number(report, {"noise", "mean_run_time_over_planned"}), 3) << " | "
            << fixed(number(report, {"noise", "sent_late_p99_ms"}), 1) << " |\n";
    }
}

void addTasksPerSecond(std::ostream &out, const std::vector<json::object> &reports)
{
    for (const auto &report : reports) {
        if (!report.at("zone_window").is_object()) {
            continue;
        }
        out << "\n"
            << noteText(report, "scenario") << ", " << noteText(report, "policy")
            << ": tasks done (ideal) second by second:\n\n";
        for (const auto &value : report.at("seconds").as_array()) {
            const auto &row = value.as_object();
            out << fixed(row.at("tasks_done").to_number<double>(), 0) << " ("
                << fixed(row.at("ideal_tasks_done").to_number<double>(), 0) << ")";
            if (const auto *zones = row.if_contains("zones")) {
                out << " **" << zones->as_string().c_str() << "**";
            }
            out << (&value == &report.at("seconds").as_array().back() ? "\n" : ", ");
        }
    }
}

/// Collects the rows of the comparison with the goals.
class goal_table
{
public:
    void atMost(const json::object &report, std::string_view goal, double limit, double value)
    {
        add(report, goal, "at most", limit, value, value <= limit);
    }
    void atLeast(const json::object &report, std::string_view goal, double limit, double value)
    {
        add(report, goal, "at least", limit, value, value >= limit);
    }
    [[nodiscard]] std::string rows() const { return m_rows.str(); }

private:
    void add(const json::object &report, std::string_view goal, std::string_view relation,
             double limit, double value, bool met)
    {
        constexpr int digits = 4;
        m_rows << "| " << noteText(report, "scenario") << " | " << goal << " | " << relation << " "
               << limit << " | " << fixed(value, digits) << " | " << (met ? "met" : "**missed**")
               << " |\n";
    }

    std::ostringstream m_rows;
};

void compareOverload(goal_table &goals, const std::vector<const json::object *> &reports)
{
    for (const auto *overload : reports) {
        const auto capacity = std::ranges::find_if(reports, [&](const json::object *other) {
            return hasLoad(*other, loadOfCapacity) && other->at("mix") == overload->at("mix");
        });
        if (!hasLoad(*overload, loadOfOverload) || capacity == reports.end()) {
            continue;
        }
        const auto base = number(**capacity, {"goodput", "slot_use"});
        goals.atLeast(*overload, "goodput at 130% over that at 100% (work)", minOverloadGoodput,
                      base > 0 ? number(*overload, {"goodput", "slot_use"}) / base : 0);
    }
}

void addGoals(std::ostream &out, const std::vector<json::object> &reports)
{
    goal_table goals;
    std::vector<const json::object *> creditReports;
    for (const auto &report : reports) {
        if (noteText(report, "policy") == "credits") {
            creditReports.push_back(&report);
        }
    }
    for (const auto *report : creditReports) {
        const bool withoutFault = noteText(*report, "fault").empty();
        if (withoutFault && hasLoad(*report, loadOfResponseGoal)) {
            goals.atMost(*report, "p99 response over the ideal queue", maxResponseOverIdeal,
                         number(*report, {"response", "p99", "over_queue_ideal"}));
        }
        if (report->at("zone_window").is_object()) {
            goals.atLeast(*report, "work done through the zone's departure and return", minZoneWork,
                          number(*report, {"zone_window", "work_ratio"}));
            // The value is the number of error kinds with failed jobs, not of jobs: the goal is met
            // when no job failed.
            goals.atMost(*report, "jobs lost", 0,
                         static_cast<double>(report->at("failures").as_object().size()));
        }
        goals.atMost(*report, "messages a task", maxMessagesPerTask,
                     number(*report, {"messages", "per_task"}));
        goals.atMost(*report, "wasted part of the messages", maxWastedFraction,
                     number(*report, {"messages", "wasted_part"}));
    }
    compareOverload(goals, creditReports);
    out << "| scenario | goal | limit | measured | |\n|---|---|---|---|---|\n" << goals.rows();
}

} // namespace

std::string summaryPage(const std::vector<json::object> &reports)
{
    std::ostringstream out;
    out << "## Goals (policy credits)\n\n";
    addGoals(out, reports);
    out << "\n## Response time\n\n";
    addResponses(out, reports);
    out << "\n## Outcomes and messages\n\n";
    addOutcomes(out, reports);
    out << "\n## Through a zone's departure and return\n";
    addTasksPerSecond(out, reports);
    return out.str();
}

} // namespace bamboohead::detail
