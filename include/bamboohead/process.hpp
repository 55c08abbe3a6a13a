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

/// @brief Runs an entry for the users' platform (the system in which the users' callers and targets
///        run) until SIGTERM or SIGINT, and then its graceful shutdown. Unlike runEntry(), it
///        accepts jobs in the platform's HTTP format (platform/caller_api.hpp), follows the
///        platform's store, and uses dispatch_entry instead of entry_core: jobs have no sessions
///        and are not replicated to a backup. Does not return: the process ends with exit code 0.
/// @param settingsFile Path of the settings, reloaded on SIGHUP and when the file changes.
/// @throw std::runtime_error when an address cannot be bound.
void runDispatchEntry(const process_settings &settings, const std::string &settingsFile);

/// @brief Runs an agent for the users' platform until SIGTERM or SIGINT, and then its graceful
///        shutdown. Unlike runAgent(), it uses dispatch_agent instead of agent_core, and exchanges
///        reports and calls with its target in the platform's HTTP format
///        (platform/target_api.hpp). Does not return: the process ends with exit code 0.
/// @param settingsFile Path of the settings, reloaded on SIGHUP and when the file changes.
/// @throw std::runtime_error when an address cannot be bound.
void runDispatchAgent(const process_settings &settings, const std::string &settingsFile);

} // namespace bamboohead
