#pragma once

#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/store_follower.hpp"
#include "dispatch/fake_target.hpp"
#include "dispatch/simulated_store.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bamboohead::dispatch_test {

/// @brief Fault rates of the simulated network, in percent of the messages or calls.
struct fault_rates
{
    unsigned messageLossPercent = 0; ///< messages between processes that are lost
    unsigned callTimeoutPercent = 0; ///< calls that time out; most are carried out 2 to 12 s later
    unsigned replyLossPercent = 0;   ///< calls that are carried out and whose reply is lost
};

/// @brief A job and its progress over all submissions by its caller.
struct tracked_job
{
    batch_submission submission;
    dispatch_route route;
    unsigned attempts = 0; ///< submissions
    unsigned refusals = 0;
    /// The caller does not submit the job again: it has disconnected or was refused.
    bool noResubmission = false;
    /// Time of the refusal or of the last disconnectCallers(); nothing reads it.
    time_point noResubmissionSince;
    std::optional<batch_job_state> answer; ///< final state; none until it was received
    bool open = false;                     ///< a submission has no answer yet; nothing reads it
    time_point submitted;                  ///< time of the first submission
    time_point answered;                   ///< when `answer` was received
    std::optional<time_point> firstStart;  ///< when the first run of a task started

    /// @brief Whether the job has succeeded within its response-time objective.
    [[nodiscard]] bool inObjective() const;
};

/// @brief Messages between processes and their serialized size.
struct message_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Simulates entries, agents and targets on one clock, with a network that loses, delays and
///        blocks messages, and callers that submit a job again when they have no answer in time,
///        when its deadline has passed or when its entry fails.
///
/// Checks continuously that no task has two runs at the same time, that no target's
/// capacity is exceeded, that a refused job never starts, that a job reported as succeeded has
/// completed all its tasks, and that a task is started at most twice after three targets have
/// crashed because of it.
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
        /// Whether the processes read the desired state from a store. Without one it is given to
        /// each entry at its start.
        bool store = false;
        bool trace = false;         ///< prints the log lines of all processes, for debugging
        duration tickLength = 10ms; ///< interval at which the processes handle their inputs
        /// Weight of each entry in the choice of the entry of a job; empty: all are alike.
        std::vector<unsigned> callerWeights;
        /// Number of targets of a rack; 0: targets have no labels. The racks are `r0`, `r1`, ...
        unsigned targetsPerRack = 0;
        /// Factor by which the run time of a task is longer away from the rack that it prefers.
        double distanceFactor = 1.0;
        /// Factors of the run times on the targets, in turn; empty: all are alike.
        std::vector<double> slowness;
        /// Part of the tasks whose run time is multiplied by 7, in percent.
        unsigned longTaskPercent = 0;
    };

    explicit fleet_simulation(options chosen);
    ~fleet_simulation();

    // Time

    /// @brief Advances the simulated time.
    void runFor(duration length);
    [[nodiscard]] time_point now() const { return m_clock.now(); }
    /// @brief Schedules an action for a time in the simulation.
    void at(time_point when, std::function<void()> action);

    // Callers

    /// @brief Submits a job of `tasks` tasks, with up to five attempts until it is answered.
    void submit(unsigned tasks, duration runTime, duration callerTimeout = 6s);
    /// @brief Submits a job with one step to `route`, with up to five attempts until it is
    /// answered.
    void submit(const dispatch_route &route, const batch_step &work, std::string spec,
                duration callerTimeout = 6s);
    /// @brief Disconnects the callers of open jobs, which do not submit them again.
    void disconnectCallers();
    [[nodiscard]] const std::map<batch_job_id, tracked_job> &jobs() const { return m_jobs; }

    // Faults

    fault_rates faults;
    void killEntry(unsigned number, duration downFor);
    void killAgent(unsigned number, duration downFor);
    /// @brief Stops a process from executing for some time, without ending it.
    void suspend(const std::string &endpoint, duration length);
    /// @brief Blocks messages between two processes in both directions.
    void partition(const std::string &first, const std::string &second, duration length);
    /// @brief Blocks messages in one direction only.
    void partitionOneWay(const std::string &from, const std::string &to, duration length);
    /// @brief Delivers the messages that are sent in one direction in the next time at its end.
    void holdMessages(const std::string &from, const std::string &to, duration length);
    /// @brief Crashes a target with all its runs, and starts it again after `downFor`.
    /// @param sameId Whether it starts again under its old id.
    void crashTarget(unsigned number, duration downFor, bool sameId);
    /// @brief Takes a zone out of service, or back. Requires options::store.
    void setZoneOut(const std::string &zone, bool out);
    /// @brief Blocks the calls of a process to the store.
    void cutFromStore(const std::string &endpoint, duration length);
    /// @brief Lets the store refuse all calls.
    void stopStore(duration length);
    [[nodiscard]] const simulated_store &store() const { return m_store; }
    /// @brief Spec of jobs whose runs crash their target 10 ms after their start; the target starts
    ///        again 3.3 s later. Empty: no such jobs.
    std::string deadlySpec;

    [[nodiscard]] std::string entryName(unsigned number) const;
    [[nodiscard]] std::string agentName(unsigned number) const;
    [[nodiscard]] fake_target &targetOf(unsigned number);
    [[nodiscard]] dispatch_agent &agentAt(unsigned number);
    [[nodiscard]] dispatch_entry &entryAt(unsigned number);
    /// @brief Random number from 0 to `below` - 1.
    [[nodiscard]] unsigned random(unsigned below);

    // Results

    /// @brief Violations of the continuous checks, each with its time in seconds.
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    [[nodiscard]] std::size_t runningTasks() const;
    /// @brief Number of runs started so far.
    [[nodiscard]] std::size_t starts() const { return m_starts; }
    /// @brief Orders of all entries, and how many of them agents have refused.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> orders() const;
    /// @brief Number of crashes that runs with `deadlySpec` have caused so far.
    [[nodiscard]] std::size_t crashes() const { return m_crashes; }
    /// @brief Number of runs of a job started so far.
    [[nodiscard]] std::size_t startsOf(batch_job_id job) const;
    /// @brief Messages sent and received by a process so far.
    [[nodiscard]] const message_count &traffic(const std::string &endpoint) const;

private:
    struct process;
    struct world_event; ///< not defined or used

    /// Run time of a task on a target, without the target's own slowness.
    [[nodiscard]] duration runTimeOn(unsigned target, const run_ref &ref) const;
    [[nodiscard]] process *chooseEntry();
    void addEntry(unsigned number);
    void addAgent(unsigned number);
    void startProcess(process &subject);
    void step(duration length);
    void handleActions(process &subject);
    void handleAction(process &subject, dispatch_action &action);
    void sendMessage(process &from, const send_message &message);
    void sendCall(process &from, const target_call &call);
    void attempt(batch_job_id id);
    void handleReply(const job_reply &reply);
    void terminateProcess(process &subject);
    void scheduleRetry(batch_job_id id);
    void trace(const std::string &who, const log_event &event) const;
    void reportViolation(const std::string &what);
    void followStore(process &subject);
    void sendStoreCall(process &subject, const store_request &request);
    void handleStoreReply(process &subject, const store_reply &reply);
    /// Reports a start in a zone that was taken out of service at least 5 s ago, unless the agent
    /// was disturbed in the 3 s before the start.
    void checkZone(unsigned target);
    void disturb(const std::string &endpoint, duration length);
    void handleRunStart(const run_ref &ref, fake_target &target);
    void handleRunRemoval(const run_ref &ref, run_end_kind kind);
    void crashTargetOf(const run_ref &ref);
    [[nodiscard]] bool isPartitioned(const std::string &from, const std::string &to) const;
    [[nodiscard]] bool occurs(unsigned percentage);

    options m_options;
    manual_clock m_clock;
    std::mt19937_64 m_random;
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::string, std::unique_ptr<process>> m_processes;
    /// End of each partition, by sender and receiver of the blocked messages.
    std::map<std::pair<std::string, std::string>, time_point> m_partitions;
    /// End of each holdMessages(), by sender and receiver of the messages.
    std::map<std::pair<std::string, std::string>, time_point> m_heldMessages;
    std::vector<std::unique_ptr<fake_target>> m_targets;
    std::map<batch_job_id, tracked_job> m_jobs;
    /// Job and entry endpoint of each request that has no answer yet.
    std::map<caller_request, std::pair<batch_job_id, std::string>> m_requests;
    std::map<batch_task, unsigned> m_activeRuns;
    std::set<batch_task> m_doneTasks;
    std::set<batch_job_id> m_startedJobs;
    std::vector<std::string> m_violations;
    desired_state m_config;
    simulated_store m_store;
    time_point m_storeDownUntil;
    std::map<std::string, time_point> m_zonesOut;       ///< since when
    std::map<std::string, time_point> m_storeCuts;      ///< end of each, by endpoint
    std::map<std::string, time_point> m_disturbedUntil; ///< by endpoint
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_lastIncarnation = 0;
    /// Number of the last lifetime of a target, counted over all targets. It serves as the start
    /// time of that lifetime, in milliseconds. The suffix of a new id is its value when the target
    /// crashes.
    std::int64_t m_lastLifetime = 1;
    std::uint64_t m_lastFence = 1'000;
    std::size_t m_starts = 0;
    std::size_t m_crashes = 0;
    std::map<batch_job_id, std::size_t> m_startsByJob;
    std::map<batch_task, unsigned> m_crashesByTask;           ///< caused by the task
    std::map<batch_task, unsigned> m_startsAfterThreeCrashes; ///< of the task
    std::map<std::string, message_count> m_traffic;           ///< by endpoint
};

} // namespace bamboohead::dispatch_test
