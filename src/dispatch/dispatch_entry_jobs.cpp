#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>
#include <numeric>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration minRetryDelay = 1s; ///< shortest retry delay in refusals
/// Largest random addition to the retry delay in refusals because of an overload. Bursts last for a
/// few seconds.
constexpr duration maxRetrySpread = 2s;
constexpr std::size_t maxEndedJobs = 100'000; ///< ended jobs whose result is kept
/// Divisor of the entry's equal share of the targets' capacity. The quotient is the lower bound of
/// the start rate, and the rate that is assumed while no starts have been observed.
constexpr std::uint64_t assumedShareDivisor = 2;

} // namespace

std::size_t dispatch_entry::taskCount(const batch_submission &job)
{
    return std::accumulate(job.steps.begin(), job.steps.end(), std::size_t{0},
                           [](std::size_t sum, const auto &step) { return sum + step.count; });
}

error_kind dispatch_entry::refusalReason(const dispatch_route &route,
                                         const batch_submission &job) const
{
    if (!job.bestEffort || job.usesUnsupportedFeature) {
        return error_kind::unsupported_job;
    }
    if (m_jobs.size() >= m_options.limits.maxJobs ||
        m_openTasks + taskCount(job) > m_options.limits.maxOpenTasks) {
        return error_kind::too_many_waiters;
    }
    if (refusesJobs()) {
        return error_kind::stopping;
    }
    const bool agentTimeoutPassed =
            m_member.now() - m_lastUsableAgent >= m_options.limits.noAgentTimeout;
    return agentTimeoutPassed && m_pool.usableAgents(route.service) == 0 ? error_kind::no_target
                                                                         : error_kind::none;
}

bool dispatch_entry::refusesJobs() const
{
    return m_drainStart && m_member.now() - *m_drainStart >= m_options.limits.minDrainTime;
}

bool dispatch_entry::exitDue() const
{
    return m_shutdownCompleted && m_member.now() > *m_shutdownCompleted &&
           m_member.now() - *m_drainStart >= m_options.limits.exitTimeout;
}

void dispatch_entry::setObjective(job_record &job) const
{
    const auto criticalPath =
            m_runTimes.expected(job.route.name, criticalPathLength(job.submission));
    job.objective = responseObjective(criticalPath, job.route);
    job.latestStart = job.received + job.objective - criticalPath;
    job.latestUsefulStart =
            job.received + job.objective * m_options.limits.maxObjectiveFactor - criticalPath;
}

std::uint64_t dispatch_entry::queuedWork(const job_record &job) const
{
    std::uint64_t work = 0;
    for (std::size_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
        const auto &step = job.submission.steps[stepIndex];
        work += workOf(step.demand.cpuMillis, m_runTimes.expected(job.route.name, step.estimate),
                       job.steps[stepIndex].waiting.size());
    }
    return work;
}

/// Whether the process has started so recently that the known agents are only a part of all.
bool dispatch_entry::discovering() const
{
    return m_member.now() - m_started < m_options.limits.discoveryTime;
}

/// Time until the queued jobs before `key` have started at the current start rate; zero without
/// available agents and shortly after the start of the process.
duration dispatch_entry::expectedWait(const queue_key &key, const job_record &job) const
{
    if (discovering() || m_pool.usableAgents(job.route.service) == 0) {
        return {};
    }
    std::uint64_t backlog = 0;
    for (auto before = m_queue.begin(); before != m_queue.end() && *before < key; ++before) {
        backlog += queuedWork(m_jobs.at(std::get<batch_job_id>(*before)));
    }
    if (const auto room = m_rooms.find(hashOfName(job.route.service)); room != m_rooms.end()) {
        backlog += m_demand.waitingBefore(room->first, job.route.priority);
        return timeToStart(room->second.load, backlog);
    }
    if (backlog == 0) {
        return {};
    }
    const auto entries = m_member.links().peers(wire::ROLE_ENTRY).size() + 1;
    const auto share = m_pool.capacity(job.route.service).cpuMillis / entries / assumedShareDivisor;
    return m_startRate.timeToStart(backlog, share, m_member.now());
}

duration dispatch_entry::callerTimeoutOf(const batch_submission &job) const
{
    return job.callerTimeout > duration{} ? job.callerTimeout
                                          : m_options.limits.defaultCallerTimeout;
}

/// Answers a request for a job that is known already, or adds it to the open job.
/// @return False when the job is new.
bool dispatch_entry::handleRepeatedRequest(caller_request request, const batch_submission &job)
{
    const auto id = job.id;
    if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
        m_member.log("job_repeated", {{"job", toText(id)}, {"state", "ended"}});
        m_member.push(job_reply{request, ended->second, error_kind::none, {}, {}});
        return true;
    }
    if (m_cancels.contains(id)) {
        m_member.log("job_repeated", {{"job", toText(id)}, {"state", "cancelled"}});
        m_cancels.record(id, m_member.now() + callerTimeoutOf(job));
        m_member.push(
                job_reply{request, batch_job_state::cancelled, error_kind::cancelled, {}, {}});
        return true;
    }
    if (m_interrupted.contains(id)) {
        m_member.push(
                job_reply{request, batch_job_state::cancelled, error_kind::interrupted, {}, {}});
        return true;
    }
    const auto known = m_jobs.find(id);
    if ((known == m_jobs.end() || known->second.ending) && m_crashes.givenUp(id)) {
        m_member.log("job_repeated", {{"job", toText(id)}, {"state", "given_up"}});
        ++m_counters.failed;
        keepResult(id, batch_job_state::failed);
        m_member.push(job_reply{request, batch_job_state::failed, error_kind::none, {}, {}});
        return true;
    }
    if (known != m_jobs.end()) {
        m_member.log("job_repeated",
                     {{"job", toText(id)}, {"state", known->second.ending ? "ending" : "open"}});
        joinJob(known->second, request);
        return true;
    }
    return false;
}

void dispatch_entry::submit(caller_request request, const dispatch_route &route,
                            batch_submission job)
{
    ++m_counters.submitted;
    const auto id = job.id;
    if (handleRepeatedRequest(request, job)) {
        return;
    }
    const auto refusal = refusalReason(route, job);
    if (refusal != error_kind::none) {
        refuse(request, id, refusal, minRetryDelay);
        return;
    }
    job_record record;
    record.route = route;
    record.received = m_member.now();
    record.expires = record.received + callerTimeoutOf(job);
    for (const auto &step : job.steps) {
        batch_step_record added;
        added.tasks.resize(step.count);
        for (auto index = step.count; index > 0; --index) {
            added.waiting.push_back(index - 1);
        }
        record.steps.push_back(std::move(added));
    }
    record.submission = std::move(job);
    setObjective(record);
    m_demand.recordArrival(hashOfName(route.service), hashOfName(route.name), route.priority,
                           queuedWork(record), m_member.now());
    const auto wait = expectedWait(keyOf(record), record);
    if (!admits(route) || record.received + wait > record.latestStart) {
        refuse(request, id, error_kind::overloaded, wait);
        return;
    }
    m_member.log("job_accepted",
                 {{"job", toText(id)},
                  {"route", route.name},
                  {"steps", std::to_string(record.submission.steps.size())},
                  {"tasks", // those of the first step only
                   std::to_string(record.submission.steps.front().count)},
                  {"objective_ms", std::to_string(toMilliseconds(record.objective))},
                  {"wait_ms", std::to_string(toMilliseconds(wait))},
                  {"config", std::to_string(m_member.config().version)},
                  {"patience_ms", // the caller's timeout; 0: not given
                   std::to_string(toMilliseconds(record.submission.callerTimeout))}});
    record.callers.push_back(request);
    m_callers.emplace(request, id);
    m_expiries.emplace(record.expires, id);
    m_openTasks += taskCount(record.submission);
    enqueue(m_jobs.emplace(id, std::move(record)).first->second);
}

/// Adds a repeated request to its job. A job whose callers have left, or whose time limit has
/// passed, is resumed while its runs have not all ended: tasks whose runs are being stopped start
/// again after these runs have ended.
void dispatch_entry::joinJob(job_record &job, caller_request request)
{
    if (job.endState && *job.endState != batch_job_state::cancelled) {
        m_member.push(job_reply{request, *job.endState, error_kind::none, {}, {}});
        return;
    }
    if (m_shutdownCompleted) {
        m_member.push(
                job_reply{request, batch_job_state::cancelled, error_kind::interrupted, {}, {}});
        return;
    }
    job.callers.push_back(request);
    m_callers.emplace(request, job.submission.id);
    if (job.ending) {
        job.ending = false;
        job.endState.reset();
        m_expiries.erase({job.expires, job.submission.id});
        job.expires = m_member.now() + callerTimeoutOf(job.submission);
        m_expiries.emplace(job.expires, job.submission.id);
        enqueue(job);
    }
}

void dispatch_entry::refuse(caller_request request, batch_job_id id, error_kind why,
                            duration retryAfter)
{
    retryAfter = std::max(retryAfter, minRetryDelay);
    if (m_options.limits.fleetAdmission && why == error_kind::overloaded) {
        // The callers that a burst has refused should not all return at the same time.
        retryAfter += duration{
                std::uniform_int_distribution<duration::rep>{0, maxRetrySpread.count()}(m_random)};
    }
    ++m_counters.refused;
    m_member.log("job_refused", {{"job", toText(id)},
                                 {"reason", std::string{errorInfo(why).name}},
                                 {"agents", std::to_string(m_pool.agents().size())},
                                 {"open_jobs", std::to_string(m_jobs.size())},
                                 {"waiting_jobs", std::to_string(m_queue.size())},
                                 {"share", std::to_string(m_admission.share())},
                                 {"retry_ms", std::to_string(toMilliseconds(retryAfter))}});
    m_member.push(job_reply{request, batch_job_state::failed, why, retryAfter, {}});
}

/// Refuses all callers of a job of which no task has started, and ends it.
void dispatch_entry::refuseJob(job_record &job, error_kind why, duration retryAfter)
{
    const auto callers = std::exchange(job.callers, {});
    for (const auto request : callers) {
        m_callers.erase(request);
        refuse(request, job.submission.id, why, retryAfter);
    }
    endJob(job, batch_job_state::cancelled, why);
}

void dispatch_entry::callerDisconnected(caller_request request)
{
    const auto found = m_callers.find(request);
    if (found == m_callers.end()) {
        return;
    }
    const auto id = found->second;
    m_callers.erase(found);
    auto &job = m_jobs.at(id);
    std::erase(job.callers, request);
    if (job.callers.empty() && !job.endState) {
        ++m_counters.abandoned;
        m_member.log("caller_left",
                     {{"job", toText(id)},
                      {"after_ms", std::to_string(toMilliseconds(m_member.now() - job.received))}});
        endJob(job, batch_job_state::cancelled, error_kind::cancelled);
        removeIfFinished(id);
    }
}

bool dispatch_entry::cancel(batch_job_id id)
{
    const auto found = m_jobs.find(id);
    const auto minimum = m_member.now() + m_options.limits.minCancelRetention;
    m_cancels.record(id,
                     found == m_jobs.end() ? minimum : std::max(minimum, found->second.expires));
    if (found == m_jobs.end()) {
        return m_ended.contains(id);
    }
    if (!found->second.endState) {
        endJob(found->second, batch_job_state::cancelled, error_kind::cancelled);
        removeIfFinished(id);
    }
    return true;
}

void dispatch_entry::endJob(job_record &job, batch_job_state state, error_kind error)
{
    const auto id = job.submission.id;
    job.endState = state;
    job.ending = true;
    m_queue.erase(keyOf(job));
    m_expiries.erase({job.expires, id});
    if (state == batch_job_state::succeeded) {
        ++m_counters.succeeded;
    } else if (state == batch_job_state::failed) {
        ++m_counters.failed;
    }
    m_member.log("job_ended",
                 {{"job", toText(id)},
                  {"state", state == batch_job_state::succeeded ? "succeeded"
                            : state == batch_job_state::failed  ? "failed"
                                                                : "cancelled"},
                  {"reason", std::string{errorInfo(error).name}},
                  {"runs_left", std::to_string(job.outstanding)},
                  {"after_ms", std::to_string(toMilliseconds(m_member.now() - job.received))}});
    for (const auto request : job.callers) {
        m_callers.erase(request);
        m_member.push(job_reply{request, state, error, {}, m_member.now() - job.received});
    }
    job.callers.clear();
    stopRuns(job);
    if (state != batch_job_state::cancelled) {
        keepResult(id, state);
    }
}

void dispatch_entry::keepResult(batch_job_id id, batch_job_state state)
{
    m_ended.emplace(id, state);
    m_endedByTime.push_back({id, m_member.now()});
}

void dispatch_entry::stopRuns(const job_record &job)
{
    if (job.outstanding == 0) {
        return;
    }
    const run_ref first{{job.submission.id, 0, 0}, 0};
    for (auto &[incarnation, agent] : m_pool.agents()) {
        for (auto run = agent.outstanding.lower_bound(first);
             run != agent.outstanding.end() && run->first.task.job == job.submission.id; ++run) {
            if (!run->second.stopping) {
                sendStop(agent, run->first, run->second);
            }
        }
    }
}

void dispatch_entry::expireJobs()
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_member.now()) {
        const auto id = m_expiries.begin()->second;
        ++m_counters.expired;
        endJob(m_jobs.at(id), batch_job_state::cancelled, error_kind::deadline_exceeded);
        removeIfFinished(id);
    }
}

void dispatch_entry::removeIfFinished(batch_job_id id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.ending && found->second.outstanding == 0) {
        m_openTasks -= taskCount(found->second.submission);
        m_jobs.erase(found);
    }
}

std::optional<batch_job_id> dispatch_entry::jobOfDroppedRoute(std::string_view host,
                                                              std::string_view path) const
{
    if (const auto rest = m_member.droppedRoutes().restOfPath(host, path)) {
        if (const auto id = parseBatchJobId(*rest)) {
            return id;
        }
    }
    // Open jobs may outnumber the dropped routes that are kept.
    const auto idStart = path.size() - std::min(path.size(), batchJobIdDigits);
    const auto id = parseBatchJobId(path.substr(idStart));
    const auto found = id ? m_jobs.find(*id) : m_jobs.end();
    if (found == m_jobs.end() || found->second.route.host != host ||
        found->second.route.prefix != path.substr(0, idStart)) {
        return std::nullopt;
    }
    return id;
}

/// Ends the open jobs and reports the end of the shutdown. A job of which no task was ordered has
/// certainly not run.
void dispatch_entry::finishShutdown()
{
    std::vector<batch_job_id> open;
    for (const auto &[id, job] : m_jobs) {
        if (!job.endState) {
            open.push_back(id);
        }
    }
    for (const auto id : open) {
        auto &job = m_jobs.at(id);
        if (job.started) {
            m_interrupted.insert(id);
            endJob(job, batch_job_state::cancelled, error_kind::interrupted);
        } else {
            refuseJob(job, error_kind::stopping, minRetryDelay);
        }
        removeIfFinished(id);
    }
    m_shutdownCompleted = m_member.now();
    m_member.push(shutdown_complete{});
}

void dispatch_entry::evictEndedJobs()
{
    while (!m_endedByTime.empty() &&
           (m_endedByTime.size() > maxEndedJobs ||
            m_member.now() - m_endedByTime.front().ended >= m_options.limits.endedJobRetention)) {
        m_ended.erase(m_endedByTime.front().id);
        m_endedByTime.pop_front();
    }
}

} // namespace bamboohead
