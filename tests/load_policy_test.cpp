#include "bamboohead/dispatch/load_policy.hpp"

#include "bamboohead/clock.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

TEST_CASE("declared run times are corrected by the observed run times of the route's tasks")
{
    run_time_model model;
    CHECK(model.expected("quotes", 100ms) == 100ms);
    for (int end = 0; end < 300; ++end) {
        model.observe("quotes", 100ms, 140ms);
    }
    CHECK(model.expected("quotes", 100ms) > 138ms);
    CHECK(model.expected("quotes", 100ms) < 142ms);
    CHECK(model.expected("holds", 100ms) == 100ms);
    model.observe("quotes", 0ms, 50ms); // ignored: no declared run time
    CHECK(model.expected("quotes", 200ms) > 270ms);
}

TEST_CASE("an overdue running task marks its target as slow, and the slowness decays")
{
    // Scenario: some targets run six times slower for some seconds. Completed tasks show that too
    // late.
    const time_point start{100s};
    slowness_estimate slownessEstimate;
    CHECK(slownessEstimate.slowness(start) == doctest::Approx(1.0));
    // 200 ms instead of 100 ms is within the normal error of declared run times.
    slownessEstimate.recordProgress(100ms, 200ms, start);
    CHECK(slownessEstimate.slowness(start) == doctest::Approx(1.0));
    slownessEstimate.recordProgress(100ms, 300ms, start);
    CHECK(slownessEstimate.slowness(start) == doctest::Approx(3.0));
    CHECK(slownessEstimate.slowness(start + 9s) < 1.3);
}

TEST_CASE("a target's slowness follows the run times of its completed tasks")
{
    const time_point start{100s};
    slowness_estimate slownessEstimate;
    for (int end = 0; end < 30; ++end) {
        slownessEstimate.recordCompletion(100ms, 400ms, start);
    }
    CHECK(slownessEstimate.slowness(start) > 3.8);
    for (int end = 0; end < 30; ++end) {
        slownessEstimate.recordCompletion(100ms, 100ms, start);
    }
    CHECK(slownessEstimate.slowness(start) < 1.1);
}

TEST_CASE("the predicted wait for a backlog follows the start rate of the last second")
{
    const time_point start{100s};
    start_rate rate;
    // 5,000 millicore-seconds wait, and without observations 1,000 per second are assumed to start.
    CHECK(rate.timeToStart(5'000, 1'000, start) == 5s);
    for (int step = 0; step < 10; ++step) {
        rate.started(1'000, start + step * 100ms);
    }
    CHECK(rate.timeToStart(5'000, 1'000, start + 900ms) == 500ms);
    // Starts older than a second do not count.
    CHECK(rate.timeToStart(5'000, 1'000, start + 10s) == 5s);
}

TEST_CASE("under lasting overload enough jobs are refused at arrival to keep the backlog short")
{
    // Scenario: a third of the targets is lost permanently, so the load is 1.4 times the capacity
    // of the others.
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

TEST_CASE("a backlog that empties within an interval causes no refusals")
{
    // Scenario: the backlog is 300 ms in four of five updates and empty in the fifth, as with
    // bursts of eight tasks of several jobs on targets with a utilization of 80%.
    admission_share share;
    time_point now{100s};
    for (int step = 0; step < 200; ++step) {
        share.update(step % 5 == 0 ? duration{} : duration{300ms}, now += 20ms);
        CHECK(share.share() == doctest::Approx(1.0));
    }
}

TEST_CASE("work is the product of processor demand, run time and number of tasks")
{
    CHECK(workOf(3'000, 500ms, 4) == 6'000);
}

TEST_CASE("work rate: the last half second counts")
{
    manual_clock clock;
    work_rate rate;
    CHECK(rate.perSecond(clock.now()) == 0);
    for (int count = 0; count < 100; ++count) {
        clock.advance(20ms);
        rate.record(20, clock.now());
    }
    CHECK(rate.perSecond(clock.now()) >= 950);
    CHECK(rate.perSecond(clock.now()) <= 1'050);
    clock.advance(300ms);
    CHECK(rate.perSecond(clock.now()) < 600);
    clock.advance(400ms);
    CHECK(rate.perSecond(clock.now()) == 0);
}

// Pattern: sound targets of different speeds, with run times of a long tail. Guards against an
// estimate that forgets within seconds, and one that a few long tasks mislead.
TEST_CASE("lasting slowness: the speed of a target stays known, and long tasks count little")
{
    lasting_slowness slow;
    CHECK(slow.ratio() == 0);
    for (int count = 0; count < 100; ++count) {
        slow.record(100ms, count % 20 == 0 ? 1'050ms : 150ms);
    }
    CHECK(slow.ratio() > 1.4);
    CHECK(slow.ratio() < 1.75);
    slow.reset();
    CHECK(slow.ratio() == 0);
    slow.record(0ms, 100ms);
    CHECK(slow.ratio() == 0);
}

// Pattern: jobs that arrive in bursts. Guards against refusals because of a queue that empties
// between two bursts.
TEST_CASE("standing backlog: the lowest one of the last moments counts")
{
    standing_backlog standing;
    time_point now{100s};
    CHECK(standing.lowest(now) == 0ms);
    for (int step = 0; step < 20; ++step) {
        standing.record(step % 3 == 2 ? 0ms : 300ms, now += 20ms);
        CHECK(standing.lowest(now) == (step < 2 ? 300ms : 0ms));
    }
    for (int step = 0; step < 4; ++step) {
        standing.record(300ms, now += 20ms);
    }
    CHECK(standing.lowest(now) == 300ms);
    CHECK(standing.lowest(now + 1s) == 0ms); // nothing was recorded
}

// Pattern: a target that is slow for some seconds. Guards against a target that stays known as slow
// after it has recovered, and against run times that are scaled by a speed it no longer has.
TEST_CASE("lasting slowness: trouble of some seconds is no lasting speed, a change for good is")
{
    lasting_slowness slow;
    for (int count = 0; count < 50; ++count) {
        slow.record(100ms, 150ms);
    }
    for (int count = 0; count < 60; ++count) {
        slow.record(100ms, 870ms);
    }
    CHECK(slow.ratio() == doctest::Approx(1.5).epsilon(0.01));
    for (int count = 0; count < 100; ++count) {
        slow.record(100ms, 870ms);
    }
    CHECK(slow.ratio() > 4);
}

TEST_CASE("run time model: the deviation of a route is known")
{
    run_time_model model;
    CHECK(model.deviation("a") == 0);
    for (int count = 0; count < 500; ++count) {
        model.observe("a", 100ms, count % 2 == 0 ? 50ms : 150ms);
    }
    CHECK(model.deviation("a") == doctest::Approx(0.5).epsilon(0.1));
}
