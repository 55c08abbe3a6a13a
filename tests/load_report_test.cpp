#include "bamboohead/detail/load/report.hpp"
#include "bamboohead/detail/load/summary.hpp"

#include <doctest/doctest.h>

#include <cmath>

using namespace bamboohead;
using namespace bamboohead::detail;
using namespace std::chrono_literals;

namespace {

constexpr const char *mixText = R"({"classes": [ // comment
    {"name": "a", "service": "s", "team": "t", "share": 3, "deadline_ms": 500, "idempotent": true,
     "tasks": {"min": 1, "max": 3}, "run_ms": [{"share": 3, "min": 50, "max": 150},
                                               {"share": 1, "min": 1000, "max": 1400}]},
    {"name": "b", "service": "s", "team": "t", "share": 1, "deadline_ms": 900, "idempotent": false,
     "tasks": {"min": 4, "max": 4}, "run_ms": {"min": 100, "max": 100}}]})";

/// A run on two slots in two zones. One job is complete in time, one is complete too late, one
/// failed and two are refused; the ideal queue (load/ideal.hpp) would have met the deadline of the
/// first refused job only, not that of the second.
load_run sampleRun()
{
    load_run run;
    run.mix = parseMix(mixText);
    run.plan.length = 2s;
    run.slots = {{"s", "x", 1}, {"s", "y", 1}};
    run.jobs = {{0ms, 0, {100ms, 100ms}},
                {100ms, 0, {100ms}},
                {200ms, 0, {100ms}},
                {400ms, 0, {200ms}},
                {600ms, 0, {600ms}}};
    run.outcomes = {{job_result::complete, "", 0ms, 150ms},
                    {job_result::complete, "", 101ms, 700ms},
                    {job_result::failed, "outcome_unknown", 200ms, 210ms},
                    {job_result::refused, "overloaded", 400ms, 401ms},
                    {job_result::refused, "overloaded", 600ms, 601ms}};
    counter_sample before;
    before.values = {{"entry.bamboohead_messages_sent_total", 100},
                     {"agent.bamboohead_messages_sent_total", 50}};
    counter_sample after;
    after.at = 2s;
    after.values = {{"entry.bamboohead_messages_sent_total", 104},
                    {"agent.bamboohead_messages_sent_total", 56},
                    {"entry.bamboohead_orders_refused_total", 1},
                    {"agent.bamboohead_task_run_seconds_count", 4},
                    {"agent.bamboohead_task_run_seconds_sum", 0.5},
                    {"agent.bamboohead_tasks_finished_total", 4}};
    run.samples = {before, after};
    return run;
}

} // namespace

TEST_CASE("a percentile is the value of the nearest rank")
{
    // Guards against interpolation and off-by-one ranks, which would hide the slowest jobs.
    std::vector<duration> values;
    for (int i = 100; i >= 1; --i) {
        values.emplace_back(i);
    }
    CHECK(percentile(values, 0.5) == 50us);
    CHECK(percentile(values, 0.99) == 99us);
    CHECK(percentile(values, 0.999) == 100us);
    CHECK(percentile({}, 0.5) == 0us);
}

TEST_CASE("arrivals offer the configured part of the capacity and are reproducible by their seed")
{
    // Guards against a load that differs from the configured one, which would distort all figures.
    const auto mix = parseMix(mixText);
    const auto perJob = 0.75 * 2 * (0.75 * 0.1 + 0.25 * 1.2) + 0.25 * 4 * 0.1;
    CHECK(meanWork(mix, "s") == doctest::Approx(perJob));
    load_plan plan{0.8, std::chrono::seconds{1000}, 7};
    const service_slots slots{{"s", 40}};
    const auto jobs = planArrivals(mix, slots, plan);
    double work = 0;
    for (const auto &job : jobs) {
        for (const auto runTime : job.runTimes) {
            work += std::chrono::duration<double>{runTime}.count();
        }
    }
    CHECK(work / (1000 * 40) == doctest::Approx(0.8).epsilon(0.02));
    CHECK(planArrivals(mix, slots, plan).back().at == jobs.back().at);
    plan.seed = 8;
    CHECK(planArrivals(mix, slots, plan).back().at != jobs.back().at);
    CHECK_THROWS_AS((void)planArrivals(mix, {}, plan), std::runtime_error);
}

TEST_CASE("bursts concentrate the arrivals and preserve the mean rate")
{
    // Guards against bursts that increase the offered load.
    auto mix = parseMix(mixText);
    mix.bursts = {4, 10s, 1s};
    const auto jobs = planArrivals(mix, {{"s", 40}}, {0.8, std::chrono::seconds{1000}, 7});
    const auto expected = 1000 * 0.8 * 40 / meanWork(mix, "s");
    CHECK(static_cast<double>(jobs.size()) == doctest::Approx(expected).epsilon(0.03));
    const auto inBursts =
            std::ranges::count_if(jobs, [](const auto &job) { return job.at % 10s < 1s; });
    const auto part = static_cast<double>(inBursts) / static_cast<double>(jobs.size());
    CHECK(part == doctest::Approx(4.0 / 13).epsilon(0.05));
}

TEST_CASE("the report counts outcomes, goodput and messages")
{
    // Guards against late answers that count as goodput, refusals that count as failures or wrongly
    // as false refusals, and messages that were sent before the run.
    const auto report = makeReport(sampleRun());
    CHECK(report.at("goodput").as_object().at("jobs") == 1);
    CHECK(report.at("goodput").as_object().at("slot_use").as_double() == doctest::Approx(0.05));
    CHECK(report.at("failures").as_object().at("outcome_unknown") == 1);
    CHECK(report.at("refusals").as_object().at("overloaded") == 2);
    CHECK(report.at("false_refusals") == 1);
    const auto &messages = report.at("messages").as_object();
    CHECK(messages.at("per_task").as_double() == doctest::Approx(2.5));
    CHECK(messages.at("wasted_part").as_double() == doctest::Approx(0.1));
    const auto &slowest = report.at("response").as_object().at("p99").as_object();
    CHECK(slowest.at("ms").as_double() == doctest::Approx(600));
    CHECK(slowest.at("over_queue_ideal").as_double() == doctest::Approx(6));
}

TEST_CASE("the report compares the work done after a zone was taken out with that of the remaining "
          "slots")
{
    // Guards against a reference that still uses the slots of the zone.
    auto run = sampleRun();
    run.events = {{0ms, 10ms, "x", true}};
    const auto report = makeReport(run);
    const auto &window = report.at("zone_window").as_object();
    CHECK(window.at("ideal_work_s").as_double() == doctest::Approx(1.2));
    CHECK(window.at("work_ratio").as_double() == doctest::Approx(0.5 / 1.2));
    CHECK(report.at("seconds").as_array().at(0).as_object().at("zones") == "out x");
}

TEST_CASE("the summary marks the goals that were missed")
{
    // Guards against a page that presents a missed goal as met.
    auto report = makeReport(sampleRun());
    report["mix"] = "mix.json";
    report["notes"] = {{"scenario", "sample"}, {"policy", "credits"}, {"fault", ""}};
    report["machine"] = {{"load_average_before", "1"}, {"load_average_after", "2"}};
    const auto page = summaryPage({report});
    CHECK(page.find("| p99 response over the ideal queue | at most 1.12 | 6.0000 | **missed** |") !=
          std::string::npos);
    CHECK(page.find("| messages a task | at most 3 | 2.5000 | met |") != std::string::npos);
}
