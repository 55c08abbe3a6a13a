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

/// @brief Period at which a core's periodic systems run when nothing else wakes the control thread.
inline constexpr duration tickInterval = std::chrono::milliseconds{10};

/// @brief Most inputs of one kind that are handled before the core's tick and actions.
inline constexpr std::size_t maxInputsPerPass = 4'096;

/// @brief Descriptor that other threads make readable to wake the control thread.
class wake_signal
{
public:
    /// @throw std::system_error when no descriptor is available.
    wake_signal();
    ~wake_signal();
    wake_signal(const wake_signal &) = delete;
    wake_signal &operator=(const wake_signal &) = delete;

    void notify() noexcept;
    void clear() noexcept;
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
    std::atomic<bool> m_pending{false};
};

/// @brief What a signal asks a process to do.
enum class process_signal : std::uint8_t {
    stop,   ///< SIGTERM or SIGINT
    reload, ///< SIGHUP: the settings file has changed
};

/// @brief SIGTERM, SIGINT and SIGHUP as a readable descriptor. Constructed before any other thread
///        starts, because it blocks the signals in the calling thread and all later ones.
class process_signals
{
public:
    /// @throw std::system_error when no descriptor is available.
    process_signals();
    ~process_signals();
    process_signals(const process_signals &) = delete;
    process_signals &operator=(const process_signals &) = delete;

    /// @brief Takes one signal that has arrived.
    [[nodiscard]] process_signal take() noexcept;
    [[nodiscard]] int descriptor() const noexcept { return m_descriptor; }

private:
    int m_descriptor;
};

/// @brief Typed messages from other threads to the control thread.
template <typename Input>
class input_queue
{
public:
    /// @brief Adds an input and wakes the control thread; callable from any thread.
    void push(Input input)
    {
        m_queue.push(std::move(input));
        m_signal.notify();
    }

    /// @brief Passes queued inputs to `handle`, at most `most`.
    template <typename Handler>
    void drain(Handler &&handle, std::size_t most)
    {
        m_signal.clear();
        Input input;
        while (most > 0 && m_queue.try_pop(input)) {
            handle(std::move(input));
            --most;
        }
        if (most == 0) {
            m_signal.notify();
        }
    }

    [[nodiscard]] int descriptor() const noexcept { return m_signal.descriptor(); }

private:
    tbb::concurrent_queue<Input> m_queue;
    wake_signal m_signal;
};

/// @brief Asks for the dump of the core's state as JSON text.
struct dump_input
{
    std::shared_ptr<std::promise<std::string>> reply;
};

/// @brief Runs a core on the calling thread until its shutdown is complete.
/// @tparam Core entry_core or agent_core
/// @tparam Input variant of the inputs from other threads
template <typename Core, typename Input>
class control_loop
{
public:
    using input_handler = std::function<void(Core &, Input)>;
    using action = typename decltype(std::declval<Core &>().takeActions())::value_type;
    /// @brief Carries out an action that is neither a message, a log line nor the shutdown.
    using action_handler = std::function<void(action &)>;

    struct loop_parts
    {
        Core &core;
        input_queue<Input> &inputs;
        transport &messages;
        process_metrics &metrics;
        process_signals &signals;
        std::atomic<bool> &draining;
        std::function<void()> reload; ///< called on SIGHUP
    };

    control_loop(loop_parts parts, input_handler handleInput, action_handler handleAction)
        : m_parts{parts}
        , m_handleInput{std::move(handleInput)}
        , m_handleAction{std::move(handleAction)}
    {}

    /// @brief Runs until the core reports that its shutdown is complete.
    void run()
    {
        while (!m_complete) {
            const auto woken = m_parts.messages.wait(tickInterval, m_parts.inputs.descriptor(),
                                                     m_parts.signals.descriptor());
            const auto begin = m_clock.now();
            if (woken.signalled) {
                handle(m_parts.signals.take());
            }
            pass();
            m_parts.metrics.observeLoop(m_clock.now() - begin);
        }
    }

private:
    /// All inputs first, then the tick, then the actions, so that orders and updates form batches.
    void pass()
    {
        m_parts.messages.receiveAll(
                [this](const wire::Envelope &envelope) { m_parts.core.receive(envelope); },
                maxInputsPerPass);
        m_parts.inputs.drain([this](Input input) { m_handleInput(m_parts.core, std::move(input)); },
                             maxInputsPerPass);
        m_parts.core.tick();
        for (auto &next : m_parts.core.takeActions()) {
            perform(next);
        }
        m_parts.messages.maintain();
        m_parts.metrics.update(m_parts.core.counters());
        m_parts.metrics.update(m_parts.messages.counters());
    }

    void perform(action &next)
    {
        if (auto *const message = std::get_if<send_message>(&next)) {
            m_parts.messages.send(message->endpoint, message->envelope);
        } else if (auto *const event = std::get_if<log_event>(&next)) {
            logLine(log_level::info, event->name, event->fields);
        } else if (std::holds_alternative<shutdown_complete>(next)) {
            m_complete = true;
        } else {
            m_handleAction(next);
        }
    }

    void handle(process_signal signal)
    {
        if (signal == process_signal::reload) {
            m_parts.reload();
        } else if (!m_parts.draining.exchange(true)) {
            logLine(log_level::info, "stop_requested", {});
            m_parts.core.stop();
        }
    }

    loop_parts m_parts;
    input_handler m_handleInput;
    action_handler m_handleAction;
    steady_clock_source m_clock;
    bool m_complete = false;
};

} // namespace bamboohead
