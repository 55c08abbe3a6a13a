// Zones that are taken out of service while processes do not reach the store, in simulated fleets.

#include "dispatch/fleet_simulation.hpp"
#include "dispatch/schedule_seeds.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace bamboohead::dispatch_test;
using namespace std::chrono_literals;

namespace {

/// A fleet under a steady load, with three zones.
class evacuation_scenario
{
public:
    explicit evacuation_scenario(std::uint64_t seed, unsigned entries = 3, unsigned agents = 6)
        : m_entries{entries}
        , m_agents{agents}
        , fleet{optionsOf(seed, entries, agents)}
    {
        fleet.runFor(3s);
    }

    /// Submits jobs for some time.
    void pass(duration length)
    {
        for (const auto end = fleet.now() + length; fleet.now() < end;) {
            fleet.submit(4, 60ms, 3s);
            fleet.runFor(20ms);
        }
    }

    void cutAllEntries(duration length)
    {
        for (unsigned entry = 0; entry < m_entries; ++entry) {
            fleet.cutFromStore(fleet.entryName(entry), length);
        }
    }

    /// Injects one fault of random kind and length, or takes a zone out of service or back.
    void injectFault()
    {
        const std::chrono::milliseconds length{500 + fleet.random(9'000)};
        const auto entry = fleet.random(m_entries);
        const auto agent = fleet.agentName(fleet.random(m_agents));
        const auto zone = "zone-" + std::to_string(fleet.random(3));
        switch (fleet.random(9)) {
        case 0:
        case 1:
            cutAllEntries(length);
            fleet.at(fleet.now() + std::chrono::milliseconds{fleet.random(2'000)},
                     [this, zone] { fleet.setZoneOut(zone, true); });
            break;
        case 2:
            fleet.cutFromStore(fleet.entryName(entry), length);
            break;
        case 3:
            fleet.cutFromStore(agent, length);
            break;
        case 4:
            fleet.killEntry(entry, length);
            break;
        case 5:
            fleet.suspend(agent, length / 2);
            break;
        case 6:
            fleet.stopStore(length / 2);
            break;
        default:
            fleet.setZoneOut(zone, false);
            break;
        }
    }

    void check() const
    {
        for (const auto &violation : fleet.violations()) {
            FAIL_CHECK(violation);
        }
    }

    [[nodiscard]] std::uint64_t startsInZone(unsigned zone)
    {
        std::uint64_t sum = 0;
        for (unsigned agent = zone; agent < m_agents; agent += 3) {
            sum += fleet.agentAt(agent).counters().started;
        }
        return sum;
    }

    /// Number of reads of the store by agents so far.
    [[nodiscard]] std::size_t reads() const
    {
        std::size_t sum = 0;
        for (unsigned agent = 0; agent < m_agents; ++agent) {
            sum += fleet.store().lists(fleet.agentName(agent));
        }
        return sum;
    }

    /// Share of the jobs that were submitted in the last `length` and have succeeded.
    [[nodiscard]] double served(duration length) const
    {
        double submitted = 0;
        double succeeded = 0;
        for (const auto &[id, job] : fleet.jobs()) {
            if (job.submitted >= fleet.now() - length && job.submitted < fleet.now() - 1s) {
                ++submitted;
                succeeded += job.answer == batch_job_state::succeeded ? 1 : 0;
            }
        }
        return submitted == 0 ? 0 : succeeded / submitted;
    }

private:
    static fleet_simulation::options optionsOf(std::uint64_t seed, unsigned entries,
                                               unsigned agents)
    {
        fleet_simulation::options options;
        options.seed = seed;
        options.entries = entries;
        options.agents = agents;
        options.store = true;
        return options;
    }

    unsigned m_entries;
    unsigned m_agents;

public:
    fleet_simulation fleet;
};

} // namespace

// Guards against tasks that start in a zone more than 5 s after it was taken out of service,
// because all entries are cut off from the store and agents learn of the desired state from them
// only.
TEST_CASE("an evacuation is in force in time while all entries are cut off from the store")
{
    unsigned entries = 3;
    SUBCASE("three entries")
    {}
    SUBCASE("one entry")
    {
        entries = 1;
    }
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        evacuation_scenario scenario{seed, entries};
        scenario.pass(4s);
        scenario.cutAllEntries(20s);
        scenario.fleet.runFor(200ms);
        const auto before = scenario.startsInZone(0);
        CHECK(before > 0);
        scenario.fleet.setZoneOut("zone-0", true);
        scenario.pass(10s);
        scenario.check();
        CHECK(scenario.served(5s) > 0.99);
    }
}

// Guards against reads of the store by agents while an entry reaches it.
TEST_CASE("agents do not read the store while an entry reaches it")
{
    evacuation_scenario scenario{1};
    scenario.pass(4s);
    scenario.fleet.cutFromStore(scenario.fleet.entryName(0), 10s);
    scenario.fleet.cutFromStore(scenario.fleet.entryName(1), 10s);
    scenario.fleet.cutFromStore(scenario.fleet.agentName(0), 10s);
    const auto before = scenario.reads();
    scenario.pass(4s);
    scenario.fleet.setZoneOut("zone-0", true);
    scenario.pass(8s);
    scenario.check();
    CHECK(scenario.reads() == before);
    CHECK(scenario.served(6s) > 0.99);
}

// Guards against a fleet that starts nothing while the store is down.
TEST_CASE("tasks start while the store is down, and the store is not flooded with reads")
{
    evacuation_scenario scenario{1};
    scenario.pass(4s);
    scenario.fleet.stopStore(20s);
    scenario.pass(18s);
    CHECK(scenario.served(17s) > 0.99);
    scenario.pass(2s);
    scenario.check();
    // After 2.5 s, again after 50 ms, and then each 2 s at most.
    CHECK(scenario.fleet.agentAt(0).counters().stateReads <= 11);
    scenario.pass(5s);
    const auto after = scenario.fleet.agentAt(0).counters().stateReads;
    scenario.pass(5s);
    CHECK(scenario.fleet.agentAt(0).counters().stateReads == after);
}

// Guards against tasks that wait for a read that cannot succeed: calls get no reply.
TEST_CASE("tasks start on an agent that is cut off from the store together with all entries")
{
    evacuation_scenario scenario{1};
    const auto longestWait = [&] {
        duration longest{};
        for (const auto &[id, job] : scenario.fleet.jobs()) {
            longest = std::max(longest, job.answered - job.submitted);
        }
        return longest;
    };
    scenario.pass(4s);
    scenario.cutAllEntries(20s);
    for (unsigned agent = 0; agent < 6; ++agent) {
        scenario.fleet.cutFromStore(scenario.fleet.agentName(agent), 20s);
    }
    scenario.pass(18s);
    CHECK(scenario.served(17s) > 0.99);
    CHECK(longestWait() < 400ms);
    scenario.check();
}

// Guards against a zone that stays out of service until an entry reaches the store.
TEST_CASE("a zone returns to service while all entries are cut off from the store")
{
    evacuation_scenario scenario{1};
    scenario.fleet.setZoneOut("zone-0", true);
    scenario.pass(4s);
    scenario.cutAllEntries(30s);
    scenario.pass(4s);
    const auto before = scenario.startsInZone(0);
    scenario.fleet.setZoneOut("zone-0", false);
    scenario.pass(6s);
    CHECK(scenario.startsInZone(0) > before);
    scenario.check();
}

// Guards against an entry that has restarted while it is cut off, and offers a state of its peers
// whose age it does not know.
TEST_CASE("an evacuation is in force in time when entries restart while they are cut off")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        evacuation_scenario scenario{seed, 2};
        scenario.pass(4s);
        scenario.cutAllEntries(20s);
        scenario.fleet.killEntry(0, 300ms);
        scenario.fleet.runFor(200ms);
        scenario.fleet.setZoneOut("zone-0", true);
        scenario.pass(1s);
        scenario.fleet.killEntry(1, 300ms);
        scenario.pass(9s);
        scenario.check();
    }
}

// Guards against an idle agent that starts its first task on an old desired state.
TEST_CASE("an agent without runs starts nothing in a zone that was taken out long before")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        evacuation_scenario scenario{seed, 1};
        scenario.cutAllEntries(20s);
        scenario.fleet.runFor(200ms);
        scenario.fleet.setZoneOut("zone-0", true);
        scenario.fleet.runFor(6s);
        scenario.pass(3s);
        scenario.check();
        CHECK(scenario.served(3s) > 0.99);
    }
}

// Guards against 240 agents that read the store at the same moment.
TEST_CASE("load pattern: few agents of a large fleet read the store when its entries are cut off")
{
    evacuation_scenario scenario{1, 10, 240};
    scenario.pass(3s);
    const auto before = scenario.reads();
    scenario.cutAllEntries(20s);
    scenario.pass(10s);
    const auto reads = scenario.reads() - before;
    MESSAGE("reads of 240 agents in 10 s: ", reads);
    // Each agent for itself would read four times.
    CHECK(reads < 240);
    CHECK(reads > 0);
    scenario.check();
}

// Guards against the same faults in combinations, some of which overlap.
TEST_CASE("dispatch schedule: under random faults of the store evacuations are in force in time")
{
    for (auto seed = firstSeed(); seed < firstSeed() + seedCount(10); ++seed) {
        CAPTURE(seed);
        evacuation_scenario scenario{seed};
        for (int round = 0; round < 12; ++round) {
            scenario.pass(std::chrono::milliseconds{scenario.fleet.random(2'500)});
            scenario.injectFault();
        }
        for (const auto *const zone : {"zone-0", "zone-1", "zone-2"}) {
            scenario.fleet.setZoneOut(zone, false);
        }
        scenario.pass(16s);
        scenario.check();
        CHECK(scenario.served(4s) > 0.99);
    }
}
