#pragma once

#include "bamboohead/settings.hpp"

namespace bamboohead {

/// @brief Runs an entry until SIGTERM or SIGINT, and then its graceful shutdown.
/// @param settingsFile Path of the settings, reloaded on SIGHUP.
/// @throw std::runtime_error when an address cannot be bound.
void runEntry(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an agent until SIGTERM or SIGINT, and then its graceful shutdown.
/// @param settingsFile Path of the settings, reloaded on SIGHUP.
/// @throw std::runtime_error when an address cannot be bound.
void runAgent(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an entry on the interfaces of the users' platform (platform/) until it is stopped.
/// @param settingsFile Path of the settings, reloaded on SIGHUP and when the file changes.
/// @throw std::exception when an address cannot be bound.
void runDispatchEntry(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an agent on the interfaces of the users' platform (platform/) until it is stopped.
/// @param settingsFile Path of the settings, reloaded on SIGHUP and when the file changes.
/// @throw std::exception when an address cannot be bound.
void runDispatchAgent(const process_settings &settings, const std::string &settingsFile);

} // namespace bamboohead
