#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bamboohead::schedule {

/// @brief Kind of the faults in a run, and the outcome that its jobs must have.
enum class run_kind : std::uint8_t {
    mixed,         ///< many kinds of faults at once; any outcome
    calm,          ///< no faults; each job completes
    entry_killed,  ///< an entry is killed; each job whose record could reach the backup completes
    lossy,         ///< messages are lost, duplicated or delayed by up to 200 ms; each job completes
    entry_stopped, ///< an entry is stopped gracefully; each job that was accepted completes
    agent_stopped, ///< an agent is stopped gracefully; each job completes
    zone_out,      ///< a zone is taken out while isolated or with an agent suspended; any outcome
};

/// @brief Name of a kind of runs, as in the test cases.
[[nodiscard]] std::string_view toText(run_kind kind) noexcept;

/// @brief Violations of invariants in a run, and the numbers of its jobs by outcome.
struct run_result
{
    std::vector<std::string> violations;
    std::size_t jobs = 0;
    std::size_t complete = 0;
    std::size_t unknown = 0; ///< jobs whose last answer says that the outcome is unknown
    std::size_t refused = 0;
    std::size_t starts = 0; ///< tasks that were started
};

/// @brief Simulates the run of one seed. Equal arguments give equal runs.
/// @param trace Whether to print the events of the run.
[[nodiscard]] run_result runSchedule(run_kind kind, std::uint64_t seed, bool trace = false);

} // namespace bamboohead::schedule
