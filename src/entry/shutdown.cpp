#include "bamboohead/detail/entry/shutdown.hpp"

#include "bamboohead/detail/entry/forwarder.hpp"
#include "bamboohead/detail/entry/membership.hpp"

namespace bamboohead::detail {

void shutdown::begin()
{
    if (m_phase != phase::running) {
        return;
    }
    m_phase = phase::draining;
    m_ctx.draining = true;
    m_ctx.out.log("draining", {{"jobs", std::to_string(m_ctx.jobs.unfinished())}});
    m_ctx.members->announce();
}

bool shutdown::drained() const
{
    const bool closesPending =
            std::ranges::any_of(m_ctx.jobs.unacknowledgedCloses,
                                [this](const auto &job) { return m_ctx.alive(job.home().backup); });
    return m_ctx.jobs.unfinished() == 0 && m_ctx.forwards->pending() == 0 && !closesPending;
}

void shutdown::sendHomeStopping()
{
    for (const auto &[id, home] : m_ctx.homes.primary) {
        if (!home.hasBackup() || !m_ctx.alive(id.backup)) {
            continue;
        }
        wire::Envelope envelope;
        auto &stopping = *envelope.mutable_home_stopping();
        toWire(id, *stopping.mutable_home());
        if (home.allOutcomesReplicated() && m_ctx.jobs.expiredCloses.empty()) {
            const auto open = m_ctx.jobs.sessionsOf(id, m_ctx.now() - sessionValidity);
            stopping.mutable_sessions()->Assign(open.begin(), open.end());
        }
        m_ctx.out.send(id.backup, std::move(envelope));
    }
    m_homeStoppingSent = m_ctx.now();
}

void shutdown::handOver()
{
    // The acknowledgement of a backup removes its home, so the remaining homes are unacknowledged.
    const auto now = m_ctx.now();
    const bool timedOut = now - m_handoverStarted >= handoverTimeout;
    const bool due = now - m_homeStoppingSent >= handoverResendInterval;
    const bool acknowledged = std::ranges::none_of(m_ctx.homes.primary, [this](const auto &item) {
        return item.second.hasBackup() && m_ctx.alive(item.first.backup);
    });
    if (!timedOut && !acknowledged) {
        if (due) {
            sendHomeStopping();
        }
        return;
    }
    m_phase = phase::done;
    m_ctx.forwards->failAll();
    m_ctx.out.log("shutdown_complete", {{"timed_out", timedOut ? "true" : "false"}});
    m_ctx.out.push(shutdown_complete{});
}

void shutdown::tick()
{
    if (m_phase == phase::draining && drained()) {
        m_phase = phase::handing_over;
        m_handoverStarted = m_ctx.now();
        sendHomeStopping();
    }
    if (m_phase == phase::handing_over) {
        handOver();
    }
}

} // namespace bamboohead::detail
