#include "bamboohead/transport.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <memory>
#include <optional>
#include <pthread.h>
#include <thread>
#include <zmq.hpp>

namespace bamboohead {

namespace {

constexpr const char *anyPort = "tcp://127.0.0.1:*";
constexpr duration pollInterval = std::chrono::milliseconds{10};
constexpr int maxPolls = 500;

wire::Envelope envelopeWith(std::uint64_t stamp)
{
    wire::Envelope envelope;
    envelope.set_stamp_us(stamp);
    return envelope;
}

/// Waits for one message at `receiver` while `sender` sends its pending messages. The clock of both
/// stays below connectGrace, however long a busy machine takes to connect them.
/// @return The stamp of the message, or nothing when none arrived within 5 s.
std::optional<std::uint64_t> receiveStamp(transport &receiver, transport &sender,
                                          manual_clock &clock)
{
    constexpr duration longPoll = std::chrono::milliseconds{125};
    constexpr int longPolls = 40;
    std::optional<std::uint64_t> stamp;
    for (int i = 0; i < longPolls && !stamp; ++i) {
        clock.advance(std::chrono::milliseconds{10}); // the shortest interval of maintain()
        sender.maintain();
        receiver.wait(longPoll, -1, -1);
        receiver.receiveAll([&](const wire::Envelope &envelope) { stamp = envelope.stamp_us(); },
                            1);
    }
    return stamp;
}

/// Receives and sends until the condition holds or the polls are used up.
/// @return Whether the condition holds.
template <typename Condition>
bool pollUntil(transport &messages, Condition condition)
{
    for (int i = 0; i < maxPolls && !condition(); ++i) {
        messages.wait(pollInterval, -1, -1);
        messages.receiveAll([](const wire::Envelope &) {}, 10);
        messages.maintain();
    }
    return condition();
}

/// Interrupts the calls of the current thread by signals as long as it exists.
class signal_storm
{
public:
    signal_storm()
        : m_target{pthread_self()}
    {
        struct sigaction ignoring
        {};
        ignoring.sa_handler = [](int) {}; // without SA_RESTART
        sigaction(SIGUSR1, &ignoring, &m_previous);
        m_sender = std::thread{[this] {
            while (!m_stop) {
                pthread_kill(m_target, SIGUSR1);
                ++m_sent;
                std::this_thread::sleep_for(std::chrono::microseconds{10});
            }
        }};
    }

    ~signal_storm()
    {
        m_stop = true;
        m_sender.join();
        sigaction(SIGUSR1, &m_previous, nullptr);
    }

    signal_storm(const signal_storm &) = delete;
    signal_storm &operator=(const signal_storm &) = delete;

    [[nodiscard]] std::size_t sent() const { return m_sent; }

private:
    pthread_t m_target;
    struct sigaction m_previous
    {};
    std::atomic<bool> m_stop = false;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_sender;
};

} // namespace

// Guards against a process that ends because a signal has interrupted a call of ZeroMQ.
TEST_CASE("signals neither end nor disturb the exchange of messages")
{
    const steady_clock_source clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    constexpr std::size_t signals = 2'000;
    std::uint64_t messages = 0;
    std::uint64_t received = 0;
    const signal_storm storm;
    while (storm.sent() < signals) {
        a.send(b.endpoint(), envelopeWith(++messages));
        a.maintain();
        b.receiveAll([&](const wire::Envelope &) { ++received; }, 10);
    }
    for (int i = 0; i < maxPolls && received + a.counters().dropped < messages; ++i) {
        a.maintain();
        b.wait(pollInterval, -1, -1);
        b.receiveAll([&](const wire::Envelope &) { ++received; }, messages);
    }
    CHECK(received + a.counters().dropped == messages);
    CHECK(received > 0);
}

// Guards against the loss of first messages while the connection is being established, which would
// delay discovery until the next discovery message.
TEST_CASE("messages arrive in both directions, including the first one")
{
    manual_clock clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    a.send(b.endpoint(), envelopeWith(1));
    CHECK(receiveStamp(b, a, clock) == 1);
    b.send(a.endpoint(), envelopeWith(2));
    CHECK(receiveStamp(a, b, clock) == 2);
    CHECK(a.counters().sent == 1);
    CHECK(a.counters().received == 1);
    CHECK(a.counters().dropped == 0);
}

// Guards against traffic that is counted for the wrong kind, and messages that are counted without
// their bytes. The figures of docs/CAPACITY.md depend on these counters.
TEST_CASE("messages and their bytes are counted by kind at both ends, including queued messages")
{
    manual_clock clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    auto envelope = envelopeWith(1);
    envelope.mutable_config_push()->set_manifest("{}");
    a.send(b.endpoint(), envelope);
    REQUIRE(receiveStamp(b, a, clock) == 1);
    const auto kind = messageKind(envelope);
    REQUIRE(messageKinds.at(kind) == "config_push");
    CHECK(a.counters().sentByKind[kind].messages == 1);
    CHECK(a.counters().sentByKind[kind].bytes == envelope.ByteSizeLong());
    CHECK(b.counters().receivedByKind[kind].messages == 1);
    CHECK(b.counters().receivedByKind[kind].bytes == envelope.ByteSizeLong());
    CHECK(messageKind(envelopeWith(1)) == messageKinds.size());
}

// Guards against a sender that blocks on a peer that ended, or queues messages for it without
// limit.
TEST_CASE("messages to a peer that ended are dropped and counted, and its replacement receives "
          "messages")
{
    manual_clock clock;
    transport a{anyPort, clock};
    auto b = std::make_unique<transport>(anyPort, clock);
    const auto endpoint = b->endpoint();
    a.send(endpoint, envelopeWith(1));
    REQUIRE(receiveStamp(*b, a, clock) == 1);
    b.reset();
    std::uint64_t sends = 0;
    const bool dropped = pollUntil(a, [&] {
        a.send(endpoint, envelopeWith(2));
        ++sends;
        return a.counters().dropped > 0;
    });
    CHECK(dropped);
    CHECK(a.counters().sent + a.counters().dropped == sends + 1);
    transport replacement{endpoint, clock};
    std::optional<std::uint64_t> stamp;
    for (int i = 0; i < maxPolls && !stamp; ++i) {
        a.send(endpoint, envelopeWith(3));
        replacement.wait(pollInterval, -1, -1);
        replacement.receiveAll([&](const wire::Envelope &in) { stamp = in.stamp_us(); }, 1);
    }
    CHECK(stamp == 3);
}

// Guards against messages that stay queued forever for a peer that is never reached.
TEST_CASE("messages to an unreachable peer are dropped after connectGrace, and later the peer is "
          "closed")
{
    manual_clock clock;
    transport a{anyPort, clock};
    a.send("tcp://127.0.0.1:1", envelopeWith(1));
    CHECK(a.counters().dropped == 0);
    CHECK(a.peers() == 1);
    clock.advance(connectGrace);
    a.maintain();
    CHECK(a.counters().dropped == 1);
    clock.advance(peerIdleLimit);
    a.maintain();
    CHECK(a.peers() == 0);
    a.send("not an endpoint", envelopeWith(1));
    CHECK(a.counters().dropped == 2);
}

// Guards against messages that are sent for minutes on a connection whose other end has disappeared
// without closing it, for example because its VM has lost power.
TEST_CASE("the connection to a peer that has fallen silent is replaced")
{
    manual_clock clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    const auto arrives = [&](transport &receiver, transport &sender, std::uint64_t expected) {
        std::optional<std::uint64_t> stamp;
        for (int i = 0; i < maxPolls && stamp != expected; ++i) {
            clock.advance(std::chrono::milliseconds{10}); // the shortest interval of maintain()
            sender.maintain();
            receiver.wait(pollInterval, -1, -1);
            receiver.receiveAll([&](const wire::Envelope &in) { stamp = in.stamp_us(); }, 1);
        }
        return stamp == expected;
    };
    a.send(b.endpoint(), envelopeWith(1));
    CHECK(arrives(b, a, 1));
    auto answer = envelopeWith(2);
    answer.set_endpoint(b.endpoint());
    b.send(a.endpoint(), answer);
    CHECK(arrives(a, b, 2));
    clock.advance(peerSilenceLimit - std::chrono::milliseconds{100});
    a.send(b.endpoint(), envelopeWith(3));
    a.maintain();
    CHECK(a.counters().peersReconnected == 0);
    clock.advance(std::chrono::milliseconds{200});
    a.maintain();
    CHECK(a.counters().peersReconnected == 1);
    a.send(b.endpoint(), envelopeWith(4));
    CHECK(arrives(b, a, 4));
    // Without a further message of the peer the connection is not replaced again.
    clock.advance(peerSilenceLimit);
    a.maintain();
    CHECK(a.counters().peersReconnected == 1);
}

// Guards against messages that are sent for more than 15 s on a connection whose data no longer
// arrives, because the messages of the peer, on its own connection, still do.
TEST_CASE("the connection to a peer that echoes no message is replaced")
{
    manual_clock clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    const auto exchange = [&](std::uint64_t stamp, std::uint64_t echo) {
        a.send(b.endpoint(), envelopeWith(stamp));
        auto answer = envelopeWith(stamp);
        answer.set_endpoint(b.endpoint());
        answer.set_echo_us(echo);
        b.send(a.endpoint(), answer);
        REQUIRE(receiveStamp(a, b, clock) == stamp);
        clock.advance(std::chrono::seconds{1});
        a.maintain();
    };
    for (std::uint64_t stamp = 1; stamp <= 10; ++stamp) {
        exchange(stamp, stamp - 1); // each message is echoed by the next one
    }
    CHECK(a.counters().peersReconnected == 0);
    for (std::uint64_t stamp = 11; stamp <= 14; ++stamp) {
        exchange(stamp, 10);
    }
    CHECK(a.counters().peersReconnected == 0);
    for (std::uint64_t stamp = 15; stamp <= 17; ++stamp) {
        exchange(stamp, 10);
    }
    CHECK(a.counters().peersReconnected == 1);
}

// Guards against crashes and wrong decisions due to bytes that are not an envelope.
TEST_CASE("malformed messages are dropped and counted")
{
    const steady_clock_source clock;
    transport a{anyPort, clock};
    zmq::context_t context;
    zmq::socket_t socket{context, zmq::socket_type::dealer};
    socket.set(zmq::sockopt::linger, 0);
    socket.connect(a.endpoint());
    socket.send(zmq::str_buffer("\xff\xff\xff"), zmq::send_flags::none);
    socket.send(zmq::str_buffer(""), zmq::send_flags::sndmore);
    socket.send(zmq::str_buffer(""), zmq::send_flags::none);
    CHECK(pollUntil(a, [&] { return a.counters().malformed == 2; }));
    CHECK(a.counters().received == 0);
}

// Guards against a message that every receiver would reject and that would close the connection.
TEST_CASE("a message above the size limit is not sent")
{
    const steady_clock_source clock;
    transport a{anyPort, clock};
    auto envelope = envelopeWith(1);
    envelope.set_endpoint(std::string(maxMessageBytes, 'x'));
    a.send(a.endpoint(), envelope);
    CHECK(a.counters().dropped == 1);
    CHECK(a.peers() == 0);
}

// Guards against an exception that ends the process when no further socket can be opened.
TEST_CASE("a silent peer keeps its connection while no socket is available")
{
    manual_clock clock;
    transport a{anyPort, clock};
    transport b{anyPort, clock};
    a.send(b.endpoint(), envelopeWith(1));
    auto answer = envelopeWith(2);
    answer.set_endpoint(b.endpoint());
    b.send(a.endpoint(), answer);
    REQUIRE(pollUntil(a, [&] {
        b.maintain();
        clock.advance(std::chrono::milliseconds{10});
        return a.counters().received > 0;
    }));
    constexpr int firstPort = 20'000;
    constexpr int maxSockets = 1'100; // more than ZeroMQ opens, 1,023
    for (int i = 0; i < maxSockets && a.counters().dropped == 0; ++i) {
        a.send("tcp://127.0.0.2:" + std::to_string(firstPort + i), envelopeWith(3));
    }
    REQUIRE(a.counters().dropped == 1);
    clock.advance(peerSilenceLimit);
    a.send(b.endpoint(), envelopeWith(4));
    CHECK_NOTHROW(a.maintain());
    CHECK(a.counters().peersReconnected == 0);
}

// Guards against messages to a local process or, without an error, to nobody.
TEST_CASE("messages are only sent to TCP endpoints")
{
    const steady_clock_source clock;
    transport a{anyPort, clock};
    for (const std::string endpoint :
         {"ipc:///tmp/bamboohead-test", "inproc://a", "tcp://127.0.0.1:70000", "tcp://127.0.0.1:0",
          "tcp://127.0.0.1:*", "tcp://127.0.0.1:80x", "tcp://*:80", ""}) {
        CAPTURE(endpoint);
        a.send(endpoint, envelopeWith(1));
        CHECK(a.peers() == 0);
    }
}

} // namespace bamboohead
