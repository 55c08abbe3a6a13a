#pragma once

#include "bamboohead/clock.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>

namespace bamboohead {

/// @brief What a process has use for the desired state for, in ascending order of urgency.
enum class state_use : std::uint8_t {
    none,
    zone_return,    ///< its zone is out of service, and may be taken back
    starts,         ///< it starts tasks
    waiting_starts, ///< tasks wait until the desired state is known to be current
};

/// @brief Ages and intervals of a state_reader.
///
/// A proof is the newest time at which the store is known to have had no newer desired state.
struct state_reader_limits
{
    /// Age of the proof from which the process reads the store itself. Above the age of proofs that
    /// entries send while they reach the store: about 2 s to an agent without runs.
    duration maxProofAge = std::chrono::milliseconds{2'500};
    /// The same for the use `zone_return`, which has no time limit.
    duration maxIdleProofAge = std::chrono::seconds{5};
    /// Age of the proof from which no task starts before a read has succeeded or failed. With
    /// `store_follower_limits::watchWait`, by which a proof may be too optimistic, and the time of
    /// a start it stays below the 5 s within which an evacuation has to be in force.
    duration maxStartProofAge = std::chrono::milliseconds{3'500};
    /// Shortest and longest time over which the reads of the fleet's agents are spread.
    duration minWindow = std::chrono::milliseconds{300};
    duration maxWindow = std::chrono::seconds{30};
    /// Longest delay of a read for which a task waits.
    duration maxWaitingDelay = std::chrono::seconds{1};
    /// Number of failed reads in a row after which tasks start without a proof: a store that
    /// answers nobody does not acknowledge an evacuation either.
    std::uint32_t failuresToStart = 2;
    /// Delay from the first failure to the next read.
    duration firstRetryDelay = std::chrono::milliseconds{50};
    /// Delay from a later failure to the next read, without the spread.
    duration retryDelay = std::chrono::seconds{2};
    /// Time after the next read is due for which the failures count: the timeout of a read.
    duration maxReadTime = std::chrono::milliseconds{500};
    /// Time after which a read without a result has failed; longer than a list of several pages.
    duration resultTimeout = std::chrono::seconds{3};
};

/// @brief Decides when a process that gets the desired state from its peers reads the store itself.
///        Performs no I/O.
///
/// It does so while the proof that its state is current is too old, and only while it has use for
/// the state. The reads of a fleet are spread at random, and a proof that one process obtains
/// reaches the others by messages, so that most of them need no read of their own.
class state_reader
{
public:
    state_reader(state_reader_limits limits, std::uint64_t seed);

    /// @brief Sets the time over which the fleet's reads are spread, within the limits.
    void setWindow(duration window)
    {
        m_window = std::clamp(window, m_limits.minWindow, m_limits.maxWindow);
    }

    /// @brief Whether a read is to be made now. To be called at each tick.
    /// @param proofAge Age of the proof; nothing if there is none.
    [[nodiscard]] bool due(time_point now, std::optional<duration> proofAge, state_use use);
    /// @brief Handles the result of a read that due() has asked for.
    void handleResult(time_point now, bool succeeded);

    /// @brief Whether tasks may start with a proof of this age.
    [[nodiscard]] bool mayStart(time_point now, std::optional<duration> proofAge) const;

private:
    [[nodiscard]] duration randomDelay(duration longest);

    state_reader_limits m_limits;
    std::mt19937_64 m_random;
    duration m_window;
    std::optional<time_point> m_nextRead;
    std::optional<time_point> m_readSince; ///< start of the read without a result
    bool m_waiting = false;                ///< a task has waited for the read at `m_nextRead`
    std::uint32_t m_failures = 0;          ///< in a row, since the proof was last recent enough
    time_point m_lastFailure;
};

} // namespace bamboohead
