#include "bamboohead/dispatch/target_session.hpp"
#include "dispatch/fake_target.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

constexpr resources demand{1'000, 64, 0};
constexpr double slowestClock = 0.98;
/// Longest time for which a lease of 600 ms lasts by a clock that is 2% slow, rounded up.
constexpr duration longestLease = 613ms;

run_ref refOf(std::uint32_t index)
{
    return {{batch_job_id{7}, 0, index}, 1};
}

const call_header &headerOf(const target_call &call)
{
    return std::visit([](const auto &made) -> const call_header & { return made.header; }, call);
}

target_reply unanswered(const target_call &call)
{
    return {headerOf(call).id, call_status::unanswered, call_refusal::none, {}, {}};
}

/// A session and a target with a slow clock, whose runs end only with their lease or lifetime.
class leased_target
{
public:
    explicit leased_target(double clockRate = slowestClock)
        : session{time, 100}
        , target{"i-1",
                 {32'000, 65'536, 0},
                 [](const run_ref &) {
                     return task_plan{demand, 60s, false};
                 },
                 time.now()}
    {
        target.clockRate = clockRate;
        target.onStart = [](const run_ref &) {};
        target.onRemoved = [](const run_ref &, run_end_kind) {};
        session.handleReport(target.report(time.now()));
    }

    /// Advances the clock in steps of 10 ms. The target executes all calls at once, or none.
    void pass(duration length, bool answers = true)
    {
        const auto until = time.now() + length;
        while (time.now() < until) {
            advance(10ms);
            tick();
            for (auto calls = session.takeCalls(); !calls.empty(); calls = session.takeCalls()) {
                for (const auto &call : calls) {
                    session.handle(answers ? target.call(call, time.now()) : unanswered(call));
                }
            }
            checkOutcomes();
        }
    }

    void advance(duration step)
    {
        time.advance(step);
        target.advance(time.now());
    }

    void tick()
    {
        session.confirmRightsUntil(time.now());
        session.tick();
    }

    /// Makes `count` list calls that are not executed yet.
    std::vector<target_call> makeListCalls(std::size_t count)
    {
        std::vector<target_call> made;
        while (made.size() < count) {
            tick();
            auto calls = session.takeCalls();
            REQUIRE_FALSE(calls.empty());
            std::ranges::move(calls, std::back_inserter(made));
        }
        return made;
    }

    void start(std::uint32_t index)
    {
        session.start(refOf(index), "spec", demand);
        for (const auto &call : session.takeCalls()) {
            session.handle(target.call(call, time.now()));
        }
        REQUIRE(target.running().contains(refOf(index)));
    }

    /// Collects the outcomes; no run that the target executes may have one.
    void checkOutcomes()
    {
        for (const auto &outcome : session.takeOutcomes()) {
            ++outcomes;
            endedWhileRunning += target.running().contains(outcome.ref) ? 1 : 0;
        }
    }

    manual_clock time;
    target_session session;
    fake_target target;
    int outcomes = 0;
    int endedWhileRunning = 0; ///< outcomes of runs that the target was still executing
};

} // namespace

// Guards against a task that is started elsewhere while its run executes: a list call that was made
// for the earlier lifetime renewed the lease of the later one by the maximum lease, long after that
// lifetime had become known and just before its first listing.
TEST_CASE(
        "a list call of an earlier lifetime that is executed late extends the lease of a run that "
        "is not reported as lost before its end")
{
    leased_target fixture;
    fixture.pass(6s); // the clock of the next lifetime is far behind the lease end in the call
    const auto late = fixture.makeListCalls(1);
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(2'500ms, false);
    REQUIRE(fixture.session.target()->lifetime.startedMs == 2);
    REQUIRE(fixture.target.call(late.front(), fixture.time.now()).status == call_status::accepted);
    fixture.pass(60ms);
    REQUIRE(fixture.session.ready());
    fixture.start(0);
    fixture.pass(1'500ms, false);
    CHECK(fixture.outcomes == 1);
    CHECK(fixture.endedWhileRunning == 0);
}

// Guards against a task that is started elsewhere while a later lifetime of the target executes its
// delayed start: the lease end of that start refers to the clock of the earlier lifetime, so the
// maximum lease applies from its execution on.
TEST_CASE(
        "a delayed start that the first listing of a lifetime shows is not reported as lost before "
        "the longest lease has ended")
{
    leased_target fixture;
    fixture.pass(6s);
    fixture.session.start(refOf(0), "spec", demand);
    const auto late = fixture.session.takeCalls();
    REQUIRE(late.size() == 1);
    fixture.session.handle(unanswered(late.front()));
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.session.handleReport(fixture.target.report(fixture.time.now()));
    fixture.pass(1s, false);
    REQUIRE(fixture.session.target()->lifetime.startedMs == 2);
    REQUIRE(fixture.target.call(late.front(), fixture.time.now()).status == call_status::accepted);
    fixture.pass(60ms);
    REQUIRE(fixture.target.running().contains(refOf(0)));
    REQUIRE(fixture.outcomes == 0);
    fixture.pass(1'500ms, false);
    CHECK(fixture.outcomes == 1);
    CHECK(fixture.endedWhileRunning == 0);
}

// Guards against a task that is started elsewhere while its run executes: the clock of another
// target, which answered at the address, was taken for the clock by which the lease ends.
TEST_CASE("the clock of another target does not end the lease of a run")
{
    leased_target fixture;
    fixture.pass(2s); // calls of earlier lifetimes bound nothing any more
    fixture.start(0);
    fixture.pass(100ms);
    fixture.advance(190ms); // long polls are answered after 200 ms
    const auto lists = fixture.makeListCalls(2);
    REQUIRE(fixture.target.call(lists[0], fixture.time.now()).status == call_status::accepted);
    fixture.session.handle(unanswered(lists[0]));
    const auto wrongTarget = [](const target_call &call) {
        return target_reply{headerOf(call).id,
                            call_status::wrong_target,
                            call_refusal::none,
                            1'000'000'000,
                            {}};
    };
    fixture.session.handle(wrongTarget(lists[1]));
    for (int round = 0; round < 150; ++round) {
        fixture.advance(10ms);
        fixture.tick();
        for (const auto &call : fixture.session.takeCalls()) {
            fixture.session.handle(wrongTarget(call));
        }
        fixture.checkOutcomes();
    }
    CHECK(fixture.outcomes == 1);
    CHECK(fixture.endedWhileRunning == 0);
}

// Guards against a run that outlives its failed agent because the target executes the agent's last
// list calls late: a lease that counted from the execution of the call would be renewed by each.
TEST_CASE("list calls that are executed after their agent has failed extend no lease")
{
    leased_target fixture;
    fixture.pass(50ms);
    fixture.start(0);
    fixture.pass(100ms);
    const auto failed = fixture.time.now();
    const auto late = fixture.makeListCalls(2);
    for (const auto executed : {300ms, 590ms}) {
        fixture.advance(failed + executed - fixture.time.now());
        REQUIRE(fixture.target.running().contains(refOf(0)));
        REQUIRE(fixture.target.call(late[executed == 300ms ? 0 : 1], fixture.time.now()).status ==
                call_status::accepted);
    }
    fixture.advance(failed + longestLease - fixture.time.now());
    CHECK(fixture.target.running().empty());
}

// Guards against a lease that is computed from a reply that was held up, or that a newer reply has
// overtaken: the target's clock must never be assumed ahead of its real value.
TEST_CASE("a reply that arrives late neither lengthens a lease nor ends one early")
{
    leased_target fixture{1.0};
    fixture.pass(50ms);
    fixture.start(0);
    fixture.pass(100ms);
    const auto lists = fixture.makeListCalls(2);
    const auto heldUp = fixture.target.call(lists[0], fixture.time.now());
    fixture.advance(250ms);
    const auto newer = fixture.target.call(lists[1], fixture.time.now());
    fixture.session.confirmRightsUntil(fixture.time.now());
    fixture.session.handle(newer);
    fixture.session.handle(heldUp);
    for (const auto &call : fixture.makeListCalls(1)) {
        const auto *const list = std::get_if<list_runs>(&call);
        REQUIRE(list != nullptr);
        REQUIRE(list->leaseEndMs);
        CHECK(*list->leaseEndMs <= *newer.clockMs + 600);
        (void)fixture.target.call(call, fixture.time.now());
        fixture.session.handle(unanswered(call));
    }
    fixture.pass(1'500ms, false);
    CHECK(fixture.outcomes == 1);
    CHECK(fixture.endedWhileRunning == 0);
}

namespace {

/// A random schedule of calls and replies between a session and a target that restarts under its
/// id. List and stop calls may be executed up to 3 s late; starts are executed at once or never.
class late_call_schedule
{
public:
    explicit late_call_schedule(std::uint64_t seed)
        : m_random{seed}
        , m_fixture{chance(50) ? slowestClock : 1.0}
    {}

    void run(duration length)
    {
        const auto end = m_fixture.time.now() + length;
        while (m_fixture.time.now() < end) {
            step();
        }
    }

    /// The agent fails: calls that were made are executed, and nothing follows. Returns how long
    /// runs execute on after the last look for due stops.
    duration failAgent()
    {
        const auto lastLook = m_lastLook;
        auto lastRunning = lastLook;
        while (m_fixture.time.now() < lastLook + 5s) {
            m_fixture.advance(1ms);
            executeDue();
            if (!m_fixture.target.running().empty()) {
                lastRunning = m_fixture.time.now();
            }
        }
        return lastRunning - lastLook;
    }

    [[nodiscard]] int outcomes() const { return m_fixture.outcomes; }
    [[nodiscard]] int endedWhileRunning() const { return m_fixture.endedWhileRunning; }
    bool restarts = true;

private:
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }
    duration between(duration low, duration high)
    {
        return low + duration{static_cast<duration::rep>(
                             m_random() % static_cast<std::uint64_t>((high - low).count()))};
    }

    void step()
    {
        const auto now = m_fixture.time.now();
        if (now >= m_nextChange) {
            m_nextChange = now + between(200ms, 1'500ms);
            m_answered = m_answered ? (chance(50) ? 0 : 50) : 95;
            if (restarts && chance(20)) {
                m_fixture.target.restart("i-1", ++m_startedMs, now);
                m_nextReport = now + between(0ms, 400ms);
            }
        }
        if (now >= m_nextReport) {
            m_nextReport = now + 1s;
            m_fixture.session.handleReport(m_fixture.target.report(now));
        }
        m_fixture.advance(1ms);
        executeDue();
        deliverDue();
        m_lastLook = m_fixture.time.now();
        m_fixture.tick();
        if (m_fixture.session.ready() && m_fixture.session.runs() < 3) {
            m_fixture.session.start(refOf(m_nextRun++), "spec", demand);
        }
        schedule(m_fixture.session.takeCalls());
        m_fixture.checkOutcomes();
    }

    void schedule(std::vector<target_call> calls)
    {
        for (auto &call : calls) {
            const auto now = m_fixture.time.now();
            const auto timeout = now + headerOf(call).timeout;
            const bool isStart = std::holds_alternative<start_run>(call);
            if (chance(m_answered)) {
                m_replies.emplace(timeout, unanswered(call));
                m_executions.emplace(now + between(0ms, 2ms), std::pair{std::move(call), true});
            } else {
                m_replies.emplace(timeout, unanswered(call));
                if (!isStart && chance(70)) {
                    m_executions.emplace(now + between(100ms, 3s),
                                         std::pair{std::move(call), false});
                }
            }
        }
    }

    void executeDue()
    {
        const auto now = m_fixture.time.now();
        while (!m_executions.empty() && m_executions.begin()->first <= now) {
            const auto [call, answered] = m_executions.extract(m_executions.begin()).mapped();
            const auto reply = m_fixture.target.call(call, now);
            if (answered) {
                m_replies.emplace(now + (chance(10) ? between(1ms, 300ms) : 1ms), reply);
            }
        }
    }

    void deliverDue()
    {
        const auto now = m_fixture.time.now();
        while (!m_replies.empty() && m_replies.begin()->first <= now) {
            m_fixture.session.handle(m_replies.extract(m_replies.begin()).mapped());
        }
    }

    std::mt19937_64 m_random;
    leased_target m_fixture;
    std::multimap<time_point, std::pair<target_call, bool>> m_executions; ///< and if answered
    std::multimap<time_point, target_reply> m_replies;
    time_point m_lastLook;
    time_point m_nextChange;
    time_point m_nextReport;
    int m_answered = 95; ///< per cent of the calls
    std::int64_t m_startedMs = 1;
    std::uint32_t m_nextRun = 0;
};

constexpr std::uint64_t schedules = 300;

} // namespace

// Guards against runs that are reported as lost while they execute, in any order of late list
// calls, late replies and restarts under the same id, with clocks that are up to 2% slow.
TEST_CASE("lease schedule: no run that executes is reported as ended")
{
    int outcomes = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        late_call_schedule schedule{seed};
        schedule.run(15s);
        CHECK(schedule.endedWhileRunning() == 0);
        outcomes += schedule.outcomes();
    }
    CHECK(outcomes > 1'000); // the schedules do lose runs
}

// Guards against runs that outlive their failed agent because late list calls renew the lease.
TEST_CASE("lease schedule: runs end with the lease of their failed agent")
{
    int outlasting = 0;
    for (std::uint64_t seed = 1; seed <= schedules; ++seed) {
        CAPTURE(seed);
        late_call_schedule schedule{seed};
        schedule.restarts = false;
        schedule.run(2s + std::chrono::milliseconds{seed});
        const auto time = schedule.failAgent();
        CHECK(time <= longestLease);
        outlasting += time > 0ms ? 1 : 0;
    }
    CHECK(outlasting > 100); // runs do execute when the agent fails
}
