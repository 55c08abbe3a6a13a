#pragma once

#include "bamboohead/error_kind.hpp"
#include "bamboohead/types.hpp"
#include "bamboohead/wire.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace bamboohead {

inline constexpr std::size_t maxTasksPerJob = 1200;
inline constexpr std::size_t maxPayloadBytes = 4096;
inline constexpr std::uint32_t maxSlotsPerTarget = 256;
inline constexpr std::size_t maxBodyBytes = std::size_t{8} << 20U;

/// @brief 128-bit xxHash of a job's content, without its id.
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
    duration deadline{}; ///< time left when the entry received it; 0 means the service's default
    bool idempotent = false;
    std::vector<std::string> payloads; ///< one a task, 1 to 1,200, at most 4 KB each
    content_hash hash;
};

/// @brief State of a job as its caller sees it.
enum class job_outcome : std::uint8_t { pending, complete, failed, refused };

/// @brief Answer to a caller. `results` is empty unless the outcome is complete.
struct job_answer
{
    job_id id;
    job_outcome outcome = job_outcome::pending;
    error_kind error = error_kind::none;
    std::string message;
    bool mayHaveRun = false;
    std::vector<std::string> results; ///< one a task, in the order of the submission
};

/// @brief Name of an outcome as it appears in answers and logs.
[[nodiscard]] std::string_view toText(job_outcome outcome) noexcept;

/// @brief Whether a job received from a peer has an allowed number of tasks and payloads of an
///        allowed size.
[[nodiscard]] bool withinLimits(const wire::JobSubmission &job);

/// @brief Hash over team, service, deadline, idempotence and payloads.
[[nodiscard]] content_hash hashContent(const job_submission &job);

/// @brief Builds an answer that carries an error; the kind decides outcome, message and evidence.
[[nodiscard]] job_answer errorAnswer(const job_id &id, error_kind kind);

/// @brief Conversions to and from the protobuf form.
/// @{
void toWire(const job_submission &job, wire::JobSubmission &out);
[[nodiscard]] job_submission fromWire(const wire::JobSubmission &job);
void toWire(const job_answer &answer, wire::JobAnswer &out);
/// An answer that contradicts itself is read as failed; only a complete answer keeps its results.
[[nodiscard]] job_answer fromWire(const wire::JobAnswer &answer);
/// @}

} // namespace bamboohead
