#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Time without a message after which a silent agent without outstanding runs is removed. Its runs
/// are marked as lost earlier, once `runLossTimeout` has passed, unless their start is in doubt.
constexpr duration silentAgentRemovalTimeout = 3s;
/// The same for agents outside the working set, which report more rarely.
constexpr duration silentStandbyRemovalTimeout = 7s;
/// Shortest mean interval between lists of all entries that are sent to a process.
constexpr duration minMemberListInterval = 2s;
/// Mean interval between lists of all entries that are sent to a process, per square of the number
/// of entries: each of them sends a list of about 60 bytes for each of them, which together makes
/// about 1 KB/s for the receiver in a fleet of any size.
constexpr duration memberListIntervalPerSquare = 60ms;
/// Entries are listed to a process again for this time after they were first listed to it, in case
/// a message is lost.
constexpr duration newEntryPeriod = 1s;
/// Age of the echo in the newest message to an agent with runs from which a newer one is sent as
/// soon as there is one: dispatch_agent_limits::entryLease, after which the agent stops the runs,
/// less the intervals of a report and of a heartbeat.
constexpr duration maxEchoAge = 300ms;
/// Mean interval between reads of the store by all agents, while no entry reaches the store: half
/// of the reads that the platform allows the largest fleet.
constexpr duration stateReadInterval = 1ms;
/// Number of other entries up to which messages to them have the normal interval.
constexpr std::int64_t fewEntries = 8;

} // namespace

dispatch_entry::dispatch_entry(dispatch_entry_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_member{m_options.self, clock}
    , m_pool{m_member, m_options.seed, m_options.limits.workingSet, m_options.limits.placement}
{
    m_member.addContacts(m_options.contacts);
    m_lastUsableAgent = clock.now();
    m_lastTick = clock.now();
    m_started = clock.now();
    m_random.seed(m_options.seed);
}

// Messages

void dispatch_entry::receive(const wire::Envelope &envelope)
{
    const auto received = m_member.receive(envelope);
    if (!received.accepted) {
        return;
    }
    const incarnation_id sender{envelope.sender()};
    if (envelope.payload_case() == wire::Envelope::kEntrySync) {
        // A message may have been queued while this process was suspended. The age counts from the
        // echoed stamp, so it is too high rather than too low.
        m_demand.receive(sender, envelope.entry_sync(),
                         m_member.now() - received.age.value_or(duration{}));
    }
    const bool reported = envelope.payload_case() == wire::Envelope::kDispatchReport;
    if (reported) {
        handleReport(sender, envelope);
    }
    const auto known = m_pool.agents().find(sender);
    if (known == m_pool.agents().end()) {
        return;
    }
    auto &agent = known->second;
    agent.lastArrival = m_member.now();
    // Only full reports name the target that is cleared.
    if (const auto &report = envelope.dispatch_report();
        reported && report.has_capacity() && report.cleared() && received.age) {
        markPredecessorRunsLost(agent, report.target(), m_member.now() - *received.age);
        // A delayed report may name an earlier target.
        if (!agent.replaced && envelope.stamp_us() >= agent.newestListStamp) {
            m_starts.endDoubts(agent.endpoint, report.target(), m_member.now());
        }
    }
}

void dispatch_entry::handleReport(incarnation_id sender, const wire::Envelope &envelope)
{
    const auto &report = envelope.dispatch_report();
    auto [position, added] = m_pool.agents().try_emplace(sender);
    auto &agent = position->second;
    if (added) {
        agent.incarnation = sender;
        agent.epoch = ++m_lastEpoch;
        agent.knownSince = m_member.links().find(sender)->added;
        m_member.log("agent_found", {{"agent", toText(sender)},
                                     {"endpoint", envelope.endpoint()},
                                     {"zone", envelope.zone()}});
    }
    agent.endpoint = envelope.endpoint();
    agent.zone = envelope.zone();
    m_member.handlePeerRevision(sender, report.config_version());
    if (report.epoch() < agent.peerEpoch) {
        return; // sent before the agent removed this entry and started a new epoch
    }
    if (report.epoch() > agent.peerEpoch) {
        agent.peerEpoch = report.epoch();
        agent.endsSeen = 0;
    }
    updateView(agent, report);
    // Each run end is processed once and in order; the next full report repeats missing ones.
    if (report.reconcile() && !report.ends().empty()) {
        // Full reports begin with the oldest end that this entry has not acknowledged. Earlier ends
        // were acknowledged before this view of the agent was created.
        agent.endsSeen = std::max(agent.endsSeen, report.ends(0).number() - 1);
    }
    for (const auto &end : report.ends()) {
        if (end.number() == agent.endsSeen + 1) {
            agent.endsSeen = end.number();
            if (report.peer_epoch() == agent.epoch) { // otherwise order() has another meaning
                handleRunEnd(agent, end);
            }
        }
    }
    handleCrashes(agent, report);
    handleStartsInDoubt(agent, report);
    if (report.reconcile() && !report.ends_incomplete() && report.peer_epoch() == agent.epoch) {
        reconcile(agent, envelope);
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
    // Only full reports (`reconcile`) contain the service and the capacity, so an agent counts as
    // ready only from its first full report on.
    agent.lastReport = m_member.now();
    agent.ready = report.ready() && (report.reconcile() || !agent.service.empty());
    agent.cleared = report.cleared();
    agent.running = fromWire(report.running());
    agent.queued.clear();
    agent.queueWaits.clear();
    for (const auto &queued : report.queued()) {
        agent.queued[queued.priority()] += fromWire(queued.demand());
        agent.queueWaits[queued.priority()] = std::chrono::milliseconds{queued.wait_ms()};
    }
    agent.roomWait = std::chrono::milliseconds{report.room_wait_ms()};
    if (report.peer_epoch() == agent.epoch) {
        agent.ordersHandled = std::max(agent.ordersHandled, report.orders_handled());
    }
    if (report.has_capacity()) {
        agent.service = report.service();
        agent.target = report.target();
        agent.capacity = fromWire(report.capacity());
        agent.labels.assign(report.labels().begin(), report.labels().end());
        constexpr double perMille = 1'000;
        agent.lastingSlowness = report.slowness_permille() / perMille;
    }
}

/// Compares the outstanding runs with the complete list of runs that the agent holds. Runs that are
/// missing from it although the agent has handled their order messages or newer ones are lost. The
/// reason in the log is "order_not_received", because the order was presumably lost, or ignored by
/// the agent since it arrived after a newer message.
void dispatch_entry::reconcile(agent_view &agent, const wire::Envelope &envelope)
{
    const auto &report = envelope.dispatch_report();
    // Reports on a new connection may arrive before older ones.
    const bool newest = envelope.stamp_us() >= agent.newestListStamp;
    agent.newestListStamp = std::max(agent.newestListStamp, envelope.stamp_us());
    std::set<run_ref> held;
    for (int index = 0; index < report.held_size(); ++index) {
        const auto ref = *held.insert(fromWire(report.held(index))).first;
        const auto known = agent.outstanding.find(ref);
        if (known == agent.outstanding.end()) {
            continue;
        }
        auto &run = known->second;
        // Before the order was handled, the agent may have held an earlier run with this name.
        if (newest && run.orderNumber <= report.orders_handled()) {
            run.startSettled = index < report.start_settled_size() && report.start_settled(index);
        }
        if (index < report.running_ms_size()) {
            checkRunProgress(agent, ref, run, std::chrono::milliseconds{report.running_ms(index)});
        }
    }
    std::vector<run_ref> lost;
    for (const auto &[ref, run] : agent.outstanding) {
        if (run.orderNumber <= report.orders_handled() && !held.contains(ref)) {
            lost.push_back(ref);
        }
    }
    markRunsLost(agent, lost, "order_not_received");
}

/// Marks the runs of earlier agents at the endpoint of `successor` as lost. Called when `successor`
/// has reported its target as cleared, which proves that the runs of earlier agents on that target
/// have ended. A start of them that is in doubt may be executed by a later lifetime of the target,
/// so its task stays bound to the target. Runs that were ordered for a target with another id may
/// execute until their lease has expired, but their starts are settled: the target with the new id
/// refuses them.
/// @param echo This entry's stamp that the report echoed. One agent runs at an endpoint at a time,
///             so an agent that has received a stamp of a time at which another one was known
///             already is the later one. Reports may be delayed, so the order of their arrival
///             shows nothing.
void dispatch_entry::markPredecessorRunsLost(const agent_view &successor,
                                             const std::string &clearedTarget, time_point echo)
{
    for (auto &[incarnation, agent] : m_pool.agents()) {
        if (agent.endpoint != successor.endpoint || &agent == &successor ||
            agent.knownSince >= echo) {
            continue;
        }
        agent.replaced = true;
        std::vector<run_ref> lost;
        for (auto &[ref, run] : agent.outstanding) {
            if (run.target == clearedTarget) {
                if (!run.startSettled) { // a later lifetime of the target may still execute it
                    bindTask(ref.task, run.target, agent,
                             std::max(run.ordered, agent.lastArrival) +
                                     m_options.limits.maxStartDelay);
                }
                lost.push_back(ref);
            } else {
                run.startSettled = true;
            }
        }
        markRunsLost(agent, lost, "agent_restarted");
    }
}

void dispatch_entry::removeSilentAgents()
{
    std::vector<incarnation_id> gone;
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto silence = m_member.now() - agent.lastArrival;
        if (silence >= m_options.limits.runLossTimeout) {
            markSettledRunsLost(agent);
        }
        const auto timeout = m_pool.inWorkingSet(agent) ? silentAgentRemovalTimeout
                                                        : silentStandbyRemovalTimeout;
        // The view of an agent is the only record of its runs.
        if (silence >= timeout && agent.outstanding.empty()) {
            gone.push_back(incarnation);
        }
    }
    for (const auto incarnation : gone) {
        m_member.log("agent_lost", {{"agent", toText(incarnation)}});
        m_pool.removeAgent(incarnation);
        m_unsentOrders.erase(incarnation);
    }
}

// Periodic work

void dispatch_entry::tick()
{
    m_member.tick();
    expireJobs();
    removeSilentAgents();
    m_crashes.removeExpired(m_member.now());
    m_starts.removeExpired(m_member.now());
    m_cancels.removeExpired(m_member.now());
    releaseDeferredTasks();
    m_pool.updateWorkingSets();
    if (std::ranges::any_of(m_pool.agents(),
                            [&](const auto &agent) { return m_pool.usable(agent.second); })) {
        m_lastUsableAgent = m_member.now();
    }
    const auto eventLoopDelay = measureEventLoopDelay();
    if (m_options.limits.fleetAdmission) {
        updateFleetLoad();
        m_admission.update(eventLoopDelay, m_member.now());
    } else {
        m_admission.update(std::max(backlog(), eventLoopDelay), m_member.now());
    }
    demoteOrRefuseLateJobs();
    evictEndedJobs();
    syncEntries();
    m_dispatchDue = m_dispatchDue || !m_queue.empty();
    if (m_drainStart && !m_shutdownCompleted) {
        const auto drained = m_member.now() - *m_drainStart;
        const bool drainComplete = m_jobs.empty() && drained >= m_options.limits.minDrainTime;
        if (drainComplete || drained >= m_options.limits.drainTimeout) {
            finishShutdown();
        }
    }
}

/// Response time that an overload of this process's own processor adds to a job: twice the time by
/// which the interval since the previous call exceeds `tickPeriod`, because the event loop handles
/// a job late twice, when it arrives and when its last task ends. To be called once in each tick.
duration dispatch_entry::measureEventLoopDelay()
{
    constexpr int delayedPasses = 2;
    const auto since = m_member.now() - std::exchange(m_lastTick, m_member.now());
    return std::max(duration{}, since - m_options.limits.tickPeriod) * delayedPasses;
}

template <typename Message>
void dispatch_entry::addMemberList(Message &message, member_list_times &times)
{
    const auto now = m_member.now();
    const auto last = std::exchange(times.last, now);
    if (now < times.nextAll) {
        m_member.fillMembers(message, last - newEntryPeriod);
        return;
    }
    m_member.fillMembers(message);
    const auto entries = std::ssize(m_lastSync) + 1;
    const auto interval = std::max<duration>(minMemberListInterval,
                                             memberListIntervalPerSquare * entries * entries);
    // Random, so that the lists of the entries do not all arrive at the same time.
    const auto factor = std::uniform_real_distribution<double>{0.5, 1.5}(m_random);
    times.nextAll =
            now +
            duration{static_cast<duration::rep>(static_cast<double>(interval.count()) * factor)};
}

/// Factor by which the interval of messages to all other entries is multiplied, so that their rate
/// does not grow with the number of entries.
std::int64_t dispatch_entry::largeFleetFactor() const
{
    return std::max<std::int64_t>(1, std::ssize(m_lastSync) / fewEntries);
}

duration dispatch_entry::syncInterval() const
{
    const bool demandDue = m_options.limits.fleetAdmission && m_demand.anyWaiting();
    const auto interval =
            demandDue ? m_options.limits.demandInterval : m_options.limits.idleHeartbeatInterval;
    return std::min(interval * largeFleetFactor(), m_options.limits.standbyHeartbeatInterval);
}

void dispatch_entry::syncEntries()
{
    const auto interval = syncInterval();
    for (const auto *const peer : m_member.links().peers(wire::ROLE_ENTRY)) {
        auto &last = m_lastSync[peer->incarnation];
        if (m_member.now() - last.message < interval) {
            continue;
        }
        last.message = m_member.now();
        wire::Envelope envelope;
        addMemberList(*envelope.mutable_entry_sync(), last.memberList);
        envelope.mutable_entry_sync()->set_config_version(m_member.config().revision);
        envelope.mutable_entry_sync()->set_draining(draining());
        if (m_options.limits.fleetAdmission) {
            m_demand.addTo(*envelope.mutable_entry_sync(), m_member.now());
        }
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

/// Interval between heartbeats to an agent. Ends that the agent still repeats in its reports, since
/// they are not acknowledged yet, count as outstanding runs.
duration dispatch_entry::heartbeatInterval(const agent_view &agent) const
{
    if (!agent.outstanding.empty() || agent.endsSeen != agent.endsAcknowledged ||
        agent.doubtsSeen != agent.doubtsAcknowledged) {
        return m_options.limits.busyHeartbeatInterval;
    }
    return m_pool.inWorkingSet(agent) ? m_options.limits.idleHeartbeatInterval
                                      : m_options.limits.standbyHeartbeatInterval;
}

void dispatch_entry::sendOrders()
{
    const auto now = m_member.now();
    for (auto &[incarnation, agent] : m_pool.agents()) {
        const auto interval = heartbeatInterval(agent);
        const auto unsent = m_unsentOrders.find(incarnation);
        const auto sinceHeartbeat = now - agent.lastHeartbeat;
        // The first order to an agent that had no runs echoes a stamp of an idle report.
        const bool echoDue = !agent.outstanding.empty() && agent.lastArrival > agent.echoArrival &&
                             now - agent.echoArrival >= maxEchoAge;
        if (sinceHeartbeat < interval && unsent == m_unsentOrders.end() && !echoDue) {
            continue;
        }
        agent.echoArrival = agent.lastArrival;
        // A message that is sent anyway includes the heartbeat if that is due soon.
        const bool due = sinceHeartbeat >= interval / 2;
        wire::Envelope envelope;
        auto &message = *envelope.mutable_dispatch_orders();
        if (unsent != m_unsentOrders.end()) {
            message = std::move(unsent->second);
            m_unsentOrders.erase(unsent);
        }
        message.set_ends_seen(agent.endsSeen);
        agent.endsAcknowledged = agent.endsSeen;
        message.set_crashes_seen(agent.crashesSeen);
        message.set_doubts_seen(agent.doubtsSeen);
        agent.doubtsAcknowledged = agent.doubtsSeen;
        if (!m_pool.inWorkingSet(agent)) {
            message.set_idle_report_ms(toMilliseconds(m_options.limits.standbyHeartbeatInterval));
        }
        message.set_epoch(agent.epoch);
        message.set_peer_epoch(agent.peerEpoch);
        message.set_config_version(m_member.config().revision);
        message.set_state_read_window_ms(
                toMilliseconds(stateReadInterval * std::ssize(m_pool.agents())));
        if (due) {
            addHeartbeat(agent, message);
        }
        m_member.send(incarnation, std::move(envelope));
    }
}

/// Adds a heartbeat: the complete list of runs that the agent is to continue. Repeats stops that
/// the agent has not confirmed yet.
void dispatch_entry::addHeartbeat(agent_view &agent, wire::DispatchOrders &message)
{
    agent.lastHeartbeat = m_member.now();
    message.set_number(agent.ordersSent);
    message.set_reconcile(true);
    for (auto &[ref, run] : agent.outstanding) {
        if (!run.stopping) {
            toWire(ref, *message.add_wanted());
        } else if (m_member.now() - run.stopSent >= m_options.limits.stopRetryInterval) {
            run.stopSent = m_member.now();
            toWire(ref, *message.add_stops());
        }
    }
    message.set_draining(draining());
    addMemberList(message, agent.memberList);
}

// State

void dispatch_entry::handleConfig(const desired_state &state)
{
    m_member.adoptFromStore(state);
}

void dispatch_entry::handleStateProof(std::uint64_t revision, time_point at)
{
    m_member.proveCurrent(revision, at);
}

void dispatch_entry::addEntryEndpoints(const std::vector<std::string> &endpoints)
{
    m_member.addContacts(endpoints);
}

void dispatch_entry::stop()
{
    if (!m_drainStart) {
        m_drainStart = m_member.now();
        m_member.log("draining", {{"open_jobs", std::to_string(m_jobs.size())}});
    }
}

bool dispatch_entry::ready() const
{
    return m_member.config().version != 0 && !draining() &&
           m_member.now() - m_lastUsableAgent < m_options.limits.noAgentTimeout;
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
