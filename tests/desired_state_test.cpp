#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/desired_state.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

dispatch_route makeRoute(const std::string &host, const std::string &prefix)
{
    dispatch_route route;
    route.name = host + prefix;
    route.host = host;
    route.prefix = prefix;
    route.service = "quotes";
    return route;
}

desired_state makeState()
{
    desired_state state;
    state.revision = 12;
    state.version = 3;
    state.routes = {makeRoute("a.example", "/p/"), makeRoute("a.example", "/p/q/"),
                    makeRoute("b.example", "/p/")};
    state.routes[0].priority = 2;
    state.routes[0].maxAttempts = 3;
    state.routes[0].stretch = 1.6;
    state.routes[0].objectiveOffset = 60ms;
    state.routes[0].timeout = 1'500ms;
    state.services = {"quotes"};
    state.zonesOut = {"graz"};
    state.maxBodyBytes = 1'000;
    return state;
}

} // namespace

TEST_CASE("a request belongs to the route of its host with the longest matching prefix")
{
    const auto state = makeState();
    const auto match = findRoute(state, "a.example", "/p/q/77");
    REQUIRE(match);
    CHECK(match->route->prefix == "/p/q/");
    CHECK(match->rest == "77");
    CHECK(findRoute(state, "a.example", "/p/77")->route->prefix == "/p/");
    CHECK_FALSE(findRoute(state, "c.example", "/p/77"));
    CHECK_FALSE(findRoute(state, "a.example", "/x"));
}

TEST_CASE("a desired state is unchanged by encoding and decoding, and malformed bytes are rejected")
{
    const auto state = makeState();
    const auto copy = decodeDesiredState(encode(state));
    REQUIRE(copy);
    CHECK(copy->revision == 12);
    CHECK(copy->version == 3);
    REQUIRE(copy->routes.size() == 3);
    CHECK(copy->routes[0].priority == 2);
    CHECK(copy->routes[0].maxAttempts == 3);
    CHECK(copy->routes[0].stretch == doctest::Approx(1.6));
    CHECK(copy->routes[0].objectiveOffset == 60ms);
    CHECK(copy->routes[0].timeout == 1'500ms);
    CHECK(copy->zoneOutOfService("graz"));
    CHECK_FALSE(copy->zoneOutOfService("wien"));
    CHECK(copy->maxBodyBytes == 1'000);
    CHECK_FALSE(decodeDesiredState("\xff\xff"));
}

TEST_CASE("the response-time objective is computed from the critical path of a job")
{
    batch_submission job;
    job.steps.resize(3);
    job.steps[0].estimate = 100ms;
    job.steps[1].estimate = 300ms;
    job.steps[2].estimate = 50ms;
    job.steps[2].dependsOn = {0, 1};
    CHECK(criticalPathLength(job) == 350ms);
    auto route = makeRoute("a", "/");
    route.stretch = 2.0;
    route.objectiveOffset = 60ms;
    CHECK(responseObjective(criticalPathLength(job), route) == 760ms);
}
