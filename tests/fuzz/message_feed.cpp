#include "message_feed.hpp"

#include <algorithm>

namespace bamboohead::fuzz {

namespace {

constexpr std::size_t headerBytes = 4;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 0xff;
constexpr duration advanceUnit = std::chrono::milliseconds{10};

} // namespace

std::optional<feed_message> message_feed::next(const clock &clock)
{
    while (m_rest.size() >= headerBytes) {
        feed_message message;
        message.flags = m_rest[0];
        message.advance = advanceUnit * m_rest[1];
        const std::size_t statedLength = m_rest[2] | std::size_t{m_rest[3]} << byteBits;
        m_rest = m_rest.subspan(headerBytes);
        const auto length = std::min(statedLength, m_rest.size());
        const bool parsed =
                message.envelope.ParseFromArray(m_rest.data(), static_cast<int>(length));
        m_rest = m_rest.subspan(length);
        if (!parsed) {
            continue;
        }
        if ((message.flags & flag_addressed) != 0) {
            address(message.envelope, (message.flags & flag_from_agent) != 0,
                    (message.flags & flag_echo) != 0, clock.now() + message.advance);
        }
        return message;
    }
    return std::nullopt;
}

std::string encodeFeedMessage(std::uint8_t flags, std::uint8_t advance,
                              const wire::Envelope &envelope)
{
    const auto body = envelope.SerializeAsString();
    std::string text;
    text += static_cast<char>(flags);
    text += static_cast<char>(advance);
    text += static_cast<char>(body.size() & byteMask);
    text += static_cast<char>(body.size() >> byteBits & byteMask);
    return text + body;
}

void address(wire::Envelope &envelope, bool fromAgent, bool withEcho, time_point now)
{
    envelope.set_receiver(selfIncarnation);
    envelope.set_sender(fromAgent ? peerAgent : peerEntry);
    envelope.set_role(fromAgent ? wire::ROLE_AGENT : wire::ROLE_ENTRY);
    envelope.set_endpoint(fromAgent ? "tcp://127.0.0.1:11" : "tcp://127.0.0.1:2");
    envelope.set_zone("linz");
    envelope.set_stamp_us(toStamp(now));
    if (withEcho) {
        envelope.set_echo_us(toStamp(now));
    }
}

} // namespace bamboohead::fuzz
