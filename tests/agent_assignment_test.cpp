#include "bamboohead/dispatch/agent_assignment.hpp"

#include "bamboohead/clock.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

std::vector<incarnation_id> agentsUpTo(std::uint64_t count)
{
    std::vector<incarnation_id> agents;
    for (std::uint64_t number = 1; number <= count; ++number) {
        agents.push_back(incarnation_id{1'000 + number});
    }
    return agents;
}

using demand_by_entry = std::map<incarnation_id, double>;

} // namespace

TEST_CASE("agent assignment: each agent belongs to one entry, in proportion to the demand")
{
    manual_clock clock;
    const auto agents = agentsUpTo(1'200);
    const demand_by_entry demand{
            {incarnation_id{1}, 100}, {incarnation_id{2}, 300}, {incarnation_id{3}, 800}};
    std::map<incarnation_id, std::size_t> counts;
    std::set<incarnation_id> all;
    for (const auto &[entry, work] : demand) {
        agent_assignment assignment{entry};
        assignment.update(agents, demand, clock.now());
        counts[entry] = assignment.agents().size();
        all.insert(assignment.agents().begin(), assignment.agents().end());
    }
    CHECK(all.size() == 1'200);
    CHECK(counts[incarnation_id{1}] + counts[incarnation_id{2}] + counts[incarnation_id{3}] ==
          1'200);
    CHECK(counts[incarnation_id{1}] > 70);
    CHECK(counts[incarnation_id{1}] < 130);
    CHECK(counts[incarnation_id{3}] > 740);
    CHECK(counts[incarnation_id{3}] < 860);
}

// Guards against an assignment that moves with each fluctuation of the demand.
TEST_CASE("agent assignment: a change of the demand moves few agents")
{
    manual_clock clock;
    const auto agents = agentsUpTo(1'000);
    agent_assignment assignment{incarnation_id{1}};
    assignment.update(agents, {{incarnation_id{1}, 500}, {incarnation_id{2}, 500}}, clock.now());
    const auto before = assignment.agents();
    clock.advance(1s);
    assignment.update(agents, {{incarnation_id{1}, 600}, {incarnation_id{2}, 400}}, clock.now());
    const auto moved = std::ranges::count_if(
            before, [&](const auto agent) { return !assignment.contains(agent); });
    CHECK(moved <= 10); // its part has grown; the quotas are rounded
    CHECK(assignment.agents().size() - before.size() < 60);
}

TEST_CASE("agent assignment: the agents of an entry that has failed are assigned to the others")
{
    manual_clock clock;
    agent_assignment assignment{incarnation_id{1}};
    assignment.update(agentsUpTo(50), {{incarnation_id{1}, 1}, {incarnation_id{2}, 1}},
                      clock.now());
    CHECK(assignment.agents().size() < 50);
    clock.advance(1s);
    assignment.update(agentsUpTo(50), {{incarnation_id{1}, 1}}, clock.now());
    CHECK(assignment.agents().size() == 50);
}

TEST_CASE("agent assignment: an entry without work keeps a few agents")
{
    manual_clock clock;
    agent_assignment assignment{incarnation_id{1}};
    assignment.update(agentsUpTo(1'000), {{incarnation_id{1}, 0}, {incarnation_id{2}, 1'000}},
                      clock.now());
    CHECK(assignment.agents().size() > 20);
    CHECK(assignment.agents().size() < 120);
}

// Guards against updates that take the processor of a small entry in a large fleet.
TEST_CASE("agent assignment: updates are rarer with many agents and entries")
{
    manual_clock clock;
    demand_by_entry demand;
    for (std::uint64_t entry = 1; entry <= 200; ++entry) {
        demand[incarnation_id{entry}] = 1;
    }
    agent_assignment assignment{incarnation_id{1}};
    assignment.update(agentsUpTo(21'000), demand, clock.now());
    const auto before = assignment.agents();
    CHECK(before.size() > 50);
    clock.advance(4s); // 21,000 x 200 pairs: 4.2 s
    assignment.update({}, demand, clock.now());
    CHECK(assignment.agents() == before);
    clock.advance(300ms);
    assignment.update({}, demand, clock.now());
    CHECK(assignment.agents().empty());
}
