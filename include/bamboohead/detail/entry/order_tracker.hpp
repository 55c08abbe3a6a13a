#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Tracks the orders sent to agents: handles updates, queries agents that don't report, and
///        ends the jobs of failed agents.
class order_tracker
{
public:
    explicit order_tracker(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Marks the task as ordered from the agent, and starts to track the order.
    void trackOrder(task_record &task, agent_record &agent);
    void receive(incarnation_id sender, const wire::TaskUpdates &updates);
    /// @brief Applies the state of one task that an agent reports in an update or a fence report.
    void apply(incarnation_id sender, const wire::TaskUpdate &update);
    /// @brief Marks a task as ordered from an agent that reported it during a takeover.
    void adopt(task_record &task, incarnation_id agent, std::uint32_t attempt);
    /// @brief Ends all jobs with orders at the agent as failed with `outcome_unknown`, then removes
    ///        the agent.
    /// @param reason Value of the log key `reason`.
    void agentFailed(incarnation_id agent, std::string_view reason);

    /// @brief Sends queries and delayed acknowledgements, and detects failed agents.
    void tick();

private:
    /// @brief Adds an acknowledgement to be sent with the next orders to the agent. For an agent
    ///        that is not in the table it is sent at once.
    void acknowledge(incarnation_id agent, const wire::TaskRef &ref);
    void sendAcks();
    /// @brief Whether a takeover, now or later, may still need an update of this task: this entry
    ///        is the backup of the job, and either no takeover has begun or no agent has reported
    ///        the task to it. Such an update must not be acknowledged, so that the agent sends it
    ///        again.
    [[nodiscard]] bool awaitsFenceReport(const task_ref &ref);
    /// @brief Stores the result of a finished task, and completes the job with its last result.
    void handleFinished(task_record &task, const wire::TaskUpdate &update);
    /// @brief Handles a refused order: the task waits again if the refusal proves that it has not
    ///        started.
    void handleRefused(task_record &task, error_kind kind);
    /// @brief Restarts the time after which the agent is queried about the task.
    void refresh(task_record &task);
    /// @brief Adds queries about the orders in `list` without update or query within `limit`.
    void querySilent(watch_list &list, duration limit,
                     std::map<incarnation_id, wire::Envelope> &queries);
    void detectFailedAgents();

    entry_context &m_ctx;
    watch_list m_ordersByUpdate; ///< orders not queried since their last update, by its time
    watch_list m_ordersByQuery;  ///< orders queried since their last update, by the last query
    time_point m_nextSweep;
};

} // namespace bamboohead::detail
