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

/// @brief Entries that an agent announces itself to.
inline constexpr std::size_t maxChosenEntries = 6;
/// @brief An entry without a fresh echo for this long is not chosen, and dropped unless listed.
inline constexpr duration entrySilenceLimit = std::chrono::seconds{10};
/// @brief Interval between greetings of the seeds and of silent listed entries.
inline constexpr duration helloInterval = std::chrono::seconds{10};

/// @brief Stable weight (xxHash) of an entry for an agent; the highest weights are chosen.
[[nodiscard]] std::uint64_t rendezvousWeight(incarnation_id agent, incarnation_id entry) noexcept;

/// @brief Entries known to an agent, and which of them it announces itself to (design 2.6).
class entry_set
{
public:
    entry_set(link_table &links, const clock &clock);

    /// @brief An entry or a seed named another entry.
    void listed(const wire::Member &member);

    /// @brief Drops silent entries and chooses again.
    /// @return The dropped entries.
    std::vector<incarnation_id> refresh();

    /// @brief Silent listed entries that are due for a greeting; the next one is scheduled.
    ///
    /// An entry is greeted only when it would be chosen if it answered. Each greeting is answered
    /// with the whole member list, so greeting all entries costs the square of their number.
    [[nodiscard]] std::vector<incarnation_id> takeProbes();

    [[nodiscard]] bool chosen(incarnation_id entry) const { return m_chosen.contains(entry); }
    [[nodiscard]] const std::set<incarnation_id> &chosen() const noexcept { return m_chosen; }

    /// @brief Whether any entry has answered within `limit`.
    [[nodiscard]] bool anyAlive(duration limit) const;

private:
    struct listing
    {
        time_point heard;
        time_point probed;
    };

    [[nodiscard]] bool responsive(const link &entry) const;
    [[nodiscard]] bool wanted(incarnation_id entry) const;
    [[nodiscard]] bool recentlyListed(incarnation_id entry) const;
    void choose();

    link_table &m_links;
    const clock &m_clock;
    std::map<incarnation_id, listing> m_listings;
    std::set<incarnation_id> m_chosen;
};

} // namespace bamboohead::detail
