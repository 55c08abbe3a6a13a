#pragma once

#include "bamboohead/detail/entry/job_record.hpp"
#include "bamboohead/placement.hpp"

#include <map>
#include <unordered_map>

namespace bamboohead::detail {

/// @brief What the entry knows of one agent beside its link and credits.
struct agent_record
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    agent_load load;
    config_version version = config_version::none;
    std::uint64_t reportStamp = 0; ///< agent's clock; older reports are ignored
    time_point pausedUntil;
    time_point heartbeatSent;
    bool demandTold = false;
    std::uint64_t checkedRound = 0; ///< dispatch round of `usableNow`
    bool usableNow = false;
    agent_orders orders;  ///< sent and not ended
    wire::UpdateAck acks; ///< waiting for orders to the agent, which carry them
    time_point acksSince; ///< arrival of the oldest of `acks`
};

/// @brief Known entries' state from their heartbeats.
struct entry_record
{
    config_version version = config_version::none;
    bool draining = false;
    bool current = false;
    bool listDue = true; ///< the next heartbeat to it carries the member list
    time_point heartbeatSent;
};

using agent_table = std::unordered_map<incarnation_id, agent_record>;
using entry_table = std::map<incarnation_id, entry_record>;

} // namespace bamboohead::detail
