#include "bamboohead/detail/load/report.hpp"

#include <boost/json/serialize.hpp>

#include <iomanip>
#include <sstream>

namespace bamboohead::detail {

namespace json = boost::json;

namespace {

constexpr int nameWidth = 20;
constexpr int valueWidth = 10;

void addResponseRow(std::ostream &out, std::string_view name, const json::object &response)
{
    for (const auto *const fraction : {"p50", "p99", "p99.9"}) {
        const auto &row = response.at(fraction).as_object();
        out << std::setw(nameWidth) << name << std::setw(valueWidth) << fraction;
        for (const auto *const key : {"ms", "queue_ideal_ms", "other_order_ms", "idle_ideal_ms",
                                      "over_queue_ideal", "over_idle_ideal"}) {
            out << std::setw(valueWidth) << row.at(key).to_number<double>();
        }
        out << "\n";
    }
}

void addTasksPerSecond(std::ostream &out, const json::array &rows)
{
    out << "tasks done by second (ideal):";
    for (const auto &value : rows) {
        const auto &row = value.as_object();
        out << " " << row.at("tasks_done").to_number<std::int64_t>() << "("
            << row.at("ideal_tasks_done").to_number<std::int64_t>() << ")";
        if (const auto *zones = row.if_contains("zones")) {
            out << "[" << zones->as_string().c_str() << "]";
        }
    }
    out << "\n";
}

} // namespace

std::string reportTable(const json::object &report)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2) << std::left;
    out << "load " << report.at("load").to_number<double>() << " of capacity, "
        << report.at("jobs").to_number<std::int64_t>()
        << " jobs; ideal queue: " << report.at("ideal_order").as_string().c_str() << "\n";
    out << std::setw(nameWidth) << "service";
    // "queue" and "other": the ideal queue in the order with the lower and the higher mean response
    // time; "idle": the job alone on all slots.
    for (const auto *const head : {"", "ms", "queue", "other", "idle", "/queue", "/idle"}) {
        out << std::setw(valueWidth) << head;
    }
    out << "\n";
    addResponseRow(out, "all", report.at("response").as_object());
    for (const auto &[service, row] : report.at("services").as_object()) {
        addResponseRow(out, service, row.as_object());
    }
    for (const auto *const key : {"goodput", "failures", "refusals", "false_refusals", "messages",
                                  "noise", "zone_window"}) {
        out << key << ": " << json::serialize(report.at(key)) << "\n";
    }
    addTasksPerSecond(out, report.at("seconds").as_array());
    return out.str();
}

} // namespace bamboohead::detail
