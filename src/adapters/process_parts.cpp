#include "process_parts.hpp"

#include <csignal>
#include <random>

namespace bamboohead {

std::uint64_t randomNumber()
{
    std::random_device device;
    std::uniform_int_distribution<std::uint64_t> numbers{1};
    return numbers(device);
}

std::uint64_t seedOrRandom(std::uint64_t setting)
{
    return setting != 0 ? setting : randomNumber();
}

void logStart(const process_identity &self, const http_settings &http)
{
    logLine(log_level::info, "started",
            {{"role", self.role == wire::ROLE_ENTRY ? "entry" : "agent"},
             {"incarnation", toText(self.incarnation)},
             {"zone", self.zone},
             {"endpoint", self.endpoint},
             {"http", http.address + ":" + std::to_string(http.port)}});
}

void ignoreBrokenPipes()
{
    (void)std::signal(SIGPIPE, SIG_IGN);
}

} // namespace bamboohead
