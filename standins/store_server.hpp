#pragma once

#include <boost/json/value.hpp>

#include <httplib.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace standins {

/// @brief How the store treats calls.
enum class store_fault : std::uint8_t {
    ok,
    down,        ///< answers 503 without any effect and ends watches
    slow,        ///< processes after a delay
    lost_answer, ///< processes, then closes the connection instead of answering
};

/// @brief In-memory server of three calls of the etcd v3 JSON gateway: /v3/kv/range of one key,
///        /v3/kv/txn with compares on one key and one put, and /v3/watch of one key. Keys and
///        values stay in base64, as the clients send them.
///
/// Administration: PUT /admin/fault {"mode":"ok|down|slow|lost_answer","delay_ms":..,"count":..}
/// (count 0: until changed; a watch is not counted), GET /admin/counters.
class store_server
{
public:
    store_server();
    ~store_server();
    store_server(const store_server &) = delete;
    store_server &operator=(const store_server &) = delete;

    /// @brief Serves on 127.0.0.1.
    /// @param port 0 chooses a free one.
    /// @return The port, or 0 when it cannot be bound.
    int start(int port);
    void stop();

    /// @brief Applies a fault to the next `count` calls (0: to all).
    void setFault(store_fault mode, std::chrono::milliseconds delay, std::uint64_t count);

    /// @brief Calls received of one kind: range, txn or watch.
    [[nodiscard]] std::uint64_t calls(const std::string &kind);

private:
    struct stored_value
    {
        std::string text;
        std::uint64_t created = 0;
        std::uint64_t modified = 0;
        std::uint64_t version = 0;
    };

    struct change
    {
        std::string key;
        stored_value value;
    };

    void route();
    template <typename Process>
    void serve(const httplib::Request &request, httplib::Response &response, Process process);
    void serveWatch(const httplib::Request &request, httplib::Response &response);
    void serveFault(const httplib::Request &request, httplib::Response &response);
    store_fault takeFault();
    std::string range(const boost::json::object &request);
    std::string txn(const boost::json::object &request);
    [[nodiscard]] bool holds(const boost::json::object &compare) const;
    void put(const boost::json::object &request);
    [[nodiscard]] boost::json::object header() const;
    [[nodiscard]] static boost::json::object pair(const std::string &key,
                                                  const stored_value &value);
    [[nodiscard]] std::string changesSince(std::size_t &position, const std::string &key) const;

    httplib::Server m_server;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    store_fault m_fault = store_fault::ok;
    std::chrono::milliseconds m_delay{};
    std::uint64_t m_faultsLeft = 0;
    std::uint64_t m_revision = 1;
    std::map<std::string, stored_value> m_values;
    std::vector<change> m_changes;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace standins
