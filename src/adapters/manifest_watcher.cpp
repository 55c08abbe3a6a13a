#include "bamboohead/manifest_watcher.hpp"

#include <utility>

namespace bamboohead {

manifest_watcher::manifest_watcher(store_client &store, const clock &clock, update_handler handler,
                                   watcher_options options)
    : m_store{store}
    , m_clock{clock}
    , m_handler{std::move(handler)}
    , m_options{options}
    , m_readThread{[this](const std::stop_token &stop) { readLoop(stop); }}
    , m_watchThread{[this](const std::stop_token &stop) { watchLoop(stop); }}
{}

manifest_watcher::~manifest_watcher()
{
    m_readThread.request_stop();
    m_watchThread.request_stop();
    m_readThread.join();
    m_watchThread.join();
}

void manifest_watcher::readLoop(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        const auto sentAt = m_clock.now();
        const auto result = m_store.read(manifestKey);
        if (const auto *value = std::get_if<store_value>(&result)) {
            deliver(*value, sentAt);
        }
        wait(stop, m_options.readInterval - (m_clock.now() - sentAt));
    }
}

void manifest_watcher::watchLoop(const std::stop_token &stop)
{
    detail::backoff delays{m_options.firstWatchBackoff, m_options.maxWatchBackoff, m_options.seed};
    while (!stop.stop_requested()) {
        const auto begin = m_clock.now();
        m_store.watch(
                manifestKey,
                [this, &delays](const store_value &value) {
                    delays.reset();
                    deliver(value, time_point{});
                },
                stop);
        // A watch without changes ends from time to time. Only watches that fail soon after their
        // start increase the delay.
        if (m_clock.now() - begin > m_options.maxWatchBackoff) {
            delays.reset();
        }
        wait(stop, delays.next());
    }
}

void manifest_watcher::deliver(const store_value &value, time_point sentAt)
{
    if (value.modified == store_revision::none) {
        return;
    }
    const std::lock_guard lock{m_handlerMutex};
    m_handler(manifest_update{config_version{static_cast<std::uint64_t>(value.modified)},
                              value.text, sentAt});
}

void manifest_watcher::wait(const std::stop_token &stop, duration delay)
{
    std::unique_lock lock{m_waitMutex};
    m_stopCondition.wait_for(lock, stop, delay, [] { return false; });
}

} // namespace bamboohead
