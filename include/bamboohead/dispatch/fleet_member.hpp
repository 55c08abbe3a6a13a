#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/dispatch/desired_state.hpp"
#include "bamboohead/dispatch/dispatch_action.hpp"
#include "bamboohead/dispatch/dropped_routes.hpp"
#include "bamboohead/link_table.hpp"

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace bamboohead {

/// @brief Common functions of entries and agents: links to peers, discovery of entries, exchange of
///        the desired state between processes, and collection of actions.
///
/// The fleet consists of all processes with a dispatch_entry or dispatch_agent that exchange
/// messages with each other. Each dispatch_entry and dispatch_agent owns one fleet_member.
///
/// Discovery needs the endpoint of one running process, a contact: any process answers a hello with
/// the entries that it knows. Contacts come from the settings and from the store, and may be
/// outdated.
class fleet_member
{
public:
    fleet_member(process_identity self, const clock &clock);

    /// @brief Updates the link to the sender and handles messages of discovery and desired state.
    ///        Other messages are left to the owner of this object.
    /// @return Result of link_table::receive().
    receive_result receive(const wire::Envelope &envelope);
    /// @brief Sends a hello to contacts without a live link, that is without an echo of a stamp
    ///        that is at most 7 s old, and removes peers without a message for 10 s.
    void tick();

    /// @brief Adds endpoints of processes to ask for the entries; the newest 1,024 are known. At
    ///        most 64 are contacted at a time: one without a live link for 5 s is replaced when
    ///        others are known.
    void addContacts(const std::vector<std::string> &endpoints);

    /// @brief Replaces the desired state by one of a peer if that is newer. Of a state without a
    ///        configuration (version 0) only the zones out of service are taken, if a configuration
    ///        is held: callers are served by the last valid one.
    /// @param source Origin of the state, for the log.
    /// @return Whether it was newer.
    bool adopt(const desired_state &newer, std::string_view source);
    /// @brief The same for a state that was read from the store. A state that differs from the held
    ///        one only in its revision leaves that unchanged: each process reads the store at
    ///        another revision, and peers request a state whose revision is higher than theirs.
    bool adoptFromStore(const desired_state &read);
    /// @brief Records that the store's newest state had `revision` at the time `at`. Has no effect
    ///        unless the held state is that one or newer.
    /// @return Whether it has an effect.
    bool proveCurrent(std::uint64_t revision, time_point at);
    /// @brief Time since which the held state may have been outdated. Messages carry it to peers
    ///        with the same state, who add the age of the message.
    /// @return Nothing when there is no proof.
    [[nodiscard]] std::optional<duration> proofAge() const;
    [[nodiscard]] const desired_state &config() const noexcept { return m_config; }
    /// @brief Routes of earlier configurations that config() lacks.
    [[nodiscard]] const dropped_routes &droppedRoutes() const noexcept { return m_droppedRoutes; }
    /// @brief Requests the desired state of a peer when the revision that it reports is newer.
    ///        Requests to one peer are at least 300 ms apart.
    ///
    /// The message fields `config_version`, `held_version` and, in ConfigPush, `version` contain
    /// desired_state::revision, not desired_state::version.
    void handlePeerRevision(incarnation_id peer, std::uint64_t revision);

    /// @brief Sends a message to a peer; does nothing when the peer is unknown.
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
    /// @brief Adds to a message the entries that have echoed a stamp of the last 7 s, see
    ///        link_table, and this process if it is an entry.
    /// @param since Lists only other entries that have sent their first echo at this time or later;
    ///              by default all entries and this process are listed.
    template <typename Message>
    void fillMembers(Message &message, time_point since = {}) const
    {
        if (self().role == wire::ROLE_ENTRY && since == time_point{}) {
            addMember(*message.add_entries(), self().incarnation, self().endpoint, self().zone);
        }
        for (const auto *const peer : m_links.peers(wire::ROLE_ENTRY)) {
            if (peer->firstEcho >= since && m_links.alive(peer->incarnation, maxListedEchoAge)) {
                addMember(*message.add_entries(), peer->incarnation, peer->endpoint, peer->zone);
            }
        }
    }

private:
    /// Maximum age of the newest stamp that an entry listed to other processes has echoed.
    static constexpr duration maxListedEchoAge = std::chrono::seconds{7};

    static void addMember(wire::Member &out, incarnation_id incarnation,
                          const std::string &endpoint, const std::string &zone);
    template <typename Message>
    void addEntryLinks(const Message &message)
    {
        for (const auto &member : message.entries()) {
            m_links.add(incarnation_id{member.incarnation()}, member.endpoint(), wire::ROLE_ENTRY,
                        member.zone());
        }
    }
    /// A process that is asked for the entries.
    struct contact
    {
        time_point lastHello;
        time_point lastLive; ///< when it had a live link, or else was added
    };

    /// What is held after `newer` is adopted.
    [[nodiscard]] desired_state merge(const desired_state &newer, std::string_view source);
    void replace(const desired_state &state, std::string_view source);
    void handleProof(const wire::Envelope &envelope, const receive_result &received);
    void replaceSilentContacts();
    void addNextContact();
    void sendHelloTo(const std::string &endpoint);
    [[nodiscard]] bool hasLiveLink(const std::string &endpoint) const;
    void removeSilentPeers();

    const clock &m_clock;
    link_table m_links;
    desired_state m_config;
    /// Revision of the store's newest state that was read and had the content of `m_config`; 0:
    /// none.
    std::uint64_t m_readRevision = 0;
    std::optional<time_point> m_proof; ///< newest time at which `m_config` was current
    dropped_routes m_droppedRoutes;
    std::map<std::string, contact> m_contacts; ///< by endpoint; those that are contacted now
    /// Known endpoints, most recently added first; includes those in `m_contacts`.
    std::deque<std::string> m_knownEndpoints;
    std::size_t m_nextKnown = 0; ///< index of the next known endpoint to contact
    /// Time of the last request for the state of each peer.
    std::map<incarnation_id, time_point> m_lastPulls;
    std::vector<dispatch_action> m_actions;
};

} // namespace bamboohead
