#include "bamboohead/dispatch/wait_policy.hpp"

#include <algorithm>
#include <cmath>

namespace bamboohead {

namespace {

using namespace std::chrono_literals;

constexpr double rateWeight = 0.02;    ///< the rate averages about 50 orders
constexpr int roundTripOrders = 20;    ///< the round trip averages about this many refusals
constexpr double maxRefusalRate = 0.9; ///< ten tries
/// A start within this time counts as immediate: the shortest tasks run for 60 ms.
constexpr duration minWait = 20ms;
/// Longer waits use up the objectives of short tasks (60 ms) before they start.
constexpr duration maxWait = 100ms;

duration scaled(duration time, double factor)
{
    return duration{std::llround(static_cast<double>(time.count()) * factor)};
}

} // namespace

void queue_patience::recordRefusal(duration roundTrip)
{
    m_refusalRate += rateWeight * (1.0 - m_refusalRate);
    m_roundTrip += (roundTrip - m_roundTrip) / roundTripOrders;
}

void queue_patience::recordAcceptance()
{
    m_refusalRate -= rateWeight * m_refusalRate;
}

duration queue_patience::limit() const
{
    const auto tries = 1.0 / (1.0 - std::min(m_refusalRate, maxRefusalRate));
    return std::clamp<duration>(scaled(m_roundTrip, tries), minWait, maxWait);
}

duration longestWaitNear(const distance_costs &costs)
{
    const auto saved = costs.waitElsewhere + scaled(costs.runTime, costs.factor - 1.0);
    return costs.factor <= 1.0 ? duration{}
                               : scaled(std::max(duration{}, saved),
                                        1.0 / (1.0 + std::max(0.0, costs.deviation)));
}

} // namespace bamboohead
