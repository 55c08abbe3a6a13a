#include "process_setup.hpp"

#include <malloc.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
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

settings_file::settings_file(std::string path)
    : m_path{std::move(path)}
    , m_lastWriteTime{writeTime()}
{}

bool settings_file::changed() const
{
    return writeTime() != m_lastWriteTime;
}

std::optional<process_settings> settings_file::reload(std::string_view cause)
{
    m_lastWriteTime = writeTime();
    auto result = loadSettings(m_path);
    if (const auto *const faults = std::get_if<std::vector<config_error>>(&result)) {
        logLine(log_level::warning, "settings_rejected",
                {{"cause", std::string{cause}}, {"fault", describeFault(m_path, faults->front())}});
        return std::nullopt;
    }
    logLine(log_level::info, "settings_reloaded", {{"cause", std::string{cause}}});
    return std::get<process_settings>(std::move(result));
}

std::filesystem::file_time_type settings_file::writeTime() const
{
    std::error_code ignored; // reload() reports a missing file
    return std::filesystem::last_write_time(m_path, ignored);
}

void returnFreedMemory()
{
    constexpr int largeBufferBytes = 131'072; // the allocator's default, which it would raise
    constexpr int arenas = 2;                 // the server threads allocate little at the same time
    mallopt(M_MMAP_THRESHOLD, largeBufferBytes);
    mallopt(M_ARENA_MAX, arenas);
}

async_http_limits requestLimits(const request_settings &requests)
{
    async_http_limits limits;
    limits.maxUnfinishedBytes = requests.memoryBytes;
    limits.receiveTimeout = requests.timeout;
    return limits;
}

void endProcess(std::unique_ptr<log_session> log)
{
    log.reset();
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(EXIT_SUCCESS);
}

void ignoreBrokenPipes()
{
    (void)std::signal(SIGPIPE, SIG_IGN);
}

} // namespace bamboohead
