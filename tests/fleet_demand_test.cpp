#include "bamboohead/dispatch/fleet_demand.hpp"

#include "bamboohead/clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr name_hash service = 7;
constexpr name_hash route = 8;
constexpr incarnation_id peer{2};

wire::EntrySync messageOf(std::uint64_t waiting)
{
    wire::EntrySync message;
    auto &demand = *message.add_demand();
    demand.set_service(service);
    demand.set_completing(500);
    auto &row = *demand.add_routes();
    row.set_route(route);
    row.set_priority(1);
    row.set_arriving(1'000);
    row.set_waiting(waiting);
    return message;
}

} // namespace

// Pattern: callers that are distributed unevenly. Guards against an entry that takes its own queue
// for that of all.
TEST_CASE("fleet demand: an entry adds up what the entries report")
{
    manual_clock clock;
    fleet_demand demand;
    demand.setWaiting({{{service, route}, {1, 0, 40}}});
    demand.receive(peer, messageOf(60), clock.now());
    demand.receive(incarnation_id{3}, messageOf(5), clock.now());
    const auto total = demand.total(service, clock.now());
    CHECK(total.routes.at(route).waiting == 105);
    CHECK(total.routes.at(route).arriving == 2'000);
    CHECK(total.completing == 1'000);
    CHECK(demand.total(9, clock.now()).routes.empty());
    // Half of the work of the same priority precedes a job, all of it a less urgent one.
    CHECK(demand.waitingBefore(service, 0) == 0);
    CHECK(demand.waitingBefore(service, 1) == 32);
    CHECK(demand.waitingBefore(service, 2) == 65);
}

TEST_CASE("fleet demand: what one entry sends is what another one reads")
{
    manual_clock clock;
    fleet_demand sender;
    for (int count = 0; count < 10; ++count) {
        clock.advance(100ms);
        sender.recordArrival(service, route, 3, 100, clock.now());
        sender.recordCompletion(service, 50, clock.now());
    }
    sender.setWaiting({{{service, route}, {3, 0, 40}}});
    wire::EntrySync message;
    sender.addTo(message, clock.now());
    fleet_demand receiver;
    receiver.receive(peer, message, clock.now());
    const auto total = receiver.total(service, clock.now());
    CHECK(total.routes.at(route).priority == 3);
    CHECK(total.routes.at(route).waiting == 40);
    CHECK(total.routes.at(route).arriving >= 800);
    CHECK(total.routes.at(route).arriving <= 1'200);
    CHECK(total.completing >= 400);
    CHECK(receiver.anyWaiting());
}

// Guards against decisions with the figures of an entry that has failed or is cut off.
TEST_CASE("fleet demand: old figures are removed")
{
    manual_clock clock;
    fleet_demand demand;
    demand.receive(peer, messageOf(60), clock.now());
    clock.advance(1s);
    CHECK(demand.removeOutdated(clock.now(), 1500ms).empty());
    CHECK(demand.anyWaiting());
    clock.advance(600ms);
    CHECK(demand.removeOutdated(clock.now(), 1500ms) == std::vector{peer});
    CHECK_FALSE(demand.anyWaiting());
    CHECK(demand.total(service, clock.now()).routes.empty());
}

// Guards against a process that wakes after a pause and counts messages that were queued meanwhile
// as new.
TEST_CASE("fleet demand: a message that was overtaken or was queued for long does not count")
{
    manual_clock clock;
    fleet_demand demand;
    const auto begin = clock.now();
    clock.advance(2s);
    demand.receive(peer, messageOf(5), clock.now());
    demand.receive(peer, messageOf(60), begin);
    CHECK(demand.total(service, clock.now()).routes.at(route).waiting == 5);
    demand.receive(incarnation_id{3}, messageOf(60), begin);
    CHECK(demand.removeOutdated(clock.now(), 1500ms) == std::vector{incarnation_id{3}});
}

// Guards against messages that grow with the number of routes.
TEST_CASE("fleet demand: the size of a message is bounded whatever the number of routes")
{
    manual_clock clock;
    fleet_demand demand;
    std::uint64_t sum = 0;
    for (name_hash number = 1; number <= 1'400; ++number) {
        demand.recordArrival(service, number, 0, number, clock.now());
        sum += number;
    }
    wire::EntrySync message;
    demand.addTo(message, clock.now());
    REQUIRE(message.demand_size() == 1);
    CHECK(message.demand(0).routes_size() == fleet_demand::maxListedRoutes + 1);
    CHECK(message.ByteSizeLong() < 300);
    std::uint64_t listed = 0;
    bool largest = false;
    for (const auto &row : message.demand(0).routes()) {
        listed += row.arriving();
        largest = largest || row.route() == 1'400;
    }
    CHECK(largest);
    CHECK(listed >= sum);
}

// Guards against figures of an unknown version, or of a writer that is not an entry.
TEST_CASE("fleet demand: a message without demand or with huge figures is harmless")
{
    manual_clock clock;
    fleet_demand demand;
    demand.receive(peer, {}, clock.now());
    CHECK_FALSE(demand.anyWaiting());
    auto message = messageOf(UINT64_MAX);
    message.mutable_demand(0)->mutable_routes(0)->set_arriving(UINT64_MAX);
    demand.receive(peer, message, clock.now());
    demand.receive(incarnation_id{3}, message, clock.now());
    // A single figure is limited, so that the sums of all entries do not overflow.
    CHECK(demand.total(service, clock.now()).routes.at(route).waiting >= fleet_demand::maxFigure);
    CHECK(demand.waitingBefore(service, 9) >= fleet_demand::maxFigure);
}
