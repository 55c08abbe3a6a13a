#include "bamboohead/dispatch/working_set.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <iterator>
#include <map>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

std::vector<incarnation_id> agents(std::uint64_t count)
{
    std::vector<incarnation_id> made;
    for (std::uint64_t number = 1; number <= count; ++number) {
        made.push_back(incarnation_id{number});
    }
    return made;
}

constexpr working_set_limits limits{.minAgents = 10, .maxAgents = 40};
constexpr time_point start{10s};

std::size_t members(const working_set &set, const std::vector<incarnation_id> &all)
{
    return static_cast<std::size_t>(
            std::ranges::count_if(all, [&](incarnation_id agent) { return set.contains(agent); }));
}

} // namespace

TEST_CASE("a working set contains all agents of a small fleet")
{
    working_set set{1, limits};
    set.update(agents(7), {}, start);
    CHECK(set.size() == 7);
    CHECK(members(set, agents(7)) == 7);
}

TEST_CASE("a working set grows after a shortage up to its limit, and shrinks later")
{
    working_set set{1, limits};
    const auto all = agents(100);
    set.update(all, {}, start);
    CHECK(set.size() == 10);
    auto now = start;
    for (int round = 0; round < 20; ++round) {
        set.reportShortage();
        set.update(all, {}, now += limits.growthInterval);
    }
    CHECK(set.size() == 40);
    for (int round = 0; round < 40; ++round) {
        set.update(all, {}, now += limits.rotationInterval);
    }
    CHECK(set.size() == 10);
}

TEST_CASE("a working set does not grow without a shortage")
{
    working_set set{1, limits};
    for (int round = 0; round < 20; ++round) {
        set.update(agents(100), {}, start + round * limits.growthInterval);
    }
    CHECK(set.size() == 10);
}

TEST_CASE("a working set replaces agents that are not available any more")
{
    working_set set{1, limits};
    auto all = agents(100);
    set.update(all, {}, start);
    std::erase_if(all, [&](incarnation_id agent) { return set.contains(agent); });
    set.update(all, {}, start);
    CHECK(set.size() == 10);
    CHECK(members(set, all) == 10);
}

TEST_CASE("a working set rotates, but keeps agents with runs")
{
    working_set set{1, limits};
    const auto all = agents(100);
    set.update(all, {}, start);
    std::set<incarnation_id> busy;
    std::ranges::copy_if(all, std::inserter(busy, busy.end()), [&](incarnation_id agent) {
        return busy.size() < 5 && set.contains(agent);
    });
    std::set<incarnation_id> seen;
    for (int round = 0; round < 400; ++round) {
        set.update(all, busy, start + round * limits.rotationInterval);
        CHECK(set.size() == 10);
        std::ranges::copy_if(all, std::inserter(seen, seen.end()),
                             [&](incarnation_id agent) { return set.contains(agent); });
        CHECK(std::ranges::all_of(busy, [&](incarnation_id agent) { return set.contains(agent); }));
    }
    CHECK(seen.size() > 80);
}

TEST_CASE("working sets of several entries use each agent about equally")
{
    const auto all = agents(100);
    std::map<incarnation_id, int> users;
    for (std::uint64_t entry = 1; entry <= 200; ++entry) {
        working_set set{entry, limits};
        set.update(all, {}, start);
        for (const auto agent : all) {
            users[agent] += set.contains(agent) ? 1 : 0;
        }
    }
    for (const auto &[agent, count] : users) {
        CHECK(count >= 5);
        CHECK(count <= 40);
    }
}
