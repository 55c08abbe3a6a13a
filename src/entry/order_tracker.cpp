#include "bamboohead/detail/entry/order_tracker.hpp"

#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/job_manager.hpp"
#include "bamboohead/detail/entry/primary_replication.hpp"

#include <algorithm>

namespace bamboohead::detail {

void order_tracker::trackOrder(task_record &task, agent_record &agent)
{
    task.phase = task_phase::ordered;
    task.agent = agent.incarnation;
    task.job->orderSent = true;
    agent.orders.push_back(task);
    refresh(task);
}

void order_tracker::adopt(task_record &task, incarnation_id agent, std::uint32_t attempt)
{
    auto &job = *task.job;
    std::erase(job.waiting, task.index);
    task.phase = task_phase::ordered;
    task.agent = agent;
    task.attempt = attempt;
    job.orderSent = true;
    // The agent's failure must end the job even when the agent has sent no heartbeat to this entry,
    // so the agent is added to the table here.
    auto &record = m_ctx.agents[agent];
    if (record.incarnation == incarnation_id::none) {
        record.incarnation = agent;
        const auto *peer = m_ctx.links.find(agent);
        record.endpoint = peer == nullptr ? std::string{} : peer->endpoint;
        m_ctx.replication->agentAdded(agent, record.endpoint);
    }
    record.orders.push_back(task);
    refresh(task);
}

void order_tracker::refresh(task_record &task)
{
    task.watchHook.unlink();
    task.watchedSince = m_ctx.now();
    m_ordersByUpdate.push_back(task);
}

bool order_tracker::awaitsFenceReport(const task_ref &ref)
{
    const auto *job = m_ctx.jobs.find(ref.job);
    if (job == nullptr || ref.task >= job->tasks.size()) {
        return false;
    }
    const bool reported = job->tasks[ref.task].phase != task_phase::waiting;
    return job->phase == job_phase::record || (job->phase == job_phase::fencing && !reported);
}

void order_tracker::receive(incarnation_id sender, const wire::TaskUpdates &updates)
{
    std::vector<job_home> fenced;
    for (const auto &update : updates.updates()) {
        const auto ref = fromWire(update.ref());
        if (awaitsFenceReport(ref)) {
            continue;
        }
        apply(sender, update);
        const bool ended = update.state() != wire::TASK_STATE_ACCEPTED &&
                           update.state() != wire::TASK_STATE_RUNNING;
        if (ended) {
            acknowledge(sender, update.ref());
        }
        const bool refused = update.state() == wire::TASK_STATE_REFUSED;
        if (refused && errorFromWire(update.error()) == error_kind::order_fenced) {
            fenced.push_back(ref.job.session.home);
        }
    }
    for (const auto &home : fenced) {
        m_ctx.manager->homeFenced(home);
    }
    const auto known = m_ctx.agents.find(sender);
    if (known != m_ctx.agents.end() && !known->second.load.service.empty()) {
        auto &load = known->second.load;
        load.running = updates.running();
        load.queued = updates.queued();
        load.creditEpoch = updates.credit_epoch();
        load.issuedTotal = updates.issued_total();
        m_ctx.credits.report(sender, load);
    }
}

void order_tracker::acknowledge(incarnation_id agent, const wire::TaskRef &ref)
{
    const auto known = m_ctx.agents.find(agent);
    if (known == m_ctx.agents.end()) {
        wire::Envelope envelope;
        *envelope.mutable_update_ack()->add_refs() = ref;
        m_ctx.out.send(agent, std::move(envelope));
        return;
    }
    auto &record = known->second;
    if (record.acks.refs().empty()) {
        record.acksSince = m_ctx.now();
    }
    *record.acks.add_refs() = ref;
}

void order_tracker::sendAcks()
{
    for (auto &[incarnation, agent] : m_ctx.agents) {
        if (!agent.acks.refs().empty() && m_ctx.now() - agent.acksSince >= ackDelay) {
            wire::Envelope envelope;
            envelope.mutable_update_ack()->Swap(&agent.acks);
            agent.acks.Clear();
            m_ctx.out.send(incarnation, std::move(envelope));
        }
    }
}

void order_tracker::apply(incarnation_id sender, const wire::TaskUpdate &update)
{
    const auto ref = fromWire(update.ref());
    const bool failed = update.state() == wire::TASK_STATE_FAILED;
    if (failed) {
        // Counted also for jobs that have ended: target_health ignores the failures of a job that
        // fails on several agents, so it needs all failures of a job.
        m_ctx.health.taskEnded(sender, ref.job, true, m_ctx.now());
    }
    auto *job = m_ctx.jobs.find(ref.job);
    if (job == nullptr || ref.task >= job->tasks.size()) {
        return;
    }
    auto &task = job->tasks[ref.task];
    const bool current = task.phase == task_phase::ordered && task.agent == sender &&
                         task.attempt == ref.attempt;
    if (!current) {
        const bool reportedBefore = task.phase == task_phase::finished && task.agent == sender;
        m_ctx.counters.updatesDuplicate += reportedBefore ? 1 : 0;
        return;
    }
    if (failed) {
        m_ctx.admit.taskEnded(job->submission.service, m_ctx.now());
        m_ctx.manager->fail(*job, error_kind::task_failed, update.result());
    } else if (update.state() == wire::TASK_STATE_FINISHED) {
        handleFinished(task, update);
    } else if (update.state() == wire::TASK_STATE_REFUSED) {
        handleRefused(task, errorFromWire(update.error()));
    } else {
        refresh(task);
    }
}

void order_tracker::handleFinished(task_record &task, const wire::TaskUpdate &update)
{
    auto &job = *task.job;
    const auto now = m_ctx.now();
    const auto &service = job.submission.service;
    m_ctx.health.taskEnded(task.agent, job.id(), false, now);
    m_ctx.admit.taskEnded(service, now);
    const auto longest = static_cast<std::uint64_t>(maxDeadline.count());
    const auto runTime = static_cast<duration::rep>(std::min(update.run_time_us(), longest));
    m_ctx.queue.observe(service, duration{runTime});
    task.watchHook.unlink();
    task.agentHook.unlink();
    task.phase = task_phase::finished;
    task.result = update.result();
    ++job.finished;
    if (job.usage > 0) {
        --job.usage;
        m_ctx.admit.addUsage(job.submission.team, -1);
    }
    if (job.finished == job.tasks.size()) {
        m_ctx.manager->complete(job);
    }
}

void order_tracker::handleRefused(task_record &task, error_kind kind)
{
    // A refusal as duplicate or for an unknown reason doesn't prove that the task has not started.
    // An agent that refuses because the deadline has passed has not started it.
    const bool inconclusive = errorInfo(kind).evidence == run_evidence::may_have_run;
    if (inconclusive && kind != error_kind::deadline_exceeded) {
        return;
    }
    ++m_ctx.counters.ordersRefused;
    const auto agent = m_ctx.agents.find(task.agent);
    if (agent != m_ctx.agents.end() && kind != error_kind::order_void) {
        agent->second.pausedUntil = m_ctx.now() + refusalPause;
    }
    task.watchHook.unlink();
    task.agentHook.unlink();
    task.phase = task_phase::waiting;
    task.agent = incarnation_id::none;
    task.attempt = task.job->owner == home_owner::backup
                           ? std::max(task.attempt + 1, firstBackupAttempt)
                           : task.attempt + 1;
    task.job->waiting.push_back(task.index);
    if (task.job->phase == job_phase::running) {
        m_ctx.dispatch->requeueTask(task);
    }
}

void order_tracker::agentFailed(incarnation_id agent, std::string_view reason)
{
    const auto found = m_ctx.agents.find(agent);
    if (found == m_ctx.agents.end()) {
        return;
    }
    auto &record = found->second;
    m_ctx.out.log("agent_dead", {{"agent", toText(agent)}, {"reason", std::string{reason}}});
    while (!record.orders.empty()) {
        m_ctx.manager->fail(*record.orders.front().job, error_kind::outcome_unknown);
    }
    // Removed only after these jobs have ended: until then a takeover has to fence this agent.
    m_ctx.replication->agentRemoved(agent);
    m_ctx.credits.remove(agent);
    m_ctx.health.remove(agent);
    m_ctx.agents.erase(found);
}

void order_tracker::querySilent(watch_list &list, duration limit,
                                std::map<incarnation_id, wire::Envelope> &queries)
{
    const auto now = m_ctx.now();
    while (!list.empty() && now - list.front().watchedSince >= limit) {
        auto &task = list.front();
        auto &query = *queries[task.agent].mutable_task_query();
        toWire(task_ref{task.job->id(), task.index, task.attempt}, *query.add_refs());
        task.watchHook.unlink();
        task.watchedSince = now;
        m_ordersByQuery.push_back(task);
    }
}

void order_tracker::detectFailedAgents()
{
    if (m_ctx.now() < m_ctx.suspectPeersAfter) {
        return;
    }
    std::vector<incarnation_id> failed;
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        if (m_ctx.silent(incarnation)) {
            failed.push_back(incarnation);
        }
    }
    for (const auto agent : failed) {
        agentFailed(agent, "silent");
    }
}

void order_tracker::tick()
{
    if (m_ctx.now() < m_nextSweep) {
        return;
    }
    m_nextSweep = m_ctx.now() + sweepInterval;
    detectFailedAgents();
    sendAcks();
    std::map<incarnation_id, wire::Envelope> queries;
    querySilent(m_ordersByUpdate, orderSilenceLimit, queries);
    querySilent(m_ordersByQuery, queryInterval, queries);
    for (auto &[agent, envelope] : queries) {
        m_ctx.out.send(agent, std::move(envelope));
    }
}

} // namespace bamboohead::detail
