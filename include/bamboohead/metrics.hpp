#pragma once

#include "bamboohead/agent_core.hpp"
#include "bamboohead/async_http_server.hpp"
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

    /// @brief Updates the metrics from counters, which must not decrease. Called by the control
    ///        thread, which runs the control loop.
    /// @{
    void update(const entry_counters &counters);
    void update(const agent_counters &counters);
    void update(const transport_counters &counters);
    void update(const dispatch_entry_counters &counters);
    void update(const dispatch_agent_counters &counters);
    void update(const async_http_counters &counters);
    /// @}

    /// @brief Records the time from the arrival of a submission to its answer.
    void observeResponse(duration time);
    /// @brief Records the run time of a task as measured by the agent.
    void observeTask(duration time);
    /// @brief Records the processing time of one pass of the control loop, without its wait.
    void observeLoop(duration time);

    /// @brief Formats all metrics in the text exposition format.
    [[nodiscard]] std::string serialize() const;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
