#include "bamboohead/dispatch/agent_assignment.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration minInterval = 500ms; ///< the demand is averaged over half a second
/// Time between two updates for each pair of an agent and an entry. One pair takes about 20 ns, so
/// that the updates take 2% of a core at most.
constexpr duration intervalPerPair = 1us;
constexpr double newDemandWeight = 0.3; ///< of the newest demand in the smoothed one
/// Weight of an entry without work, as a part of the mean: it needs agents when work arrives.
constexpr double idleWeight = 0.1;

/// Exponentially distributed number with the mean 1, the same in every process.
double draw(incarnation_id agent, incarnation_id entry)
{
    const std::array words{static_cast<std::uint64_t>(agent), static_cast<std::uint64_t>(entry)};
    constexpr double range = 18'446'744'073'709'551'616.0; // 2^64
    const auto uniform =
            (static_cast<double>(XXH3_64bits(words.data(), sizeof(words))) + 1) / range;
    return -std::log(std::min(uniform, 1.0 - 1e-12));
}

} // namespace

void agent_assignment::update(const std::vector<incarnation_id> &agents,
                              const std::map<incarnation_id, double> &demand, time_point now)
{
    if (now < m_nextUpdate) {
        return;
    }
    m_nextUpdate = now + std::max<duration>(minInterval, intervalPerPair * std::ssize(agents) *
                                                                 std::ssize(demand));
    std::erase_if(m_weights, [&](const auto &entry) { return !demand.contains(entry.first); });
    double sum = 0;
    for (const auto &[entry, work] : demand) {
        auto &weight = m_weights.try_emplace(entry, work).first->second;
        weight += newDemandWeight * (work - weight);
        sum += weight;
    }
    const auto least =
            std::max(1.0, sum / static_cast<double>(std::max<std::size_t>(1, m_weights.size()))) *
            idleWeight;
    // With few agents for each entry, the random draws alone would differ much from the demand.
    std::map<incarnation_id, double> quotas;
    double weights = 0;
    for (const auto &[entry, weight] : m_weights) {
        weights += quotas[entry] = std::max(weight, least);
    }
    for (auto &[entry, quota] : quotas) {
        quota = std::ceil(quota / weights * static_cast<double>(agents.size()));
    }
    m_agents.clear();
    for (const auto agent : agents) {
        auto owner = incarnation_id::none;
        double lowest = 0;
        for (const auto &[entry, weight] : m_weights) {
            const auto score = draw(agent, entry) / std::max(weight, least);
            if (quotas[entry] >= 1 && (owner == incarnation_id::none || score < lowest)) {
                lowest = score;
                owner = entry;
            }
        }
        --quotas[owner];
        if (owner == m_self) {
            m_agents.insert(agent);
        }
    }
}

} // namespace bamboohead
