#include "bamboohead/dispatch/crash_ledger.hpp"

namespace bamboohead {

crash_ledger::task_record &crash_ledger::update(const batch_task &task, time_point now)
{
    auto [position, added] = m_tasks.try_emplace(task);
    if (!added) {
        m_byTime.erase({position->second.updated, task});
    } else if (m_tasks.size() > m_limits.maxTasks) {
        remove(batch_task{m_byTime.begin()->second});
    }
    position->second.updated = now;
    m_byTime.emplace(now, task);
    return position->second;
}

void crash_ledger::recordLoss(const batch_task &task, time_point now)
{
    auto &record = update(task, now);
    ++record.losses;
    record.newestLoss = now;
}

bool crash_ledger::recordCrash(const batch_task &task, const target_crash &crash, time_point now)
{
    if (const auto known = m_tasks.find(task);
        known != m_tasks.end() && known->second.crashes.contains(crash)) {
        return false;
    }
    auto &record = update(task, now);
    record.crashes.insert(crash);
    return record.crashes.size() == m_limits.maxCrashes;
}

void crash_ledger::remove(const batch_task &task)
{
    const auto found = m_tasks.find(task);
    if (found != m_tasks.end()) {
        m_byTime.erase({found->second.updated, task});
        m_tasks.erase(found);
    }
}

void crash_ledger::removeExpired(time_point now)
{
    while (!m_byTime.empty() && now - m_byTime.begin()->first >= m_limits.retention) {
        remove(batch_task{m_byTime.begin()->second});
    }
}

std::size_t crash_ledger::crashes(const batch_task &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.crashes.size();
}

bool crash_ledger::givenUp(batch_job_id job) const
{
    for (auto task = m_tasks.lower_bound(batch_task{job, 0, 0});
         task != m_tasks.end() && task->first.job == job; ++task) {
        if (task->second.crashes.size() >= m_limits.maxCrashes) {
            return true;
        }
    }
    return false;
}

time_point crash_ledger::earliestStart(const batch_task &task) const
{
    constexpr std::size_t lossesBeforeWait = 2;
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() || found->second.losses < lossesBeforeWait
                   ? time_point{}
                   : found->second.newestLoss + m_limits.proofTime;
}

} // namespace bamboohead
