#pragma once

#include "bamboohead/detail/entry/context.hpp"

#include <boost/json/value.hpp>

namespace bamboohead::detail {

/// @brief State of an entry as JSON, for operators.
[[nodiscard]] boost::json::value dumpState(const entry_context &context);

} // namespace bamboohead::detail
