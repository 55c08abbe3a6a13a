#include "bamboohead/dispatch/agent_pool.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration maxEchoAge = 1s; ///< oldest timestamp echo of an agent that may receive orders
/// Oldest timestamp echo of an agent outside the working set that may be added to it.
constexpr duration maxStandbyEchoAge = 7s;
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
/// Weight factor of agents that already receive an order of the same pass for the step. A message
/// carries the job's spec once for all its tasks, so a wide job that is spread over many agents
/// occupies a slow link for longer than its tasks may take to run.
constexpr double sharedMessageWeight = 16;
constexpr int meanRunTimeTasks = 100; ///< the mean run time averages about this many tasks
/// Currency of a report below which an agent without free capacity in it may be probed.
constexpr double probeCurrency = 0.6;

/// Converts a job id to the form that target_health uses. That form contains the caller's session,
/// which stays empty here because a batch job has none.
job_id healthKey(batch_job_id job)
{
    return job_id{{}, static_cast<std::uint64_t>(job)};
}

/// Capacity of an agent including the queue space that an entry uses.
resources capacityWithQueue(const agent_view &agent)
{
    auto capacity = agent.capacity;
    capacity.cpuMillis += capacity.cpuMillis * entryQueuePercent / percent;
    return capacity;
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

resources agent_view::ownDemand() const
{
    resources sum;
    for (const auto &[ref, run] : outstanding) {
        sum += run.demand;
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
    return available(agent) && m_member.links().alive(agent.incarnation, maxEchoAge);
}

bool agent_pool::available(const agent_view &agent) const
{
    return agent.ready && !agent.replaced && m_member.now() >= agent.noOrdersUntil &&
           !m_member.config().zoneOutOfService(agent.zone) &&
           m_member.links().alive(agent.incarnation,
                                  inWorkingSet(agent) ? maxEchoAge : maxStandbyEchoAge);
}

bool agent_pool::inWorkingSet(const agent_view &agent) const
{
    const auto found = m_workingSets.find(agent.service);
    return found == m_workingSets.end() || found->second.contains(agent.incarnation);
}

void agent_pool::updateWorkingSets()
{
    std::map<std::string_view, std::vector<incarnation_id>> candidates;
    std::set<incarnation_id> busy;
    for (const auto &[incarnation, agent] : m_agents) {
        const bool alive = m_member.links().alive(incarnation, maxStandbyEchoAge);
        if (agent.ready && alive && !m_member.config().zoneOutOfService(agent.zone)) {
            candidates[agent.service].push_back(incarnation);
        }
        if (!agent.outstanding.empty()) {
            busy.insert(incarnation);
        }
    }
    for (const auto &[service, agents] : candidates) {
        if (!m_workingSets.contains(service)) {
            m_workingSets.emplace(service, working_set{m_random(), m_workingSetLimits});
        }
    }
    for (auto &[service, set] : m_workingSets) {
        set.update(candidates[service], busy, m_member.now());
    }
}

void agent_pool::addLabelledAgents(const placement_request &request)
{
    const auto set = m_workingSets.find(request.service);
    const auto &label = request.taskStep->requiredLabel.empty() ? request.taskStep->preferredLabel
                                                                : request.taskStep->requiredLabel;
    if (set == m_workingSets.end() || label.empty()) {
        return;
    }
    for (const auto &[incarnation, agent] : m_agents) {
        if (agent.service == request.service && available(agent) && hasLabel(agent, label)) {
            set->second.add(incarnation);
        }
    }
}

void agent_pool::taskEnded(incarnation_id agent, batch_job_id job, bool failed)
{
    m_health.taskEnded(agent, healthKey(job), failed, m_member.now());
}

void agent_pool::orderSent(incarnation_id agent)
{
    m_health.orderSent(agent, m_member.now());
}

void agent_pool::observeRunTime(duration runTime)
{
    m_meanRunTime += (runTime - m_meanRunTime) / meanRunTimeTasks;
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

bool agent_pool::allowedByStep(const agent_view &agent, const placement_request &request)
{
    const auto &taskStep = *request.taskStep;
    return (taskStep.requiredLabel.empty() || hasLabel(agent, taskStep.requiredLabel)) &&
           (taskStep.maxTasksPerTarget == 0 ||
            outstandingTasks(agent, request) < taskStep.maxTasksPerTarget);
}

bool agent_pool::isEligible(const agent_view &agent, const placement_request &request) const
{
    return agent.service == request.service && inWorkingSet(agent) && usable(agent) &&
           m_health.usable(agent.incarnation, m_member.now()) &&
           request.taskStep->demand.fitsIn(agent.capacity) && allowedByStep(agent, request);
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
    addLabelledAgents(request);
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
        const auto age = static_cast<double>((now - agent.lastReport).count());
        const auto currency = std::exp(-age / static_cast<double>(m_meanRunTime.count()));
        found.push_back({&agent, agent.precedingDemand(request.priority), currency, slowness,
                         preferred ? preferredLabelWeight : 1.0, outstandingTasks(agent, request)});
    }
    estimateLoads(found);
    return found;
}

void agent_pool::estimateLoads(std::vector<placement_candidate> &candidates) const
{
    double running = 0;
    double capacity = 0;
    for (const auto &candidate : candidates) {
        running += static_cast<double>(candidate.agent->running.cpuMillis);
        capacity += static_cast<double>(candidate.agent->capacity.cpuMillis);
    }
    const auto meanLoad = running / std::max(1.0, capacity);
    for (auto &candidate : candidates) {
        const auto own = candidate.agent->ownDemand().cpuMillis;
        auto &demand = candidate.precedingDemand.cpuMillis;
        if (demand <= own) {
            continue;
        }
        const auto others = static_cast<double>(demand - own);
        const auto expected = meanLoad * static_cast<double>(candidate.agent->capacity.cpuMillis);
        const auto estimate = others * candidate.currency + expected * (1.0 - candidate.currency);
        demand = own + static_cast<std::uint64_t>(std::min(others, estimate));
    }
}

chosen_agent agent_pool::choose(std::vector<placement_candidate> &candidates,
                                const placement_request &request)
{
    const auto chosen = selectCandidate(candidates, request);
    const auto set = m_workingSets.find(request.service);
    if (!chosen.free && set != m_workingSets.end()) {
        set->second.reportShortage();
    }
    if (chosen.candidate == nullptr) {
        return {};
    }
    chosen.candidate->addTask(request.taskStep->demand);
    return {chosen.candidate->agent, chosen.free};
}

chosen_agent agent_pool::chooseAgentOf(std::string_view target,
                                       std::optional<std::vector<placement_candidate>> &found,
                                       const placement_request &request)
{
    if (target.empty()) {
        return {};
    }
    const auto &demand = request.taskStep->demand;
    const auto set = m_workingSets.find(request.service);
    for (auto &[incarnation, agent] : m_agents) {
        if (agent.target != target || agent.service != request.service || !available(agent)) {
            continue;
        }
        if (set != m_workingSets.end()) {
            set->second.add(incarnation);
        }
        if (!usable(agent) || !allowedByStep(agent, request)) {
            continue;
        }
        placement_candidate *candidate = nullptr;
        if (found) {
            const auto position = std::ranges::find(*found, &agent, &placement_candidate::agent);
            candidate = position == found->end() ? nullptr : &*position;
        }
        const auto preceding = candidate == nullptr ? agent.precedingDemand(request.priority)
                                                    : candidate->precedingDemand;
        if (!demand.fitsIn(capacityWithQueue(agent) - preceding)) {
            continue;
        }
        const bool free = demand.fitsIn(agent.capacity - preceding);
        if (candidate != nullptr) {
            candidate->addTask(demand);
        }
        return {&agent, free};
    }
    return {};
}

agent_pool::selection agent_pool::selectCandidate(std::vector<placement_candidate> &candidates,
                                                  const placement_request &request)
{
    std::vector<std::pair<placement_candidate *, double>> withCapacity;
    std::vector<placement_candidate *> withOldReport;
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
                                candidate.preference *
                                (candidate.chosen ? sharedMessageWeight : 1.0) /
                                (candidate.slowness * candidate.slowness);
            withCapacity.emplace_back(&candidate, weight);
            weights += weight;
            continue;
        }
        if (request.mayProbe && candidate.currency < probeCurrency &&
            agent.incarnation != request.avoidedAgent && candidate.slowness < slowTargetThreshold &&
            (candidate.agent->ownDemand() + taskStep.demand).fitsIn(agent.capacity)) {
            withOldReport.push_back(&candidate);
        }
        const auto queueSpace = capacityWithQueue(agent) - candidate.precedingDemand;
        const auto cost = candidate.slowness /
                          static_cast<double>(std::max<std::uint64_t>(1, queueSpace.cpuMillis));
        if (taskStep.demand.fitsIn(queueSpace) && (fallback == nullptr || cost < fallbackCost)) {
            fallbackCost = cost;
            fallback = &candidate;
        }
    }
    if (withCapacity.empty() && !withOldReport.empty()) {
        auto index = std::uniform_int_distribution<std::size_t>{0, withOldReport.size() - 1};
        return {withOldReport[index(m_random)], true};
    }
    if (withCapacity.empty()) {
        return {fallback, false};
    }
    auto draw = std::uniform_real_distribution<double>{0, weights}(m_random);
    for (const auto &[candidate, weight] : withCapacity) {
        if (draw < weight) {
            return {candidate, true};
        }
        draw -= weight;
    }
    return {withCapacity.back().first, true};
}

std::size_t agent_pool::usableAgents(std::string_view service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_agents, [&](const auto &agent) {
        return agent.second.service == service && available(agent.second);
    }));
}

resources agent_pool::capacity(std::string_view service) const
{
    resources sum;
    for (const auto &[incarnation, agent] : m_agents) {
        if (agent.service == service && available(agent)) {
            sum += agent.capacity;
        }
    }
    return sum;
}

} // namespace bamboohead
