#include "bamboohead/agent_core.hpp"
#include "bamboohead/http_agent.hpp"
#include "bamboohead/options_builder.hpp"
#include "bamboohead/process.hpp"
#include "process_setup.hpp"

#include <boost/json.hpp>

namespace bamboohead {

namespace {

// Enough for the announcements of one target (`PUT /v1/target`) and for operators who read the
// state and metrics.
constexpr std::uint32_t httpThreads = 16;

agent_options agentOptions(const process_settings &settings)
{
    auto builder = agent_options_builder{};
    return setIdentity(builder, settings)
            .randomSeed(seedOrRandom(settings.agent.seed))
            .build()
            .value();
}

void applyInput(agent_core &core, process_metrics &metrics, const agent_input &next)
{
    std::visit(overloaded{
                       [&](const target_announcement &in) { core.targetAnnounced(in); },
                       [&](const task_end &in) {
                           if (!in.notStarted) {
                               metrics.observeTask(in.runTime);
                           }
                           core.taskEnded(in);
                       },
                       [&](const dump_input &in) {
                           in.reply->set_value(boost::json::serialize(core.dump()));
                       },
               },
               next);
}

} // namespace

void runAgent(const process_settings &settings, const std::string &settingsFile)
{
    returnFreedMemory();
    ignoreBrokenPipes();
    process_signals signals;
    const log_session log{settings.log};
    const steady_clock_source clock;
    const auto options = agentOptions(settings);
    process_metrics metrics;
    transport messages{boundEndpoint(settings), clock};
    agent_core core{options, clock};
    settings_file file{settingsFile};
    input_queue<agent_input> inputs;
    std::atomic<bool> draining{false};
    target_client target{[&inputs](task_end end) { inputs.push(std::move(end)); }};
    target.setAddress(settings.agent.target);
    http_server server{settings.http, settings.requests, httpThreads,
                       metrics,       draining,          stateSource(inputs)};
    const http_agent routes{server, settings.agent.target, inputs, target};
    server.start();
    logStart(options.self, settings.http);
    control_loop<agent_core, agent_input> loop{
            {core, inputs, messages, metrics, signals, draining, makeReloadHandler(file, core)},
            [&](agent_core &to, const agent_input &next) { applyInput(to, metrics, next); },
            [&](agent_action &next) {
                if (auto *const task = std::get_if<run_task>(&next)) {
                    target.run(std::move(*task));
                }
            }};
    loop.run();
    server.stop();
    logLine(log_level::info, "process_ended", {});
}

} // namespace bamboohead
