#include "bamboohead/dispatch/target_session.hpp"

#include <algorithm>
#include <array>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 7> statusNames{"accepted",     "refused",   "unhealthy",
                                                      "wrong_target", "malformed", "unreachable",
                                                      "unanswered"};
constexpr std::array<std::string_view, 6> refusalNames{"none", "fenced",  "old_run",
                                                       "late", "no_room", "other"};
constexpr std::array<std::string_view, 4> endNames{"done", "failed", "stopped", "lapsed"};
constexpr std::array<std::string_view, 5> outcomeNames{"done", "failed", "stopped", "lost",
                                                       "not_started"};

/// Fences of one generation. Without a refusal a session only raises its fence by 1, at most every
/// few milliseconds, so the fences of a generation last longer than one agent is away.
constexpr std::uint64_t fencesPerGeneration = 1'024;
/// First increase of the generation after a refusal; it doubles with each further refusal. Agents
/// begin with a generation that is the Unix time in milliseconds, so one increase suffices when the
/// clock of the previous agent was up to one second ahead.
constexpr std::uint64_t initialGenerationStep = 1'000;
/// Delay from a failed list call to the next one and to the next raise of the fence. Also the delay
/// from a list call that is not a long poll to the next one while no reply has arrived.
constexpr duration retryDelay = 50ms;
constexpr duration stopRetryInterval = 100ms; ///< between stop calls for the same run
/// Time after which a stop that is not confirmed is logged: a stop call, its timeout and the
/// repeated call.
constexpr duration overdueStopTime = 200ms;
/// Maximum delay with which an outdated listing is assumed to arrive after a newer one.
constexpr duration staleListingLimit = 1s;
/// Number of consecutive failed list calls after which list calls no longer extend the lease. Start
/// calls still extend it; they are made until the newest listing is older than
/// target_session_limits::maxListingAge.
constexpr std::uint32_t maxListFailures = 2;
constexpr std::int64_t perMille = 1'000;
/// Bound of a target's clock, in milliseconds, so that sums with it do not overflow. Whole numbers
/// up to this one are exact in JSON.
constexpr std::int64_t maxClockMs = std::int64_t{1} << 53U;
/// Maximum difference to the sequence number of the previous report. Targets report about once a
/// second, so it corresponds to a quarter of an hour of lost reports.
constexpr std::uint64_t maxSequenceStep = 1'000;
/// Minimum interval between log events for ignored reports and listings.
constexpr duration ignoredLogInterval = 1s;

std::int64_t toSignedMilliseconds(duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// The run of a task with the lowest number; null if there is none.
template <typename Value>
const run_ref *firstRunOf(const std::map<run_ref, Value> &runs, const batch_task &task)
{
    const auto first = runs.lower_bound(run_ref{task, 0});
    return first != runs.end() && first->first.task == task ? &first->first : nullptr;
}

} // namespace

std::string_view toText(call_status status) noexcept
{
    return statusNames[static_cast<std::size_t>(status)];
}

std::string_view toText(call_refusal refusal) noexcept
{
    return refusalNames[static_cast<std::size_t>(refusal)];
}

std::string_view toText(run_end_kind kind) noexcept
{
    return endNames[static_cast<std::size_t>(kind)];
}

target_session::target_session(const clock &clock, std::uint64_t fenceGeneration,
                               target_session_limits limits)
    : m_clock{clock}
    , m_limits{limits}
    , m_fence{fenceGeneration * fencesPerGeneration}
{}

bool target_session::handleReport(const target_report &report)
{
    if (!m_target) {
        beginLifetime(report);
        return true;
    }
    if (report.lifetime != m_target->lifetime || report.address != m_target->address) {
        return considerCandidate(report);
    }
    // A false sequence number must not outdate all later reports.
    const auto now = m_clock.now();
    const bool next = report.sequence > m_target->sequence &&
                      report.sequence - m_target->sequence <= maxSequenceStep &&
                      report.service == m_target->service;
    if (!next && m_lastReport && now - *m_lastReport <= m_limits.maxReportAge) {
        logIgnoredReport(report, "outdated");
        return false;
    }
    m_shutdownAnnounced = false;
    m_target = report;
    m_lastReport = now;
    return true;
}

bool target_session::considerCandidate(const target_report &report)
{
    // The report may have been delayed, so a lower start time needs the answer of its lifetime.
    const bool earlier = report.lifetime.startedMs < m_target->lifetime.startedMs;
    const bool known = m_candidate && report.lifetime == m_candidate->report.lifetime &&
                       report.address == m_candidate->report.address;
    if (known) {
        if (report.sequence > m_candidate->report.sequence) {
            m_candidate->report = report;
        }
    } else if (m_candidate && m_candidate->call) {
        m_candidate->next = report;
    } else {
        m_candidate = newCandidate(report);
    }
    const auto candidate = m_candidate->report.lifetime;
    if (!adoptCandidateOfSilentTarget()) {
        callCandidate();
    }
    if (m_target->lifetime != candidate) {
        logIgnoredReport(report, earlier ? "earlier_start" : "unconfirmed");
    }
    return !earlier;
}

/// A lifetime that has not answered is only used when the current one does not answer either.
/// Returns whether the candidate is now the current target.
bool target_session::adoptCandidateOfSilentTarget()
{
    if (!m_candidate || m_candidate->report.lifetime.startedMs < m_target->lifetime.startedMs ||
        (m_lastListing && m_clock.now() - *m_lastListing <= m_limits.maxListingAge)) {
        return false;
    }
    // Starts that were sent after the report may be executed by the new lifetime, too.
    const auto knownSince = std::max(m_candidate->since, m_lastStart);
    const auto report = m_candidate->report;
    beginLifetime(report);
    m_lifetimeKnownSince = knownSince;
    return true;
}

void target_session::callCandidate()
{
    const auto now = m_clock.now();
    if (!m_candidate || m_candidate->call || now < m_candidate->nextCall) {
        return;
    }
    const call_id id{++m_lastCall};
    m_pending.emplace(id, pending_call{call_kind::candidate, {}, m_fence, now, false});
    m_candidate->call = id;
    const auto &report = m_candidate->report;
    m_calls.emplace_back(list_runs{{id, report.address, report.lifetime.id, m_limits.callTimeout},
                                   m_fence,
                                   0,
                                   std::nullopt,
                                   {}});
}

void target_session::handleCandidateReply(const pending_call &call, const target_reply &reply)
{
    auto &candidate = *m_candidate;
    candidate.call.reset();
    if (reply.status == call_status::accepted && reply.listing) {
        if (reply.listing->startedMs != candidate.report.lifetime.startedMs) {
            dropCandidate("other_lifetime");
            return;
        }
        const auto report = candidate.report;
        if (report.lifetime == m_target->lifetime) {
            log("target_moved", {{"target", report.lifetime.id}, {"address", report.address}});
            m_target = report;
            m_lastReport = m_clock.now();
            m_candidate.reset();
        } else {
            beginLifetime(report);
        }
        return;
    }
    if (reply.status == call_status::wrong_target) {
        dropCandidate("wrong_target");
        return;
    }
    if (reply.status == call_status::refused && reply.refusal == call_refusal::fenced) {
        passRefusedFence(call);
        candidate.nextCall = m_clock.now();
        return;
    }
    candidate.failed = true;
    candidate.nextCall = m_clock.now() + retryDelay;
    if (candidate.next) {
        dropCandidate("unanswered");
    } else {
        dropFailedCandidate();
    }
}

/// Drops a candidate that did not answer while the current target did.
void target_session::dropFailedCandidate()
{
    if (m_candidate && m_candidate->failed && !m_candidate->call &&
        m_newestAnsweredCall > m_candidate->since) {
        dropCandidate("unanswered");
    }
}

void target_session::dropCandidate(std::string_view reason)
{
    const auto dropped = *std::exchange(m_candidate, std::nullopt);
    logIgnoredReport(dropped.report, reason);
    if (dropped.next) {
        m_candidate = newCandidate(*dropped.next);
        callCandidate();
    }
}

void target_session::beginLifetime(const target_report &report)
{
    log("target_started", {{"target", report.lifetime.id},
                           {"started_ms", std::to_string(report.lifetime.startedMs)},
                           {"address", report.address},
                           {"cpu_millis", std::to_string(report.capacity.cpuMillis)},
                           {"runs_lost", std::to_string(m_runs.size())}});
    recordInterruptedRuns(report.lifetime);
    if (m_target && m_target->lifetime.id != report.lifetime.id) {
        m_earlierLeasesEnd = std::max(m_earlierLeasesEnd, leaseExpiry());
    }
    m_target = report;
    m_candidate.reset();
    m_lastReport = m_clock.now();
    m_lifetimeKnownSince = m_clock.now();
    m_shutdownAnnounced = false;
    m_cleared = false;
    ++m_fence;
    // The new lifetime may have the same id and may already have received a start. The first
    // listing under the raised fence shows it; a run that is not listed can no longer start.
    for (auto &[ref, run] : m_runs) {
        run.state = run_state::unresolved;
        run.fromEarlierLifetime = true;
    }
    m_endsSeen = 0;
    m_clockSample.reset();
    m_leaseEnd = 0;
    m_pending.clear();
    m_foreignRuns.clear();
    m_recentlyEnded.clear();
    m_lastListing.reset();
    m_listFailures = 0;
    if (report.clockMs) {
        recordClock(*report.clockMs);
    }
    // Until the lifetime has received a call, it executes late starts that earlier fences have
    // voided only in its predecessor.
    sendList(false);
    m_nextList = m_clock.now() + retryDelay;
}

/// Collects the runs that the current lifetime was executing when `next` began.
void target_session::recordInterruptedRuns(const target_lifetime &next)
{
    if (m_target && !m_lastListing) {
        // The current lifetime has never answered, so it executed nothing that is known; the runs
        // of its predecessor remain, unless that predecessor has not ended after all.
        if (next == m_crashedLifetime) {
            m_crashed.clear();
        }
        return;
    }
    reportCrash();
    const bool planned =
            m_shutdownAnnounced || (m_target && m_target->phase == target_phase::draining);
    auto lapsed = std::exchange(m_lapsed, {});
    if (planned || !m_target) {
        return;
    }
    m_crashed = std::move(lapsed);
    m_crashedLifetime = m_target->lifetime;
    for (const auto &[ref, run] : m_runs) {
        if (run.state == run_state::running) {
            m_crashed.emplace(ref, interrupted_run{run.suspect, run.started});
        }
    }
}

void target_session::reportCrash()
{
    if (m_crashed.empty()) {
        return;
    }
    const auto runs = std::exchange(m_crashed, {});
    std::optional<time_point> lastSuspect;
    for (const auto &[ref, run] : runs) {
        if (run.suspect) {
            lastSuspect = std::max(lastSuspect.value_or(run.started), run.started);
        }
    }
    std::vector<batch_task> tasks;
    for (const auto &[ref, run] : runs) {
        if (run.suspect || !lastSuspect || run.started >= *lastSuspect) {
            tasks.push_back(ref.task);
        }
    }
    log("target_crashed", {{"target", m_target->lifetime.id},
                           {"runs", std::to_string(runs.size())},
                           {"reported", std::to_string(tasks.size())}});
    m_crashes.push_back(std::move(tasks));
}

void target_session::handleShutdownAnnouncement(const std::string &targetId)
{
    if (m_target && m_target->lifetime.id == targetId) {
        m_shutdownAnnounced = true;
        log("target_left", {{"target", targetId}});
    }
}

bool target_session::ready() const
{
    const auto now = m_clock.now();
    return m_target && m_cleared && m_foreignRuns.empty() && !m_shutdownAnnounced &&
           m_target->phase == target_phase::serving && now >= m_unhealthyUntil && m_lastListing &&
           now - *m_lastListing <= m_limits.maxListingAge &&
           now - leaseBase() <= m_limits.lease - m_limits.minStartLease;
}

call_header target_session::addPendingCall(call_kind kind, const run_ref &ref, duration timeout,
                                           bool longPoll)
{
    const call_id id{++m_lastCall};
    m_pending.emplace(id, pending_call{kind, ref, m_fence, m_clock.now(), longPoll});
    return {id, m_target->address, m_target->lifetime.id, timeout};
}

void target_session::start(const run_ref &ref, const std::string &spec, const resources &demand,
                           bool suspect)
{
    const auto now = m_clock.now();
    m_lastStart = now;
    session_run run;
    run.demand = demand;
    run.startFence = m_fence;
    run.target = m_target->lifetime.id;
    run.started = now;
    run.confirmed = now;
    run.suspect = suspect;
    m_runs.emplace(ref, run);
    m_committed += demand;
    m_calls.emplace_back(start_run{addPendingCall(call_kind::start, ref, m_limits.startTimeout),
                                   ref, spec, extendLease(), m_fence});
}

void target_session::confirmRightsUntil(time_point time)
{
    m_rightsConfirmed = std::max(m_rightsConfirmed, time);
}

void target_session::stop(const run_ref &ref, time_point due)
{
    const auto found = m_runs.find(ref);
    if (found != m_runs.end() && !found->second.stopDue) {
        found->second.stopDue = due;
        if (found->second.state == run_state::running) {
            sendStop(ref, &found->second);
        }
    }
}

void target_session::sendStop(const run_ref &ref, session_run *run)
{
    if (run != nullptr) {
        run->stopSent = m_clock.now();
        ++run->stopCalls;
    }
    m_calls.emplace_back(
            stop_run{addPendingCall(call_kind::stop, ref, m_limits.callTimeout), ref, m_fence});
}

bool target_session::holds(const batch_task &task) const
{
    return firstRunOf(m_runs, task) != nullptr;
}

duration target_session::runningTime(const run_ref &ref) const
{
    const auto found = m_runs.find(ref);
    return found == m_runs.end() ? duration{} : m_clock.now() - found->second.started;
}

std::int64_t target_session::targetClockAt(time_point time) const
{
    const auto elapsed = toSignedMilliseconds(time - m_clockSampleTime);
    const auto slowest =
            elapsed > 0 ? elapsed * (perMille - m_limits.maxClockLagPerMille) / perMille : elapsed;
    return m_clockSample.value_or(0) + slowest;
}

time_point target_session::leaseBase() const
{
    auto base = m_rightsConfirmed;
    for (const auto &[ref, run] : m_runs) {
        // A withheld run has ended; the foreign run for which it is withheld counts below.
        if (run.state != run_state::withheld) {
            base = std::min(base, run.stopDue.value_or(base));
        }
    }
    for (const auto &[ref, run] : m_foreignRuns) {
        base = std::min(base, run.found);
    }
    return base;
}

void target_session::recordClock(std::int64_t clockMs)
{
    m_clockSample = std::clamp(clockMs, -maxClockMs, maxClockMs);
    m_clockSampleTime = m_clock.now();
}

std::int64_t target_session::extendLease()
{
    const auto until = targetClockAt(leaseBase()) + toSignedMilliseconds(m_limits.lease);
    m_leaseEnd = std::max(m_leaseEnd, until);
    return until;
}

bool target_session::leaseCertainlyExpired() const
{
    return targetClockAt(m_clock.now()) >
           m_leaseEnd + toSignedMilliseconds(m_limits.leaseExpiryMargin);
}

time_point target_session::leaseExpiry() const
{
    const auto now = m_clock.now();
    if (!m_clockSample) {
        return now; // no lease was granted
    }
    const auto left = std::clamp<std::int64_t>(m_leaseEnd - targetClockAt(now), 0,
                                               toSignedMilliseconds(m_limits.maxLease));
    return now +
           std::chrono::milliseconds{left} * (perMille + m_limits.maxClockLagPerMille) / perMille;
}

/// A start or list call that was sent to the earlier lifetime may have been executed by the current
/// one until the first listing under the raised fence. Its lease end refers to another clock, so
/// only the maximum lease bounds it.
bool target_session::earlierStartsCertainlyExpired() const
{
    const auto longest = m_limits.maxLease * (perMille + m_limits.maxClockLagPerMille) / perMille;
    const auto latestExecution = std::max(m_lifetimeKnownSince, m_firstListing);
    return m_clock.now() - latestExecution > longest + m_limits.leaseExpiryMargin &&
           m_clock.now() > m_earlierLeasesEnd + m_limits.leaseExpiryMargin;
}

void target_session::sendList(bool longPoll)
{
    const auto wait = longPoll ? m_limits.longPollWait : duration{};
    const auto timeout = wait + m_limits.callTimeout;
    auto call = list_runs{addPendingCall(call_kind::list, {}, timeout, longPoll), m_fence,
                          m_endsSeen, std::nullopt, wait};
    // List calls do not extend the lease of a target that does not respond to them. Once it has
    // expired, the runs of the target are known to have ended.
    if (m_clockSample && m_cleared && m_listFailures < maxListFailures) {
        const auto until = extendLease();
        if (until > targetClockAt(m_clock.now())) {
            call.leaseEndMs = until;
        }
    }
    m_calls.emplace_back(std::move(call));
}

void target_session::raiseFence()
{
    ++m_fence;
    m_fenceRaiseDue = false;
    sendList(false);
}

bool target_session::passRefusedFence(const pending_call &call)
{
    if (call.fence != m_fence) {
        return false;
    }
    m_generationStep = std::max(initialGenerationStep, m_generationStep * 2);
    beginGeneration(m_generationStep);
    m_generationShared = true;
    return true;
}

void target_session::beginGeneration(std::uint64_t step)
{
    m_fence = (m_fence / fencesPerGeneration + step) * fencesPerGeneration;
}

void target_session::tick()
{
    if (!m_target) {
        return;
    }
    adoptCandidateOfSilentTarget();
    callCandidate();
    const auto now = m_clock.now();
    const auto pendingLongPolls = static_cast<std::size_t>(std::ranges::count_if(
            m_pending, [](const auto &call) { return call.second.longPoll; }));
    const auto wantedLongPolls = m_runs.empty() ? 1 : m_limits.concurrentLongPolls;
    if (pendingLongPolls < wantedLongPolls && now >= m_nextList) {
        // Until the target is known to have no foreign runs, the current listing is needed at once.
        sendList(m_cleared && m_listFailures == 0);
        m_nextList = m_cleared && m_listFailures == 0 ? now : now + retryDelay;
    }
    if (m_fenceRaiseDue && now >= m_nextFenceRaise) {
        raiseFence();
    }
    for (auto &[ref, run] : m_runs) {
        if (run.stopDue && run.state == run_state::running &&
            now - run.stopSent >= stopRetryInterval) {
            sendStop(ref, &run);
        }
    }
    logOverdueStops();
    markExpiredRunsLost();
}

void target_session::logOverdueStops()
{
    const auto now = m_clock.now();
    for (auto &[ref, run] : m_runs) {
        if (run.stopDue && run.state != run_state::withheld && !run.stopOverdue &&
            now - *run.stopDue >= overdueStopTime) {
            run.stopOverdue = true;
            log("stop_overdue",
                {{"run", toText(ref)},
                 {"target", m_target->lifetime.id},
                 {"after_ms", std::to_string(toSignedMilliseconds(now - *run.stopDue))},
                 {"stop_calls", std::to_string(run.stopCalls)},
                 {"confirmed", run.state == run_state::running ? "true" : "false"},
                 {"lease_left_ms", std::to_string(m_leaseEnd - targetClockAt(now))}});
        }
    }
}

std::optional<start_in_doubt> target_session::startInDoubt(const batch_task &task) const
{
    std::optional<start_in_doubt> newest;
    const auto add = [&](const start_in_doubt &start) {
        // A lifetime that was only reported may be false.
        const bool replaced = m_cleared && start.target != m_target->lifetime.id;
        if (!replaced && start.until >= m_clock.now() && (!newest || start.until > newest->until)) {
            newest = start;
        }
    };
    if (const auto voided = m_voidedStarts.find(task); voided != m_voidedStarts.end()) {
        add(voided->second);
    }
    if (const auto *const ref = firstRunOf(m_runs, task); ref != nullptr) {
        if (const auto &run = m_runs.at(*ref); !run.startAnswered) {
            add({run.target, run.started + m_limits.maxStartDelay});
        }
    }
    return newest;
}

bool target_session::startSettled(const run_ref &ref) const
{
    const auto found = m_runs.find(ref);
    return found != m_runs.end() && found->second.state == run_state::running &&
           !startInDoubt(ref.task);
}

void target_session::markExpiredRunsLost()
{
    const bool listingTooOld =
            !m_lastListing || m_clock.now() - *m_lastListing > m_limits.maxListingAge;
    if (m_runs.empty() || !listingTooOld || !leaseCertainlyExpired() ||
        !earlierStartsCertainlyExpired()) {
        return;
    }
    m_foreignRuns.clear(); // their lease has expired as well
    std::vector<run_ref> expired;
    for (auto &[ref, run] : m_runs) {
        if (!startInDoubt(ref.task)) {
            expired.push_back(ref);
        } else if (!std::exchange(run.doubtLogged, true)) {
            log("start_in_doubt",
                {{"run", toText(ref)},
                 {"target", m_target->lifetime.id},
                 {"answered", run.startAnswered ? "true" : "false"},
                 {"started_ms",
                  std::to_string(toSignedMilliseconds(m_clock.now() - run.started))}});
        }
    }
    if (expired.empty()) {
        return;
    }
    log("lease_lapsed", {{"target", m_target->lifetime.id},
                         {"runs_lost", std::to_string(expired.size())},
                         {"lease_end_ms", std::to_string(m_leaseEnd)}});
    for (const auto &ref : expired) {
        const auto &run = m_runs.at(ref);
        if (run.state == run_state::withheld) {
            const auto outcome = run.withheld;
            end(ref, outcome.result, outcome.refusal, outcome.crashPossible);
            continue;
        }
        if (run.state == run_state::running) {
            m_lapsed.emplace(ref, interrupted_run{run.suspect, run.started});
        }
        end(ref, run_outcome::kind::lost, start_refusal::none, true);
    }
}

void target_session::handle(const target_reply &reply)
{
    const auto found = m_pending.find(reply.id);
    if (found == m_pending.end()) {
        return;
    }
    const auto call = found->second;
    m_pending.erase(found);
    if (call.kind == call_kind::candidate) {
        handleCandidateReply(call, reply);
        return;
    }
    // Another target's clock says nothing about the lease of this one.
    if (reply.clockMs && reply.status != call_status::wrong_target) {
        recordClock(*reply.clockMs);
    }
    if (call.kind == call_kind::start) {
        handleStartReply(call, reply);
    } else if (call.kind == call_kind::list) {
        handleListReply(call, reply);
    }
}

void target_session::handleStartReply(const pending_call &call, const target_reply &reply)
{
    const auto found = m_runs.find(call.ref);
    if (found == m_runs.end() || found->second.state != run_state::starting) {
        return;
    }
    auto &run = found->second;
    // A call without any answer may still be executed.
    run.startAnswered = reply.status != call_status::unanswered;
    if (reply.status != call_status::accepted) {
        log("start_not_accepted", {{"run", toText(call.ref)},
                                   {"target", m_target->lifetime.id},
                                   {"status", std::string{toText(reply.status)}},
                                   {"refusal", std::string{toText(reply.refusal)}},
                                   {"fence", std::to_string(call.fence)}});
    }
    switch (reply.status) {
    case call_status::accepted:
        run.state = run_state::running;
        run.confirmed = m_clock.now();
        if (run.stopDue) {
            sendStop(call.ref, &run);
        }
        break;
    case call_status::unanswered:
        run.state = run_state::unresolved;
        m_fenceRaiseDue = true;
        break;
    case call_status::unhealthy:
        m_unhealthyUntil = m_clock.now() + m_limits.unhealthyBackoff;
        end(call.ref, run_outcome::kind::not_started, start_refusal::unhealthy);
        break;
    case call_status::malformed:
        end(call.ref, run_outcome::kind::not_started, start_refusal::malformed);
        break;
    case call_status::unreachable:
        if (startInDoubt(call.ref.task)) { // the target may have crashed, see m_voidedStarts
            run.state = run_state::unresolved;
            m_fenceRaiseDue = true;
            break;
        }
        [[fallthrough]];
    case call_status::wrong_target:
        end(call.ref, run_outcome::kind::not_started, start_refusal::unhealthy);
        break;
    case call_status::refused:
        if (reply.refusal == call_refusal::fenced && passRefusedFence(call)) {
            m_fenceRaiseDue = false;
            sendList(false);
        }
        const auto refusal = reply.refusal == call_refusal::old_run   ? start_refusal::old_run
                             : reply.refusal == call_refusal::no_room ? start_refusal::no_room
                                                                      : start_refusal::retry;
        end(call.ref, run_outcome::kind::not_started, refusal);
        break;
    }
}

void target_session::handleListReply(const pending_call &call, const target_reply &reply)
{
    if (reply.status == call_status::accepted && reply.listing) {
        if (reply.listing->startedMs != m_target->lifetime.startedMs) {
            handleOtherLifetime(*reply.listing);
            return;
        }
        // The accepted fence may be of the generation in which the previous agent has raised its
        // fence, and some of its calls may be on their way with fences that the target has not
        // seen.
        if (m_generationShared && call.fence == m_fence) {
            m_generationShared = false;
            beginGeneration(1);
        }
        if (m_listFailures >= maxListFailures) {
            log("target_answers_again", {{"target", m_target->lifetime.id}});
        }
        m_listFailures = 0;
        if (!m_lastListing) {
            m_firstListing = m_clock.now();
        }
        m_lastListing = m_clock.now();
        m_nextList = m_clock.now();
        m_newestAnsweredCall = std::max(m_newestAnsweredCall, call.sent);
        applyListing(call, *reply.listing);
        dropFailedCandidate();
        return;
    }
    if (reply.status == call_status::refused && reply.refusal == call_refusal::fenced) {
        if (passRefusedFence(call)) {
            m_nextList = m_clock.now();
        }
        return;
    }
    if (++m_listFailures == maxListFailures) {
        log("target_silent", {{"target", m_target->lifetime.id},
                              {"status", std::string{toText(reply.status)}},
                              {"runs", std::to_string(m_runs.size())}});
    }
    const bool hasUnresolvedStarts = std::ranges::any_of(
            m_runs, [](const auto &run) { return run.second.state == run_state::unresolved; });
    m_fenceRaiseDue = m_fenceRaiseDue || (hasUnresolvedStarts && !call.longPoll);
    m_nextFenceRaise = m_clock.now() + retryDelay;
    m_nextList = m_nextFenceRaise;
}

/// Handles a listing of another lifetime than the current one. Only replies to calls that were made
/// after the current lifetime was known get here, see beginLifetime(), so the listing is from a
/// later lifetime whatever the start times: the clock may have been set back before the restart.
void target_session::handleOtherLifetime(const run_listing &listing)
{
    if (listing.startedMs == 0) {
        if (auto fields =
                    ignoredFields({m_target->lifetime.id, listing.startedMs}, "no_start_time")) {
            fields->emplace_back("running", std::to_string(listing.running.size()));
            fields->emplace_back("ended", std::to_string(listing.ended.size()));
            log("listing_ignored", std::move(*fields));
        }
        m_nextList = m_clock.now() + retryDelay;
        return;
    }
    auto restarted = *m_target;
    restarted.lifetime.startedMs = listing.startedMs;
    restarted.sequence = 0;
    restarted.clockMs.reset();
    beginLifetime(restarted);
    m_lastReport.reset();
}

void target_session::applyListing(const pending_call &call, const run_listing &listing)
{
    const std::set<run_ref> running{listing.running.begin(), listing.running.end()};
    m_lapsed.clear();
    std::erase_if(m_crashed, [&](const auto &run) {
        return running.contains(run.first) ||
               std::ranges::any_of(listing.ended,
                                   [&](const auto &ended) { return ended.ref == run.first; });
    });
    reportCrash();
    recordForeign(call, listing);
    applyEnds(listing.ended);
    resolveRuns(call, running, listing.endsComplete);
    stopForeign();
    if (!m_cleared && call.fence == m_fence &&
        std::ranges::none_of(running, [&](const auto &ref) { return foreign(call, ref); })) {
        m_cleared = true;
        log("target_cleared",
            {{"target", m_target->lifetime.id}, {"fence", std::to_string(m_fence)}});
    }
}

void target_session::applyEnds(const std::vector<listed_end> &ended)
{
    for (const auto &listed : ended) {
        if (listed.number <= m_endsSeen) {
            continue;
        }
        m_endsSeen = listed.number;
        if (const auto run = m_runs.find(listed.ref); run != m_runs.end()) {
            run->second.startAnswered = true; // its end shows that the call was executed
        }
        switch (listed.kind) {
        case run_end_kind::done:
            end(listed.ref, run_outcome::kind::done);
            break;
        case run_end_kind::failed:
            end(listed.ref, run_outcome::kind::failed);
            break;
        case run_end_kind::stopped:
            end(listed.ref, run_outcome::kind::stopped);
            break;
        case run_end_kind::lapsed:
            end(listed.ref, run_outcome::kind::lost);
            break;
        }
    }
}

void target_session::resolveRuns(const pending_call &call, const std::set<run_ref> &running,
                                 bool endsComplete)
{
    std::vector<std::pair<run_ref, run_outcome::kind>> gone;
    std::vector<run_ref> released;
    // An earlier lifetime under another id may still execute its runs beside the current one.
    const bool earlierEnded = m_clock.now() > m_earlierLeasesEnd + m_limits.leaseExpiryMargin;
    for (auto &[ref, run] : m_runs) {
        if (run.state == run_state::unresolved) {
            if (running.contains(ref)) {
                run.state = run_state::running;
                run.startAnswered = true;
                run.confirmed = m_clock.now();
                run.fromEarlierLifetime = false;
            } else if (call.fence > run.startFence && (!run.fromEarlierLifetime || earlierEnded)) {
                gone.emplace_back(ref, run.fromEarlierLifetime ? run_outcome::kind::lost
                                                               : run_outcome::kind::not_started);
            }
        } else if (run.state == run_state::running && !running.contains(ref) &&
                   call.sent > run.confirmed) {
            gone.emplace_back(ref, run_outcome::kind::lost);
        }
    }
    if (!endsComplete) {
        gone.clear(); // they may have ended with any outcome, which the next listing shows
    }
    for (const auto &[ref, run] : m_runs) {
        if (run.state == run_state::withheld && !foreignRunOf(ref.task)) {
            released.push_back(ref);
        }
    }
    for (const auto &ref : released) {
        const auto outcome = m_runs.at(ref).withheld;
        end(ref, outcome.result, outcome.refusal, outcome.crashPossible);
    }
    for (const auto &[ref, result] : gone) {
        const bool notStarted = result == run_outcome::kind::not_started;
        if (notStarted) {
            log("start_void", {{"run", toText(ref)}, {"fence", std::to_string(call.fence)}});
        } else {
            log("run_missing", {{"run", toText(ref)}, {"fence", std::to_string(call.fence)}});
        }
        const auto &run = m_runs.at(ref);
        if (!run.startAnswered) {
            m_voidedStarts[ref.task] = {run.target, run.started + m_limits.maxStartDelay};
        }
        const bool crashPossible = !notStarted && run.fromEarlierLifetime;
        end(ref, result, notStarted ? start_refusal::retry : start_refusal::none, crashPossible);
    }
}

bool target_session::foreign(const pending_call &call, const run_ref &ref) const
{
    const auto ended = m_recentlyEnded.find(ref);
    return !m_runs.contains(ref) && (ended == m_recentlyEnded.end() || call.sent > ended->second);
}

/// Updates the foreign runs. One is removed when the listing contains its end, or when the listing
/// was requested after the newest one that contained the run: replies may overtake each other.
void target_session::recordForeign(const pending_call &call, const run_listing &listing)
{
    const auto now = m_clock.now();
    for (const auto &ref : listing.running) {
        if (foreign(call, ref)) {
            m_foreignRuns.try_emplace(ref, foreign_run{now, now, {}}).first->second.listed = now;
        }
    }
    for (const auto &ended : listing.ended) {
        if (ended.number > m_endsSeen) {
            m_foreignRuns.erase(ended.ref);
        }
    }
    std::erase_if(m_foreignRuns, [&](const auto &run) { return run.second.listed < call.sent; });
}

bool target_session::foreignRunOf(const batch_task &task) const
{
    return firstRunOf(m_foreignRuns, task) != nullptr;
}

void target_session::stopForeign()
{
    const auto now = m_clock.now();
    for (auto &[ref, run] : m_foreignRuns) {
        if (now - run.stopSent < stopRetryInterval) {
            continue;
        }
        run.stopSent = now;
        const auto *const own = firstRunOf(m_runs, ref.task);
        log("foreign_run_stopped",
            {{"run", toText(ref)},
             {"target", m_target->lifetime.id},
             {"own_run", own == nullptr ? "none" : toText(*own)},
             {"cleared", m_cleared ? "true" : "false"},
             {"lifetime_known_ms",
              std::to_string(toSignedMilliseconds(now - m_lifetimeKnownSince))}});
        sendStop(ref, nullptr);
    }
    std::erase_if(m_recentlyEnded,
                  [&](const auto &ended) { return now - ended.second >= staleListingLimit; });
    std::erase_if(m_voidedStarts, [&](const auto &start) { return start.second.until < now; });
}

void target_session::end(const run_ref &ref, run_outcome::kind result, start_refusal refusal,
                         bool crashPossible)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end()) {
        return;
    }
    // An entry may start the task elsewhere as soon as it knows the outcome.
    if (result != run_outcome::kind::done && foreignRunOf(ref.task)) {
        if (found->second.state != run_state::withheld) {
            log("run_withheld", {{"run", toText(ref)}, {"target", m_target->lifetime.id}});
        }
        found->second.state = run_state::withheld;
        found->second.withheld = {result, refusal, crashPossible};
        return;
    }
    const auto &run = found->second;
    if (run.stopOverdue) {
        log("stop_late",
            {{"run", toText(ref)},
             {"target", m_target->lifetime.id},
             {"after_ms", std::to_string(toSignedMilliseconds(m_clock.now() - *run.stopDue))},
             {"stop_calls", std::to_string(run.stopCalls)},
             {"outcome", std::string{outcomeNames[static_cast<std::size_t>(result)]}}});
    }
    m_committed -= run.demand;
    m_recentlyEnded[ref] = m_clock.now();
    m_outcomes.push_back({ref, result, refusal, m_clock.now() - run.started, crashPossible});
    m_runs.erase(found);
}

void target_session::logIgnoredReport(const target_report &report, std::string_view reason)
{
    if (auto fields = ignoredFields(report.lifetime, reason)) {
        fields->emplace_back("sequence", std::to_string(report.sequence));
        fields->emplace_back("kept_sequence", std::to_string(m_target->sequence));
        fields->emplace_back("address", report.address);
        log("report_ignored", std::move(*fields));
    }
}

std::optional<target_session::event_fields>
target_session::ignoredFields(const target_lifetime &lifetime, std::string_view reason)
{
    const auto now = m_clock.now();
    ++m_ignored;
    if (m_lastIgnoredLog && now - *m_lastIgnoredLog < ignoredLogInterval) {
        return std::nullopt;
    }
    m_lastIgnoredLog = now;
    return event_fields{{"target", lifetime.id},
                        {"started_ms", std::to_string(lifetime.startedMs)},
                        {"kept", m_target->lifetime.id},
                        {"kept_started_ms", std::to_string(m_target->lifetime.startedMs)},
                        {"reason", std::string{reason}},
                        {"ignored", std::to_string(std::exchange(m_ignored, 0))}};
}

void target_session::log(std::string name, event_fields fields)
{
    m_events.emplace_back(std::move(name), std::move(fields));
}

} // namespace bamboohead
