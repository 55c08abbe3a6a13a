#include "bamboohead/dispatch/working_set.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bamboohead {

namespace {

constexpr std::size_t percent = 100;

} // namespace

void working_set::update(const std::vector<incarnation_id> &available,
                         const std::set<incarnation_id> &busy, time_point now)
{
    const std::set<incarnation_id> known{available.begin(), available.end()};
    std::erase_if(m_agents, [&](incarnation_id agent) { return !known.contains(agent); });
    if (std::exchange(m_shortage, false)) {
        m_lastShortage = now;
        if (now - m_lastGrowth >= m_limits.growthInterval) {
            m_lastGrowth = now;
            const auto size = m_agents.size() + m_agents.size() * m_limits.growthPercent / percent;
            addRandom(available, std::min(size, m_limits.maxAgents));
        }
    }
    addRandom(available, m_limits.minAgents);
    if (now - m_lastRotation < m_limits.rotationInterval) {
        return;
    }
    m_lastRotation = now;
    const auto size = m_agents.size();
    if (size > m_limits.minAgents && now - m_lastShortage >= m_limits.shrinkDelay) {
        removeRandom(busy, std::min(size - m_limits.minAgents,
                                    size * m_limits.shrinkPercent / percent + 1));
    } else if (size < known.size()) {
        removeRandom(busy, 1);
        addRandom(available, size);
    }
}

void working_set::add(incarnation_id agent)
{
    if (m_agents.size() < m_limits.maxAgents) {
        m_agents.insert(agent);
    }
}

/// Adds random agents until the set has `count`, or all available ones.
void working_set::addRandom(const std::vector<incarnation_id> &available, std::size_t count)
{
    if (m_agents.size() >= std::min(count, available.size())) {
        return;
    }
    std::vector<incarnation_id> others;
    std::ranges::copy_if(available, std::back_inserter(others),
                         [&](incarnation_id agent) { return !m_agents.contains(agent); });
    std::ranges::shuffle(others, m_random);
    const auto missing = std::min(count - m_agents.size(), others.size());
    m_agents.insert(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(missing));
}

void working_set::removeRandom(const std::set<incarnation_id> &busy, std::size_t count)
{
    std::vector<incarnation_id> idle;
    std::ranges::set_difference(m_agents, busy, std::back_inserter(idle));
    std::ranges::shuffle(idle, m_random);
    for (std::size_t index = 0; index < std::min(count, idle.size()); ++index) {
        m_agents.erase(idle[index]);
    }
}

} // namespace bamboohead
