#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Graceful stop: ends the own jobs, then hands the homes to their backups.
class shutdown
{
public:
    explicit shutdown(entry_context &context)
        : m_ctx{context}
    {}

    void begin();
    void tick();

private:
    enum class stage : std::uint8_t { serving, draining, handing, done };

    [[nodiscard]] bool drained() const;
    void sendHomeStopping();
    void hand();

    entry_context &m_ctx;
    stage m_stage = stage::serving;
    time_point m_handingSince;
    time_point m_sent;
};

} // namespace bamboohead::detail
