#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboohead {

/// @brief Addresses of the local process, sent in each envelope.
struct process_identity
{
    incarnation_id incarnation = incarnation_id::none;
    std::string
            endpoint; ///< ZeroMQ endpoint of the process's inbox, for example tcp://127.0.0.1:7001
    wire::Role role = wire::ROLE_UNSPECIFIED;
    std::string zone;
};

/// @brief What the local process knows of one peer.
struct link
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    wire::Role role = wire::ROLE_UNSPECIFIED;
    std::string zone;
    std::uint64_t newestStamp = 0; ///< newest stamp received from the peer, its clock, microseconds
    std::optional<time_point> newestEcho; ///< newest own stamp that the peer has echoed
    time_point added;                     ///< when the peer became known
    time_point lastArrival;               ///< when its newest message was handled
};

/// @brief Verdict on a received envelope.
struct reception
{
    bool accepted = false;     ///< false: meant for another incarnation
    bool firstContact = false; ///< the sender was unknown
    std::optional<duration>
            age; ///< age of the sender's knowledge by the local clock; none without echo
};

/// @brief Peers of the local process, with freshness judged by the local clock only.
///
/// A peer's message proves that the peer was alive after it received the echoed stamp; the arrival
/// time proves nothing, because messages may have waited in queues while either side was stopped.
class link_table
{
public:
    link_table(process_identity self, const clock &clock);

    /// @brief Records stamp, echo and addresses of a received envelope.
    reception receive(const wire::Envelope &envelope);

    /// @brief Adds a peer known by hearsay, without any proof of life.
    void add(incarnation_id peer, const std::string &endpoint, wire::Role role,
             const std::string &zone);

    /// @brief Forgets a peer.
    void remove(incarnation_id peer);

    /// @brief Fills sender, receiver, stamp and echo of an outgoing envelope.
    void seal(wire::Envelope &envelope, incarnation_id receiver) const;

    /// @brief Whether the peer has echoed a stamp that is at most `limit` old.
    [[nodiscard]] bool alive(incarnation_id peer, duration limit) const;

    /// @brief Whether the peer is to be held dead: it has echoed no stamp within `limit`, and
    /// either
    ///        nothing arrived from it in the second half of that time or there was no echo for
    ///        twice the limit.
    ///
    /// An echo is 1 to 1.5 s old in normal operation with heartbeats each 500 ms, so that one lost
    /// message would exceed a limit of 2 s. Being held dead needs no proof, unlike being alive.
    [[nodiscard]] bool silent(incarnation_id peer, duration limit) const;

    /// @brief Finds a peer.
    /// @return Null when the peer is unknown.
    [[nodiscard]] const link *find(incarnation_id peer) const;

    /// @brief Peers of one role, ordered by incarnation.
    [[nodiscard]] std::vector<const link *> peers(wire::Role role) const;

    [[nodiscard]] const process_identity &self() const noexcept { return m_self; }

private:
    process_identity m_self;
    const clock &m_clock;
    std::unordered_map<incarnation_id, link> m_links;
};

/// @brief Microseconds of a time point, as carried in stamps.
[[nodiscard]] std::uint64_t toStamp(time_point time) noexcept;

/// @brief Inverse of toStamp().
[[nodiscard]] time_point fromStamp(std::uint64_t stamp) noexcept;

} // namespace bamboohead
