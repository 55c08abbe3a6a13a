#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief How an entry chooses the agent for a task.
///
/// `credits` is the policy for production. `random` (any usable agent) and `two_choices` (the less
/// loaded of two random agents) only serve as baselines in measurements.
enum class placement_policy : std::uint8_t { credits, random, two_choices };

/// @brief Name of a policy as written in the settings.
[[nodiscard]] std::string_view toText(placement_policy policy) noexcept;
/// @brief Parses a policy name from the settings.
/// @return The policy, or nothing when no policy has this name.
[[nodiscard]] std::optional<placement_policy> parsePlacementPolicy(std::string_view name) noexcept;

/// @brief Capacity, load and credits that an agent reported.
struct agent_load
{
    std::string service;
    std::string zone;              ///< availability zone of the agent
    std::uint32_t slots = 0;       ///< tasks that the agent's target runs at once
    std::uint32_t running = 0;     ///< tasks of all entries that run at the agent
    std::uint32_t queued = 0;      ///< tasks of all entries that wait at the agent
    bool leaving = false;          ///< accepts no new tasks, for example while stopping
    std::uint64_t creditEpoch = 0; ///< the credit totals start again at 0 in each epoch
    std::uint64_t issuedTotal = 0; ///< credits issued to this entry since the start of the epoch
};

/// @brief The credits that an entry holds at each agent, and the choice of the agent for a task.
///
/// A start order, or order for short, is the message by which an entry instructs an agent to start
/// one task. A credit is an agent's permission to send it one start order (credit-based flow
/// control).
///
/// `issuedTotal` and `usedTotal` are cumulative within an epoch, so that the next message makes up
/// for a lost one. Returning a credit counts as using it.
class held_credits
{
public:
    /// @brief Credits that were used, as the entry reports them to the agent.
    struct usage
    {
        std::uint64_t epoch = 0;
        std::uint64_t usedTotal = 0; ///< credits used or returned since the start of the epoch
    };

    /// @param zone The entry's own zone; preferred among agents with equally many free slots.
    /// @param seed Seed of the random choices, which include tie-breaking.
    held_credits(placement_policy policy, std::string zone, std::uint64_t seed);
    ~held_credits();
    held_credits(held_credits &&) noexcept;

    /// @brief Applies a report of an agent. A report of an older epoch, or with a lower
    ///        `issuedTotal` in the same epoch, is outdated and ignored.
    void report(incarnation_id agent, const agent_load &load);
    /// @brief Drops an agent and its credits; does nothing for an unknown agent.
    void remove(incarnation_id agent);

    /// @brief Chooses an agent of the service for one start order and uses one of its credits.
    /// @param usable Whether an agent may be used now: it is reachable and not suspended, its zone
    ///        is in service, and it belongs to the scope of the job's home, that is, the backup
    ///        would fence it in a takeover.
    /// @return The agent, or nothing when no usable agent has an unused credit. The baselines need
    ///         no credits; their `usedTotal` may exceed `issuedTotal`.
    [[nodiscard]] std::optional<incarnation_id>
    take(std::string_view service, const std::function<bool(incarnation_id)> &usable);

    /// @brief Gives back all unused credits of an agent: counts them as used, which has to
    ///        be reported to the agent by sending usageOf().
    /// @return The number of credits given back; 0 for an unknown agent.
    std::uint64_t returnUnused(incarnation_id agent);

    /// @brief Credit counter to send to an agent; all zero for an unknown agent.
    [[nodiscard]] usage usageOf(incarnation_id agent) const;

    /// @brief Number of start orders that may be sent for a service: the unused credits at all
    ///        agents that are not leaving. For the baselines a large number if there is such an
    ///        agent, else 0.
    [[nodiscard]] std::uint64_t availableOrders(std::string_view service) const;

    /// @brief Slots of a service at all agents that are not leaving and for which `usable` holds.
    [[nodiscard]] std::uint32_t slots(std::string_view service,
                                      const std::function<bool(incarnation_id)> &usable) const;

    /// @brief The latest report of each agent, ordered by agent.
    [[nodiscard]] std::vector<std::pair<incarnation_id, agent_load>> agents() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
