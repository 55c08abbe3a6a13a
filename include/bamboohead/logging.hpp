#pragma once

#include "bamboohead/settings.hpp"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Keys and values of a log line, in the order of output.
using log_fields = std::vector<std::pair<std::string, std::string>>;

/// @brief Formats a value of a key=value line. The value is quoted and escaped when it is empty or
///        contains spaces, quotes, equals signs, backslashes or control characters.
[[nodiscard]] std::string escapeLogValue(std::string_view value);

/// @brief Formats a line as `event=<name> key=value ...`.
[[nodiscard]] std::string formatLogLine(std::string_view name, const log_fields &fields);

/// @brief Log of the process; opened by the constructor, flushed and closed by the destructor. At
///        most one may exist at a time, which is not checked.
///
/// For a file and for standard error, lines go through a bounded queue to a writer thread, so a
/// slow disk or pipe blocks the control thread (which runs the control loop of the process) only
/// when the queue is full. Lines for standard output are buffered until flushLog() is called, and
/// dropped when the buffer is full. When a file cannot be opened, nothing is reported and all lines
/// are lost.
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

/// @brief Logs one line, unless its severity is too low or no log_session exists. Thread-safe.
void logLine(log_level level, std::string_view name, const log_fields &fields);

/// @brief Writes buffered lines to standard output without blocking. Processes that log to standard
///        output call it regularly; without such a log it does nothing.
void flushLog();

} // namespace bamboohead
