#include "bamboohead/entry_core.hpp"
#include "bamboohead/http_entry.hpp"
#include "bamboohead/manifest_watcher.hpp"
#include "bamboohead/options_builder.hpp"
#include "bamboohead/process.hpp"
#include "bamboohead/store_client.hpp"
#include "process_setup.hpp"

#include <boost/json.hpp>

namespace bamboohead {

namespace {

entry_options entryOptions(const process_settings &settings)
{
    auto builder = entry_options_builder{};
    setIdentity(builder, settings).randomSeed(seedOrRandom(settings.entry.seed));
    return builder.policy(settings.entry.policy).build().value();
}

void applyInput(entry_core &core, entry_input next)
{
    std::visit(
            overloaded{
                    [&](const open_session_input &in) { core.openSession(in.request); },
                    [&](submit_input &in) { core.submit(in.request, std::move(in.job), in.wait); },
                    [&](const query_input &in) { core.query(in.request, in.id, in.wait); },
                    [&](const cancel_input &in) { core.cancel(in.request, in.id); },
                    [&](const caller_disconnected_input &in) {
                        core.callerDisconnected(in.request);
                    },
                    [&](const store_read_input &in) {
                        core.handleStoreRead(in.version, in.text, in.sentAt);
                    },
                    [&](const manifest_input &in) {
                        core.manifestPushed(in.version, in.text);
                        in.handled->set_value();
                    },
                    [&](const dump_input &in) {
                        in.reply->set_value(boost::json::serialize(core.dump()));
                    },
            },
            next);
}

void sendAnswer(caller_table &callers, entry_action &next)
{
    if (auto *const job = std::get_if<answer_caller>(&next)) {
        callers.answer(job->request, std::move(job->answer));
    } else if (auto *const session = std::get_if<answer_session_request>(&next)) {
        callers.answer(session->request, *session);
    }
}

/// Owns the store client and the watcher that queues the manifest as an input after each read of
/// the store, also when it is unchanged, and after each reported change: reads confirm to the core
/// that its manifest is current. Does nothing when the settings name no store.
class manifest_subscription
{
public:
    manifest_subscription(const entry_settings &settings, const clock &clock,
                          input_queue<entry_input> &inputs)
    {
        if (settings.store.empty()) {
            return;
        }
        store_options options;
        options.endpoints = settings.store;
        options.seed = seedOrRandom(settings.seed);
        m_client = makeEtcdClient(options);
        watcher_options intervals;
        intervals.seed = options.seed;
        m_watcher = std::make_unique<manifest_watcher>(
                *m_client, clock,
                [&inputs](const manifest_update &update) {
                    inputs.push(store_read_input{update.version, update.text, update.sentAt});
                },
                intervals);
    }

private:
    std::unique_ptr<store_client> m_client;
    std::unique_ptr<manifest_watcher> m_watcher;
};

} // namespace

void runEntry(const process_settings &settings, const std::string &settingsFile)
{
    returnFreedMemory();
    ignoreBrokenPipes();
    process_signals signals;
    const log_session log{settings.log};
    const steady_clock_source clock;
    const auto options = entryOptions(settings);
    process_metrics metrics;
    transport messages{boundEndpoint(settings), clock};
    entry_core core{options, clock};
    settings_file file{settingsFile};
    input_queue<entry_input> inputs;
    caller_table callers;
    std::atomic<bool> draining{false};
    http_server server{settings.http, settings.requests, settings.http.maxConnections,
                       metrics,       draining,          stateSource(inputs)};
    const http_entry routes{server, settings.http.maxConnections, inputs, callers, metrics};
    server.start();
    const manifest_subscription manifests{settings.entry, clock, inputs};
    logStart(options.self, settings.http);
    control_loop<entry_core, entry_input> loop{
            {core, inputs, messages, metrics, signals, draining, makeReloadHandler(file, core)},
            applyInput,
            [&](entry_action &next) { sendAnswer(callers, next); }};
    loop.run();
    callers.clear();
    server.stop();
    logLine(log_level::info, "process_ended", {});
}

} // namespace bamboohead
