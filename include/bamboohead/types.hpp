#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Time since an arbitrary start of the local steady clock.
using time_point = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
using duration = std::chrono::microseconds;

/// @brief One run of a process: a random 64-bit number, 0 means none.
enum class incarnation_id : std::uint64_t { none = 0 };

/// @brief Revision of the manifest in the store; grows only.
enum class config_version : std::uint64_t { none = 0 };

/// @brief Which of the two entries of a home sent an order.
enum class home_owner : std::uint8_t { primary = 1, backup = 2 };

/// @brief The two entry incarnations that own the jobs of a session.
struct job_home
{
    incarnation_id primary = incarnation_id::none;
    incarnation_id backup = incarnation_id::none;

    // clang-tidy 14 takes a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const job_home &) const = default;
};

/// @brief A session opened by a caller at the home's primary.
struct session_id
{
    job_home home;
    std::uint64_t value = 0;

    // clang-tidy 14 takes a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const session_id &) const = default;
};

/// @brief Identity of a job; the caller chooses `number` inside its session.
struct job_id
{
    session_id session;
    std::uint64_t number = 0;

    // clang-tidy 14 takes a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const job_id &) const = default;
};

/// @brief One attempt to start one task of a job on one agent.
struct task_ref
{
    job_id job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    // clang-tidy 14 takes a defaulted comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const task_ref &) const = default;
};

/// @brief Text form `s1.<primary>.<backup>.<session>`, numbers in hexadecimal.
[[nodiscard]] std::string toText(const session_id &id);

/// @brief Text form `j1.<primary>.<backup>.<session>.<number>`; `number` is decimal, the rest
///        hexadecimal.
[[nodiscard]] std::string toText(const job_id &id);

/// @brief Sixteen hexadecimal digits.
[[nodiscard]] std::string toText(incarnation_id id);

/// @brief Parses the text form of a job id.
/// @return The id, or nothing when the text is malformed.
[[nodiscard]] std::optional<job_id> parseJobId(std::string_view text);

/// @brief Parses the text form of a session id.
/// @return The id, or nothing when the text is malformed.
[[nodiscard]] std::optional<session_id> parseSessionId(std::string_view text);

/// @brief Stable 64-bit hash (xxHash) of an id, the same in every process.
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
