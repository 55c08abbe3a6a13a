#pragma once

#include "bamboohead/metrics.hpp"
#include "bamboohead/settings.hpp"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>

namespace bamboohead {

/// @brief HTTP server of a process, one thread a connection, with the routes of all roles:
///        `/metrics`, `/v1/state` and `/healthz`.
class http_server
{
public:
    /// @brief Dump of the core's state as JSON; nothing when the control thread does not answer.
    using state_source = std::function<std::optional<std::string>()>;

    http_server(const http_settings &settings, std::uint32_t threads,
                const process_metrics &metrics, const std::atomic<bool> &draining,
                state_source state);
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /// @brief For adding routes before start().
    [[nodiscard]] httplib::Server &routes() noexcept { return m_server; }

    /// @brief Binds and serves on threads of its own; port 0 takes a free one.
    /// @throw std::runtime_error when the address cannot be bound.
    void start();

    /// @brief Port that is bound.
    [[nodiscard]] int port() const noexcept { return m_port; }

    /// @brief Accepts no further connections and returns after all requests are answered.
    void stop();

private:
    void addCommonRoutes(const process_metrics &metrics, const std::atomic<bool> &draining);

    http_settings m_settings;
    state_source m_state;
    httplib::Server m_server;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace bamboohead
