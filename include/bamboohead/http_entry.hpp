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

/// @brief Inputs of an entry's control thread.
/// @{
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

struct caller_disconnected_input
{
    caller_request request{};
};

struct store_read_input
{
    config_version version = config_version::none;
    std::string text;
    time_point sentAt;
};

/// @brief A manifest from the operators' tool; `handled` is set after the core has seen it.
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

/// @brief What a waiting caller receives.
using caller_reply = std::variant<job_answer, session_answer>;

/// @brief Callers that wait for the control thread. Thread-safe.
class caller_table
{
public:
    struct waiter
    {
        caller_request request{};
        std::future<caller_reply> reply;
    };

    [[nodiscard]] waiter add();
    /// @brief Answers a caller; does nothing when the caller is gone.
    void answer(caller_request request, caller_reply reply);
    void remove(caller_request request);
    /// @brief Breaks all waits, for the end of the process.
    void clear();
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 1;
    std::unordered_map<std::uint64_t, std::promise<caller_reply>> m_waiting;
};

/// @brief The callers' HTTP interface of an entry.
///
/// Each waiting caller occupies one server thread. The last threads of the pool stay free for
/// requests that are answered at once.
class http_entry
{
public:
    http_entry(http_server &server, std::uint32_t maxConnections, input_queue<entry_input> &inputs,
               caller_table &callers, process_metrics &metrics);

private:
    void openSession(httplib::Response &response);
    void submit(const httplib::Request &request, httplib::Response &response);
    void query(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void pushManifest(const httplib::Request &request, httplib::Response &response);

    /// Waits for the reply to an input that was pushed; nothing when the limit has passed.
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
