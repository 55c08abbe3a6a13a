#include "bamboohead/target_health.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};
constexpr incarnation_id bad{1};

job_id job(std::uint64_t number)
{
    return job_id{session_id{job_home{incarnation_id{7}, incarnation_id{8}}, 1}, number};
}

/// Health records of four agents, one of them `bad`, on each of which ten jobs have succeeded.
target_health fourHealthyAgents()
{
    target_health health;
    for (std::uint64_t agent = 1; agent <= 4; ++agent) {
        for (std::uint64_t number = 100; number < 110; ++number) {
            health.taskEnded(incarnation_id{agent}, job(number), false, start);
        }
    }
    return health;
}

void failJobs(target_health &health, std::uint64_t first, std::uint64_t count, time_point now)
{
    for (auto number = first; number < first + count; ++number) {
        health.taskEnded(bad, job(number), true, now);
    }
}

} // namespace

TEST_CASE("an agent that fails three distinct jobs is suspended for one second")
{
    // Guards against a broken target that attracts more and more tasks because they fail quickly
    // and leave its slots free.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 2, start);
    health.taskEnded(bad, job(2), true, start);
    CHECK(health.usable(bad, start));
    failJobs(health, 3, 1, start);
    CHECK_FALSE(health.usable(bad, start));
    CHECK_FALSE(health.usable(bad, start + 999ms));
    CHECK(health.usable(bad, start + 1s));
    CHECK(health.usable(incarnation_id{2}, start));
}

TEST_CASE("a successful probe ends the suspension and clears the failure history")
{
    // Guards against an agent that stays suspended after its target was repaired.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 3, start);
    health.orderSent(bad, start + 1s);
    CHECK_FALSE(health.usable(bad, start + 1s));
    health.taskEnded(bad, job(4), false, start + 2s);
    CHECK(health.usable(bad, start + 2s));
    failJobs(health, 5, 2, start + 2s);
    CHECK(health.usable(bad, start + 2s));
}

TEST_CASE("each failed probe doubles the suspension, up to one minute")
{
    // Guards against a broken target that is probed every second forever.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 3, start);
    auto now = start + 1s;
    for (const auto length : {2s, 4s, 8s, 16s, 32s, 60s, 60s}) {
        CAPTURE(length.count());
        REQUIRE(health.usable(bad, now));
        health.orderSent(bad, now);
        failJobs(health, 10 + static_cast<std::uint64_t>(length.count()), 1, now);
        CHECK_FALSE(health.usable(bad, now + length - 1ms));
        now += length;
    }
    CHECK(health.usable(bad, now));
}

TEST_CASE("a probe that doesn't end is followed by another one after ten seconds")
{
    // Guards against an agent that is never used again because its probe was refused before its
    // start.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 3, start);
    health.orderSent(bad, start + 1s);
    CHECK_FALSE(health.usable(bad, start + 10s));
    CHECK(health.usable(bad, start + 12s));
}

TEST_CASE("a job that fails on several agents counts as a failure of none of them")
{
    // Guards against jobs that fail everywhere and cause the suspension of all agents.
    auto health = fourHealthyAgents();
    for (std::uint64_t number = 1; number < 50; ++number) {
        for (std::uint64_t agent = 1; agent <= 4; ++agent) {
            health.taskEnded(incarnation_id{agent}, job(number), true, start);
        }
    }
    for (std::uint64_t agent = 1; agent <= 4; ++agent) {
        CHECK(health.usable(incarnation_id{agent}, start));
    }
}

TEST_CASE("a suspension ends when the jobs that caused it fail on other agents too")
{
    // Guards against the suspension of an agent just because a faulty job ran on it first.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 3, start);
    REQUIRE_FALSE(health.usable(bad, start));
    health.taskEnded(incarnation_id{2}, job(1), true, start);
    CHECK(health.usable(bad, start));
}

TEST_CASE("a probe with a job that failed elsewhere too is repeated without a longer suspension")
{
    // Guards against a failed probe that counts against the target although the job is at fault.
    auto health = fourHealthyAgents();
    failJobs(health, 1, 3, start);
    health.taskEnded(incarnation_id{2}, job(9), true, start);
    health.orderSent(bad, start + 1s);
    failJobs(health, 9, 1, start + 1s);
    CHECK(health.usable(bad, start + 1s));
}

TEST_CASE("failures count relative to the other agents and only for ten seconds")
{
    // Guards against the suspension of agents for a failure ratio that is common to all of them.
    target_health health;
    std::uint64_t number = 1;
    for (std::uint64_t agent = 1; agent <= 4; ++agent) {
        for (int task = 0; task < 10; ++task) {
            health.taskEnded(incarnation_id{agent}, job(number++), task < 5, start);
        }
    }
    CHECK(health.usable(incarnation_id{4}, start));
    auto other = fourHealthyAgents();
    failJobs(other, 1, 2, start);
    failJobs(other, 3, 1, start + 11s);
    CHECK(other.usable(bad, start + 11s));
}
