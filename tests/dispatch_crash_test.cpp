// Tasks that crash the targets that start them, in simulated fleets.

#include "dispatch/fleet_simulation.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

/// Submits a job with a deadly task at the start, and innocent jobs throughout.
class crash_scenario
{
public:
    explicit crash_scenario(std::uint64_t seed)
        : fleet{optionsOf(seed)}
    {
        fleet.deadlySpec = "deadly";
        fleet.runFor(3s);
    }

    void submitDeadly(duration callerTimeout)
    {
        batch_step work;
        work.demand = {3'000, 64, 0};
        work.estimate = 500ms;
        fleet.submit(quoteRoute(), work, fleet.deadlySpec, callerTimeout);
    }

    /// Submits innocent jobs for some time, and waits until all have ended.
    void pass(duration length)
    {
        for (const auto end = fleet.now() + length; fleet.now() < end;) {
            fleet.submit(3, 400ms, 15s);
            fleet.runFor(100ms);
        }
    }

    void check() const
    {
        for (const auto &violation : fleet.violations()) {
            FAIL_CHECK(violation);
        }
        for (const auto &[id, job] : fleet.jobs()) {
            const auto name = toText(id);
            CAPTURE(name);
            const bool deadly = job.submission.spec == fleet.deadlySpec;
            CHECK(job.answer == (deadly ? batch_job_state::failed : batch_job_state::succeeded));
        }
    }

    [[nodiscard]] static fleet_simulation::options optionsOf(std::uint64_t seed)
    {
        fleet_simulation::options options;
        options.seed = seed;
        options.entries = 3;
        options.agents = 8;
        return options;
    }

    /// Most starts of a deadly job.
    [[nodiscard]] std::size_t deadlyStarts() const
    {
        std::size_t most = 0;
        for (const auto &[id, job] : fleet.jobs()) {
            if (job.submission.spec == fleet.deadlySpec) {
                most = std::max(most, fleet.startsOf(id));
            }
        }
        return most;
    }

    fleet_simulation fleet;
};

} // namespace

// Guards against a task that crashes target after target until its caller gives up.
TEST_CASE("a task that crashes its targets is given up, and the tasks beside it succeed")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        crash_scenario scenario{seed};
        scenario.pass(1s);
        scenario.submitDeadly(60s);
        scenario.pass(20s);
        scenario.fleet.runFor(60s);
        scenario.check();
        CHECK(scenario.fleet.crashes() == 2);
        CHECK(scenario.deadlyStarts() == 2);
    }
}

// Guards against a caller that moves a deadly task from entry to entry.
TEST_CASE("a task that crashes its targets is given up when its job is submitted again")
{
    bool entriesFail = false;
    SUBCASE("after a timeout")
    {}
    SUBCASE("after the failure of the entry")
    {
        entriesFail = true;
    }
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        crash_scenario scenario{seed};
        scenario.pass(1s);
        scenario.submitDeadly(entriesFail ? duration{60s} : duration{1'500ms});
        if (entriesFail) {
            for (unsigned entry = 0; entry < 3; ++entry) {
                scenario.fleet.at(scenario.fleet.now() + 1'800ms * (entry + 1),
                                  [&, entry] { scenario.fleet.killEntry(entry, 1s); });
            }
        }
        scenario.pass(20s);
        scenario.fleet.runFor(60s);
        scenario.check();
        // Two starts after three crashes are allowed.
        CHECK(scenario.deadlyStarts() <= 5);
    }
}

// Guards against deadly tasks that are not held responsible because suspects were running beside
// them.
TEST_CASE("load pattern: a tenth of the jobs crash their targets for ten seconds")
{
    duration callerTimeout = 6s;
    SUBCASE("patient callers")
    {}
    SUBCASE("callers that submit their jobs again after a short timeout")
    {
        callerTimeout = 1'500ms;
    }
    auto route = quoteRoute();
    route.stretch = 2;
    route.objectiveOffset = 500ms;
    batch_step work;
    work.count = 3;
    work.demand = {3'000, 64, 0};
    work.estimate = 300ms;
    auto deadlyWork = work;
    deadlyWork.count = 1;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        auto options = crash_scenario::optionsOf(seed);
        options.agents = 11;
        fleet_simulation fleet{options};
        fleet.deadlySpec = "deadly";
        fleet.runFor(3s);
        constexpr int submissions = 600; // at intervals of 50 ms
        for (int number = 0; number < submissions; ++number) {
            const bool deadlyPeriod = number >= 100 && number < 300;
            if (deadlyPeriod && fleet.random(100) < 10) {
                fleet.submit(route, deadlyWork, fleet.deadlySpec, callerTimeout);
            } else {
                fleet.submit(route, work, "spec", callerTimeout);
            }
            fleet.runFor(50ms);
        }
        fleet.runFor(30s);
        for (const auto &violation : fleet.violations()) {
            FAIL_CHECK(violation);
        }
    }
}
