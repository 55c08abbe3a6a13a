#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead::detail {

// Sessions and retention

inline constexpr duration sessionValidity = std::chrono::minutes{10};
inline constexpr duration outcomeRetention = std::chrono::minutes{20};
/// @brief Longer deadlines are cut to this, which keeps sums of time points in range.
inline constexpr duration maxDeadline = std::chrono::hours{24};
inline constexpr duration answerRetention = std::chrono::seconds{60};

// Liveness and ages (design 2.2)

inline constexpr duration peerTimeout = std::chrono::seconds{2};
inline constexpr duration recordAgeLimit = std::chrono::seconds{2};
inline constexpr duration forwardAgeLimit = std::chrono::seconds{2};
/// @brief Silent peers stay known for this time, so that a short separation needs no new hello.
inline constexpr duration forgetPeerAfter = std::chrono::seconds{60};
/// @brief A gap between two ticks above this means that this process was stopped itself.
inline constexpr duration ownStallLimit = std::chrono::milliseconds{500};
/// @brief After a stall of its own the process waits for fresh echoes before it judges peers.
inline constexpr duration stallGrace = std::chrono::seconds{1};

// Replication and takeover

inline constexpr duration recordAckTimeout = std::chrono::milliseconds{250};
inline constexpr duration scopeResendInterval = std::chrono::milliseconds{250};
inline constexpr duration closeResendInterval = std::chrono::milliseconds{500};
/// @brief How long a refusal waits for the proof that the record is gone.
inline constexpr duration closeConfirmTimeout = std::chrono::milliseconds{500};
inline constexpr duration fenceResendInterval = std::chrono::milliseconds{200};
inline constexpr duration fenceTimeout = std::chrono::seconds{1};
/// @brief A primary that was suspected wrongly would open sessions in the home that it lost.
inline constexpr duration takeoverNoticeInterval = std::chrono::seconds{1};
/// @brief Attempts of the backup start here, above any attempt number of the primary, because
///        agents remember void attempts by (home, job, task, attempt).
inline constexpr std::uint32_t firstBackupAttempt = 1U << 16U;

/// @brief Jobs of a home without usable agents and with a dead backup end after this time. A
///        backup that was only cut off or frozen for less may still answer them.
inline constexpr duration strandedLimit = std::chrono::seconds{10};

// Orders

inline constexpr duration orderSilenceLimit = std::chrono::milliseconds{1500};
/// @brief How long acknowledgements wait for orders to the same agent. Together with the sweep of
///        100 ms it is well below the 500 ms after which the agent repeats its report.
inline constexpr duration ackDelay = std::chrono::milliseconds{150};
inline constexpr duration queryInterval = std::chrono::milliseconds{500};
/// @brief An agent that refused an order gets no further ones for this time; an order sent before
///        its next report would be refused for the same reason.
inline constexpr duration refusalPause = std::chrono::milliseconds{50};

// Forwarding

inline constexpr duration forwardResendInterval = std::chrono::milliseconds{500};
inline constexpr duration homeUnreachableLimit = std::chrono::seconds{3};

// Membership

inline constexpr duration helloInterval = std::chrono::seconds{10};
inline constexpr duration heartbeatInterval = std::chrono::milliseconds{500};
/// @brief The tick comes each 10 ms, so an interval of 500 ms between heartbeats needs this margin.
inline constexpr duration agentHeartbeatInterval = std::chrono::milliseconds{400};
inline constexpr duration memberListInterval = std::chrono::seconds{5};
inline constexpr duration pullInterval = std::chrono::milliseconds{200};
inline constexpr duration sweepInterval = std::chrono::milliseconds{100};
/// @brief Least time between two unscheduled reports of new demand to one agent.
inline constexpr duration demandInterval = std::chrono::milliseconds{20};

// Shutdown

inline constexpr duration homeStoppingInterval = std::chrono::milliseconds{200};
inline constexpr duration homeStoppingTimeout = std::chrono::seconds{2};

} // namespace bamboohead::detail
