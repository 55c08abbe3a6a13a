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

/// @brief Fault that the store simulates.
enum class store_fault : std::uint8_t {
    ok,          ///< no fault
    down,        ///< responds with status 503 without executing the call, and ends watches
    slow,        ///< executes the call after a delay
    lost_answer, ///< executes the call, then closes the connection before the response body
};

/// @brief In-memory server of three calls of the etcd v3 JSON gateway: /v3/kv/range for one key,
///        /v3/kv/txn with compares of one key and one put, and /v3/watch for one key. Keys and
///        values are stored in base64, as clients send them. It replaces the store of
///        `bamboohead entry`, and does not serve the calls of platform/store_api.hpp, which
///        `bamboohead dispatch-entry` sends.
///
/// Tests control it with PUT /admin/fault
/// {"mode":"ok|down|slow|lost_answer","delay_ms":..,"count":..}, which calls setFault(), and read
/// the number of calls of each kind with GET /admin/counters.
class store_server
{
public:
    store_server();
    ~store_server();
    store_server(const store_server &) = delete;
    store_server &operator=(const store_server &) = delete;

    /// @brief Starts to serve on 127.0.0.1.
    /// @param port Port to bind; 0 chooses a free one.
    /// @return The bound port, or 0 when it cannot be bound.
    int start(int port);
    void stop();

    /// @brief Applies a fault to the next `count` calls; 0: to all calls until it is changed.
    ///        Watches are not included in the count, and only store_fault::down affects them.
    /// @param delay Delay of each call, for store_fault::slow.
    void setFault(store_fault mode, std::chrono::milliseconds delay, std::uint64_t count);

    /// @brief Number of calls received.
    /// @param kind range, txn or watch.
    [[nodiscard]] std::uint64_t calls(const std::string &kind);

private:
    struct stored_value
    {
        std::string text;           ///< in base64
        std::uint64_t created = 0;  ///< store revision at which the key was created
        std::uint64_t modified = 0; ///< store revision of the newest change
        std::uint64_t version = 0;  ///< number of changes
    };

    struct change
    {
        std::string key;
        stored_value value;
    };

    void registerHandlers();
    template <typename Handler>
    void serve(const httplib::Request &request, httplib::Response &response, Handler handler);
    void serveWatch(const httplib::Request &request, httplib::Response &response);
    void serveFault(const httplib::Request &request, httplib::Response &response);
    /// @brief Fault of the current call; counts the call if the number of faults is limited.
    store_fault consumeFault();
    std::string range(const boost::json::object &request);
    std::string txn(const boost::json::object &request);
    [[nodiscard]] bool compareSucceeds(const boost::json::object &compare) const;
    void put(const boost::json::object &request);
    [[nodiscard]] boost::json::object header() const;
    [[nodiscard]] static boost::json::object encodeKeyValue(const std::string &key,
                                                            const stored_value &value);
    /// @brief Watch responses, one a line, with the changes of a key.
    /// @param position Index of the first change to report; advanced past the last one.
    [[nodiscard]] std::string changesSince(std::size_t &position, const std::string &key) const;

    httplib::Server m_server;
    std::thread m_serverThread;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    store_fault m_fault = store_fault::ok;
    std::chrono::milliseconds m_delay{};
    std::uint64_t m_remainingFaults = 0;
    std::uint64_t m_revision = 1;
    std::map<std::string, stored_value> m_values;
    std::vector<change> m_changes;
    std::map<std::string, std::uint64_t> m_counters;
};

} // namespace standins
