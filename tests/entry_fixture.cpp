#include "entry_fixture.hpp"

#include <doctest/doctest.h>

namespace bamboohead {

namespace {

constexpr auto storedManifest = R"({
    "zones": {"graz": {"state": "in"}, "linz": {"state": "in"}, "wien": {"state": "out"}},
    "services": {"quote": {"weight": 1, "default_deadline_ms": 20000}},
    "teams": {"growers": {"weight": 1, "max_running": 100}}})";

} // namespace

entry_fixture::entry_fixture() = default;

std::string entry_fixture::manifestText()
{
    return storedManifest;
}

entry_core &entry_fixture::addEntry(std::uint64_t number, const std::string &zone)
{
    entry_options options;
    const auto endpoint = "e" + std::to_string(number);
    options.self = process_identity{incarnation_id{number}, endpoint, wire::ROLE_ENTRY, zone};
    options.seeds = {"e1"};
    options.maxJobs = 50;
    auto &slot = m_entries[endpoint];
    slot = std::make_unique<entry_core>(options, time);
    return *slot;
}

scripted_agent &entry_fixture::addAgent(std::uint64_t number, const std::string &zone)
{
    auto &slot = m_agents["a" + std::to_string(number)];
    slot = std::make_unique<scripted_agent>(number, zone, time);
    return *slot;
}

void entry_fixture::run(duration total)
{
    constexpr duration tick = std::chrono::milliseconds{10};
    constexpr std::uint64_t heartbeatTicks = 10;
    for (duration passed{}; passed < total; passed += tick) {
        time.advance(tick);
        const bool heartbeats = m_ticks++ % heartbeatTicks == 0;
        for (auto &[endpoint, core] : m_entries) {
            if (!m_dead.contains(endpoint)) {
                if (storeReadable) {
                    core->handleStoreRead(config_version{1}, storedManifest, time.now());
                }
                core->tick();
            }
        }
        for (auto &[endpoint, agent] : m_agents) {
            if (heartbeats && !agent->silent && !m_dead.contains(endpoint)) {
                heartbeat(*agent);
            }
        }
        settle();
    }
}

void entry_fixture::settle()
{
    for (bool busy = true; busy;) {
        busy = false;
        for (auto &[endpoint, core] : m_entries) {
            if (m_dead.contains(endpoint)) {
                continue;
            }
            for (auto &action : core->takeActions()) {
                busy = true;
                act(endpoint, std::move(action));
            }
        }
    }
}

void entry_fixture::act(const std::string &endpoint, entry_action action)
{
    if (const auto *message = std::get_if<send_message>(&action)) {
        deliver(message->endpoint, message->envelope);
    } else if (const auto *answer = std::get_if<answer_caller>(&action)) {
        const auto request = static_cast<std::uint64_t>(answer->request);
        CHECK_MESSAGE(!answers.contains(request), "request answered twice");
        answers[request] = answer->answer;
    } else if (const auto *session = std::get_if<answer_session_request>(&action)) {
        m_session =
                session->error == error_kind::none ? std::optional{session->session} : std::nullopt;
    } else if (std::holds_alternative<shutdown_complete>(action)) {
        stopped.insert(std::stoull(endpoint.substr(1)));
    }
}

void entry_fixture::deliver(const std::string &to, const wire::Envelope &envelope)
{
    if (m_dead.contains(to) || dropMessage(envelope)) {
        return;
    }
    if (const auto core = m_entries.find(to); core != m_entries.end()) {
        core->second->receive(envelope);
    } else if (const auto agent = m_agents.find(to); agent != m_agents.end()) {
        receive(*agent->second, envelope);
    }
}

void entry_fixture::receive(scripted_agent &agent, const wire::Envelope &envelope)
{
    if (!agent.links->receive(envelope).accepted) {
        return;
    }
    for (const auto &order : envelope.start_tasks().orders()) {
        agent.orders.push_back(order);
        agent.owners.push_back(envelope.start_tasks().owner());
    }
    if (envelope.has_member_list()) {
        agent.members = envelope.member_list().entries_size();
    }
    agent.acks += static_cast<std::uint32_t>(envelope.update_ack().refs_size());
    agent.acks += static_cast<std::uint32_t>(envelope.start_tasks().acked_size());
    agent.queries += static_cast<std::uint32_t>(envelope.task_query().refs_size());
    if (!envelope.has_fence_request()) {
        return;
    }
    ++agent.fences;
    if (agent.reports) {
        wire::Envelope reply;
        *reply.mutable_fence_report()->mutable_home() = envelope.fence_request().home();
        for (const auto &task : agent.reportedTasks) {
            *reply.mutable_fence_report()->add_tasks() = task;
        }
        send(agent, envelope.sender(), std::move(reply));
    }
}

void entry_fixture::heartbeat(scripted_agent &agent)
{
    for (auto &[endpoint, core] : m_entries) {
        wire::Envelope envelope;
        auto &state = *envelope.mutable_agent_heartbeat();
        state.set_service("quote");
        state.set_slots(8);
        state.set_config_version(agent.version);
        state.set_credit_epoch(1);
        state.set_issued_total(agent.issued);
        send(agent, std::stoull(endpoint.substr(1)), std::move(envelope));
    }
}

void entry_fixture::send(scripted_agent &from, std::uint64_t entry, wire::Envelope envelope)
{
    from.links->setHeader(envelope, incarnation_id{entry});
    deliver("e" + std::to_string(entry), envelope);
}

void entry_fixture::sendUpdate(scripted_agent &from, std::uint64_t entry,
                               const wire::TaskUpdate &update)
{
    wire::Envelope envelope;
    auto &updates = *envelope.mutable_task_updates();
    *updates.add_updates() = update;
    updates.set_credit_epoch(1);
    updates.set_issued_total(from.issued);
    send(from, entry, std::move(envelope));
    settle();
}

session_id entry_fixture::open(std::uint64_t number)
{
    m_session.reset();
    entry(number).openSession(caller_request{0});
    settle();
    return m_session.value_or(session_id{});
}

job_submission entry_fixture::job(const session_id &session, std::uint64_t number,
                                  std::size_t tasks) const
{
    job_submission made;
    made.id = job_id{session, number};
    made.team = "growers";
    made.service = "quote";
    made.deadline = std::chrono::seconds{10};
    for (std::size_t task = 0; task < tasks; ++task) {
        made.payloads.push_back("payload " + std::to_string(task));
    }
    return made;
}

void entry_fixture::submit(std::uint64_t number, std::uint64_t request, job_submission job)
{
    entry(number).submit(caller_request{request}, std::move(job), true);
    settle();
}

} // namespace bamboohead
