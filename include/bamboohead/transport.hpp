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

/// @brief Largest message that is sent or accepted; a job of 8 MB and its framing fit.
inline constexpr std::size_t maxMessageBytes = std::size_t{16} << 20U;

/// @brief A peer without a message for this long is disconnected.
inline constexpr duration peerIdleLimit = std::chrono::seconds{30};

/// @brief Messages wait this long for the first connection to a peer. A new connection takes a
///        few round trips, and ZeroMQ refuses messages before it is up.
inline constexpr duration connectGrace = std::chrono::milliseconds{500};

/// @brief Messages of one kind and the bytes of their encoded envelopes, without framing.
struct kind_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @brief Traffic by message kind; the index is that of messageKinds.
using traffic_by_kind = std::array<kind_traffic, messageKinds.size()>;

/// @brief Counters of a transport, monotonic.
struct transport_counters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t malformed = 0; ///< received, not an envelope
    std::uint64_t dropped = 0;   ///< not sent: queue full, peer unreachable or message too long
    std::uint64_t peersOpened = 0;
    std::uint64_t peersClosed = 0;
    traffic_by_kind sentByKind;     ///< like `sent`, without messages that were dropped
    traffic_by_kind receivedByKind; ///< like `received`
};

/// @brief What ended a wait.
struct wait_result
{
    bool signalled = false; ///< the signal descriptor became readable
};

/// @brief One-way messages between processes by ZeroMQ. Used by one thread only.
///
/// A ROUTER socket is bound for incoming messages; a DEALER socket a peer carries outgoing ones.
/// Delivery is not guaranteed: whatever cannot be queued at once is dropped and counted.
class transport
{
public:
    using receiver = std::function<void(const wire::Envelope &)>;

    /// @param endpoint ZeroMQ endpoint to bind, for example tcp://127.0.0.1:7001; port * takes a
    ///                 free one.
    /// @throw std::runtime_error when the endpoint cannot be bound.
    transport(const std::string &endpoint, const clock &clock);
    ~transport();
    transport(const transport &) = delete;
    transport &operator=(const transport &) = delete;

    /// @brief Endpoint that is bound, with its port.
    [[nodiscard]] std::string endpoint() const;

    /// @brief Sends without blocking, or drops and counts.
    void send(const std::string &endpoint, const wire::Envelope &envelope);

    /// @brief Waits until a message arrives, `wakeDescriptor` or `signalDescriptor` is readable, or
    ///        `limit` has passed. Negative descriptors are left out.
    wait_result wait(duration limit, int wakeDescriptor, int signalDescriptor);

    /// @brief Descriptor that becomes readable when messages may have arrived; receiveAll() has to
    ///        take all of them before the next wait for it.
    [[nodiscard]] int descriptor() const;

    /// @brief Passes messages that have arrived to `receive`, at most `most`.
    /// @return How many were taken.
    std::size_t receiveAll(const receiver &receive, std::size_t most);

    /// @brief Sends messages that waited for a connection and closes idle peers.
    void maintain();

    [[nodiscard]] const transport_counters &counters() const noexcept;

    /// @brief Number of peers with an open socket.
    [[nodiscard]] std::size_t peers() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> m_impl;
};

} // namespace bamboohead
