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

/// @brief Handle of a waiting caller, chosen by the HTTP adapter.
enum class caller_request : std::uint64_t {};

/// @brief Send one envelope; lost, late and duplicate delivery must be expected.
struct send_message
{
    std::string endpoint;
    wire::Envelope envelope;
};

/// @brief Write one key=value log line.
struct log_event
{
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// @brief Answer a waiting caller.
struct answer_caller
{
    caller_request request;
    job_answer answer;
};

/// @brief Tell a caller the session it asked for; `error` is set when it was refused.
struct session_answer
{
    caller_request request;
    session_id session;
    duration expiresIn;
    error_kind error = error_kind::none;
};

/// @brief Run one task on the local target.
struct run_task
{
    task_ref ref;
    std::string service;
    std::string payload;
    duration timeout; ///< time left until the job's deadline
};

/// @brief The process has finished its graceful shutdown and may exit.
struct shutdown_complete
{};

using entry_action =
        std::variant<send_message, log_event, answer_caller, session_answer, shutdown_complete>;
using agent_action = std::variant<send_message, log_event, run_task, shutdown_complete>;

} // namespace bamboohead
