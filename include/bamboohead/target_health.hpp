#pragma once

#include "bamboohead/types.hpp"

#include <memory>

namespace bamboohead {

/// @brief Finds targets that fail whatever they start, without blaming targets for jobs that can
///        never run.
///
/// An agent is suspended after failures of at least 3 distinct jobs in 10 s when its failure ratio
/// is above 5 times that of the others. A job counts once an agent; a job that failed on two or
/// more agents counts for none. Suspensions start at 1 s, double up to 60 s, and end with a probe
/// of one task.
class target_health
{
public:
    target_health();
    ~target_health();
    target_health(target_health &&) noexcept;

    /// @brief A task of `job` ended on `agent`.
    void taskEnded(incarnation_id agent, const job_id &job, bool failed, time_point now);

    /// @brief An order was sent to `agent`; a suspended agent then waits for its probe to end.
    void orderSent(incarnation_id agent, time_point now);

    /// @brief Whether an order may be sent to `agent` now.
    [[nodiscard]] bool usable(incarnation_id agent, time_point now) const;
    void remove(incarnation_id agent);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
