#pragma once

#include "bamboohead/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace bamboohead {

/// @brief A request that waits for its response; a connection has one at a time.
enum class http_exchange : std::uint64_t {};

using http_server_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_server_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief Limits of a server's connections.
struct async_http_limits
{
    std::uint64_t bodyBytes = 262'144;
    std::uint32_t headerBytes = 16'384;
    /// A connection that carries nothing for this long is closed.
    duration idle = std::chrono::seconds{60};
    std::size_t connections = 3'000;
};

/// @brief HTTP/1.1 server on the thread of an io_context.
///
/// Unlike the thread-per-connection server of the process's own interface it holds many waiting
/// requests, and tells at once when the caller of one of them has left.
class async_http_server
{
public:
    using request_handler = std::function<void(http_exchange, const http_server_request &)>;
    using gone_handler = std::function<void(http_exchange)>;

    /// @throw boost::system::system_error when the address cannot be bound.
    async_http_server(boost::asio::io_context &context, const std::string &address,
                      async_http_limits limits, request_handler onRequest, gone_handler onGone);
    ~async_http_server();
    async_http_server(const async_http_server &) = delete;
    async_http_server &operator=(const async_http_server &) = delete;

    /// @brief Answers a request; nothing happens when its connection is gone.
    void respond(http_exchange exchange, http_server_response response);
    /// @brief From now on each response ends its connection.
    void closeAfterResponses();
    /// @brief Accepts no further connections and closes those without a request.
    void closeIdle();
    /// @brief Whether a response is still being sent.
    [[nodiscard]] bool sending() const;
    [[nodiscard]] std::size_t connections() const;
    /// @brief Port that is bound.
    [[nodiscard]] std::uint16_t port() const;

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace bamboohead
