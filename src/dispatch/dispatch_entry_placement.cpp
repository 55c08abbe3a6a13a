#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Jobs without room that are passed over for later ones before dispatching gives up.
constexpr std::size_t maxPassedOver = 8;
constexpr duration unknownRunTime = 200ms; ///< of a priority that this entry has not ordered yet
constexpr int meanRunWeight = 20;          ///< one order counts one part in this many in the mean

} // namespace

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
        const auto wait = expectedWait(keyOf(job), job);
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

placement_request dispatch_entry::requestFor(const job_record &job, std::uint32_t step) const
{
    placement_request request;
    request.job = job.job.id;
    request.step = step;
    request.work = &job.job.steps[step];
    request.service = job.route.service;
    request.priority = job.route.priority;
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
        auto request = requestFor(job, number);
        auto candidates = m_pool.candidates(request);
        while (!step.waiting.empty()) {
            const auto index = step.waiting.back();
            request.avoid = step.tasks[index].avoid;
            auto *const agent = m_pool.choose(candidates, request);
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

} // namespace bamboohead
