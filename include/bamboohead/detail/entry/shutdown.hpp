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
    enum class stage : std::uint8_t { serving, draining, handing_over, done };

    /// @brief Whether no job, forwarded request or close to a live backup is pending.
    [[nodiscard]] bool drained() const;
    void sendHomeStopping();
    /// @brief Resends the handover, and completes the shutdown when all live backups have taken
    ///        their homes over or the timeout has passed.
    void handOver();

    entry_context &m_ctx;
    stage m_stage = stage::serving;
    time_point m_handoverStarted;
    time_point m_homeStoppingSent;
};

} // namespace bamboohead::detail
