#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bamboohead {

/// @brief Identity and address of the local process, sent in each envelope.
struct process_identity
{
    incarnation_id incarnation = incarnation_id::none;
    /// ZeroMQ endpoint at which the process receives messages, for example tcp://127.0.0.1:7001.
    std::string endpoint;
    wire::Role role = wire::ROLE_UNSPECIFIED;
    std::string zone;
};

/// @brief State of the local process's link to one peer.
struct peer_link
{
    incarnation_id incarnation = incarnation_id::none;
    std::string endpoint;
    wire::Role role = wire::ROLE_UNSPECIFIED;
    std::string zone;
    std::uint64_t newestStamp = 0;        ///< newest stamp of the peer's clock, in microseconds
    std::optional<time_point> newestEcho; ///< newest stamp of this process that the peer has echoed
    time_point firstEcho;                 ///< when the first echo arrived; default value: none yet
    time_point added;                     ///< when the peer became known
    time_point lastArrival;               ///< when the peer's newest message was handled
};

/// @brief Result of the checks of a received envelope.
struct receive_result
{
    bool accepted = false;     ///< false: for another incarnation, or with an invalid echo
    bool firstContact = false; ///< whether the sender was unknown
    /// Time since the echoed stamp was sent, by the local clock: the sender's state is at most this
    /// old. None without an echo.
    std::optional<duration> age;
};

/// @brief Table of the peers of the local process, with failure detection by the local clock only.
///
/// Each envelope carries a stamp (the sender's clock) and an echo (the newest stamp that the sender
/// has received from the receiver). A message proves that the peer was alive after it received the
/// echoed stamp. Its arrival time proves nothing, because messages may have been queued while
/// either process was suspended.
class link_table
{
public:
    link_table(process_identity self, const clock &clock);

    /// @brief Checks a received envelope and records its stamp, echo and sender. An envelope that
    ///        is not accepted changes nothing.
    receive_result receive(const wire::Envelope &envelope);

    /// @brief Adds a peer that another process has reported. It does not count as alive. Has no
    ///        effect for a known peer or the local process.
    void add(incarnation_id peer, const std::string &endpoint, wire::Role role,
             const std::string &zone);

    /// @brief Removes a peer; has no effect if it is unknown.
    void remove(incarnation_id peer);

    /// @brief Sets the header of an outgoing envelope: sender, receiver, stamp and echo. The echo
    ///        is 0 when no stamp of the receiver is known.
    void setHeader(wire::Envelope &envelope, incarnation_id receiver) const;

    /// @brief Whether the peer has echoed a stamp that is at most `limit` old; false if it is
    ///        unknown.
    [[nodiscard]] bool alive(incarnation_id peer, duration limit) const;

    /// @brief Whether the peer is presumed to have failed: it is unknown, has echoed no stamp of
    ///        the last `2 * limit`, or has echoed no stamp of the last `limit` while no message has
    ///        arrived within `limit / 2`.
    ///
    /// Where orders and updates replace heartbeats (sent every 500 ms), the newest echo is 1 to
    /// 1.5 s old in normal operation, so that a single lost message can exceed a limit of 2 s.
    /// alive() is a proof and therefore ignores arrival times; silent() is only a presumption and
    /// may use them.
    [[nodiscard]] bool silent(incarnation_id peer, duration limit) const;

    /// @return The peer, or null when it is unknown. Valid until the peer is removed.
    [[nodiscard]] const peer_link *find(incarnation_id peer) const;

    /// @brief Peers with the given role, ordered by incarnation.
    [[nodiscard]] std::vector<const peer_link *> peers(wire::Role role) const;

    [[nodiscard]] const process_identity &self() const noexcept { return m_self; }

private:
    process_identity m_self;
    const clock &m_clock;
    std::unordered_map<incarnation_id, peer_link> m_links;
};

/// @brief Converts a time point to a stamp, in microseconds.
[[nodiscard]] std::uint64_t toStamp(time_point time) noexcept;

/// @brief Inverse of toStamp().
[[nodiscard]] time_point fromStamp(std::uint64_t stamp) noexcept;

} // namespace bamboohead
