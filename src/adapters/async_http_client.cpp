#include "bamboohead/async_http_client.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <map>
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
constexpr std::size_t maxIdleConnections = 4; ///< per peer

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
        auto exchange = std::make_shared<pending_call>(std::move(handler));
        exchange->address = address;
        exchange->request = std::move(request);
        exchange->request.version(11);
        exchange->request.set(http::field::host, address);
        exchange->request.keep_alive(true);
        exchange->request.prepare_payload();
        auto &idle = m_idleConnections[address];
        if (!idle.empty()) {
            exchange->stream = std::move(idle.back());
            idle.pop_back();
            exchange->stream->expires_after(timeout);
            send(exchange);
            return;
        }
        connect(exchange, timeout);
    }

    void shutDown()
    {
        m_stopped = true;
        m_idleConnections.clear();
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
        std::unique_ptr<beast::tcp_stream> stream;
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
    };

    using pending_call_ptr = std::shared_ptr<pending_call>;

    void connect(const pending_call_ptr &exchange, duration timeout)
    {
        const auto colon = exchange->address.rfind(':');
        error_code error;
        const auto host = asio::ip::make_address(exchange->address.substr(0, colon), error);
        const auto port = std::strtoul(exchange->address.c_str() + colon + 1, nullptr, 10);
        exchange->stream = std::make_unique<beast::tcp_stream>(m_context);
        exchange->stream->expires_after(timeout);
        if (error || colon == std::string::npos) {
            asio::post(m_context, [self = shared_from_this(), exchange] {
                self->finish(exchange, http_call_end::not_sent);
            });
            return;
        }
        const tcp::endpoint peer{host, static_cast<std::uint16_t>(port)};
        exchange->stream->async_connect(peer, [self = shared_from_this(), exchange](error_code e) {
            if (e) {
                self->finish(exchange, http_call_end::not_sent);
                return;
            }
            error_code ignored;
            exchange->stream->socket().set_option(tcp::no_delay{true}, ignored);
            self->send(exchange);
        });
    }

    void send(const pending_call_ptr &exchange)
    {
        http::async_write(*exchange->stream, exchange->request,
                          [self = shared_from_this(), exchange](error_code error, std::size_t) {
                              if (error) {
                                  self->finish(exchange, http_call_end::unanswered);
                                  return;
                              }
                              self->receive(exchange);
                          });
    }

    void receive(const pending_call_ptr &exchange)
    {
        exchange->parser.body_limit(maxResponseBytes);
        http::async_read(*exchange->stream, exchange->buffer, exchange->parser,
                         [self = shared_from_this(), exchange](error_code error, std::size_t) {
                             self->finish(exchange, error ? http_call_end::unanswered
                                                          : http_call_end::answered);
                         });
    }

    void finish(const pending_call_ptr &exchange, http_call_end end)
    {
        if (m_stopped) {
            return;
        }
        const auto &response = exchange->parser.get();
        if (end == http_call_end::answered && response.keep_alive()) {
            auto &idle = m_idleConnections[exchange->address];
            if (idle.size() < maxIdleConnections) {
                exchange->stream->expires_never();
                idle.push_back(std::move(exchange->stream));
            }
        }
        const auto handler = std::move(exchange->handler);
        handler(end, response);
    }

    asio::io_context &m_context;
    std::map<std::string, std::vector<std::unique_ptr<beast::tcp_stream>>> m_idleConnections;
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
