#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/dispatch/target_calls.hpp"
#include "bamboohead/error_kind.hpp"

#include <cstdint>
#include <variant>

namespace bamboohead {

/// @brief State of a job as reported to its caller.
enum class batch_job_state : std::uint8_t { pending, running, succeeded, failed, cancelled };

/// @brief Answer to a waiting caller. `error` states why the job was refused or cancelled; it is
///        `none` when `state` is the job's result. For a refusal `state` is `failed`.
struct job_reply
{
    caller_request request{};
    batch_job_state state = batch_job_state::failed;
    error_kind error = error_kind::none;
    duration retryAfter{};   ///< of a refusal: shortest time after which to try again
    duration responseTime{}; ///< time since the job was received; 0 for a refusal or a known result
};

/// @brief Output of the scheduling logic of entries and agents, which the process executes.
using dispatch_action =
        std::variant<send_message, log_event, target_call, job_reply, shutdown_complete>;

} // namespace bamboohead
