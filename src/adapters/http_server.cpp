#include "bamboohead/http_server.hpp"

#include "bamboohead/detail/http/job_json.hpp"
#include "bamboohead/job.hpp"

#include <algorithm>
#include <stdexcept>
#include <sys/socket.h>

namespace bamboohead {

namespace {

constexpr time_t keepAliveSeconds = 5;
constexpr std::size_t maxRequestsPerConnection = 1'000'000;
constexpr time_t ioTimeoutSeconds = 10;
constexpr int statusUnavailable = 503;
constexpr int statusTooLarge = 413;
constexpr int statusNotFound = 404;
constexpr int firstErrorStatus = 400;
constexpr const char *jsonType = "application/json";
constexpr const char *sessionsPath = "/v1/sessions"; // the body of its requests is optional
constexpr const char *metricsType = "text/plain; version=0.0.4";

/// Sets SO_REUSEADDR instead of the library's default, SO_REUSEPORT, with which a second process on
/// the same port starts without an error and receives part of the requests of the first one.
void disablePortSharing(socket_t socket)
{
    // Allows a restart while connections of the previous process are in TIME_WAIT.
    const int enabled = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
}

/// Adds a JSON body to each error response without one: those that the library generates, and the
/// status 503 of GET /v1/state. The error kind is body_too_large for status 413 and invalid_request
/// for all others.
void setErrorBody(const httplib::Request &, httplib::Response &response)
{
    if (response.status < firstErrorStatus || !response.body.empty()) {
        return;
    }
    detail::request_fault fault;
    if (response.status == statusTooLarge) {
        fault.kind = error_kind::body_too_large;
    } else if (response.status == statusNotFound) {
        fault.message = "no such path";
    }
    response.set_content(detail::toJson(fault), jsonType);
}

/// Rejects a POST or PUT request with neither Content-Length nor Transfer-Encoding, except to
/// /v1/sessions. The library would read such a body until the client closes the connection, which
/// would block a thread until the read timeout.
httplib::Server::HandlerResponse requireContentLength(const httplib::Request &request,
                                                      httplib::Response &response)
{
    const bool mayCarryBody = request.method == "POST" || request.method == "PUT";
    if (!mayCarryBody || request.path == sessionsPath || request.has_header("Content-Length") ||
        request.has_header("Transfer-Encoding")) {
        return httplib::Server::HandlerResponse::Unhandled;
    }
    const detail::request_fault fault{error_kind::invalid_request, "Content-Length",
                                      "required, but absent"};
    response.status = errorInfo(fault.kind).httpStatus;
    response.set_content(detail::toJson(fault), jsonType);
    return httplib::Server::HandlerResponse::Handled;
}

guarded_http_limits serverLimits(const request_settings &requests, std::uint32_t threads)
{
    guarded_http_limits limits;
    limits.maxBodyBytes = maxBodyBytes;
    limits.maxUnfinishedBytes = requests.memoryBytes;
    limits.receiveTimeout = requests.timeout;
    limits.threads = threads;
    limits.maxWaitingConnections = std::max<std::size_t>(limits.maxWaitingConnections, threads);
    return limits;
}

} // namespace

http_server::http_server(const http_settings &settings, const request_settings &requests,
                         std::uint32_t threads, const process_metrics &metrics,
                         const std::atomic<bool> &draining, state_source state)
    : m_settings{settings}
    , m_state{std::move(state)}
    , m_server{serverLimits(requests, threads)}
{
    m_server.set_keep_alive_timeout(keepAliveSeconds);
    m_server.set_keep_alive_max_count(maxRequestsPerConnection);
    m_server.set_read_timeout(ioTimeoutSeconds);
    m_server.set_write_timeout(ioTimeoutSeconds);
    m_server.set_tcp_nodelay(true);
    m_server.set_socket_options(disablePortSharing);
    m_server.set_error_handler(httplib::Server::Handler{setErrorBody});
    m_server.set_pre_routing_handler(requireContentLength);
    addCommonRoutes(metrics, draining);
}

http_server::~http_server()
{
    stop();
}

void http_server::start()
{
    m_port = m_settings.port;
    if (m_port == 0) {
        m_port = m_server.bind_to_any_port(m_settings.address);
    } else if (!m_server.bind_to_port(m_settings.address, m_port)) {
        m_port = -1;
    }
    if (m_port < 0) {
        throw std::runtime_error{"cannot bind HTTP to " + m_settings.address + ":" +
                                 std::to_string(m_settings.port)};
    }
    m_thread = std::thread{[this] { m_server.listen_after_bind(); }};
}

void http_server::stop()
{
    if (!m_thread.joinable()) {
        return;
    }
    // The library ignores a stop() that is called before its accept loop runs.
    while (!m_server.is_running()) {
        std::this_thread::yield();
    }
    m_server.stop();
    m_thread.join();
}

void http_server::addCommonRoutes(const process_metrics &metrics, const std::atomic<bool> &draining)
{
    m_server.Get("/metrics", [&metrics](const httplib::Request &, httplib::Response &response) {
        response.set_content(metrics.serialize(), metricsType);
    });
    m_server.Get("/healthz", [&draining](const httplib::Request &, httplib::Response &response) {
        const bool stopping = draining.load();
        response.status = stopping ? statusUnavailable : 200;
        response.set_content(stopping ? "stopping\n" : "ok\n", "text/plain");
    });
    m_server.Get("/v1/state", [this](const httplib::Request &, httplib::Response &response) {
        if (const auto state = m_state()) {
            response.set_content(*state, jsonType);
        } else {
            response.status = statusUnavailable;
        }
    });
}

} // namespace bamboohead
