#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Takeover of homes by their backup when the primary has failed or stops: fences the agents
///        of the scope, collects their reports and resumes the jobs (docs/design.md, 2.1, rules 4
///        and 5).
///
/// A fenced agent accepts no further orders of the primary, and reports the tasks of the home that
/// it has.
class takeover
{
public:
    explicit takeover(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Applies an agent's answer to a fence request.
    void receive(incarnation_id sender, const wire::FenceReport &report);
    /// @brief Takes over a home from a primary that stops gracefully.
    void receive(incarnation_id sender, const wire::HomeStopping &stopping);

    /// @brief Starts takeovers, resends fence requests and the notices to former primaries, and
    ///        removes expired homes.
    void tick();

private:
    void begin(backup_home &home, std::string_view reason);
    void sendFences(backup_home &home);
    /// @brief Notifies the primary, which may be alive, that it no longer owns the home.
    void notifyPrimary(backup_home &home);
    /// @brief Applies the state of one task of a fence report.
    void applyReportedTask(incarnation_id agent, const wire::TaskUpdate &update);
    /// @brief Becomes owner of the home, and resumes or ends its jobs.
    void finish(backup_home &home);
    /// @param complete Whether all agents of the scope have reported.
    void resume(job_record &job, bool complete);
    [[nodiscard]] static bool allReported(const backup_home &home);
    void sendFence(const backup_home &home, const std::string &endpoint, incarnation_id agent);
    /// @brief Fences agents that have not reported, also those outside the scope, so that resumed
    ///        jobs can use them.
    void fenceRemainingAgents(backup_home &home);
    /// @brief Whether the home was taken over, has no unfinished jobs and is past its retention.
    [[nodiscard]] bool expired(const backup_home &home) const;

    entry_context &m_ctx;
};

} // namespace bamboohead::detail
