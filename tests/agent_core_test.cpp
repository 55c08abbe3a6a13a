#include "agent_fixture.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(agent_fixture,
                  "an order is run once and its outcome is reported until acknowledged")
{
    // Guards against lost results, and against a second start when a message is delivered twice.
    CHECK(credits(primaryId) == 2);
    CHECK(credits(backupId) == 2);
    const auto message = startMessage({refOf(0)});
    receive(message);
    receive(message);
    CHECK(startCount(refOf(0)) == 1);
    CHECK(update(refOf(0))->state() == wire::TASK_STATE_RUNNING);
    endTask(refOf(0));
    endTask(refOf(0), "second end");
    CHECK(update(refOf(0))->state() == wire::TASK_STATE_FINISHED);
    CHECK(update(refOf(0))->result() == "result");

    const auto before = updateCount(refOf(0));
    heartbeat(primaryId);
    pass(510ms);
    CHECK(updateCount(refOf(0)) == before + 1);
    acknowledge(backupId, refOf(0)); // ignored: the backup is not the destination
    heartbeat(primaryId);
    pass(510ms);
    CHECK(updateCount(refOf(0)) == before + 2);
    acknowledge(primaryId, refOf(0));
    heartbeat(primaryId);
    pass(1s);
    CHECK(updateCount(refOf(0)) == before + 2);
    receive(startMessage({refOf(0)}));
    CHECK(startCount(refOf(0)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "another attempt of a started task is refused as a duplicate")
{
    // Guards against a second start of one task under a new attempt number.
    start({refOf(0)});
    start({refOf(0, 2)});
    CHECK(refusal(refOf(0, 2)) == error_kind::order_duplicate);
    endTask(refOf(0));
    exchangeHeartbeats();
    start({refOf(0, 3)});
    CHECK(refusal(refOf(0, 3)) == error_kind::order_duplicate);
    CHECK(startCount(refOf(0)) == 1);
    CHECK(startCount(refOf(0, 2)) + startCount(refOf(0, 3)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "an order that is old or of unknown age is refused as stale and stays void")
{
    // Guards against starting an order that waited in a queue while the agent was paused: its entry
    // may have sent the task to another agent in the meantime.
    const auto waiting = startMessage({refOf(0)});
    time().advance(1001ms);
    heartbeat(primaryId);
    receive(waiting);
    CHECK(refusal(refOf(0)) == error_kind::order_stale);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::order_stale);

    for (const auto echo : {std::uint64_t{0}, toStamp(time().now() + 1h)}) {
        auto bad = startMessage({refOf(1)});
        bad.set_echo_us(echo);
        receive(bad);
        CHECK(refusal(refOf(1)) == error_kind::order_stale);
    }
    CHECK(startCount(refOf(0)) + startCount(refOf(1)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "queued orders are not started after the agent was paused")
{
    // Guards against starting old orders after the agent was paused, before a fresh round trip to
    // an entry has confirmed that the zone is still in service.
    //
    // The primary's orders occupy both slots and use its two credits. After the fence the backup
    // sends orders with its own credits; the first one is queued before the pause of 10 s, the
    // second one arrives after it.
    start({refOf(0), refOf(1)});
    start({refOf(2)}, wire::OWNER_PRIMARY); // the primary has no credit left
    CHECK(refusal(refOf(2)) == error_kind::no_credit);
    exchangeHeartbeats();
    fence();
    start({refOf(3)}, wire::OWNER_BACKUP);
    CHECK(startCount(refOf(3)) == 0);
    const auto late = startMessage({refOf(4)}, wire::OWNER_BACKUP);
    const auto lateHeartbeat = heartbeatMessage(primaryId, 1);
    time().advance(10s);
    receive(lateHeartbeat);
    core().targetAnnounced({service, 2, target_state::ready});
    endTask(refOf(0));
    receive(late);
    CHECK(startCount(refOf(3)) == 0);
    CHECK(refusal(refOf(3), backupId) == error_kind::agent_not_current);
    CHECK(refusal(refOf(4), backupId) == error_kind::order_stale);
}

TEST_CASE_FIXTURE(agent_fixture, "only orders of a home's owner are accepted")
{
    // Guards against a start by the former primary after the backup has taken over, and by a
    // backup that has not fenced the home.
    start({refOf(0)}, wire::OWNER_BACKUP);
    CHECK(refusal(refOf(0), backupId) == error_kind::order_fenced);
    auto foreign = startMessage({refOf(0)});
    foreign.set_sender(static_cast<std::uint64_t>(backupId));
    receive(foreign);
    CHECK(refusal(refOf(0), backupId) == error_kind::order_fenced);
    CHECK(startCount(refOf(0)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a fence reports the tasks and refuses late orders of the primary")
{
    // Guards against a task that is started twice during a takeover, and against a result that is
    // reported to the former primary only.
    start({refOf(0), refOf(1)});
    endTask(refOf(0));
    exchangeHeartbeats();
    const auto late = startMessage({refOf(2)});
    fence(primaryId); // ignored: only the backup may fence
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
    CHECK(startCount(refOf(2)) == 0);
    exchangeHeartbeats();
    start({refOf(2)}, wire::OWNER_BACKUP);
    CHECK(startCount(refOf(2)) == 1);
    endTask(refOf(1));
    CHECK(update(refOf(1), backupId)->state() == wire::TASK_STATE_FINISHED);
}

TEST_CASE_FIXTURE(agent_fixture, "a fenced primary does not receive the outcome of an order")
{
    // Guards against a task that is started twice: if the primary received the refusal, it would
    // start the task on another agent, while the backup, which counts the task as accepted here,
    // starts it as well.
    auto again = startMessage({refOf(0)});
    receive(again);
    fence();
    // `notStarted` is true and `failed` false: the target refused the task.
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
    // Guards against starting a task that was reported to the entry as not started.
    const auto late = startMessage({refOf(0)});
    query(refOf(0));
    CHECK(refusal(refOf(0)) == error_kind::order_void);
    receive(late);
    CHECK(refusal(refOf(0)) == error_kind::order_void);
    CHECK(startCount(refOf(0)) == 0);

    start({refOf(1)});
    query(refOf(1));
    CHECK(update(refOf(1))->state() == wire::TASK_STATE_RUNNING);
}

TEST_CASE_FIXTURE(agent_fixture, "a query withdraws a queued order")
{
    // Guards against an order that is reported as not started and is started afterwards.
    start({refOf(0), refOf(1)});
    fence();
    start({refOf(2), refOf(3)}, wire::OWNER_BACKUP);
    query(refOf(2), primaryId); // has no effect: the primary is no longer the owner
    CHECK(refusal(refOf(2), backupId) == error_kind::none);
    query(refOf(2), backupId);
    CHECK(refusal(refOf(2), backupId) == error_kind::order_void);
    endTask(refOf(0));
    CHECK(startCount(refOf(2)) == 0);
    CHECK(startCount(refOf(3)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "an old query does not void an order")
{
    // Guards against reporting an order as not started when it ran and its record has expired.
    auto old = from(primaryId);
    toWire(refOf(0), *old.mutable_task_query()->add_refs());
    time().advance(2s);
    receive(old);
    CHECK_FALSE(update(refOf(0)));
}

TEST_CASE_FIXTURE(agent_fixture, "an agent in a zone out of service refuses new and queued orders")
{
    // Guards against starting tasks in a zone that operators have taken out of service.
    start({refOf(0), refOf(1)});
    exchangeHeartbeats();
    fence();
    start({refOf(2)}, wire::OWNER_BACKUP);
    REQUIRE(refusal(refOf(2), backupId) == error_kind::none);
    const auto inFlight = startMessage({refOf(3)}, wire::OWNER_BACKUP);
    pushConfig(2, zoneOutText);
    heartbeat(primaryId);
    CHECK(refusal(refOf(2), backupId) == error_kind::zone_out);
    receive(inFlight);
    CHECK(refusal(refOf(3), backupId) == error_kind::zone_out);
    endTask(refOf(0));
    CHECK(startCount(refOf(2)) + startCount(refOf(3)) == 0);
    tick();
    CHECK(credits(backupId) == 0);

    pushConfig(1, zoneInText); // an older version changes nothing
    exchangeHeartbeats();
    start({refOf(4)}, wire::OWNER_BACKUP);
    CHECK(startCount(refOf(4)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "an agent without a recent message from a current entry starts nothing")
{
    // Guards against starting tasks in a network partition that receives no configuration changes.
    pass(3100ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
    // A heartbeat with a newer version does not confirm the version that the agent has, so the
    // agent requests the newer one.
    sent.clear();
    receive(heartbeatMessage(primaryId, 2));
    const auto pulled =
            std::ranges::any_of(sent, [](const auto &m) { return m.has_config_pull(); });
    CHECK(pulled);
    start({refOf(1)});
    CHECK(refusal(refOf(1)) == error_kind::agent_not_current);
    CHECK(startCount(refOf(0)) + startCount(refOf(1)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "a delayed heartbeat confirms the configuration as of its echoed timestamp")
{
    // Guards against taking the arrival time of a message that was delayed in queues as the time of
    // the confirmation.
    const auto late = heartbeatMessage(primaryId, 1);
    pass(1500ms);
    receive(late);
    pass(600ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "the age of the entry's own confirmation adds to the age of the agent's")
{
    // Guards against a confirmation of the configuration that stays valid beyond the limit of 2 s
    // (maxProofAge), because each process on the way from the store to the entry to the agent
    // restarts its age.
    pass(1500ms);
    auto heartbeat = heartbeatMessage(primaryId, 1);
    heartbeat.mutable_entry_heartbeat()->set_currency_age_us(1'500'000);
    receive(heartbeat);
    pass(600ms);
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::agent_not_current);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "an expired order, or one for a leaving target or another service, is refused")
{
    // Guards against starting tasks after their deadline, or on a target that is leaving or does
    // not offer the service.
    auto other = startMessage({refOf(0)});
    other.mutable_start_tasks()->mutable_orders(0)->set_service("price-quote");
    receive(other);
    CHECK(refusal(refOf(0)) == error_kind::unknown_service);

    auto expired = startMessage({refOf(1)});
    expired.mutable_start_tasks()->mutable_orders(0)->set_remaining_us(0);
    receive(expired);
    CHECK(refusal(refOf(1)) == error_kind::deadline_exceeded);

    core().targetAnnounced({service, 2, target_state::leaving});
    start({refOf(2)});
    CHECK(refusal(refOf(2)) == error_kind::target_leaving);
    CHECK(credits(primaryId) == 0);
    CHECK(sent.back().task_updates().issued_total() == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a target without announcements counts as leaving")
{
    // Guards against starting tasks on a target that crashed without announcing that it leaves.
    for (int i = 0; i < 4; ++i) {
        time().advance(900ms);
        exchangeHeartbeats();
    }
    start({refOf(0)});
    CHECK(refusal(refOf(0)) == error_kind::target_leaving);
}

TEST_CASE("an agent whose target was never announced refuses orders")
{
    // Guards against accepting orders that no target can run.
    agent_fixture agent{false};
    const auto sentHello = std::ranges::any_of(
            agent.sent, [](const auto &m) { return m.has_hello() && m.receiver() == 0; });
    CHECK(sentHello);
    agent.start({refOf(0)});
    CHECK(agent.refusal(refOf(0)) == error_kind::no_target);
    CHECK(agent.credits(backupId) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "an order with the longest deadline runs")
{
    // Guards against an overflow in the computation of the deadline, which caused such orders to be
    // refused as expired.
    auto order = startMessage({refOf(0)});
    order.mutable_start_tasks()->mutable_orders(0)->set_remaining_us(
            static_cast<std::uint64_t>(duration::max().count()));
    receive(order);
    CHECK(startCount(refOf(0)) == 1);
}

TEST_CASE_FIXTURE(agent_fixture, "a stopping agent completes its tasks and delivers their results")
{
    // Guards against a graceful shutdown that interrupts tasks or loses their results.
    start({refOf(0)});
    core().stop();
    start({refOf(1)});
    CHECK(refusal(refOf(1)) == error_kind::stopping);
    acknowledge(primaryId, refOf(1));
    pass(1s);
    CHECK_FALSE(stopped);
    endTask(refOf(0));
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
                  "a refusal by the target is reported as not started, a failure as failed")
{
    // Guards against reporting a task as not run that has run, and against reporting a task as run
    // that has not, which would keep it from being started elsewhere.
    start({refOf(0), refOf(1)});
    // `notStarted` is true for the first task, `failed` for the second.
    core().taskEnded({refOf(0), true, false, "", 0ms});
    core().taskEnded({refOf(1), false, true, "HTTP status 500", 50ms});
    tick();
    CHECK(refusal(refOf(0)) == error_kind::target_refused);
    CHECK(update(refOf(1))->state() == wire::TASK_STATE_FAILED);
    CHECK(errorFromWire(update(refOf(1))->error()) == error_kind::task_failed);
    CHECK(update(refOf(1))->result() == "HTTP status 500");
    exchangeHeartbeats();
    start({refOf(0), refOf(0, 2)});
    CHECK(startCount(refOf(0)) == 1);
    CHECK(startCount(refOf(0, 2)) == 1);
}
