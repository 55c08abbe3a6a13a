#include "bamboohead/detail/agent/agent_implementation.hpp"

#include <algorithm>
#include <utility>

namespace bamboohead {

using detail::order_record;
using detail::order_state;

duration durationFromWire(std::uint64_t microseconds)
{
    constexpr duration longest = std::chrono::hours{24};
    const auto limit = static_cast<std::uint64_t>(longest.count());
    return duration{static_cast<duration::rep>(std::min(microseconds, limit))};
}

void agent_core::implementation::onStartTasks(const wire::StartTasks &start, const origin &from)
{
    if (config_version{start.config_version()} > m_config.version()) {
        pullConfig(from.sender);
    }
    // Entries send orders only while they can prove that their configuration is up to date, so an
    // order confirms the configuration as a heartbeat does.
    recordConfigProof(config_version{start.config_version()}, start.currency_age_us(), from);
    onDemand(start.demand(), from);
    onAcknowledged(start.acked(), from);
    const auto uncovered =
            m_credits.recordUse(from.sender, start.credit_epoch(), start.used_total());
    auto remaining = static_cast<std::uint64_t>(start.orders_size());
    for (const auto &order : start.orders()) {
        // When uses exceed the issued credits, the last orders are the ones without a credit.
        const bool covered = remaining > uncovered && m_credits.mayHold();
        handleOrder(order, start.owner(), covered || mayQueueUncredited(start), from);
        --remaining;
    }
}

bool agent_core::implementation::mayQueueUncredited(const wire::StartTasks &start) const
{
    return start.uncredited() && m_tasks.queued() < maxUncreditedQueue;
}

void agent_core::implementation::handleOrder(const wire::TaskOrder &order, wire::Owner owner,
                                             bool covered, const origin &from)
{
    const auto ref = fromWire(order.ref());
    if (!ownerMaySend(ref.job.session.home, owner, from.sender)) {
        ++m_counters.ordersRefused;
        answerFenced(ref, from);
        return;
    }
    if (const auto *known = m_tasks.find(ref)) {
        addUpdate(from.sender, toUpdate(*known), m_clock.now());
        return;
    }
    const auto refusal = refusalOf(order, ref, covered, from);
    if (refusal != error_kind::none) {
        refuseOrder(ref, refusal, from);
        return;
    }
    const auto deadline = m_clock.now() + durationFromWire(order.remaining_us());
    auto &accepted = m_tasks.accept(ref, from.sender, {order.service(), order.payload(), deadline});
    m_credits.setHeld(m_tasks.queued() + m_tasks.running());
    logTask("order_accepted", ref, {{"entry", toText(from.sender)}});
    addUpdate(from.sender, toUpdate(accepted), m_clock.now() + acceptanceDelay);
}

bool agent_core::implementation::ownerMaySend(const job_home &home, wire::Owner owner,
                                              incarnation_id sender) const
{
    const bool fenced = m_tasks.fenced(home);
    if (owner == wire::OWNER_PRIMARY) {
        return !fenced && sender == home.primary;
    }
    return owner == wire::OWNER_BACKUP && fenced && sender == home.backup;
}

error_kind agent_core::implementation::refusalOf(const wire::TaskOrder &order, const task_ref &ref,
                                                 bool covered, const origin &from) const
{
    if (!from.fresh(orderAgeLimit)) {
        return error_kind::order_stale;
    }
    if (ref.task >= maxTasksPerJob || order.payload().size() > maxPayloadBytes) {
        return error_kind::invalid_request;
    }
    if (m_tasks.hasAcceptedAttempt(ref)) {
        return error_kind::order_duplicate;
    }
    const auto deadline = m_clock.now() + durationFromWire(order.remaining_us());
    const auto reason = startRefusalReason(order.service(), deadline);
    if (reason != error_kind::none) {
        return reason;
    }
    if (!covered) {
        return error_kind::no_credit;
    }
    return m_tasks.hasRoom(order.payload().size()) ? error_kind::none : error_kind::overloaded;
}

error_kind agent_core::implementation::startRefusalReason(const std::string &service,
                                                          time_point deadline) const
{
    if (m_stopping) {
        return error_kind::stopping;
    }
    if (!m_config.agentCurrent()) {
        return error_kind::agent_not_current;
    }
    if (!m_config.ownZoneInService()) {
        return error_kind::zone_out;
    }
    if (!m_target) {
        return error_kind::no_target;
    }
    if (leaving()) {
        return error_kind::target_leaving;
    }
    if (service != m_target->service) {
        return error_kind::unknown_service;
    }
    return deadline > m_clock.now() ? error_kind::none : error_kind::deadline_exceeded;
}

void agent_core::implementation::onAcknowledged(
        const google::protobuf::RepeatedPtrField<wire::TaskRef> &refs, const origin &from)
{
    for (const auto &wireRef : refs) {
        auto *order = m_tasks.find(fromWire(wireRef));
        // An acknowledgement from a fenced primary is ignored, since the backup may not have
        // received the outcome.
        if (order != nullptr && order->ended() && order->destination == from.sender) {
            detail::task_table::acknowledge(*order);
        }
    }
}

void agent_core::implementation::onTaskQuery(const wire::TaskQuery &query, const origin &from)
{
    // An old query may refer to an order that ran and whose record has expired. It must not be
    // answered as not started.
    if (!from.fresh(orderAgeLimit)) {
        ++m_counters.messagesDropped;
        return;
    }
    for (const auto &ref : query.refs()) {
        answerQuery(fromWire(ref), from);
    }
}

void agent_core::implementation::answerQuery(const task_ref &ref, const origin &from)
{
    const auto &home = ref.job.session.home;
    const auto owner = m_tasks.fenced(home) ? home.backup : home.primary;
    // If a fenced primary received "not started", it would start the task on an agent that is not
    // fenced yet, while the backup counts the task as accepted here.
    if (from.sender != owner) {
        answerFenced(ref, from);
        return;
    }
    auto *order = m_tasks.find(ref);
    if (order == nullptr) {
        refuseOrder(ref, error_kind::order_void, from);
        return;
    }
    if (order->state == order_state::queued && order->destination == from.sender) {
        withdrawOrder(*order, error_kind::order_void);
        return;
    }
    addUpdate(from.sender, toUpdate(*order), m_clock.now());
}

void agent_core::implementation::onFenceRequest(const wire::FenceRequest &request,
                                                const origin &from)
{
    const auto home = fromWire(request.home());
    if (home.backup != from.sender) {
        ++m_counters.messagesDropped;
        log("fence_rejected", {{"entry", toText(from.sender)}});
        return;
    }
    if (m_tasks.fence(home)) {
        log("home_fenced", {{"primary", toText(home.primary)}, {"backup", toText(home.backup)}});
    }
    wire::Envelope envelope;
    auto &fence = *envelope.mutable_fence_report();
    toWire(home, *fence.mutable_home());
    m_tasks.forEachAccepted(
            home, [&fence](const order_record &order) { *fence.add_tasks() = toUpdate(order); });
    send(from.sender, std::move(envelope));
}

void agent_core::implementation::answerFenced(const task_ref &ref, const origin &from)
{
    wire::TaskUpdate update;
    toWire(ref, *update.mutable_ref());
    update.set_state(wire::TASK_STATE_REFUSED);
    update.set_error(toWire(error_kind::order_fenced));
    addUpdate(from.sender, std::move(update), m_clock.now());
}

void agent_core::implementation::refuseOrder(const task_ref &ref, error_kind error,
                                             const origin &from)
{
    ++m_counters.ordersRefused;
    logTask("order_refused", ref, {{"reason", std::string{errorInfo(error).name}}});
    report(m_tasks.refuse(ref, from.sender, error, m_clock.now()));
}

void agent_core::implementation::withdrawOrder(order_record &order, error_kind error)
{
    ++m_counters.ordersRefused;
    m_tasks.withdraw(order, error, m_clock.now());
    logTask("order_withdrawn", order.ref, {{"reason", std::string{errorInfo(error).name}}});
    report(order);
}

void agent_core::implementation::processQueue()
{
    auto &queue = m_tasks.queue();
    for (auto next = queue.begin(); next != queue.end();) {
        auto &order = *next++;
        const auto reason = startRefusalReason(order.service, order.deadline);
        if (reason != error_kind::none) {
            withdrawOrder(order, reason);
        } else if (m_tasks.running() < effectiveSlots()) {
            startOrder(order);
        }
    }
    distributeCredits();
}

void agent_core::implementation::startOrder(order_record &order)
{
    run_task run;
    run.ref = order.ref;
    run.service = order.service;
    run.timeout = order.deadline - m_clock.now();
    run.validUntil = m_config.agentProofEnd();
    run.payload = m_tasks.start(order);
    ++m_counters.tasksStarted;
    logTask("task_started", order.ref);
    m_actions.emplace_back(std::move(run));
}

std::size_t agent_core::implementation::effectiveSlots() const
{
    if (!m_target) {
        return 0;
    }
    const std::size_t slots = m_target->slots;
    const auto &services = m_config.heldManifest().services;
    const auto settings = services.find(m_target->service);
    if (settings == services.end() || settings->second.maxRunningPerTarget == 0) {
        return slots;
    }
    return std::min<std::size_t>(slots, settings->second.maxRunningPerTarget);
}

} // namespace bamboohead
