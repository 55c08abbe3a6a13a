#include "bamboohead/detail/entry/takeover.hpp"

#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/forwarder.hpp"
#include "bamboohead/detail/entry/job_manager.hpp"
#include "bamboohead/detail/entry/order_tracker.hpp"

namespace bamboohead::detail {

void takeover::begin(backup_home &home, std::string_view reason)
{
    const auto now = m_ctx.now();
    home.phase = takeover_phase::fencing;
    home.fenceStarted = now;
    ++m_ctx.counters.takeovers;
    m_ctx.out.log("takeover_begin", {{"primary", toText(home.home.primary)},
                                     {"reason", std::string{reason}},
                                     {"agents", std::to_string(home.scope.size())}});
    for (auto &job : home.jobs) {
        m_ctx.jobs.setPhase(job, job_phase::fencing, now);
    }
    notifyPrimary(home);
    sendFences(home);
    if (home.scope.empty()) {
        finish(home);
    }
}

void takeover::sendFences(backup_home &home)
{
    home.fenceSent = m_ctx.now();
    for (const auto &[agent, endpoint] : home.scope) {
        if (home.reported.contains(agent)) {
            continue;
        }
        sendFence(home, endpoint, agent);
    }
}

void takeover::sendFence(const backup_home &home, const std::string &endpoint, incarnation_id agent)
{
    wire::Envelope envelope;
    toWire(home.home, *envelope.mutable_fence_request()->mutable_home());
    m_ctx.out.sendTo(endpoint, agent, std::move(envelope));
}

bool takeover::allReported(const backup_home &home)
{
    return std::ranges::all_of(
            home.scope, [&home](const auto &agent) { return home.reported.contains(agent.first); });
}

void takeover::fenceRemainingAgents(backup_home &home)
{
    home.fenceSent = m_ctx.now();
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        if (!home.reported.contains(incarnation)) {
            sendFence(home, agent.endpoint, incarnation);
        }
    }
}

void takeover::receive(incarnation_id sender, const wire::FenceReport &report)
{
    const auto id = fromWire(report.home());
    auto *home = m_ctx.homes.findBackup(id);
    if (home == nullptr || home->phase == takeover_phase::standby ||
        !home->reported.insert(sender).second || home->phase == takeover_phase::taken) {
        return;
    }
    for (const auto &task : report.tasks()) {
        if (fromWire(task.ref()).job.session.home == id) {
            applyReportedTask(sender, task);
        }
    }
    if (allReported(*home)) {
        finish(*home);
    }
}

void takeover::applyReportedTask(incarnation_id agent, const wire::TaskUpdate &update)
{
    const auto ref = fromWire(update.ref());
    auto *job = m_ctx.jobs.find(ref.job);
    const bool awaited = job != nullptr && job->phase == job_phase::fencing &&
                         ref.task < job->tasks.size() &&
                         job->tasks[ref.task].phase == task_phase::waiting;
    if (!awaited || update.state() == wire::TASK_STATE_REFUSED) {
        return;
    }
    m_ctx.orders->adopt(job->tasks[ref.task], agent, ref.attempt);
    m_ctx.orders->apply(agent, update);
}

void takeover::finish(backup_home &home)
{
    home.phase = takeover_phase::taken;
    const bool complete = allReported(home);
    m_ctx.out.log("takeover_end", {{"primary", toText(home.home.primary)},
                                   {"reported", std::to_string(home.reported.size())},
                                   {"agents", std::to_string(home.scope.size())}});
    std::vector<job_id> unfinished;
    for (const auto &job : home.jobs) {
        unfinished.push_back(job.id());
    }
    for (const auto &id : unfinished) {
        if (auto *job = m_ctx.jobs.find(id); job != nullptr && job->phase == job_phase::fencing) {
            resume(*job, complete);
        }
    }
    m_ctx.forwards->homeTakenOver(home.home);
}

void takeover::resume(job_record &job, bool complete)
{
    if (job.finished == job.tasks.size()) {
        m_ctx.manager->complete(job);
        return;
    }
    // A waiting task may have been started by an agent that has not reported, and must not be
    // started again.
    if (!job.waiting.empty() && !complete) {
        m_ctx.manager->fail(job, error_kind::outcome_unknown);
        return;
    }
    job.usage = static_cast<std::uint32_t>(job.tasks.size()) - job.finished;
    m_ctx.admit.addUsage(job.submission.team, job.usage);
    m_ctx.manager->run(job);
}

void takeover::receive(incarnation_id sender, const wire::HomeStopping &stopping)
{
    const auto id = fromWire(stopping.home());
    if (sender != id.primary || id.backup != m_ctx.self()) {
        return;
    }
    auto &home = m_ctx.homes.backup[id];
    home.home = id;
    if (home.phase == takeover_phase::standby) {
        home.lastUsed = m_ctx.now();
        begin(home, "primary_stopping");
    }
    for (const auto session : stopping.sessions()) {
        m_ctx.jobs.openSession(session_id{id, session}, m_ctx.now()).handedOver = true;
    }
    notifyPrimary(home);
}

void takeover::notifyPrimary(backup_home &home)
{
    home.primaryNotified = m_ctx.now();
    // The notice is a scope acknowledgement, which the primary handles at any time.
    wire::Envelope notice;
    toWire(home.home, *notice.mutable_scope_ack()->mutable_home());
    notice.mutable_scope_ack()->set_taken_over(true);
    m_ctx.out.send(home.home.primary, std::move(notice));
}

bool takeover::expired(const backup_home &home) const
{
    return home.phase == takeover_phase::taken && home.jobs.empty() &&
           m_ctx.now() - home.lastUsed > outcomeRetention;
}

void takeover::tick()
{
    const auto now = m_ctx.now();
    for (auto position = m_ctx.homes.backup.begin(); position != m_ctx.homes.backup.end();) {
        auto &home = position->second;
        if (home.phase == takeover_phase::standby) {
            if (now >= m_ctx.suspectPeersAfter && m_ctx.silent(home.home.primary)) {
                begin(home, "primary_silent");
            }
        } else if (home.phase == takeover_phase::fencing) {
            if (now - home.fenceStarted >= fenceTimeout) {
                finish(home);
            } else if (now - home.fenceSent >= fenceResendInterval) {
                sendFences(home);
            }
        } else if (!home.jobs.empty() && now - home.fenceSent >= fenceResendInterval) {
            fenceRemainingAgents(home);
        }
        const bool takenOver = home.phase != takeover_phase::standby;
        if (takenOver && now - home.primaryNotified >= takeoverNoticeInterval &&
            m_ctx.alive(home.home.primary)) {
            notifyPrimary(home);
        }
        position = expired(home) ? m_ctx.homes.backup.erase(position) : std::next(position);
    }
}

} // namespace bamboohead::detail
