#include "bamboohead/detail/entry/membership.hpp"

#include "bamboohead/detail/entry/dispatcher.hpp"
#include "bamboohead/detail/entry/order_tracker.hpp"
#include "bamboohead/detail/entry/primary_replication.hpp"
#include "bamboohead/detail/probing.hpp"

namespace bamboohead::detail {

std::vector<const peer_link *> membership::liveEntries() const
{
    std::vector<const peer_link *> live;
    for (const auto &[incarnation, state] : m_ctx.entries) {
        if (m_ctx.alive(incarnation)) {
            live.push_back(m_ctx.links.find(incarnation));
        }
    }
    return live;
}

void membership::firstContact(const wire::Envelope &envelope)
{
    const incarnation_id sender{envelope.sender()};
    if (envelope.role() == wire::ROLE_ENTRY) {
        m_ctx.out.log("entry_known", {{"entry", toText(sender)}, {"zone", envelope.zone()}});
        m_ctx.entries.try_emplace(sender);
        sendEntryHeartbeat(sender);
    } else if (envelope.role() == wire::ROLE_AGENT) {
        // A temporary: the agent is added to the table at its first usable heartbeat.
        agent_record unknown;
        unknown.incarnation = sender;
        sendHeartbeat(unknown);
    }
}

void membership::answerProbe(const wire::Envelope &envelope, std::optional<duration> age)
{
    if (!age || *age <= newsOverdue) {
        return;
    }
    const incarnation_id sender{envelope.sender()};
    if (const auto entry = m_ctx.entries.find(sender);
        entry != m_ctx.entries.end() &&
        m_ctx.now() - entry->second.heartbeatSent >= probeInterval) {
        sendEntryHeartbeat(sender);
    }
    if (const auto agent = m_ctx.agents.find(sender);
        agent != m_ctx.agents.end() && m_ctx.now() - agent->second.heartbeatSent >= probeInterval) {
        sendHeartbeat(agent->second);
    }
}

void membership::receiveHello(const wire::Envelope &envelope)
{
    wire::Envelope reply;
    fillMembers(*reply.mutable_member_list()->mutable_entries());
    m_ctx.out.send(incarnation_id{envelope.sender()}, std::move(reply));
}

void membership::receive(const wire::MemberList &list)
{
    addPeers(list.entries());
}

void membership::addPeers(const google::protobuf::RepeatedPtrField<wire::Member> &members)
{
    for (const auto &member : members) {
        const incarnation_id incarnation{member.incarnation()};
        if (incarnation == m_ctx.self() || m_ctx.links.find(incarnation) != nullptr) {
            continue;
        }
        m_ctx.links.add(incarnation, member.endpoint(), wire::ROLE_ENTRY, member.zone());
        m_ctx.entries.try_emplace(incarnation);
        sendEntryHeartbeat(incarnation);
    }
}

void membership::fillMembers(google::protobuf::RepeatedPtrField<wire::Member> &out) const
{
    const auto add = [&out](incarnation_id incarnation, const std::string &endpoint,
                            const std::string &zone) {
        auto &member = *out.Add();
        member.set_incarnation(static_cast<std::uint64_t>(incarnation));
        member.set_endpoint(endpoint);
        member.set_zone(zone);
    };
    const auto &self = m_ctx.options.self;
    add(self.incarnation, self.endpoint, self.zone);
    for (const auto *peer : liveEntries()) {
        add(peer->incarnation, peer->endpoint, peer->zone);
    }
}

void membership::pullIfNewer(incarnation_id sender, std::uint64_t version)
{
    if (config_version{version} <= m_ctx.config.version() ||
        m_ctx.now() - m_pullSent < entryPullInterval) {
        return;
    }
    m_pullSent = m_ctx.now();
    wire::Envelope envelope;
    envelope.mutable_config_pull()->set_held_version(
            static_cast<std::uint64_t>(m_ctx.config.version()));
    m_ctx.out.send(sender, std::move(envelope));
}

void membership::receive(const wire::Envelope &envelope, const wire::EntryHeartbeat &heartbeat)
{
    const incarnation_id sender{envelope.sender()};
    auto &state = m_ctx.entries[sender];
    state.version = config_version{heartbeat.config_version()};
    state.draining = heartbeat.draining();
    state.current = heartbeat.current();
    addPeers(heartbeat.entries());
    if (envelope.echo_us() == 0) {
        // The sender has received nothing from this entry yet, so each of the two may have found
        // the other only in member lists. The sender considers this entry alive only after an echo,
        // which this heartbeat contains.
        sendEntryHeartbeat(sender);
    }
    std::map<std::string, std::uint32_t, std::less<>> usage;
    for (const auto &team : heartbeat.usage()) {
        usage[team.team()] = team.running();
    }
    m_ctx.admit.setPeerUsage(sender, std::move(usage));
    pullIfNewer(sender, heartbeat.config_version());
    recordZoneProof(envelope, state.version);
}

void membership::recordZoneProof(const wire::Envelope &envelope, config_version version)
{
    if (version == m_ctx.config.version() && envelope.echo_us() != 0) {
        m_ctx.config.zoneConfirmed(envelope.zone(), fromStamp(envelope.echo_us()));
    }
}

void membership::updateLoad(agent_record &agent, const wire::AgentHeartbeat &heartbeat)
{
    agent.version = config_version{heartbeat.config_version()};
    agent.load.service = heartbeat.service();
    agent.load.slots = heartbeat.slots();
    agent.load.running = heartbeat.running();
    agent.load.queued = heartbeat.queued();
    agent.load.leaving = heartbeat.leaving();
    agent.load.creditEpoch = heartbeat.credit_epoch();
    agent.load.issuedTotal = heartbeat.issued_total();
    m_ctx.credits.report(agent.incarnation, agent.load);
    const bool unneeded = heartbeat.recall() && !m_ctx.dispatch->hasDemand(heartbeat.service());
    if (unneeded && m_ctx.credits.returnUnused(agent.incarnation) > 0) {
        sendHeartbeat(agent);
    }
}

void membership::receive(const wire::Envelope &envelope, const wire::AgentHeartbeat &heartbeat)
{
    const incarnation_id sender{envelope.sender()};
    pullIfNewer(sender, heartbeat.config_version());
    recordZoneProof(envelope, config_version{heartbeat.config_version()});
    const bool usableReport = !heartbeat.service().empty() &&
                              heartbeat.slots() <= maxSlotsPerTarget && m_ctx.alive(sender);
    if (!usableReport) {
        return;
    }
    const auto known = m_ctx.agents.find(sender);
    if (known == m_ctx.agents.end()) {
        std::vector<incarnation_id> replaced;
        for (const auto &[incarnation, agent] : m_ctx.agents) {
            if (agent.endpoint == envelope.endpoint()) {
                replaced.push_back(incarnation);
            }
        }
        for (const auto predecessor : replaced) {
            m_ctx.orders->agentFailed(predecessor, "restarted");
        }
        m_ctx.out.log("agent_known", {{"agent", toText(sender)}, {"zone", envelope.zone()}});
    }
    auto &agent = m_ctx.agents[sender];
    if (agent.incarnation == incarnation_id::none) {
        agent.incarnation = sender;
        agent.endpoint = envelope.endpoint();
        m_ctx.replication->agentAdded(sender, agent.endpoint);
    }
    agent.load.zone = envelope.zone();
    if (envelope.stamp_us() >= agent.reportStamp) {
        agent.reportStamp = envelope.stamp_us();
        updateLoad(agent, heartbeat);
    }
}

void membership::receive(incarnation_id sender, const wire::ConfigPull &pull)
{
    if (config_version{pull.held_version()} >= m_ctx.config.version()) {
        return;
    }
    wire::Envelope envelope;
    auto &push = *envelope.mutable_config_push();
    push.set_version(static_cast<std::uint64_t>(m_ctx.config.version()));
    push.set_manifest(m_ctx.config.text());
    m_ctx.out.send(sender, std::move(envelope));
}

void membership::receive(const wire::ConfigPush &push)
{
    offer(config_version{push.version()}, push.manifest());
}

void membership::offer(config_version version, const std::string &text)
{
    if (!m_ctx.config.offer(version, text)) {
        return;
    }
    m_ctx.out.log("config_taken",
                  {{"version", std::to_string(static_cast<std::uint64_t>(version))}});
    m_ctx.queue.configure(m_ctx.config.heldManifest());
    m_ctx.admit.configure(m_ctx.config.heldManifest());
    announce();
}

void membership::announce()
{
    for (const auto &[incarnation, state] : m_ctx.entries) {
        sendEntryHeartbeat(incarnation);
    }
    for (auto &[incarnation, agent] : m_ctx.agents) {
        sendHeartbeat(agent);
    }
}

void membership::fillConfig(wire::EntryHeartbeat &heartbeat) const
{
    heartbeat.set_config_version(static_cast<std::uint64_t>(m_ctx.config.version()));
    heartbeat.set_current(m_ctx.config.entryCurrent());
    const auto age = m_ctx.config.entryProofAge();
    heartbeat.set_currency_age_us(age ? static_cast<std::uint64_t>(age->count()) : 0);
}

void membership::sendEntryHeartbeat(incarnation_id entry)
{
    wire::Envelope envelope;
    auto &heartbeat = *envelope.mutable_entry_heartbeat();
    fillConfig(heartbeat);
    heartbeat.set_draining(m_ctx.draining);
    auto &receiver = m_ctx.entries[entry];
    if (std::exchange(receiver.memberListDue, false)) {
        fillMembers(*heartbeat.mutable_entries());
    }
    for (const auto &[team, running] : m_ctx.admit.usage()) {
        auto &usage = *heartbeat.add_usage();
        usage.set_team(team);
        usage.set_running(running);
    }
    receiver.heartbeatSent = m_ctx.now();
    m_ctx.out.send(entry, std::move(envelope));
}

void membership::sendHeartbeat(agent_record &agent)
{
    wire::Envelope envelope;
    auto &heartbeat = *envelope.mutable_entry_heartbeat();
    fillConfig(heartbeat);
    // Agents withdraw the credits of a draining entry, so they get the flag only when this entry
    // has no waiting tasks left to start.
    heartbeat.set_draining(m_ctx.draining && m_ctx.queue.empty());
    const auto usage = m_ctx.credits.usageOf(agent.incarnation);
    heartbeat.set_credit_epoch(usage.epoch);
    heartbeat.set_used_total(usage.usedTotal);
    m_ctx.dispatch->fillDemand(*heartbeat.mutable_demand());
    agent.demandReported = m_ctx.dispatch->hasDemand(agent.load.service);
    agent.heartbeatSent = m_ctx.now();
    m_ctx.out.send(agent.incarnation, std::move(envelope));
}

void membership::sendHellos()
{
    const auto now = m_ctx.now();
    if (m_helloSent && now - *m_helloSent < entryHelloInterval) {
        return;
    }
    m_helloSent = now;
    removeSilentAgents();
    for (const auto &seed : m_ctx.options.seeds) {
        if (seed != m_ctx.options.self.endpoint) {
            wire::Envelope envelope;
            envelope.mutable_hello();
            m_ctx.out.sendTo(seed, incarnation_id::none, std::move(envelope));
        }
    }
}

void membership::scheduleMemberList()
{
    const auto now = m_ctx.now();
    if (now - m_memberListScheduled < memberListInterval || m_ctx.entries.empty()) {
        return;
    }
    auto next = m_ctx.entries.upper_bound(m_lastMemberListReceiver);
    if (next == m_ctx.entries.end()) {
        next = m_ctx.entries.begin();
    }
    next->second.memberListDue = true;
    m_lastMemberListReceiver = next->first;
    m_memberListScheduled = now;
}

bool membership::heartbeatDue(incarnation_id peer, time_point sent, duration interval) const
{
    const auto now = m_ctx.now();
    if (now - sent >= interval) {
        return true;
    }
    const auto *known = m_ctx.links.find(peer);
    return known != nullptr && now - known->lastArrival > newsOverdue &&
           now - sent >= probeInterval && !m_ctx.silent(peer);
}

void membership::heartbeatEntries()
{
    scheduleMemberList();
    for (const auto &[incarnation, state] : m_ctx.entries) {
        if (heartbeatDue(incarnation, state.heartbeatSent, entryHeartbeatInterval)) {
            sendEntryHeartbeat(incarnation);
        }
    }
}

void membership::heartbeatAgents()
{
    const auto now = m_ctx.now();
    for (auto &[incarnation, agent] : m_ctx.agents) {
        if (heartbeatDue(incarnation, agent.heartbeatSent, agentHeartbeatInterval)) {
            if (!m_ctx.health.usable(incarnation, now)) {
                m_ctx.credits.returnUnused(incarnation);
            }
            sendHeartbeat(agent);
        }
    }
}

void membership::sendMembersToAgents()
{
    for (const auto &[incarnation, agent] : m_ctx.agents) {
        wire::Envelope envelope;
        fillMembers(*envelope.mutable_member_list()->mutable_entries());
        m_ctx.out.send(incarnation, std::move(envelope));
    }
}

void membership::removeSilentAgents()
{
    for (const auto *peer : m_ctx.links.peers(wire::ROLE_AGENT)) {
        const auto last = peer->newestEcho.value_or(peer->added);
        const bool silent = m_ctx.now() - last > peerRetention;
        if (silent && !m_ctx.agents.contains(peer->incarnation)) {
            m_ctx.links.remove(peer->incarnation);
        }
    }
}

void membership::removeSilentEntries()
{
    std::vector<incarnation_id> silent;
    const auto liveBefore = std::exchange(m_liveEntries, 0);
    for (const auto &[incarnation, state] : m_ctx.entries) {
        const auto *peer = m_ctx.links.find(incarnation);
        const auto last = peer->newestEcho.value_or(peer->added);
        if (m_ctx.now() - last > peerRetention) {
            silent.push_back(incarnation);
        }
        if (m_ctx.alive(incarnation)) {
            ++m_liveEntries;
        } else {
            m_ctx.admit.removePeer(incarnation);
        }
    }
    if (m_liveEntries > liveBefore) {
        for (auto &[incarnation, state] : m_ctx.entries) {
            state.memberListDue = true; // announces newly live entries before the interval ends
        }
        sendMembersToAgents();
    }
    for (const auto incarnation : silent) {
        m_ctx.entries.erase(incarnation);
        m_ctx.links.remove(incarnation);
    }
}

void membership::tick()
{
    sendHellos();
    if (m_ctx.now() < m_nextSweep) {
        return;
    }
    m_nextSweep = m_ctx.now() + sweepInterval;
    removeSilentEntries();
    heartbeatEntries();
    heartbeatAgents();
}

} // namespace bamboohead::detail
