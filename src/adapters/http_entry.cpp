#include "bamboohead/http_entry.hpp"

#include "bamboohead/detail/http/job_json.hpp"
#include "bamboohead/manifest.hpp"

#include <charconv>

namespace bamboohead {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

// Number of server threads that waiting callers may not occupy.
constexpr std::uint32_t reservedThreads = 8;
// Maximum time to wait for the answer to a job after the job's deadline. The core normally answers
// by the deadline; this bounds the wait when it does not.
constexpr duration answerDelayLimit = std::chrono::seconds{15};
// Time to wait for requests that the core answers without waiting for tasks. It includes a round
// trip between entries, for a forwarded request.
constexpr duration promptAnswerTimeout = std::chrono::seconds{10};
// Deadline that no job can meet, so that the core refuses the job.
constexpr duration unmeetableDeadline = std::chrono::microseconds{1};
constexpr const char *jsonType = "application/json";
constexpr const char *versionHeader = "X-Config-Version";

void respondFault(httplib::Response &response, const detail::request_fault &fault)
{
    response.status = errorInfo(fault.kind).httpStatus;
    response.set_content(detail::toJson(fault), jsonType);
}

/// Runs a handler; when it fails with a request_fault, sends this as the response.
template <typename Handler>
void respondOnFault(httplib::Response &response, Handler &&handler)
{
    leaf::try_handle_all(
            std::forward<Handler>(handler),
            [&](const detail::request_fault &fault) { respondFault(response, fault); },
            [&] {
                respondFault(response, {error_kind::internal, "", ""});
            });
}

leaf::error_id invalidRequest(std::string path, std::string message)
{
    return leaf::new_error(detail::request_fault{error_kind::invalid_request, std::move(path),
                                                 std::move(message)});
}

leaf::result<bool> parseWaitParameter(const httplib::Request &request, bool fallback)
{
    if (!request.has_param("wait")) {
        return fallback;
    }
    const auto text = request.get_param_value("wait");
    if (text != "true" && text != "false") {
        return invalidRequest("wait", "not true or false");
    }
    return text == "true";
}

leaf::result<job_id> parsePathId(const httplib::Request &request)
{
    const auto id = parseJobId(request.matches[1].str());
    if (!id) {
        return invalidRequest("id", "not a job id j1.<primary>.<backup>.<session>.<number>");
    }
    return *id;
}

leaf::result<config_version> parseVersionHeader(const httplib::Request &request)
{
    const auto text = request.get_header_value(versionHeader);
    std::uint64_t version = 0;
    const auto *const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end || version == 0) {
        return invalidRequest(versionHeader, "not a positive integer");
    }
    return static_cast<config_version>(version);
}

/// Returns the text of a manifest unchanged; fails with the first fault found when it is invalid.
leaf::result<std::string> checkedManifest(const std::string &text)
{
    const auto parsed = parseManifest(text);
    if (const auto *const faults = std::get_if<std::vector<config_error>>(&parsed)) {
        const auto first = faults->empty() ? config_error{} : faults->front();
        return leaf::new_error(
                detail::request_fault{error_kind::manifest_invalid, first.path, first.message});
    }
    return text;
}

} // namespace

caller_table::waiter caller_table::add()
{
    const std::lock_guard lock{m_mutex};
    const auto number = m_nextNumber++;
    return waiter{caller_request{number}, m_waiting[number].get_future()};
}

void caller_table::answer(caller_request request, caller_reply reply)
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_waiting.find(static_cast<std::uint64_t>(request));
    if (found != m_waiting.end()) {
        found->second.set_value(std::move(reply));
        m_waiting.erase(found);
    }
}

void caller_table::remove(caller_request request)
{
    const std::lock_guard lock{m_mutex};
    m_waiting.erase(static_cast<std::uint64_t>(request));
}

void caller_table::clear()
{
    const std::lock_guard lock{m_mutex};
    m_waiting.clear();
}

std::size_t caller_table::size() const
{
    const std::lock_guard lock{m_mutex};
    return m_waiting.size();
}

http_entry::http_entry(http_server &server, std::uint32_t maxConnections,
                       input_queue<entry_input> &inputs, caller_table &callers,
                       process_metrics &metrics)
    : m_maxWaiters{maxConnections - reservedThreads}
    , m_inputs{inputs}
    , m_callers{callers}
    , m_metrics{metrics}
{
    auto &routes = server.routes();
    using request = httplib::Request;
    using response = httplib::Response;
    // The body is optional on this route, and the library would wait for a body without a length.
    routes.Post("/v1/sessions",
                [this](const request &in, response &out, const httplib::ContentReader &reader) {
                    if (in.has_header("Content-Length")) {
                        reader([](const char *, std::size_t) { return true; });
                    }
                    openSession(out);
                });
    routes.Post("/v1/jobs", [this](const request &in, response &out) { submit(in, out); });
    routes.Get(R"(/v1/jobs/([^/]+))", [this](const request &in, response &out) { query(in, out); });
    routes.Delete(R"(/v1/jobs/([^/]+))",
                  [this](const request &in, response &out) { cancel(in, out); });
    routes.Put("/v1/manifest", [this](const request &in, response &out) { pushManifest(in, out); });
}

void http_entry::openSession(httplib::Response &response)
{
    if (tooManyWaiters()) {
        respondFault(response, {error_kind::too_many_waiters, "", ""});
        return;
    }
    auto waiter = m_callers.add();
    m_inputs.push(open_session_input{waiter.request});
    const auto reply = await(waiter, promptAnswerTimeout);
    const auto *const answer = reply ? std::get_if<answer_session_request>(&*reply) : nullptr;
    if (answer == nullptr) {
        respondFault(response, {error_kind::internal, "", ""});
    } else if (answer->error != error_kind::none) {
        respondFault(response, {answer->error, "", ""});
    } else {
        response.set_content(detail::toJson(*answer), jsonType);
    }
}

void http_entry::submit(const httplib::Request &request, httplib::Response &response)
{
    respondOnFault(response, [&]() -> leaf::result<void> {
        const auto begin = m_clock.now();
        BOOST_LEAF_AUTO(wait, parseWaitParameter(request, true));
        BOOST_LEAF_AUTO(job, detail::parseSubmission(request.body));
        const auto id = job.id;
        // A refused id must never be accepted afterwards, and only the primary of the job's home
        // (see job_home) knows whether an earlier submission of the same id has run. So when too
        // many callers wait, the core refuses the job, not this function: the job gets a deadline
        // that it cannot meet. The core then refuses a new job at once, and answers from its record
        // if it knows the job.
        const bool refuse = wait && tooManyWaiters();
        const auto limit = refuse || !wait
                                   ? promptAnswerTimeout
                                   : answerDelayLimit + (job.deadline == duration{}
                                                                 ? duration{detail::maxDeadline}
                                                                 : job.deadline);
        if (refuse) {
            job.deadline = unmeetableDeadline;
        }
        auto waiter = m_callers.add();
        m_inputs.push(submit_input{waiter.request, std::move(job), wait && !refuse});
        auto reply = await(waiter, limit);
        auto *const answer = reply ? std::get_if<job_answer>(&*reply) : nullptr;
        if (refuse && answer != nullptr && answer->outcome == job_outcome::refused &&
            answer->error == error_kind::overloaded) {
            *answer = errorAnswer(id, error_kind::too_many_waiters);
        }
        respondJob(response, id, reply);
        if (wait && !refuse) {
            m_metrics.observeResponse(m_clock.now() - begin);
        }
        return {};
    });
}

void http_entry::query(const httplib::Request &request, httplib::Response &response)
{
    respondOnFault(response, [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(id, parsePathId(request));
        BOOST_LEAF_AUTO(waitRequested, parseWaitParameter(request, false));
        // When too many callers wait, the query is answered at once, as without wait=true. Unlike
        // submit(), it does not fail with too_many_waiters.
        const bool wait = waitRequested && !tooManyWaiters();
        auto waiter = m_callers.add();
        m_inputs.push(query_input{waiter.request, id, wait});
        const auto limit = wait ? detail::maxDeadline + answerDelayLimit : promptAnswerTimeout;
        respondJob(response, id, await(waiter, limit));
        return {};
    });
}

void http_entry::cancel(const httplib::Request &request, httplib::Response &response)
{
    respondOnFault(response, [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(id, parsePathId(request));
        auto waiter = m_callers.add();
        m_inputs.push(cancel_input{waiter.request, id});
        respondJob(response, id, await(waiter, promptAnswerTimeout));
        return {};
    });
}

void http_entry::pushManifest(const httplib::Request &request, httplib::Response &response)
{
    respondOnFault(response, [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(version, parseVersionHeader(request));
        BOOST_LEAF_AUTO(text, checkedManifest(request.body));
        auto handled = std::make_shared<std::promise<void>>();
        auto done = handled->get_future();
        m_inputs.push(manifest_input{version, std::move(text), std::move(handled)});
        if (done.wait_for(promptAnswerTimeout) != std::future_status::ready) {
            return leaf::new_error(detail::request_fault{error_kind::internal, "", ""});
        }
        const json::object body{{"config_version", static_cast<std::uint64_t>(version)}};
        response.set_content(json::serialize(body), jsonType);
        return {};
    });
}

std::optional<caller_reply> http_entry::await(caller_table::waiter &waiter, duration limit)
{
    if (waiter.reply.wait_for(limit) != std::future_status::ready) {
        m_callers.remove(waiter.request);
        m_inputs.push(caller_disconnected_input{waiter.request});
        return std::nullopt;
    }
    try {
        return waiter.reply.get();
    } catch (const std::future_error &) {
        return std::nullopt; // caller_table::clear() was called, since the process is ending
    }
}

void http_entry::respondJob(httplib::Response &response, const job_id &id,
                            const std::optional<caller_reply> &reply) const
{
    const auto *const found = reply ? std::get_if<job_answer>(&*reply) : nullptr;
    const auto answer = found != nullptr ? *found : errorAnswer(id, error_kind::outcome_unknown);
    response.status = detail::httpStatus(answer);
    response.set_content(detail::toJson(answer), jsonType);
}

bool http_entry::tooManyWaiters() const
{
    return m_callers.size() >= m_maxWaiters;
}

} // namespace bamboohead
