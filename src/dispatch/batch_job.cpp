#include "bamboohead/dispatch/batch_job.hpp"

#include <algorithm>

namespace bamboohead {

duration responseObjective(const batch_submission &job, const dispatch_route &route)
{
    std::vector<duration> ends;
    duration longest{};
    for (const auto &step : job.steps) {
        duration begin{};
        for (const auto before : step.after) {
            begin = std::max(begin, ends.at(before));
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    const auto stretched = std::chrono::duration<double, duration::period>{longest} * route.stretch;
    return std::chrono::duration_cast<duration>(stretched) + route.targetLatency;
}

} // namespace bamboohead
