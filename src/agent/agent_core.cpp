#include "bamboohead/agent_core.hpp"

#include "bamboohead/detail/agent/agent_implementation.hpp"

#include <algorithm>
#include <utility>

namespace bamboohead {

agent_core::agent_core(agent_options options, const clock &clock)
    : m_impl{std::make_unique<implementation>(std::move(options), clock)}
{}

agent_core::~agent_core() = default;

void agent_core::receive(const wire::Envelope &envelope)
{
    m_impl->receive(envelope);
}

void agent_core::targetAnnounced(const target_announcement &announcement)
{
    m_impl->targetAnnounced(announcement);
}

void agent_core::taskEnded(const task_end &end)
{
    m_impl->taskEnded(end);
}

void agent_core::tick()
{
    m_impl->tick();
}

void agent_core::setSeeds(std::vector<std::string> endpoints)
{
    m_impl->setSeeds(std::move(endpoints));
}

void agent_core::stop()
{
    m_impl->stop();
}

std::vector<agent_action> agent_core::takeActions()
{
    return m_impl->takeActions();
}

const agent_counters &agent_core::counters() const noexcept
{
    return m_impl->counters();
}

boost::json::value agent_core::dump() const
{
    return m_impl->dump();
}

agent_core::implementation::implementation(agent_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_clock{clock}
    , m_links{m_options.self, clock}
    , m_config{m_options.self.zone, clock}
    , m_entries{m_links, clock}
{
    m_credits.setReserve(m_options.reservedCredits);
}

void agent_core::implementation::receive(const wire::Envelope &envelope)
{
    ++m_counters.messagesReceived;
    const bool addressed = envelope.receiver() != 0;
    const bool fromEntry = envelope.role() == wire::ROLE_ENTRY && envelope.sender() != 0;
    if (!addressed || !fromEntry) {
        ++m_counters.messagesDropped;
        return;
    }
    const auto received = m_links.receive(envelope);
    if (!received.accepted) {
        ++m_counters.messagesDropped;
        return;
    }
    const origin from{incarnation_id{envelope.sender()}, received.age};
    if (received.firstContact) {
        refreshEntries();
    }
    m_outboxes[from.sender].probed = received.age && *received.age > detail::newsOverdue;
    dispatch(envelope, from);
    refreshState();
    refreshEligibility(from.sender);
    processQueue();
}

void agent_core::implementation::dispatch(const wire::Envelope &envelope, const origin &from)
{
    switch (envelope.payload_case()) {
    case wire::Envelope::kMemberList:
        for (const auto &member : envelope.member_list().entries()) {
            m_entries.addMember(member);
        }
        refreshEntries();
        break;
    case wire::Envelope::kEntryHeartbeat:
        onEntryHeartbeat(envelope.entry_heartbeat(), from);
        break;
    case wire::Envelope::kStartTasks:
        onStartTasks(envelope.start_tasks(), from);
        break;
    case wire::Envelope::kUpdateAck:
        onAcknowledged(envelope.update_ack().refs(), from);
        break;
    case wire::Envelope::kTaskQuery:
        onTaskQuery(envelope.task_query(), from);
        break;
    case wire::Envelope::kFenceRequest:
        onFenceRequest(envelope.fence_request(), from);
        break;
    case wire::Envelope::kConfigPush:
        onConfigPush(envelope.config_push());
        break;
    case wire::Envelope::kConfigPull:
        onConfigPull(envelope.config_pull(), from);
        break;
    default:
        ++m_counters.messagesDropped;
        break;
    }
}

void agent_core::implementation::onEntryHeartbeat(const wire::EntryHeartbeat &heartbeat,
                                                  const origin &from)
{
    for (const auto &member : heartbeat.entries()) {
        m_entries.addMember(member);
    }
    auto &box = m_outboxes[from.sender];
    if (from.fresh(livenessTimeout)) {
        box.reportedReady = heartbeat.current() && !heartbeat.draining();
    }
    const config_version version{heartbeat.config_version()};
    if (version > m_config.version()) {
        pullConfig(from.sender);
    }
    if (heartbeat.current()) {
        recordConfigProof(version, heartbeat.currency_age_us(), from);
    }
    m_credits.recordUse(from.sender, heartbeat.credit_epoch(), heartbeat.used_total());
    onDemand(heartbeat.demand(), from);
}

void agent_core::implementation::recordConfigProof(config_version version,
                                                   std::uint64_t ageMicroseconds,
                                                   const origin &from)
{
    // Only a proof for the version that this agent holds confirms its configuration.
    if (version == m_config.version() && from.fresh(maxProofAge)) {
        m_config.entryConfirmed(m_clock.now() - *from.age, durationFromWire(ageMicroseconds));
    }
}

void agent_core::implementation::onDemand(
        const google::protobuf::RepeatedPtrField<wire::Demand> &demands, const origin &from)
{
    if (!from.fresh(livenessTimeout) || !m_target) {
        return;
    }
    detail::entry_demand own;
    for (const auto &demand : demands) {
        if (demand.service() == m_target->service) {
            own.waiting = demand.waiting();
            own.priorityTime = m_clock.now() - durationFromWire(demand.precedence_us());
        }
    }
    m_credits.setDemand(from.sender, own);
}

void agent_core::implementation::onConfigPush(const wire::ConfigPush &push)
{
    if (m_config.offer(config_version{push.version()}, push.manifest())) {
        log("config_taken", {{"version", std::to_string(push.version())}});
    }
}

void agent_core::implementation::onConfigPull(const wire::ConfigPull &pull, const origin &from)
{
    if (m_config.version() <= config_version{pull.held_version()}) {
        return;
    }
    wire::Envelope envelope;
    auto &push = *envelope.mutable_config_push();
    push.set_version(static_cast<std::uint64_t>(m_config.version()));
    push.set_manifest(m_config.text());
    send(from.sender, std::move(envelope));
}

void agent_core::implementation::targetAnnounced(const target_announcement &announcement)
{
    // An agent has one target. Another service is accepted only once the present target is leaving.
    const bool other = m_target && m_target->service != announcement.service;
    if (other && !leaving()) {
        log("target_rejected", {{"service", announcement.service}});
        return;
    }
    const bool changed = !m_target || other || m_target->slots != announcement.slots ||
                         m_target->state != announcement.state;
    m_target = announcement;
    m_lastAnnouncement = m_clock.now();
    if (changed) {
        log("target_changed",
            {{"service", announcement.service}, {"slots", std::to_string(announcement.slots)}});
        announceState();
    }
    refreshState();
    processQueue();
}

void agent_core::implementation::taskEnded(const task_end &end)
{
    auto *order = m_tasks.find(end.ref);
    if (order == nullptr || order->state != detail::order_state::running) {
        return;
    }
    m_lastEnd = m_clock.now();
    if (end.notStarted) {
        withdrawOrder(*order, error_kind::target_refused);
    } else {
        const auto error = end.failed ? error_kind::task_failed : error_kind::none;
        ++(end.failed ? m_counters.tasksFailed : m_counters.tasksFinished);
        m_tasks.markEnded(*order, error, end.result, end.runTime, m_clock.now());
        logTask("task_ended", end.ref, {{"state", std::string{detail::toText(order->state)}}});
        report(*order);
        m_credits.setPiggybackEntry(order->destination);
    }
    refreshState();
    processQueue();
}

void agent_core::implementation::tick()
{
    const auto now = m_clock.now();
    m_tasks.expire(now);
    if (now - m_lastEntryRefresh >= heartbeatInterval) {
        refreshEntries();
    }
    for (const auto *entry : m_links.peers(wire::ROLE_ENTRY)) {
        refreshEligibility(entry->incarnation);
    }
    sendDueHellos();
    refreshState();
    processQueue();
    resendReports();
    scheduleHeartbeats();
    checkStopped();
}

void agent_core::implementation::stop()
{
    if (m_stopping) {
        return;
    }
    m_stopping = m_clock.now();
    m_lastEnd = m_clock.now();
    log("stopping", {{"running", std::to_string(m_tasks.running())}});
    refreshState();
    processQueue();
}

std::vector<agent_action> agent_core::implementation::takeActions()
{
    flush();
    return std::exchange(m_actions, {});
}

bool agent_core::implementation::leaving() const
{
    return m_stopping || !m_target || m_target->state == target_state::leaving ||
           m_clock.now() - m_lastAnnouncement > targetTimeout;
}

bool agent_core::implementation::acceptsOrders() const
{
    return !leaving() && m_config.ownZoneInService() && m_config.agentCurrent();
}

void agent_core::implementation::refreshState()
{
    const bool zoneIn = m_config.ownZoneInService();
    const bool isLeaving = leaving();
    const auto slots = acceptsOrders() ? effectiveSlots() : 0;
    m_credits.setCapacity(slots + (acceptsOrders() ? m_options.extraOrders : 0), slots);
    if (zoneIn != m_wasZoneIn) {
        log("zone_state", {{"zone", m_options.self.zone}, {"state", zoneIn ? "in" : "out"}});
    }
    if (isLeaving != m_wasLeaving) {
        log("target_state", {{"leaving", isLeaving ? "true" : "false"}});
    }
    if (zoneIn != m_wasZoneIn || isLeaving != m_wasLeaving) {
        announceState();
    }
    m_wasZoneIn = zoneIn;
    m_wasLeaving = isLeaving;
}

void agent_core::implementation::refreshEntries()
{
    m_lastEntryRefresh = m_clock.now();
    for (const auto entry : m_entries.refresh()) {
        log("link_lost", {{"entry", toText(entry)}});
        m_credits.remove(entry);
        m_outboxes.erase(entry);
    }
}

void agent_core::implementation::refreshEligibility(incarnation_id entry)
{
    const bool eligible = m_entries.chosen(entry) && m_outboxes[entry].reportedReady &&
                          m_links.alive(entry, livenessTimeout);
    if (eligible == m_credits.isOpen(entry)) {
        return;
    }
    if (eligible) {
        m_credits.open(entry);
    } else {
        log("credits_withdrawn", {{"entry", toText(entry)}});
        m_credits.close(entry);
    }
    m_outboxes[entry].heartbeatDue = true;
}

void agent_core::implementation::distributeCredits()
{
    m_credits.setHeld(m_tasks.queued() + m_tasks.running());
    m_credits.distribute();
}

void agent_core::implementation::checkStopped()
{
    if (!m_stopping || m_shutdownReported || m_tasks.running() > 0 || m_tasks.queued() > 0) {
        return;
    }
    if (m_tasks.allAcknowledged() || m_clock.now() - m_lastEnd >= stopAckTimeout) {
        m_shutdownReported = true;
        log("stopped", {});
        flush();
        m_actions.emplace_back(shutdown_complete{});
    }
}

} // namespace bamboohead
