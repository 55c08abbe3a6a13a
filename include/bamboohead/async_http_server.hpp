#pragma once

#include "bamboohead/request_limits.hpp"
#include "bamboohead/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboohead {

/// @brief Number that identifies a request that has not been answered; a connection has at most one
///        such request at a time.
enum class http_exchange : std::uint64_t {};

using http_server_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_server_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Limits of an async_http_server. A request that exceeds a size limit is answered 413.
struct async_http_limits
{
    std::uint64_t maxRequestBodyBytes = 262'144;
    /// Also the limit of the trailers, and of a chunk header with its extensions.
    std::uint32_t maxRequestHeaderBytes = 16'384;
    /// Memory that the requests that were not received as a whole hold together. When it is
    /// exhausted, request_budget chooses those that are answered 503 and closed.
    std::size_t maxUnfinishedBytes = defaultUnfinishedBytes;
    /// A request that was not received as a whole this long after its first byte is answered 408,
    /// and its connection is closed.
    duration receiveTimeout = defaultReceiveTimeout;
    /// A connection without an unanswered request is closed after it made no progress for this
    /// long.
    duration idleTimeout = std::chrono::seconds{60};
    /// How long a stopping server waits for a request on an open connection, and any server for the
    /// peer to close its connection after the last response.
    duration lingerTimeout = std::chrono::milliseconds{500};
    /// Requests on further connections are answered 503 without being delivered, and when those
    /// exceed a tenth of this number, and 10, further connections are closed. To make room, the
    /// connections that have waited longest for the rest of a request, or for a new one, are closed
    /// first.
    std::size_t maxConnections = 3'000;
};

/// @brief Monotonic counters of an async_http_server.
///
/// Once all connections are closed, a difference between `requests` and the sum of `responses`,
/// `disconnects` and `cutSending` is the number of requests that got no response.
struct async_http_counters
{
    std::uint64_t requests = 0;  ///< complete requests, and malformed ones
    std::uint64_t responses = 0; ///< responses that were passed to the operating system as a whole
    std::uint64_t disconnects = 0; ///< requests whose connection ended before respond()
    /// Requests for which disconnected() was true.
    std::uint64_t earlyDisconnects = 0;
    /// Connections that the server closed after it had read a part of a request.
    std::uint64_t cutReceiving = 0;
    /// Responses whose connection ended before they were passed to the operating system as a whole.
    std::uint64_t cutSending = 0;
    /// Connections closed far above `maxConnections`, or since their end cannot be watched.
    std::uint64_t overLimit = 0;
    /// Requests that were not received as a whole and were answered 503 to free memory.
    std::uint64_t overBudget = 0;
    std::uint64_t receiveTimeouts = 0; ///< requests answered 408, see `receiveTimeout`
    /// Connections closed to make room for others, see `maxConnections`.
    std::uint64_t displaced = 0;
};

/// @brief HTTP/1.1 server on the thread of an io_context.
///
/// Unlike http_server, which uses one thread per connection, it can hold many unanswered requests,
/// and reports at once when the peer of one of them has closed its connection. A peer that shuts
/// down its sending side while its request waits for respond() counts as such a peer.
class async_http_server
{
public:
    using request_handler = std::function<void(http_exchange, const http_server_request &)>;
    /// @brief Called when a connection is closed before its request was answered.
    using disconnect_handler = std::function<void(http_exchange)>;

    /// @brief Binds the address and starts to accept connections.
    /// @param address `host:port`, where the host is an IP address; port 0 selects a free port.
    /// @throw boost::system::system_error when the address cannot be bound.
    async_http_server(boost::asio::io_context &context, const std::string &address,
                      async_http_limits limits, request_handler onRequest,
                      disconnect_handler onDisconnect);
    ~async_http_server();
    async_http_server(const async_http_server &) = delete;
    async_http_server &operator=(const async_http_server &) = delete;

    /// @brief Whether the end of the connection of an unanswered request has arrived, including the
    ///        end of its peer's sending side, also behind bytes that were not read. For requests
    ///        that are not answered at once, to be called by the request handler before it handles
    ///        one. Reports other disconnects as reportDisconnects() does.
    [[nodiscard]] bool disconnected(http_exchange exchange);
    /// @brief Time since the newest bytes of the connection of an unanswered request arrived, in
    ///        whole milliseconds: at most the time that the request has waited to be handled. Zero
    ///        when it is unknown. Makes a system call.
    [[nodiscard]] duration sinceArrival(http_exchange exchange) const;
    /// @brief Closes the connections of unanswered requests whose end has arrived, including that
    ///        of the peer's sending side, and calls the disconnect handler for them. The event loop
    ///        does so too, but only when it handles the events of a connection. Makes one system
    ///        call for all connections.
    void reportDisconnects();
    /// @brief Closes the connection of an unanswered request without a response. The request counts
    ///        as disconnected, and the disconnect handler is not called.
    void abandon(http_exchange exchange);
    /// @brief Sends the response to a request; does nothing when its connection is closed.
    void respond(http_exchange exchange, http_server_response response);
    /// @brief Makes each response from now on close its connection, unless a further request on it
    ///        has arrived.
    void closeAfterResponses();
    /// @brief Closes the connections on which nothing of a request has arrived for `lingerTimeout`.
    void closeIdleConnections();
    /// @brief Stops accepting connections; to be called repeatedly until finished() returns true.
    ///        Requests on the open connections are still delivered, including those that were
    ///        waiting to be accepted, and each response closes its connection. Idle connections are
    ///        closed.
    void finish();
    /// @brief Whether, after finish(), each request has been answered as a whole and each peer has
    ///        closed its connection or had `lingerTimeout` for reading the response.
    [[nodiscard]] bool finished() const;
    /// @brief Number of open connections.
    [[nodiscard]] std::size_t connections() const;
    [[nodiscard]] const async_http_counters &counters() const noexcept;
    /// @brief Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace bamboohead
