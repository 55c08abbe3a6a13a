#pragma once

#include "bamboohead/detail/entry/job_record.hpp"
#include "bamboohead/placement.hpp"

#include <map>
#include <unordered_map>

namespace bamboohead::detail {

/// @brief State kept for one agent, except its liveness (link_table) and the use of its credits
///        (held_credits).
struct agent_record
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    agent_load load;
    config_version version = config_version::none;
    /// Stamp of the agent's newest report, in microseconds on the agent's clock. The content of
    /// reports with an older stamp is ignored.
    std::uint64_t reportStamp = 0;
    time_point pausedUntil; ///< the agent gets no orders before this time, as it has refused one
    time_point heartbeatSent;
    /// Whether the last heartbeat or order message to it reported demand for its service.
    bool demandReported = false;
    std::uint64_t checkedRound = 0; ///< dispatch round that computed `usableNow`; 0: recompute
    bool usableNow = false;
    agent_orders orders;  ///< orders sent to the agent whose tasks have not ended
    wire::UpdateAck acks; ///< acknowledgements to be sent with the next orders to the agent
    time_point acksSince; ///< arrival of the oldest report in `acks`
};

/// @brief State of another entry, taken from its heartbeats.
struct entry_record
{
    config_version version = config_version::none;
    bool draining = false;
    bool current = false;      ///< it can prove that its configuration is up to date
    bool memberListDue = true; ///< the next heartbeat to it includes the member list
    time_point heartbeatSent;
};

using agent_table = std::unordered_map<incarnation_id, agent_record>;
using entry_table = std::map<incarnation_id, entry_record>;

} // namespace bamboohead::detail
