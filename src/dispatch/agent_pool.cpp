#include "bamboohead/dispatch/agent_pool.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration maxEchoAge = 1s; ///< oldest timestamp echo of an agent that may receive orders
/// Percentage of an agent's CPU capacity by which the demand there, that of other entries' runs
/// included, may exceed the capacity after a further order of this entry. Other capacities may not
/// be exceeded. It is less than the agent accepts (dispatch_agent_limits::queuePercent), because
/// other entries use the queue too.
constexpr std::uint64_t entryQueuePercent = 12;
constexpr std::uint64_t percent = 100;
constexpr double preferredLabelWeight = 4; ///< weight factor of targets with the preferred label
/// Slowness from which a target gets tasks only when no other target has free capacity, and only if
/// its slowness is at most placement_request::maxSlowness.
constexpr double slowTargetThreshold = 2.0;

/// Converts a job id to the form that target_health uses. That form contains the caller's session,
/// which stays empty here because a batch job has none.
job_id healthKey(batch_job_id job)
{
    return job_id{{}, static_cast<std::uint64_t>(job)};
}

bool hasLabel(const agent_view &agent, const std::string &label)
{
    return std::ranges::find(agent.labels, label) != agent.labels.end();
}

} // namespace

resources agent_view::precedingDemand(std::uint32_t priority) const
{
    auto sum = running;
    for (auto each = queued.begin(); each != queued.end() && each->first <= priority; ++each) {
        sum += each->second;
    }
    for (const auto &[ref, run] : outstanding) {
        if (run.orderNumber > ordersHandled) {
            sum += run.demand;
        }
    }
    return sum;
}

void agent_pool::removeAgent(incarnation_id agent)
{
    m_agents.erase(agent);
    m_health.remove(agent);
}

bool agent_pool::usable(const agent_view &agent) const
{
    return agent.ready && m_member.now() >= agent.noOrdersUntil &&
           !m_member.config().zoneOutOfService(agent.zone) &&
           m_member.links().alive(agent.incarnation, maxEchoAge);
}

void agent_pool::taskEnded(incarnation_id agent, batch_job_id job, bool failed)
{
    m_health.taskEnded(agent, healthKey(job), failed, m_member.now());
}

void agent_pool::orderSent(incarnation_id agent)
{
    m_health.orderSent(agent, m_member.now());
}

std::uint32_t agent_pool::outstandingTasks(const agent_view &agent,
                                           const placement_request &request)
{
    const run_ref first{{request.job, request.step, 0}, 0};
    std::uint32_t count = 0;
    for (auto run = agent.outstanding.lower_bound(first);
         run != agent.outstanding.end() && run->first.task.job == request.job &&
         run->first.task.step == request.step;
         ++run) {
        ++count;
    }
    return count;
}

bool agent_pool::isEligible(const agent_view &agent, const placement_request &request) const
{
    const auto &taskStep = *request.taskStep;
    return agent.service == request.service && usable(agent) &&
           m_health.usable(agent.incarnation, m_member.now()) &&
           taskStep.demand.fitsIn(agent.capacity) &&
           (taskStep.requiredLabel.empty() || hasLabel(agent, taskStep.requiredLabel)) &&
           (taskStep.maxTasksPerTarget == 0 ||
            outstandingTasks(agent, request) < taskStep.maxTasksPerTarget);
}

bool agent_pool::hasAgentWithFreeCapacity(const placement_request &request) const
{
    return std::ranges::any_of(m_agents, [&](const auto &item) {
        const auto &agent = item.second;
        return item.first != request.avoidedAgent && isEligible(agent, request) &&
               agent.slownessEstimate.slowness(m_member.now()) < slowTargetThreshold &&
               request.taskStep->demand.fitsIn(agent.capacity -
                                               agent.precedingDemand(request.priority));
    });
}

std::vector<placement_candidate> agent_pool::candidates(const placement_request &request)
{
    std::vector<placement_candidate> found;
    const auto now = m_member.now();
    for (auto &[incarnation, agent] : m_agents) {
        if (!isEligible(agent, request)) {
            continue;
        }
        const auto slowness = agent.slownessEstimate.slowness(now);
        if (slowness > std::max(request.maxSlowness, slowTargetThreshold)) {
            continue;
        }
        const auto &label = request.taskStep->preferredLabel;
        const bool preferred = !label.empty() && hasLabel(agent, label);
        found.push_back({&agent, agent.precedingDemand(request.priority), slowness,
                         preferred ? preferredLabelWeight : 1.0, outstandingTasks(agent, request)});
    }
    return found;
}

agent_view *agent_pool::choose(std::vector<placement_candidate> &candidates,
                               const placement_request &request)
{
    auto *const chosen = selectCandidate(candidates, request);
    if (chosen == nullptr) {
        return nullptr;
    }
    chosen->precedingDemand += request.taskStep->demand;
    ++chosen->tasks;
    return chosen->agent;
}

placement_candidate *agent_pool::selectCandidate(std::vector<placement_candidate> &candidates,
                                                 const placement_request &request)
{
    std::vector<std::pair<placement_candidate *, double>> withCapacity;
    double weights = 0;
    placement_candidate *fallback = nullptr;
    double fallbackCost = 0;
    const auto &taskStep = *request.taskStep;
    for (auto &candidate : candidates) {
        if (taskStep.maxTasksPerTarget != 0 && candidate.tasks >= taskStep.maxTasksPerTarget) {
            continue;
        }
        const auto &agent = *candidate.agent;
        const auto free = agent.capacity - candidate.precedingDemand;
        if (taskStep.demand.fitsIn(free) && agent.incarnation != request.avoidedAgent &&
            candidate.slowness < slowTargetThreshold) {
            const auto weight = static_cast<double>(std::max<std::uint64_t>(1, free.cpuMillis)) *
                                candidate.preference / (candidate.slowness * candidate.slowness);
            withCapacity.emplace_back(&candidate, weight);
            weights += weight;
            continue;
        }
        auto extended = agent.capacity;
        extended.cpuMillis += extended.cpuMillis * entryQueuePercent / percent;
        const auto queueSpace = extended - candidate.precedingDemand;
        const auto cost = candidate.slowness /
                          static_cast<double>(std::max<std::uint64_t>(1, queueSpace.cpuMillis));
        if (taskStep.demand.fitsIn(queueSpace) && (fallback == nullptr || cost < fallbackCost)) {
            fallbackCost = cost;
            fallback = &candidate;
        }
    }
    if (withCapacity.empty()) {
        return fallback;
    }
    auto draw = std::uniform_real_distribution<double>{0, weights}(m_random);
    for (const auto &[candidate, weight] : withCapacity) {
        if (draw < weight) {
            return candidate;
        }
        draw -= weight;
    }
    return withCapacity.back().first;
}

std::size_t agent_pool::usableAgents(std::string_view service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_agents, [&](const auto &agent) {
        return agent.second.service == service && usable(agent.second);
    }));
}

resources agent_pool::capacity(std::string_view service) const
{
    resources sum;
    for (const auto &[incarnation, agent] : m_agents) {
        if (agent.service == service && usable(agent)) {
            sum += agent.capacity;
        }
    }
    return sum;
}

} // namespace bamboohead
