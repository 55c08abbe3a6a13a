#include "bamboohead/transport.hpp"

#include "bamboohead/settings.hpp"

#include <zmq.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <vector>

namespace bamboohead {

namespace {

/// Number of messages that ZeroMQ queues for each peer and direction.
constexpr int highWaterMark = 4'000;
/// Limits of the messages that wait for the first connection to one peer.
constexpr std::size_t maxPendingMessages = 256;
constexpr std::size_t maxPendingBytes = maxMessageBytes;
/// Delay before a reconnection in milliseconds; it doubles up to the maximum.
constexpr int reconnectInterval = 50;
constexpr int maxReconnectInterval = 1000;
constexpr int connectTimeout = 2000; ///< of one attempt to connect, in milliseconds
/// Keep-alive probes of TCP on incoming connections, in seconds. They remove connections of peers
/// that disappeared without closing them; ZeroMQ's own heartbeats would double the messages of a
/// process with hundreds of connections.
constexpr int keepAliveIdle = 30;
constexpr int keepAliveInterval = 10;
constexpr int keepAliveProbes = 3;
/// Messages of a peer without an echo of ours from which our connection to it does not work. One or
/// two may have been sent before ours arrived.
constexpr int minMessagesWithoutEcho = 3;
/// Minimum time between two passes of maintain().
constexpr duration maintenanceInterval = std::chrono::milliseconds{10};

/// Message that waits for the first connection to its peer.
struct pending_message
{
    std::string payload;
    std::size_t kind = 0; ///< index into messageKinds
    time_point since;     ///< time of the call to send()
};

/// The first message on a connection that the peer has not echoed yet.
struct unechoed_message
{
    std::uint64_t stamp = 0;
    time_point sent;
    int messagesSince = 0; ///< messages of the peer since then, without its echo
};

/// Outgoing connection to one endpoint.
struct peer
{
    zmq::socket_t socket;
    time_point lastUsed;
    bool wasConnected = false; ///< the connection was up at least once
    /// When the newest message of this peer was received; none since the socket was opened.
    std::optional<time_point> lastReceived;
    std::optional<unechoed_message> unechoed;
    std::deque<pending_message> pending;
    std::size_t pendingBytes = 0;
};

void setCommonOptions(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, highWaterMark);
    socket.set(zmq::sockopt::rcvhwm, highWaterMark);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(maxMessageBytes));
}

/// Repeats a call of ZeroMQ that a signal has interrupted. It has had no effect then.
template <typename Call>
auto repeatInterrupted(Call call)
{
    while (true) {
        try {
            return call();
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR) {
                throw;
            }
        }
    }
}

bool trySend(zmq::socket_t &socket, const std::string &payload)
{
    zmq::message_t message{payload.data(), payload.size()};
    return repeatInterrupted(
            [&] { return socket.send(message, zmq::send_flags::dontwait).has_value(); });
}

} // namespace

class transport::implementation
{
public:
    implementation(const std::string &endpoint, const clock &clock)
        : m_clock{clock}
        , m_inbox{m_context, zmq::socket_type::router}
    {
        setCommonOptions(m_inbox);
        m_inbox.set(zmq::sockopt::tcp_keepalive, 1);
        m_inbox.set(zmq::sockopt::tcp_keepalive_idle, keepAliveIdle);
        m_inbox.set(zmq::sockopt::tcp_keepalive_intvl, keepAliveInterval);
        m_inbox.set(zmq::sockopt::tcp_keepalive_cnt, keepAliveProbes);
        try {
            m_inbox.bind(endpoint);
        } catch (const zmq::error_t &error) {
            throw std::runtime_error{"cannot bind " + endpoint + ": " + error.what()};
        }
    }

    std::string endpoint() const { return m_inbox.get(zmq::sockopt::last_endpoint); }

    int descriptor() const { return m_inbox.get(zmq::sockopt::fd); }

    void send(const std::string &endpoint, const wire::Envelope &envelope)
    {
        auto payload = envelope.SerializeAsString();
        auto *const recipient =
                payload.size() <= maxMessageBytes ? findOrConnect(endpoint) : nullptr;
        if (recipient == nullptr) {
            ++m_counters.dropped;
            return;
        }
        recipient->lastUsed = m_clock.now();
        if (!recipient->unechoed) {
            recipient->unechoed = unechoed_message{envelope.stamp_us(), m_clock.now()};
        }
        const auto kind = messageKind(envelope);
        if (recipient->pending.empty() && trySend(recipient->socket, payload)) {
            recipient->wasConnected = true;
            countSent(kind, payload.size());
        } else {
            enqueue(*recipient, kind, std::move(payload));
        }
    }

    wait_result wait(duration limit, int wakeDescriptor, int signalDescriptor)
    {
        std::array<zmq::pollitem_t, 3> items{
                zmq::pollitem_t{m_inbox.handle(), 0, ZMQ_POLLIN, 0},
                zmq::pollitem_t{nullptr, wakeDescriptor, ZMQ_POLLIN, 0},
                zmq::pollitem_t{nullptr, signalDescriptor, ZMQ_POLLIN, 0},
        };
        if (wakeDescriptor < 0) {
            items[1] = items[0];
        }
        if (signalDescriptor < 0) {
            items[2] = items[0];
        }
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(limit);
        try {
            zmq::poll(items, rounded);
        } catch (const zmq::error_t &error) {
            if (error.num() != EINTR) {
                throw;
            }
        }
        return wait_result{signalDescriptor >= 0 && (items[2].revents & ZMQ_POLLIN) != 0};
    }

    std::size_t receiveAll(const receiver &receive, std::size_t maxMessages)
    {
        std::size_t taken = 0;
        while (taken < maxMessages && receiveOne(receive)) {
            ++taken;
        }
        return taken;
    }

    void maintain()
    {
        const auto now = m_clock.now();
        if (now - m_lastMaintenance < maintenanceInterval) {
            return;
        }
        m_lastMaintenance = now;
        for (auto &[endpoint, recipient] : m_peers) {
            const bool silent = recipient.lastReceived &&
                                now - *recipient.lastReceived >= peerSilenceLimit &&
                                now - recipient.lastUsed < peerSilenceLimit;
            if (silent || receivesNothing(recipient, now)) {
                reconnect(endpoint, recipient);
            }
            sendPending(recipient, now);
        }
        const auto closed = std::erase_if(m_peers, [&](const auto &item) {
            return now - item.second.lastUsed >= peerIdleLimit;
        });
        m_counters.peersClosed += closed;
    }

    const transport_counters &counters() const noexcept { return m_counters; }
    std::size_t peers() const noexcept { return m_peers.size(); }

private:
    /// Returns the peer of an endpoint and starts to connect to it if it is new.
    /// @return Null when the endpoint is malformed or no socket can be opened.
    peer *findOrConnect(const std::string &endpoint)
    {
        const auto found = m_peers.find(endpoint);
        if (found != m_peers.end()) {
            return &found->second;
        }
        // ZeroMQ also accepts local sockets and wildcards.
        if (!isEndpoint(endpoint)) {
            return nullptr;
        }
        peer created;
        try {
            created.socket = connectTo(endpoint);
        } catch (const zmq::error_t &) {
            return nullptr;
        }
        ++m_counters.peersOpened;
        return &m_peers.emplace(endpoint, std::move(created)).first->second;
    }

    /// @throw zmq::error_t When ZeroMQ rejects the endpoint, or no socket can be opened.
    zmq::socket_t connectTo(const std::string &endpoint)
    {
        return repeatInterrupted([&] {
            zmq::socket_t socket{m_context, zmq::socket_type::dealer};
            setCommonOptions(socket);
            socket.set(zmq::sockopt::immediate, true);
            socket.set(zmq::sockopt::connect_timeout, connectTimeout);
            socket.set(zmq::sockopt::reconnect_ivl, reconnectInterval);
            socket.set(zmq::sockopt::reconnect_ivl_max, maxReconnectInterval);
            socket.connect(endpoint);
            return socket;
        });
    }

    /// Whether a peer sends messages, but has received none on this connection for a while. The
    /// path may be interrupted in one direction.
    static bool receivesNothing(const peer &recipient, time_point now)
    {
        return recipient.unechoed && recipient.unechoed->messagesSince >= minMessagesWithoutEcho &&
               now - recipient.unechoed->sent >= peerEchoLimit;
    }

    /// Records which of the messages to a peer have arrived there.
    static void recordEcho(peer &sender, const wire::Envelope &envelope)
    {
        if (!sender.unechoed) {
            return;
        }
        if (envelope.echo_us() >= sender.unechoed->stamp) {
            sender.unechoed.reset();
        } else {
            ++sender.unechoed->messagesSince;
        }
    }

    /// Replaces the connection to a peer that has fallen silent or does not receive messages: the
    /// peer may have restarted, or the path was interrupted, without an end of the connection that
    /// TCP would notice soon.
    /// When no socket can be opened, the connection is kept and replaced by a later pass.
    void reconnect(const std::string &endpoint, peer &recipient)
    {
        try {
            recipient.socket = connectTo(endpoint);
        } catch (const zmq::error_t &) {
            ++m_counters.dropped;
            return;
        }
        recipient.wasConnected = false;
        recipient.lastReceived.reset();
        recipient.unechoed.reset();
        ++m_counters.peersReconnected;
    }

    /// Queues a message until the first connection to the peer is up. Drops it when the connection
    /// was up before, since then the queue of ZeroMQ is full or the peer is gone.
    void enqueue(peer &recipient, std::size_t kind, std::string payload)
    {
        const auto bytes = recipient.pendingBytes + payload.size();
        if (recipient.wasConnected || recipient.pending.size() >= maxPendingMessages ||
            bytes > maxPendingBytes) {
            ++m_counters.dropped;
            return;
        }
        recipient.pendingBytes = bytes;
        recipient.pending.push_back({std::move(payload), kind, m_clock.now()});
    }

    /// Sends the pending messages of a peer and drops those that have waited too long.
    void sendPending(peer &recipient, time_point now)
    {
        while (!recipient.pending.empty()) {
            const auto &message = recipient.pending.front();
            if (trySend(recipient.socket, message.payload)) {
                recipient.wasConnected = true;
                countSent(message.kind, message.payload.size());
            } else if (now - message.since >= connectGrace) {
                ++m_counters.dropped;
            } else {
                return;
            }
            recipient.pendingBytes -= message.payload.size();
            recipient.pending.pop_front();
        }
    }

    void countSent(std::size_t kind, std::size_t bytes)
    {
        ++m_counters.sent;
        count(m_counters.sentByKind, kind, bytes);
    }

    static void count(traffic_by_kind &traffic, std::size_t kind, std::size_t bytes)
    {
        if (kind < traffic.size()) {
            ++traffic[kind].messages;
            traffic[kind].bytes += bytes;
        }
    }

    bool receiveOne(const receiver &receive)
    {
        zmq::message_t identity;
        const auto received = repeatInterrupted(
                [&] { return m_inbox.recv(identity, zmq::recv_flags::dontwait); });
        if (!received) {
            return false;
        }
        std::size_t parts = 0;
        zmq::message_t payload;
        while (repeatInterrupted([&] { return m_inbox.get(zmq::sockopt::rcvmore); })) {
            (void)repeatInterrupted([&] { return m_inbox.recv(payload, zmq::recv_flags::none); });
            ++parts;
        }
        wire::Envelope envelope;
        const auto size = static_cast<int>(payload.size());
        if (parts != 1 || !envelope.ParseFromArray(payload.data(), size)) {
            ++m_counters.malformed;
            return true;
        }
        ++m_counters.received;
        if (const auto from = m_peers.find(envelope.endpoint()); from != m_peers.end()) {
            from->second.lastReceived = m_clock.now();
            recordEcho(from->second, envelope);
        }
        count(m_counters.receivedByKind, messageKind(envelope), payload.size());
        receive(envelope);
        return true;
    }

    const clock &m_clock;
    zmq::context_t m_context{1};
    zmq::socket_t m_inbox;
    std::unordered_map<std::string, peer> m_peers;
    time_point m_lastMaintenance;
    transport_counters m_counters;
};

transport::transport(const std::string &endpoint, const clock &clock)
    : m_impl{std::make_unique<implementation>(endpoint, clock)}
{}

transport::~transport() = default;

std::string transport::endpoint() const
{
    return m_impl->endpoint();
}

int transport::descriptor() const
{
    return m_impl->descriptor();
}

void transport::send(const std::string &endpoint, const wire::Envelope &envelope)
{
    m_impl->send(endpoint, envelope);
}

wait_result transport::wait(duration limit, int wakeDescriptor, int signalDescriptor)
{
    return m_impl->wait(limit, wakeDescriptor, signalDescriptor);
}

std::size_t transport::receiveAll(const receiver &receive, std::size_t maxMessages)
{
    return m_impl->receiveAll(receive, maxMessages);
}

void transport::maintain()
{
    m_impl->maintain();
}

const transport_counters &transport::counters() const noexcept
{
    return m_impl->counters();
}

std::size_t transport::peers() const noexcept
{
    return m_impl->peers();
}

} // namespace bamboohead
