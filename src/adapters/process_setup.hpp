#pragma once

#include "bamboohead/async_http_server.hpp"
#include "bamboohead/http_server.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/logging.hpp"
#include "bamboohead/runtime.hpp"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Random 64-bit number from the operating system's entropy source, never 0.
[[nodiscard]] std::uint64_t randomNumber();

/// @return `setting`, or a random number when it is 0.
[[nodiscard]] std::uint64_t seedOrRandom(std::uint64_t setting);

/// @brief Sets a builder's endpoint, zone and seeds (the endpoints of the entries to contact first)
///        from the settings, and a new random incarnation.
/// @param settings Validated settings.
template <typename Builder>
Builder &setIdentity(Builder &builder, const process_settings &settings)
{
    return builder.incarnation(incarnation_id{randomNumber()})
            .endpoint(settings.endpoint)
            .zone(settings.zone)
            .seeds(settings.seeds);
}

/// @brief Writes the `started` log line with the role, identity and addresses of the process.
void logStart(const process_identity &self, const http_settings &http);

/// @brief Limits of a server for the platform's interfaces, with those of its unfinished requests
///        from the settings.
[[nodiscard]] async_http_limits requestLimits(const request_settings &requests);

/// @brief Makes the allocator return the memory of large buffers to the operating system when they
///        are freed. By default it keeps them for later, in an arena for each of many threads, so
///        that the request bodies of a crowd count twice: while they are held and afterwards.
void returnFreedMemory();

/// @brief Ignores SIGPIPE, so that a write to a closed connection does not terminate the process.
void ignoreBrokenPipes();

/// @brief Ends the process with exit code 0 after its log has been written.
///
/// Skips all destructors. They join threads, which took more than 4 s after the last log line on a
/// loaded machine, longer than the platform waits before it kills a process. The operating system
/// releases what they would release.
[[noreturn]] void endProcess(std::unique_ptr<log_session> log);

/// @brief Settings file of a running process; detects changes and reloads it.
class settings_file
{
public:
    explicit settings_file(std::string path);

    /// @brief Whether the file's modification time differs from that at the last reload(), or at
    ///        the construction of this object before the first one.
    [[nodiscard]] bool changed() const;
    /// @brief Reads and validates the whole file, and logs the outcome.
    /// @param cause Reason of the reload, for the log.
    /// @return Nothing when the settings are invalid; those in use then stay in force.
    [[nodiscard]] std::optional<process_settings> reload(std::string_view cause);

private:
    [[nodiscard]] std::filesystem::file_time_type writeTime() const;

    std::string m_path;
    std::filesystem::file_time_type m_lastWriteTime;
};

/// @brief Creates the handler with which the commands entry and agent reload the settings file on
///        SIGHUP. It applies only the seeds, the endpoints of the entries to contact first; changes
///        of all other settings need a restart. The dispatch commands use dispatch_loop instead,
///        which has its own reload().
/// @param file Must outlive the handler, as must `core`.
template <typename Core>
std::function<void()> makeReloadHandler(settings_file &file, Core &core)
{
    return [&file, &core] {
        if (auto settings = file.reload("signal")) {
            core.setSeeds(std::move(settings->seeds));
        }
    };
}

/// @brief Maximum time that a request for the state dump waits for the control thread, the thread
///        that runs the process's control_loop or dispatch_loop.
inline constexpr duration stateTimeout = std::chrono::seconds{2};

/// @brief Creates a function that requests the state dump from the control thread, and returns
///        nothing when that takes longer than stateTimeout.
/// @param inputs Must outlive the function.
template <typename Input>
http_server::state_source stateSource(input_queue<Input> &inputs)
{
    return [&inputs]() -> std::optional<std::string> {
        const auto reply = std::make_shared<std::promise<std::string>>();
        auto text = reply->get_future();
        inputs.push(dump_input{reply});
        if (text.wait_for(stateTimeout) != std::future_status::ready) {
            return std::nullopt;
        }
        return text.get();
    };
}

/// @brief Combines several lambdas into one visitor for std::visit.
template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

// Clang before 17 does not support class template argument deduction for aggregates.
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace bamboohead
