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

/// @brief How an entry chooses the agent of a task. All but `credits` are baselines.
enum class placement_policy : std::uint8_t { credits, random, two_choices };

/// @brief Name as written in settings.
[[nodiscard]] std::string_view toText(placement_policy policy) noexcept;
[[nodiscard]] std::optional<placement_policy> parsePlacementPolicy(std::string_view name) noexcept;

/// @brief Load that an agent reported.
struct agent_load
{
    std::string service;
    std::string zone;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    bool leaving = false;
    std::uint64_t creditEpoch = 0;
    std::uint64_t issuedTotal = 0;
};

/// @brief The entry's credits, one account an agent, and the choice of the agent for a task.
///
/// `issuedTotal` and `usedTotal` are cumulative in an epoch, so that a lost message is healed by
/// the next one. Returning a credit counts as using it.
class credit_account
{
public:
    struct usage
    {
        std::uint64_t epoch = 0;
        std::uint64_t usedTotal = 0;
    };

    credit_account(placement_policy policy, std::string zone, std::uint64_t seed);
    ~credit_account();
    credit_account(credit_account &&) noexcept;

    /// @brief Takes a report of an agent. A report of an older epoch, or with a lower total of the
    ///        same epoch, only updates nothing.
    void report(incarnation_id agent, const agent_load &load);
    void remove(incarnation_id agent);

    /// @brief Chooses an agent of the service for one order and uses one of its credits.
    /// @param usable Says whether an agent may be used now (scope, health, zone).
    /// @return The agent, or nothing when no usable agent has a credit. The baselines need no
    ///         credit: their `usedTotal` may exceed `issuedTotal`.
    [[nodiscard]] std::optional<incarnation_id>
    take(std::string_view service, const std::function<bool(incarnation_id)> &usable);

    /// @brief Returns all unused credits of an agent.
    /// @return How many were returned.
    std::uint64_t returnUnused(incarnation_id agent);

    /// @brief Counters to send to an agent.
    [[nodiscard]] usage usageOf(incarnation_id agent) const;

    /// @brief Unused credits of a service over all agents that are not leaving; for the baselines
    ///        a large number when there is such an agent.
    [[nodiscard]] std::uint64_t available(std::string_view service) const;

    /// @brief Slots of a service over all agents that are not leaving and for which `usable` holds.
    [[nodiscard]] std::uint32_t slots(std::string_view service,
                                      const std::function<bool(incarnation_id)> &usable) const;

    [[nodiscard]] std::vector<std::pair<incarnation_id, agent_load>> agents() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
