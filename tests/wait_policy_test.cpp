#include "bamboohead/dispatch/wait_policy.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

// Pattern: many entries order from targets that are nearly full.
TEST_CASE("wait policy: the wait that pays grows with the tries that another target takes")
{
    queue_patience patience;
    CHECK(patience.limit() == 20ms); // a start within this time counts as immediate
    for (int order = 0; order < 500; ++order) {
        patience.recordRefusal(40ms);
        patience.recordAcceptance();
        patience.recordAcceptance();
        patience.recordAcceptance();
    }
    // A quarter of the orders is refused: 4/3 tries of 40 ms.
    CHECK(patience.refusalRate() == doctest::Approx(0.25).epsilon(0.1));
    CHECK(patience.limit() > 50ms);
    CHECK(patience.limit() < 57ms);
    for (int order = 0; order < 500; ++order) {
        patience.recordAcceptance();
    }
    CHECK(patience.limit() < 42ms);
}

TEST_CASE("wait policy: the wait at a full target is bounded")
{
    queue_patience patience;
    for (int order = 0; order < 500; ++order) {
        patience.recordRefusal(80ms);
    }
    CHECK(patience.limit() == 100ms);
}

// Pattern: one hot rack.
TEST_CASE(
        "wait policy: a wait near the data pays while it is shorter than the longer run elsewhere")
{
    distance_costs costs;
    costs.runTime = 200ms;
    costs.factor = 1.5;
    CHECK(longestWaitNear(costs) == 100ms);
    SUBCASE("short tasks wait less")
    {
        costs.runTime = 60ms;
        CHECK(longestWaitNear(costs) == 30ms);
    }
    SUBCASE("a larger factor pays longer waits")
    {
        costs.factor = 3;
        CHECK(longestWaitNear(costs) == 400ms);
    }
    SUBCASE("a wait elsewhere is saved, too")
    {
        costs.waitElsewhere = 40ms;
        CHECK(longestWaitNear(costs) == 140ms);
    }
    SUBCASE("an uncertain wait may be shorter only")
    {
        costs.deviation = 0.25;
        CHECK(longestWaitNear(costs) == 80ms);
    }
    SUBCASE("without a cost of the distance no wait pays")
    {
        costs.factor = 1;
        costs.waitElsewhere = 40ms;
        CHECK(longestWaitNear(costs) == 0ms);
    }
}
