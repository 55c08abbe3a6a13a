#include "bamboohead/async_http_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <unordered_map>
#include <utility>

namespace bamboohead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t readBytes = 16'384;
constexpr auto sweepInterval = std::chrono::seconds{1};
constexpr auto acceptPause = std::chrono::milliseconds{50}; ///< after a failure to accept

tcp::endpoint parseEndpoint(const std::string &address)
{
    const auto colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

class async_http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, const std::string &address, async_http_limits limits,
                   request_handler onRequest, gone_handler onGone)
        : m_limits{limits}
        , m_onRequest{std::move(onRequest)}
        , m_onGone{std::move(onGone)}
        , m_acceptor{context, parseEndpoint(address)}
        , m_timer{context}
    {}

    void start()
    {
        accept();
        sweep();
    }

    void shutDown()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_timer.cancel();
        m_stopped = true;
        auto connections = std::exchange(m_connections, {});
        for (auto &[exchange, connection] : connections) {
            connection->close();
        }
    }

    void respond(http_exchange exchange, http_server_response response)
    {
        const auto found = m_connections.find(exchange);
        if (found == m_connections.end() || !found->second->waiting) {
            return;
        }
        const auto connection = found->second;
        connection->waiting = false;
        response.keep_alive(connection->keepAlive && !m_closing);
        response.version(11);
        response.prepare_payload();
        connection->response = std::move(response);
        ++m_sending;
        http::async_write(connection->socket, connection->response,
                          [self = shared_from_this(), connection](error_code error, std::size_t) {
                              --self->m_sending;
                              self->written(connection, error);
                          });
    }

    void closeAfterResponses() { m_closing = true; }

    void refuseConnections()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        closeUnused(std::chrono::steady_clock::now());
    }

    bool sending() const { return m_sending > 0; }
    std::size_t connections() const { return m_connections.size(); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    struct http_connection
    {
        explicit http_connection(tcp::socket accepted)
            : socket{std::move(accepted)}
        {}

        void close()
        {
            error_code ignored;
            socket.close(ignored);
        }

        tcp::socket socket;
        http_exchange exchange{};
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        http_server_response response;
        bool waiting = false; ///< a request was passed on and has no response yet
        bool keepAlive = true;
        std::chrono::steady_clock::time_point lastActive = std::chrono::steady_clock::now();
    };

    using connection_ptr = std::shared_ptr<http_connection>;

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
            if (self->m_stopped) {
                return;
            }
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (error) {
                self->m_retry.emplace(self->m_timer.get_executor(), acceptPause);
                self->m_retry->async_wait([self](error_code) { self->accept(); });
                return;
            }
            self->accepted(std::move(socket));
            self->accept();
        });
    }

    void accepted(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.connections) {
            return; // closes the socket
        }
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        const auto added = std::make_shared<http_connection>(std::move(socket));
        added->exchange = http_exchange{++m_lastExchange};
        m_connections.emplace(added->exchange, added);
        expectRequest(*added);
        read(added);
    }

    void expectRequest(http_connection &target) const
    {
        target.parser.emplace();
        target.parser->eager(true);
        target.parser->body_limit(m_limits.bodyBytes);
        target.parser->header_limit(m_limits.headerBytes);
    }

    /// One read is always pending, so that the end of a connection is noticed while its request
    /// waits for the response.
    void read(const connection_ptr &from)
    {
        from->socket.async_read_some(
                from->buffer.prepare(readBytes),
                [self = shared_from_this(), from](error_code error, std::size_t bytes) {
                    if (error) {
                        self->drop(from);
                        return;
                    }
                    from->buffer.commit(bytes);
                    from->lastActive = std::chrono::steady_clock::now();
                    if (self->parse(from)) {
                        self->read(from);
                    }
                });
    }

    /// @return Whether the connection stays.
    bool parse(const connection_ptr &from)
    {
        if (from->waiting || !from->parser) {
            // A pipelined request waits for the response before it; its size is bounded.
            return from->buffer.size() <= m_limits.bodyBytes + m_limits.headerBytes || drop(from);
        }
        while (from->buffer.size() > 0 && !from->parser->is_done()) {
            error_code error;
            const auto used = from->parser->put(from->buffer.data(), error);
            from->buffer.consume(used);
            if (error == http::error::need_more) {
                return true;
            }
            if (error) {
                reject(from, error);
                return true;
            }
            if (used == 0) {
                break;
            }
        }
        if (from->parser->is_done()) {
            passOn(from);
        }
        return true;
    }

    void passOn(const connection_ptr &from)
    {
        const auto request = from->parser->release();
        from->parser.reset();
        from->keepAlive = request.keep_alive();
        from->waiting = true;
        rename(from);
        m_onRequest(from->exchange, request);
    }

    /// Each request has a number of its own, so that a late response does not reach the next one.
    void rename(const connection_ptr &target)
    {
        m_connections.erase(target->exchange);
        target->exchange = http_exchange{++m_lastExchange};
        m_connections.emplace(target->exchange, target);
    }

    void reject(const connection_ptr &from, error_code error)
    {
        const bool large = error == http::error::body_limit || error == http::error::header_limit;
        from->keepAlive = false;
        from->parser.reset();
        from->waiting = true;
        respond(from->exchange,
                http_server_response{
                        large ? http::status::payload_too_large : http::status::bad_request, 11});
    }

    void written(const connection_ptr &to, error_code error)
    {
        to->lastActive = std::chrono::steady_clock::now();
        if (error) {
            drop(to);
            return;
        }
        if (!to->response.keep_alive()) {
            // The peer closes after it has read the response; closing with unread bytes resets.
            error_code ignored;
            to->socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        expectRequest(*to);
        parse(to);
    }

    bool drop(const connection_ptr &target)
    {
        if (m_connections.erase(target->exchange) > 0) {
            target->close();
            if (target->waiting) {
                target->waiting = false;
                m_onGone(target->exchange);
            }
        }
        return false;
    }

    void sweep()
    {
        m_timer.expires_after(sweepInterval);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->m_stopped) {
                return;
            }
            self->closeUnused(std::chrono::steady_clock::now() - self->m_limits.idle);
            self->sweep();
        });
    }

    /// Closes connections that wait for a request and carried nothing since `oldest`.
    void closeUnused(std::chrono::steady_clock::time_point oldest)
    {
        std::vector<connection_ptr> idle;
        for (const auto &[exchange, connection] : m_connections) {
            if (!connection->waiting && connection->buffer.size() == 0 &&
                connection->lastActive < oldest) {
                idle.push_back(connection);
            }
        }
        for (const auto &connection : idle) {
            drop(connection);
        }
    }

    async_http_limits m_limits;
    request_handler m_onRequest;
    gone_handler m_onGone;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::optional<asio::steady_timer> m_retry;
    std::unordered_map<http_exchange, connection_ptr> m_connections;
    std::uint64_t m_lastExchange = 0;
    std::size_t m_sending = 0;
    bool m_closing = false;
    bool m_stopped = false;
};

async_http_server::async_http_server(asio::io_context &context, const std::string &address,
                                     async_http_limits limits, request_handler onRequest,
                                     gone_handler onGone)
    : m_impl{std::make_shared<implementation>(context, address, limits, std::move(onRequest),
                                              std::move(onGone))}
{
    m_impl->start();
}

async_http_server::~async_http_server()
{
    m_impl->shutDown();
}

void async_http_server::respond(http_exchange exchange, http_server_response response)
{
    m_impl->respond(exchange, std::move(response));
}

void async_http_server::closeIdle()
{
    m_impl->refuseConnections();
}

void async_http_server::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

bool async_http_server::sending() const
{
    return m_impl->sending();
}

std::size_t async_http_server::connections() const
{
    return m_impl->connections();
}

std::uint16_t async_http_server::port() const
{
    return m_impl->port();
}

} // namespace bamboohead
