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
