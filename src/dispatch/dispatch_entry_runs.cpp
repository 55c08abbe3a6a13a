#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration fullPause = 30ms;     ///< an agent that refused for want of room gets no orders
constexpr duration refusedPause = 200ms; ///< same, after refusals for other reasons
/// A run is moved when its target is this much slower than ordinary, and the run has taken this
/// multiple of its ordinary time: less than starting again would take.
constexpr double replacedSlowness = 2.0;
constexpr int replacedAfter = 3;
/// Declared run times were seen to be up to this far below the real ones.
constexpr int declaredMarginPercent = 150;
constexpr int wholePercent = 100;

} // namespace

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
    const auto declared = run.expected * declaredMarginPercent / wholePercent;
    return job.steps.at(ref.task.step).meanRunTime(declared);
}

void dispatch_entry::observeRunTime(agent_view &agent, job_record &job, const run_ref &ref,
                                    const outstanding_run &run, duration runTime)
{
    m_pool.taskEnded(agent.incarnation, ref.task.job, false);
    auto &step = job.steps.at(ref.task.step);
    const auto reference = step.meanRunTime(run.expected);
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
    auto request = requestFor(found->second, ref.task.step);
    request.avoid = agent.incarnation;
    if (!m_pool.hasIdle(request)) {
        return;
    }
    sendStop(agent, ref, run);
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

/// No run of the agent can be at work any more.
void dispatch_entry::loseRuns(agent_view &agent, std::string_view why)
{
    const auto lost = std::exchange(agent.outstanding, {});
    for (const auto &[ref, run] : lost) {
        runLost(ref, agent.incarnation, why);
    }
}

void dispatch_entry::sendStop(agent_view &agent, const run_ref &ref, outstanding_run &run)
{
    run.stopping = true;
    run.stopSent = m_member.now();
    toWire(ref, *m_drafts[agent.incarnation].add_stops());
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

} // namespace bamboohead
