#pragma once

#include "bamboohead/types.hpp"

#include <memory>

namespace bamboohead {

/// @brief Detects targets on which tasks fail much more often than on others, and suspends their
///        agents, without counting the failures of jobs that fail everywhere.
///
/// An agent is suspended when at least 3 distinct jobs failed on it within 10 s and its failure
/// ratio is above 5 times that of the other agents. A job counts at most once per agent, and a job
/// that failed on two or more agents is not counted as a failure of any of them. An agent is not
/// suspended while no other agent is known.
///
/// A suspension lasts 1 s at first. After it, one start order is sent as a probe. The first task
/// that ends on the agent after that counts as the probe's result, even if it was started earlier:
/// if it succeeded, the suspension ends; if it failed, the agent is suspended for twice as long, up
/// to 60 s. A failure of a job that also failed on other agents does not extend the suspension, and
/// the next order is a probe again.
class target_health
{
public:
    target_health();
    ~target_health();
    target_health(target_health &&) noexcept;

    /// @brief Records that a task of `job` ended on `agent`, and suspends the agent if due.
    void taskEnded(incarnation_id agent, const job_id &job, bool failed, time_point now);

    /// @brief Records that a start order was sent to `agent`. After a suspension the order is the
    ///        probe, and the agent is not usable until a task ends on it or 10 s have passed.
    void orderSent(incarnation_id agent, time_point now);

    /// @brief Whether a start order may be sent to `agent` now; true for an unknown agent.
    [[nodiscard]] bool usable(incarnation_id agent, time_point now) const;

    /// @brief Drops all records of an agent.
    void remove(incarnation_id agent);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
