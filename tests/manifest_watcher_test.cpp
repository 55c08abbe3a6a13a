#include "bamboohead/manifest_watcher.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// Store that the test controls. A watch blocks until an event, a simulated failure or a stop
/// request.
class scripted_store final : public store_client
{
public:
    store_result<store_value> read(std::string_view) override
    {
        const std::lock_guard lock{mutex};
        ++reads;
        changed.notify_all();
        if (readsFail) {
            return store_error{};
        }
        return current;
    }

    store_result<store_revision> compareAndSwap(std::string_view, store_revision,
                                                std::string_view) override
    {
        return store_error{};
    }

    store_error watch(std::string_view, const watch_listener &listener,
                      std::stop_token stop) override
    {
        std::unique_lock lock{mutex};
        ++watches;
        changed.notify_all();
        while (changed.wait(lock, stop, [this] { return event || failures > 0; })) {
            if (failures > 0) {
                --failures;
                return store_error{};
            }
            const auto value = *std::exchange(event, std::nullopt);
            lock.unlock();
            listener(value);
            lock.lock();
        }
        return store_error{};
    }

    [[nodiscard]] store_counters counters() const override { return {}; }

    template <typename Change>
    void change(Change change)
    {
        const std::lock_guard lock{mutex};
        change(*this);
        changed.notify_all();
    }

    template <typename Condition>
    bool waitFor(Condition condition)
    {
        std::unique_lock lock{mutex};
        return changed.wait_for(lock, 20s, [&] { return condition(*this); });
    }

    std::mutex mutex;
    std::condition_variable_any changed;
    store_value current;
    std::optional<store_value> event;
    bool readsFail = false;
    int failures = 0;
    int reads = 0;
    int watches = 0;
    std::vector<manifest_update> delivered;
};

/// Clock that the test advances while the threads of the watcher read it.
class shared_clock final : public clock
{
public:
    [[nodiscard]] time_point now() const override { return time_point{m_now.load()}; }

    void advance(duration step) { m_now = m_now.load() + step; }

private:
    std::atomic<duration> m_now{1h};
};

struct watcher_fixture
{
    void start(duration readInterval, duration maxBackoff = 2ms)
    {
        watcher_options options;
        options.readInterval = readInterval;
        options.firstWatchBackoff = 1ms;
        options.maxWatchBackoff = maxBackoff;
        watcher = std::make_unique<manifest_watcher>(
                store, time,
                [this](const manifest_update &update) {
                    store.change([&](auto &locked) { locked.delivered.push_back(update); });
                },
                options);
    }

    scripted_store store;
    shared_clock time;
    std::unique_ptr<manifest_watcher> watcher;
};

bool wasDelivered(const scripted_store &store, std::uint64_t version, time_point sentAt)
{
    return std::ranges::any_of(store.delivered, [&](const manifest_update &update) {
        return update.version == config_version{version} && update.sentAt == sentAt;
    });
}

} // namespace

TEST_CASE_FIXTURE(
        watcher_fixture,
        "reads continue while the watch has no events, and report the time they were sent")
{
    // Guards against an entry that treats a watch without events as confirmation of its version.
    store.current = store_value{store_revision{7}, "text"};
    start(1ms);
    CHECK(store.waitFor([](auto &locked) {
        return locked.watches == 1 && locked.reads >= 3 && locked.delivered.size() >= 3;
    }));
    watcher.reset();
    CHECK(wasDelivered(store, 7, time.now()));
    CHECK(store.delivered.back().text == "text");
    CHECK(store.watches == 1);
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "a change from the watch is delivered at once and without the time of a read")
{
    // Guards against a change that is delayed until the next read, and against a late event that
    // confirms its version as current.
    start(1h);
    CHECK(store.waitFor([](auto &locked) { return locked.watches == 1 && locked.reads == 1; }));
    store.change([](auto &locked) { locked.event = store_value{store_revision{8}, "new"}; });
    CHECK(store.waitFor([](auto &locked) { return locked.delivered.size() == 1; }));
    watcher.reset();
    CHECK(wasDelivered(store, 8, time_point{}));
    CHECK(store.reads == 1);
}

TEST_CASE_FIXTURE(watcher_fixture, "a failed watch is reopened and reads find the change")
{
    // Guards against a change that is lost between two watches.
    start(1ms);
    store.change([](auto &locked) { locked.failures = 2; });
    CHECK(store.waitFor([](auto &locked) { return locked.watches == 3; }));
    store.change([](auto &locked) { locked.current = store_value{store_revision{9}, "late"}; });
    CHECK(store.waitFor([&](auto &locked) { return wasDelivered(locked, 9, time.now()); }));
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "the handler is not called after failed reads or for an absent manifest")
{
    // Guards against an unavailable or empty store that confirms a version.
    store.readsFail = true;
    start(1ms);
    CHECK(store.waitFor([](auto &locked) { return locked.reads >= 3; }));
    store.change([](auto &locked) { locked.readsFail = false; });
    const auto before = store.reads;
    CHECK(store.waitFor([&](auto &locked) { return locked.reads >= before + 3; }));
    watcher.reset();
    CHECK(store.delivered.empty());
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "a watch that ends after a long time without events is reopened at once")
{
    // Guards against ever longer delays between watches of a manifest that seldom changes. If the
    // delay doubled each time a watch ends, from 1 ms up to 1 h, it would exceed 15 s and
    // then the 20 s for which waitFor() waits within the 25 watches.
    start(1h, 1h);
    for (int watches = 1; watches <= 25; ++watches) {
        REQUIRE(store.waitFor([&](auto &locked) { return locked.watches == watches; }));
        time.advance(2h);
        store.change([](auto &locked) { locked.failures = 1; });
    }
}
