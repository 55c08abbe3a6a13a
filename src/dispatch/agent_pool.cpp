#include "bamboohead/dispatch/agent_pool.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration usableLimit = 1s; ///< an agent has to have echoed a stamp of this age
/// Part of an agent's capacity that may wait in its queue, in percent; less than the agent accepts,
/// because other entries use it too.
constexpr std::uint64_t queuePercent = 12;
constexpr std::uint64_t percent = 100;
constexpr std::uint64_t preferredWeight = 4; ///< of targets near the data

bool hasLabel(const agent_view &agent, const std::string &label)
{
    return std::ranges::find(agent.labels, label) != agent.labels.end();
}

} // namespace

resources agent_view::unseen() const
{
    resources sum;
    for (const auto &[ref, run] : outstanding) {
        if (run.orderNumber > ordersHandled) {
            sum += run.demand;
        }
    }
    return sum;
}

agent_view *agent_pool::find(incarnation_id agent)
{
    const auto found = m_agents.find(agent);
    return found == m_agents.end() ? nullptr : &found->second;
}

bool agent_pool::usable(const agent_view &agent) const
{
    return agent.ready && m_member.now() >= agent.fullUntil &&
           !m_member.config().zoneOut(agent.zone) &&
           m_member.links().alive(agent.incarnation, usableLimit);
}

std::uint32_t agent_pool::tasksOf(const agent_view &agent, const placement_request &request)
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

bool agent_pool::fits(const agent_view &agent, const placement_request &request) const
{
    const auto &work = *request.work;
    return agent.service == request.service && usable(agent) &&
           work.demand.fitsIn(agent.capacity) &&
           (work.requiredLabel.empty() || hasLabel(agent, work.requiredLabel)) &&
           (work.mostPerTarget == 0 || tasksOf(agent, request) < work.mostPerTarget);
}

agent_view *agent_pool::choose(const placement_request &request)
{
    std::vector<std::pair<agent_view *, std::uint64_t>> idle;
    std::uint64_t weights = 0;
    agent_view *queued = nullptr;
    std::uint64_t mostRoom = 0;
    const auto &demand = request.work->demand;
    for (auto &[incarnation, agent] : m_agents) {
        if (!fits(agent, request)) {
            continue;
        }
        const auto used = agent.committed + agent.unseen();
        const auto free = agent.capacity - used;
        const bool avoided = incarnation == request.avoid;
        if (demand.fitsIn(free) && !avoided) {
            const auto &label = request.work->preferredLabel;
            const auto factor = !label.empty() && hasLabel(agent, label) ? preferredWeight : 1;
            const auto weight = std::max<std::uint64_t>(1, free.cpuMillis * factor);
            idle.emplace_back(&agent, weight);
            weights += weight;
            continue;
        }
        auto extended = agent.capacity;
        extended.cpuMillis += extended.cpuMillis * queuePercent / percent;
        const auto room = extended - used;
        if (demand.fitsIn(room) && room.cpuMillis > mostRoom) {
            mostRoom = room.cpuMillis;
            queued = &agent;
        }
    }
    if (idle.empty()) {
        return queued;
    }
    auto pick = std::uniform_int_distribution<std::uint64_t>{0, weights - 1}(m_random);
    for (const auto &[agent, weight] : idle) {
        if (pick < weight) {
            return agent;
        }
        pick -= weight;
    }
    return idle.back().first;
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
