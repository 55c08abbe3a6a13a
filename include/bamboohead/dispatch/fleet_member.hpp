#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/desired_state.hpp"
#include "bamboohead/dispatch/dispatch_action.hpp"
#include "bamboohead/link_table.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief What entries and agents have in common: links to peers, discovery of entries, and the
///        desired state that processes pass on to each other. Collects the actions of its core.
///
/// Discovery needs one contact: any process answers a hello with the entries that it knows.
/// Contacts come from the settings and from the store, and may be stale.
class fleet_member
{
public:
    fleet_member(process_identity self, const clock &clock);

    /// @brief Handles discovery and desired state; other messages are left to the core.
    /// @return Whether the sender and the receiver are as the envelope says, and its age.
    reception receive(const wire::Envelope &envelope);
    /// @brief Greets contacts that are not linked and forgets peers that are gone.
    void tick();

    /// @brief Endpoints of processes that may know entries.
    void addContacts(const std::vector<std::string> &endpoints);

    /// @brief Takes a state read from the store or a peer when it is newer than the one held.
    /// @return Whether it was newer.
    bool adopt(const desired_state &state, std::string_view source);
    [[nodiscard]] const desired_state &config() const noexcept { return m_config; }
    /// @brief Notes the revision that a peer holds, and asks for its state when it is newer.
    void peerHolds(incarnation_id peer, std::uint64_t revision);

    void send(incarnation_id receiver, wire::Envelope envelope);
    void log(std::string name, std::vector<std::pair<std::string, std::string>> fields);
    void push(dispatch_action action) { m_actions.push_back(std::move(action)); }
    [[nodiscard]] std::vector<dispatch_action> takeActions()
    {
        return std::exchange(m_actions, {});
    }

    [[nodiscard]] const link_table &links() const noexcept { return m_links; }
    [[nodiscard]] time_point now() const { return m_clock.now(); }
    [[nodiscard]] const process_identity &self() const noexcept { return m_links.self(); }
    /// @brief Fills the entries that are known to live, this process included when it is one.
    template <typename Message>
    void fillMembers(Message &message) const
    {
        if (self().role == wire::ROLE_ENTRY) {
            addMember(*message.add_entries(), self().incarnation, self().endpoint, self().zone);
        }
        for (const auto *const peer : m_links.peers(wire::ROLE_ENTRY)) {
            if (m_links.alive(peer->incarnation, memberLimit)) {
                addMember(*message.add_entries(), peer->incarnation, peer->endpoint, peer->zone);
            }
        }
    }

private:
    /// An entry that was heard within this time is passed on to others.
    static constexpr duration memberLimit = std::chrono::seconds{2};

    static void addMember(wire::Member &out, incarnation_id incarnation,
                          const std::string &endpoint, const std::string &zone);
    template <typename Message>
    void learnMembers(const Message &message)
    {
        for (const auto &member : message.entries()) {
            m_links.add(incarnation_id{member.incarnation()}, member.endpoint(), wire::ROLE_ENTRY,
                        member.zone());
        }
    }
    void greet(const std::string &endpoint);
    [[nodiscard]] bool linked(const std::string &endpoint) const;
    void forgetSilent();

    const clock &m_clock;
    link_table m_links;
    desired_state m_config;
    std::map<std::string, time_point> m_contacts; ///< endpoint to time of the last hello
    std::map<incarnation_id, time_point> m_pulls;
    std::vector<dispatch_action> m_actions;
};

} // namespace bamboohead
