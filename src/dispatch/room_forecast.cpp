#include "bamboohead/dispatch/room_forecast.hpp"

#include <algorithm>
#include <functional>

namespace bamboohead {

namespace {

constexpr int overdueDivisor = 4; ///< see remainingTime()

} // namespace

duration remainingTime(duration expected, duration elapsed)
{
    return std::max(expected - elapsed, elapsed / overdueDivisor);
}

duration expectedStart(const resources &capacity, std::vector<forecast_run> running,
                       const std::vector<forecast_run> &waiting, const resources &demand)
{
    // A heap with the earliest end first.
    const auto later = std::ranges::greater{};
    std::ranges::make_heap(running, later, &forecast_run::time);
    resources used;
    for (const auto &run : running) {
        used += run.demand;
    }
    duration now{};
    const auto waitFor = [&](const resources &needed) {
        while (!(used + needed).fitsIn(capacity)) {
            if (running.empty()) {
                return false;
            }
            std::ranges::pop_heap(running, later, &forecast_run::time);
            now = std::max(now, running.back().time);
            used -= running.back().demand;
            running.pop_back();
        }
        return true;
    };
    for (const auto &run : waiting) {
        if (!waitFor(run.demand)) {
            return duration::max();
        }
        used += run.demand;
        running.push_back({run.demand, now + run.time});
        std::ranges::push_heap(running, later, &forecast_run::time);
    }
    return waitFor(demand) ? now : duration::max();
}

} // namespace bamboohead
