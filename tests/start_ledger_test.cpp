#include "bamboohead/dispatch/start_ledger.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{};

batch_task taskOf(std::uint32_t index)
{
    return {batch_job_id{1}, 0, index};
}

} // namespace

TEST_CASE("a task is bound to its target until the start can no longer be executed")
{
    start_ledger ledger;
    CHECK(ledger.record(taskOf(0), "i-1", start + 60s));
    CHECK_FALSE(ledger.record(taskOf(0), "i-1", start + 50s)); // does not shorten the doubt
    CHECK_FALSE(ledger.record(taskOf(0), "i-1", start + 70s));
    CHECK(ledger.targetOf(taskOf(0), start + 69s) == "i-1");
    CHECK(ledger.targetOf(taskOf(0), start + 70s).empty());
    CHECK(ledger.targetOf(taskOf(1), start).empty());
    ledger.removeExpired(start + 69s);
    CHECK(ledger.size() == 1);
    ledger.removeExpired(start + 70s);
    CHECK(ledger.size() == 0);
}

// Guards against a task that is started elsewhere while the lease of a replaced target lasts, and
// against one that waits for a target that has gone.
TEST_CASE("the doubts about a replaced target end with the lease of its runs")
{
    start_ledger ledger;
    ledger.record(taskOf(0), "i-1", start + 60s);
    ledger.record(taskOf(1), "i-2", start + 60s);
    ledger.endDoubts("i-1", start + 10s);
    ledger.endDoubts("i-1", start + 10'500ms); // a repeated report extends nothing
    CHECK(ledger.targetOf(taskOf(0), start + 11'049ms) == "i-1");
    CHECK(ledger.targetOf(taskOf(0), start + 11'050ms).empty());
    CHECK(ledger.targetOf(taskOf(1), start + 59s) == "i-2");
}

TEST_CASE("a full ledger forgets the tasks whose doubt ends first")
{
    start_ledger_limits limits;
    limits.maxTasks = 2;
    start_ledger ledger{limits};
    ledger.record(taskOf(0), "i-1", start + 30s);
    ledger.record(taskOf(1), "i-1", start + 10s);
    ledger.record(taskOf(2), "i-1", start + 20s);
    CHECK(ledger.size() == 2);
    CHECK(ledger.targetOf(taskOf(1), start).empty());
}
