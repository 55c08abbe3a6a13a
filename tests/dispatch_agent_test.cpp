#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "dispatch/fake_target.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <set>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;

namespace {

constexpr incarnation_id agentId{1};
constexpr resources capacity{32'000, 65'536, 0};

run_ref refOf(std::uint32_t index)
{
    return {{batch_job_id{7}, 0, index}, 1};
}

/// An agent with its target and hand-written messages of entries.
class dispatch_agent_fixture
{
public:
    explicit dispatch_agent_fixture(double clockRate = 1.0)
        : target{"i-1", capacity,
                 [this](const run_ref &ref) {
                     return task_plan{demands.at(ref.task.index), runTime, false};
                 },
                 time.now()}
        , agent{options(), time}
    {
        target.clockRate = clockRate;
        time.advance(10s);
        target.onStart = [this](const run_ref &ref) {
            started.push_back(ref.task.index);
            overloaded = overloaded || !target.used().fitsIn(target.capacity());
        };
        target.onRemoved = [](const run_ref &, run_end_kind) {};
        desired_state state;
        state.revision = 1;
        state.version = 1;
        state.services = {"quotes"};
        agent.handleConfig(state);
        agent.handleTargetReport(target.report(time.now()));
        pass(200ms);
    }

    static dispatch_agent_options options()
    {
        dispatch_agent_options made;
        made.self = {agentId, "a1", wire::ROLE_AGENT, "graz"};
        return made;
    }

    /// A message of an entry that continues all runs of the test.
    wire::Envelope message(incarnation_id entry)
    {
        wire::Envelope envelope;
        envelope.set_sender(static_cast<std::uint64_t>(entry));
        envelope.set_receiver(static_cast<std::uint64_t>(agentId));
        envelope.set_endpoint("e" + std::to_string(static_cast<std::uint64_t>(entry)));
        envelope.set_role(wire::ROLE_ENTRY);
        envelope.set_zone("graz");
        envelope.set_stamp_us(toStamp(time.now()));
        envelope.set_echo_us(toStamp(time.now()));
        auto &orders = *envelope.mutable_dispatch_orders();
        orders.set_epoch(epoch);
        orders.set_crashes_seen(crashesSeen[entry]);
        orders.set_doubts_seen(doubtsSeen[entry]);
        return envelope;
    }

    /// Orders the run `index` for the entry 2, or for `entry`.
    void order(std::uint32_t index, const resources &demand, bool immediate = false,
               bool suspect = false, incarnation_id entry = incarnation_id{2})
    {
        sendOrder(index, demand, immediate, suspect, entry);
        pass(20ms);
    }

    void sendOrder(std::uint32_t index, const resources &demand, bool immediate, bool suspect,
                   incarnation_id entry)
    {
        demands[index] = demand;
        auto envelope = message(entry);
        envelope.mutable_dispatch_orders()->set_number(++orderNumber);
        auto &added = *envelope.mutable_dispatch_orders()->add_orders();
        added.set_job(static_cast<std::uint64_t>(refOf(index).task.job));
        added.set_spec("spec");
        toWire(demand, *added.mutable_demand());
        added.set_remaining_ms(remainingMs);
        added.set_immediate(immediate);
        added.set_suspect(suspect);
        added.set_service(requirements.service());
        added.set_required_label(requirements.required_label());
        added.set_target(requirements.target());
        added.set_doubt_ms(requirements.doubt_ms());
        auto &task = *added.add_tasks();
        task.set_index(index);
        task.set_run(1);
        agent.receive(envelope);
    }

    /// Advances the clock, executes all calls and collects the reports.
    void pass(duration length)
    {
        const auto until = time.now() + length;
        while (time.now() < until) {
            time.advance(10ms);
            target.advance(time.now());
            for (const auto entry : entries) {
                agent.receive(message(entry));
            }
            agent.tick();
            deliver();
        }
    }

    /// Executes the calls that the agent has made and collects its reports.
    void deliver()
    {
        for (const auto &action : agent.takeActions()) {
            if (const auto *const call = std::get_if<target_call>(&action)) {
                agent.handleCallResult(execute(*call));
            } else if (const auto *const sent = std::get_if<send_message>(&action)) {
                handleReport(sent->envelope);
            } else if (std::holds_alternative<shutdown_complete>(action)) {
                endsAtShutdown = ends.size();
            }
        }
    }

    target_reply execute(const target_call &call)
    {
        if (loseStops && std::holds_alternative<stop_run>(call)) {
            const auto id = std::get<stop_run>(call).header.id;
            return {id, call_status::unanswered, call_refusal::none, {}, {}};
        }
        if (loseStarts && std::holds_alternative<start_run>(call)) {
            const auto id = std::get<start_run>(call).header.id;
            return {id, call_status::unanswered, call_refusal::none, {}, {}};
        }
        return target.call(call, time.now());
    }

    /// Sends a stop of the run `index`.
    void sendStop(std::uint32_t index, incarnation_id entry = incarnation_id{2})
    {
        auto stop = message(entry);
        toWire(refOf(index), *stop.mutable_dispatch_orders()->add_stops());
        agent.receive(stop);
    }

    /// Orders the run `index` and loses its first start call, which the next fence voids.
    void orderWithVoidedStart(std::uint32_t index)
    {
        loseStarts = true;
        order(index, {1'000, 64, 0});
        loseStarts = false;
        pass(100ms);
    }

    /// Makes the agent's next list call, and executes it after the agent has been frozen for
    /// `length`.
    target_reply freezeDuringList(duration length)
    {
        time.advance(10ms);
        target.advance(time.now());
        agent.tick();
        std::optional<target_call> list;
        for (const auto &action : agent.takeActions()) {
            const auto *const call = std::get_if<target_call>(&action);
            if (call != nullptr && std::holds_alternative<list_runs>(*call)) {
                list = *call;
            }
        }
        time.advance(length);
        return target.call(list.value(), time.now());
    }

    /// The latest lease end in the agent's next calls, as time left on the target's clock.
    std::int64_t longestLeaseMs(std::int64_t targetClockMs)
    {
        std::int64_t longest = 0;
        for (const auto &action : agent.takeActions()) {
            const auto *const call = std::get_if<target_call>(&action);
            if (call == nullptr) {
                continue;
            }
            if (const auto *const list = std::get_if<list_runs>(call)) {
                longest = std::max(longest, list->leaseEndMs.value_or(0) - targetClockMs);
            } else if (const auto *const start = std::get_if<start_run>(call)) {
                longest = std::max(longest, start->leaseEndMs - targetClockMs);
                startCalls.push_back(start->ref.task.index);
            }
        }
        return longest;
    }

    void handleReport(const wire::Envelope &envelope)
    {
        const auto &report = envelope.dispatch_report();
        for (const auto &end : report.ends()) {
            ends[end.run().index()] = end;
        }
        for (int held = 0; held < report.held_size(); ++held) {
            settled[report.held(held).index()] =
                    held < report.start_settled_size() && report.start_settled(held);
        }
        if (report.reconcile() && envelope.receiver() == 2) {
            fullReport = report;
        }
        for (const auto &crashed : report.crashed()) {
            crashes[incarnation_id{envelope.receiver()}].push_back(crashed.index());
        }
        for (const auto &task : report.in_doubt()) {
            doubts[incarnation_id{envelope.receiver()}].push_back(task);
        }
    }

    [[nodiscard]] bool refusedForRoom(std::uint32_t index) const
    {
        const auto end = ends.find(index);
        return end != ends.end() && end->second.outcome() == wire::RUN_OUTCOME_REFUSED &&
               errorFromWire(end->second.error()) == error_kind::no_room;
    }

    manual_clock time;
    duration runTime = 60s;
    std::uint32_t remainingMs = 60'000; ///< time limit of the runs that are ordered next
    wire::RunOrder requirements;        ///< service, label and target of the runs ordered next
    bool loseStops = false;             ///< stop calls are not executed and time out
    bool loseStarts = false;            ///< start calls are not executed and time out
    std::vector<std::uint32_t> startCalls;
    std::map<std::uint32_t, resources> demands;
    std::vector<incarnation_id> entries{incarnation_id{2}, incarnation_id{3}};
    std::map<incarnation_id, std::uint64_t> crashesSeen;
    std::map<incarnation_id, std::uint64_t> doubtsSeen;
    std::uint64_t orderNumber = 0;
    std::uint64_t epoch = 1; ///< of the entries
    fake_target target;
    dispatch_agent agent;
    std::vector<std::uint32_t> started;
    bool overloaded = false; ///< a start has exceeded the capacity
    std::map<std::uint32_t, wire::RunEnd> ends;
    std::map<std::uint32_t, bool> settled; ///< whether the newest report called the start settled
    wire::DispatchReport fullReport;       ///< newest full report to the entry 2
    std::optional<std::size_t> endsAtShutdown; ///< reported ends when the shutdown was complete
    std::map<incarnation_id, std::vector<std::uint32_t>> crashes;    ///< as reported to each entry
    std::map<incarnation_id, std::vector<wire::TaskInDoubt>> doubts; ///< the same
};

} // namespace

// Guards against two suspects that crash a target together, so that neither is convicted alone.
TEST_CASE("an agent runs one suspect at a time")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 500ms;
    fixture.order(0, {1'000, 64, 0}, true, true);
    REQUIRE(fixture.started == std::vector<std::uint32_t>{0});
    fixture.order(1, {1'000, 64, 0}, true, true);
    CHECK(fixture.refusedForRoom(1));
    fixture.order(2, {1'000, 64, 0}, false, true);
    fixture.order(3, {1'000, 64, 0}, false, false);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 3});
    fixture.pass(600ms);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 3, 2});
}

// Guards against innocent jobs that are refused as overload while suspects wait for each other.
TEST_CASE("a suspect that waits for another one takes no capacity from other runs")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 500ms;
    fixture.order(0, {1'000, 64, 0}, true, true);
    fixture.order(1, {20'000, 64, 0}, false, true);
    fixture.order(2, {20'000, 64, 0}, true, false);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 2});
    fixture.pass(1'100ms);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 2, 1});
}

// Guards against a crash that only the entry knows which ordered the run, so that a resubmitted job
// crashes further targets.
TEST_CASE("an agent reports a crash to all entries until they have received it")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {1'000, 64, 0});
    REQUIRE(fixture.started.size() == 1);
    fixture.target.crash(fixture.time.now());
    fixture.pass(3'300ms);
    CHECK(fixture.crashes.empty());
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    for (const auto entry : fixture.entries) {
        REQUIRE(fixture.crashes.contains(entry));
        CHECK(fixture.crashes[entry].front() == 0);
    }
    CHECK(fixture.agent.counters().crashes == 1);
    fixture.crashesSeen[incarnation_id{2}] = 1;
    fixture.pass(50ms);
    fixture.crashes.clear();
    fixture.pass(2s);
    CHECK_FALSE(fixture.crashes.contains(incarnation_id{2}));
    CHECK(fixture.crashes.contains(incarnation_id{3}));
    fixture.crashes.clear();
    fixture.entries.push_back(incarnation_id{4}); // a restarted entry
    fixture.pass(200ms);
    CHECK(fixture.crashes.contains(incarnation_id{4}));
}

// Guards against starts that exceed the capacity of a target that has become smaller.
TEST_CASE("an agent starts nothing beyond a capacity that has shrunk, stopping runs included")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {16'000, 64, 0});
    fixture.order(1, {16'000, 64, 0});
    fixture.order(2, {4'000, 64, 0});
    REQUIRE(fixture.started == std::vector<std::uint32_t>{0, 1});
    fixture.target.resize({18'000, 65'536, 0});
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(300ms);
    CHECK(fixture.started.size() == 2);
    fixture.order(3, {1'000, 64, 0}, true);
    CHECK(fixture.refusedForRoom(3));
    fixture.sendStop(0);
    CHECK(fixture.started.size() == 2); // the run that is being stopped still counts
    CHECK_FALSE(fixture.ends.contains(0));
    fixture.pass(300ms);
    // 2,000 are left beside the run 1.
    CHECK(fixture.started.size() == 2);
    fixture.target.resize({20'000, 65'536, 0});
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(100ms);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 1, 2});
    CHECK_FALSE(fixture.overloaded);
}

// Guards against a queued run that can never start on a smaller target and blocks all others until
// its time limit.
TEST_CASE("a queued run that no longer fits into the target's capacity is refused")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 500ms;
    fixture.order(0, {24'000, 64, 0});
    fixture.order(1, {20'000, 64, 0});
    fixture.order(2, {800, 64, 0});
    REQUIRE(fixture.started == std::vector<std::uint32_t>{0});
    fixture.target.resize({16'000, 65'536, 0});
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(700ms);
    CHECK(fixture.refusedForRoom(1));
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 2});
}

// Guards against runs of a failed entry that execute without a bound while their stops are lost and
// list calls extend their lease; the caller's next request starts their tasks elsewhere.
TEST_CASE("the runs of a failed entry end with their lease when the target loses all stops")
{
    dispatch_agent_fixture fixture{0.98};
    fixture.order(0, {1'000, 64, 0});
    fixture.order(1, {1'000, 64, 0}, false, false, incarnation_id{3});
    fixture.pass(300ms);
    fixture.loseStops = true;
    fixture.entries = {incarnation_id{3}};
    // Since the last echo of the entry 2: 600 ms, and 600 ms of a clock that is 2% slow.
    fixture.pass(1'210ms);
    fixture.time.advance(3ms);
    fixture.target.advance(fixture.time.now());
    CHECK(fixture.target.running().empty());
    // The lease is common to all runs. The target works normally again as soon as it has lapsed.
    fixture.pass(100ms);
    REQUIRE(fixture.ends.contains(1));
    CHECK(fixture.ends.at(1).outcome() == wire::RUN_OUTCOME_LOST);
    fixture.order(2, {1'000, 64, 0}, true, false, incarnation_id{3});
    fixture.pass(2s);
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 1, 2});
    CHECK(fixture.target.running().size() == 1);
}

// Guards against an agent that was frozen and extends leases or starts runs before it has looked
// for silent entries and expired runs.
TEST_CASE("the first reply after a freeze neither extends a lease that is due nor starts a run")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 60s;
    std::int64_t lateMs = 60;
    SUBCASE("silent entry")
    {
        fixture.order(0, {1'000, 64, 0});
        fixture.runTime = 500ms;
        fixture.order(1, {24'000, 64, 0}, false, false, incarnation_id{3});
        fixture.order(2, {19'000, 64, 0});
        fixture.entries = {incarnation_id{3}};
        fixture.pass(400ms);
    }
    SUBCASE("expired runs")
    {
        fixture.remainingMs = 660;
        fixture.order(0, {1'000, 64, 0});
        fixture.remainingMs = 60'000;
        fixture.runTime = 500ms;
        fixture.order(1, {24'000, 64, 0}, false, false, incarnation_id{3});
        fixture.remainingMs = 600;
        fixture.order(2, {19'000, 64, 0});
        fixture.pass(400ms);
        lateMs = 40;
    }
    REQUIRE(fixture.started == std::vector<std::uint32_t>{0, 1});
    const auto reply = fixture.freezeDuringList(250ms);
    REQUIRE(fixture.target.running().size() == 1);
    fixture.agent.handleCallResult(reply);
    CHECK(fixture.longestLeaseMs(reply.clockMs.value()) <= 600 - lateMs);
    CHECK(fixture.startCalls.empty());
}

// Guards against a start call that extends the lease of a run whose entry has failed.
TEST_CASE("the first order after a freeze does not extend a lease that is due")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {1'000, 64, 0});
    fixture.entries = {incarnation_id{3}};
    fixture.pass(400ms);
    const auto reply = fixture.freezeDuringList(250ms);
    fixture.sendOrder(1, {1'000, 64, 0}, true, false, incarnation_id{3});
    CHECK(fixture.longestLeaseMs(reply.clockMs.value()) <= 540);
    CHECK(fixture.startCalls == std::vector<std::uint32_t>{1});
}

// Guards against a late start that a new lifetime of the target executes before the agent has
// called it: the fence voids such a start only in the lifetime that has acknowledged it.
TEST_CASE("an agent calls a new lifetime of its target without waiting for a tick")
{
    dispatch_agent_fixture fixture;
    fixture.demands[0] = {1'000, 64, 0};
    const start_run late{{call_id{0}, "", "i-1", {}}, refOf(0), "spec", 100'000, 1};
    (void)fixture.agent.takeActions(); // list calls that may not reach the new lifetime
    fixture.target.restart("i-1", 2, fixture.time.now());
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.deliver();
    CHECK(fixture.target.call(late, fixture.time.now()).refusal == call_refusal::fenced);
    CHECK(fixture.started.empty());
}

// Guards against a single false report that ends the use of a target until its agent restarts.
TEST_CASE("an agent continues to use its target after a false report")
{
    dispatch_agent_fixture fixture;
    auto report = fixture.target.report(fixture.time.now());
    report.lifetime = {"i-9", 9'999'999'999'999'999};
    report.address = "10.0.0.9:4464";
    report.clockMs = std::numeric_limits<std::int64_t>::max();
    fixture.agent.handleTargetReport(report);
    const auto good = fixture.target.report(fixture.time.now());
    CHECK(fixture.agent.handleTargetReport(good));
    CHECK_FALSE(fixture.agent.handleTargetReport(good)); // is not acknowledged: outdated
    fixture.pass(100ms);
    fixture.order(0, {1'000, 64, 0});
    CHECK(fixture.started == std::vector<std::uint32_t>{0});
    fixture.pass(1s);
    CHECK(fixture.target.running().size() == 1);
    CHECK_FALSE(fixture.ends.contains(0));
}

// Guards against an order that is dropped without an answer because another entry uses the same run
// number: the entry that sent it then takes the run for lost.
TEST_CASE("an order for a run that is held for another entry is refused")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {1'000, 64, 0});
    REQUIRE(fixture.started.size() == 1);
    fixture.order(0, {1'000, 64, 0}, true, false, incarnation_id{3});
    REQUIRE(fixture.ends.contains(0));
    CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_REFUSED);
    CHECK(errorFromWire(fixture.ends.at(0).error()) == error_kind::order_duplicate);
    CHECK(fixture.target.running().size() == 1);
}

// Guards against an entry that stops the run of another one under the same run number.
TEST_CASE("a stop of another entry's run is ignored")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {1'000, 64, 0});
    fixture.sendStop(0, incarnation_id{3});
    fixture.pass(100ms);
    CHECK(fixture.target.running().size() == 1);
    CHECK_FALSE(fixture.ends.contains(0));
}

// Guards against an entry that repeats a task elsewhere while a start of it, which its silent agent
// may have sent without an answer, can still be executed.
TEST_CASE("an agent reports the start of a run as settled when the target has confirmed it")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, {24'000, 64, 0});
    fixture.order(1, {16'000, 64, 0}); // waits for the end of the run 0
    fixture.loseStarts = true;
    fixture.order(2, {1'000, 64, 0});
    fixture.pass(300ms);
    REQUIRE(fixture.settled.size() == 3);
    CHECK(fixture.settled[0]);
    CHECK_FALSE(fixture.settled[1]);
    CHECK_FALSE(fixture.settled[2]);
}

// Guards against runs that have ended as done and that their entry takes for lost, because a report
// has at most 500 ends, and against ends that wait for the next full report.
TEST_CASE("all ends of runs that end together are reported at once")
{
    dispatch_agent_fixture fixture;
    fixture.target.maxListedEnds = 10'000;
    fixture.runTime = 500ms;
    constexpr std::uint32_t runs = 1'200;
    for (std::uint32_t index = 0; index < runs; ++index) {
        fixture.sendOrder(index, {20, 1, 0}, true, false, incarnation_id{2});
    }
    fixture.pass(400ms);
    REQUIRE(fixture.started.size() == runs);
    REQUIRE(fixture.ends.empty());
    CHECK(fixture.fullReport.held_size() == runs);
    CHECK_FALSE(fixture.fullReport.ends_incomplete());
    while (fixture.target.running().size() == runs) {
        fixture.pass(10ms);
    }
    SUBCASE("to an entry that continues")
    {
        fixture.pass(10ms);
        CHECK(fixture.ends.size() == runs);
        fixture.pass(200ms);
        CHECK(fixture.fullReport.ends_size() < static_cast<int>(runs));
        CHECK(fixture.fullReport.ends_incomplete());
    }
    SUBCASE("before the agent stops")
    {
        fixture.agent.stop();
        fixture.pass(50ms);
        CHECK(fixture.endsAtShutdown == runs);
    }
}

// Guards against an end that its entry attributes to a later run with the same name: the runs of a
// job that is submitted again are numbered anew.
TEST_CASE("the end of a run names the order message, in the newest epoch of its entry only")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 200ms;
    fixture.order(0, {1'000, 64, 0});
    const auto first = fixture.orderNumber;
    SUBCASE("the same epoch")
    {
        fixture.pass(300ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).order() == first);
        // A refused order has an end as well.
        fixture.order(1, {64'000, 64, 0}, true);
        REQUIRE(fixture.ends.contains(1));
        CHECK(fixture.ends.at(1).order() == fixture.orderNumber);
    }
    SUBCASE("a run that is ordered again while it is held")
    {
        fixture.order(0, {1'000, 64, 0});
        fixture.pass(300ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).order() == first + 1);
        CHECK(fixture.started.size() == 1);
    }
    SUBCASE("an epoch that begins before the end")
    {
        fixture.epoch = 2;
        fixture.pass(300ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).order() == 0);
    }
    SUBCASE("an epoch that begins after the end")
    {
        fixture.pass(300ms);
        fixture.epoch = 2;
        fixture.pass(200ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).order() == 0);
    }
}

// Guards against a task that is done and executes twice at once when its job is submitted again to
// another entry: a start that was voided before may still be executed by a later lifetime.
TEST_CASE("all entries learn of a start in doubt of a task that is done")
{
    dispatch_agent_fixture fixture;
    fixture.entries.push_back(incarnation_id{4});
    fixture.runTime = 200ms;
    fixture.orderWithVoidedStart(0);
    fixture.pass(500ms);
    REQUIRE(fixture.ends.contains(0));
    const auto &end = fixture.ends.at(0);
    CHECK(end.outcome() == wire::RUN_OUTCOME_DONE);
    CHECK(end.start_in_doubt().target() == "i-1");
    CHECK(end.start_in_doubt().remaining_ms() > 58'000);
    REQUIRE(fixture.doubts.contains(incarnation_id{4}));
    const auto task = fixture.doubts.at(incarnation_id{4}).front();
    CHECK(task.job() == 7);
    CHECK(task.index() == 0);
    CHECK(task.start().target() == "i-1");

    // An entry that has started after the end learns of it, too.
    fixture.entries.push_back(incarnation_id{5});
    fixture.pass(1s);
    CHECK(fixture.doubts.contains(incarnation_id{5}));
}

// Guards against tasks that are bound to a target without need.
TEST_CASE("no start is in doubt after a task whose starts were answered is done")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 200ms;
    fixture.order(0, {1'000, 64, 0});
    fixture.pass(500ms);
    REQUIRE(fixture.ends.contains(0));
    CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_DONE);
    CHECK_FALSE(fixture.ends.at(0).has_start_in_doubt());
    CHECK(fixture.doubts.empty());
}

// Guards against a task that is started on another target, after its run has ended, while a later
// lifetime of the first target may execute an earlier start.
TEST_CASE("the end of a run names a start of its task that is in doubt")
{
    dispatch_agent_fixture fixture;
    SUBCASE("a stopped run")
    {
        fixture.orderWithVoidedStart(0);
        REQUIRE(fixture.started.size() == 1);
        fixture.sendStop(0);
        fixture.pass(100ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_STOPPED);
    }
    SUBCASE("a failed run")
    {
        fixture.target.failsAll = true;
        fixture.runTime = 200ms;
        fixture.orderWithVoidedStart(0);
        fixture.pass(300ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_FAILED);
    }
    SUBCASE("a run that is lost with its lifetime")
    {
        fixture.orderWithVoidedStart(0);
        fixture.target.restart("i-1", 2, fixture.time.now());
        fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
        fixture.pass(100ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_LOST);
    }
    SUBCASE("a run whose only start had no answer, lost with its lifetime")
    {
        fixture.loseStarts = true;
        fixture.order(0, {1'000, 64, 0});
        fixture.target.restart("i-1", 2, fixture.time.now());
        fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
        fixture.pass(100ms);
        REQUIRE(fixture.ends.contains(0));
        CHECK(fixture.ends.at(0).outcome() == wire::RUN_OUTCOME_LOST);
    }
    const auto &end = fixture.ends.at(0);
    CHECK(end.start_in_doubt().target() == "i-1");
    CHECK(end.start_in_doubt().remaining_ms() > 58'000);
    CHECK(end.start_in_doubt().remaining_ms() <= 60'000);
}

// Guards against tasks that are bound to a target without need.
TEST_CASE("the end of a run names no start when none is in doubt")
{
    dispatch_agent_fixture fixture;
    SUBCASE("the start was answered")
    {
        fixture.order(0, {1'000, 64, 0});
        fixture.target.restart("i-1", 2, fixture.time.now());
    }
    SUBCASE("the next target has another id")
    {
        fixture.orderWithVoidedStart(0);
        fixture.target.restart("i-2", 2, fixture.time.now());
    }
    SUBCASE("the call is no longer expected")
    {
        fixture.orderWithVoidedStart(0);
        fixture.pass(59s);
        REQUIRE_FALSE(fixture.ends.contains(0));
        fixture.target.restart("i-1", 2, fixture.time.now());
        fixture.time.advance(2s);
        fixture.pass(1s);
    }
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(2s);
    REQUIRE(fixture.ends.contains(0));
    CHECK(fixture.ends.at(0).outcome() != wire::RUN_OUTCOME_DONE);
    CHECK_FALSE(fixture.ends.at(0).has_start_in_doubt());
    CHECK(fixture.doubts.empty());
}

// Guards against a caller that submits its job again to an entry that does not know of a start in
// doubt: the entry of the job has failed, and the target does not answer.
TEST_CASE("all entries learn of a start in doubt when its entry is silent")
{
    dispatch_agent_fixture fixture;
    fixture.entries.push_back(incarnation_id{4});
    fixture.loseStarts = true;
    fixture.order(0, {1'000, 64, 0});
    fixture.target.crash(fixture.time.now());
    fixture.entries = {incarnation_id{3}, incarnation_id{4}};
    fixture.pass(500ms);
    CHECK(fixture.doubts.empty());
    fixture.pass(200ms);
    REQUIRE(fixture.doubts.contains(incarnation_id{3}));
    REQUIRE(fixture.doubts.contains(incarnation_id{4}));
    const auto task = fixture.doubts.at(incarnation_id{4}).front();
    CHECK(task.job() == 7);
    CHECK(task.index() == 0);
    CHECK(task.start().target() == "i-1");
    CHECK(task.start().remaining_ms() > 58'000);

    // Repeated until the entry has acknowledged it, or the call is no longer expected.
    fixture.doubtsSeen[incarnation_id{3}] = task.number();
    fixture.pass(1s);
    fixture.doubts.clear();
    fixture.pass(2s);
    CHECK_FALSE(fixture.doubts.contains(incarnation_id{3}));
    CHECK(fixture.doubts.contains(incarnation_id{4}));
    fixture.entries.push_back(incarnation_id{5});
    fixture.pass(1s);
    CHECK(fixture.doubts.contains(incarnation_id{5}));
    fixture.pass(60s);
    fixture.doubts.clear();
    fixture.pass(2s);
    CHECK(fixture.doubts.empty());
}

// Guards against reports that grow without limit while a target answers nothing, and against an
// entry that has just started and is not told of the starts for which a report has no room.
TEST_CASE("starts in doubt beyond the limit of a report follow in the next ones")
{
    dispatch_agent_fixture fixture;
    for (std::uint32_t index = 0; index < 300; ++index) {
        fixture.orderWithVoidedStart(index);
        fixture.sendStop(index);
        fixture.pass(10ms);
    }
    fixture.pass(200ms);
    const auto &report = fixture.fullReport;
    REQUIRE(report.in_doubt_size() == 256);
    CHECK(report.in_doubt(0).index() == 0);
    CHECK(report.in_doubt(255).index() == 255);
    fixture.doubtsSeen[incarnation_id{2}] = report.in_doubt(255).number();
    fixture.pass(600ms);
    REQUIRE(report.in_doubt_size() == 44);
    CHECK(report.in_doubt(43).index() == 299);
}

// Guards against an agent whose record of starts in doubt grows without limit.
TEST_CASE("an agent keeps the newest 2,048 starts in doubt")
{
    dispatch_agent_fixture fixture;
    fixture.runTime = 20s;
    fixture.loseStarts = true;
    auto orders = fixture.message(incarnation_id{2});
    auto stops = fixture.message(incarnation_id{2});
    orders.mutable_dispatch_orders()->set_number(1);
    auto &order = *orders.mutable_dispatch_orders()->add_orders();
    order.set_job(static_cast<std::uint64_t>(refOf(0).task.job));
    toWire({1, 1, 0}, *order.mutable_demand());
    order.set_remaining_ms(60'000);
    for (std::uint32_t index = 0; index < 2'052; ++index) {
        fixture.demands[index] = {1, 1, 0};
        auto &task = *order.add_tasks();
        task.set_index(index);
        task.set_run(1);
        toWire(refOf(index), *stops.mutable_dispatch_orders()->add_stops());
    }
    fixture.agent.receive(orders);
    fixture.pass(20ms);
    fixture.loseStarts = false;
    fixture.pass(200ms);
    fixture.agent.receive(stops);
    std::set<std::uint64_t> told;
    for (int round = 0; round < 12; ++round) {
        fixture.pass(160ms);
        REQUIRE(fixture.fullReport.in_doubt_size() <= 256);
        for (const auto &task : fixture.fullReport.in_doubt()) {
            told.insert(task.index());
            fixture.doubtsSeen[incarnation_id{2}] = task.number();
        }
    }
    CHECK(told.size() == 2'048);
    CHECK(told.contains(2'051));
    CHECK_FALSE(told.contains(3));
}

// Guards against a queued run that is started on the next target of the VM, which lacks the label
// that the run needs.
TEST_CASE("a queued run is returned when the next target does not meet its requirements")
{
    dispatch_agent_fixture fixture;
    auto report = fixture.target.report(fixture.time.now());
    report.labels = {"b"};
    report.service = "quotes";
    REQUIRE(fixture.agent.handleTargetReport(report));
    fixture.order(0, {32'000, 64, 0});
    SUBCASE("label")
    {
        fixture.requirements.set_required_label("b");
    }
    SUBCASE("service")
    {
        fixture.requirements.set_service("quotes");
    }
    SUBCASE("id")
    {
        fixture.requirements.set_target("i-1");
    }
    fixture.order(1, {8'000, 64, 0});
    REQUIRE(fixture.started == std::vector<std::uint32_t>{0});
    REQUIRE_FALSE(fixture.ends.contains(1));

    fixture.target.restart("i-2", 2, fixture.time.now());
    report = fixture.target.report(fixture.time.now());
    report.labels = {"a"};
    report.service = "other";
    REQUIRE(fixture.agent.handleTargetReport(report));
    fixture.pass(3s);
    CHECK(fixture.started == std::vector<std::uint32_t>{0});
    REQUIRE(fixture.ends.contains(1));
    CHECK(fixture.ends.at(1).outcome() == wire::RUN_OUTCOME_REFUSED);
    CHECK(errorFromWire(fixture.ends.at(1).error()) == error_kind::order_void);

    // An order that was sent for the earlier target.
    fixture.order(2, {1'000, 64, 0});
    REQUIRE(fixture.ends.contains(2));
    CHECK(errorFromWire(fixture.ends.at(2).error()) == error_kind::order_void);
    fixture.requirements.Clear();
    fixture.order(3, {1'000, 64, 0});
    CHECK(fixture.started == std::vector<std::uint32_t>{0, 3});
}

// Guards against runs that wait at an agent until their time limit, since its zone has been taken
// out of service.
TEST_CASE("queued runs are returned when the zone is taken out of service")
{
    dispatch_agent_fixture fixture;
    fixture.order(0, capacity);
    fixture.order(1, {1'000, 64, 0});
    fixture.order(2, {1'000, 64, 0});
    REQUIRE(fixture.started.size() == 1);
    desired_state state;
    state.revision = 2;
    state.version = 1;
    state.services = {"quotes"};
    state.zonesOut = {"graz"};
    fixture.agent.handleConfig(state);
    fixture.pass(20ms);
    CHECK_FALSE(fixture.ends.contains(0));
    for (const std::uint32_t index : {1, 2}) {
        REQUIRE(fixture.ends.contains(index));
        CHECK(fixture.ends.at(index).outcome() == wire::RUN_OUTCOME_REFUSED);
        CHECK(fixture.ends.at(index).error() == toWire(error_kind::zone_out));
    }
}

// Guards against a task that is started elsewhere because of a report of a target that has never
// answered: it may be of another writer, or delayed.
TEST_CASE("a run in doubt is not lost because another target was reported that does not answer")
{
    dispatch_agent_fixture fixture;
    fixture.loseStarts = true;
    fixture.order(0, {1'000, 64, 0});
    fixture.target.crash(fixture.time.now());
    fixture.pass(700ms);
    auto report = fixture.target.report(fixture.time.now());
    report.lifetime.id = "i-9";
    report.lifetime.startedMs += 1;
    report.address = "10.9.9.9:1";
    fixture.agent.handleTargetReport(report);
    fixture.pass(5s);
    CHECK_FALSE(fixture.ends.contains(0));
}

// Guards against tasks that are bound to a target after another one has replaced it.
TEST_CASE("starts in doubt on a replaced target are no longer reported")
{
    dispatch_agent_fixture fixture;
    fixture.orderWithVoidedStart(0);
    fixture.sendStop(0);
    fixture.pass(100ms);
    REQUIRE(fixture.doubts.contains(incarnation_id{3}));
    fixture.target.restart("i-2", 2, fixture.time.now());
    fixture.agent.handleTargetReport(fixture.target.report(fixture.time.now()));
    fixture.pass(2s);
    fixture.doubts.clear();
    fixture.entries.push_back(incarnation_id{4});
    fixture.pass(1s);
    CHECK(fixture.doubts.empty());
}

// Guards against full reports to all entries for each refusal of the same task.
TEST_CASE("a start in doubt is recorded once for all ends of its task")
{
    dispatch_agent_fixture fixture;
    fixture.orderWithVoidedStart(0);
    fixture.sendStop(0);
    fixture.pass(100ms);
    REQUIRE(fixture.fullReport.in_doubt_size() == 1);
    const auto number = fixture.fullReport.in_doubt(0).number();
    for (int round = 0; round < 12; ++round) {
        fixture.order(0, {1'000'000, 64, 0}, true);
    }
    REQUIRE(fixture.fullReport.in_doubt_size() == 1);
    CHECK(fixture.fullReport.in_doubt(0).number() == number);
}

// Guards against an entry that learns of a start in doubt only after the caller has submitted its
// job again: it uses this agent rarely, and the first report was lost.
TEST_CASE("a new start in doubt is repeated at once to entries that do not use the agent")
{
    dispatch_agent_fixture fixture;
    fixture.loseStarts = true;
    fixture.order(0, {1'000, 64, 0});
    fixture.target.crash(fixture.time.now());
    std::vector<time_point> told;
    for (const auto end = fixture.time.now() + 1'300ms; fixture.time.now() < end;) {
        fixture.time.advance(10ms);
        fixture.target.advance(fixture.time.now());
        auto message = fixture.message(incarnation_id{3});
        message.mutable_dispatch_orders()->set_idle_report_ms(3'000);
        fixture.agent.receive(message);
        fixture.agent.tick();
        fixture.deliver();
        if (fixture.doubts[incarnation_id{3}].size() > told.size()) {
            told.push_back(fixture.time.now());
        }
    }
    CHECK(told.size() >= 3);
}

// Guards against a doubt that ends with the agent that has made the start call.
TEST_CASE("an order for one target only brings its start in doubt to the agent")
{
    dispatch_agent_fixture fixture;
    fixture.requirements.set_target("i-1");
    fixture.requirements.set_doubt_ms(20'000);
    fixture.order(0, {1'000, 64, 0});
    fixture.sendStop(0);
    fixture.pass(100ms);
    REQUIRE(fixture.ends.contains(0));
    CHECK(fixture.ends.at(0).start_in_doubt().target() == "i-1");
    CHECK(fixture.ends.at(0).start_in_doubt().remaining_ms() <= 20'000);
    CHECK(fixture.doubts.contains(incarnation_id{3}));
}
