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
constexpr std::size_t maxIdleConnections = 4; ///< kept for one address

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
        auto &idle = m_idleConnections[address];
        if (!idle.empty()) {
            pending->stream = std::move(idle.back());
            idle.pop_back();
            pending->stream->expires_after(timeout);
            send(pending);
            return;
        }
        connect(pending, timeout);
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

    void connect(const pending_call_ptr &pending, duration timeout)
    {
        const auto colon = pending->address.rfind(':');
        error_code error;
        const auto host = asio::ip::make_address(pending->address.substr(0, colon), error);
        const auto port = std::strtoul(pending->address.c_str() + colon + 1, nullptr, 10);
        pending->stream = std::make_unique<beast::tcp_stream>(m_context);
        pending->stream->expires_after(timeout);
        if (error || colon == std::string::npos) {
            asio::post(m_context, [self = shared_from_this(), pending] {
                self->finish(pending, http_call_end::not_sent);
            });
            return;
        }
        const tcp::endpoint peer{host, static_cast<std::uint16_t>(port)};
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
        pending->parser.body_limit(maxResponseBytes);
        http::async_read(*pending->stream, pending->buffer, pending->parser,
                         [self = shared_from_this(), pending](error_code error, std::size_t) {
                             self->finish(pending, error ? http_call_end::unanswered
                                                         : http_call_end::answered);
                         });
    }

    void finish(const pending_call_ptr &pending, http_call_end end)
    {
        if (m_stopped) {
            return;
        }
        const auto &response = pending->parser.get();
        if (end == http_call_end::answered && response.keep_alive()) {
            auto &idle = m_idleConnections[pending->address];
            if (idle.size() < maxIdleConnections) {
                pending->stream->expires_never();
                idle.push_back(std::move(pending->stream));
            }
        }
        const auto handler = std::move(pending->handler);
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
