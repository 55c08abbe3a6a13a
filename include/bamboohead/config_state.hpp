#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/manifest.hpp"
#include "bamboohead/types.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bamboohead {

/// @brief How long a proof that the configuration is current stays valid.
/// Four missed heartbeats; with 1 s for a store read or a push and 1 s for passing the version on
/// it bounds the time in which a zone that is out may still start tasks.
inline constexpr duration currencyLimit = std::chrono::seconds{2};

/// @brief The configuration that a process holds, and whether it may rely on it.
///
/// Versions only grow: an older version is ignored, wherever it comes from.
class config_state
{
public:
    config_state(std::string zone, const clock &clock);

    /// @brief Takes a version if it is newer than the one held.
    /// @return Whether the version was taken; a malformed manifest is not.
    bool offer(config_version version, const std::string &text);

    /// @brief A store read that was sent at `sentAt` showed `version`.
    void storeConfirmed(config_version version, time_point sentAt);

    /// @brief An entry or agent of `zone` that holds this process's version proved that it lived at
    ///        `echo` (own clock).
    void zoneHeard(const std::string &zone, time_point echo);

    /// @brief A current entry that holds this process's version was heard.
    /// @param echo Own clock's stamp that the entry echoed.
    /// @param proofAge Age of the entry's own proof when it sent the message. It counts against the
    ///        limit, so that proofs passed from process to process do not add up.
    void currentEntryHeard(time_point echo, duration proofAge);

    /// @brief Whether an entry may start tasks: the store confirmed the held version, or processes
    ///        of more than half of the zones were heard, within `currencyLimit`.
    [[nodiscard]] bool entryCurrent() const;

    /// @brief Age of the newest proof that the held version is current.
    /// @return Nothing when there is no proof, or no manifest.
    [[nodiscard]] std::optional<duration> entryProofAge() const;

    /// @brief Whether an agent may start tasks: a current entry was heard within `currencyLimit`.
    [[nodiscard]] bool agentCurrent() const;

    /// @brief Whether the manifest has the zone in service. False while no manifest is held.
    [[nodiscard]] bool zoneIn(const std::string &zone) const;

    /// @brief Whether the local zone is in service.
    [[nodiscard]] bool ownZoneIn() const { return zoneIn(m_zone); }

    [[nodiscard]] config_version version() const noexcept { return m_version; }

    /// @brief The held manifest; empty while none is held.
    [[nodiscard]] const manifest &current() const noexcept { return m_manifest; }

    /// @brief Text of the held manifest, as it is passed on.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

private:
    [[nodiscard]] bool within(const std::optional<time_point> &proof) const;
    [[nodiscard]] std::optional<time_point> mostZonesHeardSince() const;

    std::string m_zone;
    const clock &m_clock;
    config_version m_version = config_version::none;
    manifest m_manifest;
    std::string m_text;
    std::optional<time_point> m_storeProof;
    std::optional<time_point> m_entryProof;
    std::map<std::string, time_point, std::less<>> m_zoneProofs;
};

} // namespace bamboohead
