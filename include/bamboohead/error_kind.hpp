#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bamboohead {

/// @brief Closed list of error kinds. The numbers are stable and documented in docs/errors.md.
enum class error_kind : std::uint16_t {
    none = 0,
    // The request is wrong.
    invalid_request = 101,
    content_mismatch = 102,
    unknown_job = 103,
    body_too_large = 104,
    // Refused before anything ran.
    overloaded = 201,
    quota_exceeded = 202,
    too_many_waiters = 203,
    stopping = 204,
    no_target = 205,
    not_current = 206,
    unknown_service = 207,
    unknown_team = 208,
    unknown_route = 209,
    unsupported_job = 210,
    // Failed; tasks may have run.
    task_failed = 301,
    outcome_unknown = 302,
    deadline_exceeded = 303,
    cancelled = 304,
    answer_expired = 305,
    session_expired = 306,
    // An agent refused an order before its start.
    order_stale = 401,
    order_fenced = 402,
    order_duplicate = 403,
    zone_out = 404,
    target_leaving = 405,
    no_credit = 406,
    agent_not_current = 407,
    target_refused = 408,
    order_void = 409,
    no_room = 410,
    // Configuration, store and process.
    manifest_invalid = 501,
    manifest_conflict = 502,
    store_unavailable = 503,
    store_outcome_unknown = 504,
    settings_invalid = 505,
    internal = 599,
};

/// @brief Whether work may have run when a caller receives an error kind.
enum class run_evidence : std::uint8_t {
    not_run,      ///< nothing ran and nothing will
    may_have_run, ///< at least one task may have run
};

/// @brief What a caller or an operator gets for an error kind.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    int httpStatus;
    run_evidence evidence;
    std::string_view message;
};

/// @brief The whole table, ordered by number.
[[nodiscard]] std::span<const error_answer> errorAnswers() noexcept;

/// @brief The row of an error kind.
[[nodiscard]] const error_answer &answerFor(error_kind kind) noexcept;

/// @brief Finds a kind by its stable number.
/// @return The kind, or nothing when the number is not assigned.
[[nodiscard]] std::optional<error_kind> errorKindFromNumber(std::uint32_t number) noexcept;

} // namespace bamboohead
