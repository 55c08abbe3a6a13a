#pragma once

#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/load_policy.hpp"
#include "bamboohead/target_health.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief An order that an agent has not ended yet.
struct outstanding_run
{
    resources demand;
    std::uint64_t orderNumber = 0;
    bool stopping = false;
    time_point stopSent;
    duration expected{}; ///< run time on an ordinary target
};

/// @brief What an entry knows of one agent.
struct agent_view
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    std::string zone;
    std::string service;
    std::string target;
    std::vector<std::string> labels;
    bool ready = false;
    bool cleared = false;
    resources capacity;
    resources running; ///< all runs that have started there, as of the newest report
    std::map<std::uint32_t, resources> queued; ///< all runs that wait there, by priority
    std::uint64_t ordersHandled = 0; ///< newest message of orders that the report includes
    std::uint64_t ordersSent = 0;
    std::uint64_t endsSeen = 0;
    std::uint64_t epoch = 0;     ///< of `ordersSent`; a view that is made anew has a higher one
    std::uint64_t peerEpoch = 0; ///< of `endsSeen`, the agent's
    time_point lastPulse;
    time_point lastMembers;
    std::map<run_ref, outstanding_run> outstanding;
    time_point fullUntil; ///< refused an order for want of room
    target_pace pace;

    /// @brief Demand that a new run of the priority finds before it: what runs, what waits and is
    ///        not less urgent, and orders that the newest report does not include.
    [[nodiscard]] resources ahead(std::uint32_t priority) const;
};

/// @brief What a placement needs to know of a task.
struct placement_request
{
    batch_job_id job{};
    std::uint32_t step = 0;
    const batch_step *work = nullptr;
    std::string_view service;
    std::uint32_t priority = 0;
    incarnation_id avoid = incarnation_id::none;
    double mostSlowness = 0; ///< slower targets would end the task too late
};

/// @brief An agent that may run the tasks of a step, while they are placed.
struct placement_candidate
{
    agent_view *agent = nullptr;
    resources ahead; ///< demand that a further task finds before it
    double slowness = 1.0;
    double preference = 1.0; ///< higher for targets near the data
    std::uint32_t tasks = 0; ///< of the step that are there
};

/// @brief Agents known to an entry, and the choice among them.
class agent_pool
{
public:
    agent_pool(const fleet_member &member, std::uint64_t seed)
        : m_member{member}
        , m_random{seed}
    {}

    [[nodiscard]] std::map<incarnation_id, agent_view> &agents() noexcept { return m_agents; }
    [[nodiscard]] const std::map<incarnation_id, agent_view> &agents() const noexcept
    {
        return m_agents;
    }
    void forget(incarnation_id agent);

    /// @brief Agents that may run the tasks of a step. It is a look at all agents, so it is made
    ///        once for all tasks of a step.
    [[nodiscard]] std::vector<placement_candidate> candidates(const placement_request &request);
    /// @brief Chooses an agent with room for a task now, else one with room in its queue, and takes
    ///        the room.
    ///
    /// Among agents with room the choice is random, weighted by free processors: entries with the
    /// same view would otherwise all choose the same agent.
    /// @param request Of the step for which the candidates were found; its `avoid` is the task's.
    /// @return Null when no agent has room.
    [[nodiscard]] agent_view *choose(std::vector<placement_candidate> &candidates,
                                     const placement_request &request);

    /// @brief Whether an agent may get orders.
    [[nodiscard]] bool usable(const agent_view &agent) const;
    /// @brief Counts an end for the health of the agent's target.
    void taskEnded(incarnation_id agent, batch_job_id job, bool failed);
    void orderSent(incarnation_id agent);
    /// @brief Whether an ordinary agent has room for a task now.
    [[nodiscard]] bool hasIdle(const placement_request &request) const;
    [[nodiscard]] std::size_t usableAgents(std::string_view service) const;
    /// @brief Resources of all usable agents of a service.
    [[nodiscard]] resources capacity(std::string_view service) const;

private:
    [[nodiscard]] placement_candidate *pick(std::vector<placement_candidate> &candidates,
                                            const placement_request &request);
    [[nodiscard]] bool fits(const agent_view &agent, const placement_request &request) const;
    [[nodiscard]] static std::uint32_t tasksOf(const agent_view &agent,
                                               const placement_request &request);

    const fleet_member &m_member;
    std::map<incarnation_id, agent_view> m_agents;
    std::mt19937_64 m_random;
    target_health m_health;
};

} // namespace bamboohead
