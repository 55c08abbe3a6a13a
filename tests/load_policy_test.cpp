#include "bamboohead/dispatch/load_policy.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

TEST_CASE("declared run times are corrected by what a route's tasks really take")
{
    run_time_model model;
    CHECK(model.expected("quotes", 100ms) == 100ms);
    for (int end = 0; end < 300; ++end) {
        model.observe("quotes", 100ms, 140ms);
    }
    CHECK(model.expected("quotes", 100ms) > 138ms);
    CHECK(model.expected("quotes", 100ms) < 142ms);
    CHECK(model.expected("holds", 100ms) == 100ms);
    model.observe("quotes", 0ms, 50ms); // nothing declared, nothing to learn
    CHECK(model.expected("quotes", 200ms) > 270ms);
}

TEST_CASE("a target is slow as soon as a task is overdue, and gets another chance after a while")
{
    // Pattern: some targets run six times slower for some seconds; ends come too late to tell.
    const time_point start{100s};
    target_pace pace;
    CHECK(pace.slowness(start) == doctest::Approx(1.0));
    pace.overdue(100ms, 200ms, start); // within what declared times differ by
    CHECK(pace.slowness(start) == doctest::Approx(1.0));
    pace.overdue(100ms, 300ms, start);
    CHECK(pace.slowness(start) == doctest::Approx(3.0));
    CHECK(pace.slowness(start + 9s) < 1.3);
}

TEST_CASE("a target's slowness follows the ends of its tasks")
{
    const time_point start{100s};
    target_pace pace;
    for (int end = 0; end < 30; ++end) {
        pace.ended(100ms, 400ms, start);
    }
    CHECK(pace.slowness(start) > 3.8);
    for (int end = 0; end < 30; ++end) {
        pace.ended(100ms, 100ms, start);
    }
    CHECK(pace.slowness(start) < 1.1);
}

TEST_CASE("the wait for a backlog follows the rate of the last second")
{
    const time_point start{100s};
    start_rate rate;
    CHECK(rate.timeFor(5'000, 1'000, start) == 5s); // the assumed rate
    for (int slot = 0; slot < 10; ++slot) {
        rate.started(1'000, start + slot * 100ms);
    }
    CHECK(rate.timeFor(5'000, 1'000, start + 900ms) == 500ms);
    CHECK(rate.timeFor(5'000, 1'000, start + 10s) == 5s); // old starts do not count
}

TEST_CASE("a lasting overload is refused at arrival until the backlog is short")
{
    // Pattern: a third of the targets is gone for good, so the load is 1.4 times what the rest
    // carry.
    admission_share share;
    constexpr double load = 1.4;
    double backlog = 0; // seconds of work for all targets
    double longest = 0;
    double accepted = 0;
    time_point now{100s};
    for (int step = 0; step < 300; ++step) {
        backlog = std::max(0.0, backlog + 0.1 * (load * share.share() - 1.0));
        share.update(duration{static_cast<duration::rep>(backlog * 1e6)}, now);
        now += 100ms;
        if (step >= 100) {
            longest = std::max(longest, backlog);
            accepted += share.share() / 200;
        }
    }
    CHECK(longest < 0.2);
    CHECK(accepted * load > 0.97); // the targets stay busy
    CHECK(accepted * load < 1.03);
    for (int step = 0; step < 30; ++step) {
        share.update({}, now += 100ms);
    }
    CHECK(share.share() == doctest::Approx(1.0));
}

TEST_CASE("a backlog that empties within an interval refuses nobody")
{
    // Pattern: eight tasks of several jobs at once on targets that are busy to 80%.
    admission_share share;
    time_point now{100s};
    for (int step = 0; step < 200; ++step) {
        share.update(step % 5 == 0 ? duration{} : duration{300ms}, now += 20ms);
        CHECK(share.share() == doctest::Approx(1.0));
    }
}

TEST_CASE("work is cores times run time times tasks")
{
    CHECK(workOf(3'000, 500ms, 4) == 6'000);
}
