#include "bamboohead/async_http_server.hpp"

#include "bamboohead/network_address.hpp"
#include "bamboohead/request_budget.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bamboohead {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t readBufferBytes = 16'384;
constexpr auto idleCheckInterval = std::chrono::seconds{1};
/// Part of the limit of connections up to which further ones are answered with 503.
constexpr std::size_t refusingDivisor = 10;
constexpr std::size_t minRefusing = 10; ///< the same as a number, for a low limit
/// Connections closed at a time to make room for others; all connections are examined for it.
constexpr std::size_t displacedConnections = 64;
/// Times without progress after which a connection may be closed to make room for another one: of a
/// request that was not received as a whole, and of a connection without a request. A regular
/// caller sends its requests at once.
constexpr auto displacedRequestAge = std::chrono::seconds{1};
constexpr auto displacedIdleAge = std::chrono::seconds{5};
/// Memory that a header field takes in addition to its text.
constexpr std::size_t fieldOverheadBytes = 96;
constexpr auto acceptRetryDelay = std::chrono::milliseconds{50}; ///< after a failed accept

/// Stage of the request that a connection handles.
enum class request_stage : std::uint8_t {
    none,      ///< nothing of a request has been read
    receiving, ///< a part of the request has been read
    waiting,   ///< the request waits for respond()
    sending,   ///< the response is being sent
    closing,   ///< the last response was sent, and the peer has yet to close the connection
};

time_point steadyNow()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

/// @throw std::invalid_argument When the address is malformed.
tcp::endpoint boundAddress(const std::string &text)
{
    const auto address = parseAddress(text, 0);
    if (!address) {
        throw std::invalid_argument{"not an IPv4 address with a port: " + text};
    }
    return {asio::ip::address_v4{address->host}, address->port};
}

/// Detects the ends of connections independently of the event loop and of unread bytes. All ends
/// are detected by one system call; a read of each connection would need one each.
class disconnect_watch
{
public:
    disconnect_watch()
        : m_descriptor{epoll_create1(EPOLL_CLOEXEC)}
    {
        if (m_descriptor < 0) {
            throw std::system_error{errno, std::generic_category(), "epoll_create1"};
        }
    }
    ~disconnect_watch() { ::close(m_descriptor); }
    disconnect_watch(const disconnect_watch &) = delete;
    disconnect_watch &operator=(const disconnect_watch &) = delete;

    /// Watches a connection until its socket is closed.
    /// @return False when the operating system refuses it.
    [[nodiscard]] bool add(int socket, void *owner)
    {
        epoll_event event{};
        event.events = EPOLLRDHUP | EPOLLET; // errors and resets are always reported
        event.data.ptr = owner;
        return epoll_ctl(m_descriptor, EPOLL_CTL_ADD, socket, &event) == 0;
    }

    /// Owners of the connections that have ended since the previous call.
    std::vector<void *> take()
    {
        std::vector<void *> owners;
        std::array<epoll_event, maxEvents> events{};
        int count = maxEvents;
        while (count == maxEvents) {
            count = epoll_wait(m_descriptor, events.data(), maxEvents, 0);
            for (int index = 0; index < count; ++index) {
                owners.push_back(events.at(static_cast<std::size_t>(index)).data.ptr);
            }
        }
        return owners;
    }

private:
    static constexpr int maxEvents = 64; ///< per system call

    int m_descriptor;
};

} // namespace

class async_http_server::implementation : public std::enable_shared_from_this<implementation>
{
public:
    implementation(asio::io_context &context, const std::string &address, async_http_limits limits,
                   request_handler onRequest, disconnect_handler onDisconnect)
        : m_limits{limits}
        , m_budget{limits.maxUnfinishedBytes}
        , m_onRequest{std::move(onRequest)}
        , m_onDisconnect{std::move(onDisconnect)}
        , m_acceptor{context, boundAddress(address)}
        , m_idleCheckTimer{context}
        , m_acceptRetryTimer{context}
    {
        m_acceptor.non_blocking(true);
        // Without it, accept() waits for the next connection after one that its peer has aborted.
        m_acceptor.set_option(asio::socket_base::enable_connection_aborted{true});
    }

    void start()
    {
        awaitConnections();
        scheduleIdleCheck();
    }

    void shutDown()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_idleCheckTimer.cancel();
        m_acceptRetryTimer.cancel();
        m_stopped = true;
        auto connections = std::exchange(m_connections, {});
        for (auto &[exchange, connection] : connections) {
            connection->close();
        }
    }

    bool disconnected(http_exchange exchange)
    {
        reportDisconnects();
        const auto found = m_connections.find(exchange);
        const bool ended = found == m_connections.end() || found->second->peerFinished ||
                           found->second->peerEnded;
        m_counters.earlyDisconnects += ended ? 1 : 0;
        return ended;
    }

    duration sinceArrival(http_exchange exchange) const
    {
        const auto found = m_connections.find(exchange);
        tcp_info info{};
        socklen_t size = sizeof info;
        if (found == m_connections.end() || getsockopt(found->second->socket.native_handle(),
                                                       IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
            return {};
        }
        return std::chrono::milliseconds{info.tcpi_last_data_recv};
    }

    void reportDisconnects()
    {
        for (const auto &connection : noteDisconnects()) {
            if (connection->stage == request_stage::waiting) {
                drop(connection);
            }
        }
    }

    void abandon(http_exchange exchange)
    {
        const auto found = m_connections.find(exchange);
        if (found == m_connections.end() || found->second->stage != request_stage::waiting) {
            return;
        }
        const auto connection = found->second;
        m_connections.erase(found);
        m_budget.release(static_cast<std::uint64_t>(exchange));
        connection->close();
        ++m_counters.disconnects;
    }

    void respond(http_exchange exchange, http_server_response response)
    {
        const auto found = m_connections.find(exchange);
        if (found == m_connections.end() || found->second->stage != request_stage::waiting) {
            return;
        }
        const auto connection = found->second;
        connection->stage = request_stage::sending;
        // A further request that has arrived is answered before the connection closes.
        const bool closes =
                m_closeAfterResponse && connection->buffer.size() == 0 && !connection->readable();
        response.keep_alive(connection->keepAlive && !closes);
        response.version(11);
        response.prepare_payload();
        connection->response = std::move(response);
        http::async_write(connection->socket, connection->response,
                          [self = shared_from_this(), connection](error_code error, std::size_t) {
                              ++(error ? self->m_counters.cutSending : self->m_counters.responses);
                              self->handleWritten(connection, error);
                          });
    }

    void closeAfterResponses() { m_closeAfterResponse = true; }

    void closeIdleConnections()
    {
        const auto since = std::chrono::steady_clock::now() - m_limits.lingerTimeout;
        closeWhere([since](const http_connection &connection) {
            return connection.stage == request_stage::none && connection.lastActive < since &&
                   !connection.readable();
        });
    }

    void finish()
    {
        if (m_acceptor.is_open() && acceptAll()) {
            error_code ignored;
            m_acceptor.close(ignored);
        }
        m_closeAfterResponse = true;
        closeIdleConnections();
    }

    bool finished() const
    {
        const auto since = std::chrono::steady_clock::now() - m_limits.lingerTimeout;
        return !m_acceptor.is_open() && std::ranges::all_of(m_connections, [&](const auto &each) {
            return each.second->stage == request_stage::closing && each.second->lastActive < since;
        });
    }

    std::size_t connections() const { return m_connections.size(); }
    const async_http_counters &counters() const { return m_counters; }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    struct http_connection : std::enable_shared_from_this<http_connection>
    {
        explicit http_connection(tcp::socket accepted)
            : socket{std::move(accepted)}
        {}

        void close()
        {
            error_code ignored;
            socket.close(ignored);
        }

        /// Whether a request was received as a whole and its response was not sent as a whole.
        bool handlesRequest() const
        {
            return stage == request_stage::waiting || stage == request_stage::sending;
        }

        /// Whether bytes have arrived that were not read.
        bool readable() const
        {
            error_code ignored;
            return socket.available(ignored) > 0;
        }

        tcp::socket socket;
        http_exchange exchange{};
        boost::beast::flat_buffer buffer;
        std::optional<http::request_parser<http::string_body>> parser;
        http_server_response response;
        request_stage stage = request_stage::none;
        bool peerFinished = false; ///< the end of the peer's sending side was read
        bool peerEnded = false;    ///< it has arrived, possibly behind unread bytes
        bool keepAlive = true;
        bool paused = false;          ///< bytes are not awaited until the response was sent
        std::size_t headerMemory = 0; ///< estimated memory of the header fields of the request
        std::chrono::steady_clock::time_point lastActive = std::chrono::steady_clock::now();
        /// When the first byte of the request that is being received was read.
        std::chrono::steady_clock::time_point requestBegin;
    };

    using connection_ptr = std::shared_ptr<http_connection>;

    /// Waits for connections. They are accepted by the handler and not by an asynchronous accept,
    /// which could have taken one from the queue when the listening socket is closed.
    void awaitConnections()
    {
        m_acceptor.async_wait(tcp::acceptor::wait_read,
                              [self = shared_from_this()](error_code error) {
                                  if (error || !self->m_acceptor.is_open()) {
                                      return;
                                  }
                                  if (self->acceptAll()) {
                                      self->awaitConnections();
                                      return;
                                  }
                                  self->m_acceptRetryTimer.expires_after(acceptRetryDelay);
                                  self->m_acceptRetryTimer.async_wait([self](error_code stopped) {
                                      if (!stopped && self->m_acceptor.is_open()) {
                                          self->awaitConnections();
                                      }
                                  });
                              });
    }

    /// Accepts the connections that have been established.
    /// @return False when one of them could not be accepted.
    bool acceptAll()
    {
        while (true) {
            error_code error;
            tcp::socket socket{m_acceptor.get_executor()};
            m_acceptor.accept(socket, error);
            if (error == asio::error::would_block) {
                return true;
            }
            if (error == asio::error::connection_aborted) {
                continue; // by the peer, before it was accepted
            }
            if (error) {
                return false;
            }
            addConnection(std::move(socket));
        }
    }

    void addConnection(tcp::socket socket)
    {
        if (m_connections.size() >= m_limits.maxConnections) {
            displaceConnections();
        }
        const auto refusing = std::max(minRefusing, m_limits.maxConnections / refusingDivisor);
        if (m_connections.size() >= m_limits.maxConnections + refusing) {
            ++m_counters.overLimit;
            return; // closes the socket
        }
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        socket.non_blocking(true, ignored);
        const auto added = std::make_shared<http_connection>(std::move(socket));
        if (!m_disconnects.add(added->socket.native_handle(), added.get())) {
            ++m_counters.overLimit;
            return;
        }
        added->exchange = http_exchange{++m_lastExchange};
        m_connections.emplace(added->exchange, added);
        resetParser(*added);
        awaitBytes(added);
        if (m_connections.size() > m_limits.maxConnections) {
            http_server_response response{http::status::service_unavailable, 11};
            response.set(http::field::retry_after, "1");
            reject(added, std::move(response));
        }
    }

    /// Closes the connections that have made no progress for longest.
    void displaceConnections()
    {
        const auto now = std::chrono::steady_clock::now();
        std::vector<std::pair<std::chrono::steady_clock::time_point, connection_ptr>> stalled;
        for (const auto &[exchange, connection] : m_connections) {
            const bool receiving = connection->stage == request_stage::receiving;
            const auto since = receiving ? connection->requestBegin : connection->lastActive;
            if ((receiving && now - since >= displacedRequestAge) ||
                (connection->stage == request_stage::none && now - since >= displacedIdleAge)) {
                stalled.emplace_back(since, connection);
            }
        }
        const auto count = std::min(stalled.size(), displacedConnections);
        const auto last = stalled.begin() + static_cast<std::ptrdiff_t>(count);
        std::ranges::partial_sort(stalled, last, {}, [](const auto &each) { return each.first; });
        for (std::size_t index = 0; index < count; ++index) {
            ++m_counters.displaced;
            drop(stalled[index].second);
        }
    }

    /// Refuses unfinished requests until the budget has room for the bytes of one read.
    void makeRoomForRead()
    {
        for (const auto exchange : m_budget.chooseExcess(readBufferBytes, steadyNow())) {
            const auto found = m_connections.find(http_exchange{exchange});
            if (found != m_connections.end()) {
                ++m_counters.overBudget;
                http_server_response response{http::status::service_unavailable, 11};
                response.set(http::field::retry_after, "1");
                reject(found->second, std::move(response));
            }
        }
    }

    /// Records the memory that an unfinished request, or bytes behind an unanswered one, hold.
    void updateBudget(http_connection &connection)
    {
        if (!m_connections.contains(connection.exchange)) {
            return; // dropped
        }
        const auto request = static_cast<std::uint64_t>(connection.exchange);
        connection.buffer.shrink_to_fit();
        auto bytes = connection.buffer.capacity();
        const bool receiving = connection.stage == request_stage::receiving;
        if (receiving) {
            if (connection.headerMemory == 0 && connection.parser->is_header_done()) {
                for (const auto &field : connection.parser->get()) {
                    connection.headerMemory +=
                            field.name_string().size() + field.value().size() + fieldOverheadBytes;
                }
            }
            bytes += connection.headerMemory + connection.parser->get().body().capacity();
        }
        if (bytes == 0) {
            m_budget.release(request);
        } else {
            m_budget.hold(request, bytes, receiving, steadyNow());
        }
    }

    /// Records the ends of connections that have arrived.
    /// @return The connections that have ended since the previous call.
    std::vector<connection_ptr> noteDisconnects()
    {
        std::vector<connection_ptr> ended;
        for (auto *const owner : m_disconnects.take()) {
            ended.push_back(static_cast<http_connection *>(owner)->shared_from_this());
            ended.back()->peerEnded = true;
        }
        return ended;
    }

    void resetParser(http_connection &connection) const
    {
        connection.parser.emplace();
        connection.parser->eager(true);
        connection.parser->body_limit(m_limits.maxRequestBodyBytes);
        connection.parser->header_limit(m_limits.maxRequestHeaderBytes);
        connection.headerMemory = 0;
    }

    /// Waits for bytes at all times, so that a disconnection is detected while the connection's
    /// request waits for its response. The bytes are read by the handler and not by an asynchronous
    /// read, which could have taken them from the socket when the connection is closed as idle.
    void awaitBytes(const connection_ptr &from)
    {
        from->socket.async_wait(tcp::socket::wait_read,
                                [self = shared_from_this(), from](error_code error) {
                                    if (!error && self->read(from)) {
                                        self->awaitBytes(from);
                                    }
                                });
    }

    /// Reads and handles the bytes that have arrived.
    /// @return Whether further bytes are to be awaited.
    bool read(const connection_ptr &from)
    {
        makeRoomForRead();
        error_code error;
        const auto bytes = from->socket.read_some(from->buffer.prepare(readBufferBytes), error);
        if (error == asio::error::would_block) {
            return true;
        }
        if (error == asio::error::eof && from->stage == request_stage::sending) {
            // The peer sends no more requests, but may still read the response.
            from->peerFinished = true;
            return false;
        }
        if (error) {
            return drop(from);
        }
        from->buffer.commit(bytes);
        if (from->stage != request_stage::closing) {
            from->lastActive = std::chrono::steady_clock::now();
        }
        parse(from);
        updateBudget(*from);
        if (from->handlesRequest() &&
            from->buffer.size() > m_limits.maxRequestBodyBytes + m_limits.maxRequestHeaderBytes) {
            return drop(from);
        }
        // A pipelined request stays in the buffer until the previous one is answered. Further bytes
        // stay with the operating system, which still reports the end of the connection.
        from->paused = from->handlesRequest() &&
                       (from->buffer.size() >= readBufferBytes || m_budget.halfUsed());
        return !from->paused;
    }

    /// Parses the buffered bytes and delivers the request when it is complete.
    void parse(const connection_ptr &from)
    {
        if (from->stage == request_stage::closing) {
            from->buffer.clear();
            return;
        }
        if (from->handlesRequest()) {
            return;
        }
        while (from->buffer.size() > 0 && !from->parser->is_done()) {
            error_code error;
            const auto used = from->parser->put(from->buffer.data(), error);
            from->buffer.consume(used);
            if (from->stage == request_stage::none) {
                from->requestBegin = std::chrono::steady_clock::now();
            }
            from->stage = request_stage::receiving;
            if (error == http::error::need_more) {
                // The parser consumes body bytes at once. What it leaves is a part of the header,
                // of a chunk header or of the trailers.
                if (from->buffer.size() > m_limits.maxRequestHeaderBytes) {
                    rejectMalformed(from, http::error::header_limit);
                }
                return;
            }
            if (error) {
                rejectMalformed(from, error);
                return;
            }
            if (used == 0) {
                break;
            }
        }
        if (from->parser->is_done()) {
            deliverRequest(from);
        }
    }

    void deliverRequest(const connection_ptr &from)
    {
        const auto request = from->parser->release();
        from->parser.reset();
        ++m_counters.requests;
        from->keepAlive = request.keep_alive();
        from->stage = request_stage::waiting;
        assignNewExchange(from);
        m_onRequest(from->exchange, request);
    }

    /// Gives each request its own exchange number, so that a late response is not sent as the
    /// response to the next request of the connection.
    void assignNewExchange(const connection_ptr &connection)
    {
        m_connections.erase(connection->exchange);
        m_budget.release(static_cast<std::uint64_t>(connection->exchange));
        connection->exchange = http_exchange{++m_lastExchange};
        m_connections.emplace(connection->exchange, connection);
    }

    void rejectMalformed(const connection_ptr &from, error_code error)
    {
        const bool exceedsLimit =
                error == http::error::body_limit || error == http::error::header_limit;
        reject(from,
               {exceedsLimit ? http::status::payload_too_large : http::status::bad_request, 11});
    }

    /// Responds without delivering the request, and closes the connection.
    void reject(const connection_ptr &from, http_server_response response)
    {
        ++m_counters.requests;
        from->keepAlive = false;
        from->parser.reset();
        from->buffer.clear();
        from->stage = request_stage::waiting;
        updateBudget(*from);
        respond(from->exchange, std::move(response));
    }

    void handleWritten(const connection_ptr &connection, error_code error)
    {
        connection->lastActive = std::chrono::steady_clock::now();
        if (error) {
            drop(connection);
            return;
        }
        if (!m_connections.contains(connection->exchange)) {
            return; // closed after the response was written
        }
        if (!connection->response.keep_alive()) {
            if (connection->peerFinished) {
                drop(connection);
                return;
            }
            // Only the sending side is shut down, and the peer closes the connection after it has
            // read the response. Closing a socket with unread bytes would reset the connection.
            error_code ignored;
            connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
            connection->stage = request_stage::closing;
            connection->buffer.clear();
            updateBudget(*connection);
            resume(connection);
            return;
        }
        connection->stage = request_stage::none;
        resetParser(*connection);
        parse(connection);
        updateBudget(*connection);
        if (!connection->handlesRequest()) {
            resume(connection);
        }
        if (connection->peerFinished && !connection->handlesRequest()) {
            drop(connection);
        }
    }

    void resume(const connection_ptr &connection)
    {
        if (std::exchange(connection->paused, false)) {
            awaitBytes(connection);
        }
    }

    /// Closes a connection and reports its unanswered request, if any, as disconnected.
    /// @return Always false, for use as the result of read().
    bool drop(const connection_ptr &connection)
    {
        if (m_connections.erase(connection->exchange) > 0) {
            m_budget.release(static_cast<std::uint64_t>(connection->exchange));
            connection->close();
            if (connection->stage == request_stage::waiting) {
                ++m_counters.disconnects;
                m_onDisconnect(connection->exchange);
            }
        }
        return false;
    }

    /// At each idleCheckInterval, closes the connections without an unanswered request that made no
    /// progress for longer than the idle timeout, or the linger timeout after the last response.
    void scheduleIdleCheck()
    {
        m_idleCheckTimer.expires_after(idleCheckInterval);
        m_idleCheckTimer.async_wait([self = shared_from_this()](error_code error) {
            if (error || self->m_stopped) {
                return;
            }
            const auto now = std::chrono::steady_clock::now();
            const auto &limits = self->m_limits;
            self->rejectSlowRequests(now - limits.receiveTimeout);
            self->closeWhere([now, &limits](const http_connection &connection) {
                const auto limit = connection.stage == request_stage::closing ? limits.lingerTimeout
                                                                              : limits.idleTimeout;
                return connection.stage != request_stage::waiting &&
                       connection.lastActive < now - limit;
            });
            self->scheduleIdleCheck();
        });
    }

    /// Rejects the requests whose first byte is older than `begin` and that are not complete.
    void rejectSlowRequests(std::chrono::steady_clock::time_point begin)
    {
        for (const auto &connection : connectionsWhere([begin](const http_connection &each) {
                 return each.stage == request_stage::receiving && each.requestBegin < begin;
             })) {
            ++m_counters.receiveTimeouts;
            reject(connection, {http::status::request_timeout, 11});
        }
    }

    template <typename Predicate>
    std::vector<connection_ptr> connectionsWhere(Predicate predicate) const
    {
        std::vector<connection_ptr> chosen;
        for (const auto &[exchange, connection] : m_connections) {
            if (predicate(*connection)) {
                chosen.push_back(connection);
            }
        }
        return chosen;
    }

    template <typename Predicate>
    void closeWhere(Predicate predicate)
    {
        for (const auto &connection : connectionsWhere(predicate)) {
            m_counters.cutReceiving += connection->stage == request_stage::receiving ? 1 : 0;
            drop(connection);
        }
    }

    async_http_limits m_limits;
    request_budget m_budget; ///< by exchange
    request_handler m_onRequest;
    disconnect_handler m_onDisconnect;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_idleCheckTimer;
    asio::steady_timer m_acceptRetryTimer;
    /// Outlives the connections, whose sockets are closed by shutDown() at the latest.
    disconnect_watch m_disconnects;
    std::unordered_map<http_exchange, connection_ptr> m_connections;
    std::uint64_t m_lastExchange = 0;
    async_http_counters m_counters;
    bool m_closeAfterResponse = false;
    bool m_stopped = false;
};

async_http_server::async_http_server(asio::io_context &context, const std::string &address,
                                     async_http_limits limits, request_handler onRequest,
                                     disconnect_handler onDisconnect)
    : m_impl{std::make_shared<implementation>(context, address, limits, std::move(onRequest),
                                              std::move(onDisconnect))}
{
    m_impl->start();
}

async_http_server::~async_http_server()
{
    m_impl->shutDown();
}

bool async_http_server::disconnected(http_exchange exchange)
{
    return m_impl->disconnected(exchange);
}

duration async_http_server::sinceArrival(http_exchange exchange) const
{
    return m_impl->sinceArrival(exchange);
}

void async_http_server::reportDisconnects()
{
    m_impl->reportDisconnects();
}

void async_http_server::abandon(http_exchange exchange)
{
    m_impl->abandon(exchange);
}

void async_http_server::respond(http_exchange exchange, http_server_response response)
{
    m_impl->respond(exchange, std::move(response));
}

void async_http_server::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

void async_http_server::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

void async_http_server::finish()
{
    m_impl->finish();
}

bool async_http_server::finished() const
{
    return m_impl->finished();
}

std::size_t async_http_server::connections() const
{
    return m_impl->connections();
}

const async_http_counters &async_http_server::counters() const noexcept
{
    return m_impl->counters();
}

std::uint16_t async_http_server::port() const
{
    return m_impl->port();
}

} // namespace bamboohead
