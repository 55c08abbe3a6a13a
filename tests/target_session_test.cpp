#include "bamboohead/dispatch/target_session.hpp"
#include "dispatch/fake_target.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

constexpr resources demand{3'000, 64, 0};

run_ref refOf(std::uint32_t index, std::uint32_t run = 1)
{
    return {{batch_job_id{7}, 0, index}, run};
}

/// A session and its target; calls are carried out at once unless a test holds them back.
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
        session.report(target.report(time.now()));
    }

    /// Passes time in steps of a tick, carrying out all calls.
    void pass(duration length)
    {
        const auto until = time.now() + length;
        while (time.now() < until) {
            time.advance(10ms);
            target.advance(time.now());
            session.tick();
            deliver();
        }
    }

    void deliver()
    {
        for (auto calls = session.takeCalls(); !calls.empty(); calls = session.takeCalls()) {
            for (const auto &call : calls) {
                carryOut(call);
            }
        }
        for (const auto &end : session.takeEnds()) {
            ends.push_back(end);
        }
    }

    void carryOut(const target_call &call)
    {
        const auto &header = std::visit(
                [](const auto &made) -> const call_header & { return made.header; }, call);
        if (loseStarts && std::holds_alternative<start_run>(call)) {
            lost.push_back(call);
            session.handle({header.id, call_status::unanswered, call_refusal::none, {}, {}});
            return;
        }
        if (silent) {
            session.handle({header.id, call_status::unanswered, call_refusal::none, {}, {}});
            return;
        }
        // A waiting list call would be answered when a run ends; at once is as good here.
        session.handle(target.call(call, time.now()));
    }

    [[nodiscard]] bool ended(const run_ref &ref, session_end::kind how) const
    {
        return std::ranges::any_of(
                ends, [&](const auto &end) { return end.ref == ref && end.how == how; });
    }

    manual_clock time;
    duration runTime = 200ms;
    target_session session;
    fake_target target;
    bool loseStarts = false;
    bool silent = false;
    std::deque<target_call> lost;
    std::vector<session_end> ends;
    std::vector<run_ref> started;
};

} // namespace

TEST_CASE("a session starts a run, keeps its lease and tells its end")
{
    session_fixture fixture;
    fixture.runTime = 3s;
    CHECK_FALSE(fixture.session.ready());
    fixture.pass(50ms);
    REQUIRE(fixture.session.ready());
    fixture.session.start(refOf(0), "spec", demand);
    CHECK(fixture.session.committed() == demand);
    fixture.pass(2'900ms);
    CHECK(fixture.ends.empty());
    fixture.pass(200ms);
    CHECK(fixture.ended(refOf(0), session_end::kind::done));
    CHECK(fixture.session.committed() == resources{});
}

TEST_CASE("a start without a reply keeps its room until a higher fence makes it void")
{
    // Guards against a late execution that exceeds the target's capacity or runs a task twice.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    for (const auto &call : fixture.session.takeCalls()) {
        fixture.carryOut(call);
    }
    CHECK(fixture.session.committed() == demand);
    CHECK(fixture.session.takeEnds().empty());
    fixture.pass(50ms);
    CHECK(fixture.ended(refOf(0), session_end::kind::not_started));
    CHECK(fixture.session.committed() == resources{});

    // The lost start arrives now; its lease has not ended, only the fence stops it.
    REQUIRE(fixture.lost.size() == 1);
    const auto reply = fixture.target.call(fixture.lost.front(), fixture.time.now());
    CHECK(reply.refusal == call_refusal::fenced);
    CHECK(fixture.started.empty());
}

TEST_CASE("a start that was carried out without a reply is found in the listing")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    for (const auto &call : fixture.session.takeCalls()) {
        (void)fixture.target.call(call, fixture.time.now());
        fixture.carryOut(call);
    }
    fixture.pass(300ms);
    CHECK(fixture.ended(refOf(0), session_end::kind::done));
    CHECK_FALSE(fixture.ended(refOf(0), session_end::kind::not_started));
}

TEST_CASE("a new agent raises the fence and stops the runs of its predecessor before it is ready")
{
    // Guards against overbooking a target by runs whose demand the new agent does not know.
    session_fixture fixture{5'000};
    fixture.pass(50ms);
    fixture.runTime = 10s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    REQUIRE(fixture.target.running().size() == 1);

    target_session successor{fixture.time, 4'990}; // its clock is behind that of the first agent
    successor.report(fixture.target.report(fixture.time.now()));
    bool readyWithForeignRun = false;
    for (int round = 0; round < 40; ++round) {
        fixture.time.advance(10ms);
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
    // The first agent, were it still alive, can do nothing more.
    fixture.session.start(refOf(1), "spec", demand);
    fixture.deliver();
    CHECK(fixture.target.running().empty());
}

TEST_CASE("runs are taken as lost only after their lease has surely lapsed")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.clockRate = 0.98;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(100ms);
    fixture.silent = true;
    bool lostWhileRunning = false;
    for (int round = 0; round < 200 && fixture.ends.empty(); ++round) {
        fixture.pass(10ms);
        lostWhileRunning =
                lostWhileRunning || (!fixture.ends.empty() && !fixture.target.running().empty());
    }
    CHECK(fixture.ended(refOf(0), session_end::kind::lost));
    CHECK_FALSE(lostWhileRunning);
    CHECK_FALSE(fixture.session.ready());
}

TEST_CASE("a target that restarts under its old id has lost its runs")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(50ms);
    fixture.target.restart("i-1", 2, fixture.time.now());
    SUBCASE("seen by its report")
    {
        CHECK(fixture.session.report(fixture.target.report(fixture.time.now())));
    }
    SUBCASE("seen by its listing")
    {}
    fixture.pass(100ms);
    CHECK(fixture.ended(refOf(0), session_end::kind::lost));
    CHECK(fixture.session.ready());
}

TEST_CASE("a start that reached a new lifetime before the agent knew of it is not repeated")
{
    // Guards against telling such a run as lost, so that its task gets a second run elsewhere.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(500ms);
    CHECK(fixture.target.running().size() == 1);
    CHECK(fixture.ends.empty());
    CHECK(fixture.session.committed() == demand);
    CHECK(fixture.session.ready());
}

TEST_CASE("the report of a new lifetime does not tell what happened to the runs")
{
    // Guards against taking the lease of the earlier lifetime as lapsed before the first listing of
    // the new one: a start that was carried out late is at work there, and its task would get a
    // second run elsewhere (soak seed 4).
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.start(refOf(0), "spec", demand);
    fixture.session.report(fixture.target.report(fixture.time.now()));
    fixture.pass(500ms);
    CHECK(fixture.target.running().size() == 1);
    CHECK(fixture.ends.empty());
    CHECK(fixture.session.committed() == demand);
}

TEST_CASE("a target that refuses connections is not called in a loop while a start is unresolved")
{
    // Guards against raising the fence again as soon as a call has failed: each call to a target
    // that is down fails at once and costs a connection (39,837 on a day with targets that go up
    // and down).
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.loseStarts = true;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    std::size_t calls = 0;
    for (int tick = 0; tick < 50; ++tick) {
        fixture.time.advance(10ms);
        fixture.session.tick();
        // A failed call is handled at once, as the agent does.
        for (auto made = fixture.session.takeCalls(); !made.empty() && calls < 1'000;
             made = fixture.session.takeCalls()) {
            for (const auto &call : made) {
                ++calls;
                const auto &header = std::visit(
                        [](const auto &each) -> const call_header & { return each.header; }, call);
                fixture.session.handle(
                        {header.id, call_status::unreachable, call_refusal::none, {}, {}});
            }
            fixture.session.tick();
        }
    }
    CHECK(calls <= 25); // two for each pause of 50 ms, and the first ones
}

TEST_CASE("runs are lost when a new lifetime never answers")
{
    // Guards against runs that are held for ever: the longest lease has passed by then.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.report(fixture.target.report(fixture.time.now()));
    fixture.silent = true;
    fixture.pass(900ms);
    CHECK(fixture.ends.empty());
    fixture.pass(400ms);
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().how == session_end::kind::lost);
}

TEST_CASE("the end of a run is told although the reply to a list call is lost")
{
    // Guards against ends that wait for the timeout of a list call, while orders go unanswered.
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(20ms);
    std::vector<target_call> waiting;
    for (int tick = 0; tick < 3; ++tick) {
        fixture.time.advance(10ms);
        fixture.session.tick();
        for (auto &call : fixture.session.takeCalls()) {
            waiting.push_back(std::move(call));
        }
    }
    REQUIRE(waiting.size() == 2);
    fixture.time.advance(200ms);
    fixture.target.advance(fixture.time.now());
    fixture.carryOut(waiting.back()); // the first one's reply is lost
    fixture.deliver();
    CHECK(fixture.ended(refOf(0), session_end::kind::done));
}

TEST_CASE("a run that has ended is not stopped because an older listing still shows it")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.pass(20ms);
    fixture.session.tick();
    target_reply older;
    for (const auto &call : fixture.session.takeCalls()) {
        older = fixture.target.call(call, fixture.time.now());
    }
    fixture.time.advance(250ms);
    fixture.target.advance(fixture.time.now());
    fixture.session.tick();
    fixture.deliver();
    REQUIRE(fixture.ended(refOf(0), session_end::kind::done));
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
    CHECK(fixture.session.report(fixture.target.report(fixture.time.now())));
    CHECK_FALSE(fixture.session.report(old));
    CHECK(fixture.session.target()->life.id == "i-2");
}

TEST_CASE("a draining or leaving target is not ready")
{
    session_fixture fixture;
    fixture.pass(50ms);
    SUBCASE("draining")
    {
        fixture.target.phase = target_phase::draining;
        fixture.session.report(fixture.target.report(fixture.time.now()));
    }
    SUBCASE("left")
    {
        fixture.session.leave("i-1");
    }
    CHECK_FALSE(fixture.session.ready());
}

TEST_CASE("a run is stopped by name and its end is awaited")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.runTime = 60s;
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.session.stop(refOf(0));
    CHECK(fixture.session.committed() == demand);
    fixture.pass(50ms);
    CHECK(fixture.ended(refOf(0), session_end::kind::stopped));
}

TEST_CASE("a run that an earlier stop has closed is refused as old")
{
    session_fixture fixture;
    fixture.pass(50ms);
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    fixture.session.stop(refOf(0));
    fixture.pass(50ms);
    fixture.ends.clear();
    fixture.session.start(refOf(0), "spec", demand);
    fixture.deliver();
    REQUIRE(fixture.ends.size() == 1);
    CHECK(fixture.ends.front().refusal == start_refusal::old_run);
}
