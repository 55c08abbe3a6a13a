#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration deadAgentLimit = 3s;
constexpr duration membersInterval = 2s; ///< between lists of entries sent to an agent

} // namespace

dispatch_entry::dispatch_entry(dispatch_entry_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_member{m_options.self, clock}
    , m_pool{m_member, m_options.seed}
{
    m_member.addContacts(m_options.contacts);
    m_lastUsable = clock.now();
    m_lastTick = clock.now();
    m_random.seed(m_options.seed);
}

// Messages

void dispatch_entry::receive(const wire::Envelope &envelope)
{
    const auto verdict = m_member.receive(envelope);
    if (verdict.accepted && envelope.payload_case() == wire::Envelope::kDispatchReport) {
        reportReceived(incarnation_id{envelope.sender()}, envelope);
    }
}

void dispatch_entry::reportReceived(incarnation_id sender, const wire::Envelope &envelope)
{
    const auto &report = envelope.dispatch_report();
    auto [position, added] = m_pool.agents().try_emplace(sender);
    auto &agent = position->second;
    if (added) {
        agent.incarnation = sender;
        agent.epoch = ++m_lastEpoch;
        m_member.log("agent_found", {{"agent", toText(sender)},
                                     {"endpoint", envelope.endpoint()},
                                     {"zone", envelope.zone()}});
    }
    agent.endpoint = envelope.endpoint();
    agent.zone = envelope.zone();
    m_member.peerHolds(sender, report.config_version());
    if (report.epoch() < agent.peerEpoch) {
        return; // overtaken by a report after the agent had forgotten this entry
    }
    if (report.epoch() > agent.peerEpoch) {
        agent.peerEpoch = report.epoch();
        agent.endsSeen = 0;
    }
    updateView(agent, report);
    // Each end counts once and in order; the next whole report repeats what is missing. A repeated
    // end must not be taken for that of a later run: a job that its caller sends again after it was
    // cancelled has runs of the same names.
    if (report.reconcile() && !report.ends().empty()) {
        // Whole reports begin with the oldest end that this entry has not acknowledged. Those
        // before it were acknowledged before this view of the agent was made.
        agent.endsSeen = std::max(agent.endsSeen, report.ends(0).number() - 1);
    }
    for (const auto &end : report.ends()) {
        if (end.number() == agent.endsSeen + 1) {
            agent.endsSeen = end.number();
            runEnded(agent, end);
        }
    }
    if (report.reconcile() && report.peer_epoch() == agent.epoch) {
        reconcile(agent, report);
    }
    if (agent.cleared) {
        supersede(agent);
    }
    m_dispatchDue = true;
}

void dispatch_entry::updateView(agent_view &agent, const wire::DispatchReport &report)
{
    if (report.ready() != agent.ready) {
        m_member.log("agent_ready", {{"agent", toText(agent.incarnation)},
                                     {"target", report.target()},
                                     {"ready", report.ready() ? "true" : "false"}});
    }
    agent.ready = report.ready() && (report.reconcile() || !agent.service.empty());
    agent.cleared = report.cleared();
    agent.running = fromWire(report.running());
    agent.queued.clear();
    for (const auto &queued : report.queued()) {
        agent.queued[queued.priority()] += fromWire(queued.demand());
    }
    if (report.peer_epoch() == agent.epoch) {
        agent.ordersHandled = std::max(agent.ordersHandled, report.orders_handled());
    }
    if (report.has_capacity()) {
        agent.service = report.service();
        agent.target = report.target();
        agent.capacity = fromWire(report.capacity());
        agent.labels.assign(report.labels().begin(), report.labels().end());
    }
}

void dispatch_entry::reconcile(agent_view &agent, const wire::DispatchReport &report)
{
    std::set<run_ref> held;
    for (int index = 0; index < report.held_size(); ++index) {
        const auto ref = *held.insert(fromWire(report.held(index))).first;
        const auto known = agent.outstanding.find(ref);
        if (known != agent.outstanding.end() && index < report.running_ms_size()) {
            watchRun(agent, ref, known->second,
                     std::chrono::milliseconds{report.running_ms(index)});
        }
    }
    std::vector<run_ref> lost;
    for (const auto &[ref, run] : agent.outstanding) {
        if (run.orderNumber <= report.orders_handled() && !held.contains(ref)) {
            lost.push_back(ref);
        }
    }
    for (const auto &ref : lost) {
        agent.outstanding.erase(ref);
        runLost(ref, agent.incarnation, "order_not_received");
    }
}

/// A cleared agent proves that the runs of its predecessors at the same endpoint have ended.
void dispatch_entry::supersede(const agent_view &successor)
{
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const bool older = agent.endpoint == successor.endpoint && &agent != &successor;
        if (older) {
            loseRuns(agent, "agent_restarted");
        }
    }
}

void dispatch_entry::loseSilentAgents()
{
    std::vector<incarnation_id> gone;
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto *const peer = m_member.links().find(incarnation);
        const auto silence = peer == nullptr ? deadAgentLimit : m_member.now() - peer->lastArrival;
        if (silence >= m_options.limits.runLossLimit) {
            loseRuns(agent, "agent_silent");
        }
        if (peer == nullptr || silence >= deadAgentLimit) {
            gone.push_back(incarnation);
        }
    }
    for (const auto incarnation : gone) {
        m_member.log("agent_lost", {{"agent", toText(incarnation)}});
        m_pool.forget(incarnation);
        m_drafts.erase(incarnation);
    }
}

// Periodic systems

void dispatch_entry::tick()
{
    m_member.tick();
    expireJobs();
    loseSilentAgents();
    if (std::ranges::any_of(m_pool.agents(),
                            [&](const auto &agent) { return m_pool.usable(agent.second); })) {
        m_lastUsable = m_member.now();
    }
    m_admission.update(std::max(backlog(), ownDelay()), m_member.now());
    shedLateJobs();
    forgetEnded();
    syncEntries();
    m_dispatchDue = m_dispatchDue || !m_queue.empty();
    if (m_stopSince && !m_done) {
        const auto drained = m_member.now() - *m_stopSince;
        const bool quiet = m_jobs.empty() && drained >= m_options.limits.drainLinger;
        if (quiet || drained >= m_options.limits.drainLimit) {
            m_done = true;
            m_member.push(shutdown_complete{});
        }
    }
}

/// What this process adds to the response times because its own processor is overloaded: a job
/// waits for it when it arrives and when its last task ends.
duration dispatch_entry::ownDelay()
{
    constexpr int passes = 2;
    const auto since = m_member.now() - std::exchange(m_lastTick, m_member.now());
    return std::max(duration{}, since - m_options.limits.tickPeriod) * passes;
}

void dispatch_entry::syncEntries()
{
    for (const auto *const peer : m_member.links().peers(wire::ROLE_ENTRY)) {
        auto &last = m_lastSync[peer->incarnation];
        if (m_member.now() - last < m_options.limits.idlePulse) {
            continue;
        }
        last = m_member.now();
        wire::Envelope envelope;
        m_member.fillMembers(*envelope.mutable_entry_sync());
        envelope.mutable_entry_sync()->set_config_version(m_member.config().revision);
        envelope.mutable_entry_sync()->set_draining(draining());
        m_member.send(peer->incarnation, std::move(envelope));
    }
    std::erase_if(m_lastSync,
                  [&](const auto &entry) { return m_member.links().find(entry.first) == nullptr; });
}

std::vector<dispatch_action> dispatch_entry::takeActions()
{
    if (m_dispatchDue) {
        dispatch();
    }
    sendOrders();
    return m_member.takeActions();
}

void dispatch_entry::sendOrders()
{
    const auto now = m_member.now();
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto interval =
                agent.outstanding.empty() ? m_options.limits.idlePulse : m_options.limits.busyPulse;
        const auto draft = m_drafts.find(incarnation);
        const auto sincePulse = now - agent.lastPulse;
        if (sincePulse < interval && draft == m_drafts.end()) {
            continue;
        }
        // A message that goes out anyway carries the pulse that would follow soon.
        const bool due = sincePulse >= interval / 2;
        wire::Envelope envelope;
        auto &message = *envelope.mutable_dispatch_orders();
        if (draft != m_drafts.end()) {
            message = std::move(draft->second);
            m_drafts.erase(draft);
        }
        message.set_ends_seen(agent.endsSeen);
        message.set_epoch(agent.epoch);
        message.set_peer_epoch(agent.peerEpoch);
        message.set_config_version(m_member.config().revision);
        if (due) {
            pulse(agent, message);
        }
        m_member.send(incarnation, std::move(envelope));
    }
}

void dispatch_entry::pulse(agent_view &agent, wire::DispatchOrders &message)
{
    agent.lastPulse = m_member.now();
    message.set_number(agent.ordersSent);
    message.set_reconcile(true);
    for (auto &[ref, run] : agent.outstanding) {
        if (!run.stopping) {
            toWire(ref, *message.add_wanted());
        } else if (m_member.now() - run.stopSent >= m_options.limits.stopRepeat) {
            run.stopSent = m_member.now();
            toWire(ref, *message.add_stops());
        }
    }
    message.set_draining(draining());
    if (m_member.now() - agent.lastMembers >= membersInterval) {
        agent.lastMembers = m_member.now();
        m_member.fillMembers(message);
    }
}

// State

void dispatch_entry::configRead(const desired_state &state)
{
    m_member.adopt(state, "store");
}

void dispatch_entry::entriesFound(const std::vector<std::string> &endpoints)
{
    m_member.addContacts(endpoints);
}

void dispatch_entry::stop()
{
    if (!m_stopSince) {
        m_stopSince = m_member.now();
        m_member.log("draining", {{"open_jobs", std::to_string(m_jobs.size())}});
    }
}

bool dispatch_entry::ready() const
{
    return m_member.config().version != 0 && !draining() &&
           m_member.now() - m_lastUsable < m_options.limits.targetGrace;
}

std::optional<batch_job_state> dispatch_entry::stateOf(batch_job_id id) const
{
    if (const auto ended = m_ended.find(id); ended != m_ended.end()) {
        return ended->second;
    }
    const auto found = m_jobs.find(id);
    if (found == m_jobs.end()) {
        return std::nullopt;
    }
    const auto &job = found->second;
    return job.endState.value_or(job.started ? batch_job_state::running : batch_job_state::pending);
}

std::size_t dispatch_entry::waitingJobs(std::string_view route) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs, [&](const auto &job) {
        return job.second.route.name == route && !job.second.started && !job.second.ending;
    }));
}

boost::json::value dispatch_entry::dump() const
{
    boost::json::object root;
    root["role"] = "entry";
    root["incarnation"] = toText(m_member.self().incarnation);
    root["zone"] = m_member.self().zone;
    root["config_version"] = m_member.config().version;
    root["config_revision"] = m_member.config().revision;
    root["ready"] = ready();
    root["draining"] = draining();
    root["open_jobs"] = m_jobs.size();
    root["waiting_jobs"] = m_queue.size();
    boost::json::array agents;
    for (const auto &[incarnation, agent] : m_pool.agents()) {
        agents.push_back({{"agent", toText(incarnation)},
                          {"endpoint", agent.endpoint},
                          {"zone", agent.zone},
                          {"target", agent.target},
                          {"usable", m_pool.usable(agent)},
                          {"cpu_millis", agent.capacity.cpuMillis},
                          {"running_cpu_millis", agent.running.cpuMillis},
                          {"outstanding", agent.outstanding.size()}});
    }
    root["agents"] = std::move(agents);
    return root;
}

} // namespace bamboohead
