#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/entry_core.hpp"
#include "schedule/evidence.hpp"
#include "schedule/random_source.hpp"

#include <functional>
#include <memory>
#include <set>

namespace bamboohead::schedule {

using namespace std::chrono_literals;

/// @brief Clock of one process: the run's clock with an offset of its own.
class process_clock final : public clock
{
public:
    process_clock(const clock &base, duration offset)
        : m_base{base}
        , m_offset{offset}
    {}

    [[nodiscard]] time_point now() const override { return m_base.now() + m_offset; }

private:
    const clock &m_base;
    duration m_offset;
};

/// @brief Probabilities of faults of single messages, in percent.
struct message_faults
{
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t delayed = 0;
    duration longestDelay = 5ms; ///< of a delayed message
};

/// @brief Probabilities of faults of single tasks on targets, in percent.
struct target_faults
{
    std::uint64_t failed = 0;
    std::uint64_t refused = 0; ///< before the start
};

/// @brief One entry or agent. At most one of the cores is set; none while the process is dead.
struct process
{
    using input = std::function<void(process &)>;

    std::string endpoint;
    std::string zone;
    wire::Role role = wire::ROLE_ENTRY;
    incarnation_id incarnation = incarnation_id::none;
    std::unique_ptr<process_clock> time;
    std::unique_ptr<entry_core> entry;
    std::unique_ptr<agent_core> agent;
    bool frozen = false;
    std::vector<input> backlog; ///< inputs that arrived while the process was frozen
    target_state target = target_state::ready;
    duration phase{}; ///< of its ticks
    bool stopping = false;

    [[nodiscard]] bool alive() const { return entry || agent; }
};

/// @brief Entries and agents on one manual clock with the network, store and targets around them.
///        All events happen in the order of their times; the seed decides all times.
class fake_network
{
public:
    using answer_handler = std::function<void(const answer_caller &)>;
    using session_handler = std::function<void(const session_answer &)>;

    fake_network(std::uint64_t seed, evidence &facts);

    // Set-up

    void addEntry(const std::string &endpoint, const std::string &zone);
    void addAgent(const std::string &endpoint, const std::string &zone);
    void onAnswer(answer_handler handler) { m_answered = std::move(handler); }
    void onSession(session_handler handler) { m_sessionOpened = std::move(handler); }

    // Time

    void at(time_point when, std::function<void()> event);
    void after(duration delay, std::function<void()> event);
    void runUntil(time_point end);
    [[nodiscard]] time_point now() const { return m_clock.now(); }

    // Faults

    void kill(const std::string &endpoint);
    /// @brief Starts a dead process again as a new incarnation.
    void restart(const std::string &endpoint);
    void freeze(const std::string &endpoint);
    void thaw(const std::string &endpoint);
    void cutLink(const std::string &left, const std::string &right);
    void cutZone(const std::string &zone) { m_cutZones.insert(zone); }
    void healCuts();
    void stop(const std::string &endpoint);
    void targetLeaves(const std::string &endpoint);
    void targetReturns(const std::string &endpoint);
    message_faults messageFaults;
    target_faults targetFaults;
    bool storeUp = true;
    bool storeSlow = false; ///< answers take up to 5 s

    // Operators

    /// @brief Changes a zone by compare-and-swap, and pushes the manifest to the entries.
    void setZone(const std::string &zone, bool in);

    // Callers

    /// @brief Gives an input to a process after a delay; it is lost when the process is dead then.
    void input(const std::string &endpoint, duration delay, process::input act);
    [[nodiscard]] process &at(const std::string &endpoint) { return m_processes.at(endpoint); }
    [[nodiscard]] std::map<std::string, process> &processes() noexcept { return m_processes; }
    /// @brief Incarnations that ended by a complete graceful stop.
    [[nodiscard]] const std::set<incarnation_id> &exits() const noexcept { return m_exits; }
    [[nodiscard]] random_source &random() noexcept { return m_random; }
    [[nodiscard]] std::uint64_t version() const noexcept { return m_manifests.size(); }
    [[nodiscard]] bool zoneIsIn(const std::string &zone) const { return m_zones.at(zone); }
    [[nodiscard]] std::vector<std::string> endpoints(wire::Role role) const;
    void trace(const std::string &text) const;

    bool tracing = false;
    duration tickInterval = 20ms;

private:
    void start(process &made);
    void scheduleTick(const std::string &endpoint, incarnation_id incarnation);
    void scheduleStoreRead(const std::string &endpoint, incarnation_id incarnation);
    void scheduleAnnouncement(const std::string &endpoint);
    void announce(const std::string &endpoint);
    void deliver(process &to, const process::input &act);
    void collect(process &from);
    void carry(const process &from, const send_message &message);
    void deliverMessage(const std::string &from, const std::string &to,
                        const std::shared_ptr<wire::Envelope> &envelope);
    void runTask(process &on, const run_task &task);
    void readStore(process &reader);
    void pushManifest(const std::string &entry, std::uint64_t version);
    void manifestKnown(std::uint64_t version, const process &by);
    void noteVersion(const process &from, const wire::Envelope &envelope);
    [[nodiscard]] bool connected(const process &left, const process &right) const;
    [[nodiscard]] bool cutOff(const process &subject) const;
    [[nodiscard]] duration messageDelay();
    [[nodiscard]] std::string manifestText() const;

    random_source m_random;
    evidence &m_evidence;
    manual_clock m_clock;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::string, process> m_processes;
    std::set<std::pair<std::string, std::string>> m_cutLinks;
    std::set<std::string> m_cutZones;
    std::set<incarnation_id> m_exits;
    std::map<std::string, bool> m_zones;
    std::vector<std::string> m_manifests; ///< accepted; the version is the index plus 1
    std::uint64_t m_knownVersion = 0;     ///< newest that some connected entry could know
    std::map<std::uint64_t, std::map<std::string, bool>> m_zonesOf; ///< by version
    answer_handler m_answered;
    session_handler m_sessionOpened;
};

} // namespace bamboohead::schedule
