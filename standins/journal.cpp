#include "journal.hpp"

#include <chrono>

namespace standins {

namespace {

std::int64_t steadyMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace

journal::journal(std::string label, const std::string &file)
    : m_label{std::move(label)}
{
    if (!file.empty()) {
        m_file.open(file, std::ios::app);
    }
}

void journal::recordStart(const std::string &job, const std::string &task, int port)
{
    const std::lock_guard lock{m_mutex};
    const auto count = ++m_counts[{job, task}];
    m_repeatedTasks += count == 2 ? 1 : 0;
    m_entries.push_back(journal_entry{job, task, count, steadyMicroseconds(), port});
    if (m_file.is_open()) {
        // Each line is written at once and flushed, since several processes append to the file.
        const auto &entry = m_entries.back();
        m_file << std::to_string(entry.time) + " " + job + " " + task + " " + std::to_string(port) +
                          " " + m_label + "\n"
               << std::flush;
    }
}

boost::json::object journal::dump(bool entries)
{
    const std::lock_guard lock{m_mutex};
    boost::json::object result{{"label", m_label},
                               {"now_us", steadyMicroseconds()},
                               {"starts", m_entries.size()},
                               {"started_more_than_once", m_repeatedTasks}};
    if (!entries) {
        return result;
    }
    boost::json::array list;
    for (const auto &entry : m_entries) {
        list.push_back(boost::json::object{{"job", entry.job},
                                           {"task", entry.task},
                                           {"count", entry.count},
                                           {"time_us", entry.time},
                                           {"port", entry.port}});
    }
    result["entries"] = std::move(list);
    return result;
}

} // namespace standins
