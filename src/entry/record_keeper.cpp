#include "bamboohead/detail/entry/record_keeper.hpp"

#include "bamboohead/detail/entry/job_keeper.hpp"

namespace bamboohead::detail {

primary_home *record_keeper::homeOf(incarnation_id sender, const job_home &home)
{
    return sender == home.backup ? m_ctx.homes.findPrimary(home) : nullptr;
}

bool record_keeper::put(job_record &job, primary_home &home)
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
    if (!home.unansweredSince) {
        return true;
    }
    // The backup left a record unanswered: wait for it again once it has proven life since then.
    const auto *backup = m_ctx.links.find(home.home.backup);
    const bool aliveAgain = backup->newestEcho && *backup->newestEcho > *home.unansweredSince;
    if (aliveAgain) {
        home.unansweredSince.reset();
    }
    return aliveAgain;
}

void record_keeper::startUnreplicated(job_record &job)
{
    if (auto *home = m_ctx.homes.findPrimary(job.home())) {
        home->unansweredSince = m_ctx.now();
    }
    m_ctx.out.log("job_unreplicated", {{"job", toText(job.id())}});
    m_ctx.keeper->run(job);
}

void record_keeper::close(job_record &job)
{
    auto *home = m_ctx.homes.findPrimary(job.home());
    if (home == nullptr) {
        return;
    }
    job.closeOrder = ++home->lastClose;
    home->closes.push_back(job);
    sendClose(job);
    m_ctx.jobs.unacknowledgedCloses.push_back(job);
}

void record_keeper::sendClose(job_record &job)
{
    wire::Envelope envelope;
    toWire(job.answer, *envelope.mutable_record_close()->mutable_answer());
    m_ctx.out.send(job.home().backup, std::move(envelope));
    job.closeSent = m_ctx.now();
}

void record_keeper::homeOpened(primary_home &home)
{
    if (!home.hasBackup()) {
        return;
    }
    // Above the versions of an earlier home of the same pair, which the backup may still hold.
    home.scopeVersion = toStamp(m_ctx.now());
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        home.scope[incarnation] = primary_home::member{agent.endpoint, home.scopeVersion, {}, {}};
    }
    sendFullScope(home);
}

void record_keeper::agentAdded(incarnation_id agent, const std::string &endpoint)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        if (!home.hasBackup()) {
            continue;
        }
        const auto held = home.scope.find(agent);
        if (held != home.scope.end() && held->second.lastJob) {
            --home.removals;
        }
        home.scope[agent] = primary_home::member{endpoint, ++home.scopeVersion, {}, {}};
        wire::Envelope envelope;
        auto &added = *envelope.mutable_scope_update()->add_added();
        added.set_incarnation(static_cast<std::uint64_t>(agent));
        added.set_endpoint(endpoint);
        sendScopeChange(home, std::move(envelope));
    }
}

void record_keeper::agentRemoved(incarnation_id agent)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        const auto held = home.scope.find(agent);
        if (held != home.scope.end() && !held->second.lastJob) {
            held->second.lastJob = home.lastJob;
            ++home.removals;
        }
    }
    for (auto &[id, home] : m_ctx.homes.primary) {
        removeDead(home);
    }
}

void record_keeper::removeDead(primary_home &home)
{
    // A backup that holds an open record of a job must fence all agents that had an order of it,
    // ended ones included, before it resumes the job. So the removal waits until the jobs that were
    // open when the agent died have ended, and then for the acknowledgement of their closes.
    for (const auto &lost : std::exchange(m_ctx.jobs.lostCloses, {})) {
        if (auto *held = m_ctx.homes.findPrimary(lost)) {
            held->closeLost = true;
        }
    }
    if (home.removals == 0 || home.closeLost) {
        return;
    }
    const auto oldestJob = home.jobs.empty() ? home.lastJob + 1 : home.jobs.front().homeOrder;
    for (auto &[incarnation, member] : home.scope) {
        if (member.lastJob && !member.removeAfter && *member.lastJob < oldestJob) {
            member.removeAfter = home.lastClose;
        }
    }
    const auto oldest = home.closes.empty() ? home.lastClose + 1 : home.closes.front().closeOrder;
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
        --home.removals;
    }
    ++home.scopeVersion;
    sendScopeChange(home, std::move(envelope));
}

void record_keeper::sendScopeChange(primary_home &home, wire::Envelope envelope)
{
    auto &update = *envelope.mutable_scope_update();
    toWire(home.home, *update.mutable_home());
    update.set_version(home.scopeVersion);
    home.scopeSent = m_ctx.now();
    if (m_ctx.alive(home.home.backup)) {
        m_ctx.out.send(home.home.backup, std::move(envelope));
    }
}

void record_keeper::sendFullScope(primary_home &home)
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

void record_keeper::receive(incarnation_id sender, const wire::RecordAck &ack)
{
    const auto id = fromWire(ack.id());
    auto *home = homeOf(sender, id.session.home);
    if (home == nullptr) {
        return;
    }
    if (ack.taken_over()) {
        m_ctx.keeper->homeFenced(id.session.home);
        return;
    }
    home->unansweredSince.reset();
    auto *job = m_ctx.jobs.find(id);
    if (job == nullptr) {
        return;
    }
    job->replicated = true;
    if (job->phase == job_phase::recording) {
        m_ctx.keeper->run(*job);
    }
}

void record_keeper::receive(incarnation_id sender, const wire::RecordCloseAck &ack)
{
    const auto id = fromWire(ack.id());
    if (sender != id.session.home.backup) {
        return;
    }
    if (auto *job = m_ctx.jobs.find(id)) {
        job->closeHook.unlink();
        job->homeCloseHook.unlink();
        if (!ack.taken_over()) {
            m_ctx.keeper->closeConfirmed(*job);
        }
    }
    if (ack.taken_over()) {
        m_ctx.keeper->homeFenced(id.session.home);
    }
}

void record_keeper::receive(incarnation_id sender, const wire::ScopeAck &ack)
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
    m_ctx.keeper->homeFenced(id);
}

void record_keeper::timeOutRecords()
{
    auto &recording = m_ctx.jobs.recording;
    while (!recording.empty() && m_ctx.now() - recording.front().phaseSince >= recordAckTimeout) {
        startUnreplicated(recording.front());
    }
}

void record_keeper::resendCloses()
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

void record_keeper::resendScopes()
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        removeDead(home);
        const bool due = m_ctx.now() - home.scopeSent >= scopeResendInterval;
        const bool open = home.hasBackup() && home.ackedVersion != home.scopeVersion;
        if (due && open && m_ctx.alive(id.backup)) {
            sendFullScope(home);
        }
    }
}

void record_keeper::forgetHomes()
{
    std::erase_if(m_ctx.homes.primary, [this](const auto &held) {
        const auto &home = held.second;
        return home.jobs.empty() && m_ctx.now() - home.lastUsed > outcomeRetention;
    });
}

void record_keeper::tick()
{
    timeOutRecords();
    if (m_ctx.now() < m_nextSweep) {
        return;
    }
    m_nextSweep = m_ctx.now() + sweepInterval / 2;
    resendCloses();
    resendScopes();
    forgetHomes();
}

} // namespace bamboohead::detail
