#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace standins {

/// @brief One start of a task on a target.
struct journal_entry
{
    std::string job;
    std::string task;
    std::uint64_t count = 0; ///< starts of this task in this process, including this one
    std::int64_t time = 0; ///< microseconds of the host's steady clock, the same for all processes
    int port = 0;          ///< port of the target
};

/// @brief Record of the task starts on targets, kept independently of the dispatcher so that tests
///        can check its reports. Safe to use from any thread.
class journal
{
public:
    /// @param label Identifies this process in the file and in dump().
    /// @param file File to which a line `time job task port label` is appended for each start; if
    ///        empty, no file is written.
    journal(std::string label, const std::string &file);

    void recordStart(const std::string &job, const std::string &task, int port);

    /// @brief Number of starts, number of tasks that started more than once, and the current time.
    /// @param entries Whether to add each start.
    [[nodiscard]] boost::json::object dump(bool entries);

private:
    std::string m_label;
    std::mutex m_mutex;
    std::ofstream m_file;
    std::vector<journal_entry> m_entries;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_counts;
    std::uint64_t m_repeatedTasks = 0;
};

} // namespace standins
