#include "bamboohead/clock.hpp"

#include <ctime>

namespace bamboohead {

time_point suspend_aware_clock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot =
            std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(sinceBoot)};
}

} // namespace bamboohead
