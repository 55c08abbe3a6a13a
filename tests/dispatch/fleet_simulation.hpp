#pragma once

#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "dispatch/fake_target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bamboohead::dispatch_test {

/// @brief Faults of the world, in percent of the messages or calls they concern.
struct world_faults
{
    unsigned messagesLost = 0;
    unsigned startsUnanswered = 0; ///< not carried out, or 2 to 12 s later
    unsigned repliesLost = 0;      ///< carried out, no reply
};

/// @brief A job as its caller follows it over all its attempts.
struct followed_job
{
    batch_submission job;
    dispatch_route route;
    unsigned attempts = 0;
    unsigned refusals = 0;
    bool gaveUp = false; ///< the caller left for good
    time_point gaveUpAt;
    std::optional<batch_job_state> answer;
    bool open = false; ///< an attempt waits for its answer
};

/// @brief Entries, agents and targets on one clock, with a network that loses, delays and cuts, and
///        callers that send a job again when they lose its entry.
///
/// Checks while it runs that no task has two runs at the same time, that no target is overbooked,
/// that a refused job never starts, and that an answer tells what happened.
class fleet_simulation
{
public:
    struct options
    {
        std::uint64_t seed = 1;
        unsigned entries = 3;
        unsigned agents = 4;
        dispatch_entry_limits entryLimits;
        dispatch_agent_limits agentLimits;
        target_session_limits targetLimits;
        bool trace = false; ///< prints the log lines of all processes, for the search of a cause
    };

    explicit fleet_simulation(options chosen);
    ~fleet_simulation();

    // Time

    void runFor(duration length);
    [[nodiscard]] time_point now() const { return m_clock.now(); }
    void at(time_point when, std::function<void()> action);

    // Callers

    /// @brief Submits a job of `tasks` tasks and follows it until it is answered.
    void submit(unsigned tasks, duration runTime, duration patience = 6s);
    /// @brief The callers of open jobs leave and do not come back.
    void callersLeave();
    [[nodiscard]] const std::map<batch_job_id, followed_job> &jobs() const { return m_jobs; }

    // Faults

    world_faults faults;
    void killEntry(unsigned number, duration downFor);
    void killAgent(unsigned number, duration downFor);
    void freeze(const std::string &endpoint, duration length);
    /// @brief Cuts messages between two processes, in both directions.
    void cut(const std::string &first, const std::string &second, duration length);
    /// @brief Cuts messages in one direction only.
    void cutOneWay(const std::string &from, const std::string &to, duration length);
    void crashTarget(unsigned number, duration downFor, bool sameId);

    [[nodiscard]] std::string entryName(unsigned number) const;
    [[nodiscard]] std::string agentName(unsigned number) const;
    [[nodiscard]] fake_target &targetOf(unsigned number);
    [[nodiscard]] dispatch_agent &agentAt(unsigned number);
    [[nodiscard]] unsigned random(unsigned below);

    // Results

    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::size_t runningTasks() const;
    [[nodiscard]] std::size_t starts() const { return m_starts; }

private:
    struct process;
    struct world_event;

    void addEntry(unsigned number);
    void addAgent(unsigned number);
    void startProcess(process &subject);
    void step(duration length);
    void serve(process &subject);
    void perform(process &subject, dispatch_action &action);
    void sendMessage(process &from, const send_message &message);
    void sendCall(process &from, const target_call &call);
    void attempt(batch_job_id id);
    void answered(const job_reply &reply);
    void lostEntry(process &subject);
    void callAgain(batch_job_id id);
    void trace(const std::string &who, const log_event &event) const;
    void violated(const std::string &what);
    void runStarted(const run_ref &ref, fake_target &target);
    void runRemoved(const run_ref &ref, run_end_kind kind);
    [[nodiscard]] bool isCut(const std::string &from, const std::string &to) const;
    [[nodiscard]] bool percent(unsigned chance);

    options m_options;
    manual_clock m_clock;
    std::mt19937_64 m_random;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::string, std::unique_ptr<process>> m_processes;
    std::map<std::pair<std::string, std::string>, time_point> m_cuts;
    std::vector<std::unique_ptr<fake_target>> m_targets;
    std::map<batch_job_id, followed_job> m_jobs;
    std::map<caller_request, std::pair<batch_job_id, std::string>> m_requests;
    std::map<batch_task, unsigned> m_running;
    std::set<batch_task> m_done;
    std::set<batch_job_id> m_startedJobs;
    std::vector<std::string> m_violations;
    desired_state m_config;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIncarnation = 0;
    std::int64_t m_lastLife = 1;
    std::uint64_t m_lastFence = 1'000;
    std::size_t m_starts = 0;
};

} // namespace bamboohead::dispatch_test
