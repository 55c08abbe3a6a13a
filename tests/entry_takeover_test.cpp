#include "entry_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// @brief Entries 1 (graz), 2 (linz) and 3 (graz), agents 11 (graz) and 12 (linz) with 10 credits
///        for each entry, and a session with primary 1 and backup 2.
struct three_entries : entry_fixture
{
    three_entries()
        : graz{addAgent(11, "graz")}
        , linz{addAgent(12, "linz")}
    {
        addEntry(1, "graz");
        addEntry(2, "linz");
        addEntry(3, "graz");
        run(1s);
        session = open(1);
        run(20ms);
    }

    /// @brief Submits a job of `tasks` tasks at entry 1 as request 5, and crashes entry 1.
    void submitAndKill(std::size_t tasks)
    {
        submit(1, 5, job(session, 1, tasks));
        placed = graz.orders.size() + linz.orders.size();
        kill("e1");
    }

    /// @brief Number of orders that agents have received from the backup.
    [[nodiscard]] std::size_t resumed() const
    {
        return static_cast<std::size_t>(std::ranges::count(graz.owners, wire::OWNER_BACKUP) +
                                        std::ranges::count(linz.owners, wire::OWNER_BACKUP));
    }

    scripted_agent &graz;
    scripted_agent &linz;
    session_id session;
    std::size_t placed = 0; ///< number of orders before the crash
};

} // namespace

TEST_CASE_FIXTURE(three_entries, "a takeover starts only tasks that no agent has started")
{
    // Guards against a second start of tasks that are running or have run (docs/design.md, R1).
    submitAndKill(25);
    REQUIRE(placed == 20);
    for (std::size_t order = 0; order < 10; ++order) {
        const bool ended = order % 2 == 0;
        const auto state = ended ? wire::TASK_STATE_FINISHED : wire::TASK_STATE_RUNNING;
        const auto result = "g" + std::to_string(graz.orders[order].ref().task());
        graz.reportedTasks.push_back(graz.update(order, state, result));
        linz.reportedTasks.push_back(linz.update(order, wire::TASK_STATE_REFUSED));
    }
    run(2500ms);
    CHECK(graz.fences == 1);
    CHECK(linz.fences == 1);
    // Ten tasks were refused, five were never ordered.
    CHECK(resumed() == 15);
    submit(3, 6, job(session, 1, 25));
    CHECK_FALSE(answered(6));
    for (auto *agent : {&graz, &linz}) {
        for (std::size_t order = 0; order < agent->orders.size(); ++order) {
            const auto task = std::to_string(agent->orders[order].ref().task());
            const bool ofBackup = agent->owners[order] == wire::OWNER_BACKUP;
            const bool running = agent == &graz && order < 10;
            if (ofBackup || running) {
                sendUpdate(*agent, 2, agent->update(order, wire::TASK_STATE_FINISHED, "g" + task));
            }
        }
    }
    REQUIRE(answered(6));
    REQUIRE(answer(6).outcome == job_outcome::complete);
    for (std::size_t task = 0; task < 25; ++task) {
        CHECK(answer(6).results[task] == "g" + std::to_string(task));
    }
    CHECK(resumed() == 15);
}

TEST_CASE_FIXTURE(three_entries, "a missing fence report makes the outcome unknown")
{
    // Guards against a second start of a task that the agent without a report may have started
    // (docs/design.md, R1).
    linz.reports = false;
    submitAndKill(25);
    SUBCASE("the job has tasks that no agent has reported")
    {
        run(2500ms);
        submit(3, 6, job(session, 1, 25));
        CHECK_FALSE(answered(6));
        run(1s);
        REQUIRE(answered(6));
        CHECK(answer(6).error == error_kind::outcome_unknown);
        CHECK(answer(6).mayHaveRun);
        CHECK(linz.fences >= 4);
    }
    SUBCASE("a report that arrives too late changes nothing")
    {
        run(4s);
        linz.reports = true;
        wire::Envelope late;
        toWire(session.home, *late.mutable_fence_report()->mutable_home());
        send(linz, 2, late);
        run(100ms);
    }
    CHECK(resumed() == 0);
}

TEST_CASE_FIXTURE(
        three_entries,
        "a job completes when all its tasks are reported, though one agent sends no fence report")
{
    linz.reports = false;
    submitAndKill(1);
    auto &used = graz.orders.empty() ? linz : graz;
    auto &other = graz.orders.empty() ? graz : linz;
    used.reports = true;
    other.reports = false;
    used.reportedTasks.push_back(used.update(0, wire::TASK_STATE_RUNNING));
    run(4s);
    submit(3, 6, job(session, 1));
    CHECK_FALSE(answered(6));
    sendUpdate(used, 2, used.update(0, wire::TASK_STATE_FINISHED, "r"));
    REQUIRE(answered(6));
    CHECK(answer(6).results == std::vector<std::string>{"r"});
}

TEST_CASE_FIXTURE(three_entries, "a backup never starts a job without a record")
{
    // Guards against a second start of a job whose record was lost (docs/design.md, R1 and
    // rule 7).
    dropMessage = [](const wire::Envelope &envelope) { return envelope.has_record_put(); };
    submit(1, 5, job(session, 1));
    run(300ms);
    CHECK(graz.orders.size() + linz.orders.size() == 1);
    kill("e1");
    dropMessage = [](const auto &) { return false; };
    SUBCASE("after the takeover")
    {
        run(4s);
        submit(3, 6, job(session, 1));
        submit(3, 7, job(session, 2));
        run(100ms);
    }
    SUBCASE("when the submission waits for the takeover")
    {
        submit(2, 6, job(session, 1));
        submit(3, 7, job(session, 2));
        run(4s);
    }
    REQUIRE(answered(6));
    CHECK(answer(6).error == error_kind::outcome_unknown);
    CHECK(answer(7).error == error_kind::outcome_unknown);
    CHECK(resumed() == 0);
}

TEST_CASE_FIXTURE(three_entries, "the backup repeats an answer that the primary has given")
{
    submit(1, 5, job(session, 1));
    auto &used = graz.orders.empty() ? linz : graz;
    sendUpdate(used, 1, used.update(0, wire::TASK_STATE_FINISHED, "r"));
    CHECK(answered(5));
    kill("e1");
    run(2500ms);
    submit(3, 6, job(session, 1));
    REQUIRE(answered(6));
    CHECK(answer(6).results == std::vector<std::string>{"r"});
    CHECK(resumed() == 0);
}

TEST_CASE_FIXTURE(three_entries, "the outcome is unknown when both entries of the home have failed")
{
    // Guards against the answer "not run" or a second start when no entry has the state of the job
    // any more (docs/design.md, rule 7).
    submitAndKill(1);
    kill("e2");
    run(2500ms);
    submit(3, 6, job(session, 1));
    run(2500ms);
    CHECK_FALSE(answered(6));
    run(1s);
    REQUIRE(answered(6));
    CHECK(answer(6).error == error_kind::outcome_unknown);
    CHECK(resumed() == 0);
}

TEST_CASE_FIXTURE(three_entries, "a request to a primary that fails moves to the backup")
{
    // Guards against a caller at a third entry that waits forever (docs/design.md, R4).
    submit(3, 6, job(session, 1));
    auto &used = graz.orders.empty() ? linz : graz;
    REQUIRE(used.orders.size() == 1);
    used.reportedTasks.push_back(used.update(0, wire::TASK_STATE_FINISHED, "r"));
    kill("e1");
    run(3s);
    REQUIRE(answered(6));
    CHECK(answer(6).results == std::vector<std::string>{"r"});
}

TEST_CASE_FIXTURE(three_entries, "a fenced primary forwards its waiting callers to the backup")
{
    // Guards against answers by two owners of a job, and against callers that the former owner
    // never answers.
    submit(1, 5, job(session, 1));
    auto &used = graz.orders.empty() ? linz : graz;
    const bool waiting = true; // request 5 has no answer after each subcase; checked below
    used.reportedTasks.push_back(used.update(0, wire::TASK_STATE_RUNNING));
    const auto betweenEntries1And2 = [](const wire::Envelope &envelope) {
        // 3 is the sum of the process numbers of the two entries.
        return envelope.sender() + envelope.receiver() == 3;
    };
    dropMessage = betweenEntries1And2;
    run(2500ms);
    CHECK(entry(2).counters().takeovers == 1);
    SUBCASE("an agent refuses an order as fenced")
    {
        auto refusal = used.update(0, wire::TASK_STATE_REFUSED);
        refusal.mutable_ref()->set_attempt(77); // matches no order: only the fence has an effect
        refusal.set_error(toWire(error_kind::order_fenced));
        sendUpdate(used, 1, refusal);
        dropMessage = [](const auto &) { return false; };
    }
    SUBCASE("the backup notifies the primary")
    {
        dropMessage = [](const auto &) { return false; };
        run(1s);
        submit(1, 7, job(session, 2));
        CHECK(answer(7).error == error_kind::outcome_unknown);
    }
    CHECK(answered(5) != waiting);
    run(1s);
    sendUpdate(used, 2, used.update(0, wire::TASK_STATE_FINISHED, "r"));
    REQUIRE(answered(5));
    CHECK(answer(5).results == std::vector<std::string>{"r"});
    CHECK(graz.orders.size() + linz.orders.size() == 1);
    CHECK(open(1).home.backup != incarnation_id{2});
}

TEST_CASE_FIXTURE(three_entries, "a stopping entry completes its jobs and hands its homes over")
{
    // Guards against a planned stop that interrupts a request (docs/design.md, R8).
    submit(1, 5, job(session, 1, 25));
    entry(1).stop();
    settle();
    submit(1, 6, job(session, 2));
    CHECK(answer(6).error == error_kind::stopping);
    CHECK(open(1) == session_id{});
    run(300ms);
    CHECK(open(2).home.backup == incarnation_id{3});
    CHECK(stopped.empty());
    graz.issued = 20;
    run(200ms);
    for (auto *agent : {&graz, &linz}) {
        for (std::size_t order = 0; order < agent->orders.size(); ++order) {
            sendUpdate(*agent, 1, agent->update(order, wire::TASK_STATE_FINISHED, "r"));
        }
    }
    CHECK(answer(5).outcome == job_outcome::complete);
    run(100ms);
    CHECK(stopped.contains(1));
    CHECK(entry(2).counters().takeovers == 1);
    kill("e1");
    run(1500ms);
    submit(3, 7, job(session, 1, 25));
    run(1500ms);
    REQUIRE(answered(7));
    CHECK(answer(7).results.size() == 25);
}

TEST_CASE_FIXTURE(three_entries,
                  "a primary that was wrongly considered failed drops its home when it is notified")
{
    // Guards against sessions that are opened in a home that the backup has taken over.
    REQUIRE(session.home.backup == incarnation_id{2});
    dropMessage = [](const wire::Envelope &envelope) {
        return envelope.sender() == 1 && envelope.receiver() == 2;
    };
    run(3s);
    REQUIRE(entry(2).counters().takeovers == 1);
    dropMessage = [](const auto &) { return false; };
    run(1500ms);
    CHECK(open(1).home != session.home);
}

TEST_CASE_FIXTURE(three_entries,
                  "a job that ran without a record is not reported as \"not run\" after a stop")
{
    // Guards against a false answer "not run" by a backup that was cut off while the job ran
    // (docs/design.md, R5).
    dropMessage = [](const wire::Envelope &envelope) {
        return envelope.sender() == 2 && envelope.receiver() == 1;
    };
    run(2500ms);
    submit(1, 5, job(session, 1));
    run(20ms);
    auto &agent = graz.orders.empty() ? linz : graz;
    REQUIRE(agent.orders.size() == 1);
    sendUpdate(agent, 1, agent.update(0, wire::TASK_STATE_FINISHED, "r"));
    REQUIRE(answer(5).outcome == job_outcome::complete);
    dropMessage = [](const auto &) { return false; };
    run(500ms);
    REQUIRE(entry(2).counters().takeovers == 0);
    entry(1).stop();
    run(1s);
    REQUIRE(stopped.contains(1));
    kill("e1");
    run(3s);
    submit(3, 7, job(session, 1));
    run(1s);
    CHECK(answer(7).mayHaveRun);
    CHECK(answer(7).error == error_kind::outcome_unknown);
}

TEST_CASE_FIXTURE(three_entries,
                  "after a graceful stop new jobs of a session are refused as not run")
{
    // Guards against an unknown outcome for jobs that were submitted after a planned stop
    // (docs/design.md, R8).
    const auto second = open(1);
    entry(1).stop();
    SUBCASE("the backup has the outcome of every job")
    {
        run(1s);
        REQUIRE(stopped.contains(1));
        kill("e1");
        run(3s);
        submit(3, 7, job(session, 1));
        submit(2, 8, job(second, 1));
        run(1s);
        for (const auto request : {7, 8}) {
            CHECK(answer(request).error == error_kind::stopping);
            CHECK_FALSE(answer(request).mayHaveRun);
        }
    }
    SUBCASE("the outcome is unknown when the primary fails before the handover")
    {
        kill("e1");
        run(4s);
        submit(3, 7, job(session, 1));
        run(1s);
        CHECK(answer(7).error == error_kind::outcome_unknown);
    }
    CHECK(graz.orders.size() + linz.orders.size() == 0);
}

TEST_CASE_FIXTURE(three_entries, "a record that waited in a queue is not acknowledged")
{
    // Guards against a backup that was paused and then acknowledges messages from before the pause
    // (docs/design.md 2.2).
    std::vector<wire::Envelope> delayed;
    std::size_t acks = 0;
    dropMessage = [&](const wire::Envelope &envelope) {
        acks += envelope.has_record_ack() ? 1 : 0;
        if (envelope.has_record_put()) {
            delayed.push_back(envelope);
        }
        return envelope.has_record_put();
    };
    submit(1, 5, job(session, 1));
    REQUIRE(delayed.size() == 1);
    run(2100ms);
    entry(2).receive(delayed[0]);
    settle();
    CHECK(acks == 0);
}

TEST_CASE_FIXTURE(three_entries, "the backup resumes a job only until its deadline")
{
    // Guards against a start when the agents may have erased their records of the tasks that they
    // have run.
    // The entries keep the 10 credits of each agent, since they ignore a total below the known one.
    graz.issued = linz.issued = 0;
    submit(1, 4, job(session, 9, 20)); // uses up all credits
    const auto before = graz.orders.size() + linz.orders.size();
    auto timed = job(session, 1);
    timed.deadline = 2500ms;
    submit(1, 5, timed);
    kill("e1");
    graz.reports = false; // the takeover ends after the deadline
    run(4s);
    submit(3, 6, job(session, 1));
    run(100ms);
    REQUIRE(answered(6));
    CHECK(answer(6).mayHaveRun);
    CHECK(graz.orders.size() + linz.orders.size() == before);
}

TEST_CASE_FIXTURE(three_entries, "after a takeover the primary does not answer \"not run\"")
{
    // Guards against the answer "not run" for a job that the backup has resumed (docs/design.md,
    // R5 and rule 8).
    submit(1, 4, job(session, 9, 20)); // uses up all credits of entry 1
    dropMessage = [](const wire::Envelope &envelope) {
        // Messages between entries 1 and 2: 3 is the sum of their process numbers.
        return envelope.sender() + envelope.receiver() == 3 && !envelope.has_record_put() &&
               !envelope.has_record_close() && !envelope.has_record_close_ack();
    };
    run(1500ms);
    auto timed = job(session, 1);
    timed.deadline = 1500ms;
    submit(1, 5, timed);
    run(1200ms);
    CHECK(entry(2).counters().takeovers == 1);
    CHECK_FALSE(answered(5));
    run(400ms);
    // The acknowledgement of the close reports the takeover; entry 1 then queries the backup.
    CHECK_FALSE(answered(5));
    dropMessage = [](const auto &) { return false; };
    run(4s);
    REQUIRE(answered(5));
    CHECK(answer(5).mayHaveRun);
}

TEST_CASE_FIXTURE(
        three_entries,
        "a failed agent stays in the scope until the backup acknowledges the end of its jobs")
{
    // Guards against a second start after an agent's failure, a lost close and a takeover: the
    // backup would have the record of an unfinished job, but not the agent that may have run its
    // task in the scope (docs/design.md, R1).
    dropMessage = [](const wire::Envelope &envelope) { return envelope.has_record_close(); };
    submit(1, 5, job(session, 1));
    REQUIRE(graz.orders.size() + linz.orders.size() == 1);
    auto &used = graz.orders.empty() ? linz : graz;
    kill(used.endpoint);
    run(3s);
    CHECK(answer(5).error == error_kind::outcome_unknown);
    kill("e1");
    run(4s);
    submit(3, 6, job(session, 1));
    REQUIRE(answered(6));
    CHECK(answer(6).error == error_kind::outcome_unknown);
    CHECK(resumed() == 0);
}

TEST_CASE_FIXTURE(three_entries,
                  "a failed agent stays in the scope while a job it ran is unfinished")
{
    // Guards against a second start (docs/design.md, R1) of tasks that ended at an agent that has
    // failed since. Only the primary has their results, and a backup without the agent in its scope
    // would assume that no agent has started them.
    graz.silent = true;
    run(2500ms);
    submit(1, 5, job(session, 1, 12));
    REQUIRE(linz.orders.size() == 10);
    sendUpdate(linz, 1, linz.update(0, wire::TASK_STATE_FINISHED, "g"));
    for (std::size_t order = 1; order < linz.orders.size(); ++order) {
        auto refused = linz.update(order, wire::TASK_STATE_REFUSED);
        refused.set_error(toWire(error_kind::target_leaving));
        sendUpdate(linz, 1, refused);
    }
    linz.silent = true;
    linz.reports = false;
    run(2500ms);
    kill("e1");
    graz.silent = false;
    run(4s);
    CHECK(resumed() == 0);
    submit(3, 6, job(session, 1, 12));
    run(1s);
    CHECK(answer(6).error == error_kind::outcome_unknown);
}

TEST_CASE_FIXTURE(
        three_entries,
        "a failed agent is removed from the scope when the backup acknowledges the end of its jobs")
{
    // Guards against takeovers that wait for the reports of agents that failed long ago.
    submit(1, 5, job(session, 1));
    auto &used = graz.orders.empty() ? linz : graz;
    kill(used.endpoint);
    run(3s);
    auto &other = graz.orders.empty() ? graz : linz;
    // The entries keep the 10 credits of this agent, since they ignore a total below the known one.
    other.issued = 0;
    submit(1, 6, job(session, 2, 25));
    kill("e1");
    run(2500ms);
    // The takeover is complete without the failed agent: the backup has used all of its 10 credits
    // at the other agent.
    CHECK(resumed() == 10);
}

TEST_CASE_FIXTURE(three_entries, "the backup uses an agent only after fencing it")
{
    // Guards against orders that an agent refuses since it isn't fenced, and against agents that
    // the backup never uses.
    submitAndKill(25);
    auto &late = addAgent(13, "linz");
    late.reports = false;
    run(3s);
    CHECK(late.orders.empty());
    late.reports = true;
    run(400ms);
    CHECK(late.fences >= 1);
    CHECK(late.orders.size() == 5);
}
