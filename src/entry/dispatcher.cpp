#include "bamboohead/detail/entry/dispatcher.hpp"

#include "bamboohead/detail/entry/membership.hpp"
#include "bamboohead/detail/entry/order_tracker.hpp"

namespace bamboohead::detail {

namespace {

ready_job readyJob(const job_record &job)
{
    ready_job ready;
    ready.id = job.id();
    ready.team = job.submission.team;
    ready.service = job.submission.service;
    ready.waitingTasks = static_cast<std::uint32_t>(job.waiting.size());
    ready.submitted = job.submitted;
    ready.deadline = job.deadline;
    return ready;
}

wire::Owner toWire(home_owner owner)
{
    return owner == home_owner::primary ? wire::OWNER_PRIMARY : wire::OWNER_BACKUP;
}

} // namespace

void dispatcher::countReady(const job_record &job, int change)
{
    auto &homes = m_readyHomes[job.submission.service];
    auto &count = homes[job.home()];
    count = static_cast<std::uint32_t>(static_cast<int>(count) + change);
    if (count == 0) {
        homes.erase(job.home());
    }
}

void dispatcher::enqueue(job_record &job)
{
    if (job.waiting.empty() || job.queued) {
        return;
    }
    job.queued = true;
    m_ctx.queue.add(readyJob(job));
    countReady(job, 1);
}

void dispatcher::dequeue(job_record &job)
{
    if (!job.queued) {
        return;
    }
    job.queued = false;
    m_ctx.queue.remove(job.id());
    countReady(job, -1);
}

void dispatcher::requeueTask(task_record &task)
{
    auto &job = *task.job;
    m_ctx.queue.taskReturned(readyJob(job));
    if (!job.queued) {
        job.queued = true;
        countReady(job, 1);
    }
}

bool dispatcher::usable(agent_record &agent)
{
    if (agent.checkedRound != m_round) {
        agent.checkedRound = m_round;
        const auto now = m_ctx.now();
        agent.usableNow = !agent.load.leaving && agent.pausedUntil <= now &&
                          m_ctx.alive(agent.incarnation) &&
                          m_ctx.config.zoneInService(agent.load.zone) &&
                          m_ctx.health.usable(agent.incarnation, now);
    }
    return agent.usableNow;
}

bool dispatcher::startNext(job_record &job)
{
    const auto *home = m_ctx.homes.findPrimary(job.home());
    const auto *backupHome = m_ctx.homes.findBackup(job.home());
    if (home == nullptr && backupHome == nullptr) {
        return false;
    }
    const auto allowed = [this, home, backupHome](incarnation_id id) {
        const auto agent = m_ctx.agents.find(id);
        const bool known = agent != m_ctx.agents.end() && usable(agent->second);
        return known && (home == nullptr ? backupHome->usable(id) : home->usable(id));
    };
    const auto chosen = m_ctx.credits.take(job.submission.service, allowed);
    if (!chosen) {
        return false;
    }
    addOrder(job, m_ctx.agents.find(*chosen)->second);
    return true;
}

wire::StartTasks &dispatcher::batchOf(incarnation_id agent, const job_home &home)
{
    auto &batches = m_batches[agent];
    auto found = std::ranges::find(batches, home, &home_batch::first);
    if (found == batches.end()) {
        found = batches.insert(batches.end(), home_batch{home, {}});
    }
    return *found->second.mutable_start_tasks();
}

void dispatcher::addOrder(job_record &job, agent_record &agent)
{
    auto &task = job.tasks[job.waiting.back()];
    job.waiting.pop_back();
    if (job.waiting.empty()) {
        job.queued = false; // the queue has removed the job with its last waiting task
        countReady(job, -1);
    }
    auto &start = batchOf(agent.incarnation, job.home());
    start.set_owner(toWire(job.owner));
    auto &order = *start.add_orders();
    bamboohead::toWire(task_ref{job.id(), task.index, task.attempt}, *order.mutable_ref());
    order.set_service(job.submission.service);
    order.set_payload(job.submission.payloads[task.index]);
    order.set_remaining_us(static_cast<std::uint64_t>((job.deadline - m_ctx.now()).count()));
    order.set_idempotent(job.submission.idempotent);
    m_ctx.health.orderSent(agent.incarnation, m_ctx.now());
    // Makes the next check compute usable() again: an agent that target_health has suspended gets a
    // single order as a probe.
    agent.checkedRound = 0;
    m_ctx.orders->trackOrder(task, agent);
    ++m_ctx.counters.ordersSent;
}

void dispatcher::requeueJob(job_record &job)
{
    m_ctx.queue.add(readyJob(job));
}

void dispatcher::place(const std::string &service)
{
    auto &readyHomes = m_readyHomes[service];
    std::unordered_set<job_home> blocked;
    std::vector<job_record *> deferred;
    while (m_ctx.credits.availableOrders(service) > 0 && blocked.size() < readyHomes.size()) {
        const auto id = m_ctx.queue.pop(service, m_ctx.now());
        if (!id) {
            break;
        }
        auto *job = m_ctx.jobs.find(*id);
        if (!blocked.contains(job->home()) && job->deadline > m_ctx.now() && startNext(*job)) {
            continue;
        }
        if (job->deadline > m_ctx.now()) {
            blocked.insert(job->home());
        }
        // pop() has taken one task out of the queue. Returns it, and then removes the whole job
        // until the end of this round, so that it doesn't block jobs of other homes.
        m_ctx.queue.taskReturned(readyJob(*job));
        m_ctx.queue.remove(*id);
        deferred.push_back(job);
    }
    for (auto *job : deferred) {
        requeueJob(*job);
    }
}

void dispatcher::sendBatches()
{
    for (auto &[incarnation, batches] : m_batches) {
        auto &agent = m_ctx.agents.find(incarnation)->second;
        agent.demandReported = hasDemand(agent.load.service);
        if (!m_ctx.draining) {
            // Orders contain all that a heartbeat reports, except the draining flag and the
            // `current` flag. The latter is implied, because orders are sent only while this entry
            // can prove that its configuration is up to date.
            agent.heartbeatSent = m_ctx.now();
        }
        const auto usage = m_ctx.credits.usageOf(incarnation);
        const auto proofAge = m_ctx.config.entryProofAge().value_or(maxProofAge);
        for (auto &[home, envelope] : batches) {
            auto &start = *envelope.mutable_start_tasks();
            start.set_config_version(static_cast<std::uint64_t>(m_ctx.config.version()));
            start.set_credit_epoch(usage.epoch);
            start.set_used_total(usage.usedTotal);
            start.set_uncredited(m_ctx.options.policy != placement_policy::credits);
            start.set_currency_age_us(static_cast<std::uint64_t>(proofAge.count()));
            start.mutable_acked()->Swap(agent.acks.mutable_refs());
            agent.acks.Clear();
            fillDemand(*start.mutable_demand());
            m_ctx.out.send(incarnation, std::move(envelope));
        }
    }
    m_batches.clear();
}

void dispatcher::fillDemand(google::protobuf::RepeatedPtrField<wire::Demand> &out) const
{
    for (const auto &backlog : m_ctx.queue.backlog(m_ctx.now())) {
        auto &demand = *out.Add();
        demand.set_service(backlog.service);
        demand.set_waiting(backlog.waitingTasks);
        demand.set_precedence_us(static_cast<std::uint64_t>(backlog.precedence.count()));
    }
}

bool dispatcher::hasDemand(std::string_view service) const
{
    return m_ctx.queue.waiting(service) > 0;
}

void dispatcher::reportDemand()
{
    // New demand is reported without waiting for the next heartbeat, at most every demandInterval,
    // because agents grant credits to entries with waiting tasks.
    const auto now = m_ctx.now();
    if (m_ctx.queue.empty() || now - m_demandChecked < demandInterval) {
        return;
    }
    m_demandChecked = now;
    for (auto &[incarnation, agent] : m_ctx.agents) {
        if (!agent.demandReported && hasDemand(agent.load.service)) {
            m_ctx.members->sendHeartbeat(agent);
        }
    }
}

void dispatcher::run()
{
    ++m_round;
    if (m_ctx.config.entryCurrent()) {
        for (const auto &[service, homes] : m_readyHomes) {
            if (!homes.empty()) {
                place(service);
            }
        }
    }
    sendBatches();
    reportDemand();
}

} // namespace bamboohead::detail
