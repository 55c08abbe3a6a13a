#include "bamboohead/dispatch/start_ledger.hpp"

#include <algorithm>

namespace bamboohead {

void start_ledger::setEnd(start_map::iterator start, time_point until)
{
    m_byEnd.erase({start->second.until, start->first});
    start->second.until = until;
    m_byEnd.emplace(until, start->first);
}

void start_ledger::remove(start_map::iterator start)
{
    m_byEnd.erase({start->second.until, start->first});
    const auto sameEndpoint = m_byEndpoint.find(start->second.endpoint);
    sameEndpoint->second.erase(start->first);
    if (sameEndpoint->second.empty()) {
        m_byEndpoint.erase(sameEndpoint);
    }
    m_starts.erase(start);
}

bool start_ledger::record(const batch_task &task, std::string_view target,
                          std::string_view endpoint, time_point until, time_point now)
{
    until = std::min(until, now + m_limits.maxStartDelay);
    const auto [start, added] = m_starts.try_emplace({task, std::string{target}});
    if (added) {
        start->second.endpoint = endpoint;
        m_byEndpoint[start->second.endpoint].insert(start->first);
    } else if (until <= start->second.until) {
        return false;
    }
    setEnd(start, until);
    if (m_starts.size() > m_limits.maxStarts) {
        remove(m_starts.find(m_byEnd.begin()->second));
    }
    return added;
}

void start_ledger::endDoubts(std::string_view endpoint, std::string_view clearedTarget,
                             time_point now)
{
    const auto found = m_byEndpoint.find(endpoint);
    if (found == m_byEndpoint.end()) {
        return;
    }
    const auto end = now + m_limits.replacedTargetLease;
    for (const auto &key : found->second) {
        const auto start = m_starts.find(key);
        if (key.second != clearedTarget && start->second.until > end) {
            setEnd(start, end);
        }
    }
}

void start_ledger::removeExpired(time_point now)
{
    while (!m_byEnd.empty() && m_byEnd.begin()->first <= now) {
        remove(m_starts.find(m_byEnd.begin()->second));
    }
}

std::optional<std::string_view> start_ledger::targetOf(const batch_task &task, time_point now) const
{
    std::optional<std::string_view> target;
    for (auto start = m_starts.lower_bound({task, {}});
         start != m_starts.end() && start->first.first == task; ++start) {
        if (start->second.until > now) {
            target = target ? std::string_view{} : std::string_view{start->first.second};
        }
    }
    return target;
}

time_point start_ledger::doubtEnd(const batch_task &task, std::string_view target) const
{
    const auto start = m_starts.find({task, std::string{target}});
    return start == m_starts.end() ? time_point{} : start->second.until;
}

} // namespace bamboohead
