#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead::schedule {

/// @brief What goes wrong in a run.
enum class run_kind : std::uint8_t {
    mixed,        ///< many kinds of faults at once
    calm,         ///< nothing: each job is complete
    entry_killed, ///< each job whose record could reach the backup is complete
    lossy,        ///< loss and short delays: no unknown outcome
    entry_stopped,
    agent_stopped,
    zone_out, ///< a zone is taken out while it is cut off or some of it is frozen
};

[[nodiscard]] std::string_view toText(run_kind kind) noexcept;

/// @brief What a run found.
struct run_result
{
    std::vector<std::string> violations;
    std::size_t jobs = 0;
    std::size_t complete = 0;
    std::size_t unknown = 0;
    std::size_t refused = 0;
    std::size_t starts = 0;
};

/// @brief Runs one seed. Equal arguments give equal runs.
/// @param trace Prints the events of the run.
[[nodiscard]] run_result runSchedule(run_kind kind, std::uint64_t seed, bool trace = false);

} // namespace bamboohead::schedule
