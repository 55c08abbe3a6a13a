#include "bamboohead/async_http_server.hpp"
#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/process.hpp"
#include "dispatch_loop.hpp"
#include "platform/caller_api.hpp"
#include "platform/target_api.hpp"

namespace bamboohead {

namespace {

namespace http = boost::beast::http;

/// Generation of the fences of an agent. A fence is a fencing token, which target_session adds to
/// each call. The target rejects calls whose fence is lower than the highest that it has received,
/// so that calls of an earlier run of the agent have no effect.
///
/// The generation is the wall-clock time in milliseconds since the epoch, which increases across
/// restarts of the agent even on a machine without a disk. If the clock was set back, the target
/// rejects the fence and the session raises it.
std::uint64_t fenceGeneration()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// Limits of the server for the reports of the target, which is its only client.
async_http_limits reportLimits(const request_settings &requests)
{
    auto limits = requestLimits(requests);
    limits.maxConnections = 200;
    return limits;
}

/// HTTP interface to the target on the same machine: receives its reports and sends calls to it.
class target_interface
{
public:
    target_interface(dispatch_loop<dispatch_agent> &loop, dispatch_agent &core,
                     const process_settings &settings)
        : m_loop{loop}
        , m_core{core}
        , m_reportServer{
                  loop.context(), settings.dispatch.targets, reportLimits(settings.requests),
                  [this](auto exchange, const auto &request) { handleRequest(exchange, request); },
                  [](auto) {}}
    {}

    void call(const target_call &next)
    {
        const auto &header = std::visit(
                [](const auto &typedCall) -> const call_header & { return typedCall.header; },
                next);
        m_loop.client().call(
                header.address, platform::encode(next), header.timeout,
                [this, id = header.id](http_call_end end, const http_client_response &response) {
                    m_core.handleCallResult(platform::decodeTargetReply(id, end, response));
                    m_loop.schedulePass();
                });
    }

private:
    void handleRequest(http_exchange exchange, const http_server_request &request)
    {
        const auto id = platform::reportedTargetId(platform::pathOf(request));
        if (!id) {
            m_reportServer.respond(exchange, platform::encodeFault(error_kind::unknown_route));
            return;
        }
        bool used = true;
        if (request.method() == http::verb::delete_) {
            m_core.handleTargetShutdown(*id);
        } else if (const auto report = platform::decodeTargetReport(*id, request.body())) {
            used = m_core.handleTargetReport(*report);
        } else {
            logLine(log_level::warning, "target_report_malformed", {{"target", *id}});
            m_reportServer.respond(exchange, platform::encodeFault(error_kind::invalid_request));
            return;
        }
        m_reportServer.respond(exchange, platform::encodeReportReceipt(used));
        m_loop.schedulePass();
    }

    dispatch_loop<dispatch_agent> &m_loop;
    dispatch_agent &m_core;
    async_http_server m_reportServer;
};

} // namespace

void runDispatchAgent(const process_settings &settings, const std::string &settingsFile)
{
    returnFreedMemory();
    ignoreBrokenPipes();
    auto log = std::make_unique<log_session>(settings.log);
    const suspend_aware_clock clock;
    dispatch_agent_options options;
    options.self = {incarnation_id{randomNumber()}, settings.endpoint, wire::ROLE_AGENT,
                    settings.zone};
    options.contacts = contactEndpoints(settings);
    options.fenceGeneration = fenceGeneration();
    options.readsStore = !settings.dispatch.store.empty();
    options.seed = randomNumber();
    dispatch_agent core{options, clock};
    dispatch_loop<dispatch_agent> loop{settings, settingsFile, clock, core, {}};
    target_interface target{loop, core, settings};
    loop.onAction([&](dispatch_action &next) {
        if (const auto *const call = std::get_if<target_call>(&next)) {
            target.call(*call);
        }
    });
    loop.onTick([&] {
        loop.store().setConnected(core.connected());
        if (loop.store().takeRequestFailure()) {
            core.handleStateReadFailure();
        }
        if (core.stateReadDue()) {
            loop.store().requestConfiguration();
        }
        for (const auto time : core.takeRunTimes()) {
            loop.metrics().observeTask(time);
        }
    });
    logStart(options.self, settings.http);
    loop.run();
    logLine(log_level::info, "process_ended", {});
    endProcess(std::move(log));
}

} // namespace bamboohead
