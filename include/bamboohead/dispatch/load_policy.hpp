#pragma once

#include "bamboohead/types.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboohead {

/// @brief Learns how far the declared run times of a route's tasks are from the observed ones.
///
/// Declared times are rough, and rough in the same way for all jobs of a route.
class run_time_model
{
public:
    /// @brief A task declared as `declared` has run for `observed`.
    void observe(std::string_view route, duration declared, duration observed);

    /// @brief Run time to expect of a task.
    [[nodiscard]] duration expected(std::string_view route, duration declared) const;

private:
    std::unordered_map<std::string, double> m_ratios; ///< observed to declared, a running mean
};

/// @brief How slow a target runs its tasks, compared with what is expected of them.
///
/// Ends of tasks tell it late when a target slows down, so a task that runs over its expected time
/// counts before it ends. What is known fades, so that a target that has recovered gets work again.
class target_pace
{
public:
    /// @brief A task has ended after `observed`.
    void ended(duration expected, duration observed, time_point now);
    /// @brief A task still runs.
    void overdue(duration expected, duration elapsed, time_point now);

    /// @brief Factor of run times on this target; 1 is ordinary, 4 four times as slow.
    [[nodiscard]] double slowness(time_point now) const;

private:
    double m_slowness = 1.0;
    time_point m_updated;
};

/// @brief Measures how fast waiting work is started, to tell how long more of it has to wait.
///
/// Work is in thousandths of a core times seconds. The rate counts while work waits; an entry knows
/// its own backlog only, and the other entries' share of the targets shows in its rate.
class start_rate
{
public:
    void started(std::uint64_t work, time_point now);

    /// @brief Time until `backlog` is started at the rate of the last second, or at `floorRate`
    ///        when that is higher.
    /// @param floorRate Work a second that is assumed without observations.
    [[nodiscard]] duration timeFor(std::uint64_t backlog, std::uint64_t floorRate,
                                   time_point now) const;

private:
    static constexpr std::size_t slots = 10;
    static constexpr duration slotLength = std::chrono::milliseconds{100};

    void advance(time_point now);

    std::array<std::uint64_t, slots> m_work{};
    std::int64_t m_newest = 0; ///< number of the newest slot since the clock's start
};

/// @brief Share of the jobs that an entry accepts, so that accepted ones can meet their objective.
///
/// Under more load than the targets carry, jobs of the lowest priority would wait until all of them
/// miss their objective, and use the room of others all the same. The same share of each kind of
/// job is refused at arrival instead, just enough to keep the backlog short.
class admission_share
{
public:
    /// @brief Adapts the share to the time that the targets need for all waiting work.
    ///
    /// Only a backlog that stays for a whole interval counts: arrivals come in bunches, and a short
    /// queue that empties again refuses nobody.
    void update(duration backlog, time_point now);

    /// @brief Whether a job is accepted.
    /// @param draw Uniform random number from 0 to 1.
    [[nodiscard]] bool accepts(double draw) const noexcept { return draw < m_share; }
    [[nodiscard]] double share() const noexcept { return m_share; }

private:
    double m_share = 1.0;
    duration m_least = duration::max(); ///< backlog of this interval
    time_point m_updated;
};

/// @brief Work of tasks: thousandths of a core times seconds.
[[nodiscard]] std::uint64_t workOf(std::uint64_t cpuMillis, duration runTime, std::uint64_t tasks);

} // namespace bamboohead
