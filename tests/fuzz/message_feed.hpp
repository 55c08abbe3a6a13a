#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/wire.hpp"
#include "fuzz_targets.hpp"

#include <optional>
#include <string>

namespace bamboohead::fuzz {

/// Incarnations of the process under test and its peers, fixed so that inputs can name them.
inline constexpr std::uint64_t selfIncarnation = 1;
inline constexpr std::uint64_t peerEntry = 2;
inline constexpr std::uint64_t peerAgent = 11;

/// Manifest of the process under test, version 1, with all zones in.
inline constexpr const char *testManifest = R"({
    "zones": {"graz": {"state": "in"}, "linz": {"state": "in"}},
    "services": {"quote": {"weight": 1, "default_deadline_ms": 20000}},
    "teams": {"growers": {"weight": 1, "max_running": 100}}})";

/// Bits of a message's flags byte, which determine how the message is delivered.
enum feed_flag : std::uint8_t {
    /// Valid values replace the receiver, sender, role, endpoint, zone and stamp.
    flag_addressed = 1,
    /// With flag_addressed: the sender is the peer agent; without this flag, the peer entry.
    flag_from_agent = 2,
    /// With flag_addressed: the echo is the present time, so the message is fresh.
    flag_echo = 4,
    /// A graceful stop is requested before the message.
    flag_stop = 8,
    /// For an entry: its dump is checked after the message. For an agent without flag_stop: its
    /// target announces itself before the message.
    flag_dump_or_announce = 16,
};

/// One message of an input.
struct feed_message
{
    std::uint8_t flags = 0;
    duration advance{}; ///< simulated time before the message, 0 to 2.55 s
    wire::Envelope envelope;
};

/// @brief Reads an input as a sequence of messages. Each has 1 byte of flags (feed_flag), 1 byte of
///        advance in units of 10 ms, 2 bytes of length (little-endian) and the envelope in protobuf
///        format; the length of the last message is reduced to the remaining bytes.
class message_feed
{
public:
    explicit message_feed(input_bytes bytes)
        : m_rest{bytes}
    {}

    /// @return The next message; none at the end. Envelopes that cannot be parsed are skipped, as
    ///         in the transport.
    std::optional<feed_message> next(const clock &clock);

private:
    input_bytes m_rest;
};

/// @brief Encodes one message in the format that message_feed reads.
/// @param advance In units of 10 ms.
std::string encodeFeedMessage(std::uint8_t flags, std::uint8_t advance,
                              const wire::Envelope &envelope);

/// @brief Sets the receiver, sender, role, endpoint, zone and stamp of an envelope as if the peer
///        entry, or the peer agent, had sent it at `now` to the process under test.
/// @param withEcho Whether to set the echo to `now`; otherwise it is left as it is.
void address(wire::Envelope &envelope, bool fromAgent, bool withEcho, time_point now);

} // namespace bamboohead::fuzz
