#pragma once

#include "bamboohead/action.hpp"
#include "bamboohead/agent_core.hpp"
#include "bamboohead/detail/http/json_reader.hpp"
#include "bamboohead/job.hpp"

#include <string>
#include <string_view>

namespace bamboohead::detail {

/// @brief Longest deadline of a job: the validity of a session.
inline constexpr std::chrono::milliseconds maxDeadline = std::chrono::minutes{10};

/// @brief Reads the body of `POST /v1/jobs`.
[[nodiscard]] boost::leaf::result<job_submission> parseSubmission(std::string_view body);

/// @brief Announcement of a target together with its address.
struct target_request
{
    target_announcement announcement;
    std::string address; ///< host:port
};

/// @brief Reads the body of `PUT /v1/target`.
[[nodiscard]] boost::leaf::result<target_request> parseTarget(std::string_view body);

/// @brief Body of an answer to a caller.
[[nodiscard]] std::string toJson(const job_answer &answer);

/// @brief Body of the answer to `POST /v1/sessions`.
[[nodiscard]] std::string toJson(const session_answer &answer);

/// @brief Body that reports a request_fault.
[[nodiscard]] std::string toJson(const request_fault &fault);

/// @brief HTTP status of an answer.
[[nodiscard]] int httpStatus(const job_answer &answer);

} // namespace bamboohead::detail
