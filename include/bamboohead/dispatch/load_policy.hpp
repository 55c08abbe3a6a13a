#pragma once

#include "bamboohead/types.hpp"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace bamboohead {

/// @brief Predicts run times from declared ones, with the mean ratio of observed to declared run
///        times of each route.
///
/// Declared run times are imprecise, but their error is similar for all jobs of a route.
class run_time_model
{
public:
    /// @brief Records that a task with the declared run time `declared` has run for `observed`. A
    ///        declared time of zero is ignored.
    void observe(std::string_view route, duration declared, duration observed);

    /// @brief Expected run time of a task; `declared` itself for a route without observations.
    [[nodiscard]] duration expected(std::string_view route, duration declared) const;

    /// @brief Mean deviation of the run times of a route from their mean, as a part of it; 0
    ///        without observations.
    [[nodiscard]] double deviation(std::string_view route) const;

private:
    /// Running means of a route.
    struct ratio_statistics
    {
        double mean = 1.0;      ///< ratio of observed to declared run times
        double deviation = 0.0; ///< absolute difference of a ratio and `mean`
    };

    std::unordered_map<std::string, ratio_statistics> m_ratios;
};

/// @brief Lasting speed of a target, from all tasks that it has run in its lifetime.
///
/// Unlike slowness_estimate it does not decay: sound targets differ in speed by their kind. Run
/// times have a long tail, so it averages their logarithms. Trouble of some seconds is not part of
/// the lasting speed: tasks whose ratio is far from the mean are left out, until so many of them
/// have accumulated that the speed must have changed for good.
class lasting_slowness
{
public:
    /// @brief Records a task that is done.
    void record(duration expected, duration observed);
    /// @brief Ratio of run times on this target to expected ones.
    /// @return 0 when fewer than ten tasks were recorded.
    [[nodiscard]] double ratio() const;
    void reset() { *this = {}; }

private:
    double m_meanLogarithm = 0;
    int m_tasks = 0;    ///< recorded tasks, up to the number that the mean averages
    int m_outliers = 0; ///< tasks left out, minus those recorded since; at least 0
};

/// @brief Estimates how slowly a target runs its tasks, compared with their expected run times.
///
/// Completed tasks show too late that a target has slowed down, so a running task that exceeds its
/// expected run time counts before it ends. The estimate decays, so that a target that has
/// recovered receives tasks again.
class slowness_estimate
{
public:
    /// @brief Updates the estimate by a task that has ended after `observed`.
    void recordCompletion(duration expected, duration observed, time_point now);
    /// @brief Raises the estimate when a task that is still running has taken at least 2.5 times
    ///        its expected run time.
    void recordProgress(duration expected, duration elapsed, time_point now);

    /// @brief Ratio of run times on this target to expected ones: 1 is normal, 4 is four times as
    ///        slow.
    [[nodiscard]] double slowness(time_point now) const;

private:
    double m_slowness = 1.0;
    time_point m_updated;
};

/// @brief Measures the rate at which waiting work is started, to predict waiting times.
///
/// Work is in millicore-seconds (thousandths of a core times seconds), see workOf(). While no work
/// waits, work starts as fast as it arrives, so the rate is below the one at which the targets
/// could start work and does not predict waiting times. Only the entry's own backlog is counted;
/// the other entries' use of the targets lowers the rate.
class start_rate
{
public:
    /// @brief Records that `work` was started.
    void started(std::uint64_t work, time_point now);

    /// @brief Time until `backlog` is started at the rate of the last second, or at `minRate` when
    ///        that is higher.
    /// @param backlog Waiting work in millicore-seconds.
    /// @param minRate Lower bound of the rate, in millicore-seconds per second.
    [[nodiscard]] duration timeToStart(std::uint64_t backlog, std::uint64_t minRate,
                                       time_point now) const;

private:
    static constexpr std::size_t intervals = 10;
    static constexpr duration intervalLength = std::chrono::milliseconds{100};

    void advance(time_point now);

    std::array<std::uint64_t, intervals> m_work{};
    std::int64_t m_newest = 0; ///< number of the newest interval, counted from the clock's epoch
};

/// @brief Work per second, averaged over the last half second.
class work_rate
{
public:
    /// @brief Records work, in millicore-seconds.
    void record(std::uint64_t work, time_point now);
    /// @brief Mean rate in millicores.
    [[nodiscard]] std::uint64_t perSecond(time_point now) const;

private:
    static constexpr std::size_t intervals = 6; ///< the newest one is not over yet
    static constexpr duration intervalLength = std::chrono::milliseconds{100};

    std::array<std::uint64_t, intervals> m_work{};
    std::array<std::int64_t, intervals> m_numbers{}; ///< interval of each sum, from the epoch
};

/// @brief Lowest backlog of the last moments. Jobs arrive in bursts, and a queue that empties
///        between them is no overload.
class standing_backlog
{
public:
    /// @brief Records the current backlog.
    void record(duration backlog, time_point now);
    /// @brief Lowest backlog that was recorded in the last 50 to 75 ms; zero when none was.
    [[nodiscard]] duration lowest(time_point now) const;

private:
    static constexpr std::size_t intervals = 3; ///< the newest one is not over yet
    static constexpr duration intervalLength = std::chrono::milliseconds{25};

    std::array<duration, intervals> m_lowest{};
    std::array<std::int64_t, intervals> m_numbers{}; ///< interval of each figure, from the epoch
};

/// @brief Adaptive admission control: the share of jobs that an entry accepts, so that accepted
///        jobs can meet their response-time objective.
///
/// Under overload, jobs of the lowest priority would otherwise wait until all of them miss their
/// objective, and still take capacity from others. Instead an equal share of the jobs of each route
/// is refused at arrival, just large enough to keep the backlog short.
class admission_share
{
public:
    /// @brief Adapts the share to the backlog, once per interval of 150 ms.
    ///
    /// The lowest backlog of the interval counts: jobs arrive in bursts, and a short queue that
    /// empties within an interval should not lead to refusals.
    /// @param backlog Expected delay of a new job, at least 0: the larger of the time that the
    ///        targets need for all waiting work and the delay by this process's event loop.
    void update(duration backlog, time_point now);

    /// @brief Whether a job is accepted.
    /// @param draw Uniform random number in [0, 1).
    [[nodiscard]] bool accepts(double draw) const noexcept { return draw < m_share; }
    /// @brief Current share, from 0.1 to 1.
    [[nodiscard]] double share() const noexcept { return m_share; }

private:
    double m_share = 1.0;
    duration m_minBacklog = duration::max(); ///< lowest backlog of this interval
    time_point m_updated;
};

/// @brief Work of a number of tasks, in millicore-seconds.
[[nodiscard]] std::uint64_t workOf(std::uint64_t cpuMillis, duration runTime, std::uint64_t tasks);

} // namespace bamboohead
