#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace bamboohead::detail {

/// @brief Maximum number of chosen entries (see entry_set).
inline constexpr std::size_t maxChosenEntries = 6;
/// @brief Maximum age of the newest timestamp of this agent that an entry has echoed, for the entry
///        to count as responsive. An entry that was added within this time counts as responsive
///        too. An unresponsive entry is not chosen, and it is removed unless it was in a
///        member list received within 2 * helloInterval.
inline constexpr duration entryRemovalTimeout = std::chrono::seconds{10};
/// @brief Interval between hello messages to the seeds while an entry is alive (otherwise
///        reconnectHelloInterval), and to each unresponsive listed entry that would be chosen.
inline constexpr duration helloInterval = std::chrono::seconds{10};

/// @brief Weight of an entry for an agent in rendezvous hashing (xxHash). The entries with the
///        highest weights are chosen. The weight is the same in every process.
[[nodiscard]] std::uint64_t rendezvousWeight(incarnation_id agent, incarnation_id entry) noexcept;

/// @brief Entries that an agent knows, and the chosen ones among them. The agent issues credits
///        only to chosen entries, and sends regular heartbeats only to them and to entries whose
///        orders it holds. They are chosen by rendezvous hashing (docs/design.md, 2.6).
class entry_set
{
public:
    entry_set(link_table &links, const clock &clock);

    /// @brief Adds an entry from a received member list, and records the time at which it was
    ///        listed.
    void addMember(const wire::Member &member);

    /// @brief Removes unresponsive entries that were in no member list received within
    ///        2 * helloInterval, and chooses the chosen entries anew.
    /// @return The removed entries.
    std::vector<incarnation_id> refresh();

    /// @brief Returns the unresponsive listed entries to which a hello message is due, and
    ///        schedules their next one.
    ///
    /// Only entries that would be chosen if they answered are included. Each hello is answered with
    /// the complete member list, so the cost of hello messages to all entries grows with the square
    /// of their number.
    [[nodiscard]] std::vector<incarnation_id> takeDueHellos();

    [[nodiscard]] bool chosen(incarnation_id entry) const { return m_chosen.contains(entry); }
    [[nodiscard]] const std::set<incarnation_id> &chosen() const noexcept { return m_chosen; }

    /// @brief Whether any entry has echoed a timestamp that is at most `limit` old.
    [[nodiscard]] bool anyAlive(duration limit) const;

private:
    /// Times at which an entry was last in a received member list and was last sent a hello
    /// message.
    struct listed_entry
    {
        time_point lastListed;
        time_point lastHello;
    };

    [[nodiscard]] bool responsive(const peer_link &entry) const;
    [[nodiscard]] bool wouldBeChosen(incarnation_id entry) const;
    [[nodiscard]] bool recentlyListed(incarnation_id entry) const;
    void choose();

    link_table &m_links;
    const clock &m_clock;
    std::map<incarnation_id, listed_entry> m_listedEntries;
    std::set<incarnation_id> m_chosen;
};

} // namespace bamboohead::detail
