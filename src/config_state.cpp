#include "bamboohead/config_state.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

namespace bamboohead {

config_state::config_state(std::string zone, const clock &clock)
    : m_zone{std::move(zone)}
    , m_clock{clock}
{}

bool config_state::offer(config_version version, const std::string &text)
{
    if (version <= m_version) {
        return false;
    }
    auto parsed = parseManifest(text);
    if (!std::holds_alternative<manifest>(parsed)) {
        return false;
    }
    m_manifest = std::get<manifest>(std::move(parsed));
    m_version = version;
    m_text = text;
    return true;
}

void config_state::storeConfirmed(config_version version, time_point sentAt)
{
    // A read that returned an older version does not confirm the current one.
    if (version == m_version) {
        m_storeProof = std::max(m_storeProof.value_or(sentAt), sentAt);
    }
}

void config_state::zoneConfirmed(const std::string &zone, time_point echo)
{
    auto &proof = m_zoneProofs[zone];
    proof = std::max(proof, echo);
}

void config_state::entryConfirmed(time_point echo, duration proofAge)
{
    const auto proof = echo - proofAge;
    m_entryProof = std::max(m_entryProof.value_or(proof), proof);
}

bool config_state::entryCurrent() const
{
    const auto age = entryProofAge();
    return age && *age <= maxProofAge;
}

std::optional<duration> config_state::entryProofAge() const
{
    if (m_version == config_version::none) {
        return std::nullopt;
    }
    const auto proof = std::max(m_storeProof, majorityProofTime());
    if (!proof) {
        return std::nullopt;
    }
    return m_clock.now() - *proof;
}

bool config_state::agentCurrent() const
{
    return m_version != config_version::none && within(m_entryProof);
}

time_point config_state::agentProofEnd() const
{
    return m_entryProof ? *m_entryProof + maxProofAge : time_point{};
}

bool config_state::zoneInService(const std::string &zone) const
{
    const auto found = m_manifest.zones.find(zone);
    return found != m_manifest.zones.end() && found->second == zone_state::in;
}

bool config_state::within(const std::optional<time_point> &proof) const
{
    return proof && m_clock.now() - *proof <= maxProofAge;
}

std::optional<time_point> config_state::majorityProofTime() const
{
    std::vector<time_point> proofs;
    std::size_t zonesIn = 0;
    for (const auto &[zone, state] : m_manifest.zones) {
        // A zone that is out of service may have no processes left, so it does not count.
        if (state == zone_state::out) {
            continue;
        }
        ++zonesIn;
        if (zone == m_zone) {
            proofs.push_back(m_clock.now());
        } else if (const auto confirmed = m_zoneProofs.find(zone);
                   confirmed != m_zoneProofs.end()) {
            proofs.push_back(confirmed->second);
        }
    }
    const auto needed = zonesIn / 2 + 1;
    if (proofs.size() < needed) {
        return std::nullopt;
    }
    std::ranges::sort(proofs, std::greater{});
    return proofs[needed - 1];
}

} // namespace bamboohead
