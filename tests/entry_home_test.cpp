#include "entry_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// @brief Entries 1 (graz) and 2 (linz), agent 11 (graz) with 10 credits for each entry, and a
///        session with primary 1 and backup 2.
struct two_entries : entry_fixture
{
    two_entries()
        : agent{addAgent(11, "graz")}
    {
        addEntry(1, "graz");
        addEntry(2, "linz");
        run(1s);
        session = open(1);
        run(20ms);
    }

    /// @brief Lets the backup fail, and then the only agent, which agent 12 replaces. The backup
    ///        can't acknowledge agent 12, so no task of the home can start any more.
    void makeHomeUnschedulable()
    {
        kill("e2");
        run(2500ms);
        agent.silent = true;
        addAgent(12, "graz");
        run(2500ms);
    }

    scripted_agent &agent;
    session_id session;
};

} // namespace

TEST_CASE_FIXTURE(two_entries,
                  "a home without a usable agent and without a live backup refuses jobs at once")
{
    // Guards against jobs that wait until their deadline in a home where no task can start, because
    // the backup that has to acknowledge new agents has failed.
    makeHomeUnschedulable();
    submit(1, 5, job(session, 1));
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::no_target);
    CHECK(answer(5).outcome == job_outcome::refused);
    submit(1, 6, job(open(1), 1));
    CHECK_FALSE(answered(6));
}

TEST_CASE_FIXTURE(two_entries, "a waiting job of an unschedulable home ends as outcome unknown")
{
    // Guards against jobs that wait until their deadline in such a home when they were accepted
    // before the backup failed. Their outcome is unknown since the backup may have their record.
    submit(1, 4, job(session, 1, 10)); // uses all credits
    for (std::size_t order = 0; order < 10; ++order) {
        sendUpdate(agent, 1, agent.update(order, wire::TASK_STATE_FINISHED, "g"));
    }
    REQUIRE(answered(4));
    auto waiting = job(session, 2);
    waiting.deadline = 60s;
    submit(1, 5, waiting);
    makeHomeUnschedulable();
    CHECK_FALSE(answered(5));
    run(11s);
    REQUIRE(answered(5));
    CHECK(answer(5).error == error_kind::outcome_unknown);
    CHECK(agent.orders.size() == 10);
}

TEST_CASE_FIXTURE(two_entries, "a new entry is announced to the agents at once")
{
    // Guards against a new entry that refuses jobs with no_target until the agents' next hello,
    // which comes up to 10 s later. Here a third entry joins two; entry_config_test.cpp has a
    // second one that joins one.
    bool announced = false;
    dropMessage = [&announced](const wire::Envelope &envelope) {
        const auto &entries = envelope.member_list().entries();
        announced = announced || (envelope.receiver() == 11 &&
                                  std::ranges::any_of(entries, [](const auto &entry) {
                                      return entry.incarnation() == 3;
                                  }));
        return false;
    };
    addEntry(3, "graz");
    run(1s);
    CHECK(announced);
}
