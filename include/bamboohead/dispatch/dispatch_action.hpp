#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/dispatch/target_calls.hpp"
#include "bamboohead/error_kind.hpp"

#include <cstdint>
#include <variant>

namespace bamboohead {

/// @brief State of a job as its caller sees it.
enum class batch_job_state : std::uint8_t { pending, running, succeeded, failed, cancelled };

/// @brief Answer to a waiting caller. `error` is none when the job has ended.
struct job_reply
{
    caller_request request{};
    batch_job_state state = batch_job_state::failed;
    error_kind error = error_kind::none;
    duration retryAfter{}; ///< with a refusal: when it makes sense to try again
    duration took{};       ///< since the job was received; 0 for a refusal
};

using dispatch_action =
        std::variant<send_message, log_event, target_call, job_reply, shutdown_complete>;

} // namespace bamboohead
