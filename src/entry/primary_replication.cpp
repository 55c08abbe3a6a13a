#include "bamboohead/detail/entry/primary_replication.hpp"

#include "bamboohead/detail/entry/job_manager.hpp"

namespace bamboohead::detail {

primary_home *primary_replication::homeOf(incarnation_id sender, const job_home &home)
{
    return sender == home.backup ? m_ctx.homes.findPrimary(home) : nullptr;
}

bool primary_replication::put(job_record &job, primary_home &home)
{
    if (!home.hasBackup() || !m_ctx.alive(home.home.backup)) {
        home.jobUnrecorded = true;
        return false;
    }
    wire::Envelope envelope;
    auto &put = *envelope.mutable_record_put();
    toWire(job.submission, *put.mutable_job());
    const auto remaining = job.deadline - m_ctx.now();
    put.set_remaining_us(static_cast<std::uint64_t>(remaining.count()));
    m_ctx.out.send(home.home.backup, std::move(envelope));
    job.recordSent = true;
    if (!home.ackTimedOutAt) {
        return true;
    }
    // After a missed acknowledgement, jobs wait for the backup again only when an echo proves that
    // it was alive after the timeout.
    const auto *backup = m_ctx.links.find(home.home.backup);
    const bool aliveAgain = backup->newestEcho && *backup->newestEcho > *home.ackTimedOutAt;
    if (aliveAgain) {
        home.ackTimedOutAt.reset();
    }
    return aliveAgain;
}

void primary_replication::startUnreplicated(job_record &job)
{
    if (auto *home = m_ctx.homes.findPrimary(job.home())) {
        home->ackTimedOutAt = m_ctx.now();
    }
    m_ctx.out.log("job_unreplicated", {{"job", toText(job.id())}});
    m_ctx.manager->run(job);
}

void primary_replication::close(job_record &job)
{
    auto *home = m_ctx.homes.findPrimary(job.home());
    if (home == nullptr) {
        return;
    }
    job.closeSequence = ++home->lastClose;
    home->closes.push_back(job);
    sendClose(job);
    m_ctx.jobs.unacknowledgedCloses.push_back(job);
}

void primary_replication::sendClose(job_record &job)
{
    wire::Envelope envelope;
    toWire(job.answer, *envelope.mutable_record_close()->mutable_answer());
    m_ctx.out.send(job.home().backup, std::move(envelope));
    job.closeSent = m_ctx.now();
}

void primary_replication::homeOpened(primary_home &home)
{
    if (!home.hasBackup()) {
        return;
    }
    // The version starts above those of an earlier home of the same two entries, which the backup
    // may still store.
    home.scopeVersion = toStamp(m_ctx.now());
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        home.scope[incarnation] =
                primary_home::scope_agent{agent.endpoint, home.scopeVersion, {}, {}};
    }
    sendFullScope(home);
}

void primary_replication::agentAdded(incarnation_id agent, const std::string &endpoint)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        if (!home.hasBackup()) {
            continue;
        }
        const auto found = home.scope.find(agent);
        if (found != home.scope.end() && found->second.lastJob) {
            --home.pendingRemovals;
        }
        home.scope[agent] = primary_home::scope_agent{endpoint, ++home.scopeVersion, {}, {}};
        wire::Envelope envelope;
        auto &added = *envelope.mutable_scope_update()->add_added();
        added.set_incarnation(static_cast<std::uint64_t>(agent));
        added.set_endpoint(endpoint);
        sendScopeChange(home, std::move(envelope));
    }
}

void primary_replication::agentRemoved(incarnation_id agent)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        const auto found = home.scope.find(agent);
        if (found != home.scope.end() && !found->second.lastJob) {
            found->second.lastJob = home.lastJob;
            ++home.pendingRemovals;
        }
    }
    for (auto &[id, home] : m_ctx.homes.primary) {
        removeFailedAgents(home);
    }
}

void primary_replication::removeFailedAgents(primary_home &home)
{
    // Before a backup resumes a job from its record, it must fence all agents that had an order of
    // the job, also those whose tasks have ended. So a failed agent is removed only when the jobs
    // that were unfinished at its failure have ended and their closes are acknowledged. A home with
    // an expired close keeps its failed agents, because the backup may still have the record of the
    // job. `expiredCloses` may also contain other homes than the given one.
    for (const auto &homeId : std::exchange(m_ctx.jobs.expiredCloses, {})) {
        if (auto *affected = m_ctx.homes.findPrimary(homeId)) {
            affected->closeExpired = true;
        }
    }
    if (home.pendingRemovals == 0 || home.closeExpired) {
        return;
    }
    const auto oldestJob = home.jobs.empty() ? home.lastJob + 1 : home.jobs.front().homeSequence;
    for (auto &[incarnation, member] : home.scope) {
        if (member.lastJob && !member.removeAfter && *member.lastJob < oldestJob) {
            member.removeAfter = home.lastClose;
        }
    }
    const auto oldest =
            home.closes.empty() ? home.lastClose + 1 : home.closes.front().closeSequence;
    wire::Envelope envelope;
    auto &update = *envelope.mutable_scope_update();
    for (const auto &[incarnation, member] : home.scope) {
        if (member.removeAfter && *member.removeAfter < oldest) {
            update.add_removed(static_cast<std::uint64_t>(incarnation));
        }
    }
    if (update.removed().empty()) {
        return;
    }
    for (const auto incarnation : update.removed()) {
        home.scope.erase(incarnation_id{incarnation});
        --home.pendingRemovals;
    }
    ++home.scopeVersion;
    sendScopeChange(home, std::move(envelope));
}

void primary_replication::sendScopeChange(primary_home &home, wire::Envelope envelope)
{
    auto &update = *envelope.mutable_scope_update();
    toWire(home.home, *update.mutable_home());
    update.set_version(home.scopeVersion);
    home.scopeSent = m_ctx.now();
    if (m_ctx.alive(home.home.backup)) {
        m_ctx.out.send(home.home.backup, std::move(envelope));
    }
}

void primary_replication::sendFullScope(primary_home &home)
{
    wire::Envelope envelope;
    auto &update = *envelope.mutable_scope_update();
    toWire(home.home, *update.mutable_home());
    update.set_version(home.scopeVersion);
    update.set_full(true);
    for (const auto &[incarnation, member] : home.scope) {
        auto &added = *update.add_added();
        added.set_incarnation(static_cast<std::uint64_t>(incarnation));
        added.set_endpoint(member.endpoint);
    }
    home.scopeSent = m_ctx.now();
    m_ctx.out.send(home.home.backup, std::move(envelope));
}

void primary_replication::receive(incarnation_id sender, const wire::RecordAck &ack)
{
    const auto id = fromWire(ack.id());
    auto *home = homeOf(sender, id.session.home);
    if (home == nullptr) {
        return;
    }
    if (ack.taken_over()) {
        m_ctx.manager->homeFenced(id.session.home);
        return;
    }
    home->ackTimedOutAt.reset();
    auto *job = m_ctx.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    job->replicated = true;
    if (job->phase == job_phase::recording) {
        m_ctx.manager->run(*job);
    }
}

void primary_replication::receive(incarnation_id sender, const wire::RecordCloseAck &ack)
{
    const auto id = fromWire(ack.id());
    if (sender != id.session.home.backup) {
        return;
    }
    if (auto *job = m_ctx.jobs.find(id)) {
        job->closeHook.unlink();
        job->homeCloseHook.unlink();
        if (!ack.taken_over()) {
            m_ctx.manager->closeConfirmed(*job);
        }
    }
    if (ack.taken_over()) {
        m_ctx.manager->homeFenced(id.session.home);
    }
}

void primary_replication::receive(incarnation_id sender, const wire::ScopeAck &ack)
{
    const auto id = fromWire(ack.home());
    auto *home = homeOf(sender, id);
    if (home == nullptr) {
        return;
    }
    if (!ack.taken_over()) {
        const bool known = ack.version() <= home->scopeVersion;
        home->ackedVersion =
                known ? std::max(home->ackedVersion, ack.version()) : home->ackedVersion;
        return;
    }
    m_ctx.manager->homeFenced(id);
}

void primary_replication::timeOutRecords()
{
    auto &recording = m_ctx.jobs.recording;
    while (!recording.empty() && m_ctx.now() - recording.front().phaseSince >= recordAckTimeout) {
        startUnreplicated(recording.front());
    }
}

void primary_replication::resendCloses()
{
    auto &closes = m_ctx.jobs.unacknowledgedCloses;
    while (!closes.empty() && m_ctx.now() - closes.front().closeSent >= closeResendInterval) {
        auto &job = closes.front();
        closes.pop_front();
        closes.push_back(job);
        job.closeSent = m_ctx.now();
        if (m_ctx.alive(job.home().backup)) {
            sendClose(job);
        }
    }
}

void primary_replication::resendScopes()
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        removeFailedAgents(home);
        const bool due = m_ctx.now() - home.scopeSent >= scopeResendInterval;
        const bool unacknowledged = home.hasBackup() && home.ackedVersion != home.scopeVersion;
        if (due && unacknowledged && m_ctx.alive(id.backup)) {
            sendFullScope(home);
        }
    }
}

void primary_replication::removeUnusedHomes()
{
    std::erase_if(m_ctx.homes.primary, [this](const auto &item) {
        const auto &home = item.second;
        return home.jobs.empty() && m_ctx.now() - home.lastUsed > outcomeRetention;
    });
}

void primary_replication::tick()
{
    timeOutRecords();
    if (m_ctx.now() < m_nextSweep) {
        return;
    }
    m_nextSweep = m_ctx.now() + sweepInterval / 2; // so resends are at most 50 ms late
    resendCloses();
    resendScopes();
    removeUnusedHomes();
}

} // namespace bamboohead::detail
