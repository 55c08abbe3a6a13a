#include "dispatch/fleet_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <string>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

constexpr std::uint64_t defaultSeeds = 40;

std::uint64_t firstSeed()
{
    const auto *const text = std::getenv("DISPATCH_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

std::uint64_t seedCount()
{
    const auto *const text = std::getenv("DISPATCH_SEEDS");
    return text == nullptr ? defaultSeeds : std::strtoull(text, nullptr, 10);
}

/// One fault of any kind, for any time; several may come together and more than once.
void disturb(fleet_simulation &fleet)
{
    const auto entry = fleet.random(3);
    const auto agent = fleet.random(4);
    const duration length = std::chrono::milliseconds{200 + fleet.random(4'000)};
    const auto entryName = fleet.entryName(entry);
    const auto agentName = fleet.agentName(agent);
    switch (fleet.random(10)) {
    case 0:
        fleet.killEntry(entry, length);
        break;
    case 1:
        fleet.killAgent(agent, length);
        break;
    case 2:
        fleet.freeze(entryName, length);
        break;
    case 3:
        fleet.freeze(agentName, length);
        break;
    case 4:
        fleet.cut(entryName, agentName, length);
        break;
    case 5:
        fleet.cutOneWay(entryName, agentName, length);
        break;
    case 6:
        fleet.cutOneWay(agentName, entryName, length);
        break;
    case 7:
        fleet.crashTarget(agent, length, true);
        break;
    case 8:
        fleet.crashTarget(agent, length, false);
        break;
    default:
        fleet.targetOf(agent).hangs = true;
        fleet.at(fleet.now() + length, [&fleet, agent] { fleet.targetOf(agent).hangs = false; });
        break;
    }
}

struct schedule_result
{
    std::vector<std::string> violations;
    std::size_t runningAtEnd = 0;
    std::size_t lateAnswers = 0;
    std::size_t starts = 0;
};

/// Jobs and faults for 20 s, then calm; new jobs must then be served.
schedule_result runSchedule(fleet_simulation::options options)
{
    fleet_simulation fleet{options};
    fleet.runFor(4s);
    const auto start = fleet.now();
    if (options.seed % 2 == 0) {
        fleet.faults = {fleet.random(4), fleet.random(10), fleet.random(6)};
    }
    for (unsigned number = 0; number < 120; ++number) {
        fleet.at(start + std::chrono::milliseconds{fleet.random(20'000)}, [&fleet] {
            fleet.submit(1 + fleet.random(8), std::chrono::milliseconds{40 + fleet.random(1'200)});
        });
    }
    const auto disturbances = 3 + fleet.random(8);
    for (unsigned number = 0; number < disturbances; ++number) {
        fleet.at(start + std::chrono::milliseconds{fleet.random(18'000)},
                 [&fleet] { disturb(fleet); });
    }
    if (options.seed % 3 == 0) {
        fleet.at(start + 12s, [&fleet] { fleet.callersLeave(); });
    }
    fleet.runFor(24s);
    fleet.faults = {};
    fleet.runFor(16s);
    schedule_result result;
    fleet.callersLeave();
    fleet.runFor(3s);
    result.runningAtEnd = fleet.runningTasks();
    const auto before = fleet.jobs().size();
    for (unsigned number = 0; number < 10; ++number) {
        fleet.submit(4, 100ms);
        fleet.runFor(200ms);
    }
    fleet.runFor(3s);
    result.lateAnswers =
            static_cast<std::size_t>(std::ranges::count_if(fleet.jobs(), [before](const auto &job) {
                return static_cast<std::uint64_t>(job.first) > before &&
                       job.second.answer != batch_job_state::succeeded;
            }));
    result.violations = fleet.violations();
    result.starts = fleet.starts();
    return result;
}

std::size_t violationsWith(fleet_simulation::options options, std::uint64_t seeds)
{
    std::size_t count = 0;
    for (options.seed = 1; options.seed <= seeds; ++options.seed) {
        count += runSchedule(options).violations.size();
    }
    return count;
}

} // namespace

TEST_CASE("dispatch schedule: under any faults no task runs twice at once and no target is "
          "overbooked")
{
    // Guards against double runs after lost entries, agents, replies and targets, against late
    // orders, and against refusals of jobs that have run.
    for (auto seed = firstSeed(); seed < firstSeed() + seedCount(); ++seed) {
        CAPTURE(seed);
        fleet_simulation::options options;
        options.seed = seed;
        options.trace = std::getenv("DISPATCH_TRACE") != nullptr;
        const auto result = runSchedule(options);
        for (const auto &violation : result.violations) {
            CAPTURE(violation);
            CHECK(false);
        }
        CHECK(result.runningAtEnd == 0);
        CHECK(result.lateAnswers == 0);
        CHECK(result.starts > 0);
    }
}

TEST_CASE("dispatch schedule: the checks find runs that outlive their entry's lease")
{
    // Without this lease the runs of a lost entry go on while its callers send their jobs again.
    fleet_simulation::options options;
    options.agentLimits.entryLease = 60s;
    CHECK(violationsWith(options, 12) > 0);
}

TEST_CASE("dispatch schedule: the checks find runs that are repeated before they can have ended")
{
    fleet_simulation::options options;
    options.entryLimits.runLossLimit = 150ms;
    CHECK(violationsWith(options, 12) > 0);
}
