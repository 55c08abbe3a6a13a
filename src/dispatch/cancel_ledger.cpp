#include "bamboohead/dispatch/cancel_ledger.hpp"

namespace bamboohead {

void cancel_ledger::record(batch_job_id job, time_point until)
{
    const auto [position, added] = m_until.try_emplace(job, until);
    if (!added) {
        if (position->second >= until) {
            return;
        }
        m_byTime.erase({position->second, job});
        position->second = until;
    }
    m_byTime.emplace(until, job);
    if (m_until.size() > maxJobs) {
        m_until.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

void cancel_ledger::removeExpired(time_point now)
{
    while (!m_byTime.empty() && m_byTime.begin()->first <= now) {
        m_until.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

} // namespace bamboohead
