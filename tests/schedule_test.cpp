#include "schedule/schedule_run.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace bamboohead::schedule {

namespace {

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::stoull(text);
}

/// Runs seeds 1 to SCHEDULE_SEEDS, or SCHEDULE_SEED alone with a trace.
void runSeeds(run_kind kind, std::uint64_t byDefault)
{
    const auto only = numberFrom("SCHEDULE_SEED", 0);
    const auto first = only != 0 ? only : 1;
    const auto last = only != 0 ? only : numberFrom("SCHEDULE_SEEDS", byDefault);
    run_result total;
    for (auto seed = first; seed <= last; ++seed) {
        const auto found = runSchedule(kind, seed, only != 0);
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

// Guards against any sequence of faults that breaks an invariant of the design page.
TEST_CASE("schedule: mixed faults keep the invariants")
{
    runSeeds(run_kind::mixed, 1500);
}

// Guards against starts in a zone that is out, by processes that cannot know it (R3).
TEST_CASE("schedule: zone_out runs stop the starts in the zone")
{
    runSeeds(run_kind::zone_out, 200);
}

// Guards against a fixture whose jobs fail anyway, so that the other runs would prove nothing.
TEST_CASE("schedule: calm runs complete every job")
{
    runSeeds(run_kind::calm, 50);
}

// Guards against jobs that are lost with one entry though their backup has the record.
TEST_CASE("schedule: entry_killed runs complete every job whose record reached the backup")
{
    runSeeds(run_kind::entry_killed, 100);
}

// Guards against lost and late messages that are taken for lost processes.
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
