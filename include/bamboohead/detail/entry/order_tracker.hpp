#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Follows orders that were sent: updates, silence and the death of agents.
class order_tracker
{
public:
    explicit order_tracker(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief The task's order was sent to the agent.
    void ordered(task_record &task, agent_record &agent);
    void receive(incarnation_id sender, const wire::TaskUpdates &updates);
    /// @brief Applies what an agent says of one task, by update or by fence report.
    void apply(incarnation_id sender, const wire::TaskUpdate &update);
    /// @brief Marks a task as running on an agent, as found by a takeover.
    void adopt(task_record &task, incarnation_id agent, std::uint32_t attempt);
    /// @brief Closes all jobs with orders at the agent, then forgets it.
    void agentDead(incarnation_id agent, std::string_view reason);

    /// @brief Queries silent orders and finds dead agents.
    void tick();

private:
    /// @brief Notes that a report has arrived, to be told with the next orders to the agent.
    void acknowledge(incarnation_id agent, const wire::TaskRef &ref);
    void sendAcks();
    /// @brief Whether a takeover still needs the agent's report of this task; the update must not
    ///        be acknowledged, so that the agent sends it again.
    [[nodiscard]] bool precedesReport(const task_ref &ref);
    void finished(task_record &task, const wire::TaskUpdate &update);
    void refused(task_record &task, error_kind kind);
    void refresh(task_record &task);
    void querySilent(watch_list &list, duration limit,
                     std::map<incarnation_id, wire::Envelope> &queries);
    void findDeadAgents();

    entry_context &m_ctx;
    watch_list m_heard;   ///< orders by time of the last update
    watch_list m_queried; ///< silent orders by time of the last query
    time_point m_nextSweep;
};

} // namespace bamboohead::detail
