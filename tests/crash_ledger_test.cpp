#include "bamboohead/dispatch/crash_ledger.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr batch_task task{batch_job_id{7}, 0, 3};
constexpr incarnation_id firstAgent{1};
constexpr incarnation_id secondAgent{2};
const time_point start{10s};

} // namespace

// Guards against a task that is given up because reports repeat the same crash.
TEST_CASE("a task is given up after two different crashes")
{
    crash_ledger ledger;
    CHECK_FALSE(ledger.suspect(task));
    CHECK_FALSE(ledger.recordCrash(task, {firstAgent, 1}, start));
    CHECK_FALSE(ledger.recordCrash(task, {firstAgent, 1}, start + 1s));
    CHECK(ledger.suspect(task));
    CHECK_FALSE(ledger.givenUp(task.job));
    SUBCASE("of two targets")
    {
        CHECK(ledger.recordCrash(task, {secondAgent, 1}, start + 2s));
    }
    SUBCASE("of one target")
    {
        CHECK(ledger.recordCrash(task, {firstAgent, 2}, start + 2s));
    }
    CHECK(ledger.crashes(task) == 2);
    CHECK(ledger.givenUp(task.job));
    CHECK_FALSE(ledger.givenUp(batch_job_id{6}));
    CHECK_FALSE(ledger.givenUp(batch_job_id{8}));
}

// Guards against a task that is given up because of silent targets that have not crashed.
TEST_CASE("losses make a suspect, and two delay its next start, but prove no crash")
{
    crash_ledger ledger;
    ledger.recordLoss(task, start);
    CHECK(ledger.suspect(task));
    CHECK(ledger.earliestStart(task) == time_point{});
    ledger.recordLoss(task, start + 2s);
    CHECK(ledger.earliestStart(task) == start + 6s);
    for (int loss = 0; loss < 10; ++loss) {
        ledger.recordLoss(task, start + 3s);
    }
    CHECK(ledger.crashes(task) == 0);
    CHECK_FALSE(ledger.givenUp(task.job));
}

// Guards against the memory of a process that grows with each crash.
TEST_CASE("a ledger forgets tasks that have succeeded, the oldest ones and those of long ago")
{
    crash_ledger_limits limits;
    limits.maxTasks = 2;
    crash_ledger ledger{limits};
    ledger.recordLoss(task, start);
    SUBCASE("success")
    {
        ledger.remove(task);
    }
    SUBCASE("retention")
    {
        ledger.removeExpired(start + 59s);
        CHECK(ledger.suspect(task));
        ledger.removeExpired(start + 60s);
    }
    SUBCASE("size")
    {
        ledger.recordLoss({batch_job_id{1}, 0, 0}, start + 1s);
        ledger.recordLoss({batch_job_id{9}, 0, 0}, start + 2s);
        CHECK(ledger.size() == 2);
    }
    CHECK_FALSE(ledger.suspect(task));
}
