#include "entry_fixture.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(entry_fixture,
                  "an agent in a zone out of service gets no order and doesn't block other agents")
{
    // Guards against starts in a zone that operators have taken out of service (docs/design.md,
    // R3).
    addEntry(1, "graz");
    auto &out = addAgent(11, "wien");
    auto &in = addAgent(12, "graz");
    run(1s);
    submit(1, 5, job(open(1), 1, 15));
    CHECK(out.orders.empty());
    CHECK(in.orders.size() == 10);
}

TEST_CASE_FIXTURE(entry_fixture, "an entry that cannot confirm its configuration starts nothing")
{
    // Guards against starts after a zone change that this entry has not seen (docs/design.md, R3).
    addEntry(1, "graz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto session = open(1);
    submit(1, 5, job(session, 1, 20));
    CHECK(agent.orders.size() == 10);
    storeReadable = false;
    agent.issued = 15;
    run(1900ms);
    CHECK(agent.orders.size() == 15);
    run(200ms);
    agent.issued = 20;
    run(500ms);
    CHECK(agent.orders.size() == 15);
    submit(1, 6, job(session, 2));
    CHECK(answer(6).error == error_kind::not_current);
    CHECK_FALSE(answer(6).mayHaveRun);
    storeReadable = true;
    run(100ms);
    CHECK(agent.orders.size() == 20);
}

TEST_CASE_FIXTURE(entry_fixture,
                  "entries of most zones confirm the configuration without the store")
{
    // Guards against a stop of all work when the store is unavailable. An entry is then current as
    // long as live processes of most zones in service report its configuration version.
    addEntry(1, "graz");
    addEntry(2, "linz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto session = open(1);
    storeReadable = false;
    run(10s);
    submit(1, 5, job(session, 1));
    CHECK(agent.orders.size() == 1);
    SUBCASE("an entry is not current when the entry of the other zone has failed")
    {
        kill("e2");
        run(4s);
        submit(1, 6, job(session, 2));
        CHECK(answer(6).error == error_kind::not_current);
        CHECK(agent.orders.size() == 1);
    }
}

TEST_CASE_FIXTURE(entry_fixture, "agents of most zones confirm the configuration without the store")
{
    // Guards against a stop of all work when the store is unavailable and the other entries have
    // failed.
    addEntry(1, "graz");
    auto &near = addAgent(11, "graz");
    auto &far = addAgent(12, "linz");
    run(1s);
    storeReadable = false;
    SUBCASE("the agents report the entry's configuration version")
    {
        run(10s);
        submit(1, 5, job(open(1), 1));
        CHECK(near.orders.size() + far.orders.size() == 1);
    }
    SUBCASE("the agent of the other zone reports another version")
    {
        far.version = 0;
        run(10s);
        submit(1, 5, job(open(1), 1));
        CHECK(answer(5).error == error_kind::not_current);
    }
}

TEST_CASE_FIXTURE(entry_fixture, "agents are sent the member list when an entry joins")
{
    // Guards against an entry that gets no share of the credits at first, because agents request
    // the member list only every 10 s. Here a second entry joins one;
    // entry_home_test.cpp has a third one that joins two.
    addEntry(1, "graz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    addEntry(2, "linz");
    run(1s);
    CHECK(agent.members == 2);
}

TEST_CASE_FIXTURE(entry_fixture, "a pushed configuration reaches the other entries at once")
{
    // Guards against an accepted configuration that only one entry adopts (docs/design.md, R9).
    auto &first = addEntry(1, "graz");
    auto &second = addEntry(2, "linz");
    run(1s);
    storeReadable = false;
    first.manifestPushed(config_version{7}, manifestText());
    settle();
    CHECK(second.dump().at("config_version") == 7);
    second.manifestPushed(config_version{6}, manifestText());
    CHECK(second.dump().at("config_version") == 7);
}

TEST_CASE_FIXTURE(entry_fixture,
                  "a home whose scope lacks the only agent does not block jobs of other homes")
{
    // Guards against a job that cannot be placed and blocks all jobs behind it in the queue.
    addEntry(1, "graz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto alone = open(1); // no other entry yet, so no backup
    CHECK(alone.home.backup == incarnation_id::none);
    addEntry(2, "linz");
    dropMessage = [](const wire::Envelope &envelope) { return envelope.has_scope_ack(); };
    run(1s);
    const auto paired = open(1);
    CHECK(paired.home.backup == incarnation_id{2});
    submit(1, 5, job(paired, 1));
    submit(1, 6, job(alone, 1, 3));
    CHECK(agent.orders.size() == 3);
    dropMessage = [](const auto &) { return false; };
    run(300ms);
    CHECK(agent.orders.size() == 4);
}

TEST_CASE_FIXTURE(entry_fixture, "without a backup an expired job without orders is \"not run\"")
{
    addEntry(1, "graz");
    auto &agent = addAgent(11, "graz");
    agent.issued = 0;
    run(1s);
    auto late = job(open(1), 1);
    late.deadline = 600ms;
    submit(1, 5, late);
    run(610ms);
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::deadline_exceeded);
    CHECK_FALSE(answer(5).mayHaveRun);
    CHECK(agent.orders.empty());
}

TEST_CASE_FIXTURE(entry_fixture, "a caller that does not wait is answered on acceptance")
{
    auto &first = addEntry(1, "graz");
    addEntry(2, "linz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto session = open(1);
    first.submit(caller_request{5}, job(session, 1), false);
    settle();
    REQUIRE(answered(5));
    CHECK(answer(5).outcome == job_outcome::pending);
    entry(2).submit(caller_request{6}, job(session, 2), false);
    settle();
    REQUIRE(answered(6));
    CHECK(answer(6).outcome == job_outcome::pending);
    first.query(caller_request{7}, job_id{session, 1}, true);
    first.query(caller_request{8}, job_id{session, 1}, true);
    first.callerDisconnected(caller_request{7});
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FINISHED, "r"));
    CHECK_FALSE(answered(7));
    CHECK(answer(8).results == std::vector<std::string>{"r"});
    first.query(caller_request{9}, job_id{session, 3}, true);
    settle();
    CHECK(answer(9).error == error_kind::unknown_job);
}

TEST_CASE_FIXTURE(entry_fixture,
                  "an entry whose process was paused does not consider its peers failed")
{
    // Guards against takeovers and failed jobs after a pause of the entry's process. Here all
    // processes are paused.
    addEntry(1, "graz");
    addEntry(2, "linz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto session = open(2);
    submit(2, 5, job(session, 1));
    REQUIRE(agent.orders.size() == 1);
    time.advance(3s);
    run(2s);
    CHECK(entry(1).counters().takeovers == 0);
    CHECK_FALSE(answered(5));
}

TEST_CASE_FIXTURE(entry_fixture, "a forwarded submission that waited in a queue is dropped")
{
    // Guards against a start long after the forwarding entry has answered the caller
    // (docs/design.md 2.1).
    addEntry(1, "graz");
    addEntry(2, "linz");
    auto &agent = addAgent(11, "graz");
    run(1s);
    const auto session = open(1);
    std::vector<wire::Envelope> delayed;
    dropMessage = [&](const wire::Envelope &envelope) {
        if (envelope.has_job_forward()) {
            delayed.push_back(envelope);
        }
        return envelope.has_job_forward();
    };
    submit(2, 5, job(session, 1));
    REQUIRE(delayed.size() == 1);
    entry(2).callerDisconnected(caller_request{5});
    run(2100ms);
    entry(1).receive(delayed[0]);
    settle();
    CHECK(agent.orders.empty());
}
