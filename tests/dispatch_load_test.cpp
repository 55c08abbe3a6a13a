// Load patterns on simulated fleets without faults: who waits, and what control traffic costs.

#include "dispatch/fleet_simulation.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

/// A class of jobs that arrive at a constant rate.
struct job_class
{
    unsigned tasks = 1;
    duration runTime{};
    std::uint32_t priority = 0;
    duration interval{}; ///< between two jobs
};

dispatch_route routeOf(const job_class &kind)
{
    auto route = quoteRoute();
    route.name = "priority-" + std::to_string(kind.priority);
    route.priority = kind.priority;
    route.stretch = 1.6;
    route.objectiveOffset = 60ms;
    return route;
}

void submitRegularly(fleet_simulation &fleet, const job_class &kind, time_point end)
{
    for (auto when = fleet.now(); when < end; when += kind.interval) {
        fleet.at(when + std::chrono::microseconds{fleet.random(2'000)}, [&fleet, kind] {
            batch_step work;
            work.count = kind.tasks;
            work.demand = {6'500 + fleet.random(2'200), 64, 0};
            work.estimate = kind.runTime;
            fleet.submit(routeOf(kind), work, "spec");
        });
    }
}

/// Shares of jobs answered within their objective, by priority.
std::map<std::uint32_t, double> servedInTime(const fleet_simulation &fleet)
{
    std::map<std::uint32_t, std::pair<double, double>> counts;
    for (const auto &[id, job] : fleet.jobs()) {
        auto &[served, all] = counts[job.route.priority];
        served += job.inObjective() ? 1 : 0;
        all += 1;
    }
    std::map<std::uint32_t, double> shares;
    for (const auto &[priority, count] : counts) {
        shares[priority] = count.first / count.second;
    }
    return shares;
}

/// Wide and short urgent jobs beside long tasks that hold most of the targets' processors: 18
/// targets for four tasks each, 74% of their processors in use.
std::map<std::uint32_t, double> wideShortJobsBesideLongTasks(std::uint32_t immediateOrders)
{
    fleet_simulation::options options;
    options.entries = 6;
    options.agents = 18;
    options.tickLength = 2ms;
    options.entryLimits.immediateOrders = immediateOrders;
    fleet_simulation fleet{options};
    fleet.runFor(2s);
    const auto end = fleet.now() + 12s;
    submitRegularly(fleet, {8, 60ms, 0, 43ms}, end);
    submitRegularly(fleet, {2, 200ms, 1, 15ms}, end);
    submitRegularly(fleet, {4, 900ms, 2, 236ms}, end);
    fleet.runFor(15s);
    CHECK(fleet.violations().empty());
    return servedInTime(fleet);
}

/// Control traffic of a fleet without jobs.
struct idle_traffic
{
    double entryMessages = 0; ///< per second, of one entry
    double agentBytes = 0;    ///< per second, mean of all agents
};

idle_traffic idleTraffic(unsigned entries, unsigned agents, std::size_t workingSet)
{
    fleet_simulation::options options;
    options.entries = entries;
    options.agents = agents;
    options.tickLength = 20ms;
    options.entryLimits.workingSet.minAgents = workingSet;
    fleet_simulation fleet{options};
    fleet.runFor(5s);
    const auto agentBytes = [&] {
        std::uint64_t sum = 0;
        for (unsigned agent = 0; agent < agents; ++agent) {
            sum += fleet.traffic(fleet.agentName(agent)).bytes;
        }
        return static_cast<double>(sum) / agents;
    };
    const auto messagesBefore = fleet.traffic(fleet.entryName(0)).messages;
    const auto bytesBefore = agentBytes();
    fleet.runFor(10s);
    idle_traffic result;
    result.entryMessages =
            static_cast<double>(fleet.traffic(fleet.entryName(0)).messages - messagesBefore) / 10;
    result.agentBytes = (agentBytes() - bytesBefore) / 10;
    return result;
}

} // namespace

TEST_CASE("load pattern: wide short jobs beside long tasks are served in time")
{
    // An entry knows the load of most targets only from reports that are older than its short tasks
    // take. Guards against tasks that wait in the queue of a full target while others are free.
    const auto queued = wideShortJobsBesideLongTasks(0);
    const auto immediate = wideShortJobsBesideLongTasks(4);
    MESSAGE("in time with queueing: ", queued.at(0), ", with immediate orders: ", immediate.at(0));
    for (const auto &share : immediate) {
        CAPTURE(share.first);
        CHECK(share.second >= 0.9);
    }
    CHECK(immediate.at(0) > queued.at(0));
}

TEST_CASE("load pattern: an idle large fleet has bounded control traffic")
{
    constexpr std::size_t wholeFleet = 100'000;
    const auto bounded = idleTraffic(12, 240, working_set_limits{}.minAgents);
    const auto unbounded = idleTraffic(12, 240, wholeFleet);
    MESSAGE("messages of an entry per second: ", bounded.entryMessages,
            ", with the whole fleet: ", unbounded.entryMessages);
    MESSAGE("bytes of an agent per second: ", bounded.agentBytes,
            ", with the whole fleet: ", unbounded.agentBytes);
    CHECK(bounded.entryMessages < unbounded.entryMessages / 2);
    CHECK(bounded.agentBytes < unbounded.agentBytes / 2);
}

TEST_CASE("load pattern: an entry with a burst uses agents outside its working set")
{
    // A single entry with a small working set gets jobs for more targets than it has in the set.
    fleet_simulation::options options;
    options.entries = 1;
    options.agents = 40;
    options.tickLength = 2ms;
    options.entryLimits.workingSet.minAgents = 4;
    fleet_simulation fleet{options};
    fleet.runFor(3s);
    submitRegularly(fleet, {8, 200ms, 0, 20ms}, fleet.now() + 5s);
    fleet.runFor(8s);
    const auto share = servedInTime(fleet).at(0);
    CAPTURE(share);
    CHECK(share >= 0.9);
    CHECK(fleet.violations().empty());
}

TEST_CASE("load pattern: tasks of wide jobs that end together run once")
{
    // Agents and targets report at most 500 ends at a time. Guards against tasks that have ended as
    // done and run again, because their ends are not in the first report.
    fleet_simulation::options options;
    options.entries = 1;
    options.agents = 1;
    options.tickLength = 2ms;
    fleet_simulation fleet{options};
    fleet.runFor(3s);
    batch_step work;
    work.count = 1'200;
    work.demand = {10, 1, 0};
    work.estimate = 400ms;
    fleet.submit(quoteRoute(), work, "spec", 30s);
    fleet.submit(quoteRoute(), work, "spec", 30s);
    fleet.runFor(5s);
    CHECK(fleet.starts() == 2 * work.count);
    for (const auto &[id, job] : fleet.jobs()) {
        CHECK(job.answer == batch_job_state::succeeded);
    }
    CHECK(fleet.violations().empty());
}

// Guards against runs that the agent stops as those of a silent entry, because the order came with
// an echo that was almost as old as an idle heartbeat, and the next one was due too late.
TEST_CASE("load pattern: a single task for an agent without runs is started once")
{
    std::size_t starts = 0;
    std::size_t jobs = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        fleet_simulation::options options;
        options.seed = seed;
        options.entries = 1;
        options.agents = 1;
        options.tickLength = 2ms;
        fleet_simulation fleet{options};
        fleet.runFor(3s);
        for (duration pause = 1s; pause < 1'600ms; pause += 20ms) {
            fleet.submit(1, 400ms, 3s);
            fleet.runFor(500ms + pause);
        }
        starts += fleet.starts();
        jobs += fleet.jobs().size();
        CHECK(fleet.violations().empty());
    }
    CHECK(starts == jobs);
}
