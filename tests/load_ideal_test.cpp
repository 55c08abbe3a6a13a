#include "bamboohead/detail/load/ideal.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::detail;
using namespace std::chrono_literals;

// The ideal queue is the reference that the response times of a load test are compared with.
// replay() simulates it.

TEST_CASE("the ideal queue serves jobs by arrival or by least remaining work")
{
    // Guards against a simulation that ignores the order, so that both orders give the same end
    // times.
    const std::vector<replay_job> jobs{{0ms, {100ms}}, {10ms, {300ms}}, {20ms, {50ms}}};
    const auto first = replay(jobs, {{0ms, 1}}, ideal_order::first_come);
    CHECK(first.jobEnds == std::vector<duration>{100ms, 400ms, 450ms});
    const auto least = replay(jobs, {{0ms, 1}}, ideal_order::least_remaining);
    CHECK(least.jobEnds == std::vector<duration>{100ms, 450ms, 150ms});
}

TEST_CASE("the ideal queue uses all slots and no more")
{
    // Guards against an ideal queue with more slots than the system has, and against slots that are
    // idle while tasks wait.
    const std::vector<replay_job> jobs{{0ms, {100ms, 100ms, 100ms, 40ms}}, {0ms, {30ms}}};
    const auto result = replay(jobs, {{0ms, 2}}, ideal_order::first_come);
    CHECK(result.jobEnds == std::vector<duration>{200ms, 170ms});
    CHECK(result.taskEnds == std::vector<duration>{100ms, 100ms, 140ms, 170ms, 200ms});
}

TEST_CASE("the ideal queue starts no tasks on slots out of service and lets running tasks end")
{
    // Guards against an ideal queue that uses the slots of a zone that is out of service, or
    // interrupts the tasks that run there.
    const std::vector<replay_job> jobs{{0ms, {100ms}}, {0ms, {100ms}}, {10ms, {100ms}}};
    const auto afterReturn =
            replay(jobs, {{0ms, 2}, {50ms, 0}, {500ms, 1}}, ideal_order::first_come);
    CHECK(afterReturn.jobEnds == std::vector<duration>{100ms, 100ms, 600ms});
    const auto withoutReturn = replay(jobs, {{0ms, 2}, {50ms, 0}}, ideal_order::first_come);
    CHECK(withoutReturn.jobEnds.back() == duration::max());
}

TEST_CASE("the idle response time schedules the longest tasks first")
{
    // Guards against an idle response time that schedules tasks in the order of submission, which
    // can take longer than necessary.
    CHECK(idleResponseTime({50ms, 100ms, 70ms}, 8) == 100ms);
    CHECK(idleResponseTime({50ms, 50ms, 100ms}, 2) == 100ms);
    CHECK(idleResponseTime({10ms, 20ms, 30ms}, 1) == 60ms);
}
