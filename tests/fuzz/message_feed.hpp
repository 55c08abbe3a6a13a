#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/wire.hpp"
#include "fuzz_targets.hpp"

#include <optional>
#include <string>

namespace bamboohead::fuzz {

/// Fixed incarnations of the peers, so that inputs can name them.
inline constexpr std::uint64_t selfIncarnation = 1;
inline constexpr std::uint64_t peerEntry = 2;
inline constexpr std::uint64_t peerAgent = 11;

inline constexpr const char *feedManifest = R"({
    "zones": {"graz": {"state": "in"}, "linz": {"state": "in"}},
    "services": {"quote": {"weight": 1, "default_deadline_ms": 20000}},
    "teams": {"growers": {"weight": 1, "max_running": 100}}})";

/// How one message of an input is delivered.
enum feed_flag : std::uint8_t {
    flag_addressed = 1, ///< receiver, sender, role and stamp are made right
    flag_from_agent = 2,
    flag_echo = 4, ///< the echo is made right, so the message is fresh
    flag_stop = 8, ///< a stop request comes first
    flag_dump = 16,
};

/// One message of an input.
struct feed_message
{
    std::uint8_t flags = 0;
    duration advance{}; ///< time that passes before the message
    wire::Envelope envelope;
};

/// @brief Reads an input as messages: flags, advance in units of 10 ms, length (2 bytes, least
///        significant first), envelope.
class message_feed
{
public:
    explicit message_feed(input_bytes bytes)
        : m_rest{bytes}
    {}

    /// @return The next message, or nothing at the end; envelopes that do not parse are skipped, as
    ///         the transport does.
    std::optional<feed_message> next(const clock &clock);

private:
    input_bytes m_rest;
};

/// @brief Text of one message in the form that message_feed reads.
std::string feedText(std::uint8_t flags, std::uint8_t advance, const wire::Envelope &envelope);

/// @brief Fills the addresses of an envelope from one of the known peers.
void address(wire::Envelope &envelope, bool fromAgent, bool withEcho, time_point now);

} // namespace bamboohead::fuzz
