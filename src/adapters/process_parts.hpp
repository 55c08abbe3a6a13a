#pragma once

#include "bamboohead/http_server.hpp"
#include "bamboohead/link_table.hpp"
#include "bamboohead/runtime.hpp"

#include <cstdint>
#include <string>

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
