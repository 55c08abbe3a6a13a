#include "bamboohead/dispatch/fleet_member.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"

#include <algorithm>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr duration helloInterval = 500ms; ///< between hellos to a contact that does not answer
constexpr duration pullInterval = 300ms;  ///< between requests for a peer's desired state
/// Maximum age of the newest stamp that a peer has echoed with which it needs no hello. It allows
/// for the loss of one heartbeat at the longest interval.
constexpr duration maxLinkEchoAge = 7s;
constexpr duration silentPeerTimeout = 10s; ///< peers without a message for this long are removed
constexpr std::size_t maxContacts = 64;
/// Bounds the memory for endpoints; more than the entries of the largest fleet.
constexpr std::size_t maxKnownEndpoints = 1'024;
/// Time without a live link after which a contact may be replaced; ten hellos.
constexpr duration contactTrial = 5s;
/// Proofs of a higher age are not sent; above state_reader_limits::maxStartProofAge.
constexpr duration maxSentProofAge = 5s;

} // namespace

fleet_member::fleet_member(process_identity self, const clock &clock)
    : m_clock{clock}
    , m_links{std::move(self), clock}
{}

receive_result fleet_member::receive(const wire::Envelope &envelope)
{
    const auto received = m_links.receive(envelope);
    if (!received.accepted) {
        return received;
    }
    const incarnation_id sender{envelope.sender()};
    switch (envelope.payload_case()) {
    case wire::Envelope::kHello: {
        wire::Envelope answer;
        fillMembers(*answer.mutable_member_list());
        send(sender, std::move(answer));
        break;
    }
    case wire::Envelope::kMemberList:
        addEntryLinks(envelope.member_list());
        break;
    case wire::Envelope::kEntrySync:
        addEntryLinks(envelope.entry_sync());
        handlePeerRevision(sender, envelope.entry_sync().config_version());
        break;
    case wire::Envelope::kDispatchOrders:
        addEntryLinks(envelope.dispatch_orders());
        break;
    case wire::Envelope::kConfigPull:
        if (m_config.revision > envelope.config_pull().held_version()) {
            wire::Envelope answer;
            answer.mutable_config_push()->set_version(m_config.revision);
            answer.mutable_config_push()->set_manifest(encode(m_config));
            send(sender, std::move(answer));
        }
        break;
    case wire::Envelope::kConfigPush:
        if (const auto state = decodeDesiredState(envelope.config_push().manifest())) {
            adopt(*state, toText(sender));
        } else {
            log("config_malformed", {{"peer", toText(sender)}});
        }
        break;
    default:
        break;
    }
    handleProof(envelope, received);
    return received;
}

void fleet_member::handleProof(const wire::Envelope &envelope, const receive_result &received)
{
    // A state with another revision, even a lower one, may differ from this one.
    if (envelope.proof_revision() != 0 && envelope.proof_revision() == m_config.revision &&
        received.age) {
        const auto age = *received.age + std::chrono::milliseconds{envelope.proof_age_ms()};
        proveCurrent(m_config.revision, m_clock.now() - age);
    }
}

void fleet_member::tick()
{
    const auto now = m_clock.now();
    replaceSilentContacts();
    for (auto &[endpoint, each] : m_contacts) {
        if (now - each.lastHello < helloInterval) {
            continue;
        }
        if (hasLiveLink(endpoint)) {
            each.lastLive = now;
        } else {
            each.lastHello = now;
            sendHelloTo(endpoint);
        }
    }
    removeSilentPeers();
}

void fleet_member::sendHelloTo(const std::string &endpoint)
{
    wire::Envelope hello;
    hello.mutable_hello();
    m_links.setHeader(hello, incarnation_id::none);
    m_actions.emplace_back(send_message{endpoint, std::move(hello)});
}

bool fleet_member::hasLiveLink(const std::string &endpoint) const
{
    const auto fresh = [&](const peer_link *peer) {
        return peer->endpoint == endpoint && m_links.alive(peer->incarnation, maxLinkEchoAge);
    };
    return endpoint == self().endpoint ||
           std::ranges::any_of(m_links.peers(wire::ROLE_ENTRY), fresh) ||
           std::ranges::any_of(m_links.peers(wire::ROLE_AGENT), fresh);
}

void fleet_member::removeSilentPeers()
{
    std::vector<incarnation_id> gone;
    for (const auto role : {wire::ROLE_ENTRY, wire::ROLE_AGENT}) {
        for (const auto *const peer : m_links.peers(role)) {
            const auto lastSeen = std::max(peer->added, peer->lastArrival);
            if (m_clock.now() - lastSeen >= silentPeerTimeout) {
                gone.push_back(peer->incarnation);
            }
        }
    }
    for (const auto peer : gone) {
        log("peer_forgotten", {{"peer", toText(peer)}, {"endpoint", m_links.find(peer)->endpoint}});
        m_links.remove(peer);
        m_lastPulls.erase(peer);
    }
}

void fleet_member::addContacts(const std::vector<std::string> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        if (endpoint != self().endpoint) {
            std::erase(m_knownEndpoints, endpoint);
            m_knownEndpoints.push_front(endpoint);
        }
    }
    m_knownEndpoints.resize(std::min(m_knownEndpoints.size(), maxKnownEndpoints));
    m_nextKnown = 0;
    while (m_contacts.size() < std::min(maxContacts, m_knownEndpoints.size())) {
        addNextContact();
    }
}

/// Contacts the next known endpoint that is not contacted yet; there has to be one.
void fleet_member::addNextContact()
{
    while (m_contacts.contains(m_knownEndpoints[m_nextKnown % m_knownEndpoints.size()])) {
        ++m_nextKnown;
    }
    m_contacts.emplace(m_knownEndpoints[m_nextKnown % m_knownEndpoints.size()],
                       contact{{}, m_clock.now()});
    ++m_nextKnown;
}

/// The endpoints of a list may belong to no process; with more of them than `maxContacts`, the
/// others would never be tried.
void fleet_member::replaceSilentContacts()
{
    if (m_knownEndpoints.size() <= m_contacts.size()) {
        return;
    }
    const auto removed = std::erase_if(m_contacts, [&](const auto &item) {
        return m_clock.now() - item.second.lastLive >= contactTrial;
    });
    for (std::size_t i = 0; i < removed; ++i) {
        addNextContact();
    }
}

bool fleet_member::adopt(const desired_state &newer, std::string_view source)
{
    if (newer.revision <= m_config.revision) {
        return false;
    }
    if (newer.revision <= m_readRevision) {
        // The peer holds an older state. With the higher revision it will request this one.
        m_config.revision = m_readRevision;
        return false;
    }
    replace(merge(newer, source), source);
    return true;
}

bool fleet_member::adoptFromStore(const desired_state &read)
{
    constexpr std::string_view source = "store";
    if (read.revision <= std::max(m_config.revision, m_readRevision)) {
        return false;
    }
    const auto state = merge(read, source);
    if (m_config.revision != 0 && state.sameContent(m_config)) {
        m_readRevision = read.revision;
        return false;
    }
    replace(state, source);
    return true;
}

desired_state fleet_member::merge(const desired_state &newer, std::string_view source)
{
    if (newer.version != 0 || m_config.version == 0) {
        return newer;
    }
    log("config_without_version", {{"revision", std::to_string(newer.revision)},
                                   {"kept_version", std::to_string(m_config.version)},
                                   {"source", std::string{source}}});
    auto state = m_config;
    state.revision = newer.revision;
    state.zonesOut = newer.zonesOut;
    return state;
}

void fleet_member::replace(const desired_state &state, std::string_view source)
{
    if (state.version != m_config.version || state.zonesOut != m_config.zonesOut) {
        std::string zones;
        for (const auto &zone : state.zonesOut) {
            zones += (zones.empty() ? "" : ",") + zone;
        }
        log("config_in_force", {{"version", std::to_string(state.version)},
                                {"revision", std::to_string(state.revision)},
                                {"routes", std::to_string(state.routes.size())},
                                {"zones_out", zones},
                                {"source", std::string{source}}});
    }
    m_droppedRoutes.update(m_config.routes, state.routes);
    m_config = state;
}

bool fleet_member::proveCurrent(std::uint64_t revision, time_point at)
{
    if (revision == 0 || std::max(m_config.revision, m_readRevision) < revision) {
        return false;
    }
    m_proof = std::max(m_proof.value_or(at), at);
    return true;
}

std::optional<duration> fleet_member::proofAge() const
{
    return m_proof ? std::optional{m_clock.now() - *m_proof} : std::nullopt;
}

void fleet_member::handlePeerRevision(incarnation_id peer, std::uint64_t revision)
{
    if (revision <= m_config.revision) {
        return;
    }
    auto &lastPull = m_lastPulls[peer];
    if (m_clock.now() - lastPull >= pullInterval) {
        lastPull = m_clock.now();
        wire::Envelope pull;
        pull.mutable_config_pull()->set_held_version(m_config.revision);
        send(peer, std::move(pull));
    }
}

void fleet_member::send(incarnation_id receiver, wire::Envelope envelope)
{
    if (const auto *const peer = m_links.find(receiver)) {
        m_links.setHeader(envelope, receiver);
        if (const auto age = proofAge(); age && *age <= maxSentProofAge) {
            envelope.set_proof_revision(m_config.revision);
            envelope.set_proof_age_ms(toMilliseconds(*age) + 1); // rounded up
        }
        m_actions.emplace_back(send_message{peer->endpoint, std::move(envelope)});
    }
}

void fleet_member::log(std::string name, std::vector<std::pair<std::string, std::string>> fields)
{
    m_actions.emplace_back(log_event{std::move(name), std::move(fields)});
}

void fleet_member::addMember(wire::Member &out, incarnation_id incarnation,
                             const std::string &endpoint, const std::string &zone)
{
    out.set_incarnation(static_cast<std::uint64_t>(incarnation));
    out.set_endpoint(endpoint);
    out.set_zone(zone);
}

} // namespace bamboohead
