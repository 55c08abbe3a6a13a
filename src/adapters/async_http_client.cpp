#include "bamboohead/async_http_client.hpp"

#include "bamboohead/network_address.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bamboohead {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t maxResponseBytes = std::uint64_t{8} << 20U;
/// Connections to one address up to which a call opens a new one at once. With more, a call first
/// waits for one of them: peers answer most calls within a millisecond, and limit or charge for new
/// connections.
constexpr std::size_t preferredConnections = 4;
/// Longest wait of a call for a connection, after which a new one is opened. Calls that the peer
/// does not answer then delay other calls only by this time.
constexpr duration connectionWait = std::chrono::milliseconds{10};

/// Whether nothing has arrived on an idle connection. The peer may have closed it, or may have sent
/// bytes that no call has asked for; they would be taken for the response to the next call.
bool isQuiet(beast::tcp_stream &stream)
{
    char byte = 0;
    error_code error;
    stream.socket().non_blocking(true, error);
    if (error) {
        return false;
    }
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace

class async_http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
    explicit implementation(asio::io_context &context)
        : m_context{context}
    {}

    void call(const std::string &address, http_client_request request, duration timeout,
              response_handler handler)
    {
        auto pending = std::make_shared<pending_call>(std::move(handler));
        pending->address = address;
        pending->request = std::move(request);
        pending->request.version(11);
        pending->request.set(http::field::host, address);
        pending->request.keep_alive(true);
        pending->request.prepare_payload();
        pending->deadline = std::chrono::steady_clock::now() + timeout;
        auto &pool = m_connections[address];
        if (pool.idle.empty() && pool.inUse >= preferredConnections) {
            pool.waiting.push_back(pending);
            awaitConnection(pending);
            return;
        }
        begin(pending);
    }

    void shutDown()
    {
        m_stopped = true;
        m_connections.clear();
    }

private:
    /// A call in progress, with the connection that it uses.
    struct pending_call
    {
        explicit pending_call(response_handler onResponse)
            : handler{std::move(onResponse)}
        {}

        std::string address;
        http_client_request request;
        response_handler handler;
        std::chrono::steady_clock::time_point deadline;
        std::unique_ptr<asio::steady_timer>
                waitTimer; ///< set while the call waits for a connection
        std::unique_ptr<beast::tcp_stream> stream;
        beast::flat_buffer buffer;
        /// Renewed after an interim response.
        std::optional<http::response_parser<http::string_body>> parser;
    };

    using pending_call_ptr = std::shared_ptr<pending_call>;

    /// Connections to one address.
    struct connection_pool
    {
        std::vector<std::unique_ptr<beast::tcp_stream>> idle;
        std::size_t inUse = 0;
        std::deque<pending_call_ptr> waiting; ///< calls that wait for a connection, oldest first
    };

    void awaitConnection(const pending_call_ptr &pending)
    {
        pending->waitTimer = std::make_unique<asio::steady_timer>(m_context, connectionWait);
        pending->waitTimer->async_wait([self = shared_from_this(), pending](error_code error) {
            if (!error && !self->m_stopped &&
                std::erase(self->m_connections[pending->address].waiting, pending) > 0) {
                self->begin(pending);
            }
        });
    }

    /// Sends a call on an idle connection, or on a new one if there is none.
    void begin(const pending_call_ptr &pending)
    {
        auto &pool = m_connections[pending->address];
        ++pool.inUse;
        while (!pool.idle.empty() && !isQuiet(*pool.idle.back())) {
            pool.idle.pop_back();
        }
        if (pool.idle.empty()) {
            connect(pending);
            return;
        }
        pending->stream = std::move(pool.idle.back());
        pool.idle.pop_back();
        pending->stream->expires_at(pending->deadline);
        send(pending);
    }

    void connect(const pending_call_ptr &pending)
    {
        pending->stream = std::make_unique<beast::tcp_stream>(m_context);
        pending->stream->expires_at(pending->deadline);
        const auto address = parseAddress(pending->address);
        if (!address) {
            asio::post(m_context, [self = shared_from_this(), pending] {
                self->finish(pending, http_call_end::not_sent);
            });
            return;
        }
        const tcp::endpoint peer{asio::ip::address_v4{address->host}, address->port};
        pending->stream->async_connect(peer, [self = shared_from_this(), pending](error_code e) {
            if (e) {
                self->finish(pending, http_call_end::not_sent);
                return;
            }
            error_code ignored;
            pending->stream->socket().set_option(tcp::no_delay{true}, ignored);
            self->send(pending);
        });
    }

    void send(const pending_call_ptr &pending)
    {
        // A process that was suspended in between must not send what it decided long ago.
        if (std::chrono::steady_clock::now() >= pending->deadline) {
            asio::post(m_context, [self = shared_from_this(), pending] {
                self->finish(pending, http_call_end::not_sent);
            });
            return;
        }
        http::async_write(*pending->stream, pending->request,
                          [self = shared_from_this(), pending](error_code error, std::size_t) {
                              if (error) {
                                  self->finish(pending, http_call_end::unanswered);
                                  return;
                              }
                              self->receive(pending);
                          });
    }

    void receive(const pending_call_ptr &pending)
    {
        pending->parser.emplace();
        pending->parser->body_limit(maxResponseBytes);
        http::async_read(*pending->stream, pending->buffer, *pending->parser,
                         [self = shared_from_this(), pending](error_code error, std::size_t) {
                             if (!error && isInterim(pending->parser->get())) {
                                 self->receive(pending);
                                 return;
                             }
                             self->finish(pending, error ? http_call_end::unanswered
                                                         : http_call_end::answered);
                         });
    }

    /// Whether the response to the request is still to follow.
    static bool isInterim(const http_client_response &response)
    {
        return http::to_status_class(response.result_int()) == http::status_class::informational;
    }

    void finish(const pending_call_ptr &pending, http_call_end end)
    {
        if (m_stopped) {
            return;
        }
        const auto response = pending->parser ? pending->parser->release() : http_client_response{};
        auto &pool = m_connections[pending->address];
        --pool.inUse;
        if (end == http_call_end::answered && response.keep_alive() &&
            pending->buffer.size() == 0 && pool.idle.size() < preferredConnections) {
            pending->stream->expires_never();
            pool.idle.push_back(std::move(pending->stream));
        }
        if (!pool.waiting.empty()) {
            const auto next = std::move(pool.waiting.front());
            pool.waiting.pop_front();
            next->waitTimer->cancel();
            begin(next);
        }
        const auto handler = std::move(pending->handler);
        handler(end, response);
    }

    asio::io_context &m_context;
    std::map<std::string, connection_pool> m_connections; ///< by address
    bool m_stopped = false;
};

async_http_client::async_http_client(asio::io_context &context)
    : m_impl{std::make_shared<implementation>(context)}
{}

async_http_client::~async_http_client()
{
    m_impl->shutDown();
}

void async_http_client::call(const std::string &address, http_client_request request,
                             duration timeout, response_handler handler)
{
    m_impl->call(address, std::move(request), timeout, std::move(handler));
}

} // namespace bamboohead
