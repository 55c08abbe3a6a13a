#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/target_calls.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Times and sizes of a target session.
struct target_session_limits
{
    /// Lease of everything that runs on the target. With the lease of an entry at its agents it has
    /// to end before a caller that lost its entry sends the job again, 1,300 ms later.
    duration lease = std::chrono::milliseconds{600};
    /// A target shortens longer leases to this; also that of a start which reaches its next
    /// lifetime, whose clock starts anew.
    duration longestLease = std::chrono::milliseconds{1'000};
    /// Longest wait of a list call; less than half the lease, so that one lost call is harmless.
    duration listWait = std::chrono::milliseconds{200};
    /// List calls that wait at the same time while tasks run: when the reply to one is lost, the
    /// other still tells the ends.
    std::size_t listCalls = 2;
    /// A call within one machine takes about a millisecond; later replies mean trouble.
    duration callTimeout = std::chrono::milliseconds{100};
    /// A start without a reply is made void after this time, which costs one call; the task then
    /// starts again and may still be in time.
    duration startTimeout = std::chrono::milliseconds{40};
    /// A target without a list reply for this long gets no new tasks.
    duration silenceLimit = std::chrono::milliseconds{600};
    /// A target's clock may be slower than ours by this many thousandths.
    std::int64_t clockDriftPerMille = 20;
    /// Added to the end of a lease before its runs are taken as ended.
    duration lapseMargin = std::chrono::milliseconds{60};
    /// A target that said it is unhealthy gets no starts for this long.
    duration unhealthyPause = std::chrono::milliseconds{300};
};

/// @brief Why a run was not started.
enum class start_refusal : std::uint8_t { none, retry, old_run, no_room, unhealthy, malformed };

/// @brief A run that has left the target, or that was never started there.
struct session_end
{
    run_ref ref;
    enum class kind : std::uint8_t { done, failed, stopped, lost, not_started } how = kind::lost;
    start_refusal refusal = start_refusal::none; ///< for not_started
    duration runTime{};
};

/// @brief Name and fields of a log line.
using session_event = std::pair<std::string, std::vector<std::pair<std::string, std::string>>>;

/// @brief The agent's view of its target: leases, fences, starts without a reply, ends.
///
/// Only one agent calls a target, so its table of runs decides what fits. A start without a reply
/// may be carried out seconds later; it keeps its room until the target has acknowledged a higher
/// fence, which makes it refuse the older call for good. A new lifetime of the target, or a new
/// agent, begins with a raised fence and stops every run that it does not know.
class target_session
{
public:
    /// @param firstFence Higher than that of any earlier agent of this target, or the target's
    ///                   refusal raises it.
    target_session(const clock &clock, std::uint64_t firstFence, target_session_limits limits = {});

    // Target

    /// @brief Takes a report; reports of earlier lifetimes and overtaken ones are ignored.
    /// @return Whether the report was used.
    bool report(const target_report &report);
    /// @brief The target has announced its end.
    void leave(const std::string &targetId);
    [[nodiscard]] const std::optional<target_report> &target() const noexcept { return m_target; }
    /// @brief Whether tasks can be started now.
    [[nodiscard]] bool ready() const;
    /// @brief Whether no run of an earlier agent can run or start any more.
    [[nodiscard]] bool cleared() const noexcept { return m_cleared; }

    // Runs

    /// @brief Starts a run; its room is taken until its end is taken by takeEnds().
    void start(const run_ref &ref, const std::string &spec, const resources &demand);
    void stop(const run_ref &ref);
    [[nodiscard]] bool holds(const batch_task &task) const;
    /// @brief Time since the run was started; 0 for an unknown one.
    [[nodiscard]] duration runningTime(const run_ref &ref) const;
    [[nodiscard]] const resources &committed() const noexcept { return m_committed; }
    [[nodiscard]] std::size_t runs() const noexcept { return m_runs.size(); }

    // Calls

    void handle(const target_reply &reply);
    void tick();
    [[nodiscard]] std::vector<target_call> takeCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<session_end> takeEnds() { return std::exchange(m_ends, {}); }
    [[nodiscard]] std::vector<session_event> takeEvents() { return std::exchange(m_events, {}); }

private:
    enum class run_state : std::uint8_t { starting, unresolved, running };

    struct held_run
    {
        resources demand;
        run_state state = run_state::starting;
        std::uint64_t startFence = 0;
        time_point started;
        time_point confirmed;
        bool stopping = false;
        time_point stopSent;
        bool earlierLife = false; ///< begun before the target's present lifetime was known
    };

    enum class call_kind : std::uint8_t { start, stop, list };

    struct pending_call
    {
        call_kind kind = call_kind::list;
        run_ref ref;
        std::uint64_t fence = 0;
        time_point sent;
        bool waits = false;
    };

    call_header header(call_kind kind, const run_ref &ref, duration timeout, bool waits = false);
    void sendList(bool waits);
    void sendStop(const run_ref &ref, held_run *run);
    void beginLife(const target_report &report);
    void raiseFence(std::uint64_t step);
    void startReplied(const pending_call &call, const target_reply &reply);
    void listReplied(const pending_call &call, const target_reply &reply);
    void applyListing(const pending_call &call, const run_listing &listing);
    void applyEnds(const std::vector<listed_end> &ended);
    void resolveRuns(const pending_call &call, const std::set<run_ref> &running);
    void stopForeign(const std::set<run_ref> &running);
    [[nodiscard]] bool foreign(const run_ref &ref) const;
    void loseLapsedRuns();
    void end(const run_ref &ref, session_end::kind how,
             start_refusal refusal = start_refusal::none);
    void noteClock(std::int64_t clockMs);
    [[nodiscard]] std::int64_t targetClock() const;
    [[nodiscard]] bool leaseSurelyOver() const;
    [[nodiscard]] bool earlierStartsSurelyOver() const;
    [[nodiscard]] std::int64_t newLeaseEnd();
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);

    const clock &m_clock;
    target_session_limits m_limits;
    std::optional<target_report> m_target;
    bool m_left = false;
    bool m_cleared = false;
    std::uint64_t m_fence;
    std::uint64_t m_fenceStep = 0; ///< last jump after a refusal
    bool m_fenceDue = false;       ///< a start without a reply has to be made void
    time_point m_nextFence;        ///< not raised again before, after a call that failed
    std::uint64_t m_endsSeen = 0;
    std::uint64_t m_lastCall = 0;
    std::map<call_id, pending_call> m_pending;
    std::map<run_ref, held_run> m_runs;
    std::map<run_ref, time_point> m_foreignStops;
    std::map<run_ref, time_point> m_recentEnds; ///< an older listing may still show these
    resources m_committed;
    std::optional<std::int64_t> m_clockSample; ///< milliseconds, the target's clock
    time_point m_clockSampled;
    std::int64_t m_leaseEnd = 0; ///< latest end of a lease that was sent, the target's clock
    time_point m_lifeBegan;      ///< when this lifetime of the target became known
    std::optional<time_point> m_lastListing;
    time_point m_nextList;
    time_point m_unhealthyUntil;
    std::uint32_t m_listFailures = 0;
    std::vector<target_call> m_calls;
    std::vector<session_end> m_ends;
    std::vector<session_event> m_events;
};

} // namespace bamboohead
