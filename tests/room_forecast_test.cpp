#include "bamboohead/dispatch/room_forecast.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr resources capacity{10'000, 100, 1};

resources demandOf(std::uint64_t cpu)
{
    return {cpu, 10, 0};
}

} // namespace

TEST_CASE("room forecast: a run that fits starts at once")
{
    CHECK(expectedStart(capacity, {}, {}, demandOf(10'000)) == 0ms);
    CHECK(expectedStart(capacity, {{demandOf(4'000), 50ms}}, {}, demandOf(6'000)) == 0ms);
}

TEST_CASE("room forecast: a run starts when enough runs have ended")
{
    const std::vector<forecast_run> running{
            {demandOf(4'000), 70ms}, {demandOf(3'000), 20ms}, {demandOf(3'000), 40ms}};
    CHECK(expectedStart(capacity, running, {}, demandOf(2'000)) == 20ms);
    CHECK(expectedStart(capacity, running, {}, demandOf(5'000)) == 40ms);
    CHECK(expectedStart(capacity, running, {}, demandOf(9'000)) == 70ms);
}

TEST_CASE("room forecast: waiting runs start first and hold what they need")
{
    const std::vector<forecast_run> running{{demandOf(5'000), 30ms}, {demandOf(5'000), 60ms}};
    const std::vector<forecast_run> waiting{{demandOf(5'000), 100ms}};
    CHECK(expectedStart(capacity, running, waiting, demandOf(5'000)) == 60ms);
    CHECK(expectedStart(capacity, running, waiting, demandOf(6'000)) == 130ms);
}

TEST_CASE("room forecast: a demand above the capacity never starts")
{
    CHECK(expectedStart(capacity, {{demandOf(1), 5ms}}, {}, demandOf(10'001)) == duration::max());
    CHECK(expectedStart(capacity, {}, {{demandOf(10'001), 5ms}}, demandOf(1)) == duration::max());
    CHECK(expectedStart(capacity, {}, {}, resources{1, 1, 2}) == duration::max());
}

// Pattern: tasks that take several times their mean. Guards against waiting for a run that is
// expected to end at once, again and again.
TEST_CASE("room forecast: a run that exceeds its expected time is not expected to end at once")
{
    CHECK(remainingTime(200ms, 50ms) == 150ms);
    CHECK(remainingTime(200ms, 190ms) == 47'500us);
    CHECK(remainingTime(200ms, 1'200ms) == 300ms);
}
