#include "agent_fixture.hpp"
#include "bamboohead/detail/agent/entry_set.hpp"

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace bamboohead;
using namespace bamboohead::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(agent_fixture, "orders beyond the credits or of another epoch are refused")
{
    // Guards against more orders at an agent than its slots and agent_options::extraOrders permit.
    start({refOf(0), refOf(1), refOf(2)});
    CHECK(refusal(refOf(2)) == error_kind::no_credit);
    CHECK(startCount(refOf(0)) + startCount(refOf(1)) == 2);
    auto otherEpoch = startMessage({refOf(3)});
    otherEpoch.mutable_start_tasks()->set_credit_epoch(99);
    receive(otherEpoch);
    CHECK(refusal(refOf(3)) == error_kind::no_credit);
}

TEST_CASE_FIXTURE(
        agent_fixture,
        "orders that arrive after their credits were counted as used do not exceed the limit")
{
    // Guards against more orders and credits than the slots and agent_options::extraOrders permit
    // when messages arrive out of order.
    const auto overtaken = startMessage({refOf(0), refOf(1)});
    heartbeat(primaryId); // reports the credits as used, so the agent issues them again
    receive(overtaken);
    CHECK(refusal(refOf(0)) == error_kind::no_credit);
    CHECK(refusal(refOf(1)) == error_kind::no_credit);
}

TEST_CASE_FIXTURE(agent_fixture, "an order sent with a withdrawn credit is refused")
{
    // Guards against an entry that starts more tasks with credits that were withdrawn from it.
    const auto inFlight = startMessage({refOf(0)});
    for (const auto entry : {primaryId, backupId}) {
        auto draining = heartbeatMessage(entry, 1);
        draining.mutable_entry_heartbeat()->set_draining(true);
        receive(draining);
        CHECK(credits(entry) == 0);
    }
    receive(inFlight);
    CHECK(refusal(refOf(0)) == error_kind::no_credit);
    CHECK(startCount(refOf(0)) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "the next message makes up for a lost credit message")
{
    // Guards against credits that are lost permanently with one message.
    start({refOf(0), refOf(1)});
    dropMessages = true;
    endTask(refOf(0));
    endTask(refOf(1));
    dropMessages = false;
    CHECK(credits(primaryId) == 0);
    exchangeHeartbeats();
    pass(510ms);
    CHECK(credits(primaryId) + credits(backupId) == 4);
}

TEST_CASE_FIXTURE(agent_fixture, "the credits of an unresponsive entry are issued to the others")
{
    // Guards against slots that stay idle because their credits are held by an entry that crashed.
    for (int i = 0; i < 5; ++i) {
        heartbeat(backupId);
        pass(500ms);
    }
    CHECK(credits(backupId) == 4);
    CHECK(credits(primaryId) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "a freed credit is sent at once to an entry with waiting tasks")
{
    // Guards against slots that stay idle until the next heartbeat.
    start({refOf(0), refOf(1)});
    auto waiting = heartbeatMessage(backupId, 1);
    auto &demand = *waiting.mutable_entry_heartbeat()->add_demand();
    demand.set_service(service);
    demand.set_waiting(9);
    demand.set_precedence_us(200'000);
    receive(waiting);
    CHECK(credits(backupId) == 2);
    endTask(refOf(0));
    CHECK(credits(backupId) == 3);
    CHECK(credits(primaryId) == 0);
}

TEST_CASE_FIXTURE(agent_fixture, "the agent sends one message for a short task")
{
    // Guards against more than three messages between the processes for each task: the order, one
    // message with the updates, and their acknowledgement.
    sent.clear();
    start({refOf(0)});
    pass(50ms);
    endTask(refOf(0));
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().task_updates().updates_size() == 2);

    acknowledge(primaryId, refOf(0));
    start({refOf(1)});
    pass(1010ms); // a longer task is reported as accepted before its end
    CHECK(update(refOf(1))->state() == wire::TASK_STATE_ACCEPTED);
}

TEST_CASE_FIXTURE(agent_fixture, "a leaving target is announced at once")
{
    // Guards against orders that entries send to a leaving target in the 500 ms until the next
    // heartbeat.
    sent.clear();
    core().targetAnnounced({service, 2, target_state::leaving});
    tick();
    const auto announced = std::ranges::count_if(
            sent, [](const auto &m) { return m.agent_heartbeat().leaving(); });
    CHECK(announced == 2);
}

TEST_CASE_FIXTURE(agent_fixture,
                  "an entry unresponsive for 10 s is removed unless another entry lists it")
{
    // Guards against endless heartbeats to entries that crashed, and against removing entries that
    // are only cut off from this agent.
    constexpr incarnation_id listedId{3};
    const auto known = [this](incarnation_id id) {
        return boost::json::serialize(core().dump().as_object().at("entries")).find(toText(id)) !=
               std::string::npos;
    };
    for (int round = 0; round < 22; ++round) {
        auto envelope = heartbeatMessage(primaryId, 1);
        envelope.mutable_entry_heartbeat()->add_entries()->set_incarnation(
                static_cast<std::uint64_t>(listedId));
        receive(envelope);
        pass(500ms);
    }
    CHECK(known(primaryId));
    CHECK(known(listedId));
    CHECK_FALSE(known(backupId));
}

namespace {

/// Listed entries to which an agent sends a hello message within 24 s. 40 unresponsive entries are
/// listed, and `responsive` others answer.
std::set<std::uint64_t> entriesSentHello(agent_fixture &agent, std::uint64_t responsive)
{
    constexpr std::uint64_t firstListed = 100;
    std::set<std::uint64_t> receivers;
    for (int second = 0; second < 24; ++second) {
        auto envelope = agent.heartbeatMessage(primaryId, 1);
        for (std::uint64_t entry = firstListed; entry < firstListed + 40; ++entry) {
            auto &member = *envelope.mutable_entry_heartbeat()->add_entries();
            member.set_incarnation(entry);
            member.set_endpoint("tcp://silent");
        }
        agent.receive(envelope);
        for (std::uint64_t entry = 10; entry < 10 + responsive; ++entry) {
            agent.heartbeat(incarnation_id{entry});
        }
        agent.sent.clear();
        agent.pass(1s);
        for (const auto &message : agent.sent) {
            if (message.has_hello() && message.receiver() >= firstListed) {
                receivers.insert(message.receiver());
            }
        }
    }
    return receivers;
}

} // namespace

TEST_CASE_FIXTURE(
        agent_fixture,
        "an unresponsive entry gets a hello only if it would be one of the six chosen entries")
{
    // Guards against hello messages to all entries, each answered with the complete member list. An
    // agent chooses the six entries with the highest rendezvous weights (maxChosenEntries), so an
    // unresponsive entry is of use only if fewer than six responsive ones have a higher weight.
    for (const auto entry : entriesSentHello(*this, 6)) {
        const auto weight = detail::rendezvousWeight(agentId, incarnation_id{entry});
        int better = 0;
        for (std::uint64_t other = 10; other < 16; ++other) {
            better += detail::rendezvousWeight(agentId, incarnation_id{other}) > weight ? 1 : 0;
        }
        CHECK(better < 6);
    }
}

TEST_CASE_FIXTURE(agent_fixture,
                  "an agent with fewer than six entries sends a hello to all unresponsive ones")
{
    // Guards against an agent that stays without entries because it sends no hello messages.
    CHECK(entriesSentHello(*this, 2).size() == 40);
}

TEST_CASE_FIXTURE(agent_fixture, "an agent announces itself to six of many entries")
{
    // Guards against heartbeat traffic that grows with the number of entries.
    for (std::uint64_t entry = 10; entry < 30; ++entry) {
        heartbeat(incarnation_id{entry});
    }
    pass(500ms);
    sent.clear();
    pass(500ms);
    std::map<std::uint64_t, int> heartbeats;
    for (const auto &envelope : sent) {
        heartbeats[envelope.receiver()] += envelope.has_agent_heartbeat() ? 1 : 0;
    }
    CHECK(std::ranges::count_if(heartbeats, [](const auto &item) { return item.second > 0; }) == 6);
}

TEST_CASE_FIXTURE(agent_fixture, "an entry that has missed messages is answered without delay")
{
    // Guards against an agent that an entry considers failed because two or three messages were
    // lost (docs/design.md, 2.6).
    exchangeHeartbeats();
    pass(510ms); // until the next heartbeats have been sent
    const auto probe = heartbeatMessage(primaryId, 1);
    const auto heartbeats = [this](incarnation_id entry) {
        return std::ranges::count_if(sent, [entry](const wire::Envelope &envelope) {
            return envelope.has_agent_heartbeat() &&
                   envelope.receiver() == static_cast<std::uint64_t>(entry);
        });
    };
    SUBCASE("the entry has received nothing for 600 ms")
    {
        pass(750ms);
        sent.clear();
        receive(probe);
        tick();
        CHECK(heartbeats(primaryId) == 1);
        CHECK(heartbeats(backupId) == 0);
        pass(100ms);
        receive(probe); // within probeInterval of the answer
        tick();
        CHECK(heartbeats(primaryId) == 1);
    }
    SUBCASE("the entry has received the last message")
    {
        pass(250ms);
        sent.clear();
        receive(probe);
        tick();
        CHECK(heartbeats(primaryId) == 0);
    }
}
