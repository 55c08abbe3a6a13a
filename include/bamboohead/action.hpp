#pragma once

#include "bamboohead/job.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Identifies the pending request of a caller; assigned by the adapter that received it.
enum class caller_request : std::uint64_t {};

/// @brief Sends one envelope. It may be lost, delayed or delivered more than once.
struct send_message
{
    std::string endpoint;
    wire::Envelope envelope;
};

/// @brief Writes one log line of key=value fields.
struct log_event
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// @brief Answers the pending request of a caller.
struct answer_caller
{
    caller_request request;
    job_answer answer;
};

/// @brief Answers a caller's request for a session, like answer_caller for a job. When the session
///        is refused, `error` gives the reason.
struct answer_session_request
{
    caller_request request;
    session_id session; ///< default value when refused
    duration expiresIn; ///< how long the session accepts new jobs; zero when refused
    error_kind error = error_kind::none;
};

/// @brief Runs one task on the local target.
struct run_task
{
    task_ref ref;
    std::string service;
    std::string payload;
    duration timeout; ///< remaining time until the job's deadline
    /// When the proof on which the start was decided expires. The task must not start later, also
    /// when the process is suspended between the decision and the start.
    time_point validUntil = time_point::max();
};

/// @brief Signals that the graceful shutdown has finished and the process may exit.
struct shutdown_complete
{};

using entry_action = std::variant<send_message, log_event, answer_caller, answer_session_request,
                                  shutdown_complete>;
using agent_action = std::variant<send_message, log_event, run_task, shutdown_complete>;

} // namespace bamboohead
