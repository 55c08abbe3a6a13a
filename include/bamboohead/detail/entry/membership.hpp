#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Peer discovery, heartbeats and distribution of the configuration.
class membership
{
public:
    explicit membership(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Handles the first message of a peer: sends it a heartbeat, whose timestamp the peer
    ///        echoes.
    void firstContact(const wire::Envelope &envelope);
    /// @brief Sends a heartbeat to the sender of a message whose echo is older than `newsOverdue`:
    ///        it has received nothing for that time, and may soon consider this entry failed.
    void answerProbe(const wire::Envelope &envelope, std::optional<duration> age);
    /// @brief Replies to a hello with the member list.
    void receiveHello(const wire::Envelope &envelope);
    void receive(const wire::MemberList &list);
    void receive(const wire::Envelope &envelope, const wire::EntryHeartbeat &heartbeat);
    void receive(const wire::Envelope &envelope, const wire::AgentHeartbeat &heartbeat);
    void receive(incarnation_id sender, const wire::ConfigPull &pull);
    void receive(const wire::ConfigPush &push);

    /// @brief Adopts a configuration if it is valid and newer, and announces its version at once.
    /// @param text The manifest as JSON.
    void offer(config_version version, const std::string &text);

    void sendHeartbeat(agent_record &agent);
    /// @brief Sends a heartbeat to all entries and agents without waiting for the interval.
    void announce();
    /// @brief Sends due hellos and heartbeats, and removes peers that echo nothing: entries at each
    ///        sweep, agents when hellos are sent.
    void tick();

    /// @brief Other entries that are alive.
    [[nodiscard]] std::vector<const peer_link *> liveEntries() const;
    /// @brief Number of other live entries at the last sweep.
    [[nodiscard]] std::uint32_t liveEntryCount() const noexcept { return m_liveEntries; }

private:
    void fillConfig(wire::EntryHeartbeat &heartbeat) const;
    void sendEntryHeartbeat(incarnation_id entry);
    void fillMembers(google::protobuf::RepeatedPtrField<wire::Member> &out) const;
    /// @brief Adds entries that were unknown, and sends them a heartbeat.
    void addPeers(const google::protobuf::RepeatedPtrField<wire::Member> &members);
    void updateLoad(agent_record &agent, const wire::AgentHeartbeat &heartbeat);
    /// @brief Requests the sender's configuration when its version is newer than the local one.
    void pullIfNewer(incarnation_id sender, std::uint64_t version);
    /// @brief Records a proof, for the sender's zone, that the local configuration is current, when
    ///        the sender has the same version. Without the store, a configuration is current when
    ///        processes of most zones confirm its version (docs/design.md, 2.3).
    void recordZoneProof(const wire::Envelope &envelope, config_version version);
    /// @brief Sends the member list to all agents after the number of live entries has grown. The
    ///        agents would request it only at their next hello, up to 10 s later.
    void sendMembersToAgents();
    /// @brief When hellos are due, sends them to the seeds and calls removeSilentAgents().
    void sendHellos();
    /// @brief Selects the entry whose next heartbeat carries the whole member list, in round robin.
    ///
    /// A list to all entries is sent only when the number of live entries has grown since the last
    /// call of removeSilentEntries(), because its size times the number of receivers grows with the
    /// square of the number of entries.
    void scheduleMemberList();
    void heartbeatEntries();
    void heartbeatAgents();
    /// @brief Whether a heartbeat to a peer is due: after `interval`, or after `probeInterval` when
    ///        a message from the peer is overdue and the peer is not considered failed yet.
    [[nodiscard]] bool heartbeatDue(incarnation_id peer, time_point sent, duration interval) const;
    /// @brief Removes entries that have echoed no stamp of the last `peerRetention`, unless
    ///        they have echoed nothing yet and were added within that time.
    ///
    /// Also removes the team usage of entries that are not alive, and counts the live ones. If
    /// their number has grown since the last call, makes the member list due to all entries and
    /// sends it to all agents.
    void removeSilentEntries();
    /// @brief Removes agents under the same condition that are not in the agent table.
    void removeSilentAgents();

    entry_context &m_ctx;
    std::optional<time_point> m_helloSent;
    time_point m_nextSweep;
    std::uint32_t m_liveEntries = 0;
    time_point m_pullSent;
    time_point m_memberListScheduled; ///< when an entry was last selected for the member list
    incarnation_id m_lastMemberListReceiver = incarnation_id::none;
};

} // namespace bamboohead::detail
