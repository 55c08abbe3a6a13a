#include "bamboohead/link_table.hpp"

#include <algorithm>
#include <utility>

namespace bamboohead {

link_table::link_table(process_identity self, const clock &clock)
    : m_self{std::move(self)}
    , m_clock{clock}
{}

receive_result link_table::receive(const wire::Envelope &envelope)
{
    receive_result received;
    const incarnation_id receiver{envelope.receiver()};
    if (receiver != incarnation_id::none && receiver != m_self.incarnation) {
        return received;
    }
    // An echo is one of this process's own stamps, so an echo from the future is invalid. If it
    // were accepted, the peer would count as alive until that time, and the proofs in its messages
    // that the configuration is current would be taken as newer than they are.
    if (envelope.echo_us() > toStamp(m_clock.now())) {
        return received;
    }
    received.accepted = true;
    const incarnation_id sender{envelope.sender()};
    received.firstContact = !m_links.contains(sender);
    auto &peer = m_links[sender];
    if (received.firstContact) {
        peer.incarnation = sender;
        peer.added = m_clock.now();
    }
    peer.endpoint = envelope.endpoint();
    peer.role = envelope.role();
    peer.zone = envelope.zone();
    peer.lastArrival = m_clock.now();
    peer.newestStamp = std::max(peer.newestStamp, envelope.stamp_us());
    if (envelope.echo_us() != 0) {
        const auto echo = fromStamp(envelope.echo_us());
        if (!peer.newestEcho) {
            peer.firstEcho = m_clock.now();
        }
        received.age = m_clock.now() - echo;
        peer.newestEcho = std::max(peer.newestEcho.value_or(echo), echo);
    }
    return received;
}

void link_table::add(incarnation_id peer, const std::string &endpoint, wire::Role role,
                     const std::string &zone)
{
    if (peer == m_self.incarnation || m_links.contains(peer)) {
        return;
    }
    peer_link added;
    added.incarnation = peer;
    added.endpoint = endpoint;
    added.role = role;
    added.zone = zone;
    added.added = m_clock.now();
    m_links.emplace(peer, std::move(added));
}

void link_table::remove(incarnation_id peer)
{
    m_links.erase(peer);
}

void link_table::setHeader(wire::Envelope &envelope, incarnation_id receiver) const
{
    envelope.set_sender(static_cast<std::uint64_t>(m_self.incarnation));
    envelope.set_receiver(static_cast<std::uint64_t>(receiver));
    envelope.set_endpoint(m_self.endpoint);
    envelope.set_role(m_self.role);
    envelope.set_zone(m_self.zone);
    envelope.set_stamp_us(toStamp(m_clock.now()));
    const auto *peer = find(receiver);
    envelope.set_echo_us(peer == nullptr ? 0 : peer->newestStamp);
}

bool link_table::alive(incarnation_id peer, duration limit) const
{
    const auto *known = find(peer);
    if (known == nullptr || !known->newestEcho) {
        return false;
    }
    return m_clock.now() - *known->newestEcho <= limit;
}

bool link_table::silent(incarnation_id peer, duration limit) const
{
    const auto *known = find(peer);
    if (known == nullptr || !alive(peer, 2 * limit)) {
        return true;
    }
    return !alive(peer, limit) && m_clock.now() - known->lastArrival > limit / 2;
}

const peer_link *link_table::find(incarnation_id peer) const
{
    const auto found = m_links.find(peer);
    return found == m_links.end() ? nullptr : &found->second;
}

std::vector<const peer_link *> link_table::peers(wire::Role role) const
{
    std::vector<const peer_link *> found;
    for (const auto &[incarnation, peer] : m_links) {
        if (peer.role == role) {
            found.push_back(&peer);
        }
    }
    std::ranges::sort(found, {}, &peer_link::incarnation);
    return found;
}

std::uint64_t toStamp(time_point time) noexcept
{
    return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

time_point fromStamp(std::uint64_t stamp) noexcept
{
    return time_point{duration{static_cast<duration::rep>(stamp)}};
}

} // namespace bamboohead
