#pragma once

#include "bamboohead/dispatch/target_calls.hpp"
#include "bamboohead/types.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bamboohead {

/// @brief Parts of the store that a process reads.
enum class store_area : std::uint8_t {
    configuration, ///< what operators write
    members,       ///< entries that live, each under a lease
};

/// @brief A key of the store, or its removal.
struct store_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// @brief Identity of a call and how long its reply is awaited.
struct store_header
{
    call_id id{};
    duration timeout{};
};

/// @brief Reads a page of an area.
struct list_area
{
    store_header header;
    store_area area{};
    std::string after;  ///< last key of the page before
    bool stale = false; ///< an older state will do, which costs less
};

/// @brief Waits for changes of an area after a revision.
struct watch_area
{
    store_header header;
    store_area area{};
    std::uint64_t revision = 0;
    duration wait{};
};

struct grant_lease
{
    store_header header;
    duration life{};
};

struct renew_lease
{
    store_header header;
    std::uint64_t lease = 0;
};

struct end_lease
{
    store_header header;
    std::uint64_t lease = 0;
};

/// @brief Writes a key of the members' area that does not exist yet.
struct put_member
{
    store_header header;
    std::string name;
    std::string value;
    std::uint64_t lease = 0;
};

using store_request =
        std::variant<list_area, watch_area, grant_lease, renew_lease, end_lease, put_member>;

/// @brief How a call to the store ended.
enum class store_status : std::uint8_t {
    ok,
    conflict,    ///< the condition does not hold
    gone,        ///< the lease or the history that the call needs has ended
    unavailable, ///< nothing was done
    unanswered,  ///< may have been done
};

/// @brief Reply of the store, or its absence.
struct store_reply
{
    call_id id{};
    store_status status = store_status::unanswered;
    std::vector<store_item> items;
    bool more = false;          ///< further pages follow
    std::uint64_t revision = 0; ///< of the whole store at the time of the reply
    std::uint64_t lease = 0;
};

} // namespace bamboohead
