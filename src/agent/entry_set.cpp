#include "bamboohead/detail/agent/entry_set.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <xxhash.h>

namespace bamboohead::detail {

std::uint64_t rendezvousWeight(incarnation_id agent, incarnation_id entry) noexcept
{
    const std::array words{static_cast<std::uint64_t>(agent), static_cast<std::uint64_t>(entry)};
    return XXH3_64bits(words.data(), sizeof(words));
}

entry_set::entry_set(link_table &links, const clock &clock)
    : m_links{links}
    , m_clock{clock}
{}

void entry_set::addMember(const wire::Member &member)
{
    const incarnation_id entry{member.incarnation()};
    if (entry == incarnation_id::none || entry == m_links.self().incarnation) {
        return;
    }
    m_links.add(entry, member.endpoint(), wire::ROLE_ENTRY, member.zone());
    m_listedEntries[entry].lastListed = m_clock.now();
}

std::vector<incarnation_id> entry_set::refresh()
{
    std::vector<incarnation_id> dropped;
    for (const auto *entry : m_links.peers(wire::ROLE_ENTRY)) {
        if (!responsive(*entry) && !recentlyListed(entry->incarnation)) {
            dropped.push_back(entry->incarnation);
        }
    }
    for (const auto entry : dropped) {
        m_links.remove(entry);
        m_listedEntries.erase(entry);
    }
    choose();
    return dropped;
}

std::vector<incarnation_id> entry_set::takeDueHellos()
{
    std::vector<incarnation_id> due;
    const auto now = m_clock.now();
    for (auto &[entry, state] : m_listedEntries) {
        const auto *known = m_links.find(entry);
        if (known == nullptr || responsive(*known) || now - state.lastHello < helloInterval ||
            !wouldBeChosen(entry)) {
            continue;
        }
        state.lastHello = now;
        due.push_back(entry);
    }
    return due;
}

bool entry_set::anyAlive(duration limit) const
{
    return std::ranges::any_of(m_links.peers(wire::ROLE_ENTRY), [&](const peer_link *entry) {
        return m_links.alive(entry->incarnation, limit);
    });
}

bool entry_set::responsive(const peer_link &entry) const
{
    // A new entry counts as responsive at first, since it needs time to echo a timestamp.
    return m_links.alive(entry.incarnation, entryRemovalTimeout) ||
           m_clock.now() - entry.added <= entryRemovalTimeout;
}

bool entry_set::wouldBeChosen(incarnation_id entry) const
{
    if (m_chosen.size() < maxChosenEntries) {
        return true;
    }
    const auto self = m_links.self().incarnation;
    const auto weight = rendezvousWeight(self, entry);
    return std::ranges::any_of(m_chosen, [&](incarnation_id chosen) {
        return rendezvousWeight(self, chosen) < weight;
    });
}

bool entry_set::recentlyListed(incarnation_id entry) const
{
    const auto found = m_listedEntries.find(entry);
    return found != m_listedEntries.end() &&
           m_clock.now() - found->second.lastListed <= 2 * helloInterval;
}

void entry_set::choose()
{
    std::vector<std::pair<std::uint64_t, incarnation_id>> weighted;
    for (const auto *entry : m_links.peers(wire::ROLE_ENTRY)) {
        if (responsive(*entry)) {
            const auto weight = rendezvousWeight(m_links.self().incarnation, entry->incarnation);
            weighted.emplace_back(weight, entry->incarnation);
        }
    }
    std::ranges::sort(weighted, std::greater<>{});
    weighted.resize(std::min(weighted.size(), maxChosenEntries));
    m_chosen.clear();
    for (const auto &[weight, entry] : weighted) {
        m_chosen.insert(entry);
    }
}

} // namespace bamboohead::detail
