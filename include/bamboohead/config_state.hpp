#pragma once

#include "bamboohead/clock.hpp"
#include "bamboohead/manifest.hpp"
#include "bamboohead/types.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bamboohead {

/// @brief Maximum age of a proof that the configuration is current: the time of four heartbeats.
///
/// The sum of this limit, 1 s for a store read or a push and 1 s for forwarding the version to
/// other processes bounds the time during which a zone that was taken out of service may still
/// start tasks.
inline constexpr duration maxProofAge = std::chrono::seconds{2};

/// @brief The configuration of a process, and the proofs that it is current.
///
/// A proof is a point in time, on the local clock, at which the store or other processes are known
/// to have had the version that was held here when the proof was recorded. Versions only increase:
/// an older version is ignored, whatever its source.
class config_state
{
public:
    /// @param zone Zone of the local process.
    config_state(std::string zone, const clock &clock);

    /// @brief Replaces the manifest if the version is newer and the text is a valid manifest. The
    ///        proofs recorded for the replaced version are kept.
    /// @return Whether the manifest was replaced.
    bool offer(config_version version, const std::string &text);

    /// @brief Records that a store read sent at `sentAt` returned `version`. Has no effect unless
    ///        this is the version held.
    void storeConfirmed(config_version version, time_point sentAt);

    /// @brief Records that an entry or agent of `zone` with the same version was alive at `echo`.
    /// @param echo Stamp of the local clock that the process has echoed.
    void zoneConfirmed(const std::string &zone, time_point echo);

    /// @brief Records a message of an entry that has the same version and a proof that it is
    ///        current.
    /// @param echo Stamp of the local clock that the entry has echoed.
    /// @param proofAge Age of the entry's own proof when it sent the message. It is added to the
    ///        age of the echo, so that forwarding a proof from process to process does not extend
    ///        it.
    void entryConfirmed(time_point echo, duration proofAge);

    /// @brief Whether an entry may start tasks: the store's newest proof, or the time at or after
    ///        which more than half of the zones in service have a proof, is not older than
    ///        `maxProofAge`. The local zone, if it is in service, counts as having one now.
    [[nodiscard]] bool entryCurrent() const;

    /// @brief Age of an entry's newest proof that its version is current.
    /// @return Nothing when there is no proof, or no manifest.
    [[nodiscard]] std::optional<duration> entryProofAge() const;

    /// @brief Whether an agent may start tasks: the newest proof received from an entry is not
    ///        older than `maxProofAge`.
    [[nodiscard]] bool agentCurrent() const;

    /// @brief Time until which agentCurrent() holds without a newer proof. The epoch when there is
    ///        no proof.
    [[nodiscard]] time_point agentProofEnd() const;

    /// @brief Whether the zone is in service according to the manifest; false without a manifest.
    [[nodiscard]] bool zoneInService(const std::string &zone) const;

    /// @brief Whether the local zone is in service.
    [[nodiscard]] bool ownZoneInService() const { return zoneInService(m_zone); }

    /// @brief Version of the manifest; none before the first one.
    [[nodiscard]] config_version version() const noexcept { return m_version; }

    /// @brief The manifest that is held; empty before the first one. entryCurrent() and
    ///        agentCurrent() return whether it is proven to be up to date.
    [[nodiscard]] const manifest &heldManifest() const noexcept { return m_manifest; }

    /// @brief Text of the manifest, as it is sent to other processes; empty before the first one.
    [[nodiscard]] const std::string &text() const noexcept { return m_text; }

private:
    /// Whether there is a proof and it is not older than the limit.
    [[nodiscard]] bool within(const std::optional<time_point> &proof) const;
    /// Latest time such that more than half of the zones in service have a proof at or after it;
    /// none when too few zones have a proof. The local zone, if it is in service, counts as having
    /// one now.
    [[nodiscard]] std::optional<time_point> majorityProofTime() const;

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
