#pragma once

#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/target_session.hpp"

#include <boost/json/value.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace bamboohead {

/// @brief Times of an agent that serves jobs by resources.
struct dispatch_agent_limits
{
    /// Runs of an entry that has echoed no stamp for this long are stopped. Together with the
    /// target's lease it ends before a caller that lost its entry sends its job again.
    duration entryLease = std::chrono::milliseconds{600};
    /// Orders whose sender knew less than this long ago are accepted.
    duration orderAge = std::chrono::milliseconds{600};
    duration busyPulse = std::chrono::milliseconds{150}; ///< to entries with runs here
    duration idlePulse = std::chrono::milliseconds{500}; ///< to other entries
    /// Entries with runs here are told early when the demand of running tasks has changed by this
    /// part of the capacity, in percent: with older figures several of them choose the same agent.
    std::uint64_t changePercent = 20;
    duration changePulse = std::chrono::milliseconds{25}; ///< shortest pause between such reports
    /// The platform ends a process that was asked to stop after 6 s.
    duration drainLimit = std::chrono::milliseconds{5'000};
    /// Demand of a priority and those before it that may wait for room, in percent of the capacity.
    /// It hides the round trip to the entries: a task that ends is followed by one that is already
    /// here. Urgent runs find room in the queue even when it is full of others.
    std::uint64_t queuePercent = 40;
};

/// @brief Construction options of a dispatch_agent.
struct dispatch_agent_options
{
    process_identity self;
    std::vector<std::string> contacts; ///< endpoints of processes that may know entries
    std::uint64_t firstFence = 1;      ///< higher than that of earlier agents of the target
    dispatch_agent_limits limits;
    target_session_limits target;
};

/// @brief Counters of an agent, monotonic.
struct dispatch_agent_counters
{
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t notDone = 0; ///< failed, stopped or lost
    std::uint64_t refused = 0; ///< orders that never started
};

/// @brief Decisions of an agent that runs tasks by their resources. Performs no I/O.
///
/// Accepts orders while the target has room for them, starts the most urgent first, stops runs
/// whose entry is silent, and reports each end until its entry has acknowledged it.
class dispatch_agent
{
public:
    dispatch_agent(dispatch_agent_options options, const clock &clock);

    // Inputs

    void receive(const wire::Envelope &envelope);
    /// @brief The target has reported itself; the report counts as received in any case.
    void targetReported(const target_report &report);
    void targetLeft(const std::string &targetId);
    void callEnded(const target_reply &reply);
    void entriesFound(const std::vector<std::string> &endpoints);
    void configRead(const desired_state &state);
    void tick();
    /// @brief Starts a graceful shutdown: no new orders, runs end, then the process may exit.
    void stop();

    // Outputs

    [[nodiscard]] std::vector<dispatch_action> takeActions();
    /// @brief Whether an entry has been heard lately.
    [[nodiscard]] bool connected() const;
    [[nodiscard]] const dispatch_agent_counters &counters() const noexcept { return m_counters; }
    /// @brief Takes the run times of runs that were done since the last call.
    [[nodiscard]] std::vector<duration> takeRunTimes() { return std::exchange(m_runTimes, {}); }
    [[nodiscard]] boost::json::value dump() const;

private:
    struct entry_link
    {
        std::uint64_t epoch = 0; ///< of `endsCounted`; a link that is made anew has a higher one
        std::uint64_t peerEpoch = 0; ///< of `ordersHandled`, the entry's
        std::uint64_t ordersHandled = 0;
        std::uint64_t endsCounted = 0;
        std::deque<wire::RunEnd> unacked;
        std::size_t unsent = 0; ///< newest of `unacked` that were not sent yet
        time_point lastReport;  ///< whole one
        time_point lastFigures;
        std::uint64_t reportedCpu = 0; ///< of the running tasks, in the newest report
    };

    /// Lower keys start first.
    using queue_key = std::tuple<std::uint32_t, std::uint64_t>;

    struct held_run
    {
        incarnation_id entry = incarnation_id::none;
        std::string spec;
        resources demand;
        queue_key key;
        time_point expires;
        bool queued = true;
        bool stopping = false;
    };

    void ordersReceived(incarnation_id sender, const wire::DispatchOrders &message,
                        const reception &verdict);
    void acceptAll(incarnation_id entry, const wire::DispatchOrders &message, bool fresh);
    void accept(incarnation_id entry, const wire::RunOrder &order, const wire::RunTask &task,
                bool fresh);
    [[nodiscard]] error_kind refusalOf(const run_ref &ref, const resources &demand,
                                       std::uint32_t priority, bool fresh) const;
    [[nodiscard]] resources queuedUpTo(std::uint32_t priority) const;
    void enqueue(const run_ref &ref, const held_run &run);
    void dequeue(const held_run &run);
    void reconcile(incarnation_id entry, const wire::DispatchOrders &message);
    void stopRun(const run_ref &ref);
    void startQueued();
    void stopOrphans();
    void takeSessionResults();
    void sessionEnded(const session_end &end);
    void endRun(const run_ref &ref, wire::RunOutcome outcome, error_kind error, duration runTime);
    void count(wire::RunOutcome outcome, duration runTime);
    entry_link &linkTo(incarnation_id entry);
    void sendReports();
    void sendReport(incarnation_id entry, entry_link &link, bool whole);
    [[nodiscard]] bool figuresChanged(const entry_link &link) const;
    [[nodiscard]] bool hasRunsOf(incarnation_id entry) const;
    [[nodiscard]] bool takesOrders() const;

    dispatch_agent_options m_options;
    fleet_member m_member;
    target_session m_session;
    std::map<incarnation_id, entry_link> m_entries;
    std::map<run_ref, held_run> m_runs;
    std::map<queue_key, run_ref> m_queue;
    std::map<std::uint32_t, resources> m_queued; ///< demand by priority
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_lastEpoch = 0;
    dispatch_agent_counters m_counters;
    std::vector<duration> m_runTimes;
    bool m_readyReported = false;
    std::optional<time_point> m_stopSince;
    bool m_done = false;
};

} // namespace bamboohead
