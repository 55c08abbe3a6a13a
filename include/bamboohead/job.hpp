#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohead {

/// @brief Maximum number of tasks of a job.
inline constexpr std::size_t maxTasksPerJob = 1200;
/// @brief Maximum size of the payload of one task.
inline constexpr std::size_t maxPayloadBytes = 4096;
/// @brief Maximum number of slots, the tasks that run at once, that a target may announce.
inline constexpr std::uint32_t maxSlotsPerTarget = 256;
/// @brief Maximum size of the body of an HTTP request, 8 MiB.
inline constexpr std::size_t maxBodyBytes = std::size_t{8} << 20U;

/// @brief 128-bit xxHash of a job's content, which excludes its id.
struct content_hash
{
    std::uint64_t low = 0;
    std::uint64_t high = 0;

    auto operator<=>(const content_hash &) const = default;
};

/// @brief A job as a caller submits it.
struct job_submission
{
    job_id id;
    std::string team;
    std::string service;
    /// Time left at receipt by the entry, which cuts it to 24 hours; 0 means the service's default.
    duration deadline{};
    /// Part of the content hash, and sent with each start order, but no decision depends on it.
    bool idempotent = false;
    std::vector<std::string> payloads; ///< one per task; 1 to 1,200, at most 4 KiB each
    content_hash hash;                 ///< all zero: not set; see entry_core::submit()
};

/// @brief State of a job as reported to its caller.
enum class job_outcome : std::uint8_t {
    pending,  ///< has not ended
    complete, ///< all tasks are done and all results are known
    failed,   ///< ended without all results; see job_answer::mayHaveRun
    refused   ///< was not accepted, or ended, without any of its tasks having run
};

/// @brief Answer to a caller.
struct job_answer
{
    job_id id;
    job_outcome outcome = job_outcome::pending;
    error_kind error = error_kind::none;
    std::string message;
    bool mayHaveRun = false;          ///< whether tasks of the job may have run
    std::vector<std::string> results; ///< one per task, in order; empty unless complete
};

/// @brief Name of an outcome as written in answers and logs.
[[nodiscard]] std::string_view toText(job_outcome outcome) noexcept;

/// @brief Whether a job received from a peer is within the limits: 1 to 1,200 tasks, each with a
///        payload of at most 4 KiB.
[[nodiscard]] bool withinLimits(const wire::JobSubmission &job);

/// @brief Hashes the job's team, service, deadline, idempotence and payloads.
[[nodiscard]] content_hash hashContent(const job_submission &job);

/// @brief Builds an answer that reports an error. The error kind determines the outcome, the
///        message and `mayHaveRun`.
/// @param kind Must not be `none`, which would give a refusal with the message "no error".
[[nodiscard]] job_answer errorAnswer(const job_id &id, error_kind kind);

/// @brief Conversions to and from the protobuf messages.
/// @{
void toWire(const job_submission &job, wire::JobSubmission &out);
[[nodiscard]] job_submission fromWire(const wire::JobSubmission &job);
void toWire(const job_answer &answer, wire::JobAnswer &out);
/// An inconsistent answer (unknown outcome, or refused although tasks may have run) becomes failed;
/// results are kept only in a complete answer.
[[nodiscard]] job_answer fromWire(const wire::JobAnswer &answer);
/// @}

} // namespace bamboohead
