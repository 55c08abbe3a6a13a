#pragma once

#include "bamboohead/dispatch/agent_assignment.hpp"
#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/load_policy.hpp"
#include "bamboohead/dispatch/working_set.hpp"
#include "bamboohead/target_health.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief A run that was ordered from an agent and whose end the agent has not reported yet.
struct outstanding_run
{
    resources demand;
    std::uint64_t orderNumber = 0; ///< number of the message that carried the order
    bool stopping = false;
    /// Whether the agent was to refuse the run if it could not start at once.
    bool immediate = false;
    time_point stopSent;
    duration expected{}; ///< expected run time on a target of normal speed
    time_point ordered;  ///< when the order was sent
    std::string target;  ///< id of the agent's target in its newest report before the order
    /// Whether the newest full report has called the start settled, see
    /// target_session::startSettled(). Otherwise a start call of the agent may still be executed,
    /// also when the agent has failed.
    bool startSettled = false;
    bool heldBack = false; ///< `run_in_doubt` was logged
};

/// @brief Times of the lists of entries that are sent to a process.
struct member_list_times
{
    time_point last;    ///< when the newest list, complete or not, was sent
    time_point nextAll; ///< when the next list of all entries is due
};

/// @brief State of one agent as seen by an entry, from the agent's reports and the orders sent to
///        it. Each agent controls one target.
struct agent_view
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    std::string zone;
    std::string service;
    std::string target;
    std::vector<std::string> labels;
    bool ready = false;
    bool replaced = false; ///< a later agent at the same endpoint has cleared its target
    bool cleared = false;  ///< no run that an earlier agent started is left on the target
    resources capacity;
    resources running; ///< demand of all running tasks there, of all entries, in the newest report
    std::map<std::uint32_t, resources> queued; ///< demand of all waiting tasks there, by priority
    /// Expected waits of further tasks in the newest report, by priority.
    std::map<std::uint32_t, duration> queueWaits;
    duration roomWait{}; ///< expected wait of a task that precedes all waiting ones
    /// Number of the newest order message that the agent has reported as handled; 0: none.
    std::uint64_t ordersHandled = 0;
    std::uint64_t ordersSent = 0; ///< number of the newest order message; 0: none
    std::uint64_t endsSeen = 0;   ///< number of the newest run end that was processed; 0: none
    /// Highest number of a task with a start in doubt that was received; 0: none.
    std::uint64_t doubtsSeen = 0;
    std::uint64_t doubtsAcknowledged = 0; ///< `doubtsSeen` in the newest message to the agent
    /// `endsSeen` in the newest message to the agent.
    std::uint64_t endsAcknowledged = 0;
    /// Highest number of a crash of the agent's target that was received; 0: none.
    std::uint64_t crashesSeen = 0;
    /// Epoch of `ordersSent`. A view that is created again after its removal has a higher epoch.
    std::uint64_t epoch = 0;
    std::uint64_t peerEpoch = 0;       ///< epoch of `endsSeen`, assigned by the agent
    std::uint64_t newestListStamp = 0; ///< stamp of the newest full report
    time_point knownSince;             ///< when the agent became known to this entry
    time_point lastArrival;            ///< when the newest message of the agent was handled
    time_point lastReport;             ///< when the newest report of the agent was received
    time_point lastHeartbeat;          ///< when the newest heartbeat was sent to the agent
    time_point echoArrival;       ///< `lastArrival` when the newest message was sent to the agent
    member_list_times memberList; ///< lists of entries sent to the agent
    std::map<run_ref, outstanding_run> outstanding;
    time_point noOrdersUntil; ///< end of the pause after a refused order
    slowness_estimate slownessEstimate;
    double lastingSlowness = 0; ///< lasting_slowness::ratio() as reported; 0: unknown
    /// Lasting slowness of the target relative to the mean of its service; 1 when it is unknown or
    /// placement_options::lastingSpeeds is off.
    double speedFactor = 1.0;

    /// @brief Expected ratio of run times on the target to those on a mean target, now.
    [[nodiscard]] double slowness(time_point now) const
    {
        return slownessEstimate.slowness(now) * speedFactor;
    }
    /// @brief Demand that has precedence over a new run of a priority: running tasks, waiting tasks
    ///        of the same or a more urgent priority, and orders that the newest report does not
    ///        account for.
    [[nodiscard]] resources precedingDemand(std::uint32_t priority) const;
    /// @brief The part of precedingDemand() that the newest report accounts for.
    [[nodiscard]] resources reportedDemand(std::uint32_t priority) const;
    /// @brief Expected wait of a further task of a priority in the newest report.
    [[nodiscard]] duration reportedWait(std::uint32_t priority) const;
    /// @brief The part of precedingDemand() that is known from this entry's own orders.
    [[nodiscard]] resources ownDemand() const;
};

/// @brief How agents are chosen; by default as if all targets were alike and no run waited.
struct placement_options
{
    /// Whether an entry prefers the agents that are assigned to it, see agent_assignment, and runs
    /// may wait in the queue of a full target for a limited time, see queue_patience.
    bool forecasts = false;
    /// Whether the lasting speeds of targets are used, see lasting_slowness.
    bool lastingSpeeds = false;
    /// Factor by which run times are longer away from the preferred label. Above 1, it decides how
    /// long a task waits for a target with it, see longestWaitNear(). 0: unknown; such targets are
    /// only preferred.
    double distanceFactor = 0;
};

/// @brief Requirements of a task that is to be placed.
struct placement_request
{
    batch_job_id job{};
    std::uint32_t step = 0;               ///< index of the step in the job
    const batch_step *taskStep = nullptr; ///< the step itself; never null in calls to agent_pool
    std::string_view service;
    std::uint32_t priority = 0;
    /// Agent that gets the task only when no other has free capacity; `none`: no such agent.
    incarnation_id avoidedAgent = incarnation_id::none;
    /// Whether the task may be ordered from an agent that had no free capacity in its newest
    /// report, if the report is old. Such an order should not be queued at the agent.
    bool mayProbe = false;
    /// Largest slowness of a target with which the task is expected to end within the job's
    /// objective or, if the job is late, within dispatch_entry_limits::maxObjectiveFactor times the
    /// objective; the time that later steps need is not subtracted. 0 or less when that time has
    /// passed. Targets with a slowness of up to 2 are accepted in any case.
    double maxSlowness = 0;
    duration runTime{};   ///< expected run time on a mean target near the task's data
    double deviation = 0; ///< mean deviation of the run time, as a part of it
    duration patience{};  ///< longest wait for a start that pays, see queue_patience
};

/// @brief An agent that may run the tasks of a step, with its load while they are placed.
struct placement_candidate
{
    agent_view *agent = nullptr;
    /// Demand that has precedence over a further task: precedingDemand() of the agent, with the
    /// part of other entries estimated for the age of the agent's report.
    resources precedingDemand;
    /// Part of the other entries' runs in the agent's newest report that have not ended since, as
    /// expected from the mean run time: 1 for a new report, towards 0 for an old one.
    double currency = 1.0;
    double slowness = 1.0;
    double preference = 1.0; ///< weight factor; higher for targets with the preferred label
    std::uint32_t tasks = 0; ///< outstanding tasks of the step on this agent
    bool chosen = false;     ///< the agent was chosen for an earlier task
    bool preferred = false;  ///< the target has the preferred label
    bool assigned = false;   ///< see agent_assignment

    /// @brief Adds the demand of a task for which the agent was chosen.
    void addTask(const resources &demand)
    {
        precedingDemand += demand;
        ++tasks;
        chosen = true;
    }
};

/// @brief Reason for the choice of an agent.
enum class placement_reason : std::uint8_t {
    free,     ///< it is expected to start the task at once
    probe,    ///< no other is free, and its report is old
    queue,    ///< no other is free; the task waits in its queue
    near,     ///< waiting near the data ends the task earlier than a start elsewhere
    assigned, ///< as `free`, and the agent is assigned to the entry
    slow,     ///< no other is free; its target is slow, but a wait elsewhere ends later
};

/// @brief Name of a reason in logs.
[[nodiscard]] std::string_view toText(placement_reason reason);

/// @brief An agent that was chosen for a task.
struct chosen_agent
{
    agent_view *agent = nullptr; ///< null: no agent can take the task
    /// Whether the agent is to refuse the task if it cannot start it within `maxWait`. Otherwise
    /// the task is to wait in the agent's queue.
    bool free = false;
    duration maxWait{};      ///< see RunOrder.max_wait_ms; 0: no wait if `free`, else any
    duration expectedWait{}; ///< that was estimated for the choice
    placement_reason reason = placement_reason::free;
};

/// @brief Agents known to an entry, and the placement of tasks on them.
class agent_pool
{
public:
    /// @param member Has to outlive the pool, which refers to it.
    /// @param seed Seed of the random choices among agents.
    /// @param workingSet Sizes of the working set of each service.
    agent_pool(const fleet_member &member, std::uint64_t seed, working_set_limits workingSet,
               placement_options options = {})
        : m_member{member}
        , m_random{seed}
        , m_workingSetLimits{workingSet}
        , m_options{options}
    {}

    [[nodiscard]] std::map<incarnation_id, agent_view> &agents() noexcept { return m_agents; }
    [[nodiscard]] const std::map<incarnation_id, agent_view> &agents() const noexcept
    {
        return m_agents;
    }
    void removeAgent(incarnation_id agent);

    /// @brief Adapts the working set of each service; to be called in each tick.
    void updateWorkingSets();
    /// @brief Determines the agents of each service that are assigned to this entry, and adds them
    ///        to its working set.
    /// @param demand Work for a service that arrives per second at each entry, by the service.
    void
    updateAssignments(const std::map<std::string_view, std::map<incarnation_id, double>> &demand);
    /// @brief Whether the agent belongs to the working set of its service. True for an agent that
    ///        has not reported its service yet.
    [[nodiscard]] bool inWorkingSet(const agent_view &agent) const;

    /// @brief Agents of the working set that may run the tasks of a step. Examines all agents, so
    ///        it should be called once for all tasks of a step.
    [[nodiscard]] std::vector<placement_candidate> candidates(const placement_request &request);
    /// @brief Chooses an agent with free capacity for a task, or else one with space in its queue,
    ///        and adds the task's demand to that candidate.
    ///
    /// Reports are often older than the tasks that they count take to run. The older a report is,
    /// the less its figures count compared with the mean load of all agents. With
    /// placement_request::mayProbe, an agent that reported no free capacity is chosen at random
    /// when none is expected to have any, if most of the reported runs are expected to have ended.
    ///
    /// The choice among agents with free capacity is random: entries that see the same load would
    /// otherwise all choose the same agent. The weight of an agent is its free processor capacity,
    /// divided by the square of its target's slowness, and four times as high if the target has the
    /// preferred label. Agents without free capacity, the avoided agent and agents whose targets
    /// have a slowness of 2 or more are chosen only when there is no other agent. The one with the
    /// lowest ratio of slowness to free processor capacity, queue space included, is then chosen.
    /// @param request Request for the step for which the candidates were found; `avoidedAgent` is
    ///        that of the task.
    /// @return No agent when no candidate has free capacity or queue space and fewer than
    ///         `maxTasksPerTarget` tasks of the step.
    [[nodiscard]] chosen_agent choose(std::vector<placement_candidate> &candidates,
                                      const placement_request &request);

    /// @brief Chooses the agent of the only target that may execute a task, and adds the task's
    ///        demand to its candidate, if it is one. Adds the agent to the working set.
    /// @param found The candidates for the step, if they were found already.
    /// @return No agent when there is none with that target, or when it may receive no orders, or
    ///         has neither free capacity nor queue space.
    [[nodiscard]] chosen_agent chooseAgentOf(std::string_view target,
                                             std::optional<std::vector<placement_candidate>> &found,
                                             const placement_request &request);

    /// @brief Whether an agent may receive orders, apart from the health of its target, which
    ///        isEligible() checks: the agent is ready, responsive, in a zone that accepts tasks,
    ///        and not in a pause after a refusal.
    [[nodiscard]] bool usable(const agent_view &agent) const;
    /// @brief Like usable(), but with the report interval outside the working set. Such an agent is
    ///        usable one round trip after it was added to the working set.
    [[nodiscard]] bool available(const agent_view &agent) const;
    /// @brief Records the result of a task in the health statistics of the agent's target.
    void taskEnded(incarnation_id agent, batch_job_id job, bool failed);
    /// @brief Records an order in the health statistics of the agent's target.
    void orderSent(incarnation_id agent);
    /// @brief Records the run time of a task, from which the part of a report is estimated that is
    ///        still valid after some time.
    void observeRunTime(duration runTime);
    /// @brief Whether an agent other than the avoided one, with a target of normal speed, has free
    ///        capacity for a task now.
    [[nodiscard]] bool hasAgentWithFreeCapacity(const placement_request &request) const;
    /// @brief Number of available agents of a service.
    [[nodiscard]] std::size_t usableAgents(std::string_view service) const;
    /// @brief Total capacity of the available agents of a service.
    [[nodiscard]] resources capacity(std::string_view service) const;

private:
    /// A candidate for a task, see chosen_agent.
    struct selection
    {
        placement_candidate *candidate = nullptr;
        bool free = false;
        duration maxWait{};
        duration expectedWait{};
        placement_reason reason = placement_reason::free;
    };
    /// A candidate with free capacity, and its weight in the random choice.
    using weighted_candidates = std::vector<std::pair<placement_candidate *, double>>;

    /// Candidates by what they can offer.
    struct sorted_candidates
    {
        weighted_candidates free;     ///< with free capacity, or with a reserve, see hasReserve()
        weighted_candidates nearFree; ///< with free capacity and the preferred label
        weighted_candidates assignedFree; ///< with free capacity, and assigned to this entry
        std::vector<placement_candidate *> withOldReport; ///< full in a report that is old
        placement_candidate *fallback = nullptr;          ///< with space in its queue; null: none
        /// Least slow one of those with free capacity whose target is slow; null: none.
        placement_candidate *slowFree = nullptr;
    };
    [[nodiscard]] sorted_candidates sortCandidates(std::vector<placement_candidate> &candidates,
                                                   const placement_request &request) const;

    /// Chooses between a wait at a full agent and, while no other is free, a slow target.
    [[nodiscard]] selection selectWithoutFree(std::vector<placement_candidate> &candidates,
                                              const sorted_candidates &sorted,
                                              const placement_request &request) const;

    /// Chooses among candidates with free capacity.
    [[nodiscard]] placement_candidate *chooseWeighted(const weighted_candidates &candidates);
    [[nodiscard]] double weightOf(const placement_candidate &candidate,
                                  const placement_request &request) const;
    /// Expected time until a candidate starts a further task.
    [[nodiscard]] duration estimateWait(const placement_candidate &candidate,
                                        const placement_request &request) const;
    /// Whether a candidate that is assigned to another entry has so much free capacity that the
    /// task still fits when that entry has used it for another one meanwhile.
    [[nodiscard]] static bool hasReserve(const placement_candidate &candidate,
                                         const placement_request &request);
    /// Whether a candidate may take the task if it can start it soon.
    [[nodiscard]] static bool mayWaitAt(const placement_candidate &candidate,
                                        const placement_request &request);
    /// Chooses the assigned candidate with the shortest wait, if the wait pays. What this entry
    /// knows of its own agents is recent.
    [[nodiscard]] selection selectForWait(std::vector<placement_candidate> &candidates,
                                          const placement_request &request) const;
    /// Chooses a candidate with the preferred label if a wait there pays.
    /// @param anyFree Whether another candidate has free capacity.
    [[nodiscard]] selection selectNear(std::vector<placement_candidate> &candidates,
                                       const placement_request &request, bool anyFree) const;
    /// Updates agent_view::speedFactor of all agents.
    void updateSpeedFactors();
    [[nodiscard]] selection selectCandidate(std::vector<placement_candidate> &candidates,
                                            const placement_request &request);
    /// Replaces a part of the reported load of old reports by the mean load of all candidates.
    void estimateLoads(std::vector<placement_candidate> &candidates) const;
    /// Adds agents with the label that the tasks need or prefer to the working set.
    void addLabelledAgents(const placement_request &request);
    /// Whether the step allows a further task on the agent's target: by its label and the number of
    /// tasks there.
    [[nodiscard]] static bool allowedByStep(const agent_view &agent,
                                            const placement_request &request);
    /// Whether an agent may run a further task of the step, apart from its load.
    [[nodiscard]] bool isEligible(const agent_view &agent, const placement_request &request) const;
    [[nodiscard]] static std::uint32_t outstandingTasks(const agent_view &agent,
                                                        const placement_request &request);

    const fleet_member &m_member;
    std::map<incarnation_id, agent_view> m_agents;
    std::mt19937_64 m_random;
    target_health m_health;
    working_set_limits m_workingSetLimits;
    placement_options m_options;
    std::map<std::string, working_set, std::less<>> m_workingSets;      ///< by service
    std::map<std::string, agent_assignment, std::less<>> m_assignments; ///< by service
    duration m_meanRunTime = std::chrono::milliseconds{200};            ///< of this entry's tasks
};

} // namespace bamboohead
