#include "bamboohead/detail/agent/task_table.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::detail;
using namespace std::chrono_literals;

namespace {

constexpr job_home home{incarnation_id{1}, incarnation_id{2}};
constexpr time_point start{100s};

task_ref refOf(std::uint32_t task, std::uint32_t attempt = 1)
{
    return task_ref{job_id{session_id{home, 7}, 1}, task, attempt};
}

order_record &accept(task_table &table, const task_ref &ref, duration remaining = 10s)
{
    return table.accept(ref, home.primary, {"tray-availability", "payload", start + remaining});
}

} // namespace

TEST_CASE("a started task blocks other attempts until its retention period ends")
{
    // Guards against a second start of a task that ran on this agent.
    task_table table;
    auto &order = accept(table, refOf(0), 30s);
    CHECK(table.start(order) == "payload");
    CHECK(table.hasAcceptedAttempt(refOf(0, 2)));
    table.markEnded(order, error_kind::none, "result", 50ms, start + 1s);
    table.expire(start + 60s);
    CHECK(table.hasAcceptedAttempt(refOf(0, 2)));
    CHECK(table.find(refOf(0))->result == "result");
    table.expire(start + 1s + endRetention);
    CHECK(table.find(refOf(0)) == nullptr);
    CHECK(table.contentBytes() == 0);
}

TEST_CASE("an order with a late deadline is kept until after the deadline")
{
    // Guards against erasing the record of a task that its entry may still query.
    task_table table;
    auto &order = accept(table, refOf(0), 300s);
    (void)table.start(order);
    table.markEnded(order, error_kind::task_failed, "reason", 50ms, start + 1s);
    auto &other = accept(table, refOf(1), 1s);
    (void)table.start(other);
    table.markEnded(other, error_kind::none, "", 50ms, start + 2s);
    table.expire(start + 304s);
    CHECK(table.find(refOf(1)) == nullptr);
    REQUIRE(table.find(refOf(0)) != nullptr);
    CHECK(table.find(refOf(0))->state == order_state::failed);
    table.expire(start + 305s);
    CHECK(table.size() == 0);
}

TEST_CASE("a withdrawn order is void and allows another attempt of its task")
{
    // Guards against starting a void attempt, and against a task that can never be started again.
    task_table table;
    auto &order = accept(table, refOf(0));
    table.withdraw(order, error_kind::zone_out, start);
    CHECK(table.queue().empty());
    CHECK(table.queued() == 0);
    CHECK(table.find(refOf(0))->state == order_state::refused);
    CHECK_FALSE(table.hasAcceptedAttempt(refOf(0, 2)));
}

TEST_CASE("an unacknowledged outcome is resent after each interval")
{
    // Guards against a lost result, and against resending an acknowledged one.
    task_table table;
    auto &order = accept(table, refOf(0));
    (void)table.start(order);
    table.markEnded(order, error_kind::none, "result", 50ms, start);
    CHECK(table.dueReports(start + 499ms).empty());
    CHECK(table.dueReports(start + 500ms).size() == 1);
    CHECK(table.dueReports(start + 900ms).empty());
    CHECK(table.dueReports(start + 1s).size() == 1);
    task_table::acknowledge(order);
    CHECK(table.dueReports(start + 5s).empty());
    CHECK(table.allAcknowledged());
}

TEST_CASE("a fence lists the accepted orders and redirects their reports to the backup")
{
    // Guards against a takeover that misses a started task or never receives its result.
    task_table table;
    (void)table.start(accept(table, refOf(0)));
    accept(table, refOf(1));
    table.refuse(refOf(2), home.primary, error_kind::no_credit, start);
    CHECK(table.fence(home));
    CHECK_FALSE(table.fence(home));
    std::vector<std::uint32_t> listed;
    table.forEachAccepted(home, [&](const order_record &order) {
        CHECK(order.destination == home.backup);
        listed.push_back(order.ref.task);
    });
    CHECK(listed == std::vector<std::uint32_t>{0, 1});
}

TEST_CASE("there is no room for orders beyond the memory limit")
{
    // Guards against memory use that grows without limit with the size of payloads.
    task_table table;
    CHECK(table.hasRoom(maxContentBytes));
    accept(table, refOf(0));
    CHECK_FALSE(table.hasRoom(maxContentBytes));
}
