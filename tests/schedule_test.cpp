#include "schedule/schedule_run.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace bamboohead::schedule {

namespace {

/// Value of an environment variable as a number; `defaultValue` if it is not set.
std::uint64_t numberFromEnvironment(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::stoull(text);
}

/// Simulates the runs with seeds 1 to SCHEDULE_SEEDS (by default `defaultSeeds`), or only the run
/// with seed SCHEDULE_SEED, with a trace of its events.
void runSeeds(run_kind kind, std::uint64_t defaultSeeds)
{
    const auto singleSeed = numberFromEnvironment("SCHEDULE_SEED", 0);
    const auto first = singleSeed != 0 ? singleSeed : 1;
    const auto last =
            singleSeed != 0 ? singleSeed : numberFromEnvironment("SCHEDULE_SEEDS", defaultSeeds);
    run_result total;
    for (auto seed = first; seed <= last; ++seed) {
        const auto found = runSchedule(kind, seed, singleSeed != 0);
        total.jobs += found.jobs;
        total.complete += found.complete;
        total.unknown += found.unknown;
        total.refused += found.refused;
        total.starts += found.starts;
        for (const auto &violation : found.violations) {
            FAIL_CHECK(violation << "\nreplay: SCHEDULE_SEED=" << seed
                                 << " unit_tests -tc=\"schedule: " << toText(kind) << "*\"");
        }
    }
    MESSAGE(toText(kind) << ": " << last - first + 1 << " seeds, " << total.jobs << " jobs, "
                         << total.complete << " complete, " << total.unknown << " unknown, "
                         << total.refused << " refused, " << total.starts << " starts");
    CHECK(total.starts > 0);
}

} // namespace

// Guards against violations of an invariant (docs/design.md, R1 to R9) by any sequence of faults.
TEST_CASE("schedule: mixed faults keep the invariants")
{
    runSeeds(run_kind::mixed, 1500);
}

// Guards against starts of tasks in a zone that is out, by processes that are suspended or isolated
// and cannot receive the change (docs/design.md, R3).
TEST_CASE("schedule: zone_out runs stop the starts in the zone")
{
    runSeeds(run_kind::zone_out, 200);
}

// Guards against a simulation whose jobs fail without faults, which would void the other tests.
TEST_CASE("schedule: calm runs complete every job")
{
    runSeeds(run_kind::calm, 50);
}

// Guards against the loss of jobs with their primary although their backup has the record.
TEST_CASE("schedule: entry_killed runs complete every job whose record reached the backup")
{
    runSeeds(run_kind::entry_killed, 100);
}

// Guards against processes that are taken for failed because messages are lost or late.
TEST_CASE("schedule: lossy runs complete every job")
{
    runSeeds(run_kind::lossy, 50);
}

// Guards against jobs that fail because an entry was stopped gracefully.
TEST_CASE("schedule: entry_stopped runs lose no accepted job")
{
    runSeeds(run_kind::entry_stopped, 100);
}

// Guards against jobs that fail because an agent was stopped gracefully.
TEST_CASE("schedule: agent_stopped runs complete every job")
{
    runSeeds(run_kind::agent_stopped, 100);
}

} // namespace bamboohead::schedule
