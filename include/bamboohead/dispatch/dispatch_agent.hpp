#pragma once

#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/load_policy.hpp"
#include "bamboohead/dispatch/state_reader.hpp"
#include "bamboohead/dispatch/target_session.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace bamboohead {

/// @brief Timeouts, intervals and queue size of a dispatch_agent.
///
/// Stamps and echoes are explained at link_table. An agent sends two kinds of reports to entries,
/// both with its load and the run ends that were not sent yet. A full report also contains all
/// unacknowledged run ends, the complete list of the entry's runs, and the target's capacity and
/// labels. An early report is sent between full ones when a run has ended or the load has changed.
struct dispatch_agent_limits
{
    /// Maximum age of the newest stamp that an entry has echoed before its runs are stopped. The
    /// sum of this time and the target's lease has to be shorter than the time after which a caller
    /// that has lost its entry resubmits its job.
    duration entryLease = std::chrono::milliseconds{600};
    /// Maximum age of an order, measured from the stamp that its sender echoed. Older orders are
    /// refused.
    duration maxOrderAge = std::chrono::milliseconds{600};
    /// Interval between full reports to an entry that has runs here or has not acknowledged all run
    /// ends.
    duration busyHeartbeatInterval = std::chrono::milliseconds{150};
    /// Interval between full reports to any other entry that does not ask for a longer one.
    duration idleHeartbeatInterval = std::chrono::milliseconds{500};
    /// Longest interval between full reports that an entry may ask for.
    duration maxIdleInterval = std::chrono::seconds{4};
    /// Change of the CPU demand of running tasks, in percent of the CPU capacity, above which
    /// entries that have runs or unacknowledged run ends at this agent receive an early report.
    /// With outdated load figures several entries would choose the same agent.
    std::uint64_t loadChangePercent = 20;
    /// Shortest interval between early reports to an entry because of a changed load, with up to 7
    /// entries. With more, it is multiplied by a quarter of their number, rounded down.
    duration minEarlyReportInterval = std::chrono::milliseconds{25};
    /// Maximum duration of a graceful shutdown. The platform kills a process 6 s after it was asked
    /// to stop.
    duration drainTimeout = std::chrono::milliseconds{5'000};
    /// Percentage of the target's CPU and memory capacity by which the sum of the demands of the
    /// started runs, the queued runs of a priority or more urgent ones and a new run of that
    /// priority may exceed the capacity. The number of accelerators may not be exceeded. The queue
    /// avoids waiting for a round trip to an entry: when a task ends, the next one is already at
    /// the agent. Less urgent runs do not count, so an urgent run is accepted even when the queue
    /// is full of them.
    std::uint64_t queuePercent = 40;
};

/// @brief Construction options of a dispatch_agent.
struct dispatch_agent_options
{
    process_identity self;
    std::vector<std::string> contacts; ///< endpoints of processes that can list the entries
    /// Generation of the fencing tokens in calls to the target; higher than those of the target's
    /// earlier agents.
    std::uint64_t fenceGeneration = 1;
    /// Whether the agent can read the store: stateReadDue() is obeyed. Without a store, tasks start
    /// whatever the age of the desired state.
    bool readsStore = false;
    std::uint64_t seed = 0; ///< of random delays; should differ between agents
    dispatch_agent_limits limits;
    target_session_limits target;
    state_reader_limits stateReader;
};

/// @brief Monotonic counters of runs at an agent.
struct dispatch_agent_counters
{
    std::uint64_t started = 0; ///< start calls, including repeated ones for the same run
    std::uint64_t done = 0;    ///< ended with success
    std::uint64_t notDone = 0; ///< failed, lost, or stopped, also while queued
    /// Ordered runs that the agent or the target refused, that the agent dropped from its queue
    /// when its shutdown started, or whose start call was not executed and is not repeated.
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0; ///< crashes of the target while it was running tasks
    /// Reads of the desired state in the store, because no entry had read it for too long.
    std::uint64_t stateReads = 0;
    std::uint64_t stateReadsFailed = 0;
    /// Queued runs that were returned because they had waited for much longer than expected.
    std::uint64_t runsReturned = 0;
};

/// @brief Scheduling logic of an agent that runs tasks within its target's resources. Performs no
///        I/O.
///
/// Accepts orders, that is requests of entries to start runs, while the target and the queue have
/// room for them, starts the most urgent run first, and stops runs whose entry no longer responds.
/// Reports the end of each run repeatedly until the entry has acknowledged it.
class dispatch_agent
{
public:
    dispatch_agent(dispatch_agent_options options, const clock &clock);

    // Inputs

    /// @brief Handles a message of another process.
    void receive(const wire::Envelope &envelope);
    /// @brief Handles a status report of the target.
    /// @return Whether the report is used, see target_session::handleReport().
    bool handleTargetReport(const target_report &report);
    /// @brief Handles the target's announcement that it shuts down.
    void handleTargetShutdown(const std::string &targetId);
    /// @brief Handles the reply to a call to the target, or its timeout.
    void handleCallResult(const target_reply &reply);
    /// @brief Adds endpoints of entries, as found in the store.
    void addEntryEndpoints(const std::vector<std::string> &endpoints);
    /// @brief Handles the desired state as read from the store.
    void handleConfig(const desired_state &state);
    /// @brief Whether the desired state is to be read from the store now. To be called before each
    ///        tick; the result is handed over with handleStateProof() or handleStateReadFailure().
    [[nodiscard]] bool stateReadDue();
    /// @brief Handles a successful read of the desired state; handleConfig() is called before.
    /// @param revision Revision of the store at which the state was read.
    /// @param at Time at which the store had no newer one.
    void handleStateProof(std::uint64_t revision, time_point at);
    /// @brief Handles a failed read of the desired state.
    void handleStateReadFailure();
    /// @brief Performs periodic work: timeouts, list calls, starts of queued runs.
    void tick();
    /// @brief Starts a graceful shutdown: refuses new orders and queued runs. Emits
    ///        `shutdown_complete` when the running ones have ended and reports of all run ends were
    ///        sent, acknowledged or not, or else after the drain timeout.
    void stop();

    // Outputs

    /// @brief Returns the actions to carry out since the last call, due reports to entries
    ///        included.
    [[nodiscard]] std::vector<dispatch_action> takeActions();
    /// @brief Whether any entry has echoed a stamp that is at most 3 s old.
    [[nodiscard]] bool connected() const;
    [[nodiscard]] const dispatch_agent_counters &counters() const noexcept { return m_counters; }
    /// @brief Returns the run times of the runs that have succeeded since the last call.
    [[nodiscard]] std::vector<duration> takeRunTimes() { return std::exchange(m_runTimes, {}); }
    /// @brief State of the agent as JSON, for diagnosis.
    [[nodiscard]] boost::json::value dump() const;

private:
    /// What the agent keeps of one entry: message numbers, unacknowledged run ends, and the time
    /// and content of the newest reports. Orders are numbered by the entry, run ends by this agent.
    /// Each side numbers anew, under a higher epoch, after it has removed its state of the other.
    struct entry_state
    {
        std::uint64_t epoch = 0;           ///< this agent's epoch, of `newestEndNumber`
        std::uint64_t peerEpoch = 0;       ///< the entry's epoch, of `ordersHandled`
        std::uint64_t ordersHandled = 0;   ///< number of the newest handled message of orders
        std::uint64_t newestEndNumber = 0; ///< number of the newest end of a run
        std::deque<wire::RunEnd> unacked;  ///< unacknowledged ends, oldest first
        std::size_t unsent = 0;  ///< how many of the newest `unacked` ends no report contained yet
        duration idleInterval{}; ///< that the entry asks for; 0: idleHeartbeatInterval
        time_point lastFullReport;     ///< default value: a full report is due
        time_point lastReport;         ///< time of the newest report of any kind
        std::uint64_t reportedCpu = 0; ///< CPU demand of the running tasks in the newest report
        std::uint64_t crashesSeen = 0; ///< highest number of a crash that the entry has received
        std::uint64_t doubtsSeen = 0;  ///< the same of the tasks with a start in doubt
    };

    /// Priority and arrival number of a queued run. Runs with lower keys start first.
    using queue_key = std::tuple<std::uint32_t, std::uint64_t>;

    /// What an order requires of the target; an empty string requires nothing.
    struct target_requirements
    {
        std::string service;
        std::string label;
        std::string target; ///< id of the only target that may execute the run
        time_point until;   ///< end of the doubt because of which `target` is required
    };

    /// A run that is queued at the agent or started on its target. The record of a started run in
    /// the target_session is target_session::session_run.
    struct agent_run
    {
        incarnation_id entry = incarnation_id::none; ///< the entry that ordered the run
        std::string spec;
        resources demand;
        target_requirements requirements;
        duration expected{}; ///< run time on a target of normal speed; 0: unknown
        duration maxWait{};  ///< longest expected wait in the queue; 0: no limit
        time_point ordered;  ///< when the order was accepted
        queue_key key;
        /// Number of the entry's newest message that ordered the run; 0: of an earlier epoch.
        std::uint64_t order = 0;
        time_point expires; ///< the run is stopped at this time
        bool queued = true;
        bool stopping = false;
        bool suspect = false; ///< started only while no other suspect is running
    };

    /// A task under which the target has crashed.
    struct crash_record
    {
        batch_task task;
        std::uint64_t crash = 0; ///< number of the crash, see dispatch_agent_counters::crashes
        time_point known;        ///< when the crash became known
    };

    /// A task whose run is to end, or has ended, while a start of it is in doubt.
    struct doubt_record
    {
        batch_task task;
        start_in_doubt start;
        std::uint64_t number = 0; ///< numbers the records from 1
        time_point recorded;
    };

    void handleOrdersMessage(incarnation_id sender, const wire::DispatchOrders &message,
                             const receive_result &received);
    void handleOrders(incarnation_id entry, const wire::DispatchOrders &message, bool fresh);
    /// @param number Number of the message.
    void handleOrder(incarnation_id entry, const wire::RunOrder &order, const wire::RunTask &task,
                     std::uint64_t number, bool fresh);
    /// The entry begins a new epoch, and numbers its messages anew.
    void forgetOrderNumbers(incarnation_id sender, entry_state &entry);
    /// Reason to refuse an order, or `none`. `fresh`: the echo that came with the order is at most
    /// `maxOrderAge` old.
    [[nodiscard]] error_kind refusalReason(const run_ref &ref, const wire::RunOrder &order,
                                           bool fresh) const;
    [[nodiscard]] resources queuedDemandUpTo(std::uint32_t priority) const;
    /// Expected time until a run with this priority and demand would start; without a priority, of
    /// one that precedes all waiting runs.
    [[nodiscard]] duration expectedWait(std::optional<std::uint32_t> priority,
                                        const resources &demand) const;
    /// Mean demand of the runs of this agent.
    [[nodiscard]] resources meanDemand() const;
    /// Expected run time on this target.
    [[nodiscard]] duration expectedHere(const agent_run &run) const;
    /// Returns queued runs that have waited for much longer than expected to their entries.
    void returnOverdueRuns();
    /// Records the run time of a task that is done in the lasting slowness of the target.
    void recordRunTime(const agent_run &run, duration runTime);
    void enqueue(const run_ref &ref, const agent_run &run);
    void dequeue(const agent_run &run);
    /// Stops the runs of an entry that are missing from the complete list in its message.
    void reconcile(incarnation_id entry, const wire::DispatchOrders &message);
    /// @param due When the run's right to execute ended.
    void stopRun(const run_ref &ref, time_point due);
    void startQueued();
    /// Whether the agent knows that its zone is still in service, or that nobody can take it out.
    [[nodiscard]] bool mayStart();
    /// Refuses all queued runs, so that their entries order them elsewhere.
    void refuseQueuedRuns(error_kind reason);
    /// Refuses queued runs that the target cannot execute: it may have restarted with less
    /// capacity, as another kind or under another id since they were accepted.
    void refuseUnfitRuns();
    /// Whether the target meets the requirements of an order, apart from its resources.
    [[nodiscard]] bool targetMeets(const target_requirements &requirements) const;
    /// When the entry's newest echo becomes older than `entryLease`.
    [[nodiscard]] time_point entryLeaseEnd(incarnation_id entry) const;
    /// Stops the runs whose entry has echoed no stamp that is at most `entryLease` old, and those
    /// whose time limit has passed. Called before each step that may extend the lease or start a
    /// run, as the agent may have been suspended since the last tick.
    void stopRunsOfSilentEntriesAndExpiredRuns();
    void takeSessionResults();
    void recordCrash(const std::vector<batch_task> &tasks);
    /// Reports the start of the task that is in doubt, if any, to all entries: the caller may
    /// submit its job to any of them.
    void recordDoubt(const batch_task &task);
    /// The start of the task that is in doubt, as this agent or the entry of its run knows it.
    [[nodiscard]] std::optional<start_in_doubt> startInDoubt(const batch_task &task) const;
    /// Whether an entry has not acknowledged a task with a start in doubt that was recorded a short
    /// time ago.
    [[nodiscard]] bool hasNewDoubtsFor(const entry_state &entry) const;
    [[nodiscard]] bool suspectRunning() const;
    void handleRunEnd(const run_outcome &end);
    void endRun(const run_ref &ref, wire::RunOutcome outcome, error_kind error, duration runTime,
                bool crashPossible = false);
    /// Adds the end of a run to the reports to an entry.
    /// @param order Number of the message that ordered the run; 0: of an earlier epoch.
    void reportEnd(incarnation_id receiver, const run_ref &ref, std::uint64_t order,
                   wire::RunOutcome outcome, error_kind error, duration runTime,
                   bool crashPossible);
    void count(wire::RunOutcome outcome, duration runTime);
    entry_state &findOrAddEntry(incarnation_id entry);
    void sendReports();
    void sendReport(incarnation_id entry, entry_state &state, bool full);
    /// Adds the running and waiting demand and the expected waits.
    void addLoad(wire::DispatchReport &report) const;
    [[nodiscard]] bool loadChanged(const entry_state &state) const;
    [[nodiscard]] bool hasRunsOf(incarnation_id entry) const;
    [[nodiscard]] bool acceptsOrders() const;

    dispatch_agent_options m_options;
    fleet_member m_member;
    target_session m_session;
    std::map<incarnation_id, entry_state> m_entries;
    std::map<run_ref, agent_run> m_runs;
    std::map<queue_key, run_ref> m_queue;
    std::map<std::uint32_t, resources> m_queued; ///< demand of queued runs by priority
    std::uint64_t m_lastQueueNumber = 0;         ///< newest arrival number in a queue_key
    std::uint64_t m_lastEpoch = 0;               ///< newest epoch given to an entry_state
    dispatch_agent_counters m_counters;
    std::vector<duration> m_runTimes;
    lasting_slowness m_slowness;
    std::optional<target_lifetime> m_slownessOf; ///< lifetime that `m_slowness` belongs to
    std::deque<crash_record> m_crashed;          ///< oldest first
    std::deque<doubt_record> m_doubts;           ///< oldest first
    std::uint64_t m_lastDoubt = 0;               ///< number of the newest doubt_record
    state_reader m_stateReader;
    bool m_waitLogged = false; ///< that queued runs wait for a read of the desired state
    bool m_lastLoggedReady = false;
    std::optional<time_point> m_stopSince; ///< start of the graceful shutdown, if any
    bool m_shutdownReported = false;
};

} // namespace bamboohead
