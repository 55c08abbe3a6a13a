#include "bamboohead/dispatch/fleet_demand.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>

namespace bamboohead {

namespace {

constexpr name_hash otherRoutes = 0; ///< key of the routes that are not listed one by one

void add(route_work &sum, const route_work &work)
{
    sum.priority = work.priority;
    sum.arriving += work.arriving;
    sum.waiting += work.waiting;
}

bool anyWaitingIn(const service_work &service)
{
    return std::ranges::any_of(service.routes,
                               [](const auto &route) { return route.second.waiting > 0; });
}

/// The work for a service; null when there is none.
const service_work *findWork(const std::map<name_hash, service_work> &services, name_hash service)
{
    const auto found = services.find(service);
    return found == services.end() ? nullptr : &found->second;
}

/// Adds up the routes with the least work, so that at most `maxListedRoutes` and the sum remain.
void limitRoutes(std::map<name_hash, route_work> &routes)
{
    if (routes.size() <= fleet_demand::maxListedRoutes) {
        return;
    }
    std::vector<std::pair<std::uint64_t, name_hash>> ranked;
    for (const auto &[route, work] : routes) {
        ranked.emplace_back(work.arriving + work.waiting, route);
    }
    std::ranges::sort(ranked, std::greater{});
    for (auto each = ranked.begin() + fleet_demand::maxListedRoutes; each != ranked.end(); ++each) {
        const auto extracted = routes.extract(each->second);
        add(routes[otherRoutes], extracted.mapped());
    }
}

} // namespace

name_hash hashOfName(std::string_view name)
{
    const auto hash = XXH3_64bits(name.data(), name.size());
    return std::max(name_hash{1}, static_cast<name_hash>(hash));
}

void fleet_demand::recordArrival(name_hash service, name_hash route, std::uint32_t priority,
                                 std::uint64_t work, time_point now)
{
    auto &record = m_arriving[{service, route}];
    record.priority = priority;
    record.arriving.record(work, now);
}

void fleet_demand::recordCompletion(name_hash service, std::uint64_t work, time_point now)
{
    m_completing[service].record(work, now);
}

void fleet_demand::receive(incarnation_id peer, const wire::EntrySync &message, time_point measured)
{
    auto &known = m_peers[peer];
    if (measured < known.measured) {
        return; // overtaken by a newer message
    }
    known = {measured, {}};
    for (const auto &service : message.demand()) {
        auto &work = known.services[service.service()];
        work.completing = std::min(service.completing(), maxFigure);
        for (const auto &route : service.routes()) {
            work.routes[route.route()] = {route.priority(), std::min(route.arriving(), maxFigure),
                                          std::min(route.waiting(), maxFigure)};
        }
    }
}

std::vector<incarnation_id> fleet_demand::removeOutdated(time_point now, duration maxAge)
{
    std::vector<incarnation_id> removed;
    std::erase_if(m_peers, [&](const auto &peer) {
        if (now - peer.second.measured <= maxAge) {
            return false;
        }
        if (std::ranges::any_of(peer.second.services,
                                [](const auto &service) { return anyWaitingIn(service.second); })) {
            removed.push_back(peer.first);
        }
        return true;
    });
    std::erase_if(m_arriving,
                  [&](const auto &route) { return route.second.arriving.perSecond(now) == 0; });
    return removed;
}

std::map<name_hash, service_work> fleet_demand::own(time_point now) const
{
    std::map<name_hash, service_work> services;
    for (const auto &[key, route] : m_arriving) {
        add(services[key.first].routes[key.second],
            {route.priority, route.arriving.perSecond(now), 0});
    }
    for (const auto &[key, work] : m_waiting) {
        add(services[key.first].routes[key.second], work);
    }
    for (const auto &[service, rate] : m_completing) {
        services[service].completing = rate.perSecond(now);
    }
    return services;
}

void fleet_demand::addTo(wire::EntrySync &message, time_point now) const
{
    for (auto &[service, work] : own(now)) {
        limitRoutes(work.routes);
        auto &added = *message.add_demand();
        added.set_service(service);
        added.set_completing(work.completing);
        for (const auto &[route, demand] : work.routes) {
            auto &row = *added.add_routes();
            row.set_route(route);
            row.set_priority(demand.priority);
            row.set_arriving(demand.arriving);
            row.set_waiting(demand.waiting);
        }
    }
}

service_work fleet_demand::total(name_hash service, time_point now) const
{
    auto services = own(now);
    auto sum = std::move(services[service]);
    for (const auto &[peer, demand] : m_peers) {
        if (const auto *const found = findWork(demand.services, service)) {
            sum.completing += found->completing;
            for (const auto &[route, work] : found->routes) {
                add(sum.routes[route], work);
            }
        }
    }
    return sum;
}

std::map<incarnation_id, double>
fleet_demand::arrivingByEntry(name_hash service, incarnation_id self, time_point now) const
{
    std::map<incarnation_id, double> arriving{{self, 0}};
    for (const auto &[key, route] : m_arriving) {
        if (key.first == service) {
            arriving[self] += static_cast<double>(route.arriving.perSecond(now));
        }
    }
    for (const auto &[peer, demand] : m_peers) {
        auto &sum = arriving[peer];
        if (const auto *const found = findWork(demand.services, service)) {
            for (const auto &[route, work] : found->routes) {
                sum += static_cast<double>(work.arriving);
            }
        }
    }
    return arriving;
}

std::uint64_t fleet_demand::waitingBefore(name_hash service, std::uint32_t priority) const
{
    std::uint64_t work = 0;
    for (const auto &[peer, demand] : m_peers) {
        const auto *const found = findWork(demand.services, service);
        if (found == nullptr) {
            continue;
        }
        for (const auto &[route, waiting] : found->routes) {
            work += waiting.priority < priority    ? waiting.waiting
                    : waiting.priority == priority ? waiting.waiting / 2
                                                   : 0;
        }
    }
    return work;
}

bool fleet_demand::anyWaiting() const
{
    const auto waiting = [](const auto &route) { return route.second.waiting > 0; };
    return std::ranges::any_of(m_waiting, waiting) ||
           std::ranges::any_of(m_peers, [](const auto &peer) {
               return std::ranges::any_of(peer.second.services, [](const auto &service) {
                   return anyWaitingIn(service.second);
               });
           });
}

} // namespace bamboohead
