#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/run_ref.hpp"

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>

namespace bamboohead {

/// @brief The jobs that callers have cancelled, for as long as a repeat of their request may
///        arrive.
class cancel_ledger
{
public:
    /// Bounds the memory to some 10 MB. When it is exceeded, the cancellation that would be
    /// forgotten first is forgotten.
    static constexpr std::size_t maxJobs = 100'000;

    /// @brief Remembers the cancellation of a job at least until `until`.
    void record(batch_job_id job, time_point until);
    [[nodiscard]] bool contains(batch_job_id job) const { return m_until.contains(job); }
    void removeExpired(time_point now);

private:
    std::unordered_map<batch_job_id, time_point> m_until;
    std::set<std::pair<time_point, batch_job_id>> m_byTime;
};

} // namespace bamboohead
