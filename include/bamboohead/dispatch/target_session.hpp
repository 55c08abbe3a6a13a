#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/target_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Timeouts and limits of a target_session.
struct target_session_limits
{
    /// Duration of the lease under which all runs of the target execute. The sum of this lease and
    /// the lease of an entry at its agents has to be shorter than 1,300 ms, after which a caller
    /// that has lost its entry resubmits the job.
    duration lease = std::chrono::milliseconds{600};
    /// Maximum lease that a target grants; it shortens longer ones. A start that was meant for an
    /// earlier lifetime of the target may be executed in the next one. The target's clock begins
    /// anew with each lifetime, so the lease end of that start is meaningless and only this maximum
    /// bounds its lease.
    duration maxLease = std::chrono::milliseconds{1'000};
    /// Time for which the target may hold back its reply to a list call (a long poll). Less than
    /// half the lease, so that the lease survives one lost call.
    duration longPollWait = std::chrono::milliseconds{200};
    /// Number of concurrent long polls while tasks run. When the reply to one is lost, the other
    /// still reports the ends of runs.
    std::size_t concurrentLongPolls = 2;
    /// Shortest rest of the lease under which tasks are started. Half the lease: when less is left,
    /// a stop call and two repeated ones had no effect, so that the lease will probably expire and
    /// the started run would be lost with it. Another target can be ordered in one round trip.
    duration minStartLease = std::chrono::milliseconds{300};
    /// Timeout of a call, in addition to the wait of a long poll. A call within one machine takes
    /// about 1 ms, so a longer delay indicates a fault.
    duration callTimeout = std::chrono::milliseconds{100};
    /// Timeout of a start call. A start without a reply is then invalidated, which costs one call,
    /// and the task starts again; its job may still meet its objective.
    duration startTimeout = std::chrono::milliseconds{40};
    /// Maximum age of the newest reply to a list call. While that reply is older, no tasks are
    /// started on the target, and only then may runs be reported as lost because their lease has
    /// expired.
    duration maxListingAge = std::chrono::milliseconds{600};
    /// Maximum lag of the target's clock behind the agent's, in thousandths of the elapsed time.
    std::int64_t maxClockLagPerMille = 20;
    /// Time since the newest used report of a lifetime after which a report of it is used whatever
    /// its sequence number and service are. Targets report about once a second.
    duration maxReportAge = std::chrono::seconds{2};
    /// Time after which a start call without an answer is no longer expected to be executed. The
    /// platform states no bound; it executes such calls seconds after they were made.
    duration maxStartDelay = std::chrono::seconds{60};
    /// Safety margin after the end of a lease before its runs are reported as lost.
    duration leaseExpiryMargin = std::chrono::milliseconds{60};
    /// Time without starts after the target has reported that it is unhealthy.
    duration unhealthyBackoff = std::chrono::milliseconds{300};
};

/// @brief Why a run was not started. `retry`: the same run may be started again; `old_run`: this
///        run or a later one of the task has ended or was stopped on the target; `unhealthy`: the
///        target is unhealthy or unreachable, or another target answered.
enum class start_refusal : std::uint8_t { none, retry, old_run, no_room, unhealthy, malformed };

/// @brief Outcome of a run that has ended on the target, or that was never started there.
struct run_outcome
{
    run_ref ref;
    enum class kind : std::uint8_t { done, failed, stopped, lost, not_started } result = kind::lost;
    start_refusal refusal = start_refusal::none; ///< set for `not_started`
    duration runTime{};                          ///< since the start call was made
    /// Set for `lost`: the target may have crashed, since it has not responded until the lease had
    /// expired, or a new lifetime of it has begun.
    bool crashPossible = false;
};

/// @brief A start call whose execution by a target, or by a later lifetime of it, is possible.
struct start_in_doubt
{
    std::string target; ///< id of the target that was called
    time_point until;   ///< when the call can no longer be executed
};

/// @brief Name of a log event with its fields.
using session_event = std::pair<std::string, std::vector<std::pair<std::string, std::string>>>;

/// @brief The agent's session with its target: starts and stops runs, extends their lease and
///        collects their outcomes. Performs no I/O.
///
/// Only one agent calls a target, so the agent's table of runs decides whether a run fits. Each
/// call carries a fence (a fencing token): the target refuses calls with a lower fence than the
/// highest one that it has seen. A start without a reply may be executed seconds later. Its
/// resources stay reserved until the target has accepted a call with a higher fence, after which it
/// always refuses the older call. For a new lifetime of the target and for a new agent, the session
/// raises the fence and stops every foreign run, that is every run that is not in its table.
///
/// A new lifetime has seen no fence, so it executes a start that its predecessor did not answer, or
/// was to refuse, until it has received a call of the agent. A run of a task with such a start is
/// not reported as lost because its lease has expired: the first listing of the next lifetime
/// decides.
class target_session
{
public:
    /// @param fenceGeneration Generation of the first fence, up to 2^43. The fences of a generation
    ///        are higher than those of lower ones. It should be higher than the generations of
    ///        earlier agents of this target. If it is not, the session raises it when the target
    ///        refuses a call.
    target_session(const clock &clock, std::uint64_t fenceGeneration,
                   target_session_limits limits = {});

    // Target

    /// @brief Handles a status report.
    ///
    /// Reports may be delayed or come from another writer. One that arrives after a newer one of
    /// the current lifetime is ignored. One of another lifetime or address only makes that lifetime
    /// a candidate: it becomes the target when its address answers a list call as that lifetime. If
    /// the current target does not answer, the candidate becomes the target at once, unless its
    /// start time is lower.
    /// @return Whether the report is used, now or when the candidate has answered. False for a
    ///         lower start time, which usually is that of a delayed report.
    bool handleReport(const target_report &report);
    /// @brief Handles the target's announcement that it shuts down; another target's is ignored.
    void handleShutdownAnnouncement(const std::string &targetId);
    /// @brief Newest report of the target; none before the first one.
    [[nodiscard]] const std::optional<target_report> &target() const noexcept { return m_target; }
    /// @brief Whether tasks can be started now: the target is serving and cleared, it has answered
    ///        a list call recently, has not recently reported that it is unhealthy, and no stop has
    ///        remained unconfirmed for so long that the lease is about to expire.
    [[nodiscard]] bool ready() const;
    /// @brief Whether the target has, in its current lifetime, accepted a list call with the fence
    ///        that was this agent's newest at that time, and listed no foreign run. From then on no
    ///        run of an earlier agent can execute or start.
    [[nodiscard]] bool cleared() const noexcept { return m_cleared; }

    // Runs

    /// @brief Starts a run. Its resources are reserved until the run has ended or is known not to
    ///        have started.
    ///
    /// Precondition: a report of the target has arrived, see target().
    /// @param ref Must not be in the session.
    /// @param suspect Whether targets have crashed, or may have, under earlier runs of the task.
    void start(const run_ref &ref, const std::string &spec, const resources &demand,
               bool suspect = false);
    /// @brief States that until `time` each run that is not being stopped had the right to execute.
    ///        No lease is extended beyond the newest such time plus target_session_limits::lease,
    ///        so a caller that is suspended after it has looked for due stops extends nothing.
    /// @param time Not later than now.
    void confirmRightsUntil(time_point time);
    /// @brief Stops a run; repeated until the target reports its end. Unknown runs are ignored.
    ///        Until then no lease is extended beyond `due` plus target_session_limits::lease, since
    ///        stop calls may be lost: the lease is common to all runs of the target.
    /// @param due When the run's right to execute ended; not later than now.
    void stop(const run_ref &ref, time_point due);
    /// @brief Whether any run of the task is in the session.
    [[nodiscard]] bool holds(const batch_task &task) const;
    /// @brief Time since the start call of the run; 0 for an unknown run.
    [[nodiscard]] duration runningTime(const run_ref &ref) const;
    /// @brief Whether the target executes the run and no start call of its task can be executed any
    ///        more, also by a later lifetime of the target. False for an unknown run.
    [[nodiscard]] bool startSettled(const run_ref &ref) const;
    /// @brief The newest start call of the task that had no answer, or was voided by a fence, and
    ///        may still be executed by a later lifetime of its target. None once a target with
    ///        another id has been cleared, since that one refuses the call.
    [[nodiscard]] std::optional<start_in_doubt> startInDoubt(const batch_task &task) const;
    /// @brief Resources that are reserved for the runs of the session.
    [[nodiscard]] const resources &committed() const noexcept { return m_committed; }
    /// @brief Number of runs in the session, whether confirmed by the target or not.
    [[nodiscard]] std::size_t runs() const noexcept { return m_runs.size(); }

    // Calls

    /// @brief Handles a reply, or its timeout. Replies to calls of an earlier lifetime are ignored.
    void handle(const target_reply &reply);
    /// @brief Makes list calls, repeats stops and reports runs whose lease has expired as lost.
    void tick();
    /// @brief Removes and returns the collected calls, outcomes or log events.
    /// @{
    [[nodiscard]] std::vector<target_call> takeCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<run_outcome> takeOutcomes() { return std::exchange(m_outcomes, {}); }
    [[nodiscard]] std::vector<session_event> takeEvents() { return std::exchange(m_events, {}); }
    /// @}
    /// @brief Removes and returns the crashes of the target that have become known: for each, the
    ///        tasks that the target has confirmed to be running. If a suspect was among them, only
    ///        the suspects and the tasks that were not started before the last of them: it was
    ///        started beside the others while they had not crashed the target.
    ///
    /// Only a new lifetime proves a crash, as a target that does not respond may be cut off. A
    /// target that was draining or had announced its shutdown has not crashed.
    [[nodiscard]] std::vector<std::vector<batch_task>> takeCrashes()
    {
        return std::exchange(m_crashes, {});
    }

private:
    using event_fields = std::vector<std::pair<std::string, std::string>>;

    /// `unresolved`: it is unknown whether the run has started, until a listing shows it or a
    /// listing under a higher fence does not. `withheld`: the run has ended or was not started, but
    /// the target is executing a foreign run of the same task, so the outcome is not reported yet.
    enum class run_state : std::uint8_t { starting, unresolved, running, withheld };

    /// Outcome of a run while it is withheld.
    struct withheld_outcome
    {
        run_outcome::kind result = run_outcome::kind::lost;
        start_refusal refusal = start_refusal::none;
        bool crashPossible = false;
    };

    /// A run whose resources are reserved.
    struct session_run
    {
        resources demand;
        run_state state = run_state::starting;
        std::uint64_t startFence = 0; ///< fence of the start call
        std::string target;           ///< id of the target that was called
        time_point started;           ///< when the start call was made
        /// When the target confirmed that the run is executing; until then, when the start call was
        /// made.
        time_point confirmed;
        std::optional<time_point> stopDue; ///< set for a run that is stopped, see stop()
        time_point stopSent;               ///< when the newest stop call was made
        std::uint32_t stopCalls = 0;
        bool stopOverdue = false;         ///< `stop_overdue` was logged
        bool fromEarlierLifetime = false; ///< started before the current lifetime was known
        bool startAnswered = false;  ///< the start was answered or not sent, or the run was listed
        bool doubtLogged = false;    ///< `start_in_doubt` was logged
        bool suspect = false;        ///< see start()
        withheld_outcome withheld{}; ///< for run_state::withheld
    };

    /// A run on the target that is not in the table.
    struct foreign_run
    {
        time_point found;    ///< arrival of the first listing that contained the run
        time_point listed;   ///< arrival of the newest one
        time_point stopSent; ///< when the newest stop call was made
    };

    /// A run that the target was executing when it stopped responding or crashed.
    struct interrupted_run
    {
        bool suspect = false;
        time_point started;
    };

    enum class call_kind : std::uint8_t { start, stop, list, candidate };

    /// A reported lifetime that has not answered a call yet, see handleReport().
    struct candidate_target
    {
        target_report report;
        time_point since;            ///< arrival of its first report
        std::optional<call_id> call; ///< pending list call; at most one is made at a time
        time_point nextCall;
        bool failed = false;               ///< a call had no answer
        std::optional<target_report> next; ///< newest report of a further lifetime during a call
    };

    struct pending_call
    {
        call_kind kind = call_kind::list;
        run_ref ref;
        std::uint64_t fence = 0;
        time_point sent;
        bool longPoll = false; ///< list call whose reply the target may hold back
    };

    /// Registers a pending call under a new id. Returns the header of the call.
    call_header addPendingCall(call_kind kind, const run_ref &ref, duration timeout,
                               bool longPoll = false);
    void sendList(bool longPoll);
    void sendStop(const run_ref &ref, session_run *run);
    void logOverdueStops();
    [[nodiscard]] candidate_target newCandidate(const target_report &report) const
    {
        return {report, m_clock.now(), {}, {}, false, {}};
    }
    bool considerCandidate(const target_report &report);
    bool adoptCandidateOfSilentTarget();
    void callCandidate();
    void handleCandidateReply(const pending_call &call, const target_reply &reply);
    void dropFailedCandidate();
    void dropCandidate(std::string_view reason);
    void beginLifetime(const target_report &report);
    void recordInterruptedRuns(const target_lifetime &next);
    void raiseFence();
    /// Raises the fence above one that the target has refused, unless that was done before.
    /// @return Whether the fence was raised.
    bool passRefusedFence(const pending_call &call);
    /// Raises the fence to the first one of a generation that is higher by `step`.
    void beginGeneration(std::uint64_t step);
    void handleStartReply(const pending_call &call, const target_reply &reply);
    void handleListReply(const pending_call &call, const target_reply &reply);
    void handleOtherLifetime(const run_listing &listing);
    void applyListing(const pending_call &call, const run_listing &listing);
    void applyEnds(const std::vector<listed_end> &ended);
    /// @param endsComplete See run_listing::endsComplete.
    void resolveRuns(const pending_call &call, const std::set<run_ref> &running, bool endsComplete);
    void recordForeign(const pending_call &call, const run_listing &listing);
    void stopForeign();
    /// Whether a run in the reply to a list call is not in the table. A reply to a call that was
    /// made before a run has ended may still contain it; one to a newer call cannot.
    [[nodiscard]] bool foreign(const pending_call &call, const run_ref &ref) const;
    /// Whether the target is executing a foreign run of the task.
    [[nodiscard]] bool foreignRunOf(const batch_task &task) const;
    void markExpiredRunsLost();
    void end(const run_ref &ref, run_outcome::kind result,
             start_refusal refusal = start_refusal::none, bool crashPossible = false);
    void reportCrash();
    void recordClock(std::int64_t clockMs);
    /// Lower bound of the target's clock at a time: its clock may be slow, and the sample was taken
    /// before it arrived.
    [[nodiscard]] std::int64_t targetClockAt(time_point time) const;
    /// Time from which a new lease is counted: until then each run on the target had the right to
    /// execute or has ended.
    [[nodiscard]] time_point leaseBase() const;
    [[nodiscard]] bool leaseCertainlyExpired() const;
    [[nodiscard]] bool earlierStartsCertainlyExpired() const;
    /// Time at which the lease of the current lifetime has certainly expired by this clock.
    [[nodiscard]] time_point leaseExpiry() const;
    /// Returns the lease end for a new call, and records it as sent.
    [[nodiscard]] std::int64_t extendLease();
    void log(std::string name, event_fields fields);
    void logIgnoredReport(const target_report &report, std::string_view reason);
    /// Fields of the log line for an ignored report or listing of `lifetime`. Nothing within a
    /// short interval after such a line: the events are only counted, and the next line has their
    /// number.
    [[nodiscard]] std::optional<event_fields> ignoredFields(const target_lifetime &lifetime,
                                                            std::string_view reason);

    const clock &m_clock;
    target_session_limits m_limits;
    std::optional<target_report> m_target;
    std::optional<candidate_target> m_candidate;
    std::optional<time_point> m_lastReport; ///< arrival of the newest used report of the lifetime
    bool m_shutdownAnnounced = false;       ///< the target has announced its shutdown
    bool m_cleared = false;
    std::uint64_t m_fence;
    std::uint64_t m_generationStep = 0; ///< last increase after a refusal; doubles with each one
    /// Whether a call was refused since the generation was last known to be this agent's alone.
    bool m_generationShared = false;
    bool m_fenceRaiseDue = false; ///< a start without a reply has to be invalidated
    time_point m_nextFenceRaise;  ///< earliest time of the next raise after a failed list call
    std::uint64_t m_endsSeen = 0; ///< number of the newest end received in this lifetime
    std::uint64_t m_lastCall = 0;
    std::map<call_id, pending_call> m_pending;
    std::map<run_ref, session_run> m_runs;
    time_point m_rightsConfirmed; ///< see confirmRightsUntil()
    std::map<run_ref, foreign_run> m_foreignRuns;
    /// Times at which runs have ended recently. A delayed listing may still show these runs.
    std::map<run_ref, time_point> m_recentlyEnded;
    /// Newest start call of each task that had no answer and was voided by a fence.
    std::map<batch_task, start_in_doubt> m_voidedStarts;
    resources m_committed;
    std::optional<std::int64_t> m_clockSample; ///< reading of the target's clock, in milliseconds
    time_point m_clockSampleTime;              ///< when `m_clockSample` was received
    std::int64_t m_leaseEnd = 0;     ///< latest lease end that was sent, on the target's clock
    time_point m_lifetimeKnownSince; ///< when the current lifetime of the target became known
    time_point m_earlierLeasesEnd;   ///< when the leases of targets under other ids have expired
    /// Arrival of the first listing of the newest lifetime that has answered. From then on that
    /// lifetime executes no call that was made before it was known.
    time_point m_firstListing;
    std::optional<time_point> m_lastListing; ///< arrival of the newest reply to a list call
    time_point m_newestAnsweredCall;         ///< when the newest list call with a reply was made
    time_point m_lastStart;                  ///< when the newest start call was made
    time_point m_nextList;                   ///< earliest time of the next list call
    time_point m_unhealthyUntil;
    std::uint32_t m_listFailures = 0; ///< consecutive failed list calls
    /// Runs that were lost because their lease has expired, while the same lifetime has not
    /// responded again.
    std::map<run_ref, interrupted_run> m_lapsed;
    /// Runs of the crashed lifetime, until the first listing of the next one. A run that this
    /// listing contains has been started by the next lifetime.
    std::map<run_ref, interrupted_run> m_crashed;
    target_lifetime m_crashedLifetime; ///< that was executing the runs in `m_crashed`
    std::vector<std::vector<batch_task>> m_crashes;
    std::optional<time_point> m_lastIgnoredLog;
    std::uint64_t m_ignored = 0; ///< reports and listings ignored since the newest log event
    std::vector<target_call> m_calls;
    std::vector<run_outcome> m_outcomes;
    std::vector<session_event> m_events;
};

} // namespace bamboohead
