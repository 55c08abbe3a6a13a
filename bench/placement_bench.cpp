// Measures what an entry's decisions cost: the placement of the tasks of a job, with and without
// forecasts, by number of targets and their load, and the shares of a service's room by number of
// entries. All on a manual clock.

#include "bamboohead/dispatch/agent_pool.hpp"
#include "bamboohead/dispatch/fleet_demand.hpp"
#include "bamboohead/dispatch/room_sharing.hpp"

#include <benchmark/benchmark.h>

#include <string>

namespace {

using namespace bamboohead;
using namespace std::chrono_literals;

constexpr incarnation_id entryId{1};
constexpr std::uint64_t firstAgent = 1'000;
constexpr std::uint64_t firstEntry = 100'000;
constexpr std::uint32_t tasksOfJob = 8;
constexpr resources capacityOfTarget{32'000, 65'536, 0};

/// An entry's view of a fleet of targets.
class fleet
{
public:
    fleet(std::uint64_t targets, double load, bool forecasts)
        : m_member{{entryId, "e", wire::ROLE_ENTRY, "a"}, m_clock}
        , m_pool{m_member, 1, allTargets(targets), {forecasts, forecasts, 0}}
    {
        for (std::uint64_t number = 0; number < targets; ++number) {
            addAgent(incarnation_id{firstAgent + number}, number, load);
        }
        m_pool.updateWorkingSets();
        if (forecasts) {
            m_pool.updateAssignments({{"quotes", {{entryId, 1.0}, {incarnation_id{2}, 2.0}}}});
        }
        m_step.count = tasksOfJob;
        m_step.demand = {2'600, 64, 0};
    }

    /// Places all tasks of a job.
    std::size_t placeJob()
    {
        placement_request request;
        request.taskStep = &m_step;
        request.service = "quotes";
        request.priority = 1;
        request.mayProbe = true;
        request.maxSlowness = 2;
        request.runTime = 200ms;
        request.patience = 50ms;
        auto candidates = m_pool.candidates(request);
        std::size_t placed = 0;
        for (std::uint32_t task = 0; task < tasksOfJob; ++task) {
            placed += m_pool.choose(candidates, request).agent == nullptr ? 0 : 1;
        }
        return placed;
    }

private:
    static working_set_limits allTargets(std::uint64_t targets)
    {
        working_set_limits limits;
        limits.minAgents = targets;
        limits.maxAgents = targets;
        return limits;
    }

    void addAgent(incarnation_id agent, std::uint64_t number, double load)
    {
        wire::Envelope report;
        report.set_sender(static_cast<std::uint64_t>(agent));
        report.set_receiver(static_cast<std::uint64_t>(entryId));
        report.set_endpoint("a" + std::to_string(number));
        report.set_role(wire::ROLE_AGENT);
        report.set_stamp_us(1);
        report.set_echo_us(toStamp(m_clock.now()));
        report.mutable_dispatch_report();
        m_member.receive(report);
        auto &view = m_pool.agents()[agent];
        view.incarnation = agent;
        view.service = "quotes";
        view.target = "t" + std::to_string(number);
        view.ready = true;
        view.cleared = true;
        view.capacity = capacityOfTarget;
        // Targets differ in load by up to a fifth.
        constexpr std::uint64_t steps = 10;
        const auto part = load * (0.9 + 0.2 * static_cast<double>(number % steps) / steps);
        view.running.cpuMillis = std::min(
                capacityOfTarget.cpuMillis,
                static_cast<std::uint64_t>(static_cast<double>(capacityOfTarget.cpuMillis) * part));
        view.lastReport = view.lastArrival = m_clock.now();
    }

    manual_clock m_clock;
    fleet_member m_member;
    agent_pool m_pool;
    batch_step m_step;
};

/// Arguments: targets, load in percent, forecasts.
void placement(benchmark::State &state)
{
    constexpr double percent = 100;
    fleet measured{static_cast<std::uint64_t>(state.range(0)),
                   static_cast<double>(state.range(1)) / percent, state.range(2) != 0};
    std::size_t placed = 0;
    for (auto _ : state) {
        placed += measured.placeJob();
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(state.iterations()) * tasksOfJob);
    state.counters["placed"] =
            static_cast<double>(placed) / (static_cast<double>(state.iterations()) * tasksOfJob);
}

/// Arguments: entries, routes.
void sharing(benchmark::State &state)
{
    manual_clock clock;
    fleet_demand demand;
    const auto service = hashOfName("quotes");
    for (std::int64_t entry = 0; entry < state.range(0); ++entry) {
        wire::EntrySync message;
        auto &added = *message.add_demand();
        added.set_service(service);
        added.set_completing(10'000);
        for (std::int64_t route = 1; route <= state.range(1); ++route) {
            auto &row = *added.add_routes();
            row.set_route(static_cast<name_hash>(route));
            row.set_arriving(static_cast<std::uint64_t>(1'000 * route));
            row.set_waiting(100);
        }
        demand.receive(incarnation_id{firstEntry + static_cast<std::uint64_t>(entry)}, message,
                       clock.now());
    }
    service_load load;
    load.capacity = 1'000'000;
    for (auto _ : state) {
        load.demand = demand.total(service, clock.now());
        benchmark::DoNotOptimize(shareRoom(load, backlogOf(load)));
    }
}

} // namespace

BENCHMARK(placement)
        ->ArgsProduct({{30, 300, 1'200}, {60, 100}, {0, 1}})
        ->ArgNames({"targets", "load", "forecasts"})
        ->Unit(benchmark::kMicrosecond);
BENCHMARK(sharing)
        ->ArgsProduct({{3, 9, 200}, {12}})
        ->ArgNames({"entries", "routes"})
        ->Unit(benchmark::kMicrosecond);

BENCHMARK_MAIN();
