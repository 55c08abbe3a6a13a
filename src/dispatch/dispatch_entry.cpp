#include "bamboohead/dispatch/dispatch_entry.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Jobs without room that are passed over for later ones before dispatching gives up.
constexpr std::size_t maxPassedOver = 8;
constexpr duration fullPause = 30ms;     ///< an agent that refused for want of room gets no orders
constexpr duration refusedPause = 200ms; ///< same, after refusals for other reasons
constexpr duration shortRetry = 1s;      ///< told to callers when the cause may pass soon
constexpr std::size_t maxEnded = 100'000;
constexpr duration deadAgentLimit = 3s;
/// A run is moved when its target is this much slower than ordinary, and the run has taken this
/// multiple of its expected time: less than starting again would take.
constexpr double replacedSlowness = 2.0;
constexpr int replacedAfter = 3;
/// Declared run times were seen to be up to this far below the real ones.
constexpr int declaredMarginPercent = 150;
constexpr int wholePercent = 100;
/// An entry without observations counts on one part in this many of its share of the targets.
constexpr std::uint64_t assumedShare = 2;
constexpr duration unknownRunTime = 200ms; ///< of a priority that this entry has not ordered yet
constexpr int meanRunWeight = 20;          ///< one order counts one part in this many in the mean
constexpr duration membersInterval = 2s;   ///< between lists of entries sent to an agent

std::uint32_t toMilliseconds(duration time)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
    return count < 0 ? 0 : static_cast<std::uint32_t>(count);
}

} // namespace

dispatch_entry::dispatch_entry(dispatch_entry_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_member{m_options.self, clock}
    , m_pool{m_member, m_options.seed}
{
    m_member.addContacts(m_options.contacts);
    m_lastUsable = clock.now();
    m_random.seed(m_options.seed);
}

// Messages

void dispatch_entry::receive(const wire::Envelope &envelope)
{
    const auto verdict = m_member.receive(envelope);
    if (verdict.accepted && envelope.payload_case() == wire::Envelope::kDispatchReport) {
        reportReceived(incarnation_id{envelope.sender()}, envelope);
    }
}

void dispatch_entry::reportReceived(incarnation_id sender, const wire::Envelope &envelope)
{
    const auto &report = envelope.dispatch_report();
    auto [position, added] = m_pool.agents().try_emplace(sender);
    auto &agent = position->second;
    if (added) {
        agent.incarnation = sender;
        m_member.log("agent_found", {{"agent", toText(sender)},
                                     {"endpoint", envelope.endpoint()},
                                     {"zone", envelope.zone()}});
    }
    agent.endpoint = envelope.endpoint();
    agent.zone = envelope.zone();
    m_member.peerHolds(sender, report.config_version());
    updateView(agent, report);
    for (const auto &end : report.ends()) {
        runEnded(agent, end);
        if (end.number() == agent.endsSeen + 1) {
            agent.endsSeen = end.number();
        }
    }
    if (report.reconcile()) {
        reconcile(agent, report);
    }
    if (agent.cleared) {
        supersede(agent);
    }
    m_dispatchDue = true;
}

void dispatch_entry::updateView(agent_view &agent, const wire::DispatchReport &report)
{
    if (report.ready() != agent.ready) {
        m_member.log("agent_ready", {{"agent", toText(agent.incarnation)},
                                     {"target", report.target()},
                                     {"ready", report.ready() ? "true" : "false"}});
    }
    agent.ready = report.ready() && (report.reconcile() || !agent.service.empty());
    agent.cleared = report.cleared();
    agent.running = fromWire(report.running());
    agent.queued.clear();
    for (const auto &queued : report.queued()) {
        agent.queued[queued.priority()] += fromWire(queued.demand());
    }
    agent.ordersHandled = std::max(agent.ordersHandled, report.orders_handled());
    if (report.has_capacity()) {
        agent.service = report.service();
        agent.target = report.target();
        agent.capacity = fromWire(report.capacity());
        agent.labels.assign(report.labels().begin(), report.labels().end());
    }
}

void dispatch_entry::reconcile(agent_view &agent, const wire::DispatchReport &report)
{
    std::set<run_ref> held;
    for (int index = 0; index < report.held_size(); ++index) {
        const auto ref = *held.insert(fromWire(report.held(index))).first;
        const auto known = agent.outstanding.find(ref);
        if (known != agent.outstanding.end() && index < report.running_ms_size()) {
            watchRun(agent, ref, known->second,
                     std::chrono::milliseconds{report.running_ms(index)});
        }
    }
    std::vector<run_ref> lost;
    for (const auto &[ref, run] : agent.outstanding) {
        if (run.orderNumber <= report.orders_handled() && !held.contains(ref)) {
            lost.push_back(ref);
        }
    }
    for (const auto &ref : lost) {
        agent.outstanding.erase(ref);
        runLost(ref, agent.incarnation, "order_not_received");
    }
}

/// A cleared agent proves that the runs of its predecessors at the same endpoint have ended.
void dispatch_entry::supersede(const agent_view &successor)
{
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const bool older = agent.endpoint == successor.endpoint && &agent != &successor;
        if (!older || agent.outstanding.empty()) {
            continue;
        }
        const auto lost = std::exchange(agent.outstanding, {});
        for (const auto &[ref, run] : lost) {
            runLost(ref, incarnation, "agent_restarted");
        }
    }
}

void dispatch_entry::loseSilentAgents()
{
    std::vector<incarnation_id> gone;
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto *const peer = m_member.links().find(incarnation);
        const auto silence = peer == nullptr ? deadAgentLimit : m_member.now() - peer->lastArrival;
        if (silence >= m_options.limits.runLossLimit && !agent.outstanding.empty()) {
            const auto lost = std::exchange(agent.outstanding, {});
            for (const auto &[ref, run] : lost) {
                runLost(ref, incarnation, "agent_silent");
            }
        }
        if (peer == nullptr || silence >= deadAgentLimit) {
            gone.push_back(incarnation);
        }
    }
    for (const auto incarnation : gone) {
        m_member.log("agent_lost", {{"agent", toText(incarnation)}});
        m_pool.forget(incarnation);
        m_drafts.erase(incarnation);
    }
}

// Ends of runs

void dispatch_entry::runEnded(agent_view &agent, const wire::RunEnd &end)
{
    const auto ref = fromWire(end.run());
    const auto known = agent.outstanding.find(ref);
    if (known == agent.outstanding.end()) {
        return; // told before
    }
    const auto run = known->second;
    agent.outstanding.erase(known);
    if (end.outcome() == wire::RUN_OUTCOME_LOST) {
        runLost(ref, agent.incarnation, "run_lost");
        return;
    }
    if (end.outcome() == wire::RUN_OUTCOME_REFUSED) {
        ++m_counters.runsRefused;
        const auto error = errorFromWire(end.error());
        const bool notTheAgent =
                error == error_kind::order_void || error == error_kind::order_duplicate;
        const auto pause = error == error_kind::no_room ? fullPause : refusedPause;
        agent.fullUntil = notTheAgent ? time_point{} : m_member.now() + pause;
    }
    const auto found = m_jobs.find(ref.task.job);
    if (found == m_jobs.end()) {
        return;
    }
    auto &job = found->second;
    --job.outstanding;
    switch (end.outcome()) {
    case wire::RUN_OUTCOME_DONE:
        observeRunTime(agent, job, ref, run, std::chrono::milliseconds{end.run_ms()});
        taskDone(job, ref);
        break;
    case wire::RUN_OUTCOME_FAILED:
        taskFailed(job, ref, agent.incarnation);
        break;
    default:
        taskWaits(job, ref.task, agent.incarnation);
        break;
    }
    removeIfOver(ref.task.job);
}

/// What a run takes on an ordinary target: what its siblings took, which are alike. Declared times
/// are rough, so they count only before a sibling has ended, and with a margin.
duration dispatch_entry::ordinaryTime(const job_record &job, const run_ref &ref,
                                      const outstanding_run &run) const
{
    const auto &step = job.steps.at(ref.task.step);
    if (step.done > 0) {
        return step.doneTime / step.done;
    }
    return run.expected * declaredMarginPercent / wholePercent;
}

void dispatch_entry::observeRunTime(agent_view &agent, job_record &job, const run_ref &ref,
                                    const outstanding_run &run, duration runTime)
{
    m_pool.taskEnded(agent.incarnation, ref.task.job, false);
    auto &step = job.steps.at(ref.task.step);
    const auto reference = step.done > 0 ? step.doneTime / step.done : run.expected;
    agent.pace.ended(reference, runTime, m_member.now());
    // A slow target tells nothing about the declared times.
    if (agent.pace.slowness(m_member.now()) < replacedSlowness) {
        m_times.observe(job.route.name, job.job.steps.at(ref.task.step).estimate, runTime);
        step.doneTime += runTime;
    } else {
        step.doneTime += reference;
    }
}

/// Judges the target of a run that goes on, and moves the run elsewhere when it is much too slow.
void dispatch_entry::watchRun(agent_view &agent, const run_ref &ref, outstanding_run &run,
                              duration runTime)
{
    const auto found = m_jobs.find(ref.task.job);
    if (run.stopping || found == m_jobs.end() || found->second.ending) {
        return;
    }
    const auto ordinary = ordinaryTime(found->second, ref, run);
    agent.pace.overdue(ordinary, runTime, m_member.now());
    if (runTime < ordinary * replacedAfter ||
        agent.pace.slowness(m_member.now()) < replacedSlowness) {
        return;
    }
    auto request = requestFor(found->second, ref.task.step, ref.task.index);
    request.avoid = agent.incarnation;
    if (!m_pool.hasIdle(request)) {
        return;
    }
    run.stopping = true;
    run.stopSent = m_member.now();
    toWire(ref, *m_drafts[agent.incarnation].add_stops());
    m_member.log("run_replaced", {{"run", toText(ref)},
                                  {"agent", toText(agent.incarnation)},
                                  {"run_ms", std::to_string(toMilliseconds(runTime))},
                                  {"ordinary_ms", std::to_string(toMilliseconds(ordinary))}});
}

void dispatch_entry::runLost(const run_ref &ref, incarnation_id agent, std::string_view why)
{
    ++m_counters.runsLost;
    m_member.log("run_lost",
                 {{"run", toText(ref)}, {"agent", toText(agent)}, {"reason", std::string{why}}});
    const auto found = m_jobs.find(ref.task.job);
    if (found != m_jobs.end()) {
        --found->second.outstanding;
        taskWaits(found->second, ref.task, agent);
        removeIfOver(ref.task.job);
    }
}

void dispatch_entry::taskDone(job_record &job, const run_ref &ref)
{
    auto &step = job.steps.at(ref.task.step);
    auto &task = step.tasks.at(ref.task.index);
    if (task.state == batch_task_state::done) {
        return;
    }
    task.state = batch_task_state::done;
    ++step.done;
    if (job.ending) {
        return;
    }
    const bool complete = std::ranges::all_of(
            job.steps, [](const auto &each) { return each.done == each.tasks.size(); });
    if (complete) {
        endJob(job, batch_job_state::succeeded, error_kind::none);
    } else if (step.done == step.tasks.size()) {
        enqueue(job); // later steps may start
    }
}

void dispatch_entry::taskFailed(job_record &job, const run_ref &ref, incarnation_id agent)
{
    auto &task = job.steps.at(ref.task.step).tasks.at(ref.task.index);
    ++task.failures;
    m_pool.taskEnded(agent, ref.task.job, true);
    m_member.log("task_failed", {{"run", toText(ref)},
                                 {"agent", toText(agent)},
                                 {"failures", std::to_string(task.failures)},
                                 {"most", std::to_string(job.route.maxAttempts)}});
    if (task.failures >= job.route.maxAttempts && !job.endState) {
        endJob(job, batch_job_state::failed, error_kind::none);
        return;
    }
    taskWaits(job, ref.task, agent);
}

void dispatch_entry::taskWaits(job_record &job, const batch_task &task, incarnation_id avoid)
{
    auto &step = job.steps.at(task.step);
    auto &record = step.tasks.at(task.index);
    if (record.state != batch_task_state::ordered) {
        return;
    }
    record.state = batch_task_state::waiting;
    record.avoid = avoid;
    step.waiting.push_back(task.index);
    if (!job.ending) {
        enqueue(job);
    }
}

// Jobs

error_kind dispatch_entry::refusalOf(const dispatch_route &route, const batch_submission &job) const
{
    if (!job.bestEffort || job.unsupported) {
        return error_kind::unsupported_job;
    }
    if (m_jobs.size() >= m_options.limits.maxJobs) {
        return error_kind::too_many_waiters;
    }
    if (refusesJobs()) {
        return error_kind::stopping;
    }
    const bool hopeless = m_member.now() - m_lastUsable >= m_options.limits.targetGrace;
    return hopeless && m_pool.usableAgents(route.service) == 0 ? error_kind::no_target
                                                               : error_kind::none;
}

bool dispatch_entry::refusesJobs() const
{
    return m_stopSince && m_member.now() - *m_stopSince >= m_options.limits.drainLinger;
}

void dispatch_entry::setTimes(job_record &job) const
{
    const auto chain = m_times.expected(job.route.name, longestChain(job.job));
    job.objective = responseObjective(chain, job.route);
    job.latestStart = job.received + job.objective - chain;
    job.latestUseful = job.received + job.objective * m_options.limits.usefulObjectives - chain;
}

std::uint64_t dispatch_entry::waitingWork(const job_record &job) const
{
    std::uint64_t work = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const auto &step = job.job.steps[number];
        work += workOf(step.demand.cpuMillis, m_times.expected(job.route.name, step.estimate),
                       job.steps[number].waiting.size());
    }
    return work;
}

/// Time until the jobs before `key` have started at the present rate.
duration dispatch_entry::expectedWait(const queue_key &key, const job_record &job) const
{
    std::uint64_t backlog = 0;
    for (auto before = m_queue.begin(); before != m_queue.end() && *before < key; ++before) {
        backlog += waitingWork(m_jobs.at(std::get<batch_job_id>(*before)));
    }
    if (backlog == 0) {
        return {};
    }
    const auto entries = m_member.links().peers(wire::ROLE_ENTRY).size() + 1;
    const auto share = m_pool.capacity(job.route.service).cpuMillis / entries / assumedShare;
    return m_rate.timeFor(backlog, share, m_member.now());
}

void dispatch_entry::submit(caller_request request, const dispatch_route &route,
                            batch_submission job)
{
    ++m_counters.submitted;
    const auto id = job.id;
    if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
        m_member.log("job_repeated", {{"job", toText(id)}, {"state", "ended"}});
        m_member.push(job_reply{request, ended->second, error_kind::none, {}, {}});
        return;
    }
    if (const auto known = m_jobs.find(id); known != m_jobs.end()) {
        m_member.log("job_repeated",
                     {{"job", toText(id)}, {"state", known->second.ending ? "ending" : "open"}});
        resumeEnding(known->second, request);
        return;
    }
    const auto refusal = refusalOf(route, job);
    if (refusal != error_kind::none) {
        refuse(request, id, refusal, shortRetry);
        return;
    }
    job_record record;
    record.route = route;
    record.received = m_member.now();
    record.expires = record.received +
                     (job.patience > duration{} ? job.patience : m_options.limits.defaultPatience);
    for (const auto &step : job.steps) {
        batch_step_record added;
        added.tasks.resize(step.count);
        for (auto index = step.count; index > 0; --index) {
            added.waiting.push_back(index - 1);
        }
        record.steps.push_back(std::move(added));
    }
    record.job = std::move(job);
    setTimes(record);
    const bool targets = m_pool.usableAgents(route.service) > 0;
    const auto wait = targets ? expectedWait(keyOf(record), record) : duration{};
    const auto draw = std::uniform_real_distribution<double>{0, 1}(m_random);
    if (!m_admission.accepts(draw) || record.received + wait > record.latestStart) {
        refuse(request, id, error_kind::overloaded, wait);
        return;
    }
    m_member.log("job_accepted",
                 {{"job", toText(id)},
                  {"route", route.name},
                  {"steps", std::to_string(record.job.steps.size())},
                  {"tasks", std::to_string(record.job.steps.front().count)},
                  {"objective_ms", std::to_string(toMilliseconds(record.objective))},
                  {"wait_ms", std::to_string(toMilliseconds(wait))},
                  {"config", std::to_string(m_member.config().version)},
                  {"patience_ms", std::to_string(toMilliseconds(record.job.patience))}});
    record.callers.push_back(request);
    m_callers.emplace(request, id);
    m_expiries.emplace(record.expires, id);
    enqueue(m_jobs.emplace(id, std::move(record)).first->second);
}

/// A repeated request joins an open job. A job that is ending because its caller left continues:
/// tasks whose runs are being stopped start again after their ends.
void dispatch_entry::resumeEnding(job_record &job, caller_request request)
{
    if (job.endState && *job.endState != batch_job_state::cancelled) {
        m_member.push(job_reply{request, *job.endState, error_kind::none, {}, {}});
        return;
    }
    job.callers.push_back(request);
    m_callers.emplace(request, job.job.id);
    if (job.ending) {
        job.ending = false;
        job.endState.reset();
        m_expiries.erase({job.expires, job.job.id});
        job.expires =
                m_member.now() + (job.job.patience > duration{} ? job.job.patience
                                                                : m_options.limits.defaultPatience);
        m_expiries.emplace(job.expires, job.job.id);
        enqueue(job);
    }
}

void dispatch_entry::refuse(caller_request request, batch_job_id id, error_kind why,
                            duration retryAfter)
{
    ++m_counters.refused;
    m_member.log("job_refused", {{"job", toText(id)},
                                 {"reason", std::string{answerFor(why).name}},
                                 {"agents", std::to_string(m_pool.agents().size())},
                                 {"open_jobs", std::to_string(m_jobs.size())},
                                 {"waiting_jobs", std::to_string(m_queue.size())},
                                 {"share", std::to_string(m_admission.share())},
                                 {"retry_ms", std::to_string(toMilliseconds(retryAfter))}});
    m_member.push(
            job_reply{request, batch_job_state::failed, why, std::max(retryAfter, shortRetry), {}});
}

void dispatch_entry::callerGone(caller_request request)
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
        removeIfOver(id);
    }
}

bool dispatch_entry::cancel(batch_job_id id)
{
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return m_ended.contains(id);
    }
    if (!found->second.endState) {
        endJob(found->second, batch_job_state::cancelled, error_kind::cancelled);
        removeIfOver(id);
    }
    return true;
}

void dispatch_entry::endJob(job_record &job, batch_job_state state, error_kind error)
{
    const auto id = job.job.id;
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
                  {"reason", std::string{answerFor(error).name}},
                  {"runs_left", std::to_string(job.outstanding)},
                  {"after_ms", std::to_string(toMilliseconds(m_member.now() - job.received))}});
    for (const auto request : job.callers) {
        m_callers.erase(request);
        m_member.push(job_reply{request, state, error, {}, m_member.now() - job.received});
    }
    job.callers.clear();
    stopRuns(job);
    if (state != batch_job_state::cancelled) {
        m_ended.emplace(id, state);
        m_endedOrder.push_back({id, m_member.now()});
    }
}

void dispatch_entry::stopRuns(const job_record &job)
{
    if (job.outstanding == 0) {
        return;
    }
    const run_ref first{{job.job.id, 0, 0}, 0};
    for (auto &[incarnation, agent] : m_pool.agents()) {
        for (auto run = agent.outstanding.lower_bound(first);
             run != agent.outstanding.end() && run->first.task.job == job.job.id; ++run) {
            if (!run->second.stopping) {
                run->second.stopping = true;
                run->second.stopSent = m_member.now();
                toWire(run->first, *m_drafts[incarnation].add_stops());
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
        removeIfOver(id);
    }
}

void dispatch_entry::removeIfOver(batch_job_id id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.ending && found->second.outstanding == 0) {
        m_jobs.erase(found);
    }
}

void dispatch_entry::forgetEnded()
{
    while (!m_endedOrder.empty() &&
           (m_endedOrder.size() > maxEnded ||
            m_member.now() - m_endedOrder.front().ended >= m_options.limits.endedKept)) {
        m_ended.erase(m_endedOrder.front().id);
        m_endedOrder.pop_front();
    }
}

// Placement

dispatch_entry::queue_key dispatch_entry::keyOf(const job_record &job)
{
    return {job.late, job.route.priority, job.latestStart, job.job.id};
}

bool dispatch_entry::stepReady(const job_record &job, std::size_t step)
{
    return std::ranges::all_of(job.job.steps[step].after, [&](std::uint32_t before) {
        return job.steps[before].done == job.steps[before].tasks.size();
    });
}

void dispatch_entry::enqueue(const job_record &job)
{
    m_queue.insert(keyOf(job));
    m_dispatchDue = true;
}

void dispatch_entry::dispatch()
{
    m_dispatchDue = false;
    std::size_t passedOver = 0;
    auto next = m_queue.begin();
    while (next != m_queue.end() && passedOver < maxPassedOver) {
        if (dispatchJob(m_jobs.at(std::get<batch_job_id>(*next)))) {
            next = m_queue.erase(next);
        } else {
            ++passedOver;
            ++next;
        }
    }
}

/// Time that the usable targets need for all work that waits, here and at the agents. The other
/// entries are taken to hold as much as this one.
duration dispatch_entry::backlog() const
{
    std::uint64_t work = 0;
    for (const auto &key : m_queue) {
        work += waitingWork(m_jobs.at(std::get<batch_job_id>(key)));
    }
    work *= m_member.links().peers(wire::ROLE_ENTRY).size() + 1;
    std::uint64_t capacity = 0;
    for (const auto &[incarnation, agent] : m_pool.agents()) {
        if (!m_pool.usable(agent)) {
            continue;
        }
        capacity += agent.capacity.cpuMillis;
        for (const auto &[priority, queued] : agent.queued) {
            const auto mean = m_meanRuns.find(priority);
            const auto time = mean == m_meanRuns.end() ? unknownRunTime : mean->second;
            work += workOf(queued.cpuMillis, time, 1);
        }
    }
    constexpr double microseconds = 1e6;
    const auto seconds =
            static_cast<double>(work) / static_cast<double>(std::max<std::uint64_t>(1, capacity));
    return capacity == 0 ? duration{}
                         : duration{static_cast<duration::rep>(seconds * microseconds)};
}

/// A job that misses its objective gives way to those that can meet theirs, and is refused when it
/// cannot start while its answer is of use. A refused job has no started task.
void dispatch_entry::shedLateJobs()
{
    const auto now = m_member.now();
    std::vector<batch_job_id> due;
    for (const auto &key : m_queue) {
        const auto &job = m_jobs.at(std::get<batch_job_id>(key));
        // What a started job has used is lost when it does not end, so it keeps its place longer.
        const bool missed = !job.late && now > (job.started ? job.latestUseful : job.latestStart);
        if (missed || (job.late && now > job.latestUseful && !job.started)) {
            due.push_back(job.job.id);
        }
    }
    for (const auto id : due) {
        auto &job = m_jobs.at(id);
        m_queue.erase(keyOf(job));
        job.late = true;
        const bool targets = m_pool.usableAgents(job.route.service) > 0;
        const auto wait = targets ? expectedWait(keyOf(job), job) : duration{};
        if (job.started || now + wait <= job.latestUseful) {
            m_queue.insert(keyOf(job));
            continue;
        }
        const auto callers = std::exchange(job.callers, {});
        for (const auto request : callers) {
            m_callers.erase(request);
            refuse(request, id, error_kind::overloaded, wait);
        }
        endJob(job, batch_job_state::cancelled, error_kind::overloaded);
        removeIfOver(id);
    }
}

placement_request dispatch_entry::requestFor(const job_record &job, std::uint32_t step,
                                             std::uint32_t index) const
{
    placement_request request;
    request.job = job.job.id;
    request.step = step;
    request.work = &job.job.steps[step];
    request.service = job.route.service;
    request.priority = job.route.priority;
    request.avoid = job.steps[step].tasks[index].avoid;
    const auto expected = m_times.expected(job.route.name, request.work->estimate);
    const auto objectives = job.late ? m_options.limits.usefulObjectives : 1;
    const auto left = job.received + job.objective * objectives - m_member.now();
    request.mostSlowness = static_cast<double>(left.count()) /
                           static_cast<double>(std::max<duration::rep>(1, expected.count()));
    return request;
}

/// @return Whether nothing of the job waits that may start now.
bool dispatch_entry::dispatchJob(job_record &job)
{
    for (std::uint32_t number = 0; number < job.steps.size(); ++number) {
        auto &step = job.steps[number];
        if (step.waiting.empty() || !stepReady(job, number)) {
            continue;
        }
        while (!step.waiting.empty()) {
            const auto index = step.waiting.back();
            auto *const agent = m_pool.choose(requestFor(job, number, index));
            if (agent == nullptr) {
                return false;
            }
            step.waiting.pop_back();
            order(*agent, job, number, index);
        }
    }
    return true;
}

void dispatch_entry::order(agent_view &agent, job_record &job, std::uint32_t step,
                           std::uint32_t index)
{
    auto &draft = m_drafts[agent.incarnation];
    if (draft.orders_size() == 0) {
        draft.set_number(++agent.ordersSent);
    }
    const auto id = static_cast<std::uint64_t>(job.job.id);
    auto *group =
            draft.orders_size() == 0 ? nullptr : draft.mutable_orders(draft.orders_size() - 1);
    if (group == nullptr || group->job() != id || group->step() != step) {
        group = draft.add_orders();
        group->set_job(id);
        group->set_step(step);
        group->set_spec(job.job.spec);
        toWire(job.job.steps[step].demand, *group->mutable_demand());
        group->set_priority(job.route.priority);
        group->set_remaining_ms(toMilliseconds(job.expires - m_member.now()));
    }
    auto &task = job.steps[step].tasks[index];
    task.state = batch_task_state::ordered;
    ++task.run;
    auto &added = *group->add_tasks();
    added.set_index(index);
    added.set_run(task.run);
    const run_ref ref{{job.job.id, step, index}, task.run};
    const auto &work = job.job.steps[step];
    outstanding_run run;
    run.demand = work.demand;
    run.orderNumber = agent.ordersSent;
    run.ordered = m_member.now();
    run.expected = m_times.expected(job.route.name, work.estimate);
    m_rate.started(workOf(work.demand.cpuMillis, run.expected, 1), m_member.now());
    m_pool.orderSent(agent.incarnation);
    auto &mean = m_meanRuns.try_emplace(job.route.priority, run.expected).first->second;
    mean += (run.expected - mean) / meanRunWeight;
    agent.outstanding.emplace(ref, run);
    ++job.outstanding;
    job.started = true;
    ++m_counters.runsOrdered;
    m_member.log("run_ordered",
                 {{"run", toText(ref)},
                  {"agent", toText(agent.incarnation)},
                  {"target", agent.target},
                  {"running_cpu", std::to_string(agent.running.cpuMillis)},
                  {"waited_ms", std::to_string(toMilliseconds(m_member.now() - job.received))}});
}

// Periodic systems

void dispatch_entry::tick()
{
    m_member.tick();
    expireJobs();
    loseSilentAgents();
    if (std::ranges::any_of(m_pool.agents(),
                            [&](const auto &agent) { return m_pool.usable(agent.second); })) {
        m_lastUsable = m_member.now();
    }
    m_admission.update(backlog(), m_member.now());
    shedLateJobs();
    forgetEnded();
    syncEntries();
    m_dispatchDue = m_dispatchDue || !m_queue.empty();
    if (m_stopSince && !m_done) {
        const auto drained = m_member.now() - *m_stopSince;
        const bool quiet = m_jobs.empty() && drained >= m_options.limits.drainLinger;
        if (quiet || drained >= m_options.limits.drainLimit) {
            m_done = true;
            m_member.push(shutdown_complete{});
        }
    }
}

void dispatch_entry::syncEntries()
{
    for (const auto *const peer : m_member.links().peers(wire::ROLE_ENTRY)) {
        auto &last = m_lastSync[peer->incarnation];
        if (m_member.now() - last < m_options.limits.idlePulse) {
            continue;
        }
        last = m_member.now();
        wire::Envelope envelope;
        m_member.fillMembers(*envelope.mutable_entry_sync());
        envelope.mutable_entry_sync()->set_config_version(m_member.config().revision);
        envelope.mutable_entry_sync()->set_draining(draining());
        m_member.send(peer->incarnation, std::move(envelope));
    }
    std::erase_if(m_lastSync,
                  [&](const auto &entry) { return m_member.links().find(entry.first) == nullptr; });
}

std::vector<dispatch_action> dispatch_entry::takeActions()
{
    if (m_dispatchDue) {
        dispatch();
    }
    sendOrders();
    return m_member.takeActions();
}

void dispatch_entry::sendOrders()
{
    const auto now = m_member.now();
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto interval =
                agent.outstanding.empty() ? m_options.limits.idlePulse : m_options.limits.busyPulse;
        const auto draft = m_drafts.find(incarnation);
        const bool due = now - agent.lastPulse >= interval;
        if (!due && draft == m_drafts.end()) {
            continue;
        }
        wire::Envelope envelope;
        auto &message = *envelope.mutable_dispatch_orders();
        if (draft != m_drafts.end()) {
            message = std::move(draft->second);
            m_drafts.erase(draft);
        }
        message.set_ends_seen(agent.endsSeen);
        message.set_config_version(m_member.config().revision);
        if (due) {
            pulse(agent, message);
        }
        m_member.send(incarnation, std::move(envelope));
    }
}

void dispatch_entry::pulse(agent_view &agent, wire::DispatchOrders &message)
{
    agent.lastPulse = m_member.now();
    message.set_number(agent.ordersSent);
    message.set_reconcile(true);
    for (auto &[ref, run] : agent.outstanding) {
        if (!run.stopping) {
            toWire(ref, *message.add_wanted());
        } else if (m_member.now() - run.stopSent >= m_options.limits.stopRepeat) {
            run.stopSent = m_member.now();
            toWire(ref, *message.add_stops());
        }
    }
    message.set_draining(draining());
    if (m_member.now() - agent.lastMembers >= membersInterval) {
        agent.lastMembers = m_member.now();
        m_member.fillMembers(message);
    }
}

// State

void dispatch_entry::configRead(const desired_state &state)
{
    m_member.adopt(state, "store");
}

void dispatch_entry::entriesFound(const std::vector<std::string> &endpoints)
{
    m_member.addContacts(endpoints);
}

void dispatch_entry::stop()
{
    if (!m_stopSince) {
        m_stopSince = m_member.now();
        m_member.log("draining", {{"open_jobs", std::to_string(m_jobs.size())}});
    }
}

bool dispatch_entry::ready() const
{
    return m_member.config().version != 0 && !draining() &&
           m_member.now() - m_lastUsable < m_options.limits.targetGrace;
}

std::optional<batch_job_state> dispatch_entry::stateOf(batch_job_id id) const
{
    if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
        return ended->second;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const auto &job = found->second;
    return job.endState.value_or(job.started ? batch_job_state::running : batch_job_state::pending);
}

std::size_t dispatch_entry::waitingJobs(std::string_view route) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto &job) {
        return job.second.route.name == route && !job.second.started && !job.second.ending;
    }));
}

boost::json::value dispatch_entry::dump() const
{
    boost::json::object root;
    root["role"] = "entry";
    root["incarnation"] = toText(m_member.self().incarnation);
    root["zone"] = m_member.self().zone;
    root["config_version"] = m_member.config().version;
    root["config_revision"] = m_member.config().revision;
    root["ready"] = ready();
    root["draining"] = draining();
    root["open_jobs"] = m_jobs.size();
    root["waiting_jobs"] = m_queue.size();
    boost::json::array agents;
    for (const auto &[incarnation, agent] : m_pool.agents()) {
        agents.push_back({{"agent", toText(incarnation)},
                          {"endpoint", agent.endpoint},
                          {"zone", agent.zone},
                          {"target", agent.target},
                          {"usable", m_pool.usable(agent)},
                          {"cpu_millis", agent.capacity.cpuMillis},
                          {"running_cpu_millis", agent.running.cpuMillis},
                          {"outstanding", agent.outstanding.size()}});
    }
    root["agents"] = std::move(agents);
    return root;
}

} // namespace bamboohead
