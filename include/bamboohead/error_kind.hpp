#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bamboohead {

/// @brief All error kinds. The numbers are part of the public interface and don't change; they are
///        documented in docs/errors.md.
enum class error_kind : std::uint16_t {
    none = 0,
    // 1xx (error numbers, not HTTP statuses): the request is invalid.
    invalid_request = 101,
    content_mismatch = 102,
    unknown_job = 103,
    body_too_large = 104,
    // 2xx: the entry refused the job before any task ran. Agents also refuse start orders with
    // `stopping`, `no_target`, `unknown_service` and `overloaded`, and with `invalid_request` and
    // `deadline_exceeded` of the other groups.
    overloaded = 201, // not expected to meet its deadline, or no capacity for another job or order
    quota_exceeded = 202,
    too_many_waiters = 203,
    stopping = 204, // the entry or the agent is stopping
    no_target = 205,
    not_current = 206,
    unknown_service = 207, // not in the manifest, or not the service of the agent's target
    unknown_team = 208,
    unknown_route = 209,
    unsupported_job = 210, // see batch_submission::bestEffort and usesUnsupportedFeature
    // 3xx: the job failed; tasks may have run.
    task_failed = 301,
    outcome_unknown = 302,
    deadline_exceeded = 303,
    cancelled = 304,
    answer_expired = 305,
    session_expired = 306,
    interrupted = 307, // the entry stopped before the job had ended
    // 4xx: an agent refused a start order before it started the task. With `order_duplicate`,
    // another order may have started it.
    order_stale = 401,
    order_fenced = 402,
    order_duplicate = 403,
    zone_out = 404,
    target_leaving = 405,
    no_credit = 406,
    agent_not_current = 407,
    target_refused = 408,
    order_void = 409, // withdrawn, or unknown when queried; the agent never starts the order
    no_room = 410,
    // 5xx: errors of the configuration, the store or the process.
    manifest_invalid = 501,
    manifest_conflict = 502,
    store_unavailable = 503,
    store_outcome_unknown = 504,
    settings_invalid = 505,
    internal = 599,
};

/// @brief Whether tasks of the job may have run when a caller receives an error.
enum class run_evidence : std::uint8_t {
    /// No task of the refused job ran or will run. For a refused order: the attempt did not and
    /// will not run, but the entry may send another one.
    not_run,
    may_have_run, ///< at least one task may have run
};

/// @brief Row of the error table: how an error kind is reported to callers and operators.
struct error_info
{
    error_kind kind;
    std::string_view name;
    int httpStatus;
    run_evidence evidence;
    std::string_view message;
};

/// @brief The error table, ordered by number.
[[nodiscard]] std::span<const error_info> errorTable() noexcept;

/// @brief The table row of an error kind; that of `internal` for a value that is not in the table.
[[nodiscard]] const error_info &errorInfo(error_kind kind) noexcept;

/// @brief Finds an error kind by its number.
/// @return The kind, or nothing when the number is not assigned.
[[nodiscard]] std::optional<error_kind> errorKindFromNumber(std::uint32_t number) noexcept;

} // namespace bamboohead
