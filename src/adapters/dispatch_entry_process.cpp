#include "dispatch_entry_process.hpp"

#include "bamboohead/async_http_server.hpp"
#include "bamboohead/dispatch/milliseconds.hpp"
#include "bamboohead/process.hpp"
#include "platform/caller_api.hpp"

namespace bamboohead {

namespace {

namespace http = boost::beast::http;

/// Limits of the server for readiness checks, which one client of the platform sends, without a
/// body.
async_http_limits readinessLimits(const request_settings &requests)
{
    auto limits = requestLimits(requests);
    limits.maxRequestBodyBytes = 1'024;
    limits.maxConnections = 100;
    return limits;
}

/// HTTP interface for callers: maps a request to its route and job and passes it to the core. Also
/// serves the readiness check of load balancers.
class caller_interface
{
public:
    caller_interface(dispatch_loop<dispatch_entry> &loop, dispatch_entry &core,
                     const process_settings &settings)
        : m_loop{loop}
        , m_core{core}
        , m_callerServer{
                  loop.context(), settings.dispatch.callers, requestLimits(settings.requests),
                  [this](auto exchange, const auto &request) { handleRequest(exchange, request); },
                  [this](auto exchange) { handleDisconnect(exchange); }}
        , m_readinessServer{loop.context(), settings.dispatch.readiness,
                            readinessLimits(settings.requests),
                            [this](auto exchange, const auto &request) {
                                handleReadinessCheck(exchange, request);
                            },
                            [](auto) {}}
    {}

    void sendReply(const job_reply &reply)
    {
        m_callerServer.respond(http_exchange{static_cast<std::uint64_t>(reply.request)},
                               platform::encode(reply));
    }

    void reportDisconnects() { m_callerServer.reportDisconnects(); }
    void closeAfterResponses() { m_callerServer.closeAfterResponses(); }
    void closeIdleConnections() { m_callerServer.closeIdleConnections(); }
    void finish() { m_callerServer.finish(); }
    [[nodiscard]] bool finished() const { return m_callerServer.finished(); }
    [[nodiscard]] const async_http_counters &counters() const noexcept
    {
        return m_callerServer.counters();
    }

    [[nodiscard]] std::uint16_t port() const { return m_callerServer.port(); }

    /// Logs what became of the requests of this process, at its end.
    void logCounters() const
    {
        const auto &counters = m_callerServer.counters();
        logLine(log_level::info, "callers_closed",
                {{"requests", std::to_string(counters.requests)},
                 {"responses", std::to_string(counters.responses)},
                 {"disconnects", std::to_string(counters.disconnects)},
                 {"early_disconnects", std::to_string(counters.earlyDisconnects)},
                 {"cut_receiving", std::to_string(counters.cutReceiving)},
                 {"cut_sending", std::to_string(counters.cutSending)},
                 {"over_limit", std::to_string(counters.overLimit)},
                 {"over_budget", std::to_string(counters.overBudget)},
                 {"receive_timeouts", std::to_string(counters.receiveTimeouts)},
                 {"displaced", std::to_string(counters.displaced)},
                 {"open", std::to_string(m_callerServer.connections())}});
    }

private:
    void handleReadinessCheck(http_exchange exchange, const http_server_request &request)
    {
        m_readinessServer.respond(
                exchange, platform::encodeEmpty(/*ok=*/platform::isReadinessCheck(request) &&
                                                m_core.ready()));
    }

    /// Responds with an error and a Retry-After header, also for errors that a retry cannot
    /// resolve, such as a malformed request.
    void refuse(http_exchange exchange, error_kind kind, const std::string &message = {})
    {
        constexpr duration retryAfter = std::chrono::seconds{1};
        m_callerServer.respond(exchange, platform::encodeFault(kind, message, retryAfter));
    }

    void handleRequest(http_exchange exchange, const http_server_request &request)
    {
        const auto &config = m_core.config();
        // Version 0: no configuration was received yet, or its version is missing or 0.
        if (config.version == 0) {
            refuse(exchange, error_kind::not_current);
            return;
        }
        const auto match = findRoute(config, platform::hostOf(request), platform::pathOf(request));
        const auto id = match ? parseBatchJobId(match->rest) : std::nullopt;
        if (!id && handleJobOfDroppedRoute(exchange, request)) {
            return;
        }
        if (!match) {
            refuse(exchange, error_kind::unknown_route);
        } else if (match->rest.empty() && request.method() == http::verb::get) {
            m_callerServer.respond(
                    exchange, platform::encodeWaitingJobs(m_core.waitingJobs(match->route->name)));
        } else if (!id) {
            refuse(exchange, error_kind::invalid_request, "the path does not end with a job id");
        } else {
            handleJob(exchange, request, *match->route, *id);
        }
    }

    /// Answers a request for, or the cancellation of, a job that may run although its route was
    /// dropped.
    /// @return Whether the request was answered.
    bool handleJobOfDroppedRoute(http_exchange exchange, const http_server_request &request)
    {
        if (request.method() != http::verb::get && request.method() != http::verb::delete_) {
            return false;
        }
        const auto id =
                m_core.jobOfDroppedRoute(platform::hostOf(request), platform::pathOf(request));
        if (!id) {
            return false;
        }
        if (request.method() == http::verb::get) {
            sendState(exchange, *id);
        } else {
            cancel(exchange, *id);
        }
        return true;
    }

    void sendState(http_exchange exchange, batch_job_id id)
    {
        const auto state = m_core.stateOf(id);
        m_callerServer.respond(exchange, state ? platform::encodeState(*state)
                                               : platform::encodeUnknownJob());
    }

    void cancel(http_exchange exchange, batch_job_id id)
    {
        m_callerServer.respond(exchange, m_core.cancel(id) ? platform::encodeEmpty(/*ok=*/true)
                                                           : platform::encodeUnknownJob());
        m_loop.schedulePass();
    }

    void handleJob(http_exchange exchange, const http_server_request &request,
                   const dispatch_route &route, batch_job_id id)
    {
        switch (request.method()) {
        case http::verb::post:
            submit(exchange, request, route, id);
            break;
        case http::verb::get:
            sendState(exchange, id);
            break;
        case http::verb::delete_:
            cancel(exchange, id);
            break;
        default:
            refuse(exchange, error_kind::invalid_request, "the method is not POST, GET or DELETE");
            break;
        }
    }

    void submit(http_exchange exchange, const http_server_request &request,
                const dispatch_route &route, batch_job_id id)
    {
        if (m_callerServer.disconnected(exchange)) {
            logLine(log_level::info, "caller_left_early",
                    {{"job", toText(id)}, {"route", route.name}});
            m_callerServer.abandon(exchange);
            return;
        }
        auto job = platform::decodeSubmission(id, request);
        if (const auto *const fault = std::get_if<platform::caller_fault>(&job)) {
            logLine(log_level::info, "job_malformed",
                    {{"job", toText(id)}, {"route", route.name}, {"fault", fault->message}});
            refuse(exchange, fault->kind, fault->message);
            return;
        }
        auto &submission = std::get<batch_submission>(job);
        if (submission.callerTimeout > duration{}) {
            // The caller counts from the time at which it sent the request.
            const auto waited = m_callerServer.sinceArrival(exchange);
            if (waited >= submission.callerTimeout) {
                logLine(log_level::info, "job_too_late",
                        {{"job", toText(id)},
                         {"route", route.name},
                         {"waited_ms", std::to_string(toMilliseconds(waited))},
                         {"patience_ms",
                          std::to_string(toMilliseconds(submission.callerTimeout))}});
                refuse(exchange, error_kind::overloaded);
                return;
            }
            submission.callerTimeout -= waited;
        }
        m_core.submit(caller_request{static_cast<std::uint64_t>(exchange)}, route,
                      std::move(submission));
        m_loop.schedulePass();
    }

    void handleDisconnect(http_exchange exchange)
    {
        m_core.callerDisconnected(caller_request{static_cast<std::uint64_t>(exchange)});
        m_loop.schedulePass();
    }

    dispatch_loop<dispatch_entry> &m_loop;
    dispatch_entry &m_core;
    async_http_server m_callerServer;
    async_http_server m_readinessServer;
};

dispatch_entry_options makeOptions(const process_settings &settings)
{
    dispatch_entry_options options;
    options.self = {incarnation_id{randomNumber()}, settings.endpoint, wire::ROLE_ENTRY,
                    settings.zone};
    options.contacts = contactEndpoints(settings);
    options.seed = seedOrRandom(settings.entry.seed);
    options.limits.tickPeriod = dispatchTickInterval;
    options.limits.fleetAdmission = settings.dispatch.fleetAdmission;
    options.limits.placement = {settings.dispatch.forecastPlacement,
                                settings.dispatch.forecastPlacement,
                                settings.dispatch.distanceFactor};
    return options;
}

store_follower_options makeStoreOptions(const process_identity &self)
{
    store_follower_options options;
    options.configuration = follow_mode::watch;
    options.members = follow_mode::watch;
    options.memberName = toText(self.incarnation);
    options.memberValue = self.endpoint;
    return options;
}

} // namespace

class dispatch_entry_process::implementation
{
public:
    implementation(const process_settings &processSettings, const std::string &settingsFile,
                   const clock &clock)
        : settings{processSettings}
        , options{makeOptions(settings)}
        , core{options, clock}
        , loop{settings, settingsFile, clock, core, makeStoreOptions(options.self)}
        , callers{loop, core, settings}
    {
        loop.onAction([this](dispatch_action &next) {
            if (const auto *const reply = std::get_if<job_reply>(&next)) {
                callers.sendReply(*reply);
                if (reply->responseTime > duration{}) {
                    loop.metrics().observeResponse(reply->responseTime);
                }
            }
        });
        // After the messages: a caller was then connected after the stamp that an order echoes was
        // received, so an order that leaves late is too old for its agent.
        loop.beforeActions([this] { callers.reportDisconnects(); });
        loop.onStop([this] { callers.closeAfterResponses(); });
        loop.onTick([this] { closeCallersOnShutdown(); });
        loop.setExitCondition([this] { return callers.finished() || exitDue; });
        loop.onHousekeeping([this] { loop.metrics().update(callers.counters()); });
    }

    void closeCallersOnShutdown()
    {
        if (core.shutdownComplete()) {
            // Handlers have to run between finish() and the exit.
            exitDue = finishing && core.exitDue();
            callers.finish();
            finishing = true;
        } else if (core.refusesJobs()) {
            // Their callers connect to another entry; a job that still arrives here is refused.
            callers.closeIdleConnections();
        }
    }

    process_settings settings;
    dispatch_entry_options options;
    dispatch_entry core;
    dispatch_loop<dispatch_entry> loop;
    caller_interface callers;
    bool finishing = false;
    bool exitDue = false;
};

dispatch_entry_process::dispatch_entry_process(const process_settings &settings,
                                               const std::string &settingsFile, const clock &clock)
    : m_impl{std::make_unique<implementation>(settings, settingsFile, clock)}
{}

dispatch_entry_process::~dispatch_entry_process() = default;

void dispatch_entry_process::run()
{
    logStart(m_impl->options.self, m_impl->settings.http);
    m_impl->loop.run();
    m_impl->callers.logCounters();
    logLine(log_level::info, "process_ended", {});
}

dispatch_loop<dispatch_entry> &dispatch_entry_process::loop() noexcept
{
    return m_impl->loop;
}

dispatch_entry &dispatch_entry_process::core() noexcept
{
    return m_impl->core;
}

std::uint16_t dispatch_entry_process::callerPort() const
{
    return m_impl->callers.port();
}

void runDispatchEntry(const process_settings &settings, const std::string &settingsFile)
{
    returnFreedMemory();
    ignoreBrokenPipes();
    auto log = std::make_unique<log_session>(settings.log);
    const suspend_aware_clock clock;
    dispatch_entry_process process{settings, settingsFile, clock};
    process.run();
    endProcess(std::move(log));
}

} // namespace bamboohead
