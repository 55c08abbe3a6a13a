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
    answered,
    not_sent,   ///< no connection came about, so the peer has not seen the request
    unanswered, ///< the peer may have handled the request, or may do so later
};

/// @brief HTTP/1.1 client on the thread of an io_context; keeps connections and reuses them.
class async_http_client
{
public:
    using response_handler = std::function<void(http_call_end, const http_client_response &)>;

    explicit async_http_client(boost::asio::io_context &context);
    ~async_http_client();
    async_http_client(const async_http_client &) = delete;
    async_http_client &operator=(const async_http_client &) = delete;

    /// @brief Sends a request and waits for its response, at most `timeout` in all.
    /// @param address host:port, an IPv4 address
    void call(const std::string &address, http_client_request request, duration timeout,
              response_handler handler);

private:
    class implementation;
    std::shared_ptr<implementation> m_impl;
};

} // namespace bamboohead
