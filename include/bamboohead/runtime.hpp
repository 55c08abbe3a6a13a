#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/logging.hpp"
#include "bamboohead/metrics.hpp"
#include "bamboohead/transport.hpp"

#include <tbb/concurrent_queue.h>

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <variant>

namespace bamboohead {

/// @brief Maximum time between two passes of a control_loop when no input wakes its thread.
inline constexpr duration tickInterval = std::chrono::milliseconds{10};

/// @brief Maximum number of messages, and of queued inputs, that one pass handles before it calls
///        the core's tick() and carries out its actions.
inline constexpr std::size_t maxInputsPerPass = 4'096;

/// @brief File descriptor (an eventfd) that other threads make readable to wake the control thread,
///        which is the thread that runs control_loop.
class wake_event
{
public:
    /// @throw std::system_error when no descriptor is available.
    wake_event();
    ~wake_event();
    wake_event(const wake_event &) = delete;
    wake_event &operator=(const wake_event &) = delete;

    /// @brief Makes the descriptor readable; callable from any thread.
    void notify() noexcept;
    /// @brief Resets the descriptor; called by the control thread before it reads its inputs.
    void clear() noexcept;
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
    std::atomic<bool> m_pending{false};
};

/// @brief Request that a process receives as a POSIX signal.
enum class process_signal : std::uint8_t {
    stop,   ///< SIGTERM or SIGINT
    reload, ///< SIGHUP: the settings file has changed
};

/// @brief Delivers SIGTERM, SIGINT and SIGHUP through a file descriptor (a signalfd). Must be
///        constructed before any other thread starts, because it blocks the signals in the
///        calling thread and in the threads that this one starts later.
class process_signals
{
public:
    /// @throw std::system_error when no descriptor is available.
    process_signals();
    ~process_signals();
    process_signals(const process_signals &) = delete;
    process_signals &operator=(const process_signals &) = delete;

    /// @brief Removes and returns one signal; call only when the descriptor is readable.
    [[nodiscard]] process_signal take() noexcept;
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
};

/// @brief Queue of inputs from other threads to the control thread.
template <typename Input>
class input_queue
{
public:
    /// @brief Adds an input and wakes the control thread; callable from any thread.
    void push(Input input)
    {
        m_queue.push(std::move(input));
        m_wakeEvent.notify();
    }

    /// @brief Removes at most `maxCount` queued inputs and passes each to `handle`. When it stops
    ///        at this limit, the descriptor stays readable, so that the next pass handles the rest.
    template <typename Handler>
    void drain(Handler &&handle, std::size_t maxCount)
    {
        m_wakeEvent.clear();
        Input input;
        while (maxCount > 0 && m_queue.try_pop(input)) {
            handle(std::move(input));
            --maxCount;
        }
        if (maxCount == 0) {
            m_wakeEvent.notify();
        }
    }

    [[nodiscard]] int descriptor() const noexcept { return m_wakeEvent.descriptor(); }

private:
    tbb::concurrent_queue<Input> m_queue;
    wake_event m_wakeEvent;
};

/// @brief Requests the dump of the core's state as JSON text.
struct dump_input
{
    std::shared_ptr<std::promise<std::string>> reply;
};

/// @brief Control loop of a process: passes messages, inputs and signals to a core and carries out
///        the core's actions, all on the calling thread.
/// @tparam Core entry_core or agent_core
/// @tparam Input variant of the inputs from other threads
template <typename Core, typename Input>
class control_loop
{
public:
    using input_handler = std::function<void(Core &, Input)>;
    using action = typename decltype(std::declval<Core &>().takeActions())::value_type;
    /// @brief Carries out an action other than send_message, log_event and shutdown_complete.
    using action_handler = std::function<void(action &)>;

    /// @brief Objects that the loop uses; they must outlive it.
    struct loop_dependencies
    {
        Core &core;
        input_queue<Input> &inputs;
        transport &messages;
        process_metrics &metrics;
        process_signals &signals;
        std::atomic<bool> &draining;  ///< set at the first SIGTERM or SIGINT
        std::function<void()> reload; ///< called on SIGHUP
    };

    control_loop(loop_dependencies dependencies, input_handler handleInput,
                 action_handler handleAction)
        : m_dependencies{dependencies}
        , m_handleInput{std::move(handleInput)}
        , m_handleAction{std::move(handleAction)}
    {}

    /// @brief Runs until the core reports that its shutdown is complete.
    void run()
    {
        while (!m_shutdownComplete) {
            const auto woken =
                    m_dependencies.messages.wait(tickInterval, m_dependencies.inputs.descriptor(),
                                                 m_dependencies.signals.descriptor());
            const auto begin = m_clock.now();
            if (woken.signalled) {
                handleSignal(m_dependencies.signals.take());
            }
            pass();
            m_dependencies.metrics.observeLoop(m_clock.now() - begin);
        }
    }

private:
    /// Handles all inputs first, then the tick, then the actions, so that several start
    /// orders or task updates go into one message.
    void pass()
    {
        m_dependencies.messages.receiveAll(
                [this](const wire::Envelope &envelope) { m_dependencies.core.receive(envelope); },
                maxInputsPerPass);
        m_dependencies.inputs.drain(
                [this](Input input) { m_handleInput(m_dependencies.core, std::move(input)); },
                maxInputsPerPass);
        m_dependencies.core.tick();
        for (auto &next : m_dependencies.core.takeActions()) {
            performAction(next);
        }
        m_dependencies.messages.maintain();
        m_dependencies.metrics.update(m_dependencies.core.counters());
        m_dependencies.metrics.update(m_dependencies.messages.counters());
    }

    void performAction(action &next)
    {
        if (auto *const message = std::get_if<send_message>(&next)) {
            m_dependencies.messages.send(message->endpoint, message->envelope);
        } else if (auto *const event = std::get_if<log_event>(&next)) {
            logLine(log_level::info, event->name, event->fields);
        } else if (std::holds_alternative<shutdown_complete>(next)) {
            m_shutdownComplete = true;
        } else {
            m_handleAction(next);
        }
    }

    void handleSignal(process_signal signal)
    {
        if (signal == process_signal::reload) {
            m_dependencies.reload();
        } else if (!m_dependencies.draining.exchange(true)) {
            logLine(log_level::info, "stop_requested", {});
            m_dependencies.core.stop();
        }
    }

    loop_dependencies m_dependencies;
    input_handler m_handleInput;
    action_handler m_handleAction;
    steady_clock_source m_clock;
    bool m_shutdownComplete = false;
};

} // namespace bamboohead
