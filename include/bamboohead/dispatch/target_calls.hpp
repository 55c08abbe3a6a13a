#pragma once

#include "bamboohead/dispatch/resources.hpp"
#include "bamboohead/dispatch/run_ref.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief One lifetime of a target, from its start to its exit. A target may restart under the same
///        id; the two lifetimes then differ only in their start time.
struct target_lifetime
{
    std::string id;
    std::int64_t startedMs = 0; ///< Unix time in milliseconds

    bool operator==(const target_lifetime &) const = default;
};

/// @brief Whether a target accepts new tasks.
enum class target_phase : std::uint8_t { serving, draining };

/// @brief Status report of a target.
struct target_report
{
    target_lifetime lifetime;
    std::uint64_t sequence = 0; ///< increases with each report of a lifetime
    std::string service;
    std::string address; ///< host:port
    std::string zone;
    target_phase phase = target_phase::serving;
    resources capacity; ///< all resources of the target, used or not
    std::vector<std::string> labels;
    /// Time on the target's own clock, in milliseconds; none: not reported. The clock begins anew
    /// with each lifetime of the target, and nothing else is assumed about its epoch.
    std::optional<std::int64_t> clockMs;
};

/// @brief Identifies a call, so that its reply can be matched.
enum class call_id : std::uint64_t {};

/// @brief Receiver and timeout of a call.
struct call_header
{
    call_id id{};
    std::string address;  ///< host:port
    std::string targetId; ///< a target with another id rejects the call
    duration timeout{};
};

/// @brief Starts a run, and extends the lease of all runs on the target.
struct start_run
{
    call_header header;
    run_ref ref;
    std::string spec;            ///< description of the task, passed to the target as it is
    std::int64_t leaseEndMs = 0; ///< end of the lease on the target's clock
    std::uint64_t fence = 0;     ///< fencing token; the target refuses calls below its highest one
};

/// @brief Stops a run. If its start call arrives later, the target refuses it.
struct stop_run
{
    call_header header;
    run_ref ref;
    std::uint64_t fence = 0;
};

/// @brief Lists the running tasks and the runs that have ended, and extends the lease.
struct list_runs
{
    call_header header;
    std::uint64_t fence = 0;
    std::uint64_t endsSeen = 0; ///< acknowledges ends up to this number; the target deletes them
    /// End of the lease on the target's clock; none: the lease is not extended.
    std::optional<std::int64_t> leaseEndMs;
    duration wait{}; ///< maximum time until the target replies if no run ends
};

using target_call = std::variant<start_run, stop_run, list_runs>;

/// @brief How a call to a target ended.
enum class call_status : std::uint8_t {
    accepted,
    refused,      ///< the reason is a call_refusal
    unhealthy,    ///< the target did nothing because it is unhealthy
    wrong_target, ///< a target with another id answered
    malformed,    ///< the target could not parse the call
    unreachable,  ///< no connection, so the call was not executed
    unanswered,   ///< no reply; the call may have been executed, or may be later
};

/// @brief Why a target refused a call.
enum class call_refusal : std::uint8_t {
    none,
    fenced,  ///< the target has seen a higher fence
    old_run, ///< this run or a later one of the task has ended or was stopped there
    late,    ///< the lease of the call has already expired
    no_room, ///< the target's free resources do not suffice
    other,
};

/// @brief How a run ended, as the target lists it. `lapsed`: without a result, in general because
///        its lease expired.
enum class run_end_kind : std::uint8_t { done, failed, stopped, lapsed };

/// @brief End of a run, as the target lists it.
struct listed_end
{
    std::uint64_t number = 0; ///< increases by one with each end in a lifetime
    run_ref ref;
    run_end_kind kind = run_end_kind::lapsed;
};

/// @brief Reply to list_runs.
struct run_listing
{
    std::int64_t startedMs = 0;    ///< start time of the lifetime that replied
    std::vector<run_ref> running;  ///< runs that are executing
    std::vector<listed_end> ended; ///< ends that are not acknowledged, lowest number first
    /// Whether `ended` has all of them. Otherwise a run that is not listed may have ended with any
    /// outcome.
    bool endsComplete = true;
};

/// @brief Reply to a call, or the report that there was none.
struct target_reply
{
    call_id id{};
    call_status status = call_status::unanswered;
    call_refusal refusal = call_refusal::none; ///< set for `refused`
    /// Time on the target's own clock, see target_report::clockMs; none: not reported.
    std::optional<std::int64_t> clockMs;
    std::optional<run_listing> listing; ///< for an accepted list_runs
};

[[nodiscard]] std::string_view toText(call_status status) noexcept;
[[nodiscard]] std::string_view toText(call_refusal refusal) noexcept;
[[nodiscard]] std::string_view toText(run_end_kind kind) noexcept;

} // namespace bamboohead
