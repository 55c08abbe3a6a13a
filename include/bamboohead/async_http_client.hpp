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

using http_client_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_client_response = boost::beast::http::response<boost::beast::http::string_body>;

/// @brief How an HTTP call ended.
enum class http_call_end : std::uint8_t {
    answered,   ///< a complete response was received
    not_sent,   ///< the connection was not established, so the peer has not received the request
    unanswered, ///< no complete response; the peer may have handled the request, or may do so later
};

/// @brief HTTP/1.1 client on the thread of an io_context, with a pool of persistent connections.
///
/// While four connections to an address are in use, a further call waits up to 10 ms for one of
/// them before it opens another one.
class async_http_client
{
public:
    /// @brief Receives the outcome; the response is meaningful only when the call was answered.
    using response_handler = std::function<void(http_call_end, const http_client_response &)>;

    explicit async_http_client(boost::asio::io_context &context);
    ~async_http_client();
    async_http_client(const async_http_client &) = delete;
    async_http_client &operator=(const async_http_client &) = delete;

    /// @brief Sends a request and passes its response to `handler`. Handlers of calls that are
    ///        still open when the client is destroyed are not called.
    /// @param address `host:port`, where the host is an IPv4 address
    /// @param timeout Limit for the whole call, with the connection set-up.
    void call(const std::string &address, http_client_request request, duration timeout,
              response_handler handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace bamboohead
