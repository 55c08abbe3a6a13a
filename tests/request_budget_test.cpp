#include "bamboohead/request_budget.hpp"

#include "bamboohead/clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

using chosen_requests = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("request budget: nothing has to end while the requests fit")
{
    manual_clock clock;
    request_budget budget{1'000};
    budget.hold(1, 400, true, clock.now());
    budget.hold(2, 400, true, clock.now());
    CHECK(budget.held() == 800);
    CHECK(budget.chooseExcess(200, clock.now()).empty());
    CHECK(budget.halfUsed());
    budget.release(1);
    budget.release(1);
    CHECK(budget.held() == 400);
    CHECK_FALSE(budget.halfUsed());
}

// Guards against a crowd of stopped request bodies that displaces requests that have just begun.
TEST_CASE("request budget: the request that holds most for longest ends first")
{
    manual_clock clock;
    request_budget budget{1'000};
    budget.hold(1, 300, true, clock.now());
    budget.hold(2, 20, true, clock.now());
    clock.advance(5s);
    budget.hold(3, 300, true, clock.now());
    budget.hold(4, 300, true, clock.now());
    clock.advance(1s);
    // 1 has held as much as 3 and 4 for six times as long; 2 holds little.
    CHECK(budget.chooseExcess(200, clock.now()) == chosen_requests{1});
}

// Guards against a client that stays by sending single bytes: progress does not make it younger.
TEST_CASE("request budget: the age of a request counts from its first byte")
{
    manual_clock clock;
    request_budget budget{1'000};
    budget.hold(1, 400, true, clock.now());
    clock.advance(3s);
    budget.hold(1, 500, true, clock.now());
    budget.hold(2, 500, true, clock.now());
    clock.advance(1s);
    budget.hold(1, 500, true, clock.now());
    CHECK(budget.chooseExcess(10, clock.now()) == chosen_requests{1});
}

TEST_CASE("request budget: requests that are being handled are not chosen")
{
    manual_clock clock;
    request_budget budget{1'000};
    budget.hold(1, 900, false, clock.now());
    clock.advance(3s);
    budget.hold(2, 90, true, clock.now());
    CHECK(budget.chooseExcess(100, clock.now()) == chosen_requests{2});
}
