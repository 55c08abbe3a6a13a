#include "schedule/fake_network.hpp"

#include <algorithm>
#include <cstdio>

namespace bamboohead::schedule {

namespace {

constexpr duration storeReadInterval = 1s;
constexpr duration announcementInterval = 1s;
constexpr std::uint32_t targetSlots = 2;

} // namespace

fake_network::fake_network(std::uint64_t seed, invariant_checker &checker)
    : m_random{seed}
    , m_checker{checker}
{}

void fake_network::trace(const std::string &text) const
{
    if (tracing) {
        const auto since = now() - time_point{std::chrono::hours{1}};
        std::printf("%9.3f %s\n", static_cast<double>(since.count()) / 1e6, text.c_str());
    }
}

std::string fake_network::manifestText() const
{
    std::string zones;
    for (const auto &[zone, in] : m_zones) {
        zones += (zones.empty() ? "" : ",") + ("\"" + zone + "\":{\"state\":\"") +
                 (in ? "in" : "out") + "\"}";
    }
    return R"({"zones":{)" + zones +
           R"(},"services":{"quote":{"weight":1}},"teams":{"growers":{"weight":1}}})";
}

void fake_network::addEntry(const std::string &endpoint, const std::string &zone)
{
    m_zones.try_emplace(zone, true);
    m_manifests = {manifestText()};
    m_zonesByVersion[1] = m_zones;
    m_knownVersion = 1;
    auto &instance = m_processes[endpoint];
    instance.endpoint = endpoint;
    instance.zone = zone;
    instance.role = wire::ROLE_ENTRY;
    after(m_random.between(0ms, 300ms), [this, endpoint] { restart(endpoint); });
}

void fake_network::addAgent(const std::string &endpoint, const std::string &zone)
{
    auto &instance = m_processes[endpoint];
    instance.endpoint = endpoint;
    instance.zone = zone;
    instance.role = wire::ROLE_AGENT;
    after(m_random.between(0ms, 300ms), [this, endpoint] {
        restart(endpoint);
        scheduleAnnouncement(endpoint);
    });
}

void fake_network::at(time_point when, std::function<void()> event)
{
    m_events.emplace(std::max(when, now()), std::move(event));
}

void fake_network::after(duration delay, std::function<void()> event)
{
    at(now() + delay, std::move(event));
}

void fake_network::runUntil(time_point end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        auto node = m_events.extract(m_events.begin());
        m_clock.advance(node.key() - now());
        node.mapped()();
    }
    m_clock.advance(end - now());
}

void fake_network::restart(const std::string &endpoint)
{
    auto &instance = at(endpoint);
    if (instance.alive()) {
        return;
    }
    start(instance);
}

void fake_network::start(process &instance)
{
    instance.incarnation = incarnation_id{m_random.below(~0ULL) | 1U};
    instance.suspended = false;
    instance.stopping = false;
    instance.phase = m_random.between(0ms, tickInterval);
    // The steady clocks of machines have different origins.
    instance.localClock = std::make_unique<process_clock>(m_clock, m_random.between(0s, 100h));
    const process_identity self{instance.incarnation, instance.endpoint, instance.role,
                                instance.zone};
    const auto seeds = endpoints(wire::ROLE_ENTRY);
    if (instance.role == wire::ROLE_ENTRY) {
        entry_options options;
        options.self = self;
        options.seeds = seeds;
        options.randomSeed = m_random.below(~0ULL);
        instance.entry = std::make_unique<entry_core>(options, *instance.localClock);
        scheduleStoreRead(instance.endpoint, instance.incarnation);
    } else {
        agent_options options;
        options.self = self;
        options.seeds = seeds;
        options.randomSeed = m_random.below(~0ULL);
        instance.agent = std::make_unique<agent_core>(options, *instance.localClock);
    }
    trace("start " + instance.endpoint + " " + toText(instance.incarnation));
    scheduleTick(instance.endpoint, instance.incarnation);
}

std::vector<std::string> fake_network::endpoints(wire::Role role) const
{
    std::vector<std::string> found;
    for (const auto &[endpoint, candidate] : m_processes) {
        if (candidate.role == role) {
            found.push_back(endpoint);
        }
    }
    return found;
}

void fake_network::scheduleTick(const std::string &endpoint, incarnation_id incarnation)
{
    after(tickInterval, [this, endpoint, incarnation] {
        auto &ticked = at(endpoint);
        if (ticked.incarnation != incarnation || !ticked.alive()) {
            return;
        }
        if (!ticked.suspended) {
            ticked.entry ? ticked.entry->tick() : ticked.agent->tick();
            handleActions(ticked);
        }
        scheduleTick(endpoint, incarnation);
    });
}

void fake_network::scheduleStoreRead(const std::string &endpoint, incarnation_id incarnation)
{
    after(m_random.between(storeReadInterval * 9 / 10, storeReadInterval),
          [this, endpoint, incarnation] {
              auto &reader = at(endpoint);
              if (reader.incarnation != incarnation || !reader.alive()) {
                  return;
              }
              if (!reader.suspended) {
                  readStore(reader);
              }
              scheduleStoreRead(endpoint, incarnation);
          });
}

void fake_network::readStore(process &reader)
{
    if (!storeAvailable || m_isolatedZones.contains(reader.zone)) {
        return;
    }
    const auto version = this->version();
    const auto sentAt = reader.localClock->now();
    const auto delay = m_random.between(1ms, storeSlow ? 5s : 10ms);
    if (!storeSlow) {
        recordKnownManifest(version, reader);
    }
    input(reader.endpoint, delay, [this, version, sentAt](process &subject) {
        recordKnownManifest(version, subject);
        subject.entry->handleStoreRead(config_version{version}, m_manifests[version - 1], sentAt);
    });
}

void fake_network::pushManifest(const std::string &entry, std::uint64_t version)
{
    input(entry, m_random.between(1ms, 20ms), [this, version](process &subject) {
        recordKnownManifest(version, subject);
        subject.entry->manifestPushed(config_version{version}, m_manifests[version - 1]);
    });
}

void fake_network::recordKnownManifest(std::uint64_t version, const process &by)
{
    if (version <= m_knownVersion || isIsolated(by)) {
        return;
    }
    m_knownVersion = version;
    for (const auto &held : m_zones) {
        const auto &zone = held.first;
        // If a later version has the zone in again, starts in the zone are allowed.
        const bool stillOut =
                std::none_of(m_zonesByVersion.lower_bound(version), m_zonesByVersion.end(),
                             [&zone](const auto &later) { return later.second.at(zone); });
        if (stillOut) {
            m_checker.zoneOut(zone, now());
        }
    }
}

void fake_network::setZone(const std::string &zone, bool in)
{
    if (!storeAvailable || m_zones.at(zone) == in) {
        return;
    }
    m_zones[zone] = in;
    m_manifests.push_back(manifestText());
    m_zonesByVersion[version()] = m_zones;
    trace("zone " + zone + (in ? " in" : " out") + ", version " + std::to_string(version()));
    if (in) {
        m_checker.zoneIn(zone);
    }
    for (const auto &entry : endpoints(wire::ROLE_ENTRY)) {
        if (isIsolated(at(entry))) {
            continue;
        }
        pushManifest(entry, version());
        if (m_random.percent(70)) {
            pushManifest(entry, version()); // second copy, from the watch of the store
        }
    }
}

void fake_network::scheduleAnnouncement(const std::string &endpoint)
{
    announce(endpoint);
    after(announcementInterval, [this, endpoint] { scheduleAnnouncement(endpoint); });
}

void fake_network::announce(const std::string &endpoint)
{
    const auto state = at(endpoint).target;
    input(endpoint, m_random.between(0ms, 5ms), [state](process &subject) {
        subject.agent->targetAnnounced({"quote", targetSlots, state});
    });
}

void fake_network::targetLeaves(const std::string &endpoint)
{
    trace("target of " + endpoint + " begins to leave");
    at(endpoint).target = target_state::leaving;
    m_checker.targetLeaving(endpoint, now());
}

void fake_network::targetReturns(const std::string &endpoint)
{
    at(endpoint).target = target_state::ready;
    m_checker.targetReady(endpoint);
}

void fake_network::kill(const std::string &endpoint)
{
    trace("kill " + endpoint);
    auto &killed = at(endpoint);
    killed.entry.reset();
    killed.agent.reset();
    killed.backlog.clear();
    killed.suspended = false;
}

void fake_network::suspend(const std::string &endpoint)
{
    if (at(endpoint).alive()) {
        trace("suspend " + endpoint);
        at(endpoint).suspended = true;
    }
}

void fake_network::resume(const std::string &endpoint)
{
    auto &resumed = at(endpoint);
    if (!resumed.suspended) {
        return;
    }
    trace("resume " + endpoint + " with " + std::to_string(resumed.backlog.size()) +
          " waiting inputs");
    resumed.suspended = false;
    if (m_random.percent(50)) {
        resumed.entry ? resumed.entry->tick() : resumed.agent->tick();
        handleActions(resumed);
    }
    for (const auto &operation : std::exchange(resumed.backlog, {})) {
        if (resumed.alive()) {
            deliver(resumed, operation);
        }
    }
}

void fake_network::partition(const std::string &left, const std::string &right)
{
    trace("partition " + left + " " + right);
    m_partitions.insert(std::minmax(left, right));
}

void fake_network::reconnectAll()
{
    trace("end all partitions");
    m_partitions.clear();
    m_isolatedZones.clear();
}

void fake_network::stop(const std::string &endpoint)
{
    auto &stopped = at(endpoint);
    if (!stopped.alive() || stopped.stopping) {
        return;
    }
    trace("stop " + endpoint);
    stopped.stopping = true;
    input(endpoint, 0ms,
          [](process &subject) { subject.entry ? subject.entry->stop() : subject.agent->stop(); });
}

void fake_network::input(const std::string &endpoint, duration delay, process::input operation)
{
    const auto incarnation = at(endpoint).incarnation;
    after(delay, [this, endpoint, incarnation, operation = std::move(operation)] {
        auto &subject = at(endpoint);
        if (subject.alive() && subject.incarnation == incarnation) {
            deliver(subject, operation);
        }
    });
}

void fake_network::deliver(process &to, const process::input &operation)
{
    if (to.suspended) {
        to.backlog.push_back(operation);
        return;
    }
    operation(to);
    handleActions(to);
}

void fake_network::handleActions(process &from)
{
    bool exits = false;
    const auto operation = [&](const auto &action) {
        using kind = std::decay_t<decltype(action)>;
        if constexpr (std::is_same_v<kind, send_message>) {
            sendMessage(from, action);
        } else if constexpr (std::is_same_v<kind, answer_caller>) {
            after(m_random.between(1ms, 3ms), [this, action] { m_answerHandler(action); });
        } else if constexpr (std::is_same_v<kind, answer_session_request>) {
            after(m_random.between(1ms, 3ms), [this, action] { m_sessionHandler(action); });
        } else if constexpr (std::is_same_v<kind, run_task>) {
            runTask(from, action);
        } else if constexpr (std::is_same_v<kind, shutdown_complete>) {
            exits = true;
        } else if constexpr (std::is_same_v<kind, log_event>) {
            std::string line = from.endpoint + " " + action.name;
            for (const auto &[key, value] : action.fields) {
                line += " " + key + "=" + value;
            }
            trace(line);
        }
    };
    if (from.entry) {
        for (const auto &action : from.entry->takeActions()) {
            std::visit(operation, action);
        }
    } else if (from.agent) {
        for (const auto &action : from.agent->takeActions()) {
            std::visit(operation, action);
        }
    }
    if (exits) {
        m_exits.insert(from.incarnation);
        kill(from.endpoint);
    }
}

void fake_network::runTask(process &on, const run_task &task)
{
    const bool refused = m_random.percent(targetFaults.refused);
    const bool failed = !refused && m_random.percent(targetFaults.failed);
    trace(on.endpoint + " target receives " + toText(task.ref.job) + "/" +
          std::to_string(task.ref.task) + (refused ? " and refuses it" : ""));
    if (!refused) {
        m_checker.taskStarted(task.ref, on.endpoint, on.zone, now());
    }
    if (failed) {
        m_checker.taskFailed(task.ref);
    }
    task_end end;
    end.ref = task.ref;
    end.notStarted = refused;
    end.failed = failed;
    end.result = failed ? "failed" : expectedResult(task.ref.job, task.ref.task);
    end.runTime = refused ? duration{} : m_random.between(10ms, 1500ms);
    input(on.endpoint, refused ? 1ms : end.runTime,
          [end](process &subject) { subject.agent->taskEnded(end); });
}

bool fake_network::connected(const process &left, const process &right) const
{
    const bool zoneIsolated = left.zone != right.zone && (m_isolatedZones.contains(left.zone) ||
                                                          m_isolatedZones.contains(right.zone));
    return !zoneIsolated && !m_partitions.contains(std::minmax(left.endpoint, right.endpoint));
}

bool fake_network::isIsolated(const process &subject) const
{
    return m_isolatedZones.contains(subject.zone);
}

duration fake_network::messageDelay()
{
    if (m_random.percent(messageFaults.delayed)) {
        return m_random.between(0ms, messageFaults.maxDelay);
    }
    return m_random.between(0ms, 5ms);
}

void fake_network::recordVersion(const process &from, const wire::Envelope &envelope)
{
    if (envelope.has_entry_heartbeat()) {
        m_checker.versionSeen(from.endpoint, from.incarnation,
                              envelope.entry_heartbeat().config_version());
    } else if (envelope.has_agent_heartbeat()) {
        m_checker.versionSeen(from.endpoint, from.incarnation,
                              envelope.agent_heartbeat().config_version());
    }
}

void fake_network::sendMessage(const process &from, const send_message &message)
{
    recordVersion(from, message.envelope);
    if (!m_processes.contains(message.endpoint) || m_random.percent(messageFaults.lost)) {
        return;
    }
    const auto envelope = std::make_shared<wire::Envelope>(message.envelope);
    const int copies = m_random.percent(messageFaults.duplicated) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        after(messageDelay(), [this, sender = from.endpoint, to = message.endpoint, envelope] {
            deliverMessage(sender, to, envelope);
        });
    }
}

void fake_network::deliverMessage(const std::string &from, const std::string &to,
                                  const std::shared_ptr<wire::Envelope> &envelope)
{
    auto &receiver = at(to);
    if (!receiver.alive() || !connected(at(from), receiver)) {
        return;
    }
    deliver(receiver, [envelope](process &subject) {
        subject.entry ? subject.entry->receive(*envelope) : subject.agent->receive(*envelope);
    });
}

} // namespace bamboohead::schedule
