#pragma once

#include "bamboohead/async_http_client.hpp"
#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/dispatch_action.hpp"
#include "bamboohead/dispatch/store_follower.hpp"
#include "bamboohead/http_server.hpp"
#include "bamboohead/transport.hpp"
#include "platform/store_api.hpp"
#include "process_setup.hpp"

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
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bamboohead {

/// @brief Interval between two calls of a core's tick().
inline constexpr duration dispatchTickInterval = std::chrono::milliseconds{20};

/// @brief Minimum time from a pass to the next one that schedulePass() starts; inputs that arrive
///        in between are handled as one batch. A tick makes a pass regardless of it, and a pass
///        that was scheduled before the tick still follows.
///
/// Each pass makes system calls and iterates over all agents, which is too expensive for each
/// single message on an entry that has a fraction of a CPU core. Two milliseconds are short
/// compared with the shortest response-time objective.
inline constexpr duration minPassInterval = std::chrono::milliseconds{2};

/// @brief Interval at which the settings file is checked for changes and the metrics are updated.
inline constexpr duration housekeepingInterval = std::chrono::seconds{1};

/// @brief Combines the host of one address with the port of an endpoint.
/// @param endpoint Endpoint that ends with `:port`.
/// @param address `host` or `host:port`; a port in it is ignored.
/// @return `tcp://host:port`
[[nodiscard]] std::string endpointOnHost(const std::string &endpoint, const std::string &address);

/// @brief Endpoints that the process contacts to find the entries, at its start and while it has no
///        live link to them: the entries in `seeds`, and the agents in `contacts`, each host with
///        the port of this process's own endpoint. Any process answers with the entries it knows.
[[nodiscard]] std::vector<std::string> contactEndpoints(const process_settings &settings);

/// @brief Removes the endpoints that are not numeric TCP endpoints, see parseEndpoint(). Entries
///        register the endpoint that they have bound, so others come from another writer.
[[nodiscard]] std::vector<std::string> usableEndpoints(std::vector<std::string> endpoints);

/// @brief Event loop of a dispatch process: connects its core to the messages, the store, signals,
///        timers and the admin server (metrics, health and state dump).
///
/// The core makes all decisions: it handles inputs and emits actions, and performs no I/O itself.
/// The store holds the configuration and the addresses of the entries.
///
/// Everything except ZeroMQ's I/O thread, the admin server and the log's writer thread runs on one
/// thread: the VMs of the processes have a fraction of one CPU core, and each hand-over between
/// threads costs a wake-up. A log on standard output has no writer thread.
///
/// One pass receives the waiting messages and carries out the core's pending actions. Each tick
/// polls the store, receives the waiting messages, calls the core's tick() for its time-outs, and
/// makes a pass.
/// @tparam Core dispatch_entry or dispatch_agent
template <typename Core>
class dispatch_loop
{
public:
    /// @brief Carries out an action other than send_message, log_event and shutdown_complete.
    using action_handler = std::function<void(dispatch_action &)>;

    dispatch_loop(const process_settings &settings, std::string settingsFile, const clock &clock,
                  Core &core, store_follower_options storeOptions)
        : m_settings{settings}
        , m_settingsFile{std::move(settingsFile)}
        , m_core{core}
        , m_transport{boundEndpoint(settings), clock}
        , m_client{m_context}
        , m_store{std::move(storeOptions), clock}
        , m_signals{m_context, SIGTERM, SIGINT, SIGHUP}
        , m_messageDescriptor{m_context, m_transport.descriptor()}
        , m_tickTimer{m_context}
        , m_passTimer{m_context}
        , m_housekeepingTimer{m_context}
        , m_adminServer{settings.http, settings.requests, adminServerThreads,
                        m_metrics,     m_draining,        [this] { return dump(); }}
    {}

    ~dispatch_loop() { m_messageDescriptor.release(); }
    dispatch_loop(const dispatch_loop &) = delete;
    dispatch_loop &operator=(const dispatch_loop &) = delete;

    [[nodiscard]] boost::asio::io_context &context() noexcept { return m_context; }
    [[nodiscard]] async_http_client &client() noexcept { return m_client; }
    [[nodiscard]] process_metrics &metrics() noexcept { return m_metrics; }
    [[nodiscard]] store_follower &store() noexcept { return m_store; }

    /// @brief Sets the handler of the actions that the loop does not carry out itself.
    void onAction(action_handler handler) { m_handleAction = std::move(handler); }
    /// @brief Sets a function that is called in each pass, after the messages were received and
    ///        before the core's actions are taken.
    void beforeActions(std::function<void()> handler)
    {
        m_handleBeforeActions = std::move(handler);
    }
    /// @brief Sets a function that is called at each tick, before the core's tick().
    void onTick(std::function<void()> handler) { m_handleTick = std::move(handler); }
    /// @brief Sets a function that is called at each housekeepingInterval, to update metrics.
    void onHousekeeping(std::function<void()> handler)
    {
        m_handleHousekeeping = std::move(handler);
    }
    /// @brief Sets a function that is called once, at the first SIGTERM or SIGINT.
    void onStop(std::function<void()> handler) { m_handleStop = std::move(handler); }
    /// @brief Sets a condition that must hold, after the core's shutdown is complete, before run()
    ///        returns.
    void setExitCondition(std::function<bool()> mayExit) { m_mayExit = std::move(mayExit); }

    /// @brief Schedules a pass, unless one was scheduled since the last pass: at once when the last
    ///        one was at least minPassInterval ago, else when that time is over. Called after the
    ///        core has received an input.
    void schedulePass()
    {
        if (m_passScheduled) {
            return;
        }
        m_passScheduled = true;
        const auto next = m_lastPass + minPassInterval;
        if (std::chrono::steady_clock::now() >= next) {
            boost::asio::post(m_context, [this] { pass(); });
            return;
        }
        m_passTimer.expires_at(next);
        m_passTimer.async_wait([this](boost::system::error_code error) {
            if (!error) {
                pass();
            }
        });
    }

    /// @brief Runs until the core's shutdown is complete and the exit condition holds.
    void run()
    {
        m_adminServer.start();
        start();
        m_context.run();
        m_adminServer.stop();
    }

    /// @brief Starts the loop without the admin server; its handlers run when context() is run.
    void start()
    {
        awaitSignal();
        awaitMessages();
        scheduleTick();
        scheduleHousekeeping();
    }

private:
    static constexpr std::uint32_t adminServerThreads = 2;

    void pass()
    {
        m_passScheduled = false;
        m_lastPass = std::chrono::steady_clock::now();
        receiveMessages();
        if (m_handleBeforeActions) {
            m_handleBeforeActions();
        }
        performActions();
        if (!std::exchange(m_awaitingMessages, true)) {
            awaitMessages();
        }
    }

    void receiveMessages()
    {
        m_transport.receiveAll([this](const wire::Envelope &envelope) { m_core.receive(envelope); },
                               maxInputsPerPass);
    }

    void performActions()
    {
        for (auto &next : m_core.takeActions()) {
            if (auto *const message = std::get_if<send_message>(&next)) {
                m_transport.send(message->endpoint, message->envelope);
            } else if (auto *const event = std::get_if<log_event>(&next)) {
                logLine(log_level::info, event->name, event->fields);
            } else if (std::holds_alternative<shutdown_complete>(next)) {
                m_shutdownComplete = true;
            } else {
                m_handleAction(next);
            }
        }
        if (m_shutdownComplete && (!m_mayExit || m_mayExit())) {
            m_context.stop();
        }
    }

    void awaitMessages()
    {
        m_messageDescriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                       [this](boost::system::error_code error) {
                                           if (!error) {
                                               m_awaitingMessages = false;
                                               schedulePass();
                                           }
                                       });
    }

    void scheduleTick()
    {
        m_tickTimer.expires_after(dispatchTickInterval);
        m_tickTimer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            tick();
            scheduleTick();
        });
    }

    void tick()
    {
        if (m_handleTick) {
            m_handleTick();
        }
        pollStore();
        // After a suspension, peers whose messages wait have not been silent.
        receiveMessages();
        m_core.tick();
        pass();
        m_transport.maintain();
        flushLog();
    }

    void scheduleHousekeeping()
    {
        m_housekeepingTimer.expires_after(housekeepingInterval);
        m_housekeepingTimer.async_wait([this](boost::system::error_code error) {
            if (error) {
                return;
            }
            m_metrics.update(m_transport.counters());
            m_metrics.update(m_core.counters());
            if (m_handleHousekeeping) {
                m_handleHousekeeping();
            }
            if (m_settingsFile.changed()) {
                reload("file_changed");
            }
            scheduleHousekeeping();
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
                m_store.deregister();
                if (m_handleStop) {
                    m_handleStop();
                }
                schedulePass();
            }
            awaitSignal();
        });
    }

    /// Reads the settings file again. Invalid settings are rejected and those in use stay in force.
    /// Valid ones add their seeds and contacts to the known ones and change the address of the
    /// store; all other settings need a restart.
    void reload(std::string_view cause)
    {
        if (auto settings = m_settingsFile.reload(cause)) {
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
                              handleStoreReply(platform::decodeStoreReply(id, end, response));
                          });
        }
    }

    void handleStoreReply(const store_reply &reply)
    {
        m_store.handle(reply);
        for (const auto &event : m_store.takeEvents()) {
            logLine(log_level::info, event.name, event.fields);
        }
        const auto changed = m_store.takeConfiguration();
        if (changed) {
            handleConfiguration(changed->first, changed->second);
        }
        if (const auto proof = m_store.takeProof()) {
            if (proof->values && !changed) {
                handleConfiguration(*proof->values, proof->revision);
            }
            m_core.handleStateProof(proof->revision, proof->at);
        }
        if (const auto members = m_store.takeMembers()) {
            m_core.addEntryEndpoints(usableEndpoints(*members));
        }
        sendStoreCalls();
        schedulePass();
    }

    void handleConfiguration(const std::map<std::string, std::string> &items,
                             std::uint64_t revision)
    {
        if (const auto state = platform::decodeConfiguration(items, revision)) {
            m_core.handleConfig(*state);
        } else {
            logLine(log_level::warning, "config_unreadable",
                    {{"items", std::to_string(items.size())},
                     {"revision", std::to_string(revision)}});
        }
    }

    /// Dumps the core's state as JSON, or returns nothing when this takes longer than stateTimeout.
    /// Called on threads of the admin server.
    std::optional<std::string> dump()
    {
        const auto reply = std::make_shared<std::promise<std::string>>();
        auto text = reply->get_future();
        boost::asio::post(m_context, [this, reply] {
            reply->set_value(boost::json::serialize(m_core.dump()));
        });
        if (text.wait_for(stateTimeout) != std::future_status::ready) {
            return std::nullopt;
        }
        return text.get();
    }

    process_settings m_settings;
    settings_file m_settingsFile;
    Core &m_core;
    boost::asio::io_context m_context{1};
    transport m_transport;
    async_http_client m_client;
    store_follower m_store;
    boost::asio::signal_set m_signals;
    boost::asio::posix::stream_descriptor m_messageDescriptor;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_passTimer;
    boost::asio::steady_timer m_housekeepingTimer;
    process_metrics m_metrics;
    std::atomic<bool> m_draining{false};
    http_server m_adminServer;
    action_handler m_handleAction;
    std::function<void()> m_handleBeforeActions;
    std::function<void()> m_handleTick;
    std::function<void()> m_handleHousekeeping;
    std::function<void()> m_handleStop;
    std::function<bool()> m_mayExit;
    std::chrono::steady_clock::time_point m_lastPass;
    bool m_passScheduled = false;
    bool m_awaitingMessages = true;
    bool m_shutdownComplete = false;
};

} // namespace bamboohead
