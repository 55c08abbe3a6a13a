#include "bamboohead/async_http_server.hpp"
#include "bamboohead/dispatch/dispatch_agent.hpp"
#include "bamboohead/process.hpp"
#include "dispatch_loop.hpp"
#include "platform/caller_api.hpp"
#include "platform/target_api.hpp"

namespace bamboohead {

namespace {

namespace http = boost::beast::http;

/// The time of day grows over restarts of the agent, also on a machine without a disk. Where a
/// clock was set back, the target refuses the fence and the session raises it.
std::uint64_t initialFence()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/// The interface for the target on the same machine: its reports come in, calls go out.
class target_interface
{
public:
    target_interface(dispatch_loop<dispatch_agent> &loop, dispatch_agent &core,
                     const dispatch_settings &settings)
        : m_loop{loop}
        , m_core{core}
        , m_reports{loop.context(),
                    settings.targets,
                    {},
                    [this](auto exchange, const auto &request) { handle(exchange, request); },
                    [](auto) {}}
    {}

    void call(const target_call &next)
    {
        const auto &header = std::visit(
                [](const auto &made) -> const call_header & { return made.header; }, next);
        m_loop.client().call(
                header.address, platform::encode(next), header.timeout,
                [this, id = header.id](http_call_end end, const http_client_response &response) {
                    m_core.handleCallResult(platform::decodeTargetReply(id, end, response));
                    m_loop.wake();
                });
    }

private:
    void handle(http_exchange exchange, const http_server_request &request)
    {
        const auto id = platform::reportedTargetId(platform::pathOf(request));
        if (!id) {
            m_reports.respond(exchange, platform::encodeFault(error_kind::unknown_route));
            return;
        }
        if (request.method() == http::verb::delete_) {
            m_core.targetLeft(*id);
        } else if (const auto report = platform::decodeTargetReport(*id, request.body())) {
            m_core.targetReported(*report);
        } else {
            logLine(log_level::warning, "target_report_malformed", {{"target", *id}});
            m_reports.respond(exchange, platform::encodeFault(error_kind::invalid_request));
            return;
        }
        m_reports.respond(exchange, platform::encodeEmpty(true));
        m_loop.wake();
    }

    dispatch_loop<dispatch_agent> &m_loop;
    dispatch_agent &m_core;
    async_http_server m_reports;
};

} // namespace

void runDispatchAgent(const process_settings &settings, const std::string &settingsFile)
{
    ignoreBrokenPipes();
    const log_session log{settings.log};
    const suspend_aware_clock clock;
    dispatch_agent_options options;
    options.self = {incarnation_id{randomNumber()}, settings.endpoint, wire::ROLE_AGENT,
                    settings.zone};
    options.contacts = contactEndpoints(settings);
    options.initialFence = initialFence();
    dispatch_agent core{options, clock};
    dispatch_loop<dispatch_agent> loop{settings, settingsFile, clock, core, {}};
    target_interface target{loop, core, settings.dispatch};
    loop.onAction([&](dispatch_action &next) {
        if (const auto *const call = std::get_if<target_call>(&next)) {
            target.call(*call);
        }
    });
    loop.onTick([&] {
        loop.store().connected(core.connected());
        for (const auto time : core.takeRunTimes()) {
            loop.metrics().observeTask(time);
        }
    });
    logStart(options.self, settings.http);
    loop.run();
    logLine(log_level::info, "process_ended", {});
}

} // namespace bamboohead
