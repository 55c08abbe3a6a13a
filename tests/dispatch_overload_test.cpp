// Load patterns of fleets with uneven callers, too little room, uneven targets and data in racks:
// who waits, who is refused, and where work goes. Each pattern is run with and without the
// decisions that answer it.

#include "dispatch/fleet_simulation.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

/// Jobs of one route that arrive at random times with a constant mean rate.
struct job_stream
{
    std::string route;
    unsigned tasks = 1;
    duration runTime{};
    std::uint32_t priority = 0;
    double perSecond = 0;
    std::string rack;
};

dispatch_route routeOf(const job_stream &stream)
{
    auto route = quoteRoute();
    route.name = stream.route;
    route.priority = stream.priority;
    route.stretch = 1.6;
    route.objectiveOffset = 60ms;
    return route;
}

void submitStream(fleet_simulation &fleet, const job_stream &stream, time_point begin,
                  time_point end)
{
    const auto interval = 1e6 / stream.perSecond;
    for (auto when = begin; when < end;) {
        fleet.at(when, [&fleet, stream] {
            batch_step work;
            work.count = stream.tasks;
            work.demand = {2'200 + fleet.random(800), 64, 0};
            work.estimate = stream.runTime;
            work.preferredLabel = stream.rack;
            fleet.submit(routeOf(stream), work, "spec", 1'500ms);
        });
        const auto factor = static_cast<double>(fleet.random(2'000)) / 1'000;
        when += duration{static_cast<duration::rep>(interval * factor)};
    }
}

/// Short, medium and long tasks on 56 targets with room for 12 tasks each. At a load of 1 the work
/// is as much as the targets can do.
std::vector<job_stream> mixedStreams(double load)
{
    return {{"short", 8, 60ms, 0, 300 * load, {}},
            {"medium", 2, 200ms, 1, 870 * load, {}},
            {"long", 4, 900ms, 2, 54 * load, {}}};
}

struct outcome
{
    std::map<std::string, double>
            inTime;          ///< part of the jobs answered within their objective, by route
    double refused = 0;      ///< part of all jobs
    double wastedOrders = 0; ///< part of the orders that agents have refused
    double busy = 0;         ///< mean part of the room that is in use under the load
    duration startDelay{};   ///< 95th percentile, from submission to first start
};

outcome evaluate(const fleet_simulation &fleet, time_point since)
{
    outcome result;
    std::map<std::string, std::pair<double, double>> counts;
    std::vector<duration> delays;
    double all = 0;
    for (const auto &[id, job] : fleet.jobs()) {
        if (job.submitted < since) {
            continue;
        }
        auto &[inTime, jobs] = counts[job.route.name];
        inTime += job.inObjective() ? 1 : 0;
        ++jobs;
        ++all;
        result.refused += job.refusals > 0 ? 1 : 0;
        if (job.firstStart) {
            delays.push_back(*job.firstStart - job.submitted);
        }
    }
    result.refused /= std::max(1.0, all);
    for (const auto &[route, count] : counts) {
        result.inTime[route] = count.first / count.second;
    }
    if (!delays.empty()) {
        const auto index = delays.size() * 95 / 100;
        std::ranges::nth_element(delays, delays.begin() + static_cast<std::ptrdiff_t>(index));
        result.startDelay = delays[index];
    }
    const auto [ordered, refused] = fleet.orders();
    result.wastedOrders =
            static_cast<double>(refused) / static_cast<double>(std::max<std::uint64_t>(1, ordered));
    return result;
}

std::string describe(const outcome &result)
{
    std::string text = "busy " + std::to_string(result.busy) + ", refused " +
                       std::to_string(result.refused) + ", wasted orders " +
                       std::to_string(result.wastedOrders) + ", start delay " +
                       std::to_string(result.startDelay.count() / 1'000) + " ms, in time";
    for (const auto &[route, share] : result.inTime) {
        text += " " + route + " " + std::to_string(share);
    }
    return text;
}

fleet_simulation::options unevenFleet(bool decisions)
{
    fleet_simulation::options options;
    options.agents = 56;
    options.entries = 9;
    options.trace = std::getenv("DISPATCH_TRACE") != nullptr;
    options.tickLength = 2ms;
    // Three zones of callers, with three, four and two entries.
    options.callerWeights = {85, 85, 85, 62, 62, 62, 62, 170, 170};
    options.entryLimits.fleetAdmission = decisions;
    options.entryLimits.placement.forecasts = decisions;
    options.entryLimits.placement.lastingSpeeds = decisions;
    return options;
}

outcome runMixed(fleet_simulation::options options, double load, duration length = 4s)
{
    fleet_simulation fleet{options};
    fleet.runFor(3s);
    const auto begin = fleet.now();
    for (const auto &stream : mixedStreams(load)) {
        submitStream(fleet, stream, begin, begin + length);
    }
    double running = 0;
    int samples = 0;
    for (auto when = begin + 500ms; when < begin + length; when += 20ms) {
        fleet.at(when, [&] {
            running += static_cast<double>(fleet.runningTasks());
            ++samples;
        });
    }
    fleet.runFor(length + 3s);
    CHECK(fleet.violations().empty());
    auto result = evaluate(fleet, begin);
    constexpr double tasksPerTarget = 32.0 / 2.6;
    result.busy = running / samples / tasksPerTarget / options.agents;
    return result;
}

} // namespace

// Pattern: nine entries, two of which have twice as many callers as the others, and work for 1.3
// times the targets. Guards against entries that decide by their own queue, and order blindly from
// the same targets.
TEST_CASE("load pattern: uneven callers of a fleet with too little room")
{
    const auto before = runMixed(unevenFleet(false), 1.3);
    const auto after = runMixed(unevenFleet(true), 1.3);
    MESSAGE("each entry by itself: ", describe(before));
    MESSAGE("with the fleet's demand: ", describe(after));
    CHECK(after.wastedOrders < before.wastedOrders / 3);
    CHECK(after.inTime.at("short") > before.inTime.at("short"));
    CHECK(after.inTime.at("long") > before.inTime.at("long"));
    // The part of the work that is in time, with equal weights of the routes.
    const auto mean = [](const outcome &result) {
        return (result.inTime.at("short") + result.inTime.at("medium") + result.inTime.at("long")) /
               3;
    };
    CHECK(mean(after) > mean(before) + 0.05);
}

// Pattern: the same callers below saturation. Guards against waits and refused orders that the
// decisions add there.
TEST_CASE("load pattern: uneven callers of a fleet with enough room")
{
    const auto before = runMixed(unevenFleet(false), 0.65);
    const auto after = runMixed(unevenFleet(true), 0.65);
    MESSAGE("each entry by itself: ", describe(before));
    MESSAGE("with the fleet's demand: ", describe(after));
    CHECK(after.refused == 0);
    CHECK(after.startDelay <= 20ms);
    CHECK(after.wastedOrders < before.wastedOrders);
    for (const auto &share : after.inTime) {
        CAPTURE(share.first);
        CHECK(share.second >= 0.99);
    }
}

// Pattern: a burst on one route. Guards against jobs of the other routes that pay for it.
TEST_CASE("load pattern: a burst on one route leaves the others within 0.03")
{
    const auto run = [](double mediumLoad) {
        fleet_simulation fleet{unevenFleet(true)};
        fleet.runFor(3s);
        const auto begin = fleet.now();
        auto streams = mixedStreams(0.7);
        streams[1].perSecond *= mediumLoad;
        for (const auto &stream : streams) {
            submitStream(fleet, stream, begin, begin + 4s);
        }
        fleet.runFor(7s);
        return evaluate(fleet, begin);
    };
    const auto calm = run(1.0);
    const auto burst = run(2.5);
    MESSAGE("without the burst: ", describe(calm));
    MESSAGE("with the burst: ", describe(burst));
    CHECK(burst.inTime.at("short") > calm.inTime.at("short") - 0.03);
    CHECK(burst.inTime.at("long") > calm.inTime.at("long") - 0.03);
}

// Pattern: an entry fails under load. Guards against agents that no entry uses because they are
// assigned to one that has failed, and against shares from its old figures.
TEST_CASE("load pattern: the agents of an entry that has failed are used within a second")
{
    fleet_simulation fleet{unevenFleet(true)};
    fleet.runFor(3s);
    const auto begin = fleet.now();
    for (const auto &stream : mixedStreams(0.7)) {
        submitStream(fleet, stream, begin, begin + 5s);
    }
    fleet.runFor(1s);
    fleet.killEntry(8, 10s);
    fleet.runFor(1s);
    const auto recovered = fleet.now();
    fleet.runFor(6s);
    const auto after = evaluate(fleet, recovered);
    MESSAGE(describe(after));
    CHECK(fleet.violations().empty());
    for (const auto &share : after.inTime) {
        CAPTURE(share.first);
        CHECK(share.second >= 0.97);
    }
}

// Pattern: sound targets that differ in speed by 2.7, and tasks of which some take seven times
// their mean. Guards against an estimate that forgets the speed of a target within seconds.
TEST_CASE("load pattern: uneven targets and uneven work")
{
    const auto run = [](bool lastingSpeeds) {
        auto options = unevenFleet(true);
        options.entryLimits.placement.lastingSpeeds = lastingSpeeds;
        options.slowness = {1.0 / 0.6, 1.0, 1.0 / 1.6};
        options.longTaskPercent = 2;
        return runMixed(options, 0.55, 6s);
    };
    const auto before = run(false);
    const auto after = run(true);
    MESSAGE("without lasting speeds: ", describe(before));
    MESSAGE("with lasting speeds: ", describe(after));
    CHECK(after.inTime.at("long") > before.inTime.at("long"));
}

// Pattern: one hot rack. Eight targets of 56 hold the data that 60% of the tasks name; away from it
// they take 1.5 times as long. Guards against tasks that all wait for the rack, and ones that never
// do.
TEST_CASE("load pattern: a hot rack spills when the wait there no longer pays")
{
    struct result
    {
        double inTime = 0;
        double near = 0; ///< part of the runs
        std::uint64_t waited = 0;
    };
    const auto run = [](double knownFactor) {
        auto options = unevenFleet(true);
        options.entryLimits.placement.distanceFactor = knownFactor;
        options.targetsPerRack = 8;
        options.distanceFactor = 1.5;
        fleet_simulation fleet{options};
        fleet.runFor(3s);
        const auto begin = fleet.now();
        submitStream(fleet, {"hot", 2, 200ms, 1, 300, "r0"}, begin, begin + 5s);
        submitStream(fleet, {"other", 2, 200ms, 1, 300, {}}, begin, begin + 5s);
        fleet.runFor(8s);
        CHECK(fleet.violations().empty());
        result made;
        made.inTime = evaluate(fleet, begin).inTime.at("hot");
        std::uint64_t near = 0;
        std::uint64_t away = 0;
        for (unsigned entry = 0; entry < options.entries; ++entry) {
            near += fleet.entryAt(entry).counters().runsNear;
            away += fleet.entryAt(entry).counters().runsAway;
            made.waited += fleet.entryAt(entry).counters().runsNearAfterWait;
        }
        made.near = static_cast<double>(near) /
                    static_cast<double>(std::max<std::uint64_t>(1, near + away));
        return made;
    };
    const auto preferred = run(0);
    const auto decided = run(1.5);
    MESSAGE("only preferred: in time ", preferred.inTime, ", near ", preferred.near);
    MESSAGE("decided: in time ", decided.inTime, ", near ", decided.near, ", after a wait ",
            decided.waited);
    CHECK(decided.waited > 0);
    CHECK(decided.near > preferred.near);
    CHECK(decided.near < 0.95); // the rack has room for 480 tasks a second of the 600
    CHECK(decided.inTime >= preferred.inTime - 0.03);
}
