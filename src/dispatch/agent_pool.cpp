#include "bamboohead/dispatch/agent_pool.hpp"

#include "bamboohead/dispatch/wait_policy.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
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
/// Weight factor of targets on which a task would miss its objective if it took longer than
/// expected by its mean deviation.
constexpr double unsafeTargetWeight = 0.1;
constexpr std::array<std::string_view, 6> reasonNames{"free", "probe",    "queue",
                                                      "near", "assigned", "slow"};

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

std::string_view toText(placement_reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

resources agent_view::reportedDemand(std::uint32_t priority) const
{
    auto sum = running;
    for (auto each = queued.begin(); each != queued.end() && each->first <= priority; ++each) {
        sum += each->second;
    }
    return sum;
}

duration agent_view::reportedWait(std::uint32_t priority) const
{
    const auto after = queueWaits.upper_bound(priority);
    return after == queueWaits.begin() ? roomWait : std::prev(after)->second;
}

resources agent_view::precedingDemand(std::uint32_t priority) const
{
    auto sum = reportedDemand(priority);
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
    if (m_options.lastingSpeeds) {
        updateSpeedFactors();
    }
}

void agent_pool::updateAssignments(
        const std::map<std::string_view, std::map<incarnation_id, double>> &demand)
{
    std::map<std::string_view, std::vector<incarnation_id>> agents;
    for (const auto &[incarnation, agent] : m_agents) {
        if (available(agent)) {
            agents[agent.service].push_back(incarnation);
        }
    }
    for (const auto &[service, entries] : demand) {
        auto assignment = m_assignments.find(service);
        if (assignment == m_assignments.end()) {
            assignment =
                    m_assignments.emplace(service, agent_assignment{m_member.self().incarnation})
                            .first;
        }
        assignment->second.update(agents[service], entries, m_member.now());
        if (const auto set = m_workingSets.find(service); set != m_workingSets.end()) {
            for (const auto agent : assignment->second.agents()) {
                set->second.add(agent);
            }
        }
    }
}

void agent_pool::updateSpeedFactors()
{
    std::map<std::string_view, std::pair<double, int>> sums; // of the known ratios, by service
    for (const auto &[incarnation, agent] : m_agents) {
        if (agent.lastingSlowness > 0) {
            auto &[sum, count] = sums[agent.service];
            sum += agent.lastingSlowness;
            ++count;
        }
    }
    for (auto &[incarnation, agent] : m_agents) {
        const auto found = sums.find(agent.service);
        agent.speedFactor =
                agent.lastingSlowness > 0
                        ? agent.lastingSlowness * found->second.second / found->second.first
                        : 1.0;
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
               agent.slowness(m_member.now()) < slowTargetThreshold &&
               request.taskStep->demand.fitsIn(agent.capacity -
                                               agent.precedingDemand(request.priority));
    });
}

std::vector<placement_candidate> agent_pool::candidates(const placement_request &request)
{
    addLabelledAgents(request);
    std::vector<placement_candidate> found;
    const auto now = m_member.now();
    const auto assignment = m_assignments.find(request.service);
    for (auto &[incarnation, agent] : m_agents) {
        if (!isEligible(agent, request)) {
            continue;
        }
        const auto slowness = agent.slowness(now);
        if (slowness > std::max(request.maxSlowness, slowTargetThreshold)) {
            continue;
        }
        const auto &label = request.taskStep->preferredLabel;
        const bool preferred = !label.empty() && hasLabel(agent, label);
        const auto age = static_cast<double>((now - agent.lastReport).count());
        const auto currency = std::exp(-age / static_cast<double>(m_meanRunTime.count()));
        found.push_back(
                {&agent, agent.precedingDemand(request.priority), currency, slowness,
                 preferred ? preferredLabelWeight : 1.0, outstandingTasks(agent, request), false,
                 preferred,
                 assignment != m_assignments.end() && assignment->second.contains(incarnation)});
    }
    estimateLoads(found);
    return found;
}

void agent_pool::estimateLoads(std::vector<placement_candidate> &candidates) const
{
    double load = 0;
    double capacity = 0;
    for (const auto &candidate : candidates) {
        // Without forecasts, no run is expected to wait at an agent for long.
        load += static_cast<double>(m_options.forecasts ? candidate.precedingDemand.cpuMillis
                                                        : candidate.agent->running.cpuMillis);
        capacity += static_cast<double>(candidate.agent->capacity.cpuMillis);
    }
    const auto meanLoad = load / std::max(1.0, capacity);
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
    return {chosen.candidate->agent, chosen.free, chosen.maxWait, chosen.expectedWait,
            chosen.reason};
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

double agent_pool::weightOf(const placement_candidate &candidate,
                            const placement_request &request) const
{
    const auto free = candidate.agent->capacity - candidate.precedingDemand;
    auto weight = static_cast<double>(std::max<std::uint64_t>(1, free.cpuMillis)) *
                  candidate.preference * (candidate.chosen ? sharedMessageWeight : 1.0) /
                  (candidate.slowness * candidate.slowness);
    if (m_options.lastingSpeeds &&
        candidate.slowness * (1.0 + request.deviation) > request.maxSlowness) {
        weight *= unsafeTargetWeight;
    }
    return weight;
}

placement_candidate *agent_pool::chooseWeighted(const weighted_candidates &candidates)
{
    double weights = 0;
    for (const auto &[candidate, weight] : candidates) {
        weights += weight;
    }
    auto draw = std::uniform_real_distribution<double>{0, weights}(m_random);
    for (const auto &[candidate, weight] : candidates) {
        if (draw < weight) {
            return candidate;
        }
        draw -= weight;
    }
    return candidates.back().first;
}

duration agent_pool::estimateWait(const placement_candidate &candidate,
                                  const placement_request &request) const
{
    const auto &agent = *candidate.agent;
    const auto &demand = request.taskStep->demand;
    if ((candidate.precedingDemand + demand).fitsIn(agent.capacity)) {
        return {};
    }
    const auto reported = agent.reportedDemand(request.priority);
    const auto drainTime = [&](const resources &amount) {
        // A full target becomes free once in its mean run time.
        const auto part = std::max(
                static_cast<double>(amount.cpuMillis) /
                        static_cast<double>(std::max<std::uint64_t>(1, agent.capacity.cpuMillis)),
                static_cast<double>(amount.memoryMb) /
                        static_cast<double>(std::max<std::uint64_t>(1, agent.capacity.memoryMb)));
        return duration{static_cast<duration::rep>(
                part * static_cast<double>(m_meanRunTime.count()) * candidate.slowness)};
    };
    if ((reported + demand).fitsIn(agent.capacity)) {
        // Orders after the report use the capacity. Also a small excess takes the end of a run.
        return drainTime(candidate.precedingDemand + demand + demand - agent.capacity);
    }
    const auto age = m_member.now() - agent.lastReport;
    return std::max(duration{}, agent.reportedWait(request.priority) - age) +
           drainTime(candidate.precedingDemand - reported);
}

bool agent_pool::hasReserve(const placement_candidate &candidate, const placement_request &request)
{
    const auto &demand = request.taskStep->demand;
    return candidate.precedingDemand == resources{} ||
           (demand + demand).fitsIn(candidate.agent->capacity - candidate.precedingDemand);
}

bool agent_pool::mayWaitAt(const placement_candidate &candidate, const placement_request &request)
{
    const auto &taskStep = *request.taskStep;
    return (taskStep.maxTasksPerTarget == 0 || candidate.tasks < taskStep.maxTasksPerTarget) &&
           candidate.agent->incarnation != request.avoidedAgent &&
           candidate.slowness < slowTargetThreshold;
}

agent_pool::selection agent_pool::selectForWait(std::vector<placement_candidate> &candidates,
                                                const placement_request &request) const
{
    std::vector<placement_candidate *> possible;
    for (auto &candidate : candidates) {
        // What this entry knows of its own agents is recent.
        if (mayWaitAt(candidate, request) && candidate.assigned) {
            possible.push_back(&candidate);
        }
    }
    if (possible.empty()) {
        return {};
    }
    const auto shortest = std::ranges::min_element(
            possible, {}, [&](const auto *candidate) { return estimateWait(*candidate, request); });
    // The agent expects another wait than this entry: its limit is twice as long, so that it does
    // not refuse for the difference.
    const auto wait = estimateWait(**shortest, request);
    return wait > request.patience ? selection{}
                                   : selection{*shortest, true, request.patience * 2, wait,
                                               placement_reason::queue};
}

agent_pool::selection agent_pool::selectNear(std::vector<placement_candidate> &candidates,
                                             const placement_request &request, bool anyFree) const
{
    selection nearest;
    nearest.expectedWait = duration::max();
    auto waitElsewhere = anyFree ? duration{} : duration::max();
    for (auto &candidate : candidates) {
        if (!mayWaitAt(candidate, request)) {
            continue;
        }
        const auto wait = estimateWait(candidate, request);
        if (!candidate.preferred) {
            waitElsewhere = std::min(waitElsewhere, wait);
        } else if (wait < nearest.expectedWait) {
            nearest = {&candidate, true, {}, wait, placement_reason::near};
        }
    }
    if (nearest.candidate == nullptr) {
        return {};
    }
    nearest.maxWait = waitElsewhere == duration::max()
                              ? request.patience
                              : longestWaitNear({request.runTime, m_options.distanceFactor,
                                                 request.deviation, waitElsewhere});
    return nearest.expectedWait <= nearest.maxWait ? nearest : selection{};
}

agent_pool::sorted_candidates
agent_pool::sortCandidates(std::vector<placement_candidate> &candidates,
                           const placement_request &request) const
{
    sorted_candidates sorted;
    double fallbackCost = 0;
    const auto &taskStep = *request.taskStep;
    for (auto &candidate : candidates) {
        if (taskStep.maxTasksPerTarget != 0 && candidate.tasks >= taskStep.maxTasksPerTarget) {
            continue;
        }
        const auto &agent = *candidate.agent;
        const bool free = taskStep.demand.fitsIn(agent.capacity - candidate.precedingDemand) &&
                          agent.incarnation != request.avoidedAgent;
        if (free && candidate.slowness >= slowTargetThreshold &&
            (sorted.slowFree == nullptr || candidate.slowness < sorted.slowFree->slowness)) {
            sorted.slowFree = &candidate;
        }
        if (free && candidate.slowness < slowTargetThreshold) {
            const std::pair weighted{&candidate, weightOf(candidate, request)};
            if (candidate.preferred) {
                sorted.nearFree.push_back(weighted);
            }
            if (candidate.assigned) {
                sorted.assignedFree.push_back(weighted);
            }
            if (!m_options.forecasts || hasReserve(candidate, request)) {
                sorted.free.push_back(weighted);
            }
            continue;
        }
        if (request.mayProbe && candidate.currency < probeCurrency &&
            agent.incarnation != request.avoidedAgent && candidate.slowness < slowTargetThreshold &&
            (candidate.agent->ownDemand() + taskStep.demand).fitsIn(agent.capacity)) {
            sorted.withOldReport.push_back(&candidate);
        }
        const auto queueSpace = capacityWithQueue(agent) - candidate.precedingDemand;
        const auto cost = candidate.slowness /
                          static_cast<double>(std::max<std::uint64_t>(1, queueSpace.cpuMillis));
        if (taskStep.demand.fitsIn(queueSpace) &&
            (sorted.fallback == nullptr || cost < fallbackCost)) {
            fallbackCost = cost;
            sorted.fallback = &candidate;
        }
    }
    return sorted;
}

agent_pool::selection agent_pool::selectWithoutFree(std::vector<placement_candidate> &candidates,
                                                    const sorted_candidates &sorted,
                                                    const placement_request &request) const
{
    const auto waiting = selectForWait(candidates, request);
    auto *const slow = sorted.free.empty() ? sorted.slowFree : nullptr;
    if (slow == nullptr) {
        return waiting;
    }
    const std::chrono::duration<double, duration::period> runTime{request.runTime};
    const bool waitEndsEarlier = waiting.candidate != nullptr &&
                                 waiting.expectedWait + runTime < runTime * slow->slowness;
    return waitEndsEarlier ? waiting
                           : selection{slow, true, request.patience, {}, placement_reason::slow};
}

agent_pool::selection agent_pool::selectCandidate(std::vector<placement_candidate> &candidates,
                                                  const placement_request &request)
{
    const auto sorted = sortCandidates(candidates, request);
    const auto maxWait = m_options.forecasts ? request.patience : duration{};
    if (m_options.distanceFactor > 1 && !request.taskStep->preferredLabel.empty() &&
        request.mayProbe) {
        if (!sorted.nearFree.empty()) {
            return {chooseWeighted(sorted.nearFree), true, maxWait, {}, placement_reason::free};
        }
        if (const auto nearest = selectNear(candidates, request, !sorted.free.empty());
            nearest.candidate != nullptr) {
            return nearest;
        }
    }
    if (m_options.forecasts && !sorted.assignedFree.empty()) {
        return {chooseWeighted(sorted.assignedFree), true, maxWait, {}, placement_reason::assigned};
    }
    if (m_options.forecasts && request.mayProbe) {
        if (const auto chosen = selectWithoutFree(candidates, sorted, request);
            chosen.candidate != nullptr || sorted.free.empty()) {
            return chosen;
        }
    }
    if (!sorted.free.empty()) {
        return {chooseWeighted(sorted.free), true, maxWait, {}, placement_reason::free};
    }
    if (!sorted.withOldReport.empty()) {
        auto index = std::uniform_int_distribution<std::size_t>{0, sorted.withOldReport.size() - 1};
        return {sorted.withOldReport[index(m_random)], true, {}, {}, placement_reason::probe};
    }
    return {sorted.fallback, false, {}, {}, placement_reason::queue};
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
