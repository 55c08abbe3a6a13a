#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/entry_core.hpp"
#include "schedule/invariant_checker.hpp"
#include "schedule/random_source.hpp"

#include <functional>
#include <memory>
#include <set>

namespace bamboohead::schedule {

using namespace std::chrono_literals;

/// @brief Clock of one process: the clock of the run plus a fixed offset.
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

/// @brief Probabilities of faults of a message, in percent.
struct message_faults
{
    std::uint64_t lost = 0;
    std::uint64_t duplicated = 0;
    std::uint64_t delayed = 0;
    duration maxDelay = 5ms; ///< upper limit for delayed messages
};

/// @brief Probabilities of faults of a task on a target, in percent. A refused task cannot fail.
struct target_faults
{
    std::uint64_t failed = 0;
    std::uint64_t refused = 0; ///< not started by the target
};

/// @brief An entry or agent. At most one of `entry` and `agent` is set; neither while the process
///        is not running.
struct process
{
    /// An input of a process: a call of its entry or agent.
    using input = std::function<void(process &)>;

    std::string endpoint;
    std::string zone;
    wire::Role role = wire::ROLE_ENTRY;
    incarnation_id incarnation = incarnation_id::none;
    std::unique_ptr<process_clock> localClock;
    std::unique_ptr<entry_core> entry;
    std::unique_ptr<agent_core> agent;
    bool suspended = false;
    std::vector<input> backlog;                ///< inputs received while the process was suspended
    target_state target = target_state::ready; ///< state that an agent's target announces
    duration phase{};      ///< unused; its draw is part of the random sequence of each seed
    bool stopping = false; ///< a graceful stop was requested

    [[nodiscard]] bool alive() const { return entry || agent; }
};

/// @brief Simulates entries and agents on one manual clock, with the network, store and targets
///        that they use.
///
/// Events are processed in the order of their times. The seed determines all random choices, so
/// that equal seeds give equal runs.
class fake_network
{
public:
    using answer_handler = std::function<void(const answer_caller &)>;
    using session_handler = std::function<void(const answer_session_request &)>;

    fake_network(std::uint64_t seed, invariant_checker &checker);

    // Set-up

    void addEntry(const std::string &endpoint, const std::string &zone);
    void addAgent(const std::string &endpoint, const std::string &zone);
    void onAnswer(answer_handler handler) { m_answerHandler = std::move(handler); }
    void onSession(session_handler handler) { m_sessionHandler = std::move(handler); }

    // Time

    /// @brief Schedules an event; one for a time in the past takes place at the present time.
    void at(time_point when, std::function<void()> event);
    void after(duration delay, std::function<void()> event);
    /// @brief Processes all events up to `end`, and advances the clock to it.
    void runUntil(time_point end);
    [[nodiscard]] time_point now() const { return m_clock.now(); }

    // Faults

    /// @brief Ends a process at once, with the loss of its state and its unprocessed inputs. Also
    ///        ends a process that has completed its graceful shutdown; the trace says "kill" then
    ///        too.
    void kill(const std::string &endpoint);
    /// @brief Starts a process as a new incarnation; does nothing if it is running.
    void restart(const std::string &endpoint);
    /// @brief Suspends a running process. Its inputs wait until it resumes.
    void suspend(const std::string &endpoint);
    /// @brief Resumes a process. Its clock has advanced. In half of the cases, it processes a tick
    ///        before the waiting inputs.
    void resume(const std::string &endpoint);
    /// @brief Blocks messages between two processes in both directions.
    void partition(const std::string &left, const std::string &right);
    /// @brief Blocks messages between a zone and the others, and the zone's access to the store.
    void isolateZone(const std::string &zone) { m_isolatedZones.insert(zone); }
    /// @brief Ends all partitions and isolations of zones.
    void reconnectAll();
    /// @brief Requests a graceful stop.
    void stop(const std::string &endpoint);
    /// @brief From now on, an agent's target announces that it is leaving.
    void targetLeaves(const std::string &endpoint);
    /// @brief From now on, an agent's target announces that it is ready.
    void targetReturns(const std::string &endpoint);
    message_faults messageFaults;
    target_faults targetFaults;
    bool storeAvailable = true;
    bool storeSlow = false; ///< replies to reads take up to 5 s in place of 10 ms

    // Operators

    /// @brief Publishes a manifest with the changed state of a zone, and pushes it to the entries
    ///        whose zones are not isolated. Does nothing while the store is unavailable or if the
    ///        zone is in this state.
    /// @param in Whether tasks may start in the zone.
    void setZone(const std::string &zone, bool in);

    // Callers

    /// @brief Delivers an input to a process after a delay. The input is lost if this incarnation
    ///        has ended by then.
    void input(const std::string &endpoint, duration delay, process::input operation);
    /// @brief Process with an endpoint. Throws std::out_of_range if there is none.
    [[nodiscard]] process &at(const std::string &endpoint) { return m_processes.at(endpoint); }
    [[nodiscard]] std::map<std::string, process> &processes() noexcept { return m_processes; }
    /// @brief Incarnations that have completed a graceful shutdown.
    [[nodiscard]] const std::set<incarnation_id> &exits() const noexcept { return m_exits; }
    [[nodiscard]] random_source &random() noexcept { return m_random; }
    /// @brief Newest version of the manifest.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_manifests.size(); }
    [[nodiscard]] bool zoneIsIn(const std::string &zone) const { return m_zones.at(zone); }
    /// @brief Endpoints of all processes of a role, whether running or not.
    [[nodiscard]] std::vector<std::string> endpoints(wire::Role role) const;
    /// @brief Prints a line with the time in seconds since the start of the run, if tracing is on.
    void trace(const std::string &text) const;

    bool tracing = false;
    duration tickInterval = 20ms;

private:
    void start(process &instance);
    void scheduleTick(const std::string &endpoint, incarnation_id incarnation);
    void scheduleStoreRead(const std::string &endpoint, incarnation_id incarnation);
    void scheduleAnnouncement(const std::string &endpoint);
    void announce(const std::string &endpoint);
    void deliver(process &to, const process::input &operation);
    /// Executes the actions that the core of a process has produced.
    void handleActions(process &from);
    void sendMessage(const process &from, const send_message &message);
    void deliverMessage(const std::string &from, const std::string &to,
                        const std::shared_ptr<wire::Envelope> &envelope);
    void runTask(process &on, const run_task &task);
    void readStore(process &reader);
    void pushManifest(const std::string &entry, std::uint64_t version);
    /// Reports the zones that are known to be out since process `by` can know a version. Does
    /// nothing if this process is in an isolated zone or a version at least as new was known.
    void recordKnownManifest(std::uint64_t version, const process &by);
    void recordVersion(const process &from, const wire::Envelope &envelope);
    [[nodiscard]] bool connected(const process &left, const process &right) const;
    [[nodiscard]] bool isIsolated(const process &subject) const;
    [[nodiscard]] duration messageDelay();
    [[nodiscard]] std::string manifestText() const;

    random_source m_random;
    invariant_checker &m_checker;
    manual_clock m_clock;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::string, process> m_processes;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::set<std::string> m_isolatedZones;
    std::set<incarnation_id> m_exits;
    std::map<std::string, bool> m_zones;  ///< whether each zone is in
    std::vector<std::string> m_manifests; ///< published ones; the version is the index plus 1
    std::uint64_t m_knownVersion = 0;     ///< newest that an entry outside isolated zones can know
    std::map<std::uint64_t, std::map<std::string, bool>> m_zonesByVersion;
    answer_handler m_answerHandler;
    session_handler m_sessionHandler;
};

} // namespace bamboohead::schedule
