#include "bamboohead/dispatch/state_reader.hpp"

#include <algorithm>
#include <utility>

namespace bamboohead {

state_reader::state_reader(state_reader_limits limits, std::uint64_t seed)
    : m_limits{limits}
    , m_random{seed}
    , m_window{limits.minWindow}
{}

bool state_reader::due(time_point now, std::optional<duration> proofAge, state_use use)
{
    if (m_readSince && now - *m_readSince >= m_limits.resultTimeout) {
        handleResult(now, false);
    }
    if (proofAge && *proofAge <= m_limits.maxProofAge) {
        m_failures = 0;
        m_nextRead.reset();
        return false;
    }
    const bool needed =
            use >= state_use::starts ||
            (use == state_use::zone_return && (!proofAge || *proofAge > m_limits.maxIdleProofAge));
    if (m_readSince || !needed) {
        return false;
    }
    if (!m_nextRead) {
        m_nextRead = now + randomDelay(m_window);
        m_waiting = false;
    }
    if (use == state_use::waiting_starts && !std::exchange(m_waiting, true)) {
        m_nextRead = std::min(*m_nextRead,
                              now + randomDelay(std::min(m_window, m_limits.maxWaitingDelay)));
    }
    if (now < *m_nextRead) {
        return false;
    }
    m_nextRead.reset();
    m_readSince = now;
    return true;
}

void state_reader::handleResult(time_point now, bool succeeded)
{
    m_readSince.reset();
    if (succeeded) {
        m_failures = 0;
        return;
    }
    ++m_failures;
    m_lastFailure = now;
    m_waiting = true;
    m_nextRead = now + (m_failures == 1 ? m_limits.firstRetryDelay
                                        : m_limits.retryDelay + randomDelay(m_window));
}

bool state_reader::mayStart(time_point now, std::optional<duration> proofAge) const
{
    if (proofAge && *proofAge <= m_limits.maxStartProofAge) {
        return true;
    }
    return m_failures >= m_limits.failuresToStart &&
           now - m_lastFailure <= m_limits.retryDelay + m_window + m_limits.maxReadTime;
}

duration state_reader::randomDelay(duration longest)
{
    return duration{std::uniform_int_distribution<duration::rep>{0, longest.count()}(m_random)};
}

} // namespace bamboohead
