#include "bamboohead/async_http_server.hpp"
#include "bamboohead/dispatch/dispatch_entry.hpp"
#include "bamboohead/process.hpp"
#include "dispatch_loop.hpp"
#include "platform/caller_api.hpp"

namespace bamboohead {

namespace {

namespace http = boost::beast::http;

/// The interface for callers: finds the route and the job of a request.
class caller_interface
{
public:
    caller_interface(dispatch_loop<dispatch_entry> &loop, dispatch_entry &core,
                     const dispatch_settings &settings)
        : m_loop{loop}
        , m_core{core}
        , m_callers{loop.context(),
                    settings.callers,
                    {},
                    [this](auto exchange, const auto &request) { handle(exchange, request); },
                    [this](auto exchange) { gone(exchange); }}
        , m_checks{loop.context(),
                   settings.readiness,
                   {},
                   [this](auto exchange, const auto &request) { check(exchange, request); },
                   [](auto) {}}
    {}

    void answer(const job_reply &reply)
    {
        m_callers.respond(http_exchange{static_cast<std::uint64_t>(reply.request)},
                          platform::encode(reply));
    }

    void closeAfterResponses() { m_callers.closeAfterResponses(); }
    void closeIdle() { m_callers.closeIdle(); }
    [[nodiscard]] bool sending() const { return m_callers.sending(); }

private:
    void check(http_exchange exchange, const http_server_request &request)
    {
        m_checks.respond(exchange, platform::encodeEmpty(platform::isReadinessCheck(request) &&
                                                         m_core.ready()));
    }

    void refuse(http_exchange exchange, error_kind kind, const std::string &message = {})
    {
        constexpr duration retry = std::chrono::seconds{1};
        m_callers.respond(exchange, platform::encodeFault(kind, message, retry));
    }

    void handle(http_exchange exchange, const http_server_request &request)
    {
        const auto &config = m_core.config();
        if (config.version == 0) {
            refuse(exchange, error_kind::not_current);
            return;
        }
        const auto match = findRoute(config, platform::hostOf(request), platform::pathOf(request));
        if (!match) {
            refuse(exchange, error_kind::unknown_route);
            return;
        }
        const auto id = parseBatchJobId(match->rest);
        if (match->rest.empty() && request.method() == http::verb::get) {
            m_callers.respond(exchange,
                              platform::encodeWaiting(m_core.waitingJobs(match->route->name)));
        } else if (!id) {
            refuse(exchange, error_kind::invalid_request, "the path does not end with a job id");
        } else {
            handleJob(exchange, request, *match->route, *id);
        }
    }

    void handleJob(http_exchange exchange, const http_server_request &request,
                   const dispatch_route &route, batch_job_id id)
    {
        switch (request.method()) {
        case http::verb::post:
            submit(exchange, request, route, id);
            break;
        case http::verb::get:
            if (const auto state = m_core.stateOf(id)) {
                m_callers.respond(exchange, platform::encodeState(*state));
            } else {
                m_callers.respond(exchange, platform::encodeGone());
            }
            break;
        case http::verb::delete_:
            m_callers.respond(exchange, m_core.cancel(id) ? platform::encodeEmpty(true)
                                                          : platform::encodeGone());
            m_loop.wake();
            break;
        default:
            refuse(exchange, error_kind::invalid_request, "the method is not POST, GET or DELETE");
            break;
        }
    }

    void submit(http_exchange exchange, const http_server_request &request,
                const dispatch_route &route, batch_job_id id)
    {
        auto job = platform::decodeSubmission(id, request);
        if (const auto *const fault = std::get_if<platform::caller_fault>(&job)) {
            logLine(log_level::info, "job_malformed",
                    {{"job", toText(id)}, {"route", route.name}, {"fault", fault->message}});
            refuse(exchange, fault->kind, fault->message);
            return;
        }
        m_core.submit(caller_request{static_cast<std::uint64_t>(exchange)}, route,
                      std::move(std::get<batch_submission>(job)));
        m_loop.wake();
    }

    void gone(http_exchange exchange)
    {
        m_core.callerDisconnected(caller_request{static_cast<std::uint64_t>(exchange)});
        m_loop.wake();
    }

    dispatch_loop<dispatch_entry> &m_loop;
    dispatch_entry &m_core;
    async_http_server m_callers;
    async_http_server m_checks;
};

} // namespace

void runDispatchEntry(const process_settings &settings, const std::string &settingsFile)
{
    ignoreBrokenPipes();
    const log_session log{settings.log};
    const suspend_aware_clock clock;
    dispatch_entry_options options;
    options.self = {incarnation_id{randomNumber()}, settings.endpoint, wire::ROLE_ENTRY,
                    settings.zone};
    options.contacts = contactEndpoints(settings);
    options.seed = seedOrRandom(settings.entry.seed);
    options.limits.tickPeriod = dispatchTick;
    dispatch_entry core{options, clock};
    store_follower_options storeOptions;
    storeOptions.followConfiguration = true;
    storeOptions.watchMembers = true;
    storeOptions.memberName = toText(options.self.incarnation);
    storeOptions.memberValue = settings.endpoint;
    dispatch_loop<dispatch_entry> loop{settings, settingsFile, clock, core, storeOptions};
    caller_interface callers{loop, core, settings.dispatch};
    loop.onAction([&](dispatch_action &next) {
        if (const auto *const reply = std::get_if<job_reply>(&next)) {
            callers.answer(*reply);
            if (reply->responseTime > duration{}) {
                loop.metrics().observeResponse(reply->responseTime);
            }
        }
    });
    loop.onStop([&] { callers.closeAfterResponses(); });
    loop.onTick([&] {
        if (core.refusesJobs()) {
            callers.closeIdle();
        }
    });
    loop.onExit([&] { return !callers.sending(); });
    logStart(options.self, settings.http);
    loop.run();
    logLine(log_level::info, "process_ended", {});
}

} // namespace bamboohead
