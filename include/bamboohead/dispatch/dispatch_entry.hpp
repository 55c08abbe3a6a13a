#pragma once

#include "bamboohead/dispatch/agent_pool.hpp"
#include "bamboohead/dispatch/batch_job.hpp"
#include "bamboohead/dispatch/fleet_member.hpp"

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

/// @brief Times of an entry that serves jobs by resources.
struct dispatch_entry_limits
{
    /// To agents with runs of this entry. An agent's knowledge of the entry is then at most two
    /// pulses old, and one lost pulse does not reach the 600 ms after which runs are stopped.
    duration busyPulse = std::chrono::milliseconds{150};
    duration idlePulse = std::chrono::milliseconds{500}; ///< to other agents and to entries
    duration stopRepeat = std::chrono::milliseconds{200};
    /// Without a message from an agent for this long its runs have ended: the agent stops them
    /// 600 ms after the newest echo, and the lease of its target lapses 600 ms later.
    duration runLossLimit = std::chrono::milliseconds{1'400};
    duration endedKept = std::chrono::seconds{30}; ///< for late copies of a request
    /// Shortest drain: the balancer needs two missed checks, a second apart.
    duration drainLinger = std::chrono::milliseconds{2'500};
    /// The platform ends a process that was asked to stop after 6 s.
    duration drainLimit = std::chrono::milliseconds{5'500};
    duration defaultPatience = std::chrono::seconds{30}; ///< of callers that do not tell theirs
    /// Without a usable agent for this long, jobs are refused; agents find a new entry sooner.
    duration targetGrace = std::chrono::milliseconds{2'000};
    /// An answer after this multiple of the response-time objective is of no use to its caller.
    int usefulObjectives = 3;
    std::size_t maxJobs = 20'000;
    duration tickPeriod = std::chrono::milliseconds{20}; ///< planned time between two ticks
};

/// @brief Construction options of a dispatch_entry.
struct dispatch_entry_options
{
    process_identity self;
    std::vector<std::string> contacts; ///< endpoints of processes that may know entries
    std::uint64_t seed = 1;            ///< of all random choices
    dispatch_entry_limits limits;
};

/// @brief Counters of an entry, monotonic.
struct dispatch_entry_counters
{
    std::uint64_t submitted = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t abandoned = 0; ///< the caller left
    std::uint64_t expired = 0;
    std::uint64_t runsOrdered = 0;
    std::uint64_t runsRefused = 0;
    std::uint64_t runsLost = 0;
};

/// @brief Decisions of an entry that runs jobs by the resources of their tasks. Performs no I/O.
///
/// The job lives with its caller's connection: when the caller leaves or its time is over, all its
/// runs are stopped. A task is started again only when its last run is known to have ended.
class dispatch_entry
{
public:
    dispatch_entry(dispatch_entry_options options, const clock &clock);

    // Inputs

    void receive(const wire::Envelope &envelope);
    void configRead(const desired_state &state);
    void entriesFound(const std::vector<std::string> &endpoints);
    /// @brief A caller submits a job to a route of the configuration in force.
    void submit(caller_request request, const dispatch_route &route, batch_submission job);
    /// @brief The caller of `request` has left.
    void callerGone(caller_request request);
    /// @brief Cancels a job.
    /// @return Whether the job is known.
    bool cancel(batch_job_id id);
    void tick();
    /// @brief Starts a graceful shutdown: jobs end, then the process may exit.
    void stop();

    // Outputs

    [[nodiscard]] std::vector<dispatch_action> takeActions();
    [[nodiscard]] const desired_state &config() const noexcept { return m_member.config(); }
    /// @brief State of a job that this entry knows.
    [[nodiscard]] std::optional<batch_job_state> stateOf(batch_job_id id) const;
    /// @brief Jobs of a route without a started task.
    [[nodiscard]] std::size_t waitingJobs(std::string_view route) const;
    /// @brief Whether callers should be sent here.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool draining() const noexcept { return m_stopSince.has_value(); }
    /// @brief Whether the shutdown has come so far that new jobs are refused.
    [[nodiscard]] bool refusesJobs() const;
    [[nodiscard]] const dispatch_entry_counters &counters() const noexcept { return m_counters; }
    [[nodiscard]] boost::json::value dump() const;

private:
    /// Lower keys are served first: jobs that can still meet their objective, then the route's
    /// priority, then the time at which a job has to start.
    using queue_key = std::tuple<bool, std::uint32_t, time_point, batch_job_id>;

    struct job_record
    {
        batch_submission job;
        dispatch_route route;
        std::vector<caller_request> callers;
        std::vector<batch_step_record> steps;
        time_point received;
        time_point expires;
        duration objective{};    ///< response time that the route asks for
        time_point latestStart;  ///< a later start misses the objective
        time_point latestUseful; ///< a later start is of no use to the caller
        bool late = false;       ///< `latestStart` has passed with tasks waiting
        std::size_t outstanding = 0;
        bool started = false;
        bool ending = false; ///< no further starts; the record goes with its last run
        std::optional<batch_job_state> endState;
    };

    struct ended_job
    {
        batch_job_id id;
        time_point ended;
    };

    void reportReceived(incarnation_id sender, const wire::Envelope &envelope);
    void updateView(agent_view &agent, const wire::DispatchReport &report);
    void reconcile(agent_view &agent, const wire::DispatchReport &report);
    void runEnded(agent_view &agent, const wire::RunEnd &end);
    void observeRunTime(agent_view &agent, job_record &job, const run_ref &ref,
                        const outstanding_run &run, duration runTime);
    [[nodiscard]] duration ordinaryTime(const job_record &job, const run_ref &ref,
                                        const outstanding_run &run) const;
    void watchRun(agent_view &agent, const run_ref &ref, outstanding_run &run, duration runTime);
    void runLost(const run_ref &ref, incarnation_id agent, std::string_view why);
    void loseRuns(agent_view &agent, std::string_view why);
    void sendStop(agent_view &agent, const run_ref &ref, outstanding_run &run);
    void taskDone(job_record &job, const run_ref &ref);
    void taskFailed(job_record &job, const run_ref &ref, incarnation_id agent);
    void taskWaits(job_record &job, const batch_task &task, incarnation_id avoid);
    void supersede(const agent_view &successor);
    void loseSilentAgents();
    [[nodiscard]] error_kind refusalOf(const dispatch_route &route,
                                       const batch_submission &job) const;
    void refuse(caller_request request, batch_job_id id, error_kind why, duration retryAfter);
    void setTimes(job_record &job) const;
    [[nodiscard]] duration expectedWait(const queue_key &key, const job_record &job) const;
    [[nodiscard]] std::uint64_t waitingWork(const job_record &job) const;
    [[nodiscard]] placement_request requestFor(const job_record &job, std::uint32_t step) const;
    [[nodiscard]] duration backlog() const;
    [[nodiscard]] duration ownDelay();
    void shedLateJobs();
    void resumeEnding(job_record &job, caller_request request);
    void enqueue(const job_record &job);
    void dispatch();
    bool dispatchJob(job_record &job);
    void order(agent_view &agent, job_record &job, std::uint32_t step, std::uint32_t index);
    void stopRuns(const job_record &job);
    void endJob(job_record &job, batch_job_state state, error_kind error);
    void expireJobs();
    void removeIfOver(batch_job_id id);
    void forgetEnded();
    void sendOrders();
    void pulse(agent_view &agent, wire::DispatchOrders &message);
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
    std::deque<ended_job> m_endedOrder;
    std::map<incarnation_id, wire::DispatchOrders> m_drafts;
    std::map<incarnation_id, time_point> m_lastSync;
    run_time_model m_times;
    start_rate m_rate;
    admission_share m_admission;
    std::map<std::uint32_t, duration> m_meanRuns; ///< expected run time of orders, by priority
    std::mt19937_64 m_random;
    time_point m_lastTick;
    time_point m_lastUsable; ///< an agent could get orders, or the process started
    std::uint64_t m_lastEpoch = 0;
    bool m_dispatchDue = false;
    std::optional<time_point> m_stopSince;
    bool m_done = false;
    dispatch_entry_counters m_counters;
};

} // namespace bamboohead
