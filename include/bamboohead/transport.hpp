#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Size limit of a message that is sent or received. A job of 8 MB fits with the
///        other fields of its envelope.
inline constexpr std::size_t maxMessageBytes = std::size_t{16} << 20U;

/// @brief Time without an outgoing message after which a peer is disconnected.
inline constexpr duration peerIdleLimit = std::chrono::seconds{30};

/// @brief Time without a message of a peer that has sent some, after which the connection to it is
///        replaced. Processes send each other messages more often.
inline constexpr duration peerSilenceLimit = std::chrono::seconds{7};

/// @brief Time after which the connection to a peer is replaced when messages of the peer arrive,
///        but echo no message that was sent to it in this time. It is longer than the interval
///        between two messages of a peer, whose echo is one interval old.
inline constexpr duration peerEchoLimit = std::chrono::seconds{5};

/// @brief Time that messages wait for the first connection to a peer before they are dropped. A new
///        connection takes a few round trips, and ZeroMQ rejects messages before it is up.
inline constexpr duration connectGrace = std::chrono::milliseconds{500};

/// @brief Number of messages of one kind and the bytes of their encoded envelopes, without framing.
struct kind_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Traffic by message kind, with the same indices as messageKinds.
using traffic_by_kind = std::array<kind_traffic, messageKinds.size()>;

/// @brief Counters of a transport; they never decrease.
struct transport_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; ///< received, but not a valid envelope
    /// Not sent: queue full, peer unreachable, message too long or endpoint malformed.
    std::uint64_t dropped = 0;
    std::uint64_t peersOpened = 0; ///< outgoing sockets, also to peers that were never reached
    std::uint64_t peersClosed = 0; ///< outgoing sockets closed because they were idle
    /// Outgoing sockets replaced because the peer was silent, or did not receive messages.
    std::uint64_t peersReconnected = 0;
    traffic_by_kind sentByKind;     ///< split of `sent`; dropped messages are not counted
    traffic_by_kind receivedByKind; ///< split of `received`
};

/// @brief Result of transport::wait().
struct wait_result
{
    bool signalled = false; ///< the signal descriptor became readable
};

/// @brief Sends and receives one-way messages between processes over ZeroMQ. Not thread-safe.
///
/// A bound ROUTER socket receives messages, and one DEALER socket for each peer sends them.
/// Delivery is not guaranteed: a message that cannot be queued is dropped and counted.
class transport
{
public:
    using receiver = std::function<void(const wire::Envelope &)>;

    /// @param endpoint ZeroMQ endpoint to bind, for example tcp://127.0.0.1:7001; with * as
    ///                 port, the system chooses a free one.
    /// @throw std::runtime_error when the endpoint cannot be bound.
    transport(const std::string &endpoint, const clock &clock);
    ~transport();
    transport(const transport &) = delete;
    transport &operator=(const transport &) = delete;

    /// @brief Bound endpoint with its actual port.
    [[nodiscard]] std::string endpoint() const;

    /// @brief Queues a message without blocking. A message that cannot be queued is dropped and
    ///        counted in transport_counters::dropped.
    void send(const std::string &endpoint, const wire::Envelope &envelope);

    /// @brief Waits until a message arrives, `wakeDescriptor` or `signalDescriptor` is readable, or
    ///        `limit` has passed.
    /// @param wakeDescriptor Made readable by other threads that have queued an input. Not
    ///        reported, since the control thread checks its inputs after each wait. Ignored when
    ///        negative.
    /// @param signalDescriptor Readable while a signal is pending. Reported, since a signal may be
    ///        read only then. Ignored when negative.
    wait_result wait(duration limit, int wakeDescriptor, int signalDescriptor);

    /// @brief Descriptor that becomes readable when messages may have arrived. It is
    ///        edge-triggered: call receiveAll() until no message is left before waiting for it
    ///        again.
    [[nodiscard]] int descriptor() const;

    /// @brief Passes up to `maxMessages` received messages to `receive`. Malformed messages are
    ///        dropped, but count towards the limit.
    /// @return Number of messages taken from the socket.
    std::size_t receiveAll(const receiver &receive, std::size_t maxMessages);

    /// @brief Sends messages that waited for their first connection, reconnects to silent peers and
    ///        closes idle ones. Call it regularly; calls within 10 ms of the last pass do nothing.
    void maintain();

    [[nodiscard]] const transport_counters &counters() const noexcept;

    /// @brief Number of peers with an open outgoing socket.
    [[nodiscard]] std::size_t peers() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
