#pragma once

#include "bamboohead/types.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead {

/// @brief Tracks which processes have a version of the manifest, or a later one, in force. Uses the
///        states that entries report.
class rollout
{
public:
    explicit rollout(config_version version)
        : m_version{version}
    {}

    /// @brief Adds the response of the entry at `address` to GET /v1/state.
    /// @return False when the response is not the state of an entry.
    bool addState(const std::string &address, std::string_view state);

    /// @brief Records that the entry at `address` returned no usable state.
    void addUnreachable(const std::string &address);

    /// @brief Whether every entry was reached and every live process has the version. A process is
    ///        alive when some entry receives messages from it. False before any process was added.
    [[nodiscard]] bool complete() const;

    /// @brief One line for operators for each unreachable entry and each live process without the
    ///        version.
    [[nodiscard]] std::vector<std::string> withoutVersion() const;

    /// @brief One line for operators for each process without the version that isn't alive. An
    ///        agent among them starts no tasks once it has received nothing from any entry for
    ///        maxProofAge. From the acceptance of the version by the store, the bound is 4 s:
    ///        maxProofAge plus 1 s for a store read or a push and 1 s for forwarding the version.
    ///        An entry among them may send orders while its config_state::entryCurrent() is true.
    [[nodiscard]] std::vector<std::string> notAlive() const;

    /// @brief Number of processes that have the version in force.
    [[nodiscard]] std::size_t countInForce() const;

private:
    struct process
    {
        std::string role;
        std::string zone;
        std::string endpoint;
        std::uint64_t version = 0; ///< newest that any entry reported
        bool alive = false;        ///< some entry receives messages from it
    };

    [[nodiscard]] bool hasVersion(const process &item) const
    {
        return item.version >= static_cast<std::uint64_t>(m_version);
    }

    config_version m_version;
    std::map<std::string, process> m_processes; ///< by incarnation, the id of one run of a process
    std::set<std::string> m_unreachable;
};

} // namespace bamboohead
