#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/detail/config/backoff.hpp"
#include "bamboohead/store_client.hpp"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace bamboohead {

/// @brief Version of the manifest that a read or a watch returned.
struct manifest_update
{
    config_version version = config_version::none; ///< store revision of the key
    std::string text;
    /// Time at which the read that returned this version was sent. The epoch of the clock for a
    /// value from the watch, since the watch may have delivered it late.
    time_point sentAt;
};

/// @brief Intervals and seed of a manifest_watcher.
struct watcher_options
{
    duration readInterval = std::chrono::seconds{1};
    duration firstWatchBackoff = std::chrono::milliseconds{100};
    duration maxWatchBackoff = std::chrono::seconds{5};
    std::uint64_t seed = 1; ///< of the random part of delays
};

/// @brief Follows the manifest in the store. A watch reports changes quickly. A read at each
///        interval confirms the version, since a watch without events may have lost its
///        connection.
class manifest_watcher
{
public:
    using update_handler = std::function<void(const manifest_update &)>;

    /// @param handler Called on threads of the watcher, one call at a time. A version may be passed
    ///        again, or be older than an earlier one. Not called for an absent manifest.
    manifest_watcher(store_client &store, const clock &clock, update_handler handler,
                     watcher_options options = {});
    /// @brief Stops the threads and waits for them. The handler is not called afterwards.
    ~manifest_watcher();
    manifest_watcher(const manifest_watcher &) = delete;
    manifest_watcher &operator=(const manifest_watcher &) = delete;

private:
    void readLoop(const std::stop_token &stop);
    void watchLoop(const std::stop_token &stop);
    void deliver(const store_value &value, time_point sentAt);
    void wait(const std::stop_token &stop, duration delay);

    store_client &m_store;
    const clock &m_clock;
    update_handler m_handler;
    watcher_options m_options;
    std::mutex m_handlerMutex;
    std::mutex m_waitMutex;
    std::condition_variable_any m_stopCondition;
    std::jthread m_readThread;
    std::jthread m_watchThread;
};

} // namespace bamboohead
