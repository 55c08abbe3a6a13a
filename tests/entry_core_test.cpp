#include "entry_fixture.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// @brief Entries 1 (graz) and 2 (linz), agent 11 (graz) with 10 credits for each entry, and a
///        session with primary 1 and backup 2.
struct two_entries : entry_fixture
{
    two_entries()
        : first{addEntry(1, "graz")}
        , second{addEntry(2, "linz")}
        , agent{addAgent(11, "graz")}
    {
        run(1s);
        session = open(1);
        settle();
        run(20ms);
    }

    entry_core &first;
    entry_core &second;
    scripted_agent &agent;
    session_id session;
};

} // namespace

TEST_CASE_FIXTURE(two_entries, "a job is placed and answered with all results in task order")
{
    // Guards against partial or reordered answers (docs/design.md, R2, R4).
    CHECK(session.home == job_home{incarnation_id{1}, incarnation_id{2}});
    submit(1, 5, job(session, 1, 3));
    REQUIRE(agent.orders.size() == 3);
    CHECK(agent.orders[0].payload() == "payload 0");
    sendUpdate(agent, 1, agent.update(2, wire::TASK_STATE_FINISHED, "r2"));
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FINISHED, "r0"));
    CHECK_FALSE(answered(5));
    sendUpdate(agent, 1, agent.update(1, wire::TASK_STATE_FINISHED, "r1"));
    REQUIRE(answered(5));
    CHECK(answer(5).outcome == job_outcome::complete);
    CHECK(answer(5).results == std::vector<std::string>{"r0", "r1", "r2"});
    run(300ms); // acknowledgements are delayed by less than the agent's report interval
    CHECK(agent.acks == 3);
    CHECK(first.dump().at("config_version") == 1);
}

TEST_CASE_FIXTURE(two_entries, "a resubmission waits for the existing job and starts nothing")
{
    // Guards against a second start of tasks when a caller resubmits its job (docs/design.md,
    // R1 and R6).
    submit(1, 5, job(session, 1));
    submit(1, 6, job(session, 1));
    submit(2, 7, job(session, 1));
    CHECK(agent.orders.size() == 1);
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FINISHED, "r"));
    for (const std::uint64_t request : {5, 6, 7}) {
        CAPTURE(request);
        REQUIRE(answered(request));
        CHECK(answer(request).results == std::vector<std::string>{"r"});
    }
    SUBCASE("a resubmission with other content is an error")
    {
        submit(1, 8, job(session, 1, 2));
        CHECK(answer(8).error == error_kind::content_mismatch);
    }
    SUBCASE("the answer is kept for 60 s, the outcome longer")
    {
        run(59s);
        submit(1, 8, job(session, 1));
        CHECK(answer(8).results == std::vector<std::string>{"r"});
        run(2s);
        submit(1, 9, job(session, 1));
        CHECK(answer(9).error == error_kind::answer_expired);
        submit(1, 10, job(session, 1, 2));
        CHECK(answer(10).error == error_kind::content_mismatch);
    }
    CHECK(agent.orders.size() == 1);
}

TEST_CASE_FIXTURE(two_entries, "a job of an expired session is never started")
{
    // Guards against a very late submission that repeats a job whose outcome has expired.
    run(601s);
    submit(1, 5, job(session, 1));
    CHECK(answer(5).error == error_kind::session_expired);
    CHECK(agent.orders.empty());
}

TEST_CASE_FIXTURE(two_entries, "a refusal is final for its job id")
{
    // Guards against a start of the job by a late copy of a refused request (docs/design.md, R5).
    auto refused = job(session, 1);
    refused.team = "nobody";
    submit(1, 5, refused);
    CHECK(answer(5).error == error_kind::unknown_team);
    CHECK_FALSE(answer(5).mayHaveRun);
    submit(1, 6, refused);
    CHECK(answer(6).error == error_kind::unknown_team);
    SUBCASE("a refusal stays final after its cause is gone")
    {
        agent.silent = true;
        run(3s);
        submit(1, 7, job(session, 2));
        CHECK(answer(7).error == error_kind::no_target);
        agent.silent = false;
        run(1s);
        submit(1, 8, job(session, 2));
        CHECK(answer(8).error == error_kind::no_target);
        CHECK(agent.orders.empty());
    }
}

TEST_CASE_FIXTURE(
        two_entries,
        "no task starts before the backup has acknowledged the record or 250 ms have passed")
{
    // Guards against starts that a takeover would not take into account
    // (docs/design.md 2.1, rule 2).
    dropMessage = [](const wire::Envelope &envelope) { return envelope.has_record_ack(); };
    submit(1, 5, job(session, 1));
    run(240ms);
    CHECK(agent.orders.empty());
    run(20ms);
    CHECK(agent.orders.size() == 1);
    SUBCASE("later jobs wait again once the backup is proven alive")
    {
        run(1s);
        submit(1, 6, job(session, 2));
        CHECK(agent.orders.size() == 1);
        dropMessage = [](const auto &) { return false; };
        run(300ms);
        submit(1, 7, job(session, 3));
        CHECK(agent.orders.size() == 3);
    }
    SUBCASE("later jobs do not wait for a backup that is silent")
    {
        kill("e2");
        submit(1, 6, job(session, 2));
        CHECK(agent.orders.size() == 2);
    }
}

TEST_CASE_FIXTURE(two_entries, "an agent is used only after the backup has acknowledged it")
{
    // Guards against starts on agents that a takeover would not fence (docs/design.md 2.1, rule 3).
    dropMessage = [](const wire::Envelope &envelope) { return envelope.has_scope_ack(); };
    auto &late = addAgent(12, "linz");
    run(1s);
    submit(1, 5, job(session, 1, 20));
    run(500ms);
    CHECK(late.orders.empty());
    CHECK(agent.orders.size() == 10);
    dropMessage = [](const auto &) { return false; };
    run(300ms);
    CHECK(late.orders.size() == 10);
}

TEST_CASE_FIXTURE(two_entries, "late and duplicate updates change nothing and are acknowledged")
{
    // Guards against results of another attempt, and against endless resends of updates.
    submit(1, 5, job(session, 1, 2));
    const auto update0 = agent.update(0, wire::TASK_STATE_FINISHED, "r0");
    sendUpdate(agent, 1, update0);
    sendUpdate(agent, 1, update0);
    CHECK_FALSE(answered(5));
    auto refusal = agent.update(1, wire::TASK_STATE_REFUSED);
    refusal.set_error(toWire(error_kind::zone_out));
    sendUpdate(agent, 1, refusal);
    run(100ms);
    REQUIRE(agent.orders.size() == 3);
    CHECK(agent.orders[2].ref().attempt() == agent.orders[1].ref().attempt() + 1);
    sendUpdate(agent, 1, refusal);
    sendUpdate(agent, 1, agent.update(1, wire::TASK_STATE_FINISHED, "void attempt"));
    CHECK_FALSE(answered(5));
    sendUpdate(agent, 1, agent.update(2, wire::TASK_STATE_FINISHED, "r1"));
    REQUIRE(answered(5));
    CHECK(answer(5).results == std::vector<std::string>{"r0", "r1"});
    sendUpdate(agent, 1, update0);
    run(300ms);             // longer than the delay of acknowledgements and one sweep
    CHECK(agent.acks == 7); // one for each update sent above
}

TEST_CASE_FIXTURE(two_entries, "a refusal as a duplicate does not start the task again")
{
    // Guards against a second start after the network has duplicated an order (docs/design.md, R1).
    submit(1, 5, job(session, 1));
    auto refusal = agent.update(0, wire::TASK_STATE_REFUSED);
    refusal.set_error(toWire(error_kind::order_duplicate));
    sendUpdate(agent, 1, refusal);
    run(1s);
    CHECK(agent.orders.size() == 1);
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FINISHED, "r"));
    CHECK(answered(5));
}

TEST_CASE_FIXTURE(two_entries, "a failed task fails its job at once")
{
    submit(1, 5, job(session, 1, 20));
    CHECK(agent.orders.size() == 10);
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FAILED, "broken"));
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::task_failed);
    CHECK(answer(5).mayHaveRun);
    agent.issued = 30;
    run(500ms);
    CHECK(agent.orders.size() == 10);
}

TEST_CASE_FIXTURE(two_entries,
                  "orders without updates are queried and jobs of a failed agent end as unknown")
{
    // Guards against jobs that never end because an order was lost, and against a second start of
    // tasks whose outcome is unknown.
    submit(1, 5, job(session, 1));
    run(1400ms);
    CHECK(agent.queries == 0);
    run(700ms);
    CHECK(agent.queries >= 1);
    SUBCASE("the agent sends no more heartbeats")
    {
        agent.silent = true;
        run(2200ms);
    }
    SUBCASE("another incarnation sends heartbeats from its endpoint")
    {
        agent.restart(99);
        run(400ms);
    }
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::outcome_unknown);
    CHECK(agent.orders.size() == 1);
}

TEST_CASE_FIXTURE(
        two_entries,
        "an expired job without orders is \"not run\" only after the backup acknowledges its close")
{
    // Guards against the answer "not run" while the backup could still resume the job
    // (docs/design.md, R5 and rule 8).
    submit(1, 4, job(session, 9, 10)); // uses up all credits
    const auto placed = agent.orders.size();
    auto late = job(session, 1);
    late.deadline = 400ms;
    bool confirmed = false;
    SUBCASE("the backup acknowledges the close")
    {
        confirmed = true;
    }
    SUBCASE("the backup's acknowledgement is lost")
    {
        dropMessage = [](const wire::Envelope &envelope) {
            return envelope.has_record_close_ack();
        };
    }
    submit(1, 5, late);
    run(410ms);
    CHECK(answered(5) == confirmed);
    run(600ms);
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::deadline_exceeded);
    CHECK(answer(5).mayHaveRun == !confirmed);
    CHECK(agent.orders.size() == placed);
}

TEST_CASE_FIXTURE(two_entries, "a job past its deadline with an outstanding order may have run")
{
    auto timed = job(session, 1);
    timed.deadline = 500ms;
    submit(1, 5, timed);
    CHECK(agent.orders.size() == 1);
    run(510ms);
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::deadline_exceeded);
    CHECK(answer(5).mayHaveRun);
}

TEST_CASE_FIXTURE(two_entries, "a cancelled job starts no further task")
{
    submit(1, 5, job(session, 1, 20));
    first.cancel(caller_request{6}, job_id{session, 1});
    settle();
    CHECK(answer(5).error == error_kind::cancelled);
    CHECK(answer(5).mayHaveRun);
    CHECK(answer(6).error == error_kind::cancelled);
    agent.issued = 30;
    run(300ms);
    CHECK(agent.orders.size() == 10);
    SUBCASE("a cancellation that arrives before the submission prevents the start")
    {
        second.cancel(caller_request{7}, job_id{session, 2});
        settle();
        CHECK(answer(7).error == error_kind::cancelled);
        submit(1, 8, job(session, 2));
        CHECK(answer(8).error == error_kind::cancelled);
        CHECK_FALSE(answer(8).mayHaveRun);
        CHECK(agent.orders.size() == 10);
    }
}
