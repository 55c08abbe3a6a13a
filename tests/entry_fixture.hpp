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

/// @brief An agent whose every message a test writes by hand.
struct hand_agent
{
    hand_agent(std::uint64_t number, const std::string &zoneName, const clock &clock)
        : endpoint{"a" + std::to_string(number)}
        , zone{zoneName}
        , time{clock}
    {
        restart(number);
    }

    /// @brief Continues as another incarnation at the same endpoint.
    void restart(std::uint64_t number)
    {
        links.emplace(process_identity{incarnation_id{number}, endpoint, wire::ROLE_AGENT, zone},
                      time);
    }

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
    const clock &time;
    std::optional<link_table> links;
    std::uint32_t issued = 10;
    bool silent = false; ///< sends no heartbeats
    bool reports = true; ///< answers fence requests
    std::uint32_t fences = 0;
    std::uint32_t queries = 0;
    std::uint32_t acks = 0;
    std::uint64_t version = 1; ///< of the configuration that it reports
    int members = 0;           ///< entries in the newest list that it got
    std::vector<wire::TaskOrder> orders;
    std::vector<wire::Owner> owners;    ///< one an order
    std::vector<wire::TaskUpdate> held; ///< content of its fence reports
};

/// @brief Entries and hand-made agents on one manual clock, joined by a network that can lose
///        messages. Process numbers are incarnations; the endpoint of entry 1 is "e1".
class entry_fixture
{
public:
    entry_fixture();

    entry_core &addEntry(std::uint64_t number, const std::string &zone);
    hand_agent &addAgent(std::uint64_t number, const std::string &zone);
    /// @brief Ends a process without notice.
    void kill(const std::string &endpoint) { m_dead.insert(endpoint); }

    /// @brief Advances in ticks of 10 ms and delivers all messages.
    void run(duration total);
    /// @brief Delivers messages until none is left.
    void settle();
    void send(hand_agent &from, std::uint64_t entry, wire::Envelope envelope);
    void sendUpdate(hand_agent &from, std::uint64_t entry, const wire::TaskUpdate &update);

    session_id open(std::uint64_t entry);
    [[nodiscard]] job_submission job(const session_id &session, std::uint64_t number,
                                     std::size_t tasks = 1) const;
    /// @brief Submits at an entry, waiting for the answer, and delivers all messages.
    void submit(std::uint64_t entry, std::uint64_t request, job_submission job);
    [[nodiscard]] bool answered(std::uint64_t request) const { return answers.contains(request); }
    [[nodiscard]] job_answer answer(std::uint64_t request) const { return answers.at(request); }
    entry_core &entry(std::uint64_t number) { return *m_entries.at("e" + std::to_string(number)); }

    /// @brief The manifest in the store: zones graz and linz in, wien out.
    [[nodiscard]] static std::string manifestText();

    manual_clock time;
    bool storeReadable = true;
    std::function<bool(const wire::Envelope &)> lose = [](const auto &) { return false; };
    std::map<std::uint64_t, job_answer> answers;
    std::set<std::uint64_t> stopped; ///< entries that completed their shutdown

private:
    void act(const std::string &endpoint, entry_action action);
    void deliver(const std::string &to, const wire::Envelope &envelope);
    void receive(hand_agent &agent, const wire::Envelope &envelope);
    void heartbeat(hand_agent &agent);

    std::map<std::string, std::unique_ptr<entry_core>> m_entries;
    std::map<std::string, std::unique_ptr<hand_agent>> m_agents;
    std::set<std::string> m_dead;
    std::optional<session_id> m_session;
    std::uint64_t m_ticks = 0;
};

} // namespace bamboohead
