#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/dropped_routes.hpp"
#include "dispatch/sample_jobs.hpp"

#include <doctest/doctest.h>

#include <string>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

/// A configuration with one route of the prefix `/qNUMBER/`.
desired_state stateNumber(std::uint64_t number)
{
    auto state = stateWithOneRoute();
    state.revision = number;
    state.version = number;
    state.routes.front().prefix = "/q" + std::to_string(number) + "/";
    return state;
}

} // namespace

TEST_CASE("the newest dropped routes are kept, and a path of none of them is not found")
{
    dropped_routes routes;
    const auto first = stateNumber(1).routes;
    routes.update(first, first);
    CHECK(routes.size() == 0);
    for (std::uint64_t number = 1; number <= dropped_routes::maxRoutes + 1; ++number) {
        routes.update(stateNumber(number).routes, stateNumber(number + 1).routes);
    }
    CHECK(routes.size() == dropped_routes::maxRoutes);
    CHECK(routes.restOfPath("desk.example", "/q1/x") == std::nullopt);
    CHECK(routes.restOfPath("desk.example", "/q2/x") == "x");
    CHECK(routes.restOfPath("other.example", "/q2/x") == std::nullopt);
    CHECK(routes.restOfPath("desk.example", "/never/x") == std::nullopt);
}

// Guards against an open job that cannot be cancelled, because more routes were dropped after its
// own than are kept.
TEST_CASE("an open job is found by its path after any number of dropped routes")
{
    manual_clock time;
    time.advance(10s);
    dispatch_entry_options options;
    options.self = {incarnation_id{1}, "e1", wire::ROLE_ENTRY, "graz"};
    dispatch_entry entry{options, time};
    entry.handleConfig(stateNumber(1));
    auto job = smallJob(1);
    entry.submit(caller_request{1}, entry.config().routes.front(), std::move(job));
    for (std::uint64_t number = 2; number <= dropped_routes::maxRoutes + 3; ++number) {
        entry.handleConfig(stateNumber(number));
    }
    CHECK(entry.jobOfDroppedRoute("desk.example", "/q1/0000000000000001") == batch_job_id{1});
    CHECK(entry.jobOfDroppedRoute("desk.example", "/q1/0000000000000002") == std::nullopt);
    CHECK(entry.jobOfDroppedRoute("desk.example", "/q9/0000000000000001") == batch_job_id{1});
    CHECK(entry.jobOfDroppedRoute("desk.example", "/never/0000000000000001") == std::nullopt);
    CHECK(entry.jobOfDroppedRoute("other.example", "/q1/0000000000000001") == std::nullopt);
    CHECK(entry.jobOfDroppedRoute("desk.example", "") == std::nullopt);
}
