#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/dispatch_action.hpp"
#include "bamboohead/dispatch/store_calls.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Times of a process's calls to the store.
struct store_follower_limits
{
    duration callTimeout = std::chrono::milliseconds{800};
    /// Wait of one watch. A connection that fell silent is noticed only after it, so it is well
    /// below the time in which a change has to be in force.
    duration watchWait = std::chrono::milliseconds{1'000};
    duration firstPause = std::chrono::milliseconds{100}; ///< after a failed call; doubles
    duration longestPause = std::chrono::milliseconds{1'000};
    duration leaseLife = std::chrono::milliseconds{5'000};
    duration leaseRenewal = std::chrono::milliseconds{1'500};
    /// Pause between reads of the members by a process that does not watch them.
    duration connectedPoll = std::chrono::seconds{30};
    duration disconnectedPoll = std::chrono::milliseconds{250};
};

/// @brief Follows one area of the store: reads it, then watches for changes, and reads it again
///        when the history is gone.
class area_follower
{
public:
    /// @param watches false: the area is read from time to time only.
    area_follower(store_area area, const clock &clock, store_follower_limits limits, bool watches);

    /// @brief The next call, when one is due and none is pending.
    [[nodiscard]] std::optional<store_request> nextCall(call_id id);
    /// @return Whether the items have changed.
    bool handle(const store_reply &reply);
    /// @brief Whether a call is pending that has this id.
    [[nodiscard]] bool awaits(call_id id) const { return m_pending == id; }

    [[nodiscard]] const std::map<std::string, std::string> &items() const noexcept
    {
        return m_items;
    }
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    [[nodiscard]] bool failing() const noexcept { return m_failures > 0; }
    /// @brief For an area that is not watched: read it soon, or rarely.
    void pollSoon(bool soon);

private:
    bool listed(const store_reply &reply);
    bool watched(const store_reply &reply);
    void failed();

    store_area m_area;
    const clock &m_clock;
    store_follower_limits m_limits;
    bool m_watches;
    bool m_soon = true;
    std::optional<call_id> m_pending;
    bool m_listing = true;
    std::map<std::string, std::string> m_page; ///< of the list in progress
    std::string m_after;
    std::map<std::string, std::string> m_items;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0;
    time_point m_nextCall;
};

/// @brief Keeps a key of the members' area under a lease, and writes it again when it is lost.
class member_registration
{
public:
    member_registration(std::string name, std::string value, const clock &clock,
                        store_follower_limits limits);

    [[nodiscard]] std::optional<store_request> nextCall(call_id id);
    void handle(const store_reply &reply);
    [[nodiscard]] bool awaits(call_id id) const { return m_pending == id; }
    /// @brief The members' area was read; the key may be missing although its lease lives.
    void membersSeen(bool present);
    /// @brief Ends the lease, so that others no longer find this process.
    void withdraw() { m_withdrawn = true; }

private:
    enum class step : std::uint8_t { grant, put, renew, end, over };

    const clock &m_clock;
    store_follower_limits m_limits;
    std::string m_name;
    std::string m_value;
    std::optional<call_id> m_pending;
    step m_step = step::grant;
    std::uint64_t m_lease = 0;
    std::uint32_t m_failures = 0;
    time_point m_nextCall;
    bool m_withdrawn = false;
    bool m_seen = false; ///< the key was read since it was written
};

/// @brief What a process wants of the store.
struct store_follower_options
{
    bool followConfiguration = false;
    bool watchMembers = false;
    std::string memberName;  ///< empty: the process does not register itself
    std::string memberValue; ///< its endpoint
    store_follower_limits limits;
};

/// @brief All calls of a process to the store. Performs no I/O.
class store_follower
{
public:
    store_follower(store_follower_options options, const clock &clock);

    void handle(const store_reply &reply);
    void tick();
    void withdraw();
    /// @brief Whether the process has contact to an entry; without it the members are read often.
    void connected(bool connected) { m_members.pollSoon(!connected); }

    [[nodiscard]] std::vector<store_request> takeCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<log_event> takeEvents() { return std::exchange(m_events, {}); }
    /// @brief Configuration that was read, when it has changed since the last call.
    /// @return Keys and values, with the revision at which they held.
    [[nodiscard]] std::optional<std::pair<std::map<std::string, std::string>, std::uint64_t>>
    takeConfiguration();
    /// @brief Endpoints of registered entries, when they have changed since the last call.
    [[nodiscard]] std::optional<std::vector<std::string>> takeMembers();

private:
    template <typename Part>
    void poll(Part &part);
    void noteContact(bool failing);
    void log(std::string name);

    store_follower_options m_options;
    area_follower m_configuration;
    area_follower m_members;
    std::optional<member_registration> m_registration;
    std::uint64_t m_lastCall = 0;
    bool m_configurationChanged = false;
    bool m_membersChanged = false;
    bool m_lost = false;
    std::vector<store_request> m_calls;
    std::vector<log_event> m_events;
};

} // namespace bamboohead
