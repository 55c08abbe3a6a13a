#pragma once

#include "bamboohead/http_server.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/runtime.hpp"

#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace bamboohead {

/// @brief Random 64-bit number from the operating system, never 0.
[[nodiscard]] std::uint64_t randomNumber();

/// @brief The setting, or a random seed when it is 0.
[[nodiscard]] std::uint64_t seedOrRandom(std::uint64_t setting);

/// @brief Gives a builder the checked settings of the process and a new incarnation.
template <typename Builder>
Builder &identify(Builder &builder, const process_settings &settings)
{
    return builder.incarnation(incarnation_id{randomNumber()})
            .endpoint(settings.endpoint)
            .zone(settings.zone)
            .seeds(settings.seeds);
}

/// @brief Writes the line that says what was started.
void logStart(const process_identity &self, const http_settings &http);

/// @brief A SIGPIPE of a closed connection must not end the process.
void ignoreBrokenPipes();

/// @brief The settings file of a running process.
class settings_file
{
public:
    explicit settings_file(std::string path);

    /// @brief Whether the file was written since it was read last.
    [[nodiscard]] bool changed() const;
    /// @brief Reads and checks the file as a whole, and logs the outcome.
    /// @param cause Why it is read again, for the log.
    /// @return None when the settings are wrong; those in use stay in force then.
    [[nodiscard]] std::optional<process_settings> reload(std::string_view cause);

private:
    [[nodiscard]] std::filesystem::file_time_type writeTime() const;

    std::string m_path;
    std::filesystem::file_time_type m_read;
};

/// @brief Reads settings again on SIGHUP. Only the seeds can change while a process runs; bound
///        addresses, the zone and the log stay until it is restarted.
template <typename Core>
std::function<void()> reloadSeeds(settings_file &file, Core &core)
{
    return [&file, &core] {
        if (auto settings = file.reload("signal")) {
            core.setSeeds(std::move(settings->seeds));
        }
    };
}

/// @brief How long a reader of the state waits for the control thread.
inline constexpr duration stateLimit = std::chrono::seconds{2};

/// @brief Reads the core's state through the control thread.
template <typename Input>
http_server::state_source stateSource(input_queue<Input> &inputs)
{
    return [&inputs]() -> std::optional<std::string> {
        const auto reply = std::make_shared<std::promise<std::string>>();
        auto text = reply->get_future();
        inputs.push(dump_input{reply});
        if (text.wait_for(stateLimit) != std::future_status::ready) {
            return std::nullopt;
        }
        return text.get();
    };
}

/// @brief Visitor made of several lambdas.
template <typename... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

// Clang before 17 does not deduce the arguments of aggregates by itself.
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace bamboohead
