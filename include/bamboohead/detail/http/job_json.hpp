#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/agent_core.hpp"
#include "bamboohead/detail/http/json_reader.hpp"
#include "bamboohead/job.hpp"

#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Maximum deadline of a job, equal to sessionValidity (detail/entry/limits.hpp).
inline constexpr std::chrono::milliseconds maxDeadline = std::chrono::minutes{10};

/// @brief Parses the body of `POST /v1/jobs`. Fails with a request_fault when it is invalid.
/// @return The job with the hash of its content. Its deadline is 0, which means the default of the
///         service, when the body has no `deadline_ms`; `idempotent` is false by default.
[[nodiscard]] boost::leaf::result<job_submission> parseSubmission(std::string_view body);

/// @brief Parsed body of `PUT /v1/target`: the announcement of a target, and its address.
struct parsed_announcement
{
    target_announcement announcement;
    std::string address; ///< host:port
};

/// @brief Parses the body of `PUT /v1/target`. Fails with a request_fault when it is invalid.
[[nodiscard]] boost::leaf::result<parsed_announcement> parseTarget(std::string_view body);

/// @brief JSON body of the answer for a job.
[[nodiscard]] std::string toJson(const job_answer &answer);

/// @brief JSON body of the answer to `POST /v1/sessions`.
[[nodiscard]] std::string toJson(const answer_session_request &answer);

/// @brief JSON body of the error response for a request_fault.
[[nodiscard]] std::string toJson(const request_fault &fault);

/// @brief HTTP status code of the answer for a job.
[[nodiscard]] int httpStatus(const job_answer &answer);

} // namespace bamboohead::detail
