#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"

#include "bamboohead.pb.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace bamboohead {

/// @brief Conversions between identifiers and their protobuf form.
/// @{
[[nodiscard]] job_home fromWire(const wire::Home &home);
[[nodiscard]] job_id fromWire(const wire::JobId &id);
[[nodiscard]] task_ref fromWire(const wire::TaskRef &ref);
void toWire(const job_home &home, wire::Home &out);
void toWire(const job_id &id, wire::JobId &out);
void toWire(const task_ref &ref, wire::TaskRef &out);
/// @}

/// @brief Converts an error number received from a peer.
/// @return The kind; `error_kind::internal` when the number is unassigned.
[[nodiscard]] error_kind errorFromWire(std::uint32_t number) noexcept;

/// @brief Number that represents an error kind in messages.
[[nodiscard]] constexpr std::uint32_t toWire(error_kind kind) noexcept
{
    return static_cast<std::uint32_t>(kind);
}

/// @brief Names of the message kinds: the field names of the envelope's payload, in field order.
inline constexpr std::array<std::string_view, 24> messageKinds{
        "hello",        "member_list",      "entry_heartbeat", "agent_heartbeat", "start_tasks",
        "task_updates", "update_ack",       "task_query",      "record_put",      "record_ack",
        "record_close", "record_close_ack", "scope_update",    "scope_ack",       "fence_request",
        "fence_report", "home_stopping",    "job_forward",     "job_reply",       "config_pull",
        "config_push",  "dispatch_orders",  "dispatch_report", "entry_sync",
};

/// @brief Kind of an envelope's payload.
/// @return Index into messageKinds; messageKinds.size() when the payload is missing or unknown.
[[nodiscard]] std::size_t messageKind(const wire::Envelope &envelope) noexcept;

} // namespace bamboohead
