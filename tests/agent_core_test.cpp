#include "agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(agent_fixture, "an order is run once and its end is reported until acknowledged")
{
    // Guards against lost results and against a second start by a repeated message.
    CHECK(credits(primaryId) == 2);
    CHECK(credits(backupId) == 2);
    const auto message = startOf({refOf(0)});
    receive(message);
    receive(message);
    CHECK(starts(refOf(0)) == 1);
    CHECK(update(refOf(0))->state() == wire::TASK_STATE_RUNNING);
    end(refOf(0));
    end(refOf(0), "second end");
    CHECK(update(refOf(0))->state() == wire::TASK_STATE_FINISHED);
    CHECK(update(refOf(0))->result() == "result");

    const auto before = updateCount(refOf(0));
    heartbeat(primaryId);
    pass(510ms);
    CHECK(updateCount(refOf(0)) == before + 1);
    acknowledge(backupId, refOf(0)); // not the destination
    heartbeat(primaryId);
    pass(510ms);
    CHECK(updateCount(refOf(0)) == before + 2);
    acknowledge(primaryId, refOf(0));
    heartbeat(primaryId);
    pass(1s);
    CHECK(updateCount(refOf(0)) == before + 2);
    receive(startOf({refOf(0)}));
    CHECK(starts(refOf(0)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "another attempt of a started task is a duplicate")
{
    // Guards against a second start of one task under a new attempt number.
    start({refOf(0)});
    start({refOf(0, 2)});
    CHECK(refusal(refOf(0, 2)) == error_kind::order_duplicate);
    end(refOf(0));
    settle();
    start({refOf(0, 3)});
    CHECK(refusal(refOf(0, 3)) == error_kind::order_duplicate);
    CHECK(starts(refOf(0)) == 1);
    CHECK(starts(refOf(0, 2)) + starts(refOf(0, 3)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "an order that is old or of unknown age is stale and stays void")
{
    // Guards against starting an order that waited in a queue while the agent was paused, after
    // its entry may have given it to another agent.
    const auto waiting = startOf({refOf(0)});
    time().advance(1001ms);
    heartbeat(primaryId);
    receive(waiting);
    CHECK(refusal(refOf(0)) == error_kind::order_stale);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::order_stale);

    for (const auto echo : {std::uint64_t{0}, toStamp(time().now() + 1h)}) {
        auto bad = startOf({refOf(1)});
        bad.set_echo_us(echo);
        receive(bad);
        CHECK(refusal(refOf(1)) == error_kind::order_stale);
    }
    CHECK(starts(refOf(0)) + starts(refOf(1)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "after a long pause queued orders are not started")
{
    // Guards against starting old orders before a fresh round trip has shown that the zone is
    // still in service.
    start({refOf(0), refOf(1)});
    start({refOf(2)}, wire::OWNER_PRIMARY); // no credit is left
    CHECK(refusal(refOf(2)) == error_kind::no_credit);
    settle();
    fence();
    start({refOf(3)}, wire::OWNER_BACKUP);
    CHECK(starts(refOf(3)) == 0);
    const auto late = startOf({refOf(4)}, wire::OWNER_BACKUP);
    const auto lateHeartbeat = heartbeatOf(primaryId, 1);
    time().advance(10s);
    receive(lateHeartbeat);
    core().targetAnnounced({service, 2, target_state::ready});
    end(refOf(0));
    receive(late);
    CHECK(starts(refOf(3)) == 0);
    CHECK(refusal(refOf(3), backupId) == error_kind::agent_not_current);
    CHECK(refusal(refOf(4), backupId) == error_kind::order_stale);
}

TEST_CASE_FIXTURE(agent_fixture, "only the owner of a home may start its tasks")
{
    // Guards against a start by the former primary after the backup has taken over, and by a
    // backup that has not fenced.
    start({refOf(0)}, wire::OWNER_BACKUP);
    CHECK(refusal(refOf(0), backupId) == error_kind::order_fenced);
    auto foreign = startOf({refOf(0)});
    foreign.set_sender(static_cast<std::uint64_t>(backupId));
    receive(foreign);
    CHECK(refusal(refOf(0), backupId) == error_kind::order_fenced);
    CHECK(starts(refOf(0)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a fence reports the tasks and refuses late orders of the primary")
{
    // Guards against a double start during a takeover, and a result that goes to the former
    // primary only.
    start({refOf(0), refOf(1)});
    end(refOf(0));
    settle();
    const auto late = startOf({refOf(2)});
    fence(primaryId); // not the backup
    CHECK(fenceReports.empty());
    fence();
    fence();
    REQUIRE(fenceReports.size() == 2);
    REQUIRE(fenceReports.back().tasks_size() == 2);
    CHECK(fenceReports.back().tasks(0).state() == wire::TASK_STATE_FINISHED);
    CHECK(fenceReports.back().tasks(0).result() == "result");
    CHECK(fenceReports.back().tasks(1).state() == wire::TASK_STATE_RUNNING);

    receive(late);
    CHECK(refusal(refOf(2)) == error_kind::order_fenced);
    CHECK(starts(refOf(2)) == 0);
    settle();
    start({refOf(2)}, wire::OWNER_BACKUP);
    CHECK(starts(refOf(2)) == 1);
    end(refOf(1));
    CHECK(update(refOf(1), backupId)->state() == wire::TASK_STATE_FINISHED);
}

TEST_CASE_FIXTURE(agent_fixture, "a fenced primary learns nothing of an order's end")
{
    // Guards against a double start: the primary would start a task that it is told was refused at
    // another agent, while the backup, which was told of its acceptance, starts it as well.
    auto again = startOf({refOf(0)});
    receive(again);
    fence();
    core().taskEnded({refOf(0), true, false, "", 0ms});
    tick();
    CHECK(refusal(refOf(0), backupId) == error_kind::target_refused);
    SUBCASE("by a query")
    {
        query(refOf(0));
    }
    SUBCASE("by a repeated order")
    {
        receive(again);
    }
    CHECK(refusal(refOf(0)) == error_kind::order_fenced);
}

TEST_CASE_FIXTURE(agent_fixture, "an order that arrives after a query for it is void")
{
    // Guards against starting a task that the entry was told is not started.
    const auto late = startOf({refOf(0)});
    query(refOf(0));
    CHECK(refusal(refOf(0)) == error_kind::order_void);
    receive(late);
    CHECK(refusal(refOf(0)) == error_kind::order_void);
    CHECK(starts(refOf(0)) == 0);

    start({refOf(1)});
    query(refOf(1));
    CHECK(update(refOf(1))->state() == wire::TASK_STATE_RUNNING);
}

TEST_CASE_FIXTURE(agent_fixture, "a query withdraws a queued order")
{
    // Guards against an order that is reported as not started and starts afterwards.
    start({refOf(0), refOf(1)});
    fence();
    start({refOf(2), refOf(3)}, wire::OWNER_BACKUP);
    query(refOf(2), primaryId); // no longer the owner
    CHECK(refusal(refOf(2), backupId) == error_kind::none);
    query(refOf(2), backupId);
    CHECK(refusal(refOf(2), backupId) == error_kind::order_void);
    end(refOf(0));
    CHECK(starts(refOf(2)) == 0);
    CHECK(starts(refOf(3)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "an old query does not void an order")
{
    // Guards against calling an order not started whose record expired after it ran.
    auto old = from(primaryId);
    toWire(refOf(0), *old.mutable_task_query()->add_refs());
    time().advance(2s);
    receive(old);
    CHECK_FALSE(update(refOf(0)));
}

TEST_CASE_FIXTURE(agent_fixture, "a zone taken out refuses new and queued orders")
{
    // Guards against starts in a zone that operators have taken out of service.
    start({refOf(0), refOf(1)});
    settle();
    fence();
    start({refOf(2)}, wire::OWNER_BACKUP);
    REQUIRE(refusal(refOf(2), backupId) == error_kind::none);
    const auto onTheWay = startOf({refOf(3)}, wire::OWNER_BACKUP);
    pushConfig(2, zoneOutText);
    heartbeat(primaryId);
    CHECK(refusal(refOf(2), backupId) == error_kind::zone_out);
    receive(onTheWay);
    CHECK(refusal(refOf(3), backupId) == error_kind::zone_out);
    end(refOf(0));
    CHECK(starts(refOf(2)) + starts(refOf(3)) == 0);
    tick();
    CHECK(credits(backupId) == 0);

    pushConfig(1, zoneInText); // an older version changes nothing
    settle();
    start({refOf(4)}, wire::OWNER_BACKUP);
    CHECK(starts(refOf(4)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "an agent without a fresh current entry starts nothing")
{
    // Guards against starts in a part of the network that is cut off from the configuration.
    pass(3100ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
    // Another version proves nothing about the held one, and is asked for.
    sent.clear();
    receive(heartbeatOf(primaryId, 2));
    const auto pulled =
            std::ranges::any_of(sent, [](const auto &m) { return m.has_config_pull(); });
    CHECK(pulled);
    start({refOf(1)});
    CHECK(refusal(refOf(1)) == error_kind::agent_not_current);
    CHECK(starts(refOf(0)) + starts(refOf(1)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a late heartbeat proves currency only from its echo on")
{
    // Guards against counting the time that a message spent in queues as proven.
    const auto late = heartbeatOf(primaryId, 1);
    pass(1500ms);
    receive(late);
    pass(600ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
}

TEST_CASE_FIXTURE(agent_fixture, "the age of the entry's own proof counts against the limit")
{
    // Guards against proofs that add up when they are passed from the store to entry to agent.
    pass(1500ms);
    auto heartbeat = heartbeatOf(primaryId, 1);
    heartbeat.mutable_entry_heartbeat()->set_currency_age_us(1'500'000);
    receive(heartbeat);
    pass(600ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
}

TEST_CASE_FIXTURE(agent_fixture, "an order for a leaving target or another service is refused")
{
    // Guards against sending work to a target that leaves or cannot run it.
    auto other = startOf({refOf(0)});
    other.mutable_start_tasks()->mutable_orders(0)->set_service("price-quote");
    receive(other);
    CHECK(refusal(refOf(0)) == error_kind::unknown_service);

    auto expired = startOf({refOf(1)});
    expired.mutable_start_tasks()->mutable_orders(0)->set_remaining_us(0);
    receive(expired);
    CHECK(refusal(refOf(1)) == error_kind::deadline_exceeded);

    core().targetAnnounced({service, 2, target_state::leaving});
    start({refOf(2)});
    CHECK(refusal(refOf(2)) == error_kind::target_leaving);
    CHECK(credits(primaryId) == 0);
    CHECK(sent.back().task_updates().issued_total() == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a silent target counts as leaving")
{
    // Guards against sending work to a target that died without notice.
    for (int i = 0; i < 4; ++i) {
        time().advance(900ms);
        settle();
    }
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::target_leaving);
}

TEST_CASE("an agent whose target never came refuses orders")
{
    // Guards against accepting work that nothing can run.
    agent_fixture agent{false};
    const auto greets = std::ranges::any_of(
            agent.sent, [](const auto &m) { return m.has_hello() && m.receiver() == 0; });
    CHECK(greets);
    agent.start({refOf(0)});
    CHECK(agent.refusal(refOf(0)) == error_kind::no_target);
    CHECK(agent.credits(backupId) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "an order with the longest deadline runs")
{
    // Guards against an overflow of the deadline, which refused such orders as expired.
    auto order = startOf({refOf(0)});
    order.mutable_start_tasks()->mutable_orders(0)->set_remaining_us(
            static_cast<std::uint64_t>(duration::max().count()));
    receive(order);
    CHECK(starts(refOf(0)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "a stopping agent ends its tasks and delivers their results")
{
    // Guards against a planned stop that interrupts tasks or loses their results.
    start({refOf(0)});
    core().stop();
    start({refOf(1)});
    CHECK(refusal(refOf(1)) == error_kind::stopping);
    acknowledge(primaryId, refOf(1));
    pass(1s);
    CHECK_FALSE(stopped);
    end(refOf(0));
    tick();
    CHECK_FALSE(stopped);
    SUBCASE("acknowledged")
    {
        acknowledge(primaryId, refOf(0));
        tick();
        CHECK(stopped);
    }
    SUBCASE("never acknowledged")
    {
        pass(4900ms);
        CHECK_FALSE(stopped);
        pass(200ms);
        CHECK(stopped);
    }
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a target's refusal is reported as not started, its failure as run")
{
    // Guards against calling a task not run that has run, and against keeping a task from other
    // agents that has not.
    start({refOf(0), refOf(1)});
    core().taskEnded({refOf(0), true, false, "", 0ms});
    core().taskEnded({refOf(1), false, true, "HTTP status 500", 50ms});
    tick();
    CHECK(refusal(refOf(0)) == error_kind::target_refused);
    CHECK(update(refOf(1))->state() == wire::TASK_STATE_FAILED);
    CHECK(errorFromWire(update(refOf(1))->error()) == error_kind::task_failed);
    CHECK(update(refOf(1))->result() == "HTTP status 500");
    settle();
    start({refOf(0), refOf(0, 2)});
    CHECK(starts(refOf(0)) == 1);
    CHECK(starts(refOf(0, 2)) == 1);
}
