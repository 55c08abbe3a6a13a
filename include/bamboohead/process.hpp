#pragma once

#include "bamboohead/settings.hpp"

namespace bamboohead {

/// @brief Runs an entry until SIGTERM or SIGINT and the graceful shutdown after it.
/// @param settingsFile Read again on SIGHUP.
/// @throw std::runtime_error when an address cannot be bound.
void runEntry(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an agent until SIGTERM or SIGINT and the graceful shutdown after it.
/// @param settingsFile Read again on SIGHUP.
/// @throw std::runtime_error when an address cannot be bound.
void runAgent(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an entry on the users' platform until it is stopped.
/// @param settingsFile Read again on SIGHUP and when it changes.
/// @throw std::exception when an address cannot be bound.
void runDispatchEntry(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an agent on the users' platform until it is stopped.
/// @param settingsFile Read again on SIGHUP and when it changes.
/// @throw std::exception when an address cannot be bound.
void runDispatchAgent(const process_settings &settings, const std::string &settingsFile);

} // namespace bamboohead
