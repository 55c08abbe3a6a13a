#include "bamboohead/dispatch/room_sharing.hpp"

#include <algorithm>
#include <vector>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Backlog to which the admitted work is controlled. Most of it are jobs of the lowest priority,
/// because more urgent ones precede them: with a quarter of the work, they wait for four times as
/// long. The objectives of their routes have to allow such a wait.
constexpr duration backlogGoal = 30ms;
/// Work of a backlog that is no overload, in millicore-seconds: three of the largest usual jobs
/// (four tasks of 0.9 s on 2.6 processors). In a small fleet, single jobs make a longer backlog.
constexpr std::uint64_t ordinaryBacklog = 28'000;
/// Time in which the backlog is to reach its goal. It is longer than the delay of the figures,
/// which are up to 250 ms old and average 500 ms; with a shorter time the backlog would oscillate.
constexpr duration correctionTime = 600ms;
/// Part of its proportional room that each route keeps.
constexpr double floorPart = 0.5;
/// Bounds of the rate of completed work, as a part of the capacity, that counts as the rate at
/// which the targets can start work. Tasks that do not fill their targets, or slow targets, make it
/// lower than the capacity.
constexpr double minEffectiveCapacity = 0.5;

/// Time in which `work` is done at a rate.
duration timeOf(std::uint64_t work, double rate)
{
    const std::chrono::duration<double> time{static_cast<double>(work) / rate};
    return std::chrono::duration_cast<duration>(std::min(time, std::chrono::duration<double>{1h}));
}

duration goalOf(const service_load &load)
{
    return std::max(backlogGoal, timeOf(ordinaryBacklog, static_cast<double>(load.capacity)));
}

/// Rate at which the targets can start work, in millicores.
double startRateOf(const service_load &load, duration backlog)
{
    const auto capacity = static_cast<double>(load.capacity);
    // With a short backlog the targets are not saturated, so the rate of completed work is that of
    // the arriving work.
    return backlog < goalOf(load) ? capacity
                                  : std::clamp(static_cast<double>(load.demand.completing),
                                               minEffectiveCapacity * capacity, capacity);
}

/// Rate at which work can be admitted, in millicores.
double roomOf(const service_load &load, duration backlog)
{
    const auto capacity = static_cast<double>(load.capacity);
    const auto rate = startRateOf(load, backlog);
    const auto excess = static_cast<double>((backlog - goalOf(load)).count()) /
                        static_cast<double>(duration{correctionTime}.count());
    return std::max(0.0, rate - excess * capacity);
}

} // namespace

duration backlogOf(const service_load &load)
{
    if (load.capacity == 0) {
        return {};
    }
    auto work = load.queued;
    for (const auto &[route, demand] : load.demand.routes) {
        work += demand.waiting;
    }
    return timeOf(work, static_cast<double>(load.capacity));
}

duration timeToStart(const service_load &load, std::uint64_t work)
{
    if (load.capacity == 0 || work == 0) {
        return {};
    }
    return timeOf(work + load.queued, startRateOf(load, backlogOf(load)));
}

std::map<name_hash, double> shareRoom(const service_load &load, duration backlog)
{
    double demand = 0;
    for (const auto &[route, work] : load.demand.routes) {
        demand += static_cast<double>(work.arriving);
    }
    if (load.capacity == 0 || demand <= 0) {
        return {};
    }
    // The demand is computed from expected run times, and may be wrong. Without a backlog there is
    // room, whatever it says.
    const auto room = roomOf(load, backlog);
    if (demand <= room || backlog < goalOf(load)) {
        return {};
    }
    struct claim
    {
        name_hash route = 0;
        double demand = 0;
        double floor = 0;
    };
    std::vector<claim> claims;
    for (const auto &[route, work] : load.demand.routes) {
        const auto wanted = static_cast<double>(work.arriving);
        claims.push_back({route, wanted, floorPart * wanted * room / demand});
    }
    // Finds the level up to which each route is served: the routes with less demand are served in
    // full, the others get the level, or their floor if that is higher.
    const auto served = [&](double level) {
        double sum = 0;
        for (const auto &each : claims) {
            sum += std::clamp(level, each.floor, each.demand);
        }
        return sum;
    };
    double low = 0;
    double high = room;
    constexpr int iterations = 40;
    for (int iteration = 0; iteration < iterations; ++iteration) {
        const auto middle = (low + high) / 2;
        (served(middle) < room ? low : high) = middle;
    }
    std::map<name_hash, double> shares;
    for (const auto &each : claims) {
        if (each.demand > 0) {
            shares[each.route] = std::clamp(low, each.floor, each.demand) / each.demand;
        }
    }
    return shares;
}

} // namespace bamboohead
