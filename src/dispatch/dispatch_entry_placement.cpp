#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Maximum number of jobs that a dispatch pass skips because no agent can take their next task. The
/// pass then ends.
constexpr std::size_t maxSkippedJobs = 8;
/// Assumed run time of queued tasks of a priority of which this entry has ordered none yet.
constexpr duration defaultRunTime = 200ms;
constexpr int meanRunTimeOrders = 20; ///< the mean run time averages about this many orders

} // namespace

dispatch_entry::queue_key dispatch_entry::keyOf(const job_record &job)
{
    return {job.late, job.route.priority, job.latestStart, job.submission.id};
}

bool dispatch_entry::stepReady(const job_record &job, std::size_t step)
{
    return std::ranges::all_of(job.submission.steps[step].dependsOn, [&](std::uint32_t before) {
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
    std::size_t skippedJobs = 0;
    auto next = m_queue.begin();
    while (next != m_queue.end() && skippedJobs < maxSkippedJobs) {
        if (dispatchJob(m_jobs.at(std::get<batch_job_id>(*next)))) {
            next = m_queue.erase(next);
        } else {
            ++skippedJobs;
            ++next;
        }
    }
}

std::uint64_t dispatch_entry::queuedWorkAt(const agent_view &agent) const
{
    std::uint64_t work = 0;
    for (const auto &[priority, queued] : agent.queued) {
        const auto mean = m_meanRunTimes.find(priority);
        const auto time = mean == m_meanRunTimes.end() ? defaultRunTime : mean->second;
        work += workOf(queued.cpuMillis, time, 1);
    }
    return work;
}

/// Time that the available targets need for all waiting work, in the queue of this entry and at the
/// agents. The other entries are assumed to have as much work queued as this one. Zero without
/// available agents and shortly after the start of the process.
duration dispatch_entry::backlog() const
{
    if (discovering()) {
        return {};
    }
    std::uint64_t work = 0;
    for (const auto &key : m_queue) {
        work += queuedWork(m_jobs.at(std::get<batch_job_id>(key)));
    }
    work *= m_member.links().peers(wire::ROLE_ENTRY).size() + 1;
    std::uint64_t capacity = 0;
    for (const auto &[incarnation, agent] : m_pool.agents()) {
        if (!m_pool.available(agent)) {
            continue;
        }
        capacity += agent.capacity.cpuMillis;
        work += queuedWorkAt(agent);
    }
    constexpr double microseconds = 1e6;
    const auto seconds =
            static_cast<double>(work) / static_cast<double>(std::max<std::uint64_t>(1, capacity));
    return capacity == 0 ? duration{}
                         : duration{static_cast<duration::rep>(seconds * microseconds)};
}

/// Moves jobs that miss their objective behind those that can meet theirs, and refuses jobs that
/// cannot start while their result is of use. Jobs with a started task are moved only when their
/// result can no longer be of use, and are never refused.
void dispatch_entry::demoteOrRefuseLateJobs()
{
    const auto now = m_member.now();
    std::vector<batch_job_id> due;
    for (const auto &key : m_queue) {
        const auto &job = m_jobs.at(std::get<batch_job_id>(key));
        // The work done for a started job is wasted if the job does not finish, so it keeps its
        // place in the queue longer.
        const bool missed =
                !job.late && now > (job.started ? job.latestUsefulStart : job.latestStart);
        if (missed || (job.late && now > job.latestUsefulStart && !job.started)) {
            due.push_back(job.submission.id);
        }
    }
    for (const auto id : due) {
        auto &job = m_jobs.at(id);
        m_queue.erase(keyOf(job));
        job.late = true;
        const auto wait = expectedWait(keyOf(job), job);
        if (job.started || now + wait <= job.latestUsefulStart) {
            m_queue.insert(keyOf(job));
            continue;
        }
        refuseJob(job, error_kind::overloaded, wait);
        removeIfFinished(id);
    }
}

placement_request dispatch_entry::makePlacementRequest(const job_record &job,
                                                       std::uint32_t step) const
{
    placement_request request;
    request.job = job.submission.id;
    request.step = step;
    request.taskStep = &job.submission.steps[step];
    request.service = job.route.service;
    request.priority = job.route.priority;
    const auto expected = m_runTimes.expected(job.route.name, request.taskStep->estimate);
    const auto objectiveFactor = job.late ? m_options.limits.maxObjectiveFactor : 1;
    const auto timeLeft = job.received + job.objective * objectiveFactor - m_member.now();
    request.maxSlowness = static_cast<double>(timeLeft.count()) /
                          static_cast<double>(std::max<duration::rep>(1, expected.count()));
    request.runTime = expected;
    request.deviation = m_runTimes.deviation(job.route.name);
    const auto slack = job.latestStart - m_member.now();
    request.patience =
            slack > duration{} ? std::min(slack, m_patience.limit()) : m_patience.limit();
    return request;
}

/// Places the waiting tasks of all steps that may start.
/// @return False when a task found no agent with free capacity or queue space.
bool dispatch_entry::dispatchJob(job_record &job)
{
    for (std::uint32_t stepIndex = 0; stepIndex < job.steps.size(); ++stepIndex) {
        auto &step = job.steps[stepIndex];
        if (step.waiting.empty() || !stepReady(job, stepIndex)) {
            continue;
        }
        auto request = makePlacementRequest(job, stepIndex);
        std::optional<std::vector<placement_candidate>> candidates;
        while (!step.waiting.empty()) {
            const auto index = step.waiting.back();
            const batch_task task{job.submission.id, stepIndex, index};
            if (const auto start = m_crashes.earliestStart(task); start > m_member.now()) {
                step.waiting.pop_back();
                logDeferral(task, start);
                deferTask(task, start);
                continue;
            }
            const auto target = m_starts.targetOf(task, m_member.now());
            request.avoidedAgent = step.tasks[index].avoidedAgent;
            request.mayProbe = step.tasks[index].noRoomRefusals < m_options.limits.immediateOrders;
            if (!target && !candidates) {
                candidates = m_pool.candidates(request);
            }
            const auto chosen = target ? m_pool.chooseAgentOf(*target, candidates, request)
                                       : m_pool.choose(*candidates, request);
            if (chosen.agent == nullptr && target) {
                // The other tasks of the job need not wait for this target.
                step.waiting.pop_back();
                deferTask(task, m_member.now() + m_options.limits.boundTaskRetryDelay);
                continue;
            }
            if (chosen.agent == nullptr) {
                return false;
            }
            step.waiting.pop_back();
            addOrder(*chosen.agent, job,
                     {stepIndex, index, chosen.free && request.mayProbe, m_crashes.suspect(task),
                      target.value_or(std::string_view{}), chosen.maxWait, chosen.expectedWait,
                      chosen.reason});
        }
    }
    return true;
}

/// Sets what the orders for tasks of a step have in common.
void dispatch_entry::fillOrder(wire::RunOrder &out, const job_record &job,
                               const task_order &order) const
{
    const auto id = static_cast<std::uint64_t>(job.submission.id);
    const auto &[step, index, immediate, suspect, target, maxWait, expectedWait, reason] = order;
    out.set_job(id);
    out.set_step(step);
    out.set_spec(job.submission.spec);
    toWire(job.submission.steps[step].demand, *out.mutable_demand());
    out.set_priority(job.route.priority);
    out.set_immediate(immediate);
    out.set_suspect(suspect);
    out.set_service(job.route.service);
    out.set_required_label(job.submission.steps[step].requiredLabel);
    out.set_target(std::string{target});
    out.set_remaining_ms(toMilliseconds(job.expires - m_member.now()));
    out.set_expected_ms(toMilliseconds(
            m_runTimes.expected(job.route.name, job.submission.steps[step].estimate)));
    out.set_max_wait_ms(toMilliseconds(maxWait));
}

/// Adds a run of a task to the next message to `agent`.
void dispatch_entry::addOrder(agent_view &agent, job_record &job, const task_order &order)
{
    const auto [step, index, immediate, suspect, target, maxWait, expectedWait, reason] = order;
    auto &unsent = m_unsentOrders[agent.incarnation];
    if (unsent.orders_size() == 0) {
        unsent.set_number(++agent.ordersSent);
    }
    const auto id = static_cast<std::uint64_t>(job.submission.id);
    auto *group =
            unsent.orders_size() == 0 ? nullptr : unsent.mutable_orders(unsent.orders_size() - 1);
    if (group == nullptr || group->job() != id || group->step() != step ||
        group->immediate() != immediate || group->suspect() != suspect ||
        group->target() != target || group->max_wait_ms() != toMilliseconds(maxWait)) {
        group = unsent.add_orders();
        fillOrder(*group, job, order);
    }
    auto &task = job.steps[step].tasks[index];
    task.state = batch_task_state::ordered;
    ++task.run;
    if (!target.empty()) {
        const auto left =
                m_starts.doubtEnd({job.submission.id, step, index}, target) - m_member.now();
        group->set_doubt_ms(std::max(group->doubt_ms(), toMilliseconds(left)));
    }
    auto &added = *group->add_tasks();
    added.set_index(index);
    added.set_run(task.run);
    const run_ref ref{{job.submission.id, step, index}, task.run};
    const auto &taskStep = job.submission.steps[step];
    outstanding_run run;
    run.demand = taskStep.demand;
    run.orderNumber = agent.ordersSent;
    run.immediate = immediate;
    run.ordered = m_member.now();
    run.target = agent.target;
    run.expected = m_runTimes.expected(job.route.name, taskStep.estimate);
    m_startRate.started(workOf(taskStep.demand.cpuMillis, run.expected, 1), m_member.now());
    m_pool.orderSent(agent.incarnation);
    auto &mean = m_meanRunTimes.try_emplace(job.route.priority, run.expected).first->second;
    mean += (run.expected - mean) / meanRunTimeOrders;
    agent.outstanding.emplace(ref, run);
    ++job.outstanding;
    job.started = true;
    ++m_counters.runsOrdered;
    if (!taskStep.preferredLabel.empty()) {
        const bool near =
                std::ranges::find(agent.labels, taskStep.preferredLabel) != agent.labels.end();
        ++(near ? m_counters.runsNear : m_counters.runsAway);
        m_counters.runsNearAfterWait += reason == placement_reason::near ? 1 : 0;
    }
    const auto reportAge = toMilliseconds(m_member.now() - agent.lastReport);
    m_member.log("run_ordered",
                 {{"run", toText(ref)},
                  {"agent", toText(agent.incarnation)},
                  {"target", agent.target},
                  {"immediate", immediate ? "true" : "false"},
                  {"suspect", suspect ? "true" : "false"},
                  {"report_age_ms", std::to_string(reportAge)},
                  {"running_cpu", std::to_string(agent.running.cpuMillis)},
                  {"reason", std::string{toText(reason)}},
                  {"expected_wait_ms", std::to_string(toMilliseconds(expectedWait))},
                  {"max_wait_ms", std::to_string(toMilliseconds(maxWait))},
                  {"waited_ms", std::to_string(toMilliseconds(m_member.now() - job.received))}});
}

} // namespace bamboohead
