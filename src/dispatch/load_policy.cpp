#include "bamboohead/dispatch/load_policy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

/// Weight of one task in the mean ratio of a route, which averages about 50 tasks.
constexpr double ratioWeight = 0.02;
constexpr int lastingTasks = 200; ///< tasks that the lasting slowness of a target averages
/// Tasks without which the lasting slowness is unknown: the mean of ten has a standard error of
/// about 0.15 with the run times seen.
constexpr int minLastingTasks = 10;
/// Distance of the logarithm of a ratio from its mean from which a task is an outlier: a factor of
/// 2.5. Sound targets differ from their mean by less.
constexpr double outlierDistance = 0.916;
/// Surplus of outliers from which the speed of a target has changed for good. A target with twelve
/// slots that is six times slower than usual completes as many tasks of 200 ms in 10 s.
constexpr int maxOutliers = 100;
constexpr double minRatio = 0.2; ///< lower bound of the ratio of one task
constexpr double maxRatio = 5.0; ///< upper bound of the ratio of one task
/// Weight of one task in the slowness of a target, which averages about 7 tasks.
constexpr double slownessWeight = 0.15;
constexpr double maxSlowness = 20.0;
/// Ratio of elapsed to expected run time from which a running task indicates a slow target. The
/// errors of declared run times and the differences between normal targets are smaller.
constexpr double overdueRatio = 2.5;
constexpr duration slownessHalfLife = 3s; ///< time in which the excess of a slowness over 1 halves
constexpr double microsecondsPerSecond = 1e6;
/// Backlog to which the share is controlled. At this backlog, jobs of the lowest priority wait
/// about three times as long, that is 240 ms, because more urgent jobs precede them. The objectives
/// of their routes have to allow such a wait.
constexpr duration backlogGoal = 80ms;
/// Interval between adaptations of the share. It is as long as the interval between full reports of
/// an agent that holds runs of the entry (dispatch_agent_limits::busyHeartbeatInterval), because
/// the backlog is computed from the agents' reports.
constexpr duration shareInterval = 150ms;
constexpr double shareIncrease = 0.08; ///< increase after an interval without any backlog
/// Relative decrease after an interval with twice `backlogGoal` or more.
constexpr double shareDecrease = 0.18;
constexpr double minShare = 0.1;

double quotient(duration numerator, duration denominator)
{
    return static_cast<double>(numerator.count()) /
           static_cast<double>(std::max<duration::rep>(1, denominator.count()));
}

} // namespace

void run_time_model::observe(std::string_view route, duration declared, duration observed)
{
    if (declared <= duration{}) {
        return;
    }
    const auto ratio = std::clamp(quotient(observed, declared), minRatio, maxRatio);
    auto &statistics = m_ratios[std::string{route}];
    statistics.deviation +=
            ratioWeight * (std::abs(ratio - statistics.mean) - statistics.deviation);
    statistics.mean += ratioWeight * (ratio - statistics.mean);
}

duration run_time_model::expected(std::string_view route, duration declared) const
{
    const auto found = m_ratios.find(std::string{route});
    const auto ratio = found == m_ratios.end() ? 1.0 : found->second.mean;
    return duration{static_cast<duration::rep>(static_cast<double>(declared.count()) * ratio)};
}

double run_time_model::deviation(std::string_view route) const
{
    const auto found = m_ratios.find(std::string{route});
    return found == m_ratios.end() ? 0.0 : found->second.deviation / found->second.mean;
}

void lasting_slowness::record(duration expected, duration observed)
{
    if (expected <= duration{}) {
        return;
    }
    const auto logarithm = std::log(std::clamp(quotient(observed, expected), minRatio, maxRatio));
    if (m_tasks >= minLastingTasks && std::abs(logarithm - m_meanLogarithm) > outlierDistance) {
        if (++m_outliers < maxOutliers) {
            return;
        }
        reset();
    }
    m_outliers = std::max(0, m_outliers - 1);
    m_tasks = std::min(m_tasks + 1, lastingTasks);
    m_meanLogarithm += (logarithm - m_meanLogarithm) / m_tasks;
}

double lasting_slowness::ratio() const
{
    return m_tasks < minLastingTasks ? 0.0 : std::exp(m_meanLogarithm);
}

void slowness_estimate::recordCompletion(duration expected, duration observed, time_point now)
{
    const auto ratio = std::min(quotient(observed, expected), maxSlowness);
    m_slowness = slowness(now) + slownessWeight * (ratio - slowness(now));
    m_updated = now;
}

void slowness_estimate::recordProgress(duration expected, duration elapsed, time_point now)
{
    const auto ratio = std::min(quotient(elapsed, expected), maxSlowness);
    if (ratio >= overdueRatio && ratio > slowness(now)) {
        m_slowness = ratio;
        m_updated = now;
    }
}

double slowness_estimate::slowness(time_point now) const
{
    const auto kept = std::exp2(-quotient(now - m_updated, slownessHalfLife));
    return 1.0 + (m_slowness - 1.0) * kept;
}

void start_rate::advance(time_point now)
{
    const auto newest = now.time_since_epoch() / intervalLength;
    const auto passed = std::min<std::int64_t>(newest - m_newest, intervals);
    for (std::int64_t interval = newest - passed + 1; interval <= newest; ++interval) {
        m_work.at(static_cast<std::size_t>(interval) % intervals) = 0;
    }
    m_newest = newest;
}

void start_rate::started(std::uint64_t work, time_point now)
{
    advance(now);
    m_work.at(static_cast<std::size_t>(m_newest) % intervals) += work;
}

duration start_rate::timeToStart(std::uint64_t backlog, std::uint64_t minRate, time_point now) const
{
    auto current = *this;
    current.advance(now);
    std::uint64_t lastSecond = 0;
    for (const auto work : current.m_work) {
        lastSecond += work;
    }
    const auto rate = std::max({lastSecond, minRate, std::uint64_t{1}});
    const auto seconds = static_cast<double>(backlog) / static_cast<double>(rate);
    return duration{static_cast<duration::rep>(seconds * microsecondsPerSecond)};
}

void work_rate::record(std::uint64_t work, time_point now)
{
    const auto number = now.time_since_epoch() / intervalLength;
    const auto index = static_cast<std::size_t>(number) % intervals;
    if (m_numbers.at(index) != number) {
        m_numbers.at(index) = number;
        m_work.at(index) = 0;
    }
    m_work.at(index) += work;
}

std::uint64_t work_rate::perSecond(time_point now) const
{
    const auto number = now.time_since_epoch() / intervalLength;
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < intervals; ++index) {
        if (number - m_numbers.at(index) < static_cast<std::int64_t>(intervals)) {
            sum += m_work.at(index);
        }
    }
    const auto span = now.time_since_epoch() - (number - std::ssize(m_work) + 1) * intervalLength;
    return sum * static_cast<std::uint64_t>(microsecondsPerSecond) /
           static_cast<std::uint64_t>(span.count());
}

void standing_backlog::record(duration backlog, time_point now)
{
    const auto number = now.time_since_epoch() / intervalLength;
    const auto index = static_cast<std::size_t>(number) % intervals;
    if (m_numbers.at(index) != number) {
        m_numbers.at(index) = number;
        m_lowest.at(index) = backlog;
    }
    m_lowest.at(index) = std::min(m_lowest.at(index), backlog);
}

duration standing_backlog::lowest(time_point now) const
{
    const auto number = now.time_since_epoch() / intervalLength;
    auto lowest = duration::max();
    for (std::size_t index = 0; index < intervals; ++index) {
        if (number - m_numbers.at(index) < static_cast<std::int64_t>(intervals)) {
            lowest = std::min(lowest, m_lowest.at(index));
        }
    }
    return lowest == duration::max() ? duration{} : lowest;
}

void admission_share::update(duration backlog, time_point now)
{
    m_minBacklog = std::min(m_minBacklog, backlog);
    if (now - m_updated < shareInterval) {
        return;
    }
    m_updated = now;
    const auto standingBacklog = std::exchange(m_minBacklog, duration::max());
    // From -1 without a backlog, which raises the share, to 1 at twice the goal or more.
    const auto excess = std::min(1.0, quotient(standingBacklog, backlogGoal) - 1.0);
    if (excess > 0) {
        m_share *= 1.0 - shareDecrease * excess;
    } else {
        m_share -= shareIncrease * excess;
    }
    m_share = std::clamp(m_share, minShare, 1.0);
}

std::uint64_t workOf(std::uint64_t cpuMillis, duration runTime, std::uint64_t tasks)
{
    const auto perTask = static_cast<double>(cpuMillis) * static_cast<double>(runTime.count()) /
                         microsecondsPerSecond;
    return static_cast<std::uint64_t>(perTask * static_cast<double>(tasks));
}

} // namespace bamboohead
