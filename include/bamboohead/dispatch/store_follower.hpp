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

/// @brief Timeouts and intervals of a process's calls to the store.
struct store_follower_limits
{
    duration callTimeout = std::chrono::milliseconds{800};
    /// Timeout of a list in the mode `on_request`. Two of them fit between
    /// state_reader_limits::maxProofAge and state_reader_limits::maxStartProofAge, so that tasks do
    /// not wait for a store that does not answer.
    duration requestTimeout = std::chrono::milliseconds{300};
    /// Time for which the store may hold back its reply to a watch. A dead connection is detected
    /// only after this time, so the time is well below the one within which a change of the store
    /// has to take effect.
    duration watchWait = std::chrono::milliseconds{1'000};
    /// Delay after a failed call; doubles with each consecutive failure, up to `maxRetryDelay`.
    duration initialRetryDelay = std::chrono::milliseconds{100};
    duration maxRetryDelay = std::chrono::milliseconds{1'000};
    /// Duration of the lease under which the process is registered.
    duration leaseDuration = std::chrono::milliseconds{5'000};
    duration leaseRenewalInterval = std::chrono::milliseconds{1'500};
    /// Interval between reads of the members' area by a process that does not watch it, while the
    /// process is connected to an entry.
    duration connectedPollInterval = std::chrono::seconds{30};
    /// The same interval while the process is not connected to an entry.
    duration disconnectedPollInterval = std::chrono::milliseconds{250};
};

/// @brief How an area_follower reads its area.
enum class follow_mode : std::uint8_t {
    watch,      ///< lists the area, then watches for changes
    poll,       ///< lists the area at intervals; the store may return an older state
    on_request, ///< lists the area once for each request()
};

/// @brief Proof that what was read of an area was the store's newest state at some time.
struct area_proof
{
    std::uint64_t revision = 0; ///< area_follower::revision()
    time_point at;              ///< when the store had no newer change
    bool listed = false; ///< whether the whole area was listed since the last proof was taken
};

/// @brief Proof that the configuration was the store's newest one at some time.
struct store_proof
{
    std::uint64_t revision = 0;
    time_point at; ///< when the store had no newer change
    /// The whole configuration by key, if it was listed. It may be the one that
    /// store_follower::takeConfiguration() has returned, while a peer has sent another one since.
    std::optional<std::map<std::string, std::string>> values;
};

/// @brief Keeps a local copy of one area of the store: lists its items, then watches for changes,
///        and lists them again when the store no longer has the history since the last known
///        revision. While the value of a key cannot be read, its last readable value holds.
///
/// The pages of a list are not a snapshot: the list is complete up to the revision of its first
/// page, where the watch begins, and later pages may contain newer items. Items are therefore
/// compared by their own revisions, and neither a list nor an event replaces or removes a newer
/// item.
class area_follower
{
public:
    area_follower(store_area area, const clock &clock, store_follower_limits limits,
                  follow_mode mode);

    /// @brief Makes the next call under the given id.
    /// @return Nothing when no call is due or one is pending.
    [[nodiscard]] std::optional<store_request> nextCall(call_id id);
    /// @brief Handles the reply to the pending call.
    /// @return Whether the items may have changed; also true for a first list without items.
    bool handle(const store_reply &reply);
    /// @brief Whether the call with this id is pending.
    [[nodiscard]] bool awaits(call_id id) const { return m_pending == id; }

    /// @brief Items by key; empty before the first complete list.
    [[nodiscard]] const std::map<std::string, store_item> &items() const noexcept
    {
        return m_items;
    }
    /// @brief The values of the items by key.
    [[nodiscard]] std::map<std::string, std::string> values() const;
    /// @brief Revision of the store up to which the items are complete; 0 before the first list.
    ///        Single items may be newer.
    [[nodiscard]] std::uint64_t revision() const noexcept { return m_revision; }
    /// @brief Whether a call has failed since the last complete list or watch. A list fails when a
    ///        page does not advance beyond the one before, a watch when it returns only events
    ///        without key or revision. A watch that ends with the status `gone` leaves the value
    ///        unchanged.
    [[nodiscard]] bool failing() const noexcept { return m_failures > 0; }
    /// @brief Selects the poll interval of an area that is not watched: the disconnected one (true)
    ///        or the connected one. A change to true makes a poll due at once.
    void pollOften(bool often);
    /// @brief Makes a list due in the mode `on_request`. A failed one is not repeated.
    void request() { m_requested = true; }
    /// @brief Returns the newest proof since the last call; always nothing in the mode `poll`.
    [[nodiscard]] std::optional<area_proof> takeProof() { return std::exchange(m_proof, {}); }
    /// @brief Whether a requested list has failed since the last call.
    [[nodiscard]] bool takeRequestFailure() { return std::exchange(m_requestFailed, false); }

private:
    bool handleListReply(const store_reply &reply);
    bool finishList();
    bool handleWatchReply(const store_reply &reply);
    void handleFailure();

    store_area m_area;
    const clock &m_clock;
    store_follower_limits m_limits;
    follow_mode m_mode;
    bool m_pollOften = true;
    bool m_requested = false;
    bool m_requestFailed = false;
    time_point m_callSent;  ///< when the pending call was made
    time_point m_listBegin; ///< when the first page of the list in progress was requested
    std::optional<area_proof> m_proof;
    std::optional<call_id> m_pending;
    bool m_listing = true; ///< the pending or next call is a list; false: it is a watch
    std::map<std::string, store_item> m_partialItems; ///< items of the list in progress
    std::string m_lastKey;                            ///< last key of the list in progress
    std::uint64_t m_listRevision = 0; ///< revision of the first page of the list in progress
    std::map<std::string, store_item> m_items;
    std::uint64_t m_revision = 0;
    std::uint32_t m_failures = 0;
    std::uint32_t m_historyLosses = 0; ///< number of losses since the last successful watch
    time_point m_nextCallTime;
};

/// @brief Registers the process under a key of the members' area: keeps the key's lease alive and
///        writes the key again when it is lost.
class member_registration
{
public:
    member_registration(std::string name, std::string value, const clock &clock,
                        store_follower_limits limits);

    /// @brief Makes the next call under the given id.
    /// @return Nothing when no call is due or one is pending.
    [[nodiscard]] std::optional<store_request> nextCall(call_id id);
    /// @brief Handles the reply to the pending call. The key is unique to the incarnation, so the
    ///        status `conflict` of a put counts as success.
    void handle(const store_reply &reply);
    /// @brief Whether the call with this id is pending.
    [[nodiscard]] bool awaits(call_id id) const { return m_pending == id; }
    /// @brief Handles a read of the members' area. A key that has disappeared is written again;
    ///        this can happen while its lease is valid.
    /// @param present Whether a key with the own value was read.
    void handleMembers(bool present);
    /// @brief Makes the next call revoke the lease, so that other processes no longer find this
    ///        one. That call is due as soon as no call is pending, also when no lease has been
    ///        granted; it then revokes lease 0.
    void deregister() { m_deregistered = true; }

private:
    enum class step : std::uint8_t { grant, put, renew, revoke, finished };

    const clock &m_clock;
    store_follower_limits m_limits;
    std::string m_name;
    std::string m_value;
    std::optional<call_id> m_pending;
    step m_step = step::grant;
    std::uint64_t m_lease = 0;
    std::uint32_t m_failures = 0;
    time_point m_nextCallTime;
    bool m_deregistered = false;
    /// Whether a read has found a key with the own value. Reset when a later read finds none and
    /// the key is therefore written again.
    bool m_keySeen = false;
};

/// @brief Which areas of the store a process reads, and how it registers itself.
struct store_follower_options
{
    /// `poll` is not supported for the configuration.
    follow_mode configuration = follow_mode::on_request;
    follow_mode members = follow_mode::poll;
    /// Key in the members' area, without the area's prefix; empty: no registration. Has to be
    /// unique to the incarnation, see member_registration::handle().
    std::string memberName;
    std::string memberValue; ///< endpoint of the process
    store_follower_limits limits;
};

/// @brief Decides on all calls of a process to the store. Performs no I/O.
class store_follower
{
public:
    store_follower(store_follower_options options, const clock &clock);

    /// @brief Handles a reply, or its timeout. Replies to unknown calls are ignored.
    void handle(const store_reply &reply);
    /// @brief Makes the calls that are due.
    void tick();
    /// @brief Revokes the registration of the process, if it has one.
    void deregister();
    /// @brief Sets whether the process is connected to an entry. While it is not, the members are
    ///        polled more often.
    void setConnected(bool connected) { m_members.pollOften(!connected); }
    /// @brief Reads the configuration once, in the mode `on_request`.
    void requestConfiguration() { m_configuration.request(); }

    /// @brief Removes and returns the collected calls or log events.
    /// @{
    [[nodiscard]] std::vector<store_request> takeCalls() { return std::exchange(m_calls, {}); }
    [[nodiscard]] std::vector<log_event> takeEvents() { return std::exchange(m_events, {}); }
    /// @}

    /// @brief Returns the configuration if it has changed since the last call.
    /// @return Keys and values with the revision up to which they are complete, else nothing.
    [[nodiscard]] std::optional<std::pair<std::map<std::string, std::string>, std::uint64_t>>
    takeConfiguration();
    /// @brief Returns the newest proof since the last call that the configuration was current, if
    ///        any. It refers to the configuration that takeConfiguration() has returned.
    [[nodiscard]] std::optional<store_proof> takeProof();
    /// @brief Whether a requested read of the configuration has failed since the last call.
    [[nodiscard]] bool takeRequestFailure() { return m_configuration.takeRequestFailure(); }
    /// @brief Returns the endpoints of the registered entries if they have changed since the last
    ///        call.
    [[nodiscard]] std::optional<std::vector<std::string>> takeMembers();

private:
    template <typename Component>
    void collectCall(Component &component);
    void updateReachability(bool failing);
    void log(std::string name);

    store_follower_options m_options;
    area_follower m_configuration;
    area_follower m_members;
    std::optional<member_registration> m_registration;
    std::uint64_t m_lastCall = 0;
    bool m_configurationChanged = false;
    bool m_membersChanged = false;
    bool m_storeUnreachable = false; ///< whether the newest read or watch of an area has failed
    std::vector<store_request> m_calls;
    std::vector<log_event> m_events;
};

} // namespace bamboohead
