#include "bamboohead/detail/agent/agent_implementation.hpp"

#include <algorithm>
#include <utility>

namespace bamboohead {

using detail::order_record;
using detail::order_state;

namespace {

wire::TaskState toWire(order_state state)
{
    switch (state) {
    case order_state::queued:
        return wire::TASK_STATE_ACCEPTED;
    case order_state::running:
        return wire::TASK_STATE_RUNNING;
    case order_state::finished:
        return wire::TASK_STATE_FINISHED;
    case order_state::failed:
        return wire::TASK_STATE_FAILED;
    case order_state::refused:
        return wire::TASK_STATE_REFUSED;
    }
    return wire::TASK_STATE_UNSPECIFIED;
}

} // namespace

wire::TaskUpdate toUpdate(const order_record &order)
{
    wire::TaskUpdate update;
    toWire(order.ref, *update.mutable_ref());
    update.set_state(toWire(order.state));
    update.set_error(toWire(order.error));
    update.set_result(order.result);
    update.set_run_time_us(static_cast<std::uint64_t>(order.runTime.count()));
    return update;
}

void agent_core::implementation::send(incarnation_id receiver, wire::Envelope envelope)
{
    const auto *entry = m_links.find(receiver);
    if (entry == nullptr) {
        return;
    }
    m_links.setHeader(envelope, receiver);
    auto &box = m_outboxes[receiver];
    box.lastSent = m_clock.now();
    box.probed = false;
    ++m_counters.messagesSent;
    m_actions.emplace_back(send_message{entry->endpoint, std::move(envelope)});
}

void agent_core::implementation::sendHello(const std::string &endpoint, incarnation_id receiver)
{
    wire::Envelope envelope;
    envelope.mutable_hello();
    m_links.setHeader(envelope, receiver);
    ++m_counters.messagesSent;
    m_actions.emplace_back(send_message{endpoint, std::move(envelope)});
}

void agent_core::implementation::sendDueHellos()
{
    const auto now = m_clock.now();
    for (const auto entry : m_entries.takeDueHellos()) {
        sendHello(m_links.find(entry)->endpoint, entry);
    }
    const auto interval =
            m_entries.anyAlive(livenessTimeout) ? detail::helloInterval : reconnectHelloInterval;
    if (m_lastSeedHello && now - *m_lastSeedHello < interval) {
        return;
    }
    m_lastSeedHello = now;
    for (const auto &endpoint : m_options.seeds) {
        sendHello(endpoint, incarnation_id::none);
    }
}

void agent_core::implementation::addUpdate(incarnation_id receiver, wire::TaskUpdate update,
                                           time_point due)
{
    // Updates for an unknown entry are dropped. The outcome of an order is resent once its entry is
    // known and alive again.
    if (m_links.find(receiver) == nullptr) {
        return;
    }
    auto &box = m_outboxes[receiver];
    box.updateBytes += update.result().size();
    box.updatesDue = std::min(box.updatesDue.value_or(due), due);
    *box.updates.add_updates() = std::move(update);
    if (box.updates.updates_size() >= maxBatchUpdates || box.updateBytes >= maxBatchBytes) {
        sendUpdates(receiver, box);
    }
}

void agent_core::implementation::report(const order_record &order)
{
    addUpdate(order.destination, toUpdate(order), m_clock.now());
}

void agent_core::implementation::resendReports()
{
    for (const auto *order : m_tasks.dueReports(m_clock.now())) {
        // Nothing is sent to a destination that is not alive. The report is retried at the next
        // interval.
        if (m_links.alive(order->destination, livenessTimeout)) {
            ++m_counters.reportsRepeated;
            report(*order);
        }
    }
}

void agent_core::implementation::scheduleHeartbeats()
{
    const auto now = m_clock.now();
    auto receivers = m_entries.chosen();
    // An entry that is no longer chosen still needs heartbeats while this agent holds its orders,
    // or it would mark this agent as failed.
    m_tasks.forEachActive(
            [&receivers](const order_record &order) { receivers.insert(order.destination); });
    for (const auto entry : receivers) {
        if (m_links.find(entry) == nullptr) {
            continue;
        }
        auto &box = m_outboxes[entry];
        const bool silent = now - box.lastSent >= heartbeatInterval;
        const bool heartbeatOverdue = now - box.lastHeartbeat >= fullHeartbeatInterval;
        const bool answerDue = box.probed && now - box.lastSent >= detail::probeInterval;
        box.heartbeatDue = box.heartbeatDue || silent || heartbeatOverdue || answerDue;
    }
}

void agent_core::implementation::announceState()
{
    for (const auto entry : m_entries.chosen()) {
        m_outboxes[entry].heartbeatDue = true;
    }
}

void agent_core::implementation::flush()
{
    const auto now = m_clock.now();
    for (auto &[entry, box] : m_outboxes) {
        const auto &credits = m_credits.creditsOf(entry);
        const bool creditsDue = credits.changed && credits.demand.waiting > 0;
        const bool updatesDue = box.updatesDue && *box.updatesDue <= now;
        const bool withUpdates = box.updates.updates_size() > 0;
        if (withUpdates && (updatesDue || creditsDue || box.heartbeatDue)) {
            sendUpdates(entry, box);
        }
        if (box.heartbeatDue || credits.recallUrgent || (creditsDue && !withUpdates)) {
            m_counters.recalls += !box.heartbeatDue && credits.recallUrgent ? 1 : 0;
            sendHeartbeat(entry, box);
        }
    }
}

void agent_core::implementation::sendUpdates(incarnation_id receiver, outbox &box)
{
    auto &credits = m_credits.creditsOf(receiver);
    wire::Envelope envelope;
    auto &updates = *envelope.mutable_task_updates();
    updates.Swap(&box.updates);
    updates.set_credit_epoch(credits.epoch);
    updates.set_issued_total(credits.issuedTotal);
    updates.set_running(static_cast<std::uint32_t>(m_tasks.running()));
    updates.set_queued(static_cast<std::uint32_t>(m_tasks.queued()));
    box.updates.Clear();
    box.updateBytes = 0;
    box.updatesDue.reset();
    credits.changed = false;
    send(receiver, std::move(envelope));
}

void agent_core::implementation::sendHeartbeat(incarnation_id receiver, outbox &box)
{
    auto &credits = m_credits.creditsOf(receiver);
    wire::Envelope envelope;
    auto &heartbeat = *envelope.mutable_agent_heartbeat();
    heartbeat.set_service(m_target ? m_target->service : "");
    heartbeat.set_slots(static_cast<std::uint32_t>(effectiveSlots()));
    heartbeat.set_running(static_cast<std::uint32_t>(m_tasks.running()));
    heartbeat.set_queued(static_cast<std::uint32_t>(m_tasks.queued()));
    heartbeat.set_leaving(leaving());
    heartbeat.set_config_version(static_cast<std::uint64_t>(m_config.version()));
    heartbeat.set_credit_epoch(credits.epoch);
    heartbeat.set_issued_total(credits.issuedTotal);
    heartbeat.set_recall(credits.recall);
    credits.changed = false;
    credits.recallUrgent = false;
    box.heartbeatDue = false;
    box.lastHeartbeat = m_clock.now();
    send(receiver, std::move(envelope));
}

void agent_core::implementation::pullConfig(incarnation_id entry)
{
    const auto now = m_clock.now();
    if (m_lastConfigPull && now - *m_lastConfigPull < pullInterval) {
        return;
    }
    m_lastConfigPull = now;
    wire::Envelope envelope;
    envelope.mutable_config_pull()->set_held_version(
            static_cast<std::uint64_t>(m_config.version()));
    send(entry, std::move(envelope));
}

void agent_core::implementation::log(std::string_view name, log_field_list fields)
{
    m_actions.emplace_back(log_event{std::string{name}, {fields.begin(), fields.end()}});
}

void agent_core::implementation::logTask(std::string_view name, const task_ref &ref,
                                         log_field_list fields)
{
    log_event event{std::string{name}, {{"job", toText(ref.job)}}};
    event.fields.emplace_back("task", std::to_string(ref.task));
    event.fields.emplace_back("attempt", std::to_string(ref.attempt));
    event.fields.insert(event.fields.end(), fields.begin(), fields.end());
    m_actions.emplace_back(std::move(event));
}

} // namespace bamboohead
