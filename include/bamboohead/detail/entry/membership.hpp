#pragma once

#include "bamboohead/detail/entry/context.hpp"

namespace bamboohead::detail {

/// @brief Discovery, heartbeats and the spreading of the configuration.
class membership
{
public:
    explicit membership(entry_context &context)
        : m_ctx{context}
    {}

    /// @brief Greets a process that was heard for the first time, so that echoes start.
    void firstContact(const wire::Envelope &envelope);
    void receiveHello(const wire::Envelope &envelope);
    void receive(const wire::MemberList &list);
    void receive(const wire::Envelope &envelope, const wire::EntryHeartbeat &heartbeat);
    void receive(const wire::Envelope &envelope, const wire::AgentHeartbeat &heartbeat);
    void receive(incarnation_id sender, const wire::ConfigPull &pull);
    void receive(const wire::ConfigPush &push);

    /// @brief Takes a configuration when it is newer, and announces it at once.
    void offer(config_version version, const std::string &text);

    void sendHeartbeat(agent_record &agent);
    /// @brief Sends a heartbeat to all entries and agents now.
    void announce();
    void tick();

    /// @brief Entries that are alive, without this one.
    [[nodiscard]] std::vector<const link *> liveEntries() const;
    /// @brief Their number at the last sweep.
    [[nodiscard]] std::uint32_t liveEntryCount() const noexcept { return m_liveEntries; }

private:
    void fillConfig(wire::EntryHeartbeat &heartbeat) const;
    void sendEntryHeartbeat(incarnation_id entry);
    void addMembers(google::protobuf::RepeatedPtrField<wire::Member> &out) const;
    void learn(const google::protobuf::RepeatedPtrField<wire::Member> &members);
    void takeLoad(agent_record &agent, const wire::AgentHeartbeat &heartbeat);
    void pullIfNewer(incarnation_id sender, std::uint64_t version);
    /// @brief Counts a process that holds the own version as a proof for its zone (design 2.3).
    void countZone(const wire::Envelope &envelope, config_version version);
    /// @brief Tells the agents of a new entry; they would ask for it only after helloInterval.
    void sendMembersToAgents();
    void sendHellos();
    /// Lets one entry after the other have the whole member list, so that a list to all entries
    /// is sent only when the membership has grown: its size times the receivers grows with the
    /// square of the number of entries.
    void giveListTurn();
    void heartbeatEntries();
    void heartbeatAgents();
    void forgetSilentEntries();
    void forgetSilentAgents();

    entry_context &m_ctx;
    std::optional<time_point> m_helloSent;
    time_point m_nextSweep;
    std::uint32_t m_liveEntries = 0;
    time_point m_pullSent;
    time_point m_listTurn;                              ///< when an entry had its turn
    incarnation_id m_lastListed = incarnation_id::none; ///< the entry that had it
};

} // namespace bamboohead::detail
