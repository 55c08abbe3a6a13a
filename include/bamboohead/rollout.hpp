#pragma once

#include "bamboohead/types.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief Which processes have a version of the manifest in force, from the states of entries.
class rollout
{
public:
    explicit rollout(config_version version)
        : m_version{version}
    {}

    /// @brief Takes an entry's answer to GET /v1/state.
    /// @return False when the text is not the state of an entry.
    bool addState(const std::string &address, std::string_view state);

    /// @brief An entry gave no usable state.
    void addUnreachable(const std::string &address);

    /// @brief Whether every entry asked and every process that some entry hears has the version.
    [[nodiscard]] bool complete() const;

    /// @brief One line for each process that lags, for operators.
    [[nodiscard]] std::vector<std::string> lagging() const;

    /// @brief One line for each process that no entry hears; such a process may start nothing once
    ///        its last contact is 4 s old.
    [[nodiscard]] std::vector<std::string> silent() const;

    /// @brief Processes that have the version in force.
    [[nodiscard]] std::size_t inForce() const;

private:
    struct process
    {
        std::string role;
        std::string zone;
        std::string endpoint;
        std::uint64_t version = 0; ///< newest that any entry heard of
        bool alive = false;        ///< some entry hears it
    };

    [[nodiscard]] bool holds(const process &which) const
    {
        return which.version >= static_cast<std::uint64_t>(m_version);
    }

    config_version m_version;
    std::map<std::string, process> m_processes; ///< by incarnation
    std::set<std::string> m_unreachable;
};

} // namespace bamboohead
