#pragma once

#include "bamboohead/config_review.hpp"
#include "bamboohead/dispatch/desired_state.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief The value to which a finding in a desired_state belongs.
enum class state_field : std::uint8_t {
    route_name,
    route_host,
    route_prefix,
    route_service,
    route_stretch,
    route_timeout,
    service,
    body_limit,
};

/// @brief One finding in a desired_state.
struct state_finding
{
    finding_kind kind = finding_kind::never_used;
    state_field field = state_field::route_name;
    std::size_t index = 0; ///< of the route or service
    std::string message;
};

/// @brief Finds the routes and services that can never be used, and values that contradict each
///        other.
[[nodiscard]] std::vector<state_finding> reviewState(const desired_state &state);

} // namespace bamboohead
