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
    home.scopeVersion = 1;
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        home.scope[incarnation] = primary_home::member{agent.endpoint, home.scopeVersion};
    }
    sendFullScope(home);
}

void record_keeper::agentAdded(incarnation_id agent, const std::string &endpoint)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        if (!home.hasBackup()) {
            continue;
        }
        home.scope[agent] = primary_home::member{endpoint, ++home.scopeVersion};
        wire::Envelope envelope;
        auto &update = *envelope.mutable_scope_update();
        toWire(id, *update.mutable_home());
        update.set_version(home.scopeVersion);
        auto &added = *update.add_added();
        added.set_incarnation(static_cast<std::uint64_t>(agent));
        added.set_endpoint(endpoint);
        home.scopeSent = m_ctx.now();
        m_ctx.out.send(id.backup, std::move(envelope));
    }
}

void record_keeper::agentRemoved(incarnation_id agent)
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        if (home.scope.erase(agent) == 0) {
            continue;
        }
        wire::Envelope envelope;
        auto &update = *envelope.mutable_scope_update();
        toWire(id, *update.mutable_home());
        update.set_version(++home.scopeVersion);
        update.add_removed(static_cast<std::uint64_t>(agent));
        home.scopeSent = m_ctx.now();
        m_ctx.out.send(id.backup, std::move(envelope));
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
        home->ackedVersion = std::max(home->ackedVersion, ack.version());
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
        if (m_ctx.alive(job.home().backup)) {
            close(job);
        }
    }
}

void record_keeper::resendScopes()
{
    for (auto &[id, home] : m_ctx.homes.primary) {
        const bool due = m_ctx.now() - home.scopeSent >= scopeResendInterval;
        const bool open = home.hasBackup() && home.ackedVersion != home.scopeVersion;
        if (due && open && m_ctx.alive(id.backup)) {
            sendFullScope(home);
        }
    }
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
}

} // namespace bamboohead::detail
