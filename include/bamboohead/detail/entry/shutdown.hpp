#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Graceful shutdown: accepts no new jobs, waits until the jobs of this entry have ended,
///        then hands its homes over to their backups.
class shutdown
{
public:
    explicit shutdown(entry_context &context)
        : m_ctx{context}
    {}

    void begin();
    void tick();

private:
    enum class phase : std::uint8_t { running, draining, handing_over, done };

    /// @brief Whether no unfinished job, no forwarded request and no unacknowledged answer to a
    ///        live backup is left.
    [[nodiscard]] bool drained() const;
    void sendHomeStopping();
    /// @brief Resends the handover, and completes the shutdown when all live backups have taken
    ///        their homes over or the timeout has passed.
    void handOver();

    entry_context &m_ctx;
    phase m_phase = phase::running;
    time_point m_handoverStarted;
    time_point m_homeStoppingSent;
};

} // namespace bamboohead::detail
