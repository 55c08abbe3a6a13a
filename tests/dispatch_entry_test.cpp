#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

/// Submits ten jobs at each tick for 1.8 s.
/// @param period Time between two ticks. A long one simulates an overloaded processor.
/// @return Number of jobs refused because of overload.
std::size_t refusedWithTicksOf(duration period)
{
    manual_clock time;
    dispatch_entry_options options;
    options.self = {incarnation_id{1}, "e1", wire::ROLE_ENTRY, "graz"};
    dispatch_entry entry{options, time};
    entry.handleConfig(stateWithOneRoute());
    std::size_t refused = 0;
    std::uint64_t jobs = 0;
    for (const auto end = time.now() + 1'800ms; time.now() < end;) {
        time.advance(period);
        entry.tick();
        for (int number = 0; number < 10; ++number) {
            ++jobs;
            entry.submit(caller_request{jobs}, entry.config().routes.front(), smallJob(jobs));
        }
        for (const auto &action : entry.takeActions()) {
            const auto *const reply = std::get_if<job_reply>(&action);
            refused += reply != nullptr && reply->error == error_kind::overloaded ? 1 : 0;
        }
    }
    return refused;
}

} // namespace

TEST_CASE("an entry whose own processor is overloaded refuses a share of the jobs at arrival")
{
    // The ticks come every 200 ms, ten times too late, as they may when the load on a zone with one
    // small entry has doubled. Guards against an entry that accepts all jobs and answers none in
    // time, so that callers wait in vain until they time out.
    CHECK(refusedWithTicksOf(200ms) > 10);
}

TEST_CASE("an entry that keeps up with its load refuses no job")
{
    CHECK(refusedWithTicksOf(20ms) == 0);
    CHECK(refusedWithTicksOf(50ms) == 0);
}
