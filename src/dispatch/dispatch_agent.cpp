#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"
#include "bamboohead/dispatch/room_forecast.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace bamboohead {

namespace {

constexpr std::uint64_t percent = 100;
constexpr std::size_t maxEndsPerReport = 500;
/// The interval between early reports is multiplied by the number of entries divided by this,
/// rounded down and at least 1.
constexpr std::int64_t earlyReportIntervalDivisor = 4;
/// An entry from which no message has arrived for this long receives no reports. One that has not
/// echoed a stamp of this age or newer does not count as connected. Entries that do not use this
/// agent send a message each dispatch_entry_limits::standbyHeartbeatInterval.
constexpr duration entryTimeout = std::chrono::seconds{7};
/// Time for which the crashes of the target are reported to entries; as long as entries keep them.
constexpr duration crashRetention = std::chrono::seconds{60};
constexpr std::size_t maxCrashRecords = 64;
/// Tasks with a start in doubt that are kept for reports to entries. An eighth of those that an
/// entry keeps, see start_ledger_limits.
constexpr std::size_t maxDoubtRecords = 2'048;
/// Those in one full report: about 10 KB. The next ones follow when these are acknowledged.
constexpr std::size_t maxDoubtsPerReport = 256;
/// Time for which a new one is repeated in each report at the busy interval. Longer than a caller
/// waits before it submits its job to another entry.
constexpr duration newDoubtPeriod = std::chrono::seconds{2};

/// Multiple of its longest expected wait after which a queued run is returned: an expected wait
/// consists of expected run times, which deviate from the real ones by up to their half.
constexpr int overdueWaitFactor = 2;
/// Run time that is assumed of runs without an expected one.
constexpr duration defaultRunTime = std::chrono::milliseconds{200};
constexpr double perMille = 1'000;
/// Longer expected waits are reported as this one.
constexpr duration maxReportedWait = std::chrono::seconds{60};

void toWire(const start_in_doubt &start, time_point now, wire::StartInDoubt &out)
{
    out.set_target(start.target);
    out.set_remaining_ms(toMilliseconds(std::max(duration{}, start.until - now)));
}

} // namespace

dispatch_agent::dispatch_agent(dispatch_agent_options options, const clock &clock)
    : m_options{std::move(options)}
    , m_member{m_options.self, clock}
    , m_session{clock, m_options.fenceGeneration, m_options.target}
    , m_stateReader{m_options.stateReader, m_options.seed}
{
    m_member.addContacts(m_options.contacts);
}

void dispatch_agent::receive(const wire::Envelope &envelope)
{
    const auto received = m_member.receive(envelope);
    // After the link was updated: the message may prove that its entry is not silent.
    stopRunsOfSilentEntriesAndExpiredRuns();
    if (received.accepted && envelope.payload_case() == wire::Envelope::kDispatchOrders) {
        handleOrdersMessage(incarnation_id{envelope.sender()}, envelope.dispatch_orders(),
                            received);
    }
}

void dispatch_agent::handleOrdersMessage(incarnation_id sender, const wire::DispatchOrders &message,
                                         const receive_result &received)
{
    auto &entry = findOrAddEntry(sender);
    m_member.handlePeerRevision(sender, message.config_version());
    if (message.epoch() < entry.peerEpoch) {
        return; // outdated: the entry has since removed this agent and begun a newer epoch
    }
    if (message.epoch() > entry.peerEpoch) {
        entry.peerEpoch = message.epoch();
        entry.ordersHandled = 0;
        forgetOrderNumbers(sender, entry);
    }
    m_stateReader.setWindow(std::chrono::milliseconds{message.state_read_window_ms()});
    entry.crashesSeen = message.crashes_seen();
    entry.doubtsSeen = message.doubts_seen();
    const auto acked = message.peer_epoch() == entry.epoch ? message.ends_seen() : 0;
    while (!entry.unacked.empty() && entry.unacked.front().number() <= acked) {
        entry.unacked.pop_front();
    }
    entry.unsent = std::min(entry.unsent, entry.unacked.size());
    const auto idleInterval = std::min<duration>(
            std::chrono::milliseconds{message.idle_report_ms()}, m_options.limits.maxIdleInterval);
    if (idleInterval < entry.idleInterval) {
        entry.lastFullReport = {}; // the entry is about to use this agent and needs its load
    }
    entry.idleInterval = idleInterval;
    for (const auto &stop : message.stops()) {
        const auto ref = fromWire(stop);
        const auto held = m_runs.find(ref);
        if (held != m_runs.end() && held->second.entry == sender) {
            stopRun(ref, m_member.now());
        }
    }
    const bool fresh = received.age && *received.age <= m_options.limits.maxOrderAge;
    // Messages on a new connection may arrive before older ones, which are then ignored.
    if (message.number() >= entry.ordersHandled) {
        const bool repeated = message.number() == entry.ordersHandled;
        entry.ordersHandled = message.number();
        if (!repeated) {
            handleOrders(sender, message, fresh);
        }
        if (message.reconcile()) {
            reconcile(sender, message);
        }
    }
    startQueued();
}

void dispatch_agent::forgetOrderNumbers(incarnation_id sender, entry_state &entry)
{
    for (auto &end : entry.unacked) {
        end.set_order(0);
    }
    for (auto &[ref, run] : m_runs) {
        if (run.entry == sender) {
            run.order = 0;
        }
    }
}

resources dispatch_agent::queuedDemandUpTo(std::uint32_t priority) const
{
    resources sum;
    for (auto each = m_queued.begin(); each != m_queued.end() && each->first <= priority; ++each) {
        sum += each->second;
    }
    return sum;
}

/// Suspects are not counted in `m_queued`, from which the entries estimate the overload: they wait
/// for other suspects, not for free capacity.
void dispatch_agent::enqueue(const run_ref &ref, const agent_run &run)
{
    m_queue.emplace(run.key, ref);
    if (!run.suspect) {
        m_queued[std::get<std::uint32_t>(run.key)] += run.demand;
    }
}

void dispatch_agent::dequeue(const agent_run &run)
{
    m_queue.erase(run.key);
    if (run.suspect) {
        return;
    }
    const auto queued = m_queued.find(std::get<std::uint32_t>(run.key));
    queued->second -= run.demand;
    if (queued->second == resources{}) {
        m_queued.erase(queued);
    }
}

error_kind dispatch_agent::refusalReason(const run_ref &ref, const wire::RunOrder &order,
                                         bool fresh) const
{
    if (!fresh) {
        return error_kind::order_stale;
    }
    if (m_stopSince) {
        return error_kind::target_leaving;
    }
    if (m_member.config().zoneOutOfService(m_member.self().zone)) {
        return error_kind::zone_out;
    }
    if (!m_session.ready()) {
        return error_kind::target_refused;
    }
    const auto first = m_runs.lower_bound(run_ref{ref.task, 0});
    if (first != m_runs.end() && first->first.task == ref.task) {
        return error_kind::order_duplicate;
    }
    if (!targetMeets({order.service(), order.required_label(), order.target(), {}})) {
        return error_kind::order_void;
    }
    if (order.suspect() && order.immediate() &&
        std::ranges::any_of(m_runs, [](const auto &run) { return run.second.suspect; })) {
        return error_kind::no_room;
    }
    const auto demand = fromWire(order.demand());
    auto room = m_session.target()->capacity;
    if (!demand.fitsIn(room)) {
        return error_kind::no_room;
    }
    const auto total = m_session.committed() + queuedDemandUpTo(order.priority()) + demand;
    if (total.fitsIn(room)) {
        return error_kind::none;
    }
    if (order.immediate() && order.max_wait_ms() == 0) {
        return error_kind::no_room;
    }
    const std::chrono::milliseconds maxWait{order.max_wait_ms()};
    room.cpuMillis += room.cpuMillis * m_options.limits.queuePercent / percent;
    room.memoryMb += room.memoryMb * m_options.limits.queuePercent / percent;
    if (!total.fitsIn(room) ||
        (maxWait > duration{} && expectedWait(order.priority(), demand) > maxWait)) {
        return error_kind::no_room;
    }
    return error_kind::none;
}

duration dispatch_agent::expectedHere(const agent_run &run) const
{
    const auto expected = run.expected > duration{} ? run.expected : defaultRunTime;
    const auto ratio = m_slowness.ratio();
    return ratio <= 0 ? expected
                      : duration{static_cast<duration::rep>(static_cast<double>(expected.count()) *
                                                            ratio)};
}

resources dispatch_agent::meanDemand() const
{
    resources sum;
    for (const auto &[ref, run] : m_runs) {
        sum += run.demand;
    }
    const auto runs = std::max<std::size_t>(1, m_runs.size());
    return {sum.cpuMillis / runs, sum.memoryMb / runs, sum.accelerators / runs};
}

duration dispatch_agent::expectedWait(std::optional<std::uint32_t> priority,
                                      const resources &demand) const
{
    std::vector<forecast_run> running;
    resources used;
    for (const auto &[ref, run] : m_runs) {
        if (!run.queued) {
            used += run.demand;
            running.push_back(
                    {run.demand, remainingTime(expectedHere(run), m_session.runningTime(ref))});
        }
    }
    // Runs that the agent does not have, for example those of its predecessor.
    if (const auto others = m_session.committed() - used; others != resources{}) {
        running.push_back({others, defaultRunTime});
    }
    std::vector<forecast_run> waiting;
    for (const auto &[key, ref] : m_queue) {
        if (!priority || std::get<std::uint32_t>(key) > *priority) {
            break;
        }
        const auto &run = m_runs.at(ref);
        waiting.push_back({run.demand, expectedHere(run)});
    }
    return expectedStart(m_session.target()->capacity, std::move(running), waiting, demand);
}

void dispatch_agent::returnOverdueRuns()
{
    std::vector<run_ref> overdue;
    for (const auto &[key, ref] : m_queue) {
        const auto &run = m_runs.at(ref);
        if (run.maxWait > duration{} &&
            m_member.now() - run.ordered > run.maxWait * overdueWaitFactor) {
            overdue.push_back(ref);
        }
    }
    for (const auto &ref : overdue) {
        ++m_counters.runsReturned;
        const auto &run = m_runs.at(ref);
        m_member.log("run_returned",
                     {{"run", toText(ref)},
                      {"entry", toText(run.entry)},
                      {"waited_ms", std::to_string(toMilliseconds(m_member.now() - run.ordered))},
                      {"max_wait_ms", std::to_string(toMilliseconds(run.maxWait))}});
        endRun(ref, wire::RUN_OUTCOME_REFUSED, error_kind::no_room, {});
    }
}

void dispatch_agent::recordRunTime(const agent_run &run, duration runTime)
{
    if (!m_session.target()) {
        return;
    }
    const auto &lifetime = m_session.target()->lifetime;
    if (m_slownessOf != lifetime) {
        m_slowness.reset();
        m_slownessOf = lifetime;
    }
    m_slowness.record(run.expected, runTime);
}

void dispatch_agent::handleOrders(incarnation_id entry, const wire::DispatchOrders &message,
                                  bool fresh)
{
    for (const auto &order : message.orders()) {
        for (const auto &task : order.tasks()) {
            handleOrder(entry, order, task, message.number(), fresh);
        }
    }
}

void dispatch_agent::handleOrder(incarnation_id entry, const wire::RunOrder &order,
                                 const wire::RunTask &task, std::uint64_t number, bool fresh)
{
    const run_ref ref{{batch_job_id{order.job()}, order.step(), task.index()}, task.run()};
    // Run numbers begin anew with each entry, so another one may have ordered a run with this name.
    const auto held = m_runs.find(ref);
    if (held != m_runs.end() && held->second.entry == entry) {
        held->second.order = number; // its end is that of the new order, too
        return;
    }
    const auto refusal = refusalReason(ref, order, fresh);
    if (refusal != error_kind::none) {
        m_member.log("order_refused",
                     {{"run", toText(ref)},
                      {"entry", toText(entry)},
                      {"reason", std::string{errorInfo(refusal).name}},
                      {"running_cpu", std::to_string(m_session.committed().cpuMillis)}});
        if (refusal == error_kind::order_void) { // the entry needs to know what the target is now
            findOrAddEntry(entry).lastFullReport = {};
        }
        reportEnd(entry, ref, number, wire::RUN_OUTCOME_REFUSED, refusal, {}, false);
        return;
    }
    agent_run run;
    run.entry = entry;
    run.order = number;
    run.demand = fromWire(order.demand());
    run.spec = order.spec();
    run.requirements = {order.service(), order.required_label(), order.target(),
                        m_member.now() + std::chrono::milliseconds{order.doubt_ms()}};
    run.suspect = order.suspect();
    run.expected = std::chrono::milliseconds{order.expected_ms()};
    run.maxWait = std::chrono::milliseconds{order.max_wait_ms()};
    run.ordered = m_member.now();
    run.key = {order.priority(), ++m_lastQueueNumber};
    run.expires = m_member.now() + std::chrono::milliseconds{order.remaining_ms()};
    enqueue(ref, run);
    m_runs.emplace(ref, std::move(run));
}

void dispatch_agent::reconcile(incarnation_id entry, const wire::DispatchOrders &message)
{
    std::set<run_ref> wanted;
    for (const auto &ref : message.wanted()) {
        wanted.insert(fromWire(ref));
    }
    std::vector<run_ref> unwanted;
    for (const auto &[ref, run] : m_runs) {
        if (run.entry == entry && !run.stopping && !wanted.contains(ref)) {
            unwanted.push_back(ref);
        }
    }
    for (const auto &ref : unwanted) {
        m_member.log("run_not_wanted", {{"run", toText(ref)}, {"entry", toText(entry)}});
        stopRun(ref, m_member.now());
    }
}

void dispatch_agent::stopRun(const run_ref &ref, time_point due)
{
    const auto found = m_runs.find(ref);
    if (found == m_runs.end() || found->second.stopping) {
        return;
    }
    found->second.stopping = true;
    if (found->second.queued) {
        endRun(ref, wire::RUN_OUTCOME_STOPPED, error_kind::none, {});
    } else {
        m_session.stop(ref, due);
        recordDoubt(ref.task); // the end may become known only when the target answers again
    }
}

bool dispatch_agent::targetMeets(const target_requirements &requirements) const
{
    const auto &target = *m_session.target();
    return (requirements.service.empty() || requirements.service == target.service) &&
           (requirements.label.empty() ||
            std::ranges::find(target.labels, requirements.label) != target.labels.end()) &&
           (requirements.target.empty() || requirements.target == target.lifetime.id);
}

void dispatch_agent::refuseQueuedRuns(error_kind reason)
{
    std::vector<run_ref> waiting;
    for (const auto &[key, ref] : m_queue) {
        waiting.push_back(ref);
    }
    for (const auto &ref : waiting) {
        endRun(ref, wire::RUN_OUTCOME_REFUSED, reason, {});
    }
}

void dispatch_agent::refuseUnfitRuns()
{
    std::vector<std::pair<run_ref, error_kind>> unfit;
    for (const auto &[key, ref] : m_queue) {
        const auto &run = m_runs.at(ref);
        if (!targetMeets(run.requirements)) {
            unfit.emplace_back(ref, error_kind::order_void);
        } else if (!run.demand.fitsIn(m_session.target()->capacity)) {
            unfit.emplace_back(ref, error_kind::no_room);
        }
    }
    for (const auto &[ref, reason] : unfit) {
        if (reason == error_kind::order_void) {
            m_member.log("run_unfit", {{"run", toText(ref)},
                                       {"target", m_session.target()->lifetime.id},
                                       {"service", m_session.target()->service}});
            // The entry needs to know what the target is now.
            findOrAddEntry(m_runs.at(ref).entry).lastFullReport = {};
        }
        endRun(ref, wire::RUN_OUTCOME_REFUSED, reason, {});
    }
}

bool dispatch_agent::mayStart()
{
    const auto proofAge = m_member.proofAge();
    if (!m_options.readsStore || m_queue.empty() ||
        m_stateReader.mayStart(m_member.now(), proofAge)) {
        m_waitLogged = false;
        return true;
    }
    if (!std::exchange(m_waitLogged, true)) {
        m_member.log("starts_wait_for_state",
                     {{"queued", std::to_string(m_queue.size())},
                      {"proof_age_ms", proofAge ? std::to_string(toMilliseconds(*proofAge)) : ""},
                      {"revision", std::to_string(m_member.config().revision)}});
    }
    return false;
}

void dispatch_agent::startQueued()
{
    if (m_member.config().zoneOutOfService(m_member.self().zone)) {
        refuseQueuedRuns(error_kind::zone_out);
        return;
    }
    if (!m_session.ready() || !mayStart()) {
        return;
    }
    refuseUnfitRuns();
    returnOverdueRuns();
    auto room = m_session.target()->capacity - m_session.committed();
    std::vector<std::pair<queue_key, run_ref>> started;
    // With two suspects, a crash would not show which of them has caused it.
    bool suspectStarted = suspectRunning();
    for (const auto &[key, ref] : m_queue) {
        auto &run = m_runs.at(ref);
        if (run.suspect && suspectStarted) {
            continue;
        }
        // Smaller runs may not start before the first one, or a large run could wait forever.
        if (!run.demand.fitsIn(room)) {
            break;
        }
        room -= run.demand;
        suspectStarted = suspectStarted || run.suspect;
        started.emplace_back(key, ref);
    }
    for (const auto &[key, ref] : started) {
        auto &run = m_runs.at(ref);
        run.queued = false;
        dequeue(run);
        ++m_counters.started;
        m_session.start(ref, run.spec, run.demand, run.suspect);
        // `config` is the store's revision here, and the operators' version in an entry's
        // `job_accepted`.
        m_member.log("run_started",
                     {{"run", toText(ref)},
                      {"entry", toText(run.entry)},
                      {"running_cpu", std::to_string(m_session.committed().cpuMillis)},
                      {"queued", std::to_string(m_queue.size())},
                      {"suspect", run.suspect ? "true" : "false"},
                      {"config", std::to_string(m_member.config().revision)}});
    }
}

bool dispatch_agent::handleTargetReport(const target_report &report)
{
    stopRunsOfSilentEntriesAndExpiredRuns();
    const bool used = m_session.handleReport(report);
    takeSessionResults();
    startQueued();
    return used;
}

void dispatch_agent::handleTargetShutdown(const std::string &targetId)
{
    m_session.handleShutdownAnnouncement(targetId);
}

void dispatch_agent::handleCallResult(const target_reply &reply)
{
    stopRunsOfSilentEntriesAndExpiredRuns();
    m_session.handle(reply);
    m_session.tick(); // makes the next list call or raises the fence without a delay
    takeSessionResults();
    startQueued();
}

void dispatch_agent::addEntryEndpoints(const std::vector<std::string> &endpoints)
{
    m_member.addContacts(endpoints);
}

void dispatch_agent::handleConfig(const desired_state &state)
{
    m_member.adoptFromStore(state);
}

bool dispatch_agent::stateReadDue()
{
    if (!m_options.readsStore) {
        return false;
    }
    const auto proofAge = m_member.proofAge();
    auto use = state_use::none;
    if (m_member.config().zoneOutOfService(m_member.self().zone)) {
        use = state_use::zone_return;
    } else if (!m_queue.empty() && !m_stateReader.mayStart(m_member.now(), proofAge)) {
        use = state_use::waiting_starts;
    } else if (!m_runs.empty()) {
        use = state_use::starts;
    }
    if (!m_stateReader.due(m_member.now(), proofAge, use)) {
        return false;
    }
    ++m_counters.stateReads;
    return true;
}

void dispatch_agent::handleStateProof(std::uint64_t revision, time_point at)
{
    const bool proven = m_member.proveCurrent(revision, at);
    m_stateReader.handleResult(m_member.now(), proven);
    m_member.log("state_read", {{"revision", std::to_string(revision)},
                                {"used", proven ? "true" : "false"},
                                {"version", std::to_string(m_member.config().version)}});
    startQueued();
}

void dispatch_agent::handleStateReadFailure()
{
    ++m_counters.stateReadsFailed;
    m_stateReader.handleResult(m_member.now(), false);
    const auto proofAge = m_member.proofAge();
    m_member.log("state_read_failed",
                 {{"proof_age_ms", proofAge ? std::to_string(toMilliseconds(*proofAge)) : ""},
                  {"queued", std::to_string(m_queue.size())}});
    startQueued();
}

void dispatch_agent::takeSessionResults()
{
    for (auto &[name, fields] : m_session.takeEvents()) {
        m_member.log(std::move(name), std::move(fields));
    }
    for (const auto &end : m_session.takeOutcomes()) {
        handleRunEnd(end);
    }
    for (const auto &tasks : m_session.takeCrashes()) {
        recordCrash(tasks);
    }
}

void dispatch_agent::recordCrash(const std::vector<batch_task> &tasks)
{
    ++m_counters.crashes;
    for (const auto &task : tasks) {
        m_crashed.push_back({task, m_counters.crashes, m_member.now()});
        if (m_crashed.size() > maxCrashRecords) {
            m_crashed.pop_front();
        }
    }
    for (auto &[incarnation, entry] : m_entries) {
        entry.lastFullReport = {};
    }
}

std::optional<start_in_doubt> dispatch_agent::startInDoubt(const batch_task &task) const
{
    auto start = m_session.startInDoubt(task);
    const auto run = m_runs.lower_bound(run_ref{task, 0});
    if (run != m_runs.end() && run->first.task == task) {
        // The predecessor of this agent may have made the call.
        const auto &required = run->second.requirements;
        if (!required.target.empty() && required.until > m_member.now() &&
            (!start || required.until > start->until)) {
            start = start_in_doubt{required.target, required.until};
        }
    }
    return start;
}

void dispatch_agent::recordDoubt(const batch_task &task)
{
    const auto start = startInDoubt(task);
    const auto known = std::ranges::find(m_doubts, task, &doubt_record::task);
    if (known != m_doubts.end()) {
        if (start && known->start.target == start->target && known->start.until >= start->until) {
            return;
        }
        m_doubts.erase(known);
    }
    if (!start) {
        return;
    }
    m_doubts.push_back({task, *start, ++m_lastDoubt, m_member.now()});
    m_member.log("task_in_doubt",
                 {{"job", toText(task.job)},
                  {"step", std::to_string(task.step)},
                  {"index", std::to_string(task.index)},
                  {"target", start->target},
                  {"remaining_ms", std::to_string(toMilliseconds(start->until - m_member.now()))}});
    if (m_doubts.size() > maxDoubtRecords) {
        m_member.log("doubt_dropped", {{"job", toText(m_doubts.front().task.job)}});
        m_doubts.pop_front();
    }
    for (auto &[incarnation, entry] : m_entries) {
        entry.lastFullReport = {};
    }
}

bool dispatch_agent::hasNewDoubtsFor(const entry_state &entry) const
{
    return !m_doubts.empty() && m_doubts.back().number > entry.doubtsSeen &&
           m_member.now() - m_doubts.back().recorded < newDoubtPeriod;
}

bool dispatch_agent::suspectRunning() const
{
    return std::ranges::any_of(
            m_runs, [](const auto &run) { return run.second.suspect && !run.second.queued; });
}

void dispatch_agent::handleRunEnd(const run_outcome &end)
{
    const auto found = m_runs.find(end.ref);
    if (found == m_runs.end()) {
        return;
    }
    switch (end.result) {
    case run_outcome::kind::done:
        recordRunTime(found->second, end.runTime);
        endRun(end.ref, wire::RUN_OUTCOME_DONE, error_kind::none, end.runTime);
        break;
    case run_outcome::kind::failed:
        endRun(end.ref, wire::RUN_OUTCOME_FAILED, error_kind::none, end.runTime);
        break;
    case run_outcome::kind::stopped:
        endRun(end.ref, wire::RUN_OUTCOME_STOPPED, error_kind::none, end.runTime);
        break;
    case run_outcome::kind::lost:
        endRun(end.ref, wire::RUN_OUTCOME_LOST, error_kind::none, end.runTime, end.crashPossible);
        break;
    case run_outcome::kind::not_started: {
        auto &run = found->second;
        if (end.refusal == start_refusal::retry && !run.stopping && m_member.now() < run.expires) {
            run.queued = true;
            run.maxWait = {}; // it is no longer new at this agent
            enqueue(end.ref, run);
            break;
        }
        const auto error = end.refusal == start_refusal::old_run   ? error_kind::order_void
                           : end.refusal == start_refusal::no_room ? error_kind::no_room
                                                                   : error_kind::target_refused;
        endRun(end.ref, wire::RUN_OUTCOME_REFUSED, error, {});
        break;
    }
    }
}

void dispatch_agent::endRun(const run_ref &ref, wire::RunOutcome outcome, error_kind error,
                            duration runTime, bool crashPossible)
{
    const auto found = m_runs.find(ref);
    const auto &run = found->second;
    if (run.queued) {
        dequeue(run);
    }
    reportEnd(run.entry, ref, run.order, outcome, error, runTime, crashPossible);
    m_runs.erase(found);
}

void dispatch_agent::reportEnd(incarnation_id receiver, const run_ref &ref, std::uint64_t order,
                               wire::RunOutcome outcome, error_kind error, duration runTime,
                               bool crashPossible)
{
    count(outcome, runTime);
    auto &entry = findOrAddEntry(receiver);
    wire::RunEnd end;
    end.set_number(++entry.newestEndNumber);
    toWire(ref, *end.mutable_run());
    end.set_outcome(outcome);
    end.set_error(toWire(error));
    end.set_run_ms(toMilliseconds(runTime));
    end.set_crash_possible(crashPossible);
    end.set_order(order);
    // A task that is done may run again when the caller submits its job again.
    if (const auto start = startInDoubt(ref.task)) {
        toWire(*start, m_member.now(), *end.mutable_start_in_doubt());
    }
    recordDoubt(ref.task);
    entry.unacked.push_back(std::move(end));
    ++entry.unsent;
    m_member.log("run_ended", {{"run", toText(ref)},
                               {"entry", toText(receiver)},
                               {"outcome", wire::RunOutcome_Name(outcome)},
                               {"run_ms", std::to_string(toMilliseconds(runTime))}});
}

void dispatch_agent::count(wire::RunOutcome outcome, duration runTime)
{
    if (outcome == wire::RUN_OUTCOME_DONE) {
        ++m_counters.done;
        m_runTimes.push_back(runTime);
    } else if (outcome == wire::RUN_OUTCOME_REFUSED) {
        ++m_counters.refused;
    } else {
        ++m_counters.notDone;
    }
}

time_point dispatch_agent::entryLeaseEnd(incarnation_id entry) const
{
    const auto *const peer = m_member.links().find(entry);
    const auto echo = peer == nullptr ? std::nullopt : peer->newestEcho;
    return echo.value_or(time_point{}) + m_options.limits.entryLease;
}

void dispatch_agent::stopRunsOfSilentEntriesAndExpiredRuns()
{
    const auto now = m_member.now();
    std::vector<std::pair<run_ref, time_point>> runsToStop;
    for (const auto &[ref, run] : m_runs) {
        if (run.stopping) {
            continue;
        }
        const auto leaseEnd = entryLeaseEnd(run.entry);
        if (now <= leaseEnd && now < run.expires) {
            continue;
        }
        const auto due = std::min(leaseEnd, run.expires);
        const auto lateMs = std::to_string(toMilliseconds(now - due));
        if (now > leaseEnd) {
            m_member.log("entry_silent",
                         {{"run", toText(ref)}, {"entry", toText(run.entry)}, {"late_ms", lateMs}});
        } else {
            m_member.log("run_expired",
                         {{"run", toText(ref)}, {"entry", toText(run.entry)}, {"late_ms", lateMs}});
        }
        runsToStop.emplace_back(ref, due);
    }
    for (const auto &[ref, due] : runsToStop) {
        stopRun(ref, due);
    }
    m_session.confirmRightsUntil(now);
}

void dispatch_agent::tick()
{
    stopRunsOfSilentEntriesAndExpiredRuns();
    m_member.tick();
    m_session.tick();
    takeSessionResults();
    startQueued();
    // Adds a state for each new entry, so that reports are sent to it.
    for (const auto *const peer : m_member.links().peers(wire::ROLE_ENTRY)) {
        findOrAddEntry(peer->incarnation);
    }
    std::erase_if(m_entries, [&](const auto &entry) {
        return m_member.links().find(entry.first) == nullptr && !hasRunsOf(entry.first);
    });
    while (!m_crashed.empty() && m_member.now() - m_crashed.front().known >= crashRetention) {
        m_crashed.pop_front();
    }
    std::erase_if(m_doubts, [&](const doubt_record &record) {
        const bool replaced =
                m_session.cleared() && record.start.target != m_session.target()->lifetime.id;
        return replaced || record.start.until <= m_member.now();
    });
    if (m_session.ready() != m_lastLoggedReady) {
        m_lastLoggedReady = m_session.ready();
        m_member.log("target_ready", {{"ready", m_lastLoggedReady ? "true" : "false"}});
        for (auto &[incarnation, entry] : m_entries) {
            entry.lastFullReport = {};
        }
    }
    if (m_stopSince && !m_shutdownReported) {
        const bool allReported = std::ranges::all_of(
                m_entries, [](const auto &entry) { return entry.second.unsent == 0; });
        const bool timedOut = m_member.now() - *m_stopSince >= m_options.limits.drainTimeout;
        if ((m_runs.empty() && allReported) || timedOut) {
            m_shutdownReported = true;
            m_member.push(shutdown_complete{});
        }
    }
}

void dispatch_agent::stop()
{
    if (m_stopSince) {
        return;
    }
    m_stopSince = m_member.now();
    m_member.log("draining", {{"runs", std::to_string(m_runs.size())}});
    refuseQueuedRuns(error_kind::target_leaving);
    for (auto &[incarnation, entry] : m_entries) {
        entry.lastFullReport = {};
    }
}

std::vector<dispatch_action> dispatch_agent::takeActions()
{
    for (auto &call : m_session.takeCalls()) {
        m_member.push(std::move(call));
    }
    sendReports();
    return m_member.takeActions();
}

dispatch_agent::entry_state &dispatch_agent::findOrAddEntry(incarnation_id entry)
{
    const auto [position, added] = m_entries.try_emplace(entry);
    if (added) {
        position->second.epoch = ++m_lastEpoch;
    }
    return position->second;
}

void dispatch_agent::sendReports()
{
    const auto now = m_member.now();
    for (auto &[incarnation, entry] : m_entries) {
        const auto *const peer = m_member.links().find(incarnation);
        if (peer == nullptr || now - std::max(peer->added, peer->lastArrival) > entryTimeout) {
            continue;
        }
        const auto interval =
                hasRunsOf(incarnation) || !entry.unacked.empty() || hasNewDoubtsFor(entry)
                        ? m_options.limits.busyHeartbeatInterval
                        : std::max(entry.idleInterval, m_options.limits.idleHeartbeatInterval);
        const auto sinceFullReport = now - entry.lastFullReport;
        const bool changed =
                interval == m_options.limits.busyHeartbeatInterval && loadChanged(entry);
        if (sinceFullReport >= interval || entry.unsent > 0 || changed) {
            // If a full report is due soon, it replaces the early one.
            sendReport(incarnation, entry, sinceFullReport >= interval / 2);
        }
        while (entry.unsent > 0) {
            sendReport(incarnation, entry, false);
        }
    }
}

bool dispatch_agent::loadChanged(const entry_state &state) const
{
    // An agent sends early reports to each entry that has runs or unacknowledged run ends at it, so
    // the total rate could grow with the number of entries. An interval that grows with the number
    // of known entries bounds the rate. It does little harm, because the part of an agent's load
    // that a single entry causes shrinks with their number.
    const auto interval =
            m_options.limits.minEarlyReportInterval *
            std::max<std::int64_t>(1, std::ssize(m_entries) / earlyReportIntervalDivisor);
    if (!m_session.target() || m_member.now() - state.lastReport < interval) {
        return false;
    }
    const auto running = m_session.committed().cpuMillis;
    const auto change =
            running > state.reportedCpu ? running - state.reportedCpu : state.reportedCpu - running;
    const auto capacity = m_session.target()->capacity.cpuMillis;
    return change * percent > capacity * m_options.limits.loadChangePercent;
}

void dispatch_agent::addLoad(wire::DispatchReport &report) const
{
    toWire(m_session.committed(), *report.mutable_running());
    const auto typical = meanDemand();
    for (const auto &[priority, demand] : m_queued) {
        auto &queued = *report.add_queued();
        queued.set_priority(priority);
        toWire(demand, *queued.mutable_demand());
        queued.set_wait_ms(
                toMilliseconds(std::min(expectedWait(priority, typical), maxReportedWait)));
    }
    if (m_session.target()) {
        report.set_room_wait_ms(
                toMilliseconds(std::min(expectedWait(std::nullopt, typical), maxReportedWait)));
    }
}

void dispatch_agent::sendReport(incarnation_id entry, entry_state &state, bool full)
{
    wire::Envelope envelope;
    auto &report = *envelope.mutable_dispatch_report();
    report.set_orders_handled(state.ordersHandled);
    report.set_epoch(state.epoch);
    report.set_peer_epoch(state.peerEpoch);
    const auto first = full ? 0 : state.unacked.size() - state.unsent;
    const auto last = std::min(first + maxEndsPerReport, state.unacked.size());
    for (auto index = first; index < last; ++index) {
        *report.add_ends() = state.unacked[index];
    }
    state.unsent = std::min(state.unsent, state.unacked.size() - last);
    if (full) {
        state.lastFullReport = m_member.now();
        report.set_reconcile(true);
        report.set_ends_incomplete(last < state.unacked.size());
        for (const auto &[ref, run] : m_runs) {
            if (run.entry == entry) {
                toWire(ref, *report.add_held());
                report.add_running_ms(toMilliseconds(m_session.runningTime(ref)));
                // A queued run may be started after this report.
                report.add_start_settled(!run.queued && m_session.startSettled(ref));
            }
        }
        for (const auto &record : m_crashed) {
            if (record.crash > state.crashesSeen) {
                auto &crashed = *report.add_crashed();
                crashed.set_job(static_cast<std::uint64_t>(record.task.job));
                crashed.set_step(record.task.step);
                crashed.set_index(record.task.index);
                crashed.set_crash(record.crash);
            }
        }
        for (const auto &record : m_doubts) {
            if (std::cmp_greater_equal(report.in_doubt_size(), maxDoubtsPerReport)) {
                break;
            }
            if (record.number > state.doubtsSeen) {
                auto &added = *report.add_in_doubt();
                added.set_job(static_cast<std::uint64_t>(record.task.job));
                added.set_step(record.task.step);
                added.set_index(record.task.index);
                toWire(record.start, m_member.now(), *added.mutable_start());
                added.set_number(record.number);
            }
        }
    }
    state.lastReport = m_member.now();
    state.reportedCpu = m_session.committed().cpuMillis;
    report.set_ready(acceptsOrders());
    report.set_cleared(m_session.cleared());
    report.set_config_version(m_member.config().revision);
    addLoad(report);
    if (const auto &target = m_session.target(); target && full) {
        report.set_service(target->service);
        report.set_target(target->lifetime.id);
        toWire(target->capacity, *report.mutable_capacity());
        for (const auto &label : target->labels) {
            report.add_labels(label);
        }
        if (m_slownessOf == target->lifetime) {
            report.set_slowness_permille(static_cast<std::uint32_t>(m_slowness.ratio() * perMille));
        }
    }
    m_member.send(entry, std::move(envelope));
}

bool dispatch_agent::hasRunsOf(incarnation_id entry) const
{
    return std::ranges::any_of(m_runs, [&](const auto &run) { return run.second.entry == entry; });
}

bool dispatch_agent::acceptsOrders() const
{
    return m_session.ready() && !m_stopSince;
}

bool dispatch_agent::connected() const
{
    return std::ranges::any_of(m_member.links().peers(wire::ROLE_ENTRY),
                               [&](const peer_link *peer) {
                                   return m_member.links().alive(peer->incarnation, entryTimeout);
                               });
}

boost::json::value dispatch_agent::dump() const
{
    boost::json::object root;
    root["role"] = "agent";
    root["incarnation"] = toText(m_member.self().incarnation);
    root["zone"] = m_member.self().zone;
    root["config_revision"] = m_member.config().revision;
    root["ready"] = acceptsOrders();
    root["draining"] = m_stopSince.has_value();
    root["running_cpu_millis"] = m_session.committed().cpuMillis;
    root["queued"] = m_queue.size();
    root["entries"] = m_entries.size();
    std::size_t unacked = 0;
    for (const auto &[incarnation, entry] : m_entries) {
        unacked += entry.unacked.size();
    }
    root["unacked_ends"] = unacked;
    boost::json::array runs;
    for (const auto &[ref, run] : m_runs) {
        runs.push_back({{"run", toText(ref)},
                        {"entry", toText(run.entry)},
                        {"queued", run.queued},
                        {"stopping", run.stopping}});
    }
    root["runs"] = std::move(runs);
    return root;
}

} // namespace bamboohead
