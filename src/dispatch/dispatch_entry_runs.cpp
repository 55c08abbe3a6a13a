#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Time without orders for an agent that has refused one for lack of free capacity.
constexpr duration noRoomPause = 30ms;
/// Time without orders for an agent that has refused one for another reason, unless the order
/// itself was void or a duplicate.
constexpr duration refusedPause = 200ms;
/// Slowness of a target from which its runs may be replaced: such a run is stopped, and its task
/// starts again on another target. From this slowness on, the run times on the target are also
/// ignored when the accuracy of declared times and the mean run time of a step are computed.
constexpr double replacementSlowness = 2.0;
/// Multiple of its nominal run time after which a run on a target with at least
/// `replacementSlowness` is replaced. Finishing the run is then assumed to take longer than
/// starting the task again on another target.
constexpr int replacementRunTimeFactor = 3;
/// Percentage of the expected run time that is used as a run's nominal run time while no task of
/// its step has ended: real run times were observed to be up to 1.5 times the declared ones.
constexpr int expectedMarginPercent = 150;
constexpr int wholePercent = 100;

} // namespace

void dispatch_entry::handleRunEnd(agent_view &agent, const wire::RunEnd &end)
{
    const auto ref = fromWire(end.run());
    if (end.has_start_in_doubt()) {
        bindTask(ref.task, end.start_in_doubt(), agent);
    }
    const auto known = agent.outstanding.find(ref);
    // When a caller submits a cancelled job again, the new runs have the same identifiers as those
    // of the earlier job. The end of such a run may be late: it was taken for lost while the agent
    // was silent.
    if (known == agent.outstanding.end() || known->second.orderNumber != end.order()) {
        return; // already reported as ended or lost
    }
    const auto run = known->second;
    agent.outstanding.erase(known);
    if (end.outcome() == wire::RUN_OUTCOME_LOST) {
        if (end.crash_possible()) {
            m_crashes.recordLoss(ref.task, m_member.now());
        }
        handleLostRun(ref, agent.incarnation, "run_lost");
        return;
    }
    if (end.outcome() == wire::RUN_OUTCOME_REFUSED) {
        ++m_counters.runsRefused;
        const auto error = errorFromWire(end.error());
        // A void or duplicate order says nothing against the agent. Its refusal also ends a pause
        // that an earlier refusal has begun.
        const bool causedByOrder =
                error == error_kind::order_void || error == error_kind::order_duplicate;
        // An agent that could not start an immediate order has just reported its load, so it needs
        // no pause to be avoided.
        const auto pause = error != error_kind::no_room ? refusedPause
                           : run.immediate              ? duration{}
                                                        : noRoomPause;
        agent.noOrdersUntil = causedByOrder ? time_point{} : m_member.now() + pause;
    }
    if (end.outcome() == wire::RUN_OUTCOME_DONE) {
        m_demand.recordCompletion(hashOfName(agent.service),
                                  workOf(run.demand.cpuMillis, run.expected, 1), m_member.now());
    }
    if (run.immediate) {
        if (errorFromWire(end.error()) == error_kind::no_room) {
            m_patience.recordRefusal(m_member.now() - run.ordered);
        } else {
            m_patience.recordAcceptance();
        }
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
        handleTaskDone(job, ref);
        break;
    case wire::RUN_OUTCOME_FAILED:
        handleTaskFailure(job, ref, agent.incarnation);
        break;
    default:
        if (errorFromWire(end.error()) == error_kind::no_room) {
            ++job.steps.at(ref.task.step).tasks.at(ref.task.index).noRoomRefusals;
        }
        requeueTask(job, ref.task, agent.incarnation);
        break;
    }
    removeIfFinished(ref.task.job);
}

/// Run time to expect on a target of normal speed: the mean of the finished tasks of the same step,
/// which are alike. The expected run time is imprecise, as it is computed from the declared one, so
/// it is used only until the first of them has finished, and with a margin.
duration dispatch_entry::nominalRunTime(const job_record &job, const run_ref &ref,
                                        const outstanding_run &run) const
{
    const auto expectedWithMargin = run.expected * expectedMarginPercent / wholePercent;
    return job.steps.at(ref.task.step).meanRunTime(expectedWithMargin);
}

void dispatch_entry::observeRunTime(agent_view &agent, job_record &job, const run_ref &ref,
                                    const outstanding_run &run, duration runTime)
{
    m_pool.taskEnded(agent.incarnation, ref.task.job, false);
    auto &step = job.steps.at(ref.task.step);
    const auto reference = step.meanRunTime(run.expected);
    m_pool.observeRunTime(runTime);
    // What the task would have taken on a target of mean speed.
    const duration nominal{
            static_cast<duration::rep>(static_cast<double>(runTime.count()) / agent.speedFactor)};
    agent.slownessEstimate.recordCompletion(reference, nominal, m_member.now());
    // Run times on a slow target say nothing about the accuracy of the declared times.
    if (agent.slownessEstimate.slowness(m_member.now()) < replacementSlowness) {
        m_runTimes.observe(job.route.name, job.submission.steps.at(ref.task.step).estimate,
                           nominal);
        step.totalRunTime += nominal;
    } else {
        step.totalRunTime += reference;
    }
}

/// Updates the slowness of a running task's target, and stops the run so that the task starts again
/// elsewhere when the target is much too slow and another agent has free capacity.
void dispatch_entry::checkRunProgress(agent_view &agent, const run_ref &ref, outstanding_run &run,
                                      duration runTime)
{
    const auto found = m_jobs.find(ref.task.job);
    if (run.stopping || found == m_jobs.end() || found->second.ending) {
        return;
    }
    const duration nominal{static_cast<duration::rep>(
            static_cast<double>(nominalRunTime(found->second, ref, run).count()) *
            agent.speedFactor)};
    agent.slownessEstimate.recordProgress(nominal, runTime, m_member.now());
    if (runTime < nominal * replacementRunTimeFactor ||
        agent.slownessEstimate.slowness(m_member.now()) < replacementSlowness ||
        m_starts.targetOf(ref.task, m_member.now())) {
        return;
    }
    auto request = makePlacementRequest(found->second, ref.task.step);
    request.avoidedAgent = agent.incarnation;
    if (!m_pool.hasAgentWithFreeCapacity(request)) {
        return;
    }
    sendStop(agent, ref, run);
    m_member.log("run_replaced", {{"run", toText(ref)},
                                  {"agent", toText(agent.incarnation)},
                                  {"run_ms", std::to_string(toMilliseconds(runTime))},
                                  {"ordinary_ms", std::to_string(toMilliseconds(nominal))}});
}

void dispatch_entry::handleLostRun(const run_ref &ref, incarnation_id agent, std::string_view why)
{
    ++m_counters.runsLost;
    m_member.log("run_lost",
                 {{"run", toText(ref)}, {"agent", toText(agent)}, {"reason", std::string{why}}});
    const auto found = m_jobs.find(ref.task.job);
    if (found != m_jobs.end()) {
        --found->second.outstanding;
        requeueTask(found->second, ref.task, agent);
        removeIfFinished(ref.task.job);
    }
}

/// Marks runs of an agent as lost. Precondition: all of them have certainly ended.
void dispatch_entry::markRunsLost(agent_view &agent, const std::vector<run_ref> &lost,
                                  std::string_view why)
{
    for (const auto &ref : lost) {
        agent.outstanding.erase(ref);
        handleLostRun(ref, agent.incarnation, why);
    }
}

/// Marks the runs of a silent agent as lost, except those whose start is in doubt: the target may
/// execute such a start after the leases of the agent's runs have expired.
void dispatch_entry::markSettledRunsLost(agent_view &agent)
{
    const auto now = m_member.now();
    std::vector<run_ref> lost;
    for (auto &[ref, run] : agent.outstanding) {
        // A run may have waited in the agent's queue, but an agent that this entry no longer hears
        // receives no newer echo and stops starting its runs.
        const auto newestStart = std::max(run.ordered, agent.lastArrival);
        if (run.startSettled || now - newestStart >= m_options.limits.maxStartDelay) {
            lost.push_back(ref);
        } else if (!std::exchange(run.heldBack, true)) {
            ++m_counters.runsInDoubt;
            m_member.log("run_in_doubt",
                         {{"run", toText(ref)},
                          {"agent", toText(agent.incarnation)},
                          {"order_age_ms", std::to_string(toMilliseconds(now - run.ordered))}});
        }
    }
    markRunsLost(agent, lost, "agent_silent");
}

void dispatch_entry::sendStop(agent_view &agent, const run_ref &ref, outstanding_run &run)
{
    run.stopping = true;
    run.stopSent = m_member.now();
    toWire(ref, *m_unsentOrders[agent.incarnation].add_stops());
}

void dispatch_entry::handleTaskDone(job_record &job, const run_ref &ref)
{
    auto &step = job.steps.at(ref.task.step);
    auto &task = step.tasks.at(ref.task.index);
    m_crashes.remove(ref.task);
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
        enqueue(job); // dependent steps may start
    }
}

void dispatch_entry::handleTaskFailure(job_record &job, const run_ref &ref, incarnation_id agent)
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
    requeueTask(job, ref.task, agent);
}

void dispatch_entry::bindTask(const batch_task &task, std::string_view target,
                              const agent_view &agent, time_point until)
{
    const auto now = m_member.now();
    if (target.empty() || until <= now ||
        !m_starts.record(task, target, agent.endpoint, until, now)) {
        return;
    }
    ++m_counters.tasksBound;
    m_member.log("task_bound", {{"job", toText(task.job)},
                                {"step", std::to_string(task.step)},
                                {"index", std::to_string(task.index)},
                                {"target", std::string{target}},
                                {"for_ms", std::to_string(toMilliseconds(until - now))}});
}

void dispatch_entry::bindTask(const batch_task &task, const wire::StartInDoubt &start,
                              const agent_view &agent)
{
    bindTask(task, start.target(), agent,
             m_member.now() + std::chrono::milliseconds{start.remaining_ms()});
}

/// Records the tasks whose last run at an agent has ended, or is to end, while a start is in doubt.
void dispatch_entry::handleStartsInDoubt(agent_view &agent, const wire::DispatchReport &report)
{
    for (const auto &doubt : report.in_doubt()) {
        agent.doubtsSeen = std::max(agent.doubtsSeen, doubt.number());
        bindTask({batch_job_id{doubt.job()}, doubt.step(), doubt.index()}, doubt.start(), agent);
    }
}

/// Records the tasks under which the target of an agent has crashed.
void dispatch_entry::handleCrashes(agent_view &agent, const wire::DispatchReport &report)
{
    for (const auto &crashed : report.crashed()) {
        const batch_task task{batch_job_id{crashed.job()}, crashed.step(), crashed.index()};
        agent.crashesSeen = std::max(agent.crashesSeen, crashed.crash());
        // A crash may become known after another run of the task has succeeded.
        if (!taskDone(task) &&
            m_crashes.recordCrash(task, {agent.incarnation, crashed.crash()}, m_member.now())) {
            giveUp(task);
        }
    }
}

bool dispatch_entry::taskDone(const batch_task &task) const
{
    const auto found = m_jobs.find(task.job);
    return found != m_jobs.end() && task.step < found->second.steps.size() &&
           task.index < found->second.steps[task.step].tasks.size() &&
           found->second.steps[task.step].tasks[task.index].state == batch_task_state::done;
}

void dispatch_entry::giveUp(const batch_task &task)
{
    const auto found = m_jobs.find(task.job);
    if (found == m_jobs.end() || found->second.endState) {
        return;
    }
    ++m_counters.tasksGivenUp;
    m_member.log("task_gave_up", {{"job", toText(task.job)},
                                  {"step", std::to_string(task.step)},
                                  {"index", std::to_string(task.index)},
                                  {"crashes", std::to_string(m_crashes.crashes(task))}});
    endJob(found->second, batch_job_state::failed, error_kind::none);
    removeIfFinished(task.job);
}

/// Delays a waiting task until a crash under its newest run is known, or its only target may be
/// able to take it.
void dispatch_entry::deferTask(const batch_task &task, time_point until)
{
    m_jobs.at(task.job).steps.at(task.step).tasks.at(task.index).deferred = true;
    m_deferred.emplace(until, task);
}

void dispatch_entry::logDeferral(const batch_task &task, time_point until)
{
    m_member.log("task_deferred",
                 {{"job", toText(task.job)},
                  {"step", std::to_string(task.step)},
                  {"index", std::to_string(task.index)},
                  {"wait_ms", std::to_string(toMilliseconds(until - m_member.now()))}});
}

void dispatch_entry::releaseDeferredTasks()
{
    while (!m_deferred.empty() && m_deferred.begin()->first <= m_member.now()) {
        const auto task = m_deferred.extract(m_deferred.begin()).mapped();
        const auto found = m_jobs.find(task.job);
        // The job may have ended, and another one with its id may have been submitted.
        if (found == m_jobs.end() || task.step >= found->second.steps.size() ||
            task.index >= found->second.steps[task.step].tasks.size()) {
            continue;
        }
        auto &step = found->second.steps[task.step];
        if (std::exchange(step.tasks[task.index].deferred, false)) {
            step.waiting.push_back(task.index);
            if (!found->second.ending) {
                enqueue(found->second);
            }
        }
    }
}

void dispatch_entry::requeueTask(job_record &job, const batch_task &task,
                                 incarnation_id avoidedAgent)
{
    auto &step = job.steps.at(task.step);
    auto &record = step.tasks.at(task.index);
    if (record.state != batch_task_state::ordered) {
        return;
    }
    record.state = batch_task_state::waiting;
    record.avoidedAgent = avoidedAgent;
    if (m_starts.targetOf(task, m_member.now())) {
        // The same agent may refuse it again.
        deferTask(task, m_member.now() + m_options.limits.boundTaskRetryDelay);
        return;
    }
    step.waiting.push_back(task.index);
    if (!job.ending) {
        enqueue(job);
    }
}

} // namespace bamboohead
