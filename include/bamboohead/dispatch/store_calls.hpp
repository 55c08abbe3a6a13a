#pragma once

#include "bamboohead/dispatch/target_calls.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Parts of the store's key space that a process reads.
enum class store_area : std::uint8_t {
    configuration, ///< keys written by operators
    members,       ///< one key for each running entry, under a lease; agents have none
};

/// @brief A key of the store with its value, or the removal of the key.
struct store_item
{
    std::string key;            ///< whole key, with the prefix of its area
    std::string value;          ///< empty for a removal
    std::uint64_t revision = 0; ///< revision of the store at the key's newest change
    bool removed = false;

    bool operator==(const store_item &) const = default;
};

/// @brief Identity and timeout of a call.
struct store_header
{
    call_id id{};
    duration timeout{};
};

/// @brief Lists one page of an area.
struct list_area
{
    store_header header;
    store_area area{};
    std::string after;  ///< last whole key of the previous page; empty for the first page
    bool stale = false; ///< allows a stale read, which costs the store less
};

/// @brief Waits for changes of an area after a revision. Ends with `gone` when the store no longer
///        has the history since that revision.
struct watch_area
{
    store_header header;
    store_area area{};
    std::uint64_t revision = 0; ///< revision of the store up to which the changes are known
    duration wait{};            ///< maximum time until the store replies if nothing changes
};

/// @brief Creates a lease.
struct grant_lease
{
    store_header header;
    duration timeToLive{}; ///< the lease expires when it is not renewed for this long
};

/// @brief Renews a lease. Ends with `gone` when the lease has expired.
struct renew_lease
{
    store_header header;
    std::uint64_t lease = 0;
};

/// @brief Revokes a lease, which removes its key.
struct revoke_lease
{
    store_header header;
    std::uint64_t lease = 0;
};

/// @brief Creates a key in the members' area under a lease. If the key exists, the call ends
///        with `conflict`.
struct put_member
{
    store_header header;
    std::string name; ///< key within the area
    std::string value;
    std::uint64_t lease = 0;
};

/// @brief A call to the store.
using store_request =
        std::variant<list_area, watch_area, grant_lease, renew_lease, revoke_lease, put_member>;

/// @brief How a call to the store ended.
enum class store_status : std::uint8_t {
    ok,
    conflict,    ///< the condition of the call is not met
    gone,        ///< the lease has expired, or the store no longer has the requested history
    unavailable, ///< the call was not executed
    unanswered,  ///< no reply; the call may have been executed
};

/// @brief Reply of the store, or the report that there was none.
struct store_reply
{
    call_id id{};
    store_status status = store_status::unanswered;
    std::vector<store_item> items; ///< for list_area and watch_area, without unreadable ones
    /// Items with a key and a revision whose values cannot be read; their `value` is empty.
    std::vector<store_item> unreadable;
    std::size_t malformed = 0;  ///< number of items without a key or revision
    bool more = false;          ///< further pages follow
    std::uint64_t revision = 0; ///< revision of the whole store at the time of the reply
    std::uint64_t lease = 0;    ///< for grant_lease
};

} // namespace bamboohead
