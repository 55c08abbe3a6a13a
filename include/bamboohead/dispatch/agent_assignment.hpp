#pragma once

#include "bamboohead/types.hpp"

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace bamboohead {

/// @brief Agents of a service that an entry uses before all others.
///
/// Entries that choose among the same agents by reports of the recent past find them full. So each
/// agent is assigned to one entry, by weighted rendezvous hashing with a quota: an entry is
/// assigned a part of the agents that corresponds to its part of the demand, and a change of the
/// demand moves few of them. All entries compute the assignment by themselves from the figures that
/// they exchange anyway. It gives no right: entries whose figures differ may use the same agent,
/// which refuses what does not fit.
class agent_assignment
{
public:
    /// @param self The entry for which the agents are determined.
    explicit agent_assignment(incarnation_id self)
        : m_self{self}
    {}

    /// @brief Determines the assigned agents. Takes effect at most every 500 ms, and less often for
    ///        many pairs of agents and entries.
    /// @param agents Agents that may get tasks.
    /// @param demand Work that arrives per second, by entry; an entry without work counts with a
    ///        small part of the mean.
    void update(const std::vector<incarnation_id> &agents,
                const std::map<incarnation_id, double> &demand, time_point now);

    [[nodiscard]] bool contains(incarnation_id agent) const { return m_agents.contains(agent); }
    [[nodiscard]] const std::set<incarnation_id> &agents() const noexcept { return m_agents; }

private:
    incarnation_id m_self;
    std::map<incarnation_id, double> m_weights; ///< smoothed demand, by entry
    std::set<incarnation_id> m_agents;
    time_point m_nextUpdate;
};

} // namespace bamboohead
