#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/entry_core.hpp"
#include "bamboohead/transport.hpp"

#include <memory>
#include <string>

namespace bamboohead {

/// @brief Metrics of one process in the Prometheus text format. Thread-safe.
class process_metrics
{
public:
    process_metrics();
    ~process_metrics();
    process_metrics(const process_metrics &) = delete;
    process_metrics &operator=(const process_metrics &) = delete;

    /// @brief Takes counters; they only grow. Called by the control thread.
    /// @{
    void update(const entry_counters &counters);
    void update(const agent_counters &counters);
    void update(const transport_counters &counters);
    void update(const dispatch_entry_counters &counters);
    void update(const dispatch_agent_counters &counters);
    /// @}

    /// @brief Time from the arrival of a submission to its answer.
    void observeResponse(duration time);
    /// @brief Run time of a task as seen by the agent.
    void observeTask(duration time);
    /// @brief Work of one pass of the control loop, without its wait.
    void observeLoop(duration time);

    /// @brief All metrics in the text exposition format.
    [[nodiscard]] std::string serialize() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
