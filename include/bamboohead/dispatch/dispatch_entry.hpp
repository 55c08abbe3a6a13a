#pragma once

#include "bamboohead/dispatch/agent_pool.hpp"
#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/cancel_ledger.hpp"
#include "bamboohead/dispatch/crash_ledger.hpp"
#include "bamboohead/dispatch/fleet_demand.hpp"
#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/room_sharing.hpp"
#include "bamboohead/dispatch/start_ledger.hpp"
#include "bamboohead/dispatch/wait_policy.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Time limits, intervals and capacity limits of a dispatch_entry.
struct dispatch_entry_limits
{
    /// Heartbeat interval to agents that hold runs of this entry. The newest stamp that the entry
    /// has echoed to such an agent is then at most two intervals old. Even when one heartbeat is
    /// lost it stays younger than dispatch_agent_limits::entryLease (600 ms), after which the agent
    /// stops the entry's runs.
    duration busyHeartbeatInterval = std::chrono::milliseconds{150};
    /// Heartbeat interval to agents of the working set without such runs. Also the interval to
    /// other entries in fleets with few of them, see largeFleetFactor().
    duration idleHeartbeatInterval = std::chrono::milliseconds{500};
    /// Heartbeat interval to agents outside the working set, and longest interval to other entries.
    duration standbyHeartbeatInterval = std::chrono::seconds{3};
    /// Sizes of the working set of each service.
    working_set_limits workingSet;
    /// Interval at which the stop of a run is sent again until its end is reported.
    duration stopRetryInterval = std::chrono::milliseconds{200};
    /// Time without a message from an agent after which its runs have certainly ended: the agent
    /// stops them when the newest stamp that this entry has echoed is 600 ms old
    /// (dispatch_agent_limits::entryLease), and the lease of its target expires 600 ms later
    /// (target_session_limits::lease). The other 200 ms are a margin.
    duration runLossTimeout = std::chrono::milliseconds{1'400};
    /// Maximum time from a start call without an answer to its execution, after which the start is
    /// no longer in doubt. The platform bounds it only by "seconds".
    duration maxStartDelay = std::chrono::seconds{60};
    /// Time for which the result of a job that has succeeded or failed is kept, to answer repeated
    /// requests for it.
    duration endedJobRetention = std::chrono::seconds{30};
    /// Delay before a task that may start on one target only is placed again, when it was refused
    /// or its target cannot take it; about the interval of reports of a changed load.
    duration boundTaskRetryDelay = std::chrono::milliseconds{50};
    /// Shortest time for which a cancelled job is not started by a repeat of its request, also when
    /// it is unknown how long its caller waits. Twice the wait of callers that give none.
    duration minCancelRetention = std::chrono::seconds{60};
    /// Shortest drain, in which jobs are still accepted: the load balancer stops sending jobs only
    /// after two failed checks, one second apart.
    duration minDrainTime = std::chrono::milliseconds{2'500};
    /// Longest drain: the platform kills a process 6 s after it has asked it to stop, and the
    /// answers of the open jobs have to be sent before.
    duration drainTimeout = std::chrono::milliseconds{5'250};
    /// Time after which a stopping entry exits although not all callers have read their responses;
    /// shorter than the 6 s after which the platform kills it.
    duration exitTimeout = std::chrono::milliseconds{5'750};
    /// Time limit of jobs whose callers give none. The limit of a job's route is not applied.
    duration defaultCallerTimeout = std::chrono::seconds{30};
    /// Time without a usable agent of any service after which a job is refused if its service has
    /// none. Agents connect to a newly started entry in less time.
    duration noAgentTimeout = std::chrono::milliseconds{2'000};
    /// Time after the start in which waiting times are not estimated, because most agents are not
    /// known yet. Jobs wait until agents are found, or until their answer can be of no use.
    duration discoveryTime = std::chrono::milliseconds{2'000};
    /// Number of orders of a task that an agent is to refuse when it cannot start the task at once.
    /// Another agent is tried after each of them; further orders may wait in an agent's queue.
    std::uint32_t immediateOrders = 4;
    /// Multiple of the response-time objective after which an answer is of no use to its caller.
    int maxObjectiveFactor = 3;
    std::size_t maxJobs = 20'000; ///< open jobs; further ones are refused
    /// Tasks of open jobs; jobs with more are refused. Their records take about 40 bytes each, so
    /// this is 16 MB. The connections of an entry allow 3,000 jobs with 133 tasks each.
    std::size_t maxOpenTasks = 400'000;
    duration tickPeriod = std::chrono::milliseconds{20}; ///< scheduled time between two ticks
    placement_options placement;
    /// Whether the room for new jobs is decided from the demand of all entries and shared between
    /// routes, see shareRoom(). Otherwise each entry decides by its own queue.
    bool fleetAdmission = false;
    /// Shortest interval of messages to other entries while jobs wait, see largeFleetFactor().
    duration demandInterval = std::chrono::milliseconds{150};
};

/// @brief Construction options of a dispatch_entry.
struct dispatch_entry_options
{
    process_identity self;
    std::vector<std::string> contacts; ///< endpoints of processes to ask for the entries
    std::uint64_t seed = 1;            ///< seed of all random choices
    dispatch_entry_limits limits;
};

/// @brief Monotonic counters of an entry.
struct dispatch_entry_counters
{
    std::uint64_t submitted = 0; ///< requests, including refused and repeated ones
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t abandoned = 0; ///< jobs cancelled because all their callers disconnected
    std::uint64_t expired = 0;   ///< jobs cancelled at their time limit
    std::uint64_t runsOrdered = 0;
    std::uint64_t runsRefused = 0;
    /// Runs that the agent reported as lost, runs that it does not hold although it has handled the
    /// order message, and runs of agents that were silent for too long or were replaced.
    std::uint64_t runsLost = 0;
    /// Runs that were not marked as lost when their agent had been silent for `runLossTimeout`,
    /// because their start was in doubt.
    std::uint64_t runsInDoubt = 0;
    /// Tasks that may start on one target only, because it may still execute an earlier start.
    std::uint64_t tasksBound = 0;
    std::uint64_t tasksGivenUp = 0; ///< because targets have crashed under several of their runs
    /// Jobs refused because the demand of all entries exceeded the room for their route.
    std::uint64_t refusedForRoom = 0;
    /// Runs ordered from an agent with the label that the task prefers, or without it although it
    /// prefers one.
    std::uint64_t runsNear = 0;
    std::uint64_t runsAway = 0;
    std::uint64_t runsNearAfterWait = 0; ///< of `runsNear`: that may wait for their place
};

/// @brief Scheduling logic of an entry: a process that accepts jobs from callers and assigns their
///        tasks to agents by resource demand. Performs no I/O: events are passed in as calls, and
///        takeActions() returns the resulting actions.
///
/// A run is one ordered execution of a task on a target; an order asks an agent for a run. A job
/// lasts no longer than its callers' connections: when the last caller disconnects or the time
/// limit is reached, all runs of the job are stopped. A task is started again only when its
/// previous run is known to have ended.
class dispatch_entry
{
public:
    dispatch_entry(dispatch_entry_options options, const clock &clock);

    // Inputs

    /// @brief Handles a message of another process.
    void receive(const wire::Envelope &envelope);
    /// @brief Handles a desired state that was read from the store.
    void handleConfig(const desired_state &state);
    /// @brief Records that the store's newest state was that of `revision` at the time `at`.
    void handleStateProof(std::uint64_t revision, time_point at);
    /// @brief Handles endpoints of entries that were found in the store.
    void addEntryEndpoints(const std::vector<std::string> &endpoints);
    /// @brief Accepts or refuses a job that a caller submits to a route of config(). A job that is
    ///        already open, or has recently succeeded or failed, is not started again. A job
    ///        that cancel() was called for is answered as cancelled. One whose callers have left,
    ///        or whose time limit has passed, is resumed if its runs have not all ended yet, and is
    ///        otherwise a new job.
    void submit(caller_request request, const dispatch_route &route, batch_submission job);
    /// @brief Handles the disconnection of the caller of `request`; a job without callers is
    ///        cancelled.
    void callerDisconnected(caller_request request);
    /// @brief Cancels a job. A repeat of its request does not start it for as long as its callers
    ///        wait, and for `minCancelRetention` at least.
    /// @return False when the job is unknown; true also for a job that has already ended and whose
    ///         result is still kept.
    bool cancel(batch_job_id id);
    /// @brief Does the periodic work; to be called every `tickPeriod`.
    void tick();
    /// @brief Starts a graceful shutdown. Emits `shutdown_complete` when the open jobs have
    ///        ended and `minDrainTime` has passed, or else after `drainTimeout`, when the callers
    ///        of the open jobs have been answered.
    void stop();

    // Outputs

    /// @brief Places waiting tasks and returns all actions since the last call.
    [[nodiscard]] std::vector<dispatch_action> takeActions();
    [[nodiscard]] const desired_state &config() const noexcept { return m_member.config(); }
    /// @return Nothing when the job is unknown. A cancelled job is known as `cancelled` until its
    ///         last run has ended. A job that has succeeded or failed is known for
    ///         `endedJobRetention`, or until 100,000 further jobs have succeeded or failed.
    [[nodiscard]] std::optional<batch_job_state> stateOf(batch_job_id id) const;
    /// @brief Finds the job of a request whose route config() lacks: the path belongs to a dropped
    ///        route, or to the route of an open job.
    [[nodiscard]] std::optional<batch_job_id> jobOfDroppedRoute(std::string_view host,
                                                                std::string_view path) const;
    /// @brief Number of open jobs of a route of which no task has been ordered yet.
    [[nodiscard]] std::size_t waitingJobs(std::string_view route) const;
    /// @brief Whether a load balancer should send callers to this entry.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool draining() const noexcept { return m_drainStart.has_value(); }
    /// @brief Whether new jobs are refused because `minDrainTime` has passed since the shutdown
    ///        started.
    [[nodiscard]] bool refusesJobs() const;
    /// @brief Whether `shutdown_complete` was emitted.
    [[nodiscard]] bool shutdownComplete() const noexcept { return m_shutdownCompleted.has_value(); }
    /// @brief Whether `exitTimeout` has passed since the shutdown started, and the answers of the
    ///        open jobs were emitted in an earlier tick.
    [[nodiscard]] bool exitDue() const;
    [[nodiscard]] const dispatch_entry_counters &counters() const noexcept { return m_counters; }
    /// @brief Current state as JSON, for operators.
    [[nodiscard]] boost::json::value dump() const;

private:
    /// Sort key of waiting jobs; lower keys are dispatched first. Jobs that are not late
    /// (job_record::late) precede the others. Within each group the route's priority decides, then
    /// the latest start that meets the objective.
    using queue_key = std::tuple<bool, std::uint32_t, time_point, batch_job_id>;

    struct job_record
    {
        batch_submission submission;
        dispatch_route route;
        std::vector<caller_request> callers;
        std::vector<batch_step_record> steps;
        time_point received;
        time_point expires;
        duration objective{}; ///< response-time objective
        /// Latest start of the job's first tasks with which the job meets its objective.
        time_point latestStart;
        /// Latest start of the job's first tasks with which the answer is of use to its caller, see
        /// dispatch_entry_limits::maxObjectiveFactor.
        time_point latestUsefulStart;
        /// Whether the job is dispatched after jobs that are not late. Set when `latestStart` has
        /// passed, or `latestUsefulStart` if a task of the job has started by then.
        bool late = false;
        std::size_t outstanding = 0; ///< runs that were ordered and have not ended
        bool started = false;        ///< at least one task was ordered
        bool ending = false; ///< starts no further tasks; removed when its last run has ended
        std::optional<batch_job_state> endState;
    };

    /// A task of a job to order, and whether the agent is to refuse it if it cannot start at once.
    struct task_order
    {
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        bool immediate = false;
        bool suspect = false; ///< see crash_ledger
        /// Id of the only target that may execute the task; empty: any, see start_ledger.
        std::string_view target;
        duration maxWait{}; ///< see chosen_agent
        duration expectedWait{};
        placement_reason reason = placement_reason::free;
    };

    struct ended_job
    {
        batch_job_id id;
        time_point ended;
    };

    void handleReport(incarnation_id sender, const wire::Envelope &envelope);
    void updateView(agent_view &agent, const wire::DispatchReport &report);
    void reconcile(agent_view &agent, const wire::Envelope &envelope);
    void handleRunEnd(agent_view &agent, const wire::RunEnd &end);
    void observeRunTime(agent_view &agent, job_record &job, const run_ref &ref,
                        const outstanding_run &run, duration runTime);
    [[nodiscard]] duration nominalRunTime(const job_record &job, const run_ref &ref,
                                          const outstanding_run &run) const;
    void checkRunProgress(agent_view &agent, const run_ref &ref, outstanding_run &run,
                          duration runTime);
    void handleLostRun(const run_ref &ref, incarnation_id agent, std::string_view why);
    void markRunsLost(agent_view &agent, const std::vector<run_ref> &lost, std::string_view why);
    void markSettledRunsLost(agent_view &agent);
    void sendStop(agent_view &agent, const run_ref &ref, outstanding_run &run);
    void handleTaskDone(job_record &job, const run_ref &ref);
    void handleTaskFailure(job_record &job, const run_ref &ref, incarnation_id agent);
    /// Records a start in doubt, see start_ledger.
    void bindTask(const batch_task &task, std::string_view target, const agent_view &agent,
                  time_point until);
    void bindTask(const batch_task &task, const wire::StartInDoubt &start, const agent_view &agent);
    void handleStartsInDoubt(agent_view &agent, const wire::DispatchReport &report);
    void handleCrashes(agent_view &agent, const wire::DispatchReport &report);
    [[nodiscard]] bool taskDone(const batch_task &task) const;
    void giveUp(const batch_task &task);
    void deferTask(const batch_task &task, time_point until);
    void logDeferral(const batch_task &task, time_point until);
    void releaseDeferredTasks();
    void requeueTask(job_record &job, const batch_task &task, incarnation_id avoidedAgent);
    void markPredecessorRunsLost(const agent_view &successor, const std::string &clearedTarget,
                                 time_point echo);
    void removeSilentAgents();
    [[nodiscard]] static std::size_t taskCount(const batch_submission &job);
    [[nodiscard]] error_kind refusalReason(const dispatch_route &route,
                                           const batch_submission &job) const;
    void refuse(caller_request request, batch_job_id id, error_kind why, duration retryAfter);
    void refuseJob(job_record &job, error_kind why, duration retryAfter);
    void setObjective(job_record &job) const;
    [[nodiscard]] duration expectedWait(const queue_key &key, const job_record &job) const;
    [[nodiscard]] std::uint64_t queuedWork(const job_record &job) const;
    [[nodiscard]] placement_request makePlacementRequest(const job_record &job,
                                                         std::uint32_t step) const;
    [[nodiscard]] duration backlog() const;
    /// Computes the load of each service from the demand of all entries, and the shares of its
    /// routes.
    void updateFleetLoad();
    void logSharedRoom(const std::string &service, const service_load &load);
    /// Whether a job of a route is accepted. Draws a random number.
    [[nodiscard]] bool admits(const dispatch_route &route);
    /// Work that waits at agents, in millicore-seconds.
    [[nodiscard]] std::uint64_t queuedWorkAt(const agent_view &agent) const;
    /// Interval of messages to other entries.
    [[nodiscard]] duration syncInterval() const;
    [[nodiscard]] bool discovering() const;
    [[nodiscard]] duration measureEventLoopDelay();
    void demoteOrRefuseLateJobs();
    void finishShutdown();
    [[nodiscard]] bool handleRepeatedRequest(caller_request request, const batch_submission &job);
    void joinJob(job_record &job, caller_request request);
    void enqueue(const job_record &job);
    void dispatch();
    bool dispatchJob(job_record &job);
    void fillOrder(wire::RunOrder &out, const job_record &job, const task_order &order) const;
    void addOrder(agent_view &agent, job_record &job, const task_order &order);
    void stopRuns(const job_record &job);
    void endJob(job_record &job, batch_job_state state, error_kind error);
    void keepResult(batch_job_id id, batch_job_state state);
    void expireJobs();
    [[nodiscard]] duration callerTimeoutOf(const batch_submission &job) const;
    void removeIfFinished(batch_job_id id);
    void evictEndedJobs();
    void sendOrders();
    [[nodiscard]] duration heartbeatInterval(const agent_view &agent) const;
    [[nodiscard]] std::int64_t largeFleetFactor() const;
    /// Adds a list of entries to a message to a process: all of them if such a list is due, else
    /// those that the previous lists may lack.
    template <typename Message>
    void addMemberList(Message &message, member_list_times &times);
    void addHeartbeat(agent_view &agent, wire::DispatchOrders &message);
    void syncEntries();
    [[nodiscard]] static queue_key keyOf(const job_record &job);
    [[nodiscard]] static bool stepReady(const job_record &job, std::size_t step);

    dispatch_entry_options m_options;
    fleet_member m_member;
    agent_pool m_pool;
    std::unordered_map<batch_job_id, job_record> m_jobs;
    std::unordered_map<caller_request, batch_job_id> m_callers;
    std::set<queue_key> m_queue;
    std::set<std::pair<time_point, batch_job_id>> m_expiries;
    std::unordered_map<batch_job_id, batch_job_state> m_ended;
    std::deque<ended_job> m_endedByTime; ///< jobs of `m_ended`, oldest end first
    cancel_ledger m_cancels;
    crash_ledger m_crashes;
    start_ledger m_starts;
    std::multimap<time_point, batch_task> m_deferred;              ///< by the end of the delay
    std::map<incarnation_id, wire::DispatchOrders> m_unsentOrders; ///< orders and stops, by agent
    struct sync_times
    {
        time_point message; ///< last message to the entry
        member_list_times memberList;
    };
    std::map<incarnation_id, sync_times> m_lastSync; ///< by other entry
    run_time_model m_runTimes;
    start_rate m_startRate;
    /// With fleetAdmission it limits the share only by the delay of this process's event loop.
    admission_share m_admission;
    fleet_demand m_demand;
    /// State of one service, by the hash of its name.
    struct service_room
    {
        service_load load;
        standing_backlog backlog;
        std::map<name_hash, double> shares; ///< see shareRoom()
        time_point lastLog;                 ///< of `room_shared`
    };
    std::map<name_hash, service_room> m_rooms;
    queue_patience m_patience;
    /// Mean expected run time of ordered tasks, by priority.
    std::map<std::uint32_t, duration> m_meanRunTimes;
    std::mt19937_64 m_random;
    time_point m_started;
    time_point m_lastTick;
    time_point m_lastUsableAgent; ///< last time with a usable agent; initially the process start
    std::uint64_t m_lastEpoch = 0;
    bool m_dispatchDue = false; ///< tasks may have become placeable since the last dispatch pass
    std::optional<time_point> m_drainStart;
    std::optional<time_point> m_shutdownCompleted; ///< when `shutdown_complete` was emitted
    /// Jobs that may have run and were open at the drain limit.
    std::set<batch_job_id> m_interrupted;
    std::size_t m_openTasks = 0; ///< tasks of the jobs in `m_jobs`
    dispatch_entry_counters m_counters;
};

} // namespace bamboohead
