#include "dispatch/fleet_simulation.hpp"
#include "dispatch/sample_jobs.hpp"

#include <algorithm>
#include <iostream>

namespace bamboohead::dispatch_test {

namespace {

constexpr duration reportInterval = 1'500ms;
/// Delay after which a caller submits a job again whose request ended without an answer. The
/// callers of the users' platform use the same, and so does tests/soak/callers.py.
constexpr duration retryDelay = 1'300ms;
constexpr duration crashDelay = 10ms; ///< from the start of a deadly run to the crash
/// Time after which a target that a run has crashed reports its next lifetime; measured on the
/// users' platform.
constexpr duration targetRestartTime = 3'300ms;
constexpr resources targetCapacity{32'000, 65'536, 0};
constexpr duration storeDelay = 4ms; ///< of a reply of the store
/// Time after the acknowledgement of an evacuation within which it has to be in force, for agents
/// that were not disturbed for `calmTime`. Given by the users' platform.
constexpr duration evacuationTime = 5s;
constexpr duration calmTime = 3s;
constexpr unsigned zones = 3;

} // namespace

struct fleet_simulation::process
{
    std::string endpoint;
    std::string zone;
    std::size_t target = 0;
    std::unique_ptr<dispatch_entry> entry;
    std::unique_ptr<dispatch_agent> agent;
    std::unique_ptr<store_follower> follower; ///< null without a store
    time_point suspendedUntil;
    std::vector<std::function<void()>> inbox; ///< unprocessed inputs
    time_point nextReport;
    bool isEntry = false;

    [[nodiscard]] bool alive() const { return entry != nullptr || agent != nullptr; }
};

fleet_simulation::fleet_simulation(options chosen)
    : m_options{chosen}
    , m_random{chosen.seed}
{
    m_config.revision = 1;
    m_config.version = 1;
    m_config.routes = {quoteRoute()};
    m_config.services = {"quotes"};
    for (unsigned number = 0; number < chosen.agents; ++number) {
        m_targets.push_back(std::make_unique<fake_target>(
                "i-" + std::to_string(number), targetCapacity,
                [this, number](const run_ref &ref) {
                    const auto &step = m_jobs.at(ref.task.job).submission.steps.at(ref.task.step);
                    return task_plan{step.demand, runTimeOn(number, ref), false};
                },
                now()));
        auto *const target = m_targets.back().get();
        if (chosen.targetsPerRack > 0) {
            target->labels = {"r" + std::to_string(number / chosen.targetsPerRack)};
        }
        if (!chosen.slowness.empty()) {
            target->slowness = chosen.slowness[number % chosen.slowness.size()];
        }
        target->onStart = [this, target](const run_ref &ref) { handleRunStart(ref, *target); };
        target->onRemoved = [this](const run_ref &ref, run_end_kind kind) {
            handleRunRemoval(ref, kind);
        };
        target->clockRate = 0.98 + 0.01 * static_cast<double>(number % 4);
    }
    for (unsigned number = 0; number < chosen.entries; ++number) {
        addEntry(number);
    }
    for (unsigned number = 0; number < chosen.agents; ++number) {
        addAgent(number);
    }
}

fleet_simulation::~fleet_simulation() = default;

duration fleet_simulation::runTimeOn(unsigned target, const run_ref &ref) const
{
    const auto &step = m_jobs.at(ref.task.job).submission.steps.at(ref.task.step);
    constexpr int longTaskFactor = 7;
    constexpr unsigned percent = 100;
    const auto draw =
            (static_cast<std::uint64_t>(ref.task.job) * 31 + std::uint64_t{ref.task.index} * 7) %
            percent;
    const auto time = step.estimate * (draw < m_options.longTaskPercent ? longTaskFactor : 1);
    const bool away = !step.preferredLabel.empty() &&
                      std::ranges::find(m_targets[target]->labels, step.preferredLabel) ==
                              m_targets[target]->labels.end();
    return away ? duration{static_cast<duration::rep>(static_cast<double>(time.count()) *
                                                      m_options.distanceFactor)}
                : time;
}

// Processes

std::string fleet_simulation::entryName(unsigned number) const
{
    return "entry-" + std::to_string(number);
}

std::string fleet_simulation::agentName(unsigned number) const
{
    return "agent-" + std::to_string(number);
}

void fleet_simulation::addEntry(unsigned number)
{
    auto added = std::make_unique<process>();
    added->endpoint = entryName(number);
    added->zone = "zone-" + std::to_string(number % zones);
    added->isEntry = true;
    startProcess(*added);
    m_processes.emplace(added->endpoint, std::move(added));
}

void fleet_simulation::addAgent(unsigned number)
{
    auto added = std::make_unique<process>();
    added->endpoint = agentName(number);
    added->zone = "zone-" + std::to_string(number % zones);
    added->target = number;
    startProcess(*added);
    m_processes.emplace(added->endpoint, std::move(added));
}

void fleet_simulation::startProcess(process &subject)
{
    const process_identity self{incarnation_id{++m_lastIncarnation}, subject.endpoint,
                                subject.isEntry ? wire::ROLE_ENTRY : wire::ROLE_AGENT,
                                subject.zone};
    std::vector<std::string> contacts;
    for (unsigned number = 0; number < m_options.entries; ++number) {
        contacts.push_back(entryName(number));
    }
    subject.inbox.clear();
    if (subject.isEntry) {
        dispatch_entry_options made;
        made.self = self;
        made.contacts = contacts;
        made.seed = m_random();
        made.limits = m_options.entryLimits;
        subject.entry = std::make_unique<dispatch_entry>(made, m_clock);
        if (!m_options.store) {
            subject.entry->handleConfig(m_config);
        }
    } else {
        dispatch_agent_options made;
        made.self = self;
        made.contacts = contacts;
        // Never lower than the initial fence of an earlier agent, but may be equal to it.
        made.fenceGeneration = m_lastFence += random(50);
        made.limits = m_options.agentLimits;
        made.target = m_options.targetLimits;
        made.readsStore = m_options.store;
        made.seed = made.readsStore ? m_random() : 0;
        subject.agent = std::make_unique<dispatch_agent>(made, m_clock);
        subject.nextReport = now() + std::chrono::milliseconds{random(1'500)};
    }
    if (m_options.store) {
        m_store.dropWatches(subject.endpoint);
        store_follower_options made;
        made.configuration = subject.isEntry ? follow_mode::watch : follow_mode::on_request;
        subject.follower = std::make_unique<store_follower>(made, m_clock);
    }
}

fake_target &fleet_simulation::targetOf(unsigned number)
{
    return *m_targets.at(number);
}

dispatch_agent &fleet_simulation::agentAt(unsigned number)
{
    return *m_processes.at(agentName(number))->agent;
}

dispatch_entry &fleet_simulation::entryAt(unsigned number)
{
    return *m_processes.at(entryName(number))->entry;
}

// Time

void fleet_simulation::at(time_point when, std::function<void()> action)
{
    m_events.emplace(when, std::move(action));
}

void fleet_simulation::runFor(duration length)
{
    const auto until = now() + length;
    while (now() < until) {
        step(m_options.tickLength);
    }
}

void fleet_simulation::step(duration length)
{
    const auto until = now() + length;
    while (!m_events.empty() && m_events.begin()->first <= until) {
        const auto next = m_events.extract(m_events.begin());
        m_clock.advance(std::max(duration{}, next.key() - now()));
        next.mapped()();
    }
    m_clock.advance(until - now());
    m_store.tick(now());
    for (auto &target : m_targets) {
        target->advance(now());
        if (!target->used().fitsIn(target->capacity())) {
            reportViolation("the demand of a target's runs exceeds its capacity");
        }
    }
    for (auto &[endpoint, subject] : m_processes) {
        if (!subject->alive() || now() < subject->suspendedUntil) {
            continue;
        }
        if (subject->agent && now() >= subject->nextReport) {
            subject->nextReport = now() + reportInterval;
            if (auto &target = *m_targets[subject->target]; target.up()) {
                subject->agent->handleTargetReport(target.report(now()));
            }
        }
        for (const auto &input : std::exchange(subject->inbox, {})) {
            input();
        }
        followStore(*subject);
        if (subject->entry) {
            subject->entry->tick();
        } else {
            subject->agent->tick();
        }
        handleActions(*subject);
    }
}

void fleet_simulation::handleActions(process &subject)
{
    auto actions = subject.entry ? subject.entry->takeActions() : subject.agent->takeActions();
    for (auto &action : actions) {
        handleAction(subject, action);
    }
}

void fleet_simulation::handleAction(process &subject, dispatch_action &action)
{
    if (const auto *const message = std::get_if<send_message>(&action)) {
        sendMessage(subject, *message);
    } else if (const auto *const call = std::get_if<target_call>(&action)) {
        sendCall(subject, *call);
    } else if (const auto *const reply = std::get_if<job_reply>(&action)) {
        handleReply(*reply);
    } else if (const auto *const event = std::get_if<log_event>(&action)) {
        trace(subject.endpoint, *event);
    } else if (std::holds_alternative<shutdown_complete>(action)) {
        at(now(), [this, &subject] { terminateProcess(subject); });
    }
}

// Store

void fleet_simulation::followStore(process &subject)
{
    if (!subject.follower) {
        return;
    }
    if (subject.agent) {
        if (subject.follower->takeRequestFailure()) {
            subject.agent->handleStateReadFailure();
        }
        if (subject.agent->stateReadDue()) {
            subject.follower->requestConfiguration();
        }
    }
    subject.follower->tick();
    for (const auto &request : subject.follower->takeCalls()) {
        sendStoreCall(subject, request);
    }
}

void fleet_simulation::sendStoreCall(process &subject, const store_request &request)
{
    const auto header =
            std::visit([](const auto &typed) -> store_header { return typed.header; }, request);
    const auto *const caller = subject.follower.get();
    const auto deliver = [this, &subject, caller](const store_reply &made) {
        subject.inbox.emplace_back([this, &subject, caller, made] {
            if (subject.follower.get() == caller) {
                handleStoreReply(subject, made);
            }
        });
    };
    const auto answered = std::make_shared<bool>(false);
    at(now() + header.timeout, [deliver, answered, header] {
        if (!std::exchange(*answered, true)) {
            deliver({header.id, store_status::unanswered, {}, {}, 0, false, 0, 0});
        }
    });
    if (now() < m_storeCuts[subject.endpoint]) {
        return;
    }
    if (now() < m_storeDownUntil) {
        *answered = true;
        at(now() + storeDelay, [deliver, header] {
            deliver({header.id, store_status::unavailable, {}, {}, 0, false, 0, 0});
        });
        return;
    }
    const auto reply = [this, &subject, deliver, answered](const store_reply &made) {
        at(now() + storeDelay, [this, &subject, deliver, answered, made] {
            const bool blocked = now() < m_storeCuts[subject.endpoint] || now() < m_storeDownUntil;
            if (!blocked && !std::exchange(*answered, true)) {
                deliver(made);
            }
        });
    };
    m_store.call(subject.endpoint, request, now(), reply);
}

void fleet_simulation::handleStoreReply(process &subject, const store_reply &reply)
{
    subject.follower->handle(reply);
    const auto handle = [&](auto &core) {
        const auto changed = subject.follower->takeConfiguration();
        if (changed) {
            core.handleConfig(decodeItems(m_config, changed->first, changed->second));
        }
        if (const auto proof = subject.follower->takeProof()) {
            if (proof->values && !changed) {
                core.handleConfig(decodeItems(m_config, *proof->values, proof->revision));
            }
            core.handleStateProof(proof->revision, proof->at);
        }
    };
    if (subject.entry) {
        handle(*subject.entry);
    } else if (subject.agent) {
        handle(*subject.agent);
    }
    for (const auto &request : subject.follower->takeCalls()) {
        sendStoreCall(subject, request);
    }
}

void fleet_simulation::setZoneOut(const std::string &zone, bool out)
{
    trace("store", {out ? "zone_out" : "zone_in", {{"zone", zone}}});
    if (out) {
        m_zonesOut.try_emplace(zone, now());
        m_store.write(zoneOutKey(zone), "{}");
    } else {
        m_zonesOut.erase(zone);
        m_store.write(zoneOutKey(zone), std::nullopt);
    }
}

void fleet_simulation::cutFromStore(const std::string &endpoint, duration length)
{
    trace(endpoint, {"cut_from_store", {{"us", std::to_string(length.count())}}});
    m_storeCuts[endpoint] = std::max(m_storeCuts[endpoint], now() + length);
    disturb(endpoint, length);
}

void fleet_simulation::stopStore(duration length)
{
    trace("store", {"stopped", {{"us", std::to_string(length.count())}}});
    m_storeDownUntil = std::max(m_storeDownUntil, now() + length);
}

void fleet_simulation::disturb(const std::string &endpoint, duration length)
{
    m_disturbedUntil[endpoint] = std::max(m_disturbedUntil[endpoint], now() + length);
}

void fleet_simulation::checkZone(unsigned target)
{
    const auto out = m_zonesOut.find("zone-" + std::to_string(target % zones));
    // With a store that was down the bound is longer.
    if (out != m_zonesOut.end() && now() > out->second + evacuationTime &&
        now() > m_disturbedUntil[agentName(target)] + calmTime &&
        out->second > m_storeDownUntil + calmTime) {
        reportViolation("a task was started on target " + std::to_string(target) +
                        " of a zone that is out of service");
    }
}

// Network

bool fleet_simulation::occurs(unsigned percentage)
{
    return percentage > 0 && random(100) < percentage;
}

unsigned fleet_simulation::random(unsigned below)
{
    return std::uniform_int_distribution<unsigned>{0, below - 1}(m_random);
}

bool fleet_simulation::isPartitioned(const std::string &from, const std::string &to) const
{
    const auto found = m_partitions.find({from, to});
    return found != m_partitions.end() && now() < found->second;
}

void fleet_simulation::sendMessage(process &from, const send_message &message)
{
    if (isPartitioned(from.endpoint, message.endpoint) || occurs(faults.messageLossPercent)) {
        return;
    }
    const auto bytes = message.envelope.ByteSizeLong();
    for (const auto &endpoint : {from.endpoint, message.endpoint}) {
        auto &traffic = m_traffic[endpoint];
        ++traffic.messages;
        traffic.bytes += bytes;
    }
    const auto delay = std::chrono::microseconds{500 + random(1'500)};
    const auto held = m_heldMessages.find({from.endpoint, message.endpoint});
    const auto sent = held == m_heldMessages.end() ? now() : std::max(now(), held->second);
    at(sent + delay, [this, message] {
        const auto found = m_processes.find(message.endpoint);
        if (found == m_processes.end() || !found->second->alive()) {
            return;
        }
        auto &to = *found->second;
        to.inbox.emplace_back([&to, envelope = message.envelope] {
            if (to.entry) {
                to.entry->receive(envelope);
            } else if (to.agent) {
                to.agent->receive(envelope);
            }
        });
    });
}

void fleet_simulation::sendCall(process &from, const target_call &call)
{
    const auto &header =
            std::visit([](const auto &made) -> const call_header & { return made.header; }, call);
    auto &target = *m_targets[from.target];
    const auto *const caller = from.agent.get();
    const auto reply = [this, &from, caller](const target_reply &made, duration delay) {
        at(now() + delay, [&from, caller, made] {
            from.inbox.emplace_back([&from, caller, made] {
                if (from.agent.get() == caller) {
                    from.agent->handleCallResult(made);
                }
            });
        });
    };
    const target_reply unanswered{header.id, call_status::unanswered, call_refusal::none, {}, {}};
    if (occurs(faults.callTimeoutPercent)) {
        reply(unanswered, header.timeout);
        if (occurs(70)) {
            at(now() + 2s + std::chrono::milliseconds{random(10'000)},
               [this, &target, call] { (void)target.call(call, now()); });
        }
        return;
    }
    at(now() + 300us, [this, &target, call, reply, unanswered, timeout = header.timeout] {
        const auto made = target.call(call, now());
        const bool lost = occurs(faults.replyLossPercent);
        reply(lost ? unanswered : made, lost ? timeout : 300us);
    });
}

// Faults

void fleet_simulation::killEntry(unsigned number, duration downFor)
{
    trace(entryName(number), {"killed", {}});
    auto &subject = *m_processes.at(entryName(number));
    terminateProcess(subject);
    at(now() + downFor, [this, &subject] { startProcess(subject); });
}

void fleet_simulation::killAgent(unsigned number, duration downFor)
{
    trace(agentName(number), {"killed", {}});
    disturb(agentName(number), downFor);
    auto &subject = *m_processes.at(agentName(number));
    subject.agent.reset();
    at(now() + downFor, [this, &subject] { startProcess(subject); });
}

void fleet_simulation::suspend(const std::string &endpoint, duration length)
{
    trace(endpoint, {"suspended", {{"us", std::to_string(length.count())}}});
    disturb(endpoint, length);
    m_processes.at(endpoint)->suspendedUntil = now() + length;
}

void fleet_simulation::partition(const std::string &first, const std::string &second,
                                 duration length)
{
    partitionOneWay(first, second, length);
    partitionOneWay(second, first, length);
}

void fleet_simulation::partitionOneWay(const std::string &from, const std::string &to,
                                       duration length)
{
    trace(from, {"partitioned", {{"to", to}, {"us", std::to_string(length.count())}}});
    m_partitions[{from, to}] = now() + length;
}

void fleet_simulation::holdMessages(const std::string &from, const std::string &to, duration length)
{
    trace(from, {"messages_held", {{"to", to}, {"us", std::to_string(length.count())}}});
    m_heldMessages[{from, to}] = now() + length;
}

void fleet_simulation::crashTarget(unsigned number, duration downFor, bool sameId)
{
    auto &target = *m_targets.at(number);
    trace(agentName(number), {"target_crashed", {{"us", std::to_string(downFor.count())}}});
    target.crash(now());
    const auto id =
            "i-" + std::to_string(number) + (sameId ? "" : "-" + std::to_string(m_lastLifetime));
    at(now() + downFor, [this, &target, id] { target.restart(id, ++m_lastLifetime, now()); });
}

// Callers

void fleet_simulation::submit(unsigned tasks, duration runTime, duration callerTimeout)
{
    batch_step work;
    work.count = tasks;
    work.demand = {3'000, 64, 0};
    work.estimate = runTime;
    submit(quoteRoute(), work, "spec", callerTimeout);
}

void fleet_simulation::submit(const dispatch_route &route, const batch_step &work, std::string spec,
                              duration callerTimeout)
{
    tracked_job made;
    made.route = route;
    made.submitted = now();
    made.submission.id = batch_job_id{++m_lastId};
    made.submission.spec = std::move(spec);
    made.submission.bestEffort = true;
    made.submission.callerTimeout = callerTimeout;
    made.submission.steps.push_back(work);
    const auto id = made.submission.id;
    m_jobs.emplace(id, std::move(made));
    attempt(id);
}

/// @return Null when no entry runs.
fleet_simulation::process *fleet_simulation::chooseEntry()
{
    std::vector<process *> entries;
    for (unsigned number = 0; number < m_options.entries; ++number) {
        const auto &subject = m_processes.at(entryName(number));
        const auto weight =
                m_options.callerWeights.empty() ? 1 : m_options.callerWeights.at(number);
        if (subject->entry) {
            entries.insert(entries.end(), weight, subject.get());
        }
    }
    return entries.empty() ? nullptr : entries[random(static_cast<unsigned>(entries.size()))];
}

void fleet_simulation::attempt(batch_job_id id)
{
    auto &job = m_jobs.at(id);
    auto *const receiving = chooseEntry();
    if (receiving == nullptr) {
        scheduleRetry(id);
        return;
    }
    auto &chosen = *receiving;
    const caller_request request{++m_lastRequest};
    m_requests.emplace(request, std::pair{id, chosen.endpoint});
    ++job.attempts;
    job.open = true;
    const auto *const receiver = chosen.entry.get();
    chosen.inbox.emplace_back([this, &chosen, receiver, request, id] {
        if (chosen.entry.get() == receiver && m_requests.contains(request)) {
            chosen.entry->submit(request, m_jobs.at(id).route, m_jobs.at(id).submission);
        }
    });
    at(now() + job.submission.callerTimeout, [this, request, id] {
        const auto found = m_requests.find(request);
        if (found == m_requests.end()) {
            return;
        }
        auto &entry = *m_processes.at(found->second.second);
        m_requests.erase(found);
        entry.inbox.emplace_back([&entry, request] {
            if (entry.entry) {
                entry.entry->callerDisconnected(request);
            }
        });
        scheduleRetry(id);
    });
}

void fleet_simulation::scheduleRetry(batch_job_id id)
{
    auto &job = m_jobs.at(id);
    job.open = false;
    if (!job.noResubmission && job.attempts < 5) {
        at(now() + retryDelay, [this, id] {
            if (!m_jobs.at(id).noResubmission) {
                attempt(id);
            }
        });
    }
}

void fleet_simulation::disconnectCallers()
{
    for (auto &[id, job] : m_jobs) {
        job.noResubmission = job.noResubmission || !job.answer;
        job.noResubmissionSince = now();
    }
    for (const auto &[request, submission] : std::exchange(m_requests, {})) {
        auto &entry = *m_processes.at(submission.second);
        entry.inbox.emplace_back([&entry, gone = request] {
            if (entry.entry) {
                entry.entry->callerDisconnected(gone);
            }
        });
    }
}

void fleet_simulation::handleReply(const job_reply &reply)
{
    const auto found = m_requests.find(reply.request);
    if (found == m_requests.end()) {
        return;
    }
    const auto id = found->second.first;
    m_requests.erase(found);
    auto &job = m_jobs.at(id);
    job.open = false;
    if (reply.error == error_kind::deadline_exceeded) {
        scheduleRetry(id);
        return;
    }
    if (reply.error != error_kind::none) {
        ++job.refusals;
        job.noResubmission = true; // as on the users' platform: no resubmission after a refusal
        job.noResubmissionSince = now();
        if (job.refusals == job.attempts && m_startedJobs.contains(id)) {
            reportViolation("a job was refused although one of its tasks had started");
        }
        return;
    }
    job.answer = reply.state;
    job.answered = now();
    if (reply.state == batch_job_state::succeeded) {
        for (std::uint32_t index = 0; index < job.submission.steps.front().count; ++index) {
            if (!m_doneTasks.contains({id, 0, index})) {
                reportViolation("a job was reported as succeeded with unfinished tasks");
            }
        }
    }
}

/// Ends a process; the callers of an entry are disconnected and retry.
void fleet_simulation::terminateProcess(process &subject)
{
    subject.entry.reset();
    subject.agent.reset();
    std::vector<batch_job_id> lost;
    std::erase_if(m_requests, [&](const auto &request) {
        const bool broken = request.second.second == subject.endpoint;
        if (broken) {
            lost.push_back(request.second.first);
        }
        return broken;
    });
    for (const auto id : lost) {
        scheduleRetry(id);
    }
}

// Checks

void fleet_simulation::trace(const std::string &who, const log_event &event) const
{
    if (!m_options.trace) {
        return;
    }
    std::cerr << std::chrono::duration<double>{now().time_since_epoch()}.count() << " " << who
              << " " << event.name;
    for (const auto &[name, value] : event.fields) {
        std::cerr << " " << name << "=" << value;
    }
    std::cerr << "\n";
}

void fleet_simulation::reportViolation(const std::string &what)
{
    m_violations.push_back(
            std::to_string(std::chrono::duration<double>{now().time_since_epoch()}.count()) + " " +
            what);
}

void fleet_simulation::handleRunStart(const run_ref &ref, fake_target &target)
{
    ++m_starts;
    m_startedJobs.insert(ref.task.job);
    const auto number =
            std::ranges::find(m_targets, &target, [](const auto &each) { return each.get(); });
    checkZone(static_cast<unsigned>(number - m_targets.begin()));
    if (++m_activeRuns[ref.task] > 1) {
        reportViolation("task " + toText(ref) + " has two runs at the same time");
    }
    if (!target.used().fitsIn(target.capacity())) {
        reportViolation("with a started task the demand of a target's runs exceeds its capacity");
    }
    const auto &job = m_jobs.at(ref.task.job);
    if (job.refusals > 0 && job.refusals == job.attempts) {
        reportViolation("a task of a refused job was started");
    }
    ++m_startsByJob[ref.task.job];
    if (auto &first = m_jobs.at(ref.task.job).firstStart; !first) {
        first = now();
    }
    if (m_crashesByTask[ref.task] >= 3 && ++m_startsAfterThreeCrashes[ref.task] == 3) {
        reportViolation("task " + toText(ref) + " was started three times after three crashes");
    }
    if (!deadlySpec.empty() && job.submission.spec == deadlySpec) {
        at(now() + crashDelay, [this, ref] { crashTargetOf(ref); });
    }
}

void fleet_simulation::crashTargetOf(const run_ref &ref)
{
    for (unsigned number = 0; number < m_targets.size(); ++number) {
        if (m_targets[number]->running().contains(ref)) {
            ++m_crashes;
            ++m_crashesByTask[ref.task];
            crashTarget(number, targetRestartTime, true);
        }
    }
}

std::pair<std::uint64_t, std::uint64_t> fleet_simulation::orders() const
{
    std::pair<std::uint64_t, std::uint64_t> sum;
    for (const auto &[endpoint, subject] : m_processes) {
        if (subject->entry) {
            sum.first += subject->entry->counters().runsOrdered;
            sum.second += subject->entry->counters().runsRefused;
        }
    }
    return sum;
}

std::size_t fleet_simulation::startsOf(batch_job_id job) const
{
    const auto found = m_startsByJob.find(job);
    return found == m_startsByJob.end() ? 0 : found->second;
}

void fleet_simulation::handleRunRemoval(const run_ref &ref, run_end_kind kind)
{
    const auto found = m_activeRuns.find(ref.task);
    if (found != m_activeRuns.end() && --found->second == 0) {
        m_activeRuns.erase(found);
    }
    if (kind == run_end_kind::done) {
        m_doneTasks.insert(ref.task);
    }
}

const message_count &fleet_simulation::traffic(const std::string &endpoint) const
{
    return m_traffic.at(endpoint);
}

bool tracked_job::inObjective() const
{
    const auto objective = responseObjective(criticalPathLength(submission), route);
    return answer == batch_job_state::succeeded && answered - submitted <= objective;
}

std::size_t fleet_simulation::runningTasks() const
{
    std::size_t count = 0;
    for (const auto &target : m_targets) {
        count += target->running().size();
    }
    return count;
}

} // namespace bamboohead::dispatch_test
