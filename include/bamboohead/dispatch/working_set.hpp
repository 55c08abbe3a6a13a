#pragma once

#include "bamboohead/types.hpp"

#include <cstddef>
#include <random>
#include <set>
#include <vector>

namespace bamboohead {

/// @brief Sizes and intervals of a working_set.
struct working_set_limits
{
    /// Size without a shortage. Fleets of up to this size are used as a whole.
    std::size_t minAgents = 48;
    /// Largest size, which bounds the control traffic of an entry in fleets of any size.
    std::size_t maxAgents = 256;
    std::size_t growthPercent = 50; ///< growth after a shortage, in percent of the size
    /// Time between two growths. An agent that was added needs one round trip until it can be used.
    duration growthInterval = std::chrono::milliseconds{50};
    duration shrinkDelay = std::chrono::seconds{3}; ///< time without a shortage before shrinking
    std::size_t shrinkPercent = 10;                 ///< per `rotationInterval`, in percent
    /// Interval at which one agent is replaced by another one, so that no agent stays known to
    /// fewer entries than the others.
    duration rotationInterval = std::chrono::seconds{1};
};

/// @brief The agents of a service with which an entry exchanges heartbeats at the normal interval
///        and on which it places tasks.
///
/// With all agents, the control traffic of the fleet would grow with the product of the numbers of
/// entries and agents. Each entry chooses its agents at random, so that each agent is used by about
/// the same number of entries, and adds agents while it lacks free capacity.
class working_set
{
public:
    /// @param seed Seed of the random choices.
    explicit working_set(std::uint64_t seed, working_set_limits limits = {})
        : m_limits{limits}
        , m_random{seed}
    {}

    /// @brief Reports that a task found no agent with free capacity; takes effect in update().
    void reportShortage() noexcept { m_shortage = true; }

    /// @brief Adapts the set: removes agents that are not available, grows after a shortage,
    ///        shrinks when there was none for some time, and rotates.
    /// @param available Agents that may get tasks, without duplicates.
    /// @param busy Agents with runs of this entry; they are not removed while they are available.
    void update(const std::vector<incarnation_id> &available, const std::set<incarnation_id> &busy,
                time_point now);

    /// @brief Adds an agent that a task needs, for example because of its label, unless the set has
    ///        reached its largest size.
    void add(incarnation_id agent);

    [[nodiscard]] bool contains(incarnation_id agent) const { return m_agents.contains(agent); }
    [[nodiscard]] std::size_t size() const noexcept { return m_agents.size(); }

private:
    void addRandom(const std::vector<incarnation_id> &available, std::size_t count);
    void removeRandom(const std::set<incarnation_id> &busy, std::size_t count);

    working_set_limits m_limits;
    std::mt19937_64 m_random;
    std::set<incarnation_id> m_agents;
    bool m_shortage = false;
    time_point m_lastShortage;
    time_point m_lastGrowth;
    time_point m_lastRotation;
};

} // namespace bamboohead
