#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/agent_core.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboohead {

/// @brief Size limit of the result of a task; a task with a longer one is reported as failed. An
///        answer with the 1,200 results of a job fits into one message between processes
///        (maxMessageBytes).
inline constexpr std::size_t maxResultBytes = 4096;

/// @brief Time between the deadline of a task and the close of its connection. The target may still
///        be running the task then, and its slot may still be in use.
inline constexpr duration targetGrace = std::chrono::seconds{2};

/// @brief Runs tasks on the target by `POST <target>/v1/run`, with one thread for each slot.
///        Thread-safe.
///
/// A task is reported as not started only when the target's address is empty, no connection could
/// be made, run_task::validUntil has passed before the body of the request was written, or the
/// target responds with status 503 and `X-Not-Started: 1`. After any other failure
/// the request may have been sent, and the task is reported as failed. No request is sent twice.
class target_client
{
public:
    /// @brief Called with the outcome of each task, on a thread of this class.
    using end_handler = std::function<void(task_end)>;

    explicit target_client(end_handler handler);
    /// @brief Waits until all running and queued tasks have ended.
    ~target_client();
    target_client(const target_client &) = delete;
    target_client &operator=(const target_client &) = delete;

    /// @brief Sets the address of the target, host:port, for tasks that start from now on. With an
    ///        empty address, tasks end as not started.
    void setAddress(const std::string &address);

    /// @brief Starts threads until `slots` tasks can run at once. Threads are never removed.
    void ensureThreads(std::uint32_t slots);

    /// @brief Starts a task, or queues it until a thread is free. While no thread exists,
    ///        tasks stay queued; the destructor then drops them without calling the handler.
    void run(run_task task);

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
