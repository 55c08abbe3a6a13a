#pragma once

#include "bamboohead/guarded_http_server.hpp"
#include "bamboohead/metrics.hpp"
#include "bamboohead/settings.hpp"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace bamboohead {

/// @brief HTTP server of a process, with one thread per connection. It serves the routes that
///        entries and agents have in common: `/metrics`, `/v1/state` and `/healthz`.
class http_server
{
public:
    /// @brief Returns the dump of the core's state as JSON, or nothing when the control thread does
    ///        not answer; `/v1/state` is answered 503 then.
    using state_source = std::function<std::optional<std::string>()>;

    /// @param requests Limits of the requests that were not received as a whole.
    /// @param threads Number of threads, thus of connections that are served at the same time. As
    ///        many again, and 64 at least, may wait for a thread; further ones are closed.
    /// @param metrics Must outlive the server, as must `draining`.
    /// @param draining While it is true, `/healthz` is answered 503.
    http_server(const http_settings &settings, const request_settings &requests,
                std::uint32_t threads, const process_metrics &metrics,
                const std::atomic<bool> &draining, state_source state);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @brief Underlying server, to add routes before start().
    [[nodiscard]] httplib::Server &routes() noexcept { return m_server; }

    /// @brief Binds the address and serves requests on the server's own threads; port 0 selects a
    ///        free port.
    /// @throw std::runtime_error when the address cannot be bound.
    void start();

    /// @brief Port that the server listens on; 0 before start().
    [[nodiscard]] int port() const noexcept { return m_port; }

    /// @brief Stops accepting connections and returns after all requests are answered.
    void stop();

private:
    void addCommonRoutes(const process_metrics &metrics, const std::atomic<bool> &draining);

    http_settings m_settings;
    state_source m_state;
    guarded_http_server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace bamboohead
