#include "capacity_fleet.hpp"

#include <algorithm>
#include <cstdlib>

namespace bamboohead::bench {

namespace {

constexpr duration passTime = std::chrono::milliseconds{10}; ///< simulated time of one pass

void countMessage(kind_table &table, std::size_t kind, std::size_t bytes)
{
    ++table.at(kind).messages;
    table[kind].bytes += bytes;
}

std::string numberedName(const char *prefix, std::size_t number)
{
    return prefix + std::to_string(number);
}

std::string endpointOf(std::size_t host, int port)
{
    // Has the typical length of an endpoint in a data centre.
    return "tcp://10.20." + std::to_string(host / 250 + 1) + "." + std::to_string(host % 250 + 1) +
           ":" + std::to_string(port);
}

} // namespace

fleet::fleet(fleet_options options)
    : m_options{options}
    , m_manifest{manifestText()}
    , m_result(options.resultBytes, 'r')
{
    for (std::size_t i = 0; i < std::min<std::size_t>(2, options.entries); ++i) {
        m_seeds.push_back(endpointOf(i, 7001));
    }
    for (std::size_t i = 0; i < options.entries; ++i) {
        auto node = std::make_unique<entry_node>();
        node->endpoint = endpointOf(i, 7001);
        entry_options coreOptions;
        coreOptions.self = {incarnation_id{0x9e3779b97f4a7c15ULL * (i + 1)}, node->endpoint,
                            wire::ROLE_ENTRY, numberedName("zone-", i % options.zones)};
        coreOptions.seeds = m_seeds;
        coreOptions.randomSeed = i + 1;
        {
            const meter measured{node->used};
            node->core = std::make_unique<entry_core>(coreOptions, m_clock);
        }
        m_byEndpoint[node->endpoint] = node.get();
        m_entries.push_back(std::move(node));
    }
    for (std::size_t i = 0; i < options.agents; ++i) {
        addAgent(i);
    }
}

void fleet::addAgent(std::size_t number)
{
    auto node = std::make_unique<agent_node>();
    node->endpoint = endpointOf(1'000 + number, 7101);
    const agent_options coreOptions{{incarnation_id{0xd1342543de82ef95ULL * (number + 1)},
                                     node->endpoint, wire::ROLE_AGENT,
                                     numberedName("zone-", number % m_options.zones)},
                                    m_seeds,
                                    number + 1};
    {
        const meter measured{node->used};
        node->core = std::make_unique<agent_core>(coreOptions, m_clock);
    }
    // Spreads the heartbeats of the agents over time.
    node->nextTick = m_clock.now() + passTime * (number % 50);
    m_byEndpoint[node->endpoint] = node.get();
    m_agents.push_back(std::move(node));
}

void fleet::replaceAgent(std::size_t agent)
{
    m_agents[agent]->dead = true;
    m_agents[agent]->inbox.clear();
    addAgent(m_agents.size());
}

std::string fleet::manifestText() const
{
    boost::json::object zones;
    boost::json::object services;
    boost::json::object teams;
    for (std::size_t i = 0; i < m_options.zones; ++i) {
        zones[numberedName("zone-", i)] = boost::json::object{{"state", "in"}};
    }
    for (std::size_t i = 0; i < m_options.services; ++i) {
        services[numberedName("service-number-", i)] =
                boost::json::object{{"weight", 1}, {"default_deadline_ms", 600'000}};
    }
    for (std::size_t i = 0; i < m_options.teams; ++i) {
        teams[numberedName("team-number-", i)] =
                boost::json::object{{"weight", 1}, {"max_running", 900'000}};
    }
    return boost::json::serialize(
            boost::json::object{{"zones", zones}, {"services", services}, {"teams", teams}});
}

void fleet::run(duration total)
{
    for (duration passed{}; passed < total; passed += passTime) {
        m_clock.advance(passTime);
        for (auto &node : m_entries) {
            if (!node->dead) {
                stepEntry(*node);
            }
        }
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            stepAgent(*m_agents[i], i);
        }
    }
}

template <typename Core>
void fleet::receiveAll(node_base &node, Core &core, const std::vector<packet> &packets)
{
    for (const auto &next : packets) {
        wire::Envelope envelope;
        envelope.ParseFromArray(next.data.get(), static_cast<int>(next.size));
        countMessage(node.used.received, messageKind(envelope), next.size);
        if (envelope.has_config_push()) {
            node.versionSeen = std::max(node.versionSeen, envelope.config_push().version());
        }
        core.receive(envelope);
    }
}

void fleet::stepEntry(entry_node &node)
{
    const auto packets = std::exchange(node.inbox, {});
    {
        const meter measured{node.used};
        receiveAll(node, *node.core, packets);
        if (!node.manifestDelivered) {
            node.core->handleStoreRead(config_version{1}, m_manifest, m_clock.now());
            node.manifestDelivered = true;
            node.versionSeen = 1;
        } else if (m_clock.now().time_since_epoch() % std::chrono::seconds{1} < passTime) {
            node.core->handleStoreRead(config_version{node.versionSeen}, m_manifest, m_clock.now());
        }
        node.core->tick();
        for (auto &action : node.core->takeActions()) {
            if (const auto *message = std::get_if<send_message>(&action)) {
                send(node, *message);
            } else if (!std::holds_alternative<log_event>(action)) {
                applyAction(node, action);
            }
        }
    }
}

void fleet::applyAction(entry_node &node, entry_action &action)
{
    auto *const answer = std::get_if<answer_caller>(&action);
    if (answer != nullptr) {
        answer->answer.results = {};
    }
    // Memory that the benchmark itself keeps is not counted for the core.
    const auto before = liveHeapBytes();
    if (answer != nullptr) {
        m_answers[static_cast<std::uint64_t>(answer->request)] = answer->answer.outcome;
    } else if (const auto *const session = std::get_if<answer_session_request>(&action)) {
        m_session = session->session;
    }
    node.used.heapBytes -= liveHeapBytes() - before;
}

void fleet::stepAgent(agent_node &node, std::size_t index)
{
    const auto now = m_clock.now();
    const bool due = now >= node.nextTick || !node.running.empty() || !node.inbox.empty();
    if (node.dead || !due) {
        return;
    }
    std::vector<task_ref> ended;
    while (!node.running.empty() && node.running.begin()->first <= now) {
        ended.push_back(node.running.begin()->second);
        node.running.erase(node.running.begin());
    }
    std::vector<task_ref> started;
    started.reserve(m_options.slots + 1);
    const auto packets = std::exchange(node.inbox, {});
    {
        const meter measured{node.used};
        receiveAll(node, *node.core, packets);
        for (const auto &ref : ended) {
            node.core->taskEnded({ref, false, false, m_result, m_options.runTime});
        }
        if (now >= node.nextTick) {
            node.nextTick = now + m_options.agentPeriod;
            node.core->targetAnnounced({numberedName("service-number-", index % m_options.services),
                                        m_options.slots, target_state::ready});
        }
        node.core->tick();
        for (const auto &action : node.core->takeActions()) {
            if (const auto *message = std::get_if<send_message>(&action)) {
                send(node, *message);
            } else if (const auto *task = std::get_if<run_task>(&action)) {
                started.push_back(task->ref);
            }
        }
    }
    for (const auto &ref : started) {
        node.running.emplace(now + m_options.runTime, ref);
    }
}

void fleet::send(node_base &from, const send_message &message)
{
    const auto size = message.envelope.ByteSizeLong();
    packet encoded{{static_cast<char *>(std::malloc(size)), std::free}, size};
    message.envelope.SerializeToArray(encoded.data.get(), static_cast<int>(size));
    countMessage(from.used.sent, messageKind(message.envelope), size);
    const auto receiver = m_byEndpoint.find(message.endpoint);
    if (receiver != m_byEndpoint.end() && !receiver->second->dead) {
        const auto before = liveHeapBytes();
        receiver->second->inbox.push_back(std::move(encoded));
        from.used.heapBytes -= liveHeapBytes() - before;
    }
}

void fleet::killEntry(std::size_t entry)
{
    m_entries[entry]->dead = true;
    m_entries[entry]->inbox.clear();
}

void fleet::resetUsage()
{
    for (auto &node : m_entries) {
        node->used = {};
    }
    for (auto &node : m_agents) {
        node->used = {};
    }
}

session_id fleet::open(std::size_t entry)
{
    m_session = {};
    {
        const meter measured{m_entries[entry]->used};
        m_entries[entry]->core->openSession(caller_request{m_nextRequest++});
    }
    run(passTime);
    return m_session;
}

std::uint64_t fleet::submit(std::size_t entry, const session_id &session, std::uint64_t number,
                            std::size_t tasks, std::size_t team, duration deadline)
{
    constexpr std::size_t payloadBytes = 60;
    job_submission job;
    job.id = job_id{session, number};
    job.team = numberedName("team-number-", team);
    job.service = numberedName("service-number-", number % m_options.services);
    job.deadline = deadline;
    for (std::size_t i = 0; i < tasks; ++i) {
        job.payloads.emplace_back(payloadBytes, 'p');
    }
    job.hash = hashContent(job);
    const auto request = m_nextRequest++;
    auto &node = *m_entries[entry];
    const meter measured{node.used};
    auto copy = job; // counted as memory of the core
    node.core->submit(caller_request{request}, std::move(copy), true);
    return request;
}

std::size_t fleet::pushManifest(std::size_t entry)
{
    auto &node = *m_entries[entry];
    node.versionSeen = ++m_version;
    const meter measured{node.used};
    node.core->manifestPushed(config_version{m_version}, m_manifest);
    return m_manifest.size();
}

bool fleet::receivedByAll() const
{
    const auto holds = [this](const auto &node) {
        return node->dead || node->versionSeen >= m_version;
    };
    return std::ranges::all_of(m_entries, holds) && std::ranges::all_of(m_agents, holds);
}

const usage &fleet::entryUsage(std::size_t entry) const
{
    return m_entries[entry]->used;
}

const usage &fleet::agentUsage(std::size_t agent) const
{
    return m_agents[agent]->used;
}

usage fleet::allAgents() const
{
    usage sum;
    for (const auto &node : m_agents) {
        sum.cpuNanoseconds += node->used.cpuNanoseconds;
        sum.heapBytes += node->used.heapBytes;
        for (std::size_t kind = 0; kind < sum.sent.size(); ++kind) {
            sum.sent[kind].messages += node->used.sent[kind].messages;
            sum.sent[kind].bytes += node->used.sent[kind].bytes;
            sum.received[kind].messages += node->used.received[kind].messages;
            sum.received[kind].bytes += node->used.received[kind].bytes;
        }
    }
    return sum;
}

} // namespace bamboohead::bench
