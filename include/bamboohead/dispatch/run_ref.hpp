#pragma once

#include "bamboohead/wire.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Id of a job, chosen by its caller.
///
/// The types batch_job_id, batch_task, batch_step and batch_submission belong to dispatch_entry and
/// dispatch_agent, whose jobs consist of dependent steps and have no session. The entry_core and
/// agent_core use job_id and task_ref for jobs of a session.
enum class batch_job_id : std::uint64_t {};

/// @brief One task of a step of a job.
struct batch_task
{
    batch_job_id job{};
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    // False positive of clang-tidy 14: the 0 in the generated comparison is no null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const batch_task &) const = default;
};

/// @brief One run of a task: its ordered execution on a target. A task that is ordered again, also
///        after a refusal, gets a new run. The first run has number 1.
struct run_ref
{
    batch_task task;
    std::uint32_t run = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const run_ref &) const = default;
};

/// @brief Length of the text form of a batch_job_id.
inline constexpr std::size_t batchJobIdDigits = 16;

/// @brief Text form of an id: sixteen hexadecimal digits in lower case.
[[nodiscard]] std::string toText(batch_job_id id);

/// @brief Text form `<job>.<step>.<index>#<run>`, for log lines.
[[nodiscard]] std::string toText(const run_ref &ref);

/// @brief Parses sixteen hexadecimal digits in lower case.
/// @return The id, or nothing when the text has another form.
[[nodiscard]] std::optional<batch_job_id> parseBatchJobId(std::string_view text);

/// @brief Conversions to and from the protobuf form.
/// @{
[[nodiscard]] run_ref fromWire(const wire::RunRef &ref);
void toWire(const run_ref &ref, wire::RunRef &out);
/// @}

} // namespace bamboohead

template <>
struct std::hash<bamboohead::batch_job_id>
{
    std::size_t operator()(bamboohead::batch_job_id id) const noexcept
    {
        return std::hash<std::uint64_t>{}(static_cast<std::uint64_t>(id));
    }
};
