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

/// @brief State that a target announces to its agent; a `leaving` target accepts no new tasks.
enum class target_state : std::uint8_t { ready, leaving };

/// @brief Announcement of a target to its agent, repeated every second. After 3 s without one, the
///        target counts as leaving.
struct target_announcement
{
    std::string service;
    /// Number of tasks that the target runs concurrently, 1 to maxSlotsPerTarget. agent_core does
    /// not check the range (http_agent rejects other values): with 0, orders are queued and not
    /// started; above the maximum, entries ignore the agent's heartbeats.
    std::uint32_t slots = 0;
    target_state state = target_state::ready;
};

/// @brief Outcome of a task on the target.
struct task_end
{
    task_ref ref;
    bool notStarted = false; ///< the target refused the task before doing any work
    bool failed = false;     ///< the target may have run the task, but it did not succeed
    std::string result;      ///< the target's answer, or the reason for the failure; ignored
                             ///< when `notStarted` is set
    duration runTime{};      ///< ignored when `notStarted` is set
};

/// @brief Construction options of agent_core.
struct agent_options
{
    process_identity self;
    std::vector<std::string> seeds; ///< endpoints of entries to contact for joining
    std::uint64_t randomSeed = 1;   ///< not used: the agent makes no random choices
    /// Number of orders that the agent may hold in addition to its slots. With them, an ended task
    /// is followed by a queued one, so that no slot is idle during the round trip to the entry, and
    /// each of several entries can hold a credit while most slots are busy. 2 is too few for 4
    /// entries: tasks wait for credits that idle entries hold.
    std::uint32_t extraOrders = 6;
    /// Number of credits that are issued only to entries with waiting tasks. Moving an idle credit
    /// to another entry takes a recall (a request to return unneeded credits) and its answer;
    /// issuing a reserved credit takes one message.
    std::uint32_t reservedCredits = 3;
};

/// @brief Monotonic counters of an agent since its start.
struct agent_counters
{
    std::uint64_t tasksStarted = 0;
    std::uint64_t tasksFinished = 0;
    std::uint64_t tasksFailed = 0;
    /// Includes orders withdrawn after their acceptance, and queries about orders of which there is
    /// no record; excludes queries that are answered with `order_fenced`.
    std::uint64_t ordersRefused = 0;
    std::uint64_t reportsRepeated = 0; ///< task outcomes resent because no acknowledgement arrived
    std::uint64_t recalls = 0;         ///< heartbeats sent only to request the return of credits
    std::uint64_t messagesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesDropped = 0; ///< received messages that were ignored
};

/// @brief State machine of an agent, which runs tasks of entries on one local target. Performs no
///        I/O.
///
/// An entry sends an order for each attempt to run a task, and needs a credit of the agent for it.
/// The agent refuses, queues or starts the order and reports its outcome until the entry
/// acknowledges it. It accepts orders only while its zone is in service, its configuration is
/// confirmed as current and its target is available. After a takeover of a home (a pair of primary
/// and backup entry), a fence makes it refuse orders of the former primary.
///
/// Inputs never fail: invalid messages are dropped and counted. Each input may add actions, which
/// the owner of the object fetches with takeActions() and carries out.
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
    /// @brief Handles an announcement of the local target. An announcement of another service is
    ///        rejected until the present target is leaving.
    void targetAnnounced(const target_announcement &announcement);
    /// @brief Handles the end of a task that was started by a run_task action. An unknown task is
    ///        ignored.
    void taskEnded(const task_end &end);
    /// @brief Runs the periodic work; to be called about every 10 ms.
    void tick();
    /// @brief Replaces the endpoints of the entries to contact for joining.
    void setSeeds(std::vector<std::string> endpoints);
    /// @brief Starts a graceful shutdown: refuses new orders, withdraws queued ones, and emits
    ///        shutdown_complete once the running tasks have ended and their outcomes are
    ///        acknowledged, or 5 s after the last end.
    void stop();

    // Outputs

    /// @brief Returns and clears the actions that were added since the last call, oldest first.
    [[nodiscard]] std::vector<agent_action> takeActions();
    [[nodiscard]] const agent_counters &counters() const noexcept;
    /// @brief Returns the main state as JSON, for operators: target, slots, credit totals, known
    ///        entries, queued and running orders, and fences.
    [[nodiscard]] boost::json::value dump() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
