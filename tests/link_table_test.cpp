#include "bamboohead/link_table.hpp"

#include <doctest/doctest.h>

using namespace bamboohead;
using namespace std::chrono_literals;

namespace {

process_identity identity(std::uint64_t number)
{
    return process_identity{incarnation_id{number}, "tcp://127.0.0.1:1", wire::ROLE_ENTRY, "graz"};
}

} // namespace

TEST_CASE("the age of a message is measured by the receiver's clock from the echoed stamp")
{
    // Guards against treating a message as fresh that was queued while a process was suspended.
    manual_clock clockA{time_point{100s}};
    manual_clock clockB{time_point{9000s}};
    link_table tableA{identity(1), clockA};
    link_table tableB{identity(2), clockB};

    wire::Envelope first;
    tableA.setHeader(first, incarnation_id{2});
    const auto atB = tableB.receive(first);
    CHECK(atB.accepted);
    CHECK(atB.firstContact);
    CHECK_FALSE(atB.age);
    CHECK_FALSE(tableB.alive(incarnation_id{1}, 2s));

    wire::Envelope reply;
    tableB.setHeader(reply, incarnation_id{1});
    clockA.advance(5s);
    const auto atA = tableA.receive(reply);
    REQUIRE(atA.age);
    CHECK(*atA.age == 5s);
    CHECK_FALSE(tableA.alive(incarnation_id{2}, 2s));
    CHECK(tableA.alive(incarnation_id{2}, 5s));
}

TEST_CASE("an envelope for another incarnation is not accepted")
{
    // Guards against a restarted process that handles messages to its earlier incarnation.
    manual_clock clock;
    link_table table{identity(1), clock};
    wire::Envelope envelope;
    envelope.set_sender(2);
    envelope.set_receiver(99);
    CHECK_FALSE(table.receive(envelope).accepted);
    CHECK(table.find(incarnation_id{2}) == nullptr);
}

TEST_CASE("a peer is silent when its newest echo is older than the limit and no message arrived in "
          "half the limit, or when the echo is older than twice the limit")
{
    // An echo is the newest timestamp of this process that the peer has received.
    // Guards against presuming a peer failed after a single lost message, and against never
    // presuming it failed while it sends messages without newer echoes.
    manual_clock clock;
    link_table table{identity(1), clock};
    const auto arrive = [&](std::uint64_t echo) {
        wire::Envelope envelope;
        envelope.set_sender(2);
        envelope.set_receiver(1);
        envelope.set_stamp_us(1);
        envelope.set_echo_us(echo);
        table.receive(envelope);
    };
    const incarnation_id peer{2};
    CHECK(table.silent(peer, 2s));
    const auto echo = toStamp(clock.now());
    arrive(echo);
    clock.advance(1900ms);
    CHECK_FALSE(table.silent(peer, 2s));
    SUBCASE("no further message arrives")
    {
        clock.advance(200ms);
        CHECK(table.silent(peer, 2s));
    }
    SUBCASE("messages arrive without a newer echo")
    {
        arrive(echo);
        clock.advance(200ms);
        CHECK_FALSE(table.silent(peer, 2s));
        CHECK_FALSE(table.alive(peer, 2s));
        clock.advance(1800ms);
        arrive(echo);
        clock.advance(200ms);
        CHECK(table.silent(peer, 2s));
    }
}
