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
    std::uint64_t count = 0; ///< starts of this task in this process, this one included
    std::int64_t time = 0;   ///< microseconds of the machine's steady clock
    int port = 0;            ///< of the target
};

/// @brief Independent record of what targets really started. May be used from any thread.
class journal
{
public:
    /// @param file Gets a line `time job task port label` a start, appended; empty: none.
    journal(std::string label, const std::string &file);

    void recordStart(const std::string &job, const std::string &task, int port);

    /// @brief Starts, tasks that started more than once, and, if wanted, each start.
    [[nodiscard]] boost::json::object dump(bool entries);

private:
    std::string m_label;
    std::mutex m_mutex;
    std::ofstream m_file;
    std::vector<journal_entry> m_entries;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_counts;
    std::uint64_t m_repeated = 0;
};

} // namespace standins
