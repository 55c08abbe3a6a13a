#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Point in time on the local clock, whose epoch is arbitrary; in microseconds.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/// @brief Time span in microseconds.
using duration = std::chrono::microseconds;

/// @brief Identity of a process from its start to its exit: a random 64-bit number; 0: none. A
///        restarted process has a new incarnation.
enum class incarnation_id : std::uint64_t { none = 0 };

/// @brief Version of the manifest: the revision that the store gave to its newest text. Strictly
///        increasing; 0: none.
enum class config_version : std::uint64_t { none = 0 };

/// @brief Role of an entry in a job's home.
enum class home_owner : std::uint8_t { primary = 1, backup = 2 };

/// @brief The two entry incarnations that are responsible for the jobs of a session. The backup
///        takes over when the primary fails; it may be `none`.
struct job_home
{
    incarnation_id primary = incarnation_id::none;
    incarnation_id backup = incarnation_id::none;

    // False positive of clang-tidy 14: the 0 in the generated comparison is no null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const job_home &) const = default;
};

/// @brief Identity of a session, which a caller opens at the home's primary.
struct session_id
{
    job_home home;
    std::uint64_t value = 0; ///< number of the session at its home

    // False positive of clang-tidy 14: the 0 in the generated comparison is no null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const session_id &) const = default;
};

/// @brief Identity of a job; the caller chooses `number` within its session. Jobs of the commands
///        dispatch-entry and dispatch-agent (see dispatch_settings) have no session, and a
///        batch_job_id instead.
struct job_id
{
    session_id session;
    std::uint64_t number = 0;

    // False positive of clang-tidy 14: the 0 in the generated comparison is no null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const job_id &) const = default;
};

/// @brief Identity of one attempt to start a task of a job on an agent.
struct task_ref
{
    job_id job;
    std::uint32_t task = 0; ///< index of the task in the job
    /// 1 for the first attempt of the home's primary; the backup counts from
    /// detail::firstBackupAttempt.
    std::uint32_t attempt = 0;

    // False positive of clang-tidy 14: the 0 in the generated comparison is no null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const task_ref &) const = default;
};

/// @brief Text form `s1.<primary>.<backup>.<session>`, each number as sixteen hexadecimal digits.
[[nodiscard]] std::string toText(const session_id &id);

/// @brief Text form `j1.<primary>.<backup>.<session>.<number>`; `number` is decimal, the others
///        have sixteen hexadecimal digits.
[[nodiscard]] std::string toText(const job_id &id);

/// @brief Text form of an incarnation: sixteen hexadecimal digits in lower case.
[[nodiscard]] std::string toText(incarnation_id id);

/// @brief Parses the text form of a job id.
/// @return The id, or nothing when the text is malformed.
[[nodiscard]] std::optional<job_id> parseJobId(std::string_view text);

/// @brief Parses the text form of a session id.
/// @return The id, or nothing when the text is malformed.
[[nodiscard]] std::optional<session_id> parseSessionId(std::string_view text);

/// @brief 64-bit hash (XXH3) of an id, the same in every process.
[[nodiscard]] std::uint64_t hashValue(const job_home &home) noexcept;
[[nodiscard]] std::uint64_t hashValue(const job_id &id) noexcept;

} // namespace bamboohead

template <>
struct std::hash<bamboohead::job_home>
{
    std::size_t operator()(const bamboohead::job_home &home) const noexcept
    {
        return bamboohead::hashValue(home);
    }
};

template <>
struct std::hash<bamboohead::job_id>
{
    std::size_t operator()(const bamboohead::job_id &id) const noexcept
    {
        return bamboohead::hashValue(id);
    }
};
