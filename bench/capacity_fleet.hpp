#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/clock.hpp"
#include "bamboohead/entry_core.hpp"
#include "bamboohead/wire.hpp"
#include "capacity_meter.hpp"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace bamboohead::bench {

/// @brief Sizes and load of one experiment.
struct fleet_options
{
    std::size_t entries = 2;
    std::size_t agents = 32;
    std::size_t zones = 4;
    std::size_t teams = 3;
    std::size_t services = 1;
    std::uint32_t slots = 8; ///< per agent
    duration runTime = std::chrono::milliseconds{100};
    std::size_t resultBytes = 60;
    /// Interval between two announcements of each agent's target. An agent that runs no task and
    /// has received no message is ticked only then. A longer interval shortens the benchmark; it
    /// delays no heartbeat while the intervals between heartbeats are multiples of it.
    duration agentPeriod = std::chrono::milliseconds{10};
};

/// @brief Decision cores (entry_core and agent_core objects) on one manual clock. A message is
///        encoded at once, then delivered and parsed in the next pass. None is lost or delayed
///        further, so the benchmark measures costs and not behaviour under faults.
class fleet
{
public:
    explicit fleet(fleet_options options);

    /// @brief Advances the clock by `total` in passes of 10 ms.
    void run(duration total);
    /// @brief Stops an entry without notice to the other cores.
    void killEntry(std::size_t entry);
    /// @brief Replaces an agent by another incarnation at a new endpoint, like a replaced VM.
    void replaceAgent(std::size_t agent);
    /// @brief Sets the usage of all cores to zero.
    void resetUsage();

    /// @brief Opens a session at an entry and advances the clock by one pass.
    session_id open(std::size_t entry);
    /// @brief Submits a job with payloads of 60 bytes to an entry. With a deadline of zero, the
    ///        default of the service applies.
    /// @return Number of the request, a key of answers().
    std::uint64_t submit(std::size_t entry, const session_id &session, std::uint64_t number,
                         std::size_t tasks, std::size_t team = 0, duration deadline = {});
    /// @brief Gives the manifest with a newer version to one entry, as the operators' tool does.
    /// @return Size of the manifest in bytes.
    std::size_t pushManifest(std::size_t entry);
    /// @brief Whether all cores except stopped ones have received the newest version of the
    ///        manifest. Does not check that they have applied it.
    [[nodiscard]] bool receivedByAll() const;

    [[nodiscard]] const usage &entryUsage(std::size_t entry) const;
    [[nodiscard]] const usage &agentUsage(std::size_t agent) const;
    [[nodiscard]] usage allAgents() const;
    [[nodiscard]] entry_core &entry(std::size_t entry) { return *m_entries[entry]->core; }
    /// @brief Outcomes of the answered jobs by number of the request.
    [[nodiscard]] const std::map<std::uint64_t, job_outcome> &answers() const { return m_answers; }
    [[nodiscard]] time_point now() const { return m_clock.now(); }

private:
    struct packet
    {
        std::unique_ptr<char, void (*)(void *)> data; ///< outside the counted heap
        std::size_t size;
    };
    struct node_base
    {
        std::string endpoint;
        std::vector<packet> inbox;
        usage used;
        std::uint64_t versionSeen = 0;
        bool dead = false;
    };
    struct entry_node : node_base
    {
        std::unique_ptr<entry_core> core;
        bool manifestDelivered = false;
    };
    struct agent_node : node_base
    {
        std::unique_ptr<agent_core> core;
        std::multimap<time_point, task_ref> running;
        time_point nextTick;
    };

    [[nodiscard]] std::string manifestText() const;
    void addAgent(std::size_t number);
    void stepEntry(entry_node &node);
    void stepAgent(agent_node &node, std::size_t index);
    void applyAction(entry_node &node, entry_action &action);
    void send(node_base &from, const send_message &message);
    template <typename Core>
    void receiveAll(node_base &node, Core &core, const std::vector<packet> &packets);

    fleet_options m_options;
    manual_clock m_clock;
    std::uint64_t m_version = 1;
    std::string m_manifest;
    std::string m_result;
    std::vector<std::string> m_seeds;
    std::vector<std::unique_ptr<entry_node>> m_entries;
    std::vector<std::unique_ptr<agent_node>> m_agents;
    std::unordered_map<std::string, node_base *> m_byEndpoint;
    std::map<std::uint64_t, job_outcome> m_answers;
    session_id m_session;
    std::uint64_t m_nextRequest = 1;
};

} // namespace bamboohead::bench
