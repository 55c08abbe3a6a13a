#include "bamboohead/detail/entry/backup_replication.hpp"

#include "bamboohead/detail/entry/job_manager.hpp"

namespace bamboohead::detail {

bool backup_replication::isFromPrimary(const wire::Envelope &envelope, const job_home &home) const
{
    return home.backup == m_ctx.self() && incarnation_id{envelope.sender()} == home.primary;
}

backup_home &backup_replication::openHome(const job_home &home)
{
    auto &opened = m_ctx.homes.backup[home];
    opened.home = home;
    opened.lastUsed = m_ctx.now();
    return opened;
}

void backup_replication::receive(const wire::Envelope &envelope, std::optional<duration> age,
                                 const wire::RecordPut &put)
{
    const auto id = fromWire(put.job().id());
    const bool fresh = age && *age <= recordAgeLimit;
    if (!isFromPrimary(envelope, id.session.home) || !fresh || !withinLimits(put.job())) {
        ++m_ctx.counters.messagesDropped;
        return;
    }
    auto &home = openHome(id.session.home);
    const bool takenOver = home.phase != takeover_phase::standby;
    if (!takenOver) {
        store(put, home);
    }
    wire::Envelope reply;
    toWire(id, *reply.mutable_record_ack()->mutable_id());
    reply.mutable_record_ack()->set_taken_over(takenOver);
    m_ctx.out.send(home.home.primary, std::move(reply));
}

void backup_replication::store(const wire::RecordPut &put, backup_home &home)
{
    auto submission = fromWire(put.job());
    const auto id = submission.id;
    const auto now = m_ctx.now();
    auto &session = m_ctx.jobs.openSession(id.session, now);
    if (m_ctx.jobs.find(id) != nullptr || session.ends.contains(id.number)) {
        return;
    }
    const auto limit = static_cast<std::uint64_t>(maxDeadline.count());
    const auto remaining = static_cast<duration::rep>(std::min(put.remaining_us(), limit));
    const auto deadline = now + duration{remaining};
    auto &job = m_ctx.jobs.add(std::move(submission), home_owner::backup, now, deadline);
    for (auto &task : job.tasks) {
        task.attempt = firstBackupAttempt;
    }
    home.jobs.push_back(job);
    session.records.push_back(id.number);
}

void backup_replication::receive(const wire::Envelope &envelope, const wire::RecordClose &close)
{
    auto answer = fromWire(close.answer());
    const auto id = answer.id;
    if (!isFromPrimary(envelope, id.session.home)) {
        ++m_ctx.counters.messagesDropped;
        return;
    }
    const auto &home = openHome(id.session.home);
    const bool takenOver = home.phase != takeover_phase::standby;
    auto *job = m_ctx.jobs.find(id);
    if (!takenOver) {
        if (job != nullptr && job->phase == job_phase::record) {
            m_ctx.jobs.end(*job, std::move(answer), m_ctx.now());
        } else if (job == nullptr) {
            m_ctx.jobs.recordEnd(id, job_end{{}, answer.error, answer.outcome, answer.mayHaveRun},
                                 m_ctx.now());
        }
    } else if (job != nullptr && job->phase != job_phase::ended &&
               answer.outcome == job_outcome::complete) {
        // The primary has sent all results, so the job need not be resumed.
        m_ctx.manager->end(*job, std::move(answer));
    }
    wire::Envelope reply;
    toWire(id, *reply.mutable_record_close_ack()->mutable_id());
    reply.mutable_record_close_ack()->set_taken_over(takenOver);
    m_ctx.out.send(id.session.home.primary, std::move(reply));
}

void backup_replication::applyScope(backup_home &home, const wire::ScopeUpdate &update)
{
    // A change is applied only to the version right before it. The primary sends the whole scope
    // when a change is not acknowledged.
    const bool inOrder = update.full() || update.version() == home.scopeVersion + 1;
    if (update.version() <= home.scopeVersion || !inOrder) {
        return;
    }
    if (update.full()) {
        home.scope.clear();
    }
    for (const auto &agent : update.added()) {
        home.scope.insert_or_assign(incarnation_id{agent.incarnation()}, agent.endpoint());
    }
    for (const auto agent : update.removed()) {
        home.scope.erase(incarnation_id{agent});
    }
    home.scopeVersion = update.version();
}

void backup_replication::receive(const wire::Envelope &envelope, std::optional<duration> age,
                                 const wire::ScopeUpdate &update)
{
    const auto id = fromWire(update.home());
    const bool fresh = age && *age <= recordAgeLimit;
    if (!isFromPrimary(envelope, id) || !fresh) {
        ++m_ctx.counters.messagesDropped;
        return;
    }
    auto &home = openHome(id);
    const bool takenOver = home.phase != takeover_phase::standby;
    if (!takenOver) {
        applyScope(home, update);
    }
    wire::Envelope reply;
    auto &ack = *reply.mutable_scope_ack();
    toWire(id, *ack.mutable_home());
    ack.set_version(home.scopeVersion);
    ack.set_taken_over(takenOver);
    m_ctx.out.send(id.primary, std::move(reply));
}

} // namespace bamboohead::detail
