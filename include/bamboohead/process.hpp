#pragma once

#include "bamboohead/settings.hpp"

namespace bamboohead {

/// @brief Runs an entry until SIGTERM or SIGINT and the graceful shutdown after it.
/// @throw std::runtime_error when an address cannot be bound.
void runEntry(const process_settings &settings);

/// @brief Runs an agent until SIGTERM or SIGINT and the graceful shutdown after it.
/// @throw std::runtime_error when an address cannot be bound.
void runAgent(const process_settings &settings);

} // namespace bamboohead
