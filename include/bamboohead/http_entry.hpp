#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/http_server.hpp"
#include "bamboohead/runtime.hpp"

#include <atomic>
#include <cstdint>
#include <future>
#include <mutex>
#include <unordered_map>
#include <variant>

namespace bamboohead {

/// @brief Inputs of an entry's control thread. `request` identifies the caller that waits for the
///        reply; `wait` delays the reply until the job has ended.
/// @{

/// Opens a session, within which the caller numbers its jobs. One job_home, a pair of entries, is
/// responsible for all jobs of a session.
struct open_session_input
{
    caller_request request{};
};

struct submit_input
{
    caller_request request{};
    job_submission job;
    bool wait = true;
};

struct query_input
{
    caller_request request{};
    job_id id;
    bool wait = false;
};

struct cancel_input
{
    caller_request request{};
    job_id id;
};

/// @brief Reports that a caller no longer waits for its reply.
struct caller_disconnected_input
{
    caller_request request{};
};

/// @brief A manifest from the store. `sentAt` is the time at which its read was sent, or
///        time_point{} for a value that came from a watch, that is, without a read. Such a value
///        does not prove that the configuration is current.
struct store_read_input
{
    config_version version = config_version::none;
    std::string text;
    time_point sentAt;
};

/// @brief A manifest that the operators' tool sent with `PUT /v1/manifest`; `handled` is set after
///        the core has processed it.
struct manifest_input
{
    config_version version = config_version::none;
    std::string text;
    std::shared_ptr<std::promise<void>> handled;
};

using entry_input =
        std::variant<open_session_input, submit_input, query_input, cancel_input,
                     caller_disconnected_input, store_read_input, manifest_input, dump_input>;
/// @}

/// @brief Reply of the control thread to a waiting caller. Its content is an answer; the HTTP
///        message that carries it is the response.
using caller_reply = std::variant<job_answer, answer_session_request>;

/// @brief Table of the callers that wait for a reply of the control thread. Thread-safe.
class caller_table
{
public:
    /// @brief A waiting caller and the future of its reply.
    struct waiter
    {
        caller_request request{};
        std::future<caller_reply> reply;
    };

    /// @brief Adds a waiting caller under a new request number.
    [[nodiscard]] waiter add();
    /// @brief Passes the reply to a caller and removes it; does nothing when the caller is no
    ///        longer in the table.
    void answer(caller_request request, caller_reply reply);
    void remove(caller_request request);
    /// @brief Removes all callers at the end of the process; their futures throw std::future_error
    ///        (broken promise).
    void clear();
    /// @brief Number of waiting callers.
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_nextNumber = 1;
    std::unordered_map<std::uint64_t, std::promise<caller_reply>> m_waiting;
};

/// @brief HTTP interface of an entry for its callers.
///
/// Each waiting caller blocks one server thread. Some threads of the pool are reserved for requests
/// that are answered at once.
class http_entry
{
public:
    /// @brief Adds the routes to the server.
    /// @param maxConnections Number of the server's threads; must be greater than the number of
    ///        reserved threads (8).
    http_entry(http_server &server, std::uint32_t maxConnections, input_queue<entry_input> &inputs,
               caller_table &callers, process_metrics &metrics);

private:
    void openSession(httplib::Response &response);
    void submit(const httplib::Request &request, httplib::Response &response);
    void query(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void pushManifest(const httplib::Request &request, httplib::Response &response);

    /// Waits for the reply to a queued input.
    /// @return Nothing when the limit has passed or the process is ending.
    [[nodiscard]] std::optional<caller_reply> await(caller_table::waiter &waiter, duration limit);
    void respondJob(httplib::Response &response, const job_id &id,
                    const std::optional<caller_reply> &reply) const;
    [[nodiscard]] bool tooManyWaiters() const;

    std::uint32_t m_maxWaiters;
    input_queue<entry_input> &m_inputs;
    caller_table &m_callers;
    process_metrics &m_metrics;
    steady_clock_source m_clock;
};

} // namespace bamboohead
