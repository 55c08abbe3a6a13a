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
    CHECK(ledger.record(taskOf(0), "i-1", "a1", start + 50s, start));
    CHECK_FALSE(ledger.record(taskOf(0), "i-1", "a1", start + 40s, start)); // shortens nothing
    CHECK_FALSE(ledger.record(taskOf(0), "i-1", "a1", start + 90s, start)); // at most 60 s
    CHECK(ledger.targetOf(taskOf(0), start + 59s) == "i-1");
    CHECK(ledger.doubtEnd(taskOf(0), "i-1") == start + 60s);
    CHECK_FALSE(ledger.targetOf(taskOf(0), start + 60s));
    CHECK_FALSE(ledger.targetOf(taskOf(1), start));
    ledger.removeExpired(start + 59s);
    CHECK(ledger.size() == 1);
    ledger.removeExpired(start + 60s);
    CHECK(ledger.size() == 0);
}

// Guards against two runs of a task of which two targets may execute a start.
TEST_CASE("a task with starts in doubt on two targets starts on neither")
{
    start_ledger ledger;
    CHECK(ledger.record(taskOf(0), "i-1", "a1", start + 10s, start));
    CHECK(ledger.record(taskOf(0), "i-2", "a2", start + 20s, start));
    CHECK(ledger.targetOf(taskOf(0), start + 9s) == "");
    CHECK(ledger.targetOf(taskOf(0), start + 10s) == "i-2");
}

// Guards against a task that is started elsewhere while the lease of a replaced target lasts, and
// against one that waits for a target that has gone.
TEST_CASE("the doubts about a replaced target end with the lease of its runs")
{
    start_ledger ledger;
    ledger.record(taskOf(0), "i-1", "a1", start + 60s, start);
    ledger.record(taskOf(1), "i-2", "a1", start + 60s, start);
    ledger.record(taskOf(2), "i-1", "a2", start + 60s, start);
    ledger.endDoubts("a1", "i-2", start + 10s);
    ledger.endDoubts("a1", "i-2", start + 10'500ms); // a repeated report extends nothing
    CHECK(ledger.targetOf(taskOf(0), start + 11'049ms) == "i-1");
    CHECK_FALSE(ledger.targetOf(taskOf(0), start + 11'050ms));
    CHECK(ledger.targetOf(taskOf(1), start + 59s) == "i-2");
    CHECK(ledger.targetOf(taskOf(2), start + 59s) == "i-1");
}

TEST_CASE("a full ledger forgets the starts whose doubt ends first")
{
    start_ledger_limits limits;
    limits.maxStarts = 2;
    start_ledger ledger{limits};
    ledger.record(taskOf(0), "i-1", "a1", start + 30s, start);
    ledger.record(taskOf(1), "i-1", "a1", start + 10s, start);
    ledger.record(taskOf(2), "i-1", "a1", start + 20s, start);
    CHECK(ledger.size() == 2);
    CHECK_FALSE(ledger.targetOf(taskOf(1), start));
}
