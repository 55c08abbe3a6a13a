#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Takes homes over from their primary: fences the agents of the scope, collects their
///        reports and resumes the jobs (design 2.1, rules 4 and 5).
class takeover
{
public:
    explicit takeover(entry_context &context)
        : m_ctx{context}
    {}

    void receive(incarnation_id sender, const wire::FenceReport &report);
    void receive(incarnation_id sender, const wire::HomeStopping &stopping);

    /// @brief Starts, drives and ends takeovers; forgets homes without sessions.
    void tick();

private:
    void begin(backup_home &home, std::string_view reason);
    void sendFences(backup_home &home);
    /// @brief Tells the primary, which may be alive, that it no longer owns the home.
    void tellPrimary(backup_home &home);
    void applyReport(incarnation_id agent, const wire::TaskUpdate &update);
    void finish(backup_home &home);
    void resume(job_record &job, bool complete);
    [[nodiscard]] static bool allReported(const backup_home &home);
    void sendFence(const backup_home &home, const std::string &endpoint, incarnation_id agent);
    /// @brief Fences agents outside the scope, so that resumed jobs may use them too.
    void fenceFurther(backup_home &home);
    [[nodiscard]] bool forgettable(const backup_home &home) const;

    entry_context &m_ctx;
};

} // namespace bamboohead::detail
