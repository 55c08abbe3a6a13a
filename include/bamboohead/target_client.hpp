#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/agent_core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboohead {

/// @brief Longest result of a task; with 1,200 results an answer fits into one message.
inline constexpr std::size_t maxResultBytes = 4096;

/// @brief Time that a target has beyond the task's deadline before its connection is closed. The
///        target may still be running the task, and its slot with it.
inline constexpr duration targetGrace = std::chrono::seconds{2};

/// @brief Runs tasks on the target by `POST <target>/v1/run`, one thread a slot. Thread-safe.
///
/// A task counts as not started only when no connection could be made, or when the target says so
/// with status 503 and `X-Not-Started: 1`. Any failure after the request may have been sent counts
/// as failed. Nothing is sent twice.
class target_client
{
public:
    /// @brief Called with the end of each task, on a thread of the client.
    using end_handler = std::function<void(task_end)>;

    explicit target_client(end_handler handler);
    /// @brief Waits for the running tasks.
    ~target_client();
    target_client(const target_client &) = delete;
    target_client &operator=(const target_client &) = delete;

    /// @brief Sets the target's address, host:port, for tasks that start from now on.
    void setAddress(const std::string &address);

    /// @brief Provides threads for as many concurrent tasks; the number never shrinks.
    void reserve(std::uint32_t slots);

    /// @brief Starts a task, or queues it until a thread is free.
    void run(run_task task);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
