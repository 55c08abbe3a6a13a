#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <set>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Age of the demand of another entry from which it is not used: three of its longest intervals in
/// small fleets. The age counts from the stamp that the message echoes, up to one interval earlier.
constexpr duration maxDemandAge = 1'500ms;
constexpr duration roomLogInterval = 1s; ///< between two lines on the shared room of a service

} // namespace

void dispatch_entry::updateFleetLoad()
{
    const auto now = m_member.now();
    std::map<std::pair<name_hash, name_hash>, route_work> waiting;
    for (const auto &key : m_queue) {
        const auto &job = m_jobs.at(std::get<batch_job_id>(key));
        auto &work = waiting[{hashOfName(job.route.service), hashOfName(job.route.name)}];
        work.priority = job.route.priority;
        work.waiting += queuedWork(job);
    }
    m_demand.setWaiting(std::move(waiting));
    for (const auto peer : m_demand.removeOutdated(now, maxDemandAge * largeFleetFactor())) {
        m_member.log("demand_outdated", {{"entry", toText(peer)}});
    }
    std::map<std::string_view, service_load> loads;
    for (const auto &[incarnation, agent] : m_pool.agents()) {
        if (m_pool.available(agent)) {
            auto &load = loads[agent.service];
            load.capacity += agent.capacity.cpuMillis;
            load.queued += queuedWorkAt(agent);
        }
    }
    std::set<name_hash> served;
    for (const auto &[service, load] : loads) {
        served.insert(hashOfName(service));
    }
    std::erase_if(m_rooms, [&](const auto &room) { return !served.contains(room.first); });
    if (m_options.limits.placement.forecasts) {
        std::map<std::string_view, std::map<incarnation_id, double>> arriving;
        for (const auto &[service, load] : loads) {
            arriving[service] =
                    m_demand.arrivingByEntry(hashOfName(service), m_member.self().incarnation, now);
        }
        m_pool.updateAssignments(arriving);
    }
    for (auto &[service, load] : loads) {
        const auto hash = hashOfName(service);
        load.demand = m_demand.total(hash, now);
        auto &room = m_rooms[hash];
        room.backlog.record(backlogOf(load), now);
        // Shortly after the start only a part of the agents is known.
        room.shares = discovering() ? std::map<name_hash, double>{}
                                    : shareRoom(load, room.backlog.lowest(now));
        room.load = std::move(load);
        if (!room.shares.empty() && now - room.lastLog >= roomLogInterval) {
            room.lastLog = now;
            logSharedRoom(std::string{service}, room.load);
        }
    }
}

void dispatch_entry::logSharedRoom(const std::string &service, const service_load &load)
{
    std::uint64_t arriving = 0;
    for (const auto &[route, work] : load.demand.routes) {
        arriving += work.arriving;
    }
    std::string shares;
    const auto &room = m_rooms.at(hashOfName(service));
    for (const auto &route : m_member.config().routes) {
        const auto found = room.shares.find(hashOfName(route.name));
        if (route.service == service && found != room.shares.end()) {
            shares +=
                    (shares.empty() ? "" : ",") + route.name + ":" + std::to_string(found->second);
        }
    }
    m_member.log("room_shared", {{"service", service},
                                 {"capacity_cpu", std::to_string(load.capacity)},
                                 {"arriving_cpu", std::to_string(arriving)},
                                 {"completing_cpu", std::to_string(load.demand.completing)},
                                 {"backlog_ms", std::to_string(toMilliseconds(backlogOf(load)))},
                                 {"shares", shares}});
}

bool dispatch_entry::admits(const dispatch_route &route)
{
    const auto draw = std::uniform_real_distribution<double>{0, 1}(m_random);
    if (!m_admission.accepts(draw)) {
        return false;
    }
    const auto room = m_rooms.find(hashOfName(route.service));
    if (room == m_rooms.end()) {
        return true;
    }
    const auto share = room->second.shares.find(hashOfName(route.name));
    const bool admitted = share == room->second.shares.end() || draw < share->second;
    m_counters.refusedForRoom += admitted ? 0 : 1;
    return admitted;
}

} // namespace bamboohead
