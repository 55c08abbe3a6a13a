#include "bamboohead/dispatch/room_sharing.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr name_hash shortJobs = 1;
constexpr name_hash mediumJobs = 2;
constexpr name_hash longJobs = 3;

/// A service with 1,792 processors and three routes, with a backlog of 30 ms, the goal.
service_load loadOf(std::uint64_t shortWork, std::uint64_t mediumWork, std::uint64_t longWork)
{
    service_load load;
    load.capacity = 1'792'000;
    load.demand.completing = load.capacity;
    load.demand.routes[shortJobs] = {0, shortWork, load.capacity * 30 / 1'000};
    load.demand.routes[mediumJobs] = {1, mediumWork, 0};
    load.demand.routes[longJobs] = {2, longWork, 0};
    return load;
}

/// Shares with a backlog that has stood for some time.
std::map<name_hash, double> sharesOf(const service_load &load)
{
    return shareRoom(load, backlogOf(load));
}

double admittedWork(const service_load &load)
{
    const auto shares = sharesOf(load);
    double sum = 0;
    for (const auto &[route, work] : load.demand.routes) {
        const auto share = shares.find(route);
        sum += static_cast<double>(work.arriving) * (share == shares.end() ? 1.0 : share->second);
    }
    return sum;
}

} // namespace

TEST_CASE("room: nothing is refused while the demand fits")
{
    CHECK(sharesOf(loadOf(257'000, 624'000, 351'000)).empty());
    CHECK(sharesOf({}).empty()); // without targets, refusing is no matter of room
}

// Pattern: a burst on one route. Guards against refusals of the other routes' jobs.
TEST_CASE("room: a burst on one route leaves the others as they were")
{
    const auto load = loadOf(257'000, 1'872'000, 351'000);
    const auto shares = sharesOf(load);
    CHECK(shares.at(shortJobs) == doctest::Approx(1.0));
    CHECK(shares.at(longJobs) == doctest::Approx(1.0));
    CHECK(shares.at(mediumJobs) < 0.7);
    CHECK(admittedWork(load) == doctest::Approx(1'792'000).epsilon(0.001));
}

// Pattern: a flood of small jobs beside few large ones, and the reverse.
TEST_CASE("room: neither many small jobs nor few large ones displace the others")
{
    const auto manySmall = sharesOf(loadOf(5'000'000, 624'000, 351'000));
    CHECK(manySmall.at(mediumJobs) == doctest::Approx(1.0));
    CHECK(manySmall.at(longJobs) == doctest::Approx(1.0));
    const auto manyLarge = sharesOf(loadOf(257'000, 624'000, 5'000'000));
    CHECK(manyLarge.at(shortJobs) == doctest::Approx(1.0));
    CHECK(manyLarge.at(mediumJobs) == doctest::Approx(1.0));
    CHECK(manyLarge.at(longJobs) < 0.2);
}

// Pattern: all routes grow together. Guards against a route that is refused as a whole.
TEST_CASE("room: each route keeps at least half of its proportional part")
{
    const auto load = loadOf(1'000, 100'000, 50'000'000);
    const auto shares = sharesOf(load);
    const double proportional = 1'792'000.0 / 50'101'000.0;
    for (const auto &share : shares) {
        CAPTURE(share.first);
        CHECK(share.second >= 0.49 * proportional);
        CHECK(share.second <= 1.0);
    }
    CHECK(admittedWork(load) == doctest::Approx(1'792'000).epsilon(0.001));
}

TEST_CASE("room: a backlog above its goal reduces the room")
{
    auto load = loadOf(1'000'000, 1'000'000, 1'000'000);
    const auto atGoal = admittedWork(load);
    load.queued = load.capacity * 100 / 1'000;
    CHECK(backlogOf(load) == 130ms);
    CHECK(admittedWork(load) < 0.9 * atGoal);
}

// Pattern: run times that are shorter than expected. Guards against refusals while targets are
// free, because the demand is computed from expected run times.
TEST_CASE("room: nothing is refused without a backlog, whatever the demand seems to be")
{
    auto load = loadOf(1'000'000, 1'000'000, 1'000'000);
    load.demand.completing = load.capacity * 6 / 10;
    load.demand.routes[shortJobs].waiting = load.capacity * 20 / 1'000;
    CHECK(backlogOf(load) == 20ms);
    CHECK(sharesOf(load).empty());
}

// Pattern: a small fleet, in which three large jobs are a backlog of 80 ms. Guards against refusals
// because of single jobs.
TEST_CASE("room: the backlog of a few jobs is no overload in a small fleet")
{
    service_load load;
    load.capacity = 352'000;
    load.demand.completing = 300'000;
    load.demand.routes[longJobs] = {2, 500'000, 27'000};
    CHECK(backlogOf(load) > 70ms);
    CHECK(sharesOf(load).empty());
    load.demand.routes[longJobs].waiting = 56'000;
    CHECK(sharesOf(load).at(longJobs) < 0.6);
}

// Pattern: slow targets. Guards against room that is computed from processors that complete less.
TEST_CASE("room: under a backlog the completed work counts, not the processors")
{
    auto load = loadOf(1'000'000, 1'000'000, 1'000'000);
    load.demand.completing = load.capacity * 7 / 10;
    CHECK(admittedWork(load) == doctest::Approx(0.7 * 1'792'000).epsilon(0.001));
    load.demand.completing = 0; // the figures of the other entries may be missing
    CHECK(admittedWork(load) == doctest::Approx(0.5 * 1'792'000).epsilon(0.001));
    CHECK(timeToStart(load, load.capacity) == 2s);
}
