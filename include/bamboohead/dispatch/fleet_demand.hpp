#pragma once

#include "bamboohead/dispatch/load_policy.hpp"
#include "bamboohead/types.hpp"

#include "bamboohead/wire.hpp"

#include <cstdint>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Hash of the name of a route or service in messages between entries.
using name_hash = std::uint32_t;

/// @brief Hash of a name, the same in every process; never 0.
[[nodiscard]] name_hash hashOfName(std::string_view name);

/// @brief Work of the jobs of one route, in millicore-seconds, see workOf().
struct route_work
{
    std::uint32_t priority = 0;
    std::uint64_t arriving = 0; ///< per second, refused jobs included
    std::uint64_t waiting = 0;  ///< at entries
};

/// @brief Work for the targets of one service.
struct service_work
{
    std::uint64_t completing = 0; ///< work of runs that are done, in millicore-seconds per second
    std::map<name_hash, route_work> routes;
};

/// @brief Demand that all entries together see, so that each of them decides with the same figures
///        however unevenly callers are distributed.
///
/// Each entry measures its own demand and sends it to the others in messages that go anyway. What
/// an entry knows of another one expires, so that one that has failed or is cut off does not count
/// with old figures.
class fleet_demand
{
public:
    /// Routes of a service that are listed one by one in a message; the others are added up. It
    /// bounds the size of a message whatever the number of routes.
    static constexpr std::size_t maxListedRoutes = 12;
    /// Upper bound of each figure of another entry, so that sums do not overflow; far above the
    /// work of the largest fleet.
    static constexpr std::uint64_t maxFigure = 1'000'000'000'000;

    /// @brief Records the work of a job that was submitted, whether it is accepted or not.
    void recordArrival(name_hash service, name_hash route, std::uint32_t priority,
                       std::uint64_t work, time_point now);
    /// @brief Records the work of a run that is done.
    void recordCompletion(name_hash service, std::uint64_t work, time_point now);
    /// @brief Replaces the work that waits at this entry, by service and route.
    void setWaiting(std::map<std::pair<name_hash, name_hash>, route_work> waiting)
    {
        m_waiting = std::move(waiting);
    }

    /// @brief Handles the demand of another entry.
    /// @param measured When it was measured.
    void receive(incarnation_id peer, const wire::EntrySync &message, time_point measured);
    /// @brief Removes figures that are older than `maxAge`.
    /// @return Entries whose removed figures contained waiting work.
    std::vector<incarnation_id> removeOutdated(time_point now, duration maxAge);

    /// @brief Adds the demand of this entry to a message.
    void addTo(wire::EntrySync &message, time_point now) const;
    /// @brief Demand of all entries for a service.
    [[nodiscard]] service_work total(name_hash service, time_point now) const;
    /// @brief Work for a service that arrives per second, by entry.
    /// @param self This entry.
    [[nodiscard]] std::map<incarnation_id, double>
    arrivingByEntry(name_hash service, incarnation_id self, time_point now) const;
    /// @brief Work that waits at other entries before a job of a priority: all of more urgent ones,
    ///        and half of its own priority, whose order is not known.
    [[nodiscard]] std::uint64_t waitingBefore(name_hash service, std::uint32_t priority) const;
    /// @brief Whether work waits at this or another entry.
    [[nodiscard]] bool anyWaiting() const;

private:
    struct own_route
    {
        std::uint32_t priority = 0;
        work_rate arriving;
    };
    struct peer_demand
    {
        time_point measured;
        std::map<name_hash, service_work> services;
    };

    [[nodiscard]] std::map<name_hash, service_work> own(time_point now) const;

    std::map<std::pair<name_hash, name_hash>, own_route> m_arriving; ///< by service and route
    std::map<name_hash, work_rate> m_completing;                     ///< by service
    std::map<std::pair<name_hash, name_hash>, route_work> m_waiting; ///< by service and route
    std::map<incarnation_id, peer_demand> m_peers;
};

} // namespace bamboohead
