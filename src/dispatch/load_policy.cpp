#include "bamboohead/dispatch/load_policy.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr double ratioWeight = 0.02; ///< of one end in the mean of a route, about 50 ends
constexpr double leastRatio = 0.2;   ///< bounds of what one end may tell
constexpr double mostRatio = 5.0;
constexpr double paceWeight = 0.15; ///< of one end in a target's slowness, about 7 ends
constexpr double mostSlowness = 20.0;
/// A task that runs this much longer than expected tells that its target is slow. Declared times
/// and targets differ by less.
constexpr double overdueFactor = 2.5;
constexpr duration paceHalfLife = 3s; ///< in which half of a target's slowness is forgotten
constexpr double microsecondsPerSecond = 1e6;
/// Backlog that is kept: with it the least urgent jobs wait about three times as long, since others
/// go first, which the objectives of today's routes allow.
constexpr duration targetBacklog = 80ms;
constexpr duration shareInterval = 150ms; ///< of adaptation; reports of agents are 100 ms old
constexpr double shareGrowth = 0.08;      ///< an interval without any backlog
constexpr double shareCut = 0.18;         ///< an interval with twice the backlog or more
constexpr double leastShare = 0.1;

double quotient(duration over, duration under)
{
    return static_cast<double>(over.count()) /
           static_cast<double>(std::max<duration::rep>(1, under.count()));
}

} // namespace

void run_time_model::observe(std::string_view route, duration declared, duration observed)
{
    if (declared <= duration{}) {
        return;
    }
    const auto ratio = std::clamp(quotient(observed, declared), leastRatio, mostRatio);
    auto &mean = m_ratios.try_emplace(std::string{route}, 1.0).first->second;
    mean += ratioWeight * (ratio - mean);
}

duration run_time_model::expected(std::string_view route, duration declared) const
{
    const auto found = m_ratios.find(std::string{route});
    const auto ratio = found == m_ratios.end() ? 1.0 : found->second;
    return duration{static_cast<duration::rep>(static_cast<double>(declared.count()) * ratio)};
}

void target_pace::ended(duration expected, duration observed, time_point now)
{
    const auto ratio = std::min(quotient(observed, expected), mostSlowness);
    m_slowness = slowness(now) + paceWeight * (ratio - slowness(now));
    m_updated = now;
}

void target_pace::overdue(duration expected, duration elapsed, time_point now)
{
    const auto ratio = std::min(quotient(elapsed, expected), mostSlowness);
    if (ratio >= overdueFactor && ratio > slowness(now)) {
        m_slowness = ratio;
        m_updated = now;
    }
}

double target_pace::slowness(time_point now) const
{
    const auto kept = std::exp2(-quotient(now - m_updated, paceHalfLife));
    return 1.0 + (m_slowness - 1.0) * kept;
}

void start_rate::advance(time_point now)
{
    const auto newest = now.time_since_epoch() / slotLength;
    const auto passed = std::min<std::int64_t>(newest - m_newest, slots);
    for (std::int64_t slot = newest - passed + 1; slot <= newest; ++slot) {
        m_work.at(static_cast<std::size_t>(slot) % slots) = 0;
    }
    m_newest = newest;
}

void start_rate::started(std::uint64_t work, time_point now)
{
    advance(now);
    m_work.at(static_cast<std::size_t>(m_newest) % slots) += work;
}

duration start_rate::timeFor(std::uint64_t backlog, std::uint64_t floorRate, time_point now) const
{
    auto current = *this;
    current.advance(now);
    std::uint64_t lastSecond = 0;
    for (const auto work : current.m_work) {
        lastSecond += work;
    }
    const auto rate = std::max({lastSecond, floorRate, std::uint64_t{1}});
    const auto seconds = static_cast<double>(backlog) / static_cast<double>(rate);
    return duration{static_cast<duration::rep>(seconds * microsecondsPerSecond)};
}

void admission_share::update(duration backlog, time_point now)
{
    m_least = std::min(m_least, backlog);
    if (now - m_updated < shareInterval) {
        return;
    }
    m_updated = now;
    const auto standing = std::exchange(m_least, duration::max());
    const auto excess = std::min(1.0, quotient(standing, targetBacklog) - 1.0);
    if (excess > 0) {
        m_share *= 1.0 - shareCut * excess;
    } else {
        m_share -= shareGrowth * excess;
    }
    m_share = std::clamp(m_share, leastShare, 1.0);
}

std::uint64_t workOf(std::uint64_t cpuMillis, duration runTime, std::uint64_t tasks)
{
    const auto perTask = static_cast<double>(cpuMillis) * static_cast<double>(runTime.count()) /
                         microsecondsPerSecond;
    return static_cast<std::uint64_t>(perTask * static_cast<double>(tasks));
}

} // namespace bamboohead
