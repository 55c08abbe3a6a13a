#pragma once

#include "bamboohead/types.hpp"

namespace bamboohead::detail {

// Sessions and retention

/// @brief Time after its opening in which a session accepts new jobs.
inline constexpr duration sessionValidity = std::chrono::minutes{10};
/// @brief How long a session is kept with the outcomes of its jobs, and a home after its last use.
inline constexpr duration outcomeRetention = std::chrono::minutes{20};
/// @brief Upper bound of deadlines and run times. Longer ones are cut to it, which keeps sums of
///        time points in range.
inline constexpr duration maxDeadline = std::chrono::hours{24};
/// @brief How long the answer of an ended job is kept.
inline constexpr duration answerRetention = std::chrono::seconds{60};

// Liveness of peers and age of messages (docs/design.md, 2.2)

/// @brief Age of the newest echo of an own timestamp up to which a peer counts as alive. Each
///        message echoes the newest timestamp that its sender has received from its receiver, so an
///        echo proves that the peer was alive after that time.
inline constexpr duration peerTimeout = std::chrono::seconds{2};
/// @brief Records and scope updates above this age are dropped by the backup.
inline constexpr duration recordAgeLimit = std::chrono::seconds{2};
/// @brief Forwarded submissions above this age are dropped.
inline constexpr duration forwardAgeLimit = std::chrono::seconds{2};
/// @brief How long a peer that echoes nothing stays known, so that a short network partition needs
///        no new hello.
inline constexpr duration peerRetention = std::chrono::seconds{60};
/// @brief Gap between two ticks above which this process itself counts as suspended or not
///        scheduled.
inline constexpr duration selfStallThreshold = std::chrono::milliseconds{500};
/// @brief How long after a stall of this process no peer is considered failed, so that fresh echoes
///        can arrive first.
inline constexpr duration stallGrace = std::chrono::seconds{1};

// Replication and takeover

/// @brief How long a job waits for the backup to acknowledge its record before it starts without
///        the acknowledgement.
inline constexpr duration recordAckTimeout = std::chrono::milliseconds{250};
inline constexpr duration scopeResendInterval = std::chrono::milliseconds{250};
/// @brief Interval at which a close (the report of a job's answer to the backup) is resent.
inline constexpr duration closeResendInterval = std::chrono::milliseconds{500};
/// @brief How long a job that is to be answered "not run" waits for the backup to acknowledge its
///        close, which proves that the backup won't resume it. Without the acknowledgement the
///        answer is that the job may have run.
inline constexpr duration closeConfirmTimeout = std::chrono::milliseconds{500};
inline constexpr duration fenceResendInterval = std::chrono::milliseconds{200};
/// @brief How long a takeover waits for the fence reports of all agents of the scope.
inline constexpr duration fenceTimeout = std::chrono::seconds{1};
/// @brief Interval between notices of a takeover to a primary that is alive. A primary that was
///        wrongly considered failed would otherwise go on to open sessions in the home that it has
///        lost.
inline constexpr duration takeoverNoticeInterval = std::chrono::seconds{1};
/// @brief First attempt number of the backup, above any attempt number of the primary. Agents store
///        void attempts, which must never start, by (home, job, task, attempt), so an attempt of
///        the backup must not have the number of a void attempt of the primary.
inline constexpr std::uint32_t firstBackupAttempt = 1U << 16U;

/// @brief Time after which waiting jobs end when no agent is usable in their home and its backup is
///        not alive. A backup that was paused or partitioned for less than this can still
///        acknowledge agents, so that the jobs run.
inline constexpr duration unschedulableTimeout = std::chrono::seconds{10};

// Orders

/// @brief Time without an update on an order after which its agent is queried.
inline constexpr duration orderSilenceLimit = std::chrono::milliseconds{1500};
/// @brief How long acknowledgements wait for orders to the same agent. Together with the sweep of
///        100 ms it is well below the 500 ms after which the agent repeats its report.
inline constexpr duration ackDelay = std::chrono::milliseconds{150};
/// @brief Interval between repeated queries about an order.
inline constexpr duration queryInterval = std::chrono::milliseconds{500};
/// @brief How long an agent that refused an order gets no further ones. An order sent before its
///        next report would be refused for the same reason.
inline constexpr duration refusalPause = std::chrono::milliseconds{50};

// Forwarding

inline constexpr duration forwardResendInterval = std::chrono::milliseconds{500};
/// @brief How long a request waits for a reachable entry of its job's home before it fails.
inline constexpr duration homeUnreachableLimit = std::chrono::seconds{3};

// Membership

/// @brief Interval between hellos to the seeds, the configured endpoints of entries. A hello
///        requests the member list.
inline constexpr duration entryHelloInterval = std::chrono::seconds{10};
/// @brief Interval between heartbeats to another entry.
inline constexpr duration entryHeartbeatInterval = std::chrono::milliseconds{500};
/// @brief Time after the last heartbeat from which the next one to an agent is due. The margin
///        below 500 ms keeps the actual interval within 500 ms although it is checked only once per
///        sweepInterval.
inline constexpr duration agentHeartbeatInterval = std::chrono::milliseconds{400};
/// @brief Interval at which one of the other entries, in turn, is sent the whole member list.
inline constexpr duration memberListInterval = std::chrono::seconds{5};
/// @brief Minimum time between two requests for a newer configuration.
inline constexpr duration entryPullInterval = std::chrono::milliseconds{200};
/// @brief Interval of the checks of all peers and of orders without updates. primary_replication
///        checks its homes at half of this interval.
inline constexpr duration sweepInterval = std::chrono::milliseconds{100};
/// @brief Minimum time between two unscheduled reports of new demand to the agents.
inline constexpr duration demandInterval = std::chrono::milliseconds{20};

// Shutdown

/// @brief Interval at which a stopping entry repeats the handover of its homes to their backups.
inline constexpr duration handoverResendInterval = std::chrono::milliseconds{200};
/// @brief How long a stopping entry waits for its backups to acknowledge the handover of its homes.
inline constexpr duration handoverTimeout = std::chrono::seconds{2};

} // namespace bamboohead::detail
