#include "bamboohead/placement.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>

using namespace bamboohead;

namespace {

constexpr auto anyAgent = [](incarnation_id) { return true; };

incarnation_id agent(std::uint64_t number)
{
    return incarnation_id{number};
}

agent_load load(std::uint32_t slots, std::uint32_t running, std::uint64_t issued,
                const std::string &zone = "graz")
{
    return agent_load{"quotes", zone, slots, running, 0, false, 1, issued};
}

held_credits creditAccount()
{
    return held_credits{placement_policy::credits, "graz", 1};
}

} // namespace

TEST_CASE("the agent with the most free slots gets the order, and among equals one of the own zone")
{
    // Guards against tasks that queue at one agent while another one has free slots.
    auto account = creditAccount();
    account.report(agent(1), load(8, 6, 4));
    account.report(agent(2), load(8, 4, 4, "linz"));
    account.report(agent(3), load(8, 5, 4));
    CHECK(account.take("quotes", anyAgent) == agent(2));
    // Agents 2 and 3 now have three free slots each.
    CHECK(account.take("quotes", anyAgent) == agent(3));
    CHECK(account.take("quotes", anyAgent) == agent(2));
}

TEST_CASE("ties between agents are broken by a random choice that the seed determines")
{
    // Guards against all entries sending their orders to the same agents at the same time.
    const auto choices = [](std::uint64_t seed) {
        held_credits account{placement_policy::credits, "graz", seed};
        std::vector<incarnation_id> chosen;
        for (std::uint64_t number = 1; number <= 20; ++number) {
            account.report(agent(number), load(8, 0, 1));
        }
        while (const auto next = account.take("quotes", anyAgent)) {
            chosen.push_back(*next);
        }
        return chosen;
    };
    CHECK(choices(1).size() == 20);
    CHECK(choices(1) == choices(1));
    CHECK(choices(1) != choices(2));
}

TEST_CASE("an agent that has no unused credit, is leaving or is not usable is not chosen")
{
    // Guards against orders that are certain to be refused.
    auto account = creditAccount();
    auto leaving = load(8, 0, 4);
    leaving.leaving = true;
    account.report(agent(1), leaving);
    account.report(agent(2), load(8, 0, 1));
    account.report(agent(3), load(8, 1, 1));
    const auto notThree = [](incarnation_id id) { return id != agent(3); };
    CHECK(account.availableOrders("quotes") == 2);
    CHECK(account.slots("quotes", notThree) == 8);
    CHECK(account.take("quotes", notThree) == agent(2));
    CHECK_FALSE(account.take("quotes", notThree));
    CHECK_FALSE(account.take("prices", anyAgent));
}

TEST_CASE("a new credit epoch resets the counters, and outdated reports are ignored")
{
    // Guards against credits that are used twice after a report was lost or delayed.
    auto account = creditAccount();
    account.report(agent(1), load(8, 0, 4));
    CHECK(account.take("quotes", anyAgent));
    account.report(agent(1), load(8, 0, 3));
    CHECK(account.availableOrders("quotes") == 3);
    CHECK(account.returnUnused(agent(1)) == 3);
    CHECK(account.usageOf(agent(1)).usedTotal == 4);
    auto renewed = load(8, 0, 2);
    renewed.creditEpoch = 2;
    account.report(agent(1), renewed);
    account.report(agent(1), load(8, 0, 9));
    CHECK(account.usageOf(agent(1)).epoch == 2);
    CHECK(account.usageOf(agent(1)).usedTotal == 0);
    CHECK(account.availableOrders("quotes") == 2);
    account.remove(agent(1));
    CHECK(account.availableOrders("quotes") == 0);
    CHECK(account.agents().empty());
}

TEST_CASE("the random and two_choices policies need no credits and never choose a leaving agent")
{
    // Both are baselines that the credits policy is compared with. Guards against baselines that
    // are limited by credits, which would make them behave alike.
    for (const auto policy : {placement_policy::random, placement_policy::two_choices}) {
        CAPTURE(toText(policy));
        CHECK(parsePlacementPolicy(toText(policy)) == policy);
        held_credits account{policy, "graz", 1};
        for (std::uint64_t number = 1; number <= 4; ++number) {
            auto state = load(8, 0, 0);
            state.leaving = number == 4;
            account.report(agent(number), state);
        }
        std::map<incarnation_id, int> orders;
        for (int order = 0; order < 300; ++order) {
            ++orders[account.take("quotes", anyAgent).value()];
        }
        CHECK(orders.size() == 3);
        CHECK_FALSE(orders.contains(agent(4)));
        CHECK(account.usageOf(agent(1)).usedTotal == static_cast<std::uint64_t>(orders[agent(1)]));
    }
}

TEST_CASE("the two_choices policy chooses the less loaded of two random agents")
{
    // Guards against a two_choices policy that ignores the load and chooses at random.
    held_credits account{placement_policy::two_choices, "graz", 1};
    account.report(agent(1), load(8, 0, 0));
    account.report(agent(2), load(8, 1000, 0));
    int busy = 0;
    for (int order = 0; order < 200; ++order) {
        busy += account.take("quotes", anyAgent) == agent(2) ? 1 : 0;
    }
    // Agent 2 is chosen only if both draws select it, which is expected for a quarter of the
    // orders.
    CHECK(busy < 75);
}

TEST_CASE("choices and totals match a linear search in a random sequence of reports and orders")
{
    // Guards against a ranking index that is inconsistent with the counters of the agents.
    std::mt19937 random{7};
    const auto below = [&](std::uint32_t limit) {
        return static_cast<std::uint32_t>(random() % limit);
    };
    auto account = creditAccount();
    std::map<incarnation_id, agent_load> expectedLoads;
    std::map<incarnation_id, std::uint32_t> used;
    const auto unused = [&](incarnation_id id) {
        return expectedLoads[id].leaving ? 0 : expectedLoads[id].issuedTotal - used[id];
    };
    const auto freeSlots = [&](incarnation_id id) {
        return std::int64_t{expectedLoads[id].slots} - expectedLoads[id].running;
    };
    for (int step = 0; step < 5000; ++step) {
        const auto id = agent(1 + below(20));
        if (below(3) == 0) {
            // Drawn in separate statements: the order of evaluation of arguments is unspecified.
            const auto issued = expectedLoads[id].issuedTotal + below(3);
            const auto running = below(8);
            auto state = load(8, running, issued);
            state.leaving = below(5) == 0;
            expectedLoads[id] = state;
            account.report(id, state);
        } else if (const auto chosen = account.take("quotes", anyAgent)) {
            REQUIRE(unused(*chosen) > 0);
            for (const auto &[other, state] : expectedLoads) {
                REQUIRE((unused(other) == 0 || freeSlots(other) <= freeSlots(*chosen)));
            }
            ++used[*chosen];
            ++expectedLoads[*chosen].running;
        }
        std::uint64_t sum = 0;
        for (const auto &[other, state] : expectedLoads) {
            sum += unused(other);
        }
        REQUIRE(account.availableOrders("quotes") == sum);
    }
}
