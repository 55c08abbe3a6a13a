#pragma once

#include "bamboohead/async_http_client.hpp"
#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/dispatch_action.hpp"
#include "bamboohead/dispatch/store_follower.hpp"
#include "bamboohead/http_server.hpp"
#include "bamboohead/transport.hpp"
#include "platform/store_api.hpp"
#include "process_parts.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <csignal>
#include <ctime>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bamboohead {

/// @brief Period of the cores' periodic systems.
inline constexpr duration dispatchTick = std::chrono::milliseconds{20};

/// @brief Least time between two passes: what arrives meanwhile is handled together.
///
/// Each pass costs system calls and a look at all agents, which the smallest entries cannot afford
/// for each message. Two milliseconds are small against the shortest response-time objective.
inline constexpr duration passWindow = std::chrono::milliseconds{2};

/// @brief Period in which the settings file is looked at and the metrics are brought up to date.
inline constexpr duration slowTick = std::chrono::seconds{1};

/// @brief Port of a process's endpoint on another host.
[[nodiscard]] std::string endpointOnHost(const std::string &endpoint, const std::string &address);

/// @brief Endpoints of the contacts named in the settings.
[[nodiscard]] std::vector<std::string> contactEndpoints(const process_settings &settings);

/// @brief Runs a dispatch core: messages, store, signals, timers and the process's own interface.
///
/// Everything but ZeroMQ's own thread and the process's own interface runs on one thread: the
/// machines have a fraction of one core, and each hand-over between threads costs a wake-up.
/// @tparam Core dispatch_entry or dispatch_agent
template <typename Core>
class dispatch_loop
{
public:
    /// @brief Carries out an action that is neither a message, a log line nor the shutdown.
    using action_handler = std::function<void(dispatch_action &)>;

    dispatch_loop(const process_settings &settings, std::string settingsFile, const clock &clock,
                  Core &core, store_follower_options storeOptions)
        : m_settings{settings}
        , m_file{std::move(settingsFile)}
        , m_core{core}
        , m_messages{boundEndpoint(settings), clock}
        , m_client{m_context}
        , m_store{std::move(storeOptions), clock}
        , m_signals{m_context, SIGTERM, SIGINT, SIGHUP}
        , m_inbox{m_context, m_messages.descriptor()}
        , m_tick{m_context}
        , m_window{m_context}
        , m_slowTick{m_context}
        , m_server{settings.http, ownInterfaceThreads, m_metrics, m_draining,
                   [this] { return dump(); }}
    {}

    ~dispatch_loop() { m_inbox.release(); }
    dispatch_loop(const dispatch_loop &) = delete;
    dispatch_loop &operator=(const dispatch_loop &) = delete;

    [[nodiscard]] boost::asio::io_context &context() noexcept { return m_context; }
    [[nodiscard]] async_http_client &client() noexcept { return m_client; }
    [[nodiscard]] process_metrics &metrics() noexcept { return m_metrics; }
    [[nodiscard]] store_follower &store() noexcept { return m_store; }

    void onAction(action_handler handler) { m_handleAction = std::move(handler); }
    /// @brief Called each tick before the core's.
    void onTick(std::function<void()> handler) { m_handleTick = std::move(handler); }
    /// @brief Called when SIGTERM has arrived.
    void onStop(std::function<void()> handler) { m_handleStop = std::move(handler); }
    /// @brief Whether the process may exit although its shutdown is complete otherwise.
    void onExit(std::function<bool()> mayExit) { m_mayExit = std::move(mayExit); }

    /// @brief Carries out the core's actions after all inputs that arrive in this pass's window.
    void wake()
    {
        if (m_passDue) {
            return;
        }
        m_passDue = true;
        const auto next = m_lastPass + passWindow;
        if (std::chrono::steady_clock::now() >= next) {
            boost::asio::post(m_context, [this] { pass(); });
            return;
        }
        m_window.expires_at(next);
        m_window.async_wait([this](boost::system::error_code error) {
            if (!error) {
                pass();
            }
        });
    }

    /// @brief Runs until the core's shutdown is complete.
    void run()
    {
        m_server.start();
        awaitSignal();
        awaitMessages();
        awaitTick();
        awaitSlowTick();
        m_context.run();
        m_server.stop();
    }

private:
    static constexpr std::uint32_t ownInterfaceThreads = 2;

    void pass()
    {
        m_passDue = false;
        m_lastPass = std::chrono::steady_clock::now();
        m_messages.receiveAll([this](const wire::Envelope &envelope) { m_core.receive(envelope); },
                              maxInputsPerPass);
        performAll();
        if (!std::exchange(m_inboxAwaited, true)) {
            awaitMessages();
        }
    }

    void performAll()
    {
        for (auto &next : m_core.takeActions()) {
            if (auto *const message = std::get_if<send_message>(&next)) {
                m_messages.send(message->endpoint, message->envelope);
            } else if (auto *const event = std::get_if<log_event>(&next)) {
                logLine(log_level::info, event->name, event->fields);
            } else if (std::holds_alternative<shutdown_complete>(next)) {
                m_complete = true;
            } else {
                m_handleAction(next);
            }
        }
        if (m_complete && (!m_mayExit || m_mayExit())) {
            m_context.stop();
        }
    }

    void awaitMessages()
    {
        m_inbox.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                           [this](boost::system::error_code error) {
                               if (!error) {
                                   m_inboxAwaited = false;
                                   wake();
                               }
                           });
    }

    void awaitTick()
    {
        m_tick.expires_after(dispatchTick);
        m_tick.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            tick();
            awaitTick();
        });
    }

    void tick()
    {
        if (m_handleTick) {
            m_handleTick();
        }
        pollStore();
        m_core.tick();
        pass();
        m_messages.maintain();
        flushLog();
    }

    void awaitSlowTick()
    {
        m_slowTick.expires_after(slowTick);
        m_slowTick.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            m_metrics.update(m_messages.counters());
            m_metrics.update(m_core.counters());
            if (m_file.changed()) {
                reload("file_changed");
            }
            awaitSlowTick();
        });
    }

    void awaitSignal()
    {
        m_signals.async_wait([this](boost::system::error_code error, int signal) {
            if (error) {
                return;
            }
            if (signal == SIGHUP) {
                reload("signal");
            } else if (!m_draining.exchange(true)) {
                logLine(log_level::info, "stop_requested", {});
                m_core.stop();
                m_store.withdraw();
                if (m_handleStop) {
                    m_handleStop();
                }
                wake();
            }
            awaitSignal();
        });
    }

    /// Settings in use stay when the new ones are wrong. Addresses that are bound stay too.
    void reload(std::string_view cause)
    {
        if (auto settings = m_file.reload(cause)) {
            m_settings = std::move(*settings);
            m_core.addEntryEndpoints(contactEndpoints(m_settings));
        }
    }

    void pollStore()
    {
        if (m_settings.dispatch.store.empty()) {
            return;
        }
        m_store.tick();
        sendStoreCalls();
    }

    void sendStoreCalls()
    {
        for (const auto &request : m_store.takeCalls()) {
            const auto &header = platform::headerOf(request);
            m_client.call(m_settings.dispatch.store, platform::encode(request), header.timeout,
                          [this, id = header.id](http_call_end end,
                                                 const http_client_response &response) {
                              storeReplied(platform::decodeStoreReply(id, end, response));
                          });
        }
    }

    void storeReplied(const store_reply &reply)
    {
        m_store.handle(reply);
        for (const auto &event : m_store.takeEvents()) {
            logLine(log_level::info, event.name, event.fields);
        }
        if (const auto items = m_store.takeConfiguration()) {
            if (const auto state = platform::decodeConfiguration(items->first, items->second)) {
                m_core.handleConfig(*state);
            } else {
                logLine(log_level::warning, "config_unreadable",
                        {{"items", std::to_string(items->first.size())},
                         {"revision", std::to_string(items->second)}});
            }
        }
        if (const auto members = m_store.takeMembers()) {
            m_core.addEntryEndpoints(*members);
        }
        sendStoreCalls();
        wake();
    }

    /// Called by threads of the process's own interface.
    std::optional<std::string> dump()
    {
        const auto reply = std::make_shared<std::promise<std::string>>();
        auto text = reply->get_future();
        boost::asio::post(m_context, [this, reply] {
            reply->set_value(boost::json::serialize(m_core.dump()));
        });
        if (text.wait_for(stateLimit) != std::future_status::ready) {
            return std::nullopt;
        }
        return text.get();
    }

    process_settings m_settings;
    settings_file m_file;
    Core &m_core;
    boost::asio::io_context m_context{1};
    transport m_messages;
    async_http_client m_client;
    store_follower m_store;
    boost::asio::signal_set m_signals;
    boost::asio::posix::stream_descriptor m_inbox;
    boost::asio::steady_timer m_tick;
    boost::asio::steady_timer m_window;
    boost::asio::steady_timer m_slowTick;
    process_metrics m_metrics;
    std::atomic<bool> m_draining{false};
    http_server m_server;
    action_handler m_handleAction;
    std::function<void()> m_handleTick;
    std::function<void()> m_handleStop;
    std::function<bool()> m_mayExit;
    std::chrono::steady_clock::time_point m_lastPass;
    bool m_passDue = false;
    bool m_inboxAwaited = true;
    bool m_complete = false;
};

} // namespace bamboohead
