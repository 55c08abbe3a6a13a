#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/clock.hpp"
#include "bamboohead/config_state.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/types.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief State that a target announces to its agent.
enum class target_state : std::uint8_t { ready, leaving };

/// @brief A target's announcement, renewed each second.
struct target_announcement
{
    std::string service;
    std::uint32_t slots = 0; ///< tasks the target runs at the same time
    target_state state = target_state::ready;
};

/// @brief How a task ended on the target.
struct task_end
{
    task_ref ref;
    bool notStarted = false; ///< the target refused before any work
    bool failed = false;
    std::string result; ///< the target's answer, or the reason of the failure
    duration runTime{};
};

/// @brief Construction options of an agent_core.
struct agent_options
{
    process_identity self;
    std::vector<std::string> seeds; ///< endpoints of entries
    std::uint64_t seed = 1;         ///< of all random choices
    /// Orders beyond the slots that the agent may hold. They hide the round trip to the entry, and
    /// leave each of several entries a credit while most slots are busy: with 2 for 4 entries,
    /// tasks waited for credits that idle entries held.
    std::uint32_t excessOrders = 6;
    /// Credits that are given only to entries with waiting tasks. An idle credit that another entry
    /// needs costs a recall and its answer; a reserved one only the message that gives it.
    std::uint32_t reservedCredits = 3;
};

/// @brief Counters of an agent, monotonic.
struct agent_counters
{
    std::uint64_t tasksStarted = 0;
    std::uint64_t tasksFinished = 0;
    std::uint64_t tasksFailed = 0;
    std::uint64_t ordersRefused = 0;
    std::uint64_t reportsRepeated = 0; ///< ends of tasks told again for want of an acknowledgement
    std::uint64_t recalls = 0;         ///< heartbeats sent only to recall credits
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0;
};

/// @brief Decisions of an agent: credits, orders, fences, announcements. Performs no I/O.
class agent_core
{
public:
    agent_core(agent_options options, const clock &clock);
    ~agent_core();
    agent_core(const agent_core &) = delete;
    agent_core &operator=(const agent_core &) = delete;

    // Inputs

    /// @brief Handles a message from a peer.
    void receive(const wire::Envelope &envelope);
    /// @brief The target beside this agent announced itself.
    void targetAnnounced(const target_announcement &announcement);
    /// @brief A task given out by run_task ended.
    void taskEnded(const task_end &end);
    /// @brief Runs the periodic systems; called each 10 ms or so.
    void tick();
    /// @brief The settings name other endpoints of entries from now on.
    void setSeeds(std::vector<std::string> endpoints);
    /// @brief Starts a graceful shutdown.
    void stop();

    // Outputs

    /// @brief Takes the actions decided since the last call.
    [[nodiscard]] std::vector<agent_action> takeActions();
    [[nodiscard]] const agent_counters &counters() const noexcept;
    /// @brief Whole state, for operators.
    [[nodiscard]] boost::json::value dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
