// Writes inputs for the corpora of the fuzz targets EntryMessages and AgentMessages: well-formed
// messages of each kind that entry_core and agent_core receive, and messages with values out of
// range.
// usage: fuzz_seeds DIRECTORY

#include "message_feed.hpp"

#include "bamboohead/job.hpp"

#include <fstream>
#include <iostream>
#include <limits>

namespace bamboohead::fuzz {

namespace {

// Flags of well-formed messages. Their flag_dump_or_announce has the dump of an entry checked, or
// makes the target of an agent announce itself.
constexpr std::uint8_t entryFlags = flag_addressed | flag_echo | flag_dump_or_announce;
constexpr std::uint8_t agentFlags = entryFlags | flag_from_agent;
constexpr std::uint64_t sampleTimeUs = 100'000;

job_id makeJobId(std::uint64_t primary, std::uint64_t backup, std::uint64_t number)
{
    return job_id{session_id{{incarnation_id{primary}, incarnation_id{backup}}, 1}, number};
}

/// An empty envelope from the peer entry, with valid addresses, stamp and echo.
wire::Envelope addressedEnvelope()
{
    wire::Envelope envelope;
    address(envelope, false, true, manual_clock{}.now());
    return envelope;
}

job_submission submission(const job_id &id)
{
    job_submission job;
    job.id = id;
    job.team = "growers";
    job.service = "quote";
    job.deadline = std::chrono::seconds{5};
    job.payloads = {"x", "y"};
    job.hash = hashContent(job);
    return job;
}

/// Updates of the tasks 0 to 2 of a job, all for the same attempt. The attempts of a primary begin
/// at 1, so an update for attempt 0 matches no order that it has sent.
wire::Envelope taskUpdate(const job_id &job, std::uint32_t attempt, wire::TaskState state,
                          error_kind error)
{
    auto envelope = addressedEnvelope();
    auto &updates = *envelope.mutable_task_updates();
    updates.set_credit_epoch(1);
    updates.set_issued_total(4);
    for (std::uint32_t task = 0; task < 3; ++task) {
        auto &update = *updates.add_updates();
        toWire(task_ref{job, task, attempt}, *update.mutable_ref());
        update.set_state(state);
        update.set_error(toWire(error));
        update.set_result("r");
        update.set_run_time_us(sampleTimeUs);
    }
    return envelope;
}

wire::Envelope start(std::uint64_t number, wire::Owner owner, std::uint32_t attempt)
{
    auto envelope = addressedEnvelope();
    auto &tasks = *envelope.mutable_start_tasks();
    tasks.set_owner(owner);
    tasks.set_config_version(1);
    tasks.set_credit_epoch(1);
    tasks.set_used_total(1);
    auto &order = *tasks.add_orders();
    const bool primary = owner == wire::OWNER_PRIMARY;
    const auto home = primary ? makeJobId(peerEntry, 3, number) : makeJobId(3, peerEntry, number);
    toWire(task_ref{home, 0, attempt}, *order.mutable_ref());
    order.set_service("quote");
    order.set_payload("run_ms=10");
    order.set_remaining_us(sampleTimeUs * 10);
    auto &demand = *tasks.add_demand();
    demand.set_service("quote");
    demand.set_waiting(3);
    demand.set_precedence_us(sampleTimeUs);
    return envelope;
}

wire::Envelope agentHeartbeat()
{
    auto envelope = addressedEnvelope();
    auto &heartbeat = *envelope.mutable_agent_heartbeat();
    heartbeat.set_service("quote");
    heartbeat.set_slots(4);
    heartbeat.set_config_version(1);
    heartbeat.set_credit_epoch(1);
    heartbeat.set_issued_total(4);
    return envelope;
}

wire::Envelope entryHeartbeat()
{
    auto envelope = addressedEnvelope();
    auto &heartbeat = *envelope.mutable_entry_heartbeat();
    heartbeat.set_config_version(1);
    heartbeat.set_current(true);
    heartbeat.set_credit_epoch(1);
    auto &usage = *heartbeat.add_usage();
    usage.set_team("growers");
    usage.set_running(2);
    auto &demand = *heartbeat.add_demand();
    demand.set_service("quote");
    demand.set_waiting(2);
    return envelope;
}

wire::Envelope configPush()
{
    auto envelope = addressedEnvelope();
    envelope.mutable_config_push()->set_version(2);
    envelope.mutable_config_push()->set_manifest(testManifest);
    return envelope;
}

std::string takeoverInput()
{
    const auto id = makeJobId(peerEntry, selfIncarnation, 1);
    auto scope = addressedEnvelope();
    toWire(id.session.home, *scope.mutable_scope_update()->mutable_home());
    scope.mutable_scope_update()->set_version(1);
    scope.mutable_scope_update()->set_full(true);
    scope.mutable_scope_update()->add_added()->set_incarnation(peerAgent);
    auto put = addressedEnvelope();
    toWire(submission(id), *put.mutable_record_put()->mutable_job());
    put.mutable_record_put()->set_remaining_us(sampleTimeUs * 50);
    auto stopping = addressedEnvelope();
    toWire(id.session.home, *stopping.mutable_home_stopping()->mutable_home());
    auto report = addressedEnvelope();
    toWire(id.session.home, *report.mutable_fence_report()->mutable_home());
    auto &task = *report.mutable_fence_report()->add_tasks();
    toWire(task_ref{id, 0, 0}, *task.mutable_ref());
    task.set_state(wire::TASK_STATE_RUNNING);
    return encodeFeedMessage(entryFlags, 0, scope) + encodeFeedMessage(entryFlags, 1, put) +
           encodeFeedMessage(entryFlags, 1, stopping) + encodeFeedMessage(agentFlags, 1, report) +
           encodeFeedMessage(agentFlags, 1, agentHeartbeat());
}

std::string ownJobInput()
{
    const auto id = makeJobId(selfIncarnation, peerEntry, 1);
    auto ack = addressedEnvelope();
    toWire(id, *ack.mutable_record_ack()->mutable_id());
    auto scope = addressedEnvelope();
    toWire(id.session.home, *scope.mutable_scope_ack()->mutable_home());
    scope.mutable_scope_ack()->set_version(1);
    return encodeFeedMessage(entryFlags, 1, scope) + encodeFeedMessage(entryFlags, 1, ack) +
           encodeFeedMessage(agentFlags, 1, agentHeartbeat()) +
           encodeFeedMessage(agentFlags, 1,
                             taskUpdate(id, 0, wire::TASK_STATE_REFUSED, error_kind::no_credit)) +
           encodeFeedMessage(agentFlags, 10, agentHeartbeat()) +
           encodeFeedMessage(agentFlags, 10,
                             taskUpdate(id, 1, wire::TASK_STATE_FINISHED, error_kind::none));
}

std::string forwardInput()
{
    const auto id = makeJobId(selfIncarnation, peerEntry, 2);
    auto forward = addressedEnvelope();
    forward.mutable_job_forward()->set_request(7);
    forward.mutable_job_forward()->set_verb(1);
    toWire(id, *forward.mutable_job_forward()->mutable_id());
    toWire(submission(id), *forward.mutable_job_forward()->mutable_job());
    auto reply = addressedEnvelope();
    reply.mutable_job_reply()->set_request(1);
    toWire(errorAnswer(id, error_kind::overloaded), *reply.mutable_job_reply()->mutable_answer());
    auto close = addressedEnvelope();
    toWire(errorAnswer(makeJobId(peerEntry, selfIncarnation, 1), error_kind::task_failed),
           *close.mutable_record_close()->mutable_answer());
    auto closed = addressedEnvelope();
    toWire(id, *closed.mutable_record_close_ack()->mutable_id());
    return encodeFeedMessage(entryFlags, 1, forward) + encodeFeedMessage(entryFlags, 1, reply) +
           encodeFeedMessage(entryFlags, 1, close) + encodeFeedMessage(entryFlags, 60, closed);
}

std::string membersInput()
{
    auto hello = addressedEnvelope();
    hello.mutable_hello();
    auto members = addressedEnvelope();
    auto &member = *members.mutable_member_list()->add_entries();
    member.set_incarnation(3);
    member.set_endpoint("tcp://127.0.0.1:3");
    member.set_zone("graz");
    auto pull = addressedEnvelope();
    pull.mutable_config_pull();
    return encodeFeedMessage(entryFlags, 1, hello) + encodeFeedMessage(entryFlags, 1, members) +
           encodeFeedMessage(entryFlags, 1, pull) +
           encodeFeedMessage(entryFlags, 1, entryHeartbeat()) +
           encodeFeedMessage(entryFlags, 1, configPush());
}

std::string ordersInput()
{
    auto fence = addressedEnvelope();
    toWire(job_home{incarnation_id{3}, incarnation_id{peerEntry}},
           *fence.mutable_fence_request()->mutable_home());
    auto query = addressedEnvelope();
    toWire(task_ref{makeJobId(peerEntry, 3, 2), 0, 0}, *query.mutable_task_query()->add_refs());
    auto ack = addressedEnvelope();
    toWire(task_ref{makeJobId(peerEntry, 3, 1), 0, 0}, *ack.mutable_update_ack()->add_refs());
    return encodeFeedMessage(entryFlags, 1, entryHeartbeat()) +
           encodeFeedMessage(entryFlags, 1, start(1, wire::OWNER_PRIMARY, 0)) +
           encodeFeedMessage(entryFlags, 1, query) + encodeFeedMessage(entryFlags, 1, ack) +
           encodeFeedMessage(entryFlags, 1, fence) +
           encodeFeedMessage(entryFlags, 1, start(3, wire::OWNER_BACKUP, 1U << 16U));
}

// Inputs with values out of range, which have to be rejected.

/// Flags of a message that keeps its own echo; flag_echo would replace it.
constexpr std::uint8_t keepEcho = flag_addressed | flag_dump_or_announce;
constexpr auto maxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr auto maxUint32 = std::numeric_limits<std::uint32_t>::max();

std::string futureEchoInput(bool asAgent)
{
    auto ahead = asAgent ? agentHeartbeat() : entryHeartbeat();
    ahead.set_echo_us(toStamp(manual_clock{}.now() + std::chrono::hours{1}));
    auto farAhead = ahead;
    farAhead.set_echo_us(maxUint64);
    auto negative = ahead;
    negative.set_echo_us(maxUint64 / 2 + 2);
    const std::uint8_t flags = keepEcho | (asAgent ? flag_from_agent : 0);
    return encodeFeedMessage(flags, 1, ahead) + encodeFeedMessage(flags, 1, farAhead) +
           encodeFeedMessage(flags, 1, negative);
}

std::string oversizedHeartbeatInput()
{
    auto oversized = agentHeartbeat();
    oversized.mutable_agent_heartbeat()->set_slots(maxUint32);
    oversized.mutable_agent_heartbeat()->set_running(maxUint32);
    oversized.mutable_agent_heartbeat()->set_queued(maxUint32);
    oversized.mutable_agent_heartbeat()->set_issued_total(maxUint64);
    return encodeFeedMessage(agentFlags, 1, oversized) + ownJobInput();
}

std::string longRunInput()
{
    const auto id = makeJobId(selfIncarnation, peerEntry, 1);
    auto updates = taskUpdate(id, 0, wire::TASK_STATE_FINISHED, error_kind::none);
    for (auto &update : *updates.mutable_task_updates()->mutable_updates()) {
        update.set_run_time_us(maxUint64);
    }
    return ownJobInput() + encodeFeedMessage(agentFlags, 1, updates);
}

std::string bigJobInput(std::size_t tasks, std::size_t payloadBytes)
{
    const auto own = makeJobId(selfIncarnation, peerEntry, 2);
    auto job = submission(own);
    job.payloads.assign(tasks, std::string(payloadBytes, 'x'));
    job.deadline = duration{std::numeric_limits<duration::rep>::max()};
    auto forward = addressedEnvelope();
    forward.mutable_job_forward()->set_verb(1);
    toWire(own, *forward.mutable_job_forward()->mutable_id());
    toWire(job, *forward.mutable_job_forward()->mutable_job());
    job.id = makeJobId(peerEntry, selfIncarnation, 1);
    auto put = addressedEnvelope();
    toWire(job, *put.mutable_record_put()->mutable_job());
    put.mutable_record_put()->set_remaining_us(maxUint64);
    return encodeFeedMessage(entryFlags, 1, forward) + encodeFeedMessage(entryFlags, 1, put) +
           takeoverInput();
}

std::string oversizedOrderInput()
{
    auto big = start(1, wire::OWNER_PRIMARY, 0);
    auto &bigOrder = *big.mutable_start_tasks()->mutable_orders(0);
    bigOrder.set_payload(std::string(maxPayloadBytes + 1, 'x'));
    auto oversized = start(2, wire::OWNER_PRIMARY, maxUint32);
    auto &oversizedOrder = *oversized.mutable_start_tasks()->mutable_orders(0);
    oversizedOrder.mutable_ref()->set_task(maxUint32);
    oversizedOrder.set_remaining_us(maxUint64);
    oversized.mutable_start_tasks()->set_used_total(maxUint64);
    return encodeFeedMessage(entryFlags, 1, entryHeartbeat()) +
           encodeFeedMessage(entryFlags, 1, big) + encodeFeedMessage(entryFlags, 1, oversized) +
           ordersInput();
}

std::string wrongAnswerInput()
{
    auto answer = errorAnswer(makeJobId(selfIncarnation, peerEntry, 1), error_kind::overloaded);
    answer.mayHaveRun = true;
    answer.results = {"a"};
    auto reply = addressedEnvelope();
    toWire(answer, *reply.mutable_job_reply()->mutable_answer());
    auto close = addressedEnvelope();
    answer.id = makeJobId(peerEntry, selfIncarnation, 1);
    toWire(answer, *close.mutable_record_close()->mutable_answer());
    auto fenced = taskUpdate(makeJobId(selfIncarnation, peerEntry, 1), 0, wire::TASK_STATE_REFUSED,
                             error_kind::order_fenced);
    std::string text = encodeFeedMessage(agentFlags, 1, fenced);
    for (std::uint64_t request = 0; request < 4; ++request) {
        reply.mutable_job_reply()->set_request(request);
        text += encodeFeedMessage(entryFlags, 1, reply);
    }
    return text + encodeFeedMessage(entryFlags, 1, close);
}

void write(const std::string &path, const std::string &text)
{
    std::ofstream{path, std::ios::binary} << text;
}

} // namespace

} // namespace bamboohead::fuzz

int main(int argc, char **argv)
{
    using namespace bamboohead::fuzz;
    if (argc != 2) {
        std::cerr << "usage: fuzz_seeds DIRECTORY\n";
        return 2;
    }
    const std::string directory{argv[1]};
    write(directory + "/entry_messages/takeover", takeoverInput());
    write(directory + "/entry_messages/own_job", ownJobInput());
    write(directory + "/entry_messages/forward", forwardInput());
    write(directory + "/entry_messages/members", membersInput());
    write(directory + "/entry_messages/future_echo_entry", futureEchoInput(false));
    write(directory + "/entry_messages/future_echo_agent", futureEchoInput(true));
    write(directory + "/entry_messages/wide_heartbeat", oversizedHeartbeatInput());
    write(directory + "/entry_messages/long_run", longRunInput());
    write(directory + "/entry_messages/many_tasks", bigJobInput(bamboohead::maxTasksPerJob + 1, 0));
    write(directory + "/entry_messages/big_payload",
          bigJobInput(1, bamboohead::maxPayloadBytes + 1));
    write(directory + "/entry_messages/wrong_answer", wrongAnswerInput());
    write(directory + "/agent_messages/future_echo", futureEchoInput(false));
    write(directory + "/agent_messages/wide_order", oversizedOrderInput());
    write(directory + "/agent_messages/members", membersInput());
    write(directory + "/agent_messages/orders", ordersInput());
    return 0;
}
