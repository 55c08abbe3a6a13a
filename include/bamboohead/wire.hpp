#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"

#include "bamboohead.pb.h"

namespace bamboohead {

/// @brief Conversions between the identifiers of the decision code and their protobuf form.
/// @{
[[nodiscard]] job_home fromWire(const wire::Home &home);
[[nodiscard]] job_id fromWire(const wire::JobId &id);
[[nodiscard]] task_ref fromWire(const wire::TaskRef &ref);
void toWire(const job_home &home, wire::Home &out);
void toWire(const job_id &id, wire::JobId &out);
void toWire(const task_ref &ref, wire::TaskRef &out);
/// @}

/// @brief Reads an error number received from a peer.
/// @return The kind; `error_kind::internal` when the number is not assigned.
[[nodiscard]] error_kind errorFromWire(std::uint32_t number) noexcept;

/// @brief Number of a kind on the wire.
[[nodiscard]] constexpr std::uint32_t toWire(error_kind kind) noexcept
{
    return static_cast<std::uint32_t>(kind);
}

} // namespace bamboohead
