#include "bamboohead/dispatch/fleet_member.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

/// Endpoints that receive a hello within a time.
std::set<std::string> hellosWithin(fleet_member &member, manual_clock &time, duration length)
{
    std::set<std::string> endpoints;
    const auto until = time.now() + length;
    while (time.now() < until) {
        time.advance(100ms);
        member.tick();
        for (const auto &action : member.takeActions()) {
            if (const auto *const sent = std::get_if<send_message>(&action)) {
                endpoints.insert(sent->endpoint);
            }
        }
    }
    return endpoints;
}

std::vector<std::string> endpointsFrom(int first, int count)
{
    std::vector<std::string> endpoints;
    for (int i = first; i < first + count; ++i) {
        endpoints.push_back("tcp://10.9.0.1:" + std::to_string(i));
    }
    return endpoints;
}

} // namespace

// Guards against a process that finds no entry because the first endpoints that it has learned are
// those of no process.
TEST_CASE("contacts that do not answer are replaced by those that become known later")
{
    manual_clock time;
    fleet_member member{{incarnation_id{1}, "tcp://10.0.0.1:1", wire::ROLE_AGENT, "graz"}, time};
    member.addContacts(endpointsFrom(1'000, 200));
    (void)hellosWithin(member, time, 1s);
    member.addContacts({"tcp://10.0.0.2:1"});
    CHECK(hellosWithin(member, time, 6s).contains("tcp://10.0.0.2:1"));
}

// Guards against the same in one list of the store, in which the order of the keys decides.
TEST_CASE("each of many contacts is tried in turn")
{
    manual_clock time;
    fleet_member member{{incarnation_id{1}, "tcp://10.0.0.1:1", wire::ROLE_AGENT, "graz"}, time};
    auto endpoints = endpointsFrom(1'000, 150);
    endpoints.emplace_back("tcp://10.0.0.2:1");
    member.addContacts(endpoints);
    const auto tried = hellosWithin(member, time, 62s);
    CHECK(tried.contains("tcp://10.0.0.2:1"));
    CHECK(tried.size() == endpoints.size());
    // The number of connections that are opened for contacts without a process is limited.
    CHECK(hellosWithin(member, time, 1s).size() <= 64);
}

// Guards against the loss of a running entry among endpoints that belong to no process.
TEST_CASE("a contact that answers is kept")
{
    manual_clock time;
    fleet_member member{{incarnation_id{1}, "tcp://10.0.0.1:1", wire::ROLE_AGENT, "graz"}, time};
    auto endpoints = endpointsFrom(1'000, 150);
    endpoints.emplace_back("tcp://10.0.0.2:1");
    member.addContacts(endpoints);
    CHECK(hellosWithin(member, time, 100ms).contains("tcp://10.0.0.2:1"));
    wire::Envelope answer;
    answer.set_sender(2);
    answer.set_receiver(1);
    answer.set_endpoint("tcp://10.0.0.2:1");
    answer.set_role(wire::ROLE_ENTRY);
    answer.set_echo_us(toStamp(time.now()));
    member.receive(answer);
    CHECK_FALSE(hellosWithin(member, time, 7s).contains("tcp://10.0.0.2:1"));
    CHECK(hellosWithin(member, time, 1s).contains("tcp://10.0.0.2:1"));
}

namespace {

desired_state stateAt(std::uint64_t revision, std::vector<std::string> zonesOut = {})
{
    desired_state state;
    state.revision = revision;
    state.version = 1;
    state.services = {"quotes"};
    state.zonesOut = std::move(zonesOut);
    return state;
}

/// Two processes that are linked to each other.
class linked_members
{
public:
    linked_members()
    {
        exchange();
        exchange();
    }

    /// Sends a message in each direction, which is received at once.
    void exchange()
    {
        deliver(messageFrom(first, second.self().incarnation), second);
        deliver(messageFrom(second, first.self().incarnation), first);
    }

    wire::Envelope messageFrom(fleet_member &sender, incarnation_id receiver) const
    {
        if (sender.links().find(receiver) == nullptr) {
            wire::Envelope hello;
            hello.mutable_hello();
            hello.set_sender(static_cast<std::uint64_t>(sender.self().incarnation));
            hello.set_endpoint(sender.self().endpoint);
            hello.set_role(sender.self().role);
            hello.set_zone(sender.self().zone);
            hello.set_stamp_us(toStamp(time.now()));
            return hello;
        }
        (void)sender.takeActions();
        wire::Envelope made;
        made.mutable_entry_sync()->set_config_version(sender.config().revision);
        sender.send(receiver, made);
        for (const auto &action : sender.takeActions()) {
            if (const auto *const sent = std::get_if<send_message>(&action)) {
                return sent->envelope;
            }
        }
        return {};
    }

    /// Delivers a message, and those by which the receiver requests the sender's desired state.
    void deliver(const wire::Envelope &envelope, fleet_member &to)
    {
        to.receive(envelope);
        auto &from = &to == &first ? second : first;
        for (const auto &action : to.takeActions()) {
            if (const auto *const sent = std::get_if<send_message>(&action);
                sent != nullptr && sent->envelope.has_config_pull()) {
                from.receive(sent->envelope);
                for (const auto &answer : from.takeActions()) {
                    if (const auto *const push = std::get_if<send_message>(&answer)) {
                        to.receive(push->envelope);
                    }
                }
            }
        }
    }

    manual_clock time{time_point{} + 100s};
    fleet_member first{{incarnation_id{1}, "tcp://10.0.0.1:1", wire::ROLE_ENTRY, "graz"}, time};
    fleet_member second{{incarnation_id{2}, "tcp://10.0.0.2:1", wire::ROLE_AGENT, "graz"}, time};
};

} // namespace

// Guards against an old desired state that counts as current since its proof was sent on from
// process to process, or waited in a queue.
TEST_CASE("the age of a proof grows while it is sent to other processes")
{
    linked_members members;
    members.first.adoptFromStore(stateAt(5));
    CHECK_FALSE(members.first.proofAge());
    CHECK(members.first.proveCurrent(5, members.time.now()));
    members.time.advance(300ms);
    CHECK(members.first.proofAge() == 300ms);
    members.exchange();
    CHECK(members.second.config().revision == 5);
    members.exchange();
    REQUIRE(members.second.proofAge());
    CHECK(*members.second.proofAge() >= 300ms);
    CHECK(*members.second.proofAge() <= 302ms);
    // The message waits. Its echo shows how long at most.
    members.time.advance(100ms);
    CHECK(members.first.proveCurrent(5, members.time.now()));
    const auto late = members.messageFrom(members.first, incarnation_id{2});
    members.time.advance(4s);
    members.deliver(late, members.second);
    CHECK(*members.second.proofAge() >= 4s);
    // An older proof does not replace a newer one.
    CHECK(members.second.proveCurrent(5, members.time.now()));
    members.deliver(late, members.second);
    CHECK(members.second.proofAge() == 0ms);
}

// Guards against a process that takes its state for current because of a proof of another state.
TEST_CASE("a proof counts only for the same desired state")
{
    linked_members members;
    members.first.adoptFromStore(stateAt(5));
    members.second.adoptFromStore(stateAt(7, {"graz"}));
    CHECK(members.first.proveCurrent(5, members.time.now()));
    const auto message = members.messageFrom(members.first, incarnation_id{2});
    members.second.receive(message);
    CHECK_FALSE(members.second.proofAge());
    // Of a state that the process does not have, either.
    CHECK_FALSE(members.first.proveCurrent(6, members.time.now()));
    CHECK_FALSE(members.first.proveCurrent(0, members.time.now()));
    CHECK(members.second.proveCurrent(6, members.time.now()));
}

// Guards against a fleet in which every read of the store makes all processes request the desired
// state from each other, since each read has another revision.
TEST_CASE("a state from the store with the same content keeps its revision")
{
    linked_members members;
    members.first.adoptFromStore(stateAt(5, {"graz"}));
    CHECK_FALSE(members.first.adoptFromStore(stateAt(9, {"graz"})));
    CHECK(members.first.config().revision == 5);
    CHECK(members.first.proveCurrent(9, members.time.now()));
    CHECK(members.first.adoptFromStore(stateAt(11)));
    CHECK(members.first.config().revision == 11);
    CHECK_FALSE(members.first.adoptFromStore(stateAt(10, {"graz"})));
    CHECK(members.first.config().zonesOut.empty());
}

// Guards against a state of a peer that is newer than the own one by its revision, and older than
// what the store was found to have.
TEST_CASE("a state that was replaced before the last read of the store is not taken from a peer")
{
    linked_members members;
    members.first.adoptFromStore(stateAt(5, {"graz"}));
    members.first.adoptFromStore(stateAt(9, {"graz"}));
    members.second.adoptFromStore(stateAt(7)); // back in service between 5 and 9
    members.exchange();
    members.time.advance(1s);
    members.exchange();
    CHECK(members.first.config().zonesOut.size() == 1);
    CHECK(members.first.config().revision == 9);
    members.time.advance(1s);
    members.exchange();
    CHECK(members.second.config().revision == 9);
    CHECK(members.second.config().zonesOut.size() == 1);
}
