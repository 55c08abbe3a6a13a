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

/// @brief One lifetime of a target. A target may start again under its old id; then only the time
///        of its start differs.
struct target_life
{
    std::string id;
    std::int64_t startedMs = 0; ///< Unix time in milliseconds

    bool operator==(const target_life &) const = default;
};

/// @brief Whether a target takes new tasks.
enum class target_phase : std::uint8_t { serving, draining };

/// @brief What a target says of itself.
struct target_report
{
    target_life life;
    std::uint64_t sequence = 0; ///< grows with each report of a lifetime
    std::string service;
    std::string address; ///< host:port
    std::string zone;
    target_phase phase = target_phase::serving;
    resources capacity;
    std::vector<std::string> labels;
    std::optional<std::int64_t> clockMs; ///< the target's own clock
};

/// @brief Matches a call to the target with its reply.
enum class call_id : std::uint64_t {};

/// @brief Where a call goes and how long its reply is awaited.
struct call_header
{
    call_id id{};
    std::string address;
    std::string targetId; ///< the target refuses the call when it has another id
    duration timeout{};
};

/// @brief Starts one run, and extends the lease of everything that runs on the target.
struct start_run
{
    call_header header;
    run_ref ref;
    std::string spec;
    std::int64_t leaseEndMs = 0; ///< end of the lease on the target's clock
    std::uint64_t fence = 0;
};

/// @brief Stops one run; a run that has not arrived yet is rejected from then on.
struct stop_run
{
    call_header header;
    run_ref ref;
    std::uint64_t fence = 0;
};

/// @brief Lists runs and ends, and extends the lease.
struct list_runs
{
    call_header header;
    std::uint64_t fence = 0;
    std::uint64_t endsSeen = 0;             ///< the target forgets ends up to this number
    std::optional<std::int64_t> leaseEndMs; ///< none: the lease stays as it is
    duration wait{};                        ///< the reply waits this long for an end
};

using target_call = std::variant<start_run, stop_run, list_runs>;

/// @brief How a call to a target ended.
enum class call_status : std::uint8_t {
    accepted,
    refused,      ///< see call_refusal
    unhealthy,    ///< the target did nothing because it is not well
    wrong_target, ///< another lifetime answered
    malformed,    ///< the target does not understand the call
    unreachable,  ///< no connection, so the call was not carried out
    unanswered,   ///< may have been carried out, or may be later
};

/// @brief Why a target refused a call.
enum class call_refusal : std::uint8_t {
    none,
    fenced,  ///< the target has seen a higher fence
    old_run, ///< this run or a later one of the task has ended or was stopped there
    late,    ///< the lease would have ended already
    no_room,
    other,
};

/// @brief How a run ended, as the target lists it.
enum class run_end_kind : std::uint8_t { done, failed, stopped, lapsed };

struct listed_end
{
    std::uint64_t number = 0; ///< grows by one with each end of a lifetime
    run_ref ref;
    run_end_kind kind = run_end_kind::lapsed;
};

/// @brief Reply to list_runs.
struct run_listing
{
    std::int64_t startedMs = 0; ///< start of the lifetime that replied
    std::vector<run_ref> running;
    std::vector<listed_end> ended;
};

/// @brief Reply to a call, or its absence.
struct target_reply
{
    call_id id{};
    call_status status = call_status::unanswered;
    call_refusal refusal = call_refusal::none;
    std::optional<std::int64_t> clockMs;
    std::optional<run_listing> listing;
};

[[nodiscard]] std::string_view toText(call_status status) noexcept;
[[nodiscard]] std::string_view toText(call_refusal refusal) noexcept;
[[nodiscard]] std::string_view toText(run_end_kind kind) noexcept;

} // namespace bamboohead
