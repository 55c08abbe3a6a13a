#pragma once

#include "bamboohead/settings.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Fields of a log line, in order.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// @brief Formats a value of a key=value line: quoted and escaped when it is empty or contains
///        spaces, quotes, equals signs, backslashes or control characters.
[[nodiscard]] std::string escapeLogValue(std::string_view value);

/// @brief Formats `event=<name> key=value ...`.
[[nodiscard]] std::string formatLogLine(std::string_view name, const log_fields &fields);

/// @brief Owns the process's log: configured when constructed, flushed and closed when destroyed.
///
/// Lines go through a bounded queue to a writer thread, so that a slow disk or pipe does not stop
/// the control thread until the queue is full.
class log_session
{
public:
    explicit log_session(const log_settings &settings);
    ~log_session();
    log_session(const log_session &) = delete;
    log_session &operator=(const log_session &) = delete;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

/// @brief Writes one line; callable from any thread. Without a log_session nothing is written.
void logLine(log_level level, std::string_view name, const log_fields &fields);

/// @brief Writes lines that wait for standard output, without blocking. Only for processes that log
///        there; they call it from time to time.
void flushLog();

} // namespace bamboohead
