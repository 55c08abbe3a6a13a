#include "bamboohead/detail/load/ideal.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::detail;
using namespace std::chrono_literals;

TEST_CASE("the replay serves jobs by arrival, or the least remaining work first")
{
    // Guards against an ideal that ignores its order: both would then give the same ends.
    const std::vector<replay_job> jobs{{0ms, {100ms}}, {10ms, {300ms}}, {20ms, {50ms}}};
    const auto first = replay(jobs, {{0ms, 1}}, ideal_order::first_come);
    CHECK(first.jobEnds == std::vector<duration>{100ms, 400ms, 450ms});
    const auto least = replay(jobs, {{0ms, 1}}, ideal_order::least_remaining);
    CHECK(least.jobEnds == std::vector<duration>{100ms, 450ms, 150ms});
}

TEST_CASE("the replay uses all slots and no more")
{
    // Guards against an ideal with more slots than the system, and against idle slots beside
    // waiting tasks.
    const std::vector<replay_job> jobs{{0ms, {100ms, 100ms, 100ms, 40ms}}, {0ms, {30ms}}};
    const auto result = replay(jobs, {{0ms, 2}}, ideal_order::first_come);
    CHECK(result.jobEnds == std::vector<duration>{200ms, 170ms});
    CHECK(result.taskEnds == std::vector<duration>{100ms, 100ms, 140ms, 170ms, 200ms});
}

TEST_CASE("the replay starts nothing on slots that are out, and lets running tasks end")
{
    // Guards against an ideal that keeps the slots of a zone that is out, or interrupts its tasks.
    const std::vector<replay_job> jobs{{0ms, {100ms}}, {0ms, {100ms}}, {10ms, {100ms}}};
    const auto back = replay(jobs, {{0ms, 2}, {50ms, 0}, {500ms, 1}}, ideal_order::first_come);
    CHECK(back.jobEnds == std::vector<duration>{100ms, 100ms, 600ms});
    const auto gone = replay(jobs, {{0ms, 2}, {50ms, 0}}, ideal_order::first_come);
    CHECK(gone.jobEnds.back() == duration::max());
}

TEST_CASE("the time on an idle fleet is the longest task, or the best use of few slots")
{
    // Guards against an ideal in the order of submission, which is longer than necessary.
    CHECK(idleFleetTime({50ms, 100ms, 70ms}, 8) == 100ms);
    CHECK(idleFleetTime({50ms, 50ms, 100ms}, 2) == 100ms);
    CHECK(idleFleetTime({10ms, 20ms, 30ms}, 1) == 60ms);
}
