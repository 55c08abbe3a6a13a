#include "bamboohead/dispatch/start_ledger.hpp"

#include <algorithm>

namespace bamboohead {

void start_ledger::setEnd(const batch_task &task, start_in_doubt &start, time_point until)
{
    m_byEnd.erase({start.until, task});
    start.until = until;
    m_byEnd.emplace(until, task);
}

bool start_ledger::record(const batch_task &task, std::string_view target, time_point until)
{
    auto [position, added] = m_tasks.try_emplace(task);
    auto &start = position->second;
    if (!added && until <= start.until) {
        return false;
    }
    const bool bound = added || start.target != target;
    start.target = target;
    setEnd(task, start, until);
    if (m_tasks.size() > m_limits.maxTasks) {
        const auto first = m_byEnd.begin();
        m_tasks.erase(first->second);
        m_byEnd.erase(first);
    }
    return bound;
}

void start_ledger::endDoubts(std::string_view replacedTarget, time_point now)
{
    const auto end = now + m_limits.replacedTargetLease;
    for (auto &[task, start] : m_tasks) {
        if (start.target == replacedTarget && start.until > end) {
            setEnd(task, start, end);
        }
    }
}

void start_ledger::removeExpired(time_point now)
{
    while (!m_byEnd.empty() && m_byEnd.begin()->first <= now) {
        m_tasks.erase(m_byEnd.begin()->second);
        m_byEnd.erase(m_byEnd.begin());
    }
}

std::string_view start_ledger::targetOf(const batch_task &task, time_point now) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() || found->second.until <= now
                   ? std::string_view{}
                   : std::string_view{found->second.target};
}

} // namespace bamboohead
