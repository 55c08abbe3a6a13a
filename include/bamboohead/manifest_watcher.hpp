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

/// @brief A manifest seen in the store.
struct manifest_update
{
    config_version version = config_version::none;
    std::string text;
    /// When the read that showed this version was sent; the clock's epoch for a value that came
    /// from the watch, because it may have waited on its way.
    time_point sentAt;
};

/// @brief Intervals of a manifest_watcher.
struct watcher_options
{
    duration readInterval = std::chrono::seconds{1};
    duration firstWatchBackoff = std::chrono::milliseconds{100};
    duration maxWatchBackoff = std::chrono::seconds{5};
    std::uint64_t seed = 1; ///< of the jitter
};

/// @brief Follows the manifest in the store: one watch for speed, and a read at each interval that
///        confirms the version, since a silent watch proves nothing.
class manifest_watcher
{
public:
    using delivery = std::function<void(const manifest_update &)>;

    /// @param deliver Called from the watcher's threads, one call at a time. An absent manifest is
    ///        not delivered; versions may repeat or be older than earlier ones.
    manifest_watcher(store_client &store, const clock &clock, delivery deliver,
                     watcher_options options = {});
    /// @brief Stops; no delivery follows.
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
    delivery m_deliver;
    watcher_options m_options;
    std::mutex m_deliveryMutex;
    std::mutex m_waitMutex;
    std::condition_variable_any m_wake;
    std::jthread m_reader;
    std::jthread m_watch;
};

} // namespace bamboohead
