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

/// @brief Maximum number of entries to which an agent announces itself.
inline constexpr std::size_t maxChosenEntries = 6;
/// @brief Time without an echo of this agent's stamps after which an entry is not chosen. The entry
///        is also removed, unless other processes have listed it recently.
inline constexpr duration entryRemovalTimeout = std::chrono::seconds{10};
/// @brief Interval between hello messages to the seeds, and to each unresponsive listed entry.
inline constexpr duration helloInterval = std::chrono::seconds{10};

/// @brief Weight of an entry for an agent in rendezvous hashing (xxHash). The entries with the
///        highest weights are chosen. The weight is the same in every process.
[[nodiscard]] std::uint64_t rendezvousWeight(incarnation_id agent, incarnation_id entry) noexcept;

/// @brief Entries that an agent knows, and the subset to which it announces itself. The subset is
///        chosen by rendezvous hashing (design 2.6).
class entry_set
{
public:
    entry_set(link_table &links, const clock &clock);

    /// @brief Adds an entry from the member list of another entry, or renews it.
    void addMember(const wire::Member &member);

    /// @brief Removes unresponsive entries that are no longer listed, and chooses the subset again.
    /// @return The removed entries.
    std::vector<incarnation_id> refresh();

    /// @brief Returns the unresponsive listed entries to which a hello message (a probe) is due,
    /// and
    ///        schedules their next one.
    ///
    /// Only entries that would be chosen if they answered are included. Each hello is answered with
    /// the complete member list, so the cost of probing all entries grows with the square of their
    /// number.
    [[nodiscard]] std::vector<incarnation_id> takeProbes();

    [[nodiscard]] bool chosen(incarnation_id entry) const { return m_chosen.contains(entry); }
    [[nodiscard]] const std::set<incarnation_id> &chosen() const noexcept { return m_chosen; }

    /// @brief Whether any entry has echoed a stamp that is at most `limit` old.
    [[nodiscard]] bool anyAlive(duration limit) const;

private:
    /// Times of the last mention in a member list and of the last hello message.
    struct listing
    {
        time_point lastListed;
        time_point lastProbe;
    };

    [[nodiscard]] bool responsive(const peer_link &entry) const;
    [[nodiscard]] bool wouldBeChosen(incarnation_id entry) const;
    [[nodiscard]] bool recentlyListed(incarnation_id entry) const;
    void choose();

    link_table &m_links;
    const clock &m_clock;
    std::map<incarnation_id, listing> m_listings;
    std::set<incarnation_id> m_chosen;
};

} // namespace bamboohead::detail
