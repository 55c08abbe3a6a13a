#include "bamboohead/dispatch/state_reader.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// A reader whose time passes in steps of 10 ms.
class reader_fixture
{
public:
    explicit reader_fixture(std::uint64_t seed = 1)
        : reader{{}, seed}
    {}

    /// Time until a read is due; `longest` if none is.
    duration timeToRead(std::optional<duration> proofAge, state_use use, duration longest)
    {
        for (duration passed{}; passed < longest; passed += 10ms) {
            if (reader.due(time.now(), proofAge, use)) {
                return passed;
            }
            time.advance(10ms);
        }
        return longest;
    }

    void fail() { reader.handleResult(time.now(), false); }
    [[nodiscard]] bool mayStart(std::optional<duration> proofAge) const
    {
        return reader.mayStart(time.now(), proofAge);
    }

    manual_clock time;
    state_reader reader;
};

} // namespace

// Guards against agents that read the store all the time.
TEST_CASE("the store is read only when the proof is old and the state is of use")
{
    reader_fixture fixture;
    CHECK(fixture.timeToRead(2'500ms, state_use::waiting_starts, 5s) == 5s);
    CHECK(fixture.timeToRead(60s, state_use::none, 5s) == 5s);
    CHECK(fixture.timeToRead(std::nullopt, state_use::none, 5s) == 5s);
    CHECK(fixture.timeToRead(4'900ms, state_use::zone_return, 5s) == 5s);
    SUBCASE("a zone that may return")
    {
        CHECK(fixture.timeToRead(5'100ms, state_use::zone_return, 5s) <= 300ms);
    }
    SUBCASE("tasks")
    {
        CHECK(fixture.timeToRead(2'510ms, state_use::starts, 5s) <= 300ms);
    }
    SUBCASE("no proof")
    {
        CHECK(fixture.timeToRead(std::nullopt, state_use::starts, 5s) <= 300ms);
    }
    // One read at a time, until its result is overdue.
    CHECK(fixture.timeToRead(60s, state_use::starts, 2'900ms) == 2'900ms);
}

// Guards against agents that read the store at the same moment.
TEST_CASE("the reads of a fleet are spread over a time that grows with it")
{
    const auto spread = [](duration window) {
        std::vector<duration> times;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            reader_fixture fixture{seed};
            fixture.reader.setWindow(window);
            times.push_back(fixture.timeToRead(3s, state_use::starts, 60s));
        }
        std::ranges::sort(times);
        return times;
    };
    const auto small = spread(15ms);
    CHECK(small.back() <= 310ms);
    CHECK(small[100] > 100ms);
    CHECK(small[100] < 200ms);
    const auto large = spread(21s);
    CHECK(large.back() <= 21'010ms);
    CHECK(large[100] > 8s);
    CHECK(large[100] < 13s);
}

// Guards against a task that waits as long as the reads of a large fleet are spread.
TEST_CASE("a read for which a task waits is made within a second")
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        CAPTURE(seed);
        reader_fixture fixture{seed};
        fixture.reader.setWindow(21s);
        (void)fixture.timeToRead(3s, state_use::starts, 20ms);
        CHECK(fixture.timeToRead(4s, state_use::waiting_starts, 5s) <= 1'010ms);
    }
}

// Guards against an agent that starts nothing any more since the result of a read has been lost,
// and against a window in a malformed message.
TEST_CASE("a read without a result fails after three seconds")
{
    reader_fixture fixture;
    fixture.reader.setWindow(std::chrono::hours{1'000});
    CHECK(fixture.timeToRead(60s, state_use::starts, 60s) <= 30s);
    const auto next = fixture.timeToRead(60s, state_use::starts, 5s);
    CHECK(next >= 3s);
    CHECK(next <= 3'100ms);
}

// Guards against a store that is down and stops the fleet, and against an agent that starts tasks
// long after it has last tried to read the store.
TEST_CASE("tasks start without a proof for a limited time after two failed reads")
{
    reader_fixture fixture;
    CHECK(fixture.mayStart(3'500ms));
    CHECK_FALSE(fixture.mayStart(3'510ms));
    CHECK_FALSE(fixture.mayStart(std::nullopt));
    CHECK(fixture.timeToRead(3s, state_use::starts, 5s) <= 300ms);
    fixture.fail();
    CHECK_FALSE(fixture.mayStart(4s));
    CHECK(fixture.timeToRead(3s, state_use::starts, 5s) <= 60ms);
    fixture.fail();
    CHECK(fixture.mayStart(4s));
    CHECK(fixture.mayStart(std::nullopt));
    SUBCASE("no further read")
    {
        fixture.time.advance(2'800ms);
        CHECK(fixture.mayStart(60s));
        fixture.time.advance(1ms);
        CHECK_FALSE(fixture.mayStart(60s));
    }
    SUBCASE("a store that stays down")
    {
        for (int round = 0; round < 5; ++round) {
            const auto next = fixture.timeToRead(60s, state_use::starts, 5s);
            CHECK(next >= 2s);
            CHECK(next <= 2'310ms);
            CHECK(fixture.mayStart(60s));
            fixture.time.advance(300ms); // the timeout of a read
            CHECK(fixture.mayStart(60s));
            fixture.fail();
        }
    }
    SUBCASE("a proof arrives")
    {
        CHECK_FALSE(fixture.reader.due(fixture.time.now(), 100ms, state_use::starts));
        CHECK_FALSE(fixture.mayStart(4s));
    }
    SUBCASE("a read succeeds")
    {
        (void)fixture.timeToRead(60s, state_use::starts, 5s);
        fixture.reader.handleResult(fixture.time.now(), true);
        CHECK_FALSE(fixture.mayStart(4s));
    }
}
