#pragma once

#include "bamboohead/entry_core.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Simulated agent whose task updates and fence reports are set by the test.
struct scripted_agent
{
    scripted_agent(std::uint64_t number, const std::string &zoneName, const clock &clock)
        : endpoint{"a" + std::to_string(number)}
        , zone{zoneName}
        , time{clock}
    {
        restart(number);
    }

    /// @brief Simulates a restart: the agent continues as incarnation `number` at its endpoint.
    void restart(std::uint64_t number)
    {
        links.emplace(process_identity{incarnation_id{number}, endpoint, wire::ROLE_AGENT, zone},
                      time);
    }

    /// @brief Builds an update of the task of the received order with this index.
    [[nodiscard]] wire::TaskUpdate update(std::size_t order, wire::TaskState state,
                                          const std::string &result = {}) const
    {
        wire::TaskUpdate made;
        *made.mutable_ref() = orders.at(order).ref();
        made.set_state(state);
        made.set_result(result);
        made.set_run_time_us(50'000);
        return made;
    }

    std::string endpoint;
    std::string zone;
    const clock &time; ///< clock of `links`
    std::optional<link_table> links;
    std::uint32_t issued = 10; ///< total of the credits granted to each entry
    bool silent = false;       ///< sends no heartbeats, but still updates and fence reports
    bool reports = true;       ///< answers fence requests
    std::uint32_t fences = 0;  ///< number of fence requests received
    std::uint32_t queries = 0; ///< number of queried orders
    std::uint32_t acks = 0;    ///< number of acknowledged updates
    std::uint64_t version = 1; ///< configuration version that it reports
    int members = 0;           ///< number of entries in the last member list received
    std::vector<wire::TaskOrder> orders;         ///< orders received
    std::vector<wire::Owner> owners;             ///< sender's role in the home, one per order
    std::vector<wire::TaskUpdate> reportedTasks; ///< content of its fence reports
};

/// @brief Entries and simulated agents on one manual clock, connected by a network that can drop
///        messages. Process numbers are incarnations; the endpoint of entry 1 is "e1", that of
///        agent 11 is "a11".
class entry_fixture
{
public:
    entry_fixture();

    entry_core &addEntry(std::uint64_t number, const std::string &zone);
    /// @brief Adds an agent of the service "quote" that grants 10 credits to each entry.
    scripted_agent &addAgent(std::uint64_t number, const std::string &zone);
    /// @brief Simulates a crash: the process stops, and messages to it are dropped.
    void kill(const std::string &endpoint) { m_dead.insert(endpoint); }

    /// @brief Advances the clock in ticks of 10 ms, and delivers all messages after each.
    void run(duration total);
    /// @brief Delivers messages until none is left.
    void settle();
    void send(scripted_agent &from, std::uint64_t entry, wire::Envelope envelope);
    void sendUpdate(scripted_agent &from, std::uint64_t entry, const wire::TaskUpdate &update);

    /// @brief Opens a session at an entry.
    /// @return A default id when the entry refused.
    session_id open(std::uint64_t entry);
    /// @brief Builds a submission for the service "quote" with a deadline of 10 s.
    [[nodiscard]] job_submission job(const session_id &session, std::uint64_t number,
                                     std::size_t tasks = 1) const;
    /// @brief Submits at an entry, waiting for the answer, and delivers all messages.
    void submit(std::uint64_t entry, std::uint64_t request, job_submission job);
    [[nodiscard]] bool answered(std::uint64_t request) const { return answers.contains(request); }
    [[nodiscard]] job_answer answer(std::uint64_t request) const { return answers.at(request); }
    entry_core &entry(std::uint64_t number) { return *m_entries.at("e" + std::to_string(number)); }

    /// @brief Manifest in the store: zones graz and linz are in service, wien is out.
    [[nodiscard]] static std::string manifestText();

    manual_clock time;
    bool storeReadable = true;
    /// @brief Whether the network drops a message; called for each message to a live process.
    std::function<bool(const wire::Envelope &)> dropMessage = [](const auto &) { return false; };
    std::map<std::uint64_t, job_answer> answers;
    std::set<std::uint64_t> stopped; ///< entries that completed their shutdown

private:
    void act(const std::string &endpoint, entry_action action);
    void deliver(const std::string &to, const wire::Envelope &envelope);
    void receive(scripted_agent &agent, const wire::Envelope &envelope);
    void heartbeat(scripted_agent &agent);

    std::map<std::string, std::unique_ptr<entry_core>> m_entries;
    std::map<std::string, std::unique_ptr<scripted_agent>> m_agents;
    std::set<std::string> m_dead;
    std::optional<session_id> m_session;
    std::uint64_t m_ticks = 0;
};

} // namespace bamboohead
