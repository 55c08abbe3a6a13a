#include "bamboohead/dispatch/target_session.hpp"
#include "dispatch/fake_target.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <limits>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

constexpr resources demand{3'000, 64, 0};

run_ref refOf(std::uint32_t index, std::uint32_t run = 1)
{
    return {{batch_job_id{7}, 0, index}, run};
}

/// A session and its target. Calls are executed at once unless a test holds them back.
class session_fixture
{
public:
    explicit session_fixture(std::uint64_t fence = 100)
        : session{time, fence}
        , target{"i-1",
                 {32'000, 65'536, 0},
                 [this](const run_ref &) {
                     return task_plan{demand, runTime, false};
                 },
                 time.now()}
    {
        target.onStart = [this](const run_ref &ref) { started.push_back(ref); };
        target.onRemoved = [](const run_ref &, run_end_kind) {};
        session.handleReport(target.report(time.now()));
    }

    /// Advances the clock in steps of one tick, 10 ms, and executes all calls.
    void pass(duration length)
    {
        const auto until = time.now() + length;
        while (time.now() < until) {
            time.advance(10ms);
            target.advance(time.now());
            tick();
            deliver();
        }
    }

    /// Ticks as an agent does that has just stopped all runs whose right to execute has ended.
    void tick()
    {
        session.confirmRightsUntil(time.now());
        session.tick();
    }

    /// Executes all calls of the session and collects the outcomes of its runs.
    void deliver()
    {
        for (auto calls = session.takeCalls(); !calls.empty(); calls = session.takeCalls()) {
            for (const auto &call : calls) {
                execute(call);
            }
        }
        for (const auto &end : session.takeOutcomes()) {
            outcomes.push_back(end);
        }
        for (auto &crash : session.takeCrashes()) {
            crashes.push_back(std::move(crash));
        }
        for (auto &event : session.takeEvents()) {
            events.push_back(std::move(event));
        }
    }

    void execute(const target_call &call)
    {
        const auto &header = std::visit(
                [](const auto &made) -> const call_header & { return made.header; }, call);
        if (loseStarts && std::holds_alternative<start_run>(call)) {
            lostCalls.push_back(call);
            session.handle({header.id, call_status::unanswered, call_refusal::none, {}, {}});
            return;
        }
        if (header.address != "10.0.0.1:80") {
            session.handle({header.id, call_status::unreachable, call_refusal::none, {}, {}});
            return;
        }
        if (silent || (loseStops && std::holds_alternative<stop_run>(call))) {
            session.handle({header.id, call_status::unanswered, call_refusal::none, {}, {}});
            return;
        }
        // A real target answers a long poll when a run ends; here the answer comes at once.
        const auto reply = target.call(call, time.now());
        const auto *const list = std::get_if<list_runs>(&call);
        if (list != nullptr && list->leaseEndMs && reply.clockMs) {
            shortestLeaseMs = std::min(shortestLeaseMs, *list->leaseEndMs - *reply.clockMs);
        }
        session.handle(reply);
    }

    /// Begins a lifetime of the target and starts a long run in it.
    void startRunInLifetime(std::int64_t startedMs)
    {
        target.restart("i-1", startedMs, time.now());
        session.handleReport(target.report(time.now()));
        pass(100ms);
        runTime = 60s;
        session.start(refOf(0), "spec", demand);
        pass(100ms);
    }

    /// Executes a start call that was made before the first fence of the session.
    void executeLateStart(const run_ref &ref, const std::string &targetId = "i-1")
    {
        const start_run call{{call_id{0}, "", targetId, {}}, ref, "spec", 100'000, 1};
        REQUIRE(target.call(call, time.now()).status == call_status::accepted);
    }

    [[nodiscard]] bool ended(const run_ref &ref, run_outcome::kind result) const
    {
        return std::ranges::any_of(
                outcomes, [&](const auto &end) { return end.ref == ref && end.result == result; });
    }

    manual_clock time;
    duration runTime = 200ms;
    target_session session;
    fake_target target;
    bool loseStarts = false; ///< start calls are not executed and time out
    bool loseStops = false;  ///< stop calls are not executed and time out
    bool silent = false;     ///< no call is executed and all time out
    std::deque<target_call> lostCalls;
    std::vector<run_outcome> outcomes;
    std::vector<std::vector<batch_task>> crashes;
    std::vector<session_event> events;
    std::vector<run_ref> started;
    std::int64_t shortestLeaseMs = 1'000; ///< in list calls, on the target's clock
};

} // namespace

TEST_CASE("a session starts a run, extends its lease and reports its end")
{
    session_fixture fixture;
    fixture.runTime = 3s;
    CHECK_FALSE(fixture.session.ready());
    fixture.pass(50ms);
    REQUIRE(fixture.session.ready());
    fixture.session.start(refOf(0), "spec", demand);
    CHECK(fixture.session.committed() == demand);
    fixture.pass(2'900ms);
    CHECK(fixture.outcomes.empty());
    fixture.pass(200ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::done));
    CHECK(fixture.session.committed() == resources{});
}

TEST_CASE("a start without a reply stays reserved until a higher fence invalidates it")
{
    // Guards against a delayed start call that exceeds the target's capacity or runs a task twice.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    for (const auto &call : fixture.session.takeCalls()) {
        fixture.execute(call);
    }
    CHECK(fixture.session.committed() == demand);
    CHECK(fixture.session.takeOutcomes().empty());
    fixture.pass(50ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::not_started));
    CHECK(fixture.session.committed() == resources{});

    // The lost start call arrives now. Its lease has not expired, so only the fence prevents it.
    REQUIRE(fixture.lostCalls.size() == 1);
    const auto reply = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
    CHECK(reply.refusal == call_refusal::fenced);
    CHECK(fixture.started.empty());
}

TEST_CASE("a start that was executed although its reply was lost is found in the listing")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    for (const auto &call : fixture.session.takeCalls()) {
        (void)fixture.target.call(call, fixture.time.now());
        fixture.execute(call);
    }
    fixture.pass(300ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::done));
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::not_started));
}

TEST_CASE("a new agent raises the fence and stops foreign runs before it is ready")
{
    // Guards against exceeding a target's capacity: the new agent does not know the demand of the
    // previous agent's runs.
    session_fixture fixture{5'000};
    fixture.pass(50ms);
    fixture.runTime = 10s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    REQUIRE(fixture.target.running().size() == 1);

    target_session successor{fixture.time, 4'990}; // a lower fence, as when its clock is behind
    successor.handleReport(fixture.target.report(fixture.time.now()));
    bool readyWithForeignRun = false;
    for (int round = 0; round < 40; ++round) {
        fixture.time.advance(10ms);
        successor.confirmRightsUntil(fixture.time.now());
        successor.tick();
        for (const auto &call : successor.takeCalls()) {
            successor.handle(fixture.target.call(call, fixture.time.now()));
        }
        readyWithForeignRun =
                readyWithForeignRun || (successor.ready() && !fixture.target.running().empty());
    }
    CHECK(successor.ready());
    CHECK(fixture.target.running().empty());
    CHECK_FALSE(readyWithForeignRun);
    // Calls of the first agent no longer have any effect.
    fixture.session.start(refOf(1), "spec", demand);
    fixture.deliver();
    CHECK(fixture.target.running().empty());
}

// Guards against a start of the previous agent that executes after its successor has cleared the
// target: the target had not seen the fence of that start yet, so its refusals do not show it.
TEST_CASE("a start on its way is void once a successor whose clock was set back has cleared the "
          "target")
{
    session_fixture fixture{5'000};
    fixture.pass(50ms);
    REQUIRE(fixture.session.ready());
    fixture.loseStarts = true;
    fixture.silent = true; // the target receives no call under a fence that these losses raise
    for (std::uint32_t index = 0; index < 3; ++index) {
        fixture.session.start(refOf(index), "spec", demand);
        fixture.pass(60ms);
    }
    REQUIRE(fixture.lostCalls.size() == 3);

    for (std::uint64_t behind = 990; behind <= 1'010; ++behind) {
        auto restarted = fixture.target;
        target_session successor{fixture.time, 5'000 - behind};
        successor.handleReport(restarted.report(fixture.time.now()));
        for (int round = 0; round < 10 && !successor.cleared(); ++round) {
            successor.confirmRightsUntil(fixture.time.now());
            successor.tick();
            for (const auto &call : successor.takeCalls()) {
                successor.handle(restarted.call(call, fixture.time.now()));
            }
        }
        REQUIRE(successor.cleared());
        for (const auto &call : fixture.lostCalls) {
            CAPTURE(behind);
            CHECK(restarted.call(call, fixture.time.now()).refusal == call_refusal::fenced);
        }
    }
}

TEST_CASE("runs are reported as lost only after their lease has certainly expired")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.clockRate = 0.98;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(100ms);
    fixture.silent = true;
    bool lostWhileRunning = false;
    for (int round = 0; round < 200 && fixture.outcomes.empty(); ++round) {
        fixture.pass(10ms);
        lostWhileRunning = lostWhileRunning ||
                           (!fixture.outcomes.empty() && !fixture.target.running().empty());
    }
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK_FALSE(lostWhileRunning);
    CHECK_FALSE(fixture.session.ready());
}

TEST_CASE("the runs of a target that restarts under the same id are reported as lost")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.target.restart("i-1", 2, fixture.time.now());
    SUBCASE("restart detected by a report")
    {
        CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
    }
    SUBCASE("restart detected by a listing")
    {}
    fixture.pass(100ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.session.ready());
}

TEST_CASE("a run that a restarted target starts before the session detects the restart is not lost")
{
    // Guards against reporting the run of such a start as lost: its task would get a second run
    // elsewhere.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(500ms);
    CHECK(fixture.target.running().size() == 1);
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.session.committed() == demand);
    CHECK(fixture.session.ready());
}

TEST_CASE("the report of a new lifetime alone does not decide the outcome of runs")
{
    // Guards against reporting runs as lost before the first listing of the new lifetime. A delayed
    // start may be executing there, and its task would get a second run elsewhere.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.start(refOf(0), "spec", demand);
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(500ms);
    CHECK(fixture.target.running().size() == 1);
    CHECK(fixture.outcomes.empty());
    CHECK(fixture.session.committed() == demand);
}

TEST_CASE("while a start is unresolved, an unreachable target is called only at intervals")
{
    // Guards against raising the fence again as soon as a call has failed. A call to a target that
    // is down fails at once and costs a connection. Without the delay, 39,837 connections were
    // opened in one day with targets that went down and up again.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    std::size_t calls = 0;
    for (int tick = 0; tick < 50; ++tick) {
        fixture.time.advance(10ms);
        fixture.tick();
        // Failures are handled at once, as in the agent.
        for (auto made = fixture.session.takeCalls(); !made.empty() && calls < 1'000;
             made = fixture.session.takeCalls()) {
            for (const auto &call : made) {
                ++calls;
                const auto &header = std::visit(
                        [](const auto &each) -> const call_header & { return each.header; }, call);
                fixture.session.handle(
                        {header.id, call_status::unreachable, call_refusal::none, {}, {}});
            }
            fixture.tick();
        }
    }
    CHECK(calls <= 25); // two for each delay of 50 ms, and the initial ones
}

TEST_CASE("runs are reported as lost when a new lifetime never responds")
{
    // Guards against runs that are kept forever. After the maximum lease no start can be executing.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.silent = true;
    fixture.pass(900ms);
    CHECK(fixture.outcomes.empty());
    fixture.pass(400ms);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().result == run_outcome::kind::lost);
}

TEST_CASE("the end of a run is reported although the reply to one list call is lost")
{
    // Guards against an end that reaches the waiting entry only after the timeout of a list call.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(20ms);
    std::vector<target_call> waiting;
    for (int tick = 0; tick < 3; ++tick) {
        fixture.time.advance(10ms);
        fixture.tick();
        for (auto &call : fixture.session.takeCalls()) {
            waiting.push_back(std::move(call));
        }
    }
    REQUIRE(waiting.size() == 2);
    fixture.time.advance(200ms);
    fixture.target.advance(fixture.time.now());
    fixture.execute(waiting.back()); // the reply to the first call is lost
    fixture.deliver();
    CHECK(fixture.ended(refOf(0), run_outcome::kind::done));
}

TEST_CASE("a run that has ended is not stopped when an outdated listing still shows it")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(20ms);
    fixture.tick();
    target_reply older;
    for (const auto &call : fixture.session.takeCalls()) {
        older = fixture.target.call(call, fixture.time.now());
    }
    fixture.time.advance(250ms);
    fixture.target.advance(fixture.time.now());
    fixture.tick();
    fixture.deliver();
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::done));
    fixture.session.handle(older);
    for (const auto &call : fixture.session.takeCalls()) {
        CHECK_FALSE(std::holds_alternative<stop_run>(call));
    }
}

TEST_CASE("a late report of an earlier lifetime is ignored")
{
    session_fixture fixture;
    const auto old = fixture.target.report(fixture.time.now());
    fixture.target.restart("i-2", 2, fixture.time.now());
    CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
    CHECK_FALSE(fixture.session.handleReport(old));
    CHECK(fixture.session.target()->lifetime.id == "i-2");
}

TEST_CASE("a draining or leaving target is not ready")
{
    session_fixture fixture;
    fixture.pass(50ms);
    SUBCASE("draining")
    {
        fixture.target.phase = target_phase::draining;
        fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    }
    SUBCASE("left")
    {
        fixture.session.handleShutdownAnnouncement("i-1");
    }
    CHECK_FALSE(fixture.session.ready());
}

TEST_CASE("a stopped run keeps its resources reserved until the target reports its end")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.session.stop(refOf(0), fixture.time.now());
    CHECK(fixture.session.committed() == demand);
    fixture.pass(50ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::stopped));
}

// Guards against a run that outlives its right to execute without a trace in the log.
TEST_CASE("a stop that is not confirmed in time is logged once, and so is its confirmation")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.loseStops = true;
    fixture.session.stop(refOf(0), fixture.time.now());
    fixture.pass(450ms);
    const auto count = [&](std::string_view name) {
        return std::ranges::count(fixture.events, name, &session_event::first);
    };
    CHECK(count("stop_overdue") == 1);
    CHECK(count("stop_late") == 0);
    fixture.loseStops = false;
    fixture.pass(500ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::stopped));
    CHECK(count("stop_overdue") == 1);
    CHECK(count("stop_late") == 1);
}

// Guards against stops that shorten the lease of other runs longer than needed.
TEST_CASE("a stop that is confirmed quickly leaves the other runs most of their lease")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.session.start(refOf(1), "spec", demand);
    fixture.pass(50ms);
    fixture.loseStops = true;
    fixture.session.stop(refOf(0), fixture.time.now());
    fixture.shortestLeaseMs = 1'000;
    fixture.pass(60ms);
    CHECK(fixture.shortestLeaseMs == 540);
    CHECK(fixture.session.ready());
    fixture.loseStops = false;
    fixture.pass(50ms);
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::stopped));
    fixture.shortestLeaseMs = 1'000;
    fixture.pass(2s);
    CHECK(fixture.shortestLeaseMs >= 599); // up to 2% of the age of the clock sample less
    CHECK(fixture.target.running().contains(refOf(1)));
}

// Guards against runs that start under a lease that is about to lapse.
TEST_CASE("a session with an overdue stop is not ready until the run has ended")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.loseStops = true;
    fixture.session.stop(refOf(0), fixture.time.now());
    fixture.pass(290ms);
    CHECK(fixture.session.ready());
    fixture.pass(20ms);
    CHECK_FALSE(fixture.session.ready());
    fixture.pass(400ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.session.ready());
}

// Guards against a run that executes on, under a lease that is extended, after it was reported as
// lost: its start call reached a new lifetime late.
TEST_CASE("a run that a newer listing shows after it has ended is stopped at once")
{
    session_fixture fixture;
    fixture.pass(70s); // the clock of the next lifetime is behind the lease end in the start call
    fixture.runTime = 60s;
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    for (const auto &call : fixture.session.takeCalls()) {
        fixture.execute(call);
    }
    REQUIRE(fixture.lostCalls.size() == 1);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.silent = true;
    fixture.pass(61s); // until the start is no longer expected
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.target.call(fixture.lostCalls.front(), fixture.time.now()).status ==
          call_status::accepted);
    fixture.silent = false;
    fixture.pass(100ms);
    CHECK(fixture.target.running().empty());
}

TEST_CASE("a start of a run that was stopped before is refused as old")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.session.stop(refOf(0), fixture.time.now());
    fixture.pass(50ms);
    fixture.outcomes.clear();
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().refusal == start_refusal::old_run);
}

// Guards against a task that crashes target after target because no crash is attributed to it.
TEST_CASE("a crash is reported with the runs of the earlier lifetime")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(300ms);
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::done));
    fixture.runTime = 60s;
    fixture.session.start(refOf(1), "spec", demand);
    fixture.session.start(refOf(2), "spec", demand);
    fixture.pass(50ms);
    SUBCASE("known after the lease has expired")
    {
        fixture.target.crash(fixture.time.now());
        fixture.pass(3'300ms);
        CHECK(fixture.ended(refOf(1), run_outcome::kind::lost));
        CHECK(fixture.crashes.empty());
        fixture.target.restart("i-1", 2, fixture.time.now());
    }
    SUBCASE("known before the lease has expired")
    {
        fixture.target.restart("i-1", 2, fixture.time.now());
    }
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    REQUIRE(fixture.crashes.size() == 1);
    CHECK(fixture.crashes[0] == std::vector{refOf(1).task, refOf(2).task});
    CHECK(std::ranges::all_of(fixture.outcomes, [](const auto &end) {
        return end.crashPossible == (end.result == run_outcome::kind::lost);
    }));
}

// Guards against a task that is given up although it was sent to targets that had crashed before:
// no evidence tells such a start from one that has crashed its target at once.
TEST_CASE("a crash is not reported with a run whose start call had no reply")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.target.crash(fixture.time.now());
    fixture.deliver();
    fixture.pass(3'300ms);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(1'000ms);
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    CHECK(fixture.crashes.empty());
}

// Guards against a job that is answered as failed because its targets were cut off.
TEST_CASE("runs that were lost while the same lifetime continued are no sign of a crash")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.silent = true;
    fixture.pass(2s);
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::lost));
    fixture.silent = false;
    fixture.pass(200ms);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(200ms);
    CHECK(fixture.crashes.empty());
}

// Guards against innocent tasks that are given up because a known suspect was started beside them,
// and against a task that is not held responsible because a suspect was running when it started.
TEST_CASE("a crash is not reported with runs beside which a suspect was started")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.session.start(refOf(1), "spec", demand, true);
    fixture.pass(50ms);
    std::vector expected{refOf(1).task};
    SUBCASE("the suspect was started last")
    {}
    SUBCASE("another run was started later")
    {
        fixture.session.start(refOf(2), "spec", demand);
        fixture.pass(50ms);
        expected.push_back(refOf(2).task);
    }
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(100ms);
    REQUIRE(fixture.crashes.size() == 1);
    CHECK(fixture.crashes[0] == expected);
}

// Guards against tasks that are held responsible for the planned restart of their target.
TEST_CASE("a target that was leaving has not crashed")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    SUBCASE("draining")
    {
        fixture.target.phase = target_phase::draining;
        fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    }
    SUBCASE("shutdown announced")
    {
        fixture.session.handleShutdownAnnouncement("i-1");
    }
    fixture.target.crash(fixture.time.now());
    fixture.pass(2s);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    CHECK(fixture.crashes.empty());
}

// Guards against a task that is held responsible for a crash before its start.
TEST_CASE("a run that the next lifetime has started is not part of the crash")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.start(refOf(1), "spec", demand);
    fixture.pass(500ms);
    REQUIRE(fixture.target.running().contains(refOf(1)));
    REQUIRE(fixture.crashes.size() == 1);
    CHECK(fixture.crashes[0] == std::vector{refOf(0).task});
}

// Guards against reports that are ignored without a trace, and against a log that they flood.
TEST_CASE("ignored reports are logged at most once a second, with their number")
{
    session_fixture fixture;
    fixture.pass(50ms);
    const auto old = fixture.target.report(fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    (void)fixture.session.takeEvents();
    for (int count = 0; count < 150; ++count) {
        fixture.time.advance(10ms);
        CHECK_FALSE(fixture.session.handleReport(old));
    }
    const auto events = fixture.session.takeEvents();
    REQUIRE(events.size() == 2);
    CHECK(events[0].first == "report_ignored");
    CHECK(std::ranges::find(events[1].second, std::pair<std::string, std::string>{
                                                      "ignored", "100"}) != events[1].second.end());
}

// Guards against a task that executes on two targets: a late start executes another run of it in
// the new lifetime, and the report that its own run is lost lets an entry start it elsewhere.
TEST_CASE("the outcome of a run is held back while the target executes another run of its task")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0, 2), "spec", demand);
    fixture.pass(50ms);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.executeLateStart(refOf(0, 1));
    fixture.loseStops = true;
    fixture.pass(300ms);
    REQUIRE(fixture.target.running().contains(refOf(0, 1)));
    CHECK(fixture.outcomes.empty());
    CHECK_FALSE(fixture.session.ready());
    SUBCASE("until a stop has ended that run")
    {
        fixture.loseStops = false;
    }
    SUBCASE("until the lease has expired")
    {
        fixture.silent = true;
    }
    bool endedBeside = false;
    for (int round = 0; round < 200 && fixture.outcomes.empty(); ++round) {
        fixture.pass(10ms);
        endedBeside =
                endedBeside || (!fixture.outcomes.empty() && !fixture.target.running().empty());
    }
    CHECK(fixture.ended(refOf(0, 2), run_outcome::kind::lost));
    CHECK_FALSE(endedBeside);
    CHECK(fixture.session.committed() == resources{});
}

// Guards against a task that executes on two targets because a refused start lets an entry start it
// elsewhere.
TEST_CASE("a start that is refused as old is held back while another run of the task executes")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.executeLateStart(refOf(0, 1));
    (void)fixture.target.call(stop_run{{call_id{0}, "", "i-1", {}}, refOf(0, 2), 1},
                              fixture.time.now());
    fixture.loseStops = true;
    fixture.pass(100ms);
    fixture.session.start(refOf(0, 2), "spec", demand);
    fixture.pass(300ms);
    REQUIRE(fixture.target.running().contains(refOf(0, 1)));
    CHECK(fixture.outcomes.empty());
    fixture.loseStops = false;
    fixture.pass(300ms);
    CHECK(fixture.target.running().empty());
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().refusal == start_refusal::old_run);
}

// Guards against a longer overlap than one listing when a new lifetime executes a voided start
// before its first call: the fence that voided the start is unknown there.
TEST_CASE("a voided start that a new lifetime executes is stopped after the first listing")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::not_started));
    REQUIRE(fixture.lostCalls.size() == 1);
    fixture.target.restart("i-1", 2, fixture.time.now());
    SUBCASE("the start precedes the first call")
    {
        const auto reply = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
        REQUIRE(reply.status == call_status::accepted);
        fixture.pass(20ms);
        CHECK(fixture.started.size() == 1);
    }
    SUBCASE("the first call precedes the start")
    {
        fixture.session.handleReport(fixture.target.report(fixture.time.now()));
        fixture.deliver();
        const auto reply = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
        CHECK(reply.refusal == call_refusal::fenced);
        CHECK(fixture.started.empty());
    }
    CHECK(fixture.target.running().empty());
}

// Guards against a single false report that ends the use of a target until its agent restarts.
TEST_CASE("a report that no target confirms does not displace a target that answers")
{
    session_fixture fixture;
    fixture.pass(100ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(100ms);
    auto report = fixture.target.report(fixture.time.now());
    SUBCASE("another id at an address that does not answer")
    {
        report.lifetime = {"i-9", 9'999'999'999'999'999};
        report.address = "10.0.0.9:4464";
        report.clockMs = std::numeric_limits<std::int64_t>::max();
    }
    SUBCASE("another id at the address of the target")
    {
        report.lifetime = {"i-9", 9'999'999'999'999'999};
    }
    SUBCASE("another start time under the same id")
    {
        report.lifetime.startedMs = 9'999'999'999'999'999;
        report.clockMs = std::numeric_limits<std::int64_t>::max();
    }
    SUBCASE("another address under the same id and start time")
    {
        report.address = "10.0.0.9:4464";
    }
    SUBCASE("a very large sequence number")
    {
        report.sequence = std::numeric_limits<std::uint64_t>::max();
        report.capacity = {};
    }
    SUBCASE("another service of the same lifetime")
    {
        report.service = "unknown";
    }
    fixture.session.handleReport(report);
    for (int round = 0; round < 100; ++round) {
        fixture.pass(10ms);
        REQUIRE(fixture.session.ready());
    }
    CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
    CHECK(fixture.session.target()->lifetime == target_lifetime{"i-1", 1});
    CHECK(fixture.session.target()->service == "quotes");
    CHECK(fixture.session.target()->address == "10.0.0.1:80");
    CHECK(fixture.session.target()->capacity == fixture.target.capacity());
    CHECK(fixture.outcomes.empty());
    fixture.session.start(refOf(1), "spec", demand);
    fixture.pass(100ms);
    CHECK(fixture.target.running().contains(refOf(1)));
}

// Guards against a false first report, or one while the target is silent, that is never corrected.
TEST_CASE("a target displaces a lifetime that does not answer")
{
    session_fixture fixture;
    auto report = fixture.target.report(fixture.time.now());
    report.lifetime = {"i-9", 9'999'999'999'999'999};
    report.address = "10.0.0.9:4464";
    SUBCASE("before the first listing of the target")
    {}
    SUBCASE("while the target is silent")
    {
        fixture.pass(100ms);
        fixture.silent = true;
        fixture.pass(800ms);
    }
    SUBCASE("while the target is silent and a run executes")
    {
        fixture.pass(100ms);
        fixture.runTime = 60s;
        fixture.session.start(refOf(0), "spec", demand);
        fixture.pass(100ms);
        fixture.silent = true;
        fixture.pass(800ms);
    }
    fixture.session.handleReport(report);
    fixture.pass(100ms);
    fixture.silent = false;
    for (int round = 0; round < 3; ++round) {
        fixture.session.handleReport(fixture.target.report(fixture.time.now()));
        fixture.pass(500ms);
    }
    CHECK(fixture.session.target()->lifetime == target_lifetime{"i-1", 1});
    CHECK(fixture.session.ready());
    CHECK(fixture.session.committed() == resources{});
    CHECK(fixture.crashes.empty());
}

// Guards against a target whose reports are ignored for good after a false first sequence number.
TEST_CASE("any sequence number is used again when no report was used for some time")
{
    session_fixture fixture;
    fixture.pass(100ms);
    auto report = fixture.target.report(fixture.time.now());
    report.sequence += 100;
    report.phase = target_phase::draining;
    CHECK(fixture.session.handleReport(report));
    CHECK_FALSE(fixture.session.ready());
    for (int round = 0; round < 5; ++round) {
        fixture.pass(500ms);
        fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    }
    CHECK(fixture.session.ready());
    CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
}

// Guards against a connection for each of many false reports.
TEST_CASE("at most one call to an unconfirmed lifetime is in progress")
{
    session_fixture fixture;
    fixture.pass(100ms);
    auto report = fixture.target.report(fixture.time.now());
    report.address = "10.0.0.9:4464";
    std::size_t calls = 0;
    for (int number = 0; number < 20; ++number) {
        report.lifetime = {"i-" + std::to_string(9 + number), 5'000 + number};
        fixture.session.handleReport(report);
        fixture.session.tick();
        for (const auto &call : fixture.session.takeCalls()) {
            const auto &header = std::visit(
                    [](const auto &made) -> const call_header & { return made.header; }, call);
            calls += header.address == report.address ? 1 : 0;
        }
    }
    CHECK(calls == 1);
}

// Guards against a restarted target that is taken up later than its first report allows.
TEST_CASE("a restarted target is cleared within a tick of its first report")
{
    session_fixture fixture;
    fixture.pass(100ms);
    SUBCASE("under another id")
    {
        fixture.target.restart("i-2", 2, fixture.time.now());
    }
    SUBCASE("under the same id")
    {
        fixture.target.restart("i-1", 2, fixture.time.now());
    }
    CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
    const auto reported = fixture.time.now();
    fixture.pass(10ms);
    CHECK(fixture.session.target()->lifetime.startedMs == 2);
    CHECK(fixture.session.ready());
    CHECK(fixture.time.now() - reported == 10ms);
}

// Guards against a target that is used as if nothing had happened after it has restarted with a
// clock that was set back: its reports and listings counted as outdated.
TEST_CASE("a lifetime with a lower start time than its predecessor is detected")
{
    session_fixture fixture;
    fixture.startRunInLifetime(5'000);
    REQUIRE(fixture.target.running().contains(refOf(0)));
    auto delayed = fixture.target.report(fixture.time.now());
    delayed.sequence += 10;
    std::string id = "i-1";
    SUBCASE("under the same id")
    {}
    SUBCASE("under another id")
    {
        id = "i-2";
    }
    fixture.target.restart(id, 2'000, fixture.time.now());
    fixture.executeLateStart(refOf(1), id);
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(200ms);
    CHECK(fixture.session.target()->lifetime == target_lifetime{id, 2'000});
    CHECK(fixture.target.running().empty());
    CHECK(fixture.session.ready());
    if (id != "i-1") { // both targets may execute runs until the lease of the first one has ended
        CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
        fixture.pass(500ms);
    }
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));

    // A report of the predecessor that arrives now has the higher start time.
    fixture.session.handleReport(delayed);
    fixture.pass(200ms);
    CHECK(fixture.session.target()->lifetime == target_lifetime{id, 2'000});
    CHECK(fixture.session.ready());
    CHECK(fixture.session.handleReport(fixture.target.report(fixture.time.now())));
}

// Guards against an end or a foreign run that is not seen because the listings of a lifetime with a
// lower start time are dropped while they count as answers.
TEST_CASE("a listing alone shows a lifetime with a lower start time")
{
    session_fixture fixture;
    fixture.startRunInLifetime(5'000);
    fixture.target.restart("i-1", 2'000, fixture.time.now());
    fixture.executeLateStart(refOf(1));
    fixture.pass(200ms);
    CHECK(fixture.session.target()->lifetime.startedMs == 2'000);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.target.running().empty());
    CHECK(fixture.session.ready());
}

// Guards against a reply of the earlier lifetime that makes a silent target count as ready.
TEST_CASE("the reply to a call before the current lifetime was known proves nothing")
{
    session_fixture fixture;
    fixture.pass(100ms);
    fixture.time.advance(10ms);
    fixture.session.tick();
    const auto calls = fixture.session.takeCalls();
    REQUIRE_FALSE(calls.empty());
    const auto old = fixture.target.call(calls.front(), fixture.time.now());
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(100ms);
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    REQUIRE(fixture.session.target()->lifetime.startedMs == 2);
    fixture.silent = true;
    fixture.pass(700ms);
    REQUIRE_FALSE(fixture.session.ready());
    fixture.session.handle(old);
    CHECK(fixture.session.target()->lifetime.startedMs == 2);
    CHECK_FALSE(fixture.session.ready());
}

// Guards against a task that is started elsewhere while a later lifetime of the target executes its
// start call, which got no answer.
TEST_CASE("a start without an answer is not reported as lost while a later lifetime may execute it")
{
    session_fixture fixture;
    fixture.pass(3s);
    fixture.runTime = 60s;
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    REQUIRE(fixture.lostCalls.size() == 1);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.silent = true;
    fixture.pass(900ms);
    const auto late = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
    CHECK(late.status == call_status::accepted);
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(std::ranges::count(fixture.events, "start_in_doubt", &session_event::first) == 1);
}

// Guards against a task that waits for longer than necessary after its target has crashed.
TEST_CASE("a start without an answer is reported as lost when the next lifetime does not list it")
{
    session_fixture fixture;
    fixture.pass(3s);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.target.crash(fixture.time.now());
    fixture.pass(2s);
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(100ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
    const auto late = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
    CHECK(late.refusal == call_refusal::fenced);
}

// Guards against a run that is held for ever by a target that never returns.
TEST_CASE("a start without an answer is reported as lost when it is no longer expected")
{
    session_fixture fixture;
    fixture.pass(3s);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.target.crash(fixture.time.now());
    fixture.pass(59s);
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    fixture.pass(2s);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
}

// Guards against a task that is started elsewhere while a later lifetime of the target executes a
// start call that a fence had voided in the earlier one.
TEST_CASE("a run is not reported as lost while a later lifetime may execute a voided start of its "
          "task")
{
    session_fixture fixture;
    fixture.pass(3s);
    fixture.runTime = 60s;
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.loseStarts = false;
    fixture.pass(100ms);
    REQUIRE(fixture.ended(refOf(0), run_outcome::kind::not_started));
    fixture.session.start(refOf(0), "spec", demand);
    fixture.session.start(refOf(1), "spec", demand);
    fixture.pass(100ms);
    REQUIRE(fixture.target.running().contains(refOf(0)));
    CHECK_FALSE(fixture.session.startSettled(refOf(0)));
    CHECK(fixture.session.startSettled(refOf(1)));

    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.silent = true;
    fixture.pass(900ms);
    const auto late = fixture.target.call(fixture.lostCalls.front(), fixture.time.now());
    CHECK(late.status == call_status::accepted);
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.ended(refOf(1), run_outcome::kind::lost));

    fixture.silent = false;
    fixture.pass(200ms);
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    CHECK(fixture.target.running().contains(refOf(0)));
}

// Guards against a task that is started elsewhere because its target has crashed before the start
// that followed a voided one, which the next lifetime executes.
TEST_CASE("a start that cannot be sent is withheld while a voided start of its task is in doubt")
{
    session_fixture fixture;
    fixture.pass(3s);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.loseStarts = false;
    fixture.pass(100ms);
    fixture.outcomes.clear();
    fixture.target.crash(fixture.time.now());
    fixture.session.start(refOf(0), "spec", demand);
    fixture.session.start(refOf(1), "spec", demand);
    fixture.pass(2s);
    REQUIRE(fixture.outcomes.size() == 1);
    CHECK(fixture.outcomes.front().ref == refOf(1));
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.pass(100ms);
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
}

// Guards against a task that is started elsewhere while the earlier one of two targets beside the
// agent executes it until its lease ends.
TEST_CASE("runs are not reported as lost before their lease has ended when another target answers")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    REQUIRE(fixture.target.running().contains(refOf(0)));
    fake_target other{"i-2",
                      {32'000, 65'536, 0},
                      [](const run_ref &) {
                          return task_plan{demand, 60s, false};
                      },
                      fixture.time.now()};
    other.restart("i-2", 5, fixture.time.now());
    other.onStart = [](const run_ref &) {};
    other.onRemoved = [](const run_ref &, run_end_kind) {};
    fixture.session.handleReport(other.report(fixture.time.now()));
    const auto pass = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            for (const auto &call : fixture.session.takeCalls()) {
                fixture.session.handle(other.call(call, fixture.time.now()));
            }
            fixture.time.advance(10ms);
            fixture.target.advance(fixture.time.now());
            fixture.tick();
            for (const auto &end : fixture.session.takeOutcomes()) {
                fixture.outcomes.push_back(end);
            }
        }
    };
    pass(5);
    REQUIRE(fixture.session.target()->lifetime.id == "i-2");
    CHECK(fixture.target.running().contains(refOf(0)));
    CHECK_FALSE(fixture.ended(refOf(0), run_outcome::kind::lost));
    pass(70);
    CHECK_FALSE(fixture.target.running().contains(refOf(0)));
    CHECK(fixture.ended(refOf(0), run_outcome::kind::lost));
}

// Guards against runs that have ended as done and are reported as lost, because a listing has at
// most 500 ends.
TEST_CASE("no run is reported as lost or not started while a listing lacks further ends")
{
    session_fixture fixture;
    fixture.pass(100ms);
    constexpr std::uint32_t runs = 1'200;
    for (std::uint32_t index = 0; index < runs; ++index) {
        fixture.session.start(refOf(index), "spec", demand);
    }
    SUBCASE("confirmed starts")
    {
        fixture.deliver();
    }
    SUBCASE("starts whose replies are lost")
    {
        for (const auto &call : fixture.session.takeCalls()) {
            (void)fixture.target.call(call, fixture.time.now());
            const auto *const start = std::get_if<start_run>(&call);
            if (start != nullptr) {
                fixture.session.handle(
                        {start->header.id, call_status::unanswered, call_refusal::none, {}, {}});
            }
        }
        fixture.time.advance(250ms); // all runs end before the next listing
    }
    fixture.pass(300ms);
    CHECK(fixture.started.size() == runs);
    REQUIRE(fixture.outcomes.size() == runs);
    CHECK(std::ranges::all_of(fixture.outcomes, [](const auto &end) {
        return end.result == run_outcome::kind::done;
    }));
}
