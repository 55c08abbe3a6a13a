#pragma once

#include "bamboohead/request_budget.hpp"
#include "bamboohead/request_limits.hpp"

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace bamboohead {

/// @brief Limits of a guarded_http_server. The connection of a request that exceeds one is closed
///        without a response.
struct guarded_http_limits
{
    std::size_t maxBodyBytes = 0; ///< content of a request, without chunk headers
    /// Request line and header fields together; also one chunk header or trailer line.
    std::size_t maxHeaderBytes = 65'536;
    /// Memory that requests which were not received as a whole hold together. The content is
    /// counted twice, because the library's strings double their capacity when they grow.
    std::size_t maxUnfinishedBytes = defaultUnfinishedBytes;
    duration receiveTimeout = defaultReceiveTimeout; ///< from the first byte to the last one
    std::size_t threads = 1;                         ///< connections that are served at a time
    std::size_t maxWaitingConnections = 64;          ///< for a thread; further ones are closed
};

/// @brief HTTP server of cpp-httplib that bounds what clients can make it hold. The library itself
///        bounds neither the length of a line, nor a chunked body, nor the number of connections
///        that wait for a thread.
class guarded_http_server final : public httplib::Server
{
public:
    explicit guarded_http_server(guarded_http_limits limits);

private:
    class guarded_stream;
    class bounded_queue;

    bool process_and_close_socket(socket_t socket) override;

    /// Records the memory that the request of a socket holds, and ends the reading of the requests
    /// that exceed the budget.
    /// @param removable Whether the request is being received.
    void hold(socket_t socket, std::size_t bytes, bool removable);
    void release(socket_t socket);

    guarded_http_limits m_limits;
    std::mutex m_mutex;      ///< protects `m_budget`
    request_budget m_budget; ///< by socket; a socket is closed only after its release
};

} // namespace bamboohead
