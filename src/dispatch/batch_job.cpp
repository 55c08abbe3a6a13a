#include "bamboohead/dispatch/batch_job.hpp"

#include <algorithm>

namespace bamboohead {

duration criticalPathLength(const batch_submission &job)
{
    std::vector<duration> ends;
    duration longest{};
    for (const auto &step : job.steps) {
        duration begin{};
        for (const auto before : step.dependsOn) {
            begin = std::max(begin, ends.at(before));
        }
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

duration responseObjective(duration criticalPath, const dispatch_route &route)
{
    const auto stretched =
            std::chrono::duration<double, duration::period>{criticalPath} * route.stretch;
    return std::chrono::duration_cast<duration>(stretched) + route.objectiveOffset;
}

} // namespace bamboohead
